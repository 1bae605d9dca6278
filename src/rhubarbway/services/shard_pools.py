"""Status requests to the replicas of a query's shards, and waits for them."""

from __future__ import annotations

import time
from collections.abc import Collection, Mapping, Sequence

from rhubarbway.decisions.replica_choice import serving_replicas
from rhubarbway.services.replica_pool import ReplicaPool


def wait_for_first_contact(pools: Mapping[int, Sequence[ReplicaPool]], *, deadline: float) -> None:
    """Wait until a replica of each shard has reported its status, or all were asked once.

    Only the shards of a new manifest need this, since no replica of them was asked before.
    """
    for members in pools.values():
        if any(pool.state.incarnation for pool in members):
            continue
        for pool in members:
            pool.first_status_done.wait(max(0.0, deadline - time.monotonic()))
            if pool.state.incarnation:
                break


def refresh_replicas_without(pools: Mapping[int, Sequence[ReplicaPool]], snapshot: str) -> None:
    """Request the status of replicas that lack the snapshot.

    Such replicas get no sub-queries, so no reply tells which snapshots they hold by now.
    """
    now = time.monotonic()
    for members in pools.values():
        for pool in members:
            if snapshot not in pool.state.held_snapshots:
                pool.refresh_status(now)


def probe_ejected_replicas(members: Sequence[ReplicaPool]) -> None:
    """Probe the ejected replicas of a shard that are due for it."""
    now = time.monotonic()
    urgent = not any(pool.state.serving(now) for pool in members)
    for pool in members:
        if pool.state.probe_due(now, urgent=urgent):
            pool.start_probe()


def may_become_available(
    members: Sequence[ReplicaPool], *, snapshot: str, tried: Collection[str]
) -> bool:
    """Whether an untried replica of a shard is only busy, or is being probed after an ejection."""
    states = [pool.state for pool in members]
    if serving_replicas(states, snapshot=snapshot, tried=tried, now=time.monotonic()):
        return True
    return any(state.probe_running and state.replica.name not in tried for state in states)
