"""Manifest versions reach all entry hosts, never decrease, and survive faults of real processes."""

from __future__ import annotations

import tempfile
import threading
import time
from pathlib import Path
from random import Random

import pytest

from proofs.entry_host_fleet import EntryHostFleet, wait_until
from rhubarbway.decisions.config_readers import select_readers
from rhubarbway.edge.http_client import CallError
from rhubarbway.model import EntryHost
from rhubarbway_standins.fault_proxy import Route
from rhubarbway_standins.processes import ProxyControl, call_json

# Targets: a version is in force on all hosts within 2 s, and within 9 s of the end of a fault.
PROPAGATION_LIMIT_S = 2.0
RECOVERY_LIMIT_S = 9.0
PUBLICATIONS = 10
# Longer than ``QUORUM_WAIT_S``, after which a starting host that reaches a majority may become
# ready although no host has confirmed its version floor, the lowest version that it may serve.
ISOLATION_S = 6.5
RANDOM_SEEDS = range(10)
MINORITY = ["e0", "e1"]
MAJORITY = ["e2", "e3", "e4"]


class PartitionedFleet:
    """A fleet in two parts, the proxy between them, and the hosts' addresses at that proxy."""

    __slots__ = ("fleet", "proxied_hosts", "proxy", "second_platform")

    def __init__(
        self,
        *,
        fleet: EntryHostFleet,
        proxy: ProxyControl,
        second_platform: str,
        proxied_hosts: dict[str, dict[str, str]],
    ) -> None:
        self.fleet = fleet
        self.proxy = proxy
        self.second_platform = second_platform
        self.proxied_hosts = proxied_hosts


def expected_readers(fleet: EntryHostFleet, names: list[str] | None = None) -> list[str]:
    """Return the readers that all hosts should agree on."""
    hosts = [host for host in fleet.hosts if names is None or host["name"] in names]
    return select_readers([EntryHost(**host) for host in hosts])


@pytest.fixture(scope="module")
def isolated_fleet():
    """Two hosts that know no other hosts, started early because their test has to wait."""
    with (
        tempfile.TemporaryDirectory(prefix="rhubarbway-") as directory,
        EntryHostFleet(directory=Path(directory)) as fleet,
    ):
        fleet.fleet.start_platform()
        fleet.publish()
        unused_address = f"127.0.0.1:{next(fleet.fleet.ports)}"
        fleet.start_host(
            "e0", fellow_hosts=[], configuration_service=unused_address, host_list=unused_address
        )
        fleet.start_host("e1", fellow_hosts=[])
        yield fleet, time.monotonic()


@pytest.fixture(scope="module")
def partitioned():
    """Five hosts in two parts, each with its own configuration service and a proxy to the other."""
    with (
        tempfile.TemporaryDirectory(prefix="rhubarbway-") as directory,
        EntryHostFleet(directory=Path(directory), count=5) as fleet,
    ):
        fleet.fleet.start_platform()
        fleet.publish()
        second_platform = fleet.start_platform("second")
        fleet.republish(second_platform)
        proxied_hosts = {
            host["name"]: host | {"address": f"127.0.0.1:{next(fleet.fleet.ports)}"}
            for host in fleet.hosts
        }
        proxy = fleet.fleet.start_proxy(
            "crossing",
            [
                Route(name=name, listen=host["address"], upstream=fleet.host(name)["address"])
                for name, host in proxied_hosts.items()
            ],
        )
        for side, platform in (
            (MINORITY, second_platform),
            (MAJORITY, fleet.fleet.config_service_address),
        ):
            others = [proxied_hosts[name] for name in fleet.names if name not in side]
            for name in side:
                fleet.start_host(name, fellow_hosts=others, configuration_service=platform)
        fleet.start_recording()
        yield PartitionedFleet(
            fleet=fleet, proxy=proxy, second_platform=second_platform, proxied_hosts=proxied_hosts
        )


@pytest.fixture(scope="module")
def fleet(isolated_fleet, partitioned):
    """Nine hosts; each test leaves all of them running with the newest version in force."""
    with (
        tempfile.TemporaryDirectory(prefix="rhubarbway-") as directory,
        EntryHostFleet(directory=Path(directory)) as fleet,
    ):
        fleet.fleet.start_backends("backends", fleet.replicas)
        fleet.start_all()
        fleet.start_recording()
        yield fleet


class TestPropagation:
    def test_new_version_is_in_force_everywhere_within_two_seconds(self, fleet):
        """Guards against versions that wait for a gossip round on each hop."""
        times = []
        for _ in range(PUBLICATIONS):
            version = fleet.publish()
            times += fleet.wait_until_in_force(version, timeout_s=PROPAGATION_LIMIT_S).values()
        times.sort()
        p50, p99 = times[len(times) // 2], times[int(len(times) * 0.99)]
        print(f"\nin force: p50 {p50 * 1000:.0f} ms, p99 {p99 * 1000:.0f} ms of {len(times)}")
        assert p99 <= PROPAGATION_LIMIT_S

    def test_only_three_hosts_watch_the_service(self, fleet):
        """Guards against a configuration service that has to serve a watch of each host."""
        assert wait_until(
            lambda: sum(fleet.peer_view(name)["is_reader"] for name in fleet.names) == 3,
            timeout_s=RECOVERY_LIMIT_S,
        )
        assert set(fleet.peer_view("e0")["readers"]) == set(expected_readers(fleet))

    def test_leaving_entry_of_the_host_list_reaches_all_hosts(self, fleet):
        """Guards against hosts that miss a change to the host list, or treat a server as leaving
        after its state has changed back to ``live``.
        """
        entry = {"name": "desk-0", "address": "127.0.0.1:9", "zone": "tulcea", "state": "leaving"}
        address = fleet.fleet.host_list_address
        call_json(address, "POST", "/control/hosts", {"hosts": [entry]})
        assert wait_until(
            lambda: all(fleet.peer_view(name)["leaving"] == ["desk-0"] for name in fleet.names),
            timeout_s=RECOVERY_LIMIT_S,
        )
        call_json(address, "POST", "/control/hosts", {"hosts": [entry | {"state": "live"}]})
        assert wait_until(
            lambda: all(fleet.peer_view(name)["leaving"] == [] for name in fleet.names),
            timeout_s=RECOVERY_LIMIT_S,
        )


class TestStaleService:
    def test_older_alternating_or_missing_versions_change_nothing(self, fleet):
        """Guards against hosts that apply whichever version the service returned last."""
        version = fleet.publish()
        fleet.wait_until_in_force(version, timeout_s=PROPAGATION_LIMIT_S)
        modes = ({"alternate": [1]}, {"alternate": [2, version, 1]}, {"down": True})
        for mode in modes:
            fleet.set_config_service_mode(**mode)
            time.sleep(1.2)
        fleet.set_config_service_mode()
        fleet.wait_until_in_force(fleet.publish(), timeout_s=RECOVERY_LIMIT_S)
        assert fleet.version_decreases() == []

    def test_replaced_host_does_not_serve_what_a_stale_service_offers(self, fleet):
        """Guards against a restarted host that serves the first version it reads."""
        version = fleet.publish()
        fleet.wait_until_in_force(version, timeout_s=PROPAGATION_LIMIT_S)
        fleet.set_config_service_mode(alternate=[1])
        for replaced in ([expected_readers(fleet)[0]], fleet.names[:6]):
            # While the others are paused, the service and other new hosts are the first to answer.
            others = [name for name in fleet.names if name not in replaced]
            for name in replaced:
                fleet.kill(name)
            for name in others:
                fleet.pause(name)
            for name in replaced:
                fleet.start_host(name)
            time.sleep(2.5)
            for name in others:
                fleet.resume(name)
            fleet.wait_until_in_force(1, names=replaced, timeout_s=RECOVERY_LIMIT_S)
        fleet.set_config_service_mode()
        assert fleet.version_decreases() == []
        fleet.wait_until_in_force(version, timeout_s=0.5)

    def test_empty_host_starts_from_other_hosts_while_the_service_is_down(self, fleet):
        """Guards against a host that cannot restart without the configuration service."""
        fleet.set_config_service_mode(down=True)
        fleet.kill("e2")
        fleet.start_host("e2")
        fleet.wait_until_in_force(fleet.version, names=["e2"], timeout_s=RECOVERY_LIMIT_S)
        fleet.set_config_service_mode()

    def test_paused_host_follows_as_soon_as_it_runs_again(self, fleet):
        """Guards against a resumed host that keeps serving its view from before the pause."""
        paused = next(name for name in fleet.names if name not in expected_readers(fleet))
        fleet.pause(paused)
        time.sleep(0.2)
        others = [name for name in fleet.names if name != paused]
        version = fleet.publish()
        fleet.wait_until_in_force(version, names=others, timeout_s=PROPAGATION_LIMIT_S)
        fleet.set_config_service_mode(alternate=[1])
        fleet.resume(paused)
        fleet.wait_until_in_force(version, names=[paused], timeout_s=PROPAGATION_LIMIT_S)
        fleet.set_config_service_mode()
        assert fleet.version_decreases() == []


class TestReaders:
    def test_killed_and_paused_readers_are_replaced(self, fleet):
        """Guards against a fleet that gets no new version once its readers are killed or paused."""
        killed, paused, _ = expected_readers(fleet)
        fleet.kill(killed)
        fleet.pause(paused)
        remaining = [name for name in fleet.names if name not in (killed, paused)]
        expected = set(expected_readers(fleet, remaining))
        version = fleet.publish()
        fleet.wait_until_in_force(version, names=remaining, timeout_s=RECOVERY_LIMIT_S)
        assert wait_until(
            lambda: all(set(fleet.peer_view(name)["readers"]) == expected for name in remaining),
            timeout_s=RECOVERY_LIMIT_S,
        )
        fleet.resume(paused)
        fleet.start_host(killed)
        fleet.wait_until_in_force(version, timeout_s=RECOVERY_LIMIT_S)
        assert wait_until(
            lambda: all(
                set(fleet.peer_view(name)["readers"]) == set(expected_readers(fleet))
                for name in fleet.names
            ),
            timeout_s=RECOVERY_LIMIT_S,
        )
        assert fleet.version_decreases() == []

    def test_readers_that_cannot_reach_the_service_get_substitutes(self, fleet):
        """Guards against a fleet that gets no new version because its readers run, but get no
        answer from their configuration service.
        """
        readers = expected_readers(fleet)
        other_platform = fleet.start_platform("platform-of-readers")
        fleet.republish(other_platform)
        for name in readers:
            fleet.kill(name)
            fleet.start_host(name, configuration_service=other_platform)
        fleet.wait_until_in_force(fleet.version, timeout_s=RECOVERY_LIMIT_S)
        fleet.pause("platform-of-readers")
        version = fleet.publish()
        fleet.wait_until_in_force(version, timeout_s=2 * RECOVERY_LIMIT_S)
        fleet.resume("platform-of-readers")
        for name in readers:
            fleet.kill(name)
            fleet.start_host(name)
        fleet.wait_until_in_force(version, timeout_s=RECOVERY_LIMIT_S)
        assert fleet.version_decreases() == []


class TestRollingRestart:
    def test_no_request_fails_while_all_hosts_are_restarted(self, fleet):
        """Guards against hosts that take requests before they are ready or after they leave."""
        stopping = threading.Event()
        ready_names = set(fleet.names)
        answered, failed = [], []

        def watch_readiness():
            while not stopping.wait(0.05):
                for name in fleet.names:
                    (ready_names.add if fleet.is_ready(name) else ready_names.discard)(name)

        def send_queries(seed):
            random = Random(seed)
            number = 0
            while not stopping.wait(0.01):
                number += 1
                request_id = f"{seed}-{number}"
                body = {"request_id": request_id, "job": "desk-lots", "payload": request_id}
                name = random.choice(sorted(ready_names))
                try:
                    reply = call_json(fleet.host(name)["address"], "POST", "/v1/query", body)
                except CallError as error:
                    failed.append(f"{name}: {error}")
                    continue
                if reply.status == 200:
                    answered.append(name)
                else:
                    failed.append(f"{name}: {reply.status} {reply.body[:200]!r}")

        tasks = [fleet.executor.submit(watch_readiness)]
        tasks += [fleet.executor.submit(send_queries, seed) for seed in range(4)]
        for first in range(0, len(fleet.names), 3):
            batch = fleet.names[first : first + 3]
            stops = [fleet.executor.submit(fleet.process(name).stop) for name in batch]
            assert [stop.result() for stop in stops] == [0, 0, 0]
            for name in batch:
                fleet.start_host(name, leave_notice_s=1.0)
            fleet.wait_until_in_force(fleet.version, names=batch, timeout_s=RECOVERY_LIMIT_S)
        stopping.set()
        for task in tasks:
            task.result()
        print(f"\nrolling restart: {len(answered)} answered, {len(failed)} failed")
        assert failed == []
        assert len(answered) > 100
        assert fleet.version_decreases() == []


class TestRandomFaults:
    @pytest.mark.parametrize("seed", RANDOM_SEEDS)
    def test_versions_only_rise_and_all_agree_after_the_last_fault(self, fleet, seed):
        """Guards against a version that decreases, or hosts that disagree after the last fault,
        when hosts are killed, paused or replaced while the configuration service is stale or down.
        """
        random = Random(seed)
        paused, killed = set(), set()
        for _ in range(5):
            running = [name for name in fleet.names if name not in paused | killed]
            name = random.choice(running)
            kind = random.choice(["kill", "freeze", "publish", "stale", "down", "replace"])
            if kind == "publish":
                fleet.publish()
            elif kind == "stale":
                fleet.set_config_service_mode(alternate=[random.randint(1, fleet.version), 1])
            elif kind == "down":
                fleet.set_config_service_mode(down=True)
            elif kind == "replace" and killed:
                fleet.start_host(killed.pop())
            elif len(paused | killed) < 3:
                (fleet.pause if kind == "freeze" else fleet.kill)(name)
                (paused if kind == "freeze" else killed).add(name)
            time.sleep(random.uniform(0.0, 0.4))
        fleet.set_config_service_mode()
        for name in sorted(paused):
            fleet.resume(name)
        for name in sorted(killed):
            fleet.start_host(name)
        times = fleet.wait_until_in_force(fleet.version, timeout_s=RECOVERY_LIMIT_S)
        print(f"\nseed {seed}: agreed {max(times.values()):.2f} s after the last fault")
        assert fleet.version_decreases() == []


class TestIsolatedHost:
    def test_host_that_reaches_no_other_host_stays_unready(self, isolated_fleet):
        """Guards against an isolated host that becomes ready with a stale version, or without
        any.
        """
        fleet, started = isolated_fleet
        time.sleep(max(0.0, started + ISOLATION_S - time.monotonic()))
        for name in ("e0", "e1"):
            assert fleet.process(name).is_running
            assert not fleet.is_ready(name)
        reply = call_json(
            fleet.host("e1")["address"], "POST", "/v1/query", {"request_id": "1", "job": "desk"}
        )
        assert reply.status == 503
        assert b'"not_run"' in reply.body


class TestPartition:
    def test_each_part_selects_readers_and_both_agree_after_the_partition(self, partitioned):
        """Guards against a part without readers, and parts that keep different versions after
        the partition ends.
        """
        fleet = partitioned.fleet
        fleet.wait_until_in_force(fleet.version, timeout_s=30.0)
        for direction in ("request", "response"):
            partitioned.proxy.set_faults(None, direction, freeze=True)
        for side in (MINORITY, MAJORITY):
            assert wait_until(
                lambda side=side: all(
                    set(fleet.peer_view(name)["readers"]) == set(expected_readers(fleet, side))
                    for name in side
                ),
                timeout_s=RECOVERY_LIMIT_S,
            )
        common_version = fleet.publish()
        fleet.republish(partitioned.second_platform)
        fleet.wait_until_in_force(common_version, timeout_s=PROPAGATION_LIMIT_S)
        newest = fleet.publish()
        fleet.wait_until_in_force(newest, names=MAJORITY, timeout_s=PROPAGATION_LIMIT_S)
        # A host that is restarted in the minority cannot know which version the majority serves.
        call_json(partitioned.second_platform, "POST", "/control/mode", {"alternate": [1]})
        fleet.kill("e0")
        others = [partitioned.proxied_hosts[name] for name in MAJORITY]
        fleet.start_host(
            "e0", fellow_hosts=others, configuration_service=partitioned.second_platform
        )
        time.sleep(2.0)
        assert not fleet.is_ready("e0")
        assert fleet.peer_view("e1")["held"][0] == common_version
        partitioned.proxy.clear()
        fleet.wait_until_in_force(newest, timeout_s=RECOVERY_LIMIT_S)
        assert fleet.version_decreases() == []


class TestAllReplacedAtOnce:
    def test_hosts_wait_for_the_service_and_then_accept_an_older_version(self, fleet):
        """Guards against hosts that become ready without a version, or never recover. No host
        is left that remembers the newest version, so the older one that the service returns is
        accepted.
        """
        fleet.wait_until_in_force(fleet.publish(), timeout_s=PROPAGATION_LIMIT_S)
        fleet.set_config_service_mode(down=True)
        for name in fleet.names:
            fleet.kill(name)
        for readings in fleet.readings.values():
            readings.clear()
        for name in fleet.names:
            fleet.start_host(name)
        time.sleep(2.0)
        assert not any(fleet.is_ready(name) for name in fleet.names)
        stale = fleet.version - 1
        fleet.set_config_service_mode(stale_version=stale)
        fleet.wait_until_in_force(stale, timeout_s=2 * RECOVERY_LIMIT_S)
        assert wait_until(lambda: all(fleet.readings.values()), timeout_s=RECOVERY_LIMIT_S)
        assert {
            reading.version for readings in fleet.readings.values() for reading in readings
        } == {stale}
        fleet.set_config_service_mode()
        fleet.wait_until_in_force(fleet.version, timeout_s=RECOVERY_LIMIT_S)
        assert fleet.version_decreases() == []
