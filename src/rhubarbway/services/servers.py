"""All backend servers in use, with a pool of connections to each."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor
from random import Random

from rhubarbway.decisions.early_connections import pools_to_open, sharded_services
from rhubarbway.decisions.fleet_view import UNKNOWN_COUNT
from rhubarbway.decisions.server_news import ServerNews, ServerReport, own_reports
from rhubarbway.kernel import Kernel
from rhubarbway.model import BackendServer, ExchangeOutcome, RoutingTable
from rhubarbway.services.log import component_logger
from rhubarbway.services.names import ROUTING
from rhubarbway.services.server_pool import ReplicaDialect, ServerAttempt, ServerPool

MAX_CONNECTION_TASKS = 2048
# Connections to each replica of a service whose cap is not known yet.
DEFAULT_CONNECTIONS = 2
# Part of a server's connections that all entry hosts together use. Connections that are being
# closed still count at the server.
USED_CONNECTION_SHARE = 0.9

Observer = Callable[[ServerAttempt, ExchangeOutcome], None]


def connection_limit(connections: int | None, hosts: int) -> int:
    """Return how many connections of a server one entry host may use.

    Examples
    --------
    >>> connection_limit(31, 9), connection_limit(77, 90), connection_limit(None, 9)
    (3, 1, 2)
    """
    if connections is None:
        return DEFAULT_CONNECTIONS
    return max(1, int(connections * USED_CONNECTION_SHARE / max(1, hosts)))


class ServerService:
    """Knows the servers and owns one ``ServerPool`` for each that may get work.

    Parameters
    ----------
    dialect : ReplicaDialect
        Wire format of requests and replies.
    zone : str
        Zone of this host.
    opens_ahead : bool
        Whether connections are opened before requests need them. When the whole system starts this
        begins with the first request: until then they would be idle for too long.
    """

    __slots__ = (
        "by_service",
        "connections",
        "dialect",
        "executor",
        "hosts",
        "lock",
        "log",
        "news",
        "observers",
        "opens_ahead",
        "pools",
        "random",
        "servers",
        "sharded",
        "zone",
    )

    def __init__(
        self, *, dialect: ReplicaDialect, zone: str = "", opens_ahead: bool = False
    ) -> None:
        self.dialect = dialect
        self.zone = zone
        self.opens_ahead = opens_ahead
        self.random = Random()
        # Services to which each request of some route goes.
        self.sharded: set[str] = set()
        # Entries by id, those of leaving servers included.
        self.servers: dict[str, BackendServer] = {}
        self.pools: dict[tuple[str, int, str, str], ServerPool] = {}
        # Replaced as a whole, so that requests read it without a lock.
        self.by_service: dict[str, list[ServerPool]] = {}
        self.connections: dict[str, int] = {}
        self.hosts = UNKNOWN_COUNT
        self.observers: list[Observer] = []
        # What other hosts have told about slow servers.
        self.news = ServerNews()
        self.lock = threading.Lock()
        self.executor = ThreadPoolExecutor(MAX_CONNECTION_TASKS, thread_name_prefix="server")
        self.log = component_logger("servers")

    def start(self, kernel: Kernel) -> None:
        """Follow the routing table, which states the connection caps."""
        kernel.find(ROUTING).listeners.append(self.note_table)

    def stop(self) -> None:
        """Close all connections."""
        with self.lock:
            pools = list(self.pools.values())
        for pool in pools:
            pool.close()
        self.executor.shutdown(wait=False, cancel_futures=True)

    def note_table(self, table: RoutingTable) -> None:
        """Take over the connection caps of a new routing table."""
        with self.lock:
            self.connections = dict(table.max_connections)
            self.sharded = sharded_services(table.routes)
            self.apply_limits()
            self.open_ahead()

    def note_hosts(self, hosts: int) -> None:
        """Take over the number of entry hosts that share the connections."""
        if hosts == self.hosts:
            return
        with self.lock:
            self.hosts = max(1, hosts)
            self.apply_limits()
        self.log.info("Entry hosts counted.", hosts=hosts)

    def apply_limits(self) -> None:
        """Set the connection limit of all pools; the lock is held."""
        for pool in self.pools.values():
            pool.state.limit = self.limit_of(pool.server)

    def limit_of(self, server: BackendServer) -> int:
        """Return how many connections of a server this host may use now; the lock is held."""
        return connection_limit(self.connections.get(server.service), self.hosts)

    def update(self, changed: Iterable[BackendServer], removed: Iterable[str]) -> None:
        """Add, replace and drop servers."""
        with self.lock:
            for server_id in removed:
                self.servers.pop(server_id, None)
            for server in changed:
                self.servers[server.id] = server
            self.apply_servers()

    def apply_servers(self) -> None:
        """Open pools for new servers and close those of servers that leave; the lock is held."""
        pools: dict[tuple[str, int, str, str], ServerPool] = {}
        by_service: dict[str, list[ServerPool]] = {}
        for server in self.servers.values():
            if server.draining:
                continue
            pool = self.pools.get(server.incarnation)
            if pool is None:
                pool = self.new_pool(server)
            elif pool.server is not server:
                pool.describe(server)
            pools[server.incarnation] = pool
            by_service.setdefault(server.service, []).append(pool)
        gone = [pool for key, pool in self.pools.items() if key not in pools]
        added = [pool.server.id for key, pool in pools.items() if key not in self.pools]
        self.pools = pools
        self.by_service = by_service
        if gone or added:
            self.log.info(
                "Servers changed.",
                added=added[:8],
                gone=[pool.server.id for pool in gone][:8],
                serving=len(pools),
            )
        for pool in gone:
            pool.close()
        if added:
            self.open_ahead()

    def open_ahead(self) -> None:
        """Open connections that the next wide query would have to open; the lock is held."""
        if not self.opens_ahead:
            return
        for pool in pools_to_open(
            self.by_service, services=self.sharded, zone=self.zone, random=self.random
        ):
            pool.open_ahead()

    def reports(self) -> list[ServerReport]:
        """Return what other hosts should know about slow servers."""
        now = time.monotonic()
        with self.lock:
            pools = list(self.pools.values())
            self.news.merge(own_reports((pool.state for pool in pools), now=now), now=now)
            return self.news.recent(now=now)

    def take_reports(self, reports: Iterable[ServerReport]) -> bool:
        """Take in what another host tells about slow servers; return whether one is new."""
        now = time.monotonic()
        told = {report.server: report for report in reports}
        if not told:
            return False
        with self.lock:
            known = {report.server for report in self.news.recent(now=now)}
            self.news.merge(told.values(), now=now)
            pools = [pool for pool in self.pools.values() if pool.server.id in told]
        applied = [pool.server.id for pool in pools if pool.take_report(told[pool.server.id])]
        if applied:
            self.log.debug("Slow servers were reported.", servers=applied[:8])
        return bool(told.keys() - known)

    def new_pool(self, server: BackendServer) -> ServerPool:
        """Return the pool of a server that was not in use."""
        return ServerPool(
            server=server,
            limit=self.limit_of(server),
            dialect=self.dialect,
            spawn=self.executor.submit,
            observe=self.observe,
        )

    def observe(self, attempt: ServerAttempt, outcome: ExchangeOutcome) -> None:
        """Pass an outcome on to the observers."""
        self.opens_ahead = True
        for observer in self.observers:
            observer(attempt, outcome)
