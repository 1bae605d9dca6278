"""A copy of the platform's store that entry hosts pass on to each other.

Changes of one key are ordered by their revision in the store, so the copy is the same whatever the
order and the number of sources from which it was told. What changes gets a sequence number of this
copy; another host that follows it asks for all changes after the last number it has seen.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Iterable

from rhubarbway.model import StoreItem

# Changes that a follower may be behind before it gets a whole copy instead.
MAX_LOGGED_CHANGES = 1024
# Deletions that are remembered, so that an older statement does not bring the key back.
MAX_TOMBSTONES = 2048


class StoreView:
    """Items by key.

    Attributes
    ----------
    revision : int
        The copy holds all changes up to this revision of the store.
    sequence : int
        Number of the newest change of this copy.
    first : int
        Number from which the changes tell all: hosts that have heard less need the whole copy.

    Examples
    --------
    >>> view = StoreView()
    >>> item = StoreItem(key="a", value=b"1", revision=5)
    >>> [found.key for found in view.apply([item], revision=5)]
    ['a']
    >>> view.apply([StoreItem(key="a", value=b"0", revision=4)], revision=4)
    []
    >>> [found.value for found in view.changes_since(0)]
    [b'1']
    """

    __slots__ = ("tombstones", "complete_from", "items", "change_log", "revision", "sequence")

    def __init__(self) -> None:
        self.items: dict[str, StoreItem] = {}
        self.tombstones: OrderedDict[str, int] = OrderedDict()
        # Numbers and keys of changes. A follower that is behind needs only the last value of a key,
        # and superseded values would fill the memory.
        self.change_log: deque[tuple[int, str]] = deque(maxlen=MAX_LOGGED_CHANGES)
        self.revision = 0
        self.sequence = 0
        self.complete_from = 0

    def mark_complete(self) -> None:
        """Record that the copy has become complete.

        Hosts that followed it before may hold keys that were deleted before this copy began, and
        that its changes never mention.
        """
        self.sequence += 1
        self.complete_from = self.sequence

    def apply(self, items: Iterable[StoreItem], *, revision: int) -> list[StoreItem]:
        """Take in changes and return those that were news."""
        changes = [item for item in items if self.apply_one(item)]
        self.revision = max(self.revision, revision)
        return changes

    def replace_all(self, items: Iterable[StoreItem], *, revision: int) -> list[StoreItem]:
        """Take in a whole copy and return what changed.

        A key that the copy lacks was deleted, unless it is known to have changed since.
        """
        listed = {item.key: item for item in items}
        deleted = [
            StoreItem(key=key, value=None, revision=max(revision, known.revision))
            for key, known in self.items.items()
            if key not in listed and known.revision <= revision
        ]
        return self.apply([*deleted, *listed.values()], revision=revision)

    def apply_one(self, item: StoreItem) -> bool:
        """Take in one change and return whether it was news."""
        known = self.items.get(item.key)
        if known is not None:
            is_newer = item.revision > known.revision or (
                item.value is None and item.revision == known.revision
            )
        else:
            # A key that the copy lacks at its revision has been deleted by then.
            deleted_at = max(self.tombstones.get(item.key, 0), self.revision)
            is_newer = item.value is not None and item.revision > deleted_at
        if not is_newer:
            if known is None and item.value is None:
                # An older statement about the key may still come from a host that lags.
                self.record_tombstone(item)
            return False
        if item.value is None:
            del self.items[item.key]
            self.record_tombstone(item)
        else:
            self.items[item.key] = item
            self.tombstones.pop(item.key, None)
        self.sequence += 1
        self.change_log.append((self.sequence, item.key))
        return True

    def record_tombstone(self, item: StoreItem) -> None:
        """Keep the revision of a deletion, which outdates older statements about its key."""
        self.tombstones[item.key] = max(item.revision, self.tombstones.get(item.key, 0))
        self.tombstones.move_to_end(item.key)
        if len(self.tombstones) > MAX_TOMBSTONES:
            self.tombstones.popitem(last=False)

    def changes_since(self, sequence: int) -> list[StoreItem] | None:
        """Return the last change of each key after a number, or None if some are forgotten."""
        if not self.complete_from <= sequence <= self.sequence:
            return None
        if sequence == self.sequence:
            return []
        if not self.change_log or self.change_log[0][0] > sequence + 1:
            return None
        keys = dict.fromkeys(key for number, key in self.change_log if number > sequence)
        return [item for key in keys if (item := self.latest_change(key)) is not None]

    def latest_change(self, key: str) -> StoreItem | None:
        """Return the item of a key, or its deletion; None if the deletion is forgotten."""
        item = self.items.get(key)
        if item is None and key in self.tombstones:
            item = StoreItem(key=key, value=None, revision=self.tombstones[key])
        return item
