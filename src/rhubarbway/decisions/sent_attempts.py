"""Independent count of the requests for each service, and of the extra attempts that a host sends.

``SlidingWindowBudget`` decides whether an extra attempt is sent. This module counts those that are
actually sent, which reveals an error of the budget, or code that bypasses it. Its limit is looser
than that of the budget: the whole limit is usable, and requests of the previous window count, too.
"""

from __future__ import annotations

import math
from collections import defaultdict, deque

# Parts of a window that are counted separately. Counts by part, in place of the instants of single
# attempts, bound the memory.
BUCKETS_PER_WINDOW = 10


class WindowBucket:
    """Counts of one service in one part of the window.

    Attributes
    ----------
    index : int
        Number of the bucket, counted from the origin of the monotonic clock.
    request_credit : float
        Extra attempts that the requests of this bucket allow.
    extra_attempts : int
        Attempts beyond the first.
    allowance : float
        Largest share of the common allowance that the host had at an extra attempt in this bucket.
        The share falls when more hosts become known; attempts sent before that remain permitted.
    """

    __slots__ = ("allowance", "request_credit", "index", "extra_attempts")

    def __init__(self, *, index: int) -> None:
        self.index = index
        self.request_credit = 0.0
        self.extra_attempts = 0
        self.allowance = 0.0


class SentAttempts:
    """Counts of one host over the last two windows; the caller holds a lock.

    Examples
    --------
    >>> sent = SentAttempts()
    >>> sent.record_request("desk", ratio=0.5, window_s=10.0, now=1.0)
    >>> sent.record_extra_attempt("desk", allowance=0.5, window_s=10.0, now=1.2)
    True
    >>> sent.record_extra_attempt("desk", allowance=0.5, window_s=10.0, now=1.4)
    False
    """

    __slots__ = ("services",)

    def __init__(self) -> None:
        self.services: defaultdict[str, deque[WindowBucket]] = defaultdict(deque)

    def current_bucket(self, service: str, *, window_s: float, now: float) -> WindowBucket:
        """Return the bucket of an instant, and drop the buckets that are two windows old."""
        buckets = self.services[service]
        index = math.floor(now / window_s * BUCKETS_PER_WINDOW)
        if not buckets or buckets[-1].index < index:
            buckets.append(WindowBucket(index=index))
        while buckets[0].index <= index - 2 * BUCKETS_PER_WINDOW:
            buckets.popleft()
        return buckets[-1]

    def record_request(self, service: str, *, ratio: float, window_s: float, now: float) -> None:
        """Count a request for the service, whether an attempt follows or not.

        ``ratio`` is the number of extra attempts that each request allows.
        """
        self.current_bucket(service, window_s=window_s, now=now).request_credit += ratio

    def record_extra_attempt(
        self, service: str, *, allowance: float, window_s: float, now: float
    ) -> bool:
        """Count an attempt beyond the first, and return whether the count is within the limit.

        Parameters
        ----------
        allowance : float
            Share of this host in the extra attempts that a window permits regardless of the number
            of requests.
        """
        bucket = self.current_bucket(service, window_s=window_s, now=now)
        bucket.extra_attempts += 1
        bucket.allowance = max(bucket.allowance, allowance)
        buckets = self.services[service]
        # Requests of the previous window count too: their extra attempts may fall into this one.
        request_credit = sum(bucket.request_credit for bucket in buckets)
        recent = [other for other in buckets if other.index > bucket.index - BUCKETS_PER_WINDOW]
        return sum(other.extra_attempts for other in recent) <= request_credit + max(
            other.allowance for other in recent
        )

    def retain_services(self, services: set[str]) -> None:
        """Remove all services except the given ones."""
        for name in [name for name in self.services if name not in services]:
            del self.services[name]
