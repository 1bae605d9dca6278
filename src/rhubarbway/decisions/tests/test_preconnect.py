"""Tests of the selection of connections that are opened before a request needs them."""

from random import Random

import pytest

from rhubarbway.decisions.preconnect import pools_to_preconnect, sharded_services
from rhubarbway.model import BackendServer, Route, SplitPart

ZONES = ("a", "b", "c")
SHARDS = tuple(f"desk-{number}" for number in range(54))


class FakePool:
    """A server and its number of connections."""

    def __init__(self, service, zone, *, number=0, connection_count=0):
        self.server = BackendServer(
            id=f"{service}-{zone}-{number}",
            service=service,
            address="10.0.0.1:80",
            zone=zone,
            slots=4,
        )
        self.connection_count = connection_count


@pytest.fixture
def pools():
    """Return one server without connections in each zone for each shard, as after a restart."""
    return {shard: [FakePool(shard, zone) for zone in ZONES] for shard in SHARDS}


def select_pools(pools, *, services=SHARDS, zone="b", seed=1):
    return pools_to_preconnect(pools, services=services, zone=zone, random=Random(seed))


class TestPoolsToPreconnect:
    """Guards against a first query that misses its target because it opens all connections.

    On half a core, the first query over 54 shards after a restart needs 50 to 80 ms of processor
    time, with a target latency of 80 ms; later queries need 30 to 40 ms.
    """

    def test_each_shard_gets_a_connection_to_the_zone_of_the_host(self, pools):
        """Guards against shards without a connection, and connections to another zone."""
        found = select_pools(pools)
        assert [pool.server.service for pool in found] == list(SHARDS)
        assert {pool.server.zone for pool in found} == {"b"}

    def test_hosts_spread_over_the_servers_of_their_zone(self):
        """Guards against all hosts of a zone connecting to the same server."""
        pools = {"desk-0": [FakePool("desk-0", "b", number=number) for number in range(3)]}
        found = {
            pool.server.id
            for seed in range(30)
            for pool in select_pools(pools, services=["desk-0"], seed=seed)
        }
        assert len(found) == 3

    def test_only_a_replaced_server_gets_a_new_connection(self, pools):
        """Guards against a first query to a replaced server, and second connections to others."""
        for replicas in pools.values():
            replicas[1].connection_count = 1
        pools["desk-7"][1] = FakePool("desk-7", "b", number=1)
        assert [pool.server.id for pool in select_pools(pools)] == ["desk-7-b-1"]

    def test_a_shard_without_a_server_in_the_zone_is_left_to_the_first_query(self, pools):
        """Guards against connections to servers that are used only if others fail."""
        pools["desk-3"] = pools["desk-3"][::2]
        assert "desk-3" not in [pool.server.service for pool in select_pools(pools)]

    def test_a_shard_without_a_server_is_left_out(self, pools):
        """Guards against a selection that fails because one shard has no server."""
        del pools["desk-3"]
        assert len(select_pools(pools)) == len(SHARDS) - 1


class TestShardedServices:
    def test_only_services_that_each_query_needs_count(self):
        """Guards against early connections to a service without fan-out."""
        common = {"host": "h", "path_prefix": "/", "idempotent": True, "timeout_s": 1.0}
        wide = Route(name="wide", target_latency_s=0.1, shards=("desk-0", "desk-1"), **common)
        split = (SplitPart(service="board", weight=1),)
        single = Route(name="single", target_latency_s=0.1, split=split, **common)
        assert sharded_services([wide, single]) == {"desk-0", "desk-1"}
