"""What this host may use of servers that all entry hosts share, by the membership of the fleet."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

from rhubarbway.decisions.connection_subsets import ConnectionSubsets, ServerAccess
from rhubarbway.decisions.delegation import FanOutHost
from rhubarbway.decisions.fleet_view import FleetMember
from rhubarbway.decisions.host_history import REMEMBERED_S, HostHistory
from rhubarbway.decisions.warm_up import ColdRequestLimit, ColdShares
from rhubarbway.model import BackendServer, RoutingTable
from rhubarbway.services.log import component_logger
from rhubarbway.services.server_pool import ServerPool

# Least interval at which the membership is recorded, seconds. A host learns of members with each
# exchange, several times a second.
RECORD_INTERVAL_S = 1.0
# Time for which a host that is no longer live keeps its place in the subsets, seconds. A host that
# restarts then moves no connections of others.
SUBSET_MEMORY_S = 30.0


class ServerSharing:
    """Limits of cold servers and subsets of connections; the caller of ``apply`` holds a lock.

    Parameters
    ----------
    own : FanOutHost
        This host.
    warm_up_overshoot, warm_up_slack : float
        See ``GatewaySettings``.
    """

    __slots__ = (
        "access",
        "cold_shares",
        "connection_caps",
        "history",
        "last_recorded_at",
        "log",
        "members",
        "subsets",
    )

    def __init__(
        self, *, own: FanOutHost, warm_up_overshoot: float = 1.0, warm_up_slack: float = 0.0
    ) -> None:
        self.history = HostHistory(own=own)
        self.cold_shares = ColdShares(
            address=own.address,
            zone=own.zone,
            overshoot=warm_up_overshoot,
            slack=warm_up_slack,
        )
        self.connection_caps: Mapping[str, int] = {}
        self.members: list[tuple[str, str, float]] = []
        self.subsets = ConnectionSubsets(own=own, hosts=[own])
        # By service: the ids of its servers, and the access to each of them.
        self.access: dict[str, tuple[tuple[str, ...], dict[str, ServerAccess]]] = {}
        self.last_recorded_at = float("-inf")
        self.log = component_logger("servers")

    def apply_table(self, table: RoutingTable) -> None:
        """Apply the rates of cold servers and the connection caps of a new routing table."""
        self.cold_shares.set_rates(table.warm_up_rates)
        self.connection_caps = dict(table.max_connections)
        self.access = {}

    def is_record_due(self, now: float) -> bool:
        """Whether the membership was recorded ``RECORD_INTERVAL_S`` ago or earlier."""
        return now >= self.last_recorded_at + RECORD_INTERVAL_S

    def record_members(self, live_members: Iterable[FleetMember], *, now: float) -> bool:
        """Record the live hosts; return whether the subsets may have changed."""
        self.last_recorded_at = now
        own = self.history.own
        self.history.record(
            (
                FanOutHost(address=member.address, zone=member.zone, cores=member.cores)
                for member in live_members
            ),
            now=now,
        )
        if self.history.is_settled:
            remembered = self.history.hosts(within_s=REMEMBERED_S, now=now)
            self.cold_shares.set_zone_hosts(
                tuple(host.address for host in remembered if host.zone == own.zone)
            )
        hosts = self.history.hosts(within_s=SUBSET_MEMORY_S, now=now)
        members = [(host.address, host.zone, host.cores) for host in hosts]
        if members == self.members:
            return False
        self.members = members
        self.subsets = ConnectionSubsets(own=own, hosts=hosts)
        self.access = {}
        return True

    def cold_limit(self, server: BackendServer) -> ColdRequestLimit:
        """Return the limit of this host's requests to a server while it is cold."""
        return ColdRequestLimit(share=lambda: self.cold_shares.share(server))

    def usable_pools(self, service: str, pools: Sequence[ServerPool]) -> list[ServerPool]:
        """Return the pools of a service that this host uses, and mark those in reserve.

        The idle connections of the others end.
        """
        connection_cap = self.connection_caps.get(service)
        if connection_cap is None or not self.subsets.applies(connection_cap):
            for pool in pools:
                pool.state.is_reserve = False
            return list(pools)
        access = self.access_to(service, pools, connection_cap)
        usable = []
        for pool in pools:
            pool.state.is_reserve = access[pool.server.id] is ServerAccess.RESERVE
            if access[pool.server.id] is ServerAccess.NONE:
                pool.end_idle_connections()
            else:
                usable.append(pool)
        return usable

    def access_to(
        self, service: str, pools: Sequence[ServerPool], connection_cap: int
    ) -> dict[str, ServerAccess]:
        """Return the access to the servers of a service, computed anew if these have changed."""
        ids = tuple(sorted(pool.server.id for pool in pools))
        known = self.access.get(service)
        if known is None or known[0] != ids:
            servers = [pool.server for pool in pools]
            known = ids, self.subsets.access(servers, connection_cap=connection_cap)
            self.access[service] = known
        return known[1]

    def count_access(self) -> dict[str, int]:
        """Return the number of servers by access, of the services with a subset."""
        known = list(self.access.values())
        accesses = [access for _, by_id in known for access in by_id.values()]
        return {access.value: accesses.count(access) for access in ServerAccess}
