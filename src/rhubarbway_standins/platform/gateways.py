"""Gateways as separate processes over a site."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from rhubarbway.edge.json_codec import encoded
from rhubarbway.gateway import SETTINGS_VARIABLE
from rhubarbway.settings import GatewaySettings
from rhubarbway_standins.platform.site import ZONES, Site
from rhubarbway_standins.processes import ManagedProcess, wait_until_ok

MODULE = "rhubarbway.start_gateway"


class GatewayProcesses:
    """Starts and stops gateways; used as a context manager.

    Parameters
    ----------
    site : Site
        The store and replicas that they use.
    directory : Path
        Where settings and logs are written.
    count : int
        Gateways to start.
    """

    __slots__ = ("directory", "processes", "settings", "site")

    def __init__(self, *, site: Site, directory: Path, count: int) -> None:
        self.site = site
        self.directory = directory
        self.settings: list[GatewaySettings] = []
        self.processes: list[ManagedProcess] = []
        for number in range(count):
            seeds = [known.peer_listen for known in self.settings[:2]]
            zone = ZONES[number % len(ZONES)]
            settings = site.settings(f"gateway-{number}", zone=zone, seeds=seeds)
            settings.leave_notice_s = 0.3
            settings.grace_s = 4.0
            settings.log_level = "info"
            self.settings.append(settings)
            self.processes.append(self.process_of(settings))

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
        """Where callers reach the gateways."""
        return [settings.listen for settings in self.settings]

    def process_of(self, settings: GatewaySettings) -> ManagedProcess:
        """Return the process of a gateway, not yet started."""
        path = self.directory / f"{settings.name}.json"
        path.write_bytes(encoded(settings_document(settings)))
        return ManagedProcess(
            name=settings.name,
            arguments=[MODULE],
            log_path=self.directory / f"{settings.name}.log",
            environment={SETTINGS_VARIABLE: str(path)},
        )

    def wait_ready(self, number: int) -> None:
        """Wait until a gateway reports ready.

        Raises
        ------
        TimeoutError
            If it does not in time.
        """
        wait_until_ok(self.settings[number].ready_listen, "/v1/ready")


def settings_document(settings: GatewaySettings) -> dict[str, Any]:
    """Return settings as their file holds them."""
    return {name: getattr(settings, name) for name in GatewaySettings.__slots__}
