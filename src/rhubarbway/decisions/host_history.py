"""The hosts that an entry host has seen, remembered for longer than they stay live.

Limits that hosts share without counting together are divided by the membership. A host that is
briefly unreachable may still send, so its part must not go to another one at once.
"""

from __future__ import annotations

from collections.abc import Iterable

from rhubarbway.decisions.delegation import FanOutHost

# Time without news of a further host after which a started host takes its membership as complete,
# seconds. Within it an announcement reaches all hosts of a large fleet over five relays.
SETTLE_S = 12.0
# Time for which a host that is no longer live is remembered, seconds. It exceeds the longest
# partition that the system is designed for.
REMEMBERED_S = 3900.0


class SeenHost:
    """A host, and the instant at which it was last live."""

    __slots__ = ("host", "last_live_at")

    def __init__(self, *, host: FanOutHost, last_live_at: float) -> None:
        self.host = host
        self.last_live_at = last_live_at


class HostHistory:
    """The hosts that one host has seen, itself included.

    Parameters
    ----------
    own : FanOutHost
        This host.

    Attributes
    ----------
    newest_at : float
        Instant at which a host was seen for the first time; infinite before the first one.
    is_settled : bool
        Whether the membership has been complete once, see ``SETTLE_S``.

    Examples
    --------
    >>> a, b = (FanOutHost(address=name, zone="z", cores=1.0) for name in "ab")
    >>> history = HostHistory(own=a)
    >>> history.record([a, b], now=0.0)
    >>> history.is_settled
    False
    >>> history.record([a], now=SETTLE_S)
    >>> history.is_settled, [host.address for host in history.hosts(within_s=30.0, now=SETTLE_S)]
    (True, ['a', 'b'])
    """

    __slots__ = ("is_settled", "newest_at", "own", "seen")

    def __init__(self, *, own: FanOutHost) -> None:
        self.own = own
        self.seen: dict[str, SeenHost] = {}
        self.newest_at = float("inf")
        self.is_settled = False

    def record(self, live: Iterable[FanOutHost], *, now: float) -> None:
        """Record the hosts that are live now."""
        for host in live:
            if host.address == self.own.address:
                continue
            if host.address not in self.seen:
                self.newest_at = now
            self.seen[host.address] = SeenHost(host=host, last_live_at=now)
        expired = [
            name for name, seen in self.seen.items() if now - seen.last_live_at > REMEMBERED_S
        ]
        for name in expired:
            del self.seen[name]
        self.is_settled = self.is_settled or now - self.newest_at >= SETTLE_S

    def hosts(self, *, within_s: float, now: float) -> list[FanOutHost]:
        """Return this host and those that were live within a time, by address."""
        others = [seen.host for seen in self.seen.values() if now - seen.last_live_at <= within_s]
        return sorted([self.own, *others], key=lambda host: host.address)
