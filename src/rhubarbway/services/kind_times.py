"""Learnt reply times by kind of request."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable

from rhubarbway.decisions.attempt_timing import HEDGE_QUANTILE, hedge_delay
from rhubarbway.decisions.latency import LatencyDistribution
from rhubarbway.model import ExchangeEnd, ExchangeOutcome, Route
from rhubarbway.services.server_pool import ServerAttempt

# Weight of the newest reply in the moving mean.
MEAN_WEIGHT = 0.05
# Usual time of a kind before its first reply, as a share of the target.
FIRST_GUESS_SHARE = 0.15


class KindTimes:
    """Usual time and distribution of the replies to one kind of request, seconds."""

    __slots__ = ("distribution", "usual_s")

    def __init__(self, *, usual_s: float, now: float) -> None:
        self.usual_s = usual_s
        self.distribution = LatencyDistribution(now=now)

    def record(self, seconds: float, now: float) -> None:
        """Learn from one reply."""
        self.usual_s += MEAN_WEIGHT * (min(seconds, 4 * self.usual_s) - self.usual_s)
        self.distribution.record(seconds, now)


class KindTimesByRoute:
    """The learnt times of all routes."""

    __slots__ = ("clock", "kinds", "lock")

    def __init__(self, *, clock: Callable[[], float] = time.monotonic) -> None:
        self.clock = clock
        self.kinds: dict[str, KindTimes] = {}
        self.lock = threading.Lock()

    def of(self, route: Route) -> KindTimes:
        """Return the times of a route."""
        times = self.kinds.get(route.name)
        if times is None:
            with self.lock:
                first = FIRST_GUESS_SHARE * route.target_s
                times = self.kinds.setdefault(
                    route.name, KindTimes(usual_s=first, now=self.clock())
                )
        return times

    def note(self, attempt: ServerAttempt, outcome: ExchangeOutcome) -> None:
        """Learn from the outcome of an attempt."""
        times = self.kinds.get(attempt.kind)
        if times is not None and outcome.end is ExchangeEnd.ANSWERED:
            with self.lock:
                times.record(outcome.latency, self.clock())

    def second_attempt_delay(self, route: Route) -> float:
        """Return the time after which an unanswered attempt gets a second one, seconds."""
        times = self.of(route)
        with self.lock:
            quantile = times.distribution.quantile(HEDGE_QUANTILE)
        return hedge_delay(route, quantile_s=quantile, typical_s=times.usual_s)
