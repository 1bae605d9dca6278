"""Tests of the membership view."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from rhubarbway.decisions.membership import (
    DEAD_AFTER_S,
    SUSPECT_AFTER_FAILURES,
    Membership,
    record_order,
)
from rhubarbway.model import MemberRecord, MemberState

NAMES = ["a", "b", "c"]
WALL_MS = 1_000_000


def record(name, *, incarnation="1", started_ms=100, heartbeat=1, state=MemberState.ALIVE):
    return MemberRecord(
        name=name,
        incarnation=incarnation,
        started_ms=started_ms,
        heartbeat=heartbeat,
        state=state,
    )


def view_of(name="a", **own):
    view = Membership(own=record(name, **own))
    view.set_published(NAMES, neighbours=[other for other in NAMES if other != name])
    return view


def merge_direct(view, message, now=0.0):
    return view.merge_direct(message, now=now, wall_ms=WALL_MS)


def merge(view, message, now=0.0):
    return view.merge(message, now=now, wall_ms=WALL_MS)


class TestSuspicion:
    def test_third_failed_exchange_raises_a_suspicion(self):
        """Guards against a suspicion after one failed exchange, and against none after several."""
        view = view_of()
        merge_direct(view, record("b"))
        assert [
            view.record_failed_exchange("b", now=float(n))
            for n in range(SUSPECT_AFTER_FAILURES - 1)
        ] == [None, None]
        assert view.record_failed_exchange("b", now=3.0).state is MemberState.SUSPECT
        assert "b" not in view.alive()

    def test_suspected_host_refutes_with_a_newer_heartbeat(self):
        """Guards against a live host that stays suspect because one network path failed."""
        view, other = view_of("a", heartbeat=7), view_of("b")
        suspicion = record("a", heartbeat=7, state=MemberState.SUSPECT)
        merge(other, suspicion)
        answer = merge(view, suspicion)
        assert merge(other, answer) is answer
        assert "a" in other.alive()

    def test_host_that_stays_suspected_is_dead(self):
        """Guards against a lost host that stays suspect, and one declared dead too early."""
        view = view_of()
        merge(view, record("b", state=MemberState.SUSPECT), now=0.0)
        assert view.expire_suspects(now=DEAD_AFTER_S - 1) == []
        assert [dead.state for dead in view.expire_suspects(now=DEAD_AFTER_S)] == [MemberState.DEAD]

    def test_neighbour_without_a_record_does_not_count_as_alive(self):
        """Guards against a configuration that is not read while the fleet starts.

        If neighbours without a record counted as alive, the first host would leave the reads to
        hosts that are not running yet.
        """
        assert view_of().alive() == {"a"}

    def test_older_record_is_answered_with_the_newer_one(self):
        """Guards against a host that keeps an outdated suspicion because nobody corrects it."""
        view = view_of()
        merge_direct(view, record("b", heartbeat=9))
        newer = merge(view, record("b", heartbeat=4, state=MemberState.SUSPECT))
        assert (newer.heartbeat, newer.state) == (9, MemberState.ALIVE)

    def test_direct_exchange_ends_the_suspicion_of_a_host(self):
        """Guards against a host that stays suspect although it takes part in exchanges."""
        view = view_of()
        merge(view, record("b", heartbeat=5, state=MemberState.SUSPECT))
        assert merge_direct(view, record("b", heartbeat=5)).state is MemberState.ALIVE


class TestIncarnation:
    def test_record_of_the_earlier_process_does_not_replace_that_of_the_new_one(self):
        """Guards against a restarted host that is taken for its previous process."""
        view = view_of()
        merge_direct(view, record("b", incarnation="2", started_ms=200))
        merge(view, record("b", heartbeat=99, state=MemberState.DEAD))
        assert "b" in view.alive()
        assert view.records["b"].incarnation == "2"

    def test_restarted_host_whose_clock_is_behind_takes_a_later_start_time(self):
        """Guards against a restarted host whose records appear older than its former ones."""
        view = view_of("a", incarnation="2", started_ms=WALL_MS - 10)
        answer = merge(view, record("a", started_ms=WALL_MS + 500, heartbeat=40))
        assert answer.incarnation == "2"
        assert record_order(answer) > record_order(record("a", started_ms=WALL_MS + 500))

    def test_paused_process_does_not_replace_its_successor(self):
        """Guards against two processes of one host that refute each other without end."""
        view = view_of("a", incarnation="1", started_ms=100)
        assert merge(view, record("a", incarnation="2", started_ms=200)) is None
        assert view.own.started_ms == 100


class TestBounds:
    def test_unknown_names_do_not_fill_the_memory(self):
        """Guards against memory that grows with records of hosts that are not published."""
        view = view_of()
        for number in range(1000):
            merge(view, record(f"x{number}"))
        assert len(view.records) <= view.max_unpublished + len(NAMES)

    def test_hosts_that_are_no_longer_published_are_forgotten(self):
        """Guards against memory that grows with the hosts that were ever published."""
        view = view_of()
        merge_direct(view, record("b"))
        view.set_published(["a", "c"], neighbours=["c"])
        assert "b" not in view.records

    def test_heartbeat_alone_is_not_propagated(self):
        """Guards against messages that contain every host in every round, as heartbeats change."""
        view = view_of()
        assert merge_direct(view, record("b")) is not None
        assert merge_direct(view, record("b", heartbeat=2)) is None


class MembershipMachine(RuleBasedStateMachine):
    """Three views that receive the same records in any order."""

    def __init__(self):
        super().__init__()
        self.views = {name: view_of(name, incarnation="9", started_ms=5000) for name in NAMES}
        self.delivered = []
        self.previous = {}

    @rule(
        name=st.sampled_from(["x", "y"]),
        started_ms=st.integers(1, 3),
        heartbeat=st.integers(0, 4),
        state=st.sampled_from(list(MemberState)),
        to=st.sampled_from(NAMES),
    )
    def deliver_record(self, name, started_ms, heartbeat, state, to):
        message = record(
            name,
            incarnation=str(started_ms),
            started_ms=started_ms,
            heartbeat=heartbeat,
            state=state,
        )
        self.delivered.append(message)
        merge(self.views[to], message)

    @rule(about=st.sampled_from(NAMES), heartbeat=st.integers(0, 50), to=st.sampled_from(NAMES))
    def deliver_suspicion(self, about, heartbeat, to):
        message = record(
            about,
            incarnation="9",
            started_ms=5000,
            heartbeat=heartbeat,
            state=MemberState.SUSPECT,
        )
        answer = merge(self.views[to], message)
        if to == about and answer is not None:
            assert answer.state is MemberState.ALIVE
            assert answer.heartbeat > heartbeat

    @invariant()
    def views_never_regress(self):
        """Guards against an older record that replaces a newer one."""
        for viewer, view in self.views.items():
            for name, known in view.records.items():
                key = record_order(known)
                assert key >= self.previous.get((viewer, name), key)
                self.previous[(viewer, name)] = key

    @invariant()
    def each_host_is_alive_in_its_own_view(self):
        """Guards against a running host that takes itself for suspect or dead."""
        assert all(name in view.alive() for name, view in self.views.items())

    def teardown(self):
        """Check that all views agree once each has received all records."""
        for message in self.delivered:
            for view in self.views.values():
                merge(view, message)
        for name in ("x", "y"):
            orders = {
                record_order(view.records[name])
                for view in self.views.values()
                if name in view.records
            }
            assert len(orders) <= 1


TestMembershipMachine = MembershipMachine.TestCase
TestMembershipMachine.settings = settings(
    max_examples=60, stateful_step_count=25, deadline=None, derandomize=True
)
