"""Two failures at the same time break no invariant."""

import signal

import pytest

from proofs.small_fleet import SmallFleet, small_deployment
from rhubarbway_standins.processes import Fleet

OLD, NEW = "s-000001", "s-000002"


@pytest.fixture
def small_fleet(tmp_path):
    deployment = small_deployment(shards=3, replicas=2, entry_hosts=3)
    with Fleet(directory=tmp_path) as fleet:
        small_fleet = SmallFleet(fleet=fleet, deployment=deployment)
        small_fleet.start()
        yield small_fleet


def snapshots_of(reply):
    """Return the snapshots of all items of a reply."""
    return {item["snapshot"] for shard in reply["shards"] for item in shard["items"]}


class TestZoneLostDuringRestart:
    def test_other_hosts_answer_and_the_restarted_one_comes_back(self, small_fleet):
        """Guards against failed queries when a zone is lost while an entry host restarts."""
        restarted, *others = small_fleet.hosts
        process = small_fleet.fleet.processes[restarted["name"]]
        process.send_signal(signal.SIGTERM)
        for spec in small_fleet.replicas:
            if spec.zone == "b":
                small_fleet.fleet.processes[spec.name].kill()
        replies = [small_fleet.query(others[number % 2], number) for number in range(100)]
        assert all(status == 200 for status, _ in replies)
        # Each shard has a replica in another zone; only queries that detect the loss may miss one.
        assert [reply["coverage"]["fraction"] for _, reply in replies[20:]] == [1.0] * 80
        assert process.stop() == 0
        process.start()
        small_fleet.fleet.wait_until_ready(restarted)
        small_fleet.wait_for_complete_coverage(restarted)


class TestIndexChangeDuringOutage:
    def test_queries_move_to_the_new_snapshot_while_the_platform_is_down(self, small_fleet):
        """Guards against mixed or old snapshots when the index changes while the platform is
        paused.
        """
        small_fleet.fleet.processes["platform"].send_signal(signal.SIGSTOP)
        number = 0
        try:
            for held in ([OLD, NEW], [NEW]):
                for spec in small_fleet.replicas:
                    small_fleet.control_replica(spec, snapshots=held)
                    for host in small_fleet.hosts:
                        number += 1
                        status, reply = small_fleet.query(host, number)
                        assert status == 200
                        assert snapshots_of(reply) == {reply["snapshot"]}
            for host in small_fleet.hosts:
                for _ in range(20):
                    number += 1
                    status, reply = small_fleet.query(host, number)
                    assert (status, reply["snapshot"]) == (200, NEW)
                    assert reply["coverage"]["fraction"] == 1.0
        finally:
            small_fleet.fleet.processes["platform"].send_signal(signal.SIGCONT)
