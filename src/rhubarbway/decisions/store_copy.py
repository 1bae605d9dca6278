"""A copy of the platform's store that entry hosts propagate to each other.

Changes of one key are ordered by their position in the store, which is a revision in an era, so all
copies converge whatever the order and the number of sources of the changes. Each applied change
gets a sequence number of this copy. A follower, which is a host that gets changes from this one,
asks for all changes after the last sequence number that it has received. A follower that comes from
another host has no such number, but may have a copy that lacks no change up to a revision of the
store; it asks for all changes after that revision.

A copy belongs to one era of the store. When a later one begins, it keeps what it knew until the new
era shows the state of the key, or for some time (``decisions.restored_items``).
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable, Collection, Iterable

from rhubarbway.decisions.restored_items import Resolution, RestoredItems
from rhubarbway.model import ItemEvidence, ItemSummary, KeyKind, StoreItem, StorePosition

# A follower that lags by more changes than this gets a whole copy instead.
MAX_LOGGED_CHANGES = 1024
# Tombstones (revisions of deletions) that are kept, so that an older change cannot restore a key.
# There are more of them than logged changes, since the log needs those of its deletions.
MAX_TOMBSTONES = 2048

# Evidence of items whose position is that of another item.
REVISED_EVIDENCE = frozenset({ItemEvidence.HELD, ItemEvidence.RELEASED})

# Stands in the log for a sequence number that belongs to no change of an item.
NO_KEY = ""


class StoreCopy:
    """Items of the store by key, with a log of their changes.

    Parameters
    ----------
    kind_of : callable
        Returns the ``KeyKind`` of a key.
    summarize : callable
        Returns the ``ItemSummary`` of an item with a value, None if the value is invalid.

    Attributes
    ----------
    era : int
        Era of the store that the copy belongs to, and the following revisions with it.
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
    restored : RestoredItems
        What the copy has kept from earlier eras, and which listed items it withholds.

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
        "era",
        "items",
        "restored",
        "revision",
        "sequence",
        "settled_revision",
        "summarize",
        "tombstones",
    )

    def __init__(
        self,
        *,
        kind_of: Callable[[str], KeyKind] = lambda key: KeyKind.OTHER,
        summarize: Callable[[StoreItem], ItemSummary | None] = lambda item: None,
    ) -> None:
        self.summarize = summarize
        self.restored = RestoredItems(kind_of=kind_of)
        self.era = 0
        self.items: dict[str, StoreItem] = {}
        # Deletions by key.
        self.tombstones: OrderedDict[str, StoreItem] = OrderedDict()
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

    @property
    def position(self) -> StorePosition:
        """Position in the store that the copy has reached."""
        return StorePosition(era=self.era, revision=self.revision)

    def begin_era(self, era: int, *, removed: Iterable[str], now: float) -> None:
        """Begin a later era of the store; the caller applies a whole copy of it next.

        Parameters
        ----------
        era : int
            The era.
        removed : iterable of str
            Keys whose deletion was known, but deferred.
        now : float
            Current instant.
        """
        self.restored.begin_era(self.items, removed=removed, now=now)
        self.era = era
        self.revision = 0
        self.settled_revision = 0
        self.deletions_known_after = 0
        self.mark_complete()

    def apply(self, items: Iterable[StoreItem], *, revision: int) -> list[StoreItem]:
        """Apply changes, and return what is in force for the keys whose values they changed.

        ``revision`` is the revision of the store that the copy has reached with these changes, or 0
        if earlier changes may be missing.
        """
        changes = [change for item in items if (change := self.apply_one(item)) is not None]
        self.revision = max(self.revision, revision)
        return changes

    def replace_all(self, items: Iterable[StoreItem], *, revision: int) -> list[StoreItem]:
        """Apply a whole copy of the store at a revision, and return what changed.

        Keys that ``items`` lacks count as deleted, unless a later change of them is known, or their
        state is of an earlier era.
        """
        items = list(items)
        listed = {item.key for item in items if item.value is not None or item.era == self.era}
        deleted = self.deletions_of_unlisted(listed, revision=revision)
        return self.apply([*deleted, *items], revision=revision)

    def deletions_of_unlisted(self, listed: Collection[str], *, revision: int) -> list[StoreItem]:
        """Return deletions of the keys that a whole copy of the era lacks.

        The copy may also show that a withheld item is not in the store any more.
        """
        withheld = self.restored.withheld.items()
        known_items = [*self.items.items(), *(kv for kv in withheld if kv[0] not in self.items)]
        return [
            StoreItem(key=key, value=None, revision=max(revision, known.revision), era=self.era)
            for key, known in known_items
            if key not in listed and known.era == self.era and known.revision <= revision
        ]

    def apply_one(self, item: StoreItem) -> StoreItem | None:
        """Apply one change.

        Returns
        -------
        StoreItem or None
            The change if it has changed the value of its key, or the state that counts in its
            place.
        """
        known = self.items.get(item.key) or self.tombstones.get(item.key)
        if not self.is_news(item, known):
            if item.value is None and item.key not in self.items:
                self.record_deletion_of_unknown_key(item)
            return None
        if known is not None:
            resolved = self.resolve(item, known)
            if resolved is None:
                return None
            item = resolved
        if item.value is None:
            self.items.pop(item.key, None)
            self.record_tombstone(item, known)
        else:
            self.items[item.key] = item
            self.tombstones.pop(item.key, None)
        if item.era == self.era or item.value is None:
            self.restored.discard(item.key)
        else:
            self.restored.missing.add(item.key)
        self.sequence += 1
        self.change_log.append((self.sequence, item.key))
        is_repetition = known is not None and known.era < item.era and known.value == item.value
        return None if is_repetition else item

    def is_news(self, item: StoreItem, known: StoreItem | None) -> bool:
        """Return whether a change is newer than what is known of its key."""
        if known is None or known.value is None:
            return item.value is not None and self.is_new_item(item, known)
        if self.are_both_held(item, known) and item.value != known.value:
            return self.later_of_held(item, known) is item
        return item.supersedes(known)

    def is_new_item(self, item: StoreItem, deletion: StoreItem | None) -> bool:
        """Return whether an item is newer than the deletion of its key, if one is known."""
        if deletion is not None and self.is_release(item, deletion):
            return True
        # The store had no such key at the revision of the copy, so older changes are obsolete.
        is_obsolete = bool(self.revision) and item.position <= self.position
        if deletion is not None:
            return not is_obsolete and item.supersedes(deletion)
        # A configuration is never deleted, so another host knows it from an earlier era.
        return not is_obsolete or self.restored.kind_of(item.key) is KeyKind.CONFIGURATION

    def is_release(self, item: StoreItem, known: StoreItem) -> bool:
        """Return whether a change puts a withheld item into force."""
        return (
            item.evidence is ItemEvidence.RELEASED
            and known.evidence is ItemEvidence.HELD
            and item.position == known.position
        )

    def are_both_held(self, item: StoreItem, known: StoreItem) -> bool:
        """Return whether hosts hold different states of a key in place of one listed item."""
        return (
            item.evidence is known.evidence is ItemEvidence.HELD
            and item.position == known.position
            and None not in (item.value, known.value)
        )

    def later_of_held(self, item: StoreItem, known: StoreItem) -> StoreItem:
        """Return the later one of two values that hosts hold in place of one listed item."""
        resolution = self.restored.resolution(item, known, summarize=self.summarize)
        return known if resolution is Resolution.LISTED else item

    def resolve(self, item: StoreItem, known: StoreItem) -> StoreItem | None:
        """Return what counts after a change of a known key; None if the known state stays as it is.

        An item that a listing of a later era has may be an older state of its key.
        """
        if item.evidence is ItemEvidence.HELD and item.position == known.position:
            if item.value is None and known.evidence is ItemEvidence.LISTED:
                self.restored.withheld[item.key] = known
            return item
        if item.value is None or not self.is_in_doubt(item, known):
            if item.evidence is not ItemEvidence.HELD:
                self.restored.withheld.pop(item.key, None)
            return item
        resolution = self.restored.resolution(known, item, summarize=self.summarize)
        if resolution is Resolution.LISTED:
            return item
        if known.value is None or resolution is Resolution.MISSING:
            self.restored.withheld[item.key] = item
        if resolution is Resolution.MISSING:
            return None
        return known.copied(era=item.era, revision=item.revision, evidence=ItemEvidence.HELD)

    def is_withheld(self, key: str) -> bool:
        """Return whether the store lists a key that does not count, since its deletion is later."""
        deletion = self.tombstones.get(key)
        return deletion is not None and deletion.evidence is ItemEvidence.HELD

    def is_in_doubt(self, item: StoreItem, known: StoreItem) -> bool:
        """Return whether a change may be an older state of its key than the known one."""
        if item.value == known.value and item.key not in self.restored.removed:
            return False
        if self.restored.kind_of(item.key) is KeyKind.CONFIGURATION:
            return known.era < item.era or known.evidence is ItemEvidence.HELD
        return known.era < item.era and item.evidence is ItemEvidence.LISTED

    def end_restored(self, *, now: float) -> list[StoreItem]:
        """End the states of earlier eras that are due, and return what changed.

        Parameters
        ----------
        now : float
            Instant at which the store last confirmed the copy.
        """
        ended = []
        for key in self.restored.due_missing(now=now):
            listed = self.restored.withheld.get(key)
            deletion = StoreItem(
                key=key,
                value=None,
                revision=self.revision if listed is None else listed.revision,
                era=self.era,
                evidence=ItemEvidence.RELEASED if listed is None else ItemEvidence.HELD,
            )
            ended.append(deletion)
        changes = self.apply(ended, revision=0)
        released = [
            item.copied(evidence=ItemEvidence.RELEASED)
            for item in self.restored.due_withheld(now=now)
            if not self.has_left(item)
        ]
        return changes + self.apply(released, revision=0)

    def has_left(self, listed: StoreItem) -> bool:
        """Return whether a withheld item is of a process that drained before it was removed."""
        deletion = self.tombstones.get(listed.key)
        summary = self.summarize(listed)
        if deletion is None or deletion.last_summary is None or summary is None:
            return False
        known = deletion.last_summary
        return known.draining and known.started_ms == summary.started_ms

    def record_tombstone(self, item: StoreItem, known: StoreItem | None) -> None:
        """Keep a deletion, so that older changes of the key are ignored."""
        if known is not None:
            summary = known.last_summary if known.value is None else self.summarize(known)
            item = item.copied()
            item.last_summary = later_summary(item.last_summary, summary)
        self.tombstones[item.key] = item
        self.tombstones.move_to_end(item.key)
        if len(self.tombstones) > MAX_TOMBSTONES:
            _, dropped = self.tombstones.popitem(last=False)
            if dropped.era == self.era:
                self.record_unknown_deletions(dropped.revision)

    def record_deletion_of_unknown_key(self, item: StoreItem) -> None:
        """Keep the deletion of a key that this copy lacks.

        A host that lags may still send an older change of the key, and a follower that comes from
        another host may hold the key.
        """
        known = self.tombstones.get(item.key)
        if known is not None and not item.position > known.position:
            return
        if item.evidence is not ItemEvidence.HELD:
            self.restored.withheld.pop(item.key, None)
        elif self.revision and item.position <= self.position:
            # The store has no such item any more at the revision of the copy.
            return
        self.record_tombstone(item, known)
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
        return [*self.items.values(), *self.tombstones.values()]

    def changes_after_revision(self, revision: int) -> list[StoreItem] | None:
        """Return the items and deletions after a revision of the store.

        Returns None if this copy may lack some of these deletions, so that a follower whose copy is
        settled at ``revision`` needs the whole copy.
        """
        if revision < self.deletions_known_after:
            return None
        return [item for item in self.whole_copy() if self.is_change_after(item, revision)]

    def is_change_after(self, item: StoreItem, revision: int) -> bool:
        """Return whether a follower whose copy is settled at a revision may lack an item.

        The revision does not tell for the states of earlier eras, nor for what is in force in place
        of a listed item or after another state was.
        """
        if item.era < self.era:
            return item.value is not None
        return item.revision > revision or item.evidence in REVISED_EVIDENCE

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
        return self.items.get(key) or self.tombstones.get(key)


def later_summary(first: ItemSummary | None, second: ItemSummary | None) -> ItemSummary | None:
    """Return the later one of what two values of a key said; None if neither is known."""
    if first is None or second is None:
        return first or second
    later = max(first, second, key=lambda summary: (summary.started_ms, summary.sequence))
    if first.started_ms != second.started_ms:
        return later
    return ItemSummary(
        started_ms=later.started_ms,
        sequence=later.sequence,
        draining=first.draining or second.draining,
        version=later.version,
    )
