"""Connections to other entry hosts that carry requests of callers."""

from __future__ import annotations

import threading

from rhubarbway.edge.http_client import HttpConnection

MAX_IDLE_CONNECTIONS_PER_HOST = 8


class PeerConnections:
    """Open connections to other entry hosts that no request uses now."""

    __slots__ = ("idle", "lock")

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.idle: dict[str, list[HttpConnection]] = {}

    def acquire(self, address: str) -> HttpConnection:
        """Return a connection to an address, an idle one if there is any."""
        with self.lock:
            idle = self.idle.get(address)
            if idle:
                return idle.pop()
        return HttpConnection(address=address)

    def release(self, connection: HttpConnection) -> None:
        """Keep a connection for the next request, or close it if there are enough."""
        with self.lock:
            idle = self.idle.setdefault(connection.address, [])
            if len(idle) < MAX_IDLE_CONNECTIONS_PER_HOST:
                idle.append(connection)
                return
        connection.close()

    def keep_only(self, addresses: set[str]) -> None:
        """Close the idle connections to all other addresses."""
        with self.lock:
            removed = [address for address in self.idle if address not in addresses]
            closed = [connection for address in removed for connection in self.idle.pop(address)]
        for connection in closed:
            connection.close()
