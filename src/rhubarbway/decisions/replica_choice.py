"""Load balancing: the choice of the replica that gets an attempt."""

from __future__ import annotations

from collections.abc import Collection, Sequence
from random import Random

from rhubarbway.decisions.replica_state import WARM_UP_ANSWERS, ReplicaState

# Added to DEFAULT_LATENCY_S for a replica in another zone, seconds; zones are 3 to 4 ms apart one
# way.
DEFAULT_CROSS_ZONE_LATENCY_S = 0.007
# Latency assumed for a replica without answers while no attempt is in flight there, seconds. With
# one in flight, the time without an answer counts instead.
DEFAULT_LATENCY_S = 0.010
# Fraction of an equal share of the attempts (1/n for each of n usable replicas) that a cold replica
# gets before its first answer, while a warm one is usable; it grows with each answer.
INITIAL_WARM_UP_FRACTION = 0.1


def expected_cost_s(state: ReplicaState, zone: str, now: float) -> float:
    """Return the expected latency of one more attempt, scaled by the replica's load, seconds."""
    latency_s = state.expected_latency_s(now)
    if latency_s <= 0.0:
        latency_s = DEFAULT_LATENCY_S
        if state.replica.zone != zone:
            latency_s += DEFAULT_CROSS_ZONE_LATENCY_S
    return latency_s * (1 + state.in_flight / state.replica.slots)


def serving_replicas(
    states: Sequence[ReplicaState],
    *,
    snapshot: str,
    tried: Collection[str],
    now: float,
) -> list[ReplicaState]:
    """Return the untried replicas that serve a snapshot, now or once they have capacity."""
    return [
        state
        for state in states
        if state.replica.name not in tried
        and snapshot in state.held_snapshots
        and state.is_serving(now)
    ]


def usable_replicas(
    states: Sequence[ReplicaState],
    *,
    snapshot: str,
    tried: Collection[str],
    now: float,
) -> list[ReplicaState]:
    """Return the untried replicas that serve a snapshot and have capacity now."""
    serving = serving_replicas(states, snapshot=snapshot, tried=tried, now=now)
    return [state for state in serving if state.has_capacity()]


def choose_replica(
    states: Sequence[ReplicaState],
    *,
    snapshot: str,
    tried: Collection[str],
    zone: str,
    now: float,
    random: Random,
    warm_only: bool = False,
) -> ReplicaState | None:
    """Return the cheaper of two random usable replicas (power of two choices), or None.

    Choosing between two random candidates keeps uncoordinated entry hosts from sending all work to
    the one replica that looks best to each of them. One of the two is in the entry host's zone if
    any candidate is.

    While a warm replica is usable, cold replicas are not candidates. Instead, each may be returned
    at random without a comparison, which gives it a small share of the attempts that grows with its
    answers. ``warm_only`` excludes cold replicas altogether, for hedges.
    """
    candidates = usable_replicas(states, snapshot=snapshot, tried=tried, now=now)
    cold = [state for state in candidates if state.is_cold]
    if cold and (warm_only or len(cold) < len(candidates)):
        candidates = [state for state in candidates if not state.is_cold]
        for state in () if warm_only else cold:
            share = (
                INITIAL_WARM_UP_FRACTION
                + (1 - INITIAL_WARM_UP_FRACTION) * state.answer_count / WARM_UP_ANSWERS
            )
            if random.random() < share / (len(candidates) + len(cold)):
                return state
    if len(candidates) > 2:
        same_zone = [state for state in candidates if state.replica.zone == zone] or candidates
        first = random.choice(same_zone)
        second = random.choice([state for state in candidates if state is not first])
        candidates = [first, second]
    return min(candidates, key=lambda state: expected_cost_s(state, zone, now), default=None)
