"""Settings of the gateway, the daemon that runs on the users' platform."""

from __future__ import annotations

from collections.abc import Iterable
from functools import cache
from importlib.resources import files
from typing import Any

from returns.result import Result

from rhubarbway.edge.json_codec import decode_json
from rhubarbway.model import Finding
from rhubarbway.settings.document import document_from_bytes


class GatewaySettings:
    """Validated settings of a gateway.

    Parameters
    ----------
    name, zone : str
        Name and availability zone of the entry host.
    listen, ready_listen, peer_listen : str
        ``IP:PORT`` for callers, for readiness checks of the load balancer, and for other entry
        hosts.
    seeds : list of str
        ``peer_listen`` of some entry hosts to contact first; they may be down.
    store : str
        ``IP:PORT`` of the metadata store of the users' platform.
    first_start : bool
        Whether the whole system starts for the first time, so that there are no callers yet. The
        host then waits longer for a copy of the store from other hosts before it reads the store
        itself. It opens no connections to servers ahead of requests until a first attempt has
        ended and a new server or routing table arrives after that.
    metrics_port : int
        Port that serves metrics, on the address of ``listen``; 0 disables them.
    leave_notice_s : float
        Time between reporting not ready and closing the listener, seconds. A load balancer that
        checks once a second and needs two failed checks takes a little over 2 s to react.
    grace_s : float
        Time from SIGTERM until the platform kills the process, seconds.
    config_apply_ms : float
        Time after the store has confirmed a configuration within which it must be in force on all
        hosts that the store can be reached from, directly or through others, milliseconds.
    retry_ratio, retry_allowance, retry_window_s : float
        Limit of the extra attempts that all entry hosts together send to a service in any window
        of ``retry_window_s`` seconds: ``retry_ratio`` for each request, plus ``retry_allowance``.
    log_level : str
        ``debug``, ``info``, ``warning`` or ``error``.
    max_connections : int
        Maximum number of concurrent connections of callers.
    cpu_share, cpu_speed : float
        Processor of the host: its share of a core, and the speed of that core as a multiple of the
        speed of a usual one. Their product decides which hosts run wide fan-outs.
    memory_mb : float
        Memory that the process may use, megabytes of 2**20 bytes; 0 if it is not limited.
    max_descriptors : int
        File descriptors that the process may use; 0 if they are not limited.
    evacuate_ms : float
        Time after the store has confirmed the evacuation of a zone within which no request may
        reach the servers of the zone any more, milliseconds; 0 if no zone is evacuated.
    warm_up_overshoot, warm_up_slack : float
        Limit of the requests that all entry hosts together send to a cold server in any second:
        the rate that the configuration states for its service, times ``warm_up_overshoot``, plus
        ``warm_up_slack``.
    """

    __slots__ = (
        "config_apply_ms",
        "cpu_share",
        "cpu_speed",
        "evacuate_ms",
        "first_start",
        "grace_s",
        "leave_notice_s",
        "listen",
        "log_level",
        "max_connections",
        "max_descriptors",
        "memory_mb",
        "metrics_port",
        "name",
        "peer_listen",
        "ready_listen",
        "retry_allowance",
        "retry_ratio",
        "retry_window_s",
        "seeds",
        "store",
        "warm_up_overshoot",
        "warm_up_slack",
        "zone",
    )

    def __init__(
        self,
        *,
        name: str,
        zone: str,
        listen: str,
        ready_listen: str,
        peer_listen: str,
        store: str,
        seeds: Iterable[str] = (),
        first_start: bool = False,
        metrics_port: int = 0,
        leave_notice_s: float = 2.3,
        grace_s: float = 6.0,
        config_apply_ms: float = 3000.0,
        retry_ratio: float = 0.1,
        retry_allowance: float = 10.0,
        retry_window_s: float = 10.0,
        log_level: str = "info",
        max_connections: int = 512,
        cpu_share: float = 1.0,
        cpu_speed: float = 1.0,
        memory_mb: float = 0.0,
        max_descriptors: int = 0,
        evacuate_ms: float = 0.0,
        warm_up_overshoot: float = 1.0,
        warm_up_slack: float = 0.0,
    ) -> None:
        self.memory_mb = memory_mb
        self.max_descriptors = max_descriptors
        self.evacuate_ms = evacuate_ms
        self.warm_up_overshoot = warm_up_overshoot
        self.warm_up_slack = warm_up_slack
        self.config_apply_ms = config_apply_ms
        self.cpu_share = cpu_share
        self.cpu_speed = cpu_speed
        self.name = name
        self.zone = zone
        self.listen = listen
        self.ready_listen = ready_listen
        self.peer_listen = peer_listen
        self.store = store
        self.seeds = list(seeds)
        self.first_start = first_start
        self.metrics_port = metrics_port
        self.leave_notice_s = leave_notice_s
        self.grace_s = grace_s
        self.retry_ratio = retry_ratio
        self.retry_allowance = retry_allowance
        self.retry_window_s = retry_window_s
        self.log_level = log_level
        self.max_connections = max_connections

    @property
    def cores(self) -> float:
        """Processor of the host in whole cores of usual speed."""
        return self.cpu_share * self.cpu_speed


@cache
def schema() -> dict[str, Any]:
    """Return the published JSON Schema of the settings of a gateway."""
    return decode_json(files("rhubarbway.settings").joinpath("gateway_schema.json").read_bytes())


def gateway_settings_from_bytes(
    data: bytes, *, source: str
) -> Result[GatewaySettings, list[Finding]]:
    """Parse and validate a document, JSON with comments; return settings, or all findings."""
    document = document_from_bytes(data, source=source, schema=schema())
    return document.map(lambda values: GatewaySettings(**values))
