"""Choice of the entry hosts that use a server which accepts fewer connections than there are hosts.

Each host computes the choice from the membership alone. The hosts lie on a ring by their hash, and
a server takes as many of them as it has room for, from the position of its own hash on. A host that
joins or leaves therefore changes one other host of each server at most, and all servers are covered
evenly. Hosts are taken in tiers:

1. The hosts of the server's zone, since bytes between zones are priced.
2. Hosts of zones without a server of the service, of which each server takes one arc of the ring.
   With the first tier, each host has at least one server of each service.
3. The hosts with the most processor time, which run fan-outs of others.
4. All others.

References
----------
Beyer et al., "Site Reliability Engineering", 2016, chapter 20 (subsets of backends).
Hashemi et al., "Deterministic Aperture: A distributed, load balancing algorithm", Twitter, 2019.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Collection, Iterable, Sequence
from enum import Enum

import xxhash

from rhubarbway.decisions.delegation import FanOutHost
from rhubarbway.model import BackendServer

# Fraction of a server's connection cap that all entry hosts use together. The rest is left to
# connections that are being closed, which still count at the server.
USED_CONNECTION_FRACTION = 0.9
RING_SIZE = 2**64
# A host belongs to the third tier if it has at least this part of the processor time of the
# strongest one.
STRONG_HOST_FRACTION = 0.75


class ServerAccess(Enum):
    """How a host uses a server.

    ``RESERVE`` is for the hosts in the unused fraction of the cap: they use the server only when
    their other servers of the service fail.
    """

    USED = "used"
    RESERVE = "reserve"
    NONE = "none"


def ring_position(name: str) -> int:
    """Return the position of a host or server on the ring."""
    return xxhash.xxh3_64_intdigest(name.encode())


class Ring:
    """Sorted positions of some hosts.

    Examples
    --------
    >>> ring = Ring([1, 4, 9])
    >>> ring.count_between(2, 9), ring.count_between(9, 2), ring.count_between(4, 4)
    (1, 2, 0)
    """

    __slots__ = ("positions",)

    def __init__(self, positions: Iterable[int]) -> None:
        self.positions = sorted(positions)

    def count_between(self, start: int, end: int) -> int:
        """Return the number of hosts from ``start`` up to ``end``, which is not included."""
        before_start = bisect_left(self.positions, start)
        before_end = bisect_left(self.positions, end)
        if start <= end:
            return before_end - before_start
        return len(self.positions) - before_start + before_end


class ConnectionSubsets:
    """The servers that one host uses, for one membership.

    Parameters
    ----------
    own : FanOutHost
        This host.
    hosts : collection of FanOutHost
        All hosts of the fleet, this one included.
    """

    __slots__ = ("host_count", "is_strong", "own", "own_position", "positions", "rings")

    def __init__(self, *, own: FanOutHost, hosts: Collection[FanOutHost]) -> None:
        self.own = own
        self.host_count = len(hosts)
        least_cores = STRONG_HOST_FRACTION * max(host.cores for host in hosts)
        # Positions by zone, and by whether the host is one of those with the most processor time.
        self.positions: dict[tuple[str, bool], list[int]] = {}
        for host in hosts:
            key = (host.zone, host.cores >= least_cores)
            self.positions.setdefault(key, []).append(ring_position(host.address))
        self.rings = {key: Ring(positions) for key, positions in self.positions.items()}
        self.is_strong = own.cores >= least_cores
        self.own_position = ring_position(own.address)

    def applies(self, connection_cap: int | None) -> bool:
        """Whether the servers of a service have room for a part of the hosts only."""
        return (
            connection_cap is not None
            and connection_cap * USED_CONNECTION_FRACTION < self.host_count
        )

    def access(
        self, servers: Iterable[BackendServer], *, connection_cap: int
    ) -> dict[str, ServerAccess]:
        """Return how this host uses each server of one service, by id.

        Parameters
        ----------
        servers : iterable of BackendServer
            All servers of the service that accept requests.
        connection_cap : int
            Connections that each of them accepts from all hosts together.
        """
        ordered = sorted(servers, key=lambda server: server.id)
        zones = {server.zone for server in ordered}
        homed = self.homed_positions(ordered, zones)
        own_home = None if self.own.zone in zones else home_index(self.own_position, ordered)
        used = int(connection_cap * USED_CONNECTION_FRACTION)
        result = {}
        for index, server in enumerate(ordered):
            rank = self.rank(server, homed[index], is_home=index == own_home)
            reserve = ServerAccess.RESERVE if rank < connection_cap else ServerAccess.NONE
            result[server.id] = ServerAccess.USED if rank < used else reserve
        return result

    def homed_positions(
        self, ordered: Sequence[BackendServer], zones: Collection[str]
    ) -> list[dict[bool, Ring]]:
        """Return, for each server, the hosts of zones without one that it takes first."""
        homed: list[dict[bool, list[int]]] = [{True: [], False: []} for _ in ordered]
        for (zone, is_strong), positions in self.positions.items():
            if zone not in zones:
                for position in positions:
                    homed[home_index(position, ordered)][is_strong].append(position)
        return [
            {is_strong: Ring(positions) for is_strong, positions in one.items()} for one in homed
        ]

    def rank(self, server: BackendServer, homed: dict[bool, Ring], *, is_home: bool) -> int:
        """Return how many hosts the server takes before this one."""
        start, end = ring_position(server.id), self.own_position
        local = [ring for (zone, _), ring in self.rings.items() if zone == server.zone]
        if self.own.zone == server.zone:
            return sum(ring.count_between(start, end) for ring in local)
        local_count = sum(len(ring.positions) for ring in local)
        if is_home:
            return local_count + sum(ring.count_between(start, end) for ring in homed.values())
        others = [
            ring
            for (zone, is_strong), ring in self.rings.items()
            if zone != server.zone and is_strong is self.is_strong
        ]
        between = sum(ring.count_between(start, end) for ring in others)
        between -= homed[self.is_strong].count_between(start, end)
        first_tiers = local_count + sum(len(ring.positions) for ring in homed.values())
        if self.is_strong:
            return first_tiers + between
        strong_count = sum(
            len(ring.positions)
            for (zone, is_strong), ring in self.rings.items()
            if is_strong and zone != server.zone
        )
        return first_tiers + strong_count - len(homed[True].positions) + between


def home_index(position: int, ordered: Sequence[BackendServer]) -> int:
    """Return the index of the server that takes a host of a zone without servers first.

    The ring is turned by the hash of the service, so that the arcs of the servers of different
    services differ.
    """
    offset = ring_position(ordered[0].service)
    return (position + offset) % RING_SIZE * len(ordered) // RING_SIZE
