"""Gossip between neighbouring entry hosts: membership, manifest versions and other updates."""

from __future__ import annotations

import itertools
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from random import Random
from typing import TYPE_CHECKING, Any

from werkzeug.wrappers import Request, Response

from rhubarbway.decisions.config_readers import select_readers
from rhubarbway.decisions.membership import Membership
from rhubarbway.decisions.neighbours import MAX_FULL_MESH_HOSTS, select_neighbours
from rhubarbway.decisions.outbox import ROUND_LIMIT_BYTES, GossipUpdate, message_limit_bytes
from rhubarbway.edge import gossip_wire
from rhubarbway.edge.http_client import CallError, HttpConnection, Reply
from rhubarbway.edge.json_codec import encode_json
from rhubarbway.edge.wire import MessageError
from rhubarbway.kernel import Kernel
from rhubarbway.model import (
    EntryHost,
    HostIdentity,
    Manifest,
    MemberRecord,
    MemberState,
    VersionReport,
)
from rhubarbway.services.gossip_section import GossipSection, ListItems, ReceiveUpdate, make_update
from rhubarbway.services.host_survey import HostSurvey
from rhubarbway.services.log import component_logger
from rhubarbway.services.manifest import ManifestService
from rhubarbway.services.names import FRONTEND, MANIFEST, MANIFEST_EXCHANGE, PLATFORM
from rhubarbway.services.pause_gate import PauseGate
from rhubarbway.services.peer_link import GossipPeer, PeerLink
from rhubarbway.services.unexpected_data import ReportUnexpectedData, ignore_report

if TYPE_CHECKING:
    from rhubarbway.services.frontend import FrontendService
    from rhubarbway.services.manifest_exchange import ManifestExchange
    from rhubarbway.services.platform import PlatformService

JSON_CONTENT_TYPE = "application/json"
MEMBERS_SECTION = "members"
ROUND_INTERVAL_S = 1.0
# A starting host retries sooner, since its neighbours may be starting too.
STARTUP_ROUND_INTERVAL_S = 0.25
# Largest random deviation of the interval, as a fraction. Without it the rounds of all hosts could
# synchronise.
ROUND_JITTER = 0.1
EXCHANGE_TIMEOUT_S = 0.8
# A host that is no neighbour is forgotten after this time without a message from it.
PEER_LIFETIME_S = 10.0
# Tasks of the links, manifest fetches, the survey and the maintenance.
MAX_TASKS = 64


class PeerService:
    """Holds the membership view and runs one task for each neighbour."""

    __slots__ = (
        "bytes_transferred",
        "exchange_count",
        "exchange_numbers",
        "executor",
        "fellow_hosts",
        "frontend",
        "gossip_peers",
        "identity",
        "known_hosts",
        "links",
        "lock",
        "log",
        "manifest",
        "manifest_exchange",
        "membership",
        "pause_gate",
        "platform",
        "random",
        "readers",
        "report_unexpected_data",
        "sections",
        "stopping",
        "survey",
    )

    def __init__(self, *, identity: HostIdentity, fellow_hosts: list[EntryHost]) -> None:
        self.identity = identity
        self.fellow_hosts = {host.name: host for host in fellow_hosts}
        own = MemberRecord(
            name=identity.name,
            incarnation=identity.incarnation,
            started_ms=int(identity.started_at * 1000),
            heartbeat=0,
            state=MemberState.ALIVE,
        )
        self.membership = Membership(own=own)
        self.lock = threading.Lock()
        self.links: dict[str, PeerLink] = {}
        self.gossip_peers: dict[str, GossipPeer] = {}
        self.known_hosts: dict[str, EntryHost] = {}
        self.sections: dict[str, GossipSection] = {}
        self.readers: list[str] = []
        self.report_unexpected_data: ReportUnexpectedData = ignore_report
        self.random = Random(identity.incarnation)
        self.executor = ThreadPoolExecutor(MAX_TASKS, thread_name_prefix="peer")
        self.stopping = threading.Event()
        self.pause_gate = PauseGate(request_gossip=self.exchange_now)
        self.survey = HostSurvey(
            executor=self.executor,
            stopping=self.stopping,
            is_done=lambda: self.manifest.in_force is not None,
            query_host=self.request_version,
        )
        self.exchange_count = 0
        # Numbers of the exchanges that this host starts.
        self.exchange_numbers = itertools.count(1)
        self.bytes_transferred = 0
        self.log = component_logger("peers")
        self.manifest: ManifestService
        self.manifest_exchange: ManifestExchange
        self.frontend: FrontendService
        self.platform: PlatformService

    def start(self, kernel: Kernel) -> None:
        """Register the routes and start the tasks."""
        self.manifest = kernel.find(MANIFEST)
        self.frontend = kernel.find(FRONTEND)
        self.platform = kernel.find(PLATFORM)
        self.manifest_exchange = kernel.find(MANIFEST_EXCHANGE)
        self.add_section(
            "hosts", receive=self.platform.receive_host, items=self.platform.host_items
        )
        self.add_section(MEMBERS_SECTION, receive=self.receive_record, items=self.member_items)
        self.frontend.add_route("POST", "/v1/peer/gossip", self.answer_gossip)
        self.frontend.add_route("GET", "/v1/peer/view", self.answer_view)
        # Only entry hosts have a role in the host list.
        self.platform.subscribe_hosts(lambda host: self.update_links() if host.role else None)
        self.manifest.subscribe_held(self.handle_held_manifest)
        self.update_links()
        self.executor.submit(self.run_maintenance)

    def stop(self) -> None:
        """End all tasks."""
        self.stopping.set()
        with self.lock:
            links = list(self.links.values())
        for link in links:
            link.close()
        self.executor.shutdown(wait=True, cancel_futures=True)

    def add_section(self, name: str, *, receive: ReceiveUpdate, items: ListItems) -> None:
        """Add a kind of update to the gossip; to be called while services start."""
        self.sections[name] = GossipSection(receive=receive, items=items)

    def handle_held_manifest(self, manifest: Manifest) -> None:
        """Update the links to the published entry hosts and announce the version at once."""
        self.update_links(manifest)
        self.exchange_now()

    def update_links(self, manifest: Manifest | None = None) -> None:
        """Open links to new neighbours and close links to hosts that are neighbours no longer.

        The known hosts are the published ones, or without a manifest those of the settings and of
        the host list. An address in the settings takes precedence over a published or listed one.
        """
        held = manifest or self.manifest.held
        if held is not None:
            known = {host.name: self.fellow_hosts.get(host.name, host) for host in held.entry_hosts}
        else:
            known = {
                host.name: EntryHost(name=host.name, address=host.address, zone=host.zone)
                for host in self.platform.listed_entry_hosts()
            } | self.fellow_hosts
        # Choosing neighbours sorts all names. With thousands of hosts this would exceed the CPU
        # budget if done for each manifest version.
        same_names = known.keys() == self.known_hosts.keys()
        chosen = self.links.keys() if same_names else select_neighbours(self.identity.name, known)
        opened: list[PeerLink] = []
        with self.lock:
            self.known_hosts = known
            chosen = list(chosen)
            self.membership.set_published(known.keys(), neighbours=chosen)
            closed = [
                self.links.pop(name)
                for name, link in list(self.links.items())
                if name not in chosen or known[name].address != link.address
            ]
            for name in chosen:
                if name not in self.links and not self.stopping.is_set():
                    peer = self.gossip_peers.setdefault(name, GossipPeer(name=name))
                    link = PeerLink(
                        name=name,
                        address=known[name].address,
                        peer=peer,
                        on_unexpected_data=partial(self.report_unexpected_data, "host"),
                    )
                    self.links[name] = link
                    opened.append(link)
        for link in closed:
            link.close()
        for link in opened:
            self.executor.submit(self.run_link, link)

    def exchange_now(self) -> None:
        """Start an exchange with each neighbour without waiting for the next round."""
        with self.lock:
            links = list(self.links.values())
        for link in links:
            link.wake()

    def publish(self, section: str, key: str, value: Any, *, immediately: bool = False) -> None:
        """Send an update to all gossip peers, with the next round or ``immediately``."""
        self.propagate(section, key, value, received_from="")
        if immediately:
            self.exchange_now()

    def propagate(self, section: str, key: str, value: Any, *, received_from: str) -> None:
        """Queue an update for each gossip peer except the one it was received from."""
        update = make_update(section, key, value)
        if update.size > ROUND_LIMIT_BYTES // MAX_FULL_MESH_HOSTS:
            self.log.warning(
                "Gossip update exceeds the size limit.", section=section, key=key, size=update.size
            )
            return
        with self.lock:
            for peer in self.gossip_peers.values():
                if peer.name != received_from:
                    peer.outbox.add(update)

    def propagate_record(self, record: MemberRecord | None, *, received_from: str = "") -> None:
        """Queue a membership record for the gossip peers; None is ignored."""
        if record is not None:
            value = gossip_wire.record_to_body(record)
            # A host whose own statement is older than a record of its failure must receive that
            # record, so that it can refute it.
            known_by = received_from if record.state is MemberState.ALIVE else ""
            self.propagate(MEMBERS_SECTION, record.name, value, received_from=known_by)

    def run_link(self, link: PeerLink) -> None:
        """Task: exchange messages with one neighbour until the link is closed."""
        while link.wait_until_due():
            if link.fetch_requested:
                link.fetch_requested = False
                self.manifest_exchange.fetch(link.connection, link.name, link.peer.version_key)
            else:
                # A reply or message from the neighbour postpones the next round again.
                link.schedule_next_round(self.next_round_delay_s())
                self.exchange(link)
        link.connection.close()

    def next_round_delay_s(self) -> float:
        """Return the delay until the next round with a neighbour, with jitter, seconds."""
        return ROUND_INTERVAL_S * (1 + self.random.uniform(-ROUND_JITTER, ROUND_JITTER))

    def exchange(self, link: PeerLink) -> None:
        """Send one message and apply the reply, or record the failed exchange."""
        requested_at = time.monotonic()
        number = next(self.exchange_numbers)
        body, updates = self.build_message(
            link.peer, resync=link.last_exchange_failed, exchange=number
        )
        try:
            reply = self.send_with_reconnect(link, encode_json(body))
            if reply.status != 200:
                raise MessageError(f"HTTP status {reply.status} instead of 200")
            message = gossip_wire.gossip_from_json(reply.body)
            if message.exchange not in (number, 0):
                raise MessageError(f"reply to exchange {message.exchange}, not {number}")
        except (CallError, MessageError) as error:
            # A wrong reply may belong to an earlier request, and the one to this may follow.
            link.connection.disconnect()
            with self.lock:
                link.peer.outbox.restore(updates)
                suspect_record = self.membership.record_failed_exchange(
                    link.name, now=time.monotonic()
                )
            link.last_exchange_failed = True
            if self.manifest.in_force is None:
                link.schedule_next_round(STARTUP_ROUND_INTERVAL_S)
            if suspect_record is not None:
                self.log.warning(
                    "Entry host suspected after failed exchanges.", host=link.name, error=str(error)
                )
                self.propagate_record(suspect_record)
                self.choose_readers()
            return
        link.last_exchange_failed = False
        self.apply_message(message)
        self.pause_gate.open(requested_at)

    def send_with_reconnect(self, link: PeerLink, body: bytes) -> Reply:
        """Send a message, and retry once if the reused connection turns out to be closed."""
        connection = link.connection
        was_open = connection.is_open
        started_at = time.monotonic()
        try:
            reply = self.send_gossip(connection, body)
        except CallError as error:
            if not was_open or error.timed_out or link.closed:
                raise
            if time.monotonic() - started_at > EXCHANGE_TIMEOUT_S / 2:
                raise
            reply = self.send_gossip(connection, body)
        self.exchange_count += 1
        self.bytes_transferred += len(body) + len(reply.body)
        return reply

    def send_gossip(self, connection: HttpConnection, body: bytes) -> Reply:
        """Send one gossip message and return the reply, whatever its status.

        Raises
        ------
        CallError
            If no complete reply arrived within ``EXCHANGE_TIMEOUT_S``.
        """
        return connection.call("POST", "/v1/peer/gossip", body, timeout_s=EXCHANGE_TIMEOUT_S)

    def build_message(
        self, peer: GossipPeer, *, resync: bool, exchange: int = 0
    ) -> tuple[gossip_wire.GossipBody, list[GossipUpdate]]:
        """Return the next message to a gossip peer and the updates in it."""
        with self.lock:
            body = gossip_wire.GossipBody(
                sender=gossip_wire.record_to_body(self.membership.own),
                # While starting, possibly a version that another host reported and this one does
                # not hold yet (see ``ManifestService``).
                held=self.manifest.known_version_key,
                confirmed=self.manifest.in_force is not None,
                resync=resync,
                exchange=exchange,
            )
            limit = message_limit_bytes(len(self.links)) - len(encode_json(body))
            updates = peer.outbox.take_batch(max_bytes=limit)
        body.news = [
            gossip_wire.UpdateBody(section=item.section, key=item.key, value=item.value)
            for item in updates
        ]
        return body, updates

    def apply_message(self, message: gossip_wire.GossipBody) -> GossipPeer:
        """Merge a message of another entry host and propagate what was new.

        Returns the ``GossipPeer`` that is kept for the sender.
        """
        sender = gossip_wire.record_from_body(message.sender)
        version_key = message.held
        now = time.monotonic()
        self.manifest.record_report(
            sender.name,
            VersionReport(version_key=version_key, confirmed=message.confirmed, received_at=now),
        )
        with self.lock:
            peer = self.gossip_peers.setdefault(sender.name, GossipPeer(name=sender.name))
            is_new_incarnation = peer.incarnation != sender.incarnation
            peer.incarnation = sender.incarnation
            peer.received_at = now
            peer.version_key = version_key
            previous = self.membership.records.get(sender.name)
            record = self.membership.merge_direct(sender, now=now, wall_ms=int(time.time() * 1000))
            link = self.links.get(sender.name)
        if is_new_incarnation or message.resync:
            self.queue_all_updates(peer)
        self.propagate_record(record, received_from=sender.name)
        may_change_membership = record is not None or previous is None
        for update in message.news:
            may_change_membership = self.apply_update(update, sender.name) or may_change_membership
        if link is not None:
            link.schedule_next_round(self.next_round_delay_s())
        if version_key > self.manifest.held_version_key:
            self.request_manifest(sender.name, version_key, link)
        if may_change_membership:
            self.choose_readers()
        self.manifest.apply_held(source="start")
        return peer

    def apply_update(self, update: gossip_wire.UpdateBody, sender: str) -> bool:
        """Merge one update and propagate it if new; return whether it concerns membership."""
        section = self.sections.get(update.section)
        if section is None:
            return False
        try:
            is_new = section.receive(update.value)
        except MessageError as error:
            self.log.warning(
                "Malformed gossip update refused.",
                section=update.section,
                host=sender,
                error=str(error),
            )
            return False
        if is_new:
            self.propagate(update.section, update.key, update.value, received_from=sender)
        return update.section == MEMBERS_SECTION

    def queue_all_updates(self, peer: GossipPeer) -> None:
        """Queue all updates for a host that has started or may have missed a message."""
        updates = [
            make_update(name, key, value)
            for name, section in self.sections.items()
            for key, value in section.items()
        ]
        with self.lock:
            for item in updates:
                peer.outbox.add(item)

    def receive_record(self, value: Any) -> bool:
        """Merge a relayed membership record; return whether to propagate it unchanged."""
        record = gossip_wire.record_from_value(value)
        with self.lock:
            propagated = self.membership.merge(
                record, now=time.monotonic(), wall_ms=int(time.time() * 1000)
            )
        if propagated is not None and propagated is not record:
            self.propagate_record(propagated)
        return propagated is record

    def member_items(self) -> list[tuple[str, Any]]:
        """Return the membership records that a host without a view needs."""
        with self.lock:
            records = self.membership.non_default_records()
        return [(record.name, gossip_wire.record_to_body(record)) for record in records]

    def request_manifest(
        self, name: str, version_key: tuple[int, str], link: PeerLink | None
    ) -> None:
        """Fetch the manifest of a host, in the task of its link or else in a new task."""
        if link is not None:
            link.wake(fetch=True)
            return
        host = self.known_hosts.get(name)
        if host is not None and not self.stopping.is_set():
            self.executor.submit(self.manifest_exchange.fetch_from_host, host, version_key)

    def forget_version_key(self, name: str) -> None:
        """Forget a host's version, so that its manifest is not requested until its next message."""
        peer = self.gossip_peers.get(name)
        if peer is not None:
            peer.version_key = (0, "")

    def links_ahead(self, version_key: tuple[int, str]) -> list[PeerLink]:
        """Return the links to neighbours that hold a version greater than ``version_key``."""
        with self.lock:
            return [link for link in self.links.values() if link.peer.version_key > version_key]

    def run_maintenance(self) -> None:
        """Task: once a round, increment the heartbeat, update the membership, choose the readers.

        The update declares overdue suspects dead and drops silent peers. While no manifest is in
        force, also check the version floor and survey the fleet.
        """
        while not self.stopping.wait(ROUND_INTERVAL_S):
            now = time.monotonic()
            self.pause_gate.tick(now)
            with self.lock:
                self.drop_stale_peers(now)
                own_changed = self.membership.advance_heartbeat(
                    leaving=self.frontend.leaving.is_set(), blind=self.platform.blind
                )
                own = self.membership.own
                dead = self.membership.expire_suspects(now=now)
            for record in dead:
                self.log.warning("Entry host declared dead.", host=record.name)
                self.propagate_record(record)
            if own_changed:
                self.propagate_record(own)
            self.choose_readers()
            self.manifest.apply_held(source="start")
            if self.manifest.in_force is None:
                self.start_survey()

    def drop_stale_peers(self, now: float) -> None:
        """Drop silent hosts that are no neighbours; the caller holds the lock."""
        for name, peer in list(self.gossip_peers.items()):
            if name not in self.links and now - peer.received_at > PEER_LIFETIME_S:
                del self.gossip_peers[name]

    def choose_readers(self) -> None:
        """Choose the configuration readers from the membership view."""
        with self.lock:
            alive = self.membership.alive()
            hosts = [host for name, host in self.known_hosts.items() if name in alive]
            blind = self.membership.blind_hosts()
        own = EntryHost(
            name=self.identity.name, address=self.identity.address, zone=self.identity.zone
        )
        self.readers = select_readers(hosts or [own], blind=blind)
        self.platform.set_reader(self.identity.name in self.readers)

    def start_survey(self) -> None:
        """Survey the hosts of a large fleet whose version is not confirmed yet.

        In a small fleet all hosts are neighbours, whose messages contain the version.
        """
        if self.survey.is_running:
            return
        with self.lock:
            if len(self.known_hosts) <= MAX_FULL_MESH_HOSTS:
                return
            reports = self.manifest.floor.reports
            unconfirmed = [
                host
                for name, host in self.known_hosts.items()
                if name not in self.links
                and name != self.identity.name
                and not (name in reports and reports[name].confirmed)
            ]
        self.random.shuffle(unconfirmed)
        self.survey.start(unconfirmed)

    def request_version(self, host: EntryHost) -> bool:
        """Request a host's manifest version; return whether that host has confirmed it."""
        connection = HttpConnection(address=host.address)
        body, _ = self.build_message(GossipPeer(name=host.name), resync=False)
        body.survey = True
        try:
            reply = self.send_gossip(connection, encode_json(body))
            if reply.status != 200:
                return False
            message = gossip_wire.gossip_from_json(reply.body)
        except (CallError, MessageError) as error:
            self.log.debug("Version request failed.", host=host.name, error=str(error))
            return False
        finally:
            connection.close()
        self.apply_reported_version(message)
        return message.confirmed

    def apply_reported_version(self, message: gossip_wire.GossipBody) -> None:
        """Apply only the manifest version of a message, not its membership or updates."""
        version_key = message.held
        name = message.sender.name
        self.manifest.record_report(
            name,
            VersionReport(
                version_key=version_key, confirmed=message.confirmed, received_at=time.monotonic()
            ),
        )
        if version_key > self.manifest.held_version_key:
            self.request_manifest(name, version_key, self.links.get(name))
        self.manifest.apply_held(source="start")

    def answer_gossip(self, request: Request) -> Response:
        """Apply a gossip message of another entry host and reply with one."""
        data = request.get_data()
        try:
            message = gossip_wire.gossip_from_json(data)
            if message.survey:
                self.apply_reported_version(message)
                peer = GossipPeer(name=message.sender.name)
            else:
                peer = self.apply_message(message)
        except MessageError as error:
            return self.frontend.respond_to_bad_request(400, str(error))
        body, _ = self.build_message(peer, resync=False, exchange=message.exchange)
        reply = encode_json(body)
        self.exchange_count += 1
        self.bytes_transferred += len(data) + len(reply)
        return Response(reply, content_type=JSON_CONTENT_TYPE)

    def answer_view(self, request: Request) -> Response:
        """Return the membership view, for operators."""
        with self.lock:
            members = {name: record.state.value for name, record in self.membership.records.items()}
        body = {
            "name": self.identity.name,
            "readers": self.readers,
            "is_reader": self.platform.is_reader,
            "members": members,
            "held": self.manifest.known_version_key,
            "confirmed": self.manifest.in_force is not None,
            "exchanges": self.exchange_count,
            "bytes": self.bytes_transferred + self.manifest_exchange.bytes_transferred,
            "leaving": sorted(self.platform.leaving_hosts()),
        }
        return Response(encode_json(body), content_type=JSON_CONTENT_TYPE)
