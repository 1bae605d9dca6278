"""Tests of the connections to servers and delegates with a server that sends an answer twice.

Over real sockets; ``edge/tests/test_second_reply.py`` has those of the connection classes.
"""

import queue
import time

import pytest

from rhubarbway.model import BackendServer, ExchangeEnd, ExecutionStatus, ForwardedRequest
from rhubarbway.platform.delegated_requests import delegated_request_encoder, reply_from_delegate
from rhubarbway.platform.replicas import notice_from_http, reply_from_http, request_header_lines
from rhubarbway.services.connection_tasks import ConnectionTasks
from rhubarbway.services.server_attempt import ServerAttempt
from rhubarbway.services.server_pool import ServerCodec, ServerPool
from rhubarbway_standins.stuttering_server import (
    STUTTERS,
    Stutter,
    StutteringServer,
    header,
    response,
)

TIMEOUT_S = 10.0
SERVER_CODEC = ServerCodec(
    encode=request_header_lines, decode=reply_from_http, decode_notice=notice_from_http
)
DELEGATE_CODEC = ServerCodec(
    encode=delegated_request_encoder(version=lambda: 1, return_time_s=lambda server: 0.0),
    decode=reply_from_delegate,
)


def request_id(head):
    return header(head, b"x-request-id").decode()


def echo(head, body):
    """Answer with the id and the body of the request."""
    number = request_id(head)
    return response(b"r" + body, f"X-Request-Id: {number}", f"X-Server-Stamp: s{number}")


class PoolHarness:
    """A pool with one connection to a server that answers twice."""

    def __init__(self, stutter, *, answer=echo, codec=SERVER_CODEC, acknowledgement_timeout_s=None):
        self.server = StutteringServer(answer=answer, stutter=stutter)
        self.tasks = ConnectionTasks(limit=4)
        self.unexpected = []
        self.tasks.report_unexpected_data = lambda side, peer: self.unexpected.append(side)
        self.notices = []
        self.outcomes = queue.SimpleQueue()
        self.pool = ServerPool(
            server=BackendServer(
                id="i-1", service="desk", address=self.server.address, zone="z", slots=1
            ),
            max_connections=1,
            codec=codec,
            tasks=self.tasks,
            observe=lambda attempt, outcome: None,
            handle_notice=lambda pool, notice: self.notices.append(notice),
            acknowledgement_timeout_s=acknowledgement_timeout_s,
        )

    def run(self, number):
        """Send request ``number``, whose body is the number; return the outcome."""
        now = time.monotonic()
        request = ForwardedRequest(
            request_id=f"q-{number}",
            method="POST",
            target="/",
            host="h",
            body=b"%d" % number,
            received_at=now,
            deadline=now + TIMEOUT_S,
        )
        attempt = ServerAttempt(
            number=number,
            request=request,
            shard="desk",
            route_name="r",
            deadline=now + TIMEOUT_S,
            submitted_at=now,
            typical_s=0.01,
            deliver=self.outcomes.put,
        )
        self.pool.submit(attempt)
        return self.outcomes.get(timeout=2 * TIMEOUT_S)

    def stop(self):
        self.pool.close()
        self.tasks.executor.shutdown(wait=True)
        self.server.stop()


@pytest.fixture
def start():
    """Return a function that starts a harness, which stops at the end of the test."""
    running = []

    def start_harness(*args, **options):
        running.append(PoolHarness(*args, **options))
        return running[-1]

    yield start_harness
    for harness in running:
        harness.stop()


class TestServer:
    @pytest.mark.parametrize("name", STUTTERS)
    def test_no_request_gets_the_answer_of_another(self, start, name):
        """Guards against a caller that gets an answer which is not its own, or not whole."""
        harness = start(STUTTERS[name])
        outcomes = [harness.run(number) for number in (1, 2, 3)]
        for number, outcome in enumerate(outcomes, start=1):
            if outcome.end is ExchangeEnd.ANSWERED:
                assert outcome.reply.body == b"r%d" % number
                assert outcome.reply.signature == f"sq-{number}"
            else:
                assert (number, outcome.ran) == (2, ExecutionStatus.UNKNOWN)
                assert outcome.reply is None
        assert harness.server.connection_count == 2
        # A copy is counted by the end of the attempt or as unexpected data. The answer behind one
        # that was taken for the reply is unexpected data as well, if it arrives with it.
        if outcomes[1].end is ExchangeEnd.ANSWERED:
            assert harness.unexpected == ["server"]
        else:
            assert harness.unexpected in ([], ["server"])

    def test_a_late_refusal_says_nothing_about_the_next_request(self, start):
        """Guards against a request that has run, but is refused or sent once more."""

        def refuse_first(head, body):
            number = request_id(head)
            headers = (f"X-Request-Id: {number}", "Retry-After: 1", "X-Not-Executed: 1")
            if number == "q-1":
                return response(b"", *headers, status="503 Service Unavailable")
            return echo(head, body)

        harness = start(STUTTERS["after_next_request"], answer=refuse_first)
        assert harness.run(1).ran is ExecutionStatus.NOT_RUN
        outcome = harness.run(2)
        assert (outcome.end, outcome.ran) == (ExchangeEnd.FOREIGN, ExecutionStatus.UNKNOWN)
        assert harness.run(3).end is ExchangeEnd.ANSWERED
        # The time for which the server wants no requests does not begin again with a copy.
        assert len(harness.notices) == 1


def answer_as_delegate(head, body):
    return response(b"r" + body, f"X-Request-Id: {request_id(head)}", "X-Part-Stamps: s")


def refuse_as_delegate(head, body):
    """Refuse the first request as a delegate does, and answer the others."""
    if request_id(head) != "q-1":
        return answer_as_delegate(head, body)
    return response(b"", f"X-Request-Id: {request_id(head)}", status="503 Service Unavailable")


class TestDelegate:
    def start_delegate(self, start, stutter, answer=answer_as_delegate):
        return start(stutter, answer=answer, codec=DELEGATE_CODEC, acknowledgement_timeout_s=1.0)

    @pytest.mark.parametrize("name", STUTTERS)
    @pytest.mark.parametrize("answer", [answer_as_delegate, refuse_as_delegate])
    def test_no_request_gets_the_answer_of_another(self, start, name, answer):
        """Guards against a search that gets the answer of another one, or runs on both hosts.

        The delegate runs each whole request that it gets, but the first one.
        """
        harness = self.start_delegate(start, STUTTERS[name], answer)
        outcomes = [harness.run(number) for number in (1, 2, 3)]
        received = [request_id(head) for head in harness.server.requests]
        for number, outcome in enumerate(outcomes[1:], start=2):
            if outcome.ran is ExecutionStatus.NOT_RUN:
                assert f"q-{number}" not in received
                assert outcome.reply is None or outcome.reply.body == b""
            elif outcome.end is ExchangeEnd.ANSWERED:
                assert outcome.reply.body == b"r%d" % number
            else:
                assert (number, outcome.reply) == (2, None)
        assert harness.server.connection_count == 2

    @pytest.mark.parametrize("answer", [answer_as_delegate, refuse_as_delegate])
    def test_a_reply_before_the_body_was_sent_is_a_refusal(self, start, answer):
        """Guards against a search that fails although its delegate cannot have run it."""
        harness = self.start_delegate(start, Stutter(moment="next_head"), answer)
        harness.run(1)
        outcome = harness.run(2)
        assert (outcome.end, outcome.ran) == (ExchangeEnd.REFUSED, ExecutionStatus.NOT_RUN)
        assert harness.run(3).reply.body == b"r3"
        assert harness.server.connection_count == 2
