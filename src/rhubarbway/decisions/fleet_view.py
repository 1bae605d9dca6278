"""Which entry hosts exist, and which of them this one follows.

Nobody publishes the entry hosts. Each one tells the hosts that it follows about itself, and hears
from them about all others; a host that was not heard of for some time is forgotten.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable

from rhubarbway.decisions.config_readers import config_readers
from rhubarbway.decisions.rendezvous import ranked_hosts
from rhubarbway.model import EntryHost

# Hosts that read the store for all, when all of them reach it. The store may fall silent for some
# of them at the same time, which they notice only when their watch ends.
STORE_READERS = 3
# A host that was not heard of for this time is taken as gone, seconds. Followers ask each second
# and hear of the other hosts each two seconds.
FORGET_AFTER_S = 6.0
# The same in a large fleet, where a sign of life takes up to five relays of two seconds at most.
LARGE_FORGET_AFTER_S = 10.0
# The number of hosts that share limits falls only after this time, seconds, so that hosts which
# restart in turn do not raise the shares of the others.
COUNT_MEMORY_S = 12.0
# Followers of one host; more would cost a small host more than 1 % of a core.
FOLLOWERS = 16
# Up to this number of hosts, each one follows a host of another zone as well.
SMALL_FLEET = 16
# Hosts that share limits, until others were heard of.
UNKNOWN_COUNT = 12


class FleetMember:
    """What is known about one entry host.

    Attributes
    ----------
    address : str
        Where other hosts reach it; also its name.
    incarnation : str
        Name of one run of its process.
    heard_at : float
        ``time.monotonic()`` instant of its newest sign of life.
    blind : bool
        Whether it cannot reach the store.
    leaving : bool
        Whether it is about to stop.
    """

    __slots__ = ("address", "blind", "heard_at", "incarnation", "leaving", "zone")

    def __init__(
        self,
        *,
        address: str,
        zone: str,
        incarnation: str,
        heard_at: float,
        blind: bool = False,
        leaving: bool = False,
    ) -> None:
        self.address = address
        self.zone = zone
        self.incarnation = incarnation
        self.heard_at = heard_at
        self.blind = blind
        self.leaving = leaving


class FleetView:
    """The entry hosts that one host knows of, itself included.

    Examples
    --------
    >>> own = FleetMember(address="a:1", zone="z", incarnation="1", heard_at=0.0)
    >>> view = FleetView(own=own)
    >>> view.hear(FleetMember(address="b:1", zone="y", incarnation="2", heard_at=1.0))
    >>> view.count(now=1.0), sorted(view.readers(now=1.0))
    (2, ['a:1', 'b:1'])
    """

    __slots__ = ("below", "counts", "heard_any", "members", "own")

    def __init__(self, *, own: FleetMember) -> None:
        self.own = own
        self.members: dict[str, FleetMember] = {}
        self.heard_any = False
        # Newest signs of life that came from a follower of this host.
        self.below: dict[str, float] = {}
        # Number of live hosts by the second in which it was seen.
        self.counts: dict[int, int] = {}

    def hear(self, member: FleetMember, *, from_below: bool = False) -> None:
        """Take in a statement about a host, its own or a relayed one.

        ``from_below`` says that a follower of this host has made it.
        """
        if member.address == self.own.address:
            return
        if from_below:
            heard_at = self.below.get(member.address, member.heard_at)
            self.below[member.address] = max(heard_at, member.heard_at)
        self.heard_any = True
        known = self.members.get(member.address)
        if known is None or member.heard_at >= known.heard_at:
            self.members[member.address] = member

    @property
    def forget_after_s(self) -> float:
        """Time without a sign of life after which a host is taken as gone, seconds."""
        return FORGET_AFTER_S if len(self.members) < SMALL_FLEET else LARGE_FORGET_AFTER_S

    def alive(self, *, now: float) -> list[FleetMember]:
        """Return the hosts believed to run, this one included; forget the others."""
        oldest = now - self.forget_after_s
        for address in [key for key, member in self.members.items() if member.heard_at < oldest]:
            del self.members[address]
            self.below.pop(address, None)
        return [self.own, *self.members.values()]

    def told_upwards(self, *, now: float) -> list[FleetMember]:
        """Return the hosts of which those that this host follows hear only through it.

        Without them the top of the tree knows only its own followers, and each host places itself
        in a tree of its own.
        """
        oldest = now - self.forget_after_s
        return [
            member
            for member in self.alive(now=now)
            if self.below.get(member.address, float("-inf")) >= oldest
        ]

    def count(self, *, now: float) -> int:
        """Return the number of hosts that share limits: the most of the last seconds."""
        if not self.heard_any:
            return UNKNOWN_COUNT
        second = int(now)
        seen = len(self.alive(now=now))
        self.counts[second] = max(seen, self.counts.get(second, 0))
        for old in [key for key in self.counts if key < second - COUNT_MEMORY_S]:
            del self.counts[old]
        return max(self.counts.values())

    def readers(self, *, now: float) -> list[str]:
        """Return the addresses of the hosts that read the store, highest rank first."""
        staying = [member for member in self.alive(now=now) if not member.leaving]
        blind = [member.address for member in staying if member.blind]
        return config_readers(hosts_of(staying), blind=blind, count=STORE_READERS)

    def followed(self, *, now: float) -> list[str]:
        """Return the addresses of up to two hosts that this host follows.

        Hosts follow others of their own zone, since traffic between zones is dear. The hosts of a
        zone form a tree below its readers, by rank; the top of the tree follows readers of other
        zones. Readers that do not reach the store rank like other hosts. In a small fleet each host
        follows a reader that reaches the store.
        """
        staying = [member for member in self.alive(now=now) if not member.leaving]
        blind = {member.address for member in staying if member.blind}
        readers = self.readers(now=now)
        sighted = [name for name in readers if name not in blind] or readers
        zone = {member.address for member in staying if member.zone == self.own.zone}
        ranked = [host.name for host in ranked_hosts(hosts_of(staying), purpose="followed")]
        local = [name for name in sighted if name in zone]
        local += [name for name in ranked if name in zone and name not in local]
        own = self.own.address
        position = local.index(own) if own in local else len(local)
        remote = [name for name in sighted if name not in zone]
        remote += [name for name in ranked if name not in zone and name not in remote]
        return parents(local, position, remote=remote, is_small=len(staying) <= SMALL_FLEET)


def parents(
    local: list[str], position: int, *, remote: list[str], is_small: bool = False
) -> list[str]:
    """Return the one or two hosts that the host at a position of its zone follows.

    Parameters
    ----------
    local, remote : list of str
        Hosts of the own zone and of other zones, those to follow first.
    position : int
        Index of the host in ``local``; their number if it is not among them.
    is_small : bool
        Whether each host follows one host of another zone.

    Examples
    --------
    >>> parents(list("abcd"), 0, remote=list("xy")), parents(list("abcd"), 1, remote=list("xy"))
    (['x', 'y'], ['a', 'x'])
    >>> parents(list("abcd"), 3, remote=list("xy"))
    ['a', 'b']
    """
    first = (position - 1) // FOLLOWERS
    inner = [local[index] for index in (first, first + 1) if 0 <= index < min(position, len(local))]
    if is_small:
        inner = inner[:1]
    return (inner + remote)[:2]


def hosts_of(members: Iterable[FleetMember] | Collection[FleetMember]) -> list[EntryHost]:
    """Return members as entry hosts that are named by their address."""
    return [
        EntryHost(name=member.address, address=member.address, zone=member.zone)
        for member in members
    ]
