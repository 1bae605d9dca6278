"""Work that an entry host has sent to one server or holds for it, and how fast the server is.

The slowness in ``ServerState`` includes the time that attempts wait on this host for a connection.
The pace here does not, so that wait and service can be estimated separately: a wait shows that room
is short, and ends when less is sent, whereas a slow server stays slow.
"""

from __future__ import annotations

import math
from typing import Generic

from rhubarbway.decisions.attempt_queue import Attempt, AttemptQueue, rank_of

# Weight of the newest exchange in the pace.
PACE_EWMA_WEIGHT = 0.3
# Time in which the part of the pace above 1 halves without new exchanges, seconds.
PACE_HALF_LIFE_S = 2.0
# A running exchange is on average half done.
REMAINING_FRACTION = 0.5
# An exchange that takes longer than this multiple of the expected time suggests that the server is
# paused. The pause is expected to last for OVERDUE_WEIGHT times as long as it already has.
OVERDUE_FACTOR = 2.0
OVERDUE_WEIGHT = 2.0
# A server to which attempts of a lower rank were submitted within this time is shared with more
# urgent requests, seconds.
SHARED_S = 5.0


class RunningExchange:
    """Typical time and rank of a running exchange, and the instant at which it began."""

    __slots__ = ("exchange_s", "rank", "started_at")

    def __init__(self, *, exchange_s: float, rank: int, started_at: float) -> None:
        self.exchange_s = exchange_s
        self.rank = rank
        self.started_at = started_at


class ServerLoad(Generic[Attempt]):
    """Attempts of this host at one server; the pool of the server guards it with a lock.

    The estimates may be read without the lock.

    Attributes
    ----------
    slots : int
        Requests that the server runs at a time.
    queued : AttemptQueue
        Attempts that wait for a connection.
    running : dict of int to RunningExchange
        The attempts on a connection, by attempt number.
    pace : float
        EWMA of the ratio of exchange times to the typical ones of their routes; above 1 the server
        is slower than typical.
    """

    __slots__ = ("measured_at", "pace", "queued", "running", "slots", "submitted_at")

    def __init__(self, *, slots: int = 1) -> None:
        # A server of unknown size may have a slot.
        self.slots = max(1, slots)
        self.queued: AttemptQueue[Attempt] = AttemptQueue()
        self.running: dict[int, RunningExchange] = {}
        # Instant of the last submitted attempt of each rank.
        self.submitted_at: dict[int, float] = {}
        self.pace = 1.0
        self.measured_at = float("-inf")

    def submit(self, attempt: Attempt, *, max_connections: float, now: float) -> bool:
        """Start an attempt and return True, or queue it and return False."""
        rank = rank_of(attempt.priority, is_extra=attempt.is_extra)
        self.submitted_at[rank] = now
        if rank > self.max_rank(max_connections, now):
            self.queued.push(attempt)
            return False
        self.start(attempt, now)
        return True

    def start(self, attempt: Attempt, now: float) -> None:
        """Record that an attempt gets a connection."""
        self.running[attempt.number] = RunningExchange(
            exchange_s=attempt.exchange_s,
            rank=rank_of(attempt.priority, is_extra=attempt.is_extra),
            started_at=now,
        )

    def take(self, *, max_connections: float, now: float) -> Attempt | None:
        """Return the queued attempt to send next, and start it; None if none may be sent now."""
        attempt = self.queued.pop(max_rank=self.max_rank(max_connections, now))
        if attempt is not None:
            self.start(attempt, now)
        return attempt

    def max_rank(self, max_connections: float, now: float) -> float:
        """Return the highest rank that may be sent to the server now; -inf if none.

        On a server that more urgent requests use as well, less urgent ones get the part of the
        slots that corresponds to its pace, at least one. Their exchanges would otherwise fill
        the slots and the queue of a slow or crowded server, where priorities do not count.
        """
        running = list(self.running.values())
        if len(running) >= max_connections:
            return -math.inf
        most_urgent = self.most_urgent_rank(now)
        others = sum(exchange.rank > most_urgent for exchange in running)
        return math.inf if others + 1 <= self.shared_limit(max_connections, now) else most_urgent

    def most_urgent_rank(self, now: float) -> int:
        """Return the lowest rank that was submitted recently."""
        recent = [rank for rank, at in list(self.submitted_at.items()) if now - at < SHARED_S]
        return min(recent, default=0)

    def shared_limit(self, max_connections: float, now: float) -> float:
        """Return how many exchanges of the less urgent ranks may run at a time."""
        return max(1.0, min(max_connections, self.slots) / max(1.0, self.current_pace(now)))

    def record_end(
        self, attempt_number: int, *, took_s: float, was_answered: bool, now: float
    ) -> None:
        """Record the end of an exchange that took ``took_s``.

        The time of an exchange without an answer is a lower bound, so it only raises the pace.
        """
        exchange = self.running.pop(attempt_number, None)
        if exchange is None or exchange.exchange_s <= 0.0:
            return
        ratio = took_s / exchange.exchange_s
        current = self.current_pace(now)
        if was_answered or ratio > current:
            self.pace = current + PACE_EWMA_WEIGHT * (ratio - current)
            self.measured_at = now

    def current_pace(self, now: float) -> float:
        """Return the pace; its part above 1 decays with the time since the last exchange."""
        excess = self.pace - 1.0
        if excess <= 0.0:
            return self.pace
        return 1.0 + excess * 0.5 ** ((now - self.measured_at) / PACE_HALF_LIFE_S)

    def expected_pace(self, *, slowness: float, now: float) -> float:
        """Return the pace to expect; without recent exchanges, the slowness if that is higher.

        The slowness may come from other hosts, and includes waits, so own exchanges take
        precedence.
        """
        pace = self.current_pace(now)
        is_recent = now - self.measured_at < PACE_HALF_LIFE_S
        return pace if is_recent else max(pace, slowness)

    def exchange_s(self, typical_exchange_s: float, *, pace: float, now: float) -> float:
        """Return the expected time of an exchange with the server, without a wait, seconds.

        Parameters
        ----------
        typical_exchange_s : float
            Typical time of an exchange on the route, seconds.
        pace : float
            ``expected_pace`` of the server.
        """
        overdue_s = max(
            (
                now - exchange.started_at - OVERDUE_FACTOR * pace * exchange.exchange_s
                for exchange in list(self.running.values())
            ),
            default=0.0,
        )
        return typical_exchange_s * pace + OVERDUE_WEIGHT * max(0.0, overdue_s)

    def must_wait(self, *, priority: int, max_connections: float, now: float) -> bool:
        """Whether a new first attempt would have to wait for a connection."""
        return rank_of(priority, is_extra=False) > self.max_rank(max_connections, now)

    def wait_s(self, *, priority: int, max_connections: float, pace: float, now: float) -> float:
        """Return the expected wait of a first attempt for a connection to the server, seconds."""
        if not self.must_wait(priority=priority, max_connections=max_connections, now=now):
            return 0.0
        rank = rank_of(priority, is_extra=False)
        work_s = self.queued.work_ahead_s(rank)
        return self.drain_s(rank, work_s, max_connections=max_connections, pace=pace, now=now)

    def queued_wait_s(self, attempt: Attempt, *, max_connections: float, now: float) -> float:
        """Return the further wait of a queued attempt for a connection at the usual pace, s."""
        rank = rank_of(attempt.priority, is_extra=attempt.is_extra)
        work_s = self.queued.work_before_s(attempt)
        return self.drain_s(rank, work_s, max_connections=max_connections, pace=1.0, now=now)

    def drain_s(
        self, rank: int, queued_s: float, *, max_connections: float, pace: float, now: float
    ) -> float:
        """Return the time until queued work and the running exchanges leave a connection free.

        Parameters
        ----------
        rank : int
            Rank of the attempt that needs the connection.
        queued_s : float
            Typical exchange times of the attempts that are sent before it, seconds.
        """
        running = list(self.running.values())
        work_s = queued_s + REMAINING_FRACTION * sum(exchange.exchange_s for exchange in running)
        is_shared = rank > self.most_urgent_rank(now)
        lanes = self.shared_limit(max_connections, now) if is_shared else max_connections
        return work_s * pace / lanes
