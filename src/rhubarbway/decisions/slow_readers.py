"""Which connections of callers a host closes, and when.

Answers the load of callers that read slowly or not at all, send without end, or hold connections
without using them. Callers that take 32 KB/s are never closed.
"""

from __future__ import annotations

from collections.abc import Iterable

from rhubarbway.model import CallerConnection, ConnectionPhase, Shortage

# An answer is broken off if the caller takes nothing for this time, seconds, or has taken less than
# this rate, bytes/s, after it. A sender had 10 s for a whole answer before, so none of the callers
# that got theirs loses it. At 16 KB/s 50 callers can share the slowest link, 7 Mbit/s.
STALL_LIMIT_S = 10.0
LEAST_RATE = 16 * 1024
# Under pressure connections are closed earlier: after this time, seconds, below this rate, bytes/s.
# The time covers a lost packet, which TCP repeats after up to a second.
PRESSURE_STALL_S = 2.0
PRESSURE_RATE = 32 * 1024
# Time for which a kept connection keeps its place after an answer where callers cannot know whether
# a request that crossed the close has run, seconds.
KEPT_IDLE_S = 5.0


def reads_too_slowly(connection: CallerConnection, now: float) -> bool:
    """Whether the answer on a connection is broken off although the host lacks nothing."""
    elapsed_s = now - connection.since
    return elapsed_s > STALL_LIMIT_S and connection.taken_bytes < elapsed_s * LEAST_RATE


def spared_until(
    connection: CallerConnection, shortage: Shortage, *, kept_idle_s: float = 0.0
) -> float:
    """Return the instant from which a connection may be closed for a shortage.

    A connection that never had a request gives up its place at once, as does one whose request is
    not complete. A body that the caller still sends keeps its bytes while it makes progress. A
    request that a server may have is never given up. ``kept_idle_s`` is the time for which a
    connection keeps its place after an answer.
    """
    never = float("inf")
    if connection.cut or (shortage is Shortage.BYTES and not connection.holds_bytes):
        return never
    if connection.phase is ConnectionPhase.SENDING:
        taken_s = connection.taken_bytes / PRESSURE_RATE
        return connection.since + max(PRESSURE_STALL_S, taken_s)
    if connection.phase is ConnectionPhase.HANDLING:
        return never
    if shortage is Shortage.PLACES:
        is_kept = connection.served and connection.phase is ConnectionPhase.IDLE
        return connection.since + (kept_idle_s if is_kept else 0.0)
    return connection.progress_at + PRESSURE_STALL_S


# Order in which connections give up their places.
PHASE_RANK = {
    ConnectionPhase.IDLE: 0,
    ConnectionPhase.READING: 1,
    ConnectionPhase.SENDING: 2,
    ConnectionPhase.HANDLING: 3,
}


def choose_closed(
    connections: Iterable[CallerConnection],
    shortage: Shortage,
    now: float,
    *,
    kept_idle_s: float = 0.0,
) -> CallerConnection | None:
    """Return the connection to close, or None if all are spared.

    Idle connections go before unfinished requests, and those before slow readers. Among equals the
    one goes whose caller has been inactive for longest; a reader counts by its rate.
    """
    candidates = [
        one for one in connections if spared_until(one, shortage, kept_idle_s=kept_idle_s) <= now
    ]
    return min(
        candidates, key=lambda one: (PHASE_RANK[one.phase], inactivity_key(one, now)), default=None
    )


def inactivity_key(connection: CallerConnection, now: float) -> float:
    """Return a key that is lower for the less active of two connections in the same phase."""
    if connection.phase is ConnectionPhase.SENDING:
        return connection.taken_bytes / max(now - connection.since, 0.001)
    return connection.since


def next_closable_at(
    connections: Iterable[CallerConnection], shortage: Shortage, *, kept_idle_s: float = 0.0
) -> float:
    """Return the instant at which the first connection may be closed; infinity if none may."""
    instants = (spared_until(one, shortage, kept_idle_s=kept_idle_s) for one in connections)
    return min(instants, default=float("inf"))
