"""The processes and stand-ins of a soak run, with a proxy on each path that can fail."""

from __future__ import annotations

import threading
import time
from pathlib import Path

from rhubarbway_standins.fault_proxy import FaultProxy, Route
from rhubarbway_standins.platform.gateways import GatewayProcesses
from rhubarbway_standins.platform.site import Site
from rhubarbway_standins.processes import free_ports


class Drain:
    """A time in which a server reports that it leaves; ``time.monotonic()`` instants."""

    __slots__ = ("begin", "end", "server")

    def __init__(self, *, server: str, begin: float) -> None:
        self.server = server
        self.begin = begin
        self.end = float("inf")


class SoakStage:
    """A site, gateways as processes, and the proxy between them; used as a context manager.

    Attributes
    ----------
    drains : list of Drain
        When which server has reported that it leaves.
    published_at : dict of int to float
        When each version of the configuration was published.
    exits : list of tuple of (int, int)
        Hosts that were asked to stop, with their exit codes.
    """

    __slots__ = (
        "drains",
        "exits",
        "gateways",
        "ports",
        "proxy",
        "published_at",
        "site",
        "starting",
    )

    def __init__(self, *, directory: Path, hosts: int, shards: int) -> None:
        self.ports = free_ports()
        self.site = Site(ports=self.ports, shards=shards)
        self.starting = threading.Lock()
        self.drains: list[Drain] = []
        self.published_at: dict[int, float] = {}
        self.exits: list[tuple[int, int]] = []
        self.gateways = GatewayProcesses(site=self.site, directory=directory, count=hosts)
        routes = [self.route(self.server_route(n), r.address) for n, r in self.servers()]
        routes += [self.route(self.store_route(n), self.site.store.address) for n in range(hosts)]
        self.proxy = FaultProxy(routes=routes)
        for number, _ in self.servers():
            self.register(number)
        for number, settings in enumerate(self.gateways.settings):
            settings.store = self.proxy.route_proxies[self.store_route(number)].route.listen
            self.gateways.processes[number] = self.gateways.process_of(settings)

    def __enter__(self) -> SoakStage:
        self.gateways.__enter__()
        return self

    def __exit__(self, *exception: object) -> None:
        for replica in self.site.replicas:
            replica.unpaused.set()
        self.gateways.__exit__()
        self.proxy.stop()
        self.site.__exit__()

    def servers(self):
        """Return the replicas with their numbers."""
        return list(enumerate(self.site.replicas))

    def route(self, name: str, upstream: str) -> Route:
        """Return a proxied path on a free port."""
        return Route(name=name, listen=f"127.0.0.1:{next(self.ports)}", upstream=upstream)

    def store_route(self, host: int) -> str:
        """Return the name of the path from a host to the store."""
        return f"store-{host}"

    def server_route(self, server: int) -> str:
        """Return the name of the path to a server."""
        return f"server-{server}"

    def register(self, server: int) -> None:
        """Write the entry of a server, whose address is that of its proxied path."""
        listen = self.proxy.route_proxies[self.server_route(server)].route.listen
        self.site.register(self.site.replicas[server], address=listen)

    def publish(self) -> None:
        """Publish the next configuration; its version names a route of its own."""
        document = self.site.configuration()
        marker = dict(document["routes"][1])
        marker |= {"name": f"marker-{self.site.version}", "pathPrefix": self.marker_path}
        document["routes"].append(marker)
        self.site.publish(document)
        self.published_at[self.site.version] = time.monotonic()

    @property
    def marker_path(self) -> str:
        """Path that only the newest version has."""
        return f"/marker-{self.site.version}/"

    def restart(self, host: int) -> None:
        """Start the process of a host, unless another fault that has ended did so already."""
        with self.starting:
            process = self.gateways.processes[host]
            if not process.is_running:
                process.start()

    def note_exit(self, host: int, code: int) -> None:
        """Record how a process that was asked to stop has ended."""
        self.exits.append((host, code))
