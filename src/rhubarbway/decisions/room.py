"""Whether a request can be answered in time, from what this host knows of the servers' room.

The estimate of each shard has two parts: the wait until the request is sent, and the exchange with
the server. Only the wait shows that room is short. A request whose servers are merely slow is sent,
since refusing it would not free anything that others need.
"""

from __future__ import annotations

import math
from collections.abc import Sequence

from rhubarbway.model import Route

# Part of the time until the target that a request must be expected to wait for room before room
# counts as scarce, and the request may be refused.
MIN_WAIT_FRACTION = 0.15


class ShardOutlook:
    """Expected times of one shard, seconds: the wait until it is asked, and its exchange."""

    __slots__ = ("exchange_s", "wait_s")

    def __init__(self, *, wait_s: float, exchange_s: float) -> None:
        self.wait_s = wait_s
        self.exchange_s = exchange_s

    @property
    def total_s(self) -> float:
        """Expected time until the reply of the shard, seconds."""
        return self.wait_s + self.exchange_s


def required_shards(route: Route) -> int:
    """Return the number of shards that an answer needs; 1 without fan-out.

    Examples
    --------
    >>> route = Route(name="r", host="h", path_prefix="/", idempotent=True, timeout_s=1.0,
    ...               target_latency_s=0.1, shards=tuple("abcdefghij"), min_coverage=0.85)
    >>> required_shards(route)
    9
    """
    return max(1, math.ceil(route.min_coverage * len(route.shards) - 1e-9))


def decisive_shard(route: Route, outlooks: Sequence[ShardOutlook]) -> ShardOutlook | None:
    """Return the shard whose reply completes the answer, or None if too few shards have a server.

    These are the shards by their expected replies; the slowest ones that the answer may lack do not
    count.
    """
    required = required_shards(route)
    if len(outlooks) < required:
        return None
    return sorted(outlooks, key=lambda outlook: outlook.total_s)[required - 1]


def waits_for_room(outlook: ShardOutlook, *, remaining_s: float) -> bool:
    """Whether a substantial part of the time until the target would be spent waiting for room."""
    return outlook.wait_s >= MIN_WAIT_FRACTION * remaining_s


def lacks_room(outlook: ShardOutlook, *, remaining_s: float, headroom: float) -> bool:
    """Whether a request cannot be answered in time because it would wait for room.

    Parameters
    ----------
    outlook : ShardOutlook
        Expected times of the decisive shard.
    remaining_s : float
        Time until the answer has to leave, seconds.
    headroom : float
        Multiple of that time within which the reply must be expected, by the route's priority.

    Examples
    --------
    >>> crowded = ShardOutlook(wait_s=0.2, exchange_s=0.05)
    >>> lacks_room(crowded, remaining_s=0.2, headroom=1.0)
    True
    >>> lacks_room(crowded, remaining_s=0.2, headroom=1.3)
    False
    >>> slow = ShardOutlook(wait_s=0.0, exchange_s=0.3)
    >>> lacks_room(slow, remaining_s=0.2, headroom=1.0)
    False
    """
    if not waits_for_room(outlook, remaining_s=remaining_s):
        return False
    return outlook.total_s > headroom * remaining_s
