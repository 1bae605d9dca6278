"""Token buckets that bound retries and hedges to a ratio of the first attempts."""

from __future__ import annotations

# Tokens of a full bucket: two for each of 15 shards that lose a replica at the same time.
BUCKET_CAPACITY = 30.0


class TokenBucket:
    """Token bucket of extra attempts.

    Parameters
    ----------
    refill_ratio : float
        Tokens added for each first attempt.
    capacity : float
        Maximum number of tokens; the bucket starts full. If the refill ratio is 0, so is this.

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
        """Add the tokens for the first attempts of a query; ``sub_queries`` is their number."""
        self.tokens = min(self.capacity, self.tokens + self.refill_ratio * sub_queries)

    def try_acquire(self) -> bool:
        """Take one token; return False if the bucket has none."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
