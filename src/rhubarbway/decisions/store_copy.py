"""A copy of the platform's store that entry hosts propagate to each other.

Changes of one key are ordered by their revision in the store, so all copies converge whatever the
order and the number of sources of the changes. Each applied change gets a sequence number of this
copy. A follower, which is a host that gets changes from this one, asks for all changes after the
last sequence number that it has received. A follower that comes from another host has no such
number, but may have a copy that lacks no change up to a revision of the store; it asks for all
changes after that revision.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Iterable

from rhubarbway.model import StoreItem

# A follower that lags by more changes than this gets a whole copy instead.
MAX_LOGGED_CHANGES = 1024
# Tombstones (revisions of deletions) that are kept, so that an older change cannot restore a key.
# There are more of them than logged changes, since the log needs those of its deletions.
MAX_TOMBSTONES = 2048

# Stands in the log for a sequence number that belongs to no change of an item.
NO_KEY = ""


class StoreCopy:
    """Items of the store by key, with a log of their changes.

    Attributes
    ----------
    revision : int
        The copy contains all changes up to this revision of the store, except deletions that the
        caller has deferred.
    settled_revision : int
        The copy contains all changes up to this revision of the store, deletions included.
    deletions_known_after : int
        The copy knows each deletion after this revision of the store that it contains; a follower
        that lacks earlier ones needs the whole copy.
    sequence : int
        Sequence number of the newest change of this copy.
    complete_from : int
        Lowest sequence number of this copy (no store revision) from which changes alone bring a
        follower up to date; a follower with a lower one needs the whole copy.

    Examples
    --------
    >>> copy = StoreCopy()
    >>> item = StoreItem(key="a", value=b"1", revision=5)
    >>> [found.key for found in copy.apply([item], revision=5)]
    ['a']
    >>> copy.apply([StoreItem(key="a", value=b"0", revision=4)], revision=4)
    []
    >>> [found.value for found in copy.changes_since(0)]
    [b'1']
    """

    __slots__ = (
        "change_log",
        "complete_from",
        "deletions_known_after",
        "items",
        "revision",
        "sequence",
        "settled_revision",
        "tombstones",
    )

    def __init__(self) -> None:
        self.items: dict[str, StoreItem] = {}
        self.tombstones: OrderedDict[str, int] = OrderedDict()
        # Sequence numbers and keys of changes, without values: a follower needs only the latest
        # value of a key, and superseded ones would fill the memory.
        self.change_log: deque[tuple[int, str]] = deque(maxlen=MAX_LOGGED_CHANGES)
        self.revision = 0
        self.settled_revision = 0
        self.deletions_known_after = 0
        self.sequence = 0
        self.complete_from = 0

    def mark_complete(self) -> None:
        """Record that the copy is complete now.

        Followers at an earlier sequence number get the whole copy once more. They may hold keys
        that were deleted before this host began to copy; its log does not contain these deletions.
        """
        self.sequence += 1
        self.complete_from = self.sequence

    def apply(self, items: Iterable[StoreItem], *, revision: int) -> list[StoreItem]:
        """Apply changes and return those that were newer than what is known of their keys.

        ``revision`` is the revision of the store that the copy has reached with these changes, or 0
        if earlier changes may be missing.
        """
        changes = [item for item in items if self.apply_one(item)]
        self.revision = max(self.revision, revision)
        return changes

    def replace_all(self, items: Iterable[StoreItem], *, revision: int) -> list[StoreItem]:
        """Apply a whole copy of the store at a revision, and return what changed.

        Keys that ``items`` lacks count as deleted, unless a later change of them is known.
        """
        listed = {item.key: item for item in items}
        deleted = [
            StoreItem(key=key, value=None, revision=max(revision, known.revision))
            for key, known in self.items.items()
            if key not in listed and known.revision <= revision
        ]
        return self.apply([*deleted, *listed.values()], revision=revision)

    def apply_one(self, item: StoreItem) -> bool:
        """Apply one change and return whether it was newer than what is known of its key."""
        known = self.items.get(item.key)
        if known is not None:
            # At an equal revision a deletion wins: a whole copy of that revision lacks the key.
            is_newer = item.revision > known.revision or (
                item.value is None and item.revision == known.revision
            )
        else:
            # The store had no such key at the revision of the copy, so older changes are obsolete.
            deleted_at = max(self.tombstones.get(item.key, 0), self.revision)
            is_newer = item.value is not None and item.revision > deleted_at
        if not is_newer:
            if known is None and item.value is None:
                self.record_deletion_of_unknown_key(item)
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
        """Keep the revision of a deletion, so that older changes of the key are ignored."""
        self.tombstones[item.key] = max(item.revision, self.tombstones.get(item.key, 0))
        self.tombstones.move_to_end(item.key)
        if len(self.tombstones) > MAX_TOMBSTONES:
            _, dropped_revision = self.tombstones.popitem(last=False)
            self.deletions_known_after = max(self.deletions_known_after, dropped_revision)

    def record_deletion_of_unknown_key(self, item: StoreItem) -> None:
        """Keep the deletion of a key that this copy lacks.

        A host that lags may still send an older change of the key, and a follower that comes from
        another host may hold the key.
        """
        if item.revision <= self.tombstones.get(item.key, 0):
            return
        self.record_tombstone(item)
        self.sequence += 1
        self.change_log.append((self.sequence, item.key))

    def advance(self) -> int:
        """Return a new sequence number for what followers are to learn, but is no changed item."""
        self.sequence += 1
        self.change_log.append((self.sequence, NO_KEY))
        return self.sequence

    def record_unknown_deletions(self, revision: int) -> None:
        """Record that deletions up to a revision may be unknown, since a list names none."""
        self.deletions_known_after = max(self.deletions_known_after, revision)

    def settle(self, revision: int) -> None:
        """Record that the copy contains all changes up to a revision, deletions included."""
        self.settled_revision = max(self.settled_revision, revision)

    def follow(self, *, settled_revision: int, deletions_known_after: int, whole: bool) -> None:
        """Record what the copy of a followed host contains, after its changes were applied.

        The follower may hold a key that the followed host never had. So changes alone settle its
        copy only if the followed host knows all deletions since the follower's copy was settled.
        """
        if whole:
            self.record_unknown_deletions(deletions_known_after)
        if whole or deletions_known_after <= self.settled_revision:
            self.settle(settled_revision)

    def whole_copy(self) -> list[StoreItem]:
        """Return all items and all known deletions."""
        return [
            *self.items.values(),
            *(
                StoreItem(key=key, value=None, revision=deleted_at)
                for key, deleted_at in self.tombstones.items()
            ),
        ]

    def changes_after_revision(self, revision: int) -> list[StoreItem] | None:
        """Return the items and deletions after a revision of the store.

        Returns None if this copy may lack some of these deletions, so that a follower whose copy is
        settled at ``revision`` needs the whole copy.
        """
        if revision < self.deletions_known_after:
            return None
        changed = [item for item in self.items.values() if item.revision > revision]
        deleted = [
            StoreItem(key=key, value=None, revision=deleted_at)
            for key, deleted_at in self.tombstones.items()
            if deleted_at > revision
        ]
        return changed + deleted

    def changes_since(self, sequence: int) -> list[StoreItem] | None:
        """Return the present item, or the deletion, of each key changed after a sequence number.

        A deletion whose tombstone was dropped is left out. Returns None if the follower needs a
        whole copy, because the log lacks some of the changes or because the number lies outside
        ``complete_from`` to ``sequence`` of this copy.
        """
        if not self.complete_from <= sequence <= self.sequence:
            return None
        if sequence == self.sequence:
            return []
        if not self.change_log or self.change_log[0][0] > sequence + 1:
            return None
        keys = dict.fromkeys(key for number, key in self.change_log if number > sequence)
        return [item for key in keys if (item := self.latest_change(key)) is not None]

    def latest_change(self, key: str) -> StoreItem | None:
        """Return the item of a key or its deletion; None if the tombstone was dropped."""
        item = self.items.get(key)
        if item is None and key in self.tombstones:
            item = StoreItem(key=key, value=None, revision=self.tombstones[key])
        return item
