"""Tests of the state of a server and of the ranking of servers."""

from types import SimpleNamespace

from rhubarbway.decisions.replica_ranking import RankingView, best_replica
from rhubarbway.decisions.server_state import INITIAL_EJECTION_S, ServerState
from rhubarbway.model import BackendServer, ExchangeEnd, ExchangeOutcome, ExecutionStatus

TYPICAL_S = 0.02


def state_of(name, *, zone="a", warm_up_s=0.0):
    server = BackendServer(
        id=name, service="desk", address="10.0.0.1:1", zone=zone, slots=3, warm_up_s=warm_up_s
    )
    return ServerState(server=server, now=0.0)


def record_end(state, end, *, latency=TYPICAL_S, now=1.0):
    outcome = ExchangeOutcome(
        attempt=1, shard="desk", server="s", end=end, ran=ExecutionStatus.RUN, latency_s=latency
    )
    state.record_outcome(outcome, typical_s=TYPICAL_S, now=now)


def best_server(*states, now=1.0, excluded=()):
    view = RankingView(zone="a", typical_s=TYPICAL_S, cross_zone_cost_s=0.01, now=now)
    pools = [SimpleNamespace(state=state) for state in states]
    return best_replica(pools, view, excluded=excluded).state.server.id


class TestRanking:
    def test_a_slow_server_gets_no_requests_until_its_slowness_has_decayed(self):
        """Guards against queries that wait for a server that takes ten times as long as others."""
        slow, near, far = state_of("slow"), state_of("near"), state_of("far", zone="b")
        for _ in range(5):
            record_end(slow, ExchangeEnd.ANSWERED, latency=10 * TYPICAL_S)
        assert best_server(slow, near, far) == "near"
        assert best_server(slow, far) == "far"
        assert best_server(slow, far, now=20.0) == "slow"

    def test_a_paused_server_is_avoided_while_its_attempt_is_overdue(self):
        """Guards against sending more requests to a server that pauses for 200 ms."""
        paused, far = state_of("paused"), state_of("far", zone="b")
        paused.record_sent(1, now=0.9)
        assert best_server(paused, far, now=0.91) == "paused"
        assert best_server(paused, far, now=1.0) == "far"

    def test_a_server_without_a_free_connection_comes_after_one_that_has_one(self):
        """Guards against requests that wait for a connection while another server is free.

        A restarted host that does not know the other hosts yet may open only two connections to a
        server. In one run, a third request then waited for replies that took 0.8 s.
        """
        busy, far = state_of("busy"), state_of("far", zone="b")
        busy.record_sent(1, now=0.99)
        assert best_server(busy, far) == "busy"
        busy.max_connections = 1
        assert best_server(busy, far) == "far"

    def test_a_cold_server_in_the_zone_comes_after_a_warm_one(self):
        """Guards against requests to a server that is still slow because it has just started."""
        assert best_server(state_of("cold", warm_up_s=3.0), state_of("warm")) == "warm"
        assert best_server(state_of("cold", warm_up_s=3.0), state_of("warm"), now=5.0) == "cold"

    def test_ejected_servers_come_last_but_are_used_when_nothing_else_is_there(self):
        """Guards against requests to a failed server, and against failing without any attempt.

        The second failure would occur if all servers of a service were ejected.
        """
        failed, far = state_of("failed"), state_of("far", zone="b")
        record_end(failed, ExchangeEnd.CONNECT_FAILED)
        assert best_server(failed, far) == "far"
        assert best_server(failed) == "failed"


class TestEjection:
    def test_the_second_lost_answer_in_a_row_ejects_the_server(self):
        """Guards against an ejection after one lost answer, and against none after several."""
        state = state_of("s")
        record_end(state, ExchangeEnd.LOST)
        assert not state.is_ejected(1.0)
        record_end(state, ExchangeEnd.LOST)
        assert state.is_ejected(1.0)

    def test_ejections_grow_and_an_answer_ends_them(self):
        """Guards against many requests to a failed server, and against ejecting a recovered one."""
        state = state_of("s")
        record_end(state, ExchangeEnd.CONNECT_FAILED, now=1.0)
        assert not state.is_ejected(1.0 + INITIAL_EJECTION_S)
        record_end(state, ExchangeEnd.CONNECT_FAILED, now=2.0)
        assert state.is_ejected(2.0 + INITIAL_EJECTION_S)
        record_end(state, ExchangeEnd.ANSWERED, now=2.1)
        assert not state.is_ejected(2.1)

    def test_a_refusal_does_not_count_as_a_failure(self):
        """Guards against the ejection of an overloaded server that still handles some requests."""
        state = state_of("s")
        for _ in range(5):
            record_end(state, ExchangeEnd.REFUSED)
        assert not state.is_ejected(1.0)


class TestRefusals:
    def test_a_server_that_refuses_part_of_its_requests_ranks_behind_one_far_away(self):
        """Guards against servers that keep their rank because of fast replies, but often refuse.

        In one run, half of the servers refused 60 % of their requests and answered the others
        quickly, and 1,004 queries got too few shards.
        """
        refusing, far = state_of("grey"), state_of("far", zone="b")
        for number in range(10):
            record_end(refusing, ExchangeEnd.REFUSED if number % 5 < 3 else ExchangeEnd.ANSWERED)
            record_end(far, ExchangeEnd.ANSWERED)
        assert best_server(refusing, far) == "far"
