"""Adaptive concurrency limits: additive increase, multiplicative decrease (AIMD)."""

from __future__ import annotations

# A slow EWMA (see below) above this multiple of its baseline shows that requests queue on a server.
QUEUEING_LATENCY_FACTOR = 2.0
LIMIT_DECREASE_FACTOR = 0.7
# Minimum time between two decreases, so that one burst of slow answers counts once.
MIN_DECREASE_INTERVAL_S = 0.1
# Weights of a new sample in the two exponentially weighted moving averages (EWMA). The fast one is
# used to choose a replica. The slow one detects queueing, which a few late answers do not prove.
FAST_EWMA_WEIGHT = 0.2
SLOW_EWMA_WEIGHT = 0.05
# Samples are clipped at this multiple of the average, to limit the effect of a single straggler.
EWMA_CLIP_FACTOR = 4.0
# Weight of the slow EWMA in the baseline if the EWMA is above the baseline, which then follows a
# lasting change within a few hundred answers.
BASELINE_WEIGHT = 0.005


class LatencyEwma:
    """Fast and slow EWMA of latencies, and the baseline of the slow one; all in seconds.

    The baseline is the lowest recent value of the slow EWMA; it rises slowly to higher values.
    """

    __slots__ = ("baseline_s", "fast_ewma_s", "slow_ewma_s")

    def __init__(self) -> None:
        self.fast_ewma_s = 0.0
        self.slow_ewma_s = 0.0
        self.baseline_s = 0.0

    def record(self, latency_s: float) -> None:
        """Add one latency; a value far above an average is clipped."""
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
        """Whether the latencies show that requests queue on the server."""
        return self.slow_ewma_s > QUEUEING_LATENCY_FACTOR * self.baseline_s


class ConcurrencyLimit:
    """A concurrency limit between 1 and a hard cap that adapts to the server's capacity.

    Parameters
    ----------
    cap : int
        Hard cap, at least 1. For a replica, this entry host's share of its connections.

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
        """Present limit of requests in flight, rounded down."""
        return int(self.value)

    def record_answer(self, *, queueing: bool, in_flight: int, now: float) -> None:
        """Adjust the limit after an answer.

        ``queueing`` tells whether latencies show that requests queue on the server (see
        ``LatencyEwma``). ``in_flight`` includes the answered request.
        """
        if queueing:
            self.record_overload(now=now)
        elif in_flight >= self.max_in_flight:
            # Only an answer at the full limit shows that the server can take more.
            self.value = min(float(self.cap), self.value + 1.0 / self.value)

    def record_overload(self, *, now: float) -> None:
        """Decrease the limit after a request was shed, timed out or queued on the server."""
        if now - self.decreased_at >= MIN_DECREASE_INTERVAL_S:
            self.decreased_at = now
            self.value = max(1.0, self.value * LIMIT_DECREASE_FACTOR)
