"""News that one neighbour has not been told yet, and how much of it fits into a message."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

# Limit of all gossip messages of one round of one host, bytes.
ROUND_LIMIT_BYTES = 4096
# Records and marks waiting for one neighbour; the oldest are dropped, a later resync repeats them.
MAX_PENDING_UPDATES = 8192


class GossipUpdate:
    """One piece of news: the value of a key in a section, with its encoded size in bytes."""

    __slots__ = ("key", "section", "size", "value")

    def __init__(self, *, section: str, key: str, value: Any, size: int) -> None:
        self.section = section
        self.key = key
        self.value = value
        self.size = size


def message_limit_bytes(neighbours: int) -> int:
    """Return the limit of one message, bytes.

    Examples
    --------
    >>> message_limit_bytes(8)
    512
    """
    return ROUND_LIMIT_BYTES // max(1, neighbours)


class Outbox:
    """The latest value of each key that one neighbour still has to hear, oldest first.

    Examples
    --------
    >>> outbox = Outbox()
    >>> for value in ("old", "new"):
    ...     outbox.add(GossipUpdate(section="drains", key="r1", value=value, size=10))
    >>> [item.value for item in outbox.take_batch(max_bytes=100)]
    ['new']
    """

    __slots__ = ("pending",)

    def __init__(self) -> None:
        self.pending: dict[tuple[str, str], GossipUpdate] = {}

    def add(self, update: GossipUpdate) -> None:
        """Add news; it replaces an older value of the same key."""
        self.pending[(update.section, update.key)] = update
        if len(self.pending) > MAX_PENDING_UPDATES:
            self.pending.pop(next(iter(self.pending)))

    def take_batch(self, *, max_bytes: int) -> list[GossipUpdate]:
        """Remove and return the oldest items whose sizes fit into ``limit`` bytes."""
        taken: list[GossipUpdate] = []
        for item in list(self.pending.values()):
            if item.size > max_bytes:
                break
            max_bytes -= item.size
            taken.append(self.pending.pop((item.section, item.key)))
        return taken

    def restore(self, updates: Iterable[GossipUpdate]) -> None:
        """Put back what a failed exchange did not deliver, unless there is a newer value."""
        returned = {(item.section, item.key): item for item in updates}
        self.pending = returned | self.pending
