"""Connection caps of an emulated run, and the servers that each host uses because of them."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import TYPE_CHECKING

from rhubarbway.decisions.connection_subsets import ConnectionSubsets, ServerAccess
from rhubarbway.decisions.delegation import FanOutHost
from rhubarbway_emulator.servers import EmulatedServer

if TYPE_CHECKING:
    from rhubarbway_emulator.hosts import EmulatedHost


def limit_connections(
    hosts: Sequence[EmulatedHost],
    servers: Mapping[str, list[EmulatedServer]],
    *,
    connection_cap: int,
) -> None:
    """Set the cap of all servers, and let each host use its subset of them."""
    members = [FanOutHost(address=host.name, zone=host.zone, cores=host.cores) for host in hosts]
    for service_servers in servers.values():
        for server in service_servers:
            server.connection_cap = connection_cap
    for host, member in zip(hosts, members, strict=True):
        subsets = ConnectionSubsets(own=member, hosts=members)
        if not subsets.applies(connection_cap):
            continue
        for service, pools in host.pools.items():
            access = subsets.access([pool.server for pool in pools], connection_cap=connection_cap)
            host.pools[service] = [
                pool for pool in pools if access[pool.server.id] is not ServerAccess.NONE
            ]
            for pool in pools:
                pool.state.is_reserve = access[pool.server.id] is ServerAccess.RESERVE
