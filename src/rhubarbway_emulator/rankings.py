"""Rankings of replicas that the product's own one is compared with.

Each function returns the choice of one host, to be used as ``ForwardingContext.choose_replica``.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable

from rhubarbway.decisions.rendezvous import rendezvous_hash
from rhubarbway.decisions.replica_ranking import RankingView, best_replica
from rhubarbway_emulator.hosts import ChooseReplica, EmulatedPool

# A host with an order of its own skips a replica from this slowness on.
SKIPPED_SLOWNESS = 2.0


def usable(
    candidates: Iterable[EmulatedPool], view: RankingView, excluded: Collection[str]
) -> list[EmulatedPool]:
    """Return the candidates that accept requests, without ejected ones while there are others."""
    accepting = [
        pool
        for pool in candidates
        if pool.state.accepts_requests(view.now) and pool.server.id not in excluded
    ]
    return [pool for pool in accepting if not pool.state.is_ejected(view.now)] or accepting


def expected_latency(host_name: str) -> ChooseReplica:
    """Return the ranking of the product."""
    return best_replica


def two_choices(host_name: str) -> ChooseReplica:
    """Return a choice between two random replicas: the one with fewer requests of this host."""

    def choose(
        candidates: Iterable[EmulatedPool], view: RankingView, *, excluded: Collection[str] = ()
    ) -> EmulatedPool | None:
        pools = usable(candidates, view, excluded)
        assert view.random is not None
        pair = view.random.sample(pools, min(2, len(pools)))
        return min(pair, key=lambda pool: len(pool.state.in_flight), default=None)

    return choose


def two_choices_by_latency(host_name: str) -> ChooseReplica:
    """Return a choice between a replica of the zone and a random one, by expected latency."""

    def choose(
        candidates: Iterable[EmulatedPool], view: RankingView, *, excluded: Collection[str] = ()
    ) -> EmulatedPool | None:
        pools = usable(candidates, view, excluded)
        if len(pools) > 2:
            assert view.random is not None
            near = [pool for pool in pools if pool.server.zone == view.zone] or pools
            first = view.random.choice(near)
            pools = [first, view.random.choice([pool for pool in pools if pool is not first])]
        return best_replica(pools, view)

    return choose


def own_order(host_name: str) -> ChooseReplica:
    """Return a choice by an order of the replicas that each host has for itself.

    The order begins with the replicas of the host's zone and is otherwise that of rendezvous
    hashing. A replica that is busy with requests of this host, or slow, is skipped.
    """

    def choose(
        candidates: Iterable[EmulatedPool], view: RankingView, *, excluded: Collection[str] = ()
    ) -> EmulatedPool | None:
        pools = sorted(
            usable(candidates, view, excluded),
            key=lambda pool: (
                pool.server.zone != view.zone,
                rendezvous_hash(pool.server.id, key=host_name),
            ),
        )
        free = (
            pool
            for pool in pools
            if len(pool.state.in_flight) < pool.server.slots
            and pool.state.current_slowness(view.now) < SKIPPED_SLOWNESS
        )
        return next(free, pools[0] if pools else None)

    return choose


RANKINGS: dict[str, Callable[[str], ChooseReplica]] = {
    "product": expected_latency,
    "two-choices": two_choices,
    "two-choices-by-latency": two_choices_by_latency,
    "own-order": own_order,
}
