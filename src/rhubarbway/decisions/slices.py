"""Choice between direct fan-out and two-level fan-out through slice owners.

Servers limit their connections, so thousands of entry hosts cannot each connect to each replica. In
such a deployment the shards of a service are divided into slices, and only a few entry hosts, the
owners of a slice, connect to its replicas. For a query, an entry host sends two rounds of requests
to one owner of each slice: the first finds a snapshot for all slices, the second runs the query on
it. If an owner does not reply, the next one is tried, unless an unsafe query may have run. The plan
depends only on the sizes and the connection limits in the manifest, so all hosts with the same
manifest agree on it.
"""

from __future__ import annotations

from collections.abc import Collection, Sequence
from functools import lru_cache

from rhubarbway.decisions.rendezvous import ranked_hosts, spread_over_zones
from rhubarbway.model import EntryHost, Manifest, Service

# Connections of one entry host, at most, with direct fan-out: one to each replica.
MAX_HOST_CONNECTIONS = 1024
SHARDS_PER_SLICE = 22
# Two owners, if there are as many hosts, keep a slice reachable when one of them fails.
MIN_OWNERS_PER_SLICE = 2


class Slice:
    """A contiguous range of shards of one service.

    Parameters
    ----------
    service : str
        Name of the service.
    first, last : int
        Indices of the first and the last shard, both inclusive.
    """

    __slots__ = ("first", "last", "service")

    def __init__(self, *, service: str, first: int, last: int) -> None:
        self.service = service
        self.first = first
        self.last = last

    @property
    def name(self) -> str:
        """Name of the slice, which is also the key of its rendezvous hashing."""
        return f"{self.service}/{self.first}-{self.last}"


class SlicePlan:
    """Fan-out plan of a manifest: direct, or through slice owners.

    ``owners_per_slice`` is the number of entry hosts that own each slice, 0 if ``direct`` is True.
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
    """Return the smallest connection limit among all replicas."""
    return min(
        replica.connections
        for service in manifest.services.values()
        for shard in service.shards
        for replica in shard.replicas
    )


def service_slices(service: Service) -> list[Slice]:
    """Return the slices of a service in the order of their shards.

    Examples
    --------
    >>> service = Service(name="s", tenant="t", layout="l", value=1.0, shards=(None,) * 30)
    >>> [slice_.name for slice_ in service_slices(service)]
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
    """Return the fan-out plan of a manifest; cached, since each query needs it.

    Fan-out is direct if every entry host can have a connection to every replica and no host needs
    more than ``MAX_HOST_CONNECTIONS``.
    """
    host_count = max(1, len(manifest.entry_hosts))
    connection_limit = min_connection_limit(manifest)
    if connection_limit >= host_count and replica_count(manifest) <= MAX_HOST_CONNECTIONS:
        return SlicePlan(direct=True, owners_per_slice=0)
    slice_count = sum(len(service_slices(service)) for service in manifest.services.values())
    # In a large fleet, host_count // slice_count makes each host own about one slice. With more
    # owners than a replica accepts connections, some owners could not connect.
    owners = min(max(MIN_OWNERS_PER_SLICE, host_count // slice_count), connection_limit, host_count)
    return SlicePlan(direct=False, owners_per_slice=owners)


def slice_owners(
    slice_: Slice, hosts: Sequence[EntryHost], plan: SlicePlan, *, excluded: Collection[str] = ()
) -> list[EntryHost]:
    """Return the owners of a slice, in different zones as far as possible.

    Parameters
    ----------
    slice_ : Slice
        Slice of a service in the manifest.
    hosts : sequence of EntryHost
        Entry hosts of the manifest.
    plan : SlicePlan
        Fan-out plan of the manifest.
    excluded : collection of str
        Names of hosts that cannot be owners; the next in rank replace them.
    """
    candidates = [host for host in hosts if host.name not in excluded]
    return spread_over_zones(ranked_hosts(candidates, key=slice_.name), plan.owners_per_slice)
