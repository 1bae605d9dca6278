"""Inbox in which the task of a caller's connection waits for outcomes and for a disconnect."""

from __future__ import annotations

import select
import socket
import sys
from collections import deque

from rhubarbway.model import ExchangeOutcome
from rhubarbway.services.wake_event import WakeEvent

# Value of ``wake_count`` while the task is not in ``receive``: successes then wake nobody, since
# ``receive`` counts what has arrived before it waits.
NEVER_WAKE = sys.maxsize


class CallerInbox:
    """Queue of the outcomes for one request, whose wait ends early when the caller disconnects.

    A wake-up costs about as much as the rest of an attempt, and a fan-out can only store its first
    replies. Successes therefore wake the task only once enough of them have arrived; any other
    outcome wakes it at once.

    Parameters
    ----------
    sock : socket.socket or None
        The caller's connection, or None for a request without one.
    """

    __slots__ = ("caller_left", "event", "outcomes", "poll", "sock", "urgent", "wake_count")

    def __init__(self, *, sock: socket.socket | None) -> None:
        self.sock = sock
        self.outcomes: deque[ExchangeOutcome] = deque()
        self.caller_left = False
        # Number of outcomes that wakes the task, and whether an unsuccessful one has arrived.
        self.wake_count = NEVER_WAKE
        self.urgent = False
        self.poll = select.poll()
        if sock is not None:
            self.poll.register(sock, select.POLLIN)
        self.event = WakeEvent()
        self.poll.register(self.event.descriptor, select.POLLIN)

    def put(self, outcome: ExchangeOutcome) -> None:
        """Add an outcome. Connection tasks call this, also after the request has ended."""
        self.outcomes.append(outcome)
        self.urgent = self.urgent or not outcome.succeeded
        if self.urgent or len(self.outcomes) >= self.wake_count:
            self.event.set()

    def wake(self) -> None:
        """End the current or the next wait of the task. Any task may call this."""
        self.event.set()

    def receive(self, timeout_s: float, *, min_successes: int = 1) -> list[ExchangeOutcome]:
        """Wait for outcomes, a disconnect of the caller or the time limit; return the outcomes.

        Parameters
        ----------
        timeout_s : float
            Time limit of the wait, seconds.
        min_successes : int
            Number of successes that end the wait; any other outcome ends it at once.
        """
        # The wake count is set before the outcomes are counted, and ``put`` reads it after it has
        # added an outcome, so no wake-up is missed.
        self.wake_count = min_successes
        if not self.urgent and len(self.outcomes) < min_successes and timeout_s > 0.0:
            for descriptor, _ in self.poll.poll(timeout_s * 1000):
                if descriptor == self.event.descriptor:
                    self.event.clear()
                else:
                    self.check_caller()
        self.wake_count = NEVER_WAKE
        self.urgent = False
        received = []
        while self.outcomes:
            received.append(self.outcomes.popleft())
        return received

    def check_caller(self) -> None:
        """Find out whether the caller has disconnected or only pipelined its next request."""
        assert self.sock is not None
        try:
            data = self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self.caller_left = True
        # In both cases the socket stays readable, and each later wait would end at once. After a
        # pipelined request a disconnect is therefore no longer noticed.
        self.poll.unregister(self.sock)

    def close(self) -> None:
        """Close the event. Outcomes that arrive later are ignored."""
        self.event.close()
