"""Tests of what happens to a shared connection while an attempt on it ends."""

import queue
import threading
import time

import pytest
from werkzeug.wrappers import Response

from rhubarbway.edge.http_server import HttpServer
from rhubarbway.model import (
    BackendServer,
    ExchangeEnd,
    ExecutionStatus,
    ForwardedRequest,
    ReplicaReply,
)
from rhubarbway.services.connection_tasks import ConnectionTasks
from rhubarbway.services.server_attempt import ServerAttempt
from rhubarbway.services.server_pool import ServerCodec, ServerConnection, ServerPool

WAIT_S = 5.0


class HeldAbort:
    """Stand-in for ``abort`` of a connection that waits, as a task without a processor does."""

    def __init__(self, connection):
        self.connection = connection
        self.begun = threading.Event()
        self.released = threading.Event()

    def abort(self, call_number):
        self.begun.set()
        self.released.wait(timeout=WAIT_S)
        self.connection.abort(call_number)


class CancelledAtStart(ServerAttempt):
    """An attempt whose cancellation begins as it gets its connection, and ends when released."""

    connection = property(lambda self: self.held, lambda self, http: self.set_connection(http))

    def set_connection(self, http):
        if http is None:
            self.held = None
            return
        self.held = HeldAbort(http)
        self.abort_call = self.held
        self.canceller = threading.Thread(target=self.cancel)
        self.canceller.start()
        assert self.held.begun.wait(WAIT_S)


class GatedPool:
    """A pool whose server answers once ``gate`` is set."""

    def __init__(self):
        self.gate = threading.Event()
        self.entered = threading.Event()
        self.server = HttpServer(
            address=("127.0.0.1", 0),
            handler=self.respond,
            error_handler=lambda status, detail: Response(detail, status=status),
            max_connections=4,
            name="server",
        )
        self.server.start()
        address = "{}:{}".format(*self.server.address)
        self.pool = ServerPool(
            server=BackendServer(
                id="i-1", service="desk", address=address, zone="z", slots=3, started_ms=1
            ),
            max_connections=1,
            codec=ServerCodec(encode=lambda *_, **__: ["Host: s"], decode=self.decode),
            tasks=ConnectionTasks(limit=4),
            observe=lambda *_: None,
            handle_notice=lambda *_: None,
        )
        self.connection = ServerConnection(address=address)
        self.outcomes = []

    def respond(self, request):
        self.entered.set()
        self.gate.wait(timeout=WAIT_S)
        return Response(b"answer")

    def decode(self, reply, request):
        return ReplicaReply(
            status=reply.status,
            headers=(),
            body=reply.body,
            signature="s",
            ran=ExecutionStatus.RUN,
        )

    def attempt(self, *, cls=ServerAttempt, timeout_s=WAIT_S):
        now = time.monotonic()
        request = ForwardedRequest(
            request_id="r",
            method="GET",
            host="h",
            target="/",
            received_at=now,
            deadline=now + timeout_s,
        )
        return cls(
            number=1,
            request=request,
            shard="desk",
            route_name="r",
            deadline=now + timeout_s,
            submitted_at=now,
            typical_s=0.01,
            deliver=lambda outcome: None,
        )

    def run(self, attempt):
        return self.pool.run_attempt(self.connection, attempt)

    def begin_next(self):
        """Run an attempt in a task of its own, and return once the server has its request."""
        next_attempt = self.attempt()
        task = threading.Thread(target=lambda: self.outcomes.append(self.run(next_attempt)))
        task.start()
        # A call that is refused before it begins sends no request.
        while task.is_alive() and not self.entered.wait(0.01):
            pass
        return task


@pytest.fixture
def gated_pool():
    running = GatedPool()
    yield running
    running.gate.set()
    running.connection.http.disconnect()
    running.server.stop(grace_s=1.0)


class TestLateCancel:
    def test_of_an_expired_attempt_ends_no_other_call(self, gated_pool):
        """Guards against a cancelled attempt that takes the next caller's call with it."""
        expired = gated_pool.attempt(timeout_s=-1.0)
        assert gated_pool.run(expired).end is ExchangeEnd.CANCELLED
        task = gated_pool.begin_next()
        expired.cancel()
        gated_pool.gate.set()
        task.join()
        assert [outcome.end for outcome in gated_pool.outcomes] == [ExchangeEnd.ANSWERED]

    @pytest.mark.parametrize("released_first", [True, False])
    def test_of_an_attempt_that_was_not_sent_ends_no_other_call(self, gated_pool, released_first):
        """Guards against an abort of a call that never began, which ends the next one."""
        cancelled = gated_pool.attempt(cls=CancelledAtStart)
        assert gated_pool.run(cancelled).end is ExchangeEnd.CANCELLED
        if released_first:
            cancelled.abort_call.released.set()
            cancelled.canceller.join()
        task = gated_pool.begin_next()
        cancelled.abort_call.released.set()
        cancelled.canceller.join()
        gated_pool.gate.set()
        task.join()
        assert [outcome.end for outcome in gated_pool.outcomes] == [ExchangeEnd.ANSWERED]


class EndingTasks(ConnectionTasks):
    """Keeps no connection idle, so that each task ends when no attempt is queued."""

    def try_keep_idle(self, connection, pool):
        return False


class TestEndingConnection:
    def test_an_attempt_submitted_while_the_connection_ends_is_sent(self, gated_pool):
        """Guards against an attempt that waits in a pool whose last connection has just ended."""
        pool = gated_pool.pool
        gated_pool.gate.set()
        first, second = gated_pool.attempt(), gated_pool.attempt()
        second.number = 2
        delivered = queue.SimpleQueue()
        second.deliver = delivered.put
        pool.tasks = EndingTasks(limit=4)
        first.deliver = lambda outcome: pool.submit(second)
        pool.submit(first)
        assert delivered.get(timeout=WAIT_S).end is ExchangeEnd.ANSWERED
