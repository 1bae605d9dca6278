"""Tests of the connection tasks against a stand-in replica behind the fault proxy.

Each test compares an outcome with the attempts that the replica ran. An attempt wrongly reported as
not run would let an unsafe request run twice.
"""

import queue
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from rhubarbway.edge.json_codec import decode_json
from rhubarbway.model import AttemptId, ExecutionStatus, OutcomeKind, Replica, SubQuery
from rhubarbway.services.replica_pool import Attempt, ReplicaPool
from rhubarbway_standins.backend import ReplicaServer, ReplicaSpec, RunHistory
from rhubarbway_standins.fault_proxy import REQUEST, RESPONSE, FaultProxy, Route
from rhubarbway_standins.processes import free_ports

PORTS = free_ports()
WAIT_S = 10.0
SUB_QUERY_PATH = "/v1/subquery"


class PoolHarness:
    """A pool with one connection, the fault proxy, and the stand-in replica."""

    def __init__(self, *, directory):
        self.history = directory / "history"
        address, listen = (f"127.0.0.1:{next(PORTS)}" for _ in range(2))
        self.spec = ReplicaSpec(
            name="r",
            address=address,
            zone="z",
            service="desk",
            layout="l1",
            shard=0,
            slots=2,
            connections=8,
            connect_ms=0.0,
            service_ms=1.0,
        )
        self.server = ReplicaServer(spec=self.spec, history=RunHistory(path=self.history), seed=1)
        self.proxy = FaultProxy(routes=[Route(name="r", listen=listen, upstream=address)])
        self.executor = ThreadPoolExecutor(8)
        replica = Replica(
            name="r", address=listen, zone="z", slots=2, connections=8, connect_ms=0.0
        )
        self.pool = ReplicaPool(replica=replica, in_flight_cap=1, spawn=self.executor.submit)
        self.outcomes = queue.SimpleQueue()
        self.counter = 0
        self.pool.preconnect()

    def submit(self, *, timeout_s=WAIT_S, cls=Attempt):
        """Submit an attempt and return it."""
        self.counter += 1
        attempt = cls(
            sub_query=SubQuery(
                attempt=AttemptId(host="e1", incarnation="aa", counter=self.counter),
                service="desk",
                layout="l1",
                shard=0,
                snapshot="s-000001",
                payload_json=b'{"q":%d}' % self.counter,
                deadline=time.monotonic() + timeout_s,
                unsafe=False,
            ),
            on_outcome=self.outcomes.put,
        )
        self.pool.submit(attempt)
        return attempt

    def run(self, *, timeout_s=WAIT_S):
        """Submit an attempt and return its outcome."""
        self.submit(timeout_s=timeout_s)
        return self.outcomes.get(timeout=WAIT_S)

    def ran(self):
        """Return the numbers of the attempts that the replica ran."""
        lines = self.history.read_bytes().splitlines()
        return [decode_json(line)["payload"]["q"] for line in lines]

    def wait_until(self, condition):
        """Wait until a condition holds; fail after ``WAIT_S``."""
        end = time.monotonic() + WAIT_S
        while not condition():
            assert time.monotonic() < end
            time.sleep(0.005)

    def stop(self):
        self.proxy.set_faults(None, RESPONSE)
        self.pool.close()
        self.executor.shutdown(wait=True)
        self.proxy.stop()
        self.server.server.stop(grace_s=0.0)


class CancelledAtStart(Attempt):
    """An attempt that is cancelled as it gets its connection; the abort waits for ``released``."""

    connection = property(lambda self: self.held, lambda self, opened: self.set_connection(opened))

    def set_connection(self, opened):
        if opened is None:
            self.held = None
            return
        self.opened, self.held = opened, self
        self.begun, self.released = threading.Event(), threading.Event()
        self.canceller = threading.Thread(target=self.cancel)
        self.canceller.start()
        assert self.begun.wait(WAIT_S)

    def abort(self, call_number):
        self.begun.set()
        self.released.wait(timeout=WAIT_S)
        self.opened.abort(call_number)


@pytest.fixture
def harness(tmp_path):
    running = PoolHarness(directory=tmp_path)
    try:
        assert running.run().kind is OutcomeKind.ANSWERED
        yield running
    finally:
        running.stop()


class TestOutcomes:
    def test_reset_before_the_replica_read_the_request(self, harness):
        """Guards against a reset connection whose attempt is reported as not run.

        The request was sent, so the pool cannot tell whether the replica read it.
        """
        harness.proxy.set_faults("r", REQUEST, cut=True, times=1, path=SUB_QUERY_PATH)
        outcome = harness.run()
        assert (outcome.kind, outcome.ran) == (OutcomeKind.CONNECTION_LOST, ExecutionStatus.UNKNOWN)
        assert harness.run().kind is OutcomeKind.ANSWERED
        assert harness.ran() == [1, 3]

    @pytest.mark.parametrize("size", [0, 30, 150])
    def test_stream_ends_inside_the_response(self, harness, size):
        """Guards against a cut response whose attempt is reported as not run."""
        harness.proxy.set_faults("r", RESPONSE, truncate=size, times=1, path=SUB_QUERY_PATH)
        outcome = harness.run()
        assert (outcome.kind, outcome.ran) == (OutcomeKind.CONNECTION_LOST, ExecutionStatus.UNKNOWN)
        assert harness.ran() == [1, 2]

    def test_response_that_never_arrives(self, harness):
        """Guards against a timeout whose attempt is reported as not run."""
        harness.proxy.set_faults("r", RESPONSE, drop=True, times=1)
        outcome = harness.run(timeout_s=0.3)
        assert (outcome.kind, outcome.ran) == (OutcomeKind.TIMED_OUT, ExecutionStatus.UNKNOWN)
        assert harness.ran() == [1, 2]

    def test_duplicated_response_is_not_taken_for_the_next_one(self, harness):
        """Guards against a duplicated response that becomes the answer of the next attempt."""
        for _ in range(10):
            harness.proxy.set_faults("r", RESPONSE, duplicate=True, times=1, path=SUB_QUERY_PATH)
            first, second = harness.run(), harness.run()
            for outcome in (first, second):
                if outcome.kind is OutcomeKind.ANSWERED:
                    assert decode_json(outcome.answer.items_json)[0]["q"] == outcome.attempt.counter
                else:
                    assert outcome.ran is ExecutionStatus.UNKNOWN

    @pytest.mark.parametrize(
        "fault, kind",
        [
            ("truncated", OutcomeKind.BAD_ANSWER),
            ("foreign", OutcomeKind.FOREIGN_ANSWER),
            ("altered", OutcomeKind.BAD_ANSWER),
            ("other_snapshot", OutcomeKind.FOREIGN_ANSWER),
            ("not_json", OutcomeKind.BAD_ANSWER),
            ("deep", OutcomeKind.BAD_ANSWER),
        ],
    )
    def test_wrong_body(self, harness, fault, kind):
        """Guards against accepting a damaged or foreign answer, and a pool unusable after one."""
        harness.spec.wrong_body = fault
        outcome = harness.run()
        assert (outcome.kind, outcome.ran, outcome.answer) == (kind, ExecutionStatus.UNKNOWN, None)
        harness.spec.wrong_body = None
        assert harness.run().kind is OutcomeKind.ANSWERED

    def test_refusal_that_echoes_another_attempt_proves_nothing(self, harness):
        """Guards against an attempt reported as not run because another attempt was refused."""
        harness.spec.wrong_body = "foreign_refusal"
        outcome = harness.run()
        assert (outcome.kind, outcome.ran) == (OutcomeKind.FOREIGN_ANSWER, ExecutionStatus.UNKNOWN)

    @pytest.mark.parametrize(
        "field, value, kind",
        [
            ("draining", True, OutcomeKind.DRAINING),
            ("shedding", True, OutcomeKind.SHED),
            ("snapshots", ["s-000002"], OutcomeKind.SNAPSHOT_ABSENT),
            ("layout", "l2", OutcomeKind.LAYOUT_ABSENT),
        ],
    )
    def test_refusal_was_not_run(self, harness, field, value, kind):
        """Guards against refused attempts that are reported as possibly run."""
        setattr(harness.spec, field, value)
        outcome = harness.run()
        assert (outcome.kind, outcome.ran) == (kind, ExecutionStatus.NOT_RUN)
        assert harness.ran() == [1]


class TestStatusBeforeWork:
    @pytest.mark.parametrize("fault", [{"cut": True}, {"truncate": 30}, {"drop": True}], ids=str)
    def test_failed_status_sends_nothing(self, harness, fault):
        """Guards against attempts sent to a replica that does not answer a status request."""
        harness.proxy.set_faults("r", RESPONSE, path="/v1/status", **fault)
        harness.pool.state.last_reply_at = float("-inf")
        outcome = harness.run()
        assert (outcome.kind, outcome.ran) == (OutcomeKind.CONNECT_FAILED, ExecutionStatus.NOT_RUN)
        assert harness.ran() == [1]

    def test_connection_that_died_while_idle_is_replaced(self, harness):
        """Guards against attempts that are sent on a closed connection.

        The pool may notice the loss at once and open another connection. The test therefore waits
        until the connection that it cuts is gone, not until there is none.
        """
        route_proxy = harness.proxy.route_proxies["r"]
        idle = set(route_proxy.connections)
        assert harness.proxy.cut("r") == len(idle) == 1
        harness.wait_until(lambda: idle.isdisjoint(route_proxy.connections))
        assert harness.run().kind is OutcomeKind.ANSWERED

    def test_unreachable_replica(self, harness):
        """Guards against an attempt reported as possibly run although nothing was sent."""
        harness.proxy.stop()
        outcome = harness.run()
        assert (outcome.kind, outcome.ran) == (OutcomeKind.CONNECT_FAILED, ExecutionStatus.NOT_RUN)


class TestUnexpectedExceptions:
    def test_an_unexpected_exception_does_not_end_the_task(self, harness, monkeypatch):
        """Guards against an exception that ends the connection task and leaves a query waiting."""
        monkeypatch.setattr(ReplicaPool, "run_attempt", lambda *_: 1 / 0)
        outcome = harness.run()
        assert (outcome.kind, outcome.ran) == (OutcomeKind.BAD_ANSWER, ExecutionStatus.UNKNOWN)
        monkeypatch.undo()
        assert harness.run().kind is OutcomeKind.ANSWERED


class TestCancellation:
    def test_attempt_cancelled_while_it_is_queued_was_not_run(self, harness):
        """Guards against sending an attempt that was cancelled while it was queued."""
        harness.proxy.set_faults("r", RESPONSE, freeze=True)
        first, second = harness.submit(), harness.submit()
        second.cancel()
        first.cancel()
        outcomes = {}
        for _ in range(2):
            outcome = harness.outcomes.get(timeout=WAIT_S)
            outcomes[outcome.attempt.counter] = outcome
        assert outcomes[3].kind is OutcomeKind.CANCELLED
        assert outcomes[3].ran is ExecutionStatus.NOT_RUN
        assert 3 not in harness.ran()

    def test_attempt_cancelled_after_sending_may_have_run(self, harness):
        """Guards against a cancelled attempt that is reported as not run after it was sent."""
        harness.proxy.set_faults("r", RESPONSE, freeze=True)
        attempt = harness.submit()
        harness.wait_until(lambda: harness.ran() == [1, 2])
        attempt.cancel()
        outcome = harness.outcomes.get(timeout=WAIT_S)
        assert (outcome.kind, outcome.ran) == (OutcomeKind.CANCELLED, ExecutionStatus.UNKNOWN)

    def test_late_cancel_of_an_attempt_that_was_not_sent_ends_no_other_call(self, harness):
        """Guards against an abort of a call that never began, which ends the next one."""
        cancelled = harness.submit(cls=CancelledAtStart)
        assert harness.outcomes.get(timeout=WAIT_S).kind is OutcomeKind.CANCELLED
        harness.proxy.set_faults("r", RESPONSE, freeze=True)
        harness.submit()
        harness.wait_until(lambda: harness.ran() == [1, 3])
        cancelled.released.set()
        cancelled.canceller.join()
        harness.proxy.set_faults("r", RESPONSE)
        assert harness.outcomes.get(timeout=WAIT_S).kind is OutcomeKind.ANSWERED

    def test_attempt_whose_deadline_passed_is_not_sent(self, harness):
        """Guards against sending an attempt whose caller no longer waits."""
        outcome = harness.run(timeout_s=0.0)
        assert (outcome.kind, outcome.ran) == (OutcomeKind.TIMED_OUT, ExecutionStatus.NOT_RUN)
        assert harness.ran() == [1]


class TestClosing:
    def test_attempt_of_a_query_that_started_before_the_pool_closed_is_run(self, harness):
        """Guards against an attempt that never ends because a manifest closed its pool.

        A query keeps its manifest, so it may choose a replica that a newer manifest removed.
        """
        harness.pool.close()
        assert [harness.run().kind for _ in range(3)] == [OutcomeKind.ANSWERED] * 3
        harness.executor.shutdown(wait=True)
        assert harness.pool.requests.empty()
