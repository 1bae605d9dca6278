"""Counts and logs what must never happen, so that a log names the decision at fault."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable

from rhubarbway.kernel import Kernel
from rhubarbway.services.log import component_logger
from rhubarbway.services.metrics import MetricsService
from rhubarbway.services.names import METRICS

# One line for each invariant in this time, seconds; the metric counts all cases.
LINE_INTERVAL_S = 1.0
BROKEN_LINE = "Invariant broken."

# ``expect(holds, name, **details)`` reports an invariant that does not hold.
Expect = Callable[..., None]


class BrokenInvariant(AssertionError):
    """An invariant does not hold, in a program that has to stop then."""


def require(holds: bool, name: str, **details: object) -> None:
    """Raise ``BrokenInvariant`` if an invariant does not hold; for the emulator and tests."""
    if not holds:
        raise BrokenInvariant(f"{name}: {details}")


class InvariantService:
    """Takes the results of cheap checks; a check that fails changes no decision."""

    __slots__ = ("lock", "log", "logged_at", "metrics")

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.log = component_logger("invariants")
        self.logged_at: dict[str, float] = {}
        self.metrics: MetricsService

    def start(self, kernel: Kernel) -> None:
        """Find the metrics."""
        self.metrics = kernel.find(METRICS)

    def stop(self) -> None:
        """Hold nothing open."""

    def expect(self, holds: bool, name: str, **details: object) -> None:
        """Report an invariant that does not hold, with the inputs of the decision."""
        if holds:
            return
        self.metrics.count_broken_invariant(name=name)
        now = time.monotonic()
        with self.lock:
            if now - self.logged_at.get(name, float("-inf")) < LINE_INTERVAL_S:
                return
            self.logged_at[name] = now
        self.log.error(BROKEN_LINE, invariant=name, **details)
