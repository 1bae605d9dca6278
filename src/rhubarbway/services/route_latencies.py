"""Learnt reply times by kind of request."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable

from rhubarbway.decisions.attempt_timing import SECOND_ATTEMPT_QUANTILE, second_attempt_delay
from rhubarbway.decisions.latency import LatencyDistribution
from rhubarbway.model import ExchangeEnd, ExchangeOutcome, Route
from rhubarbway.services.server_pool import ServerAttempt

# Weight of the newest reply in the moving mean.
EWMA_WEIGHT = 0.05
# Usual time of a kind before its first reply, as a share of the target.
INITIAL_TYPICAL_SHARE = 0.15


class RouteLatency:
    """Usual time and distribution of the replies to one kind of request, seconds."""

    __slots__ = ("distribution", "typical_s")

    def __init__(self, *, typical_s: float, now: float) -> None:
        self.typical_s = typical_s
        self.distribution = LatencyDistribution(now=now)

    def record(self, seconds: float, now: float) -> None:
        """Learn from one reply."""
        self.typical_s += EWMA_WEIGHT * (min(seconds, 4 * self.typical_s) - self.typical_s)
        self.distribution.record(seconds, now)


class RouteLatencies:
    """The learnt times of all routes."""

    __slots__ = ("by_route", "clock", "lock")

    def __init__(self, *, clock: Callable[[], float] = time.monotonic) -> None:
        self.clock = clock
        self.by_route: dict[str, RouteLatency] = {}
        self.lock = threading.Lock()

    def for_route(self, route: Route) -> RouteLatency:
        """Return the times of a route."""
        latency = self.by_route.get(route.name)
        if latency is None:
            with self.lock:
                initial_s = INITIAL_TYPICAL_SHARE * route.target_s
                latency = self.by_route.setdefault(
                    route.name, RouteLatency(typical_s=initial_s, now=self.clock())
                )
        return latency

    def record(self, attempt: ServerAttempt, outcome: ExchangeOutcome) -> None:
        """Learn from the outcome of an attempt."""
        latency = self.by_route.get(attempt.route_name)
        if latency is not None and outcome.end is ExchangeEnd.ANSWERED:
            with self.lock:
                latency.record(outcome.latency, self.clock())

    def hedge_delay_s(self, route: Route) -> float:
        """Return the time after which an unanswered attempt gets a second one, seconds."""
        latency = self.for_route(route)
        with self.lock:
            quantile = latency.distribution.quantile(SECOND_ATTEMPT_QUANTILE)
        return second_attempt_delay(route, quantile_s=quantile, usual_s=latency.typical_s)
