"""Choice of the server for an attempt of a forwarded request."""

from __future__ import annotations

from collections.abc import Collection

from rhubarbway.decisions.delegation import CROSS_ZONE_ROUND_TRIP_S
from rhubarbway.decisions.server_state import ranked_states
from rhubarbway.services.forwarding_context import ForwardingContext
from rhubarbway.services.server_pool import ServerPool

# For the ranking, the expected latency of each server is multiplied by a random factor from 1 to
# 1 + RANK_JITTER. It keeps hosts with the same information from all choosing the same server.
RANK_JITTER = 0.1
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


def ranked_pools(
    context: ForwardingContext,
    service: str,
    *,
    tried_servers: Collection[str] = (),
    typical_s: float,
    now: float,
) -> list[ServerPool]:
    """Return the pools of a service by increasing expected latency, ejected ones last.

    Pools of servers that want no requests now are left out.

    Parameters
    ----------
    tried_servers : collection of str
        Ids of servers to leave out.
    typical_s : float
        Typical latency of the route over all servers, seconds.
    """
    pools = {
        pool.server.id: pool
        for pool in context.pools_of(service)
        if pool.server.id not in tried_servers and pool.state.accepts_requests(now)
    }
    jitter = {key: 1.0 + RANK_JITTER * context.random.random() for key in pools}
    ranked = ranked_states(
        [pool.state for pool in pools.values()],
        zone=context.zone,
        typical_s=typical_s,
        cross_zone_cost_s=CROSS_ZONE_COST_S,
        connect_cost_s=CONNECT_COST_S,
        now=now,
        jitter=jitter,
    )
    return [pools[state.server.id] for state in ranked]


def expected_latency_s(
    context: ForwardingContext, pool: ServerPool, *, typical_s: float, now: float
) -> float:
    """Return the expected latency of a request sent to a server now, seconds."""
    cross_zone_cost_s = 0.0 if pool.server.zone == context.zone else CROSS_ZONE_ROUND_TRIP_S
    return pool.state.expected_latency_s(
        typical_s=typical_s,
        cross_zone_cost_s=cross_zone_cost_s,
        connect_cost_s=CONNECT_TIME_S,
        now=now,
    )
