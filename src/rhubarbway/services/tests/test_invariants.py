"""Tests that each invariant check fails when the decision that it checks is wrong."""

import pytest

from rhubarbway.decisions.sliding_window_budget import SlidingWindowBudget
from rhubarbway.kernel import Kernel
from rhubarbway.model import CallerLimits, ForwardedAnswer, RoutingTable
from rhubarbway.services import request_forwarder
from rhubarbway.services.arrival_checks import ArrivalPlan
from rhubarbway.services.invariants import BrokenInvariant, InvariantService
from rhubarbway.services.metrics import MetricsService
from rhubarbway.services.names import INVARIANTS, METRICS, ROUTING
from rhubarbway.services.request_forwarder import RequestForwarder
from rhubarbway.services.routing import RoutingService
from rhubarbway.services.tests.test_request_forwarder import (
    Scenario,
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


# Longer than any pause of the process in a test, seconds.
PATIENCE_S = 60.0


def patient_route(**changes):
    """Return a route whose time limits have no part in a test."""
    return route_of(target_s=PATIENCE_S, timeout_s=PATIENCE_S, **changes)


def patient_scenario(**fields):
    """Return a scenario whose deadline has no part in a test."""
    return Scenario(deadline_s=PATIENCE_S, **fields)


class RecordingLog:
    """A log that keeps the details of its error lines."""

    def __init__(self):
        self.lines = []

    def error(self, event, **details):
        self.lines.append(details)

    def info(self, event, **details):
        pass


@pytest.fixture
def kernel():
    running = Kernel()
    running.register(METRICS, MetricsService())
    service = running.register(INVARIANTS, InvariantService())
    service.log = RecordingLog()
    routing = running.register(ROUTING, RoutingService())
    routing.log = RecordingLog()
    running.start()
    yield running
    running.stop()


class TestInvariantService:
    def test_all_violations_are_counted_and_few_are_logged(self, kernel):
        """Guards against an invariant that breaks at each request and floods the log."""
        service = kernel.find(INVARIANTS)
        for number in range(5):
            service.expect(number == 0, "some_check", request_id=f"r{number}")
        text = kernel.find(METRICS).exposition().decode()
        assert 'rhubarbway_broken_invariants_total{invariant="some_check"} 4' in text
        assert service.log.lines == [{"invariant": "some_check", "request_id": "r1"}]


class TestRouting:
    def test_an_older_configuration_is_reported(self, kernel):
        """Guards against a return to an older table that no invariant reports."""
        routing = kernel.find(ROUTING)
        assert routing.offer(table(5), source="test")
        assert not routing.offer(table(4), source="test")
        assert kernel.find(INVARIANTS).log.lines == []
        # Without a table in force, the service accepts any version.
        routing.in_force = None
        routing.offer(table(4), source="test")
        (line,) = kernel.find(INVARIANTS).log.lines
        assert (line["invariant"], line["version"], line["highest"]) == (
            "older_configuration",
            4,
            5,
        )


class TestRequestForwarder:
    def broken_by(self, scenario):
        """Run a scenario and return the name of the invariant that it breaks."""
        with pytest.raises(BrokenInvariant) as failure:
            scenario.forwarder.run()
        return str(failure.value).partition(":")[0]

    def test_a_repeated_unsafe_request_is_detected(self, monkeypatch):
        """Guards against a check that misses a retry of a request that may already have run."""
        monkeypatch.setattr(RequestForwarder, "may_retry", lambda *_: True)
        pools = {"board": pools_of("board", loses, answers)}
        scenario = patient_scenario(route=patient_route(idempotent=False), pools=pools)
        assert self.broken_by(scenario) == "unsafe_request_sent_again"

    def test_more_attempts_than_the_route_allows_are_detected(self):
        """Guards against a check that misses an attempt beyond the maximum of the route."""
        pools = {"board": pools_of("board", loses, answers)}
        scenario = patient_scenario(route=patient_route(max_attempts=2), pools=pools)
        plan = ArrivalPlan(chosen={"board": pools["board"][0]})
        scenario.forwarder.send_first_attempts(plan)
        scenario.forwarder.route = patient_route(max_attempts=1)
        (shard,) = scenario.forwarder.shards.values()
        with pytest.raises(BrokenInvariant, match="too_many_attempts"):
            scenario.forwarder.send_attempt(shard, pools["board"][1])

    def test_a_server_of_another_service_is_detected(self):
        """Guards against a check that misses a pool listed under the wrong service."""
        pools = {"board": pools_of("desk", answers)}
        assert (
            self.broken_by(patient_scenario(route=patient_route(), pools=pools))
            == "server_of_another_service"
        )

    def test_extra_attempts_that_the_budget_does_not_allow_are_detected(self, monkeypatch):
        """Guards against a check that relies on the counts of a faulty retry budget."""
        monkeypatch.setattr(SlidingWindowBudget, "try_acquire", lambda *_, **__: True)
        pools = {"board": pools_of("board", loses, answers)}
        scenario = patient_scenario(route=patient_route(), pools=pools, allowance=0.0)
        assert self.broken_by(scenario) == "share_of_further_attempts"

    def test_an_answer_that_claims_more_shards_than_it_has_is_detected(self, monkeypatch):
        """Guards against a check that misses an answer which states too few missing shards."""

        def claims_all(route, replies):
            return ForwardedAnswer(status=200, body=b"", signatures=(), missing_shards=0)

        monkeypatch.setattr(request_forwarder, "merge_replies", claims_all)
        shards = tuple("abcd")
        pools = {name: pools_of(name, answers) for name in "abc"} | {"d": pools_of("d", loses)}
        scenario = patient_scenario(route=patient_route(shards=shards, max_attempts=1), pools=pools)
        assert self.broken_by(scenario) == "coverage_of_an_answer"
