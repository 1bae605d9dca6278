"""Tests of what hosts tell each other about slow servers."""

from rhubarbway.decisions.server_news import (
    OWN_FRESH_S,
    REPORT_LIFE_S,
    ServerNews,
    ServerReport,
    apply_report,
    own_reports,
)
from rhubarbway.decisions.server_state import ServerState
from rhubarbway.model import (
    BackendServer,
    ExchangeEnd,
    ExchangeOutcome,
    ExecutionStatus,
    ReplicaReply,
)

USUAL_S = 0.02


def state_of(name="i-1", *, ratio=None, at=0.0):
    server = BackendServer(id=name, service="s", address="", zone="z", slots=3)
    state = ServerState(server=server, now=0.0)
    for _ in range(8 if ratio else 0):
        state.note_outcome(
            ExchangeOutcome(
                attempt=1,
                shard="s",
                server=name,
                end=ExchangeEnd.ANSWERED,
                ran=ExecutionStatus.RUN,
                latency_s=ratio * USUAL_S,
                reply=ReplicaReply(
                    status=200, headers=(), body=b"", signature="p", ran=ExecutionStatus.RUN
                ),
            ),
            usual_s=USUAL_S,
            now=at,
        )
    return state


def report(slowness=8.0, at=5.0, server="i-1"):
    return ServerReport(server=server, slowness=slowness, at=at)


class TestOwnReports:
    def test_a_slow_server_is_told(self):
        states = [state_of("i-1", ratio=9.0, at=5.0)]
        states += [state_of(f"i-{number}", ratio=1.0, at=5.0) for number in range(2, 9)]
        assert [found.server for found in own_reports(states, now=5.1)] == ["i-1"]

    def test_a_host_for_which_all_servers_are_slow_tells_nothing(self):
        """Guards against a host short of processor time that makes others avoid all servers."""
        states = [state_of(f"i-{number}", ratio=9.0, at=5.0) for number in range(9)]
        assert own_reports(states, now=5.1) == []

    def test_old_knowledge_is_not_told(self):
        states = [state_of("i-1", ratio=9.0, at=5.0)]
        states += [state_of(f"i-{number}", ratio=1.0, at=9.0) for number in range(2, 9)]
        assert own_reports(states, now=9.0) == []

    def test_what_was_told_is_not_told_as_seen(self):
        """Guards against two hosts that keep an old report alive between them."""
        state = state_of()
        assert apply_report(state, report(at=5.0), now=5.2)
        others = [state_of(f"i-{number}", ratio=1.0, at=5.0) for number in range(2, 9)]
        assert own_reports([state, *others], now=5.3) == []


class TestApplyReport:
    def test_a_host_without_news_follows_it(self):
        state = state_of()
        assert apply_report(state, report(), now=5.5)
        assert state.current_slowness(5.0) == 8.0

    def test_own_fresh_knowledge_goes_first(self):
        state = state_of(ratio=1.0, at=5.0)
        assert not apply_report(state, report(at=5.0 + OWN_FRESH_S / 2), now=5.0 + OWN_FRESH_S / 2)

    def test_an_older_report_changes_nothing(self):
        state = state_of(ratio=1.0, at=5.0)
        assert not apply_report(state, report(at=4.0), now=9.0)

    def test_a_reply_of_the_server_ends_it(self):
        state = state_of()
        apply_report(state, report(), now=5.5)
        fresh = state_of(ratio=1.0, at=6.0)
        state.slowness, state.heard_at = fresh.slowness, fresh.heard_at
        state.is_first_hand = fresh.is_first_hand
        assert not apply_report(state, report(at=6.1), now=6.2)


class TestServerNews:
    def test_reports_expire(self):
        news = ServerNews()
        news.merge([report(at=5.0)], now=5.0)
        assert news.recent(now=5.0 + REPORT_LIFE_S) == []

    def test_reports_from_the_future_or_long_ago_are_dropped(self):
        news = ServerNews()
        news.merge([report(at=50.0), report(at=0.5, server="i-2")], now=5.0)
        assert news.recent(now=5.0) == []
