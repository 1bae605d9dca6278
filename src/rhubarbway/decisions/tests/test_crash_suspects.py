"""Tests of crash suspicions, quarantine and the canary rules."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from rhubarbway.decisions import crash_suspects
from rhubarbway.decisions.crash_suspects import (
    QUARANTINE_DURATION_S,
    SHAPE_FAMILIARITY_S,
    SUSPICION_LIFETIME_S,
    CrashSuspects,
)
from rhubarbway.model import CanaryMode

NOW = 1000.0


def suspects_after(*servers, origin="e1/a1", digest="d", now=NOW):
    suspects = CrashSuspects(origin=origin)
    for replica, incarnation in servers:
        suspects.record_loss(
            digest=digest, shape="s", replica=replica, incarnation=incarnation, now=now
        )
    return suspects


class TestQuarantine:
    def test_two_lost_servers_start_a_quarantine_that_ends(self):
        """Guards against a third lost server, and against a quarantine that never ends."""
        suspects = suspects_after(("r1", "i1"))
        assert suspects.quarantine_remaining_s("d", NOW) == 0
        assert suspects.remaining_exposure("d", 0, NOW) == 1
        suspects = suspects_after(("r1", "i1"), ("r2", "i2"))
        assert suspects.quarantine_remaining_s("d", NOW) == QUARANTINE_DURATION_S
        assert suspects.remaining_exposure("d", 0, NOW) == 0
        later = NOW + QUARANTINE_DURATION_S
        assert suspects.quarantine_remaining_s("d", later) == 0
        assert suspects.remaining_exposure("d", 0, later) == 2

    def test_repeated_losses_of_one_server_count_once(self):
        """Guards against a quarantine when one server ends while it runs copies of a request."""
        assert suspects_after(("r1", "i1"), ("r1", "i1")).quarantine_remaining_s("d", NOW) == 0

    def test_running_server_clears_its_suspicion_and_the_quarantine(self):
        """Guards against a quarantine after lost connections to servers that still run."""
        suspects = suspects_after(("r1", "i1"), ("r2", "i2"))
        assert suspects.resolve_pending("r1", "i1", NOW) == []
        assert suspects.quarantine_remaining_s("d", NOW) == 0
        suspects.resolve_pending("r2", "i2", NOW)
        assert not suspects.suspicions
        assert not suspects.needs_canary(CanaryMode.SUSPECT, "s", NOW)

    def test_new_incarnation_or_refused_connection_confirms_a_suspicion(self):
        """Guards against a suspicion that stays unconfirmed although its server process ended."""
        suspects = suspects_after(("r1", "i1"), ("r2", "i2"))
        assert suspects.resolve_pending("r1", "i9", NOW) == ["d"]
        assert suspects.resolve_pending("r2", None, NOW) == ["d"]
        assert suspects.resolve_pending("r1", "i1", NOW) == []
        assert suspects.quarantine_remaining_s("d", NOW) > 0

    def test_complete_answer_clears_earlier_losses_only(self):
        """Guards against the quarantine of a popular request during a rolling restart."""
        suspects = suspects_after(("r1", "i1"))
        shared = suspects_after(("r1", "i1"))
        shared.resolve_pending("r1", None, NOW)
        suspects.record_complete_answer(digest="d", shape="s", now=NOW + 1)
        suspects.merge(shared.confirmed_update(NOW + 2), NOW + 2)
        suspects.record_loss(digest="d", shape="s", replica="r2", incarnation="i2", now=NOW + 3)
        assert suspects.quarantine_remaining_s("d", NOW + 3) == 0
        suspects.record_loss(digest="d", shape="s", replica="r3", incarnation="i3", now=NOW + 4)
        assert suspects.quarantine_remaining_s("d", NOW + 4) == QUARANTINE_DURATION_S

    def test_running_attempts_count_as_exposure(self):
        """Guards against concurrent copies that crash servers before the first loss is recorded."""
        suspects = CrashSuspects(origin="e1/a1")
        assert suspects.remaining_exposure("d", 2, NOW) == 0
        suspects.record_answer(digest="d", shape="s", now=NOW)
        assert suspects.remaining_exposure("d", 50, NOW) == 2


class TestCanaryModes:
    def canary_needs(self, suspects, now=NOW):
        return [suspects.needs_canary(mode, "s", now) for mode in CanaryMode]

    def test_need_for_a_canary_depends_on_mode_and_history_of_the_shape(self):
        """Guards against an unfamiliar shape that reaches all shards without a canary."""
        suspects = CrashSuspects(origin="e1/a1")
        assert self.canary_needs(suspects) == [True, True, False]
        suspects.record_answer(digest="d", shape="s", now=NOW)
        assert self.canary_needs(suspects) == [True, False, False]
        assert self.canary_needs(suspects, NOW + SHAPE_FAMILIARITY_S) == [True, True, False]

    def test_suspected_shape_needs_a_canary_in_all_modes(self):
        """Guards against a suspected shape that reaches all shards in a mode without canaries."""
        suspects = suspects_after(("r1", "i1"))
        suspects.record_answer(digest="other", shape="s", now=NOW)
        assert self.canary_needs(suspects) == [True, True, True]
        assert self.canary_needs(suspects, NOW + SUSPICION_LIFETIME_S) == [True, False, False]


class TestSharing:
    def test_only_confirmed_suspicions_and_quarantines_are_shared(self):
        """Guards against sharing an unconfirmed suspicion, whose withdrawal is not shared."""
        suspects = suspects_after(("r1", "i1"), ("r2", "i2"))
        shared = suspects.confirmed_update(NOW)
        assert (shared.suspicions, shared.quarantines) == ((), ())
        suspects.resolve_pending("r1", None, NOW)
        shared = suspects.confirmed_update(NOW)
        assert [suspicion.replica for suspicion in shared.suspicions] == ["r1"]
        assert [quarantine.digest for quarantine in shared.quarantines] == ["d"]

    def test_one_loss_at_each_of_two_hosts_is_enough(self):
        """Guards against a crashing request that each entry host tries on a server of its own."""
        first, second = suspects_after(("r1", "i1")), suspects_after(("r2", "i2"), origin="e2/b1")
        first.resolve_pending("r1", None, NOW)
        assert second.merge(first.confirmed_update(NOW), NOW)
        assert second.quarantine_remaining_s("d", NOW) > 0

    def test_gossip_does_not_renew_a_quarantine(self):
        """Guards against two hosts that renew a quarantine for ever from each other's gossip."""
        first = suspects_after(("r1", "i1"), ("r2", "i2"))
        first.resolve_pending("r1", None, NOW)
        second = CrashSuspects(origin="e2/b1")
        now = NOW
        while now < NOW + QUARANTINE_DURATION_S + 20:
            message = first.confirmed_update(now)
            now += 0.5
            second.merge(message, now)
            message = second.confirmed_update(now)
            now += 0.5
            first.merge(message, now)
        assert (
            first.quarantine_remaining_s("d", now) == second.quarantine_remaining_s("d", now) == 0
        )

    def test_invalid_ages_are_bounded(self):
        """Guards against a message with invalid ages that blocks a request for ever."""
        suspects = CrashSuspects(origin="e1/a1")
        update = crash_suspects.CrashUpdate(
            suspicions=(
                crash_suspects.SharedSuspicion(
                    digest="d", shape="s", replica="r", incarnation="i", age_s=-1e9
                ),
            ),
            quarantines=(crash_suspects.SharedQuarantine(digest="q", origin="o", remaining_s=1e9),),
        )
        suspects.merge(update, NOW)
        assert suspects.quarantine_remaining_s("q", NOW) == QUARANTINE_DURATION_S
        assert not suspects.live_suspicions("d", NOW + SUSPICION_LIFETIME_S)


DIGESTS = st.sampled_from(["d1", "d2", "d3", "d4"])
REPLICAS = st.sampled_from(["r1", "r2", "r3"])
INCARNATIONS = st.sampled_from(["i1", "i2"])


class SuspectMachine(RuleBasedStateMachine):
    """Losses, contacts, answers and merges in any order keep the tables consistent."""

    @initialize()
    def start(self):
        self.now = NOW
        self.suspects = CrashSuspects(origin="e1/a1")
        self.other = CrashSuspects(origin="e2/b1")

    @rule(digest=DIGESTS, replica=REPLICAS, incarnation=INCARNATIONS)
    def lose(self, digest, replica, incarnation):
        self.suspects.record_loss(
            digest=digest, shape=digest[:1], replica=replica, incarnation=incarnation, now=self.now
        )
        assert self.suspects.remaining_exposure(digest, 0, self.now) < 2

    @rule(replica=REPLICAS, incarnation=st.one_of(st.none(), INCARNATIONS))
    def contact(self, replica, incarnation):
        self.suspects.resolve_pending(replica, incarnation, self.now)
        assert replica not in self.suspects.pending_by_replica

    @rule(digest=DIGESTS)
    def answer(self, digest):
        self.suspects.record_answer(digest=digest, shape=digest[:1], now=self.now)

    @rule(digest=DIGESTS)
    def complete(self, digest):
        self.suspects.record_complete_answer(digest=digest, shape=digest[:1], now=self.now)
        assert not self.suspects.live_suspicions(digest, self.now)

    @rule(seconds=st.floats(0.0, 40.0))
    def wait(self, seconds):
        self.now += seconds

    @rule()
    def exchange(self):
        self.other.merge(self.suspects.confirmed_update(self.now), self.now)
        self.suspects.merge(self.other.confirmed_update(self.now), self.now)

    @invariant()
    def consistent(self):
        """Guards against tables that disagree, so that a suspicion is never resolved or removed."""
        for suspects in (getattr(self, "suspects", None), getattr(self, "other", None)):
            if suspects is None:
                continue
            held = [one for known in suspects.suspicions.values() for one in known.values()]
            assert sum(suspects.shape_suspicion_counts.values()) == len(held)
            pending = [one for waiting in suspects.pending_by_replica.values() for one in waiting]
            assert set(pending) <= set(held)
            assert all(not one.confirmed for one in pending)
            for digest in list(suspects.suspicions):
                if (
                    len(suspects.live_suspicions(digest, self.now)) >= 2
                    and suspects is self.suspects
                ):
                    assert suspects.remaining_exposure(digest, 0, self.now) == 0


TestSuspectMachine = SuspectMachine.TestCase
TestSuspectMachine.settings = settings(
    max_examples=60, stateful_step_count=40, derandomize=True, deadline=None
)


class TestBounds:
    def test_tables_stay_bounded(self, monkeypatch):
        """Guards against memory that grows with the number of distinct requests."""
        monkeypatch.setattr(crash_suspects, "MAX_DIGESTS", 10)
        monkeypatch.setattr(crash_suspects, "MAX_SHAPES", 10)
        suspects = CrashSuspects(origin="e1/a1")
        for number in range(100):
            for replica in range(20):
                suspects.record_loss(
                    digest=f"d{number}",
                    shape=f"s{number}",
                    replica=f"r{replica}",
                    incarnation="i",
                    now=NOW,
                )
            suspects.record_complete_answer(digest=f"a{number}", shape=f"t{number}", now=NOW)
        tables = (
            suspects.suspicions,
            suspects.quarantines,
            suspects.shape_answered_at,
            suspects.shape_suspected_until,
            suspects.shape_suspicion_counts,
            suspects.exempt_until,
            suspects.completed_at,
        )
        assert all(len(table) <= 10 for table in tables)
        pending = sum(len(waiting) for waiting in suspects.pending_by_replica.values())
        assert pending <= 10 * crash_suspects.MAX_SUSPICIONS_PER_DIGEST
