"""Tests of the membership of the fleet and of the hosts that a host follows."""

from collections import Counter
from copy import copy
from itertools import product
from random import Random

import pytest

from rhubarbway.decisions.fleet_view import (
    HOST_COUNT_WINDOW_S,
    LARGE_FLEET_MEMBER_EXPIRY_S,
    MEMBER_EXPIRY_S,
    STORE_READER_COUNT,
    TREE_BRANCHING_FACTOR,
    FleetMember,
    FleetView,
)

SIMULATED_SECONDS = 30
MEMBERS_INTERVAL_S = 1.8
REJOIN_INTERVAL_S = 5.0
SEED_COUNT = 3


def member(number, *, last_seen_at=0.0, blind=False):
    return FleetMember(
        address=f"10.0.0.{number}:1",
        zone=f"z{number % 3}",
        incarnation=str(number),
        last_seen_at=last_seen_at,
        blind=blind,
    )


def views(count, *, blind=(), known=True):
    """Return the views of all hosts, which know all other hosts or none."""
    found = []
    for own in range(count):
        view = FleetView(own=member(own, blind=own in blind))
        for other in range(count) if known else ():
            view.merge(member(other, blind=other in blind))
        found.append(view)
    return found


class TestFollowedHosts:
    @pytest.mark.parametrize("count", [2, 3, 9, 90])
    def test_updates_of_any_reader_reach_all_hosts(self, count):
        """Guards against a host that the updates of a reader do not reach within six relays."""
        all_views = views(count)
        followed_hosts = {view.own.address: view.followed_hosts(now=0.0) for view in all_views}
        for reader in all_views[0].readers(now=0.0):
            reached = {reader}
            for _ in range(6):
                reached |= {
                    name
                    for name, parents in followed_hosts.items()
                    if reached.intersection(parents)
                }
            assert len(reached) == count

    def test_hosts_follow_the_substitutes_of_blind_readers(self):
        """Guards against updates that stay with a reader that no host follows.

        If the store does not answer some readers, a substitute reads the new configuration. The
        other hosts must follow it, although the blind readers keep the first ranks.
        """
        readers = views(9)[0].readers(now=0.0)
        blind = {number for number in range(9) if member(number).address in readers[:2]}
        all_views = views(9, blind=blind)
        connected = set(all_views[0].readers(now=0.0)) - set(readers[:2])
        for view in all_views:
            assert connected.intersection(view.followed_hosts(now=0.0)) - {view.own.address} or (
                view.own.address in connected
            )

    def test_few_hosts_of_a_large_fleet_follow_another_zone(self):
        """Guards against the cost of traffic between zones.

        In one run of 90 hosts, two thirds of the exchanges crossed zones, and their bytes cost a
        tenth of the value of all answers.
        """
        cross_zone = 0
        for view in views(90):
            zones = {known.address: known.zone for known in view.alive(now=0.0)}
            cross_zone += sum(zones[name] != view.own.zone for name in view.followed_hosts(now=0.0))
        assert cross_zone <= 3 * 3

    @pytest.mark.parametrize("count", [9, 17, 90, 300])
    def test_no_host_has_more_followers_than_it_can_serve(self, count):
        """Guards against a host that spends its processor time on too many followers."""
        followers = Counter(name for view in views(count) for name in view.followed_hosts(now=0.0))
        assert max(followers.values()) <= 2 * TREE_BRANCHING_FACTOR + STORE_READER_COUNT

    def test_a_host_alone_in_its_zone_follows_only_readers(self):
        """Guards against a host alone in its zone that follows hosts other than the readers."""
        own = FleetMember(address="10.0.9.1:1", zone="z9", incarnation="a", last_seen_at=0.0)
        view = FleetView(own=own)
        for other in range(60):
            view.merge(member(other))
        assert set(view.followed_hosts(now=0.0)) <= set(view.readers(now=0.0))

    def test_no_host_follows_itself(self):
        """Guards against a host that waits for its own changes and misses those of other hosts."""
        for view in views(20):
            assert view.own.address not in view.followed_hosts(now=0.0)


class TestReaders:
    @pytest.mark.parametrize("count", [3, 6, 24])
    def test_few_hosts_read_for_lack_of_a_confirmation(self, count):
        """Guards against a whole fleet that reads a store which is down, and against a zone in
        which no host does.
        """
        stale_readers = [
            view.own for view in views(90) if view.is_stale_reader(now=0.0, count=count)
        ]
        assert len(stale_readers) == count
        assert {host.zone for host in stale_readers} == {"z0", "z1", "z2"}
        readers = views(1)[0].readers(now=0.0)
        assert not set(readers).intersection(host.address for host in stale_readers)

    def test_one_reader_that_reaches_the_store_is_the_first(self):
        """Guards against copies that no reader confirms often, or all of them do."""
        all_views = views(9)
        names = all_views[0].readers(now=0.0)
        first = [view.own.address for view in all_views if view.is_first_reader(now=0.0)]
        assert first == names[:1]
        blind = {number for number in range(9) if member(number).address == names[0]}
        first = [
            view.own.address for view in views(9, blind=blind) if view.is_first_reader(now=0.0)
        ]
        assert first == names[1:2]

    def test_all_hosts_select_the_same_few_readers(self):
        """Guards against hosts that select different readers, so that most hosts read the store."""
        lists = {tuple(view.readers(now=0.0)) for view in views(30)}
        assert len(lists) == 1
        assert len(lists.pop()) == STORE_READER_COUNT


class TestHostCount:
    def test_the_count_falls_only_after_its_window(self):
        """Guards against shares of the limits that rise during a rolling restart."""
        view = views(9)[0]
        assert view.host_count(now=0.0) == 9
        later = MEMBER_EXPIRY_S + 1.0
        assert view.host_count(now=later) == 9
        assert view.host_count(now=later + HOST_COUNT_WINDOW_S + 2.0) == 1


class SimulatedFleet:
    """Hosts that start together and know only the seeds.

    Each host has one exchange per second with each host that it follows.
    """

    def __init__(self, count, *, seed):
        self.random = Random(seed)
        self.views = {view.own.address: view for view in views(count, known=False)}
        self.seeds = list(self.views)[:SEED_COUNT]
        self.members_sent_at = {}
        self.followed_hosts = {name: [] for name in self.views}
        self.changes = 0

    def stop(self, name):
        del self.views[name]
        del self.followed_hosts[name]

    def run(self, begin, end):
        for second in range(begin, end):
            order = self.random.sample(list(self.views), len(self.views))
            for place, name in enumerate(order):
                self.take_turn(name, second + place / len(order))

    def take_turn(self, name, now):
        view = self.views[name]
        view.own.last_seen_at = now
        seeds = [seed for seed in self.seeds if seed != name and seed in self.views]
        hosts = [host for host in view.followed_hosts(now=now) if host in self.views] or seeds[:2]
        self.changes += sum(followed not in self.followed_hosts[name] for followed in hosts)
        self.followed_hosts[name] = hosts
        for followed in hosts:
            self.exchange(name, followed, now)
        if int(now) % REJOIN_INTERVAL_S == 0:
            self.exchange(name, self.random.choice(seeds), now)

    def exchange(self, name, followed, now):
        view, followed_view = self.views[name], self.views[followed]
        followed_view.own.last_seen_at = now
        followed_view.merge(copy(view.own), from_follower=True)
        view.merge(copy(followed_view.own))
        if now - self.members_sent_at.get((name, followed), float("-inf")) < MEMBERS_INTERVAL_S:
            return
        self.members_sent_at[name, followed] = now
        for member in view.downstream_members(now=now):
            followed_view.merge(copy(member), from_follower=True)
        for member in followed_view.alive(now=now):
            view.merge(copy(member))


class TestSimulatedFleet:
    """Guards against hosts that know only part of a large fleet, and so compute different trees.

    In one run of 300 hosts, each knew only 118. The trees changed all the time, and after each
    change a host got the whole copy of the store.
    """

    @pytest.mark.parametrize(
        ("count", "seed"),
        [*product([9, 12, 14, 20], range(8)), (30, 1), (30, 2), (90, 1)],
    )
    def test_hosts_that_start_together_know_each_other(self, count, seed):
        """Guards against groups of hosts that know only each other and the seeds."""
        fleet = SimulatedFleet(count, seed=seed)
        fleet.run(0, SIMULATED_SECONDS)
        assert {len(view.alive(now=SIMULATED_SECONDS)) for view in fleet.views.values()} == {count}

    def test_no_host_changes_the_hosts_that_it_follows(self):
        """Guards against trees that still change 12 s after the start."""
        fleet = SimulatedFleet(120, seed=1)
        fleet.run(0, 12)
        fleet.changes = 0
        fleet.run(12, 18)
        assert fleet.changes == 0
        followers = Counter(name for parents in fleet.followed_hosts.values() for name in parents)
        assert max(followers.values()) <= 2 * TREE_BRANCHING_FACTOR + 3

    def test_a_host_that_is_gone_is_forgotten_by_all(self):
        """Guards against a stopped host that the others keep alive by relaying its old state."""
        fleet = SimulatedFleet(40, seed=2)
        fleet.run(0, 12)
        gone = list(fleet.views)[7]
        fleet.stop(gone)
        end = 12 + int(LARGE_FLEET_MEMBER_EXPIRY_S) + 2
        fleet.run(12, end)
        assert not any(gone in view.members for view in fleet.views.values())
