"""Daemon ``rhubarbwayd --settings FILE``: entry host for queries of this project's own protocol.

It fans each query out to the shards that the manifest names. ``rhubarbway.gateway`` is the daemon
that forwards requests on the users' platform.
"""

from __future__ import annotations

import secrets
import signal
import sys
import time
from functools import partial
from pathlib import Path
from typing import Annotated

import typer
from returns.result import Success

from rhubarbway.decisions.host_limits import HostLimits
from rhubarbway.kernel import Kernel
from rhubarbway.model import HostIdentity
from rhubarbway.services.backends import BackendService
from rhubarbway.services.caller_memory import CallerMemoryService
from rhubarbway.services.crash_gossip import connect_crash_gossip
from rhubarbway.services.crashes import CrashService
from rhubarbway.services.drain_gossip import connect_drain_gossip
from rhubarbway.services.frontend import FrontendService
from rhubarbway.services.log import LogService
from rhubarbway.services.manifest import ManifestService
from rhubarbway.services.manifest_exchange import ManifestExchange
from rhubarbway.services.metrics import MetricsService
from rhubarbway.services.names import (
    BACKENDS,
    CALLER_MEMORY,
    CRASHES,
    FRONTEND,
    LOG,
    MANIFEST,
    MANIFEST_EXCHANGE,
    METRICS,
    PEERS,
    PLATFORM,
    QUERIES,
    SLICES,
    TOKENS,
)
from rhubarbway.services.peers import PeerService
from rhubarbway.services.platform import PlatformService
from rhubarbway.services.process_memory import free_large_buffers_at_once
from rhubarbway.services.queries import QueryService
from rhubarbway.services.slices import SliceService
from rhubarbway.services.tokens import TokenService
from rhubarbway.services.unexpected_data import unexpected_data_reporter
from rhubarbway.settings import Settings, settings_from_bytes

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def build_kernel(settings: Settings) -> Kernel:
    """Create a kernel and register all services of the daemon, without starting them."""
    identity = HostIdentity(
        name=settings.name,
        address=settings.advertise,
        zone=settings.zone,
        incarnation=secrets.token_hex(8),
        started_at=time.time(),
    )
    kernel = Kernel()
    kernel.register(LOG, LogService(level=settings.log_level))
    metrics = kernel.register(METRICS, MetricsService())
    report_unexpected_data = unexpected_data_reporter(metrics)
    limits = HostLimits(
        memory_mb=settings.memory_mb,
        max_descriptors=settings.max_descriptors,
        max_callers=settings.max_connections,
        max_peers=0,
        max_servers=0,
    )
    kernel.register(CALLER_MEMORY, CallerMemoryService(limit=limits.budget_bytes))
    kernel.register(
        MANIFEST, ManifestService(name=settings.name, check_floor=settings.version_floor == "peers")
    )
    backends = kernel.register(BACKENDS, BackendService(host=identity.name))
    backends.report_unexpected_data = report_unexpected_data
    crashes = kernel.register(CRASHES, CrashService(identity=identity))
    kernel.register(QUERIES, QueryService(identity=identity))
    slices = kernel.register(SLICES, SliceService(identity=identity))
    tokens = kernel.register(TOKENS, TokenService(identity=identity))
    for service in (slices, tokens):
        service.peer_connections.on_unexpected_data = partial(report_unexpected_data, "host")
    # Starts before the peer service, whose links use it to fetch manifests.
    kernel.register(MANIFEST_EXCHANGE, ManifestExchange())
    peers = PeerService(identity=identity, fellow_hosts=settings.fellow_hosts)
    kernel.register(PEERS, peers)
    peers.report_unexpected_data = report_unexpected_data
    connect_crash_gossip(crashes, peers)
    platform = PlatformService(
        configuration_service=settings.configuration_service, host_list=settings.host_list
    )
    platform.report_unexpected_data = report_unexpected_data
    kernel.register(PLATFORM, platform)
    connect_drain_gossip(backends, peers, platform)
    frontend = kernel.register(FRONTEND, FrontendService(settings=settings, identity=identity))
    frontend.max_connections = limits.callers
    return kernel


def run(
    settings_file: Annotated[
        Path, typer.Option("--settings", help="Settings file, JSON with comments.")
    ],
) -> None:
    """Run the daemon until SIGTERM or SIGINT, then shut down gracefully."""
    try:
        data = settings_file.read_bytes()
    except OSError as error:
        print(f"cannot read settings file {settings_file}: {error.strerror}", file=sys.stderr)
        raise typer.Exit(2) from None
    result = settings_from_bytes(data, source=str(settings_file))
    if not isinstance(result, Success):
        for finding in result.failure():
            print(finding, file=sys.stderr)
        raise typer.Exit(2)
    # The operating system may deliver a signal to any thread that does not block it. Delivered to
    # another thread, it would not wake the main thread, which runs the Python handlers. All threads
    # inherit this mask, so that only ``sigwait`` receives the signals.
    signal.pthread_sigmask(signal.SIG_BLOCK, STOP_SIGNALS)
    free_large_buffers_at_once()
    kernel = build_kernel(result.unwrap())
    kernel.start()
    signal.sigwait(STOP_SIGNALS)
    kernel.stop()


def main() -> None:
    """Entry point of ``rhubarbwayd``."""
    typer.run(run)


if __name__ == "__main__":
    main()
