"""Tests of the exchanges between entry hosts, without a network."""

import time
from threading import Thread

import pytest
from werkzeug.test import EnvironBuilder

from rhubarbway.edge import feed_wire
from rhubarbway.kernel import Kernel
from rhubarbway.services import fleet as module
from rhubarbway.services.crashing_requests import CrashingRequestService
from rhubarbway.services.fleet import FleetService
from rhubarbway.services.registry import Changes

TIMEOUT_S = 5.0


def wire_member(number):
    return feed_wire.WireMember(
        address=f"10.0.0.{number}:1", zone="z", incarnation=str(number), age_ms=0
    )


class EmptyRegistry:
    """Copy of the store without items or changes."""

    def apply_changes(self, items, **details):
        pass

    def wait_for_changes(self, *, after, wait_s):
        return Changes(items=[], revision=1, sequence=1, whole=False, complete=True)


class ServersWithoutReports:
    """Server service that neither makes nor accepts reports of slow servers."""

    def reports_to_share(self):
        return []

    def merge_reports(self, reports):
        return False


@pytest.fixture
def fleet():
    service = FleetService(listen="10.0.0.1:1", zone="z", seeds=["10.0.0.9:1"])
    service.crashing_requests = CrashingRequestService()
    service.crashing_requests.start(Kernel())
    service.registry = EmptyRegistry()
    service.servers = ServersWithoutReports()
    yield service
    service.stopping.set()
    service.executor.shutdown(wait=True)


class TestFollow:
    def test_a_host_that_follows_others_queries_a_seed_at_intervals(self, fleet, monkeypatch):
        """Guards against hosts that follow each other in a cycle and never rejoin the fleet.

        Hosts that start together may know only each other. Their exchanges succeed, so no failure
        makes them query a seed.
        """
        contacted = []

        def poll_feed(connection, *, source, after, wait_s=0.0):
            contacted.append(connection.address)
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
            FleetService, "poll_feed", lambda self, *args, **kw: poll_feed(*args, **kw)
        )
        fleet.view.merge(feed_wire.member_from_wire(wire_member(2), now=time.monotonic()))
        task = Thread(target=fleet.follow, args=(0,))
        task.start()
        end = time.monotonic() + TIMEOUT_S
        while contacted.count("10.0.0.9:1") < 2 and time.monotonic() < end:
            time.sleep(0.01)
        fleet.stopping.set()
        task.join()
        assert contacted.count("10.0.0.9:1") >= 2
        assert contacted.count("10.0.0.2:1") > contacted.count("10.0.0.9:1")


class TestMembersForFollowed:
    def send_request(self, fleet, *members):
        request = feed_wire.FeedRequest(
            sender=wire_member(2), source="", after=0, wait_ms=0, members=list(members)
        )
        builder = EnvironBuilder(
            method="POST", path=feed_wire.FEED_PATH, data=feed_wire.message_to_json(request)
        )
        return fleet.respond(builder.get_request())

    def test_members_reported_by_a_follower_are_propagated_to_followed_hosts(self, fleet):
        """Guards against readers that know only their direct followers."""
        assert self.send_request(fleet, wire_member(3)).status_code == 200
        addresses = {member.address for member in fleet.members_for_followed("10.0.0.7:1")}
        assert addresses == {"10.0.0.2:1", "10.0.0.3:1"}

    def test_members_are_sent_at_intervals(self, fleet):
        """Guards against a list of members in each exchange: it makes up most of a reply."""
        self.send_request(fleet, wire_member(3))
        assert fleet.members_for_followed("10.0.0.7:1")
        assert not fleet.members_for_followed("10.0.0.7:1")
        assert fleet.members_for_followed("10.0.0.8:1")

    def test_members_exclude_the_followed_host(self, fleet):
        """Guards against sending a host its own, older announcement."""
        self.send_request(fleet, wire_member(3))
        addresses = {member.address for member in fleet.members_for_followed("10.0.0.3:1")}
        assert addresses == {"10.0.0.2:1"}
