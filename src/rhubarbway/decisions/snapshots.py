"""Choice of the snapshot that a query reads on all shards."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from rhubarbway.decisions.replica_state import ReplicaState
from rhubarbway.model import Service


def reachable_weights(
    service: Service, states: Mapping[int, Sequence[ReplicaState]], *, now: float
) -> dict[str, float]:
    """Return, for each snapshot, the total weight of the shards that it is reachable on.

    These are the shards with a serving replica that holds the snapshot.
    """
    reachable: dict[str, float] = {}
    for shard in service.shards:
        candidates = [state for state in states[shard.index] if state.is_serving(now)]
        if not candidates:
            # A shard without a serving replica counts by its ejected ones: only a query to the
            # shard triggers the probes that end the ejections.
            candidates = [
                state
                for state in states[shard.index]
                if state.is_ejected(now) and not state.is_leaving
            ]
        held = {snapshot for state in candidates for snapshot in state.held_snapshots}
        for snapshot in held:
            reachable[snapshot] = reachable.get(snapshot, 0.0) + shard.weight
    # Rounding makes sums of the same weights in different orders compare equal.
    return {snapshot: round(weight, 9) for snapshot, weight in reachable.items()}


def newest_with_highest_weight(reachable: Mapping[str, float]) -> str | None:
    """Return the snapshot with the highest weight, the newest among equals, or None without any.

    The names of snapshots sort by age, the newest last.

    Examples
    --------
    >>> newest_with_highest_weight({"s-1": 4.0, "s-2": 4.0, "s-3": 1.0})
    's-2'
    """
    return max(reachable, key=lambda name: (reachable[name], name), default=None)


def choose_snapshot(
    service: Service, states: Mapping[int, Sequence[ReplicaState]], *, now: float
) -> str | None:
    """Return the snapshot with the highest reachable weight, the newest among equals.

    The result is None if no snapshot is reachable.

    Parameters
    ----------
    service : Service
        Service with its layout.
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
    """Return the best snapshot if it has more reachable weight than the current one, else None.

    To be called when no attempt is in flight: the reply of a replica that lacks the current
    snapshot also reports the snapshots that it holds, and may change the result.
    """
    reachable = reachable_weights(service, states, now=now)
    best = newest_with_highest_weight(reachable)
    if best is None or reachable[best] <= reachable.get(current, 0.0):
        return None
    return best


def typical_query_latency_s(states: Mapping[int, Sequence[ReplicaState]]) -> float:
    """Return the typical latency of a query, which is that of its slowest shard, seconds.

    The latency of a shard is that of its fastest replica, and 0 if no replica has a sample.
    """
    return max(
        (
            min(
                (s.latency.fast_ewma_s for s in shard_states if s.latency.fast_ewma_s > 0.0),
                default=0.0,
            )
            for shard_states in states.values()
        ),
        default=0.0,
    )
