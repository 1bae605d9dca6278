"""Reading of the platform's configuration service and host list, by the chosen readers."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from typing import Any

from rhubarbway.decisions.host_list_view import HostListView
from rhubarbway.edge import gossip_wire
from rhubarbway.edge.http_client import CallError, HttpConnection
from rhubarbway.edge.wire import MessageError
from rhubarbway.kernel import Kernel
from rhubarbway.model import ListedHost
from rhubarbway.services.log import component_logger
from rhubarbway.services.manifest import ManifestService
from rhubarbway.services.names import MANIFEST, PEERS
from rhubarbway.services.peers import PeerService
from rhubarbway.services.unexpected_data import ReportUnexpectedData, ignore_report

HOSTS_SECTION = "hosts"
# Short enough that a reader which gets no answers from the service is detected within seconds.
WATCH_WAIT_MS = 4_000
# Added to the wait for the timeout of a watch.
WATCH_MARGIN_S = 1.0
HOST_LIST_TIMEOUT_S = 2.0
HOST_LIST_INTERVAL_S = 2.0
INITIAL_RETRY_DELAY_S = 0.2
MAX_RETRY_DELAY_S = 2.0
# Delay after a manifest that is refused, as invalid or not newer than the one held. The next watch
# would return it again at once.
REFUSED_MANIFEST_DELAY_S = 1.0
# After this number of consecutive failed calls a reader reports that it is blind (cannot reach the
# configuration service), so that another host takes its place.
BLIND_AFTER_FAILURES = 2


class PlatformService:
    """Runs a task that watches the configuration service and one that reads the host list.

    Each host reads both once when it starts. Afterwards only the chosen readers call the platform,
    and hosts without a manifest.
    """

    __slots__ = (
        "blind",
        "condition",
        "configuration_address",
        "connection",
        "executor",
        "host_list_address",
        "host_list_view",
        "host_subscribers",
        "is_reader",
        "log",
        "manifest",
        "peers",
        "report_unexpected_data",
        "stopping",
    )

    def __init__(self, *, configuration_service: str, host_list: str) -> None:
        self.configuration_address = configuration_service
        self.host_list_address = host_list
        self.condition = threading.Condition()
        self.stopping = False
        self.is_reader = False
        self.blind = False
        self.host_list_view = HostListView()
        self.host_subscribers: list[Callable[[ListedHost], None]] = []
        self.executor = ThreadPoolExecutor(2, thread_name_prefix="platform")
        self.log = component_logger("platform")
        self.connection: HttpConnection | None = None
        self.report_unexpected_data: ReportUnexpectedData = ignore_report
        self.manifest: ManifestService
        self.peers: PeerService

    def start(self, kernel: Kernel) -> None:
        """Start both tasks."""
        self.manifest = kernel.find(MANIFEST)
        self.peers = kernel.find(PEERS)
        self.manifest.subscribe_held(lambda _: self.wake_tasks())
        self.executor.submit(self.watch_configuration)
        self.executor.submit(self.read_host_list)

    def stop(self) -> None:
        """End both tasks."""
        with self.condition:
            self.stopping = True
            self.condition.notify_all()
        self.abort_watch()
        self.executor.shutdown(wait=True)

    def wake_tasks(self) -> None:
        """Let waiting tasks check again whether they have to read."""
        with self.condition:
            self.condition.notify_all()

    def set_reader(self, is_reader: bool) -> None:
        """Start or stop reading the platform for the other entry hosts."""
        with self.condition:
            if self.is_reader == is_reader:
                return
            self.is_reader = is_reader
            self.blind = False
            self.condition.notify_all()
        self.log.info(
            "Became a reader of the platform."
            if is_reader
            else "No longer a reader of the platform."
        )
        if not is_reader:
            self.abort_watch()

    def abort_watch(self) -> None:
        """Abort the watch call in flight, if any."""
        connection = self.connection
        if connection is not None:
            connection.abort(connection.call_number)

    def wait_for_stop(self, seconds: float) -> None:
        """Wait for this service to stop, at most for a number of seconds."""
        with self.condition:
            self.condition.wait_for(lambda: self.stopping, timeout=seconds)

    def watch_configuration(self) -> None:
        """Task: read the manifest once, then watch it while this host has to read."""
        self.connection = connection = HttpConnection(
            address=self.configuration_address,
            on_unexpected_data=partial(self.report_unexpected_data, "configuration"),
        )
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
            # After a failure, a call that does not wait shows sooner whether the service is back.
            wait_ms = WATCH_WAIT_MS if has_read and not failures else 0
            after = self.manifest.held_version_key[0]
            try:
                reply = connection.call(
                    "GET",
                    f"/v1/manifest?after={after}&wait_ms={wait_ms}",
                    None,
                    timeout_s=wait_ms / 1000 + WATCH_MARGIN_S,
                )
                ok = reply.status in (200, 204)
                problem = f"HTTP status {reply.status} instead of 200 or 204"
            except CallError as error:
                ok, problem = False, str(error)
            if not ok:
                if self.stopping or (has_read and not self.must_read()):
                    continue
                failures += 1
                self.blind = self.is_reader and failures >= BLIND_AFTER_FAILURES
                self.log.warning("Configuration service unreachable.", error=problem)
                self.wait_for_stop(
                    min(INITIAL_RETRY_DELAY_S * 2 ** min(failures, 8), MAX_RETRY_DELAY_S)
                )
                # A host that got its manifest from another host need not read it here.
                has_read = has_read or self.manifest.in_force is not None
                continue
            failures = 0
            has_read = True
            self.blind = False
            if reply.status == 200 and not self.manifest.offer(reply.body, source="service"):
                # It may be a second copy of an earlier reply.
                connection.disconnect()
                self.wait_for_stop(REFUSED_MANIFEST_DELAY_S)
        connection.close()

    def must_read(self) -> bool:
        """Return whether this host has to read the platform, as a reader or without a manifest."""
        return self.is_reader or self.manifest.held is None

    def read_host_list(self) -> None:
        """Task: read the host list once, then at intervals while this host has to read."""
        connection = HttpConnection(address=self.host_list_address)
        has_tried = False
        while True:
            with self.condition:
                self.condition.wait_for(
                    lambda: self.stopping
                    or self.is_reader
                    or not has_tried  # noqa: B023 - evaluated before the next assignment
                    or self.manifest.held is None
                )
                if self.stopping:
                    break
            has_tried = True
            try:
                reply = connection.call("GET", "/v1/hosts", None, timeout_s=HOST_LIST_TIMEOUT_S)
                if reply.status == 200:
                    self.apply_host_list(gossip_wire.host_list_from_json(reply.body))
            except (CallError, MessageError) as error:
                self.log.warning("Reading the host list failed.", error=str(error))
            # A list has no version, so a second, late copy of one could not be told from a new one.
            connection.disconnect()
            self.wait_for_stop(HOST_LIST_INTERVAL_S)
        connection.close()

    def apply_host_list(self, listed: list[ListedHost]) -> None:
        """Merge a complete host list and publish the changed entries."""
        with self.condition:
            changes = self.host_list_view.apply_read(listed, observed_ms=int(time.time() * 1000))
        for host in changes:
            self.peers.publish(HOSTS_SECTION, host.name, gossip_wire.listed_host_to_value(host))
            self.notify_subscribers(host)

    def receive_host(self, value: Any) -> bool:
        """Merge a host list entry from another entry host; return whether it was new."""
        host = gossip_wire.listed_host_from_value(value)
        with self.condition:
            is_new = self.host_list_view.merge(host)
        if is_new:
            self.notify_subscribers(host)
        return is_new

    def host_items(self) -> list[tuple[str, Any]]:
        """Return key and value of all host list entries, for an entry host without a view."""
        with self.condition:
            hosts = list(self.host_list_view.hosts.values())
        return [(host.name, gossip_wire.listed_host_to_value(host)) for host in hosts]

    def subscribe_hosts(self, callback: Callable[[ListedHost], None]) -> None:
        """Call ``callback`` with each changed entry of the host list."""
        with self.condition:
            self.host_subscribers.append(callback)

    def notify_subscribers(self, host: ListedHost) -> None:
        """Call all subscribers with a changed entry."""
        for callback in self.host_subscribers:
            callback(host)

    def leaving_hosts(self) -> set[str]:
        """Return the names of all hosts listed as leaving, entry hosts and backend servers."""
        with self.condition:
            return self.host_list_view.leaving()

    def listed_entry_hosts(self) -> list[ListedHost]:
        """Return the entry hosts of the host list."""
        with self.condition:
            return self.host_list_view.entry_hosts()
