"""Delays new queries briefly after the process was suspended."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable

# A longer time between two ticks means that the process was suspended. The threshold exceeds the
# gossip round in which the gate ticks; after a shorter suspension the membership view is still
# usable.
PAUSE_THRESHOLD_S = 3.0
# Longest time that queries wait for gossip, so that a host without neighbours keeps serving.
MAX_HOLD_S = 0.5


class PauseGate:
    """Closes after a long gap between two ticks and opens with the first gossip reply after it.

    It opens after ``MAX_HOLD_S`` in any case. A process that was suspended resumes with an outdated
    view of which backend servers are leaving.

    Parameters
    ----------
    request_gossip : callable
        Called when the gate closes; must not block. Without it the gate would stay closed until the
        next gossip round or for ``MAX_HOLD_S``: the reply to a message sent before the suspension
        does not count, and messages that arrived during it postpone the next round.
    """

    __slots__ = ("closed_at", "condition", "last_tick_at", "request_gossip")

    def __init__(self, *, request_gossip: Callable[[], None]) -> None:
        self.request_gossip = request_gossip
        self.condition = threading.Condition()
        self.last_tick_at = time.monotonic()
        self.closed_at: float | None = None

    def tick(self, now: float) -> None:
        """Record that the process is running; one task calls this in each gossip round."""
        with self.condition:
            self.close_after_pause(now)
            self.last_tick_at = now

    def close_after_pause(self, now: float) -> None:
        """Close the gate if the last tick is too old; the caller holds the lock."""
        if now - self.last_tick_at > PAUSE_THRESHOLD_S:
            self.closed_at = now
            self.last_tick_at = now
            self.request_gossip()

    def open(self, requested_at: float) -> None:
        """Open the gate, unless the gossip was requested before the gate closed."""
        with self.condition:
            if self.closed_at is not None and requested_at >= self.closed_at:
                self.closed_at = None
                self.condition.notify_all()

    def wait(self) -> None:
        """Wait while the gate is closed, at most ``MAX_HOLD_S``."""
        now = time.monotonic()
        # Takes no lock while the gate is open, which is the usual case.
        if self.closed_at is None and now - self.last_tick_at <= PAUSE_THRESHOLD_S:
            return
        with self.condition:
            self.close_after_pause(now)
            if self.closed_at is not None:
                remaining_s = self.closed_at + MAX_HOLD_S - now
                if not self.condition.wait_for(lambda: self.closed_at is None, timeout=remaining_s):
                    self.closed_at = None
