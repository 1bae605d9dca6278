"""State of an accepted connection, and the rules by which a server closes connections."""

from __future__ import annotations

import select
import socket
import time
from collections.abc import Callable, Iterable

from rhubarbway.edge.byte_account import UNCOUNTED, Account
from rhubarbway.edge.sent_bytes import SentBytes
from rhubarbway.model import CallerConnection, ConnectionPhase, Shortage


class ConnectionCut(OSError):
    """Raised in the task of a connection that the server has decided to close."""


class SlowReader(OSError):
    """Raised when a caller takes its answer too slowly."""


class ConnectionRules:
    """Functions that decide which connections a server closes, and that count their bytes.

    Attributes
    ----------
    choose_closed : callable
        Returns the connection to close for a shortage, or None.
    next_closable_at : callable
        Returns the instant from which some connection may be closed for a shortage.
    open_account : callable
        Returns the account of a new request.
    reads_too_slowly : callable
        Whether the answer on a connection is broken off.
    report : callable
        Called with the peer, the phase of a connection and the reason when it is closed.
    """

    __slots__ = (
        "choose_closed",
        "next_closable_at",
        "open_account",
        "reads_too_slowly",
        "report",
    )

    def __init__(
        self,
        *,
        choose_closed: Callable[
            [Iterable[CallerConnection], Shortage, float], CallerConnection | None
        ] = lambda connections, shortage, now: None,
        next_closable_at: Callable[
            [Iterable[CallerConnection], Shortage], float
        ] = lambda connections, shortage: float("inf"),
        open_account: Callable[[], Account] = lambda: UNCOUNTED,
        reads_too_slowly: Callable[[CallerConnection, float], bool] = lambda connection, now: False,
        report: Callable[[str, ConnectionPhase, str], None] = lambda peer, phase, reason: None,
    ) -> None:
        self.choose_closed = choose_closed
        self.next_closable_at = next_closable_at
        self.open_account = open_account
        self.reads_too_slowly = reads_too_slowly
        self.report = report


NO_RULES = ConnectionRules()


class ConnectionState:
    """The state of one accepted connection.

    ``busy`` is true from the first byte of a request to the end of its reply. ``poll`` waits for
    data on the socket and for the stop signal of the server. ``sent`` counts the bytes that the
    task of the connection has sent. ``account`` counts what is held for its current request.
    """

    __slots__ = ("account", "busy", "caller", "peer", "poll", "sent", "sock")

    def __init__(self, *, sock: socket.socket, peer: str, stop_signal: socket.socket) -> None:
        self.sock = sock
        self.peer = peer
        self.busy = False
        self.account: Account = UNCOUNTED
        self.caller = CallerConnection(now=time.monotonic())
        self.sent = SentBytes()
        self.poll = select.poll()
        self.poll.register(sock, select.POLLIN)
        self.poll.register(stop_signal, select.POLLIN)

    def note_received(self) -> None:
        """Note that the caller has sent bytes; they begin a request if the connection was idle."""
        now = time.monotonic()
        if self.caller.phase is ConnectionPhase.IDLE:
            self.caller.enter(ConnectionPhase.READING, now)
        self.caller.progress_at = now

    def send(self, pieces: list[bytes], rules: ConnectionRules) -> None:
        """Send an answer.

        Raises
        ------
        OSError
            If the connection has ended, or the caller takes the answer too slowly.
        """
        caller = self.caller
        caller.enter(ConnectionPhase.SENDING, time.monotonic())

        def note_taken(count: int) -> None:
            caller.taken_bytes += count
            caller.progress_at = time.monotonic()
            if rules.reads_too_slowly(caller, caller.progress_at):
                raise SlowReader("the caller takes its answer too slowly")

        try:
            self.sent.send_all(self.sock, *pieces, on_progress=note_taken)
        except TimeoutError:
            raise SlowReader("the caller takes nothing of its answer") from None

    def reset(self) -> None:
        """Make the close discard what the caller has not taken, so that its memory is free."""
        linger = (1).to_bytes(4, "little") + (0).to_bytes(4, "little")
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
