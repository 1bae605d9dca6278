"""Tests of the choice between direct and two-level fan-out."""

from rhubarbway.decisions.slices import (
    MAX_HOST_CONNECTIONS,
    replica_count,
    service_slices,
    slice_owners,
    slice_plan,
)
from rhubarbway.model import EntryHost, Manifest, Replica, Service, Shard


def manifest_of(*, hosts, services, shards, replicas, connections):
    by_name = {}
    for number in range(services):
        members = tuple(
            Shard(
                index=index,
                weight=1.0,
                replicas=tuple(
                    Replica(
                        name=f"{number}-{index}-{copy}",
                        address="127.0.0.1:1",
                        zone="z",
                        slots=3,
                        connections=connections,
                        connect_ms=6.0,
                    )
                    for copy in range(replicas)
                ),
            )
            for index in range(shards)
        )
        name = f"service-{number}"
        by_name[name] = Service(name=name, tenant="t", layout="l", value=1.0, shards=members)
    return Manifest(
        version=1,
        digest="",
        tenants={},
        services=by_name,
        prefixes={},
        entry_hosts=tuple(
            EntryHost(name=f"e{number}", address="127.0.0.1:1", zone=f"z{number % 3}")
            for number in range(hosts)
        ),
    )


class TestSlicePlan:
    def test_small_deployments_use_direct_fan_out(self):
        """Guards against an extra hop in small deployments."""
        manifest = manifest_of(hosts=9, services=2, shards=15, replicas=3, connections=30)
        assert slice_plan(manifest).direct

    def test_more_hosts_than_connections_need_owners(self):
        """Guards against direct fan-out where replicas have too few connections for all hosts."""
        manifest = manifest_of(hosts=31, services=2, shards=15, replicas=3, connections=30)
        assert not slice_plan(manifest).direct

    def test_connections_of_all_owners_stay_below_the_limit(self):
        """Guards against more owners of a slice than a replica accepts connections."""
        manifest = manifest_of(hosts=780, services=4, shards=330, replicas=3, connections=30)
        plan = slice_plan(manifest)
        assert 1 <= plan.owners_per_slice <= 30

    def test_an_owner_holds_a_bounded_part_of_the_replicas(self):
        """Guards against an owner with more connections than one host may hold."""
        manifest = manifest_of(hosts=780, services=4, shards=330, replicas=3, connections=30)
        plan = slice_plan(manifest)
        held = {host.name: 0 for host in manifest.entry_hosts}
        for service in manifest.services.values():
            for slice_ in service_slices(service):
                for owner in slice_owners(slice_, manifest.entry_hosts, plan):
                    held[owner.name] += (slice_.last - slice_.first + 1) * 3
        assert max(held.values()) * (30 // plan.owners_per_slice) <= MAX_HOST_CONNECTIONS
        assert max(held.values()) < replica_count(manifest) / 4


class TestSliceOwners:
    def test_a_dead_owner_is_replaced_without_moving_the_others(self):
        """Guards against owners that all reconnect because one of them died."""
        manifest = manifest_of(hosts=200, services=1, shards=44, replicas=3, connections=30)
        plan = slice_plan(manifest)
        slice_ = service_slices(manifest.services["service-0"])[0]
        before = slice_owners(slice_, manifest.entry_hosts, plan)
        after = slice_owners(slice_, manifest.entry_hosts, plan, excluded={before[0].name})
        kept = {host.name for host in before[1:]}
        assert kept < {host.name for host in after}
        assert len(after) == len(before)

    def test_a_lost_zone_leaves_each_slice_an_owner(self):
        """Guards against a slice whose owners are all in one zone."""
        manifest = manifest_of(hosts=90, services=2, shards=330, replicas=3, connections=30)
        plan = slice_plan(manifest)
        for service in manifest.services.values():
            for slice_ in service_slices(service):
                zones = {owner.zone for owner in slice_owners(slice_, manifest.entry_hosts, plan)}
                assert len(zones) >= 2
