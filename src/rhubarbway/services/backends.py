"""All replicas of the manifest in force, with a pool of connections to each."""

from __future__ import annotations

import threading
import time
from bisect import insort
from collections.abc import Collection, Iterable, Mapping
from concurrent.futures import ThreadPoolExecutor
from functools import partial

from rhubarbway.decisions.draining import DrainMark, DrainMarks
from rhubarbway.decisions.replica_state import ReplicaState
from rhubarbway.decisions.slices import SlicePlan, owners_of, slice_plan, slices_of
from rhubarbway.kernel import Kernel
from rhubarbway.model import Manifest, Service, Shard
from rhubarbway.services.inbox import CapacityFreed, Inbox
from rhubarbway.services.log import component_logger
from rhubarbway.services.names import MANIFEST
from rhubarbway.services.replica_pool import ContactListener, ReplicaPool

MAX_CONNECTION_TASKS = 2048
# A host that starts is ready without an answer of some shard after this time, so that a lost shard
# does not keep hosts from starting.
PREPARE_LIMIT_S = 1.0


def connection_share(connections: int, entry_hosts: int) -> int:
    """Return the connections of a replica that one entry host may use.

    The shares of all published entry hosts together never exceed what the server accepts, unless
    there are more entry hosts than connections.

    Examples
    --------
    >>> connection_share(30, 9)
    3
    """
    return max(1, connections // max(1, entry_hosts))


class ShardWaiter:
    """A query that waits for room on any replica of one shard, ordered by its deadline."""

    __slots__ = ("deadline", "inbox", "service", "shard")

    def __init__(self, *, service: str, shard: int, deadline: float, inbox: Inbox) -> None:
        self.service = service
        self.shard = shard
        self.deadline = deadline
        self.inbox = inbox

    def __lt__(self, other: ShardWaiter) -> bool:
        return self.deadline < other.deadline


class WaitQueue:
    """The queries that wait for room, by service and shard."""

    __slots__ = ("lock", "waiters")

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.waiters: dict[tuple[str, int], list[ShardWaiter]] = {}

    def enter(self, waiter: ShardWaiter) -> None:
        """Add a waiter; the caller then looks for room once more, since some may just be free."""
        with self.lock:
            insort(self.waiters.setdefault((waiter.service, waiter.shard), []), waiter)

    def leave(self, waiter: ShardWaiter) -> None:
        """Remove a waiter; if it was called already, the next one is called in its place."""
        with self.lock:
            line = self.waiters.get((waiter.service, waiter.shard), [])
            found = waiter in line
            if found:
                line.remove(waiter)
                if not line:
                    del self.waiters[(waiter.service, waiter.shard)]
        if not found:
            self.notify_next(waiter.service, waiter.shard)

    def notify_next(self, service: str, shard: int) -> None:
        """Tell the waiter with the earliest deadline that there may be room."""
        # Nobody waits in the usual case, which needs no lock.
        if not self.waiters:
            return
        with self.lock:
            line = self.waiters.get((service, shard))
            if not line:
                return
            waiter = line.pop(0)
            if not line:
                del self.waiters[(service, shard)]
        waiter.inbox.put(CapacityFreed(shard=shard))


def owned_shards(
    service: Service, manifest: Manifest, plan: SlicePlan, *, host: str
) -> Iterable[Shard]:
    """Return the shards to whose replicas an entry host connects."""
    if plan.direct:
        return service.shards
    owned = [
        part
        for part in slices_of(service)
        if host in [owner.name for owner in owners_of(part, manifest.entry_hosts, plan)]
    ]
    return [shard for part in owned for shard in service.shards[part.first : part.last + 1]]


class BackendService:
    """Owns one ``ReplicaPool`` for each replica."""

    __slots__ = (
        "applied_at",
        "contact_listeners",
        "executor",
        "former",
        "host",
        "log",
        "marks",
        "pools",
        "prepared",
        "wait_queue",
        "services",
    )

    def __init__(self, *, host: str) -> None:
        self.host = host
        self.applied_at: float | None = None
        self.prepared = False
        self.services: list[Service] = []
        self.pools: dict[str, ReplicaPool] = {}
        # Pools that the last manifest closed; queries that started before still use them.
        self.former: dict[str, ReplicaPool] = {}
        # Called with replica name and incarnation, or None if a connection was refused.
        self.contact_listeners: list[ContactListener] = []
        self.marks = DrainMarks()
        self.wait_queue = WaitQueue()
        self.executor = ThreadPoolExecutor(MAX_CONNECTION_TASKS, thread_name_prefix="replica")
        self.log = component_logger("backends")

    def start(self, kernel: Kernel) -> None:
        """Follow the manifest."""
        kernel.find(MANIFEST).subscribe(self.apply_manifest)

    def stop(self) -> None:
        """Close all connections."""
        for pool in self.pools.values():
            pool.close()
        self.executor.shutdown(wait=True)

    def apply_manifest(self, manifest: Manifest) -> None:
        """Open pools for new replicas and close those of replicas that are gone."""
        pools: dict[str, ReplicaPool] = {}
        plan = slice_plan(manifest)
        # Connections of a replica are shared by all entry hosts, or by the owners of its slice.
        sharers = len(manifest.entry_hosts) if plan.direct else plan.owners
        for service in manifest.services.values():
            for shard in owned_shards(service, manifest, plan, host=self.host):
                for replica in shard.replicas:
                    share = connection_share(replica.connections, sharers)
                    pool = self.pools.get(replica.name)
                    if pool is None or not pool.fits(replica, limit=share):
                        pool = ReplicaPool(
                            replica=replica,
                            limit=share,
                            spawn=self.spawn,
                            contact_listeners=self.contact_listeners,
                            freed=partial(self.wait_queue.notify_next, service.name, shard.index),
                        )
                    pools[replica.name] = pool
        former = {n: pool for n, pool in self.pools.items() if pools.get(n) is not pool}
        self.former = former
        # One assignment, so that a query sees either the old or the new set.
        self.pools = pools
        self.marks.keep_only(frozenset(pools))
        self.note_listed(self.marks.listed)
        self.services = list(manifest.services.values())
        if self.applied_at is None:
            self.applied_at = time.monotonic()
        for pool in pools.values():
            pool.open_ahead()
        for pool in former.values():
            pool.close()

    def is_prepared(self) -> bool:
        """Whether a host that starts has heard from each shard, or waited long enough for it."""
        if self.prepared or self.applied_at is None:
            return self.prepared
        late = time.monotonic() - self.applied_at > PREPARE_LIMIT_S
        self.prepared = late or all(
            any(
                self.pools[replica.name].state.last_heard > float("-inf")
                for replica in shard.replicas
                if replica.name in self.pools
            )
            for service in self.services
            for shard in service.shards
        )
        return self.prepared

    def apply_mark(self, mark: DrainMark) -> None:
        """Stop using a replica that another entry host saw leaving."""
        pool = self.pools.get(mark.replica)
        if pool is not None and pool.state.incarnation == mark.incarnation:
            pool.note_drain()

    def note_listed(self, names: Collection[str]) -> None:
        """Stop using the replicas that the host list calls leaving, and only those."""
        self.marks.note_listed(names)
        for name, pool in self.pools.items():
            pool.state.listed_leaving = name in self.marks.listed

    def spawn(self, task) -> None:
        """Run the task of a new connection."""
        self.executor.submit(task)

    def pools_of(self, service: Service) -> dict[int, list[ReplicaPool]]:
        """Return the pools of a service by shard index, also if its manifest was just replaced."""
        # In this order: ``former`` is assigned first, so no replica is missing from both.
        pools = self.pools
        former = self.former
        return {
            shard.index: [
                pool
                for replica in shard.replicas
                if (pool := pools.get(replica.name) or former.get(replica.name)) is not None
            ]
            for shard in service.shards
        }


def states_of(pools: Mapping[int, list[ReplicaPool]]) -> dict[int, list[ReplicaState]]:
    """Return the replica states by shard index."""
    return {index: [pool.state for pool in members] for index, members in pools.items()}


def capacity_of(pools: Mapping[int, list[ReplicaPool]], *, now: float) -> int:
    """Return how many queries the shard with the least room serves at a time, at least 1.

    A shard without any serving replica does not count: a query need not wait for it.
    """
    rooms = [
        sum(pool.state.adaptive.allowed for pool in members if pool.state.serving(now))
        for members in pools.values()
    ]
    return max(1, min((room for room in rooms if room), default=1))
