"""Changes of the copy of the store that a host sends to its followers."""

from __future__ import annotations

from collections.abc import Sequence

from rhubarbway.decisions.copy_freshness import Confirmation
from rhubarbway.decisions.deferred_deletions import DeferredDeletion
from rhubarbway.model import StoreItem


class Changes:
    """Changes of the copy for a follower.

    Parameters
    ----------
    era : int
        Era of the store that the copy belongs to; 0 if the sender does not state it.
    items : sequence of StoreItem
        Changed items, with value None for a deletion.
    revision : int
        Revision of the store up to which the copy contains all changes, except deferred deletions.
    sequence : int
        Sequence number of the newest change of the copy.
    whole : bool
        Whether ``items`` are all items of a complete copy, so that keys missing from it were
        deleted.
    complete : bool
        Whether the copy is complete; items of the store may be missing from an incomplete one.
    confirmation : Confirmation
        The last answer by which the store confirmed that the copy is current.
    settled_revision, deletions_known_after : int
        Those of the copy (``StoreCopy``).
    deferred : sequence of DeferredDeletion
        Deletions that are known, but not applied to the copy.
    """

    __slots__ = (
        "complete",
        "confirmation",
        "deferred",
        "deletions_known_after",
        "era",
        "items",
        "revision",
        "sequence",
        "settled_revision",
        "whole",
    )

    def __init__(
        self,
        *,
        items: Sequence[StoreItem],
        revision: int,
        sequence: int,
        whole: bool,
        complete: bool,
        confirmation: Confirmation | None = None,
        settled_revision: int = 0,
        deletions_known_after: int = 0,
        deferred: Sequence[DeferredDeletion] = (),
        era: int = 0,
    ) -> None:
        self.era = era
        self.deferred = deferred
        self.complete = complete
        self.confirmation = confirmation or Confirmation()
        self.settled_revision = settled_revision
        self.deletions_known_after = deletions_known_after
        self.items = items
        self.revision = revision
        self.sequence = sequence
        self.whole = whole
