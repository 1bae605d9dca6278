"""Which backend servers are in use, from what the platform's registry says and when.

The registry forgets entries while it is away, so an entry that is missing after an outage is not
proof that its server has ended until the servers had time to register again.
"""

from __future__ import annotations

from collections.abc import Iterable

from rhubarbway.model import BackendServer

# Entries that lapsed during an outage of the registry are back within about 2 s of its return.
RETURN_GRACE_S = 2.2


class ServerRoster:
    """Servers by id, and removals that wait for the registry to settle.

    Attributes
    ----------
    servers : dict of str to BackendServer
        The servers that may get work, and those that drain.
    settled_at : float
        Instant until which a missing entry is no proof.

    Examples
    --------
    >>> server = BackendServer(id="i-1", service="desk", address="a:1", zone="z", slots=3)
    >>> roster = ServerRoster()
    >>> roster.put(server)
    >>> roster.note_return(now=10.0)
    >>> roster.remove("i-1", now=11.0)
    >>> sorted(roster.servers), roster.expire(now=12.3), sorted(roster.servers)
    (['i-1'], True, [])
    """

    __slots__ = ("missing", "servers", "settled_at")

    def __init__(self) -> None:
        self.servers: dict[str, BackendServer] = {}
        self.missing: set[str] = set()
        self.settled_at = float("-inf")

    def put(self, server: BackendServer) -> None:
        """Add or replace a server."""
        self.servers[server.id] = server
        self.missing.discard(server.id)

    def remove(self, server_id: str, *, now: float) -> None:
        """Drop a server, later if the registry has only just come back."""
        if now < self.settled_at:
            self.missing.add(server_id)
        else:
            self.servers.pop(server_id, None)

    def replace_all(self, servers: Iterable[BackendServer], *, now: float) -> None:
        """Take over a complete list."""
        listed = {server.id: server for server in servers}
        for server_id in [known for known in self.servers if known not in listed]:
            self.remove(server_id, now=now)
        for server in listed.values():
            self.put(server)

    def note_return(self, *, now: float) -> None:
        """Record that the registry answers again after it was away."""
        self.settled_at = now + RETURN_GRACE_S

    def expire(self, *, now: float) -> bool:
        """Drop what is still missing once the registry has settled; return whether any was."""
        if not self.missing or now < self.settled_at:
            return False
        for server_id in self.missing:
            self.servers.pop(server_id, None)
        self.missing.clear()
        return True

    def serving(self) -> dict[str, list[BackendServer]]:
        """Return the servers that may get work, by service."""
        by_service: dict[str, list[BackendServer]] = {}
        for server in self.servers.values():
            if not server.draining:
                by_service.setdefault(server.service, []).append(server)
        return by_service
