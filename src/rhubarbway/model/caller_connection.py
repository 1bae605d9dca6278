"""What a host knows of one connection of a caller, to decide whether it closes it."""

from __future__ import annotations

from enum import Enum


class ConnectionPhase(Enum):
    """What the task of a connection waits for.

    ``IDLE`` waits for the first byte of a request and ``READING`` for the rest of it. ``HANDLING``
    has the whole request, which may have been sent to a server. ``SENDING`` sends the answer.
    """

    IDLE = "idle"
    READING = "reading"
    HANDLING = "handling"
    SENDING = "sending"


class Shortage(Enum):
    """What a host lacks when it closes a connection: places for others, or bytes."""

    PLACES = "places"
    BYTES = "bytes"


class CallerConnection:
    """State of a caller's connection, as its task sees it.

    Attributes
    ----------
    phase : ConnectionPhase
        What the task waits for.
    since : float
        Instant at which the phase began, as are all instants here on the monotonic clock.
    progress_at : float
        Instant at which the caller last sent or took bytes in this phase.
    taken_bytes : int
        Bytes of the answer that the caller has taken since ``since``, without those that went into
        the socket's buffer at once.
    holds_bytes : bool
        Whether a body or an answer of this connection counts against the byte budget.
    cut : bool
        Whether the host has decided to close the connection.
    served : bool
        Whether a request on the connection has been answered.
    """

    __slots__ = ("cut", "holds_bytes", "phase", "progress_at", "served", "since", "taken_bytes")

    def __init__(self, *, now: float) -> None:
        self.phase = ConnectionPhase.IDLE
        self.since = now
        self.progress_at = now
        self.taken_bytes = 0
        self.holds_bytes = False
        self.cut = False
        self.served = False

    def enter(self, phase: ConnectionPhase, now: float) -> None:
        """Begin a phase."""
        self.since = self.progress_at = now
        self.taken_bytes = 0
        self.phase = phase
