"""The platform's configuration service and host list, read by the chosen entry hosts."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from rhubarbway.decisions.host_list_view import HostListView
from rhubarbway.edge import gossip_wire
from rhubarbway.edge.http_client import CallError, HttpConnection
from rhubarbway.edge.wire import MessageError
from rhubarbway.kernel import Kernel
from rhubarbway.model import ListedHost
from rhubarbway.services.log import part_logger
from rhubarbway.services.manifest import ManifestService
from rhubarbway.services.names import MANIFEST, PEERS
from rhubarbway.services.peers import PeerService

HOSTS_SECTION = "hosts"
# Short enough that a reader whose path to the service went silent is noticed within seconds.
WATCH_WAIT_MS = 4_000
WATCH_MARGIN_S = 1.0
READ_TIMEOUT_S = 2.0
HOST_LIST_INTERVAL_S = 2.0
RETRY_FIRST_S = 0.2
RETRY_LONGEST_S = 2.0
# A refused or older document comes back at once, so the next watch is delayed.
USELESS_REPLY_PAUSE_S = 1.0
# A reader asks for a substitute after this number of failed calls in a row.
BLIND_AFTER_FAILURES = 2


class PlatformService:
    """Owns the task that watches the configuration service and the one that reads the host list.

    Each starting host reads both once. After that only the chosen readers call the platform.
    """

    __slots__ = (
        "address",
        "blind",
        "condition",
        "connection",
        "executor",
        "host_list_address",
        "host_subscribers",
        "hosts",
        "is_reader",
        "log",
        "manifest",
        "peers",
        "stopping",
    )

    def __init__(self, *, configuration_service: str, host_list: str) -> None:
        self.address = configuration_service
        self.host_list_address = host_list
        self.condition = threading.Condition()
        self.stopping = False
        self.is_reader = False
        self.blind = False
        self.hosts = HostListView()
        self.host_subscribers: list[Callable[[ListedHost], None]] = []
        self.executor = ThreadPoolExecutor(2, thread_name_prefix="platform")
        self.log = part_logger("platform")
        self.connection: HttpConnection | None = None
        self.manifest: ManifestService
        self.peers: PeerService

    def start(self, kernel: Kernel) -> None:
        """Start both tasks."""
        self.manifest = kernel.find(MANIFEST)
        self.peers = kernel.find(PEERS)
        self.manifest.watch_held(lambda _: self.wake())
        self.executor.submit(self.watch_configuration)
        self.executor.submit(self.read_host_list)

    def stop(self) -> None:
        """End both tasks."""
        with self.condition:
            self.stopping = True
            self.condition.notify_all()
        self.end_watch()
        self.executor.shutdown(wait=True)

    def wake(self) -> None:
        """Let waiting tasks look again at what they have to do."""
        with self.condition:
            self.condition.notify_all()

    def set_reader(self, is_reader: bool) -> None:
        """Start or end reading on behalf of the other entry hosts."""
        with self.condition:
            if self.is_reader == is_reader:
                return
            self.is_reader = is_reader
            self.blind = False
            self.condition.notify_all()
        self.log.info("Reads the platform." if is_reader else "Learns from other entry hosts.")
        if not is_reader:
            self.end_watch()

    def end_watch(self) -> None:
        """End a waiting watch call."""
        connection = self.connection
        if connection is not None:
            connection.abort(connection.call_number)

    def pause(self, seconds: float) -> None:
        """Wait until the service stops, at most for a time."""
        with self.condition:
            self.condition.wait_for(lambda: self.stopping, timeout=seconds)

    def watch_configuration(self) -> None:
        """Read once, then watch while this host is a reader or has no manifest."""
        self.connection = connection = HttpConnection(address=self.address)
        has_read = False
        failures = 0
        while True:
            with self.condition:
                self.condition.wait_for(
                    lambda: self.stopping
                    or self.is_reader
                    or not has_read  # noqa: B023 - evaluated before the next assignment
                    or self.manifest.held is None
                )
                if self.stopping:
                    break
            # After a failure a short read shows sooner whether the service is back.
            wait_ms = WATCH_WAIT_MS if has_read and not failures else 0
            after = self.manifest.held_order[0]
            try:
                reply = connection.call(
                    "GET",
                    f"/v1/manifest?after={after}&wait_ms={wait_ms}",
                    None,
                    timeout_s=wait_ms / 1000 + WATCH_MARGIN_S,
                )
                ok = reply.status in (200, 204)
                problem = f"status {reply.status}"
            except CallError as error:
                ok, problem = False, str(error)
            if not ok:
                if self.stopping or (has_read and not self.must_read()):
                    continue
                failures += 1
                self.blind = self.is_reader and failures >= BLIND_AFTER_FAILURES
                self.log.warning("Configuration service unreachable.", error=problem)
                self.pause(min(RETRY_FIRST_S * 2 ** min(failures, 8), RETRY_LONGEST_S))
                # A host that got its manifest from another host does not insist on reading.
                has_read = has_read or self.manifest.in_force is not None
                continue
            failures = 0
            has_read = True
            self.blind = False
            if reply.status == 200 and not self.manifest.offer(reply.body, source="service"):
                self.pause(USELESS_REPLY_PAUSE_S)
        connection.close()

    def must_read(self) -> bool:
        """Whether this host has to read the configuration service now."""
        return self.is_reader or self.manifest.held is None

    def read_host_list(self) -> None:
        """Read the host list once, then at intervals while this host is a reader."""
        connection = HttpConnection(address=self.host_list_address)
        tried = False
        while True:
            with self.condition:
                self.condition.wait_for(
                    lambda: self.stopping
                    or self.is_reader
                    or not tried  # noqa: B023 - evaluated before the next assignment
                    or self.manifest.held is None
                )
                if self.stopping:
                    break
            tried = True
            try:
                reply = connection.call("GET", "/v1/hosts", None, timeout_s=READ_TIMEOUT_S)
                if reply.status == 200:
                    self.apply_host_list(gossip_wire.host_list_from_json(reply.body))
            except (CallError, MessageError) as error:
                self.log.warning("Host list unreadable.", error=str(error))
            self.pause(HOST_LIST_INTERVAL_S)
        connection.close()

    def apply_host_list(self, listed: list[ListedHost]) -> None:
        """Take in a whole read of the host list and pass the changes on."""
        with self.condition:
            changes = self.hosts.read(listed, observed_ms=int(time.time() * 1000))
        for host in changes:
            self.peers.spread(HOSTS_SECTION, host.name, gossip_wire.listed_host_to_value(host))
            self.notify_subscribers(host)

    def receive_host(self, value: Any) -> bool:
        """Take in an entry that another entry host passes on; return whether it is news."""
        host = gossip_wire.listed_host_from_value(value)
        with self.condition:
            is_news = self.hosts.merge(host)
        if is_news:
            self.notify_subscribers(host)
        return is_news

    def host_items(self) -> list[tuple[str, Any]]:
        """Return key and value of all entries, for an entry host without a view."""
        with self.condition:
            hosts = list(self.hosts.hosts.values())
        return [(host.name, gossip_wire.listed_host_to_value(host)) for host in hosts]

    def subscribe_hosts(self, callback: Callable[[ListedHost], None]) -> None:
        """Call ``callback`` with each changed entry of the host list."""
        with self.condition:
            self.host_subscribers.append(callback)

    def notify_subscribers(self, host: ListedHost) -> None:
        """Pass a changed entry to all subscribers."""
        for callback in self.host_subscribers:
            callback(host)

    def leaving_hosts(self) -> set[str]:
        """Return the names of all hosts listed as leaving, entry hosts and backend servers."""
        with self.condition:
            return self.hosts.leaving()

    def listed_entry_hosts(self) -> list[ListedHost]:
        """Return the entry hosts of the host list."""
        with self.condition:
            return self.hosts.entry_hosts()
