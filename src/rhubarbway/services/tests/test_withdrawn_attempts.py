"""Tests of attempts that wait for a server which drains, without a network."""

import copy
import time

import pytest

from rhubarbway.model import ExchangeEnd, ExecutionStatus
from rhubarbway.services.servers import DEFAULT_CONNECTION_LIMIT
from rhubarbway.services.tests.test_request_forwarder import (
    Scenario,
    hangs,
    pools_of,
    route_of,
    withdraws,
)
from rhubarbway.services.tests.test_servers import SERVER, RunningServers

WAITING = 2


class RunningAttempt:
    """An attempt that keeps a server busy."""

    def __init__(self, *, exchange_s):
        self.number = -1
        self.priority = 0
        self.is_extra = False
        self.exchange_s = exchange_s


def drain(running):
    draining = copy.copy(SERVER)
    draining.draining = True
    running.register(draining)


def remove(running):
    running.service.update([], [SERVER.id])


class TestClosedPool:
    @pytest.mark.parametrize("end", [drain, remove])
    def test_gives_back_the_attempts_that_wait(self, end):
        """Guards against requests that reach a server from a queue after it drains (DRAIN)."""
        running = RunningServers()
        for number in range(DEFAULT_CONNECTION_LIMIT + WAITING):
            running.submit(number)
        end(running)
        assert [(outcome.end, outcome.ran) for outcome in running.outcomes] == [
            (ExchangeEnd.WITHDRAWN, ExecutionStatus.NOT_RUN)
        ] * WAITING

    def test_takes_no_attempt_that_has_chosen_it_before(self):
        """Guards against an attempt that waits in a pool which is closed already."""
        running = RunningServers()
        pool = running.pool()
        drain(running)
        running.pool = lambda: pool
        running.submit(1)
        assert [outcome.end for outcome in running.outcomes] == [ExchangeEnd.WITHDRAWN]
        assert not pool.state.in_flight and not pool.connection_count

    def test_gives_back_the_attempts_whose_connection_waits_for_a_task(self):
        """Guards against a request that waits for a task after its server drains."""
        running = RunningServers()
        running.service.tasks.set_limit(0)
        pool = running.pool()
        running.submit(1)
        assert pool.connection_count == 1
        drain(running)
        assert [outcome.end for outcome in running.outcomes] == [ExchangeEnd.WITHDRAWN]
        assert not pool.connection_count and not pool.state.load.running
        assert not running.service.tasks.waiting


class TestReplacement:
    def replacement(self, *, exchange_s):
        """Return the answer to a request that is withdrawn, and the attempts at the other server.

        That server is busy with exchanges of ``exchange_s``.
        """
        pools = {"board": pools_of("board", withdraws, hangs)}
        scenario = Scenario(route=route_of(idempotent=False, max_attempts=1), pools=pools)
        state = pools["board"][1].state
        state.slowness = 2.0
        state.max_connections = 1
        now = time.monotonic()
        state.load.start(RunningAttempt(exchange_s=exchange_s), now)
        answer = scenario.forwarder.run()
        return answer, pools["board"][1].submitted, time.monotonic() - now

    def test_has_the_rank_of_a_first_attempt(self):
        """Guards against withdrawn requests that wait behind all later ones."""
        _, submitted, _ = self.replacement(exchange_s=0.1)
        assert [attempt.is_extra for attempt in submitted] == [False]

    def test_is_not_sent_if_its_turn_would_come_too_late(self):
        """Guards against a withdrawn request that waits until its deadline for a full server."""
        answer, submitted, took_s = self.replacement(exchange_s=5.0)
        assert answer.status == 503 and not submitted
        assert took_s < 0.3
