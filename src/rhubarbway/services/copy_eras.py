"""Eras of the store in this host's copy, with their log and metrics.

An era ends when the store is restored from an older copy of itself. What the host knew by then is
carried over for some time (``decisions.restored_items``).
"""

from __future__ import annotations

from collections.abc import Callable

from rhubarbway.decisions.store_contact import MIN_LAPSE_OUTAGE_S
from rhubarbway.decisions.store_copy import StoreCopy
from rhubarbway.model import StoreItem
from rhubarbway.services.deletion_deferral import DeletionDeferral
from rhubarbway.services.log import component_logger

# Number of keys that a log line names.
KEYS_PER_LINE = 8


class CopyEras:
    """Tells what belongs to the era of the copy, and begins later eras; needs the registry's lock.

    Parameters
    ----------
    store_copy : StoreCopy
        The copy.
    deferral : DeletionDeferral
        The deletions that are held back from the copy.
    clock : callable
        Returns the current instant.

    Attributes
    ----------
    restores : int
        Number of restores of the store over which this copy has carried what it knew.
    listeners : list of callable
        Called with ``era``, ``missing`` and ``withheld``, the numbers of states of earlier eras and
        of withheld listed items, when one of them may have changed, and ``restored``, whether an
        era has begun after a restore.
    """

    __slots__ = ("clock", "deferral", "listeners", "log", "restores", "store_copy")

    def __init__(
        self,
        *,
        store_copy: StoreCopy,
        deferral: DeletionDeferral,
        clock: Callable[[], float],
    ) -> None:
        self.store_copy = store_copy
        self.deferral = deferral
        self.clock = clock
        self.restores = 0
        self.listeners: list[Callable[..., None]] = []
        self.log = component_logger("registry")

    def era_of(self, stated: int) -> int:
        """Return the era of an answer or a message that states one, or none (0).

        What states none is of the era of the copy, but after a restore it may be older.
        """
        return stated or (0 if self.restores else self.store_copy.era)

    def accepts(self, era: int, *, whole: bool, has_copy: bool) -> bool:
        """Return whether to apply changes of an era.

        Parameters
        ----------
        era : int
            The era.
        whole : bool
            Whether the changes are a whole copy, which alone can begin an era.
        has_copy : bool
            Whether the copy of this host is complete.
        """
        own = self.store_copy.era
        if era == own or (era > own and (whole or not has_copy)):
            return True
        self.log.info(
            "Changes of another era of the store ignored.", era=era, copy_era=own, whole=whole
        )
        return False

    def begin(self, era: int, *, source: str) -> None:
        """Begin a later era of the store, of which a whole copy is applied next."""
        store_copy = self.store_copy
        before = store_copy.position
        removed = self.deferral.begin_era()
        store_copy.begin_era(era, removed=removed, now=self.clock())
        is_restore = bool(before.revision)
        if is_restore:
            self.restores += 1
            self.deferral.begin_after_outage()
            self.log.warning(
                "Store was restored from an older copy.",
                era=era,
                previous_era=before.era,
                previous_revision=before.revision,
                known_items=len(store_copy.items),
                source=source,
            )
        self.notify(restored=is_restore)

    def record_begun(self) -> None:
        """Log what the first whole copy of an era lacks, and which of its items are older."""
        restored = self.store_copy.restored
        if restored.missing or restored.withheld:
            self.log.info(
                "States from before the restore kept.",
                era=self.store_copy.era,
                missing=len(restored.missing),
                missing_keys=sorted(restored.missing)[:KEYS_PER_LINE],
                withheld=len(restored.withheld),
                withheld_keys=sorted(restored.withheld)[:KEYS_PER_LINE],
            )
        self.notify()

    def record_confirmation_gap(self, *, ended_at: float, seconds: float) -> None:
        """Record the time between two confirmations of the copy; a long one was an outage.

        It is infinite before the first one, which ends no outage that this host knows of.
        """
        if MIN_LAPSE_OUTAGE_S < seconds < float("inf"):
            self.store_copy.restored.record_outage(ended_at=ended_at, seconds=seconds)

    def end_due(self, *, confirmed_at: float) -> list[StoreItem]:
        """End the states of earlier eras that are due, and return what changed.

        Parameters
        ----------
        confirmed_at : float
            Instant at which the store last confirmed the copy. The times stand still in an outage.
        """
        restored = self.store_copy.restored
        before = len(restored.missing), len(restored.withheld)
        if before == (0, 0):
            return []
        ended = self.store_copy.end_restored(now=confirmed_at)
        if ended:
            self.log.info(
                "States from before the restore ended.",
                era=self.store_copy.era,
                after_s=round(confirmed_at - restored.began_at, 2),
                removed=[item.key for item in ended if item.value is None][:KEYS_PER_LINE],
                released=[item.key for item in ended if item.value is not None][:KEYS_PER_LINE],
            )
        if before != (len(restored.missing), len(restored.withheld)):
            self.notify()
        return ended

    def summary(self) -> tuple[int, int, int]:
        """Return the era, and the numbers of states kept and of listed items withheld."""
        restored = self.store_copy.restored
        return self.store_copy.era, len(restored.missing), len(restored.withheld)

    def notify(self, *, restored: bool = False) -> None:
        """Pass the present numbers to the listeners."""
        state = self.store_copy.restored
        for listener in self.listeners:
            listener(
                era=self.store_copy.era,
                missing=len(state.missing),
                withheld=len(state.withheld),
                restored=restored,
            )
