"""Observed reply latencies by route."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable

from rhubarbway.decisions.attempt_timing import HEDGE_QUANTILE, route_hedge_delay_s
from rhubarbway.decisions.latency import LatencyDistribution
from rhubarbway.model import ExchangeEnd, ExchangeOutcome, Route
from rhubarbway.services.server_attempt import ServerAttempt

# Weight of the newest reply in the typical latency, an exponentially weighted moving average.
EWMA_WEIGHT = 0.05
# Typical latency before the first reply, as a fraction of the target latency.
INITIAL_TARGET_FRACTION = 0.15


class RouteLatency:
    """Typical latency and latency distribution of the replies on one route, seconds.

    ``exchange_s`` is the typical time of an exchange without the wait for a connection.
    """

    __slots__ = ("distribution", "exchange_s", "typical_s")

    def __init__(self, *, typical_s: float, now: float) -> None:
        self.typical_s = typical_s
        self.exchange_s = typical_s
        self.distribution = LatencyDistribution(now=now)

    def record(self, seconds: float, now: float, *, exchange_s: float | None = None) -> None:
        """Record the latency of one reply, and the part of it that its exchange took.

        In the typical times it counts as at most four times the current value.
        """
        if exchange_s is not None:
            capped_s = min(exchange_s, 4 * self.exchange_s)
            self.exchange_s += EWMA_WEIGHT * (capped_s - self.exchange_s)
        self.typical_s += EWMA_WEIGHT * (min(seconds, 4 * self.typical_s) - self.typical_s)
        self.distribution.record(seconds, now)


class RouteLatencies:
    """Latencies by name of the route; connection tasks record them, requests read them."""

    __slots__ = ("by_route", "clock", "lock")

    def __init__(self, *, clock: Callable[[], float] = time.monotonic) -> None:
        self.clock = clock
        self.by_route: dict[str, RouteLatency] = {}
        self.lock = threading.Lock()

    def for_route(self, route: Route) -> RouteLatency:
        """Return the latencies of a route; the first call for the route creates them."""
        latency = self.by_route.get(route.name)
        if latency is None:
            with self.lock:
                initial_s = INITIAL_TARGET_FRACTION * route.target_latency_s
                latency = self.by_route.setdefault(
                    route.name, RouteLatency(typical_s=initial_s, now=self.clock())
                )
        return latency

    def record(self, attempt: ServerAttempt, outcome: ExchangeOutcome) -> None:
        """Record the latency of an attempt if it was answered."""
        latency = self.by_route.get(attempt.route_name)
        if latency is not None and outcome.end is ExchangeEnd.ANSWERED:
            with self.lock:
                now = self.clock()
                latency.record(
                    outcome.latency_s,
                    now,
                    exchange_s=None if attempt.sent_at is None else now - attempt.sent_at,
                )

    def hedge_delay_s(self, route: Route) -> float:
        """Return the time after which an attempt in flight is hedged, seconds."""
        latency = self.for_route(route)
        with self.lock:
            quantile = latency.distribution.quantile(HEDGE_QUANTILE)
        return route_hedge_delay_s(route, quantile_s=quantile, typical_s=latency.typical_s)
