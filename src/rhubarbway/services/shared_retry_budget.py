"""The retry budget that the tasks of a host share."""

from __future__ import annotations

import threading

from rhubarbway.decisions.sliding_window_budget import SlidingWindowBudget


class SharedRetryBudget:
    """A thread-safe ``SlidingWindowBudget``."""

    __slots__ = ("budget", "lock")

    def __init__(self, *, budget: SlidingWindowBudget) -> None:
        self.budget = budget
        self.lock = threading.Lock()

    def record_request(self, service: str, *, now: float) -> None:
        """Count a request for the service, whether or not a first attempt is sent."""
        with self.lock:
            self.budget.record_request(service, now=now)

    def try_acquire(self, service: str, *, now: float, reserve: float = 0.0) -> bool:
        """Return whether an extra attempt is allowed, and count it if so.

        It is allowed if at least ``reserve`` more extra attempts remain afterwards.
        """
        with self.lock:
            return self.budget.try_acquire(service, now=now, reserve=reserve)

    def set_limits(self, *, ratio: float, allowance: float, window_s: float) -> None:
        """Replace the limits and keep the counts of the current window."""
        with self.lock:
            self.budget.ratio = ratio
            self.budget.allowance = allowance
            self.budget.window_s = window_s

    def set_host_count(self, host_count: int) -> None:
        """Set the number of entry hosts that share the allowance."""
        with self.lock:
            self.budget.host_count = host_count
