"""What one entry host knows about one replica."""

from __future__ import annotations

from rhubarbway.decisions.concurrency_limit import ConcurrencyLimit, MeanLatency
from rhubarbway.model import AttemptOutcome, OutcomeKind, Replica

EJECT_AFTER_FAILURES = 3
EJECT_FIRST_S = 0.5
EJECT_LONGEST_S = 15.0
# Answers after which a new incarnation counts as warm.
COLD_ANSWERS = 10
# An old mean above the lowest one halves its excess in this time, seconds. A replica that was slow
# gets no work and would otherwise never show that it has recovered.
RECOVERY_HALF_LIFE_S = 1.0
# An unanswered replica that is silent for this multiple of its usual latency counts as late.
SILENCE_FACTOR = 2.0

FAILED_KINDS = frozenset(
    {
        OutcomeKind.CONNECTION_LOST,
        OutcomeKind.TIMED_OUT,
        OutcomeKind.FOREIGN_ANSWER,
        OutcomeKind.BAD_ANSWER,
    }
)
OVERLOAD_KINDS = frozenset({OutcomeKind.SHED, OutcomeKind.TIMED_OUT})


class ReplicaState:
    """Knowledge about a replica, learnt from its answers to real requests.

    Attributes
    ----------
    limit : int
        Hard cap of attempts in flight, this entry host's share of the connections.
    adaptive : ConcurrencyLimit
        Limit below the cap that follows the replica's latency.
    in_flight : int
        Attempts of this entry host that the replica holds now.
    latency : MeanLatency
        Moving mean of the latency of answers.
    held_snapshots : tuple of str
        Snapshots that the replica reported last, oldest first.
    incarnation : str
        Incarnation that the replica reported last; empty before first contact.
    draining : bool
        True once this incarnation is known to be leaving.
    answers : int
        Answers of this incarnation; a small number means that it is cold.
    last_heard : float
        ``time.monotonic()`` instant of the last reply; minus infinity before first contact.
    silent_since : float
        Instant since which the replica holds attempts and has not replied.
    failures, ejections : int
        Failures in a row, and ejections since the last answer.
    ejected_until : float
        Infinity while ejected, else minus infinity.
    trial_at : float
        Instant from which an unusable replica may be asked for its status.
    checked_at : float
        Instant of the last ejection or status request.
    trial_running : bool
        True while it is being asked.
    """

    __slots__ = (
        "adaptive",
        "answered_at",
        "answers",
        "checked_at",
        "draining",
        "ejected_until",
        "ejections",
        "failures",
        "held_snapshots",
        "in_flight",
        "incarnation",
        "last_heard",
        "latency",
        "limit",
        "listed_leaving",
        "replica",
        "silent_since",
        "trial_at",
        "trial_running",
    )

    def __init__(self, *, replica: Replica, limit: int) -> None:
        self.replica = replica
        self.limit = limit
        self.adaptive = ConcurrencyLimit(cap=limit)
        self.in_flight = 0
        self.latency = MeanLatency()
        self.answered_at = float("-inf")
        self.held_snapshots: tuple[str, ...] = ()
        self.incarnation = ""
        self.draining = False
        self.listed_leaving = False
        self.answers = 0
        self.failures = 0
        self.ejections = 0
        self.last_heard = float("-inf")
        self.silent_since = float("inf")
        self.ejected_until = float("-inf")
        self.trial_at = float("-inf")
        self.checked_at = float("-inf")
        self.trial_running = False

    def note_sent(self, now: float) -> None:
        """Count an attempt that is handed to the replica's connections."""
        if self.in_flight == 0:
            self.silent_since = now
        self.in_flight += 1

    def note_contact(
        self, *, incarnation: str, held_snapshots: list[str], draining: bool, now: float
    ) -> None:
        """Take over what a reply says about the replica itself."""
        if incarnation != self.incarnation:
            self.incarnation = incarnation
            self.draining = False
            self.answers = 0
        self.draining = self.draining or draining
        self.held_snapshots = tuple(held_snapshots)
        self.last_heard = now

    def note_outcome(self, outcome: AttemptOutcome, now: float) -> None:
        """Learn latency and health from the end of an attempt."""
        self.in_flight -= 1
        if outcome.kind is OutcomeKind.ANSWERED:
            self.silent_since = now
            self.latency.record(outcome.latency_s)
            self.adaptive.note_answer(
                slow=self.latency.is_slow, in_flight=self.in_flight + 1, now=now
            )
            self.answered_at = now
            self.answers += 1
            self.failures = 0
            self.ejections = 0
            self.ejected_until = float("-inf")
        elif outcome.kind is OutcomeKind.CONNECT_FAILED:
            # Nothing listens or nothing replies there: further attempts would end the same way.
            self.eject(now)
        elif outcome.kind is OutcomeKind.CANCELLED:
            self.note_overtaken(outcome.latency_s, now)
        elif outcome.kind in FAILED_KINDS:
            self.note_failure(now)
        if outcome.kind in OVERLOAD_KINDS:
            self.adaptive.note_overload(now=now)
        if self.in_flight == 0:
            self.silent_since = float("inf")

    def note_overtaken(self, seconds: float, now: float) -> None:
        """Learn from an attempt that was cancelled after it had run for some time."""
        usual = self.latency.mean
        if usual and seconds > SILENCE_FACTOR * usual and self.last_heard < now - seconds:
            # Silent for the whole time, so it may be frozen rather than slow with one request.
            self.note_failure(now)
        if seconds > usual > 0.0:
            self.latency.record(seconds)
            self.answered_at = now

    def note_failure(self, now: float) -> None:
        """Count a failure and eject the replica after several in a row."""
        self.failures += 1
        if self.failures >= EJECT_AFTER_FAILURES:
            self.eject(now)

    def eject(self, now: float) -> None:
        """Give the replica no work until a status request succeeds, later each time."""
        interval = min(EJECT_FIRST_S * 2 ** min(self.ejections, 8), EJECT_LONGEST_S)
        if not self.ejected(now):
            self.ejected_until = float("inf")
            self.ejections += 1
            self.checked_at = now
            self.trial_at = now + interval

    def note_trial(self, *, answered: bool, now: float) -> None:
        """Learn from the status request to an unusable replica.

        A replica that answered stays one failure short of the next ejection, since a status is no
        proof that it serves requests.
        """
        self.trial_running = False
        self.checked_at = now
        self.trial_at = now + EJECT_FIRST_S
        if not self.ejected(now):
            return
        self.ejected_until = float("-inf")
        if answered:
            self.failures = EJECT_AFTER_FAILURES - 1
        else:
            self.eject(now)

    def trial_due(self, now: float, *, urgent: bool = False) -> bool:
        """Whether an unusable replica should be asked for its status now.

        ``urgent`` ignores the growing interval, for shards without any usable replica. A leaving
        replica is asked by its own connection tasks.
        """
        if self.trial_running or self.leaving or self.serving(now):
            return False
        return now >= (self.checked_at + EJECT_FIRST_S if urgent else self.trial_at)

    def expected_latency(self, now: float) -> float:
        """Return the mean latency, with old excess above the lowest one discounted, seconds."""
        mean, lowest = self.latency.mean, self.latency.lowest
        excess = mean - lowest
        if excess > 0.0:
            mean = lowest + excess * 0.5 ** ((now - self.answered_at) / RECOVERY_HALF_LIFE_S)
        silence = now - self.silent_since
        return max(mean, silence) if silence > SILENCE_FACTOR * mean else mean

    @property
    def cold(self) -> bool:
        """Whether this incarnation has answered too little to count as warm."""
        return self.answers < COLD_ANSWERS

    def ejected(self, now: float) -> bool:
        """Whether the replica is ejected."""
        return now < self.ejected_until

    def serving(self, now: float) -> bool:
        """Whether the replica may get work, apart from its load."""
        return not self.leaving and self.incarnation != "" and now >= self.ejected_until

    @property
    def leaving(self) -> bool:
        """Whether the replica may get no new work, by its own word or by the host list."""
        return self.draining or self.listed_leaving

    def has_room(self) -> bool:
        """Whether the replica may get one more attempt; after an ejection, one at a time."""
        if self.ejections:
            return self.in_flight == 0
        return self.in_flight < self.adaptive.allowed

    def usable(self, now: float) -> bool:
        """Whether the replica may get new work."""
        return self.serving(now) and self.has_room()
