"""Tests of the decision about a request at its arrival, with fake pools."""

import time

from rhubarbway.edge.http_client import Reply
from rhubarbway.model import ForwardedRequest, Route, RoutingTable, SplitPart
from rhubarbway.platform.delegated_requests import answer_of_delegate, reply_from_delegate
from rhubarbway.services.caller_inbox import CallerInbox
from rhubarbway.services.request_forwarder import RequestForwarder
from rhubarbway.services.routing import RoutingService
from rhubarbway.services.server_attempt import ServerAttempt
from rhubarbway.services.tests.test_request_forwarder import (
    FakePool,
    Scenario,
    answers,
    hangs,
    pools_of,
    route_of,
)

SHARDS = tuple("abcd")


def waiting_attempt(number, priority):
    return ServerAttempt(
        number=number,
        request=None,
        shard="a",
        route_name="sweep",
        deadline=time.monotonic() + 9.0,
        submitted_at=time.monotonic(),
        typical_s=0.05,
        priority=priority,
        deliver=lambda outcome: None,
    )


def crowd(pools, *, priority):
    """Let ten attempts of another request wait at each server, which takes one at a time."""
    for pool in (pool for shard_pools in pools.values() for pool in shard_pools):
        pool.state.max_connections = 1
        for number in range(1001, 1012):
            attempt = waiting_attempt(number, priority)
            pool.state.load.submit(attempt, max_connections=1, now=time.monotonic())


def submitted(pools):
    return [one for shard_pools in pools.values() for pool in shard_pools for one in pool.submitted]


def run(route, pools, services):
    """Forward one request and return the answer."""
    now = time.monotonic()
    return RequestForwarder(
        request=ForwardedRequest(
            request_id="q",
            method="POST",
            target="/x",
            host="h",
            received_at=now,
            deadline=now + 0.15,
        ),
        digest="d",
        route=route,
        services=services,
        inbox=CallerInbox(sock=None),
        context=Scenario(route=route, pools=pools).context,
    ).run()


class TestLackOfRoom:
    def test_a_request_that_would_wait_too_long_is_refused_before_anything_is_sent(self):
        """Guards against requests that wait until their deadline for servers that are full."""
        pools = {name: pools_of(name, answers) for name in SHARDS}
        crowd(pools, priority=0)
        answer = Scenario(route=route_of(shards=SHARDS), pools=pools).forwarder.run()
        assert (answer.status, answer.lacks_room) == (503, True)
        assert answer.retry_after_s > 0.0 and submitted(pools) == []

    def test_less_urgent_waiting_attempts_do_not_refuse_an_urgent_request(self):
        """Guards against lookups refused because of a burst of sweeps, which they overtake."""
        pools = {name: pools_of(name, answers) for name in SHARDS}
        crowd(pools, priority=1)
        answer = Scenario(route=route_of(shards=SHARDS), pools=pools).forwarder.run()
        assert answer.status == 200

    def test_a_refusal_of_a_delegate_is_recognized_and_goes_no_further(self):
        """Guards against a host that runs itself what its delegate has no room for."""
        pools = {name: pools_of(name, answers) for name in SHARDS}
        crowd(pools, priority=0)
        scenario = Scenario(route=route_of(shards=SHARDS), pools=pools)
        request = scenario.forwarder.request
        response = answer_of_delegate(scenario.forwarder.run(), request_id=request.request_id)
        reply = Reply(status=503, headers=response.headers.to_wsgi_list(), body=b"")
        decoded = reply_from_delegate(reply, request)
        names = {name.lower() for name, _ in decoded.headers}
        assert decoded.lacks_room
        assert "retry-after" in names and "x-rhubarbway-no-room" not in names


class TestUnsentAttempts:
    def test_a_request_that_no_server_got_is_refused_at_its_deadline(self):
        """Guards against 504 for a request that waited for a connection until the end."""
        pools = {"board": [FakePool(server_id="i-1", service="board", respond=hangs)]}
        answer = run(route_of(idempotent=False, max_attempts=1), pools, ("board",))
        assert answer.status == 503

    def test_a_request_that_a_server_may_have_got_is_not_refused(self):
        """Guards against an unsafe request that runs although the answer denies it."""

        def takes(pool, attempt):
            attempt.call_number = 1

        pools = {"board": [FakePool(server_id="i-1", service="board", respond=takes)]}
        answer = run(route_of(idempotent=False, max_attempts=1), pools, ("board",))
        assert answer.status == 504


class TestTrafficSplit:
    def test_a_dark_part_keeps_its_weight(self):
        """Guards against requests that move to the other part while one part has no server."""
        route = Route(
            name="r",
            host="h",
            path_prefix="/",
            idempotent=True,
            timeout_s=0.6,
            target_latency_s=0.1,
            split=(SplitPart(service="board", weight=3.0), SplitPart(service="dark", weight=1.0)),
        )
        routing = RoutingService()
        routing.expect = lambda holds, name, **details: None
        routing.offer(table_of(route), source="test")
        pools = {"board": pools_of("board", answers), "dark": []}
        statuses = [run(route, pools, (routing.next_service(route),)).status for _ in range(40)]
        assert (statuses.count(200), statuses.count(503)) == (30, 10)


def table_of(route):
    return RoutingTable(version=1, routes=(route,), max_connections={}, limits=None)
