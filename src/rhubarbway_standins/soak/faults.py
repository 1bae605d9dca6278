"""Injection of each kind of fault; starting a fault returns the function that ends it."""

from __future__ import annotations

import signal
import socket
import time
from collections.abc import Callable
from random import Random

from rhubarbway.edge.json_codec import encode_json
from rhubarbway_standins.fault_proxy import REQUEST, RESPONSE
from rhubarbway_standins.platform.gateways import settings_document
from rhubarbway_standins.platform.site import ZONES
from rhubarbway_standins.platform.store import StoreMode
from rhubarbway_standins.soak.plan import MAX_FAULT_S
from rhubarbway_standins.soak.testbed import ColdPeriod, SoakTestbed

# Header whose value is encoded in UTF-8; HTTP permits such bytes in values.
NOT_ASCII_HEADER = "X-Origin: Timișoara, Brăila é\r\n".encode()
EndFault = Callable[[], None]
# Delay in each faulty direction of a path.
PATH_DELAY_MS = 120.0
# Longest time in which lost entries are written again after a restore of the store, and time after
# which an entry expires that nobody writes, seconds.
REWRITE_S = 1.9
EXPIRY_S = 3.6
# Bytes of a truncated reply that the proxy forwards.
TRUNCATE_AFTER_BYTES = 120


def do_nothing() -> None:
    """End a fault that needs no action to end."""


def host_kill(testbed: SoakTestbed, target_index: int) -> EndFault:
    """Kill a host, and start it again at the end of the fault."""
    testbed.gateways.processes[target_index].kill()
    return lambda: testbed.restart(target_index)


def host_stop(testbed: SoakTestbed, target_index: int) -> EndFault:
    """Ask a host to stop; wait for its exit and start it again at the end of the fault."""
    process = testbed.gateways.processes[target_index]
    process.send_signal(signal.SIGTERM)

    def restart() -> None:
        testbed.record_exit(target_index, process.stop())
        testbed.restart(target_index)

    return restart


def host_pause(testbed: SoakTestbed, target_index: int) -> EndFault:
    """Suspend a host's process for a time; the process gets no notice of it."""
    process = testbed.gateways.processes[target_index]
    process.send_signal(signal.SIGSTOP)
    return lambda: process.send_signal(signal.SIGCONT)


def host_reload(testbed: SoakTestbed, target_index: int) -> EndFault:
    """Change the settings file of a host, and send a signal for every second change.

    Without a signal, the host has to notice the change itself.
    """
    settings = testbed.gateways.settings[target_index]
    settings.retry_allowance += 1.0
    path = testbed.gateways.directory / f"{settings.name}.json"
    path.write_bytes(encode_json(settings_document(settings)))
    if int(settings.retry_allowance) % 2:
        testbed.gateways.processes[target_index].send_signal(signal.SIGHUP)
    return do_nothing


def store_path_fault(**path_faults: object) -> Callable[[SoakTestbed, int], EndFault]:
    """Return a fault of the path from one host to the store."""

    def begin(testbed: SoakTestbed, target_index: int) -> EndFault:
        route = testbed.store_route_name(target_index)
        for direction in (REQUEST, RESPONSE):
            testbed.proxy.set_faults(route, direction, **path_faults)

        def end() -> None:
            for direction in (REQUEST, RESPONSE):
                testbed.proxy.set_faults(route, direction)
            # Messages that the fault has held back must not arrive late, so the proxy resets their
            # connections.
            testbed.proxy.cut(route)

        return end

    return begin


def store_path_reset(testbed: SoakTestbed, target_index: int) -> EndFault:
    """Reset the connections of one host to the store."""
    testbed.proxy.cut(testbed.store_route_name(target_index))
    return do_nothing


def store_connections_silent(testbed: SoakTestbed, target_index: int) -> EndFault:
    """Make the open connections of one host to the store silent for good; new ones work."""
    testbed.proxy.silence(testbed.store_route_name(target_index))
    return do_nothing


def store_readers_cut(testbed: SoakTestbed, target_index: int) -> EndFault:
    """Cut the hosts that have connections to the store off from it, and no others."""
    state = testbed.proxy.state()
    begin = store_path_fault(freeze=True)
    ends = [
        begin(testbed, host)
        for host in range(len(testbed.gateways.processes))
        if state[testbed.store_route_name(host)]["connections"]
    ]

    def end() -> None:
        for end_one in ends:
            end_one()

    return end


def server_path_fault(
    direction: str, **path_faults: object
) -> Callable[[SoakTestbed, int], EndFault]:
    """Return a fault of one direction of the paths from all hosts to one server."""

    def begin(testbed: SoakTestbed, target_index: int) -> EndFault:
        route = testbed.server_route_name(target_index)
        testbed.proxy.set_faults(route, direction, **path_faults)
        return lambda: testbed.proxy.set_faults(route, direction)

    return begin


def server_reset(testbed: SoakTestbed, target_index: int) -> EndFault:
    """Reset all connections to one server."""
    testbed.proxy.cut(testbed.server_route_name(target_index))
    return do_nothing


def server_connections_silent(testbed: SoakTestbed, target_index: int) -> EndFault:
    """Make the open connections to one server silent for good; new ones work."""
    testbed.proxy.silence(testbed.server_route_name(target_index))
    return do_nothing


def server_restarted(testbed: SoakTestbed, target_index: int) -> EndFault:
    """End a server and delete its entry; it comes back under its id and address."""
    testbed.stop_server(target_index)
    return lambda: testbed.restart_server(target_index)


def server_headers_not_ascii(testbed: SoakTestbed, target_index: int) -> EndFault:
    """Make a server send a header with bytes outside ASCII, and close after each reply."""
    replica = testbed.site.replicas[target_index]

    def send(sock: socket.socket, encoded: bytes) -> bool:
        status_line, _, rest = encoded.partition(b"\r\n")
        sock.sendall(status_line + b"\r\n" + NOT_ASCII_HEADER + rest)
        return True

    replica.fault = send

    def end() -> None:
        replica.fault = None

    return end


def server_paused(testbed: SoakTestbed, target_index: int) -> EndFault:
    """Make a server accept requests without answering them."""
    replica = testbed.site.replicas[target_index]
    replica.unpaused.clear()
    return replica.unpaused.set


def server_drained(testbed: SoakTestbed, target_index: int) -> EndFault:
    """Register a server as draining, and as ready again at the end of the fault."""
    replica = testbed.site.replicas[target_index]
    replica.draining = True
    testbed.register_server(target_index)
    end_withdrawal = testbed.begin_withdrawal([replica.server_id])

    def end() -> None:
        end_withdrawal()
        replica.draining = False
        testbed.register_server(target_index)

    return end


def server_removed(testbed: SoakTestbed, target_index: int) -> EndFault:
    """Remove a server's entry while it goes on serving, and register it at the end of the fault."""
    replica = testbed.site.replicas[target_index]
    testbed.site.store.delete(f"servers/{replica.server_id}")
    end_withdrawal = testbed.begin_withdrawal([replica.server_id])

    def end() -> None:
        end_withdrawal()
        testbed.register_server(target_index)

    return end


def zone_evacuated(testbed: SoakTestbed, target_index: int) -> EndFault:
    """Ask for the evacuation of a zone, and take it back at the end."""
    zone = ZONES[target_index]
    key = f"op/evacuate/{zone}"
    testbed.site.store.put(key, b"{}")
    end_withdrawal = testbed.begin_withdrawal(
        replica.server_id for replica in testbed.site.replicas if replica.zone == zone
    )

    def end() -> None:
        end_withdrawal()
        testbed.site.store.delete(key)

    return end


def server_cold(testbed: SoakTestbed, target_index: int) -> EndFault:
    """Register a server as cold, and as warm again at the end of the fault."""
    replica = testbed.site.replicas[target_index]
    replica.warm_up_ms = int(MAX_FAULT_S * 1000)
    testbed.register_server(target_index)
    testbed.cold_periods.append(ColdPeriod(server=replica.server_id, started_at=time.monotonic()))

    def end() -> None:
        replica.warm_up_ms = 0
        for period in testbed.cold_periods:
            if period.server == replica.server_id:
                period.ended_at = min(period.ended_at, time.monotonic())
        testbed.register_server(target_index)

    return end


def burst(testbed: SoakTestbed, target_index: int) -> EndFault:
    """Make callers send without pauses, and burst callers send at all."""
    testbed.burst.set()
    return testbed.burst.clear


def servers_hold(testbed: SoakTestbed, target_index: int) -> EndFault:
    """Make all servers answer each request with 504 at its deadline.

    All attempts of a fan-out then end at the same instant as the request.
    """

    def set_all(holds: bool) -> None:
        for replica in testbed.site.replicas:
            replica.holds_until_deadline = holds

    set_all(True)
    return lambda: set_all(False)


def store_mode_fault(mode: StoreMode) -> Callable[[SoakTestbed, int], EndFault]:
    """Return a fault that puts the store into a mode."""

    def begin(testbed: SoakTestbed, target_index: int) -> EndFault:
        testbed.site.store.set_mode(mode)
        return lambda: testbed.site.store.set_mode(StoreMode.UP)

    return begin


def store_forgets(testbed: SoakTestbed, target_index: int) -> EndFault:
    """Make the store forget its history."""
    testbed.site.store.forget_history()
    return do_nothing


def store_copied(testbed: SoakTestbed, target_index: int) -> EndFault:
    """Make a copy of the store, from which a later fault restores it."""
    testbed.store_backup = testbed.site.store.backup()
    return do_nothing


def store_restored(testbed: SoakTestbed, target_index: int) -> EndFault:
    """Make the store refuse calls, and restore it from the last copy at the end of the fault.

    The servers and the operator then write again what it has lost, and what it should not have any
    more is deleted: entries that nobody writes after the time in which they expire.
    """
    store = testbed.site.store
    store.set_mode(StoreMode.REFUSING)

    def end() -> None:
        wanted = store.backup().items
        store.restore(testbed.store_backup)
        restored = store.backup().items
        store.set_mode(StoreMode.UP)
        random = Random(store.era)
        writes = [
            (REWRITE_S * random.random() if key in wanted else EXPIRY_S, key)
            for key in {*wanted, *restored}
            if wanted.get(key) != restored.get(key)
        ]
        restored_at = time.monotonic()
        for delay_s, key in sorted(writes):
            time.sleep(max(0.0, restored_at + delay_s - time.monotonic()))
            store.write_again(key, wanted[key][0] if key in wanted else None)

    return end


def configuration(testbed: SoakTestbed, target_index: int) -> EndFault:
    """Publish the next configuration."""
    testbed.publish_configuration()
    return do_nothing


FAULTS: dict[str, Callable[[SoakTestbed, int], EndFault]] = {
    "host_kill": host_kill,
    "host_stop": host_stop,
    "host_pause": host_pause,
    "host_reload": host_reload,
    "store_path_frozen": store_path_fault(freeze=True),
    "store_path_delayed": store_path_fault(delay_ms=PATH_DELAY_MS),
    "store_path_reset": store_path_reset,
    "server_delayed": server_path_fault(RESPONSE, delay_ms=PATH_DELAY_MS),
    "server_reset": server_reset,
    "server_frozen": server_path_fault(REQUEST, freeze=True),
    "server_replies_lost": server_path_fault(RESPONSE, drop=True),
    "server_replies_cut_short": server_path_fault(RESPONSE, truncate=TRUNCATE_AFTER_BYTES),
    "server_paused": server_paused,
    "server_drained": server_drained,
    "server_removed": server_removed,
    "store_refuses": store_mode_fault(StoreMode.REFUSING),
    "store_silent": store_mode_fault(StoreMode.SILENT),
    "store_forgets": store_forgets,
    "store_copied": store_copied,
    "store_restored": store_restored,
    "configuration": configuration,
    "store_connections_silent": store_connections_silent,
    "store_readers_cut": store_readers_cut,
    "server_connections_silent": server_connections_silent,
    "server_restarted": server_restarted,
    "server_headers_not_ascii": server_headers_not_ascii,
    "server_cold": server_cold,
    "burst": burst,
    "servers_hold": servers_hold,
    "zone_evacuated": zone_evacuated,
}
