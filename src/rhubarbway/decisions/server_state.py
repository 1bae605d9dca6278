"""What one entry host has learnt about one backend server, and how it ranks servers.

Requests of several kinds differ in their usual time. A server is therefore judged by the ratio of
its time to the usual time of the kind over all servers, its *slowness*.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable

from rhubarbway.model import BackendServer, ExchangeEnd, ExchangeOutcome

# Weight of the newest ratio in the moving mean.
SLOWNESS_WEIGHT = 0.25
# Ratios are cut here, so that one very late reply does not hide a server for long.
SLOWNESS_LIMIT = 12.0
# The excess over the usual time halves in this time without news, seconds. A server that seems
# slow gets no work and could not show that it has recovered.
SLOWNESS_HALF_LIFE_S = 2.0
# A server without room for a connection, or one that failed, is left out this long at first.
EJECT_FIRST_S = 0.5
EJECT_LONGEST_S = 8.0
EJECT_FACTOR = 2.0
# Failures of one server within this time count as consecutive, seconds.
FAILURE_MEMORY_S = 10.0
# An attempt that is unanswered for longer than this multiple of the usual time suggests a pause.
LATE_FACTOR = 2.0
# Weight of the time by which the oldest unanswered attempt is late.
LATE_WEIGHT = 3.0
# A refused request needs another attempt. It counts as a reply of this slowness, so that a server
# which refuses part of its requests gets fewer, though its other replies are quick.
REFUSED_SLOWNESS = 8.0
# Extra time of a request to a server that just started, as a share of the usual time.
COLD_SHARE = 0.6

# Ends that say something is wrong with the server itself.
FAILED_ENDS = frozenset(
    {
        ExchangeEnd.FAILED,
        ExchangeEnd.CONNECT_FAILED,
        ExchangeEnd.LOST,
        ExchangeEnd.FOREIGN,
        ExchangeEnd.MISDIRECTED,
        ExchangeEnd.TIMED_OUT,
    }
)
# Ends after which one more request would most likely end the same way.
EJECTING_ENDS = frozenset({ExchangeEnd.CONNECT_FAILED, ExchangeEnd.MISDIRECTED})
EJECT_AFTER_FAILURES = 2


class ServerState:
    """Condition of one server; the pool of the server guards it with a lock.

    Attributes
    ----------
    outstanding : dict of int to float
        Instants at which the unanswered attempts were handed over.
    slowness : float
        Moving mean of the ratio of reply times to the usual time.
    warm_at : float
        Instant from which the server is expected to be warm.
    limit : float
        Most connections of this host to the server; further attempts wait for one.
    is_first_hand : bool
        Whether the slowness comes from requests of this host, not from a report of another one.
    """

    __slots__ = (
        "ejected_until",
        "ejections",
        "failed_at",
        "failures",
        "heard_at",
        "is_first_hand",
        "limit",
        "outstanding",
        "server",
        "slowness",
        "warm_at",
    )

    def __init__(self, *, server: BackendServer, now: float) -> None:
        self.server = server
        self.outstanding: dict[int, float] = {}
        self.slowness = 1.0
        self.heard_at = now
        self.is_first_hand = False
        self.limit = math.inf
        self.warm_at = now + server.warm_up_s
        self.failures = 0
        self.failed_at = float("-inf")
        self.ejected_until = float("-inf")
        self.ejections = 0

    def note_sent(self, attempt: int, now: float) -> None:
        """Count an attempt that was handed to the server's connections."""
        self.outstanding[attempt] = now

    def note_outcome(self, outcome: ExchangeOutcome, *, usual_s: float, now: float) -> None:
        """Learn from the end of an attempt; ``usual_s`` is the usual time of its kind."""
        self.outstanding.pop(outcome.attempt, None)
        if outcome.end in FAILED_ENDS:
            self.note_failure(outcome.end, now)
            return
        if outcome.end is ExchangeEnd.ANSWERED:
            self.failures = 0
            self.ejections = 0
            self.ejected_until = float("-inf")
        if outcome.end is ExchangeEnd.REFUSED:
            self.note_slowness(REFUSED_SLOWNESS, now)
        if outcome.end in (ExchangeEnd.ANSWERED, ExchangeEnd.CANCELLED) and usual_s > 0.0:
            ratio = min(outcome.latency_s / usual_s, SLOWNESS_LIMIT)
            # A cancelled attempt took at least this long, so it can only raise the mean.
            if outcome.end is ExchangeEnd.ANSWERED or ratio > self.slowness:
                self.note_slowness(ratio, now)

    def note_slowness(self, ratio: float, now: float) -> None:
        """Take the ratio of one reply into the moving mean."""
        current = self.current_slowness(now)
        self.slowness = current + SLOWNESS_WEIGHT * (ratio - current)
        self.heard_at = now
        self.is_first_hand = True

    def note_failure(self, end: ExchangeEnd, now: float) -> None:
        """Count a failure, and leave the server out for a growing time when they repeat."""
        if now - self.failed_at > FAILURE_MEMORY_S:
            self.failures = 0
            self.ejections = 0
        self.failures += 1
        self.failed_at = now
        if end in EJECTING_ENDS or self.failures >= EJECT_AFTER_FAILURES:
            interval = EJECT_FIRST_S * EJECT_FACTOR**self.ejections
            self.ejected_until = now + min(interval, EJECT_LONGEST_S)
            self.ejections = min(self.ejections + 1, 8)

    def current_slowness(self, now: float) -> float:
        """Return the slowness, with the excess discounted by the time since the last reply."""
        excess = self.slowness - 1.0
        if excess <= 0.0:
            return self.slowness
        return 1.0 + excess * 0.5 ** ((now - self.heard_at) / SLOWNESS_HALF_LIFE_S)

    def ejected(self, now: float) -> bool:
        """Whether the server is left out because of its failures."""
        return now < self.ejected_until

    def lateness(self, usual_s: float, now: float) -> float:
        """Return how long the oldest unanswered attempt is overdue, seconds."""
        if not self.outstanding:
            return 0.0
        oldest = min(self.outstanding.values())
        return max(0.0, now - oldest - LATE_FACTOR * usual_s)

    def expected_s(self, *, usual_s: float, distance_s: float, now: float) -> float:
        """Return the time that a request sent now is expected to take, seconds.

        Parameters
        ----------
        usual_s : float
            Usual time of the kind of request over all servers.
        distance_s : float
            Additional time of a round trip to the server's zone.
        """
        slots = max(1, self.server.slots)
        # Attempts that come before this one on the connections of this host.
        waiting = max(0.0, len(self.outstanding) + 1 - self.limit) / self.limit
        load = 1.0 + len(self.outstanding) / slots + waiting
        work = usual_s * self.current_slowness(now) * load
        cold = COLD_SHARE * usual_s if now < self.warm_at else 0.0
        return work + cold + distance_s + LATE_WEIGHT * self.lateness(usual_s, now)


def ranked_states(
    states: Iterable[ServerState],
    *,
    zone: str,
    usual_s: float,
    distance_s: float,
    avoid: Collection[str] = (),
    now: float,
    spread: dict[str, float] | None = None,
) -> list[ServerState]:
    """Return the states by rising expected time; ejected servers come last.

    Parameters
    ----------
    avoid : collection of str
        Ids of servers that are left out, because they were tried already.
    spread : dict of str to float
        Factor by server id (around 1), which breaks ties differently for each request.
    """
    factors = spread or {}

    def rank(state: ServerState) -> tuple[bool, float]:
        distance = 0.0 if state.server.zone == zone else distance_s
        expected = state.expected_s(usual_s=usual_s, distance_s=distance, now=now)
        return state.ejected(now), expected * factors.get(state.server.id, 1.0)

    return sorted((state for state in states if state.server.id not in avoid), key=rank)
