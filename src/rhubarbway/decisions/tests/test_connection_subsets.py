"""Tests of the hosts that use a server which accepts fewer connections than there are hosts."""

from collections import Counter

import pytest

from rhubarbway.decisions.connection_subsets import ConnectionSubsets, ServerAccess
from rhubarbway.decisions.delegation import FanOutHost
from rhubarbway.model import BackendServer

# Hosts of each zone, zones in which each shard has a server, and connection cap.
FLEETS = {
    "70 hosts": ((24, 23, 23), 3, 67),
    "106 hosts": ((36, 35, 35), 3, 104),
    "195 hosts": ((37, 40, 40, 36, 42), 3, 125),
}
SHARDS = 36


def make_hosts(zones):
    return [
        FanOutHost(address=f"z{zone}-{number}", zone=f"z{zone}", cores=2.0 if number < 6 else 0.5)
        for zone, count in enumerate(zones)
        for number in range(count)
    ]


def make_servers(shard, *, zone_count, server_zones):
    return [
        BackendServer(
            id=f"i-{shard}-{index}",
            service=f"s{shard}",
            address="1.1.1.1:1",
            zone=f"z{(shard + index) % zone_count}",
            slots=4,
        )
        for index in range(server_zones)
    ]


def access_by_host(hosts, servers, cap):
    return {
        host.address: ConnectionSubsets(own=host, hosts=hosts).access(servers, connection_cap=cap)
        for host in hosts
    }


def users_of(server_id, accesses):
    return {name for name, access in accesses.items() if access[server_id] is ServerAccess.USED}


@pytest.fixture(params=FLEETS)
def fleet(request):
    """Hosts, servers of each shard and the connection cap of a deployment."""
    zones, server_zones, cap = FLEETS[request.param]
    servers = [
        make_servers(shard, zone_count=len(zones), server_zones=server_zones)
        for shard in range(SHARDS)
    ]
    return make_hosts(zones), servers, cap


class TestRoom:
    def test_each_server_is_used_by_as_many_hosts_as_it_has_room_for(self, fleet):
        """Guards against connections beyond the cap, and against servers that few hosts use."""
        hosts, shards, cap = fleet
        for servers in shards[:6]:
            accesses = access_by_host(hosts, servers, cap)
            for server in servers:
                assert len(users_of(server.id, accesses)) == int(cap * 0.9)
                with_reserve = [
                    name
                    for name, access in accesses.items()
                    if access[server.id] is not ServerAccess.NONE
                ]
                assert len(with_reserve) == min(cap, len(hosts))

    def test_each_host_has_a_server_of_each_shard_and_all_of_its_zone(self, fleet):
        """Guards against hosts that can reach no server of a shard, or only distant ones."""
        hosts, shards, cap = fleet
        for servers in shards[:6]:
            for host in hosts:
                access = ConnectionSubsets(own=host, hosts=hosts).access(
                    servers, connection_cap=cap
                )
                used = [one for one in servers if access[one.id] is ServerAccess.USED]
                assert used
                local = [one for one in servers if one.zone == host.zone]
                assert all(one in used for one in local)

    def test_hosts_use_similar_numbers_of_servers(self, fleet):
        """Guards against hosts at one place of the ring that nearly all servers leave out."""
        hosts, shards, cap = fleet
        used = Counter()
        for host in hosts:
            subsets = ConnectionSubsets(own=host, hosts=hosts)
            for servers in shards:
                access = subsets.access(servers, connection_cap=cap)
                used[host.address] += list(access.values()).count(ServerAccess.USED)
        assert min(used.values()) >= 0.5 * sum(used.values()) / len(used)

    def test_hosts_that_run_fan_outs_of_others_use_more_servers(self):
        """Guards against delegates that cannot reach the servers which most requests need."""
        zones, server_zones, cap = FLEETS["195 hosts"]
        hosts = make_hosts(zones)
        servers = make_servers(1, zone_count=len(zones), server_zones=server_zones)
        accesses = access_by_host(hosts, servers, cap)
        strong = [host.address for host in hosts if host.cores > 1.0]
        assert all(name in users_of(one.id, accesses) for name in strong for one in servers)


class TestChanges:
    @pytest.mark.parametrize("leaving", [0, 30, 60])
    def test_a_host_that_leaves_moves_one_other_host_of_each_server_at_most(self, leaving):
        """Guards against a restart of one host that closes connections of all the others."""
        hosts = make_hosts((24, 23, 23))
        remaining = [host for index, host in enumerate(hosts) if index != leaving]
        for shard in range(6):
            servers = make_servers(shard, zone_count=3, server_zones=3)
            before = access_by_host(hosts, servers, 67)
            after = access_by_host(remaining, servers, 67)
            for server in servers:
                gone = {hosts[leaving].address}
                lost = users_of(server.id, before) - gone - users_of(server.id, after)
                won = users_of(server.id, after) - users_of(server.id, before)
                assert len(lost) <= 1
                assert len(won) <= 1 + len(lost)

    def test_loss_of_the_servers_of_a_zone_leaves_each_host_a_server(self, fleet):
        """Guards against hosts of a lost zone that have no other server, or exceed the cap."""
        hosts, shards, cap = fleet
        for servers in shards[:6]:
            left = servers[1:]
            accesses = access_by_host(hosts, left, cap)
            assert all(
                ServerAccess.USED in access.values() for access in accesses.values()
            ), "each host uses a server"
            for server in left:
                assert len(users_of(server.id, accesses)) <= int(cap * 0.9)

    def test_loss_of_the_hosts_of_a_zone_ends_the_subsets(self):
        """Guards against servers left out although there is room for all remaining hosts."""
        hosts = [host for host in make_hosts((24, 23, 23)) if host.zone != "z0"]
        assert not ConnectionSubsets(own=hosts[0], hosts=hosts).applies(67)

    def test_hosts_that_disagree_on_a_few_members_stay_within_the_cap(self):
        """Guards against resets while hosts learn of others at different times."""
        hosts = make_hosts((24, 23, 23))
        servers = make_servers(0, zone_count=3, server_zones=3)
        accesses = {}
        for number, own in enumerate(hosts):
            view = [one for index, one in enumerate(hosts) if one is own or (index + number) % 14]
            accesses[own.address] = ConnectionSubsets(own=own, hosts=view).access(
                servers, connection_cap=67
            )
        for server in servers:
            assert len(users_of(server.id, accesses)) <= 67


class TestSwitch:
    @pytest.mark.parametrize(
        ("cap", "applies"), [(None, False), (480, False), (78, False), (77, True), (67, True)]
    )
    def test_subsets_apply_only_where_a_server_has_no_room_for_all_hosts(self, cap, applies):
        """Guards against a change for deployments whose servers have room for all hosts."""
        hosts = make_hosts((24, 23, 23))
        assert ConnectionSubsets(own=hosts[0], hosts=hosts).applies(cap) is applies
