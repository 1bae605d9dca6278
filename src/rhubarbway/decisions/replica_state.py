"""State of one replica as one entry host observes it: load, latency, health and ejection."""

from __future__ import annotations

from rhubarbway.decisions.concurrency_limit import ConcurrencyLimit, LatencyEwma
from rhubarbway.model import AttemptOutcome, OutcomeKind, Replica

# Consecutive failures after which a replica is ejected.
EJECT_AFTER_FAILURES = 3
# Delay of the probe of an ejected replica; it doubles with each ejection without an answer between
# them, up to the maximum.
INITIAL_PROBE_DELAY_S = 0.5
MAX_PROBE_DELAY_S = 15.0
# Answers of a new incarnation after which its warm-up ends.
WARM_UP_ANSWERS = 10
# In the expected latency, the part above the baseline halves in this time. A slow replica gets no
# work, so without the decay it would never show that it has recovered.
EXCESS_LATENCY_HALF_LIFE_S = 1.0
# A replica with attempts in flight counts as late after this multiple of its typical latency has
# passed without an answer.
SILENCE_LATENCY_FACTOR = 2.0

FAILURE_OUTCOMES = frozenset(
    {
        OutcomeKind.CONNECTION_LOST,
        OutcomeKind.TIMED_OUT,
        OutcomeKind.FOREIGN_ANSWER,
        OutcomeKind.BAD_ANSWER,
    }
)
OVERLOAD_OUTCOMES = frozenset({OutcomeKind.SHED, OutcomeKind.TIMED_OUT})


class ReplicaState:
    """Observed state of a replica, from the outcomes of attempts and status requests.

    Attributes
    ----------
    in_flight_cap : int
        Hard cap of attempts in flight: this entry host's share of the replica's connections.
    concurrency_limit : ConcurrencyLimit
        Limit within the cap that adapts to the replica's latency.
    in_flight : int
        Attempts of this entry host that were submitted and have not ended; they may still be
        queued for a connection.
    latency : LatencyEwma
        Moving averages of the latency of answers and of slow cancelled attempts.
    last_latency_at : float
        Instant at which ``latency`` got its last sample.
    held_snapshots : tuple of str
        Last reported snapshots, oldest first.
    incarnation : str
        Last reported incarnation; empty before first contact.
    draining : bool
        Whether this incarnation has reported, to this or another entry host, that it drains.
    listed_leaving : bool
        Whether the host list marks the replica as leaving.
    answer_count : int
        Number of answers of this incarnation, which is cold below ``WARM_UP_ANSWERS``.
    last_reply_at : float
        ``time.monotonic()`` instant of the last reply; minus infinity before first contact.
    unanswered_since : float
        Instant of the last answer, or of the first of the attempts in flight if that is later;
        infinity while none are in flight.
    consecutive_failures, consecutive_ejections : int
        Failures and ejections since the last answer.
    ejected_until : float
        Infinity while ejected, since only a probe or an answer ends an ejection; otherwise minus
        infinity.
    next_probe_at : float
        Instant from which an ejected or never reached replica may get a probe, which is a status
        request.
    last_checked_at : float
        Instant of the last ejection or probe.
    probe_running : bool
        True while a probe is running.
    """

    __slots__ = (
        "answer_count",
        "concurrency_limit",
        "consecutive_ejections",
        "consecutive_failures",
        "draining",
        "ejected_until",
        "held_snapshots",
        "in_flight",
        "in_flight_cap",
        "incarnation",
        "last_checked_at",
        "last_latency_at",
        "last_reply_at",
        "latency",
        "listed_leaving",
        "next_probe_at",
        "probe_running",
        "replica",
        "unanswered_since",
    )

    def __init__(self, *, replica: Replica, in_flight_cap: int) -> None:
        self.replica = replica
        self.in_flight_cap = in_flight_cap
        self.concurrency_limit = ConcurrencyLimit(cap=in_flight_cap)
        self.in_flight = 0
        self.latency = LatencyEwma()
        self.last_latency_at = float("-inf")
        self.held_snapshots: tuple[str, ...] = ()
        self.incarnation = ""
        self.draining = False
        self.listed_leaving = False
        self.answer_count = 0
        self.consecutive_failures = 0
        self.consecutive_ejections = 0
        self.last_reply_at = float("-inf")
        self.unanswered_since = float("inf")
        self.ejected_until = float("-inf")
        self.next_probe_at = float("-inf")
        self.last_checked_at = float("-inf")
        self.probe_running = False

    def record_sent(self, now: float) -> None:
        """Count an attempt that is handed to the replica's connections as in flight."""
        if self.in_flight == 0:
            self.unanswered_since = now
        self.in_flight += 1

    def record_status(
        self, *, incarnation: str, held_snapshots: list[str], draining: bool, now: float
    ) -> None:
        """Apply what a reply reports about the replica itself."""
        if incarnation != self.incarnation:
            self.incarnation = incarnation
            self.draining = False
            self.answer_count = 0
        self.draining = self.draining or draining
        self.held_snapshots = tuple(held_snapshots)
        self.last_reply_at = now

    def record_outcome(self, outcome: AttemptOutcome, now: float) -> None:
        """Update load, latency and health after the end of an attempt."""
        self.in_flight -= 1
        if outcome.kind is OutcomeKind.ANSWERED:
            self.unanswered_since = now
            self.latency.record(outcome.latency_s)
            self.concurrency_limit.record_answer(
                queueing=self.latency.shows_queueing, in_flight=self.in_flight + 1, now=now
            )
            self.last_latency_at = now
            self.answer_count += 1
            self.consecutive_failures = 0
            self.consecutive_ejections = 0
            self.ejected_until = float("-inf")
        elif outcome.kind is OutcomeKind.CONNECT_FAILED:
            # Nothing listens at the address, or nothing replies: further attempts would fail too.
            self.eject(now)
        elif outcome.kind is OutcomeKind.CANCELLED:
            self.record_cancelled(outcome.latency_s, now)
        elif outcome.kind in FAILURE_OUTCOMES:
            self.record_failure(now)
        if outcome.kind in OVERLOAD_OUTCOMES:
            self.concurrency_limit.record_overload(now=now)
        if self.in_flight == 0:
            self.unanswered_since = float("inf")

    def record_cancelled(self, elapsed_s: float, now: float) -> None:
        """Update latency and health after an attempt that was cancelled after ``elapsed_s``."""
        typical_s = self.latency.fast_ewma_s
        if (
            typical_s
            and elapsed_s > SILENCE_LATENCY_FACTOR * typical_s
            and self.last_reply_at < now - elapsed_s
        ):
            # The replica has sent no reply of any kind during this time, so it may be paused; a
            # replica that is only slow with one request still replies to others.
            self.record_failure(now)
        if elapsed_s > typical_s > 0.0:
            self.latency.record(elapsed_s)
            self.last_latency_at = now

    def record_failure(self, now: float) -> None:
        """Count a failure and eject the replica after ``EJECT_AFTER_FAILURES`` in a row."""
        self.consecutive_failures += 1
        if self.consecutive_failures >= EJECT_AFTER_FAILURES:
            self.eject(now)

    def eject(self, now: float) -> None:
        """Eject the replica until a probe succeeds or an answer arrives.

        The delay of the probe doubles with each ejection since the last answer, up to
        ``MAX_PROBE_DELAY_S``.
        """
        # The maximum is reached before exponent 8, which only keeps the power small.
        probe_delay_s = min(
            INITIAL_PROBE_DELAY_S * 2 ** min(self.consecutive_ejections, 8), MAX_PROBE_DELAY_S
        )
        if not self.is_ejected(now):
            self.ejected_until = float("inf")
            self.consecutive_ejections += 1
            self.last_checked_at = now
            self.next_probe_at = now + probe_delay_s

    def record_probe(self, *, answered: bool, now: float) -> None:
        """End or renew an ejection after a probe of the replica.

        A replica that answered stays one failure short of the next ejection, since a status reply
        does not prove that it serves requests.
        """
        self.probe_running = False
        self.last_checked_at = now
        self.next_probe_at = now + INITIAL_PROBE_DELAY_S
        if not self.is_ejected(now):
            return
        self.ejected_until = float("-inf")
        if answered:
            self.consecutive_failures = EJECT_AFTER_FAILURES - 1
        else:
            self.eject(now)

    def probe_due(self, now: float, *, urgent: bool = False) -> bool:
        """Whether an ejected or never reached replica should get a probe now.

        ``urgent`` replaces the growing delay by ``INITIAL_PROBE_DELAY_S``, for shards without any
        serving replica. A leaving replica gets no probe: if it drains, its connection tasks request
        its status at intervals.
        """
        if self.probe_running or self.is_leaving or self.is_serving(now):
            return False
        return now >= (
            self.last_checked_at + INITIAL_PROBE_DELAY_S if urgent else self.next_probe_at
        )

    def expected_latency_s(self, now: float) -> float:
        """Return the latency to expect of a new attempt, seconds.

        The excess of the typical latency over the baseline decays with the age of the last sample.
        A long time without an answer (see ``unanswered_since``) raises the result.
        """
        latency_s, baseline_s = self.latency.fast_ewma_s, self.latency.baseline_s
        excess_s = latency_s - baseline_s
        if excess_s > 0.0:
            latency_s = baseline_s + excess_s * 0.5 ** (
                (now - self.last_latency_at) / EXCESS_LATENCY_HALF_LIFE_S
            )
        unanswered_s = now - self.unanswered_since
        return (
            max(latency_s, unanswered_s)
            if unanswered_s > SILENCE_LATENCY_FACTOR * latency_s
            else latency_s
        )

    @property
    def is_cold(self) -> bool:
        """Whether this incarnation has given too few answers to count as warm."""
        return self.answer_count < WARM_UP_ANSWERS

    def is_ejected(self, now: float) -> bool:
        """Whether the replica gets no attempts until a probe succeeds or an answer arrives."""
        return now < self.ejected_until

    def is_serving(self, now: float) -> bool:
        """Whether the replica may get work, regardless of its load."""
        return not self.is_leaving and self.incarnation != "" and now >= self.ejected_until

    @property
    def is_leaving(self) -> bool:
        """Whether the replica drains or the host list marks it as leaving."""
        return self.draining or self.listed_leaving

    def has_capacity(self) -> bool:
        """Whether the replica may get one more attempt; one at a time after an ejection."""
        if self.consecutive_ejections:
            return self.in_flight == 0
        return self.in_flight < self.concurrency_limit.max_in_flight

    def is_usable(self, now: float) -> bool:
        """Whether the replica may get an attempt now."""
        return self.is_serving(now) and self.has_capacity()
