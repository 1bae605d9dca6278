"""Processes and stand-ins of a soak run, with a proxy on each path that can fail."""

from __future__ import annotations

import os
import threading
import time
from collections.abc import Callable, Iterable, Sequence
from pathlib import Path

from rhubarbway_standins.fault_proxy import FaultProxy, Route
from rhubarbway_standins.platform.gateways import GatewayProcesses
from rhubarbway_standins.platform.site import Site
from rhubarbway_standins.processes import free_ports
from rhubarbway_standins.soak.plan import COLD_RATE, has_cold_servers, shared_cores


class Withdrawal:
    """Period in which a server is to get no requests: it drains, is removed or evacuated.

    Times are ``time.monotonic()`` instants; ``ended_at`` is infinite until the period ends.
    """

    __slots__ = (
        "ended_at",
        "server",
        "started_at",
    )

    def __init__(self, *, server: str, started_at: float) -> None:
        self.server = server
        self.started_at = started_at
        self.ended_at = float("inf")


class ColdPeriod(Withdrawal):
    """Period in which a server is cold."""

    __slots__ = ()


class SoakTestbed:
    """Site, gateway processes and the proxy between them; used as a context manager.

    ``cores`` gives the processor that the settings of each host state. ``seed`` decides whether
    hosts share cores.

    Attributes
    ----------
    burst : threading.Event
        Set while callers send without pauses.
    withdrawals : list of Withdrawal
        Periods in which servers were to get no requests.
    cold_periods : list of ColdPeriod
        Periods in which servers were cold.
    published_at : dict of int to float
        Instant at which each version of the configuration was published.
    stop_exit_codes : list of tuple of (int, int)
        Hosts that were asked to stop, with their exit codes.
    """

    __slots__ = (
        "bound_cores",
        "burst",
        "cold_periods",
        "gateways",
        "ports",
        "proxy",
        "published_at",
        "server_lock",
        "site",
        "start_lock",
        "stop_exit_codes",
        "store_backup",
        "withdrawals",
    )

    def __init__(
        self,
        *,
        directory: Path,
        hosts: int,
        shards: int,
        cores: Sequence[float] = (),
        seed: int = 1,
    ) -> None:
        self.burst = threading.Event()
        self.ports = free_ports()
        self.site = Site(
            ports=self.ports,
            shards=shards,
            warm_up_rate=COLD_RATE if has_cold_servers(seed) else 0.0,
        )
        # The last copy of the store.
        self.store_backup = self.site.store.backup()
        self.start_lock = threading.Lock()
        self.server_lock = threading.Lock()
        self.withdrawals: list[Withdrawal] = []
        self.cold_periods: list[ColdPeriod] = []
        self.published_at: dict[int, float] = {}
        self.stop_exit_codes: list[tuple[int, int]] = []
        self.gateways = GatewayProcesses(
            site=self.site, directory=directory, count=hosts, cores=cores, has_status=True
        )
        routes = [
            self.make_proxy_route(self.server_route_name(n), r.address)
            for n, r in self.numbered_replicas()
        ]
        routes += [
            self.make_proxy_route(self.store_route_name(n), self.site.store.address)
            for n in range(hosts)
        ]
        self.proxy = FaultProxy(routes=routes)
        for number, _ in self.numbered_replicas():
            self.register_server(number)
        self.bound_cores = shared_cores(
            seed=seed, hosts=hosts, cores=sorted(os.sched_getaffinity(0))
        )
        for number, settings in enumerate(self.gateways.settings):
            settings.store = self.proxy.route_proxies[self.store_route_name(number)].route.listen
            self.gateways.processes[number] = self.gateways.make_process(settings)

    def __enter__(self) -> SoakTestbed:
        try:
            self.gateways.__enter__()
        except BaseException:
            self.__exit__()
            raise
        for process, core in zip(self.gateways.processes, self.bound_cores, strict=True):
            if core is not None:
                process.bind(core)
        return self

    def __exit__(self, *exception: object) -> None:
        for replica in self.site.replicas:
            replica.unpaused.set()
        self.gateways.__exit__()
        self.proxy.stop()
        self.site.__exit__()

    def numbered_replicas(self):
        """Return the replicas with their numbers."""
        return list(enumerate(self.site.replicas))

    def make_proxy_route(self, name: str, upstream: str) -> Route:
        """Return a route of the proxy on a free port."""
        return Route(name=name, listen=f"127.0.0.1:{next(self.ports)}", upstream=upstream)

    def store_route_name(self, host: int) -> str:
        """Return the name of the proxy route from a host to the store."""
        return f"store-{host}"

    def server_route_name(self, server: int) -> str:
        """Return the name of the proxy route to a server."""
        return f"server-{server}"

    def register_server(self, server: int) -> None:
        """Write the entry of a server to the store, with the address of its proxy route."""
        listen = self.proxy.route_proxies[self.server_route_name(server)].route.listen
        self.site.register(self.site.replicas[server], address=listen)

    def begin_withdrawal(self, servers: Iterable[str]) -> Callable[[], None]:
        """Record that servers are to get no requests; return the function that records the end."""
        started_at = time.monotonic()
        begun = [Withdrawal(server=server, started_at=started_at) for server in servers]
        self.withdrawals += begun

        def end() -> None:
            for withdrawal in begun:
                withdrawal.ended_at = time.monotonic()

        return end

    def unexpected_requests(self) -> list[str]:
        """Return what hosts have sent to servers and to the store that is no request."""
        return [
            f"{name}: message {number} that is no request begins with {data!r}"
            for name, route_proxy in self.proxy.route_proxies.items()
            for number, data in enumerate(route_proxy.unexpected_requests)
        ]

    def publish_configuration(self) -> None:
        """Publish the next configuration, with a marker route that names its version."""
        document = self.site.configuration()
        marker = dict(document["routes"][1])
        marker |= {"name": f"marker-{self.site.version}", "pathPrefix": self.marker_path}
        document["routes"].append(marker)
        self.site.publish(document)
        self.published_at[self.site.version] = time.monotonic()

    @property
    def marker_path(self) -> str:
        """Path prefix of the marker route, which only the newest configuration has."""
        return f"/marker-{self.site.version}/"

    def restart(self, host: int) -> None:
        """Start the process of a host, unless the end of another fault has done so already."""
        with self.start_lock:
            process = self.gateways.processes[host]
            if not process.is_running:
                process.start()

    def stop_server(self, server: int) -> None:
        """End a server and delete its entry in the store."""
        replica = self.site.replicas[server]
        with self.server_lock:
            replica.stop()
            self.site.store.delete(f"servers/{replica.server_id}")

    def restart_server(self, server: int) -> None:
        """Start a server that has ended, unless the end of another fault has done so already."""
        replica = self.site.replicas[server]
        with self.server_lock:
            if replica.server.stopping:
                replica.restart()
                self.register_server(server)

    def record_exit(self, host: int, code: int) -> None:
        """Record the exit code of a host that was asked to stop."""
        self.stop_exit_codes.append((host, code))
