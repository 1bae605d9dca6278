"""Items of the platform's store, and their order."""

from __future__ import annotations

from enum import Enum, IntEnum
from functools import total_ordering


@total_ordering
class StorePosition:
    """A revision of the store in one of its eras; the era decides first.

    An era ends when the store is restored from an older copy of itself: it then gives out again the
    revisions of the changes that it has lost. The era is 0 if the store does not state one.

    Examples
    --------
    >>> StorePosition(era=2, revision=80) > StorePosition(era=1, revision=900)
    True
    >>> StorePosition(era=2, revision=80) == StorePosition(era=2, revision=80)
    True
    """

    __slots__ = ("era", "revision")

    def __init__(self, *, era: int, revision: int) -> None:
        self.era = era
        self.revision = revision

    def __eq__(self, other: object) -> bool:
        if not isinstance(other, StorePosition):
            return NotImplemented
        return self.era == other.era and self.revision == other.revision

    def __lt__(self, other: StorePosition) -> bool:
        return (self.era, self.revision) < (other.era, other.revision)

    def __le__(self, other: StorePosition) -> bool:
        return (self.era, self.revision) <= (other.era, other.revision)

    def __hash__(self) -> int:
        return hash((self.era, self.revision))

    def __repr__(self) -> str:
        return f"StorePosition(era={self.era}, revision={self.revision})"


class ItemEvidence(IntEnum):
    """How an item is known; of two at one position the one with more evidence counts.

    ``LISTED``: a listing of the store has it. It may be older than the restore with which the era
    began. ``HELD``: a listing has an older state of the key, and this is the state that was known
    before the restore. ``WRITTEN``: it was written in its era. ``RELEASED``: it is what the store
    says, in force after another state of the key was kept for some time.
    """

    LISTED = -2
    HELD = -1
    WRITTEN = 0
    RELEASED = 1


class KeyKind(Enum):
    """What a key of the store stands for."""

    SERVER = "server"
    EVACUATION = "evacuation"
    CONFIGURATION = "configuration"
    OTHER = "other"


class ItemSummary:
    """What the value of an item says about its own order, which no restore of the store changes.

    Attributes
    ----------
    started_ms : int
        Start of a server's process, Unix milliseconds; 0 if unknown.
    sequence : int
        Number of the write among those of the server's process.
    draining : bool
        Whether the server has announced that it shuts down.
    version : int
        Version of a configuration.
    """

    __slots__ = ("draining", "sequence", "started_ms", "version")

    def __init__(
        self,
        *,
        started_ms: int = 0,
        sequence: int = 0,
        draining: bool = False,
        version: int = 0,
    ) -> None:
        self.started_ms = started_ms
        self.sequence = sequence
        self.draining = draining
        self.version = version


class StoreItem:
    """The latest change of a key.

    Attributes
    ----------
    value : bytes or None
        None if the change deleted the key.
    era, revision : int
        Position of the change in the store.
    evidence : ItemEvidence
        How the change is known.
    last_summary : ItemSummary or None
        For a deletion, what the last value said, if that is known.
    """

    __slots__ = ("era", "evidence", "key", "last_summary", "revision", "value")

    def __init__(
        self,
        *,
        key: str,
        value: bytes | None,
        revision: int,
        era: int = 0,
        evidence: ItemEvidence = ItemEvidence.WRITTEN,
        last_summary: ItemSummary | None = None,
    ) -> None:
        self.key = key
        self.value = value
        self.revision = revision
        self.era = era
        self.evidence = evidence
        self.last_summary = last_summary

    @property
    def position(self) -> StorePosition:
        """Position of the change in the store."""
        return StorePosition(era=self.era, revision=self.revision)

    def copied(
        self,
        *,
        era: int | None = None,
        revision: int | None = None,
        evidence: ItemEvidence | None = None,
    ) -> StoreItem:
        """Return a copy of this item with some attributes replaced."""
        return StoreItem(
            key=self.key,
            value=self.value,
            revision=self.revision if revision is None else revision,
            era=self.era if era is None else era,
            evidence=self.evidence if evidence is None else evidence,
            last_summary=self.last_summary,
        )

    def supersedes(self, other: StoreItem) -> bool:
        """Return whether this change of a key counts, and not the other one.

        At one position a state held in place of the listed one counts more than that one, and a
        deletion more than a value: a whole copy of that revision lacks the key.
        """
        # Compared without objects for the positions: a whole copy has tens of thousands of items.
        if self.era != other.era or self.revision != other.revision:
            return (self.era, self.revision) > (other.era, other.revision)
        is_held = ItemEvidence.HELD in (self.evidence, other.evidence)
        if is_held and self.evidence is not other.evidence:
            return self.evidence > other.evidence
        return self.value is None and other.value is not None
