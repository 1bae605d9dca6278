"""Tests of what a host tells and asks the others, without a network."""

import time
from threading import Thread

import pytest
from werkzeug.test import EnvironBuilder

from rhubarbway.edge import feed_wire
from rhubarbway.kernel import Kernel
from rhubarbway.services import fleet as module
from rhubarbway.services.fleet import FleetService
from rhubarbway.services.losses import LossService
from rhubarbway.services.registry import Changes

WAIT_S = 5.0


def wire_member(number):
    return feed_wire.WireMember(
        address=f"10.0.0.{number}:1", zone="z", incarnation=str(number), age_ms=0
    )


class QuietRegistry:
    """A copy of the store without items."""

    def take(self, items, **details):
        pass

    def changes(self, *, after, wait_s):
        return Changes(items=[], revision=1, sequence=1, whole=False, complete=True)


class QuietServers:
    """Servers of which nothing is told."""

    def reports(self):
        return []

    def take_reports(self, reports):
        return False


@pytest.fixture
def fleet():
    service = FleetService(listen="10.0.0.1:1", zone="z", seeds=["10.0.0.9:1"])
    service.losses = LossService()
    service.losses.start(Kernel())
    service.registry = QuietRegistry()
    service.servers = QuietServers()
    yield service
    service.stopping.set()
    service.executor.shutdown(wait=True)


class TestFollow:
    def test_a_host_that_follows_others_asks_a_seed_from_time_to_time(self, fleet, monkeypatch):
        """Guards against hosts that follow each other in a circle and are never heard of again."""
        asked = []

        def exchange(connection, *, source, after, wait_s=0.0):
            asked.append(connection.address)
            time.sleep(0.01)
            return feed_wire.FeedReply(
                sender=wire_member(2),
                after=1,
                revision=1,
                whole=False,
                complete=True,
                items=[],
                members=[],
            )

        monkeypatch.setattr(module, "REJOIN_INTERVAL_S", 0.1)
        monkeypatch.setattr(
            FleetService, "exchange", lambda self, *args, **kw: exchange(*args, **kw)
        )
        fleet.view.hear(feed_wire.member_from_wire(wire_member(2), now=time.monotonic()))
        task = Thread(target=fleet.follow, args=(0,))
        task.start()
        end = time.monotonic() + WAIT_S
        while asked.count("10.0.0.9:1") < 2 and time.monotonic() < end:
            time.sleep(0.01)
        fleet.stopping.set()
        task.join()
        assert asked.count("10.0.0.9:1") >= 2
        assert asked.count("10.0.0.2:1") > asked.count("10.0.0.9:1")


class TestMembersBelow:
    def ask(self, fleet, *members):
        request = feed_wire.FeedRequest(
            sender=wire_member(2), source="", after=0, wait_ms=0, members=list(members)
        )
        builder = EnvironBuilder(
            method="POST", path=feed_wire.FEED_PATH, data=feed_wire.message_to_json(request)
        )
        return fleet.respond(builder.get_request())

    def test_what_a_follower_tells_is_passed_on_to_those_above(self, fleet):
        """Guards against readers that know only their own followers."""
        assert self.ask(fleet, wire_member(3)).status_code == 200
        told = {member.address for member in fleet.members_above("10.0.0.7:1")}
        assert told == {"10.0.0.2:1", "10.0.0.3:1"}

    def test_it_is_told_at_intervals(self, fleet):
        self.ask(fleet, wire_member(3))
        assert fleet.members_above("10.0.0.7:1")
        assert not fleet.members_above("10.0.0.7:1")
        assert fleet.members_above("10.0.0.8:1")

    def test_a_followed_host_is_not_told_of_itself(self, fleet):
        self.ask(fleet, wire_member(3))
        told = {member.address for member in fleet.members_above("10.0.0.3:1")}
        assert told == {"10.0.0.2:1"}
