"""Token buckets that bound retries and hedges by a share of the first attempts."""

from __future__ import annotations

# Tokens of a full bucket. Fifteen shards that each lose a replica at once need two each.
BUCKET_CAPACITY = 30.0


class TokenBucket:
    """Permits for extra attempts.

    Parameters
    ----------
    refill_ratio : float
        Tokens that accrue for each needed sub-query.
    capacity : float
        Greatest number of tokens; the bucket starts full.

    Examples
    --------
    >>> bucket = TokenBucket(refill_ratio=0.5, capacity=1.0)
    >>> bucket.try_acquire(), bucket.try_acquire()
    (True, False)
    >>> bucket.refill(2)
    >>> bucket.try_acquire()
    True
    """

    __slots__ = ("capacity", "refill_ratio", "tokens")

    def __init__(self, *, refill_ratio: float, capacity: float = BUCKET_CAPACITY) -> None:
        self.refill_ratio = refill_ratio
        self.capacity = capacity if refill_ratio > 0 else 0.0
        self.tokens = self.capacity

    def refill(self, sub_queries: int) -> None:
        """Add the tokens of a number of needed sub-queries."""
        self.tokens = min(self.capacity, self.tokens + self.refill_ratio * sub_queries)

    def try_acquire(self) -> bool:
        """Take one token if there is one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
