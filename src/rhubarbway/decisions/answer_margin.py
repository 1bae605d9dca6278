"""Margin before the target latency at which a partial answer stops waiting for shards.

Between the end of the wait and the departure of the answer a host merges the replies and encodes
the answer. This takes much longer on a host that is short of processor time, where a fixed margin
would make every partial answer late. The margin is estimated like the retransmission timeout of
TCP, from moving averages of the delay and of its deviation.

References
----------
Jacobson, "Congestion Avoidance and Control", 1988.
"""

from __future__ import annotations

# Weights of the newest value in the moving averages of the delay and of its deviation.
MEAN_EWMA_WEIGHT = 0.125
DEVIATION_EWMA_WEIGHT = 0.25
# Number of mean deviations that the margin adds to the mean.
DEVIATION_FACTOR = 3.0
# Largest margin as a fraction of the target latency; the shards need the rest of it to reply.
MAX_TARGET_FRACTION = 0.25


class AnswerMargin:
    """Estimate of the time from the end of the wait to the departure of an answer.

    Examples
    --------
    >>> margin = AnswerMargin()
    >>> margin.margin_s(target_latency_s=0.1)
    0.0
    >>> for _ in range(50):
    ...     margin.record(0.008)
    >>> round(margin.margin_s(target_latency_s=0.1), 3)
    0.008
    >>> round(margin.margin_s(target_latency_s=0.02), 3)
    0.005
    """

    __slots__ = ("deviation_s", "mean_s")

    def __init__(self) -> None:
        self.mean_s = 0.0
        self.deviation_s = 0.0

    def record(self, delay_s: float) -> None:
        """Record an answer that left ``delay_s`` after the end of its wait."""
        difference = max(0.0, delay_s) - self.mean_s
        self.mean_s += MEAN_EWMA_WEIGHT * difference
        self.deviation_s += DEVIATION_EWMA_WEIGHT * (abs(difference) - self.deviation_s)

    def margin_s(self, *, target_latency_s: float) -> float:
        """Return how long before the target latency the wait has to end, seconds.

        The margin is 0 before the first answer was recorded.
        """
        return min(
            self.mean_s + DEVIATION_FACTOR * self.deviation_s,
            MAX_TARGET_FRACTION * target_latency_s,
        )
