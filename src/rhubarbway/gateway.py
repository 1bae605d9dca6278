"""Gateway: daemon of an entry host that forwards requests on the users' platform.

It selects servers by the routing table of that platform. ``rhubarbway.daemon`` is the daemon for
queries of this project's own protocol.
"""

from __future__ import annotations

import os
import signal
import sys
import traceback
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any

from returns.result import Result, Success

from rhubarbway.decisions.fleet_view import DEFAULT_HOST_COUNT
from rhubarbway.decisions.host_limits import HostLimits
from rhubarbway.decisions.sliding_window_budget import SlidingWindowBudget
from rhubarbway.kernel import Kernel
from rhubarbway.model import Finding
from rhubarbway.platform.callers import request_from_http, response_to_http
from rhubarbway.platform.delegated_requests import (
    answer_of_delegate,
    delegated_request_encoder,
    delegated_version_and_elapsed,
    reply_from_delegate,
)
from rhubarbway.platform.replicas import (
    notice_from_http,
    reply_from_http,
    request_header_lines,
)
from rhubarbway.platform.store import StoreClient
from rhubarbway.services.caller_memory import CallerMemoryService
from rhubarbway.services.connection_failures import failure_reporter
from rhubarbway.services.connection_tasks import MAX_CONNECTION_TASKS
from rhubarbway.services.crashing_requests import CrashingRequestService
from rhubarbway.services.delegation import DelegationService, DelegationWire
from rhubarbway.services.fleet import MAX_PEER_CONNECTIONS, FleetService
from rhubarbway.services.forwarding import ForwardingService
from rhubarbway.services.gateway import GatewayService
from rhubarbway.services.gateway_status import GatewayStatus
from rhubarbway.services.invariants import InvariantService, mismatch_reporter
from rhubarbway.services.log import LogService, component_logger
from rhubarbway.services.metrics import MetricsService
from rhubarbway.services.metrics_endpoint import MetricsEndpoint
from rhubarbway.services.names import (
    CALLER_MEMORY,
    CRASHING_REQUESTS,
    DELEGATION,
    FLEET,
    FORWARDING,
    GATEWAY,
    GATEWAY_STATUS,
    INVARIANTS,
    LOG,
    METRICS,
    METRICS_ENDPOINT,
    REGISTRY,
    ROUTING,
    SERVERS,
    SETTINGS,
    STORE_READER,
)
from rhubarbway.services.process_memory import free_large_buffers_at_once
from rhubarbway.services.registry import RegistryService
from rhubarbway.services.routing import RoutingService
from rhubarbway.services.server_codec import ServerCodec
from rhubarbway.services.servers import ServerService
from rhubarbway.services.settings_reload import SettingsReload
from rhubarbway.services.store_reader import StoreReader
from rhubarbway.services.unexpected_data import unexpected_data_reporter
from rhubarbway.settings import GatewaySettings, gateway_settings_from_bytes

SETTINGS_VARIABLE = "RHUBARBWAY_CONFIG"
# Interval after which a thread that waits for the interpreter lock wakes up, seconds. Tasks release
# the lock much earlier, when they wait for a socket, so a long interval only saves wake-ups.
SWITCH_INTERVAL_S = 0.1
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
RELOAD_SIGNALS = (signal.SIGHUP,)


def make_delegate_codec(**functions: Callable[..., Any]) -> ServerCodec:
    """Return the codec of requests to delegates."""
    return ServerCodec(encode=delegated_request_encoder(**functions), decode=reply_from_delegate)


DELEGATION_WIRE = DelegationWire(
    make_codec=make_delegate_codec,
    decode_origin=delegated_version_and_elapsed,
    decode=request_from_http,
    encode=answer_of_delegate,
)


def build_retry_budget(settings: GatewaySettings) -> SlidingWindowBudget:
    """Create the retry budget; ``DEFAULT_HOST_COUNT`` applies until the host knows other hosts."""
    return SlidingWindowBudget(
        ratio=settings.retry_ratio,
        allowance=settings.retry_allowance,
        window_s=settings.retry_window_s,
        host_count=DEFAULT_HOST_COUNT,
    )


def apply_limit_s(settings: GatewaySettings) -> float:
    """Return the time within which a change of the store must be in force on each host, seconds.

    Configurations and evacuations travel together, so the shorter of the two bounds holds.

    Examples
    --------
    >>> host = {"name": "h", "zone": "z", "listen": "", "ready_listen": "", "peer_listen": ""}
    >>> settings = GatewaySettings(**host, store="", config_apply_ms=5000, evacuate_ms=4000)
    >>> apply_limit_s(settings), apply_limit_s(GatewaySettings(**host, store=""))
    (4.0, 3.0)
    """
    bounds_ms = (settings.config_apply_ms, settings.evacuate_ms)
    return min(bound_ms for bound_ms in bounds_ms if bound_ms) / 1000


def build_kernel(settings: GatewaySettings) -> Kernel:
    """Create a kernel and register all services of a gateway, without starting them."""
    kernel = Kernel()
    kernel.register(LOG, LogService(level=settings.log_level))
    metrics = kernel.register(METRICS, MetricsService())
    limits = HostLimits(
        memory_mb=settings.memory_mb,
        max_descriptors=settings.max_descriptors,
        max_callers=settings.max_connections,
        max_peers=MAX_PEER_CONNECTIONS,
        max_servers=MAX_CONNECTION_TASKS,
    )
    memory = kernel.register(CALLER_MEMORY, CallerMemoryService(limit=limits.budget_bytes))
    report_unexpected_data = unexpected_data_reporter(metrics)
    expect = kernel.register(INVARIANTS, InvariantService()).expect
    kernel.register(CRASHING_REQUESTS, CrashingRequestService())
    kernel.register(ROUTING, RoutingService())
    codec = ServerCodec(
        encode=request_header_lines, decode=reply_from_http, decode_notice=notice_from_http
    )
    servers = kernel.register(
        SERVERS,
        ServerService(
            codec=codec,
            address=settings.peer_listen,
            zone=settings.zone,
            preconnects=not settings.first_start,
            cores=settings.cores,
            warm_up_overshoot=settings.warm_up_overshoot,
            warm_up_slack=settings.warm_up_slack,
            max_connections=limits.servers,
        ),
    )
    servers.evacuation_listeners.append(metrics.set_zone_evacuated)
    servers.tasks.report_mismatch = mismatch_reporter(expect, side="server")
    servers.tasks.report_unexpected_data = report_unexpected_data
    forwarding = kernel.register(
        FORWARDING, ForwardingService(zone=settings.zone, budget=build_retry_budget(settings))
    )
    registry = kernel.register(
        REGISTRY,
        RegistryService(apply_limit_s=apply_limit_s(settings)),
    )
    kernel.register(
        STORE_READER,
        StoreReader(
            make_client=lambda: StoreClient(
                address=settings.store, on_unexpected_data=partial(report_unexpected_data, "store")
            )
        ),
    )
    registry.deferral.change_listeners += [
        servers.set_deferred_deletions,
        lambda known_since: metrics.deletions.set_deferred(len(known_since)),
    ]
    registry.deferral.end_listeners.append(metrics.deletions.observe_deferral)
    registry.eras.listeners.append(metrics.store_eras.record)
    registry.invalid_item_listeners.append(metrics.count_invalid_item)
    registry.confirmation_listeners.append(metrics.set_copy_confirmed)
    fleet = FleetService(
        listen=settings.peer_listen,
        zone=settings.zone,
        seeds=settings.seeds,
        is_first_start=settings.first_start,
        cores=settings.cores,
    )
    fleet.feed_reply_listeners.append(metrics.count_feed_reply)
    fleet.report_unexpected_data = report_unexpected_data
    fleet.report_mismatch = mismatch_reporter(expect, side="host")
    count_failure = metrics.count_connection_failure
    fleet.max_connections = limits.peers
    fleet.rules = memory.rules(side="host")
    fleet.report_failure = failure_reporter(count_failure, side="host")
    kernel.register(FLEET, fleet)
    kernel.register(DELEGATION, DelegationService(cores=settings.cores, wire=DELEGATION_WIRE))
    fleet.host_count_listeners += [
        servers.set_host_count,
        forwarding.budget.set_host_count,
        metrics.set_entry_hosts,
        lambda _: servers.record_members(fleet.live_members),
    ]
    servers.cold_attempt_listeners.append(metrics.shared_servers.count_cold_attempt)
    servers.reset_listeners.append(metrics.shared_servers.count_reset)
    metrics.shared_servers.count_cold_servers = servers.cold_server_count
    metrics.shared_servers.count_access = servers.sharing.count_access
    ip_address = settings.listen.rpartition(":")[0]
    kernel.register(
        METRICS_ENDPOINT, MetricsEndpoint(listen=f"{ip_address}:{settings.metrics_port}")
    )
    kernel.register(
        GATEWAY,
        GatewayService(
            listen=settings.listen,
            ready_listen=settings.ready_listen,
            notice_s=settings.leave_notice_s,
            grace_s=settings.grace_s,
            max_connections=limits.callers,
            decode=request_from_http,
            encode=response_to_http,
            report_mismatch=mismatch_reporter(expect, side="caller"),
            report_failure=failure_reporter(count_failure, side="caller"),
            report_ready_failure=failure_reporter(count_failure, side="load_balancer"),
        ),
    )
    kernel.register(GATEWAY_STATUS, GatewayStatus(name=settings.name, zone=settings.zone))
    return kernel


def read_settings(path: Path) -> Result[GatewaySettings, list[Finding]]:
    """Parse and validate a settings file; return the settings, or the findings."""
    return gateway_settings_from_bytes(path.read_bytes(), source=str(path))


def main() -> None:
    """Run until SIGTERM or SIGINT, then shut down gracefully; SIGHUP reloads the settings."""
    path = Path(os.environ.get(SETTINGS_VARIABLE, "settings.json"))
    try:
        result = read_settings(path)
    except OSError as error:
        sys.exit(f"cannot read settings file {path}: {error.strerror}")
    if not isinstance(result, Success):
        sys.exit("\n".join(str(finding) for finding in result.failure()))
    # All threads inherit this mask, so that only ``sigwait`` receives the signals.
    signal.pthread_sigmask(signal.SIG_BLOCK, (*STOP_SIGNALS, *RELOAD_SIGNALS))
    settings = result.unwrap()
    sys.setswitchinterval(SWITCH_INTERVAL_S)
    free_large_buffers_at_once()
    kernel = build_kernel(settings)
    kernel.register(SETTINGS, SettingsReload(path=path, in_force=settings))
    try:
        kernel.start()
    except Exception:
        traceback.print_exc()
        sys.stderr.flush()
        # Tasks of services that have already started would keep the process alive.
        os._exit(1)
    log = component_logger("gateway")
    log.info("Started.", host=settings.name, zone=settings.zone)
    # ``sigwait`` instead of ``sigtimedwait``: in CPython 3.11 the latter returns a signal that was
    # never sent if its timeout expires while the process is stopped.
    while signal.sigwait((*STOP_SIGNALS, *RELOAD_SIGNALS)) in RELOAD_SIGNALS:
        kernel.find(SETTINGS).request_reload()
    kernel.stop()
    log.info("Stopped.", host=settings.name)
    # Connection tasks that wait for a server would delay the exit until their timeouts expire.
    sys.stdout.flush()
    os._exit(0)
