"""State that an entry host keeps for each host with which it exchanges gossip."""

from __future__ import annotations

import threading
import time

from rhubarbway.decisions.outbox import Outbox
from rhubarbway.edge.http_client import (
    HttpConnection,
    UnexpectedDataListener,
    ignore_unexpected_data,
)


class GossipPeer:
    """Entry host with which gossip is exchanged, and the updates still to be sent to it."""

    __slots__ = ("incarnation", "name", "outbox", "received_at", "version_key")

    def __init__(self, *, name: str) -> None:
        self.name = name
        self.outbox = Outbox()
        self.incarnation = ""
        self.received_at = float("-inf")
        self.version_key = (0, "")


class PeerLink:
    """State of the task that exchanges messages with one neighbour."""

    __slots__ = (
        "address",
        "closed",
        "condition",
        "connection",
        "exchange_requested",
        "fetch_requested",
        "last_exchange_failed",
        "name",
        "next_round_at",
        "peer",
    )

    def __init__(
        self,
        *,
        name: str,
        address: str,
        peer: GossipPeer,
        on_unexpected_data: UnexpectedDataListener = ignore_unexpected_data,
    ) -> None:
        self.name = name
        self.address = address
        self.peer = peer
        self.connection = HttpConnection(address=address, on_unexpected_data=on_unexpected_data)
        self.condition = threading.Condition()
        self.next_round_at = time.monotonic()
        self.exchange_requested = False
        self.fetch_requested = False
        self.last_exchange_failed = False
        self.closed = False

    def wait_until_due(self) -> bool:
        """Wait for the next round or a request; return False once the link is closed."""
        with self.condition:
            while not (self.closed or self.exchange_requested or self.fetch_requested):
                remaining = self.next_round_at - time.monotonic()
                if remaining <= 0:
                    break
                self.condition.wait(remaining)
            self.exchange_requested = False
            return not self.closed

    def schedule_next_round(self, delay_s: float) -> None:
        """Set the time until the next round.

        The task is not woken, so it notices an earlier time only after its present wait.
        """
        with self.condition:
            self.next_round_at = time.monotonic() + delay_s

    def wake(self, *, fetch: bool = False) -> None:
        """Request an exchange, or with ``fetch`` a manifest, at once."""
        with self.condition:
            self.exchange_requested = self.exchange_requested or not fetch
            self.fetch_requested = self.fetch_requested or fetch
            self.condition.notify_all()

    def close(self) -> None:
        """End the task and abort its call in flight."""
        with self.condition:
            self.closed = True
            self.condition.notify_all()
        self.connection.abort(self.connection.call_number)
