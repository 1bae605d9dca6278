"""What a host keeps about another entry host with which it exchanges news."""

from __future__ import annotations

import threading
import time

from rhubarbway.decisions.outbox import Outbox
from rhubarbway.edge.http_client import HttpConnection


class Contact:
    """Another entry host with which news is exchanged, and what it still has to hear."""

    __slots__ = ("heard_at", "incarnation", "name", "order", "outbox")

    def __init__(self, *, name: str) -> None:
        self.name = name
        self.outbox = Outbox()
        self.incarnation = ""
        self.heard_at = float("-inf")
        self.order = (0, "")


class Link:
    """State of the task that exchanges messages with one neighbour."""

    __slots__ = (
        "address",
        "closed",
        "condition",
        "connection",
        "contact",
        "due_at",
        "failed",
        "fetch",
        "name",
        "pushed",
    )

    def __init__(self, *, name: str, address: str, contact: Contact) -> None:
        self.name = name
        self.address = address
        self.contact = contact
        self.connection = HttpConnection(address=address)
        self.condition = threading.Condition()
        self.due_at = time.monotonic()
        self.pushed = False
        self.fetch = False
        self.failed = False
        self.closed = False

    def wait_until_due(self) -> bool:
        """Wait for the next round or a push; return False when the link is closed."""
        with self.condition:
            while not (self.closed or self.pushed or self.fetch):
                remaining = self.due_at - time.monotonic()
                if remaining <= 0:
                    break
                self.condition.wait(remaining)
            self.pushed = False
            return not self.closed

    def postpone(self, seconds: float) -> None:
        """Set the time of the next round."""
        with self.condition:
            self.due_at = time.monotonic() + seconds

    def wake(self, *, fetch: bool = False) -> None:
        """Start an exchange, or a request for the manifest, at once."""
        with self.condition:
            self.pushed = self.pushed or not fetch
            self.fetch = self.fetch or fetch
            self.condition.notify_all()

    def close(self) -> None:
        """End the task."""
        with self.condition:
            self.closed = True
            self.condition.notify_all()
        self.connection.abort(self.connection.call_number)
