"""How many attempts beyond the first one entry host may send to a service.

All entry hosts share one limit in each sliding window: a share of the requests for the service,
and a fixed allowance. They do not count together. Each host keeps to the same share of its own
requests, and to its part of the allowance.
"""

from __future__ import annotations

from collections import deque

# Part of the limit that is used. The rest covers requests that arrive outside the window in which
# they were counted, and hosts that are not known to each other yet.
USABLE_FRACTION = 0.85


class ServiceWindow:
    """Instants of the requests and extra attempts of one service within the window."""

    __slots__ = ("extra_attempt_times", "request_times")

    def __init__(self) -> None:
        self.request_times: deque[float] = deque()
        self.extra_attempt_times: deque[float] = deque()


class SlidingWindowBudget:
    """Permits for extra attempts in a sliding window.

    Parameters
    ----------
    ratio : float
        Extra attempts allowed for each request of the window.
    allowance : float
        Extra attempts allowed besides, over all hosts.
    window_s : float
        Length of the window, seconds.
    hosts : int
        Entry hosts that share the allowance.

    Examples
    --------
    >>> budget = SlidingWindowBudget(ratio=0.2, allowance=10, window_s=10.0, hosts=5)
    >>> [budget.try_acquire("desk", now=1.0) for _ in range(2)]
    [True, False]
    >>> for _ in range(12):
    ...     budget.record_request("desk", now=1.0)
    >>> [budget.try_acquire("desk", now=2.0) for _ in range(3)]
    [True, True, False]
    >>> budget.try_acquire("desk", now=12.5)
    True
    """

    __slots__ = ("allowance", "hosts", "ratio", "services", "window_s")

    def __init__(self, *, ratio: float, allowance: float, window_s: float, hosts: int = 1) -> None:
        self.ratio = ratio
        self.allowance = allowance
        self.window_s = window_s
        self.hosts = hosts
        self.services: dict[str, ServiceWindow] = {}

    def record_request(self, service: str, *, now: float) -> None:
        """Count a request whose first attempt goes to the service."""
        window = self.services.setdefault(service, ServiceWindow())
        window.request_times.append(now)
        drop_expired(window.request_times, now - self.window_s)

    def remaining(self, service: str, *, now: float) -> float:
        """Return the number of extra attempts that the window still allows."""
        window = self.services.setdefault(service, ServiceWindow())
        drop_expired(window.request_times, now - self.window_s)
        drop_expired(window.extra_attempt_times, now - self.window_s)
        limit = self.ratio * len(window.request_times) + self.allowance / max(1, self.hosts)
        return USABLE_FRACTION * limit - len(window.extra_attempt_times)

    def try_acquire(self, service: str, *, now: float, reserve: float = 0.0) -> bool:
        """Count an extra attempt and return True, if more than ``reserve`` of them are left."""
        if self.remaining(service, now=now) < 1.0 + reserve:
            return False
        self.services[service].extra_attempt_times.append(now)
        return True

    def retain_services(self, services: set[str]) -> None:
        """Forget services that no route uses any more."""
        for name in [name for name in self.services if name not in services]:
            del self.services[name]


def drop_expired(instants: deque[float], cutoff: float) -> None:
    """Drop the instants up to ``oldest``."""
    while instants and instants[0] <= cutoff:
        instants.popleft()
