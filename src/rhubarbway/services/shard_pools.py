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
    for shard_pools in pools.values():
        if any(pool.state.incarnation for pool in shard_pools):
            continue
        for pool in shard_pools:
            pool.first_status_done.wait(max(0.0, deadline - time.monotonic()))
            if pool.state.incarnation:
                break


def refresh_replicas_without(pools: Mapping[int, Sequence[ReplicaPool]], snapshot: str) -> None:
    """Request the status of replicas that lack the snapshot.

    Such replicas get no sub-queries, so no reply tells which snapshots they hold by now.
    """
    now = time.monotonic()
    for shard_pools in pools.values():
        for pool in shard_pools:
            if snapshot not in pool.state.held_snapshots:
                pool.refresh_status(now)


def probe_ejected_replicas(shard_pools: Sequence[ReplicaPool]) -> None:
    """Probe the ejected replicas of a shard that are due for a probe.

    They are due sooner while no replica of the shard is serving.
    """
    now = time.monotonic()
    urgent = not any(pool.state.is_serving(now) for pool in shard_pools)
    for pool in shard_pools:
        if pool.state.probe_due(now, urgent=urgent):
            pool.start_probe()


def may_become_available(
    shard_pools: Sequence[ReplicaPool], *, snapshot: str, tried: Collection[str]
) -> bool:
    """Whether an untried replica of a shard is only busy, or is being probed after an ejection."""
    states = [pool.state for pool in shard_pools]
    if serving_replicas(states, snapshot=snapshot, tried=tried, now=time.monotonic()):
        return True
    return any(state.probe_running and state.replica.name not in tried for state in states)
