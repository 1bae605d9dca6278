"""Entry hosts that follow each other: the copy of the store, and who is there."""

from __future__ import annotations

import secrets
import threading
import time
from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor
from random import Random

from werkzeug.wrappers import Request, Response

from rhubarbway.decisions.fleet_view import FleetMember, FleetView
from rhubarbway.edge import feed_wire
from rhubarbway.edge.addresses import parse_address
from rhubarbway.edge.http_client import CallError, HttpConnection
from rhubarbway.edge.http_server import HttpServer
from rhubarbway.kernel import Kernel
from rhubarbway.services.log import part_logger
from rhubarbway.services.losses import LossService
from rhubarbway.services.names import LOSSES, REGISTRY, SERVERS
from rhubarbway.services.registry import RegistryService
from rhubarbway.services.servers import ServerService

# Longest wait of a follower for the next change, seconds. It is also how often hosts hear of each
# other.
FEED_WAIT_S = 1.0
# Time limit of one exchange beyond that wait, seconds.
FEED_MARGIN_S = 0.5
CONNECT_TIMEOUT_S = 0.4
# A follower hears of all other hosts this often, seconds: the list is most of what a reply holds.
MEMBERS_INTERVAL_S = 1.8
# A host that follows others still asks a seed this often, seconds. Hosts that start together and
# know only a part of the fleet may follow each other in a circle that nobody else reaches.
REJOIN_INTERVAL_S = 5.0
# Pause after a failed exchange, and while there is nobody to follow, seconds.
PAUSE_S = 0.3
# Hosts that each host follows.
FOLLOWED = 2
# A host of a system that starts for the first time asks its seeds for this long before it reads the
# store itself, seconds; less if they refuse. No caller waits for it yet.
START_WAIT_S = 0.7
START_FAILURES = 2
# A host that starts again, when callers wait, has its copy from another host within milliseconds,
# or reads the store after this time, seconds. Hosts that start together spread by half of it.
RESTART_WAIT_S = 0.1
MAX_FOLLOWERS = 64


class FleetService:
    """Follows up to two hosts, one task for each, and answers the hosts that follow this one."""

    __slots__ = (
        "executor",
        "failures",
        "listen",
        "listeners",
        "lock",
        "log",
        "losses",
        "read_at",
        "registry",
        "seeds",
        "server",
        "servers",
        "stopping",
        "told_above_at",
        "told_at",
        "view",
    )

    def __init__(
        self, *, listen: str, zone: str, seeds: list[str], is_first_start: bool = False
    ) -> None:
        self.listen = listen
        self.seeds: list[str] = []
        now = time.monotonic()
        own = FleetMember(address=listen, zone=zone, incarnation=secrets.token_hex(8), heard_at=now)
        self.view = FleetView(own=own)
        spread = 0.5 + Random().random()
        self.read_at = now + (START_WAIT_S if is_first_start else RESTART_WAIT_S * spread)
        # When each follower was told of the other hosts, and how many there were.
        self.told_at: dict[str, tuple[float, int]] = {}
        # When each followed host was told of the hosts below this one.
        self.told_above_at: dict[str, float] = {}
        # Exchanges that failed.
        self.failures = 0
        self.listeners: list[Callable[[int], None]] = []
        self.lock = threading.Lock()
        self.stopping = threading.Event()
        self.executor = ThreadPoolExecutor(FOLLOWED, thread_name_prefix="fleet")
        self.log = part_logger("fleet")
        self.losses: LossService
        self.registry: RegistryService
        self.servers: ServerService
        self.server: HttpServer
        self.set_seeds(seeds)

    def set_seeds(self, seeds: Iterable[str]) -> None:
        """Take over the hosts to ask while nobody else is known."""
        self.seeds = [seed for seed in seeds if seed != self.listen]

    def start(self, kernel: Kernel) -> None:
        """Listen for followers, and start to follow."""
        self.losses = kernel.find(LOSSES)
        self.registry = kernel.find(REGISTRY)
        self.servers = kernel.find(SERVERS)
        self.server = HttpServer(
            address=parse_address(self.listen),
            handler=self.respond,
            error_handler=lambda status, detail: Response(detail, status=status),
            max_connections=MAX_FOLLOWERS,
            name="followers",
        )
        self.server.start()
        for slot in range(FOLLOWED):
            self.executor.submit(self.follow, slot)

    def stop(self) -> None:
        """Stop following and answering."""
        self.stopping.set()
        self.registry.release_followers()
        self.server.stop(grace_s=0.1)

    def leave(self) -> None:
        """Tell the others that this host is about to stop."""
        self.view.own.leaving = True

    def is_reader(self, *, has_copy: bool) -> bool:
        """Whether this host reads the store, for the others or because it has no copy yet."""
        now = time.monotonic()
        with self.lock:
            if not has_copy and now >= self.read_at:
                return True
            asking = self.failures < START_FAILURES and now < self.read_at
            if self.seeds and not self.view.heard_any and asking:
                return False
            return self.listen in self.view.readers(now=now)

    def set_blind(self, blind: bool) -> None:
        """Record whether this host cannot reach the store."""
        self.view.own.blind = blind

    def followed(self, slot: int) -> str | None:
        """Return the host that the task of a slot follows now."""
        with self.lock:
            addresses = self.view.followed(now=time.monotonic())
        if not addresses:
            addresses = self.seeds
        return addresses[slot] if slot < len(addresses) else None

    def follow(self, slot: int) -> None:
        """Task of one followed host: ask it for changes, again and again."""
        connection: HttpConnection | None = None
        source, after = "", 0
        seed_turn = slot
        rejoin_at = time.monotonic() + REJOIN_INTERVAL_S
        while not self.stopping.is_set():
            address = self.followed(slot)
            if address is None:
                self.stopping.wait(PAUSE_S)
                continue
            if connection is None or connection.address != address:
                if connection is not None:
                    connection.disconnect()
                    connection.close()
                connection = HttpConnection(address=address, keepalive_probes=True)
                source, after = "", 0
            try:
                reply = self.exchange(connection, source=source, after=after)
                self.take(reply)
            except (CallError, feed_wire.FeedError) as error:
                self.note_loss(address, error)
                connection.disconnect()
                seed_turn += 1
                self.ask_seed(seed_turn)
                self.stopping.wait(PAUSE_S)
                continue
            source, after = reply.sender.incarnation, reply.after
            if slot == 0 and time.monotonic() >= rejoin_at:
                rejoin_at = time.monotonic() + REJOIN_INTERVAL_S
                seed_turn += 1
                self.ask_seed(seed_turn)

    def exchange(
        self, connection: HttpConnection, *, source: str, after: int, wait_s: float = FEED_WAIT_S
    ) -> feed_wire.FeedReply:
        """Ask a host for its changes and return its reply.

        Raises
        ------
        CallError
            If no whole response arrived.
        FeedError
            If the response has another form.
        """
        request = feed_wire.FeedRequest(
            sender=self.own_record(),
            source=source,
            after=after,
            wait_ms=int(wait_s * 1000),
            members=self.members_above(connection.address),
            losses=self.own_losses(),
            reports=self.own_reports(),
        )
        reply = connection.exchange(
            "POST",
            feed_wire.FEED_PATH,
            headers=(f"Host: {connection.address}", "Content-Type: application/json"),
            body=feed_wire.message_to_json(request),
            timeout_s=wait_s + FEED_MARGIN_S,
            connect_timeout_s=CONNECT_TIMEOUT_S,
        )
        if reply.status != 200:
            raise feed_wire.FeedError(f"status {reply.status}")
        return feed_wire.reply_from_json(reply.body)

    def ask_seed(self, turn: int) -> None:
        """Ask one seed who is there, for a host that may have lost the others."""
        if not self.seeds:
            return
        connection = HttpConnection(address=self.seeds[turn % len(self.seeds)])
        try:
            self.take(self.exchange(connection, source="", after=0, wait_s=0.0))
        except (CallError, feed_wire.FeedError) as error:
            self.note_loss(connection.address, error)
        finally:
            connection.disconnect()
            connection.close()

    def take(self, reply: feed_wire.FeedReply) -> None:
        """Take in what another host says."""
        now = time.monotonic()
        with self.lock:
            for wire in (*reply.members, reply.sender):
                self.view.hear(feed_wire.member_from_wire(wire, now=now))
        self.note_count()
        self.losses.merge(feed_wire.loss_from_wire(wire, now=now) for wire in reply.losses)
        self.take_reports(reply.reports)
        items = [feed_wire.item_from_wire(wire) for wire in reply.items]
        self.registry.take(
            items,
            revision=reply.revision,
            whole=reply.whole,
            complete=reply.complete,
            source=reply.sender.address,
        )

    def note_loss(self, address: str, error: Exception) -> None:
        """Forget a host that does not answer, until it is heard of again."""
        with self.lock:
            self.failures += 1
            lost = self.view.members.pop(address, None) is not None
        if lost:
            self.log.info("Host lost.", address=address, problem=str(error))
        self.note_count()

    def note_count(self) -> None:
        """Tell the listeners how many hosts share the limits."""
        with self.lock:
            count = self.view.count(now=time.monotonic())
        for listener in self.listeners:
            listener(count)

    def own_record(self) -> feed_wire.WireMember:
        """Return what this host says about itself."""
        own = self.view.own
        own.heard_at = time.monotonic()
        return feed_wire.member_to_wire(own, now=own.heard_at)

    def members_for(self, follower: str, *, first: bool) -> list[feed_wire.WireMember]:
        """Return what a follower hears of the other hosts, mostly nothing new."""
        now = time.monotonic()
        with self.lock:
            alive = self.view.alive(now=now)
            told = self.told_at.get(follower, (float("-inf"), 0))
            if not first and now - told[0] < MEMBERS_INTERVAL_S and len(alive) == told[1]:
                return []
            self.told_at[follower] = (now, len(alive))
            return [
                feed_wire.member_to_wire(member, now=now)
                for member in alive
                if member.address not in (self.listen, follower)
            ]

    def members_above(self, followed: str) -> list[feed_wire.WireMember]:
        """Return what a followed host hears of the hosts below this one, mostly nothing new."""
        now = time.monotonic()
        with self.lock:
            if now - self.told_above_at.get(followed, float("-inf")) < MEMBERS_INTERVAL_S:
                return []
            self.told_above_at[followed] = now
            return [
                feed_wire.member_to_wire(member, now=now)
                for member in self.view.told_upwards(now=now)
                if member.address != followed
            ]

    def own_losses(self) -> list[feed_wire.WireLoss]:
        """Return what this host knows about requests that end their servers."""
        now = time.monotonic()
        return [feed_wire.loss_to_wire(loss, now=now) for loss in self.losses.shared()]

    def own_reports(self) -> list[feed_wire.WireReport]:
        """Return what this host knows about slow servers."""
        now = time.monotonic()
        return [feed_wire.report_to_wire(report, now=now) for report in self.servers.reports()]

    def take_reports(self, wires: Iterable[feed_wire.WireReport]) -> None:
        """Take in reports of slow servers, and pass new ones on at once."""
        now = time.monotonic()
        if self.servers.take_reports(feed_wire.report_from_wire(wire, now=now) for wire in wires):
            self.registry.wake_followers()

    def respond(self, request: Request) -> Response:
        """Answer a host that follows this one."""
        if request.path != feed_wire.FEED_PATH:
            return Response(status=404)
        try:
            asked = feed_wire.request_from_json(request.get_data())
        except feed_wire.FeedError as error:
            self.log.warning("A feed request was refused.", problem=str(error))
            return Response(str(error), status=400)
        now = time.monotonic()
        with self.lock:
            for wire in (*asked.members, asked.sender):
                self.view.hear(feed_wire.member_from_wire(wire, now=now), from_below=True)
        self.losses.merge(feed_wire.loss_from_wire(wire, now=now) for wire in asked.losses)
        self.take_reports(asked.reports)
        self.note_count()
        known = asked.source == self.view.own.incarnation
        changes = self.registry.changes(
            after=asked.after if known else None,
            wait_s=min(asked.wait_ms / 1000, FEED_WAIT_S),
        )
        members = self.members_for(asked.sender.address, first=not known)
        reply = feed_wire.FeedReply(
            sender=self.own_record(),
            after=changes.sequence,
            revision=changes.revision,
            whole=changes.whole,
            complete=changes.complete,
            items=[feed_wire.item_to_wire(item) for item in changes.items],
            members=members,
            losses=self.own_losses(),
            reports=self.own_reports(),
        )
        return Response(feed_wire.message_to_json(reply), content_type="application/json")
