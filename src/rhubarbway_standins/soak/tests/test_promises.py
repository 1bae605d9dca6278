"""Each promise of the soak is shown to fail on evidence that breaks it."""

import time

import pytest

from rhubarbway_standins.platform.replica import Arrival, proof, records
from rhubarbway_standins.platform.site import BOARD
from rhubarbway_standins.soak.callers import DEADLINE_MS, Ask
from rhubarbway_standins.soak.plan import PlannedFault
from rhubarbway_standins.soak.promises import Evidence, violations
from rhubarbway_standins.soak.stage import Drain

NOW = time.monotonic()


def ask(*, target="/waybills/1", status=200, seconds=0.1, problem="", right=True):
    made = Ask(request_id="q1", target=target, host=0, is_reused=True)
    made.began_at = NOW
    made.ended_at = NOW + seconds
    made.status = status
    made.problem = problem
    made.body = records(BOARD, target) if right else b"another"
    made.headers = {"x-server-stamp": proof(BOARD, "q1", made.body)}
    return made


def arrival(*, request_id="q1", target="/waybills/1", server="i-1", ran=True, at=0.05, told=900):
    return Arrival(
        request_id=request_id,
        target=target,
        service=BOARD,
        server=server,
        deadline_ms=told,
        at=NOW + at,
        ran=ran,
    )


def broken(asks, arrivals, **more):
    evidence = Evidence(asks=asks, arrivals=arrivals, shards=["desk-0"], began_at=NOW, **more)
    return {problem.partition(":")[0] for problem in violations(evidence)}


class TestPromises:
    def test_a_right_answer_breaks_nothing(self):
        assert broken([ask()], [arrival()]) == set()

    @pytest.mark.parametrize(
        ("name", "asks", "arrivals"),
        [
            ("right answers", [ask(right=False)], [arrival()]),
            ("only what was asked", [ask()], [arrival(target="/waybills/2")]),
            ("only what was asked", [ask()], [arrival(request_id="q9")]),
            ("only what was asked", [ask()], [arrival(told=DEADLINE_MS + 501)]),
            (
                "at most once",
                [ask(target="/bookings/1", status=502)],
                [arrival(target="/bookings/1"), arrival(target="/bookings/1", server="i-2")],
            ),
            (
                "true refusals",
                [ask(target="/bookings/1", status=503)],
                [arrival(target="/bookings/1")],
            ),
            ("bounded attempts", [ask()], [arrival(server=f"i-{n}") for n in range(3)]),
            ("answered in time", [ask(seconds=2.1)], [arrival()]),
            ("kept connections", [ask(status=0, problem="RemoteDisconnected")], [arrival()]),
        ],
    )
    def test_a_broken_promise_is_named(self, name, asks, arrivals):
        assert broken(asks, arrivals) == {name}

    def test_a_refused_attempt_is_no_run(self):
        asks = [ask(target="/bookings/1", status=503)]
        assert broken(asks, [arrival(target="/bookings/1", ran=False)]) == set()

    def test_a_killed_host_may_break_off(self):
        faults = [PlannedFault(kind="host_kill", target=0, begin_s=0.0, end_s=0.2)]
        lost = ask(status=0, problem="RemoteDisconnected")
        assert broken([lost], [arrival()], faults=faults) == set()

    def test_a_drained_server_gets_nothing_after_a_moment(self):
        drains = [Drain(server="i-1", begin=NOW)]
        late = [arrival(at=3.5)]
        assert broken([ask()], late, drains=drains) == {"drained servers"}
        assert broken([ask()], [arrival(at=2.5)], drains=drains) == set()

    def test_hosts_that_cannot_know_of_a_drain_break_nothing(self):
        drains = [Drain(server="i-1", begin=NOW)]
        faults = [PlannedFault(kind="store_silent", target=0, begin_s=-2.0, end_s=1.0)]
        assert broken([ask()], [arrival(at=3.5)], drains=drains, faults=faults) == set()
