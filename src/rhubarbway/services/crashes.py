"""Suspicions and quarantines of requests that crash backend servers."""

from __future__ import annotations

import threading
import time
from collections import Counter
from collections.abc import Callable

from rhubarbway.decisions.crash_suspects import CrashKnowledge, CrashSuspects, shape_key
from rhubarbway.kernel import Kernel
from rhubarbway.model import (
    AttemptOutcome,
    CanaryMode,
    Coverage,
    ExecutionStatus,
    Failure,
    FailureKind,
    HostIdentity,
    OutcomeKind,
    Query,
)
from rhubarbway.services.log import component_logger
from rhubarbway.services.names import BACKENDS

Listener = Callable[[CrashKnowledge], None]


class CrashService:
    """Owns the suspicions and quarantines of this entry host.

    ``listeners`` are called with all shared knowledge, outside of the lock, when a suspicion is
    confirmed or a quarantine starts. ``guarded`` counts the attempts that run now under an
    exposure limit, by digest.
    """

    __slots__ = ("changed", "guarded", "listeners", "log", "suspects")

    def __init__(self, *, identity: HostIdentity) -> None:
        self.suspects = CrashSuspects(origin=f"{identity.name}/{identity.incarnation}")
        self.changed = threading.Condition()
        self.guarded: Counter[str] = Counter()
        self.listeners: list[Listener] = []
        self.log = component_logger("crashes")

    def start(self, kernel: Kernel) -> None:
        """Follow the contacts with replicas."""
        kernel.find(BACKENDS).contact_listeners.append(self.note_contact)

    def stop(self) -> None:
        """Nothing runs here."""

    def refusal(self, query: Query) -> Failure | None:
        """Return the refusal of a quarantined query before any of it runs."""
        left_s = self.suspects.quarantine_left(query.digest, time.monotonic())
        if left_s <= 0:
            return None
        return quarantined_failure(left_s, ExecutionStatus.NOT_RUN)

    def is_quarantined(self, digest: str) -> bool:
        """Whether a digest may reach no server."""
        return self.suspects.quarantine_left(digest, time.monotonic()) > 0

    def is_suspect(self, digest: str) -> bool:
        """Whether a digest may be hedged or retried only under the exposure limit."""
        if digest not in self.suspects.suspicions:
            return False
        with self.changed:
            return bool(self.suspects.live(digest, time.monotonic()))

    def needs_canary(self, query: Query, mode: CanaryMode) -> bool:
        """Whether one shard must run the query before the others."""
        return self.suspects.needs_canary(mode, shape_key(query.shape), time.monotonic())

    def reserve(self, digest: str, *, deadline: float) -> bool:
        """Reserve one server for a guarded attempt, waiting until ``deadline`` for a free one.

        Returns
        -------
        bool
            False if the digest is in quarantine or the deadline passed.
        """
        with self.changed:
            while not self.is_quarantined(digest):
                now = time.monotonic()
                if self.suspects.exposure_left(digest, self.guarded[digest], now) > 0:
                    self.guarded[digest] += 1
                    return True
                if now >= deadline or not self.changed.wait(deadline - now):
                    break
            if not self.guarded[digest]:
                del self.guarded[digest]
            return False

    def cancel_reservation(self, digest: str) -> None:
        """Give back a reservation that no attempt used."""
        with self.changed:
            self.release(digest)
            self.changed.notify_all()

    def release(self, digest: str) -> None:
        """End one guarded attempt; the lock is held."""
        self.guarded[digest] -= 1
        if self.guarded[digest] <= 0:
            del self.guarded[digest]

    def note_outcome(
        self, query: Query, outcome: AttemptOutcome, *, incarnation: str, guarded: bool
    ) -> None:
        """Learn from the end of an attempt, before its query hears of it."""
        lost = outcome.kind is OutcomeKind.CONNECTION_LOST
        if not lost and not guarded:
            return
        now = time.monotonic()
        shape = shape_key(query.shape)
        started = False
        with self.changed:
            if lost:
                started = self.suspects.note_loss(
                    digest=query.digest,
                    shape=shape,
                    replica=outcome.replica,
                    incarnation=incarnation,
                    now=now,
                )
            elif outcome.kind is OutcomeKind.ANSWERED:
                self.suspects.note_answer(digest=query.digest, shape=shape, now=now)
            if guarded:
                self.release(query.digest)
            self.changed.notify_all()
        if lost:
            self.log.warning(
                "A connection was lost under a request.",
                replica=outcome.replica,
                digest=query.digest,
                quarantined=started,
            )
        if started:
            self.notify_listeners()

    def note_answered(self, query: Query, coverage: Coverage) -> None:
        """Record that a query was answered, by all shards or by some."""
        complete = coverage.shards_answered == coverage.shards_total
        with self.changed:
            note = self.suspects.note_complete_answer if complete else self.suspects.note_answer
            note(digest=query.digest, shape=shape_key(query.shape), now=time.monotonic())
            self.changed.notify_all()

    def note_contact(self, replica: str, incarnation: str | None) -> None:
        """Resolve suspicions; ``incarnation`` is None if the replica refused a connection."""
        if replica not in self.suspects.pending_replicas:
            return
        with self.changed:
            confirmed = self.suspects.note_contact(replica, incarnation, time.monotonic())
            self.changed.notify_all()
        if confirmed:
            self.notify_listeners()

    def shared(self) -> CrashKnowledge:
        """Return what other entry hosts should know."""
        with self.changed:
            return self.suspects.shared(time.monotonic())

    def merge(self, knowledge: CrashKnowledge) -> None:
        """Add what another entry host knows."""
        with self.changed:
            new = self.suspects.merge(knowledge, time.monotonic())
            self.changed.notify_all()
        if new:
            self.log.warning("Learnt of a quarantine.", count=len(knowledge.quarantines))

    def notify_listeners(self) -> None:
        """Hand the shared knowledge to the listeners."""
        knowledge = self.shared()
        if knowledge.suspicions or knowledge.quarantines:
            for listener in self.listeners:
                listener(knowledge)


def quarantined_failure(left_s: float, ran: ExecutionStatus) -> Failure:
    """Return the failure of a query in quarantine."""
    return Failure(
        kind=FailureKind.QUARANTINED,
        ran=ran,
        detail="the request is suspected of crashing backend servers",
        retry_after_ms=max(1, int(left_s * 1000)),
    )
