"""Notice to the requests in progress that this host stops."""

from __future__ import annotations

import threading
from collections.abc import Iterator
from contextlib import contextmanager

from rhubarbway.services.caller_inbox import CallerInbox


class StopNotice:
    """Instant by which a stopping host has answered all requests, and the inboxes to wake.

    Attributes
    ----------
    answer_by : float
        ``time.monotonic()`` instant; infinite until the host begins to stop.
    """

    __slots__ = ("answer_by", "inboxes", "lock")

    def __init__(self) -> None:
        self.answer_by = float("inf")
        self.inboxes: set[CallerInbox] = set()
        self.lock = threading.Lock()

    @contextmanager
    def watched(self, inbox: CallerInbox) -> Iterator[CallerInbox]:
        """Let the notice wake an inbox, which is closed at the end."""
        with self.lock:
            self.inboxes.add(inbox)
        try:
            yield inbox
        finally:
            with self.lock:
                self.inboxes.discard(inbox)
            inbox.close()

    def give(self, *, answer_by: float) -> None:
        """Set the instant, and wake the tasks of all requests in progress."""
        with self.lock:
            # Before the wake-ups: a task that begins to wait later reads the instant first.
            self.answer_by = answer_by
            for inbox in self.inboxes:
                inbox.wake()
