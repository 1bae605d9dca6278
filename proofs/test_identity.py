"""Invariant 3: each caller gets the whole answer to its own request."""

import time
from random import Random

import pytest

from proofs.history import query_during
from proofs.proxied_fleet import JOB, ProxiedFleet, small_deployment
from rhubarbway_standins.backend import WRONG_BODIES

SHARDS = 3


@pytest.fixture(scope="module")
def running(tmp_path_factory):
    deployment = small_deployment(shards=SHARDS, replicas=2, entry_hosts=2, deadline_ms=300)
    directory = tmp_path_factory.mktemp("identity")
    with ProxiedFleet(directory=directory, deployment=deployment, proxied_hosts=True) as started:
        yield started


@pytest.fixture
def proxied_fleet(running):
    running.reset()
    return running


def ask_while(proxied_fleet, script, *, seed, caller_faults=False, **options):
    """Return the calls made while a script of faults runs, after checking all of them."""

    def script_and_end() -> None:
        script()
        proxied_fleet.proxy.clear()
        proxied_fleet.host_proxy.clear()

    calls = query_during(
        script_and_end,
        addresses=proxied_fleet.addresses,
        job=JOB,
        seed=seed,
        until=lambda calls: sum(call.answered for call in calls) > 20,
        **options,
    )
    assert proxied_fleet.violations(calls, caller_faults=caller_faults) == []
    assert sum(call.answered for call in calls) > 20
    return calls


def short_deadlines(random: Random):
    """Return a request's fields; some deadlines end the query while its sub-queries run."""
    return {"deadline_ms": random.choice([4, 8, 15, 300])}


class TestOwnAnswer:
    def test_wrong_bodies_of_servers(self, proxied_fleet):
        def spoil():
            for number, fault in enumerate(sorted(WRONG_BODIES)):
                proxied_fleet.control_replicas(
                    proxied_fleet.specs(process=f"b{number % 2}"), wrong_body=fault
                )
                time.sleep(0.2)
                proxied_fleet.control_replicas(
                    proxied_fleet.specs(process=f"b{number % 2}"), wrong_body=None
                )

        ask_while(proxied_fleet, spoil, seed=31)

    def test_responses_are_duplicated_on_reused_connections(self, proxied_fleet):
        # The second copy is read as the answer to the next request on the connection.
        proxied_fleet.proxy.set_faults(None, "response", duplicate=True)
        calls = ask_while(proxied_fleet, lambda: time.sleep(1.0), seed=32, fields=short_deadlines)
        assert any(state["faults_applied"] for state in proxied_fleet.proxy.state().values())
        assert any(call.failed for call in calls)

    def test_responses_cross_between_connections(self, proxied_fleet):
        def cross():
            for _ in range(12):
                proxied_fleet.proxy.set_faults(
                    None, "response", swap=True, path="/v1/subquery", times=2
                )
                time.sleep(0.06)
                proxied_fleet.proxy.clear()
                time.sleep(0.06)

        ask_while(proxied_fleet, cross, seed=33, fields=short_deadlines)
        assert any(state["faults_applied"] for state in proxied_fleet.proxy.state().values())

    def test_requests_are_duplicated(self, proxied_fleet):
        proxied_fleet.proxy.set_faults(None, "request", duplicate=True, path="/v1/subquery")
        ask_while(proxied_fleet, lambda: time.sleep(0.8), seed=34, fields=short_deadlines)

    def test_answers_arrive_after_cancellations_and_time_limits(self, proxied_fleet):
        # Frozen responses are released later, on connections that were used for other requests.
        def freeze():
            for _ in range(6):
                proxied_fleet.proxy.set_faults(None, "response", freeze=True)
                time.sleep(0.1)
                proxied_fleet.proxy.clear()
                time.sleep(0.15)

        calls = ask_while(proxied_fleet, freeze, seed=35, fields=short_deadlines)
        assert any(call.failed for call in calls)

    def test_delays_beyond_the_deadline(self, proxied_fleet):
        def delay():
            for delay_ms in (3.0, 20.0, 6.0):
                proxied_fleet.proxy.set_faults(None, "response", delay_ms=delay_ms)
                time.sleep(0.4)

        ask_while(proxied_fleet, delay, seed=36, fields=short_deadlines)


class TestOwnReply:
    """Faults between callers and entry hosts; callers must be able to tell each wrong reply."""

    @pytest.mark.parametrize(
        "seed, fault",
        [(37, {"swap": True}), (38, {"duplicate": True}), (39, {"truncate": 150}), (40, {})],
        ids=["swap", "duplicate", "truncate", "cut"],
    )
    def test_replies_are_disturbed(self, proxied_fleet, seed, fault):
        def disturb():
            for _ in range(4):
                proxied_fleet.host_proxy.set_faults(None, "response", **(fault or {"cut": True}))
                time.sleep(0.15)
                proxied_fleet.host_proxy.clear()
                time.sleep(0.1)

        calls = ask_while(proxied_fleet, disturb, seed=seed, caller_faults=True)
        assert any(call.rejected or call.status is None for call in calls)
