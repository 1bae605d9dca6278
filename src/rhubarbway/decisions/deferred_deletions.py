"""Deferral of deletions in the store's copy, since entries lapse while the store is away.

Entries of living servers lapse during an outage of the store and are written again soon after it.
The end of an outage, many deletions at once, or a deletion that another host has deferred therefore
defer all deletions of entries that are read until ``LAPSE_GRACE_S`` has passed since the last such
event. The operator's keys do not lapse, so their deletions are never deferred: a zone would stay
evacuated after the operator has taken the evacuation back.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from enum import Enum

from rhubarbway.model import StoreItem

# Time for which deletions are deferred after an outage or a mass deletion, seconds. Entries that
# lapsed during an outage are written again within about 2 s of the store's return.
LAPSE_GRACE_S = 2.2
# If at least this number and this fraction of the servers that do not drain are deleted at once,
# their entries are assumed to have lapsed in an outage between two calls. Servers that leave
# unannounced when an index is replaced are a smaller fraction.
MIN_LAPSED_ENTRIES = 4
MIN_LAPSED_FRACTION = 0.4


class DeferralReason(Enum):
    """Why deletions are deferred.

    ``OUTAGE``: an outage of the store, as the calls of this host show it, has ended.
    ``MASS_DELETION``: many entries were deleted at once. ``OTHER_HOST``: the host that sent this
    copy has deferred the deletion.
    """

    OUTAGE = "outage"
    MASS_DELETION = "mass_deletion"
    OTHER_HOST = "other_host"


class DeferralEnd(Enum):
    """How the deferral of a deletion ended.

    ``APPLIED``: the deletion was applied. ``WRITTEN_AGAIN``: the entry was written again.
    """

    APPLIED = "applied"
    WRITTEN_AGAIN = "written_again"


def is_mass_deletion(deleted: int, *, serving: int) -> bool:
    """Return whether so many of the serving entries are deleted at once that they have lapsed.

    Examples
    --------
    >>> is_mass_deletion(3, serving=3), is_mass_deletion(11, serving=75)
    (False, False)
    >>> is_mass_deletion(30, serving=75)
    True
    """
    return deleted >= max(MIN_LAPSED_ENTRIES, MIN_LAPSED_FRACTION * serving)


class DeferredDeletion:
    """A deletion that is known, but not applied yet.

    Attributes
    ----------
    item : StoreItem
        The deletion.
    known_since : float
        Instant at which it was read.
    reason : DeferralReason
        Why it is deferred.
    """

    __slots__ = ("item", "known_since", "reason")

    def __init__(self, *, item: StoreItem, known_since: float, reason: DeferralReason) -> None:
        self.item = item
        self.known_since = known_since
        self.reason = reason


class DueChanges:
    """What follows from changes that were read.

    Attributes
    ----------
    items : list of StoreItem
        The changes to apply now.
    begun : list of DeferredDeletion
        Deferrals that have begun.
    ended : list of (DeferredDeletion, DeferralEnd)
        Deferrals that have ended.
    """

    __slots__ = ("begun", "ended", "items")

    def __init__(self) -> None:
        self.items: list[StoreItem] = []
        self.begun: list[DeferredDeletion] = []
        self.ended: list[tuple[DeferredDeletion, DeferralEnd]] = []


class DeferredDeletions:
    """Deletions that were read, but are not applied yet; the caller holds a lock.

    Parameters
    ----------
    may_lapse : callable
        Whether the value of a key can lapse during an outage.

    Attributes
    ----------
    deletions : dict of str to DeferredDeletion
        Deferred deletions by key.
    until : float
        Instant at which the deferral of all of them ends. The end of another outage or another mass
        deletion moves it.
    reason : DeferralReason
        The event that moved ``until`` last.

    Examples
    --------
    >>> deferral = DeferredDeletions(may_lapse=lambda key: True)
    >>> deferral.defer(now=0.0, reason=DeferralReason.OUTAGE)
    >>> gone = StoreItem(key="a", value=None, revision=5)
    >>> deferral.due_changes([gone], now=1.0).items
    []
    >>> [item.key for item in deferral.due_changes([], now=3.0).items]
    ['a']
    """

    __slots__ = ("deletions", "may_lapse", "reason", "until")

    def __init__(self, *, may_lapse: Callable[[str], bool]) -> None:
        self.may_lapse = may_lapse
        self.deletions: dict[str, DeferredDeletion] = {}
        self.until = float("-inf")
        self.reason = DeferralReason.OUTAGE

    def defer(self, *, now: float, reason: DeferralReason) -> None:
        """Defer the deletions that are read from now on."""
        self.until = max(self.until, now + LAPSE_GRACE_S)
        self.reason = reason

    def due_changes(self, changes: Iterable[StoreItem], *, now: float) -> DueChanges:
        """Return the changes to apply now, with the deletions whose deferral has ended."""
        result = DueChanges()
        if now >= self.until:
            ended = list(self.deletions.values())
            self.deletions.clear()
            result.ended = [(deletion, DeferralEnd.APPLIED) for deletion in ended]
            result.items = [*(deletion.item for deletion in ended), *changes]
            return result
        for item in changes:
            known = self.deletions.pop(item.key, None)
            if item.value is None and self.may_lapse(item.key):
                deletion = DeferredDeletion(
                    item=item,
                    known_since=known.known_since if known is not None else now,
                    reason=self.reason,
                )
                self.deletions[item.key] = deletion
                if known is None:
                    result.begun.append(deletion)
                continue
            if known is not None:
                result.ended.append((known, DeferralEnd.WRITTEN_AGAIN))
            result.items.append(item)
        return result
