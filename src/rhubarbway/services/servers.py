"""Backend servers in use, each with a pool of connections."""

from __future__ import annotations

import threading
import time
from collections import Counter
from collections.abc import Callable, Collection, Iterable, Mapping
from random import Random

from rhubarbway.decisions.connection_subsets import USED_CONNECTION_FRACTION
from rhubarbway.decisions.deferred_deletions import is_mass_deletion
from rhubarbway.decisions.delegation import FanOutHost
from rhubarbway.decisions.evacuation import EvacuatedZones, services_without_servers
from rhubarbway.decisions.fleet_view import DEFAULT_HOST_COUNT, FleetMember
from rhubarbway.decisions.preconnect import pools_to_preconnect, sharded_services
from rhubarbway.decisions.server_notices import LeavingMark, ServerNotices
from rhubarbway.decisions.slowness_reports import (
    SlownessReport,
    SlownessReports,
    first_hand_reports,
)
from rhubarbway.kernel import Kernel
from rhubarbway.model import (
    BackendServer,
    ExchangeOutcome,
    Incarnation,
    RoutingTable,
    ServerNotice,
)
from rhubarbway.services.connection_tasks import (
    MAX_CONNECTION_TASKS,
    ConnectionTasks,
    connection_task_limit,
)
from rhubarbway.services.log import component_logger
from rhubarbway.services.names import ROUTING
from rhubarbway.services.server_attempt import ServerAttempt
from rhubarbway.services.server_codec import ServerCodec
from rhubarbway.services.server_pool import ServerPool
from rhubarbway.services.server_sharing import ServerSharing
from rhubarbway.services.withdrawal_log import log_withdrawals

# Connection limit for each server of a service whose connection cap is not known yet.
DEFAULT_CONNECTION_LIMIT = 2

Observer = Callable[[ServerAttempt, ExchangeOutcome], None]
ColdAttemptListener = Callable[..., None]
ResetListener = Callable[..., None]


def connection_limit(connection_cap: int | None, host_count: int) -> int:
    """Return the maximum number of connections of one entry host to one server.

    Parameters
    ----------
    connection_cap : int or None
        Connections that the server accepts from all entry hosts together; None if unknown.
    host_count : int
        Entry hosts that share the cap.

    Examples
    --------
    >>> connection_limit(31, 9), connection_limit(77, 90), connection_limit(None, 9)
    (3, 1, 2)
    """
    if connection_cap is None:
        return DEFAULT_CONNECTION_LIMIT
    return max(1, int(connection_cap * USED_CONNECTION_FRACTION / max(1, host_count)))


class ServerService:
    """Keeps the list of servers, and a ``ServerPool`` for each server that accepts requests.

    Parameters
    ----------
    codec : ServerCodec
        Wire format of requests and replies.
    address, zone : str
        Address for other hosts, and zone of this host.
    preconnects : bool
        Whether connections are opened before requests need them. False if the whole system starts:
        connections would then be idle for too long before the first request. The outcome of a
        first attempt sets it; connections are then opened with the next new server or routing
        table.
    cores : float
        Processor of this host in whole cores, which allows it more connections.
    warm_up_overshoot, warm_up_slack : float
        See ``GatewaySettings``.
    max_connections : int
        Greatest number of connections to all servers that the descriptors of the host allow.
    """

    __slots__ = (
        "pools_by_service",
        "codec",
        "cold_attempt_listeners",
        "connection_caps",
        "cores",
        "deferred_deletions",
        "evacuated_zones",
        "evacuation_listeners",
        "fan_out_services",
        "host_count",
        "lock",
        "leaving_listeners",
        "log",
        "max_connections",
        "notices",
        "observers",
        "pools",
        "preconnects",
        "random",
        "reset_listeners",
        "runs_fan_outs",
        "servers",
        "sharing",
        "slowness_reports",
        "tasks",
        "zone",
    )

    def __init__(
        self,
        *,
        codec: ServerCodec,
        address: str = "",
        zone: str = "",
        preconnects: bool = False,
        cores: float = 0.0,
        warm_up_overshoot: float = 1.0,
        warm_up_slack: float = 0.0,
        max_connections: int = MAX_CONNECTION_TASKS,
    ) -> None:
        own = FanOutHost(address=address, zone=zone, cores=cores)
        self.sharing = ServerSharing(
            own=own, warm_up_overshoot=warm_up_overshoot, warm_up_slack=warm_up_slack
        )
        # Called with service and result (sent, withheld) of each attempt at a cold server, and with
        # the service of a server that has reset a new connection.
        self.cold_attempt_listeners: list[ColdAttemptListener] = []
        self.reset_listeners: list[ResetListener] = []
        self.cores = cores
        self.max_connections = max_connections
        self.codec = codec
        self.zone = zone
        self.preconnects = preconnects
        self.random = Random()
        # Services that are a shard of some route, so that each request of the route goes to them.
        self.fan_out_services: set[str] = set()
        self.evacuated_zones = EvacuatedZones()
        # Called with each zone whose evacuation begins (True) or ends (False).
        self.evacuation_listeners: list[Callable[[str, bool], None]] = []
        # All servers by id, including those that are draining or in an evacuated zone.
        self.servers: dict[str, BackendServer] = {}
        # By incarnation, so that a restarted server gets a new pool.
        self.pools: dict[tuple[str, int, str, str], ServerPool] = {}
        # Replaced as a whole, so that requests can read it without the lock.
        self.pools_by_service: dict[str, list[ServerPool]] = {}
        self.connection_caps: dict[str, int] = {}
        # By server id, since when the deletion of its entry is known that is not applied yet.
        self.deferred_deletions: Mapping[str, float] = {}
        self.host_count = DEFAULT_HOST_COUNT
        self.observers: list[Observer] = []
        # What servers said of themselves, kept while their pools come and go.
        self.notices = ServerNotices()
        # Whether fan-outs run on this host; ``DelegationService`` replaces it.
        self.runs_fan_outs: Callable[[], bool] = lambda: True
        # Called after a server has announced to this host that it leaves.
        self.leaving_listeners: list[Callable[[], None]] = []
        # Recent reports about slow servers, of this host and of others.
        self.slowness_reports = SlownessReports()
        self.lock = threading.Lock()
        limit = min(connection_task_limit(DEFAULT_HOST_COUNT, cores=cores), max_connections)
        self.tasks = ConnectionTasks(limit=limit)
        self.log = component_logger("servers")

    def start(self, kernel: Kernel) -> None:
        """Subscribe to the routing table, which contains the connection caps."""
        kernel.find(ROUTING).listeners.append(self.apply_table)

    def stop(self) -> None:
        """Close all connections."""
        with self.lock:
            pools = list(self.pools.values())
        for pool in pools:
            pool.close()
        self.tasks.stop()

    def apply_table(self, table: RoutingTable) -> None:
        """Apply the connection caps and the shards of a new routing table."""
        with self.lock:
            self.connection_caps = dict(table.max_connections)
            self.sharing.apply_table(table)
            self.fan_out_services = sharded_services(table.routes)
            self.apply_limits()
            self.apply_servers()
            self.preconnect()

    def set_host_count(self, host_count: int) -> None:
        """Set the number of entry hosts that share the connection caps."""
        if host_count == self.host_count:
            return
        with self.lock:
            self.host_count = max(1, host_count)
            self.apply_limits()
        limit = min(connection_task_limit(host_count, cores=self.cores), self.max_connections)
        self.tasks.set_limit(limit)
        self.log.info(
            "Number of entry hosts changed.", hosts=host_count, connection_task_limit=limit
        )

    def record_members(self, live_members: Callable[[], Iterable[FleetMember]]) -> None:
        """Apply a changed membership to the servers that hosts share."""
        now = time.monotonic()
        if not self.sharing.is_record_due(now):
            return
        members = live_members()
        with self.lock:
            counts_before = self.sharing.count_access()
            if not self.sharing.record_members(members, now=now):
                return
            self.apply_servers()
            counts = self.sharing.count_access()
        if counts != counts_before:
            self.log.info(
                "Servers chosen by the membership.", hosts=len(self.sharing.members), **counts
            )

    def cold_server_count(self) -> int:
        """Return the number of servers in use that are cold and have a limit."""
        now = time.monotonic()
        return sum(
            pool.state.is_cold(now) and pool.state.cold_limit.is_limited()
            for pool in list(self.pools.values())
        )

    def apply_limits(self) -> None:
        """Set the connection limit of all pools; the caller holds the lock."""
        for pool in self.pools.values():
            pool.state.max_connections = self.limit_of(pool.server)

    def limit_of(self, server: BackendServer) -> int:
        """Return this host's connection limit for a server; the caller holds the lock."""
        return connection_limit(self.connection_caps.get(server.service), self.host_count)

    def update(self, changed: Iterable[BackendServer], removed: Iterable[str]) -> None:
        """Apply new and changed servers, and remove those with the ids in ``removed``."""
        with self.lock:
            for server_id in removed:
                self.servers.pop(server_id, None)
            for server in changed:
                self.servers[server.id] = server
            self.apply_servers()

    def set_deferred_deletions(self, known_since: Mapping[str, float]) -> None:
        """Replace the deletions, by server id, that are known but not applied yet."""
        with self.lock:
            self.deferred_deletions = known_since
            for pool in self.pools.values():
                self.mark_deletion(pool)

    def mark_deletion(self, pool: ServerPool) -> None:
        """Record in a pool whether its server's entry was deleted; the caller holds the lock."""
        deletions = self.deferred_deletions
        known_since = deletions.get(pool.server.id)
        pool.state.deletion_known_since = known_since
        pool.state.is_probably_gone = known_since is not None and not is_mass_deletion(
            len(deletions), serving=len(self.servers)
        )

    def set_evacuated_zones(self, zones: Collection[str]) -> None:
        """Stop using the servers of these zones, and use those of all others again."""
        now = time.monotonic()
        with self.lock:
            ages_s = self.evacuated_zones.ages_s(now=now)
            begun, ended = self.evacuated_zones.replace(zones, now=now)
            if not begun and not ended:
                return
            withdrawn = [
                pool for pool in self.pools.values() if self.evacuated_zones.includes(pool.server)
            ]
            self.apply_servers()
            in_use = self.count_by_zone()
            unserved = services_without_servers(self.servers.values(), self.evacuated_zones)
        for zone in begun:
            self.log.info(
                "Evacuation of a zone began.",
                zone=zone,
                servers_withdrawn=sum(pool.server.zone == zone for pool in withdrawn),
                services_without_servers=unserved[:8],
            )
        for zone in ended:
            self.log.info(
                "Evacuation of a zone ended.",
                zone=zone,
                after_s=round(ages_s[zone], 2),
                servers=in_use.get(zone, 0),
            )
        for listener in self.evacuation_listeners:
            for zone in (*begun, *ended):
                listener(zone, zone in begun)

    def count_by_zone(self) -> dict[str, int]:
        """Return the number of servers in use in each zone; the caller holds the lock."""
        return dict(sorted(Counter(pool.server.zone for pool in self.pools.values()).items()))

    def apply_servers(self) -> None:
        """Create pools for new servers, and close those of servers that get no more requests.

        These are draining, leaving or removed, or in an evacuated zone. The attempts that wait for
        them go to other servers. The caller holds the lock.
        """
        pools: dict[tuple[str, int, str, str], ServerPool] = {}
        pools_by_service: dict[str, list[ServerPool]] = {}
        for server in self.servers.values():
            if (
                server.draining
                or self.notices.is_leaving(server.incarnation)
                or self.evacuated_zones.includes(server)
            ):
                continue
            pool = self.pools.get(server.incarnation)
            if pool is None:
                pool = self.make_pool(server)
            elif pool.server is not server:
                pool.update_server(server)
                self.log_cold_server(pool)
            pools[server.incarnation] = pool
            pools_by_service.setdefault(server.service, []).append(pool)
        gone = [pool for key, pool in self.pools.items() if key not in pools]
        added = [pool.server.id for key, pool in pools.items() if key not in self.pools]
        self.pools = pools
        self.pools_by_service = {
            service: self.sharing.usable_pools(service, service_pools)
            for service, service_pools in pools_by_service.items()
        }
        if gone or added:
            self.log.info(
                "Servers changed.",
                added=added[:8],
                gone=[pool.server.id for pool in gone][:8],
                serving=len(pools),
            )
            log_withdrawals(self.log, gone, servers=self.servers, notices=self.notices)
        for pool in gone:
            if self.evacuated_zones.includes(pool.server):
                pool.mark_evacuated()
            pool.close()
        if added:
            self.preconnect()

    def preconnect(self) -> None:
        """Open connections that the next fan-out would need; the caller holds the lock."""
        if not self.preconnects or not self.runs_fan_outs():
            return
        for pool in pools_to_preconnect(
            self.pools_by_service,
            services=self.fan_out_services,
            zone=self.zone,
            random=self.random,
        ):
            pool.preconnect()

    def handle_notice(self, pool: ServerPool, notice: ServerNotice) -> None:
        """Apply what a server states about itself, in the task that received its reply."""
        server = pool.server
        now = time.monotonic()
        if notice.load is not None:
            with pool.lock:
                pool.state.record_load(notice.load, now)
        if notice.quiet_s is not None:
            with self.lock:
                until = self.notices.record_quiet(server.incarnation, notice.quiet_s, now=now)
            if until > pool.state.quiet_until:
                pool.set_quiet_until(until)
                self.log.info(
                    "Server asked for no requests.", server=server.id, for_s=round(until - now, 3)
                )
        if notice.warm_up_s is not None:
            pool.set_cold_for(notice.warm_up_s)
            self.log_cold_server(pool)
        if notice.leaving and not pool.state.leaving:
            # Also a pool that is no longer in use may have attempts that wait.
            pool.mark_leaving()
            mark = LeavingMark(incarnation=server.incarnation, announced_at=now)
            if self.merge_leaving([mark]):
                self.log.info("Server announced that it leaves.", server=server.id)
                for listener in self.leaving_listeners:
                    listener()

    def merge_leaving(self, marks: Iterable[LeavingMark]) -> bool:
        """Merge marks of leaving servers, and stop using these; return whether one is new."""
        marks = list(marks)
        if not marks:
            return False
        with self.lock:
            is_new = self.notices.merge(marks)
            pools = [pool for mark in marks if (pool := self.pools.get(mark.incarnation))]
            if pools:
                self.apply_servers()
        for pool in pools:
            pool.mark_leaving()
        return is_new

    def leaving_to_share(self) -> list[LeavingMark]:
        """Return the marks of leaving servers that other hosts may need."""
        with self.lock:
            listed: set[Incarnation] = {
                server.incarnation for server in self.servers.values() if not server.draining
            }
            return self.notices.marks_to_share(listed=listed, now=time.monotonic())

    def reports_to_share(self) -> list[SlownessReport]:
        """Return the unexpired reports about slow servers, for other hosts.

        They include the newest observations of this host.
        """
        now = time.monotonic()
        with self.lock:
            pools = list(self.pools.values())
            self.slowness_reports.merge(
                first_hand_reports((pool.state for pool in pools), now=now), now=now
            )
            return self.slowness_reports.to_share(now=now)

    def merge_reports(self, reports: Iterable[SlownessReport]) -> bool:
        """Merge another host's reports; return whether one is about a server not yet reported."""
        now = time.monotonic()
        received = {report.server: report for report in reports}
        if not received:
            return False
        with self.lock:
            known = {report.server for report in self.slowness_reports.unexpired(now=now)}
            self.slowness_reports.merge(received.values(), now=now)
            pools = [pool for pool in self.pools.values() if pool.server.id in received]
        applied = [pool.server.id for pool in pools if pool.merge_report(received[pool.server.id])]
        if applied:
            self.log.debug("Reports of slow servers applied.", servers=applied[:8])
        return bool(received.keys() - known)

    def make_pool(self, server: BackendServer) -> ServerPool:
        """Return a new pool for a server; the caller holds the lock."""
        pool = ServerPool(
            server=server,
            max_connections=self.limit_of(server),
            codec=self.codec,
            tasks=self.tasks,
            observe=self.observe,
            handle_notice=self.handle_notice,
            report_reset=self.report_reset,
            report_cold_attempt=self.report_cold_attempt,
        )
        pool.state.quiet_until = self.notices.quiet_end(server.incarnation)
        pool.state.cold_limit = self.sharing.cold_limit(server)
        self.mark_deletion(pool)
        self.log_cold_server(pool)
        return pool

    def log_cold_server(self, pool: ServerPool) -> None:
        """Log how many requests this host may send to a server with a limit that is cold."""
        now = time.monotonic()
        if pool.state.is_cold(now) and pool.state.cold_limit.is_limited():
            self.log.info(
                "Server is cold.",
                server=pool.server.id,
                for_s=round(pool.state.warm_at - now, 3),
                requests_per_s=pool.state.cold_limit.share(),
                hosts_known=self.sharing.cold_shares.zone_hosts is not None,
            )

    def report_reset(self, server: BackendServer) -> None:
        """Pass a reset of a new connection to the listeners."""
        self.log.debug("Server reset a new connection.", server=server.id)
        for listener in self.reset_listeners:
            listener(service=server.service)

    def report_cold_attempt(self, server: BackendServer, *, is_sent: bool) -> None:
        """Pass an attempt at a cold server to the listeners; log one that was withheld."""
        if not is_sent:
            self.log.debug("Attempt at a cold server withheld.", server=server.id)
        for listener in self.cold_attempt_listeners:
            listener(service=server.service, result="sent" if is_sent else "withheld")

    def observe(self, attempt: ServerAttempt, outcome: ExchangeOutcome) -> None:
        """Pass an outcome to the observers, and allow preconnecting from now on."""
        self.preconnects = True
        for observer in self.observers:
            observer(attempt, outcome)
