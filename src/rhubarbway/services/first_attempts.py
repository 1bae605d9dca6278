"""Servers for the first attempts of a request, and the shards that get none."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from rhubarbway.decisions.delegation import CROSS_ZONE_ROUND_TRIP_S
from rhubarbway.decisions.room import ShardOutlook
from rhubarbway.decisions.shard_shedding import select_shed_shards
from rhubarbway.model import Route
from rhubarbway.services.forwarding_context import ForwardingContext
from rhubarbway.services.server_choice import best_pool, expected_latency_s
from rhubarbway.services.server_pool import ServerPool

Choices = Mapping[str, ServerPool | None]


def outlook_of(
    context: ForwardingContext, route: Route, pool: ServerPool, now: float
) -> ShardOutlook:
    """Return the expected times of a first attempt at a server.

    Less urgent attempts that wait for the server do not delay it.
    """
    state = pool.state
    pace = state.load.expected_pace(slowness=state.current_slowness(now), now=now)
    exchange_s = state.load.exchange_s(context.exchange_s(route), pace=pace, now=now)
    if pool.server.zone != context.zone:
        exchange_s += CROSS_ZONE_ROUND_TRIP_S
    wait_s = state.load.wait_s(
        priority=route.priority, max_connections=state.max_connections, pace=pace, now=now
    )
    return ShardOutlook(wait_s=wait_s, exchange_s=exchange_s)


def must_wait(route: Route, pool: ServerPool, now: float) -> bool:
    """Whether a first attempt at a server would have to wait for a connection."""
    limit = pool.state.max_connections
    return pool.state.load.must_wait(priority=route.priority, max_connections=limit, now=now)


def choose_servers(
    context: ForwardingContext, route: Route, services: Iterable[str], *, typical_s: float
) -> dict[str, ServerPool | None]:
    """Return the server for the first attempt at each service, None for one without a server.

    Where room is scarce, it is the server with the earliest expected reply to a request of this
    priority. The ranking, which counts all attempts in flight, would send urgent requests to slow
    servers where only less urgent ones wait for the fast ones.
    """
    now = context.clock()
    chosen: dict[str, ServerPool | None] = {}
    for service in services:
        usable = [
            pool
            for pool in context.pools_of(service)
            if pool.state.accepts_requests(now) and not pool.state.is_ejected(now)
        ]
        if any(must_wait(route, pool, now) for pool in usable):
            chosen[service] = min(
                usable, key=lambda pool: outlook_of(context, route, pool, now).total_s
            )
        else:
            chosen[service] = best_pool(context, service, typical_s=typical_s, now=now)
    return chosen


def shards_to_shed(
    context: ForwardingContext,
    route: Route,
    chosen: Choices,
    *,
    typical_s: float,
    remaining_s: float,
) -> set[str]:
    """Return the shards that a fan-out leaves out because their replies would be late.

    Parameters
    ----------
    remaining_s : float
        Time until the target deadline, seconds.
    """
    now = context.clock()

    def expected_reply_s(pool: ServerPool) -> float:
        return min(
            outlook_of(context, route, pool, now).total_s,
            expected_latency_s(context, pool, typical_s=typical_s, now=now),
        )

    expected = {
        service: expected_reply_s(pool) if pool else float("inf")
        for service, pool in chosen.items()
    }
    return select_shed_shards(
        route,
        expected,
        remaining_s=remaining_s,
        random=context.random,
        is_scarce=context.arrivals.is_scarce(now),
    )
