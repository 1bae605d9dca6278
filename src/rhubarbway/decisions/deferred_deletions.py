"""Deferral of deletions in the store's copy, since entries lapse while the store is away.

Entries of living servers lapse during an outage of the store and are written again soon after it.
Deletions that are read within ``LAPSE_GRACE_S`` after the end of an outage, or after many deletions
at once, are therefore deferred to the end of that time. A deletion that another host has deferred
is due ``LAPSE_GRACE_S`` after the first host read it: hosts tell each other of the deletions that
they defer, so that a host which begins to read the store knows them.

Each deletion has its own instant at which it is due. A later event does not move it, except another
outage, in which a living server could not write its entry. Otherwise hosts that read each other's
copies would hold back deletions for each other for as long as there are new ones. The operator's
keys do not lapse, so their deletions are never deferred: a zone would stay evacuated after the
operator has taken the evacuation back.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from enum import Enum

from rhubarbway.model import StoreItem, StorePosition

# Time for which deletions are deferred after an outage or a mass deletion, seconds. Entries that
# lapsed during an outage are written again within about 2 s of the store's return.
LAPSE_GRACE_S = 2.2
# Longest deferral of a deletion, seconds, without the time in which the store did not answer this
# host. It bounds the deferral if this host is refused again and again.
MAX_DEFERRAL_S = 2 * LAPSE_GRACE_S
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

    ``APPLIED``: the deletion was applied. ``RECEIVED``: another host had applied it.
    ``WRITTEN_AGAIN``: the entry was written again. ``RESTORED``: the store was restored from an
    older copy; the deletion is among what the copy keeps from earlier eras.
    """

    APPLIED = "applied"
    RECEIVED = "received"
    WRITTEN_AGAIN = "written_again"
    RESTORED = "restored"


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
        Instant at which the first host that knows it read it.
    due_at : float
        Instant from which it is applied; inf if only other hosts have read it.
    latest_at : float
        Latest instant that ``due_at`` may be moved to.
    reason : DeferralReason
        Why it is deferred.
    sequence : int
        Sequence number of this host's copy at which this host learned of it.
    """

    __slots__ = ("due_at", "item", "known_since", "latest_at", "reason", "sequence")

    def __init__(
        self,
        *,
        item: StoreItem,
        known_since: float,
        due_at: float,
        latest_at: float,
        reason: DeferralReason,
    ) -> None:
        self.item = item
        self.known_since = known_since
        self.due_at = due_at
        self.latest_at = latest_at
        self.sequence = 0
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
    read_here : dict of str to DeferredDeletion
        Deletions by key that this host has read and deferred.
    read_elsewhere : dict of str to DeferredDeletion
        Those that only other hosts have read.
    until : float
        Instant before which the deletions that are read are deferred, to this instant.
    reason : DeferralReason
        The event that set ``until``.
    read_at : float
        Instant at which the store last answered this host.

    Examples
    --------
    >>> deferral = DeferredDeletions(may_lapse=lambda key: True)
    >>> deferral.defer(now=0.0, reason=DeferralReason.OUTAGE)
    >>> gone = StoreItem(key="a", value=None, revision=5)
    >>> deferral.due_changes([gone], now=1.0).items
    []
    >>> deferral.defer(now=2.0, reason=DeferralReason.MASS_DELETION)
    >>> [item.key for item in deferral.due_changes([], now=2.5).items]
    ['a']
    """

    __slots__ = ("may_lapse", "read_at", "read_elsewhere", "read_here", "reason", "until")

    def __init__(self, *, may_lapse: Callable[[str], bool]) -> None:
        self.may_lapse = may_lapse
        self.read_here: dict[str, DeferredDeletion] = {}
        self.read_elsewhere: dict[str, DeferredDeletion] = {}
        self.until = float("-inf")
        self.reason = DeferralReason.OUTAGE
        self.read_at = float("-inf")

    def defer(self, *, now: float, reason: DeferralReason) -> None:
        """Defer the deletions that are read in the next ``LAPSE_GRACE_S``.

        After an outage those that are deferred already wait anew, since a living server could not
        write its entry in between.
        """
        self.until = max(self.until, now + LAPSE_GRACE_S)
        self.reason = reason
        if reason is not DeferralReason.OUTAGE:
            return
        for deletion in self.read_here.values():
            deletion.latest_at += now - max(self.read_at, deletion.known_since)
            deletion.due_at = min(self.until, deletion.latest_at)

    def known_deletions(self) -> Iterator[tuple[str, DeferredDeletion]]:
        """Yield keys and deletions that are known, also those that only other hosts have read."""
        yield from self.read_here.items()
        yield from self.read_elsewhere.items()

    def merge(self, item: StoreItem, *, known_since: float) -> DeferredDeletion | None:
        """Record a deletion that another host has deferred; return it if it was not known.

        The earliest time counts, since the time that a message takes makes it seem later.
        """
        known = self.read_here.get(item.key) or self.read_elsewhere.get(item.key)
        if known is None or known.item.position < item.position:
            deletion = DeferredDeletion(
                item=item,
                known_since=known_since,
                due_at=float("inf"),
                latest_at=float("inf"),
                reason=DeferralReason.OTHER_HOST,
            )
            if item.key not in self.read_here:
                self.read_elsewhere[item.key] = deletion
                return deletion
        elif known.item.position == item.position and known_since < known.known_since:
            known.known_since = known_since
            if item.key in self.read_here and known.reason is DeferralReason.OTHER_HOST:
                known.due_at = min(known.due_at, known_since + LAPSE_GRACE_S)
        return None

    def next_due_at(self) -> float:
        """Return the instant at which the next deletion is due; inf without any."""
        return min((deletion.due_at for deletion in self.read_here.values()), default=float("inf"))

    def due_changes(
        self,
        changes: Iterable[StoreItem],
        *,
        now: float,
        is_deferred_elsewhere: Callable[[StoreItem], bool] = lambda item: False,
    ) -> DueChanges:
        """Return the changes to apply now, with the deletions whose deferral has ended.

        Parameters
        ----------
        changes : iterable of StoreItem
            What the store has answered.
        is_deferred_elsewhere : callable
            Whether another host has deferred a deletion.
        """
        self.read_at = now
        result = DueChanges()
        for item in changes:
            known = self.read_here.pop(item.key, None)
            other = self.read_elsewhere.pop(item.key, None)
            if item.value is not None or not self.may_lapse(item.key):
                ended = known or other
                # A deletion that is followed by a write in the same answer was never deferred.
                if ended is not None and ended.known_since < now:
                    result.ended.append((ended, DeferralEnd.WRITTEN_AGAIN))
                result.items.append(item)
                continue
            known_since = now
            if other is not None:
                known_since = min(now, other.known_since)
            deletion = known or self.new_deletion(
                item,
                now=now,
                known_since=known_since,
                elsewhere=other is not None or is_deferred_elsewhere(item),
            )
            deletion.item = item
            self.read_here[item.key] = deletion
            if known is None and deletion.due_at > now:
                result.begun.append(deletion)
        for key, deletion in list(self.read_here.items()):
            if deletion.due_at <= now:
                del self.read_here[key]
                result.items.append(deletion.item)
                if deletion.known_since < now:
                    result.ended.append((deletion, DeferralEnd.APPLIED))
        return result

    def new_deletion(
        self, item: StoreItem, *, now: float, known_since: float, elsewhere: bool
    ) -> DeferredDeletion:
        """Return a deletion that was read now; it is due at once if nothing defers it."""
        due_at, deferred_at, reason = now, now, self.reason
        if now < self.until:
            due_at = self.until
        elif elsewhere:
            due_at, reason = known_since + LAPSE_GRACE_S, DeferralReason.OTHER_HOST
            deferred_at = known_since
        return DeferredDeletion(
            item=item,
            known_since=known_since,
            due_at=due_at,
            latest_at=deferred_at + MAX_DEFERRAL_S,
            reason=reason,
        )

    def end_all(self) -> DueChanges:
        """Forget all deferred deletions, since the store was restored from an older copy."""
        result = DueChanges()
        result.ended = [(deletion, DeferralEnd.RESTORED) for _, deletion in self.known_deletions()]
        self.read_here.clear()
        self.read_elsewhere.clear()
        return result

    def drop_received(self, position_of: Callable[[str], StorePosition | None]) -> DueChanges:
        """Drop the deletions that the copy has received from another host.

        Parameters
        ----------
        position_of : callable
            Returns the position of the entry of a key in the copy, None if the copy has none.

        Returns
        -------
        DueChanges
            The deferrals that have ended; there is nothing to apply.
        """
        result = DueChanges()
        for key, deletion in list(self.known_deletions()):
            position = position_of(key)
            if position is not None and position <= deletion.item.position:
                continue
            self.read_here.pop(key, None)
            self.read_elsewhere.pop(key, None)
            end = DeferralEnd.RECEIVED if position is None else DeferralEnd.WRITTEN_AGAIN
            result.ended.append((deletion, end))
        return result
