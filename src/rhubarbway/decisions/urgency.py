"""Which kinds of request get room first, and the least that each kind gets.

Routes have a priority, 0 the highest. While room is short, less urgent requests need more of it
before they are sent, and leave more of the retry budget to the others. No kind is starved: one that
got much less than all together is admitted whatever its priority.
"""

from __future__ import annotations

# Multiples of the remaining time within which the answer must be expected, for the most urgent
# routes and for each step of priority below them. The estimate of an urgent request is trusted
# less: it is refused only if it would be late by far.
URGENT_HEADROOM = 1.25
HEADROOM_STEP = 0.35
MIN_HEADROOM = 0.6
# A kind is starved when the fraction of its requests that were admitted falls below this part of
# the fraction of all requests. Operators ask for a quarter; some of those admitted are late.
MIN_RELATIVE_SHARE = 0.4
# The counts of requests halve in this time, seconds.
SHARE_HALF_LIFE_S = 5.0
# With fewer requests of a kind its share is not known, and the kind is not starved.
MIN_COUNTED_REQUESTS = 2.0
# Extra attempts that each step of priority leaves in the retry budget while room is short.
RESERVE_STEP = 2.0


def headroom(priority: int) -> float:
    """Return the multiple of the remaining time within which an answer must be expected.

    Examples
    --------
    >>> [round(headroom(priority), 2) for priority in range(4)]
    [1.25, 0.9, 0.6, 0.6]
    """
    return max(MIN_HEADROOM, URGENT_HEADROOM - HEADROOM_STEP * max(0, priority))


def budget_reserve(priority: int, *, is_scarce: bool) -> float:
    """Return the number of extra attempts that an attempt leaves to more urgent ones.

    Examples
    --------
    >>> budget_reserve(2, is_scarce=False), budget_reserve(0, is_scarce=True)
    (0.0, 0.0)
    >>> budget_reserve(2, is_scarce=True)
    4.0
    """
    return RESERVE_STEP * max(0, priority) if is_scarce else 0.0


class AdmissionCounts:
    """Numbers of requests of one priority; they decay, so that old ones count less."""

    __slots__ = ("admitted", "asked", "counted_at")

    def __init__(self, *, now: float) -> None:
        self.asked = 0.0
        self.admitted = 0.0
        self.counted_at = now

    def decay(self, now: float) -> None:
        """Apply the decay until ``now``."""
        factor = 0.5 ** (max(0.0, now - self.counted_at) / SHARE_HALF_LIFE_S)
        self.asked *= factor
        self.admitted *= factor
        self.counted_at = now


class AdmissionShares:
    """Fractions of the requests that were admitted, by priority; the caller holds a lock.

    Examples
    --------
    >>> shares = AdmissionShares()
    >>> for _ in range(10):
    ...     shares.record(0, admitted=True, now=1.0)
    ...     shares.record(1, admitted=False, now=1.0)
    >>> shares.is_starved(1, now=1.0), shares.is_starved(0, now=1.0)
    (True, False)
    """

    __slots__ = ("by_priority",)

    def __init__(self) -> None:
        self.by_priority: dict[int, AdmissionCounts] = {}

    def record(self, priority: int, *, admitted: bool, now: float) -> None:
        """Count one request."""
        counts = self.by_priority.get(priority)
        if counts is None:
            counts = self.by_priority[priority] = AdmissionCounts(now=now)
        counts.decay(now)
        counts.asked += 1.0
        counts.admitted += admitted

    def is_starved(self, priority: int, *, now: float) -> bool:
        """Whether too few requests of a priority were admitted, compared with all requests."""
        own = self.by_priority.get(priority)
        if own is None:
            return False
        for counts in self.by_priority.values():
            counts.decay(now)
        if own.asked < MIN_COUNTED_REQUESTS:
            return False
        asked = sum(counts.asked for counts in self.by_priority.values())
        admitted = sum(counts.admitted for counts in self.by_priority.values())
        return own.admitted / own.asked < MIN_RELATIVE_SHARE * admitted / asked
