"""What a host keeps of what it knew when the store is restored from an older copy.

The items that a listing of the restored store has may be older states of their keys, and the keys
that it lacks may only have to be written again. No revision tells, since the store gives revisions
out again. What a value says of its own order does: a server never serves again after it has begun
to drain, its process numbers its writes, and versions of the configuration only grow.

Times count from when a host learned of the restore, in seconds.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from enum import Enum

from rhubarbway.decisions.deferred_deletions import LAPSE_GRACE_S, MAX_DEFERRAL_S
from rhubarbway.model import ItemSummary, KeyKind, StoreItem

# Time after which the store alone decides what is evacuated, seconds. It counts as stable 4 s after
# its return, and what the operator then asks for must be in force 3 s later at the earliest. An
# evacuation that is taken back while the store lacks its key leaves no event.
OPERATOR_GRACE_S = 7.0
# Time after which a listed entry belongs to a living server, seconds. An entry that nobody writes
# expires after three status reports at intervals of 1.2 s; 3 s are for learning of that.
ENTRY_EXPIRY_S = 6.6
# For how long a state is kept whose key the restored store lacks, seconds. The keys of the other
# kinds are written again like entries after an outage.
MISSING_GRACE_S = {
    KeyKind.EVACUATION: OPERATOR_GRACE_S,
    # A version in force is never taken back.
    KeyKind.CONFIGURATION: float("inf"),
}
# For how long a listed item is withheld because a later state of its key was known, seconds.
WITHHOLDING_S = {
    KeyKind.SERVER: ENTRY_EXPIRY_S,
    KeyKind.EVACUATION: OPERATOR_GRACE_S,
    KeyKind.CONFIGURATION: 0.0,
    KeyKind.OTHER: 0.0,
}


class Resolution(Enum):
    """Which of two states of a key counts, the known or the listed one.

    ``LISTED``: the listed state. ``KNOWN``: the known state; it takes the position of the listed
    item. ``MISSING``: the known state, for as long as if the listing lacked the key.
    """

    LISTED = "listed"
    KNOWN = "known"
    MISSING = "missing"


Resolve = Callable[[ItemSummary | None, ItemSummary | None], Resolution]


def resolve_server(known: ItemSummary | None, listed: ItemSummary | None) -> Resolution:
    """Return which entry of a server counts.

    Examples
    --------
    >>> draining = ItemSummary(started_ms=5, sequence=4, draining=True)
    >>> ready = ItemSummary(started_ms=5, sequence=3)
    >>> resolve_server(draining, ready), resolve_server(ready, draining)
    (<Resolution.KNOWN: 'known'>, <Resolution.LISTED: 'listed'>)
    >>> resolve_server(ItemSummary(started_ms=9), ready)
    <Resolution.MISSING: 'missing'>
    """
    if known is None or listed is None:
        return Resolution.LISTED
    if known.started_ms and listed.started_ms and known.started_ms != listed.started_ms:
        is_earlier = listed.started_ms < known.started_ms
        return Resolution.MISSING if is_earlier else Resolution.LISTED
    is_older = listed.sequence < known.sequence or (known.draining and not listed.draining)
    return Resolution.KNOWN if is_older else Resolution.LISTED


def resolve_removed_server(known: ItemSummary | None, listed: ItemSummary | None) -> Resolution:
    """Return whether a removed server stays removed although its entry is listed.

    Examples
    --------
    >>> removed = ItemSummary(started_ms=5, sequence=4)
    >>> [
    ...     resolve_removed_server(removed, ItemSummary(started_ms=started_ms, sequence=sequence))
    ...     for started_ms, sequence in [(5, 4), (5, 5), (6, 1)]
    ... ]
    [<Resolution.KNOWN: 'known'>, <Resolution.LISTED: 'listed'>, <Resolution.LISTED: 'listed'>]
    """
    if listed is None:
        return Resolution.LISTED
    if known is None:
        return Resolution.KNOWN
    is_later = (listed.started_ms, listed.sequence) > (known.started_ms, known.sequence)
    return Resolution.LISTED if is_later else Resolution.KNOWN


def resolve_configuration(known: ItemSummary | None, listed: ItemSummary | None) -> Resolution:
    """Return which configuration counts: the one with the higher version."""
    if known is None or listed is None or listed.version >= known.version:
        return Resolution.LISTED
    return Resolution.KNOWN


def always_listed(known: ItemSummary | None, listed: ItemSummary | None) -> Resolution:
    """Return that the listed state counts."""
    return Resolution.LISTED


def always_known(known: ItemSummary | None, listed: ItemSummary | None) -> Resolution:
    """Return that the known state counts."""
    return Resolution.KNOWN


# By the kind of the key: how to resolve a listed item with a known value, or a known deletion.
RESOLVE_VALUE: dict[KeyKind, Resolve] = {
    KeyKind.SERVER: resolve_server,
    KeyKind.EVACUATION: always_listed,
    KeyKind.CONFIGURATION: resolve_configuration,
    KeyKind.OTHER: always_listed,
}
RESOLVE_DELETION: dict[KeyKind, Resolve] = {
    KeyKind.SERVER: resolve_removed_server,
    KeyKind.EVACUATION: always_known,
    KeyKind.CONFIGURATION: always_listed,
    KeyKind.OTHER: always_listed,
}


class RestoredItems:
    """States of earlier eras that are in force, and listed items that are not; needs a lock.

    Parameters
    ----------
    kind_of : callable
        Returns the ``KeyKind`` of a key.

    Attributes
    ----------
    missing : set of str
        Keys whose state is of an earlier era, since the store has not shown them in this one.
    removed : set of str
        Those of them whose deletion was known, but deferred.
    withheld : dict of str to StoreItem
        Listed items, by key, that are not in force because a later state is known.
    began_at : float
        Instant at which this host learned of the era; -inf if the copy is of the first one.
    entries_due_at, entries_latest_at : float
        Instant at which missing entries of servers end, and the latest it may be moved to.
    """

    __slots__ = (
        "began_at",
        "entries_due_at",
        "entries_latest_at",
        "kind_of",
        "missing",
        "removed",
        "withheld",
    )

    def __init__(self, *, kind_of: Callable[[str], KeyKind]) -> None:
        self.kind_of = kind_of
        self.missing: set[str] = set()
        self.removed: set[str] = set()
        self.withheld: dict[str, StoreItem] = {}
        self.began_at = float("-inf")
        self.entries_due_at = float("-inf")
        self.entries_latest_at = float("-inf")

    def begin_era(self, keys: Iterable[str], *, removed: Iterable[str], now: float) -> None:
        """Take over the states of these keys; those of ``removed`` were deleted, but in use."""
        self.missing = set(keys)
        self.removed = (self.removed | set(removed)) & self.missing
        self.withheld.clear()
        self.began_at = now
        self.entries_due_at = now + LAPSE_GRACE_S
        self.entries_latest_at = now + MAX_DEFERRAL_S

    def record_outage(self, *, ended_at: float, seconds: float) -> None:
        """Let the time for entries begin anew, since no server could write its entry."""
        self.entries_latest_at += seconds
        self.entries_due_at = min(ended_at + LAPSE_GRACE_S, self.entries_latest_at)

    def resolution(
        self,
        known: StoreItem,
        listed: StoreItem,
        *,
        summarize: Callable[[StoreItem], ItemSummary | None],
    ) -> Resolution:
        """Return which of two states of a key counts."""
        is_value = known.value is not None and known.key not in self.removed
        resolve = (RESOLVE_VALUE if is_value else RESOLVE_DELETION)[self.kind_of(known.key)]
        summary = known.last_summary if known.value is None else summarize(known)
        result = resolve(summary, summarize(listed))
        if known.value is not None and not is_value and result is Resolution.KNOWN:
            # The server stays in use until its deferred deletion is due.
            return Resolution.MISSING
        return result

    def discard(self, key: str) -> None:
        """Forget that the state of a key is of an earlier era."""
        self.missing.discard(key)
        self.removed.discard(key)

    def next_due_at(self) -> float:
        """Return the instant at which the next state ends or item is released; inf without any."""
        ends = [self.missing_until(key) for key in self.missing]
        ends += [self.withheld_until(key) for key in self.withheld]
        return min(ends, default=float("inf"))

    def due_missing(self, *, now: float) -> list[str]:
        """Return the keys whose states of earlier eras end."""
        return [key for key in self.missing if now >= self.missing_until(key)]

    def missing_until(self, key: str) -> float:
        """Return the instant at which the state of a missing key ends."""
        grace_s = MISSING_GRACE_S.get(self.kind_of(key))
        return self.entries_due_at if grace_s is None else self.began_at + grace_s

    def withheld_until(self, key: str) -> float:
        """Return the instant at which a withheld item is released."""
        return self.began_at + WITHHOLDING_S[self.kind_of(key)]

    def due_withheld(self, *, now: float) -> list[StoreItem]:
        """Remove and return the listed items that are withheld no longer."""
        due = [item for key, item in self.withheld.items() if now >= self.withheld_until(key)]
        for item in due:
            del self.withheld[item.key]
        return due
