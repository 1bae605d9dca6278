"""A leaving backend server gets no new work after a few seconds."""

import signal
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from proofs.small_fleet import SmallFleet, small_deployment
from rhubarbway_standins.processes import Fleet

# Documented target: a leaving server gets no new work after a few seconds.
DRAIN_LIMIT_S = 3.0
# Longer than the 2 s without a reply after which an entry host asks a replica for its status.
IDLE_S = 2.5
QUEUED_QUERIES = 30
WARM_UP_ROUNDS = 30


@pytest.fixture(scope="class")
def small_fleet(tmp_path_factory):
    with Fleet(directory=tmp_path_factory.mktemp("draining")) as fleet:
        small_fleet = SmallFleet(fleet=fleet, deployment=small_deployment())
        small_fleet.start()
        yield small_fleet


@pytest.fixture
def leaving_replica(small_fleet):
    """Yield the first replica, which all entry hosts prefer; return it to service after the
    test.
    """
    spec, other = small_fleet.replicas[:2]
    small_fleet.control_replica(other, service_ms=40.0)
    for host in small_fleet.hosts:
        # A restarted replica is cold and gets its full share of queries only after some answers.
        for _ in range(WARM_UP_ROUNDS):
            before = small_fleet.control_replica(spec)["received"]
            for number in range(10):
                small_fleet.query(host, number)
            received = small_fleet.control_replica(spec)["received"] - before
            if received >= 8:
                break
        # Otherwise a test would pass because no entry host selects the replica anyway.
        assert received >= 8
    yield spec
    small_fleet.control_replica(spec, draining=False)
    small_fleet.control_replica(other, service_ms=2.0)
    small_fleet.fleet.processes[spec.name].stop()
    small_fleet.fleet.processes[spec.name].start()
    small_fleet.sleep(IDLE_S)
    for host in small_fleet.hosts:
        small_fleet.wait_for_complete_coverage(host)


class TestLeavingServer:
    def test_busy_entry_hosts_stop_sending(self, small_fleet, leaving_replica):
        """Guards against busy entry hosts that keep sending to a server which announces its
        drain.
        """
        small_fleet.control_replica(leaving_replica, draining=True)
        end = time.monotonic() + DRAIN_LIMIT_S
        number = 0
        while time.monotonic() < end:
            for host in small_fleet.hosts:
                small_fleet.query(host, number := number + 1)
        before = small_fleet.control_replica(leaving_replica)["received"]
        for number in range(100):
            for host in small_fleet.hosts:
                status, reply = small_fleet.query(host, number)
                assert (status, reply["coverage"]["fraction"]) == (200, 1.0)
        assert small_fleet.control_replica(leaving_replica)["received"] == before

    def test_an_idle_entry_host_asks_before_it_sends(self, small_fleet, leaving_replica):
        """Guards against an idle entry host that relies on a reply from before the drain."""
        before = small_fleet.control_replica(leaving_replica)["received"]
        small_fleet.control_replica(leaving_replica, draining=True)
        small_fleet.sleep(IDLE_S)
        for number in range(30):
            status, reply = small_fleet.query(small_fleet.hosts[0], number)
            assert (status, reply["coverage"]["fraction"]) == (200, 1.0)
        assert small_fleet.control_replica(leaving_replica)["received"] == before

    def test_a_paused_entry_host_asks_before_it_sends(self, small_fleet, leaving_replica):
        """Guards against a resumed process that still relies on its view from before the pause."""
        process = small_fleet.fleet.processes[small_fleet.hosts[0]["name"]]
        small_fleet.query(small_fleet.hosts[0], 0)
        process.send_signal(signal.SIGSTOP)
        before = small_fleet.control_replica(leaving_replica)["received"]
        small_fleet.control_replica(leaving_replica, draining=True)
        small_fleet.sleep(DRAIN_LIMIT_S)
        process.send_signal(signal.SIGCONT)
        for number in range(30):
            status, reply = small_fleet.query(small_fleet.hosts[0], number)
            assert (status, reply["coverage"]["fraction"]) == (200, 1.0)
        assert small_fleet.control_replica(leaving_replica)["received"] == before

    def test_the_configuration_service_is_not_needed(self, small_fleet, leaving_replica):
        """Guards against drains that are noticed only while the configuration service answers."""
        platform = small_fleet.fleet.processes["platform"]
        platform.send_signal(signal.SIGSTOP)
        try:
            before = small_fleet.control_replica(leaving_replica)["received"]
            small_fleet.control_replica(leaving_replica, draining=True)
            small_fleet.sleep(IDLE_S)
            for number in range(30):
                for host in small_fleet.hosts:
                    status, reply = small_fleet.query(host, number)
                    assert (status, reply["coverage"]["fraction"]) == (200, 1.0)
            assert small_fleet.control_replica(leaving_replica)["received"] == before
        finally:
            platform.send_signal(signal.SIGCONT)


class TestListedServer:
    """The server does not announce its drain; only the host list marks it as leaving."""

    @pytest.fixture
    def cleared_host_list(self, small_fleet):
        """Clear the host list after the test and wait until the entry hosts have read it."""
        yield
        small_fleet.publish_leaving()
        small_fleet.sleep(DRAIN_LIMIT_S)

    def test_all_entry_hosts_follow_the_host_list(
        self, small_fleet, leaving_replica, cleared_host_list
    ):
        """Guards against entry hosts that keep sending to a server listed as leaving."""
        small_fleet.publish_leaving(leaving_replica)
        small_fleet.sleep(DRAIN_LIMIT_S)
        before = small_fleet.control_replica(leaving_replica)["received"]
        for number in range(30):
            for host in small_fleet.hosts:
                status, reply = small_fleet.query(host, number)
                assert (status, reply["coverage"]["fraction"]) == (200, 1.0)
        assert small_fleet.control_replica(leaving_replica)["received"] == before

    def test_a_paused_entry_host_learns_of_it_before_it_sends(
        self, small_fleet, leaving_replica, cleared_host_list
    ):
        """Guards against a resumed host that handles the queries queued during its pause before
        it learns of the change to the host list.
        """
        process = small_fleet.fleet.processes[small_fleet.hosts[0]["name"]]
        process.send_signal(signal.SIGSTOP)
        small_fleet.publish_leaving(leaving_replica)
        small_fleet.sleep(2 * DRAIN_LIMIT_S)
        before = small_fleet.control_replica(leaving_replica)["received"]
        with ThreadPoolExecutor(QUEUED_QUERIES) as executor:
            futures = [
                executor.submit(small_fleet.query, small_fleet.hosts[0], number)
                for number in range(QUEUED_QUERIES)
            ]
            small_fleet.sleep(0.5)
            process.send_signal(signal.SIGCONT)
            for future in futures:
                status, reply = future.result()
                assert status == 200, reply
                assert reply["coverage"]["fraction"] == 1.0
        assert small_fleet.control_replica(leaving_replica)["received"] == before
