"""A pool of connections to each replica of the manifest in force."""

from __future__ import annotations

import threading
import time
from bisect import insort
from collections.abc import Collection, Iterable, Mapping
from concurrent.futures import ThreadPoolExecutor
from functools import partial

from rhubarbway.decisions.draining import DrainMark, DrainMarks
from rhubarbway.decisions.replica_state import ReplicaState
from rhubarbway.decisions.slices import SlicePlan, service_slices, slice_owners, slice_plan
from rhubarbway.kernel import Kernel
from rhubarbway.model import Manifest, Service, Shard
from rhubarbway.services.inbox import CapacityFreed, Inbox
from rhubarbway.services.log import component_logger
from rhubarbway.services.names import MANIFEST
from rhubarbway.services.replica_pool import ContactListener, ReplicaPool
from rhubarbway.services.unexpected_data import ReportUnexpectedData, ignore_report

MAX_CONNECTION_TASKS = 2048
# A starting host reports ready this time after its first manifest even if no replica of a shard has
# replied, so that a shard without reachable replicas doesn't keep hosts from starting.
READINESS_TIMEOUT_S = 1.0


def connection_share(connection_cap: int, host_count: int) -> int:
    """Return the number of connections to a replica that one entry host may open.

    The shares of all published entry hosts together don't exceed the number of connections that the
    server accepts, unless there are more entry hosts than connections.

    Examples
    --------
    >>> connection_share(30, 9)
    3
    """
    return max(1, connection_cap // max(1, host_count))


class ShardWaiter:
    """A query that waits for capacity on any replica of one shard, ordered by its deadline."""

    __slots__ = ("deadline", "inbox", "service", "shard")

    def __init__(self, *, service: str, shard: int, deadline: float, inbox: Inbox) -> None:
        self.service = service
        self.shard = shard
        self.deadline = deadline
        self.inbox = inbox

    def __lt__(self, other: ShardWaiter) -> bool:
        return self.deadline < other.deadline


class WaitQueue:
    """The queries that wait for capacity, by service and shard."""

    __slots__ = ("lock", "waiters")

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.waiters: dict[tuple[str, int], list[ShardWaiter]] = {}

    def enqueue(self, waiter: ShardWaiter) -> None:
        """Add a waiter.

        The caller must look for capacity once more afterwards: capacity freed before the waiter was
        added is not announced to it.
        """
        with self.lock:
            insort(self.waiters.setdefault((waiter.service, waiter.shard), []), waiter)

    def remove(self, waiter: ShardWaiter) -> None:
        """Remove a waiter; if it was already notified, notify the next one instead."""
        with self.lock:
            queue = self.waiters.get((waiter.service, waiter.shard), [])
            found = waiter in queue
            if found:
                queue.remove(waiter)
                if not queue:
                    del self.waiters[(waiter.service, waiter.shard)]
        if not found:
            self.notify_next(waiter.service, waiter.shard)

    def notify_next(self, service: str, shard: int) -> None:
        """Notify the waiter with the earliest deadline that there may be capacity."""
        # The usual case, no waiters, takes no lock.
        if not self.waiters:
            return
        with self.lock:
            queue = self.waiters.get((service, shard))
            if not queue:
                return
            waiter = queue.pop(0)
            if not queue:
                del self.waiters[(service, shard)]
        waiter.inbox.put(CapacityFreed(shard=shard))


def owned_shards(
    service: Service, manifest: Manifest, plan: SlicePlan, *, host: str
) -> Iterable[Shard]:
    """Return the shards whose replicas an entry host connects to."""
    if plan.direct:
        return service.shards
    owned = [
        slice_
        for slice_ in service_slices(service)
        if host in [owner.name for owner in slice_owners(slice_, manifest.entry_hosts, plan)]
    ]
    return [shard for slice_ in owned for shard in service.shards[slice_.first : slice_.last + 1]]


class BackendService:
    """Owns one ``ReplicaPool`` for each replica that this entry host connects to.

    ``host`` is the name of this entry host.
    """

    __slots__ = (
        "manifest_applied_at",
        "contact_listeners",
        "executor",
        "closed_pools",
        "host",
        "log",
        "drain_marks",
        "pools",
        "ready",
        "report_unexpected_data",
        "wait_queue",
        "services",
    )

    def __init__(self, *, host: str) -> None:
        self.host = host
        self.manifest_applied_at: float | None = None
        self.ready = False
        self.services: list[Service] = []
        self.pools: dict[str, ReplicaPool] = {}
        # Pools closed by the last manifest; queries that started before it still use them.
        self.closed_pools: dict[str, ReplicaPool] = {}
        # Called with the replica name and its incarnation, or None if it refused a connection.
        self.contact_listeners: list[ContactListener] = []
        self.report_unexpected_data: ReportUnexpectedData = ignore_report
        self.drain_marks = DrainMarks()
        self.wait_queue = WaitQueue()
        self.executor = ThreadPoolExecutor(MAX_CONNECTION_TASKS, thread_name_prefix="replica")
        self.log = component_logger("backends")

    def start(self, kernel: Kernel) -> None:
        """Subscribe to manifests."""
        kernel.find(MANIFEST).subscribe(self.apply_manifest)

    def stop(self) -> None:
        """Close all connections."""
        for pool in self.pools.values():
            pool.close()
        self.executor.shutdown(wait=True)

    def apply_manifest(self, manifest: Manifest) -> None:
        """Open pools for new replicas, and close the pools of removed ones."""
        pools: dict[str, ReplicaPool] = {}
        plan = slice_plan(manifest)
        # With direct fan-out all entry hosts share the connections of a replica, otherwise only the
        # owners of its slice do.
        sharing_host_count = len(manifest.entry_hosts) if plan.direct else plan.owners_per_slice
        for service in manifest.services.values():
            for shard in owned_shards(service, manifest, plan, host=self.host):
                for replica in shard.replicas:
                    share = connection_share(replica.connections, sharing_host_count)
                    pool = self.pools.get(replica.name)
                    if pool is None or not pool.matches(replica, in_flight_cap=share):
                        pool = ReplicaPool(
                            replica=replica,
                            in_flight_cap=share,
                            spawn=self.spawn,
                            contact_listeners=self.contact_listeners,
                            on_capacity_freed=partial(
                                self.wait_queue.notify_next, service.name, shard.index
                            ),
                            on_unexpected_data=partial(self.report_unexpected_data, "replica"),
                        )
                    pools[replica.name] = pool
        closed_pools = {
            name: pool for name, pool in self.pools.items() if pools.get(name) is not pool
        }
        self.closed_pools = closed_pools
        # A single assignment, so that a query sees either the old or the new pools.
        self.pools = pools
        self.drain_marks.retain_replicas(frozenset(pools))
        self.set_listed_leaving(self.drain_marks.listed_as_leaving)
        self.services = list(manifest.services.values())
        if self.manifest_applied_at is None:
            self.manifest_applied_at = time.monotonic()
        for pool in pools.values():
            pool.preconnect()
        for pool in closed_pools.values():
            pool.close()

    def is_ready(self) -> bool:
        """Whether a replica of each shard has replied, or the time limit for that has passed.

        False before the first manifest.
        """
        if self.ready or self.manifest_applied_at is None:
            return self.ready
        late = time.monotonic() - self.manifest_applied_at > READINESS_TIMEOUT_S
        self.ready = late or all(
            any(
                self.pools[replica.name].state.last_reply_at > float("-inf")
                for replica in shard.replicas
                if replica.name in self.pools
            )
            for service in self.services
            for shard in service.shards
        )
        return self.ready

    def apply_drain_mark(self, mark: DrainMark) -> None:
        """Stop using a replica that another entry host found draining, unless it has restarted."""
        pool = self.pools.get(mark.replica)
        if pool is not None and pool.state.incarnation == mark.incarnation:
            pool.mark_draining()

    def set_listed_leaving(self, names: Collection[str]) -> None:
        """Replace the set of replicas that are unused because the host list calls them leaving."""
        self.drain_marks.set_listed(names)
        for name, pool in self.pools.items():
            pool.state.listed_leaving = name in self.drain_marks.listed_as_leaving

    def spawn(self, task) -> None:
        """Start the task of a new connection."""
        self.executor.submit(task)

    def pools_by_shard(self, service: Service) -> dict[int, list[ReplicaPool]]:
        """Return the pools of a service by shard index, also if its manifest was just replaced."""
        # ``apply_manifest`` assigns ``closed_pools`` before ``pools``. Reading them in the reverse
        # order guarantees that no replica is missing from both.
        pools = self.pools
        closed_pools = self.closed_pools
        return {
            shard.index: [
                pool
                for replica in shard.replicas
                if (pool := pools.get(replica.name) or closed_pools.get(replica.name)) is not None
            ]
            for shard in service.shards
        }


def states_by_shard(pools: Mapping[int, list[ReplicaPool]]) -> dict[int, list[ReplicaState]]:
    """Return the replica states by shard index."""
    return {index: [pool.state for pool in shard_pools] for index, shard_pools in pools.items()}


def query_capacity(pools: Mapping[int, list[ReplicaPool]], *, now: float) -> int:
    """Return the number of concurrent queries that the shard with the least capacity can serve.

    The result is at least 1. Shards without a serving replica are ignored, since queries don't wait
    for them.
    """
    capacities = [
        sum(
            pool.state.concurrency_limit.max_in_flight
            for pool in shard_pools
            if pool.state.is_serving(now)
        )
        for shard_pools in pools.values()
    ]
    return max(1, min((capacity for capacity in capacities if capacity), default=1))
