"""Tests of the gossip sections for crash suspicions and quarantines."""

import pytest

from rhubarbway.decisions.crash_suspects import CrashUpdate, SharedQuarantine, SharedSuspicion
from rhubarbway.edge.wire import MessageError
from rhubarbway.model import HostIdentity
from rhubarbway.services.crash_gossip import connect_crash_gossip
from rhubarbway.services.crashes import CrashService
from rhubarbway.services.peers import PeerService


class GossipHost:
    """Crash and peer services of one host; ``sent`` holds the updates that it would send."""

    def __init__(self, name):
        identity = HostIdentity(
            name=name, address="127.0.0.1:1", zone="z", incarnation="1", started_at=0.0
        )
        self.sent = []
        self.exchange_count = 0
        self.crashes = CrashService(identity=identity)
        self.peers = PeerService(identity=identity, fellow_hosts=[])
        connect_crash_gossip(self.crashes, self.peers)


@pytest.fixture
def hosts(monkeypatch):
    pair = [GossipHost("e1"), GossipHost("e2")]

    def publish(peers, section, key, value):
        host_of(pair, peers).sent.append((section, key, value))

    def exchange_now(peers):
        host_of(pair, peers).exchange_count += 1

    monkeypatch.setattr(PeerService, "publish", publish)
    monkeypatch.setattr(PeerService, "exchange_now", exchange_now)
    return pair


def host_of(pair, peers):
    return next(host for host in pair if host.peers is peers)


class TestCrashGossip:
    def test_quarantine_of_one_host_refuses_the_request_on_another(self, hosts):
        """Guards against a caller that sends a crashing request to each entry host in turn."""
        first, second = hosts
        quarantine = SharedQuarantine(digest="d", origin="e1/1/1", remaining_s=50.0)
        suspicion = SharedSuspicion(digest="d", shape="s", replica="r", incarnation="7", age_s=1.0)
        update = CrashUpdate(suspicions=(suspicion,), quarantines=(quarantine,))
        for listener in first.crashes.listeners:
            listener(update)
            listener(update)
        assert len(first.sent) == 2
        assert first.exchange_count == 1
        for section, _, value in first.sent:
            assert second.peers.sections[section].receive(value)
            assert not second.peers.sections[section].receive(value)
        assert second.crashes.is_quarantined("d")
        assert second.crashes.is_suspect("d")
        assert len(second.peers.sections["quarantines"].items()) == 1

    def test_malformed_update_is_refused(self, hosts):
        """Guards against merging an update that does not have the fields of its section."""
        for section in ("suspicions", "quarantines"):
            with pytest.raises(MessageError):
                hosts[0].peers.sections[section].receive(["d", 1])
