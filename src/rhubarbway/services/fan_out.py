"""One query over all shards of a service, run in the task of its caller's connection."""

from __future__ import annotations

import time
from random import Random

from returns.result import Failure, Result, Success

from rhubarbway.decisions.coverage import coverage_of
from rhubarbway.decisions.merging import coverage_detail, merge_shard_answers, required_coverage
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
from rhubarbway.services.backends import ShardWaiter, WaitQueue, states_of
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
REFUSED_HEDGE_FACTOR = 3.0


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
        "deferred",
        "extra",
        "guarded",
        "hedge_at",
        "hedges",
        "held",
        "inbox",
        "latencies",
        "missing",
        "moved_from",
        "next_attempt",
        "partial_answer_at",
        "policy",
        "pinned_snapshot",
        "pools",
        "prefix",
        "prepared",
        "query",
        "random",
        "ran",
        "refused_hedge",
        "refused_snapshot",
        "retries",
        "wait_queue",
        "running",
        "service",
        "snapshot",
        "states",
        "tried",
        "waiting",
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
        extra: ExtraAttempts,
        wait_queue: WaitQueue,
        moved_from: FanOut | None = None,
        pinned_snapshot: str | None = None,
    ) -> None:
        self.query = query
        self.prefix = prefix
        self.service = service
        self.policy = policy
        self.pools = pools
        self.states = states_of(pools)
        self.crashes = crashes
        self.zone = zone
        # Shards that wait for the canary.
        self.held: list[int] = []
        # Shards whose retry waits until no attempt of a suspected request runs.
        self.deferred: list[int] = []
        # Shards that hold a reservation of the crash service and have no attempt yet.
        self.guarded: set[int] = set()
        self.partial_answer_at = 0.0
        self.next_attempt = next_attempt
        self.random = random
        self.extra = extra
        self.wait_queue = wait_queue
        self.inbox = Inbox()
        self.answers: dict[int, ShardAnswer] = {}
        self.missing: dict[int, MissReason] = {}
        self.tried: dict[int, set[str]] = {shard.index: set() for shard in service.shards}
        self.running: dict[str, Attempt] = {}
        # Shards of which some replica refused the snapshot.
        self.refused_snapshot: set[int] = set()
        self.moved_from = moved_from
        # Shards whose only attempt is not answered yet, and when each is hedged.
        self.hedge_at: dict[int, float] = {}
        self.refused_hedge: set[int] = set()
        self.waiting: dict[int, ShardWaiter] = {}
        self.prepared: list[tuple[ReplicaPool, Attempt]] = []
        # Seconds from hand-over to outcome; for cancelled losers of a hedge a lower bound.
        self.latencies: list[float] = []
        self.attempts = moved_from.attempts if moved_from else 0
        self.hedges = moved_from.hedges if moved_from else 0
        self.retries = moved_from.retries if moved_from else 0
        self.ran = moved_from.ran if moved_from else Ran.NOT_RUN
        self.pinned_snapshot = pinned_snapshot
        self.snapshot: str | None = None

    def run(self) -> Result[Answer, RequestFailure]:
        """Run the query and return its answer or failure."""
        wait_for_first_contact(self.pools, deadline=self.query.deadline)
        self.snapshot = self.pinned_snapshot or chosen_snapshot(
            self.service, self.states, now=time.monotonic()
        )
        if self.snapshot is None:
            # Without this, a service whose replicas are all ejected would never be asked again.
            for members in self.pools.values():
                ask_unusable(members)
            return Failure(
                RequestFailure(
                    kind=FailureKind.NO_REPLICA,
                    ran=self.ran,
                    detail=f"no replica of {self.service.name} is known to hold a snapshot",
                )
            )
        refresh_lacking(self.pools, self.snapshot)
        self.partial_answer_at = time.monotonic() + self.extra.partial_answer_after_s
        self.start_shards()
        while self.is_unfinished():
            self.submit_prepared()
            now = time.monotonic()
            end = self.end_of_wait(now)
            if now >= end:
                break
            hedge_at = min(self.hedge_at.values(), default=end)
            if now >= hedge_at:
                self.send_hedges(now)
                continue
            # Before the first hedge, the answers of single shards leave nothing to decide.
            wanted = 1 if self.hedges or now >= self.partial_answer_at else len(self.running)
            timeout = min(end, hedge_at) - now
            for delivery in self.inbox.take(wanted=max(1, wanted), timeout=timeout):
                if isinstance(delivery.message, CapacityFreed):
                    self.send_waiting(delivery.message.shard)
                else:
                    self.take(delivery.message, delivery.at)
        self.take_last_answers()
        self.abandon()
        return self.result()

    def take_last_answers(self) -> None:
        """Use the answers that arrived without waking the query before it ended."""
        for delivery in self.inbox.take(wanted=0, timeout=0.0):
            message = delivery.message
            if not isinstance(message, CapacityFreed) and message.answer is not None:
                self.take(message, delivery.at)

    def is_unfinished(self) -> bool:
        """Whether an outcome may still arrive that the answer can use."""
        if not (self.running or self.waiting):
            return False
        return not self.crashes.is_quarantined(self.query.digest)

    def abandon(self) -> None:
        """Give up what was not sent, and cancel what runs."""
        for waiter in self.waiting.values():
            self.wait_queue.leave(waiter)
        for _, attempt in self.prepared:
            del self.running[str(attempt.sub_query.attempt)]
            self.attempts -= 1
            if attempt.guarded:
                self.crashes.cancel_reservation(self.query.digest)
        for shard in list(self.guarded):
            self.cancel_reservation(shard)
        for attempt in self.running.values():
            self.ran = Ran.UNKNOWN if self.ran is Ran.NOT_RUN else self.ran
            attempt.cancel()

    def should_move(self) -> bool:
        """Whether the whole query should run once more on another snapshot, after ``run``.

        A query moves at most once, and only when no attempt is left whose refusal could still
        change what is known about the replicas. What ran of an unsafe request must not run again.
        """
        if self.moved_from is not None or self.running:
            return False
        if self.refused_snapshot.isdisjoint(self.missing):
            return False
        if self.query.unsafe and self.ran is not Ran.NOT_RUN:
            return False
        now = time.monotonic()
        if self.query.deadline - now <= usual_query_time(self.states):
            return False
        better = better_snapshot(self.service, self.states, current=self.snapshot or "", now=now)
        return better is not None

    def start_shards(self) -> None:
        """Send the query to all shards, or to one of them first."""
        shards = [shard.index for shard in self.service.shards]
        if self.crashes.needs_canary(self.query, self.policy.canary):
            self.held = self.random.sample(shards, len(shards))
            self.send_canary()
            return
        for shard in shards:
            self.send(shard)

    def send_canary(self) -> None:
        """Send the query to one held shard, if possible to one with a free replica now."""
        while self.held and not self.crashes.is_quarantined(self.query.digest):
            free = (shard for shard in self.held if self.send_reserved(shard))
            shard = next(free, None)
            if shard is not None:
                self.held.remove(shard)
                return
            if self.send_guarded(self.held.pop()):
                return

    def send_reserved(self, shard: int, *, warm_only: bool = False) -> bool:
        """Send an attempt under the exposure limit without waiting for anything."""
        if not self.crashes.reserve(self.query.digest, deadline=float("-inf")):
            return False
        self.guarded.add(shard)
        if self.send_if_room(shard, warm_only=warm_only):
            return True
        self.cancel_reservation(shard)
        return False

    def send_guarded(self, shard: int) -> bool:
        """Send an attempt under the exposure limit, which may mean to wait if none runs now."""
        wait_until = float("-inf") if self.running else self.query.deadline
        if not self.crashes.reserve(self.query.digest, deadline=wait_until):
            return False
        self.guarded.add(shard)
        if self.send(shard):
            return True
        self.cancel_reservation(shard)
        return False

    def cancel_reservation(self, shard: int) -> None:
        """Give back the reservation of a guarded shard for which nothing was sent."""
        if shard in self.guarded:
            self.guarded.discard(shard)
            self.crashes.cancel_reservation(self.query.digest)

    def send_held(self, now: float) -> None:
        """Send the query to the shards that waited for the canary."""
        held, self.held = self.held, []
        if held:
            self.partial_answer_at = now + self.extra.partial_answer_after_s
        for shard in held:
            self.send(shard)

    def send_again(self, shard: int) -> bool:
        """Send another attempt for a shard, or defer it while the request is suspected."""
        if self.crashes.is_suspect(self.query.digest) and self.running:
            self.deferred.append(shard)
            return True
        if self.held or self.crashes.is_suspect(self.query.digest):
            return self.send_guarded(shard)
        return self.send(shard)

    def send_deferred(self) -> None:
        """Send deferred retries, one at a time while the request is suspected."""
        waiting, self.deferred = self.deferred, []
        for shard in waiting:
            self.send_again(shard)

    def end_of_wait(self, now: float) -> float:
        """Return the next instant at which the query may stop waiting for missing shards."""
        if now < self.partial_answer_at:
            return min(self.partial_answer_at, self.query.deadline)
        # What was sent for an unsafe request may have an effect, so its outcome is waited for.
        # The shards held back for a canary were not asked yet, so nothing is known to be late.
        if self.covers_enough() and not self.query.unsafe and not self.held:
            return self.partial_answer_at
        return self.query.deadline

    def covers_enough(self) -> bool:
        """Whether the answers so far would not be a failure."""
        if not self.answers:
            return False
        fraction = coverage_of(self.service, self.answers, self.missing).fraction
        return fraction >= self.wanted_coverage()

    def wanted_coverage(self) -> float:
        """Return the coverage below which the caller gets a failure."""
        return required_coverage(self.query, self.policy)

    def send(self, shard: int) -> bool:
        """Send an attempt for a shard; wait for room, or return False if nothing can take it."""
        if self.send_if_room(shard, warm_only=False):
            return True
        ask_unusable(self.pools[shard])
        if worth_waiting(self.pools[shard], snapshot=self.snapshot or "", tried=self.tried[shard]):
            waiter = ShardWaiter(
                service=self.service.name,
                shard=shard,
                deadline=self.query.deadline,
                inbox=self.inbox,
            )
            self.waiting[shard] = waiter
            self.wait_queue.enter(waiter)
            # Room that became free before the waiter was there is not announced again.
            if self.send_if_room(shard, warm_only=False):
                self.wait_queue.leave(self.waiting.pop(shard))
            return True
        self.missing.setdefault(shard, MissReason.NO_REPLICA)
        return False

    def send_waiting(self, shard: int) -> None:
        """Send the attempt of a shard that waited for room."""
        if self.waiting.pop(shard, None) is not None and not self.send(shard):
            self.cancel_reservation(shard)
            if self.held:
                self.send_canary()
            # This query gave up the shard, so the next one that waits must look for itself.
            self.wait_queue.notify_next(self.service.name, shard)

    def send_if_room(self, shard: int, *, warm_only: bool) -> bool:
        """Send an attempt for a shard to a replica with room; return False if there is none."""
        now = time.monotonic()
        state = chosen_replica(
            self.states[shard],
            snapshot=self.snapshot or "",
            tried=self.tried[shard],
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
            deliver=lambda outcome: self.deliver(outcome, attempt),
            guarded=shard in self.guarded,
        )
        # The attempt now holds the reservation.
        self.guarded.discard(shard)
        self.tried[shard].add(state.replica.name)
        self.running[str(attempt.sub_query.attempt)] = attempt
        self.attempts += 1
        if not self.query.unsafe:
            self.hedge_at[shard] = now + self.extra.hedge_delay_s
        pool = next(pool for pool in self.pools[shard] if pool.state is state)
        self.prepared.append((pool, attempt))
        return True

    def deliver(self, outcome: AttemptOutcome, attempt: Attempt) -> None:
        """Pass on an outcome; losses count also when this query has ended."""
        self.crashes.note_outcome(
            self.query, outcome, incarnation=attempt.incarnation, guarded=attempt.guarded
        )
        self.inbox.put(outcome)

    def submit_prepared(self) -> None:
        """Hand the prepared attempts to their connections.

        All are prepared first, since each connection task that wakes competes for the interpreter
        with the choice of the remaining replicas.
        """
        prepared, self.prepared = self.prepared, []
        for pool, attempt in prepared:
            pool.submit(attempt)

    def send_hedges(self, now: float) -> None:
        """Send a second attempt for each shard that is late, within the budgets."""
        for shard, due_at in list(self.hedge_at.items()):
            if now < due_at:
                continue
            del self.hedge_at[shard]
            if len(self.tried[shard]) >= MAX_ATTEMPTS_PER_SHARD:
                continue
            if self.extra.may_hedge() or (shard in self.refused_hedge and self.extra.may_retry()):
                self.hedges += self.send_hedge(shard)
                self.hedge_at.pop(shard, None)
            else:
                self.refused_hedge.add(shard)
                self.hedge_at[shard] = now + REFUSED_HEDGE_FACTOR * self.extra.hedge_delay_s

    def send_hedge(self, shard: int) -> bool:
        """Send one hedge, under the exposure limit while that applies."""
        if self.held or self.crashes.is_suspect(self.query.digest):
            return self.send_reserved(shard, warm_only=True)
        return self.send_if_room(shard, warm_only=True)

    def take(self, outcome: AttemptOutcome, now: float) -> None:
        """Use the outcome of an attempt, then send what had to wait for it."""
        self.use(outcome, now)
        self.send_deferred()

    def use(self, outcome: AttemptOutcome, now: float) -> None:
        """Merge the answer of an attempt or try another replica."""
        attempt = self.running.pop(str(outcome.attempt), None)
        if outcome.ran is Ran.RUN:
            self.ran = Ran.RUN
        elif outcome.ran is Ran.UNKNOWN and self.ran is Ran.NOT_RUN:
            self.ran = Ran.UNKNOWN
        shard = outcome.shard
        if outcome.answer is not None:
            self.answers.setdefault(shard, outcome.answer)
            self.missing.pop(shard, None)
            self.hedge_at.pop(shard, None)
            if attempt is not None:
                self.latencies.append(now - attempt.started_at)
            self.cancel_others(shard)
            self.send_held(now)
            return
        if outcome.kind is OutcomeKind.SNAPSHOT_ABSENT:
            self.refused_snapshot.add(shard)
        if shard in self.answers:
            return
        self.missing[shard] = MISS_REASONS[outcome.kind]
        if any(other.sub_query.shard == shard for other in self.running.values()):
            return
        self.hedge_at.pop(shard, None)
        if (
            may_repeat(outcome, unsafe=self.query.unsafe)
            and len(self.tried[shard]) < MAX_ATTEMPTS_PER_SHARD
            and (not loads_a_server(outcome) or self.extra.may_retry())
            and self.send_again(shard)
        ):
            self.retries += 1
            return
        if self.held:
            self.send_canary()

    def cancel_others(self, shard: int) -> None:
        """Cancel the attempts for a shard that has its answer."""
        if len(self.tried[shard]) < 2:
            return
        for name, attempt in list(self.running.items()):
            if attempt.sub_query.shard == shard:
                del self.running[name]
                attempt.cancel()
                self.latencies.append(time.monotonic() - attempt.started_at)

    def result(self) -> Result[Answer, RequestFailure]:
        """Return the merged answer, or a failure if it covers too little."""
        merged = merge_shard_answers(
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
        left_s = self.crashes.suspects.quarantine_left(self.query.digest, time.monotonic())
        if left_s > 0:
            return quarantined_failure(left_s, self.ran)
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
