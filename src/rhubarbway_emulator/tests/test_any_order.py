"""Property tests of forwarding: servers answer, refuse, lose replies and hang in any order.

The production forwarding code runs in virtual time, on several hosts that share one retry budget;
no host knows how many attempts the others have sent. The test records what the servers did,
independently of what the hosts learn, and compares it with the answers to the callers.
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
from rhubarbway_emulator.hosts import NullLog

HOSTS = 3
RETRY_RATIO = 0.2
RETRY_ALLOWANCE = 9.0
WINDOW_S = 10.0
TARGET_S = 0.1
DEADLINE_S = 0.5
SHARDS = ("a", "b", "c", "d")
SERVERS_PER_SERVICE = 4
# A connection task of a busy host may report a timeout this late, seconds.
TIMEOUT_REPORT_DELAY_S = 1.0

# End of an exchange, execution status known to the host, and whether the server ran the request.
EXCHANGE_ENDS = (
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
STATUS_BY_END = {ExchangeEnd.ANSWERED: 200, ExchangeEnd.FAILED: 500, ExchangeEnd.REFUSED: 503}

# One exchange: its end, and its duration in milliseconds.
EXCHANGES = st.lists(
    st.tuples(st.sampled_from(EXCHANGE_ENDS), st.integers(1, 60) | st.integers(1, 900)),
    min_size=1,
    max_size=30,
)
# One request: milliseconds since the previous one, index of the host, and kind.
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
    """A request that reached a server: when, and whether the server ran it."""

    __slots__ = ("at", "end", "ran", "request_id", "service")

    def __init__(self, *, request_id, service, at, ran, end):
        self.request_id = request_id
        self.service = service
        self.at = at
        self.ran = ran
        self.end = end


class ForwardingSimulation:
    """Scripted servers, the hosts, and the recorded arrivals and answers."""

    def __init__(self, *, exchanges):
        self.clock = VirtualClock()
        self.exchanges = exchanges
        self.exchange_count = 0
        self.arrivals = []
        self.answers = {}
        self.hosts = [self.build_context(number) for number in range(HOSTS)]

    def build_context(self, number):
        pools = {
            service: [
                ScriptedPool(simulation=self, server_id=f"{service}-{copy}", service=service)
                for copy in range(SERVERS_PER_SERVICE)
            ]
            for service in (*SHARDS, "board")
        }
        budget = SlidingWindowBudget(
            ratio=RETRY_RATIO, allowance=RETRY_ALLOWANCE, window_s=WINDOW_S, host_count=HOSTS
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
            log=NullLog(),
            clock=self.clock.time,
        )

    def next_exchange(self):
        self.exchange_count += 1
        return self.exchanges[self.exchange_count % len(self.exchanges)]

    def send_request(self, request_id, host, route):
        inbox = VirtualInbox(clock=self.clock)
        request = ForwardedRequest(
            request_id=request_id,
            method="GET",
            target="/x",
            host="h",
            received_at=self.clock.now,
            deadline=self.clock.now + DEADLINE_S,
        )
        forwarder = RequestForwarder(
            request=request,
            digest=request_id,
            route=route,
            services=route.shards or ("board",),
            inbox=inbox,
            context=host,
        )
        self.answers[request_id] = (route, forwarder.run(), self.clock.now - request.received_at)

    def run(self, requests):
        at = 0.0
        for number, (step_ms, host, kind) in enumerate(requests):
            at += step_ms / 1000
            route = ROUTES[kind]
            self.clock.spawn_at(
                at, lambda n=number, h=host, r=route: self.send_request(f"r{n}", self.hosts[h], r)
            )
        self.clock.run()
        self.clock.close()


class ScriptedPool:
    """A pool whose exchanges end as scripted."""

    def __init__(self, *, simulation, server_id, service):
        self.simulation = simulation
        self.server = BackendServer(
            id=server_id, service=service, address="10.0.0.1:1", zone="z", slots=3
        )
        self.state = ServerState(server=self.server, now=0.0)

    def submit(self, attempt):
        (end, ran, server_ran), after_ms = self.simulation.next_exchange()
        clock = self.simulation.clock
        self.state.record_sent(attempt.number, clock.now)
        attempt.waiting_since = clock.now
        ended = []
        if end not in (ExchangeEnd.CONNECT_FAILED, ExchangeEnd.MISDIRECTED):
            self.simulation.arrivals.append(
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
            status = STATUS_BY_END.get(end)
            reply = None
            if status is not None:
                signature = f"{attempt.shard}:{attempt.request.request_id}" if status == 200 else ""
                reply = ReplicaReply(
                    status=status, headers=(), body=b"r" * 16, signature=signature, ran=ran
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

        class Connection:
            """Closed by ``ServerAttempt.cancel``; whether the request ran is then unknown."""

            def abort(self, call_number):
                finish(ExchangeEnd.CANCELLED, ExecutionStatus.UNKNOWN)

        attempt.connection = Connection()
        clock.call_at(clock.now + after_ms / 1000, lambda: finish(end, ran))
        late_at = attempt.deadline + TIMEOUT_REPORT_DELAY_S
        clock.call_at(late_at, lambda: finish(ExchangeEnd.TIMED_OUT, ExecutionStatus.UNKNOWN))


def build_route(name, *, idempotent=True, shards=()):
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
    "safe": build_route("safe"),
    "unsafe": build_route("unsafe", idempotent=False),
    "fan_out": build_route("fan_out", shards=SHARDS),
}


class TestForwarding:
    @settings(max_examples=200, deadline=None)
    @given(exchanges=EXCHANGES, requests=REQUESTS)
    # One shard of four stays silent, so that the answer is partial.
    @example(
        exchanges=[
            (EXCHANGE_ENDS[-1], 900),
            *[(EXCHANGE_ENDS[0], 5)] * 3,
            (EXCHANGE_ENDS[-1], 900),
        ],
        requests=[(0, 0, "fan_out")],
    )
    def test_guarantees_hold_for_any_order_of_exchanges(self, exchanges, requests):
        """Guards against broken guarantees to callers and servers.

        - An unsafe request runs at most once.
        - A request whose status says that it was not run was not run.
        - Each answer arrives by the deadline.
        - No shard gets more attempts than the route allows.
        - A merged answer counts only shards whose replies it contains.
        - The extra attempts of all hosts stay within the retry budget.
        """
        simulation = ForwardingSimulation(exchanges=exchanges)
        simulation.run(requests)
        assert len(simulation.answers) == len(requests)
        by_request = defaultdict(list)
        for arrival in simulation.arrivals:
            by_request[arrival.request_id].append(arrival)
        for request_id, (route, answer, latency) in simulation.answers.items():
            arrivals = by_request[request_id]
            ran = sum(arrival.ran for arrival in arrivals)
            if not route.idempotent:
                assert ran <= 1
            if answer.status in NOT_RUN_STATUSES:
                assert ran == 0
            assert latency <= DEADLINE_S + 1e-6
            for service in route.services:
                sent = [arrival for arrival in arrivals if arrival.service == service]
                assert len(sent) <= route.max_attempts
            if route.shards and answer.status == 200:
                self.check_merged_answer(request_id, route, answer)
        self.check_retry_budget(simulation.arrivals, requests)

    def check_merged_answer(self, request_id, route, answer):
        """Check that each part of a merged answer is one shard's reply to this request."""
        shards = [signature.partition(":")[0] for signature in answer.signatures]
        assert all(signature.partition(":")[2] == request_id for signature in answer.signatures)
        assert len(set(shards)) == len(shards) == len(route.shards) - answer.missing_shards
        assert len(shards) >= route.min_coverage * len(route.shards)

    def check_retry_budget(self, arrivals, requests):
        """Check that no window holds more extra arrivals, over all hosts, than the requests of
        this window and the previous one allow."""
        request_times, at = [], 0.0
        for step_ms, _, kind in requests:
            at += step_ms / 1000
            request_times.append((at, kind))
        seen, extra_arrivals = set(), defaultdict(list)
        for arrival in sorted(arrivals, key=lambda arrival: arrival.at):
            key = (arrival.request_id, arrival.service)
            if key in seen:
                extra_arrivals[arrival.service].append(arrival.at)
            seen.add(key)
        for service, instants in extra_arrivals.items():
            kinds = ("fan_out",) if service in SHARDS else ("safe", "unsafe")
            for end in instants:
                sent = sum(end - WINDOW_S < instant <= end for instant in instants)
                counted = sum(
                    end - 2 * WINDOW_S < at <= end for at, kind in request_times if kind in kinds
                )
                assert sent <= RETRY_RATIO * counted + RETRY_ALLOWANCE
