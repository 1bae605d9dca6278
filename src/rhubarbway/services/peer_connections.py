"""Pool of connections to other entry hosts, for requests of callers."""

from __future__ import annotations

import threading

from rhubarbway.edge.http_client import (
    HttpConnection,
    UnexpectedDataListener,
    ignore_unexpected_data,
)

MAX_IDLE_CONNECTIONS_PER_HOST = 8


class PeerConnections:
    """Idle open connections to other entry hosts, by address.

    Attributes
    ----------
    on_unexpected_data : callable
        Called with the address of a connection that held data which answers no request.
    """

    __slots__ = ("idle", "lock", "on_unexpected_data")

    def __init__(self) -> None:
        self.on_unexpected_data: UnexpectedDataListener = ignore_unexpected_data
        self.lock = threading.Lock()
        self.idle: dict[str, list[HttpConnection]] = {}

    def acquire(self, address: str) -> HttpConnection:
        """Return an idle connection to an address, or a new one."""
        with self.lock:
            idle = self.idle.get(address)
            if idle:
                return idle.pop()
        return self.open(address)

    def open(self, address: str) -> HttpConnection:
        """Return a new connection to an address."""
        return HttpConnection(address=address, on_unexpected_data=self.on_unexpected_data)

    def release(self, connection: HttpConnection) -> None:
        """Keep a connection for the next request, or close it if enough are idle."""
        with self.lock:
            idle = self.idle.setdefault(connection.address, [])
            if len(idle) < MAX_IDLE_CONNECTIONS_PER_HOST:
                idle.append(connection)
                return
        connection.close()

    def retain_addresses(self, addresses: set[str]) -> None:
        """Close the idle connections to all other addresses; an empty set closes all."""
        with self.lock:
            removed = [address for address in self.idle if address not in addresses]
            closed = [connection for address in removed for connection in self.idle.pop(address)]
        for connection in closed:
            connection.close()
