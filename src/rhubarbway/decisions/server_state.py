"""What one entry host has learnt about one backend server, and how it ranks servers.

Requests of several kinds differ in their usual time. A server is therefore judged by the ratio of
its time to the usual time of the kind over all servers, its *slowness*.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable

from rhubarbway.model import BackendServer, ExchangeEnd, ExchangeOutcome

# Weight of the newest ratio in the moving mean.
SLOWNESS_EWMA_WEIGHT = 0.25
# Ratios are cut here, so that one very late reply does not hide a server for long.
MAX_SLOWNESS_RATIO = 12.0
# The excess over the usual time halves in this time without news, seconds. A server that seems
# slow gets no work and could not show that it has recovered.
SLOWNESS_HALF_LIFE_S = 2.0
# A server without room for a connection, or one that failed, is left out this long at first.
INITIAL_EJECTION_S = 0.5
MAX_EJECTION_S = 8.0
EJECTION_BACKOFF_FACTOR = 2.0
# Failures of one server within this time count as consecutive, seconds.
FAILURE_WINDOW_S = 10.0
# An attempt that is unanswered for longer than this multiple of the usual time suggests a pause.
OVERDUE_FACTOR = 2.0
# Weight of the time by which the oldest unanswered attempt is late.
OVERDUE_WEIGHT = 3.0
# A refused request needs another attempt. It counts as a reply of this slowness, so that a server
# which refuses part of its requests gets fewer, though its other replies are quick.
REFUSED_SLOWNESS = 8.0
# Extra time of a request to a server that just started, as a share of the usual time.
COLD_PENALTY_FRACTION = 0.6

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
        "last_failure_at",
        "consecutive_failures",
        "observed_at",
        "is_first_hand",
        "max_connections",
        "in_flight",
        "server",
        "slowness",
        "warm_at",
    )

    def __init__(self, *, server: BackendServer, now: float) -> None:
        self.server = server
        self.in_flight: dict[int, float] = {}
        self.slowness = 1.0
        self.observed_at = now
        self.is_first_hand = False
        self.max_connections = math.inf
        self.warm_at = now + server.warm_up_s
        self.consecutive_failures = 0
        self.last_failure_at = float("-inf")
        self.ejected_until = float("-inf")
        self.ejections = 0

    def record_sent(self, attempt_number: int, now: float) -> None:
        """Count an attempt that was handed to the server's connections."""
        self.in_flight[attempt_number] = now

    def record_outcome(self, outcome: ExchangeOutcome, *, typical_s: float, now: float) -> None:
        """Learn from the end of an attempt; ``usual_s`` is the usual time of its kind."""
        self.in_flight.pop(outcome.attempt, None)
        if outcome.end in FAILED_ENDS:
            self.record_failure(outcome.end, now)
            return
        if outcome.end is ExchangeEnd.ANSWERED:
            self.consecutive_failures = 0
            self.ejections = 0
            self.ejected_until = float("-inf")
        if outcome.end is ExchangeEnd.REFUSED:
            self.record_slowness(REFUSED_SLOWNESS, now)
        if outcome.end in (ExchangeEnd.ANSWERED, ExchangeEnd.CANCELLED) and typical_s > 0.0:
            ratio = min(outcome.latency / typical_s, MAX_SLOWNESS_RATIO)
            # A cancelled attempt took at least this long, so it can only raise the mean.
            if outcome.end is ExchangeEnd.ANSWERED or ratio > self.slowness:
                self.record_slowness(ratio, now)

    def record_slowness(self, ratio: float, now: float) -> None:
        """Take the ratio of one reply into the moving mean."""
        current = self.current_slowness(now)
        self.slowness = current + SLOWNESS_EWMA_WEIGHT * (ratio - current)
        self.observed_at = now
        self.is_first_hand = True

    def record_failure(self, end: ExchangeEnd, now: float) -> None:
        """Count a failure, and leave the server out for a growing time when they repeat."""
        if now - self.last_failure_at > FAILURE_WINDOW_S:
            self.consecutive_failures = 0
            self.ejections = 0
        self.consecutive_failures += 1
        self.last_failure_at = now
        if end in EJECTING_ENDS or self.consecutive_failures >= EJECT_AFTER_FAILURES:
            interval = INITIAL_EJECTION_S * EJECTION_BACKOFF_FACTOR**self.ejections
            self.ejected_until = now + min(interval, MAX_EJECTION_S)
            self.ejections = min(self.ejections + 1, 8)

    def current_slowness(self, now: float) -> float:
        """Return the slowness, with the excess discounted by the time since the last reply."""
        excess = self.slowness - 1.0
        if excess <= 0.0:
            return self.slowness
        return 1.0 + excess * 0.5 ** ((now - self.observed_at) / SLOWNESS_HALF_LIFE_S)

    def is_ejected(self, now: float) -> bool:
        """Whether the server is left out because of its failures."""
        return now < self.ejected_until

    def overdue_s(self, typical_s: float, now: float) -> float:
        """Return how long the oldest unanswered attempt is overdue, seconds."""
        if not self.in_flight:
            return 0.0
        oldest = min(self.in_flight.values())
        return max(0.0, now - oldest - OVERDUE_FACTOR * typical_s)

    def expected_latency_s(self, *, typical_s: float, distance_s: float, now: float) -> float:
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
        queueing = max(0.0, len(self.in_flight) + 1 - self.max_connections) / self.max_connections
        load = 1.0 + len(self.in_flight) / slots + queueing
        processing_s = typical_s * self.current_slowness(now) * load
        cold_penalty_s = COLD_PENALTY_FRACTION * typical_s if now < self.warm_at else 0.0
        return (
            processing_s
            + cold_penalty_s
            + distance_s
            + OVERDUE_WEIGHT * self.overdue_s(typical_s, now)
        )


def ranked_states(
    states: Iterable[ServerState],
    *,
    zone: str,
    typical_s: float,
    distance_s: float,
    excluded: Collection[str] = (),
    now: float,
    jitter: dict[str, float] | None = None,
) -> list[ServerState]:
    """Return the states by rising expected time; ejected servers come last.

    Parameters
    ----------
    avoid : collection of str
        Ids of servers that are left out, because they were tried already.
    spread : dict of str to float
        Factor by server id (around 1), which breaks ties differently for each request.
    """
    factors = jitter or {}

    def sort_key(state: ServerState) -> tuple[bool, float]:
        distance = 0.0 if state.server.zone == zone else distance_s
        expected = state.expected_latency_s(typical_s=typical_s, distance_s=distance, now=now)
        return state.is_ejected(now), expected * factors.get(state.server.id, 1.0)

    return sorted((state for state in states if state.server.id not in excluded), key=sort_key)
