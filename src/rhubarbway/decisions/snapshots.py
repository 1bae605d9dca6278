"""Choice of the one snapshot that a query reads."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from rhubarbway.decisions.replica_state import ReplicaState
from rhubarbway.model import Service


def reachable_weights(
    service: Service, states: Mapping[int, Sequence[ReplicaState]], *, now: float
) -> dict[str, float]:
    """Return, for each snapshot, the weight of the shards with a replica that holds it."""
    reachable: dict[str, float] = {}
    for shard in service.shards:
        members = [state for state in states[shard.index] if state.serving(now)]
        if not members:
            # A shard whose replicas are all ejected still counts: the query that is sent to it has
            # them asked whether they serve again, which nothing else does.
            members = [
                state for state in states[shard.index] if state.ejected(now) and not state.leaving
            ]
        held = {snapshot for state in members for snapshot in state.held_snapshots}
        for snapshot in held:
            reachable[snapshot] = reachable.get(snapshot, 0.0) + shard.weight
    # Sums of the same weights in another order must compare as equal.
    return {snapshot: round(weight, 9) for snapshot, weight in reachable.items()}


def newest_with_highest_weight(reachable: Mapping[str, float]) -> str | None:
    """Return the snapshot with the highest weight, the newest among equals.

    Snapshot names sort by age: a later name is newer.

    Examples
    --------
    >>> newest_with_highest_weight({"s-1": 4.0, "s-2": 4.0, "s-3": 1.0})
    's-2'
    """
    return max(reachable, key=lambda name: (reachable[name], name), default=None)


def choose_snapshot(
    service: Service, states: Mapping[int, Sequence[ReplicaState]], *, now: float
) -> str | None:
    """Return the snapshot with the highest reachable coverage, the newest among equals.

    Parameters
    ----------
    service : Service
        Service and its layout.
    states : mapping of int to sequence of ReplicaState
        Replica states by shard index.
    now : float
        ``time.monotonic()`` instant.
    """
    return newest_with_highest_weight(reachable_weights(service, states, now=now))


def better_snapshot(
    service: Service,
    states: Mapping[int, Sequence[ReplicaState]],
    *,
    current: str,
    now: float,
) -> str | None:
    """Return a snapshot that reaches more than the current one does now, or None.

    The states must know what the replicas that refused the current snapshot reported.
    """
    reachable = reachable_weights(service, states, now=now)
    best = newest_with_highest_weight(reachable)
    if best is None or reachable[best] <= reachable.get(current, 0.0):
        return None
    return best


def typical_query_latency_s(states: Mapping[int, Sequence[ReplicaState]]) -> float:
    """Return the time that a query usually takes, seconds: that of the slowest shard.

    The latency of a shard is that of its fastest replica; 0 where nothing was measured.
    """
    return max(
        (
            min(
                (s.latency.fast_ewma_s for s in members if s.latency.fast_ewma_s > 0.0), default=0.0
            )
            for members in states.values()
        ),
        default=0.0,
    )
