"""Choice of the server for an attempt of a forwarded request."""

from __future__ import annotations

from collections.abc import Collection

from rhubarbway.decisions import replica_ranking
from rhubarbway.decisions.delegation import CROSS_ZONE_ROUND_TRIP_S
from rhubarbway.decisions.replica_ranking import RankingView
from rhubarbway.model import Route
from rhubarbway.services.forwarding_context import ForwardingContext
from rhubarbway.services.server_pool import ServerPool

# Added to the expected latency of a server in another zone for the ranking, seconds: the round
# trip, and about as much again for the price of traffic between zones.
CROSS_ZONE_COST_S = 0.02
# Time to open a connection to a server, seconds: about 6 ms until the server has accepted it, a
# round trip and the processor time of this host.
CONNECT_TIME_S = 0.01
# Added to the expected latency of a server without an idle connection for the ranking, seconds: the
# time to open one, and about as much again for its price. A host of a large fleet, which gets a
# query every few seconds, therefore keeps to the servers that it has used before.
CONNECT_COST_S = 0.02


def best_pool(
    context: ForwardingContext,
    service: str,
    *,
    tried_servers: Collection[str] = (),
    typical_s: float,
    now: float,
) -> ServerPool | None:
    """Return the pool of a service to use for the next attempt; None if no server may be used.

    Parameters
    ----------
    tried_servers : collection of str
        Ids of servers to leave out.
    typical_s : float
        Typical latency of the route over all servers, seconds.
    """
    view = RankingView(
        zone=context.zone,
        typical_s=typical_s,
        cross_zone_cost_s=CROSS_ZONE_COST_S,
        connect_cost_s=CONNECT_COST_S,
        now=now,
        random=context.random,
    )
    return context.choose_replica(context.pools_of(service), view, excluded=tried_servers)


def expected_latency_s(
    context: ForwardingContext, pool: ServerPool, *, typical_s: float, now: float
) -> float:
    """Return the expected latency of a request sent to a server now, seconds."""
    view = RankingView(
        zone=context.zone,
        typical_s=typical_s,
        cross_zone_cost_s=CROSS_ZONE_ROUND_TRIP_S,
        connect_cost_s=CONNECT_TIME_S,
        now=now,
    )
    return replica_ranking.expected_latency_s(pool.state, view)


def least_latency_s(
    context: ForwardingContext, route: Route, pool: ServerPool, *, now: float
) -> float:
    """Return the least latency of a request that would have to wait for a server, seconds.

    The wait is estimated not more slowly than usual, since the pace of a few exchanges does not
    prove that there is no time. Without a wait the server decides how long it takes, and the result
    is 0.
    """
    load = pool.state.load
    wait_s = load.wait_s(
        priority=route.priority,
        max_connections=pool.state.max_connections,
        pace=min(1.0, load.current_pace(now)),
        now=now,
    )
    return wait_s + context.exchange_s(route) if wait_s > 0.0 else 0.0
