"""Tests of the reports about slow servers that hosts exchange."""

from rhubarbway.decisions.server_state import ServerState
from rhubarbway.decisions.slowness_reports import (
    FIRST_HAND_PRECEDENCE_S,
    REPORT_LIFETIME_S,
    SlownessReport,
    SlownessReports,
    apply_report,
    first_hand_reports,
)
from rhubarbway.model import (
    BackendServer,
    ExchangeEnd,
    ExchangeOutcome,
    ExecutionStatus,
    ReplicaReply,
)

TYPICAL_S = 0.02


def state_of(name="i-1", *, ratio=None, at=0.0):
    server = BackendServer(id=name, service="s", address="", zone="z", slots=3)
    state = ServerState(server=server, now=0.0)
    for _ in range(8 if ratio else 0):
        state.record_outcome(
            ExchangeOutcome(
                attempt=1,
                shard="s",
                server=name,
                end=ExchangeEnd.ANSWERED,
                ran=ExecutionStatus.RUN,
                latency_s=ratio * TYPICAL_S,
                reply=ReplicaReply(
                    status=200, headers=(), body=b"", signature="p", ran=ExecutionStatus.RUN
                ),
            ),
            typical_s=TYPICAL_S,
            now=at,
        )
    return state


def report(slowness=8.0, at=5.0, server="i-1"):
    return SlownessReport(server=server, slowness=slowness, observed_at=at)


class TestFirstHandReports:
    def test_a_slow_server_is_reported(self):
        """Guards against a slow server that each other host has to detect by itself."""
        states = [state_of("i-1", ratio=9.0, at=5.0)]
        states += [state_of(f"i-{number}", ratio=1.0, at=5.0) for number in range(2, 9)]
        assert [found.server for found in first_hand_reports(states, now=5.1)] == ["i-1"]

    def test_a_host_for_which_all_servers_are_slow_reports_none(self):
        """Guards against a host short of processor time that makes others avoid all servers."""
        states = [state_of(f"i-{number}", ratio=9.0, at=5.0) for number in range(9)]
        assert first_hand_reports(states, now=5.1) == []

    def test_old_observations_are_not_reported(self):
        """Guards against a report of a server that has recovered since it was observed."""
        states = [state_of("i-1", ratio=9.0, at=5.0)]
        states += [state_of(f"i-{number}", ratio=1.0, at=9.0) for number in range(2, 9)]
        assert first_hand_reports(states, now=9.0) == []

    def test_a_received_report_is_not_reported_as_first_hand(self):
        """Guards against two hosts that renew an old report by sending it to each other."""
        state = state_of()
        assert apply_report(state, report(at=5.0), now=5.2)
        others = [state_of(f"i-{number}", ratio=1.0, at=5.0) for number in range(2, 9)]
        assert first_hand_reports([state, *others], now=5.3) == []


class TestApplyReport:
    def test_a_report_applies_to_a_state_without_observations(self):
        """Guards against a report that is ignored by a host which has not used the server."""
        state = state_of()
        assert apply_report(state, report(), now=5.5)
        assert state.current_slowness(5.0) == 8.0

    def test_a_recent_observation_takes_precedence(self):
        """Guards against a report that overrides what this host has just observed."""
        state = state_of(ratio=1.0, at=5.0)
        assert not apply_report(
            state,
            report(at=5.0 + FIRST_HAND_PRECEDENCE_S / 2),
            now=5.0 + FIRST_HAND_PRECEDENCE_S / 2,
        )

    def test_an_older_report_changes_nothing(self):
        """Guards against a report that replaces a newer observation."""
        state = state_of(ratio=1.0, at=5.0)
        assert not apply_report(state, report(at=4.0), now=9.0)

    def test_a_reply_of_the_server_replaces_the_report(self):
        """Guards against a host that trusts reports more than the newest reply of the server."""
        state = state_of()
        apply_report(state, report(), now=5.5)
        fresh = state_of(ratio=1.0, at=6.0)
        state.slowness, state.observed_at = fresh.slowness, fresh.observed_at
        state.is_first_hand = fresh.is_first_hand
        assert not apply_report(state, report(at=6.1), now=6.2)


class TestSlownessReports:
    def test_reports_expire(self):
        """Guards against a server that is avoided long after it has recovered."""
        reports = SlownessReports()
        reports.merge([report(at=5.0)], now=5.0)
        assert reports.unexpired(now=5.0 + REPORT_LIFETIME_S) == []

    def test_reports_from_the_future_or_long_ago_are_dropped(self):
        """Guards against a report that lasts too long, and against one that has expired."""
        reports = SlownessReports()
        reports.merge([report(at=50.0), report(at=0.5, server="i-2")], now=5.0)
        assert reports.unexpired(now=5.0) == []
