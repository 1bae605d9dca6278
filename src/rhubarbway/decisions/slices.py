"""Choice between direct fan-out and an intermediate level of slice owners.

A deployment of thousands of entry hosts may not connect each of them to each replica: servers cap
their connections. There, the shards of a service are cut into slices, and each slice belongs to a
few entry hosts that alone hold connections to its replicas. A query then takes one hop to one owner
of each slice. The plan follows from the sizes in the manifest and from nothing else, so that all
hosts with the same manifest agree.
"""

from __future__ import annotations

from collections.abc import Collection, Sequence
from functools import lru_cache

from rhubarbway.decisions.rendezvous import ranked_hosts, spread_over_zones
from rhubarbway.model import EntryHost, Manifest, Service

# Connections that one entry host may hold before direct fan-out is given up.
MAX_HOST_CONNECTIONS = 1024
SHARDS_PER_SLICE = 22
# One owner may be gone, so a slice has at least two while there are enough hosts.
MIN_OWNERS_PER_SLICE = 2


class Slice:
    """A range of shards of one service.

    Parameters
    ----------
    service : str
        Name of the service.
    first, last : int
        Index of the first and of the last shard, both included.
    """

    __slots__ = ("first", "last", "service")

    def __init__(self, *, service: str, first: int, last: int) -> None:
        self.service = service
        self.first = first
        self.last = last

    @property
    def name(self) -> str:
        """Text form, also the purpose of the rendezvous ranking."""
        return f"{self.service}/{self.first}-{self.last}"


class SlicePlan:
    """How the queries of a manifest reach the replicas.

    ``owners`` is the number of entry hosts for each slice; it is 0 when ``direct`` is true.
    """

    __slots__ = ("direct", "owners_per_slice")

    def __init__(self, *, direct: bool, owners_per_slice: int) -> None:
        self.direct = direct
        self.owners_per_slice = owners_per_slice


def replica_count(manifest: Manifest) -> int:
    """Return the number of replicas of all services."""
    return sum(
        len(shard.replicas) for service in manifest.services.values() for shard in service.shards
    )


def min_connection_limit(manifest: Manifest) -> int:
    """Return the smallest connection limit of any replica."""
    return min(
        replica.connections
        for service in manifest.services.values()
        for shard in service.shards
        for replica in shard.replicas
    )


def service_slices(service: Service) -> list[Slice]:
    """Return the slices of a service, in order of their shards.

    Examples
    --------
    >>> service = Service(name="s", tenant="t", layout="l", value=1.0, shards=(None,) * 30)
    >>> [part.name for part in service_slices(service)]
    ['s/0-21', 's/22-29']
    """
    count = len(service.shards)
    return [
        Slice(
            service=service.name,
            first=first,
            last=min(first + SHARDS_PER_SLICE, count) - 1,
        )
        for first in range(0, count, SHARDS_PER_SLICE)
    ]


@lru_cache(maxsize=4)
def slice_plan(manifest: Manifest) -> SlicePlan:
    """Return the plan for a manifest; each query asks for it, so it is computed once.

    Fan-out is direct when every entry host gets at least one connection of every replica and no
    host needs more than ``MAX_HOST_CONNECTIONS``.
    """
    host_count = max(1, len(manifest.entry_hosts))
    connection_limit = min_connection_limit(manifest)
    if connection_limit >= host_count and replica_count(manifest) <= MAX_HOST_CONNECTIONS:
        return SlicePlan(direct=True, owners_per_slice=0)
    slice_count = sum(len(service_slices(service)) for service in manifest.services.values())
    # More owners than connections could not all connect.
    owners = min(max(MIN_OWNERS_PER_SLICE, host_count // slice_count), connection_limit, host_count)
    return SlicePlan(direct=False, owners_per_slice=owners)


def slice_owners(
    slice_: Slice, hosts: Sequence[EntryHost], plan: SlicePlan, *, excluded: Collection[str] = ()
) -> list[EntryHost]:
    """Return the owners of a slice, in different zones as far as possible.

    Parameters
    ----------
    slice_ : Slice
        The slice.
    hosts : sequence of EntryHost
        Published entry hosts.
    plan : SlicePlan
        Plan of the manifest.
    excluded : collection of str
        Names of hosts believed dead; the next in rank take their place.
    """
    candidates = [host for host in hosts if host.name not in excluded]
    return spread_over_zones(ranked_hosts(candidates, purpose=slice_.name), plan.owners_per_slice)
