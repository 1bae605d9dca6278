"""Service that counts and logs broken invariants, so that the log names the decision at fault."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable

from rhubarbway.edge.sent_bytes import ReportMismatch
from rhubarbway.kernel import Kernel
from rhubarbway.services.log import component_logger
from rhubarbway.services.metrics import MetricsService
from rhubarbway.services.names import METRICS

# Each invariant is logged at most once in this time, seconds. The metric counts all cases.
LOG_INTERVAL_S = 1.0
BROKEN_INVARIANT_EVENT = "Invariant broken."

# ``expect(holds, name, **details)`` reports an invariant that does not hold.
Expect = Callable[..., None]


class BrokenInvariant(AssertionError):
    """Raised in programs that stop at the first broken invariant."""


def require(holds: bool, name: str, **details: object) -> None:
    """Raise ``BrokenInvariant`` if an invariant does not hold; used by the emulator and tests."""
    if not holds:
        raise BrokenInvariant(f"{name}: {details}")


def mismatch_reporter(expect: Expect, *, side: str) -> ReportMismatch:
    """Return a function that reports a connection with bytes that its task has not sent.

    Parameters
    ----------
    expect : callable
        Reports an invariant that does not hold.
    side : str
        Who is at the other end of the connection: ``caller``, ``host`` or ``server``.
    """

    def report(peer: str, sent: int, counted: int) -> None:
        expect(False, "only_own_bytes_sent", side=side, peer=peer, sent=sent, counted=counted)

    return report


class InvariantService:
    """Counts and logs broken invariants; checks are cheap, and a failed one changes no decision."""

    __slots__ = ("lock", "log", "logged_at", "metrics")

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.log = component_logger("invariants")
        self.logged_at: dict[str, float] = {}
        self.metrics: MetricsService

    def start(self, kernel: Kernel) -> None:
        """Find the metrics service."""
        self.metrics = kernel.find(METRICS)

    def stop(self) -> None:
        """Do nothing: the service holds no resources."""

    def expect(self, holds: bool, name: str, **details: object) -> None:
        """Count and log an invariant that does not hold.

        Parameters
        ----------
        holds : bool
            Whether the invariant holds.
        name : str
            Name of the invariant, for the metric and the log.
        **details
            Inputs of the decision, for the log.
        """
        if holds:
            return
        self.metrics.count_broken_invariant(name=name)
        now = time.monotonic()
        with self.lock:
            if now - self.logged_at.get(name, float("-inf")) < LOG_INTERVAL_S:
                return
            self.logged_at[name] = now
        self.log.error(BROKEN_INVARIANT_EVENT, invariant=name, **details)
