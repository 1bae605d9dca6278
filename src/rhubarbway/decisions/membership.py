"""Membership view of an entry host: merge rules, failure detection and updates to propagate."""

from __future__ import annotations

from collections.abc import Collection, Iterable

from rhubarbway.model import MemberRecord, MemberState

# Failed exchanges in a row after which a host becomes suspect.
SUSPECT_AFTER_FAILURES = 3
# A host that stays suspect for this time is declared dead, seconds.
DEAD_AFTER_S = 10.0

# At equal heartbeats the worse state wins. It is refuted by a record with a higher heartbeat, which
# only the host itself issues, or by an exchange with the host itself (see ``merge_direct``).
STATE_SEVERITY = {
    MemberState.ALIVE: 0,
    MemberState.SUSPECT: 1,
    MemberState.LEAVING: 2,
    MemberState.DEAD: 3,
}


def record_order(record: MemberRecord) -> tuple[int, str, int, int]:
    """Return the sort key of the records of one host; the greatest record is kept."""
    return (record.started_ms, record.incarnation, record.heartbeat, STATE_SEVERITY[record.state])


def equal_except_heartbeat(first: MemberRecord | None, second: MemberRecord) -> bool:
    """Whether two records differ at most in heartbeat and start time.

    A change of only these is not propagated.
    """
    return first is not None and (first.incarnation, first.state, first.blind) == (
        second.incarnation,
        second.state,
        second.blind,
    )


def with_state(
    record: MemberRecord, state: MemberState, *, started_ms: int, heartbeat: int
) -> MemberRecord:
    """Return a copy of a record with another state, start time or heartbeat."""
    return MemberRecord(
        name=record.name,
        incarnation=record.incarnation,
        started_ms=started_ms,
        heartbeat=heartbeat,
        state=state,
        blind=record.blind,
    )


class Membership:
    """The membership view of one entry host.

    Published hosts are those that the manifest names, or without a manifest those of the settings
    and of the host list.

    Parameters
    ----------
    own : MemberRecord
        Record of this host about itself.
    max_unpublished : int
        A host that is not published gets a record only while there are fewer records in total
        than this number plus that of the published hosts.

    Attributes
    ----------
    failed_exchanges : dict of str to int
        Failed exchanges in a row with each neighbour.
    suspected_at : dict of str to float
        Instant since which each suspect host is suspect.

    Examples
    --------
    >>> own = MemberRecord(name="a", incarnation="1", started_ms=5, heartbeat=0,
    ...                    state=MemberState.ALIVE)
    >>> view = Membership(own=own)
    >>> view.set_published(["a", "b"], neighbours=["b"])
    >>> sorted(view.alive())
    ['a']
    """

    __slots__ = (
        "max_unpublished",
        "failed_exchanges",
        "neighbours",
        "own",
        "published",
        "records",
        "suspected_at",
    )

    def __init__(self, *, own: MemberRecord, max_unpublished: int = 64) -> None:
        self.own = own
        self.max_unpublished = max_unpublished
        self.records: dict[str, MemberRecord] = {}
        self.published: set[str] = set()
        self.neighbours: set[str] = set()
        self.failed_exchanges: dict[str, int] = {}
        self.suspected_at: dict[str, float] = {}

    def set_published(self, names: Collection[str], *, neighbours: Collection[str]) -> None:
        """Set the published hosts and the neighbours, and drop hosts that are neither."""
        self.published = set(names)
        self.neighbours = set(neighbours)
        kept = self.published | self.neighbours
        self.records = {name: record for name, record in self.records.items() if name in kept}
        self.failed_exchanges = {
            name: count for name, count in self.failed_exchanges.items() if name in neighbours
        }
        self.suspected_at = {
            name: at for name, at in self.suspected_at.items() if name in self.records
        }

    def advance_heartbeat(self, *, leaving: bool, blind: bool) -> bool:
        """Increment the own heartbeat; return whether the own record has to be propagated."""
        state = MemberState.LEAVING if leaving else MemberState.ALIVE
        previous = self.own
        self.own = MemberRecord(
            name=previous.name,
            incarnation=previous.incarnation,
            started_ms=previous.started_ms,
            heartbeat=previous.heartbeat + 1,
            state=state,
            blind=blind,
        )
        return not equal_except_heartbeat(previous, self.own)

    def merge(self, record: MemberRecord, *, now: float, wall_ms: int) -> MemberRecord | None:
        """Merge a record and return the record to propagate, or None.

        Parameters
        ----------
        record : MemberRecord
            Record from the host itself or relayed by another host.
        now : float
            ``time.monotonic()``, seconds.
        wall_ms : int
            Wall clock, milliseconds.
        """
        if record.name == self.own.name:
            return self.refute(record, wall_ms=wall_ms)
        known = self.records.get(record.name)
        if known is not None and record_order(record) <= record_order(known):
            # The sender propagates an older record, so the newer one is returned to refute it.
            return None if equal_except_heartbeat(known, record) else known
        if (
            known is None
            and record.name not in self.published | self.neighbours
            and len(self.records) >= self.max_unpublished + len(self.published)
        ):
            return None
        self.records[record.name] = record
        if record.state is MemberState.ALIVE:
            # The host was alive later than this host knew, so its failed exchanges count anew.
            self.failed_exchanges.pop(record.name, None)
        if record.state is MemberState.SUSPECT:
            self.suspected_at.setdefault(record.name, now)
        else:
            self.suspected_at.pop(record.name, None)
        return None if equal_except_heartbeat(known, record) else record

    def refute(self, record: MemberRecord, *, wall_ms: int) -> MemberRecord | None:
        """Return the own record to propagate if ``record``, which is about this host, is wrong.

        The own record gets a start time or heartbeat that gives it precedence over ``record``.
        """
        own = self.own
        if record.incarnation != own.incarnation:
            if own.started_ms <= record.started_ms < wall_ms:
                # A later process has replaced this one, which was paused meanwhile. A start time in
                # the future would not be that of a later process.
                return None
            # The record is that of an earlier process. If the clock was ahead then, its start time
            # is the later one, so this process takes one that is later still.
            started_ms = max(own.started_ms, record.started_ms + 1)
            self.own = with_state(own, own.state, started_ms=started_ms, heartbeat=own.heartbeat)
            return self.own
        if record.state is own.state:
            return None
        heartbeat = max(own.heartbeat, record.heartbeat) + 1
        self.own = with_state(own, own.state, started_ms=own.started_ms, heartbeat=heartbeat)
        return self.own

    def merge_direct(
        self, record: MemberRecord, *, now: float, wall_ms: int
    ) -> MemberRecord | None:
        """Merge the record that a host sent about itself in an exchange with this host."""
        self.failed_exchanges.pop(record.name, None)
        known = self.records.get(record.name)
        if (
            known is not None
            and known.incarnation == record.incarnation
            and known.state in (MemberState.SUSPECT, MemberState.DEAD)
            and known.heartbeat >= record.heartbeat
            and record.started_ms == known.started_ms
        ):
            # The exchange itself shows that the host is alive, so its record replaces the
            # suspicion although its heartbeat is not higher.
            self.records[record.name] = record
            self.suspected_at.pop(record.name, None)
            return record
        return self.merge(record, now=now, wall_ms=wall_ms)

    def record_failed_exchange(self, name: str, *, now: float) -> MemberRecord | None:
        """Count a failed exchange; return the record to propagate if the host becomes suspect."""
        self.failed_exchanges[name] = self.failed_exchanges.get(name, 0) + 1
        known = self.records.get(name)
        if self.failed_exchanges[name] < SUSPECT_AFTER_FAILURES or known is None:
            return None
        if known.state is not MemberState.ALIVE:
            return None
        return self.set_state(known, MemberState.SUSPECT, now=now)

    def expire_suspects(self, *, now: float) -> list[MemberRecord]:
        """Declare overdue suspects dead, and return their records to propagate."""
        overdue = [name for name, at in self.suspected_at.items() if now - at >= DEAD_AFTER_S]
        return [
            self.set_state(self.records[name], MemberState.DEAD, now=now)
            for name in overdue
            if name in self.records
        ]

    def set_state(self, known: MemberRecord, state: MemberState, *, now: float) -> MemberRecord:
        """Set the state of a host at its current incarnation and heartbeat; return the record."""
        record = with_state(known, state, started_ms=known.started_ms, heartbeat=known.heartbeat)
        self.records[known.name] = record
        if state is MemberState.SUSPECT:
            self.suspected_at[known.name] = now
        else:
            self.suspected_at.pop(known.name, None)
        return record

    def alive(self) -> set[str]:
        """Return the names of the live hosts, this one included unless it is leaving.

        A published host without a record counts as alive, unless it is a neighbour: this host
        exchanges gossip with its neighbours, so a live one would have a record.
        """
        known = {name for name, record in self.records.items() if record.state is MemberState.ALIVE}
        assumed = self.published - self.records.keys() - self.neighbours
        own = {self.own.name} if self.own.state is MemberState.ALIVE else set()
        return (known & self.published) | (assumed - {self.own.name}) | own

    def blind_hosts(self) -> set[str]:
        """Return the hosts that report that they cannot reach the configuration service."""
        blind = {name for name, record in self.records.items() if record.blind}
        return blind | ({self.own.name} if self.own.blind else set())

    def non_default_records(self) -> Iterable[MemberRecord]:
        """Return the records that differ from what a host without records assumes.

        Such a host takes published hosts as alive, and as able to reach the configuration service.
        """
        return [
            record
            for record in self.records.values()
            if record.state is not MemberState.ALIVE or record.blind
        ]
