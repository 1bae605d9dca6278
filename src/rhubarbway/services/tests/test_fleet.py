"""Tests of the exchanges between entry hosts, without a network."""

import json
import time
from threading import Event, Thread

import pytest
from werkzeug.test import EnvironBuilder

from rhubarbway.decisions import crash_guard
from rhubarbway.decisions.fleet_view import FleetView
from rhubarbway.edge import feed_wire
from rhubarbway.edge.http_client import Reply as HttpReply
from rhubarbway.kernel import Kernel
from rhubarbway.model import StoreItem, StorePosition
from rhubarbway.services import fleet as module
from rhubarbway.services.copy_changes import Changes
from rhubarbway.services.crashing_requests import CrashingRequestService
from rhubarbway.services.fleet import FleetService
from rhubarbway.services.registry import RegistryService

TIMEOUT_S = 5.0


def wire_member(number):
    return feed_wire.WireMember(
        address=f"10.0.0.{number}:1", zone="z", incarnation=str(number), age_ms=0
    )


class EmptyRegistry:
    """Copy of the store without items or changes."""

    complete = True
    apply_limit_s = 3.0
    stale = False

    def apply_received(self, changes, *, source):
        pass

    def is_copy_stale(self):
        return self.stale

    def settled_position(self):
        return StorePosition(era=0, revision=1)

    def wait_for_changes(self, *, after, wait_s, settled_revision, era):
        return Changes(items=[], revision=1, sequence=1, whole=False, complete=True)


class ServersWithoutReports:
    """Server service that neither makes nor accepts reports of slow servers."""

    def reports_to_share(self):
        return []

    def merge_reports(self, reports):
        return False

    def leaving_to_share(self):
        return []

    def merge_leaving(self, marks):
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

        def poll_feed(connection, *, source, after, wait_s=0.0, members_only=False, **_):
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

    @pytest.mark.parametrize(("slot", "waits"), [(0, True), (1, False)])
    def test_only_the_first_followed_host_is_asked_to_wait_for_changes(
        self, fleet, monkeypatch, slot, waits
    ):
        """Guards against hosts that send each change twice, once from each followed host."""
        requested_waits = []

        def poll_feed(self, connection, *, source, after, wait_s=1.0, **_):
            requested_waits.append(wait_s)
            self.stopping.set()
            raise feed_wire.FeedError("ended")

        monkeypatch.setattr(FleetService, "poll_feed", poll_feed)
        monkeypatch.setattr(FleetService, "followed_host", lambda self, slot: "10.0.0.2:1")
        fleet.follow(slot)
        assert (requested_waits[0] > 0.0) is waits

    def test_a_host_with_a_stale_copy_asks_other_hosts_for_changes(self, fleet, monkeypatch):
        """Guards against hosts that stay with followed hosts whose copies are as old as theirs."""
        asked = []

        def poll_feed(self, connection, *, source, after, wait_s=1.0, members_only=False, **_):
            if wait_s == 0.0:
                asked.append((connection.address, members_only))
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

        monkeypatch.setattr(FleetService, "poll_feed", poll_feed)
        monkeypatch.setattr(module, "STALE_REJOIN_INTERVAL_S", 0.05)
        fleet.registry.stale = True
        fleet.set_seeds(["10.0.0.2:1"])
        for number in (2, 3):
            fleet.view.merge(feed_wire.member_from_wire(wire_member(number), now=time.monotonic()))
        task = Thread(target=fleet.follow, args=(0,))
        task.start()
        end = time.monotonic() + TIMEOUT_S
        while len(asked) < 3 and time.monotonic() < end:
            time.sleep(0.01)
        fleet.stopping.set()
        task.join()
        assert len(asked) >= 3
        assert all(
            address in ("10.0.0.2:1", "10.0.0.3:1") and not members_only
            for address, members_only in asked
        )

    def test_a_host_with_a_stale_copy_also_asks_a_seed_that_it_does_not_know(
        self, fleet, monkeypatch
    ):
        """Guards against hosts that know only each other and stay cut off from one that reaches
        the store, since their seed had not started yet when they did.
        """
        asked = []

        def poll_feed(self, connection, *, source, after, wait_s=1.0, members_only=False, **_):
            asked.append((connection.address, members_only))
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

        monkeypatch.setattr(FleetService, "poll_feed", poll_feed)
        monkeypatch.setattr(module, "STALE_REJOIN_INTERVAL_S", 0.02)
        fleet.registry.stale = True
        fleet.view.merge(feed_wire.member_from_wire(wire_member(2), now=time.monotonic()))
        task = Thread(target=fleet.follow, args=(0,))
        task.start()
        end = time.monotonic() + TIMEOUT_S
        while ("10.0.0.9:1", False) not in asked and time.monotonic() < end:
            time.sleep(0.01)
        fleet.stopping.set()
        task.join()
        assert ("10.0.0.9:1", False) in asked


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


class TestHostileMessages:
    def reply(self, **changes):
        document = {
            "sender": ["10.0.0.2:1", "z", "2", 0],
            "after": 1,
            "revision": 1,
            "whole": False,
            "complete": True,
            "items": [],
            "members": [],
        }
        return json.dumps(document | changes).encode()

    @pytest.mark.parametrize(
        "changes",
        [
            {"sender": ["10.0.0.2:1", "z", "2", 10**400]},
            {"reports": [["i-1", 1e999, 0]]},
            {"reports": [["i-1", 10**400, 0]]},
            {"losses": [{"digest": "d", "service": "s", "server": "i", "age_ms": 10**400}]},
            {"leaving": [["i-1", 10**400, "a", "s", 0]]},
            {"items": [["k", 10**400, None]]},
            {"members": [["m" * 1000, "z", "i", 0]]},
            {"after": -1},
        ],
    )
    def test_a_number_or_name_out_of_range_makes_the_message_malformed(self, changes):
        """Guards against a message of another host on which arithmetic fails."""
        with pytest.raises(feed_wire.FeedError):
            feed_wire.reply_from_json(self.reply(**changes))

    def test_a_nested_message_is_malformed(self):
        """Guards against a message that ends the task of the host which follows."""
        with pytest.raises(feed_wire.FeedError):
            feed_wire.reply_from_json(b'{"extra": ' + b"[" * 100_000)

    def test_a_message_on_which_this_host_fails_does_not_end_the_task(self, fleet, monkeypatch):
        """Guards against a host that never again gets a change after one message."""
        monkeypatch.setattr(module, "RETRY_DELAY_S", 0.01)
        polled = Event()
        polls = []

        def fail(service, connection, *, wait_s, **options):
            # Only polls of the task wait for changes; queries of a seed do not.
            if wait_s > 0.0:
                polls.append(connection.address)
            if len(polls) > 4:
                polled.set()
            raise RecursionError("unexpected")

        monkeypatch.setattr(FleetService, "poll_feed", fail)
        fleet.executor.submit(fleet.follow, 0)
        assert polled.wait(TIMEOUT_S)


class TestLeavingMarks:
    MARK = feed_wire.WireLeavingMark(
        server="i-1", started_ms=5, address="10.0.0.1:80", service="desk", age_ms=3
    )

    def test_a_mark_in_a_reply_reaches_the_servers_and_wakes_the_followers(self, fleet):
        """Guards against a leaving server that other hosts keep using."""
        merged, woken = [], []
        fleet.servers.merge_leaving = lambda marks: bool(merged.extend(marks) or True)
        fleet.registry.wake_followers = lambda: woken.append(True)
        fleet.apply_leaving_marks([self.MARK])
        assert [mark.incarnation for mark in merged] == [("i-1", 5, "10.0.0.1:80", "desk")]
        assert woken

    def test_a_known_mark_wakes_nobody(self, fleet):
        """Guards against hosts that wake each other for ever."""
        fleet.registry.wake_followers = lambda: pytest.fail("followers woken")
        fleet.apply_leaving_marks([self.MARK])

    def test_a_mark_survives_its_encoding(self):
        """Guards against a mark that names another process after a message."""
        now = time.monotonic()
        mark = feed_wire.leaving_mark_from_wire(self.MARK, now=now)
        assert feed_wire.leaving_mark_to_wire(mark, now=now) == self.MARK


class TestSeedQueries:
    def respond(self, fleet, **changes):
        request = feed_wire.FeedRequest(
            sender=wire_member(2), source="", after=0, wait_ms=0, **changes
        )
        environ = EnvironBuilder(
            path=feed_wire.FEED_PATH, method="POST", data=feed_wire.message_to_json(request)
        ).get_request()
        return feed_wire.reply_from_json(fleet.respond(environ).get_data())

    def test_a_host_with_a_copy_gets_no_copy(self, fleet, monkeypatch):
        """Guards against a copy of the store for each host every five seconds.

        At 195 hosts these were 80 of the 123 MB between zones on a quiet day.
        """
        monkeypatch.setattr(
            EmptyRegistry, "wait_for_changes", lambda *_, **__: pytest.fail("copy requested")
        )
        reply = self.respond(fleet, members_only=True)
        assert (reply.items, reply.whole, reply.complete) == ([], False, False)

    def test_members_are_sent_only_to_a_host_that_knows_others(self, fleet):
        """Guards against the whole list of hosts in each reply, and a lost host in none."""
        for number in (2, 3):
            member = feed_wire.member_from_wire(wire_member(number), now=time.monotonic())
            fleet.view.merge(member)
        digest = fleet.members_digest()
        assert not self.respond(fleet, members_only=True, members_digest=digest).members
        reply = self.respond(fleet, members_only=True, members_digest="other")
        assert [member.address for member in reply.members] == ["10.0.0.3:1"]

    def test_two_hosts_with_the_same_members_have_the_same_digest(self, fleet):
        """Guards against a digest that depends on the order or on the host itself."""
        now = time.monotonic()
        other = FleetView(own=feed_wire.member_from_wire(wire_member(2), now=now))
        other.merge(fleet.view.own)
        fleet.view.merge(other.own)
        assert fleet.view.digest(now=now) == other.digest(now=now)


class ServersWithoutEffect(ServersWithoutReports):
    """Server service that ignores the entries of the store."""

    def update(self, changed, removed):
        pass


def fleet_with_copy(number, items, *, revision):
    """Return a host that has listed the items of the store."""
    service = FleetService(listen=f"10.0.0.{number}:1", zone="z", seeds=[])
    service.crashing_requests = CrashingRequestService()
    service.crashing_requests.start(Kernel())
    service.servers = ServersWithoutEffect()
    service.registry = RegistryService()
    service.registry.servers = service.servers
    service.registry.apply_store_changes(items, revision=revision, whole=True)
    return service


def poll(follower, followed, *, source="", after=0):
    """Let one host poll another one, without a network; return the reply and its size."""
    sizes = []

    class Connection:
        address = followed.listen

        def exchange(self, method, path, *, headers, body, timeout_s, connect_timeout_s):
            lines = dict(line.split(": ", 1) for line in headers)
            builder = EnvironBuilder(method=method, path=path, data=body, headers=lines)
            response = followed.respond(builder.get_request())
            data = response.get_data()
            sizes.append(len(data))
            return HttpReply(
                status=response.status_code, body=data, headers=tuple(response.headers.items())
            )

    reply = follower.poll_feed(Connection(), source=source, after=after, wait_s=0.0)
    return reply, sizes[0]


def server_item(number, *, revision):
    """Return an entry of the size that servers of the large site have."""
    value = {
        "service": f"wu{number * 7919 % 997:x}y",
        "address": f"10.{number % 5 + 1}.64.{number % 250}:{8000 + number % 9}",
        "zone": f"zone-{number % 5}",
        "slots": 3,
        "state": "ready",
        "born": 1_774_000_000_000 + number * 7919,
        "sequence": number * 31,
        "warmupLeftMs": 0,
        "version": 1,
    }
    key = f"servers/i-{number * 2654435761 % 2**40:010x}"
    return StoreItem(key=key, value=json.dumps(value).encode(), revision=revision)


class TestTraffic:
    # The smallest link of a host on the large site, the hosts that follow the first host of a zone
    # there, and the entries that change in a second while an index is replaced.
    LINK_BYTES_PER_S = 10_000_000 / 8
    FOLLOWERS = 40
    CHANGES_PER_S = 100

    def test_a_burst_of_changes_to_all_followers_takes_half_of_the_smallest_link(self):
        """Guards against hosts at the top of a zone that cannot be reached, because sending the
        changes of servers to all their followers fills their link for seconds.
        """
        items = [server_item(number, revision=number + 1) for number in range(500)]
        first, second, follower = (fleet_with_copy(n, items, revision=500) for n in (1, 2, 3))
        changes = [
            server_item(number, revision=501 + number) for number in range(self.CHANGES_PER_S)
        ]
        positions = [poll(follower, host)[0] for host in (first, second)]
        sent = 0
        for host, position in zip((first, second), positions, strict=True):
            host.registry.apply_store_changes(changes, revision=600, whole=False)
            reply, size = poll(
                follower, host, source=position.sender.incarnation, after=position.after
            )
            follower.apply_reply(reply)
            sent += size
        assert len(follower.registry.store_copy.items) == 500
        assert follower.registry.store_copy.settled_revision == 600
        assert sent * self.FOLLOWERS < self.LINK_BYTES_PER_S / 2


class TestChangeOfTheFollowedHost:
    ITEMS = tuple(
        StoreItem(key=f"servers/i-{number}", value=b"{}", revision=number + 1)
        for number in range(200)
    )

    def test_a_host_with_a_copy_gets_the_changes_only(self):
        """Guards against hosts that all request whole copies from a host that is already slow.

        Each exchange that is given up makes a follower turn to another host. If that host then has
        to send a whole copy, its other followers give up, too, and turn back.
        """
        follower = fleet_with_copy(1, self.ITEMS, revision=200)
        change = StoreItem(key="servers/i-3", value=b"[]", revision=201)
        followed = fleet_with_copy(2, self.ITEMS, revision=200)
        followed.registry.apply_store_changes([change], revision=201, whole=False)
        reply, _ = poll(follower, followed)
        assert not reply.whole
        assert [item.key for item in reply.items] == ["servers/i-3"]
        follower.apply_reply(reply)
        assert follower.registry.store_copy.items["servers/i-3"].value == b"[]"

    def test_a_host_without_a_copy_gets_a_whole_one(self):
        """Guards against a host that starts with a part of the entries."""
        followed = fleet_with_copy(2, self.ITEMS, revision=200)
        starting = fleet_with_copy(1, (), revision=0)
        starting.registry = RegistryService()
        reply, _ = poll(starting, followed)
        assert reply.whole and len(reply.items) == 200


class TestLosses:
    def test_one_loss_at_each_of_three_hosts_blocks_a_request(self, monkeypatch):
        """Guards against a crashing request without retries that runs at each host in turn."""
        monkeypatch.setattr(crash_guard, "MIN_SINGLE_AGE_S", 0.0, raising=False)
        hosts = [fleet_with_copy(number, [], revision=1) for number in (1, 2, 3)]
        for number, host in enumerate(hosts):
            host.crashing_requests.record_loss("d", service="board", server=f"i-{number}")
        for _ in range(2):
            for host in hosts[1:]:
                reply, _ = poll(host, hosts[0])
                host.apply_reply(reply)
        assert [host.crashing_requests.is_blocked("d") for host in hosts] == [True] * 3
