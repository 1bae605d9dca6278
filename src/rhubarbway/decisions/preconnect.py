"""Which connections an entry host opens before a request needs them.

The first wide query of a host that has just started would open one connection for each shard, and
on a small host that takes longer than a short target leaves.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from random import Random
from typing import Protocol, TypeVar

from rhubarbway.model import BackendServer, Route


class ConnectionPool(Protocol):
    """What is known of the connections to one server."""

    server: BackendServer
    connections: int


Pool = TypeVar("Pool", bound=ConnectionPool)


def sharded_services(routes: Iterable[Route]) -> set[str]:
    """Return the services to which each request of some route goes."""
    return {service for route in routes for service in route.shards}


def pools_to_preconnect(
    pools: Mapping[str, Sequence[Pool]], *, services: Iterable[str], zone: str, random: Random
) -> list[Pool]:
    """Return the pools that open a connection, at most one for each service.

    A service is left alone if there is a connection to one of its servers in the host's own zone,
    which are preferred, or if it has no server there.

    Parameters
    ----------
    pools : mapping of str to sequence
        What is known of the servers of each service.
    services : iterable of str
        Services that each get a request of a query.
    zone : str
        Zone of this host.
    random : Random
        Spreads the connections of many hosts over the servers of a zone.
    """
    chosen = []
    for service in services:
        local = [pool for pool in pools.get(service, ()) if pool.server.zone == zone]
        if local and not any(pool.connections for pool in local):
            chosen.append(random.choice(local))
    return chosen
