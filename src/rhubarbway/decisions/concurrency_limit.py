"""Adaptive limits of concurrent work: additive increase, multiplicative decrease."""

from __future__ import annotations

# Latency above this multiple of the lowest mean shows that work queues up.
QUEUEING_LATENCY_FACTOR = 2.0
LIMIT_DECREASE_FACTOR = 0.7
# One decrease in this time at most, so that one burst of slow answers counts once, seconds.
MIN_DECREASE_INTERVAL_S = 0.1
# Weights of a new latency in the two moving means. The fast one steers the choice of a replica; the
# slow one shows whether work queues up, which a few late answers do not prove.
FAST_EWMA_WEIGHT = 0.2
SLOW_EWMA_WEIGHT = 0.05
# A single straggler moves a mean by no more than this multiple of it.
EWMA_CLIP_FACTOR = 4.0
# The lowest mean follows a lasting change within some hundred answers.
BASELINE_WEIGHT = 0.005


class LatencyEwma:
    """Moving means of latencies and the lowest value that the slow one had, seconds."""

    __slots__ = ("baseline_s", "fast_ewma_s", "slow_ewma_s")

    def __init__(self) -> None:
        self.fast_ewma_s = 0.0
        self.slow_ewma_s = 0.0
        self.baseline_s = 0.0

    def record(self, latency_s: float) -> None:
        """Add one latency; a value far above the means is clipped."""
        if self.fast_ewma_s == 0.0:
            self.fast_ewma_s = self.slow_ewma_s = self.baseline_s = latency_s
            return
        self.fast_ewma_s += FAST_EWMA_WEIGHT * (
            min(latency_s, EWMA_CLIP_FACTOR * self.fast_ewma_s) - self.fast_ewma_s
        )
        clipped_s = min(latency_s, EWMA_CLIP_FACTOR * self.slow_ewma_s)
        self.slow_ewma_s += SLOW_EWMA_WEIGHT * (clipped_s - self.slow_ewma_s)
        if self.slow_ewma_s < self.baseline_s:
            self.baseline_s = self.slow_ewma_s
        else:
            self.baseline_s += BASELINE_WEIGHT * (self.slow_ewma_s - self.baseline_s)

    @property
    def shows_queueing(self) -> bool:
        """Whether latency shows that work queues up."""
        return self.slow_ewma_s > QUEUEING_LATENCY_FACTOR * self.baseline_s


class ConcurrencyLimit:
    """A limit between 1 and a hard cap that follows what the server bears.

    Parameters
    ----------
    cap : int
        Hard cap, at least 1. For a replica it is this entry host's share of its connections.

    Examples
    --------
    >>> limit = ConcurrencyLimit(cap=4)
    >>> limit.record_overload(now=1.0)
    >>> limit.max_in_flight
    2
    """

    __slots__ = ("cap", "decreased_at", "value")

    def __init__(self, *, cap: int) -> None:
        self.cap = max(1, cap)
        self.value = float(self.cap)
        self.decreased_at = float("-inf")

    @property
    def max_in_flight(self) -> int:
        """Number of requests that may run now."""
        return int(self.value)

    def record_answer(self, *, queueing: bool, in_flight: int, now: float) -> None:
        """Learn from an answer; ``in_flight`` counts it too."""
        if queueing:
            self.record_overload(now=now)
        elif in_flight >= self.max_in_flight:
            # A limit that is not reached proves nothing about a higher one.
            self.value = min(float(self.cap), self.value + 1.0 / self.value)

    def record_overload(self, *, now: float) -> None:
        """Learn from a shed or timed-out request or a slow answer."""
        if now - self.decreased_at >= MIN_DECREASE_INTERVAL_S:
            self.decreased_at = now
            self.value = max(1.0, self.value * LIMIT_DECREASE_FACTOR)
