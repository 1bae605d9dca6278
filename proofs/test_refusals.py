"""Invariant 4: when a refusal says that a request was not run, it was not run."""

import signal
import time
from collections import Counter
from random import Random

import pytest

from proofs.history import query_during
from proofs.proxied_fleet import JOB, ProxiedFleet, small_deployment

SHARDS = 2


@pytest.fixture(scope="module")
def running(tmp_path_factory):
    deployment = small_deployment(
        shards=SHARDS, replicas=2, entry_hosts=2, deadline_ms=250, min_coverage=1.0
    )
    with ProxiedFleet(
        directory=tmp_path_factory.mktemp("refusals"), deployment=deployment
    ) as started:
        yield started


@pytest.fixture
def proxied_fleet(running):
    running.reset()
    return running


def ask_while(proxied_fleet, script, *, seed, job=JOB, **options):
    """Return the calls made while a script of faults runs, after checking all of them."""
    calls = query_during(script, addresses=proxied_fleet.addresses, job=job, seed=seed, **options)
    assert proxied_fleet.violations(calls) == []
    return calls


def claims_of(calls):
    """Return how often failures claimed each state of running."""
    return Counter(call.reply()["error"]["ran"] for call in calls if call.failed)


class TestNotRunIsTrue:
    def test_refused_before_dispatch(self, proxied_fleet):
        calls = ask_while(proxied_fleet, lambda: time.sleep(0.1), seed=41, job="nobody-knows")
        assert set(claims_of(calls)) == {"not_run"}

    def test_servers_shed_load_and_overload(self, proxied_fleet):
        def shed():
            proxied_fleet.control_replicas(proxied_fleet.specs(), shedding=True)
            time.sleep(0.4)
            proxied_fleet.control_replicas(
                proxied_fleet.specs(), shedding=False, queue_limit=1, service_ms=40.0
            )
            time.sleep(0.8)

        calls = ask_while(proxied_fleet, shed, seed=42, callers=24)
        assert claims_of(calls)["not_run"] > 0
        assert any(call.answered for call in calls)

    def test_deadlines_end_at_each_stage(self, proxied_fleet):
        # Some deadlines pass in the queue, some while connecting, some after sending.
        def fields(random: Random):
            return {"deadline_ms": random.choice([1, 2, 3, 5, 8, 250])}

        calls = ask_while(
            proxied_fleet, lambda: time.sleep(1.0), seed=43, callers=16, fields=fields
        )
        assert sum(claims_of(calls).values()) > 0

    @pytest.mark.parametrize("seed, direction", [(44, "request"), (45, "response")])
    def test_connections_are_cut_at_each_stage(self, proxied_fleet, seed, direction):
        def cut():
            for path in ("/v1/subquery", "/v1/status", None):
                proxied_fleet.proxy.set_faults(None, direction, cut=True, path=path)
                time.sleep(0.3)
                proxied_fleet.proxy.clear()
                proxied_fleet.proxy.cut(None)
                time.sleep(0.15)

        calls = ask_while(proxied_fleet, cut, seed=seed)
        claims = claims_of(calls)
        assert claims["unknown"] + claims["run"] > 0

    def test_responses_end_early_or_never_arrive(self, proxied_fleet):
        def truncate():
            for size in (0, 10, 60, 200):
                proxied_fleet.proxy.set_faults(None, "response", truncate=size)
                time.sleep(0.2)
                proxied_fleet.proxy.set_faults(None, "response", drop=True, path="/v1/subquery")
                time.sleep(0.2)
                proxied_fleet.proxy.clear()
                time.sleep(0.1)

        calls = ask_while(proxied_fleet, truncate, seed=46)
        claims = claims_of(calls)
        assert claims["unknown"] + claims["run"] > 0

    def test_refusals_that_echo_another_attempt(self, proxied_fleet):
        # The server runs the request and says that it refused some other one.
        proxied_fleet.control_replicas(proxied_fleet.specs(), wrong_body="foreign_refusal")
        calls = ask_while(proxied_fleet, lambda: time.sleep(0.5), seed=47)
        assert claims_of(calls)["unknown"] > 0

    def test_servers_are_killed_and_paused(self, proxied_fleet):
        def kill():
            for process in ("b0", "b1"):
                proxied_fleet.send_signal(process, signal.SIGKILL)
            time.sleep(0.3)
            for process in ("b0", "b1"):
                proxied_fleet.restart(process)
                proxied_fleet.send_signal(process, signal.SIGSTOP)
            time.sleep(0.5)
            for process in ("b0", "b1"):
                proxied_fleet.send_signal(process, signal.SIGCONT)
            time.sleep(0.3)

        calls = ask_while(proxied_fleet, kill, seed=48)
        assert sum(claims_of(calls).values()) > 0

    def test_unsafe_requests(self, proxied_fleet):
        # Without a token they are refused; in no case may they run more than once.
        def fields(random: Random):
            return {"unsafe": True}

        def cut():
            proxied_fleet.proxy.set_faults(
                None, "response", cut=True, path="/v1/subquery", times=20
            )
            time.sleep(0.5)

        ask_while(proxied_fleet, cut, seed=49, fields=fields)
