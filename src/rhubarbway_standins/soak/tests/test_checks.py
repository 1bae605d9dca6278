"""Tests of the soak checks: each check fails on a record that violates it."""

import time

import pytest

from rhubarbway_standins.platform.replica import Arrival, encoded_records, reply_signature
from rhubarbway_standins.platform.site import BOARD_SERVICE
from rhubarbway_standins.soak.callers import CALLER_LEFT, DEADLINE_MS, CallerRequest
from rhubarbway_standins.soak.checks import RunRecord, find_problems
from rhubarbway_standins.soak.plan import PlannedFault
from rhubarbway_standins.soak.testbed import ColdPeriod, Withdrawal

NOW = time.monotonic()


def make_request(
    *,
    target="/waybills/1",
    status=200,
    latency_s=0.1,
    error="",
    is_correct=True,
    unexpected_bytes="",
):
    request = CallerRequest(request_id="q1", target=target, host=0, is_connection_reused=True)
    request.started_at = NOW
    request.ended_at = NOW + latency_s
    request.status = status
    request.error = error
    request.unexpected_bytes = unexpected_bytes
    request.body = encoded_records(BOARD_SERVICE, target) if is_correct else b"another"
    request.headers = {"x-server-stamp": reply_signature(BOARD_SERVICE, "q1", request.body)}
    return request


def make_arrival(
    *, request_id="q1", target="/waybills/1", server="i-1", ran=True, after_s=0.05, deadline_ms=900
):
    return Arrival(
        request_id=request_id,
        target=target,
        service=BOARD_SERVICE,
        server=server,
        deadline_ms=deadline_ms,
        arrived_at=NOW + after_s,
        ran=ran,
    )


def failed_checks(requests, arrivals, **more):
    record = RunRecord(
        requests=requests, arrivals=arrivals, shards=["desk-0"], started_at=NOW, **more
    )
    return {problem.partition(":")[0] for problem in find_problems(record)}


class TestChecks:
    def test_a_correct_answer_passes(self):
        """Guards against checks that fail on every record."""
        assert failed_checks([make_request()], [make_arrival()]) == set()

    @pytest.mark.parametrize(
        ("name", "asks", "arrivals"),
        [
            ("right answers", [make_request(is_correct=False)], [make_arrival()]),
            ("only what was asked", [make_request()], [make_arrival(target="/waybills/2")]),
            ("only what was asked", [make_request()], [make_arrival(request_id="q9")]),
            (
                "only what was asked",
                [make_request()],
                [make_arrival(deadline_ms=DEADLINE_MS + 501)],
            ),
            (
                "at most once",
                [make_request(target="/bookings/1", status=502)],
                [
                    make_arrival(target="/bookings/1"),
                    make_arrival(target="/bookings/1", server="i-2"),
                ],
            ),
            (
                "true refusals",
                [make_request(target="/bookings/1", status=503)],
                [make_arrival(target="/bookings/1")],
            ),
            (
                "bounded attempts",
                [make_request()],
                [make_arrival(server=f"i-{n}") for n in range(3)],
            ),
            ("answered in time", [make_request(latency_s=2.1)], [make_arrival()]),
            (
                "kept connections",
                [make_request(status=0, error="RemoteDisconnected")],
                [make_arrival()],
            ),
        ],
    )
    def test_a_violation_is_named(self, name, asks, arrivals):
        """Guards against a check that misses its violation, or reports it under another name."""
        assert failed_checks(asks, arrivals) == {name}

    def test_a_refused_attempt_does_not_count_as_run(self):
        """Guards against counting a request that a server refused as one that it ran."""
        requests = [make_request(target="/bookings/1", status=503)]
        assert failed_checks(requests, [make_arrival(target="/bookings/1", ran=False)]) == set()

    def test_a_caller_that_leaves_is_not_cut_off(self):
        """Guards against reporting connections that the callers themselves closed."""
        left = make_request(status=0, error=CALLER_LEFT)
        assert failed_checks([left], [make_arrival()]) == set()

    def test_only_a_pause_excuses_a_late_answer_to_a_short_deadline(self):
        """Guards against late answers that are missed, or reported although the host was paused."""
        late = make_request(latency_s=0.8)
        late.deadline_ms = 200
        assert failed_checks([late], [make_arrival(deadline_ms=200)]) == {"answered in time"}
        for kind, failed in (("host_pause", set()), ("host_kill", {"answered in time"})):
            faults = [PlannedFault(kind=kind, target_index=0, begin_s=0.1, end_s=0.2)]
            arrivals = [make_arrival(deadline_ms=200)]
            assert failed_checks([late], arrivals, faults=faults) == failed

    def test_no_fault_excuses_bytes_that_are_no_answer(self):
        """Guards against taking foreign bytes on a connection for the effect of a kill."""
        faults = [PlannedFault(kind="host_kill", target_index=0, begin_s=0.0, end_s=0.2)]
        spoiled = make_request(
            status=0, error="UnexpectedBytes", unexpected_bytes="b'\\x01' in place"
        )
        assert failed_checks([spoiled], [make_arrival()], faults=faults) == {"only answers"}

    def test_a_message_that_is_no_request_is_named(self):
        """Guards against ignoring what hosts send to servers and to the store."""
        assert failed_checks([], [], unexpected_requests=["store-0: no request"]) == {
            "only answers"
        }

    def test_a_killed_host_may_close_connections(self):
        """Guards against reporting connections that were cut because the host was killed."""
        faults = [PlannedFault(kind="host_kill", target_index=0, begin_s=0.0, end_s=0.2)]
        lost = make_request(status=0, error="RemoteDisconnected")
        assert failed_checks([lost], [make_arrival()], faults=faults) == set()

    def test_a_drained_server_gets_no_late_request(self):
        """Guards against missing late requests, and against failing those within the limit."""
        withdrawals = [Withdrawal(server="i-1", started_at=NOW)]
        late = [make_arrival(after_s=3.5)]
        assert failed_checks([make_request()], late, withdrawals=withdrawals) == {
            "withdrawn servers"
        }
        assert (
            failed_checks([make_request()], [make_arrival(after_s=2.5)], withdrawals=withdrawals)
            == set()
        )

    def test_a_drain_that_hosts_cannot_know_of_is_ignored(self):
        """Guards against reporting requests to a draining server when a store fault has kept hosts
        from learning of the drain."""
        withdrawals = [Withdrawal(server="i-1", started_at=NOW)]
        faults = [PlannedFault(kind="store_silent", target_index=0, begin_s=-2.0, end_s=1.0)]
        assert (
            failed_checks(
                [make_request()],
                [make_arrival(after_s=3.5)],
                withdrawals=withdrawals,
                faults=faults,
            )
            == set()
        )

    def test_a_cold_server_gets_no_more_than_it_tolerates_in_a_second(self):
        """Guards against missing a second with too many requests, and against counting others."""
        cold = [ColdPeriod(server="i-1", started_at=NOW)]
        too_many = [make_arrival(after_s=3.2 + 0.1 * number) for number in range(5)]
        assert "cold servers" in failed_checks([make_request()], too_many, cold_periods=cold)
        spread = [make_arrival(after_s=3.2 + 0.3 * number) for number in range(5)]
        assert "cold servers" not in failed_checks([make_request()], spread, cold_periods=cold)
        cold[0].ended_at = NOW + 3.3
        assert "cold servers" not in failed_checks([make_request()], too_many, cold_periods=cold)
