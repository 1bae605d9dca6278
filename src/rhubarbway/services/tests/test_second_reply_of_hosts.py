"""Tests of this project's own protocol with a peer that answers twice, over real sockets."""

import json
import queue
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from types import SimpleNamespace

import msgspec
import pytest

from rhubarbway.edge import gossip_wire, slice_wire, token_wire, wire
from rhubarbway.edge.http_client import CallError, HttpConnection
from rhubarbway.edge.json_codec import encode_json, hex_digest
from rhubarbway.manifest import manifest_from_bytes
from rhubarbway.model import (
    AttemptId,
    EntryHost,
    ExecutionStatus,
    HostIdentity,
    OutcomeKind,
    Replica,
    SubQuery,
)
from rhubarbway.services import platform as platform_module
from rhubarbway.services.manifest import ManifestService
from rhubarbway.services.manifest_exchange import ManifestExchange
from rhubarbway.services.metrics import MetricsService
from rhubarbway.services.peer_link import GossipPeer, PeerLink
from rhubarbway.services.peers import PeerService
from rhubarbway.services.platform import PlatformService
from rhubarbway.services.replica_pool import Attempt, ReplicaPool
from rhubarbway.services.slices import SliceService
from rhubarbway.services.tests.test_manifest import make_document
from rhubarbway.services.tokens import TokenService
from rhubarbway_standins.stuttering_server import STUTTERS, StutteringServer, response

TIMEOUT_S = 10.0
IDENTITY = HostIdentity(
    name="e1", address="127.0.0.1:1", zone="z", incarnation="aa", started_at=1.0
)


@pytest.fixture
def start():
    """Return a function that starts a peer, which stops at the end of the test."""
    running = []

    def start_server(name, answer, **options):
        running.append(StutteringServer(answer=answer, stutter=STUTTERS[name], **options))
        return running[-1]

    yield start_server
    for server in running:
        server.stop()


def wait_until(condition):
    end = time.monotonic() + TIMEOUT_S
    while not condition():
        assert time.monotonic() < end
        time.sleep(0.005)


class TestReplica:
    """Host to replica: sub-queries carry the id of the attempt, status requests carry none."""

    def answer(self, head, body):
        state = {"incarnation": "r1", "held_snapshots": ["s-1"], "layout": "l", "draining": False}
        if b"/v1/status" in head:
            return response(json.dumps(state).encode())
        request = json.loads(body)
        items = json.dumps([request["payload"]]).encode()
        state |= {name: request[name] for name in ("attempt", "service", "shard", "snapshot")}
        state |= {"length": len(items), "digest": hex_digest(items), "items": msgspec.Raw(items)}
        return response(msgspec.json.encode(state))

    @pytest.mark.parametrize("name", STUTTERS)
    @pytest.mark.parametrize("repeated", [1, 2, 3])
    def test_no_attempt_gets_the_answer_of_another(self, start, name, repeated):
        """Guards against a shard whose answer is that of another query, or a part of one."""
        server = start(name, self.answer, repeats=lambda number: number == repeated)
        executor = ThreadPoolExecutor(4)
        replica = Replica(
            name="r", address=server.address, zone="z", slots=2, connections=8, connect_ms=0.0
        )
        pool = ReplicaPool(replica=replica, in_flight_cap=1, spawn=executor.submit)
        outcomes = queue.SimpleQueue()
        kinds = []
        for number in range(1, 6):
            sub_query = SubQuery(
                attempt=AttemptId(host="e1", incarnation="aa", counter=number),
                service="desk",
                layout="l",
                shard=0,
                snapshot="s-1",
                payload_json=b"%d" % number,
                deadline=time.monotonic() + TIMEOUT_S,
                unsafe=False,
            )
            pool.submit(Attempt(sub_query=sub_query, on_outcome=outcomes.put))
            outcome = outcomes.get(timeout=2 * TIMEOUT_S)
            kinds.append(outcome.kind)
            if outcome.kind is OutcomeKind.ANSWERED:
                assert json.loads(outcome.answer.items_json) == [number]
            elif outcome.kind is not OutcomeKind.CONNECT_FAILED:
                assert outcome.ran is ExecutionStatus.UNKNOWN
        pool.close()
        executor.shutdown(wait=True)
        assert sum(kind is not OutcomeKind.ANSWERED for kind in kinds) <= 1
        assert kinds[-1] is OutcomeKind.ANSWERED
        assert server.connection_count >= 2


class TestSlices:
    def answer(self, head, body):
        hop = slice_wire.request_from_json(body).hop
        return response(
            slice_wire.reply_to_json(
                hop, snapshots=[hop], answer=None, ran=ExecutionStatus.NOT_RUN, attempts=0
            )
        )

    @pytest.mark.parametrize("name", STUTTERS)
    def test_a_connection_with_a_wrong_reply_is_not_used_again(self, start, name):
        """Guards against hops that fail one after the other, each with the reply to the last."""
        server = start(name, self.answer)
        service = SliceService(identity=IDENTITY)
        owner = EntryHost(name="e2", address=server.address, zone="z")
        for number in (1, 2, 3):
            body = slice_wire.SliceBody(
                hop=f"hop-{number}",
                job="j",
                service="desk",
                layout="l",
                first=0,
                last=0,
                snapshot=None,
                deadline_ms=1000,
                unsafe=False,
                digest="",
                shape="",
                payload=msgspec.Raw(b"{}"),
            )
            try:
                reply = service.send_hop(owner, body, deadline=time.monotonic() + TIMEOUT_S)
                assert reply.snapshots == [body.hop]
            except (CallError, wire.MessageError):
                assert number == 2
        assert server.connection_count == 2
        service.stop()


class TestTokens:
    def answer(self, head, body):
        forward = token_wire.forward_from_json(body, default_deadline_ms=1000)
        text = json.dumps({"request_id": forward.query.request_id}).encode()
        return response(
            token_wire.forward_reply_to_json(forward.transfer_id, status=200, body=text)
        )

    @pytest.mark.parametrize("name", STUTTERS)
    def test_no_request_gets_the_answer_of_another(self, start, name):
        """Guards against an unsafe request that is answered with the outcome of another one."""
        server = start(name, self.answer)
        service = TokenService(identity=IDENTITY)
        issuer = EntryHost(name="e2", address=server.address, zone="z")
        service.manifest = SimpleNamespace(in_force=SimpleNamespace(entry_hosts=[issuer]))
        for number in (1, 2, 3):
            text = {"request_id": f"q-{number}", "job": "j", "unsafe": True, "token": "t"}
            query = wire.query_from_json(
                json.dumps(text).encode(), default_deadline_ms=int(TIMEOUT_S * 1000)
            )
            reply = service.forward_to_issuer(query, SimpleNamespace(host="e2"))
            answered = json.loads(reply.get_data())
            assert answered["request_id"] == f"q-{number}"
            assert reply.status_code == 200 or (
                number == 2 and answered["error"]["ran"] == ExecutionStatus.UNKNOWN.value
            )
        assert server.connection_count == 2
        service.stop()


class TestGossip:
    def answer(self, head, body):
        """Reply as a host that holds the version of the number of the request."""
        request = gossip_wire.gossip_from_json(body)
        self.count += 1
        sender = gossip_wire.MemberRecordBody(
            name="e2", incarnation="b", started_ms=1, heartbeat=1, state="alive", blind=False
        )
        reply = gossip_wire.GossipBody(
            sender=sender, held=(self.count, ""), confirmed=True, exchange=request.exchange
        )
        return response(encode_json(reply))

    @pytest.mark.parametrize("name", STUTTERS)
    def test_a_copy_is_not_taken_for_the_next_reply(self, start, monkeypatch, name):
        """Guards against an old view that ends the wait of a host which was suspended.

        An exchange that got no reply of its own has to fail, so that its updates are sent again.
        """
        self.count = 0
        applied = []
        monkeypatch.setattr(
            PeerService, "apply_message", lambda peers, message: applied.append(message.held[0])
        )
        server = start(name, self.answer)
        peers = PeerService(identity=IDENTITY, fellow_hosts=[])
        peers.manifest = SimpleNamespace(known_version_key=(0, ""), in_force=object())
        link = PeerLink(name="e2", address=server.address, peer=GossipPeer(name="e2"))
        for number in (1, 2, 3):
            peers.exchange(link)
            assert link.last_exchange_failed in (False, number == 2)
            assert link.last_exchange_failed or applied[-1] == self.count
        link.connection.disconnect()
        assert server.connection_count == 2


class TestManifestExchange:
    @pytest.mark.parametrize("name", STUTTERS)
    def test_the_manifest_held_is_the_one_that_was_fetched(self, start, name):
        """Guards against a fetch that counts as done with a copy of an earlier version."""
        documents = [encode_json(make_document(version)) for version in (1, 2, 3)]
        remaining = list(documents)
        keys = [manifest_from_bytes(text, source="t").unwrap().version_key for text in documents]

        def answer(head, body):
            # Each request gets the next version; the last one is repeated.
            document = remaining.pop(0) if len(remaining) > 1 else remaining[0]
            version, digest = keys[documents.index(document)]
            reply = gossip_wire.ManifestBody(
                version=version, digest=digest, document=msgspec.Raw(document)
            )
            return response(encode_json(reply))

        server = start(name, answer)
        exchange = ManifestExchange()
        exchange.manifest = ManifestService(name="a", check_floor=False)
        exchange.manifest.metrics = MetricsService()
        forgotten = []
        exchange.peers = SimpleNamespace(
            forget_version_key=forgotten.append, links_ahead=lambda key: []
        )
        connection = HttpConnection(address=server.address)
        for key in keys:
            failures = len(forgotten)
            exchange.fetch(connection, "b", key)
            assert exchange.manifest.held_version_key >= key or len(forgotten) > failures
        assert exchange.manifest.held_version_key == keys[-1]
        assert server.connection_count == 2
        connection.disconnect()


class TestPlatform:
    @pytest.mark.parametrize("name", STUTTERS)
    def test_versions_of_the_configuration_only_rise(self, start, monkeypatch, name):
        """Guards against a manifest that goes back, or a version that is never read."""
        monkeypatch.setattr(platform_module, "REFUSED_MANIFEST_DELAY_S", 0.0)
        monkeypatch.setattr(platform_module, "INITIAL_RETRY_DELAY_S", 0.01)

        def answer(head, body):
            after = int(head.split(b"after=")[1].split(b"&")[0])
            if after >= 3:
                time.sleep(0.1)
                return b"HTTP/1.1 204 No Content\r\n\r\n"
            return response(encode_json(make_document(after + 1)))

        server = start(name, answer)
        service = PlatformService(configuration_service=server.address, host_list=server.address)
        service.manifest = ManifestService(name="a", check_floor=False)
        service.manifest.metrics = MetricsService()
        service.is_reader = True
        held = []
        service.manifest.subscribe(lambda manifest: held.append(manifest.version))
        task = threading.Thread(target=service.watch_configuration)
        task.start()
        wait_until(lambda: len(server.requests) >= 6)
        service.stop()
        task.join()
        assert held == [1, 2, 3]
        assert server.connection_count >= 2

    @pytest.mark.parametrize("name", STUTTERS)
    def test_each_read_of_the_host_list_is_a_new_one(self, start, monkeypatch, name):
        """Guards against an old host list whose changes are announced as the newest ones."""
        monkeypatch.setattr(platform_module, "HOST_LIST_INTERVAL_S", 0.0)
        read = []
        monkeypatch.setattr(
            PlatformService, "apply_host_list", lambda service, listed: read.append(listed[0].name)
        )
        counter = iter(range(1, 1000))

        def answer(head, body):
            host = {"name": f"{next(counter)}", "address": "h:1", "zone": "z", "state": "live"}
            return response(json.dumps({"hosts": [host]}).encode())

        server = start(name, answer)
        service = PlatformService(configuration_service=server.address, host_list=server.address)
        service.is_reader = True
        service.manifest = SimpleNamespace(held=None)
        task = threading.Thread(target=service.read_host_list)
        task.start()
        wait_until(lambda: len(read) >= 5)
        service.stop()
        task.join()
        assert read[:5] == ["1", "2", "3", "4", "5"]
