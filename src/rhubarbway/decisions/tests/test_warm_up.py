"""Tests of the limit of requests to cold servers, over hosts that do not count together.

Each test runs hosts that send as often as they may in virtual time, and counts the arrivals at the
cold server in every second. The limit is that of the users: rate x overshoot + slack.
"""

from collections import Counter

import pytest

from rhubarbway.decisions.delegation import FanOutHost
from rhubarbway.decisions.host_history import REMEMBERED_S, SETTLE_S, HostHistory
from rhubarbway.decisions.server_state import ServerState
from rhubarbway.decisions.warm_up import ColdRequestLimit, ColdShares, host_share, total_share
from rhubarbway.model import BackendServer

OVERSHOOT, SLACK = 1.5, 5.0
RATES = [0.5, 2.0, 6.0, 20.0, 60.0]
STEP_S = 0.02


def names(count, *, zone="a"):
    return [f"{zone}{number}:1" for number in range(count)]


def server(*, zone="a", name="s", warm_up_s=3.0):
    return BackendServer(
        id=name, service="desk", address="1.1.1.1:1", zone=zone, slots=4, warm_up_s=warm_up_s
    )


def shares_of(name, zone_hosts, *, rate, zone="a"):
    shares = ColdShares(address=name, zone=zone, overshoot=OVERSHOOT, slack=SLACK)
    shares.set_rates({"desk": rate})
    shares.set_zone_hosts(zone_hosts)
    return shares


def limit_of(rate):
    return rate * OVERSHOOT + SLACK


def busiest_second(arrivals):
    """Return the greatest number of arrivals in any window of a second."""
    instants = sorted(arrivals)
    return max(
        (sum(1 for one in instants if begin <= one < begin + 1.0) for begin in instants), default=0
    )


def run_hosts(all_shares, target, *, seconds=4.0):
    """Return the arrivals at a cold server to which each host sends whenever it may."""
    limits = [ColdRequestLimit(share=lambda one=one: one.share(target)) for one in all_shares]
    arrivals = []
    for step in range(int(seconds / STEP_S)):
        now = step * STEP_S
        for limit in limits:
            while limit.free_at(now) <= now:
                limit.record_sent(now)
                arrivals.append(now)
    return arrivals


class TestSumOverHosts:
    @pytest.mark.parametrize("rate", RATES)
    @pytest.mark.parametrize("host_count", [1, 3, 23, 40, 650])
    def test_hosts_that_agree_keep_to_their_part_of_the_limit(self, rate, host_count):
        """Guards against hosts that each send at the whole rate of a cold server."""
        hosts = names(host_count)
        arrivals = run_hosts([shares_of(one, hosts, rate=rate) for one in hosts], server())
        assert 0 < busiest_second(arrivals) <= total_share(rate, overshoot=OVERSHOOT, slack=SLACK)

    @pytest.mark.parametrize("rate", RATES)
    def test_hosts_that_miss_some_others_keep_the_limit(self, rate):
        """Guards against two sets of chosen hosts while hosts learn of others.

        A part of the hosts, different for each one, is unknown to it.
        """
        hosts = names(23)
        all_shares = [
            shares_of(
                own,
                [one for index, one in enumerate(hosts) if one == own or (index + number) % 7],
                rate=rate,
            )
            for number, own in enumerate(hosts)
        ]
        assert busiest_second(run_hosts(all_shares, server())) <= limit_of(rate)

    @pytest.mark.parametrize("rate", RATES)
    def test_zones_that_do_not_see_each_other_keep_the_limit(self, rate):
        """Guards against a set of chosen hosts on each side of a partition between zones."""
        all_shares = [
            shares_of(own, names(23, zone=zone), rate=rate, zone=zone)
            for zone in "abc"
            for own in names(23, zone=zone)
        ]
        assert busiest_second(run_hosts(all_shares, server(zone="b"))) <= limit_of(rate)

    @pytest.mark.parametrize("rate", RATES)
    def test_a_zone_that_returns_cold_loads_no_host_or_server_alone(self, rate):
        """Guards against the same few hosts for all cold servers of a zone."""
        hosts = names(23)
        chosen = Counter()
        for number in range(360):
            target = server(name=f"s{number}")
            for own in hosts:
                chosen[own] += shares_of(own, hosts, rate=rate).share(target) > 0.0
        mean = sum(chosen.values()) / len(hosts)
        assert all(count <= 2.0 * mean for count in chosen.values())

    def test_a_service_without_a_rate_has_no_limit(self):
        """Guards against withheld requests in a deployment that states no rate."""
        shares = ColdShares(address="a:1", zone="a")
        limit = ColdRequestLimit(share=lambda: shares.share(server(zone="b")))
        for _ in range(100):
            assert limit.free_at(0.0) == 0.0
        assert not limit.is_limited()

    def test_the_parts_never_exceed_the_total(self):
        """Guards against rounding that gives the hosts together more than the total."""
        for total in range(200):
            for host_count in range(1, 80):
                chosen, share = host_share(total, host_count)
                assert chosen * share <= total


class TestMembership:
    def hosts(self, count):
        return [FanOutHost(address=name, zone="a", cores=1.0) for name in names(count)]

    def test_a_started_host_is_settled_only_after_it_learns_of_no_further_host(self):
        """Guards against 38 hosts that start at once and each know only a few of them."""
        hosts = self.hosts(38)
        history = HostHistory(own=hosts[0])
        for second in range(10):
            history.record(hosts[: 2 + 4 * second], now=float(second))
            assert not history.is_settled
        history.record(hosts, now=9.0 + SETTLE_S - 0.1)
        assert not history.is_settled
        history.record(hosts, now=9.0 + SETTLE_S + 0.1)
        assert history.is_settled

    def test_a_host_alone_is_never_settled(self):
        """Guards against a host that is cut off from its start on and takes the whole limit."""
        history = HostHistory(own=self.hosts(1)[0])
        history.record(history.hosts(within_s=1.0, now=0.0), now=100.0 * SETTLE_S)
        assert not history.is_settled

    def test_a_host_that_does_not_know_the_membership_sends_nothing(self):
        """Guards against requests of hosts whose part is unknown."""
        shares = shares_of("a0:1", None, rate=60.0)
        assert run_hosts([shares], server()) == []

    def test_hosts_that_are_cut_off_keep_their_part(self):
        """Guards against a second set of chosen hosts during a partition, which both sides use."""
        hosts = self.hosts(8)
        history = HostHistory(own=hosts[0])
        history.record(hosts, now=0.0)
        history.record(hosts[:2], now=REMEMBERED_S - 1.0)
        assert len(history.hosts(within_s=REMEMBERED_S, now=REMEMBERED_S - 1.0)) == 8
        history.record(hosts[:2], now=REMEMBERED_S + 1.0)
        assert len(history.hosts(within_s=REMEMBERED_S, now=REMEMBERED_S + 1.0)) == 2


class TestServerState:
    def state(self, *, warm_up_s, share):
        state = ServerState(server=server(warm_up_s=warm_up_s), now=0.0)
        state.cold_limit = ColdRequestLimit(share=lambda: share)
        return state

    def test_a_cold_server_takes_requests_up_to_the_share_and_all_once_warm(self):
        """Guards against a server that stays left out after its warm-up."""
        state = self.state(warm_up_s=3.0, share=1.0)
        assert state.accepts_requests(0.0)
        state.cold_limit.record_sent(0.0)
        assert not state.accepts_requests(0.5)
        assert state.free_at(0.5) == 1.0
        state.cold_limit.record_sent(2.5)
        assert state.free_at(2.6) == 3.0
        assert state.accepts_requests(3.0)

    def test_a_host_without_a_part_sends_nothing_until_the_server_is_warm(self):
        """Guards against a refusal without a time, although the end of the warm-up is known."""
        state = self.state(warm_up_s=3.0, share=0.0)
        assert not state.accepts_requests(2.9)
        assert state.free_at(1.0) == 3.0

    def test_a_server_without_a_limit_takes_all_requests_while_it_is_cold(self):
        """Guards against a change for deployments that state no rate."""
        state = self.state(warm_up_s=3.0, share=float("inf"))
        assert state.is_cold(1.0)
        assert state.accepts_requests(1.0)
