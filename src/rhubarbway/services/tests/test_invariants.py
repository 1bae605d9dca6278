"""Checks of what must always hold: each is seen to fail when its decision is wrong."""

import pytest

from rhubarbway.decisions.arrival_budget import ArrivalBudget
from rhubarbway.kernel import Kernel
from rhubarbway.model import CallerLimits, ForwardedAnswer, RoutingTable
from rhubarbway.services import forward_run
from rhubarbway.services.forward_run import ForwardRun
from rhubarbway.services.invariants import BrokenInvariant, InvariantService
from rhubarbway.services.metrics import MetricsService
from rhubarbway.services.names import INVARIANTS, METRICS, ROUTING
from rhubarbway.services.routing import RoutingService
from rhubarbway.services.tests.test_forward_run import (
    Setting,
    answers,
    loses,
    pools_of,
    route_of,
)


def table(version):
    limits = CallerLimits(
        max_header_bytes=1000, max_body_bytes=1000, header_timeout_s=1.0, idle_timeout_s=1.0
    )
    return RoutingTable(version=version, routes=(), max_connections={}, limits=limits)


class Lines:
    """A log that keeps its lines."""

    def __init__(self):
        self.found = []

    def error(self, event, **details):
        self.found.append(details)

    def info(self, event, **details):
        pass


@pytest.fixture
def kernel():
    running = Kernel()
    running.register(METRICS, MetricsService())
    service = running.register(INVARIANTS, InvariantService())
    service.log = Lines()
    routing = running.register(ROUTING, RoutingService())
    routing.log = Lines()
    running.start()
    yield running
    running.stop()


class TestInvariantService:
    def test_all_cases_are_counted_and_few_are_logged(self, kernel):
        """Guards against a fault at each request that fills the log."""
        service = kernel.find(INVARIANTS)
        for number in range(5):
            service.expect(number == 0, "some_check", request_id=f"r{number}")
        text = kernel.find(METRICS).exposition().decode()
        assert 'rhubarbway_broken_invariants_total{invariant="some_check"} 4' in text
        assert service.log.found == [{"invariant": "some_check", "request_id": "r1"}]


class TestRouting:
    def test_an_older_configuration_is_reported(self, kernel):
        routing = kernel.find(ROUTING)
        assert routing.offer(table(5), source="test")
        assert not routing.offer(table(4), source="test")
        assert kernel.find(INVARIANTS).log.found == []
        # Without the table in force the decision would take any version.
        routing.in_force = None
        routing.offer(table(4), source="test")
        (line,) = kernel.find(INVARIANTS).log.found
        assert (line["invariant"], line["version"], line["highest"]) == (
            "older_configuration",
            4,
            5,
        )


class TestForwardRun:
    def broken_by(self, setting):
        with pytest.raises(BrokenInvariant) as failure:
            setting.run.run()
        return str(failure.value).partition(":")[0]

    def test_a_repeated_unsafe_request(self, monkeypatch):
        monkeypatch.setattr(ForwardRun, "may_repeat", lambda *_: True)
        pools = {"board": pools_of("board", loses, answers)}
        setting = Setting(route=route_of(idempotent=False), pools=pools)
        assert self.broken_by(setting) == "unsafe_request_sent_again"

    def test_more_attempts_than_the_route_allows(self):
        pools = {"board": pools_of("board", loses, answers)}
        setting = Setting(route=route_of(max_attempts=2), pools=pools)
        setting.run.send_first_attempts()
        setting.run.route = route_of(max_attempts=1)
        (shard,) = setting.run.shards.values()
        with pytest.raises(BrokenInvariant, match="too_many_attempts"):
            setting.run.send(shard, pools["board"][1])

    def test_a_server_of_another_service(self):
        pools = {"board": pools_of("desk", answers)}
        assert self.broken_by(Setting(route=route_of(), pools=pools)) == "server_of_another_service"

    def test_further_attempts_that_the_budget_does_not_allow(self, monkeypatch):
        monkeypatch.setattr(ArrivalBudget, "take", lambda *_, **__: True)
        pools = {"board": pools_of("board", loses, answers)}
        setting = Setting(route=route_of(), pools=pools, allowance=0.0)
        assert self.broken_by(setting) == "share_of_further_attempts"

    def test_an_answer_that_claims_more_than_it_covers(self, monkeypatch):
        def claims_all(route, replies):
            return ForwardedAnswer(status=200, body=b"", signatures=(), missing_shards=0)

        monkeypatch.setattr(forward_run, "merged_answer", claims_all)
        shards = tuple("abcd")
        pools = {name: pools_of(name, answers) for name in "abc"} | {"d": pools_of("d", loses)}
        setting = Setting(route=route_of(shards=shards, max_attempts=1), pools=pools)
        assert self.broken_by(setting) == "coverage_of_an_answer"
