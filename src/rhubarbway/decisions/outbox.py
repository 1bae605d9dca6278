"""Queue of gossip updates for one peer, and the size limit of a gossip message.

The peers of a host are its neighbours, with which it starts exchanges, and the hosts that start
exchanges with it.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

# Limit of the messages that one host sends to all its neighbours in one round, bytes in total. Its
# replies to messages of other hosts come on top.
ROUND_LIMIT_BYTES = 4096
# Limit of updates queued for one peer; the oldest are dropped. All updates are queued again if the
# peer requests them by the flag ``resync``, as it does after a failed exchange.
MAX_PENDING_UPDATES = 8192


class GossipUpdate:
    """Value of a key in a section of the gossip, with its encoded size in bytes."""

    __slots__ = ("key", "section", "size", "value")

    def __init__(self, *, section: str, key: str, value: Any, size: int) -> None:
        self.section = section
        self.key = key
        self.value = value
        self.size = size


def message_limit_bytes(neighbour_count: int) -> int:
    """Return the size limit of one message for a number of neighbours, bytes.

    Examples
    --------
    >>> message_limit_bytes(8)
    512
    """
    return ROUND_LIMIT_BYTES // max(1, neighbour_count)


class Outbox:
    """Updates to send to one peer, oldest first, with the latest value of each key.

    Examples
    --------
    >>> outbox = Outbox()
    >>> for value in ("old", "new"):
    ...     outbox.add(GossipUpdate(section="drains", key="r1", value=value, size=10))
    >>> [update.value for update in outbox.take_batch(max_bytes=100)]
    ['new']
    """

    __slots__ = ("pending",)

    def __init__(self) -> None:
        self.pending: dict[tuple[str, str], GossipUpdate] = {}

    def add(self, update: GossipUpdate) -> None:
        """Add an update, or put it in the place of an older value of the same key."""
        self.pending[(update.section, update.key)] = update
        if len(self.pending) > MAX_PENDING_UPDATES:
            self.pending.pop(next(iter(self.pending)))

    def take_batch(self, *, max_bytes: int) -> list[GossipUpdate]:
        """Remove and return the oldest updates whose total size is at most ``max_bytes``.

        The first update that does not fit ends the batch, even if later ones would fit.
        """
        taken: list[GossipUpdate] = []
        for update in list(self.pending.values()):
            if update.size > max_bytes:
                break
            max_bytes -= update.size
            taken.append(self.pending.pop((update.section, update.key)))
        return taken

    def restore(self, updates: Iterable[GossipUpdate]) -> None:
        """Restore the updates of a failed exchange, except for keys with a newer value."""
        returned = {(update.section, update.key): update for update in updates}
        self.pending = returned | self.pending
