"""When refused callers may come back: spread over time, and with room kept for them.

A host promises at most part of its room to callers that it refuses. The promised instants lie at
least one admission interval apart, so that callers do not return together. Until a promised instant
has passed, new requests find that much less room.
"""

from __future__ import annotations

from collections import deque
from random import Random

# Part of the remaining time of a caller that it waits at most before it comes back.
MAX_RETURN_FRACTION = 1.0 / 3.0
# Shortest delay, seconds: the decision of a moment ago would still be the same.
MIN_RETURN_S = 0.1
# Part of the room of a host that is promised to refused callers; the rest is for new requests.
PROMISED_FRACTION = 0.5
# A promise is dropped this long after its instant, seconds: the caller has gone elsewhere.
PROMISE_GRACE_S = 0.15
# Admission interval before any is known, and bounds of the interval, seconds.
INITIAL_INTERVAL_S = 0.1
MIN_INTERVAL_S = 0.005
MAX_INTERVAL_S = 1.0
# Weight of the newest interval in the moving average.
INTERVAL_EWMA_WEIGHT = 0.1
# A caller with at least this much less time left than callers of the route usually have has come
# back, seconds.
MIN_SPENT_S = 0.05


class ReturnTimes:
    """Promised return times of one route; the caller holds a lock."""

    __slots__ = ("admitted_at", "interval_s", "promised", "usual_budget_s")

    def __init__(self) -> None:
        self.promised: deque[float] = deque()
        self.admitted_at: float | None = None
        self.interval_s = INITIAL_INTERVAL_S
        # Longest time budget of a caller so far, seconds.
        self.usual_budget_s = 0.0

    def is_return(self, budget_s: float) -> bool:
        """Whether a caller with this time budget has already spent part of it on a refusal.

        Callers of a route have the same budget, and one that comes back has the rest of it.
        """
        self.usual_budget_s = max(self.usual_budget_s, budget_s)
        return budget_s <= self.usual_budget_s - MIN_SPENT_S

    def record_admitted(self, *, is_return: bool, now: float) -> None:
        """Record an admitted request; one that came back uses up the oldest promise."""
        if self.admitted_at is not None:
            interval_s = min(max(now - self.admitted_at, MIN_INTERVAL_S), MAX_INTERVAL_S)
            self.interval_s += INTERVAL_EWMA_WEIGHT * (interval_s - self.interval_s)
        self.admitted_at = now
        if is_return and self.promised:
            self.promised.popleft()

    def due(self, *, until: float, now: float) -> int:
        """Return how many callers are expected back by an instant."""
        while self.promised and self.promised[0] < now - PROMISE_GRACE_S:
            self.promised.popleft()
        return sum(instant <= until for instant in self.promised)

    def promise(self, *, wait_s: float, budget_s: float, now: float, random: Random) -> float:
        """Return the delay after which a refused caller may come back, seconds.

        Parameters
        ----------
        wait_s : float
            Time after which this host expects to have room, seconds.
        budget_s : float
            Time that the caller has left, seconds.
        """
        earliest = now + max(MIN_RETURN_S, wait_s)
        latest = now + MAX_RETURN_FRACTION * budget_s
        spacing_s = self.interval_s / PROMISED_FRACTION
        instant = max(earliest, self.promised[-1] + spacing_s) if self.promised else earliest
        if instant > latest:
            # All promised room is taken as far as the caller can wait. It may still find room that
            # others leave.
            begin = min(earliest, latest)
            return random.uniform(begin, max(begin, latest)) - now
        self.promised.append(instant)
        return instant - now
