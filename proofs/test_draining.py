"""Proof that a leaving backend server gets no new work after a few seconds."""

import signal
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from proofs.small_fleet import SmallFleet, small_deployment
from rhubarbway_standins.processes import Fleet

# The stated target: no new work after a few seconds.
FEW_SECONDS = 3.0
SILENCE_S = 2.5
QUERIES = 30
WARM_UP_ROUNDS = 30


@pytest.fixture(scope="class")
def running(tmp_path_factory):
    with Fleet(directory=tmp_path_factory.mktemp("draining")) as fleet:
        small = SmallFleet(fleet=fleet, deployment=small_deployment())
        small.start()
        yield small


@pytest.fixture
def leaving(running):
    """The first replica, preferred by all entry hosts; it is back in service after the test."""
    spec, other = running.replicas[:2]
    running.control_replica(other, service_ms=40.0)
    for host in running.hosts:
        # A restarted replica is cold and gets its full share only after some answers.
        for _ in range(WARM_UP_ROUNDS):
            before = running.control_replica(spec)["received"]
            for number in range(10):
                running.query(host, number)
            received = running.control_replica(spec)["received"] - before
            if received >= 8:
                break
        # Without this, a test would pass because nobody wanted to use the replica.
        assert received >= 8
    yield spec
    running.control_replica(spec, draining=False)
    running.control_replica(other, service_ms=2.0)
    running.fleet.processes[spec.name].stop()
    running.fleet.processes[spec.name].start()
    running.pause(SILENCE_S)
    for host in running.hosts:
        running.wait_for_complete_coverage(host)


class TestLeavingServer:
    def test_busy_entry_hosts_stop_sending(self, running, leaving):
        running.control_replica(leaving, draining=True)
        end = time.monotonic() + FEW_SECONDS
        number = 0
        while time.monotonic() < end:
            for host in running.hosts:
                running.query(host, number := number + 1)
        before = running.control_replica(leaving)["received"]
        for number in range(100):
            for host in running.hosts:
                status, reply = running.query(host, number)
                assert (status, reply["coverage"]["fraction"]) == (200, 1.0)
        assert running.control_replica(leaving)["received"] == before

    def test_an_idle_entry_host_asks_before_it_sends(self, running, leaving):
        """Guards against work sent on the word of an old answer."""
        before = running.control_replica(leaving)["received"]
        running.control_replica(leaving, draining=True)
        running.pause(SILENCE_S)
        for number in range(30):
            status, reply = running.query(running.hosts[0], number)
            assert (status, reply["coverage"]["fraction"]) == (200, 1.0)
        assert running.control_replica(leaving)["received"] == before

    def test_a_paused_entry_host_asks_before_it_sends(self, running, leaving):
        """Guards against a process that wakes up and still believes its old view."""
        process = running.fleet.processes[running.hosts[0]["name"]]
        running.query(running.hosts[0], 0)
        process.send_signal(signal.SIGSTOP)
        before = running.control_replica(leaving)["received"]
        running.control_replica(leaving, draining=True)
        running.pause(FEW_SECONDS)
        process.send_signal(signal.SIGCONT)
        for number in range(30):
            status, reply = running.query(running.hosts[0], number)
            assert (status, reply["coverage"]["fraction"]) == (200, 1.0)
        assert running.control_replica(leaving)["received"] == before

    def test_the_configuration_service_is_not_needed(self, running, leaving):
        platform = running.fleet.processes["platform"]
        platform.send_signal(signal.SIGSTOP)
        try:
            before = running.control_replica(leaving)["received"]
            running.control_replica(leaving, draining=True)
            running.pause(SILENCE_S)
            for number in range(30):
                for host in running.hosts:
                    status, reply = running.query(host, number)
                    assert (status, reply["coverage"]["fraction"]) == (200, 1.0)
            assert running.control_replica(leaving)["received"] == before
        finally:
            platform.send_signal(signal.SIGCONT)


class TestListedServer:
    """The server itself says nothing; only the host list calls it leaving."""

    @pytest.fixture
    def unlisted(self, running):
        yield
        running.publish_leaving()
        running.pause(FEW_SECONDS)

    def test_all_entry_hosts_follow_the_host_list(self, running, leaving, unlisted):
        running.publish_leaving(leaving)
        running.pause(FEW_SECONDS)
        before = running.control_replica(leaving)["received"]
        for number in range(30):
            for host in running.hosts:
                status, reply = running.query(host, number)
                assert (status, reply["coverage"]["fraction"]) == (200, 1.0)
        assert running.control_replica(leaving)["received"] == before

    def test_a_paused_entry_host_learns_of_it_before_it_sends(self, running, leaving, unlisted):
        """Queries that arrived during the pause are the first thing that the host finds."""
        process = running.fleet.processes[running.hosts[0]["name"]]
        process.send_signal(signal.SIGSTOP)
        running.publish_leaving(leaving)
        running.pause(2 * FEW_SECONDS)
        before = running.control_replica(leaving)["received"]
        with ThreadPoolExecutor(QUERIES) as executor:
            futures = [
                executor.submit(running.query, running.hosts[0], number)
                for number in range(QUERIES)
            ]
            running.pause(0.5)
            process.send_signal(signal.SIGCONT)
            for future in futures:
                status, reply = future.result()
                assert status == 200, reply
                assert reply["coverage"]["fraction"] == 1.0
        assert running.control_replica(leaving)["received"] == before
