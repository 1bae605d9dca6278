"""Which availability zones are evacuated: their backend servers get no requests."""

from __future__ import annotations

from collections.abc import Collection, Iterable

from rhubarbway.model import BackendServer


class EvacuatedZones:
    """The evacuated zones, and since when this host knows of each; the caller holds a lock.

    Examples
    --------
    >>> zones = EvacuatedZones()
    >>> zones.replace({"north", "south"}, now=1.0)
    (['north', 'south'], [])
    >>> zones.replace({"south"}, now=4.0)
    ([], ['north'])
    >>> zones.ages_s(now=6.0)
    {'south': 5.0}
    """

    __slots__ = ("since",)

    def __init__(self) -> None:
        self.since: dict[str, float] = {}

    def replace(self, zones: Collection[str], *, now: float) -> tuple[list[str], list[str]]:
        """Set the evacuated zones; return those whose evacuation begins and those where it ends.

        The set is always replaced as a whole, so that it equals what the copy of the store holds
        after any order of changes.
        """
        begun = sorted(zone for zone in zones if zone not in self.since)
        ended = sorted(zone for zone in self.since if zone not in zones)
        for zone in ended:
            del self.since[zone]
        for zone in begun:
            self.since[zone] = now
        return begun, ended

    def includes(self, server: BackendServer) -> bool:
        """Return whether a server is in an evacuated zone."""
        return server.zone in self.since

    def ages_s(self, *, now: float) -> dict[str, float]:
        """Return by zone for how long this host has known of its evacuation, seconds."""
        return {zone: now - since for zone, since in sorted(self.since.items())}


def services_without_servers(
    servers: Iterable[BackendServer], evacuated: EvacuatedZones
) -> list[str]:
    """Return the services whose servers are all in evacuated zones.

    The evacuation binds for them too: a request that needs one is refused at once, and a fan-out
    lacks the shard. Sending to the last servers instead would break what the operator relies on
    when the zone is switched off.

    Examples
    --------
    >>> zones = EvacuatedZones()
    >>> _ = zones.replace({"north"}, now=0.0)
    >>> def server(service, zone):
    ...     return BackendServer(id=f"{service}-{zone}", service=service, address="", zone=zone,
    ...                          slots=1)
    >>> servers = [server("desk", "north"), server("board", "north"), server("board", "south")]
    >>> services_without_servers(servers, zones)
    ['desk']
    """
    has_server: dict[str, bool] = {}
    for server in servers:
        if not server.draining:
            is_usable = not evacuated.includes(server)
            has_server[server.service] = has_server.get(server.service, False) or is_usable
    return sorted(service for service, usable in has_server.items() if not usable)
