"""Tests of the messages between an entry host and its followers."""

import json
import zlib

import msgspec
import pytest

from rhubarbway.decisions.crash_guard import ServerLoss
from rhubarbway.edge import feed_wire
from rhubarbway.model import ItemEvidence, ItemSummary, StoreItem, StorePosition

ROUTE_COUNT = 1800


def configuration():
    """Return a configuration of about the largest size that the users announce."""
    routes = [
        {
            "name": f"r-{number:07x}",
            "host": f"host{number % 40}.example",
            "pathPrefix": f"/path{number:x}/",
            "routeType": "safe",
            "service": f"service{number % 13}",
            "timeoutMs": 4000,
            "targetLatencyMs": 600,
            "maxAttempts": 2,
            "priority": 2,
        }
        for number in range(ROUTE_COUNT)
    ]
    return json.dumps({"version": 7, "routes": routes}).encode()


# Era of the store in the messages of these tests.
ERA = 5


def encoded_reply(item):
    reply = feed_wire.FeedReply(
        sender=feed_wire.WireMember(address="a:1", zone="z", incarnation="i", age_ms=0),
        after=1,
        revision=9,
        whole=False,
        complete=True,
        items=[feed_wire.item_to_wire(item, era=ERA)],
        members=[],
        era=ERA,
    )
    return feed_wire.message_to_json(reply)


class TestItems:
    @pytest.mark.parametrize("value", [None, b"", b"small", configuration()])
    def test_an_item_survives_encoding_and_decoding(self, value):
        """Guards against a value that compression or an absent value changes on the way."""
        item = StoreItem(key="op/config", value=value, revision=9, era=ERA)
        found = self.decoded(encoded_reply(item))
        assert (found.key, found.value, found.position) == (item.key, item.value, item.position)
        assert found.evidence is ItemEvidence.WRITTEN and found.last_summary is None

    def test_what_tells_an_older_state_from_a_later_one_survives_it(self):
        """Guards against a removed server that a host takes into use after a restore of the store,
        because a message lacks the era, the evidence or the process of its entry.
        """
        item = StoreItem(
            key="servers/i-1",
            value=None,
            revision=900,
            era=ERA - 2,
            evidence=ItemEvidence.HELD,
            last_summary=ItemSummary(started_ms=7, sequence=3, draining=True),
        )
        found = self.decoded(encoded_reply(item))
        assert found.position == item.position and found.evidence is ItemEvidence.HELD
        summary = found.last_summary
        assert (summary.started_ms, summary.sequence, summary.draining) == (7, 3, True)

    def test_an_item_of_an_earlier_version_is_of_the_era_of_its_message(self):
        """Guards against a host of an earlier version whose messages cannot be read."""
        wire = msgspec.json.decode(b'["k", 9, null]', type=feed_wire.WireItem)
        assert feed_wire.item_from_wire(wire, era=0).position == StorePosition(era=0, revision=9)

    def decoded(self, encoded):
        """Return the item of an encoded reply."""
        reply = feed_wire.reply_from_json(encoded)
        return feed_wire.item_from_wire(reply.items[0], era=reply.era)

    def test_a_large_configuration_reaches_all_followers_in_time(self):
        """Guards against uncompressed configurations, which reach the followers too late.

        A version must be in force in 5 s. Sending 0.5 MB to each of 32 followers over a link of 20
        Mbit/s takes longer.
        """
        item = StoreItem(key="op/config", value=configuration(), revision=9)
        link_bytes_s = 20e6 / 8
        followers = 32
        hops = 2
        assert hops * followers * len(encoded_reply(item)) / link_bytes_s < 5.0

    @pytest.mark.parametrize(
        "data", [b"", b"no zlib", zlib.compress(b"x" * 5000)[:-3], zlib.compress(bytes(9 << 20))]
    )
    def test_a_value_that_cannot_be_decompressed_is_an_error(self, data):
        """Guards against damaged or oversized data that ends a task or fills the memory."""
        wire = feed_wire.WireItem(key="k", revision=1, value=data, packed=True)
        with pytest.raises(feed_wire.FeedError):
            feed_wire.item_from_wire(wire, era=ERA)


class TestMembers:
    def test_the_member_list_of_a_large_fleet_is_compact(self):
        """Guards against member lists that repeat the names of the fields in each entry.

        With them, a host that sends 100 members to 32 followers every 1.8 s would send 224 KB/s.
        """
        members = [
            feed_wire.WireMember(
                address=f"10.2.{number}.41:8284",
                zone="magelang",
                incarnation=f"{number:016x}",
                age_ms=1234,
            )
            for number in range(100)
        ]
        reply = feed_wire.FeedReply(
            sender=members[0],
            after=1,
            revision=9,
            whole=False,
            complete=True,
            items=[],
            members=members[1:],
        )
        data = feed_wire.message_to_json(reply)
        # Each member has an address, a zone, an incarnation and three short values.
        assert len(data) < 100 * 80
        assert feed_wire.reply_from_json(data).members == members[1:]


class FormerLoss(msgspec.Struct):
    """A lost server, as hosts of an earlier version know it."""

    digest: str
    service: str
    server: str
    age_ms: int


class TestLosses:
    LOSS = ServerLoss(digest="d", service="s", server="i", lost_at=8.0, started_ms=5)

    def test_a_host_of_an_earlier_version_reads_the_loss_and_is_read(self):
        """Guards against a fleet that loses its exchange while its hosts are updated."""
        wire = feed_wire.loss_to_wire(self.LOSS, now=9.0)
        former = msgspec.json.decode(msgspec.json.encode(wire), type=FormerLoss)
        assert (former.server, former.age_ms) == ("i", 1000)
        known = msgspec.json.decode(msgspec.json.encode(former), type=feed_wire.WireLoss)
        assert feed_wire.loss_from_wire(known, now=9.0).started_ms == 0


class TestDeferredDeletions:
    def test_the_time_since_the_first_reading_survives_a_message(self):
        """Guards against a deferral that begins anew at each host that hears of it."""
        deletion = feed_wire.deferred_deletion_from_wire(
            feed_wire.WireDeferredDeletion(key="servers/i-1", revision=7, known_ms=1500),
            era=ERA,
            now=100.0,
        )
        assert deletion.item.value is None
        assert deletion.item.position == StorePosition(era=ERA, revision=7)
        assert deletion.known_since == 98.5
        wire = feed_wire.deferred_deletion_to_wire(deletion, now=100.25)
        assert (wire.key, wire.known_ms) == ("servers/i-1", 1750)

    def test_a_reply_of_an_earlier_version_has_none(self):
        """Guards against hosts that cannot read the replies of hosts of an earlier version."""
        member = {"address": "a:1", "zone": "z", "incarnation": "1", "age_ms": 0}
        reply = {
            "sender": list(member.values()),
            "after": 1,
            "revision": 2,
            "whole": False,
            "complete": True,
            "items": [],
            "members": [],
        }
        assert feed_wire.reply_from_json(json.dumps(reply).encode()).deferred == []
