"""Tests of the observed state of a replica."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from rhubarbway.decisions.replica_choice import DEFAULT_LATENCY_S
from rhubarbway.decisions.replica_state import EJECT_AFTER_FAILURES, ReplicaState
from rhubarbway.model import AttemptId, AttemptOutcome, ExecutionStatus, OutcomeKind, Replica

CAP = 3


def replica():
    return Replica(
        name="r", address="127.0.0.1:1", zone="z", slots=3, connections=30, connect_ms=6.0
    )


def outcome(kind, latency=0.005):
    return AttemptOutcome(
        attempt=AttemptId(host="e", incarnation="0", counter=1),
        replica="r",
        shard=0,
        kind=kind,
        ran=ExecutionStatus.UNKNOWN,
        latency_s=latency,
    )


def known_state(now=0.0):
    state = ReplicaState(replica=replica(), in_flight_cap=CAP)
    state.record_status(incarnation="1", held_snapshots=["s"], draining=False, now=now)
    return state


def run_attempt(state, kind, *, now, latency=0.005):
    state.record_sent(now - latency)
    if kind is OutcomeKind.ANSWERED:
        state.record_status(
            incarnation=state.incarnation, held_snapshots=["s"], draining=False, now=now
        )
    state.record_outcome(outcome(kind, latency), now)


class TestReplicaState:
    def test_single_straggler_neither_ejects_nor_lowers_the_limit(self):
        """Guards against losing a replica because one request in a hundred is slow."""
        state = known_state()
        for number in range(50):
            run_attempt(state, OutcomeKind.ANSWERED, now=0.01 * number)
        run_attempt(state, OutcomeKind.ANSWERED, now=1.0, latency=0.25)
        assert state.is_usable(1.0)
        assert state.concurrency_limit.max_in_flight == CAP

    def test_lasting_slowness_lowers_the_limit_to_one(self):
        """Guards against hosts that keep three requests each in flight on an overloaded server."""
        state = known_state()
        for number in range(50):
            run_attempt(state, OutcomeKind.ANSWERED, now=0.01 * number)
        for number in range(50):
            run_attempt(state, OutcomeKind.ANSWERED, now=1.0 + 0.1 * number, latency=0.05)
        assert state.concurrency_limit.max_in_flight == 1

    def test_silent_replica_costs_more_while_it_holds_an_attempt(self):
        """Guards against sending all queries to a frozen replica until its attempts time out."""
        state = known_state()
        run_attempt(state, OutcomeKind.ANSWERED, now=1.0)
        state.record_sent(1.0)
        assert state.expected_latency_s(1.1) >= 0.09

    def test_cancelled_attempts_eject_a_frozen_replica(self):
        """Guards against a frozen replica that is never ejected because hedges win each time."""
        state = known_state()
        run_attempt(state, OutcomeKind.ANSWERED, now=1.0)
        for number in range(EJECT_AFTER_FAILURES):
            run_attempt(state, OutcomeKind.CANCELLED, now=2.0 + number, latency=0.05)
        assert not state.is_usable(10.0)

    def test_excess_latency_decays_with_age(self):
        """Guards against a replica that gets no work again after one slow period."""
        state = known_state()
        for number in range(20):
            run_attempt(state, OutcomeKind.ANSWERED, now=0.1 * number)
        for number in range(20):
            run_attempt(state, OutcomeKind.ANSWERED, now=2.0 + 0.1 * number, latency=0.1)
        assert state.expected_latency_s(4.0) > 0.05
        assert state.expected_latency_s(14.0) < DEFAULT_LATENCY_S

    def test_probe_alone_does_not_restore_full_load(self):
        """Guards against full load on a server that answers probes while its requests fail."""
        state = known_state()
        for number in range(EJECT_AFTER_FAILURES):
            run_attempt(state, OutcomeKind.BAD_ANSWER, now=1.0 + number)
        assert state.probe_due(20.0)
        state.record_probe(answered=True, now=20.0)
        state.record_sent(20.0)
        assert not state.has_capacity()
        state.record_outcome(outcome(OutcomeKind.BAD_ANSWER), 20.1)
        assert not state.is_usable(20.1)


class ReplicaStateMachine(RuleBasedStateMachine):
    """Sends, outcomes and probes in any order."""

    def __init__(self):
        super().__init__()
        self.state = known_state()
        self.now = 1.0
        self.ejected = False

    @precondition(lambda self: self.state.is_usable(self.now))
    @rule()
    def send(self):
        self.state.record_sent(self.now)

    @precondition(lambda self: self.state.in_flight > 0)
    @rule(kind=st.sampled_from(OutcomeKind), latency=st.floats(0.001, 2.0))
    def end(self, kind, latency):
        self.now += latency
        self.state.record_outcome(outcome(kind, latency), self.now)
        if kind is OutcomeKind.CONNECT_FAILED:
            self.ejected = True
        elif kind is OutcomeKind.ANSWERED:
            self.ejected = False

    @precondition(lambda self: self.state.probe_due(self.now))
    @rule(answered=st.booleans())
    def probe(self, answered):
        self.state.probe_running = True
        assert not self.state.probe_due(self.now)
        self.state.record_probe(answered=answered, now=self.now)
        self.ejected = self.ejected and not answered

    @rule(seconds=st.floats(0.0, 20.0))
    def wait(self, seconds):
        self.now += seconds

    @invariant()
    def attempts_stay_within_the_share_of_connections(self):
        """Guards against an entry host that takes the connections of others."""
        assert 0 <= self.state.in_flight <= CAP
        assert 1 <= self.state.concurrency_limit.max_in_flight <= CAP

    @invariant()
    def ejected_replica_gets_no_work_before_a_probe(self):
        """Guards against queries that are sent to a replica known to fail."""
        assert not (self.ejected and self.state.is_usable(self.now))

    @invariant()
    def every_unusable_replica_gets_a_probe(self):
        """Guards against a replica that stays ejected after it has recovered."""
        assert self.state.is_serving(self.now) or self.state.probe_due(self.now + 60.0)


TestReplicaStateMachine = ReplicaStateMachine.TestCase
