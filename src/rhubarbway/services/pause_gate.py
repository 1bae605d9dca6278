"""Holds new queries for a moment after this process was paused."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable

# Longer than a round of the task that ticks, and short enough that the view is still useful.
PAUSE_THRESHOLD_S = 3.0
# Longest time that queries wait for news, so that a host without neighbours keeps serving.
MAX_HOLD_S = 0.5


class PauseGate:
    """Closes when the clock jumped between two ticks, and opens with the first news after that.

    A process that was paused wakes up with an old view of which backend servers are leaving.

    Parameters
    ----------
    ask_for_news : callable
        Called without waiting when the gate closes. Without it the gate would stay closed until the
        next round: one that was under way when the process woke asked too early, and messages that
        arrived during the pause put the next one off.
    """

    __slots__ = ("request_gossip", "closed_at", "condition", "last_tick_at")

    def __init__(self, *, request_gossip: Callable[[], None]) -> None:
        self.request_gossip = request_gossip
        self.condition = threading.Condition()
        self.last_tick_at = time.monotonic()
        self.closed_at: float | None = None

    def tick(self, now: float) -> None:
        """Record that the process runs; called once a round by one task."""
        with self.condition:
            self.close_after_pause(now)
            self.last_tick_at = now

    def close_after_pause(self, now: float) -> None:
        """Close if the last tick is too old; the lock is held."""
        if now - self.last_tick_at > PAUSE_THRESHOLD_S:
            self.closed_at = now
            self.last_tick_at = now
            self.request_gossip()

    def open(self, requested_at: float) -> None:
        """Let queries run; news that was asked for before the pause does not count."""
        with self.condition:
            if self.closed_at is not None and requested_at >= self.closed_at:
                self.closed_at = None
                self.condition.notify_all()

    def wait(self) -> None:
        """Wait while the gate is closed, at most ``HOLD_S``."""
        now = time.monotonic()
        # The usual case takes no lock.
        if self.closed_at is None and now - self.last_tick_at <= PAUSE_THRESHOLD_S:
            return
        with self.condition:
            self.close_after_pause(now)
            if self.closed_at is not None:
                remaining_s = self.closed_at + MAX_HOLD_S - now
                if not self.condition.wait_for(lambda: self.closed_at is None, timeout=remaining_s):
                    self.closed_at = None
