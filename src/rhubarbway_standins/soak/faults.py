"""How each kind of fault is brought about; each function returns how it is ended."""

from __future__ import annotations

import signal
import time
from collections.abc import Callable

from rhubarbway.edge.json_codec import encoded
from rhubarbway_standins.fault_proxy import REQUEST, RESPONSE
from rhubarbway_standins.platform.gateways import settings_document
from rhubarbway_standins.platform.store import StoreMode
from rhubarbway_standins.soak.stage import Drain, SoakStage

End = Callable[[], None]
DELAY_MS = 120.0
# Bytes of a reply that are passed on before it is cut short.
CUT_AFTER_BYTES = 120


def nothing() -> None:
    """End a fault that ends by itself."""


def host_kill(stage: SoakStage, target: int) -> End:
    """Kill a host; it is started again."""
    stage.gateways.processes[target].kill()
    return lambda: stage.restart(target)


def host_stop(stage: SoakStage, target: int) -> End:
    """Ask a host to stop; it is started again once it has ended."""
    process = stage.gateways.processes[target]
    process.send_signal(signal.SIGTERM)

    def restart() -> None:
        stage.note_exit(target, process.stop())
        stage.restart(target)

    return restart


def host_pause(stage: SoakStage, target: int) -> End:
    """Stop a host's process for a time, without its knowledge."""
    process = stage.gateways.processes[target]
    process.send_signal(signal.SIGSTOP)
    return lambda: process.send_signal(signal.SIGCONT)


def host_reload(stage: SoakStage, target: int) -> End:
    """Change the settings file of a host, half of the times with a signal."""
    settings = stage.gateways.settings[target]
    settings.retry_allowance += 1.0
    path = stage.gateways.directory / f"{settings.name}.json"
    path.write_bytes(encoded(settings_document(settings)))
    if int(settings.retry_allowance) % 2:
        stage.gateways.processes[target].send_signal(signal.SIGHUP)
    return nothing


def store_path(**faults: object) -> Callable[[SoakStage, int], End]:
    """Return a fault of the path from one host to the store."""

    def begin(stage: SoakStage, target: int) -> End:
        route = stage.store_route(target)
        for direction in (REQUEST, RESPONSE):
            stage.proxy.set_faults(route, direction, **faults)

        def end() -> None:
            for direction in (REQUEST, RESPONSE):
                stage.proxy.set_faults(route, direction)
            # What was sent into the silence stays lost.
            stage.proxy.cut(route)

        return end

    return begin


def store_path_reset(stage: SoakStage, target: int) -> End:
    """Reset the connections of one host to the store."""
    stage.proxy.cut(stage.store_route(target))
    return nothing


def server_path(direction: str, **faults: object) -> Callable[[SoakStage, int], End]:
    """Return a fault of one direction of the paths from all hosts to one server."""

    def begin(stage: SoakStage, target: int) -> End:
        route = stage.server_route(target)
        stage.proxy.set_faults(route, direction, **faults)
        return lambda: stage.proxy.set_faults(route, direction)

    return begin


def server_reset(stage: SoakStage, target: int) -> End:
    """Reset all connections to one server."""
    stage.proxy.cut(stage.server_route(target))
    return nothing


def server_paused(stage: SoakStage, target: int) -> End:
    """Let a server accept requests without answering."""
    replica = stage.site.replicas[target]
    replica.unpaused.clear()
    return replica.unpaused.set


def server_drained(stage: SoakStage, target: int) -> End:
    """Let a server report that it leaves, and come back later."""
    replica = stage.site.replicas[target]
    replica.draining = True
    stage.register(target)
    drain = Drain(server=replica.server_id, begin=time.monotonic())
    stage.drains.append(drain)

    def end() -> None:
        drain.end = time.monotonic()
        replica.draining = False
        stage.register(target)

    return end


def store_mode(mode: StoreMode) -> Callable[[SoakStage, int], End]:
    """Return a fault of the store itself."""

    def begin(stage: SoakStage, target: int) -> End:
        stage.site.store.set_mode(mode)
        return lambda: stage.site.store.set_mode(StoreMode.UP)

    return begin


def store_forgets(stage: SoakStage, target: int) -> End:
    """Let the store forget its history."""
    stage.site.store.forget_history()
    return nothing


def configuration(stage: SoakStage, target: int) -> End:
    """Publish the next configuration."""
    stage.publish()
    return nothing


FAULTS: dict[str, Callable[[SoakStage, int], End]] = {
    "host_kill": host_kill,
    "host_stop": host_stop,
    "host_pause": host_pause,
    "host_reload": host_reload,
    "store_path_frozen": store_path(freeze=True),
    "store_path_delayed": store_path(delay_ms=DELAY_MS),
    "store_path_reset": store_path_reset,
    "server_delayed": server_path(RESPONSE, delay_ms=DELAY_MS),
    "server_reset": server_reset,
    "server_frozen": server_path(REQUEST, freeze=True),
    "server_replies_lost": server_path(RESPONSE, drop=True),
    "server_replies_cut_short": server_path(RESPONSE, truncate=CUT_AFTER_BYTES),
    "server_paused": server_paused,
    "server_drained": server_drained,
    "store_refuses": store_mode(StoreMode.REFUSING),
    "store_silent": store_mode(StoreMode.SILENT),
    "store_forgets": store_forgets,
    "configuration": configuration,
}
