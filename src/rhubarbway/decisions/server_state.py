"""State that an entry host keeps for each backend server; ``replica_ranking`` ranks servers by it.

Typical latencies differ between routes. The *slowness* of a server is therefore the ratio of its
latency to the typical latency of the same route over all servers.
"""

from __future__ import annotations

import math

from rhubarbway.decisions.server_load import ServerLoad
from rhubarbway.decisions.warm_up import ColdRequestLimit, no_limit
from rhubarbway.model import BackendServer, ExchangeEnd, ExchangeOutcome, StatedLoad

# Weight of the newest ratio in the exponentially weighted moving average (EWMA).
SLOWNESS_EWMA_WEIGHT = 0.25
# Ratios are capped, so that one very late reply does not keep a server out of selection for long.
MAX_SLOWNESS_RATIO = 12.0
# Without new replies or reports the slowness above 1 halves in the time for which the server has
# been known to be slow, within these bounds, seconds. Without the decay a server that seems slow
# would get no requests, and could not show that it has recovered. A server that pauses for a moment
# gets requests again after about a second, while one that is slow for seconds is avoided longer.
MIN_SLOWNESS_HALF_LIFE_S = 0.5
MAX_SLOWNESS_HALF_LIFE_S = 2.0
# Slowness below which a server counts as recovered: a later slow reply begins a new time.
RECOVERED_SLOWNESS = 1.5
# Without a newer statement, the effect of what a server states about its load halves in this time,
# seconds: about as long as its queue needs to drain, and other work on its machine to end.
STATED_LOAD_HALF_LIFE_S = 0.25
# Durations of the first and of the longest ejection, seconds. An ejected server ranks after all
# others and gets no extra attempts. Each ejection is EJECTION_BACKOFF_FACTOR times as long as the
# one before, until the server answers or has no failure for FAILURE_WINDOW_S.
INITIAL_EJECTION_S = 0.5
MAX_EJECTION_S = 8.0
EJECTION_BACKOFF_FACTOR = 2.0
# A failure that follows another one within this time counts as consecutive, seconds.
FAILURE_WINDOW_S = 10.0
# An attempt in flight for longer than this multiple of the typical latency suggests that its server
# is paused. Attempts that this host has queued for a connection count, too.
OVERDUE_FACTOR = 2.0
# A refused request counts as a reply of this slowness, since it needs another attempt. So a server
# that refuses part of its requests gets fewer of them, even if its other replies are fast.
REFUSED_SLOWNESS = 8.0

# Ends of an attempt that count as failures of the server. A misdirected request is one of them: a
# different server listens at the address.
FAILED_ENDS = frozenset(
    {
        ExchangeEnd.FAILED,
        ExchangeEnd.CONNECT_FAILED,
        ExchangeEnd.LOST,
        ExchangeEnd.FOREIGN,
        ExchangeEnd.MALFORMED,
        ExchangeEnd.MISDIRECTED,
        ExchangeEnd.SILENT,
        ExchangeEnd.TIMED_OUT,
    }
)
# Ends that eject a server at once, because the next request would most likely end the same way.
EJECTING_ENDS = frozenset({ExchangeEnd.CONNECT_FAILED, ExchangeEnd.MISDIRECTED, ExchangeEnd.SILENT})
# Consecutive failures after which the other failed ends eject a server, too.
EJECT_AFTER_FAILURES = 2


class ServerState:
    """Load, slowness and failures of one server; the pool of the server guards it with a lock.

    Attributes
    ----------
    in_flight : dict of int to float
        Instants at which the attempts in flight were submitted to the pool, by attempt number.
    slowness : float
        EWMA of the ratio of latencies to the typical latency; above 1 the server is slower than
        typical.
    slow_since : float
        Instant since which the server has been known to be slow, by replies to this host and by
        reports. Meaningful only while the slowness is above ``RECOVERED_SLOWNESS``.
    observed_at : float
        Instant of the newest reply or report that changed the slowness.
    warm_at : float
        Instant from which the server counts as warm.
    cold_limit : ColdRequestLimit
        Limit of the requests of this host to the server before that instant.
    is_reserve : bool
        Whether this host uses the server only when the others of its service fail.
    max_connections : float
        Limit of connections from this host to the server; further attempts wait for a free one.
    is_first_hand : bool
        Whether the slowness comes from requests of this host, not from a report of another host.
    deletion_known_since : float or None
        Instant at which this host learned that the entry of the server was deleted, if the deletion
        is deferred; None otherwise.
    is_probably_gone : bool
        Whether that deletion is one of a few, so that the entry has hardly lapsed in an outage.
    leaving : bool
        Whether the server has announced that it leaves.
    evacuated : bool
        Whether the zone of the server is evacuated.
    load : ServerLoad
        Attempts that run on connections or wait for one, and the pace of the server.
    needs_connection : bool
        Whether a request would have to open a connection first.
    stated_excess : float
        Part above 1 of the factor by which the server's last statement of its load lengthens a
        request; 0 without a statement.
    stated_at : float
        Instant of that statement.
    quiet_until : float
        Instant until which the server wants no requests from this host.
    """

    __slots__ = (
        "cold_limit",
        "deletion_known_since",
        "ejected_until",
        "consecutive_ejections",
        "last_failure_at",
        "consecutive_failures",
        "evacuated",
        "observed_at",
        "is_first_hand",
        "is_probably_gone",
        "is_reserve",
        "leaving",
        "load",
        "max_connections",
        "in_flight",
        "needs_connection",
        "quiet_until",
        "server",
        "slow_since",
        "slowness",
        "stated_at",
        "stated_excess",
        "warm_at",
    )

    def __init__(self, *, server: BackendServer, now: float) -> None:
        self.server = server
        self.in_flight: dict[int, float] = {}
        self.load: ServerLoad = ServerLoad(slots=server.slots)
        self.slowness = 1.0
        self.slow_since = now
        self.observed_at = now
        self.is_first_hand = False
        self.stated_excess = 0.0
        self.stated_at = now
        self.max_connections = math.inf
        self.warm_at = now + server.warm_up_s
        self.cold_limit = ColdRequestLimit(share=no_limit)
        self.is_reserve = False
        self.consecutive_failures = 0
        self.last_failure_at = float("-inf")
        self.ejected_until = float("-inf")
        self.consecutive_ejections = 0
        self.deletion_known_since: float | None = None
        self.is_probably_gone = False
        self.leaving = False
        self.evacuated = False
        self.needs_connection = False
        self.quiet_until = float("-inf")

    def accepts_requests(self, now: float) -> bool:
        """Whether a request may be sent now.

        The server does not leave, its zone is not evacuated, it has not asked for quiet, and it is
        warm or within its limit.
        """
        return not self.leaving and not self.evacuated and self.free_at(now) <= now

    def is_cold(self, now: float) -> bool:
        """Whether the server has started, or has turned cold, only recently."""
        return now < self.warm_at

    def free_at(self, now: float) -> float:
        """Return the instant from which a server that does not leave takes a request."""
        if not self.is_cold(now):
            return self.quiet_until
        return max(self.quiet_until, min(self.warm_at, self.cold_limit.free_at(now)))

    def record_sent(self, attempt_number: int, now: float) -> None:
        """Add an attempt that was submitted to the pool; it may still wait for a connection."""
        self.in_flight[attempt_number] = now

    def record_outcome(self, outcome: ExchangeOutcome, *, typical_s: float, now: float) -> None:
        """Apply the end of an attempt; ``typical_s`` is the typical latency of its route."""
        self.in_flight.pop(outcome.attempt, None)
        if outcome.end in FAILED_ENDS:
            self.record_failure(outcome.end, now)
            return
        if outcome.end is ExchangeEnd.ANSWERED:
            self.consecutive_failures = 0
            self.consecutive_ejections = 0
            self.ejected_until = float("-inf")
        if outcome.end is ExchangeEnd.REFUSED:
            self.record_slowness(REFUSED_SLOWNESS, now)
            # Unlike a late reply, a refusal cannot come from a pause that has just ended.
            self.slow_since = min(self.slow_since, now - MAX_SLOWNESS_HALF_LIFE_S)
        if outcome.end in (ExchangeEnd.ANSWERED, ExchangeEnd.CANCELLED) and typical_s > 0.0:
            ratio = min(outcome.latency_s / typical_s, MAX_SLOWNESS_RATIO)
            # The latency of a cancelled attempt is a lower bound, so it may only raise the average.
            if outcome.end is ExchangeEnd.ANSWERED or ratio > self.slowness:
                self.record_slowness(ratio, now)

    def record_slowness(self, ratio: float, now: float) -> None:
        """Decay the EWMA until ``now``, and update it with the latency ratio of one attempt."""
        current = self.current_slowness(now)
        if current < RECOVERED_SLOWNESS:
            self.slow_since = now
        self.slowness = current + SLOWNESS_EWMA_WEIGHT * (ratio - current)
        self.observed_at = now
        self.is_first_hand = True

    def record_failure(self, end: ExchangeEnd, now: float) -> None:
        """Count a failure; eject the server if ``end`` or the failures in a row require it."""
        if now - self.last_failure_at > FAILURE_WINDOW_S:
            self.consecutive_failures = 0
            self.consecutive_ejections = 0
        self.consecutive_failures += 1
        self.last_failure_at = now
        if end in EJECTING_ENDS or self.consecutive_failures >= EJECT_AFTER_FAILURES:
            # MAX_EJECTION_S is reached before exponent 8, which only keeps the power small.
            interval = INITIAL_EJECTION_S * EJECTION_BACKOFF_FACTOR**self.consecutive_ejections
            self.ejected_until = now + min(interval, MAX_EJECTION_S)
            self.consecutive_ejections = min(self.consecutive_ejections + 1, 8)

    def current_slowness(self, now: float) -> float:
        """Return the slowness; its part above 1 decays with the time since the last observation."""
        excess = self.slowness - 1.0
        if excess <= 0.0:
            return self.slowness
        known_for_s = self.observed_at - self.slow_since
        half_life_s = min(max(known_for_s, MIN_SLOWNESS_HALF_LIFE_S), MAX_SLOWNESS_HALF_LIFE_S)
        return 1.0 + excess * 0.5 ** ((now - self.observed_at) / half_life_s)

    def record_load(self, load: StatedLoad, now: float) -> None:
        """Apply what the server states about its load in a reply that was received now."""
        # One further request would wait for the requests beyond the free slots.
        queued = max(0, load.running + load.waiting + 1 - load.slots) / load.slots
        self.stated_excess = max(0.0, load.slowdown * (1.0 + queued) - 1.0)
        self.stated_at = now

    def stated_factor(self, now: float) -> float:
        """Return the factor by which the stated load, aged towards a usual one, lengthens work."""
        if not self.stated_excess:
            return 1.0
        age_s = now - self.stated_at
        return 1.0 + self.stated_excess * 0.5 ** (age_s / STATED_LOAD_HALF_LIFE_S)

    def is_ejected(self, now: float) -> bool:
        """Whether the server is ejected at ``now``; an answer ends an ejection early."""
        return now < self.ejected_until

    def overdue_s(self, typical_s: float, now: float) -> float:
        """Return by how much the age of the oldest attempt in flight exceeds the limit, seconds.

        The limit is ``OVERDUE_FACTOR`` times the typical latency.
        """
        if not self.in_flight:
            return 0.0
        oldest = min(self.in_flight.values())
        return max(0.0, now - oldest - OVERDUE_FACTOR * typical_s)
