"""Gateways that run as separate processes and use the store and replicas of a site."""

from __future__ import annotations

import json
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

from rhubarbway.edge.http_client import HttpConnection
from rhubarbway.edge.json_codec import encode_json
from rhubarbway.gateway import SETTINGS_VARIABLE
from rhubarbway.settings import GatewaySettings
from rhubarbway_standins.platform.site import ZONES, Site
from rhubarbway_standins.processes import ManagedProcess, wait_until_ok

GATEWAY_MODULE = "rhubarbway.start_gateway"
# Longest time for the reply of a gateway to a request for its status, seconds.
STATUS_TIMEOUT_S = 2.0


class GatewayProcesses:
    """Gateways as separate processes on the stand-ins of a site; used as a context manager.

    Parameters
    ----------
    site : Site
        Store and replicas that the gateways use.
    directory : Path
        Directory for settings and logs.
    count : int
        Number of gateways to start.
    cores : sequence of float
        Processor of each gateway that its settings state; one core for the others.
    leave_notice_s, grace_s : float
        The settings of these names, seconds.
    memory_mb, max_descriptors : float, int
        The settings of these names; 0 for no limit.
    has_status : bool
        Whether each gateway serves its status and metrics, on a port of its own.
    changes : mapping of str to object or None
        Further settings by name, the same for all gateways.
    """

    __slots__ = ("directory", "processes", "settings", "site")

    def __init__(
        self,
        *,
        site: Site,
        directory: Path,
        count: int,
        cores: Sequence[float] = (),
        leave_notice_s: float = 0.3,
        grace_s: float = 4.0,
        memory_mb: float = 0.0,
        max_descriptors: int = 0,
        has_status: bool = False,
        changes: Mapping[str, Any] | None = None,
    ) -> None:
        self.site = site
        self.directory = directory
        self.settings: list[GatewaySettings] = []
        self.processes: list[ManagedProcess] = []
        for number in range(count):
            seeds = [known.peer_listen for known in self.settings[:2]]
            zone = ZONES[number % len(ZONES)]
            settings = site.settings(f"gateway-{number}", zone=zone, seeds=seeds)
            settings.leave_notice_s = leave_notice_s
            settings.grace_s = grace_s
            settings.memory_mb = memory_mb
            settings.max_descriptors = max_descriptors
            settings.log_level = "info"
            settings.cpu_speed = cores[number] if number < len(cores) else 1.0
            if has_status:
                settings.metrics_port = next(site.ports)
            for name, value in (changes or {}).items():
                setattr(settings, name, value)
            self.settings.append(settings)
            self.processes.append(self.make_process(settings))

    def __enter__(self) -> GatewayProcesses:
        for process in self.processes:
            process.start()
        for number in range(len(self.processes)):
            self.wait_ready(number)
        return self

    def __exit__(self, *exception: object) -> None:
        for process in self.processes:
            process.stop()

    @property
    def addresses(self) -> list[str]:
        """Addresses at which callers reach the gateways."""
        return [settings.listen for settings in self.settings]

    def status_address(self, number: int) -> str:
        """Return the address at which a gateway serves its status and metrics."""
        return f"127.0.0.1:{self.settings[number].metrics_port}"

    def status(self, number: int) -> dict[str, Any]:
        """Return what ``/v1/status`` of a gateway reports.

        Raises
        ------
        CallError
            If the gateway does not answer in time.
        """
        connection = HttpConnection(address=self.status_address(number))
        try:
            reply = connection.call("GET", "/v1/status", None, timeout_s=STATUS_TIMEOUT_S)
            return json.loads(reply.body)
        finally:
            connection.close()

    def make_process(self, settings: GatewaySettings) -> ManagedProcess:
        """Write the settings of a gateway and return its process, not yet started."""
        path = self.directory / f"{settings.name}.json"
        path.write_bytes(encode_json(settings_document(settings)))
        return ManagedProcess(
            name=settings.name,
            arguments=[GATEWAY_MODULE],
            log_path=self.directory / f"{settings.name}.log",
            environment={SETTINGS_VARIABLE: str(path)},
        )

    def wait_ready(self, number: int) -> None:
        """Wait until a gateway reports ready.

        Raises
        ------
        TimeoutError
            If the gateway is not ready in time.
        """
        wait_until_ok(self.settings[number].ready_listen, "/v1/ready")


def settings_document(settings: GatewaySettings) -> dict[str, Any]:
    """Return settings in the form of their file."""
    return {name: getattr(settings, name) for name in GatewaySettings.__slots__}
