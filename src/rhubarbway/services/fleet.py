"""Exchange of store changes and fleet membership between entry hosts.

Each host follows up to two others. It long-polls the feed of the first for changes of the store
copy, and asks the second one at intervals for changes that have not arrived that way. Both sides
exchange what they know of the other hosts, of crashing requests and of slow servers.
"""

from __future__ import annotations

import itertools
import secrets
import threading
import time
from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from random import Random

from werkzeug.wrappers import Request, Response

from rhubarbway.decisions.copy_freshness import Confirmation, stale_reader_count
from rhubarbway.decisions.fleet_view import FleetMember, FleetView
from rhubarbway.edge import feed_wire
from rhubarbway.edge.addresses import parse_address
from rhubarbway.edge.connection_state import NO_RULES
from rhubarbway.edge.exchange_connection import ExchangeConnection
from rhubarbway.edge.http_call import CallError
from rhubarbway.edge.http_server import (
    BODY_LIMIT_BYTES,
    IDLE_TIMEOUT_S,
    REQUEST_TIMEOUT_S,
    FailureReport,
    HttpServer,
    log_failure,
)
from rhubarbway.edge.sent_bytes import ReportMismatch, ignore_mismatch
from rhubarbway.kernel import Kernel
from rhubarbway.model import CallerLimits
from rhubarbway.services.copy_changes import Changes
from rhubarbway.services.crashing_requests import CrashingRequestService
from rhubarbway.services.feed_traffic import FeedTraffic
from rhubarbway.services.log import component_logger
from rhubarbway.services.names import CRASHING_REQUESTS, REGISTRY, SERVERS
from rhubarbway.services.registry import RegistryService
from rhubarbway.services.servers import ServerService
from rhubarbway.services.unexpected_data import ReportUnexpectedData, ignore_report

# Longest wait of a follower for the next change, seconds. It is also the interval at which a
# follower polls the feed while nothing changes.
FEED_WAIT_S = 1.0
# Interval at which the second followed host is asked for changes that the first has not sent,
# seconds. Two relays over second hosts stay within the shortest time allowed for a change.
BACKUP_POLL_INTERVAL_S = 0.8
# Added to the wait for the timeout of one poll, seconds; also the timeout of a single query.
FEED_TIMEOUT_MARGIN_S = 0.5
CONNECT_TIMEOUT_S = 0.4
# Interval at which the list of hosts is sent, seconds. The list makes up most of a reply.
MEMBERS_INTERVAL_S = 1.8
# Interval of the queries to a seed by a host that follows others, seconds. Hosts that start
# together and know only a part of the fleet may follow each other in a cycle that is cut off from
# the rest.
REJOIN_INTERVAL_S = 5.0
# The same interval while the copy of the store is stale, seconds. The host then asks any other host
# or seed for changes, since those that it follows have none.
STALE_REJOIN_INTERVAL_S = 0.5
# Delay after a failed poll, and while there is no host to follow, seconds.
RETRY_DELAY_S = 0.3
MAX_FOLLOWED_HOSTS = 2
# Time for which a host queries its seeds before it reads the store itself, on the first start of
# the whole system, seconds. No caller waits for the host then. ``MAX_START_FAILURES`` failed
# polls end the wait earlier.
FIRST_START_WAIT_S = 0.7
MAX_START_FAILURES = 2
# The same time for a restarted host, whose callers wait, seconds. The host usually gets a copy from
# another host within milliseconds. A random factor from 0.5 to 1.5 is applied, so that hosts that
# start together do not read the store at once.
RESTART_WAIT_S = 0.1
# Failures of the network or of the other host, which need no traceback in the log.
EXPECTED_POLL_ERRORS = (CallError, feed_wire.FeedError)
# Limit of connections from other hosts: followers, hosts that query this one as a seed, and hosts
# that delegate fan-outs to it.
MAX_PEER_CONNECTIONS = 320
# Limits of the requests of other hosts. A delegated request has a few headers more than the
# caller's, whose head may have 16 KB.
PEER_LIMITS = CallerLimits(
    max_header_bytes=32 * 1024,
    max_body_bytes=BODY_LIMIT_BYTES,
    header_timeout_s=REQUEST_TIMEOUT_S,
    idle_timeout_s=IDLE_TIMEOUT_S,
)

PeerHandler = Callable[[Request], Response | None]


class FleetService:
    """Follows up to two hosts, with a task for each, and serves the feed to its own followers."""

    __slots__ = (
        "crashing_requests",
        "delegated_request_handler",
        "failed_poll_count",
        "feed_traffic",
        "feed_reply_listeners",
        "executor",
        "host_count_listeners",
        "listen",
        "lock",
        "log",
        "max_connections",
        "random",
        "read_store_at",
        "registry",
        "report_failure",
        "request_numbers",
        "report_mismatch",
        "report_unexpected_data",
        "rules",
        "seeds",
        "sent_to_followed_at",
        "sent_to_follower",
        "server",
        "servers",
        "stopping",
        "view",
    )

    def __init__(
        self,
        *,
        listen: str,
        zone: str,
        seeds: list[str],
        is_first_start: bool = False,
        cores: float = 0.0,
    ) -> None:
        self.listen = listen
        self.max_connections = MAX_PEER_CONNECTIONS
        self.rules = NO_RULES
        self.seeds: list[str] = []
        now = time.monotonic()
        own = FleetMember(
            address=listen,
            zone=zone,
            incarnation=secrets.token_hex(8),
            last_seen_at=now,
            cores=cores,
        )
        self.view = FleetView(own=own)
        jitter = 0.5 + Random().random()
        self.read_store_at = now + (
            FIRST_START_WAIT_S if is_first_start else RESTART_WAIT_S * jitter
        )
        # By follower: when the list of hosts was last sent to it, and the number of hosts in it.
        self.sent_to_follower: dict[str, tuple[float, int]] = {}
        # By followed host: when the direct and indirect followers were last sent to it.
        self.sent_to_followed_at: dict[str, float] = {}
        self.failed_poll_count = 0
        self.random = Random()
        # Answers the requests that other hosts delegate to this one.
        self.delegated_request_handler: PeerHandler | None = None
        self.host_count_listeners: list[Callable[[int], None]] = []
        # Called with the content and size of each reply to another host.
        self.feed_reply_listeners: list[Callable[..., None]] = []
        # Called for a follower's connection that carries more bytes than its task has sent.
        self.report_mismatch: ReportMismatch = ignore_mismatch
        # Called with each exception that ends a follower's connection or replaces a reply.
        self.report_failure: FailureReport = log_failure
        self.report_unexpected_data: ReportUnexpectedData = ignore_report
        self.feed_traffic = FeedTraffic(now=now)
        # Numbers of the feed requests of this host.
        self.request_numbers = itertools.count(1)
        self.lock = threading.Lock()
        self.stopping = threading.Event()
        self.executor = ThreadPoolExecutor(MAX_FOLLOWED_HOSTS, thread_name_prefix="fleet")
        self.log = component_logger("fleet")
        self.crashing_requests: CrashingRequestService
        self.registry: RegistryService
        self.servers: ServerService
        self.server: HttpServer
        self.set_seeds(seeds)

    def set_seeds(self, seeds: Iterable[str]) -> None:
        """Set the hosts that are queried to find other hosts; this host itself is left out."""
        self.seeds = [seed for seed in seeds if seed != self.listen]

    def start(self, kernel: Kernel) -> None:
        """Listen for followers, and start the tasks that follow other hosts."""
        self.crashing_requests = kernel.find(CRASHING_REQUESTS)
        self.registry = kernel.find(REGISTRY)
        self.servers = kernel.find(SERVERS)
        self.servers.leaving_listeners.append(self.registry.wake_followers)
        self.server = HttpServer(
            address=parse_address(self.listen),
            handler=self.dispatch,
            error_handler=lambda status, detail: Response(detail, status=status),
            max_connections=self.max_connections,
            name="peers",
            limits=lambda: PEER_LIMITS,
            report_mismatch=self.report_mismatch,
            report_failure=self.report_failure,
            rules=self.rules,
        )
        self.server.start()
        for slot in range(MAX_FOLLOWED_HOSTS):
            self.executor.submit(self.follow, slot)

    def stop(self) -> None:
        """Stop following other hosts and serving followers."""
        self.stopping.set()
        self.registry.end_follower_waits()
        self.server.stop(grace_s=0.1)

    def mark_leaving(self) -> None:
        """Mark this host as leaving, for its next messages to other hosts."""
        self.view.own.leaving = True

    def is_reader(self, *, has_copy: bool, copy_age_s: float = 0.0) -> bool:
        """Return whether this host reads the store.

        It does so as a chosen reader, for lack of a copy, or, by rank, because its copy was last
        confirmed ``copy_age_s`` ago, so that the readers may be cut off from the store.
        """
        now = time.monotonic()
        with self.lock:
            if not has_copy and now >= self.read_store_at:
                return True
            waits_for_seeds = (
                self.failed_poll_count < MAX_START_FAILURES and now < self.read_store_at
            )
            if self.seeds and not self.view.has_seen_others and waits_for_seeds:
                return False
            if self.listen in self.view.readers(now=now):
                return True
            count = stale_reader_count(copy_age_s, apply_limit_s=self.registry.apply_limit_s)
            return count > 0 and self.view.is_stale_reader(now=now, count=count)

    def is_first_reader(self) -> bool:
        """Return whether this host is the first of the readers that reach the store."""
        with self.lock:
            return self.view.is_first_reader(now=time.monotonic())

    def set_blind(self, blind: bool) -> None:
        """Record whether this host is unable to reach the store."""
        self.view.own.blind = blind

    def followed_host(self, slot: int) -> str | None:
        """Return the host or seed to follow now, for one of the tasks; ``slot`` numbers them."""
        with self.lock:
            addresses = self.view.followed_hosts(now=time.monotonic())
        if not addresses:
            addresses = self.seeds
        return addresses[slot] if slot < len(addresses) else None

    def follow(self, slot: int) -> None:
        """Task: poll the feed of one followed host; ``slot`` is the number of the task.

        The first one waits at the host for changes. The others ask at intervals for what did not
        arrive that way, so that a change is sent to a follower once.
        """
        connection: ExchangeConnection | None = None
        source, after = "", 0
        seed_index = slot
        # Hosts that start together do not all query their seeds at the same time.
        rejoin_at = time.monotonic() + REJOIN_INTERVAL_S * Random().random()
        while not self.stopping.is_set():
            address = self.followed_host(slot)
            if address is None:
                self.stopping.wait(RETRY_DELAY_S)
                continue
            if connection is None or connection.address != address:
                if connection is not None:
                    connection.disconnect()
                connection = ExchangeConnection(
                    address=address,
                    keepalive_probes=True,
                    on_unexpected_data=partial(self.report_unexpected_data, "host"),
                )
                source, after = "", 0
            try:
                reply = self.poll_feed(
                    connection, source=source, after=after, wait_s=FEED_WAIT_S if slot == 0 else 0.0
                )
                self.apply_reply(reply)
            except Exception as error:
                # A message that this program fails on must not end the task: the host would keep
                # its copy of the store without ever changing it again.
                self.record_failure(address, error)
                connection.disconnect()
                seed_index += 1
                if self.registry.is_copy_stale():
                    self.query_any_host()
                else:
                    self.query_seed(seed_index)
                self.stopping.wait(RETRY_DELAY_S)
                continue
            source, after = reply.sender.incarnation, reply.after
            if slot > 0:
                self.stopping.wait(BACKUP_POLL_INTERVAL_S)
            now = time.monotonic()
            is_stale = self.registry.is_copy_stale()
            if is_stale and now >= rejoin_at - REJOIN_INTERVAL_S + STALE_REJOIN_INTERVAL_S:
                rejoin_at = now + REJOIN_INTERVAL_S
                self.query_any_host()
            elif slot == 0 and now >= rejoin_at:
                rejoin_at = now + REJOIN_INTERVAL_S
                seed_index += 1
                self.query_seed(seed_index)
                settled = self.registry.settled_position()
                if reply.era in (0, settled.era) and reply.settled > settled.revision:
                    # The followed host has listed the store, so it may not know every deletion
                    # since this copy was settled, and its changes do not settle it any more.
                    source, after = "", 0

    def poll_feed(
        self,
        connection: ExchangeConnection,
        *,
        source: str,
        after: int,
        wait_s: float = FEED_WAIT_S,
        timeout_s: float = FEED_WAIT_S + FEED_TIMEOUT_MARGIN_S,
        members_only: bool = False,
    ) -> feed_wire.FeedReply:
        """Request the changes of a host, tell it what this host knows, and return its reply.

        Parameters
        ----------
        connection : ExchangeConnection
            Connection to the host.
        source : str
            Incarnation of the host when it sent ``after``; empty for a first request.
        after : int
            Sequence number of the last change received from it.
        wait_s : float
            Longest time that the host may wait for a change, seconds.
        timeout_s : float
            Longest time for the whole exchange, seconds.
        members_only : bool
            Whether only the hosts that it knows are of interest, not its copy of the store.

        Raises
        ------
        CallError
            If no complete response arrived.
        FeedError
            If the response is malformed, its status is not 200, or it answers another request.
        """
        settled = self.registry.settled_position()
        request = feed_wire.FeedRequest(
            sender=self.own_member(),
            source=source,
            after=after,
            wait_ms=int(wait_s * 1000),
            members=self.members_for_followed(connection.address),
            losses=self.own_losses(),
            reports=self.own_reports(),
            leaving=self.own_leaving_marks(),
            members_only=members_only,
            members_digest=self.members_digest() if members_only else "",
            settled=settled.revision,
            number=next(self.request_numbers),
            singles=self.own_singles(),
            era=settled.era,
        )
        reply = connection.exchange(
            "POST",
            feed_wire.FEED_PATH,
            headers=(
                f"Host: {connection.address}",
                "Content-Type: application/json",
                f"Accept-Encoding: {feed_wire.CONTENT_CODING}",
            ),
            body=feed_wire.message_to_json(request),
            timeout_s=timeout_s,
            connect_timeout_s=CONNECT_TIMEOUT_S,
        )
        if reply.status != 200:
            raise feed_wire.FeedError(f"HTTP status {reply.status} instead of 200")
        body = reply.body
        codings = [value for name, value in reply.headers if name.lower() == "content-encoding"]
        if codings == [feed_wire.CONTENT_CODING]:
            body = feed_wire.decompress_value(body)
        message = feed_wire.reply_from_json(body)
        if message.answers not in (request.number, None):
            # The age of the confirmation in it counts from when it was sent.
            raise feed_wire.FeedError(f"reply to request {message.answers}, not {request.number}")
        return message

    def query_seed(self, index: int) -> None:
        """Query one seed without waiting, to find hosts that this one does not know.

        A host with a copy of the store asks for the members only: each host does this every few
        seconds, and the copies would be most of the traffic between zones.
        """
        if self.seeds:
            seed = self.seeds[index % len(self.seeds)]
            self.query_once(seed, members_only=self.registry.complete)

    def query_any_host(self) -> None:
        """Query a random host without waiting, for changes that the followed hosts do not have.

        It may be a seed that this host does not know: all known hosts may be cut off from the rest.
        """
        with self.lock:
            address = self.view.random_member(self.random, seeds=self.seeds)
        if address is not None:
            self.query_once(address, members_only=False)

    def query_once(self, address: str, *, members_only: bool) -> None:
        """Query a host on a connection of its own, without waiting for a change."""
        connection = ExchangeConnection(address=address)
        try:
            self.apply_reply(
                self.poll_feed(
                    connection,
                    source="",
                    after=0,
                    wait_s=0.0,
                    timeout_s=FEED_TIMEOUT_MARGIN_S,
                    members_only=members_only,
                )
            )
        except Exception as error:
            self.record_failure(connection.address, error)
        finally:
            connection.disconnect()

    def apply_reply(self, reply: feed_wire.FeedReply) -> None:
        """Apply the reply of a followed host or seed."""
        now = time.monotonic()
        with self.lock:
            for wire in (*reply.members, reply.sender):
                self.view.merge(feed_wire.member_from_wire(wire, now=now))
        self.notify_host_count()
        self.apply_losses(reply.losses, reply.singles)
        self.apply_reports(reply.reports)
        self.apply_leaving_marks(reply.leaving)
        changes = Changes(
            era=reply.era,
            items=[feed_wire.item_from_wire(wire, era=reply.era) for wire in reply.items],
            revision=reply.revision,
            sequence=reply.after,
            whole=reply.whole,
            complete=reply.complete,
            confirmation=Confirmation(
                at=feed_wire.instant_from_age(reply.confirmed_age_ms, now=now),
                reader=reply.confirmed_by,
                number=reply.confirmed_number,
            ),
            settled_revision=reply.settled,
            deletions_known_after=reply.deletions_known_after,
            deferred=[
                feed_wire.deferred_deletion_from_wire(wire, era=reply.era, now=now)
                for wire in reply.deferred
            ],
        )
        self.registry.apply_received(changes, source=reply.sender.address)

    def record_failure(self, address: str, error: Exception) -> None:
        """Count a failed poll, and remove the polled host until another message mentions it."""
        if not isinstance(error, EXPECTED_POLL_ERRORS):
            self.log.error("Internal error in an exchange.", address=address, exc_info=error)
        with self.lock:
            self.failed_poll_count += 1
            lost = self.view.members.pop(address, None) is not None
        if lost:
            self.log.info(
                "Host removed after a failed exchange.", address=address, problem=str(error)
            )
        self.notify_host_count()

    def notify_host_count(self) -> None:
        """Notify the listeners of the number of hosts that share the limits."""
        with self.lock:
            count = self.view.host_count(now=time.monotonic())
        for listener in self.host_count_listeners:
            listener(count)

    def members_digest(self) -> str:
        """Return a digest of the hosts that this host knows."""
        with self.lock:
            return self.view.digest(now=time.monotonic())

    def own_member(self) -> feed_wire.WireMember:
        """Return the current membership record of this host."""
        own = self.view.own
        own.last_seen_at = time.monotonic()
        return feed_wire.member_to_wire(own, now=own.last_seen_at)

    def members_for_follower(self, follower: str, *, is_first: bool) -> list[feed_wire.WireMember]:
        """Return the other hosts for a follower, or nothing if the list was sent recently.

        A changed number of hosts, or ``is_first``, sends the list at once.
        """
        now = time.monotonic()
        with self.lock:
            alive = self.view.alive(now=now)
            last_sent = self.sent_to_follower.get(follower, (float("-inf"), 0))
            if (
                not is_first
                and now - last_sent[0] < MEMBERS_INTERVAL_S
                and len(alive) == last_sent[1]
            ):
                return []
            self.sent_to_follower[follower] = (now, len(alive))
            return [
                feed_wire.member_to_wire(member, now=now)
                for member in alive
                if member.address not in (self.listen, follower)
            ]

    def members_for_followed(self, followed: str) -> list[feed_wire.WireMember]:
        """Return the direct and indirect followers, or nothing if they were sent recently.

        A followed host needs them since it learns of these hosts only through this one.
        """
        now = time.monotonic()
        with self.lock:
            if now - self.sent_to_followed_at.get(followed, float("-inf")) < MEMBERS_INTERVAL_S:
                return []
            self.sent_to_followed_at[followed] = now
            return [
                feed_wire.member_to_wire(member, now=now)
                for member in self.view.downstream_members(now=now)
                if member.address != followed
            ]

    def own_losses(self) -> list[feed_wire.WireLoss]:
        """Return what this host knows about crashing requests."""
        now = time.monotonic()
        return [
            feed_wire.loss_to_wire(loss, now=now)
            for loss in self.crashing_requests.losses_to_share()
        ]

    def own_singles(self) -> list[feed_wire.WireSingleLoss]:
        """Return the single losses that may belong to crashing requests."""
        now = time.monotonic()
        return [
            feed_wire.single_loss_to_wire(loss, now=now)
            for loss in self.crashing_requests.singles_to_share()
        ]

    def apply_losses(
        self, wires: Iterable[feed_wire.WireLoss], singles: Iterable[feed_wire.WireSingleLoss]
    ) -> None:
        """Merge what another host knows about crashing requests."""
        now = time.monotonic()
        losses = [feed_wire.loss_from_wire(wire, now=now) for wire in wires]
        losses += [feed_wire.single_loss_from_wire(wire, now=now) for wire in singles]
        self.crashing_requests.merge(losses)

    def own_reports(self) -> list[feed_wire.WireReport]:
        """Return what this host knows about slow servers."""
        now = time.monotonic()
        return [
            feed_wire.report_to_wire(report, now=now) for report in self.servers.reports_to_share()
        ]

    def apply_reports(self, wires: Iterable[feed_wire.WireReport]) -> None:
        """Merge reports of slow servers; new ones are propagated to the followers at once."""
        now = time.monotonic()
        if self.servers.merge_reports(feed_wire.report_from_wire(wire, now=now) for wire in wires):
            self.registry.wake_followers()

    def own_leaving_marks(self) -> list[feed_wire.WireLeavingMark]:
        """Return what this host knows about servers that leave."""
        now = time.monotonic()
        return [
            feed_wire.leaving_mark_to_wire(mark, now=now)
            for mark in self.servers.leaving_to_share()
        ]

    def apply_leaving_marks(self, wires: Iterable[feed_wire.WireLeavingMark]) -> None:
        """Merge marks of servers that leave; new ones are propagated to the followers at once."""
        now = time.monotonic()
        marks = [feed_wire.leaving_mark_from_wire(wire, now=now) for wire in wires]
        if self.servers.merge_leaving(marks):
            self.registry.wake_followers()

    def dispatch(self, request: Request) -> Response:
        """Answer a request of another host: a poll of the feed, or a delegated request.

        A delegated request has the path of the caller's request, which may be any.
        """
        handler = self.delegated_request_handler
        response = handler(request) if handler is not None else None
        if response is not None:
            return response
        if request.path == feed_wire.FEED_PATH:
            return self.respond(request)
        return Response(status=404)

    def live_members(self) -> list[FleetMember]:
        """Return the live hosts that this host knows, itself included."""
        with self.lock:
            return self.view.alive(now=time.monotonic())

    def respond(self, request: Request) -> Response:
        """Answer the feed request of a follower, or of a host that queries this one as a seed."""
        try:
            feed_request = feed_wire.request_from_json(request.get_data())
        except feed_wire.FeedError as error:
            self.log.warning("Malformed feed request refused.", problem=str(error))
            return Response(str(error), status=400)
        now = time.monotonic()
        with self.lock:
            # A host that queries this one as a seed counts as a follower, too.
            for wire in (*feed_request.members, feed_request.sender):
                self.view.merge(feed_wire.member_from_wire(wire, now=now), from_follower=True)
        self.apply_losses(feed_request.losses, feed_request.singles)
        self.apply_reports(feed_request.reports)
        self.apply_leaving_marks(feed_request.leaving)
        self.notify_host_count()
        compress = feed_wire.CONTENT_CODING in request.accept_encodings
        if feed_request.members_only:
            return self.reply_with_members(feed_request, compress=compress)
        # A restarted host numbers the changes of its copy anew.
        after_is_valid = feed_request.source == self.view.own.incarnation
        changes = self.registry.wait_for_changes(
            after=feed_request.after if after_is_valid else None,
            wait_s=min(feed_request.wait_ms / 1000, FEED_WAIT_S),
            settled_revision=feed_request.settled,
            era=feed_request.era,
        )
        members = self.members_for_follower(
            feed_request.sender.address, is_first=not after_is_valid
        )
        return self.encode_reply(changes, members, answers=feed_request.number, compress=compress)

    def reply_with_members(
        self, feed_request: feed_wire.FeedRequest, *, compress: bool
    ) -> Response:
        """Answer a host that only wants the members, and those only if it knows others."""
        members: list[feed_wire.WireMember] = []
        if feed_request.members_digest != self.members_digest():
            members = self.members_for_follower(feed_request.sender.address, is_first=True)
        era = self.registry.settled_position().era
        nothing = Changes(items=(), revision=0, sequence=0, whole=False, complete=False, era=era)
        return self.encode_reply(nothing, members, answers=feed_request.number, compress=compress)

    def encode_reply(
        self,
        changes: Changes,
        members: list[feed_wire.WireMember],
        *,
        answers: int,
        compress: bool,
    ) -> Response:
        """Return the reply to a feed request, compressed if the follower accepts it.

        A host at the top of a zone sends each change to all its followers, and the records of
        members and servers are much alike.
        """
        reply = feed_wire.FeedReply(
            sender=self.own_member(),
            after=changes.sequence,
            revision=changes.revision,
            whole=changes.whole,
            complete=changes.complete,
            items=[feed_wire.item_to_wire(item, era=changes.era) for item in changes.items],
            members=members,
            losses=self.own_losses(),
            reports=self.own_reports(),
            leaving=self.own_leaving_marks(),
            confirmed_age_ms=feed_wire.age_ms(changes.confirmation.at, now=time.monotonic()),
            confirmed_by=changes.confirmation.reader,
            confirmed_number=changes.confirmation.number,
            settled=changes.settled_revision,
            deletions_known_after=changes.deletions_known_after,
            answers=answers,
            singles=self.own_singles(),
            deferred=[
                feed_wire.deferred_deletion_to_wire(deletion, now=time.monotonic())
                for deletion in changes.deferred
            ],
            era=changes.era,
        )
        body = feed_wire.message_to_json(reply)
        headers = {}
        if compress and len(body) >= feed_wire.COMPRESSION_THRESHOLD_BYTES:
            body = feed_wire.compress_message(body)
            headers["Content-Encoding"] = feed_wire.CONTENT_CODING
        content = "whole" if changes.whole else "changes" if changes.sequence else "members"
        for listener in self.feed_reply_listeners:
            listener(content=content, size=len(body))
        with self.lock:
            traffic = self.feed_traffic.record(reply, size=len(body), now=time.monotonic())
        if traffic:
            self.log.info("Feed traffic.", **traffic)
        return Response(body, content_type="application/json", headers=headers)
