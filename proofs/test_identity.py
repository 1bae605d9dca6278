"""Invariant 3: each caller gets the whole answer to its own request."""

import time
from random import Random

import pytest

from proofs.history import query_during
from proofs.proxied_fleet import JOB, ProxiedFleet, small_deployment
from rhubarbway_standins.backend import WRONG_BODIES

SHARDS = 3


@pytest.fixture(scope="module")
def shared_deployment(tmp_path_factory):
    deployment = small_deployment(shards=SHARDS, replicas=2, entry_hosts=2, deadline_ms=300)
    directory = tmp_path_factory.mktemp("identity")
    with ProxiedFleet(directory=directory, deployment=deployment, proxied_hosts=True) as started:
        yield started


@pytest.fixture
def running_deployment(shared_deployment):
    shared_deployment.reset()
    return shared_deployment


def calls_during_faults(running_deployment, script, *, seed, caller_faults=False, **options):
    """Return the calls made while a script injects faults, after checking all of them."""

    def script_then_clear_faults() -> None:
        script()
        running_deployment.proxy.clear()
        running_deployment.host_proxy.clear()

    calls = query_during(
        script_then_clear_faults,
        addresses=running_deployment.addresses,
        job=JOB,
        seed=seed,
        until=lambda calls: sum(call.answered for call in calls) > 20,
        **options,
    )
    assert running_deployment.violations(calls, caller_faults=caller_faults) == []
    assert sum(call.answered for call in calls) > 20
    return calls


def short_deadlines(random: Random):
    """Return the fields of a query; some deadlines pass while its sub-queries run."""
    return {"deadline_ms": random.choice([4, 8, 15, 300])}


class TestOwnAnswer:
    def test_wrong_bodies_of_servers(self, running_deployment):
        """Guards against an answer with a reply body that is invalid or belongs to another
        sub-query.
        """

        def return_wrong_bodies():
            for number, fault in enumerate(sorted(WRONG_BODIES)):
                running_deployment.control_replicas(
                    running_deployment.specs(process=f"b{number % 2}"), wrong_body=fault
                )
                time.sleep(0.2)
                running_deployment.control_replicas(
                    running_deployment.specs(process=f"b{number % 2}"), wrong_body=None
                )

        calls_during_faults(running_deployment, return_wrong_bodies, seed=31)

    def test_responses_are_duplicated_on_reused_connections(self, running_deployment):
        """Guards against a second copy of a response, read as the answer to the next request on
        its connection.
        """
        running_deployment.proxy.set_faults(None, "response", duplicate=True)
        calls = calls_during_faults(
            running_deployment, lambda: time.sleep(1.0), seed=32, fields=short_deadlines
        )
        assert any(state["faults_applied"] for state in running_deployment.proxy.state().values())
        assert any(call.failed for call in calls)

    def test_responses_cross_between_connections(self, running_deployment):
        """Guards against accepting the answer to another request when the responses of two
        connections are swapped.
        """

        def swap_responses():
            for _ in range(12):
                running_deployment.proxy.set_faults(
                    None, "response", swap=True, path="/v1/subquery", times=2
                )
                time.sleep(0.06)
                running_deployment.proxy.clear()
                time.sleep(0.06)

        calls_during_faults(running_deployment, swap_responses, seed=33, fields=short_deadlines)
        assert any(state["faults_applied"] for state in running_deployment.proxy.state().values())

    def test_requests_are_duplicated(self, running_deployment):
        """Guards against the reply to a second copy of a request, read as the answer to the
        next one.
        """
        running_deployment.proxy.set_faults(None, "request", duplicate=True, path="/v1/subquery")
        calls_during_faults(
            running_deployment, lambda: time.sleep(0.8), seed=34, fields=short_deadlines
        )

    def test_answers_arrive_after_cancellations_and_time_limits(self, running_deployment):
        """Guards against a response that is read as the answer to another request: it was frozen
        until its own request had ended, and its connection was used again.
        """

        def freeze_responses():
            for _ in range(6):
                running_deployment.proxy.set_faults(None, "response", freeze=True)
                time.sleep(0.1)
                running_deployment.proxy.clear()
                time.sleep(0.15)

        calls = calls_during_faults(
            running_deployment, freeze_responses, seed=35, fields=short_deadlines
        )
        assert any(call.failed for call in calls)

    def test_delays_beyond_the_deadline(self, running_deployment):
        """Guards against a reply that arrives after the deadline of its query and is used for
        another query.
        """

        def delay_responses():
            for delay_ms in (3.0, 20.0, 6.0):
                running_deployment.proxy.set_faults(None, "response", delay_ms=delay_ms)
                time.sleep(0.4)

        calls_during_faults(running_deployment, delay_responses, seed=36, fields=short_deadlines)


class TestOwnReply:
    """Faults between callers and entry hosts; callers must be able to detect each wrong reply."""

    @pytest.mark.parametrize(
        "seed, fault",
        [(37, {"swap": True}), (38, {"duplicate": True}), (39, {"truncate": 150}), (40, {})],
        ids=["swap", "duplicate", "truncate", "cut"],
    )
    def test_replies_are_disturbed(self, running_deployment, seed, fault):
        """Guards against a swapped, duplicated, truncated or lost reply that its caller cannot
        detect.
        """

        def disturb_replies():
            for _ in range(4):
                running_deployment.host_proxy.set_faults(
                    None, "response", **(fault or {"cut": True})
                )
                time.sleep(0.15)
                running_deployment.host_proxy.clear()
                time.sleep(0.1)

        calls = calls_during_faults(
            running_deployment, disturb_replies, seed=seed, caller_faults=True
        )
        assert any(call.rejected or call.status is None for call in calls)
