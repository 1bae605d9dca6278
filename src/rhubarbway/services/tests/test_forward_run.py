"""Tests of one forwarded request over pools without a network."""

import threading
import time
from random import Random

import pytest

from rhubarbway.decisions.arrival_budget import ArrivalBudget
from rhubarbway.decisions.server_state import ServerState
from rhubarbway.model import (
    BackendServer,
    ExchangeEnd,
    ExchangeOutcome,
    ExecutionStatus,
    ForwardedRequest,
    ReplicaReply,
    Route,
    SplitPart,
)
from rhubarbway.services.caller_inbox import CallerInbox
from rhubarbway.services.forward_run import ForwardRun
from rhubarbway.services.forwarding_tools import ForwardingTools
from rhubarbway.services.invariants import require
from rhubarbway.services.log import part_logger
from rhubarbway.services.losses import LossService
from rhubarbway.services.shared_retry_budget import SharedRetryBudget

TARGET_S = 0.1


class Pool:
    """A pool whose attempts end as a function says: ``respond(attempt)`` returns an outcome."""

    def __init__(self, *, server_id, service, respond, zone="a"):
        self.server = BackendServer(
            id=server_id, service=service, address="10.0.0.1:1", zone=zone, slots=3
        )
        self.state = ServerState(server=self.server, now=time.monotonic())
        self.respond = respond
        self.submitted = []

    def submit(self, attempt):
        self.submitted.append(attempt)
        self.state.note_sent(attempt.number, attempt.handed_at)
        attempt.waits_since = attempt.handed_at
        outcome = self.respond(self, attempt)
        if outcome is not None:
            self.state.note_outcome(outcome, usual_s=attempt.usual_s, now=time.monotonic())
            attempt.deliver(outcome)


def outcome_of(pool, attempt, end, ran, reply=None):
    return ExchangeOutcome(
        attempt=attempt.number,
        shard=attempt.shard,
        server=pool.server.id,
        end=end,
        ran=ran,
        latency_s=0.01,
        reply=reply,
    )


def answers(pool, attempt, *, status=200, proof="p", body=b"r" * 16):
    reply = ReplicaReply(
        status=status, headers=(), body=body, signature=proof, ran=ExecutionStatus.RUN
    )
    end = ExchangeEnd.ANSWERED if status < 500 else ExchangeEnd.FAILED
    return outcome_of(pool, attempt, end, ExecutionStatus.RUN, reply)


def hangs(pool, attempt):
    return None


def loses(pool, attempt):
    return outcome_of(pool, attempt, ExchangeEnd.LOST, ExecutionStatus.UNKNOWN)


def refuses(pool, attempt):
    reply = ReplicaReply(
        status=503, headers=(), body=b"", signature="", ran=ExecutionStatus.NOT_RUN
    )
    return outcome_of(pool, attempt, ExchangeEnd.REFUSED, ExecutionStatus.NOT_RUN, reply)


def route_of(*, shards=(), idempotent=True, max_attempts=2, min_coverage=0.75):
    return Route(
        name="r",
        host="h",
        path_prefix="/",
        idempotent=idempotent,
        timeout_s=0.6,
        target_latency_s=TARGET_S,
        max_attempts=max_attempts,
        split=() if shards else (SplitPart(service="board", weight=1.0),),
        shards=shards,
        record_limit=4,
        min_coverage=min_coverage,
    )


class Setting:
    """A run over pools by service."""

    def __init__(self, *, route, pools, allowance=50.0, seed=1):
        now = time.monotonic()
        self.pools = pools
        self.budget = SharedRetryBudget(
            budget=ArrivalBudget(ratio=0.2, allowance=allowance, window_s=10.0)
        )
        numbers = iter(range(1, 1000))
        self.tools = ForwardingTools(
            pools_of=lambda service: self.pools.get(service, []),
            zone="a",
            budget=self.budget,
            next_number=lambda: next(numbers),
            second_attempt_delay=lambda route: 0.02,
            usual_s=lambda route: 0.01,
            processing_s=lambda route: 0.0,
            losses=LossService(),
            random=Random(seed),
            expect=require,
            log=part_logger("test"),
        )
        request = ForwardedRequest(
            request_id="q", method="GET", target="/x", host="h", received_at=now, deadline=now + 1
        )
        self.run = ForwardRun(
            request=request,
            digest="d",
            route=route,
            services=route.shards or ("board",),
            inbox=CallerInbox(sock=None),
            tools=self.tools,
        )

    def sent(self):
        return sum(len(pool.submitted) for pools in self.pools.values() for pool in pools)


def pools_of(service, *responses):
    return [
        Pool(server_id=f"{service}-{number}", service=service, respond=respond)
        for number, respond in enumerate(responses)
    ]


class TestSecondAttempt:
    def run_with(self, waits_since):
        """Run a request whose first server is silent, and return the attempts sent.

        ``waits_since`` maps the instant at which an attempt was handed over to the one at which
        this host has sent it, None for not at all.
        """

        def hangs_since(pool, attempt):
            attempt.waits_since = waits_since(attempt.handed_at)

        pools = {"board": pools_of("board", hangs_since, hangs_since)}
        setting = Setting(route=route_of(), pools=pools)
        setting.run.deadline = setting.run.attempt_deadline = time.monotonic() + 0.08
        setting.run.run()
        return setting.sent()

    def test_a_silent_server_gets_one(self):
        assert self.run_with(lambda handed_at: handed_at) == 2

    def test_an_attempt_that_this_host_has_not_sent_gets_none(self):
        """A fan-out of 36 shards on half a core: the last requests left the host after the time
        for second attempts, and each got one, which cost the host still more time."""
        assert self.run_with(lambda handed_at: None) == 1

    def test_its_time_counts_from_when_the_first_one_was_sent(self):
        assert self.run_with(lambda handed_at: handed_at + 0.07) == 1


class TestFanOut:
    def test_a_lost_shard_does_not_hold_the_answer_past_the_target(self):
        shards = tuple("abcd")
        pools = {name: pools_of(name, answers) for name in "abc"} | {"d": pools_of("d", hangs)}
        setting = Setting(route=route_of(shards=shards), pools=pools)
        began = time.monotonic()
        answer = setting.run.run()
        assert (answer.status, answer.missing_shards) == (200, 1)
        assert time.monotonic() - began < TARGET_S

    def test_a_task_that_wakes_after_the_target_still_sends_the_partial_answer(self):
        """Guards against a wait that ends a moment late and is then taken for a late answer."""
        shards = tuple("abcd")
        pools = {name: pools_of(name, answers) for name in "abc"} | {"d": pools_of("d", hangs)}
        setting = Setting(route=route_of(shards=shards), pools=pools)
        inbox = setting.run.inbox
        take = inbox.take

        def take_late(timeout_s, *, wanted):
            outcomes = take(timeout_s, wanted=wanted)
            if not outcomes:
                time.sleep(0.003)
            return outcomes

        class LateInbox:
            caller_left = False
            put = staticmethod(inbox.put)

        late = LateInbox()
        late.take = take_late
        setting.run.inbox = late
        began = time.monotonic()
        answer = setting.run.run()
        assert answer.missing_shards == 1
        assert time.monotonic() - began < 1.5 * TARGET_S

    def test_replies_after_the_second_attempts_still_make_a_partial_answer_in_time(self):
        """A fan-out of 36 shards: replies woke nobody, and the task slept past the target, since
        it knew of too few replies when it began to wait."""

        def answers_later(pool, attempt):
            timer = threading.Timer(0.4 * TARGET_S, lambda: attempt.deliver(answers(pool, attempt)))
            timer.start()

        shards = tuple("abcd")
        pools = {name: pools_of(name, answers_later) for name in "abc"}
        pools["d"] = pools_of("d", hangs)
        setting = Setting(route=route_of(shards=shards), pools=pools)
        began = time.monotonic()
        answer = setting.run.run()
        assert answer.missing_shards == 1
        assert time.monotonic() - began < TARGET_S

    def test_too_few_shards_by_the_target_are_waited_for(self):
        shards = tuple("abcd")
        pools = {name: pools_of(name, answers) for name in "ab"}
        pools |= {name: pools_of(name, hangs) for name in "cd"}
        setting = Setting(route=route_of(shards=shards), pools=pools)
        began = time.monotonic()
        answer = setting.run.run()
        assert answer.status == 504
        assert time.monotonic() - began > TARGET_S

    def test_without_enough_known_servers_nothing_is_sent(self):
        shards = tuple("abcd")
        setting = Setting(
            route=route_of(shards=shards), pools={name: pools_of(name, answers) for name in "ab"}
        )
        answer = setting.run.run()
        assert (answer.status, setting.sent()) == (503, 0)

    def test_a_failure_with_a_proof_is_no_part(self):
        def failure(pool, attempt):
            return answers(pool, attempt, status=500)

        shards = tuple("abcd")
        pools = {name: pools_of(name, answers) for name in "abc"}
        pools["d"] = pools_of("d", failure, failure)
        answer = Setting(route=route_of(shards=shards), pools=pools).run.run()
        assert (answer.missing_shards, len(answer.signatures)) == (1, 3)

    def test_an_overloaded_shard_is_left_out_of_most_queries(self):
        """Pattern of a heavy day: one shard has no server that keeps up; the others are fine."""
        shards = tuple("abcd")
        left_out = 0
        for seed in range(100):
            pools = {name: pools_of(name, answers) for name in "abcd"}
            pools["d"][0].state.slowness = 12.0
            setting = Setting(route=route_of(shards=shards), pools=pools, seed=seed)
            setting.run.run()
            left_out += not pools["d"][0].submitted
        assert 80 <= left_out <= 98


class TestAttempts:
    def test_a_paused_server_costs_a_second_attempt(self):
        pools = {"board": pools_of("board", hangs, answers)}
        pools["board"][1].state.slowness = 2.0
        setting = Setting(route=route_of(), pools=pools)
        assert setting.run.run().status == 200
        assert setting.sent() == 2

    def test_no_second_attempt_that_cannot_be_in_time(self):
        """Guards against second attempts that only add load to servers that are behind."""
        pools = {"board": pools_of("board", hangs, hangs)}
        pools["board"][1].state.slowness = 12.0
        setting = Setting(route=route_of(), pools=pools)
        setting.run.run()
        assert setting.sent() == 1

    def test_the_route_limits_the_attempts(self):
        pools = {"board": pools_of("board", loses, loses, loses)}
        setting = Setting(route=route_of(max_attempts=2), pools=pools)
        answer = setting.run.run()
        assert (answer.status, setting.sent()) == (502, 2)

    def test_the_budget_limits_the_attempts(self):
        pools = {"board": pools_of("board", loses, answers)}
        setting = Setting(route=route_of(), pools=pools, allowance=0.0)
        answer = setting.run.run()
        assert (answer.status, setting.sent()) == (502, 1)

    @pytest.mark.parametrize(
        ("responses", "status", "sent"),
        [
            ((loses, answers), 502, 1),
            ((refuses, answers), 200, 2),
            ((refuses, refuses), 503, 2),
            ((refuses, loses), 502, 2),
        ],
    )
    def test_a_request_that_may_not_run_twice(self, responses, status, sent):
        pools = {"board": pools_of("board", *responses)}
        for number, pool in enumerate(pools["board"]):
            pool.state.slowness = 1.0 + number
        setting = Setting(route=route_of(idempotent=False), pools=pools)
        answer = setting.run.run()
        assert (answer.status, setting.sent()) == (status, sent)

    def test_a_request_that_loses_its_servers_is_not_sent_again(self):
        pools = {"board": pools_of("board", loses, loses, loses, loses)}
        setting = Setting(route=route_of(max_attempts=9), pools=pools)
        setting.run.run()
        assert setting.sent() == 3

    def test_a_success_without_a_proof_is_not_passed_on(self):
        def unproved(pool, attempt):
            return answers(pool, attempt, proof="")

        setting = Setting(route=route_of(), pools={"board": pools_of("board", unproved)})
        assert setting.run.run().status == 502
