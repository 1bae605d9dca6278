"""One query over all shards of a service, run in the task of its caller's connection."""

from __future__ import annotations

import time
from random import Random

from returns.result import Failure, Result, Success

from rhubarbway.decisions.coverage import coverage_of
from rhubarbway.decisions.merging import coverage_detail, merged_answer, wanted_coverage
from rhubarbway.decisions.replica_choice import chosen_replica
from rhubarbway.decisions.retry import MISS_REASONS, loads_a_server, may_repeat
from rhubarbway.decisions.snapshots import better_snapshot, chosen_snapshot, usual_query_time
from rhubarbway.model import (
    Answer,
    AttemptOutcome,
    FailureKind,
    JobPrefix,
    MissReason,
    OutcomeKind,
    Policy,
    Query,
    Ran,
    Service,
    ShardAnswer,
    SubQuery,
)
from rhubarbway.model import Failure as RequestFailure
from rhubarbway.services.backends import ShardWaiter, WaitQueue, states_by_shard
from rhubarbway.services.crashes import CrashService, quarantined_failure
from rhubarbway.services.extra_attempts import ExtraAttempts
from rhubarbway.services.inbox import CapacityFreed, Inbox
from rhubarbway.services.replica_pool import Attempt, ReplicaPool
from rhubarbway.services.shard_pools import (
    ask_unusable,
    refresh_lacking,
    wait_for_first_contact,
    worth_waiting,
)

MAX_ATTEMPTS_PER_SHARD = 3
# A hedge without a permit is asked for again after this multiple of the hedge delay. By then the
# attempt is more likely lost than late, so the budget of retries may pay for it too.
DENIED_HEDGE_DELAY_FACTOR = 3.0


class FanOut:
    """State of one running query.

    Parameters
    ----------
    query : Query
        The caller's query.
    prefix : JobPrefix
        Resolved prefix of the job name.
    service : Service
        Service and layout that the query is pinned to.
    policy : Policy
        Values of the tenant.
    pools : dict of int to list of ReplicaPool
        Pools by shard index.
    crashes : CrashService
        Suspicions, quarantines and exposure limits.
    zone : str
        Zone of this entry host.
    next_attempt : callable
        Returns a fresh ``AttemptId``.
    random : Random
        Source of random choices.
    extra : ExtraAttempts
        Limits of hedges, retries and waiting.
    wait_queue : WaitQueue
        Where the query waits while all replicas of a shard are at their limits.
    pinned_snapshot : str or None
        Snapshot that another entry host chose for all slices of the query.
    moved_from : FanOut or None
        The first run of the same query, if its snapshot was gone on a shard.
    """

    __slots__ = (
        "answers",
        "attempts",
        "crashes",
        "deferred_retries",
        "extra_attempts",
        "reserved_shards",
        "hedge_due_at",
        "hedges",
        "awaiting_canary",
        "inbox",
        "latencies",
        "missing",
        "previous_run",
        "next_attempt",
        "partial_answer_at",
        "policy",
        "pinned_snapshot",
        "pools",
        "prefix",
        "prepared_attempts",
        "query",
        "random",
        "ran",
        "shards_denied_hedge",
        "shards_lacking_snapshot",
        "retries",
        "wait_queue",
        "in_flight",
        "service",
        "snapshot",
        "replica_states",
        "tried_replicas",
        "waiters",
        "zone",
    )

    def __init__(
        self,
        *,
        query: Query,
        prefix: JobPrefix,
        service: Service,
        policy: Policy,
        pools: dict[int, list[ReplicaPool]],
        crashes: CrashService,
        zone: str,
        next_attempt,
        random: Random,
        extra_attempts: ExtraAttempts,
        wait_queue: WaitQueue,
        previous_run: FanOut | None = None,
        pinned_snapshot: str | None = None,
    ) -> None:
        self.query = query
        self.prefix = prefix
        self.service = service
        self.policy = policy
        self.pools = pools
        self.replica_states = states_by_shard(pools)
        self.crashes = crashes
        self.zone = zone
        # Shards that wait for the canary.
        self.awaiting_canary: list[int] = []
        # Shards whose retry waits until no attempt of a suspected request runs.
        self.deferred_retries: list[int] = []
        # Shards that hold a reservation of the crash service and have no attempt yet.
        self.reserved_shards: set[int] = set()
        self.partial_answer_at = 0.0
        self.next_attempt = next_attempt
        self.random = random
        self.extra_attempts = extra_attempts
        self.wait_queue = wait_queue
        self.inbox = Inbox()
        self.answers: dict[int, ShardAnswer] = {}
        self.missing: dict[int, MissReason] = {}
        self.tried_replicas: dict[int, set[str]] = {shard.index: set() for shard in service.shards}
        self.in_flight: dict[str, Attempt] = {}
        # Shards of which some replica refused the snapshot.
        self.shards_lacking_snapshot: set[int] = set()
        self.previous_run = previous_run
        # Shards whose only attempt is not answered yet, and when each is hedged.
        self.hedge_due_at: dict[int, float] = {}
        self.shards_denied_hedge: set[int] = set()
        self.waiters: dict[int, ShardWaiter] = {}
        self.prepared_attempts: list[tuple[ReplicaPool, Attempt]] = []
        # Seconds from hand-over to outcome; for cancelled losers of a hedge a lower bound.
        self.latencies: list[float] = []
        self.attempts = previous_run.attempts if previous_run else 0
        self.hedges = previous_run.hedges if previous_run else 0
        self.retries = previous_run.retries if previous_run else 0
        self.ran = previous_run.ran if previous_run else Ran.NOT_RUN
        self.pinned_snapshot = pinned_snapshot
        self.snapshot: str | None = None

    def run(self) -> Result[Answer, RequestFailure]:
        """Run the query and return its answer or failure."""
        wait_for_first_contact(self.pools, deadline=self.query.deadline)
        self.snapshot = self.pinned_snapshot or chosen_snapshot(
            self.service, self.replica_states, now=time.monotonic()
        )
        if self.snapshot is None:
            # Without this, a service whose replicas are all ejected would never be asked again.
            for shard_pools in self.pools.values():
                ask_unusable(shard_pools)
            return Failure(
                RequestFailure(
                    kind=FailureKind.NO_REPLICA,
                    ran=self.ran,
                    detail=f"no replica of {self.service.name} is known to hold a snapshot",
                )
            )
        refresh_lacking(self.pools, self.snapshot)
        self.partial_answer_at = time.monotonic() + self.extra_attempts.partial_answer_after_s
        self.send_first_attempts()
        while self.is_unfinished():
            self.submit_prepared()
            now = time.monotonic()
            end = self.next_wait_deadline(now)
            if now >= end:
                break
            next_hedge_at = min(self.hedge_due_at.values(), default=end)
            if now >= next_hedge_at:
                self.send_due_hedges(now)
                continue
            # Before the first hedge, the answers of single shards leave nothing to decide.
            min_count = 1 if self.hedges or now >= self.partial_answer_at else len(self.in_flight)
            timeout = min(end, next_hedge_at) - now
            for delivery in self.inbox.receive(min_count=max(1, min_count), timeout=timeout):
                if isinstance(delivery.message, CapacityFreed):
                    self.send_queued(delivery.message.shard)
                else:
                    self.handle_outcome(delivery.message, delivery.arrived_at)
        self.record_remaining_answers()
        self.cancel_remaining()
        return self.result()

    def record_remaining_answers(self) -> None:
        """Use the answers that arrived without waking the query before it ended."""
        for delivery in self.inbox.receive(min_count=0, timeout=0.0):
            message = delivery.message
            if not isinstance(message, CapacityFreed) and message.answer is not None:
                self.handle_outcome(message, delivery.arrived_at)

    def is_unfinished(self) -> bool:
        """Whether an outcome may still arrive that the answer can use."""
        if not (self.in_flight or self.waiters):
            return False
        return not self.crashes.is_quarantined(self.query.digest)

    def cancel_remaining(self) -> None:
        """Give up what was not sent, and cancel what runs."""
        for waiter in self.waiters.values():
            self.wait_queue.remove(waiter)
        for _, attempt in self.prepared_attempts:
            del self.in_flight[str(attempt.sub_query.attempt)]
            self.attempts -= 1
            if attempt.has_reservation:
                self.crashes.cancel_reservation(self.query.digest)
        for shard in list(self.reserved_shards):
            self.cancel_reservation(shard)
        for attempt in self.in_flight.values():
            self.ran = Ran.UNKNOWN if self.ran is Ran.NOT_RUN else self.ran
            attempt.cancel()

    def should_rerun(self) -> bool:
        """Whether the whole query should run once more on another snapshot, after ``run``.

        A query moves at most once, and only when no attempt is left whose refusal could still
        change what is known about the replicas. What ran of an unsafe request must not run again.
        """
        if self.previous_run is not None or self.in_flight:
            return False
        if self.shards_lacking_snapshot.isdisjoint(self.missing):
            return False
        if self.query.unsafe and self.ran is not Ran.NOT_RUN:
            return False
        now = time.monotonic()
        if self.query.deadline - now <= usual_query_time(self.replica_states):
            return False
        better = better_snapshot(
            self.service, self.replica_states, current=self.snapshot or "", now=now
        )
        return better is not None

    def send_first_attempts(self) -> None:
        """Send the query to all shards, or to one of them first."""
        shards = [shard.index for shard in self.service.shards]
        if self.crashes.needs_canary(self.query, self.policy.canary):
            self.awaiting_canary = self.random.sample(shards, len(shards))
            self.send_canary()
            return
        for shard in shards:
            self.send_or_enqueue(shard)

    def send_canary(self) -> None:
        """Send the query to one held shard, if possible to one with a free replica now."""
        while self.awaiting_canary and not self.crashes.is_quarantined(self.query.digest):
            free = (shard for shard in self.awaiting_canary if self.try_send_reserved(shard))
            shard = next(free, None)
            if shard is not None:
                self.awaiting_canary.remove(shard)
                return
            if self.send_reserved(self.awaiting_canary.pop()):
                return

    def try_send_reserved(self, shard: int, *, warm_only: bool = False) -> bool:
        """Send an attempt under the exposure limit without waiting for anything."""
        if not self.crashes.reserve(self.query.digest, deadline=float("-inf")):
            return False
        self.reserved_shards.add(shard)
        if self.try_send(shard, warm_only=warm_only):
            return True
        self.cancel_reservation(shard)
        return False

    def send_reserved(self, shard: int) -> bool:
        """Send an attempt under the exposure limit, which may mean to wait if none runs now."""
        wait_until = float("-inf") if self.in_flight else self.query.deadline
        if not self.crashes.reserve(self.query.digest, deadline=wait_until):
            return False
        self.reserved_shards.add(shard)
        if self.send_or_enqueue(shard):
            return True
        self.cancel_reservation(shard)
        return False

    def cancel_reservation(self, shard: int) -> None:
        """Give back the reservation of a guarded shard for which nothing was sent."""
        if shard in self.reserved_shards:
            self.reserved_shards.discard(shard)
            self.crashes.cancel_reservation(self.query.digest)

    def send_after_canary(self, now: float) -> None:
        """Send the query to the shards that waited for the canary."""
        waiting, self.awaiting_canary = self.awaiting_canary, []
        if waiting:
            self.partial_answer_at = now + self.extra_attempts.partial_answer_after_s
        for shard in waiting:
            self.send_or_enqueue(shard)

    def retry_or_defer(self, shard: int) -> bool:
        """Send another attempt for a shard, or defer it while the request is suspected."""
        if self.crashes.is_suspect(self.query.digest) and self.in_flight:
            self.deferred_retries.append(shard)
            return True
        if self.awaiting_canary or self.crashes.is_suspect(self.query.digest):
            return self.send_reserved(shard)
        return self.send_or_enqueue(shard)

    def send_deferred_retries(self) -> None:
        """Send deferred retries, one at a time while the request is suspected."""
        deferred, self.deferred_retries = self.deferred_retries, []
        for shard in deferred:
            self.retry_or_defer(shard)

    def next_wait_deadline(self, now: float) -> float:
        """Return the next instant at which the query may stop waiting for missing shards."""
        if now < self.partial_answer_at:
            return min(self.partial_answer_at, self.query.deadline)
        # What was sent for an unsafe request may have an effect, so its outcome is waited for.
        # The shards held back for a canary were not asked yet, so nothing is known to be late.
        if self.has_wanted_coverage() and not self.query.unsafe and not self.awaiting_canary:
            return self.partial_answer_at
        return self.query.deadline

    def has_wanted_coverage(self) -> bool:
        """Whether the answers so far would not be a failure."""
        if not self.answers:
            return False
        fraction = coverage_of(self.service, self.answers, self.missing).fraction
        return fraction >= self.wanted_coverage()

    def wanted_coverage(self) -> float:
        """Return the coverage below which the caller gets a failure."""
        return wanted_coverage(self.query, self.policy)

    def send_or_enqueue(self, shard: int) -> bool:
        """Send an attempt for a shard; wait for room, or return False if nothing can take it."""
        if self.try_send(shard, warm_only=False):
            return True
        ask_unusable(self.pools[shard])
        if worth_waiting(
            self.pools[shard], snapshot=self.snapshot or "", tried=self.tried_replicas[shard]
        ):
            waiter = ShardWaiter(
                service=self.service.name,
                shard=shard,
                deadline=self.query.deadline,
                inbox=self.inbox,
            )
            self.waiters[shard] = waiter
            self.wait_queue.enqueue(waiter)
            # Room that became free before the waiter was there is not announced again.
            if self.try_send(shard, warm_only=False):
                self.wait_queue.remove(self.waiters.pop(shard))
            return True
        self.missing.setdefault(shard, MissReason.NO_REPLICA)
        return False

    def send_queued(self, shard: int) -> None:
        """Send the attempt of a shard that waited for room."""
        if self.waiters.pop(shard, None) is not None and not self.send_or_enqueue(shard):
            self.cancel_reservation(shard)
            if self.awaiting_canary:
                self.send_canary()
            # This query gave up the shard, so the next one that waits must look for itself.
            self.wait_queue.notify_next(self.service.name, shard)

    def try_send(self, shard: int, *, warm_only: bool) -> bool:
        """Send an attempt for a shard to a replica with room; return False if there is none."""
        now = time.monotonic()
        state = chosen_replica(
            self.replica_states[shard],
            snapshot=self.snapshot or "",
            tried=self.tried_replicas[shard],
            zone=self.zone,
            now=now,
            random=self.random,
            warm_only=warm_only,
        )
        if state is None:
            return False
        attempt = Attempt(
            sub_query=SubQuery(
                attempt=self.next_attempt(),
                service=self.service.name,
                layout=self.service.layout,
                shard=shard,
                snapshot=self.snapshot,
                payload_json=self.query.payload_json,
                deadline=self.query.deadline,
                unsafe=self.query.unsafe,
            ),
            on_outcome=lambda outcome: self.deliver_outcome(outcome, attempt),
            has_reservation=shard in self.reserved_shards,
        )
        # The attempt now holds the reservation.
        self.reserved_shards.discard(shard)
        self.tried_replicas[shard].add(state.replica.name)
        self.in_flight[str(attempt.sub_query.attempt)] = attempt
        self.attempts += 1
        if not self.query.unsafe:
            self.hedge_due_at[shard] = now + self.extra_attempts.hedge_delay_s
        pool = next(pool for pool in self.pools[shard] if pool.state is state)
        self.prepared_attempts.append((pool, attempt))
        return True

    def deliver_outcome(self, outcome: AttemptOutcome, attempt: Attempt) -> None:
        """Pass on an outcome; losses count also when this query has ended."""
        self.crashes.record_outcome(
            self.query,
            outcome,
            incarnation=attempt.incarnation,
            has_reservation=attempt.has_reservation,
        )
        self.inbox.put(outcome)

    def submit_prepared(self) -> None:
        """Hand the prepared attempts to their connections.

        All are prepared first, since each connection task that wakes competes for the interpreter
        with the choice of the remaining replicas.
        """
        prepared, self.prepared_attempts = self.prepared_attempts, []
        for pool, attempt in prepared:
            pool.submit(attempt)

    def send_due_hedges(self, now: float) -> None:
        """Send a second attempt for each shard that is late, within the budgets."""
        for shard, due_at in list(self.hedge_due_at.items()):
            if now < due_at:
                continue
            del self.hedge_due_at[shard]
            if len(self.tried_replicas[shard]) >= MAX_ATTEMPTS_PER_SHARD:
                continue
            if self.extra_attempts.may_hedge() or (
                shard in self.shards_denied_hedge and self.extra_attempts.may_retry()
            ):
                self.hedges += self.try_send_hedge(shard)
                self.hedge_due_at.pop(shard, None)
            else:
                self.shards_denied_hedge.add(shard)
                self.hedge_due_at[shard] = (
                    now + DENIED_HEDGE_DELAY_FACTOR * self.extra_attempts.hedge_delay_s
                )

    def try_send_hedge(self, shard: int) -> bool:
        """Send one hedge, under the exposure limit while that applies."""
        if self.awaiting_canary or self.crashes.is_suspect(self.query.digest):
            return self.try_send_reserved(shard, warm_only=True)
        return self.try_send(shard, warm_only=True)

    def handle_outcome(self, outcome: AttemptOutcome, now: float) -> None:
        """Use the outcome of an attempt, then send what had to wait for it."""
        self.record_outcome(outcome, now)
        self.send_deferred_retries()

    def record_outcome(self, outcome: AttemptOutcome, now: float) -> None:
        """Merge the answer of an attempt or try another replica."""
        attempt = self.in_flight.pop(str(outcome.attempt), None)
        if outcome.ran is Ran.RUN:
            self.ran = Ran.RUN
        elif outcome.ran is Ran.UNKNOWN and self.ran is Ran.NOT_RUN:
            self.ran = Ran.UNKNOWN
        shard = outcome.shard
        if outcome.answer is not None:
            self.answers.setdefault(shard, outcome.answer)
            self.missing.pop(shard, None)
            self.hedge_due_at.pop(shard, None)
            if attempt is not None:
                self.latencies.append(now - attempt.started_at)
            self.cancel_other_attempts(shard)
            self.send_after_canary(now)
            return
        if outcome.kind is OutcomeKind.SNAPSHOT_ABSENT:
            self.shards_lacking_snapshot.add(shard)
        if shard in self.answers:
            return
        self.missing[shard] = MISS_REASONS[outcome.kind]
        if any(other.sub_query.shard == shard for other in self.in_flight.values()):
            return
        self.hedge_due_at.pop(shard, None)
        if (
            may_repeat(outcome, unsafe=self.query.unsafe)
            and len(self.tried_replicas[shard]) < MAX_ATTEMPTS_PER_SHARD
            and (not loads_a_server(outcome) or self.extra_attempts.may_retry())
            and self.retry_or_defer(shard)
        ):
            self.retries += 1
            return
        if self.awaiting_canary:
            self.send_canary()

    def cancel_other_attempts(self, shard: int) -> None:
        """Cancel the attempts for a shard that has its answer."""
        if len(self.tried_replicas[shard]) < 2:
            return
        for name, attempt in list(self.in_flight.items()):
            if attempt.sub_query.shard == shard:
                del self.in_flight[name]
                attempt.cancel()
                self.latencies.append(time.monotonic() - attempt.started_at)

    def result(self) -> Result[Answer, RequestFailure]:
        """Return the merged answer, or a failure if it covers too little."""
        merged = merged_answer(
            query=self.query,
            prefix=self.prefix,
            service=self.service,
            snapshot=self.snapshot,
            answers=self.answers,
            missing=self.missing,
            attempts=self.attempts,
        )
        fraction, wanted = merged.coverage.fraction, self.wanted_coverage()
        if not self.answers or fraction < wanted:
            return Failure(self.failure(fraction, wanted))
        return Success(merged)

    def failure(self, fraction: float, wanted: float) -> RequestFailure:
        """Return the failure of a query without enough shard answers."""
        remaining_s = self.crashes.suspects.quarantine_left(self.query.digest, time.monotonic())
        if remaining_s > 0:
            return quarantined_failure(remaining_s, self.ran)
        if self.answers:
            kind = FailureKind.COVERAGE_TOO_LOW
        elif self.query.deadline <= time.monotonic():
            kind = FailureKind.DEADLINE_PASSED
        elif self.query.unsafe and self.ran is Ran.UNKNOWN:
            kind = FailureKind.OUTCOME_UNKNOWN
        else:
            kind = FailureKind.NO_REPLICA
        return RequestFailure(
            kind=kind,
            ran=self.ran,
            detail=coverage_detail(self.service, fraction, wanted),
        )
