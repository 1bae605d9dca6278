"""Invariant 4: a request whose refusal says that it was not run was not run."""

import signal
import time
from collections import Counter
from random import Random

import pytest

from proofs.history import query_during
from proofs.proxied_fleet import JOB, ProxiedFleet, small_deployment

SHARDS = 2


@pytest.fixture(scope="module")
def shared_deployment(tmp_path_factory):
    deployment = small_deployment(
        shards=SHARDS, replicas=2, entry_hosts=2, deadline_ms=250, min_coverage=1.0
    )
    with ProxiedFleet(
        directory=tmp_path_factory.mktemp("refusals"), deployment=deployment
    ) as started:
        yield started


@pytest.fixture
def running_deployment(shared_deployment):
    shared_deployment.reset()
    return shared_deployment


def calls_during_faults(running_deployment, script, *, seed, job=JOB, **options):
    """Return the calls made while a script injects faults, after checking all of them."""
    calls = query_during(
        script, addresses=running_deployment.addresses, job=job, seed=seed, **options
    )
    assert running_deployment.violations(calls) == []
    return calls


def execution_status_counts(calls):
    """Return how many failures claim each execution status."""
    return Counter(call.reply()["error"]["ran"] for call in calls if call.failed)


class TestNotRunIsTrue:
    def test_refused_before_dispatch(self, running_deployment):
        """Guards against a refusal before dispatch that leaves open whether the request ran."""
        calls = calls_during_faults(
            running_deployment, lambda: time.sleep(0.1), seed=41, job="nobody-knows"
        )
        assert set(execution_status_counts(calls)) == {"not_run"}

    def test_servers_shed_load_and_overload(self, running_deployment):
        """Guards against a false ``not_run`` when some servers shed a request and others run it."""

        def shed_then_overload():
            running_deployment.control_replicas(running_deployment.specs(), shedding=True)
            time.sleep(0.4)
            running_deployment.control_replicas(
                running_deployment.specs(), shedding=False, queue_limit=1, service_ms=40.0
            )
            time.sleep(0.8)

        calls = calls_during_faults(running_deployment, shed_then_overload, seed=42, callers=24)
        assert execution_status_counts(calls)["not_run"] > 0
        assert any(call.answered for call in calls)

    def test_deadlines_end_at_each_stage(self, running_deployment):
        """Guards against a false ``not_run`` when the deadline passes after a sub-query was
        sent.
        """

        # Some deadlines pass in the queue, some while connecting, some after sending.
        def fields(random: Random):
            return {"deadline_ms": random.choice([1, 2, 3, 5, 8, 250])}

        calls = calls_during_faults(
            running_deployment, lambda: time.sleep(1.0), seed=43, callers=16, fields=fields
        )
        assert sum(execution_status_counts(calls).values()) > 0

    @pytest.mark.parametrize("seed, direction", [(44, "request"), (45, "response")])
    def test_connections_are_cut_at_each_stage(self, running_deployment, seed, direction):
        """Guards against a false ``not_run`` when a connection is cut after a sub-query was
        sent.
        """

        def cut_connections():
            for path in ("/v1/subquery", "/v1/status", None):
                running_deployment.proxy.set_faults(None, direction, cut=True, path=path)
                time.sleep(0.3)
                running_deployment.proxy.clear()
                running_deployment.proxy.cut(None)
                time.sleep(0.15)

        calls = calls_during_faults(running_deployment, cut_connections, seed=seed)
        status_counts = execution_status_counts(calls)
        assert status_counts["unknown"] + status_counts["run"] > 0

    def test_responses_end_early_or_never_arrive(self, running_deployment):
        """Guards against a false ``not_run`` when the response is truncated or dropped."""

        def truncate_and_drop_responses():
            for size in (0, 10, 60, 200):
                running_deployment.proxy.set_faults(None, "response", truncate=size)
                time.sleep(0.2)
                running_deployment.proxy.set_faults(
                    None, "response", drop=True, path="/v1/subquery"
                )
                time.sleep(0.2)
                running_deployment.proxy.clear()
                time.sleep(0.1)

        calls = calls_during_faults(running_deployment, truncate_and_drop_responses, seed=46)
        status_counts = execution_status_counts(calls)
        assert status_counts["unknown"] + status_counts["run"] > 0

    def test_refusals_that_echo_another_attempt(self, running_deployment):
        """Guards against a false ``not_run`` taken from the refusal of another attempt."""
        # The server runs the request and replies that it refused another one.
        running_deployment.control_replicas(
            running_deployment.specs(), wrong_body="foreign_refusal"
        )
        calls = calls_during_faults(running_deployment, lambda: time.sleep(0.5), seed=47)
        assert execution_status_counts(calls)["unknown"] > 0

    def test_servers_are_killed_and_paused(self, running_deployment):
        """Guards against a false ``not_run`` when servers are killed or paused during a
        sub-query.
        """

        def kill_then_pause():
            for process in ("b0", "b1"):
                running_deployment.send_signal(process, signal.SIGKILL)
            time.sleep(0.3)
            for process in ("b0", "b1"):
                running_deployment.restart(process)
                running_deployment.send_signal(process, signal.SIGSTOP)
            time.sleep(0.5)
            for process in ("b0", "b1"):
                running_deployment.send_signal(process, signal.SIGCONT)
            time.sleep(0.3)

        calls = calls_during_faults(running_deployment, kill_then_pause, seed=48)
        assert sum(execution_status_counts(calls).values()) > 0

    def test_unsafe_requests_without_a_token(self, running_deployment):
        """Guards against an unsafe request that runs although its refusal states ``not_run``.

        The check of all calls also finds an unsafe request that runs more than once on a shard. The
        requests have no token, so none of them should run.
        """

        def fields(random: Random):
            return {"unsafe": True}

        def cut_responses():
            running_deployment.proxy.set_faults(
                None, "response", cut=True, path="/v1/subquery", times=20
            )
            time.sleep(0.5)

        calls_during_faults(running_deployment, cut_responses, seed=49, fields=fields)
