"""Selection of the connections that an entry host opens before a request needs them.

Otherwise the first fan-out of a host that has just started would open one connection for each
shard, which on a small host takes longer than a short target latency allows.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from random import Random
from typing import Protocol, TypeVar

from rhubarbway.model import BackendServer, Route


class ConnectionPool(Protocol):
    """A server and its number of open connections."""

    server: BackendServer
    connection_count: int


Pool = TypeVar("Pool", bound=ConnectionPool)


def sharded_services(routes: Iterable[Route]) -> set[str]:
    """Return the services that are shards of some route; each of its requests needs them all."""
    return {service for route in routes for service in route.shards}


def pools_to_preconnect(
    pools: Mapping[str, Sequence[Pool]], *, services: Iterable[str], zone: str, random: Random
) -> list[Pool]:
    """Return the pools that should open a connection, at most one for each service.

    Requests prefer servers in the host's own zone, so only these are considered. A service is left
    out if it has no server in the zone, or if a connection to one of them exists already.

    Parameters
    ----------
    pools : mapping of str to sequence
        Connection pools of the servers of each service.
    services : iterable of str
        Services that each request of a fan-out route needs.
    zone : str
        Zone of this host.
    random : Random
        Distributes the connections of many hosts over the servers of a zone.
    """
    chosen = []
    for service in services:
        local = [pool for pool in pools.get(service, ()) if pool.server.zone == zone]
        if local and not any(pool.connection_count for pool in local):
            chosen.append(random.choice(local))
    return chosen
