"""What a host has sent to each service, counted apart from the decision that allows it.

``ArrivalBudget`` decides whether a further attempt is sent. Here each attempt that leaves is
counted once more, so that a fault of the decision, or a path that does not ask it, shows.
"""

from __future__ import annotations

import math
from collections import defaultdict, deque

# Parts into which a window is cut. Instants are not kept one by one.
BUCKETS_PER_WINDOW = 10


class WindowBucket:
    """Counts of one service in a part of the window.

    Attributes
    ----------
    number : int
        Number of the part since the clock began.
    allowed : float
        Further attempts that the requests of this part allow.
    repeats : int
        Attempts beyond the first.
    allowance : float
        Largest part of the common allowance that the host had meanwhile.
    """

    __slots__ = ("allowance", "request_credit", "index", "extra_attempts")

    def __init__(self, *, index: int) -> None:
        self.index = index
        self.request_credit = 0.0
        self.extra_attempts = 0
        self.allowance = 0.0


class SentAttempts:
    """Counts of one host over the last windows; the caller holds a lock.

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
        """Return the part that contains an instant, and drop those of two windows ago."""
        buckets = self.services[service]
        index = math.floor(now / window_s * BUCKETS_PER_WINDOW)
        if not buckets or buckets[-1].index < index:
            buckets.append(WindowBucket(index=index))
        while buckets[0].index <= index - 2 * BUCKETS_PER_WINDOW:
            buckets.popleft()
        return buckets[-1]

    def record_request(self, service: str, *, ratio: float, window_s: float, now: float) -> None:
        """Count a request for the service, whether an attempt follows or not."""
        self.current_bucket(service, window_s=window_s, now=now).request_credit += ratio

    def record_extra_attempt(
        self, service: str, *, allowance: float, window_s: float, now: float
    ) -> bool:
        """Count an attempt beyond the first, and return whether the window allows it.

        Parameters
        ----------
        allowance : float
            Further attempts that this host may send without requests.
        """
        bucket = self.current_bucket(service, window_s=window_s, now=now)
        bucket.extra_attempts += 1
        bucket.allowance = max(bucket.allowance, allowance)
        buckets = self.services[service]
        # Requests of the window before count too: their further attempts may come in this one.
        request_credit = sum(bucket.request_credit for bucket in buckets)
        recent = [other for other in buckets if other.index > bucket.index - BUCKETS_PER_WINDOW]
        return sum(other.extra_attempts for other in recent) <= request_credit + max(
            other.allowance for other in recent
        )

    def retain_services(self, services: set[str]) -> None:
        """Forget services that no route uses any more."""
        for name in [name for name in self.services if name not in services]:
            del self.services[name]
