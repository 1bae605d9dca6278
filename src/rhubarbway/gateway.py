"""The daemon of an entry host on the users' platform: forwards requests along a routing table."""

from __future__ import annotations

import os
import signal
import sys
import traceback
from pathlib import Path

from returns.result import Result, Success

from rhubarbway.decisions.fleet_view import DEFAULT_HOST_COUNT
from rhubarbway.decisions.sliding_window_budget import SlidingWindowBudget
from rhubarbway.kernel import Kernel
from rhubarbway.model import Finding
from rhubarbway.platform.consumers import request_of, response_of
from rhubarbway.platform.replicas import reply_of, request_lines
from rhubarbway.platform.store import StoreClient
from rhubarbway.services.fleet import FleetService
from rhubarbway.services.forwarding import ForwardingService
from rhubarbway.services.gateway import GatewayService
from rhubarbway.services.invariants import InvariantService
from rhubarbway.services.log import LogService, part_logger
from rhubarbway.services.losses import LossService
from rhubarbway.services.metrics import MetricsService
from rhubarbway.services.metrics_endpoint import MetricsEndpoint
from rhubarbway.services.names import (
    FLEET,
    FORWARDING,
    GATEWAY,
    INVARIANTS,
    LOG,
    LOSSES,
    METRICS,
    METRICS_ENDPOINT,
    REGISTRY,
    ROUTING,
    SERVERS,
    SETTINGS,
)
from rhubarbway.services.registry import RegistryService
from rhubarbway.services.routing import RoutingService
from rhubarbway.services.server_pool import ReplicaDialect
from rhubarbway.services.servers import ServerService
from rhubarbway.services.settings_reload import SettingsReload
from rhubarbway.settings import GatewaySettings, gateway_settings_from_bytes

SETTINGS_VARIABLE = "RHUBARBWAY_CONFIG"
# A thread that waits for the interpreter wakes after each such interval, seconds. Tasks run for far
# less before they wait for a socket, so a longer interval only saves the wake-ups.
SWITCH_INTERVAL_S = 0.1
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
RELOAD_SIGNALS = (signal.SIGHUP,)


def budget_of(settings: GatewaySettings) -> SlidingWindowBudget:
    """Return the limit of further attempts, for a host that knows no other one yet."""
    return SlidingWindowBudget(
        ratio=settings.retry_ratio,
        allowance=settings.retry_allowance,
        window_s=settings.retry_window_s,
        hosts=DEFAULT_HOST_COUNT,
    )


def kernel_of(settings: GatewaySettings) -> Kernel:
    """Return a kernel with all services of a gateway, not yet started."""
    kernel = Kernel()
    kernel.register(LOG, LogService(level=settings.log_level))
    metrics = kernel.register(METRICS, MetricsService())
    kernel.register(INVARIANTS, InvariantService())
    kernel.register(LOSSES, LossService())
    kernel.register(ROUTING, RoutingService())
    dialect = ReplicaDialect(encode=request_lines, decode=reply_of)
    servers = kernel.register(
        SERVERS,
        ServerService(dialect=dialect, zone=settings.zone, opens_ahead=not settings.first_start),
    )
    forwarding = kernel.register(
        FORWARDING, ForwardingService(zone=settings.zone, budget=budget_of(settings))
    )
    kernel.register(
        REGISTRY, RegistryService(make_client=lambda: StoreClient(address=settings.store))
    )
    fleet = FleetService(
        listen=settings.peer_listen,
        zone=settings.zone,
        seeds=settings.seeds,
        is_first_start=settings.first_start,
    )
    kernel.register(FLEET, fleet)
    fleet.listeners += [
        servers.note_hosts,
        forwarding.budget.set_hosts,
        metrics.set_entry_hosts,
    ]
    address = settings.listen.rpartition(":")[0]
    kernel.register(METRICS_ENDPOINT, MetricsEndpoint(listen=f"{address}:{settings.metrics_port}"))
    kernel.register(
        GATEWAY,
        GatewayService(
            listen=settings.listen,
            ready_listen=settings.ready_listen,
            notice_s=settings.leave_notice_s,
            grace_s=settings.grace_s,
            max_connections=settings.max_connections,
            decode=request_of,
            encode=response_of,
        ),
    )
    return kernel


def read_settings(path: Path) -> Result[GatewaySettings, list[Finding]]:
    """Return the settings of a file, or all findings."""
    return gateway_settings_from_bytes(path.read_bytes(), source=str(path))


def main() -> None:
    """Run until SIGTERM or SIGINT, then stop gracefully."""
    path = Path(os.environ.get(SETTINGS_VARIABLE, "settings.json"))
    try:
        result = read_settings(path)
    except OSError as error:
        sys.exit(f"{path}: {error.strerror}")
    if not isinstance(result, Success):
        sys.exit("\n".join(str(finding) for finding in result.failure()))
    # Threads inherit this mask, so that only ``sigwait`` takes the signals.
    signal.pthread_sigmask(signal.SIG_BLOCK, (*STOP_SIGNALS, *RELOAD_SIGNALS))
    settings = result.unwrap()
    sys.setswitchinterval(SWITCH_INTERVAL_S)
    kernel = kernel_of(settings)
    kernel.register(SETTINGS, SettingsReload(path=path, in_force=settings))
    try:
        kernel.start()
    except Exception:
        traceback.print_exc()
        sys.stderr.flush()
        # Tasks of services that started already would keep the process alive.
        os._exit(1)
    log = part_logger("gateway")
    log.info("Started.", host=settings.name, zone=settings.zone)
    # ``sigwait`` has no time limit: CPython 3.11 returns a signal that never came when the limit of
    # ``sigtimedwait`` passes while the process is stopped.
    while signal.sigwait((*STOP_SIGNALS, *RELOAD_SIGNALS)) in RELOAD_SIGNALS:
        kernel.find(SETTINGS).request()
    kernel.stop()
    log.info("Stopped.", host=settings.name)
    # Connection tasks that wait for a server would hold the interpreter until their time limit.
    sys.stdout.flush()
    os._exit(0)
