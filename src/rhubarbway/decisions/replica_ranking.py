"""Ranking of the replicas of a service for an attempt: first ones, hedges, retries and delegates.

Each entry host ranks on its own, from knowledge that is up to a few seconds old, while other hosts
rank the same replicas. Two rules keep them from overrunning one replica in turns: what is known
about a replica loses weight with its age, and faster if it rests on few observations
(``ServerState.current_slowness``); and hosts that know the same choose among nearly equal replicas
at random.

References
----------
Mitzenmacher, "How Useful Is Old Information?", 2000: the least loaded replica by old knowledge is a
worse choice than a random one; knowledge therefore has to lose weight with its age.

Wydrowski et al., "Load is not what you should balance: Introducing Prequal", 2024: requests in
flight and latency rank replicas together; a replica with many in flight comes after all others.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from random import Random
from typing import Protocol, TypeVar

from rhubarbway.decisions.server_state import ServerState

# The expected latency of each replica is multiplied by a random factor from 1 to 1 + RANK_JITTER.
# It keeps hosts with the same information from all choosing the same replica.
RANK_JITTER = 0.1
# Weight, in the expected latency, of the time by which the oldest attempt in flight is overdue.
OVERDUE_WEIGHT = 3.0
# Additional latency of a cold server (one that has just started, see ``warm_at``), as a fraction of
# the typical latency.
COLD_PENALTY_FRACTION = 0.6
# Factor of the expected latency of a replica whose entry was deleted, while the deletion is
# deferred. The replica has probably left, and serves requests for a few seconds at most.
DELETED_FACTOR = 3.0
# Time over which a replica whose ejection has ended gets its share of the attempts back, seconds,
# and the greatest factor of its expected latency during it. Each host draws the factor at random,
# so that not all hosts return at the same moment.
RETURN_S = 1.0
RETURN_SPREAD = 2.0
# Added to the cost of an ejected replica, seconds: longer than any expected latency, so that it
# comes after all others.
EJECTED_COST_S = 1e6
# The same for a replica that this host uses only if its others fail (``connection_subsets``), which
# comes before the ejected ones.
RESERVE_COST_S = 1e3


class Candidate(Protocol):
    """What is ranked: anything that has the state of a server, such as a ``ServerPool``."""

    state: ServerState


Ranked = TypeVar("Ranked", bound=Candidate)


class RankingView:
    """What a ranking depends on apart from the replicas.

    Attributes
    ----------
    zone : str
        Zone of this host.
    typical_s : float
        Typical latency of the route over all servers, seconds.
    cross_zone_cost_s : float
        Added for a server in another zone, seconds: the round trip and, in a ranking, an equivalent
        of the price of the traffic.
    connect_cost_s : float
        Added for a server to which this host has no idle connection, seconds: the time to open one
        and, in a ranking, an equivalent of its price.
    now : float
        Instant of the ranking.
    random : Random or None
        Source of the random factors; None for a ranking without them.
    """

    __slots__ = ("connect_cost_s", "cross_zone_cost_s", "now", "random", "typical_s", "zone")

    def __init__(
        self,
        *,
        zone: str,
        typical_s: float,
        cross_zone_cost_s: float,
        connect_cost_s: float = 0.0,
        now: float,
        random: Random | None = None,
    ) -> None:
        self.zone = zone
        self.typical_s = typical_s
        self.cross_zone_cost_s = cross_zone_cost_s
        self.connect_cost_s = connect_cost_s
        self.now = now
        self.random = random


def expected_latency_s(state: ServerState, view: RankingView) -> float:
    """Return the expected latency of a request that is sent to a server now, seconds."""
    now = view.now
    typical_s = view.typical_s
    # Both factors show the same load, the first one late and the second one for a moment. A server
    # that seems faster than typical counts as typical: hosts that see few replies of each server
    # would otherwise move to whichever was fast by chance, and open connections to it.
    latency_s = typical_s * max(1.0, state.current_slowness(now), state.stated_factor(now))
    in_flight = len(state.in_flight)
    if in_flight:
        latency_s *= 1.0 + in_flight / max(1, state.server.slots)
    if in_flight >= state.max_connections:
        # Attempts that would wait for a free connection, this one included, relative to the limit.
        queued = in_flight + 1 - state.max_connections
        latency_s *= 1.0 + queued / state.max_connections
    if in_flight:
        latency_s += OVERDUE_WEIGHT * state.overdue_s(typical_s, now)
    if state.needs_connection:
        latency_s += view.connect_cost_s
    if state.is_cold(now):
        latency_s += COLD_PENALTY_FRACTION * typical_s
    if state.server.zone != view.zone:
        latency_s += view.cross_zone_cost_s
    return latency_s


def ranking_cost_s(state: ServerState, view: RankingView) -> float:
    """Return the cost by which replicas are ranked, seconds: the expected latency, at random."""
    cost_s = expected_latency_s(state, view)
    random = view.random
    if random is not None:
        cost_s *= 1.0 + RANK_JITTER * random.random()
    if state.is_probably_gone:
        cost_s *= DELETED_FACTOR
    if state.is_reserve:
        cost_s += RESERVE_COST_S
    since_ejection_s = view.now - state.ejected_until
    if since_ejection_s < RETURN_S:
        if since_ejection_s < 0.0:
            return cost_s + EJECTED_COST_S
        if random is not None:
            remaining = 1.0 - since_ejection_s / RETURN_S
            cost_s *= 1.0 + (RETURN_SPREAD - 1.0) * remaining * random.random()
    return cost_s


def best_replica(
    candidates: Iterable[Ranked], view: RankingView, *, excluded: Collection[str] = ()
) -> Ranked | None:
    """Return the candidate to use first, or None if none may be used.

    Candidates that accept no requests now, and those whose server ids are in ``excluded``, may not
    be used. An ejected one is returned only if there is no other.
    """
    best = None
    best_cost_s = float("inf")
    for candidate in candidates:
        state = candidate.state
        if not state.accepts_requests(view.now) or state.server.id in excluded:
            continue
        cost_s = ranking_cost_s(state, view)
        if cost_s < best_cost_s:
            best, best_cost_s = candidate, cost_s
    return best
