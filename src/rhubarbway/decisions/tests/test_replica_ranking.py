"""Tests of the ranking of replicas under named loads, in virtual time."""

from collections import Counter
from random import Random
from types import SimpleNamespace

from rhubarbway.decisions.replica_ranking import RETURN_S, RankingView, best_replica
from rhubarbway.decisions.server_state import ServerState
from rhubarbway.decisions.slowness_reports import SlownessReport, apply_report
from rhubarbway.model import (
    BackendServer,
    ExchangeEnd,
    ExchangeOutcome,
    ExecutionStatus,
    StatedLoad,
)

TYPICAL_S = 0.04


def pool_of(name, *, zone="a"):
    server = BackendServer(id=name, service="desk", address="10.0.0.1:1", zone=zone, slots=4)
    return SimpleNamespace(state=ServerState(server=server, now=0.0))


def answer(pool, *, latency_s, at, end=ExchangeEnd.ANSWERED):
    outcome = ExchangeOutcome(
        attempt=1, shard="desk", server="s", end=end, ran=ExecutionStatus.RUN, latency_s=latency_s
    )
    pool.state.record_outcome(outcome, typical_s=TYPICAL_S, now=at)


def choices(pools, *, now, hosts=1000):
    """Return how many of some hosts, which know the same, choose each replica."""
    random = Random(1)
    view = RankingView(
        zone="a", typical_s=TYPICAL_S, cross_zone_cost_s=0.02, now=now, random=random
    )
    return Counter(best_replica(pools, view).state.server.id for _ in range(hosts))


class TestShortSlowness:
    def test_a_server_that_pauses_gets_requests_again_after_a_second(self):
        """Load: one late reply because of a pause of 200 ms.

        Guards against traffic that stays in other zones long after the pause, and overruns them.
        """
        near, far = pool_of("near"), pool_of("far", zone="b")
        answer(near, latency_s=0.24, at=1.0)
        assert choices([near, far], now=1.05)["far"] == 1000
        assert choices([near, far], now=2.0)["near"] == 1000

    def test_a_server_slow_for_half_a_second_is_not_avoided_for_ten(self):
        """Load: late replies over half a second.

        Guards against avoiding a server for much longer than it was slow.
        """
        near, far = pool_of("near"), pool_of("far", zone="b")
        for step in range(6):
            answer(near, latency_s=0.24, at=1.0 + step * 0.1)
        assert choices([near, far], now=2.0)["far"] == 1000
        assert choices([near, far], now=4.0)["near"] == 1000

    def test_a_server_slow_for_seconds_is_avoided_between_replies(self):
        """Load: a server five times slower for seconds, with a reply each 0.4 s.

        Guards against a host that sends every other request to a server known to be slow.
        """
        near, far = pool_of("near"), pool_of("far", zone="b")
        for step in range(8):
            answer(near, latency_s=0.2, at=1.0 + step * 0.4)
        assert choices([near, far], now=5.0)["far"] == 1000

    def test_a_refusal_counts_as_longer_than_a_pause(self):
        """Load: a full server that refuses requests.

        Guards against requests that return to an overloaded server at the pace of a pause.
        """
        near, far = pool_of("near"), pool_of("far", zone="b")
        answer(near, latency_s=0.001, at=1.0, end=ExchangeEnd.REFUSED)
        assert choices([near, far], now=2.5)["far"] == 1000

    def test_reports_of_other_hosts_lengthen_the_time(self):
        """Load: a slow server of which each host sees one reply every few seconds.

        Guards against a fleet in which each host takes the slowness for a pause.
        """
        near, far = pool_of("near"), pool_of("far", zone="b")
        answer(near, latency_s=0.24, at=1.0)
        report = SlownessReport(server="near", slowness=5.0, observed_at=2.9, slow_since=1.0)
        assert apply_report(near.state, report, now=3.0)
        assert choices([near, far], now=4.0)["far"] == 1000


class TestStatedLoad:
    def test_a_server_with_a_queue_is_avoided_for_a_moment(self):
        """Load: a server that has just stated that three requests wait for each of its slots.

        Guards against adding to its queue, and against knowledge that outlives the queue.
        """
        near, far = pool_of("near"), pool_of("far", zone="b")
        near.state.record_load(StatedLoad(running=4, waiting=12, slots=4), 1.0)
        assert choices([near, far], now=1.1)["far"] == 1000
        assert choices([near, far], now=3.0)["near"] == 1000

    def test_other_work_on_the_machine_counts(self):
        """Load: other programs make a server four times slower at this moment.

        Guards against a server that gets requests because none of its slots is taken.
        """
        near, far = pool_of("near"), pool_of("far", zone="b")
        near.state.record_load(StatedLoad(running=0, waiting=0, slots=4, slowdown=4.0), 1.0)
        assert choices([near, far], now=1.1)["far"] == 1000

    def test_an_idle_server_does_not_attract_requests(self):
        """Load: calm; one server in another zone states that it is idle and fast.

        Guards against a fast server that is overrun because it looks idle.
        """
        near, far = pool_of("near"), pool_of("far", zone="b")
        far.state.record_load(StatedLoad(running=0, waiting=0, slots=4, slowdown=0.2), 1.0)
        assert choices([near, far], now=1.0)["near"] == 1000


class TestEvenLoad:
    def test_hosts_that_know_the_same_choose_different_replicas(self):
        """Load: many hosts choose among equal replicas at the same moment.

        Guards against a herd on one replica.
        """
        counts = choices([pool_of("one"), pool_of("two"), pool_of("three")], now=1.0)
        assert max(counts.values()) < 1.2 * 1000 / 3

    def test_a_fast_server_is_not_taken_by_all_hosts(self):
        """Load: two servers of a zone, one of which has answered faster than usual.

        Guards against a fast server that is overrun because it looks idle.
        """
        fast, usual = pool_of("fast"), pool_of("usual")
        for step in range(10):
            answer(fast, latency_s=TYPICAL_S * 0.6, at=step * 0.1)
        assert 400 < choices([fast, usual], now=1.0)["fast"] < 600

    def test_a_returning_server_is_not_taken_by_all_hosts_at_once(self):
        """Load: a server whose ejection ends at the same moment at all hosts.

        Guards against a server just back that is overrun, and against one that gets nothing.
        """
        back, other = pool_of("back"), pool_of("other")
        back.state.ejected_until = 1.0
        assert choices([back, other], now=0.99)["back"] == 0
        assert 0 < choices([back, other], now=1.1)["back"] < 250
        assert 400 < choices([back, other], now=1.0 + RETURN_S)["back"] < 600

    def test_the_own_zone_keeps_its_requests_in_calm(self):
        """Load: calm, with servers of somewhat different speeds.

        Guards against paying for traffic between zones to balance what needs no balancing.
        """
        near, far = pool_of("near"), pool_of("far", zone="b")
        for step in range(20):
            answer(near, latency_s=TYPICAL_S * 1.2, at=step * 0.1)
            answer(far, latency_s=TYPICAL_S * 0.9, at=step * 0.1)
        assert choices([near, far], now=2.0)["near"] == 1000


class TestDeletedServers:
    def test_they_get_requests_only_while_the_others_are_much_slower(self):
        """Load: a release after an outage of the store, so that deletions are deferred.

        Guards against requests to servers that have left, and against the loss of servers that
        live while the others are overloaded.
        """
        deleted, other = pool_of("deleted"), pool_of("other")
        deleted.state.is_probably_gone = True
        assert choices([deleted, other], now=1.0)["other"] == 1000
        other.state.in_flight = dict.fromkeys(range(10), 0.99)
        assert choices([deleted, other], now=1.0)["deleted"] == 1000
        other.state.leaving = True
        assert choices([deleted, other], now=1.0)["deleted"] == 1000
