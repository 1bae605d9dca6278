"""Tests of the fan-out of one query, over fake pools whose replies each test chooses."""

import threading
import time
from random import Random

from rhubarbway.decisions.replica_state import WARM_UP_ANSWERS, ReplicaState
from rhubarbway.model import (
    AttemptId,
    AttemptOutcome,
    CanaryMode,
    ExecutionStatus,
    HostIdentity,
    JobPrefix,
    OutcomeKind,
    Policy,
    Preference,
    PrefixStatus,
    Query,
    Replica,
    Service,
    Shard,
    ShardAnswer,
)
from rhubarbway.services.backends import WaitQueue
from rhubarbway.services.crashes import CrashService
from rhubarbway.services.extra_attempt_limits import ExtraAttemptLimits
from rhubarbway.services.fan_out import FanOut

DEADLINE_S = 5.0
HEDGE_DELAY_S = 0.02


class FakePool:
    """A pool that replies to each attempt at once, or never if ``reply`` is None."""

    def __init__(self, *, name, shard, reply=OutcomeKind.ANSWERED):
        replica = Replica(
            name=name, address="127.0.0.1:1", zone="a", slots=3, connections=30, connect_ms=6.0
        )
        self.replica = replica
        self.shard = shard
        self.reply = reply
        self.attempts = []
        self.first_status_done = threading.Event()
        self.state = ReplicaState(replica=replica, in_flight_cap=1)
        self.state.record_status(incarnation="1", held_snapshots=["s"], draining=False, now=0.0)
        self.state.answer_count = WARM_UP_ANSWERS

    def submit(self, attempt):
        self.attempts.append(attempt)
        self.state.record_sent(time.monotonic())
        if self.reply is not None:
            self.finish(attempt, self.reply)

    def refresh_status(self, now):
        pass

    def start_probe(self):
        self.state.probe_running = True

    def finish(self, attempt, kind, ran=ExecutionStatus.UNKNOWN):
        answered = kind is OutcomeKind.ANSWERED
        outcome = AttemptOutcome(
            attempt=attempt.sub_query.attempt,
            replica=self.replica.name,
            shard=self.shard,
            kind=kind,
            ran=ExecutionStatus.RUN if answered else ran,
            latency_s=0.001,
            answer=(
                ShardAnswer(
                    shard=self.shard,
                    snapshot="s",
                    fraction=1.0,
                    items_json=b"[]",
                    replica=self.replica.name,
                    latency_s=0.001,
                )
                if answered
                else None
            ),
        )
        self.state.record_outcome(outcome, time.monotonic())
        attempt.on_outcome(outcome)


def make_fan_out(
    pools,
    *,
    unsafe=False,
    may_hedge=True,
    may_retry=True,
    partial_answer_after_s=60.0,
    wait_queue=None,
):
    shards = tuple(
        Shard(index=index, weight=1.0, replicas=tuple(pool.replica for pool in members))
        for index, members in pools.items()
    )
    counter = iter(range(1, 1000))
    return FanOut(
        query=Query(
            request_id="r",
            job="desk",
            payload=None,
            payload_json=b"null",
            deadline=time.monotonic() + DEADLINE_S,
            unsafe=unsafe,
            token=None,
            digest="d",
            shape="desk",
        ),
        prefix=JobPrefix(
            prefix="desk",
            status=PrefixStatus.CURRENT,
            service="desk",
            meaning="consignments",
            origin="test",
        ),
        service=Service(name="desk", tenant="t", layout="l", value=1.0, shards=shards),
        policy=Policy(
            deadline_ms=5000,
            min_coverage=0.5,
            hedge_budget=0.02,
            hedge_quantile=0.95,
            retry_budget=0.05,
            canary=CanaryMode.SUSPECT,
            prefer=Preference.LATENCY,
            max_in_flight=64,
        ),
        pools=pools,
        crashes=CrashService(
            identity=HostIdentity(
                name="e", address="127.0.0.1:2", zone="a", incarnation="0", started_at=0.0
            )
        ),
        zone="a",
        next_attempt_id=lambda: AttemptId(host="e", incarnation="0", counter=next(counter)),
        random=Random(1),
        extra_attempt_limits=ExtraAttemptLimits(
            hedge_delay_s=HEDGE_DELAY_S,
            partial_answer_after_s=partial_answer_after_s,
            take_hedge_permit=lambda: may_hedge,
            take_retry_permit=lambda: may_retry,
        ),
        wait_queue=wait_queue or WaitQueue(),
    )


def two_replicas(first_reply, second_reply=OutcomeKind.ANSWERED):
    """Return the pools of one shard whose first replica has the lower latency."""
    first = FakePool(name="first", shard=0, reply=first_reply)
    second = FakePool(name="second", shard=0, reply=second_reply)
    first.state.latency.record(0.001)
    second.state.latency.record(0.010)
    return {0: [first, second]}, first, second


class TestHedges:
    def test_late_shard_gets_a_hedge_and_the_first_attempt_is_cancelled(self):
        """Guards against a query that waits for a slow replica while another one is free."""
        pools, first, _ = two_replicas(None)
        fan_out = make_fan_out(pools)
        answer = fan_out.run().unwrap()
        assert answer.coverage.fraction == 1.0
        assert (answer.attempts, fan_out.hedges) == (2, 1)
        assert first.attempts[0].cancelled

    def test_no_permit_means_no_hedge(self):
        """Guards against hedges beyond the budget, which multiply the load of slow servers."""
        pools, first, second = two_replicas(None)
        fan_out = make_fan_out(pools, may_hedge=False, may_retry=False)
        threading.Timer(0.2, lambda: first.finish(first.attempts[0], OutcomeKind.ANSWERED)).start()
        assert fan_out.run().unwrap().attempts == 1
        assert second.attempts == []

    def test_shard_without_hedge_permit_gets_a_retry_when_it_stays_silent(self):
        """Guards against waiting for a frozen replica because the hedge budget is spent."""
        pools, first, _ = two_replicas(None)
        assert make_fan_out(pools, may_hedge=False).run().unwrap().coverage.fraction == 1.0
        assert first.attempts[0].cancelled

    def test_an_outcome_that_has_arrived_comes_before_a_due_hedge(self):
        """Guards against a hedge for a failed attempt, which needs a permit of the retry budget.

        A busy host may run the task only after the hedge delay, with the outcome in the inbox.
        """
        pools, first, second = two_replicas(None)

        def submit_slowly(attempt):
            first.state.record_sent(time.monotonic())
            first.finish(attempt, OutcomeKind.CONNECTION_LOST)
            time.sleep(2 * HEDGE_DELAY_S)

        first.submit = submit_slowly
        fan_out = make_fan_out(pools, may_retry=False)
        assert fan_out.run().failure().ran is ExecutionStatus.UNKNOWN
        assert (second.attempts, fan_out.hedges) == ([], 0)

    def test_unsafe_request_is_never_hedged(self):
        """Guards against an unsafe request that a hedge runs on a second replica of a shard."""
        pools, first, second = two_replicas(None)
        fan_out = make_fan_out(pools, unsafe=True)
        threading.Timer(0.2, lambda: first.finish(first.attempts[0], OutcomeKind.ANSWERED)).start()
        assert fan_out.run().unwrap().attempts == 1
        assert second.attempts == []


class TestRetries:
    def test_lost_connection_is_retried_on_another_replica(self):
        """Guards against a missing shard after the failure of a single replica."""
        pools, _, second = two_replicas(OutcomeKind.CONNECTION_LOST)
        assert make_fan_out(pools).run().unwrap().coverage.fraction == 1.0
        assert len(second.attempts) == 1

    def test_no_permit_means_no_retry(self):
        """Guards against retries beyond the budget, which multiply the load of failing servers."""
        pools, _, second = two_replicas(OutcomeKind.CONNECTION_LOST)
        assert make_fan_out(pools, may_retry=False).run().failure().ran is ExecutionStatus.UNKNOWN
        assert second.attempts == []

    def test_attempt_that_sent_nothing_needs_no_permit(self):
        """Guards against missing shards when a lost zone has used up the retry budget."""
        pools, first, second = two_replicas(None)
        first.submit = lambda attempt: (
            first.state.record_sent(time.monotonic()),
            first.finish(attempt, OutcomeKind.CONNECT_FAILED, ExecutionStatus.NOT_RUN),
        )
        assert make_fan_out(pools, may_retry=False).run().unwrap().coverage.fraction == 1.0
        assert len(second.attempts) == 1


class TestWaiting:
    def test_query_waits_for_capacity_and_runs_when_a_replica_has_some(self):
        """Guards against a shard reported missing only because its replicas are busy."""
        wait_queue = WaitQueue()
        pool = FakePool(name="only", shard=0)
        pool.state.record_sent(time.monotonic())
        fan_out = make_fan_out({0: [pool]}, wait_queue=wait_queue)

        def free():
            pool.state.in_flight -= 1
            wait_queue.notify_next("desk", 0)

        threading.Timer(0.1, free).start()
        assert fan_out.run().unwrap().coverage.fraction == 1.0
        assert wait_queue.waiters == {}

    def test_notification_of_a_query_that_gave_up_goes_to_the_next(self):
        """Guards against a notification that is lost because its waiter has already given up.

        The replica would stay idle while the other queries wait until their deadlines.
        """
        wait_queue = WaitQueue()
        pool = FakePool(name="only", shard=0)
        pool.state.record_sent(time.monotonic())
        first, second = make_fan_out({0: [pool]}, wait_queue=wait_queue), make_fan_out(
            {0: [pool]}, wait_queue=wait_queue
        )
        for fan_out in (first, second):
            fan_out.snapshot = "s"
            fan_out.send_or_enqueue(0)
        wait_queue.notify_next("desk", 0)
        wait_queue.remove(first.waiters[0])
        assert [found.message.shard for found in second.inbox.receive(min_count=1, timeout=0)] == [
            0
        ]

    def test_answer_that_woke_nobody_counts_when_the_query_ends(self):
        """Guards against a shard reported missing although its answer is in the inbox."""
        pools, first, _ = two_replicas(None)
        fan_out = make_fan_out(pools)
        fan_out.snapshot = "s"
        fan_out.send_or_enqueue(0)
        fan_out.submit_prepared()
        first.finish(first.attempts[0], OutcomeKind.ANSWERED)
        fan_out.record_remaining_answers()
        assert list(fan_out.answers) == [0]

    def test_tenant_that_prefers_latency_answers_in_part_before_the_deadline(self):
        """Guards against a query that waits for a silent shard until the deadline.

        The answers of the other shards cover enough, and the tenant prefers latency to coverage.
        """
        pools, _, _ = two_replicas(OutcomeKind.ANSWERED)
        pools[1] = [FakePool(name="silent", shard=1, reply=None)]
        started = time.monotonic()
        answer = make_fan_out(pools, partial_answer_after_s=0.1).run().unwrap()
        assert answer.coverage.fraction == 0.5
        assert time.monotonic() - started < DEADLINE_S
