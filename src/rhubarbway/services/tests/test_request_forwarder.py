"""Tests of forwarding one request to fake pools, without a network."""

import threading
import time
from random import Random

import pytest

from rhubarbway.decisions.server_state import ServerState
from rhubarbway.decisions.sliding_window_budget import SlidingWindowBudget
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
from rhubarbway.services.crashing_requests import CrashingRequestService
from rhubarbway.services.forwarding_context import ForwardingContext
from rhubarbway.services.invariants import require
from rhubarbway.services.log import component_logger
from rhubarbway.services.request_forwarder import RequestForwarder
from rhubarbway.services.shared_retry_budget import SharedRetryBudget

TARGET_S = 0.1


class FakePool:
    """A pool whose attempts end with the outcome that ``respond(pool, attempt)`` returns.

    An attempt for which it returns None stays in flight.
    """

    def __init__(self, *, server_id, service, respond, zone="a"):
        self.server = BackendServer(
            id=server_id, service=service, address="10.0.0.1:1", zone=zone, slots=3
        )
        self.state = ServerState(server=self.server, now=time.monotonic())
        self.respond = respond
        self.submitted = []

    def submit(self, attempt):
        self.submitted.append(attempt)
        self.state.record_sent(attempt.number, attempt.submitted_at)
        attempt.waiting_since = attempt.submitted_at
        outcome = self.respond(self, attempt)
        if outcome is not None:
            self.state.record_outcome(outcome, typical_s=attempt.typical_s, now=time.monotonic())
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


def answers(pool, attempt, *, status=200, signature="p", body=b"r" * 16):
    reply = ReplicaReply(
        status=status, headers=(), body=body, signature=signature, ran=ExecutionStatus.RUN
    )
    end = ExchangeEnd.ANSWERED if status < 500 else ExchangeEnd.FAILED
    return outcome_of(pool, attempt, end, ExecutionStatus.RUN, reply)


def hangs(pool, attempt):
    return None


def loses(pool, attempt):
    """The connection is lost after the request was sent."""
    return outcome_of(pool, attempt, ExchangeEnd.LOST, ExecutionStatus.UNKNOWN)


def refuses(pool, attempt):
    """The server states that it has not run the request."""
    reply = ReplicaReply(
        status=503, headers=(), body=b"", signature="", ran=ExecutionStatus.NOT_RUN
    )
    return outcome_of(pool, attempt, ExchangeEnd.REFUSED, ExecutionStatus.NOT_RUN, reply)


def withdraws(pool, attempt):
    """The server leaves, so the attempt was not sent."""
    return outcome_of(pool, attempt, ExchangeEnd.WITHDRAWN, ExecutionStatus.NOT_RUN)


def fails_to_connect(pool, attempt):
    return outcome_of(pool, attempt, ExchangeEnd.CONNECT_FAILED, ExecutionStatus.NOT_RUN)


def route_of(
    *,
    shards=(),
    idempotent=True,
    max_attempts=2,
    min_coverage=0.75,
    target_s=TARGET_S,
    timeout_s=0.6,
):
    return Route(
        name="r",
        host="h",
        path_prefix="/",
        idempotent=idempotent,
        timeout_s=timeout_s,
        target_latency_s=target_s,
        max_attempts=max_attempts,
        split=() if shards else (SplitPart(service="board", weight=1.0),),
        shards=shards,
        record_limit=4,
        min_coverage=min_coverage,
    )


class Scenario:
    """A request whose forwarder sends to fake pools; ``pools`` maps services to their pools."""

    def __init__(self, *, route, pools, allowance=50.0, seed=1, deadline_s=1.0):
        now = time.monotonic()
        self.pools = pools
        self.budget = SharedRetryBudget(
            budget=SlidingWindowBudget(ratio=0.2, allowance=allowance, window_s=10.0)
        )
        numbers = iter(range(1, 1000))
        self.context = ForwardingContext(
            pools_of=lambda service: self.pools.get(service, []),
            zone="a",
            budget=self.budget,
            next_attempt_number=lambda: next(numbers),
            hedge_delay_s=lambda route: 0.02,
            typical_s=lambda route: 0.01,
            processing_s=lambda route: 0.0,
            crashing_requests=CrashingRequestService(),
            random=Random(seed),
            expect=require,
            log=component_logger("test"),
        )
        request = ForwardedRequest(
            request_id="q",
            method="GET",
            target="/x",
            host="h",
            received_at=now,
            deadline=now + deadline_s,
        )
        self.forwarder = RequestForwarder(
            request=request,
            digest="d",
            route=route,
            services=route.shards or ("board",),
            inbox=CallerInbox(sock=None),
            context=self.context,
        )

    def sent_count(self):
        return sum(len(pool.submitted) for pools in self.pools.values() for pool in pools)


def pools_of(service, *responses):
    return [
        FakePool(server_id=f"{service}-{number}", service=service, respond=respond)
        for number, respond in enumerate(responses)
    ]


class TestHedge:
    def run_with(self, waiting_since):
        """Forward a request whose first server never replies; return the number of attempts.

        ``waiting_since`` maps the submission instant of an attempt to the instant at which this
        host sends it, or to None if it never does.
        """

        def hangs_and_waits(pool, attempt):
            attempt.waiting_since = waiting_since(attempt.submitted_at)

        pools = {"board": pools_of("board", hangs_and_waits, hangs_and_waits)}
        scenario = Scenario(route=route_of(), pools=pools)
        scenario.forwarder.deadline = scenario.forwarder.attempt_deadline = time.monotonic() + 0.08
        scenario.forwarder.run()
        return scenario.sent_count()

    def test_an_attempt_without_a_reply_is_hedged(self):
        """Guards against a request that waits for a paused server until its deadline."""
        assert self.run_with(lambda submitted_at: submitted_at) == 2

    def test_an_attempt_that_this_host_has_not_sent_is_not_hedged(self):
        """Guards against hedges for attempts that this host itself is late to send.

        In a fan-out of 36 shards on half a core, the last attempts leave the host after the hedge
        delay. A hedge for each of them delays the host even more.
        """
        assert self.run_with(lambda submitted_at: None) == 1

    def test_the_hedge_delay_counts_from_the_sending_of_the_first_attempt(self):
        """Guards against a hedge that is sent too early when the first attempt left late."""
        assert self.run_with(lambda submitted_at: submitted_at + 0.07) == 1


class TestFanOut:
    def test_a_silent_shard_does_not_delay_the_answer_past_the_target(self):
        """Guards against an answer with enough shards that is late because one server is silent."""
        shards = tuple("abcd")
        pools = {name: pools_of(name, answers) for name in "abc"} | {"d": pools_of("d", hangs)}
        scenario = Scenario(route=route_of(shards=shards), pools=pools)
        began = time.monotonic()
        answer = scenario.forwarder.run()
        assert (answer.status, answer.missing_shards) == (200, 1)
        assert time.monotonic() - began < TARGET_S

    def test_a_task_that_wakes_after_the_target_still_sends_the_partial_answer(self):
        """Guards against a partial answer that waits for missing shards after a late wake-up.

        The replies cover enough shards, but the task wakes shortly after the target deadline and
        must not treat the deadline as missed.
        """
        shards = tuple("abcd")
        pools = {name: pools_of(name, answers) for name in "abc"} | {"d": pools_of("d", hangs)}
        scenario = Scenario(route=route_of(shards=shards), pools=pools)
        inbox = scenario.forwarder.inbox
        receive = inbox.receive

        def receive_late(timeout_s, *, min_successes):
            outcomes = receive(timeout_s, min_successes=min_successes)
            if not outcomes:
                time.sleep(0.003)
            return outcomes

        class LateInbox:
            caller_left = False
            put = staticmethod(inbox.put)

        late = LateInbox()
        late.receive = receive_late
        scenario.forwarder.inbox = late
        began = time.monotonic()
        answer = scenario.forwarder.run()
        assert answer.missing_shards == 1
        assert time.monotonic() - began < 1.5 * TARGET_S

    def test_replies_after_the_hedges_still_make_a_partial_answer_in_time(self):
        """Guards against a wait for replies that lasts past the target.

        If too few shards have replied when the wait begins, as in a fan-out of 36 shards, later
        replies do not wake the task. It has to wake by itself at the target deadline to send the
        partial answer.
        """

        def answers_later(pool, attempt):
            timer = threading.Timer(0.4 * TARGET_S, lambda: attempt.deliver(answers(pool, attempt)))
            timer.start()

        shards = tuple("abcd")
        pools = {name: pools_of(name, answers_later) for name in "abc"}
        pools["d"] = pools_of("d", hangs)
        scenario = Scenario(route=route_of(shards=shards), pools=pools)
        began = time.monotonic()
        answer = scenario.forwarder.run()
        assert answer.missing_shards == 1
        assert time.monotonic() - began < TARGET_S

    def test_an_answer_with_too_few_shards_at_the_target_waits_for_more(self):
        """Guards against a failure sent at the target deadline when later replies could suffice."""
        shards = tuple("abcd")
        pools = {name: pools_of(name, answers) for name in "ab"}
        pools |= {name: pools_of(name, hangs) for name in "cd"}
        scenario = Scenario(route=route_of(shards=shards), pools=pools)
        began = time.monotonic()
        answer = scenario.forwarder.run()
        assert answer.status == 504
        assert time.monotonic() - began > TARGET_S

    def test_without_enough_known_servers_nothing_is_sent(self):
        """Guards against load on servers whose replies cannot reach the minimum coverage."""
        shards = tuple("abcd")
        scenario = Scenario(
            route=route_of(shards=shards), pools={name: pools_of(name, answers) for name in "ab"}
        )
        answer = scenario.forwarder.run()
        assert (answer.status, scenario.sent_count()) == (503, 0)

    def test_a_failure_with_a_signature_is_not_merged(self):
        """Guards against a merged answer that counts a signed 500 reply as a shard's result."""

        def failure(pool, attempt):
            return answers(pool, attempt, status=500)

        shards = tuple("abcd")
        pools = {name: pools_of(name, answers) for name in "abc"}
        pools["d"] = pools_of("d", failure, failure)
        answer = Scenario(route=route_of(shards=shards), pools=pools).forwarder.run()
        assert (answer.missing_shards, len(answer.signatures)) == (1, 3)

    def test_an_overloaded_shard_is_left_out_of_most_queries(self):
        """Guards against requests that are all late because they wait for one overloaded shard.

        Under high load it can happen that no server of one shard keeps up, while the others do.
        """
        shards = tuple("abcd")
        left_out = 0
        for seed in range(100):
            pools = {name: pools_of(name, answers) for name in "abcd"}
            pools["d"][0].state.slowness = 12.0
            scenario = Scenario(route=route_of(shards=shards), pools=pools, seed=seed)
            scenario.forwarder.run()
            left_out += not pools["d"][0].submitted
        # The slowness of d makes shedding most likely, with a probability of 0.9. Some of the 100
        # queries must still reach d, which shows when its servers have recovered.
        assert 80 <= left_out <= 98


class TestAttempts:
    def test_a_request_to_a_paused_server_is_hedged(self):
        """Guards against a request that fails because its first server is paused."""
        pools = {"board": pools_of("board", hangs, answers)}
        pools["board"][1].state.slowness = 2.0
        scenario = Scenario(route=route_of(), pools=pools)
        assert scenario.forwarder.run().status == 200
        assert scenario.sent_count() == 2

    def test_a_hedge_that_cannot_be_answered_in_time_is_not_sent(self):
        """Guards against hedges that only add load, since the other server is too slow as well."""
        pools = {"board": pools_of("board", hangs, hangs)}
        pools["board"][1].state.slowness = 12.0
        scenario = Scenario(route=route_of(), pools=pools)
        scenario.forwarder.run()
        assert scenario.sent_count() == 1

    def test_the_route_limits_the_attempts(self):
        """Guards against retries beyond the route's maximum when server after server is lost."""
        pools = {"board": pools_of("board", loses, loses, loses)}
        scenario = Scenario(route=route_of(max_attempts=2), pools=pools)
        answer = scenario.forwarder.run()
        assert (answer.status, scenario.sent_count()) == (502, 2)

    def test_the_budget_limits_the_attempts(self):
        """Guards against retries after lost requests when the retry budget allows none."""
        pools = {"board": pools_of("board", loses, answers)}
        scenario = Scenario(route=route_of(), pools=pools, allowance=0.0)
        answer = scenario.forwarder.run()
        assert (answer.status, scenario.sent_count()) == (502, 1)

    @pytest.mark.parametrize(
        ("responses", "status", "sent"),
        [
            ((loses, answers), 502, 1),
            ((refuses, answers), 200, 2),
            ((refuses, refuses), 503, 2),
            ((refuses, loses), 502, 2),
        ],
    )
    def test_an_unsafe_request_is_retried_only_after_a_refusal(self, responses, status, sent):
        """Guards against a non-idempotent request that runs twice.

        It may be retried after a refusal, but not after a lost connection, since the server may
        have executed it.
        """
        pools = {"board": pools_of("board", *responses)}
        for number, pool in enumerate(pools["board"]):
            pool.state.slowness = 1.0 + number
        scenario = Scenario(route=route_of(idempotent=False), pools=pools)
        answer = scenario.forwarder.run()
        assert (answer.status, scenario.sent_count()) == (status, sent)

    def test_a_request_is_blocked_after_three_lost_servers(self):
        """Guards against retries that let one request crash all servers of a service.

        The route allows nine attempts, and each server is lost; the third loss blocks the request.
        """
        pools = {"board": pools_of("board", loses, loses, loses, loses)}
        scenario = Scenario(route=route_of(max_attempts=9), pools=pools)
        scenario.forwarder.run()
        assert scenario.sent_count() == 3

    def test_an_unsigned_success_is_not_relayed(self):
        """Guards against a 2xx reply that some other process sent in place of the server."""

        def unsigned(pool, attempt):
            return answers(pool, attempt, signature="")

        scenario = Scenario(route=route_of(), pools={"board": pools_of("board", unsigned)})
        assert scenario.forwarder.run().status == 502


class TestUndeliveredAttempts:
    @pytest.mark.parametrize("undelivered", [withdraws, fails_to_connect])
    @pytest.mark.parametrize("idempotent", [True, False])
    def test_an_attempt_that_reached_no_server_is_replaced_without_a_permit(
        self, undelivered, idempotent
    ):
        """Guards against a request that fails for lack of retries although none was used.

        The retry budget limits what servers receive, and the server received nothing.
        """
        pools = {"board": pools_of("board", undelivered, answers)}
        pools["board"][1].state.slowness = 2.0
        route = route_of(idempotent=idempotent, max_attempts=1)
        scenario = Scenario(route=route, pools=pools, allowance=0.0)
        assert scenario.forwarder.run().status == 200
        assert scenario.sent_count() == 2

    def test_each_server_is_tried_once(self):
        """Guards against a request that goes round between servers that cannot be reached."""
        pools = {"board": pools_of("board", *[fails_to_connect] * 5)}
        scenario = Scenario(route=route_of(), pools=pools, allowance=0.0)
        answer = scenario.forwarder.run()
        assert (answer.status, scenario.sent_count()) == (503, 5)


class TestServersThatWantNoRequests:
    QUIET_S = 5.0

    def quieten(self, pool, quiet_s=QUIET_S):
        pool.state.quiet_until = time.monotonic() + quiet_s

    def test_a_server_that_asked_for_quiet_gets_neither_first_attempt_nor_retry(self):
        """Guards against requests to a server within the time that it asked for."""
        pools = {"board": pools_of("board", answers, refuses, loses)}
        self.quieten(pools["board"][0])
        scenario = Scenario(route=route_of(max_attempts=3), pools=pools)
        assert scenario.forwarder.run().status == 502
        assert not pools["board"][0].submitted

    def test_a_server_is_used_again_when_its_time_is_over(self):
        """Guards against a server that stays unused after an overload."""
        pools = {"board": pools_of("board", answers)}
        self.quieten(pools["board"][0], quiet_s=-0.001)
        assert Scenario(route=route_of(), pools=pools).forwarder.run().status == 200

    def test_a_request_whose_servers_all_want_quiet_is_refused_with_the_soonest_time(self):
        """Guards against a wait until the deadline, and a time to come back that is too early."""
        pools = {"board": pools_of("board", answers, answers)}
        self.quieten(pools["board"][0], 9.0)
        self.quieten(pools["board"][1], 5.0)
        scenario = Scenario(route=route_of(), pools=pools)
        answer = scenario.forwarder.run()
        assert (answer.status, scenario.sent_count()) == (503, 0)
        assert 4.9 <= answer.retry_after_s <= 5.2

    def test_a_fan_out_answers_without_a_quiet_shard(self):
        """Guards against a query that fails although enough shards are left."""
        pools = {name: pools_of(name, answers) for name in "abcd"}
        self.quieten(pools["d"][0])
        began = time.monotonic()
        answer = Scenario(route=route_of(shards=tuple("abcd")), pools=pools).forwarder.run()
        assert (answer.status, answer.missing_shards) == (200, 1)
        assert time.monotonic() - began < TARGET_S / 2

    def test_a_fan_out_with_too_few_shards_left_names_the_time_at_which_enough_return(self):
        """Guards against a time at which still too few shards take requests."""
        pools = {name: pools_of(name, answers) for name in "abcd"}
        for shard, quiet_s in (("b", 9.0), ("c", 5.0), ("d", 2.0)):
            self.quieten(pools[shard][0], quiet_s)
        scenario = Scenario(route=route_of(shards=tuple("abcd")), pools=pools)
        answer = scenario.forwarder.run()
        assert (answer.status, scenario.sent_count()) == (503, 0)
        assert 4.9 <= answer.retry_after_s <= 5.2

    def test_a_server_that_asks_for_quiet_during_the_request_ends_it_with_the_time(self):
        """Guards against a refusal that sends the caller back before the server returns."""

        def asks_for_quiet(pool, attempt):
            self.quieten(pool)
            return refuses(pool, attempt)

        pools = {"board": pools_of("board", asks_for_quiet, asks_for_quiet)}
        scenario = Scenario(route=route_of(), pools=pools)
        answer = scenario.forwarder.run()
        assert (answer.status, scenario.sent_count()) == (503, 2)
        assert answer.retry_after_s >= 4.9
