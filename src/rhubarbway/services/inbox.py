"""The inbox of one running query."""

from __future__ import annotations

import threading
import time

from rhubarbway.model import AttemptOutcome


class CapacityFreed:
    """Message to a query that waits: a replica of this shard may have room now."""

    __slots__ = ("shard",)

    def __init__(self, *, shard: int) -> None:
        self.shard = shard


class Delivery:
    """A message and the ``time.monotonic()`` instant at which it arrived."""

    __slots__ = ("arrived_at", "message")

    def __init__(self, *, arrived_at: float, message: AttemptOutcome | CapacityFreed) -> None:
        self.arrived_at = arrived_at
        self.message = message


class Inbox:
    """Collects messages for one task and wakes it only when it has something to decide.

    A wake-up costs about as much as the rest of a sub-query, and a query can do nothing with its
    first answers but keep them. Any other message than an answer wakes the task at once.
    """

    __slots__ = ("arrived", "deliveries", "urgent", "min_count")

    def __init__(self) -> None:
        self.arrived = threading.Condition(threading.Lock())
        self.deliveries: list[Delivery] = []
        self.urgent = False
        self.min_count = 1

    def put(self, message: AttemptOutcome | CapacityFreed) -> None:
        """Add a message; called by connection tasks."""
        delivery = Delivery(arrived_at=time.monotonic(), message=message)
        is_answer = isinstance(message, AttemptOutcome) and message.answer is not None
        with self.arrived:
            self.deliveries.append(delivery)
            self.urgent = self.urgent or not is_answer
            if self.urgent or len(self.deliveries) >= self.min_count:
                self.arrived.notify()

    def receive(self, *, min_count: int, timeout: float) -> list[Delivery]:
        """Wait for a number of answers or one other message; return all that arrived in time."""
        with self.arrived:
            self.min_count = min_count
            if not self.urgent and len(self.deliveries) < min_count:
                self.arrived.wait(timeout)
            received, self.deliveries = self.deliveries, []
            self.urgent = False
        return received
