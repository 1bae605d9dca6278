"""Requests through servers that answer, refuse, lose and hang in any order.

The real forwarding code runs in virtual time, on hosts that do not count together. What servers
did is recorded apart from what the hosts were told, and compared with what callers got.
"""

from collections import defaultdict
from random import Random

from hypothesis import example, given, settings
from hypothesis import strategies as st

from rhubarbway.decisions.forward_answers import NOT_RUN_STATUSES
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
from rhubarbway.services.crashing_requests import CrashingRequestService
from rhubarbway.services.forwarding_context import ForwardingContext
from rhubarbway.services.invariants import require
from rhubarbway.services.request_forwarder import RequestForwarder
from rhubarbway.services.shared_retry_budget import SharedRetryBudget
from rhubarbway_emulator.clock import VirtualClock, VirtualInbox
from rhubarbway_emulator.hosts import QuietLog

HOSTS = 3
RATIO = 0.2
ALLOWANCE = 9.0
WINDOW_S = 10.0
TARGET_S = 0.1
DEADLINE_S = 0.5
SHARDS = ("a", "b", "c", "d")
SERVERS_EACH = 4
# A connection task of a busy host may report a time limit this late, seconds.
LATE_REPORT_S = 1.0

# How an exchange ends, what the host can know of it, and whether the server ran the request.
ENDS = (
    (ExchangeEnd.ANSWERED, ExecutionStatus.RUN, True),
    (ExchangeEnd.FAILED, ExecutionStatus.RUN, True),
    (ExchangeEnd.REFUSED, ExecutionStatus.NOT_RUN, False),
    (ExchangeEnd.MISDIRECTED, ExecutionStatus.NOT_RUN, False),
    (ExchangeEnd.CONNECT_FAILED, ExecutionStatus.NOT_RUN, False),
    (ExchangeEnd.LOST, ExecutionStatus.UNKNOWN, True),
    (ExchangeEnd.LOST, ExecutionStatus.UNKNOWN, False),
    (ExchangeEnd.FOREIGN, ExecutionStatus.UNKNOWN, True),
    (ExchangeEnd.TIMED_OUT, ExecutionStatus.UNKNOWN, True),
)
STATUS_OF_END = {ExchangeEnd.ANSWERED: 200, ExchangeEnd.FAILED: 500, ExchangeEnd.REFUSED: 503}

# One exchange: its end, and after how many milliseconds.
EXCHANGES = st.lists(
    st.tuples(st.sampled_from(ENDS), st.integers(1, 60) | st.integers(1, 900)),
    min_size=1,
    max_size=30,
)
# One request: milliseconds since the one before, host, and its kind.
REQUESTS = st.lists(
    st.tuples(
        st.integers(0, 100) | st.integers(0, 2000),
        st.integers(0, HOSTS - 1),
        st.sampled_from(["safe", "unsafe", "fan_out"]),
    ),
    min_size=1,
    max_size=40,
)


class Arrival:
    """What a server got: the request, when, and whether it ran it."""

    __slots__ = ("at", "end", "ran", "request_id", "service")

    def __init__(self, *, request_id, service, at, ran, end):
        self.request_id = request_id
        self.service = service
        self.at = at
        self.ran = ran
        self.end = end


class World:
    """Servers that follow a script, the hosts, and what happened."""

    def __init__(self, *, exchanges):
        self.clock = VirtualClock()
        self.exchanges = exchanges
        self.count = 0
        self.arrivals = []
        self.answers = {}
        self.hosts = [self.host(number) for number in range(HOSTS)]

    def host(self, number):
        pools = {
            service: [
                ScriptedPool(world=self, server_id=f"{service}-{copy}", service=service)
                for copy in range(SERVERS_EACH)
            ]
            for service in (*SHARDS, "board")
        }
        budget = SlidingWindowBudget(
            ratio=RATIO, allowance=ALLOWANCE, window_s=WINDOW_S, hosts=HOSTS
        )
        numbers = iter(range(1, 10_000))
        return ForwardingContext(
            pools_of=lambda service: pools[service],
            zone="z",
            budget=SharedRetryBudget(budget=budget),
            next_attempt_number=lambda: next(numbers),
            hedge_delay_s=lambda route: 0.03,
            typical_s=lambda route: 0.01,
            processing_s=lambda route: 0.0,
            crashing_requests=CrashingRequestService(),
            random=Random(number),
            expect=require,
            log=QuietLog(),
            clock=self.clock.time,
        )

    def next_exchange(self):
        self.count += 1
        return self.exchanges[self.count % len(self.exchanges)]

    def ask(self, request_id, host, route):
        inbox = VirtualInbox(clock=self.clock)
        request = ForwardedRequest(
            request_id=request_id,
            method="GET",
            target="/x",
            host="h",
            received_at=self.clock.now,
            deadline=self.clock.now + DEADLINE_S,
        )
        run = RequestForwarder(
            request=request,
            digest=request_id,
            route=route,
            services=route.shards or ("board",),
            inbox=inbox,
            context=host,
        )
        self.answers[request_id] = (route, run.run(), self.clock.now - request.received_at)

    def play(self, requests):
        at = 0.0
        for number, (step_ms, host, kind) in enumerate(requests):
            at += step_ms / 1000
            route = ROUTES[kind]
            self.clock.spawn_at(
                at, lambda n=number, h=host, r=route: self.ask(f"r{n}", self.hosts[h], r)
            )
        self.clock.run()
        self.clock.close()


class ScriptedPool:
    """A pool whose exchanges end as the script says."""

    def __init__(self, *, world, server_id, service):
        self.world = world
        self.server = BackendServer(
            id=server_id, service=service, address="10.0.0.1:1", zone="z", slots=3
        )
        self.state = ServerState(server=self.server, now=0.0)

    def submit(self, attempt):
        (end, ran, server_ran), after_ms = self.world.next_exchange()
        clock = self.world.clock
        self.state.record_sent(attempt.number, clock.now)
        attempt.waiting_since = clock.now
        ended = []
        if end not in (ExchangeEnd.CONNECT_FAILED, ExchangeEnd.MISDIRECTED):
            self.world.arrivals.append(
                Arrival(
                    request_id=attempt.request.request_id,
                    service=attempt.shard,
                    at=clock.now,
                    ran=server_ran,
                    end=end,
                )
            )

        def finish(end, ran):
            if ended:
                return
            ended.append(end)
            status = STATUS_OF_END.get(end)
            reply = None
            if status is not None:
                proof = f"{attempt.shard}:{attempt.request.request_id}" if status == 200 else ""
                reply = ReplicaReply(
                    status=status, headers=(), body=b"r" * 16, signature=proof, ran=ran
                )
            outcome = ExchangeOutcome(
                attempt=attempt.number,
                shard=attempt.shard,
                server=self.server.id,
                end=end,
                ran=ran,
                latency_s=clock.now - attempt.latency_start,
                reply=reply,
            )
            self.state.record_outcome(outcome, typical_s=attempt.typical_s, now=clock.now)
            attempt.deliver(outcome)

        class Line:
            """What ``ServerAttempt.cancel`` closes; the host then cannot know what ran."""

            def abort(self, call_number):
                finish(ExchangeEnd.CANCELLED, ExecutionStatus.UNKNOWN)

        attempt.connection = Line()
        clock.call_at(clock.now + after_ms / 1000, lambda: finish(end, ran))
        late_at = attempt.deadline + LATE_REPORT_S
        clock.call_at(late_at, lambda: finish(ExchangeEnd.TIMED_OUT, ExecutionStatus.UNKNOWN))


def route(name, *, idempotent=True, shards=()):
    return Route(
        name=name,
        host="h",
        path_prefix="/",
        idempotent=idempotent,
        timeout_s=0.6,
        target_latency_s=TARGET_S,
        max_attempts=3,
        split=() if shards else (SplitPart(service="board", weight=1.0),),
        shards=shards,
        record_limit=4,
        min_coverage=0.75,
    )


ROUTES = {
    "safe": route("safe"),
    "unsafe": route("unsafe", idempotent=False),
    "fan_out": route("fan_out", shards=SHARDS),
}


class TestAnyOrder:
    @settings(max_examples=200, deadline=None)
    @given(exchanges=EXCHANGES, requests=REQUESTS)
    # One shard of four stays silent, so that the answer is partial.
    @example(
        exchanges=[(ENDS[-1], 900), *[(ENDS[0], 5)] * 3, (ENDS[-1], 900)],
        requests=[(0, 0, "fan_out")],
    )
    def test_promises_hold(self, exchanges, requests):
        """Guards against second runs of unsafe requests, refusals that are not true, answers that
        claim parts they lack, late ends, and more further attempts than all hosts may send."""
        world = World(exchanges=exchanges)
        world.play(requests)
        assert len(world.answers) == len(requests)
        by_request = defaultdict(list)
        for arrival in world.arrivals:
            by_request[arrival.request_id].append(arrival)
        for request_id, (asked, answer, took_s) in world.answers.items():
            arrivals = by_request[request_id]
            ran = sum(arrival.ran for arrival in arrivals)
            if not asked.idempotent:
                assert ran <= 1
            if answer.status in NOT_RUN_STATUSES:
                assert ran == 0
            assert took_s <= DEADLINE_S + 1e-6
            for service in asked.services:
                sent = [arrival for arrival in arrivals if arrival.service == service]
                assert len(sent) <= asked.max_attempts
            if asked.shards and answer.status == 200:
                self.check_parts(request_id, asked, answer)
        self.check_shares(world.arrivals, requests)

    def check_parts(self, request_id, asked, answer):
        """Each part of a merged answer is one shard's own reply to this request."""
        shards = [proof.partition(":")[0] for proof in answer.signatures]
        assert all(proof.partition(":")[2] == request_id for proof in answer.signatures)
        assert len(set(shards)) == len(shards) == len(asked.shards) - answer.missing_shards
        assert len(shards) >= asked.min_coverage * len(asked.shards)

    def check_shares(self, arrivals, requests):
        """No window holds more arrivals beyond the first than its requests and the window before
        allow, over all hosts."""
        asked, at = [], 0.0
        for step_ms, _, kind in requests:
            at += step_ms / 1000
            asked.append((at, kind))
        seen, extras = set(), defaultdict(list)
        for arrival in sorted(arrivals, key=lambda found: found.at):
            key = (arrival.request_id, arrival.service)
            if key in seen:
                extras[arrival.service].append(arrival.at)
            seen.add(key)
        for service, instants in extras.items():
            kinds = ("fan_out",) if service in SHARDS else ("safe", "unsafe")
            for end in instants:
                sent = sum(end - WINDOW_S < instant <= end for instant in instants)
                counted = sum(end - 2 * WINDOW_S < at <= end for at, kind in asked if kind in kinds)
                assert sent <= RATIO * counted + ALLOWANCE
