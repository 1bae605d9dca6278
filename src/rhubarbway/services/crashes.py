"""Suspicions and quarantines of requests that crash backend servers."""

from __future__ import annotations

import threading
import time
from collections import Counter
from collections.abc import Callable

from rhubarbway.decisions.crash_suspects import CrashSuspects, CrashUpdate, shape_key
from rhubarbway.kernel import Kernel
from rhubarbway.model import (
    AttemptOutcome,
    CanaryMode,
    Coverage,
    ExecutionStatus,
    FailureKind,
    HostIdentity,
    OutcomeKind,
    Query,
)
from rhubarbway.model import Failure as RequestFailure
from rhubarbway.services.log import component_logger
from rhubarbway.services.names import BACKENDS

CrashListener = Callable[[CrashUpdate], None]


class CrashService:
    """Owns the suspicions and quarantines that this entry host observed or received by gossip.

    An exposure limit bounds the number of servers that may run a query that is suspected or whose
    canary is not answered yet.

    ``listeners`` are called with all confirmed suspicions and quarantines when a suspicion is
    confirmed or a quarantine starts; the lock is not held during the calls. ``reservations`` counts
    the attempts under an exposure limit that are reserved or in flight, by digest. The lock of
    ``condition`` guards updates of ``reservations`` and ``suspects``; tasks that need a reservation
    wait for the condition.
    """

    __slots__ = ("condition", "reservations", "listeners", "log", "suspects")

    def __init__(self, *, identity: HostIdentity) -> None:
        self.suspects = CrashSuspects(origin=f"{identity.name}/{identity.incarnation}")
        self.condition = threading.Condition()
        self.reservations: Counter[str] = Counter()
        self.listeners: list[CrashListener] = []
        self.log = component_logger("crashes")

    def start(self, kernel: Kernel) -> None:
        """Subscribe to the contacts with replicas."""
        kernel.find(BACKENDS).contact_listeners.append(self.record_contact)

    def stop(self) -> None:
        """Do nothing: this service has no tasks."""

    def refusal(self, query: Query) -> RequestFailure | None:
        """Return the failure of a quarantined query, or None if the query may run."""
        remaining_s = self.suspects.quarantine_remaining_s(query.digest, time.monotonic())
        if remaining_s <= 0:
            return None
        return quarantined_failure(remaining_s, ExecutionStatus.NOT_RUN)

    def is_quarantined(self, digest: str) -> bool:
        """Whether requests with the digest must not be sent to any server."""
        return self.suspects.quarantine_remaining_s(digest, time.monotonic()) > 0

    def is_suspect(self, digest: str) -> bool:
        """Whether requests with the digest are hedged and retried only under the exposure limit."""
        if digest not in self.suspects.suspicions:
            return False
        with self.condition:
            return bool(self.suspects.live_suspicions(digest, time.monotonic()))

    def needs_canary(self, query: Query, mode: CanaryMode) -> bool:
        """Whether one shard must answer the query before it is sent to the others."""
        return self.suspects.needs_canary(mode, shape_key(query.shape), time.monotonic())

    def reserve(self, digest: str, *, deadline: float) -> bool:
        """Reserve an attempt under the exposure limit, waiting until ``deadline`` if there is none.

        The reservation is for no particular server. A ``deadline`` of ``-inf`` does not wait.

        Returns
        -------
        bool
            False if the digest is in quarantine or the deadline has passed.
        """
        with self.condition:
            while not self.is_quarantined(digest):
                now = time.monotonic()
                if self.suspects.remaining_exposure(digest, self.reservations[digest], now) > 0:
                    self.reservations[digest] += 1
                    return True
                if now >= deadline or not self.condition.wait(deadline - now):
                    break
            if not self.reservations[digest]:
                del self.reservations[digest]
            return False

    def cancel_reservation(self, digest: str) -> None:
        """Release a reservation that no attempt used."""
        with self.condition:
            self.release_reservation(digest)
            self.condition.notify_all()

    def release_reservation(self, digest: str) -> None:
        """Release one reservation; the caller holds the lock."""
        self.reservations[digest] -= 1
        if self.reservations[digest] <= 0:
            del self.reservations[digest]

    def record_outcome(
        self, query: Query, outcome: AttemptOutcome, *, incarnation: str, has_reservation: bool
    ) -> None:
        """Record the outcome of an attempt; called before its query receives the outcome.

        Without a reservation only a lost connection counts; ``record_answer`` records the answer of
        the whole query.
        """
        lost = outcome.kind is OutcomeKind.CONNECTION_LOST
        if not lost and not has_reservation:
            return
        now = time.monotonic()
        shape = shape_key(query.shape)
        quarantine_started = False
        with self.condition:
            if lost:
                quarantine_started = self.suspects.record_loss(
                    digest=query.digest,
                    shape=shape,
                    replica=outcome.replica,
                    incarnation=incarnation,
                    now=now,
                )
            elif outcome.kind is OutcomeKind.ANSWERED:
                self.suspects.record_answer(digest=query.digest, shape=shape, now=now)
            if has_reservation:
                self.release_reservation(query.digest)
            self.condition.notify_all()
        if lost:
            self.log.warning(
                "Connection lost while a request was in flight.",
                replica=outcome.replica,
                digest=query.digest,
                quarantined=quarantine_started,
            )
        if quarantine_started:
            self.notify_listeners()

    def record_answer(self, query: Query, coverage: Coverage) -> None:
        """Record the complete or partial answer of a query."""
        complete = coverage.shards_answered == coverage.shards_total
        with self.condition:
            record = (
                self.suspects.record_complete_answer if complete else self.suspects.record_answer
            )
            record(digest=query.digest, shape=shape_key(query.shape), now=time.monotonic())
            self.condition.notify_all()

    def record_contact(self, replica: str, incarnation: str | None) -> None:
        """Confirm or withdraw the suspicions that wait for contact with a replica.

        ``incarnation`` is None if the replica refused a connection.
        """
        if replica not in self.suspects.pending_by_replica:
            return
        with self.condition:
            confirmed = self.suspects.resolve_pending(replica, incarnation, time.monotonic())
            self.condition.notify_all()
        if confirmed:
            self.notify_listeners()

    def confirmed_update(self) -> CrashUpdate:
        """Return the suspicions and quarantines that other entry hosts should know."""
        with self.condition:
            return self.suspects.confirmed_update(time.monotonic())

    def merge(self, update: CrashUpdate) -> None:
        """Merge the suspicions and quarantines of another entry host."""
        with self.condition:
            new = self.suspects.merge(update, time.monotonic())
            self.condition.notify_all()
        if new:
            # Also logged, with count 0, if a received suspicion completes a quarantine here.
            self.log.warning(
                "Quarantine received from another entry host.", count=len(update.quarantines)
            )

    def notify_listeners(self) -> None:
        """Call the listeners with all confirmed suspicions and quarantines, if there are any."""
        update = self.confirmed_update()
        if update.suspicions or update.quarantines:
            for listener in self.listeners:
                listener(update)


def quarantined_failure(remaining_s: float, ran: ExecutionStatus) -> RequestFailure:
    """Return the failure of a query in quarantine."""
    return RequestFailure(
        kind=FailureKind.QUARANTINED,
        ran=ran,
        detail="the request is suspected of crashing backend servers",
        retry_after_ms=max(1, int(remaining_s * 1000)),
    )
