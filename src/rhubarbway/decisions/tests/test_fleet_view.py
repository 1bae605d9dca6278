"""Tests of which hosts exist and whom a host follows."""

from collections import Counter

import pytest

from rhubarbway.decisions.fleet_view import (
    COUNT_MEMORY_S,
    FOLLOWERS,
    FORGET_AFTER_S,
    STORE_READERS,
    FleetMember,
    FleetView,
)


def member(number, *, heard_at=0.0, blind=False):
    return FleetMember(
        address=f"10.0.0.{number}:1",
        zone=f"z{number % 3}",
        incarnation=str(number),
        heard_at=heard_at,
        blind=blind,
    )


def views(count, *, blind=()):
    """Return the views of all hosts, which know each other."""
    found = []
    for own in range(count):
        view = FleetView(own=member(own, blind=own in blind))
        for other in range(count):
            view.hear(member(other, blind=other in blind))
        found.append(view)
    return found


class TestFollowed:
    @pytest.mark.parametrize("count", [2, 3, 9, 90])
    def test_news_of_any_reader_reach_all_hosts(self, count):
        all_views = views(count)
        followed = {view.own.address: view.followed(now=0.0) for view in all_views}
        for reader in all_views[0].readers(now=0.0):
            reached = {reader}
            for _ in range(6):
                reached |= {
                    name for name, parents in followed.items() if reached.intersection(parents)
                }
            assert len(reached) == count

    def test_hosts_follow_the_substitutes_of_blind_readers(self):
        """Our day store-silent-for-some-hosts: a substitute read the new configuration, and no
        host followed it, since the blind readers kept the first ranks."""
        readers = views(9)[0].readers(now=0.0)
        blind = {number for number in range(9) if member(number).address in readers[:2]}
        all_views = views(9, blind=blind)
        sighted = set(all_views[0].readers(now=0.0)) - set(readers[:2])
        for view in all_views:
            assert sighted.intersection(view.followed(now=0.0)) - {view.own.address} or (
                view.own.address in sighted
            )

    def test_few_hosts_of_a_large_fleet_follow_another_zone(self):
        """The first run of a fleet of 90: two thirds of all exchanges crossed zones, and the bytes
        between zones cost a tenth of all that the day was worth."""
        crossing = 0
        for view in views(90):
            zones = {known.address: known.zone for known in view.alive(now=0.0)}
            crossing += sum(zones[name] != view.own.zone for name in view.followed(now=0.0))
        assert crossing <= 3 * 3

    @pytest.mark.parametrize("count", [9, 17, 90, 300])
    def test_no_host_has_more_followers_than_it_can_serve(self, count):
        followers = Counter(name for view in views(count) for name in view.followed(now=0.0))
        assert max(followers.values()) <= 2 * FOLLOWERS + STORE_READERS

    def test_a_zone_of_its_own_is_followed_from_outside_only_through_its_first_host(self):
        """A zone without a reader hears of changes from readers of other zones."""
        own = FleetMember(address="10.0.9.1:1", zone="z9", incarnation="a", heard_at=0.0)
        view = FleetView(own=own)
        for other in range(60):
            view.hear(member(other))
        assert set(view.followed(now=0.0)) <= set(view.readers(now=0.0))

    def test_no_host_follows_itself(self):
        for view in views(20):
            assert view.own.address not in view.followed(now=0.0)


class TestReaders:
    def test_all_hosts_agree_on_a_few(self):
        lists = {tuple(view.readers(now=0.0)) for view in views(30)}
        assert len(lists) == 1
        assert len(lists.pop()) == STORE_READERS


class TestCount:
    def test_the_count_falls_late(self):
        """Guards against shares that rise while hosts restart in turn."""
        view = views(9)[0]
        assert view.count(now=0.0) == 9
        later = FORGET_AFTER_S + 1.0
        assert view.count(now=later) == 9
        assert view.count(now=later + COUNT_MEMORY_S + 2.0) == 1
