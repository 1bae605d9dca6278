"""Exchanges with neighbouring entry hosts: membership, manifest versions and other news."""

from __future__ import annotations

import threading
import time
from concurrent.futures import ThreadPoolExecutor
from random import Random
from typing import TYPE_CHECKING, Any

from werkzeug.wrappers import Request, Response

from rhubarbway.decisions.config_readers import config_readers
from rhubarbway.decisions.membership import Membership
from rhubarbway.decisions.neighbours import FULL_MESH_HOSTS, neighbours
from rhubarbway.decisions.outbox import ROUND_LIMIT_BYTES, NewsItem, message_limit
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
from rhubarbway.services.host_survey import HostSurvey
from rhubarbway.services.log import part_logger
from rhubarbway.services.manifest import ManifestService
from rhubarbway.services.names import FRONTEND, MANIFEST, MANIFEST_EXCHANGE, PLATFORM
from rhubarbway.services.pause import PauseGate
from rhubarbway.services.peer_link import Contact, Link
from rhubarbway.services.peer_news import Items, Receive, Section, news_item

if TYPE_CHECKING:
    from rhubarbway.services.frontend import FrontendService
    from rhubarbway.services.manifest_exchange import ManifestExchange
    from rhubarbway.services.platform import PlatformService

JSON = "application/json"
MEMBERS_SECTION = "members"
ROUND_S = 1.0
# A host that starts asks again soon, since others may be starting too.
STARTING_ROUND_S = 0.25
# Rounds of all hosts must not fall together.
ROUND_JITTER = 0.1
EXCHANGE_TIMEOUT_S = 0.8
# A host that contacts this one without being its neighbour is forgotten after this time.
CONTACT_LIFETIME_S = 10.0
MAX_TASKS = 64


class PeerService:
    """Owns one task for each neighbour and the membership view."""

    __slots__ = (
        "bytes_moved",
        "contacts",
        "frontend",
        "exchanges",
        "executor",
        "fellow_hosts",
        "gate",
        "identity",
        "links",
        "lock",
        "log",
        "manifest",
        "manifest_exchange",
        "membership",
        "peers_known",
        "platform",
        "random",
        "readers",
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
        self.links: dict[str, Link] = {}
        self.contacts: dict[str, Contact] = {}
        self.peers_known: dict[str, EntryHost] = {}
        self.sections: dict[str, Section] = {}
        self.readers: list[str] = []
        self.random = Random(identity.incarnation)
        self.executor = ThreadPoolExecutor(MAX_TASKS, thread_name_prefix="peer")
        self.stopping = threading.Event()
        self.gate = PauseGate(ask_for_news=self.push)
        self.survey = HostSurvey(
            executor=self.executor,
            stopping=self.stopping,
            is_done=lambda: self.manifest.in_force is not None,
            ask=self.ask_for_version,
        )
        self.exchanges = 0
        self.bytes_moved = 0
        self.log = part_logger("peers")
        self.manifest: ManifestService
        self.manifest_exchange: ManifestExchange
        self.frontend: FrontendService
        self.platform: PlatformService

    def start(self, kernel: Kernel) -> None:
        """Register routes and start the tasks."""
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
        self.platform.subscribe_hosts(lambda host: self.apply_peers() if host.role else None)
        self.manifest.watch_held(self.apply_manifest)
        self.apply_peers()
        self.executor.submit(self.run_maintenance)

    def stop(self) -> None:
        """End all tasks."""
        self.stopping.set()
        with self.lock:
            links = list(self.links.values())
        for link in links:
            link.close()
        self.executor.shutdown(wait=True, cancel_futures=True)

    def add_section(self, name: str, *, receive: Receive, items: Items) -> None:
        """Carry another kind of news; services call this in their ``start``."""
        self.sections[name] = Section(receive=receive, items=items)

    def apply_manifest(self, manifest: Manifest) -> None:
        """Follow the published entry hosts and tell the neighbours about the version at once."""
        self.apply_peers(manifest)
        self.push()

    def apply_peers(self, manifest: Manifest | None = None) -> None:
        """Open links to new neighbours and close those of hosts that are no longer neighbours.

        Without a manifest the peers are those of the settings and of the host list. An address in
        the settings takes precedence over the published one.
        """
        held = manifest or self.manifest.held
        if held is not None:
            known = {host.name: self.fellow_hosts.get(host.name, host) for host in held.entry_hosts}
        else:
            known = {
                host.name: EntryHost(name=host.name, address=host.address, zone=host.zone)
                for host in self.platform.listed_entry_hosts()
            } | self.fellow_hosts
        # Sorting thousands of names for each manifest version would take more than the budget.
        same_names = known.keys() == self.peers_known.keys()
        chosen = self.links.keys() if same_names else neighbours(self.identity.name, known)
        opened: list[Link] = []
        with self.lock:
            self.peers_known = known
            chosen = list(chosen)
            self.membership.publish(known.keys(), neighbours=chosen)
            closed = [
                self.links.pop(name)
                for name, link in list(self.links.items())
                if name not in chosen or known[name].address != link.address
            ]
            for name in chosen:
                if name not in self.links and not self.stopping.is_set():
                    contact = self.contacts.setdefault(name, Contact(name=name))
                    link = Link(name=name, address=known[name].address, contact=contact)
                    self.links[name] = link
                    opened.append(link)
        for link in closed:
            link.close()
        for link in opened:
            self.executor.submit(self.keep_exchanging, link)

    def push(self) -> None:
        """Start an exchange with each neighbour at once."""
        with self.lock:
            links = list(self.links.values())
        for link in links:
            link.wake()

    def spread(self, section: str, key: str, value: Any, *, push: bool = False) -> None:
        """Pass news on to all contacts; ``push`` does not wait for the next round."""
        self.put_news(section, key, value, heard_from="")
        if push:
            self.push()

    def put_news(self, section: str, key: str, value: Any, *, heard_from: str) -> None:
        """Add news to the outbox of each contact but the one it came from."""
        item = news_item(section, key, value)
        if item.size > ROUND_LIMIT_BYTES // FULL_MESH_HOSTS:
            self.log.warning("News too long for gossip.", section=section, key=key, size=item.size)
            return
        with self.lock:
            for contact in self.contacts.values():
                if contact.name != heard_from:
                    contact.outbox.put(item)

    def put_record(self, record: MemberRecord | None, *, heard_from: str = "") -> None:
        """Pass a record on; None stands for nothing new."""
        if record is not None:
            value = gossip_wire.record_to_body(record)
            # A host that is told of an older state of itself has to hear the newer one.
            known_there = heard_from if record.state is MemberState.ALIVE else ""
            self.put_news(MEMBERS_SECTION, record.name, value, heard_from=known_there)

    def keep_exchanging(self, link: Link) -> None:
        """Exchange messages with one neighbour until the link is closed."""
        while link.wait_until_due():
            if link.fetch:
                link.fetch = False
                self.manifest_exchange.fetch(link.connection, link.name, link.contact.order)
            else:
                # The reply or a message of the neighbour postpones the next round.
                link.postpone(self.round_s())
                self.exchange(link)
        link.connection.close()

    def round_s(self) -> float:
        """Return the time until the next round with a neighbour, seconds."""
        return ROUND_S * (1 + self.random.uniform(-ROUND_JITTER, ROUND_JITTER))

    def exchange(self, link: Link) -> None:
        """Send one message and take in the reply, or count a missed round."""
        asked_at = time.monotonic()
        body, items = self.message_to(link.contact, resync=link.failed)
        try:
            reply = self.call_again(link, encode_json(body))
            if reply.status != 200:
                raise MessageError(f"status {reply.status}")
            message = gossip_wire.gossip_from_json(reply.body)
        except (CallError, MessageError) as error:
            with self.lock:
                link.contact.outbox.restore(items)
                suspicion = self.membership.miss(link.name, now=time.monotonic())
            link.failed = True
            if self.manifest.in_force is None:
                link.postpone(STARTING_ROUND_S)
            if suspicion is not None:
                self.log.warning("Suspects an entry host.", host=link.name, error=str(error))
                self.put_record(suspicion)
                self.assign_readers()
            return
        link.failed = False
        self.take_in(message)
        self.gate.open(asked_at)

    def call_again(self, link: Link, body: bytes) -> Reply:
        """Send a message, and once more if the server had closed the kept-open connection."""
        connection = link.connection
        was_open = connection.is_open
        started = time.monotonic()
        try:
            reply = self.send_gossip(connection, body)
        except CallError as error:
            if not was_open or error.timed_out or link.closed:
                raise
            if time.monotonic() - started > EXCHANGE_TIMEOUT_S / 2:
                raise
            reply = self.send_gossip(connection, body)
        self.exchanges += 1
        self.bytes_moved += len(body) + len(reply.body)
        return reply

    def send_gossip(self, connection: HttpConnection, body: bytes) -> Reply:
        """Send one gossip message."""
        return connection.call("POST", "/v1/peer/gossip", body, timeout_s=EXCHANGE_TIMEOUT_S)

    def message_to(
        self, contact: Contact, *, resync: bool
    ) -> tuple[gossip_wire.GossipBody, list[NewsItem]]:
        """Return the next message to another host and the news in it."""
        with self.lock:
            body = gossip_wire.GossipBody(
                sender=gossip_wire.record_to_body(self.membership.own),
                held=self.manifest.known_order,
                confirmed=self.manifest.in_force is not None,
                resync=resync,
            )
            limit = message_limit(len(self.links)) - len(encode_json(body))
            items = contact.outbox.take(limit=limit)
        body.news = [
            gossip_wire.UpdateBody(section=item.section, key=item.key, value=item.value)
            for item in items
        ]
        return body, items

    def take_in(self, message: gossip_wire.GossipBody) -> Contact:
        """Take in a message of another entry host."""
        sender = gossip_wire.record_from_body(message.sender)
        order = message.held
        now = time.monotonic()
        self.manifest.hear(
            sender.name,
            VersionReport(version_key=order, confirmed=message.confirmed, received_at=now),
        )
        with self.lock:
            contact = self.contacts.setdefault(sender.name, Contact(name=sender.name))
            is_new = contact.incarnation != sender.incarnation
            contact.incarnation = sender.incarnation
            contact.heard_at = now
            contact.order = order
            was = self.membership.records.get(sender.name)
            record = self.membership.hear(sender, now=now, wall_ms=int(time.time() * 1000))
            link = self.links.get(sender.name)
        if is_new or message.resync:
            self.refill(contact)
        self.put_record(record, heard_from=sender.name)
        changed = record is not None or was is None
        for news in message.news:
            changed = self.take_in_news(news, sender.name) or changed
        if link is not None:
            link.postpone(self.round_s())
        if order > self.manifest.held_order:
            self.request_manifest(sender.name, order, link)
        if changed:
            self.assign_readers()
        self.manifest.apply_held(source="start")
        return contact

    def take_in_news(self, news: gossip_wire.UpdateBody, sender: str) -> bool:
        """Take in one piece of news and pass it on; return whether it concerns membership."""
        section = self.sections.get(news.section)
        if section is None:
            return False
        try:
            is_news = section.receive(news.value)
        except MessageError as error:
            self.log.warning("Refused news.", section=news.section, host=sender, error=str(error))
            return False
        if is_news:
            self.put_news(news.section, news.key, news.value, heard_from=sender)
        return news.section == MEMBERS_SECTION

    def refill(self, contact: Contact) -> None:
        """Queue all news for a host that has no view, or may have lost a message."""
        items = [
            news_item(name, key, value)
            for name, section in self.sections.items()
            for key, value in section.items()
        ]
        with self.lock:
            for item in items:
                contact.outbox.put(item)

    def receive_record(self, value: Any) -> bool:
        """Take in a record that another host passes on; return whether it is passed on as it is."""
        record = gossip_wire.record_from_value(value)
        with self.lock:
            news = self.membership.merge(
                record, now=time.monotonic(), wall_ms=int(time.time() * 1000)
            )
        if news is not None and news is not record:
            self.put_record(news)
        return news is record

    def member_items(self) -> list[tuple[str, Any]]:
        """Return the records that a host without a view has to hear."""
        with self.lock:
            records = self.membership.noteworthy()
        return [(record.name, gossip_wire.record_to_body(record)) for record in records]

    def request_manifest(self, name: str, order: tuple[int, str], link: Link | None) -> None:
        """Fetch the manifest of a host in the task of its link, or in one of its own."""
        if link is not None:
            link.wake(fetch=True)
            return
        host = self.peers_known.get(name)
        if host is not None and not self.stopping.is_set():
            self.executor.submit(self.manifest_exchange.fetch_once, host, order)

    def forget_order(self, name: str) -> None:
        """Do not ask a host for its manifest again before its next message."""
        contact = self.contacts.get(name)
        if contact is not None:
            contact.order = (0, "")

    def links_ahead(self, order: tuple[int, str]) -> list[Link]:
        """Return the links to neighbours that hold a greater version."""
        with self.lock:
            return [link for link in self.links.values() if link.contact.order > order]

    def run_maintenance(self) -> None:
        """Once a round: heartbeat, ageing of suspicions, choice of readers, version floor."""
        while not self.stopping.wait(ROUND_S):
            now = time.monotonic()
            self.gate.tick(now)
            with self.lock:
                self.forget_contacts(now)
                news = self.membership.beat(
                    leaving=self.frontend.leaving.is_set(), blind=self.platform.blind
                )
                own = self.membership.own
                dead = self.membership.age(now=now)
            for record in dead:
                self.log.warning("Entry host is dead.", host=record.name)
                self.put_record(record)
            if news:
                self.put_record(own)
            self.assign_readers()
            self.manifest.apply_held(source="start")
            if self.manifest.in_force is None:
                self.begin_survey()

    def forget_contacts(self, now: float) -> None:
        """Drop the outboxes of hosts that are no neighbours and no longer call."""
        for name, contact in list(self.contacts.items()):
            if name not in self.links and now - contact.heard_at > CONTACT_LIFETIME_S:
                del self.contacts[name]

    def assign_readers(self) -> None:
        """Choose the configuration readers from the present view."""
        with self.lock:
            alive = self.membership.alive()
            hosts = [host for name, host in self.peers_known.items() if name in alive]
            blind = self.membership.blind()
        own = EntryHost(
            name=self.identity.name, address=self.identity.address, zone=self.identity.zone
        )
        self.readers = config_readers(hosts or [own], blind=blind)
        self.platform.set_reader(self.identity.name in self.readers)

    def begin_survey(self) -> None:
        """Ask all published hosts of a large fleet for their version while this host starts."""
        if self.survey.is_running:
            return
        with self.lock:
            if len(self.peers_known) <= FULL_MESH_HOSTS:
                return
            reports = self.manifest.floor.reports
            left = [
                host
                for name, host in self.peers_known.items()
                if name not in self.links
                and name != self.identity.name
                and not (name in reports and reports[name].confirmed)
            ]
        self.random.shuffle(left)
        self.survey.begin(left)

    def ask_for_version(self, host: EntryHost) -> bool:
        """Exchange one message with a host; return whether its version is confirmed."""
        connection = HttpConnection(address=host.address)
        body, _ = self.message_to(Contact(name=host.name), resync=False)
        body.survey = True
        try:
            reply = self.send_gossip(connection, encode_json(body))
            if reply.status != 200:
                return False
            message = gossip_wire.gossip_from_json(reply.body)
        except (CallError, MessageError) as error:
            self.log.debug("No version heard.", host=host.name, error=str(error))
            return False
        finally:
            connection.close()
        self.hear_version(message)
        return message.confirmed

    def hear_version(self, message: gossip_wire.GossipBody) -> None:
        """Take in only the version that another entry host reports."""
        order = message.held
        name = message.sender.name
        self.manifest.hear(
            name,
            VersionReport(
                version_key=order, confirmed=message.confirmed, received_at=time.monotonic()
            ),
        )
        if order > self.manifest.held_order:
            self.request_manifest(name, order, self.links.get(name))
        self.manifest.apply_held(source="start")

    def answer_gossip(self, request: Request) -> Response:
        """Take in a message of another entry host and reply with one."""
        data = request.get_data()
        try:
            message = gossip_wire.gossip_from_json(data)
            if message.survey:
                self.hear_version(message)
                contact = Contact(name=message.sender.name)
            else:
                contact = self.take_in(message)
        except MessageError as error:
            return self.frontend.respond_to_bad_request(400, str(error))
        body, _ = self.message_to(contact, resync=False)
        reply = encode_json(body)
        self.exchanges += 1
        self.bytes_moved += len(data) + len(reply)
        return Response(reply, content_type=JSON)

    def answer_view(self, request: Request) -> Response:
        """Return the membership view, for operators."""
        with self.lock:
            members = {name: record.state.value for name, record in self.membership.records.items()}
        body = {
            "name": self.identity.name,
            "readers": self.readers,
            "is_reader": self.platform.is_reader,
            "members": members,
            "held": self.manifest.known_order,
            "confirmed": self.manifest.in_force is not None,
            "exchanges": self.exchanges,
            "bytes": self.bytes_moved + self.manifest_exchange.bytes_moved,
            "leaving": sorted(self.platform.leaving_hosts()),
        }
        return Response(encode_json(body), content_type=JSON)
