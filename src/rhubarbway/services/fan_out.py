"""The fan-out of one query to all shards of a service, or to those of one slice.

A fan-out runs in the task of the connection that the query came from: the caller's, or for a slice
that of another entry host.
"""

from __future__ import annotations

import time
from random import Random

from returns.result import Failure, Result, Success

from rhubarbway.decisions.coverage import compute_coverage
from rhubarbway.decisions.merging import coverage_detail, merge_shard_answers, required_coverage
from rhubarbway.decisions.replica_choice import choose_replica
from rhubarbway.decisions.retry import MISS_REASONS, charges_retry_budget, is_retryable
from rhubarbway.decisions.snapshots import better_snapshot, choose_snapshot, typical_query_latency_s
from rhubarbway.model import (
    Answer,
    AttemptOutcome,
    ExecutionStatus,
    FailureKind,
    JobPrefix,
    MissReason,
    OutcomeKind,
    Policy,
    Query,
    Service,
    ShardAnswer,
    SubQuery,
)
from rhubarbway.model import Failure as RequestFailure
from rhubarbway.services.backends import ShardWaiter, WaitQueue, states_by_shard
from rhubarbway.services.crashes import CrashService, quarantined_failure
from rhubarbway.services.extra_attempt_limits import ExtraAttemptLimits
from rhubarbway.services.inbox import CapacityFreed, Inbox
from rhubarbway.services.replica_pool import Attempt, ReplicaPool
from rhubarbway.services.shard_pools import (
    may_become_available,
    probe_ejected_replicas,
    refresh_replicas_without,
    wait_for_first_contact,
)

MAX_ATTEMPTS_PER_SHARD = 3
# A hedge that was denied, by the budget or because of overload, is requested again at intervals of
# this multiple of the hedge delay. By then the attempt is more likely lost than late, so the hedge
# may be charged to the retry budget.
DENIED_HEDGE_DELAY_FACTOR = 3.0


class FanOut:
    """State of one running query, or of the part of it that runs on one slice.

    Parameters
    ----------
    query : Query
        The caller's query.
    prefix : JobPrefix
        Resolved prefix of the job name.
    service : Service
        Service and layout that the query uses until it ends.
    policy : Policy
        Policy of the tenant.
    pools : dict of int to list of ReplicaPool
        Pools by shard index.
    crashes : CrashService
        Suspicions, quarantines and exposure limits of crashing requests.
    zone : str
        Zone of this entry host.
    next_attempt_id : callable
        Returns a fresh ``AttemptId``.
    random : Random
        Source of random choices.
    extra_attempt_limits : ExtraAttemptLimits
        Budgets of hedges and retries, and the delays before a hedge and a partial answer.
    wait_queue : WaitQueue
        Queue of the queries that wait while all replicas of a shard are at their limits.
    pinned_snapshot : str or None
        Snapshot that another entry host chose for all slices of the query; None if this host
        chooses it.
    previous_run : FanOut or None
        First run of the query if this one is its rerun on another snapshot, because a replica no
        longer held the snapshot of the first run.
    """

    __slots__ = (
        "answers",
        "attempts",
        "crashes",
        "deferred_retries",
        "extra_attempt_limits",
        "reserved_shards",
        "hedge_due_at",
        "hedges",
        "awaiting_canary",
        "inbox",
        "latencies",
        "miss_reasons",
        "previous_run",
        "next_attempt_id",
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
        next_attempt_id,
        random: Random,
        extra_attempt_limits: ExtraAttemptLimits,
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
        # Shards that get no attempt before the canary has answered.
        self.awaiting_canary: list[int] = []
        # Shards whose retry waits until no attempt of the suspected request is in flight.
        self.deferred_retries: list[int] = []
        # Shards with a reservation of the crash service that no attempt has taken over yet.
        self.reserved_shards: set[int] = set()
        self.partial_answer_at = 0.0
        self.next_attempt_id = next_attempt_id
        self.random = random
        self.extra_attempt_limits = extra_attempt_limits
        self.wait_queue = wait_queue
        self.inbox = Inbox()
        self.answers: dict[int, ShardAnswer] = {}
        self.miss_reasons: dict[int, MissReason] = {}
        self.tried_replicas: dict[int, set[str]] = {shard.index: set() for shard in service.shards}
        # Attempts that have no outcome yet, by attempt identity; includes those not submitted yet.
        self.in_flight: dict[str, Attempt] = {}
        # Shards of which at least one replica no longer held the snapshot.
        self.shards_lacking_snapshot: set[int] = set()
        self.previous_run = previous_run
        # Instant of the next hedge, for each shard that may still get one.
        self.hedge_due_at: dict[int, float] = {}
        self.shards_denied_hedge: set[int] = set()
        self.waiters: dict[int, ShardWaiter] = {}
        self.prepared_attempts: list[tuple[ReplicaPool, Attempt]] = []
        # Seconds from the creation of an attempt to its answer. An attempt that was cancelled
        # because another one answered first contributes the time until its cancellation, which is
        # a lower bound of its latency.
        self.latencies: list[float] = []
        self.attempts = previous_run.attempts if previous_run else 0
        # Hedges and retries include those that are never sent, such as a retry that is still
        # deferred or queued when the query ends. ``attempts`` does not include them.
        self.hedges = previous_run.hedges if previous_run else 0
        self.retries = previous_run.retries if previous_run else 0
        self.ran = previous_run.ran if previous_run else ExecutionStatus.NOT_RUN
        self.pinned_snapshot = pinned_snapshot
        self.snapshot: str | None = None

    def run(self) -> Result[Answer, RequestFailure]:
        """Run the query and return its answer or failure."""
        wait_for_first_contact(self.pools, deadline=self.query.deadline)
        self.snapshot = self.pinned_snapshot or choose_snapshot(
            self.service, self.replica_states, now=time.monotonic()
        )
        if self.snapshot is None:
            # Without probes started here, a service whose replicas are all ejected would stay
            # unavailable: no query would reach the code that starts them.
            for shard_pools in self.pools.values():
                probe_ejected_replicas(shard_pools)
            return Failure(
                RequestFailure(
                    kind=FailureKind.NO_REPLICA,
                    ran=self.ran,
                    detail=f"no replica of {self.service.name} is known to hold a snapshot",
                )
            )
        refresh_replicas_without(self.pools, self.snapshot)
        self.partial_answer_at = time.monotonic() + self.extra_attempt_limits.partial_answer_after_s
        self.send_first_attempts()
        while self.is_unfinished():
            self.submit_prepared()
            now = time.monotonic()
            end = self.next_wait_deadline(now)
            if now >= end:
                break
            next_hedge_at = min(self.hedge_due_at.values(), default=end)
            # Before the first hedge and before ``partial_answer_at``, the answer of a single shard
            # changes no decision, so the task sleeps until all attempts in flight have answered.
            # Any other outcome wakes it.
            min_count = 1 if self.hedges or now >= self.partial_answer_at else len(self.in_flight)
            timeout = max(0.0, min(end, next_hedge_at) - now)
            deliveries = self.inbox.receive(min_count=max(1, min_count), timeout=timeout)
            # On a busy host this task may run only after the hedge delay. Outcomes that have
            # arrived by then come first: a shard that has one needs no hedge.
            if not deliveries and now >= next_hedge_at:
                self.send_due_hedges(now)
            for delivery in deliveries:
                if isinstance(delivery.message, CapacityFreed):
                    self.send_queued(delivery.message.shard)
                else:
                    self.handle_outcome(delivery.message, delivery.arrived_at)
        self.record_remaining_answers()
        self.cancel_remaining()
        return self.result()

    def record_remaining_answers(self) -> None:
        """Record the answers in the inbox that did not wake the query before it ended.

        An answer may prepare attempts for other shards, which ``cancel_remaining`` withdraws.
        """
        for delivery in self.inbox.receive(min_count=0, timeout=0.0):
            message = delivery.message
            if not isinstance(message, CapacityFreed) and message.answer is not None:
                self.handle_outcome(message, delivery.arrived_at)

    def is_unfinished(self) -> bool:
        """Whether outcomes may still arrive that can change the result.

        A quarantined request ends at once, whatever may still arrive.
        """
        if not (self.in_flight or self.waiters):
            return False
        return not self.crashes.is_quarantined(self.query.digest)

    def cancel_remaining(self) -> None:
        """Withdraw the attempts that were not submitted, and cancel the others in flight."""
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
            self.ran = ExecutionStatus.UNKNOWN if self.ran is ExecutionStatus.NOT_RUN else self.ran
            attempt.cancel()

    def should_rerun(self) -> bool:
        """Whether the query should run once more on another snapshot, after ``run`` has returned.

        It should if a missing shard has a replica that no longer held the snapshot, another
        snapshot is now reachable on shards of more weight, and the remaining time exceeds the
        typical latency.

        A query is rerun at most once, and only when no attempt is in flight whose refusal could
        still change the known state of the replicas. An unsafe query is rerun only if it is proven
        that no replica ran it.
        """
        if self.previous_run is not None or self.in_flight:
            return False
        if self.shards_lacking_snapshot.isdisjoint(self.miss_reasons):
            return False
        if self.query.unsafe and self.ran is not ExecutionStatus.NOT_RUN:
            return False
        now = time.monotonic()
        if self.query.deadline - now <= typical_query_latency_s(self.replica_states):
            return False
        better = better_snapshot(
            self.service, self.replica_states, current=self.snapshot or "", now=now
        )
        return better is not None

    def send_first_attempts(self) -> None:
        """Send the query to all shards, or to one shard as a canary."""
        shards = [shard.index for shard in self.service.shards]
        if self.crashes.needs_canary(self.query, self.policy.canary):
            self.awaiting_canary = self.random.sample(shards, len(shards))
            self.send_canary()
            return
        for shard in shards:
            self.send_or_enqueue(shard)

    def send_canary(self) -> None:
        """Send the query to one shard as a canary, preferably to one with capacity."""
        while self.awaiting_canary and not self.crashes.is_quarantined(self.query.digest):
            sent = (shard for shard in self.awaiting_canary if self.try_send_reserved(shard))
            shard = next(sent, None)
            if shard is not None:
                self.awaiting_canary.remove(shard)
                return
            if self.send_reserved(self.awaiting_canary.pop()):
                return

    def try_send_reserved(self, shard: int, *, warm_only: bool = False) -> bool:
        """Send an attempt under the exposure limit (see ``CrashService``) without waiting.

        Returns False without a reservation, or if no replica has capacity now.
        """
        if not self.crashes.reserve(self.query.digest, deadline=float("-inf")):
            return False
        self.reserved_shards.add(shard)
        if self.try_send(shard, warm_only=warm_only):
            return True
        self.cancel_reservation(shard)
        return False

    def send_reserved(self, shard: int) -> bool:
        """Send an attempt under the exposure limit.

        Waits for a reservation until the deadline, unless other attempts are in flight. Returns
        False without a reservation, or if no replica can take the attempt, now or later.
        """
        wait_until = float("-inf") if self.in_flight else self.query.deadline
        if not self.crashes.reserve(self.query.digest, deadline=wait_until):
            return False
        self.reserved_shards.add(shard)
        if self.send_or_enqueue(shard):
            return True
        self.cancel_reservation(shard)
        return False

    def cancel_reservation(self, shard: int) -> None:
        """Release the reservation of a shard for which no attempt was created."""
        if shard in self.reserved_shards:
            self.reserved_shards.discard(shard)
            self.crashes.cancel_reservation(self.query.digest)

    def send_after_canary(self, now: float) -> None:
        """Send the query to the remaining shards after the canary answered."""
        waiting, self.awaiting_canary = self.awaiting_canary, []
        if waiting:
            self.partial_answer_at = now + self.extra_attempt_limits.partial_answer_after_s
        for shard in waiting:
            self.send_or_enqueue(shard)

    def retry_or_defer(self, shard: int) -> bool:
        """Retry a shard; defer the retry while attempts of a suspected request are in flight."""
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
        """Return the next instant at which the query may end without the missing shards.

        An instant that has passed ends it now.
        """
        if now < self.partial_answer_at:
            return min(self.partial_answer_at, self.query.deadline)
        # An attempt of an unsafe request may have an effect, so the query waits for its outcome.
        # Shards that wait for a canary have no attempt yet, so they can't be late.
        if self.has_required_coverage() and not self.query.unsafe and not self.awaiting_canary:
            return self.partial_answer_at
        return self.query.deadline

    def has_required_coverage(self) -> bool:
        """Whether the answers so far cover as much as the caller or the tenant requires."""
        if not self.answers:
            return False
        fraction = compute_coverage(self.service, self.answers, self.miss_reasons).fraction
        return fraction >= self.required_coverage()

    def required_coverage(self) -> float:
        """Return the coverage below which the caller gets a failure."""
        return required_coverage(self.query, self.policy)

    def send_or_enqueue(self, shard: int) -> bool:
        """Send an attempt for a shard, or queue it until a replica has capacity.

        Returns False if no replica can take the attempt, now or later.
        """
        if self.try_send(shard, warm_only=False):
            return True
        probe_ejected_replicas(self.pools[shard])
        if may_become_available(
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
            # Capacity freed before the waiter was queued is not announced again.
            if self.try_send(shard, warm_only=False):
                self.wait_queue.remove(self.waiters.pop(shard))
            return True
        self.miss_reasons.setdefault(shard, MissReason.NO_REPLICA)
        return False

    def send_queued(self, shard: int) -> None:
        """Send the attempt of a shard that waited for capacity."""
        if self.waiters.pop(shard, None) is not None and not self.send_or_enqueue(shard):
            self.cancel_reservation(shard)
            if self.awaiting_canary:
                self.send_canary()
            # This query does not use the free capacity, so the next waiter is notified.
            self.wait_queue.notify_next(self.service.name, shard)

    def try_send(self, shard: int, *, warm_only: bool) -> bool:
        """Prepare an attempt for ``submit_prepared``; return False if no replica has capacity."""
        now = time.monotonic()
        state = choose_replica(
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
                attempt=self.next_attempt_id(),
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
        # The reservation of the shard has passed to the attempt.
        self.reserved_shards.discard(shard)
        self.tried_replicas[shard].add(state.replica.name)
        self.in_flight[str(attempt.sub_query.attempt)] = attempt
        self.attempts += 1
        if not self.query.unsafe:
            self.hedge_due_at[shard] = now + self.extra_attempt_limits.hedge_delay_s
        pool = next(pool for pool in self.pools[shard] if pool.state is state)
        self.prepared_attempts.append((pool, attempt))
        return True

    def deliver_outcome(self, outcome: AttemptOutcome, attempt: Attempt) -> None:
        """Report an outcome to the crash service, then to this query.

        Connection tasks call this, also after the query has ended: lost connections are evidence
        of a crashing request in any case.
        """
        self.crashes.record_outcome(
            self.query,
            outcome,
            incarnation=attempt.incarnation,
            has_reservation=attempt.has_reservation,
        )
        self.inbox.put(outcome)

    def submit_prepared(self) -> None:
        """Submit the prepared attempts to their replica pools.

        Attempts are submitted only after all replicas are chosen: each connection task that wakes
        up competes for the interpreter lock with the choice of the remaining replicas.
        """
        prepared, self.prepared_attempts = self.prepared_attempts, []
        for pool, attempt in prepared:
            pool.submit(attempt)

    def send_due_hedges(self, now: float) -> None:
        """Send a hedge for each late shard, within the budgets.

        The permit is spent even if no warm replica can take the hedge.
        """
        for shard, due_at in list(self.hedge_due_at.items()):
            if now < due_at:
                continue
            del self.hedge_due_at[shard]
            if len(self.tried_replicas[shard]) >= MAX_ATTEMPTS_PER_SHARD:
                continue
            if self.extra_attempt_limits.take_hedge_permit() or (
                shard in self.shards_denied_hedge and self.extra_attempt_limits.take_retry_permit()
            ):
                self.hedges += self.try_send_hedge(shard)
                # ``try_send`` schedules a hedge of each attempt; a hedge itself is not hedged.
                self.hedge_due_at.pop(shard, None)
            else:
                self.shards_denied_hedge.add(shard)
                self.hedge_due_at[shard] = (
                    now + DENIED_HEDGE_DELAY_FACTOR * self.extra_attempt_limits.hedge_delay_s
                )

    def try_send_hedge(self, shard: int) -> bool:
        """Send one hedge to a warm replica, under the exposure limit while one applies."""
        if self.awaiting_canary or self.crashes.is_suspect(self.query.digest):
            return self.try_send_reserved(shard, warm_only=True)
        return self.try_send(shard, warm_only=True)

    def handle_outcome(self, outcome: AttemptOutcome, now: float) -> None:
        """Record the outcome of an attempt, then send the retries that waited for it."""
        self.record_or_retry(outcome, now)
        self.send_deferred_retries()

    def record_or_retry(self, outcome: AttemptOutcome, now: float) -> None:
        """Record the answer of an attempt, or retry the shard on another replica."""
        attempt = self.in_flight.pop(str(outcome.attempt), None)
        if outcome.ran is ExecutionStatus.RUN:
            self.ran = ExecutionStatus.RUN
        elif outcome.ran is ExecutionStatus.UNKNOWN and self.ran is ExecutionStatus.NOT_RUN:
            self.ran = ExecutionStatus.UNKNOWN
        shard = outcome.shard
        if outcome.answer is not None:
            self.answers.setdefault(shard, outcome.answer)
            self.miss_reasons.pop(shard, None)
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
        self.miss_reasons[shard] = MISS_REASONS[outcome.kind]
        if any(other.sub_query.shard == shard for other in self.in_flight.values()):
            return
        self.hedge_due_at.pop(shard, None)
        if (
            is_retryable(outcome, unsafe=self.query.unsafe)
            and len(self.tried_replicas[shard]) < MAX_ATTEMPTS_PER_SHARD
            and (not charges_retry_budget(outcome) or self.extra_attempt_limits.take_retry_permit())
            and self.retry_or_defer(shard)
        ):
            self.retries += 1
            return
        if self.awaiting_canary:
            self.send_canary()

    def cancel_other_attempts(self, shard: int) -> None:
        """Cancel the remaining attempts for a shard that has been answered."""
        if len(self.tried_replicas[shard]) < 2:
            return
        for name, attempt in list(self.in_flight.items()):
            if attempt.sub_query.shard == shard:
                del self.in_flight[name]
                attempt.cancel()
                self.latencies.append(time.monotonic() - attempt.started_at)

    def result(self) -> Result[Answer, RequestFailure]:
        """Return the merged answer, or a failure if its coverage is too low."""
        merged = merge_shard_answers(
            query=self.query,
            prefix=self.prefix,
            service=self.service,
            snapshot=self.snapshot,
            answers=self.answers,
            miss_reasons=self.miss_reasons,
            attempts=self.attempts,
        )
        fraction, required = merged.coverage.fraction, self.required_coverage()
        if not self.answers or fraction < required:
            return Failure(self.failure(fraction, required))
        return Success(merged)

    def failure(self, fraction: float, required: float) -> RequestFailure:
        """Return the failure of a query that is in quarantine or whose coverage is too low."""
        remaining_s = self.crashes.suspects.quarantine_remaining_s(
            self.query.digest, time.monotonic()
        )
        if remaining_s > 0:
            return quarantined_failure(remaining_s, self.ran)
        if self.answers:
            kind = FailureKind.COVERAGE_TOO_LOW
        elif self.query.deadline <= time.monotonic():
            kind = FailureKind.DEADLINE_PASSED
        elif self.query.unsafe and self.ran is ExecutionStatus.UNKNOWN:
            kind = FailureKind.OUTCOME_UNKNOWN
        else:
            kind = FailureKind.NO_REPLICA
        return RequestFailure(
            kind=kind,
            ran=self.ran,
            detail=coverage_detail(self.service, fraction, required),
        )
