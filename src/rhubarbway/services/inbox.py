"""The inbox in which a running query receives outcomes and notices of free capacity."""

from __future__ import annotations

import threading
import time

from rhubarbway.model import AttemptOutcome


class CapacityFreed:
    """Message to a waiting query: a replica of the shard may have capacity now."""

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
    """Collects messages for one task and wakes the task only when it has to decide something.

    A wake-up costs about as much as the rest of a sub-query, and the first answers of a query need
    no decision. Answers therefore wake the task only when ``min_count`` messages have arrived; any
    other message wakes it at once.
    """

    __slots__ = ("arrived", "deliveries", "urgent", "min_count")

    def __init__(self) -> None:
        self.arrived = threading.Condition(threading.Lock())
        self.deliveries: list[Delivery] = []
        self.urgent = False
        self.min_count = 1

    def put(self, message: AttemptOutcome | CapacityFreed) -> None:
        """Add a message; connection tasks call this."""
        delivery = Delivery(arrived_at=time.monotonic(), message=message)
        is_answer = isinstance(message, AttemptOutcome) and message.answer is not None
        with self.arrived:
            self.deliveries.append(delivery)
            self.urgent = self.urgent or not is_answer
            if self.urgent or len(self.deliveries) >= self.min_count:
                self.arrived.notify()

    def receive(self, *, min_count: int, timeout: float) -> list[Delivery]:
        """Return all messages, after waiting for ``min_count`` answers or one other message.

        After ``timeout`` seconds the messages so far are returned.
        """
        with self.arrived:
            self.min_count = min_count
            if not self.urgent and len(self.deliveries) < min_count:
                self.arrived.wait(timeout)
            received, self.deliveries = self.deliveries, []
            self.urgent = False
        return received
