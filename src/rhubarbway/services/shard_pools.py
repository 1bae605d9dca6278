"""Questions to the replicas of the shards of one query."""

from __future__ import annotations

import time
from collections.abc import Collection, Mapping, Sequence

from rhubarbway.decisions.replica_choice import serving_replicas
from rhubarbway.services.replica_pool import ReplicaPool


def wait_for_first_contact(pools: Mapping[int, Sequence[ReplicaPool]], *, deadline: float) -> None:
    """Wait for shards of a new manifest until one of their replicas was asked what it holds."""
    for members in pools.values():
        if any(pool.state.incarnation for pool in members):
            continue
        for pool in members:
            pool.first_asked.wait(max(0.0, deadline - time.monotonic()))
            if pool.state.incarnation:
                break


def refresh_lacking(pools: Mapping[int, Sequence[ReplicaPool]], snapshot: str) -> None:
    """Ask replicas that lack the snapshot, and so get no work, what they hold now."""
    now = time.monotonic()
    for members in pools.values():
        for pool in members:
            if snapshot not in pool.state.held_snapshots:
                pool.refresh(now)


def ask_unusable(members: Sequence[ReplicaPool]) -> None:
    """Have ejected replicas of a shard asked whether they serve again, if it is time."""
    now = time.monotonic()
    urgent = not any(pool.state.serving(now) for pool in members)
    for pool in members:
        if pool.state.probe_due(now, urgent=urgent):
            pool.try_again()


def worth_waiting(members: Sequence[ReplicaPool], *, snapshot: str, tried: Collection[str]) -> bool:
    """Whether a replica of a shard is only busy, or is being asked for its status."""
    states = [pool.state for pool in members]
    if serving_replicas(states, snapshot=snapshot, tried=tried, now=time.monotonic()):
        return True
    return any(state.probe_running and state.replica.name not in tried for state in states)
