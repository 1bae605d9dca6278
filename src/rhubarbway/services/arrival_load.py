"""Admitted and refused requests of a host, and the return times that it has promised."""

from __future__ import annotations

import threading
from random import Random

from rhubarbway.decisions.return_times import ReturnTimes
from rhubarbway.decisions.urgency import AdmissionShares

# Time after a request had to wait for room in which room counts as scarce, seconds.
SCARCITY_S = 1.0
# Weight of the newest request in the load level, and its upper bound.
LEVEL_EWMA_WEIGHT = 0.1
MAX_LEVEL = 10.0
# Log lines by whether room was scarce before and is now.
CHANGES = {(False, True): "Room is scarce.", (True, False): "Room is no longer scarce."}


class ArrivalLoad:
    """State of the decision at arrival that the tasks of a host share; thread-safe.

    Attributes
    ----------
    level : float
        Load level: moving average of the expected times of requests as fractions of the time until
        their targets.
    """

    __slots__ = ("level", "lock", "return_times", "scarce_until", "shares", "was_scarce")

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.shares = AdmissionShares()
        # By name of the route.
        self.return_times: dict[str, ReturnTimes] = {}
        self.scarce_until = float("-inf")
        self.was_scarce = False
        self.level = 0.0

    def is_scarce(self, now: float) -> bool:
        """Whether a request had to wait for room in the last moments."""
        return now < self.scarce_until

    def record_outlook(self, *, is_scarce: bool, level: float, now: float) -> str:
        """Record whether a request has to wait for room; describe a change of that, if any.

        Parameters
        ----------
        level : float
            Expected time of the request as a fraction of the time until its target.
        """
        with self.lock:
            self.level += LEVEL_EWMA_WEIGHT * (min(level, MAX_LEVEL) - self.level)
            if is_scarce:
                self.scarce_until = now + SCARCITY_S
            was_scarce, self.was_scarce = self.was_scarce, now < self.scarce_until
            return CHANGES.get((was_scarce, self.was_scarce), "")

    def times_of(self, route_name: str) -> ReturnTimes:
        """Return the promises of a route; the caller holds the lock."""
        times = self.return_times.get(route_name)
        if times is None:
            times = self.return_times[route_name] = ReturnTimes()
        return times

    def expect_returns(
        self, route_name: str, *, budget_s: float, until: float, now: float
    ) -> tuple[bool, int]:
        """Return whether a request has come back, and how many others will until an instant."""
        with self.lock:
            times = self.times_of(route_name)
            return times.is_return(budget_s), times.due(until=until, now=now)

    def record_admitted(
        self, route_name: str, priority: int, *, is_return: bool, now: float
    ) -> None:
        """Record a request that is sent."""
        with self.lock:
            self.shares.record(priority, admitted=True, now=now)
            self.times_of(route_name).record_admitted(is_return=is_return, now=now)

    def try_refuse(self, priority: int, *, now: float) -> bool:
        """Return whether a request for which there is no room may be refused, and count it."""
        with self.lock:
            if self.shares.is_starved(priority, now=now):
                return False
            self.shares.record(priority, admitted=False, now=now)
            return True

    def promise_return(
        self, route_name: str, *, wait_s: float, budget_s: float, now: float, random: Random
    ) -> float:
        """Return the delay after which a refused caller may come back, seconds."""
        with self.lock:
            return self.times_of(route_name).promise(
                wait_s=wait_s, budget_s=budget_s, now=now, random=random
            )

    def retain_routes(self, names: set[str]) -> None:
        """Remove the promises of all routes except the given ones."""
        with self.lock:
            for name in [name for name in self.return_times if name not in names]:
                del self.return_times[name]
