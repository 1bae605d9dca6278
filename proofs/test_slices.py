"""Proof that a query reaches shards to which its entry host holds no connection."""

import pytest

from proofs.small_fleet import SmallFleet, small_deployment
from rhubarbway.decisions.slices import service_slices, slice_owners, slice_plan
from rhubarbway.edge.json_codec import encode_json
from rhubarbway.manifest import manifest_from_bytes
from rhubarbway_standins.processes import Fleet

SHARDS = 24
HOSTS = 4


@pytest.fixture
def running(tmp_path):
    # Fewer connections than entry hosts, so that direct fan-out is not possible.
    deployment = small_deployment(shards=SHARDS, replicas=1, entry_hosts=HOSTS, connections=3)
    with Fleet(directory=tmp_path) as fleet:
        small = SmallFleet(fleet=fleet, deployment=deployment)
        small.start(processes=2)
        yield small


def manifest_of(small):
    return manifest_from_bytes(encode_json(small.document), source="proof").unwrap()


class TestSlicedQueries:
    def test_every_host_answers_from_all_shards_in_one_snapshot(self, running):
        for host in running.hosts:
            status, reply = running.query(host, 1)
            assert (status, reply["coverage"]["shards_answered"]) == (200, SHARDS)
            snapshots = {item["snapshot"] for part in reply["shards"] for item in part["items"]}
            assert snapshots == {reply["snapshot"]}

    def test_all_slices_move_to_a_new_snapshot_together(self, running):
        """Guards against slices that each choose a snapshot of their own."""
        for spec in running.replicas[: SHARDS // 2]:
            running.control_replica(spec, snapshots=["s-000001", "s-000002"])
        for number in range(20):
            status, reply = running.query(running.hosts[number % HOSTS], number)
            assert status == 200
            snapshots = {item["snapshot"] for part in reply["shards"] for item in part["items"]}
            assert snapshots == {reply["snapshot"]}

    def test_second_owner_takes_the_place_of_a_killed_one(self, running):
        manifest = manifest_of(running)
        part = service_slices(manifest.services["lots"])[0]
        owners = slice_owners(part, manifest.entry_hosts, slice_plan(manifest))
        assert len(owners) == 2
        running.fleet.processes[owners[0].name].kill()
        for host in running.hosts:
            if host["name"] != owners[0].name:
                status, reply = running.query(host, 2)
                assert (status, reply["coverage"]["shards_answered"]) == (200, SHARDS)

    def test_coverage_tells_of_a_slice_without_any_owner(self, running):
        manifest = manifest_of(running)
        part = service_slices(manifest.services["lots"])[1]
        owners = {
            owner.name for owner in slice_owners(part, manifest.entry_hosts, slice_plan(manifest))
        }
        for name in owners:
            running.fleet.processes[name].kill()
        host = next(host for host in running.hosts if host["name"] not in owners)
        status, reply = running.query(host, 3)
        if status == 200:
            missing = {miss["shard"] for miss in reply["coverage"]["missing"]}
            assert missing >= set(range(part.first, part.last + 1))
            assert reply["coverage"]["fraction"] < 1.0
        else:
            assert reply["error"]["kind"] == "no_replica"
