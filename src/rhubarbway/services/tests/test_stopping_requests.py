"""Tests of requests that wait for a server when this host begins to stop, without a network."""

import threading
import time

import pytest

from rhubarbway.services.tests.test_request_forwarder import (
    Scenario,
    answers,
    hangs,
    loses,
    pools_of,
    route_of,
)

WAIT_S = 2.0


class StoppedScenario:
    """A request that waits at one server while its host begins to stop."""

    def __init__(self, *, respond=hangs, idempotent=True, begun=False):
        def sends_and_responds(pool, attempt):
            if begun:
                attempt.call_number = 1
            return respond(pool, attempt)

        pools = {"board": pools_of("board", sends_and_responds)}
        self.scenario = Scenario(route=route_of(idempotent=idempotent, max_attempts=1), pools=pools)
        self.pool = pools["board"][0]
        self.answer = None
        self.ended_at = 0.0
        forwarder = self.scenario.forwarder
        notice = self.scenario.context.stop_notice
        self.task = threading.Thread(target=self.run)
        with notice.watched(forwarder.inbox):
            self.task.start()
            deadline = time.monotonic() + WAIT_S
            while not self.pool.submitted and time.monotonic() < deadline:
                time.sleep(0.001)
            self.stopped_at = time.monotonic()
            notice.give(answer_by=self.stopped_at + 0.2)
            self.task.join()

    def run(self):
        self.answer = self.scenario.forwarder.run()
        self.ended_at = time.monotonic()


class TestWaitingRequest:
    def test_that_must_not_be_repeated_is_refused_at_once(self):
        """Guards against a request that waits at a stopping host which can no longer send it."""
        stopped = StoppedScenario(idempotent=False)
        assert stopped.answer.status == 503
        assert stopped.answer.retry_after_s > 0.0
        assert stopped.ended_at - stopped.stopped_at < 0.1
        assert stopped.pool.submitted[0].cancelled

    def test_that_may_be_repeated_is_refused_when_its_exchange_would_end_too_late(self):
        """Guards against a safe request that is sent so late that its reply is cut off."""
        stopped = StoppedScenario()
        assert stopped.answer.status == 503
        assert 0.1 < stopped.ended_at - stopped.stopped_at < 0.2

    def test_that_a_server_may_have_is_not_refused(self):
        """Guards against a refusal of a request that has run, or may still run."""
        stopped = StoppedScenario(idempotent=False, begun=True)
        assert stopped.answer.status == 504
        assert stopped.ended_at - stopped.stopped_at >= 0.2

    @pytest.mark.parametrize(("respond", "status"), [(answers, 200), (loses, 502)])
    def test_whose_attempt_has_ended_is_answered_as_usual(self, respond, status):
        """Guards against a stop that refuses requests whose outcome is known."""
        stopped = StoppedScenario(idempotent=False, respond=respond, begun=True)
        assert stopped.answer.status == status
