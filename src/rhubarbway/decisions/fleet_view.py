"""Membership of the fleet of entry hosts, and the choice of the hosts that a host follows.

A host follows up to two others, which send it the changes of the store. There is no published list
of entry hosts. Each host announces itself to the hosts that it follows, and receives from them the
members that they know. Members that stop announcing themselves expire. A *blind* host is one whose
last read of the store failed.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from random import Random

import xxhash

from rhubarbway.decisions.config_readers import select_readers
from rhubarbway.decisions.rendezvous import ranked_hosts, spread_over_zones
from rhubarbway.model import EntryHost

# Number of hosts that read the store on behalf of all; substitutes are added for those that cannot
# reach it. There are several, since the store may stop answering some of them, which they notice
# only when their watch ends.
STORE_READER_COUNT = 3
# A host expires this long after its last announcement, seconds. Followers announce themselves each
# second and receive the other members every two seconds.
MEMBER_EXPIRY_S = 6.0
# Expiry in a large fleet, seconds. An announcement takes up to five relays there, of at most 2 s
# each.
LARGE_FLEET_MEMBER_EXPIRY_S = 10.0
# The number of hosts that share limits (of connections to servers, and of extra attempts) is the
# maximum over this time, seconds. Otherwise a rolling restart would raise the shares of the
# remaining hosts.
HOST_COUNT_WINDOW_S = 12.0
# Branching factor of the tree in which the hosts of a zone follow each other. A host follows its
# parent in the tree and the host ranked after the parent, so a host has up to twice as many
# followers in its zone. More would cost a small host more than 1 % of a core.
TREE_BRANCHING_FACTOR = 16
# Up to this number of hosts a fleet is small: the second host that a host follows is one of another
# zone, and ``MEMBER_EXPIRY_S`` applies.
SMALL_FLEET_HOSTS = 16
# Assumed number of hosts that share limits, until other hosts are known.
DEFAULT_HOST_COUNT = 12


class FleetMember:
    """State of one entry host as known to another.

    Attributes
    ----------
    address : str
        Address for other hosts; also the name of the host.
    incarnation : str
        Identifier of one run of its process.
    last_seen_at : float
        ``time.monotonic()`` instant of its newest announcement.
    blind : bool
        Whether the last read of the store by the host failed.
    leaving : bool
        Whether the host is about to stop.
    cores : float
        Processor of the host in whole cores; 0 if it has not announced it, and then it takes no
        fan-outs of other hosts.
    """

    __slots__ = ("address", "blind", "cores", "last_seen_at", "incarnation", "leaving", "zone")

    def __init__(
        self,
        *,
        address: str,
        zone: str,
        incarnation: str,
        last_seen_at: float,
        blind: bool = False,
        leaving: bool = False,
        cores: float = 0.0,
    ) -> None:
        self.cores = cores
        self.address = address
        self.zone = zone
        self.incarnation = incarnation
        self.last_seen_at = last_seen_at
        self.blind = blind
        self.leaving = leaving


class FleetView:
    """The entry hosts that one host knows, itself included.

    Examples
    --------
    >>> own = FleetMember(address="a:1", zone="z", incarnation="1", last_seen_at=0.0)
    >>> view = FleetView(own=own)
    >>> view.merge(FleetMember(address="b:1", zone="y", incarnation="2", last_seen_at=1.0))
    >>> view.host_count(now=1.0), sorted(view.readers(now=1.0))
    (2, ['a:1', 'b:1'])
    """

    __slots__ = ("last_seen_by_followers", "recent_counts", "has_seen_others", "members", "own")

    def __init__(self, *, own: FleetMember) -> None:
        self.own = own
        self.members: dict[str, FleetMember] = {}
        self.has_seen_others = False
        # Instant of the newest announcement of each host that has arrived in a follower's request,
        # by address of the announced host.
        self.last_seen_by_followers: dict[str, float] = {}
        # Largest number of live hosts in each second, by the second of ``time.monotonic()``.
        self.recent_counts: dict[int, int] = {}

    def merge(self, member: FleetMember, *, from_follower: bool = False) -> None:
        """Merge the state of a host, from the host itself or relayed by another one.

        ``from_follower`` tells that it arrived in the request of a follower, or of a host that
        queries this one as a seed, whose request looks the same.
        """
        if member.address == self.own.address:
            return
        if from_follower:
            last_seen_at = self.last_seen_by_followers.get(member.address, member.last_seen_at)
            self.last_seen_by_followers[member.address] = max(last_seen_at, member.last_seen_at)
        self.has_seen_others = True
        known = self.members.get(member.address)
        if known is None or member.last_seen_at >= known.last_seen_at:
            self.members[member.address] = member

    @property
    def member_expiry_s(self) -> float:
        """Time after its last announcement at which a host expires, seconds."""
        return (
            MEMBER_EXPIRY_S
            if len(self.members) < SMALL_FLEET_HOSTS
            else LARGE_FLEET_MEMBER_EXPIRY_S
        )

    def alive(self, *, now: float) -> list[FleetMember]:
        """Return the live hosts, this one included, and drop the expired ones."""
        cutoff = now - self.member_expiry_s
        for address in [
            key for key, member in self.members.items() if member.last_seen_at < cutoff
        ]:
            del self.members[address]
            self.last_seen_by_followers.pop(address, None)
        return [self.own, *self.members.values()]

    def digest(self, *, now: float) -> str:
        """Return a digest of the live hosts; two hosts that know the same hosts have the same."""
        addresses = sorted(member.address for member in self.alive(now=now))
        return xxhash.xxh3_64_hexdigest("\n".join(addresses).encode())

    def downstream_members(self, *, now: float) -> list[FleetMember]:
        """Return the live hosts that this host knows through its followers.

        The hosts that this one follows learn of these members only through it. Otherwise the hosts
        at the top of the tree (see ``followed_hosts``) would know only their direct followers, and
        each host would compute a different tree.
        """
        cutoff = now - self.member_expiry_s
        return [
            member
            for member in self.alive(now=now)
            if self.last_seen_by_followers.get(member.address, float("-inf")) >= cutoff
        ]

    def host_count(self, *, now: float) -> int:
        """Return the number of hosts that share limits: the maximum over ``HOST_COUNT_WINDOW_S``.

        Returns ``DEFAULT_HOST_COUNT`` until another host is known.
        """
        if not self.has_seen_others:
            return DEFAULT_HOST_COUNT
        second = int(now)
        live = len(self.alive(now=now))
        self.recent_counts[second] = max(live, self.recent_counts.get(second, 0))
        for expired in [key for key in self.recent_counts if key < second - HOST_COUNT_WINDOW_S]:
            del self.recent_counts[expired]
        return max(self.recent_counts.values())

    def readers(self, *, now: float) -> list[str]:
        """Return the addresses of the hosts that read the store, highest rank first."""
        candidates = [member for member in self.alive(now=now) if not member.leaving]
        blind = [member.address for member in candidates if member.blind]
        return select_readers(entry_hosts_from(candidates), blind=blind, count=STORE_READER_COUNT)

    def is_first_reader(self, *, now: float) -> bool:
        """Return whether this host is the first of the readers that reach the store."""
        readers = self.readers(now=now)
        blind = {member.address for member in self.alive(now=now) if member.blind}
        connected = [address for address in readers if address not in blind]
        return bool(connected) and connected[0] == self.own.address

    def is_stale_reader(self, *, now: float, count: int) -> bool:
        """Return whether this host is one of ``count`` others that read while copies are stale.

        They are spread over the zones, since a zone may be cut off as a whole.
        """
        readers = self.readers(now=now)
        candidates = [
            member
            for member in self.alive(now=now)
            if not member.leaving and member.address not in readers
        ]
        ranked = ranked_hosts(entry_hosts_from(candidates), key="stale-reader")
        chosen = spread_over_zones(ranked, count)
        return self.own.address in [host.name for host in chosen]

    def random_member(self, random: Random, *, seeds: Collection[str] = ()) -> str | None:
        """Return the address of any other host that does not leave, None without one.

        Seeds that are not known as hosts are among those to choose from.
        """
        addresses = [member.address for member in self.members.values() if not member.leaving]
        addresses += [seed for seed in seeds if seed not in self.members]
        return random.choice(addresses) if addresses else None

    def followed_hosts(self, *, now: float) -> list[str]:
        """Return the addresses of up to two hosts that this host follows.

        Hosts follow others of their own zone, since traffic between zones is expensive. The hosts
        of a zone form a tree by rendezvous rank with its readers at the top; each host follows its
        parent and the host ranked after the parent. Hosts at the top that have fewer than two hosts
        to follow in the zone follow hosts of other zones, readers first. Readers that cannot reach
        the store rank like other hosts. In a small fleet each host follows a reader that reaches
        the store, unless it is itself the only such reader or there is none.

        A leaving host follows others as if it had the last rank of its zone; no host follows it.
        """
        candidates = [member for member in self.alive(now=now) if not member.leaving]
        blind = {member.address for member in candidates if member.blind}
        readers = self.readers(now=now)
        connected_readers = [name for name in readers if name not in blind] or readers
        zone_addresses = {member.address for member in candidates if member.zone == self.own.zone}
        ranked = [host.name for host in ranked_hosts(entry_hosts_from(candidates), key="followed")]
        local = [name for name in connected_readers if name in zone_addresses]
        local += [name for name in ranked if name in zone_addresses and name not in local]
        own = self.own.address
        position = local.index(own) if own in local else len(local)
        remote = [name for name in connected_readers if name not in zone_addresses]
        remote += [name for name in ranked if name not in zone_addresses and name not in remote]
        return select_followed(
            local, position, remote=remote, is_small=len(candidates) <= SMALL_FLEET_HOSTS
        )


def select_followed(
    local: list[str], position: int, *, remote: list[str], is_small: bool = False
) -> list[str]:
    """Return the hosts, two at most, that the host at a position of its zone follows.

    Parameters
    ----------
    local, remote : list of str
        Hosts of the own zone and of other zones, the preferred ones first.
    position : int
        Index of the host in ``local``; the length of ``local`` for a leaving host, which is not in
        it.
    is_small : bool
        Whether the fleet is small, so that each host follows at most one host of its own zone.

    Examples
    --------
    >>> [select_followed(list("abcd"), position, remote=list("xy")) for position in (0, 1)]
    [['x', 'y'], ['a', 'x']]
    >>> select_followed(list("abcd"), 3, remote=list("xy"))
    ['a', 'b']
    """
    parent_index = (position - 1) // TREE_BRANCHING_FACTOR
    parent_hosts = [
        local[index]
        for index in (parent_index, parent_index + 1)
        if 0 <= index < min(position, len(local))
    ]
    if is_small:
        parent_hosts = parent_hosts[:1]
    return (parent_hosts + remote)[:2]


def entry_hosts_from(members: Iterable[FleetMember] | Collection[FleetMember]) -> list[EntryHost]:
    """Return members as entry hosts that are named by their address."""
    return [
        EntryHost(name=member.address, address=member.address, zone=member.zone)
        for member in members
    ]
