"""How long before the target a partial answer has to stop waiting.

Between the end of the wait and the departure of the answer a host merges the parts and encodes the
answer. On a host with little processor time this takes much longer than on an idle one, so that a
fixed margin would make each partial answer late. The time is learnt the way TCP learns its
retransmission timeout: a moving mean and a moving deviation.

References
----------
Jacobson, "Congestion Avoidance and Control", 1988.
"""

from __future__ import annotations

# Weights of the newest value in the moving mean and in the moving deviation.
MEAN_EWMA_WEIGHT = 0.125
DEVIATION_EWMA_WEIGHT = 0.25
# Deviations above the mean that the margin covers.
DEVIATION_FACTOR = 3.0
# The margin takes at most this share of the target: the rest is left to the shards.
MAX_TARGET_FRACTION = 0.25


class AnswerMargin:
    """Learnt time between the end of the wait and the departure of an answer, seconds.

    Examples
    --------
    >>> margin = AnswerMargin()
    >>> margin.margin_s(target_s=0.1)
    0.0
    >>> for _ in range(50):
    ...     margin.record(0.008)
    >>> round(margin.margin_s(target_s=0.1), 3), round(margin.margin_s(target_s=0.02), 3)
    (0.008, 0.005)
    """

    __slots__ = ("deviation_s", "mean_s")

    def __init__(self) -> None:
        self.mean_s = 0.0
        self.deviation_s = 0.0

    def record(self, delay_s: float) -> None:
        """Learn from one answer; ``delay_s`` is how long after the end of its wait it left."""
        difference = max(0.0, delay_s) - self.mean_s
        self.mean_s += MEAN_EWMA_WEIGHT * difference
        self.deviation_s += DEVIATION_EWMA_WEIGHT * (abs(difference) - self.deviation_s)

    def margin_s(self, *, target_s: float) -> float:
        """Return the time to keep free before the target of a kind of request, seconds."""
        return min(
            self.mean_s + DEVIATION_FACTOR * self.deviation_s, MAX_TARGET_FRACTION * target_s
        )
