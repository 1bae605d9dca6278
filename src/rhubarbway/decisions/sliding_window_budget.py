"""Retry budget of an entry host: the extra attempts (retries and hedges) that it may send.

All entry hosts share one limit for each service and window: a fraction of the requests for the
service, plus a fixed allowance. The hosts keep no common count; each one applies the fraction to
its own requests, and uses an equal part of the allowance.
"""

from __future__ import annotations

from collections import deque

# Fraction of the limit that is used. The rest covers requests that arrive at the service outside
# the window in which this host counted them, and hosts that do not know each other yet.
USABLE_FRACTION = 0.85


class ServiceWindow:
    """Times of the requests and extra attempts of one service within the window."""

    __slots__ = ("extra_attempt_times", "request_times")

    def __init__(self) -> None:
        self.request_times: deque[float] = deque()
        self.extra_attempt_times: deque[float] = deque()


class SlidingWindowBudget:
    """Retry budget for each service over a sliding window.

    Parameters
    ----------
    ratio : float
        Extra attempts allowed for each request of the window.
    allowance : float
        Extra attempts allowed in addition, over all hosts.
    window_s : float
        Length of the window, seconds.
    host_count : int
        Entry hosts that share the allowance.

    Examples
    --------
    >>> budget = SlidingWindowBudget(ratio=0.2, allowance=10, window_s=10.0, host_count=5)
    >>> [budget.try_acquire("desk", now=1.0) for _ in range(2)]
    [True, False]
    >>> for _ in range(12):
    ...     budget.record_request("desk", now=1.0)
    >>> [budget.try_acquire("desk", now=2.0) for _ in range(3)]
    [True, True, False]
    >>> budget.try_acquire("desk", now=12.5)
    True
    """

    __slots__ = ("allowance", "host_count", "ratio", "services", "window_s")

    def __init__(
        self, *, ratio: float, allowance: float, window_s: float, host_count: int = 1
    ) -> None:
        self.ratio = ratio
        self.allowance = allowance
        self.window_s = window_s
        self.host_count = host_count
        self.services: dict[str, ServiceWindow] = {}

    def record_request(self, service: str, *, now: float) -> None:
        """Record a request for the service, whether an attempt follows or not."""
        window = self.services.setdefault(service, ServiceWindow())
        window.request_times.append(now)
        drop_expired(window.request_times, now - self.window_s)

    def remaining(self, service: str, *, now: float) -> float:
        """Return the number of extra attempts that the window still allows.

        It may be fractional, and is negative after the limit has fallen below what was sent.
        """
        window = self.services.setdefault(service, ServiceWindow())
        drop_expired(window.request_times, now - self.window_s)
        drop_expired(window.extra_attempt_times, now - self.window_s)
        limit = self.ratio * len(window.request_times) + self.allowance / max(1, self.host_count)
        return USABLE_FRACTION * limit - len(window.extra_attempt_times)

    def try_acquire(self, service: str, *, now: float, reserve: float = 0.0) -> bool:
        """Return whether an extra attempt is allowed, and count it if so.

        It is allowed if at least ``reserve`` extra attempts remain after it.
        """
        if self.remaining(service, now=now) < 1.0 + reserve:
            return False
        self.services[service].extra_attempt_times.append(now)
        return True

    def retain_services(self, services: set[str]) -> None:
        """Remove all services except the given ones."""
        for name in [name for name in self.services if name not in services]:
            del self.services[name]


def drop_expired(instants: deque[float], cutoff: float) -> None:
    """Remove the instants up to and including ``cutoff`` from instants in ascending order."""
    while instants and instants[0] <= cutoff:
        instants.popleft()
