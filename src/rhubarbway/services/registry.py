"""Follows the platform's store: the configuration and the entries of backend servers."""

from __future__ import annotations

import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from random import Random

from returns.result import Success

from rhubarbway.kernel import Kernel
from rhubarbway.model import BackendServer
from rhubarbway.platform.configuration import CONFIGURATION_KEY, routing_table_of
from rhubarbway.platform.entries import ENTRY_PREFIX, server_of
from rhubarbway.platform.store import StoreClient, StoreError, StoreItem, StoreProblem
from rhubarbway.services.log import part_logger
from rhubarbway.services.names import ROUTING, SERVERS
from rhubarbway.services.routing import RoutingService
from rhubarbway.services.servers import ServerService

# A watch waits this long for a change, seconds. Each call is priced; a store that fell silent is
# noticed after this time.
WATCH_WAIT_S = 15.0
# Pause after a failed call, seconds; it doubles up to the second value while calls fail.
RETRY_FIRST_S = 0.1
RETRY_LONGEST_S = 1.0


class RegistryService:
    """One task that lists the store once and then watches it.

    Attributes
    ----------
    listed : bool
        Whether the store was listed completely at least once.
    reachable : bool
        Whether the last call was answered.
    """

    __slots__ = (
        "client",
        "executor",
        "listed",
        "log",
        "make_client",
        "random",
        "reachable",
        "routing",
        "servers",
        "stopping",
    )

    def __init__(self, *, make_client: Callable[[], StoreClient]) -> None:
        self.make_client = make_client
        self.client = make_client()
        self.listed = False
        self.reachable = True
        self.random = Random()
        self.stopping = threading.Event()
        self.executor = ThreadPoolExecutor(1, thread_name_prefix="registry")
        self.log = part_logger("registry")
        self.routing: RoutingService
        self.servers: ServerService

    def start(self, kernel: Kernel) -> None:
        """Start the task."""
        self.routing = kernel.find(ROUTING)
        self.servers = kernel.find(SERVERS)
        self.executor.submit(self.follow)

    def stop(self) -> None:
        """End the task."""
        self.stopping.set()
        self.client.interrupt()
        self.executor.shutdown(wait=False)

    def follow(self) -> None:
        """Task: list the store, then watch it; begin anew when its history is gone."""
        revision: int | None = None
        pause_s = RETRY_FIRST_S
        while not self.stopping.is_set():
            try:
                revision = self.list_all() if revision is None else self.watch(revision)
                self.note_contact()
                pause_s = RETRY_FIRST_S
            except StoreError as error:
                if error.problem is StoreProblem.HISTORY_GONE:
                    self.log.info("History of the store is gone.", after=revision)
                    revision = None
                    continue
                self.note_loss(error)
                self.stopping.wait(pause_s * (0.5 + self.random.random()))
                pause_s = min(2 * pause_s, RETRY_LONGEST_S)
            except Exception:
                self.log.exception("Reading the store failed.")
                revision = None
                self.stopping.wait(RETRY_LONGEST_S)

    def list_all(self) -> int:
        """Read all items and return the revision from which to watch."""
        # Pages are no snapshot. A watch from the revision of the first one repeats what changed.
        first: int | None = None
        after = ""
        servers: list[BackendServer] = []
        configuration: StoreItem | None = None
        more = True
        while more:
            page = self.client.list("", after=after)
            first = page.revision if first is None else first
            for item in page.items:
                after = item.key
                if item.key == CONFIGURATION_KEY:
                    configuration = item
                elif item.key.startswith(ENTRY_PREFIX) and (server := self.decoded_server(item)):
                    servers.append(server)
            more = page.more and bool(page.items)
        if configuration is not None:
            self.offer_configuration(configuration)
        self.servers.replace_all(servers)
        self.listed = True
        self.log.info("Store listed.", revision=first, servers=len(servers))
        return first or 0

    def watch(self, revision: int) -> int:
        """Wait for changes, apply them and return the revision from which to go on."""
        page = self.client.watch("", after=revision, wait_s=WATCH_WAIT_S)
        changed: list[BackendServer] = []
        removed: list[str] = []
        for item in page.items:
            if item.key == CONFIGURATION_KEY:
                self.offer_configuration(item)
            elif item.key.startswith(ENTRY_PREFIX):
                server = self.decoded_server(item) if item.value is not None else None
                if server is not None:
                    changed.append(server)
                else:
                    removed.append(item.key.removeprefix(ENTRY_PREFIX))
        if removed:
            self.servers.remove(removed)
        if changed:
            self.servers.put(changed)
        return page.revision

    def offer_configuration(self, item: StoreItem) -> None:
        """Put a configuration into force, unless it has a finding or is older."""
        if item.value is None:
            self.log.warning("The configuration was deleted; the last one stays in force.")
            return
        result = routing_table_of(item.value)
        if isinstance(result, Success):
            self.routing.offer(result.unwrap(), source="store")
            return
        findings = [str(finding) for finding in result.failure()][:8]
        self.log.error("The configuration has findings.", revision=item.revision, findings=findings)

    def decoded_server(self, item: StoreItem) -> BackendServer | None:
        """Return the server of an entry, or None with a log line if it describes none."""
        result = server_of(item.key, item.value or b"")
        if isinstance(result, Success):
            return result.unwrap()
        self.log.warning("An entry names no server.", finding=str(result.failure()))
        return None

    def note_contact(self) -> None:
        """Record that the store answered."""
        if not self.reachable:
            self.reachable = True
            self.servers.note_return()
            self.log.info("Store regained.")

    def note_loss(self, error: StoreError) -> None:
        """Record that a call failed."""
        if self.reachable:
            self.reachable = False
            self.log.warning("Store lost.", problem=str(error))
