"""A query reaches shards to which its entry host holds no connection."""

import pytest

from proofs.small_fleet import SmallFleet, small_deployment
from rhubarbway.decisions.slices import service_slices, slice_owners, slice_plan
from rhubarbway.edge.json_codec import encode_json
from rhubarbway.manifest import manifest_from_bytes
from rhubarbway_standins.processes import Fleet

SHARDS = 24
HOSTS = 4


@pytest.fixture
def small_fleet(tmp_path):
    # Fewer connections than entry hosts, so that direct fan-out is not possible.
    deployment = small_deployment(shards=SHARDS, replicas=1, entry_hosts=HOSTS, connections=3)
    with Fleet(directory=tmp_path) as fleet:
        small_fleet = SmallFleet(fleet=fleet, deployment=deployment)
        small_fleet.start(processes=2)
        yield small_fleet


def manifest_of(small_fleet):
    """Return the manifest of a fleet."""
    return manifest_from_bytes(encode_json(small_fleet.document), source="proof").unwrap()


class TestSlicedQueries:
    def test_every_host_answers_from_all_shards_in_one_snapshot(self, small_fleet):
        """Guards against missing shards, or mixed snapshots, when other hosts query a part of
        the shards.
        """
        for host in small_fleet.hosts:
            status, reply = small_fleet.query(host, 1)
            assert (status, reply["coverage"]["shards_answered"]) == (200, SHARDS)
            snapshots = {item["snapshot"] for shard in reply["shards"] for item in shard["items"]}
            assert snapshots == {reply["snapshot"]}

    def test_all_slices_move_to_a_new_snapshot_together(self, small_fleet):
        """Guards against slices that each choose a snapshot of their own."""
        for spec in small_fleet.replicas[: SHARDS // 2]:
            small_fleet.control_replica(spec, snapshots=["s-000001", "s-000002"])
        for number in range(20):
            status, reply = small_fleet.query(small_fleet.hosts[number % HOSTS], number)
            assert status == 200
            snapshots = {item["snapshot"] for shard in reply["shards"] for item in shard["items"]}
            assert snapshots == {reply["snapshot"]}

    def test_second_owner_takes_the_place_of_a_killed_one(self, small_fleet):
        """Guards against losing the shards of a slice when one of its two owners is killed."""
        manifest = manifest_of(small_fleet)
        first_slice = service_slices(manifest.services["lots"])[0]
        owners = slice_owners(first_slice, manifest.entry_hosts, slice_plan(manifest))
        assert len(owners) == 2
        small_fleet.fleet.processes[owners[0].name].kill()
        for host in small_fleet.hosts:
            if host["name"] != owners[0].name:
                status, reply = small_fleet.query(host, 2)
                assert (status, reply["coverage"]["shards_answered"]) == (200, SHARDS)

    def test_shards_of_a_slice_without_any_owner_are_missing(self, small_fleet):
        """Guards against an answer that counts the shards of a slice whose owners are all
        killed.
        """
        manifest = manifest_of(small_fleet)
        second_slice = service_slices(manifest.services["lots"])[1]
        owners = {
            owner.name
            for owner in slice_owners(second_slice, manifest.entry_hosts, slice_plan(manifest))
        }
        for name in owners:
            small_fleet.fleet.processes[name].kill()
        host = next(host for host in small_fleet.hosts if host["name"] not in owners)
        status, reply = small_fleet.query(host, 3)
        if status == 200:
            missing = {miss["shard"] for miss in reply["coverage"]["missing"]}
            assert missing >= set(range(second_slice.first, second_slice.last + 1))
            assert reply["coverage"]["fraction"] < 1.0
        else:
            assert reply["error"]["kind"] == "no_replica"
