"""The places of a server for connections, and how a new connection gets one."""

from __future__ import annotations

import contextlib
import socket
import threading
import time

from rhubarbway.edge.connection_state import ConnectionRules, ConnectionState
from rhubarbway.model import CallerConnection, Shortage

# Connections that are being closed to make room, but still have their descriptors and threads.
MAX_CLOSING = 16
# A connection that was closed frees its bytes within this time, seconds.
CLOSE_INTERVAL_S = 0.1
# Time for which new connections wait once all places are taken, before further ones are refused at
# once, seconds. Slow readers may be closed before it ends.
PLACE_WAIT_S = 2.5


class ConnectionPlaces:
    """The open connections of a server, whose number is limited.

    Parameters
    ----------
    limit : int
        Number of places. Connections that are being closed may exceed it by ``MAX_CLOSING``.
    rules : ConnectionRules
        Decide which connection gives up its place.

    Attributes
    ----------
    taken_since : float
        Instant since which no new connection got a place; infinity while there are some.
    """

    __slots__ = (
        "connection_ended",
        "connections",
        "limit",
        "lock",
        "rules",
        "taken_since",
    )

    def __init__(self, *, limit: int, rules: ConnectionRules) -> None:
        self.limit = limit
        self.rules = rules
        self.connections: set[ConnectionState] = set()
        self.lock = threading.Lock()
        self.connection_ended = threading.Condition(self.lock)
        self.taken_since = float("inf")

    @property
    def are_taken(self) -> bool:
        """Whether new connections find no place, so that others end after their reply."""
        return self.taken_since < float("inf")

    def add(self, state: ConnectionState, *, may_wait: bool) -> bool:
        """Give a place to a new connection; return whether there was one.

        Without a free place, a connection that the rules choose is closed. If they choose none, the
        call waits until one ends or may be closed, but not for all connections that come while no
        place becomes free.
        """
        with self.lock:
            now = time.monotonic()
            while not self.make_room():
                self.taken_since = min(self.taken_since, now)
                wait_s = self.taken_since + PLACE_WAIT_S - now
                if not may_wait or wait_s <= 0.0:
                    return False
                callers = [one.caller for one in self.connections]
                closable_s = self.rules.next_closable_at(callers, Shortage.PLACES) - now
                self.connection_ended.wait(min(wait_s, max(closable_s, CLOSE_INTERVAL_S)))
                now = time.monotonic()
            self.taken_since = float("inf")
            self.connections.add(state)
            return True

    def make_room(self) -> bool:
        """Return whether there is room for a connection, and close another one for it if needed.

        The caller holds the lock.
        """
        if len(self.connections) < self.limit:
            return True
        closing = sum(state.caller.cut for state in self.connections)
        if closing >= MAX_CLOSING:
            return False
        if len(self.connections) - closing < self.limit:
            return True
        return self.close_one(Shortage.PLACES) is not None

    def close_one(self, shortage: Shortage) -> CallerConnection | None:
        """Close the connection that the rules choose, if any; the caller holds the lock.

        Its task ends it. A request that the task has not read completely is not handled.
        """
        states = {state.caller: state for state in self.connections}
        caller = self.rules.choose_closed(states, shortage, time.monotonic())
        if caller is not None:
            caller.cut = True
            shutdown_socket(states[caller].sock)
            self.rules.report(states[caller].peer, caller.phase, shortage.value)
        return caller

    def relieve(self) -> float:
        """Close a connection that holds bytes; return when the next one may be closed."""
        with self.lock:
            closed = self.close_one(Shortage.BYTES)
            callers = [state.caller for state in self.connections]
        next_at = self.rules.next_closable_at(callers, Shortage.BYTES)
        return next_at if closed is None else max(next_at, time.monotonic() + CLOSE_INTERVAL_S)


def shutdown_socket(sock: socket.socket) -> None:
    """Shut the socket down in both directions, which wakes any thread that waits on it."""
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)
