"""Deferral of deletions in the store's copy, since entries lapse while the store is away.

Entries of living servers lapse during an outage of the store and are written again soon after it.
The end of an outage, many deletions at once, or a deletion that another host has deferred therefore
defer all deletions of entries that are read until ``LAPSE_GRACE_S`` has passed since the last such
event. The operator's keys do not lapse, so their deletions are never deferred: a zone would stay
evacuated after the operator has taken the evacuation back.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from rhubarbway.model import StoreItem

# Time for which deletions are deferred after an outage or a mass deletion, seconds. Entries that
# lapsed during an outage are written again within about 2 s of the store's return.
LAPSE_GRACE_S = 2.2
# If at least this number and this fraction of the servers that do not drain are deleted at once,
# their entries are assumed to have lapsed in an outage between two calls. Servers that leave
# unannounced when an index is replaced are a smaller fraction.
MIN_LAPSED_ENTRIES = 4
MIN_LAPSED_FRACTION = 0.4


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


class DeferredDeletions:
    """Deletions that were read, but are not applied yet; the caller holds a lock.

    Parameters
    ----------
    may_lapse : callable
        Whether the value of a key can lapse during an outage.

    Attributes
    ----------
    deletions : dict of str to StoreItem
        Deferred deletions by key.
    until : float
        Instant at which the deferral of all of them ends. The end of another outage or another mass
        deletion moves it.

    Examples
    --------
    >>> deferral = DeferredDeletions(may_lapse=lambda key: True)
    >>> deferral.defer(now=0.0)
    >>> gone = StoreItem(key="a", value=None, revision=5)
    >>> deferral.due_changes([gone], now=1.0)
    []
    >>> [item.key for item in deferral.due_changes([], now=3.0)]
    ['a']
    """

    __slots__ = ("deletions", "may_lapse", "until")

    def __init__(self, *, may_lapse: Callable[[str], bool]) -> None:
        self.may_lapse = may_lapse
        self.deletions: dict[str, StoreItem] = {}
        self.until = float("-inf")

    def defer(self, *, now: float) -> None:
        """Defer the deletions that are read from now on."""
        self.until = max(self.until, now + LAPSE_GRACE_S)

    def due_changes(self, changes: Iterable[StoreItem], *, now: float) -> list[StoreItem]:
        """Return the changes to apply now, with the deletions whose deferral has ended."""
        changes = list(changes)
        if now >= self.until:
            due_deletions = list(self.deletions.values())
            self.deletions.clear()
            return due_deletions + changes
        due = []
        for item in changes:
            if item.value is None and self.may_lapse(item.key):
                self.deletions[item.key] = item
                continue
            self.deletions.pop(item.key, None)
            due.append(item)
        return due
