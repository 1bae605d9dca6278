"""Copy of the platform's store: the configuration and the entries of backend servers.

A few hosts, the readers, read the store; every host serves its copy to its followers.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor
from random import Random
from typing import TYPE_CHECKING

from returns.result import Success

from rhubarbway.decisions.copy_freshness import (
    CONFIRMATION_FRACTION,
    RELAY_FRACTION,
    is_stale,
)
from rhubarbway.decisions.store_contact import (
    NEXT_CONTACT,
    CallEnd,
    StoreContact,
    ends_outage,
)
from rhubarbway.decisions.store_copy import StoreCopy
from rhubarbway.kernel import Kernel
from rhubarbway.model import BackendServer, StoreItem
from rhubarbway.platform.configuration import CONFIGURATION_KEY, routing_table_from_json
from rhubarbway.platform.registry_entries import SERVER_KEY_PREFIX, server_from_entry
from rhubarbway.platform.store import StoreClient, StoreError, StoreProblem
from rhubarbway.services.log import component_logger
from rhubarbway.services.names import FLEET, ROUTING, SERVERS
from rhubarbway.services.routing import RoutingService
from rhubarbway.services.servers import ServerService

if TYPE_CHECKING:
    from rhubarbway.services.fleet import FleetService

# Longest wait of a watch for a change, seconds. Longer waits save calls, each of which is charged
# for. The first reader waits less, so that the store confirms the copies often enough to tell stale
# ones apart. A connection may go silent just before a server is removed, which must be known 3 s
# later: by then ``BATCH_DELAY_S`` and a watch with its margin must be over, and the next call must
# have been answered.
WATCH_WAIT_S = 1.8
# Wait of a watch while the store has not answered recently, seconds. It asks for a reply at once,
# so that a store that answers new connections is told from one that is away.
PROBE_WAIT_S = 0.01
# Time after an answer of the store during which watches wait for ``WATCH_WAIT_S``, seconds.
RECENT_ANSWER_S = WATCH_WAIT_S + 2.0
# Delay after a watch with changes, seconds. Changes come in groups, and each watch is charged for.
BATCH_DELAY_S = 0.3
# Time for which deletions are deferred after an outage or a mass deletion, seconds. Entries that
# lapsed during an outage are written again within about 2 s of the store's return.
LAPSE_GRACE_S = 2.2
# If at least this number and this fraction of the servers that do not drain are deleted at once,
# their entries are assumed to have lapsed in an outage between two calls. Servers that leave
# unannounced when an index is replaced are a smaller fraction.
MIN_LAPSED_ENTRIES = 4
MIN_LAPSED_FRACTION = 0.4
# Delay after a failed call, seconds; it doubles with each failure up to the maximum.
INITIAL_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 1.0
# Time for which a host that could not reach the store, and no longer reads it, is not chosen as a
# reader, seconds. Other hosts are tried meanwhile.
BLINDNESS_S = 10.0
# Interval at which a host checks whether it has become a reader, seconds.
ROLE_CHECK_INTERVAL_S = 0.1
# Interval of that check while the host has no copy and callers may wait, seconds.
START_CHECK_INTERVAL_S = 0.02
# Number of keys with invalid values whose problem is remembered, so that it is logged only once.
MAX_REPORTED_KEYS = 1024
# Shortest interval between two replies to waiting followers that carry no change, seconds.
MIN_WAKE_INTERVAL_S = 0.3


class Changes:
    """Changes of the copy for a follower.

    Parameters
    ----------
    items : sequence of StoreItem
        Changed items, with value None for a deletion.
    revision : int
        Revision of the store up to which the copy contains all changes, except deferred deletions.
    sequence : int
        Sequence number of the newest change of the copy.
    whole : bool
        Whether ``items`` are all items of a complete copy, so that keys missing from it were
        deleted.
    complete : bool
        Whether the copy is complete; items of the store may be missing from an incomplete one.
    confirmed_at : float
        ``time.monotonic()`` instant at which the store last confirmed that the copy is current;
        -inf if it never did.
    settled_revision, deletions_known_after : int
        Those of the copy (``StoreCopy``).
    """

    __slots__ = (
        "complete",
        "confirmed_at",
        "deletions_known_after",
        "items",
        "revision",
        "sequence",
        "settled_revision",
        "whole",
    )

    def __init__(
        self,
        *,
        items: Sequence[StoreItem],
        revision: int,
        sequence: int,
        whole: bool,
        complete: bool,
        confirmed_at: float = float("-inf"),
        settled_revision: int = 0,
        deletions_known_after: int = 0,
    ) -> None:
        self.complete = complete
        self.confirmed_at = confirmed_at
        self.settled_revision = settled_revision
        self.deletions_known_after = deletions_known_after
        self.items = items
        self.revision = revision
        self.sequence = sequence
        self.whole = whole


class RegistryService:
    """Holds the copy of the store, and reads the store while this host is a reader.

    Attributes
    ----------
    complete : bool
        Whether a whole copy has been applied.
    condition : threading.Condition
        Its lock guards the copy. Requests of followers wait for the condition, which is notified
        when the copy changes or waiting followers are to be answered anyway.
    confirmed_at : float
        ``time.monotonic()`` instant at which the store last confirmed, to this host or to those
        that it follows, that the copy is current. The time that a reply takes between two hosts is
        not counted. -inf until the copy is complete.
    """

    __slots__ = (
        "apply_limit_s",
        "confirmation_listeners",
        "confirmed_at",
        "confirmation_relayed",
        "contact",
        "copy_is_stale",
        "condition",
        "client",
        "complete",
        "defer_deletions_until",
        "deferred_deletions",
        "executor",
        "fleet",
        "follower_waits_ended",
        "followers_woken_at",
        "invalid_item_listeners",
        "log",
        "make_client",
        "random",
        "read_revision",
        "reported_problems",
        "routing",
        "servers",
        "stopping",
        "store_answered_at",
        "store_failed_at",
        "store_copy",
    )

    def __init__(
        self, *, make_client: Callable[[], StoreClient], apply_limit_s: float = 3.0
    ) -> None:
        self.make_client = make_client
        # Time within which a change of the store must be in force here, seconds.
        self.apply_limit_s = apply_limit_s
        self.confirmed_at = float("-inf")
        # The newest confirmation that waiting followers were told at once.
        self.confirmation_relayed = float("-inf")
        # Whether the copy was stale when its age was last checked.
        self.copy_is_stale = False
        # Called with the age of each new confirmation, seconds.
        self.confirmation_listeners: list[Callable[[float], None]] = []
        self.client = make_client()
        self.store_copy = StoreCopy()
        self.condition = threading.Condition()
        self.complete = False
        # When the store last answered this host; -inf if the last call failed.
        self.store_answered_at = float("-inf")
        # When a call of this host to the store last failed.
        self.store_failed_at = float("-inf")
        # Whether followers are answered without waiting for a change.
        self.follower_waits_ended = False
        # When waiting followers were last answered without a change.
        self.followers_woken_at = float("-inf")
        # What the calls of this host have shown of the store.
        self.contact = StoreContact.IN_DOUBT
        # The copy and the deferred deletions contain all changes up to this revision of the store.
        self.read_revision = 0
        # Deferred deletions by key, and the instant at which the deferral of all of them ends. The
        # end of another outage or another mass deletion moves it.
        self.deferred_deletions: dict[str, StoreItem] = {}
        self.defer_deletions_until = float("-inf")
        # Called with the kind of each value that cannot be used: ``server`` or ``configuration``.
        self.invalid_item_listeners: list[Callable[..., None]] = []
        # By key, the problem of its value that was logged last.
        self.reported_problems: dict[str, str] = {}
        self.random = Random()
        self.stopping = threading.Event()
        self.executor = ThreadPoolExecutor(1, thread_name_prefix="registry")
        self.log = component_logger("registry")
        self.fleet: FleetService
        self.routing: RoutingService
        self.servers: ServerService

    def start(self, kernel: Kernel) -> None:
        """Start the task that reads the store."""
        self.fleet = kernel.find(FLEET)
        self.routing = kernel.find(ROUTING)
        self.servers = kernel.find(SERVERS)
        self.executor.submit(self.read_store)

    def stop(self) -> None:
        """End the task that reads the store."""
        self.stopping.set()
        self.client.abort()
        self.executor.shutdown(wait=False)

    def read_store(self) -> None:
        """Task: while this host is a reader, watch the store from the revision of the copy."""
        retry_delay_s = INITIAL_RETRY_DELAY_S
        history_gone = False
        while not self.stopping.is_set():
            began_at = time.monotonic()
            was_answering = self.contact is StoreContact.ANSWERING
            self.report_copy_age()
            if not self.fleet.is_reader(has_copy=self.complete, copy_age_s=self.copy_age_s()):
                self.forget_blindness()
                self.stopping.wait(
                    ROLE_CHECK_INTERVAL_S if self.complete else START_CHECK_INTERVAL_S
                )
                continue
            try:
                if not self.complete or history_gone:
                    self.list_store()
                    history_gone = False
                else:
                    self.watch_store()
                self.record_store_answer()
                # Connections that are lost after one answer each keep the longer delay.
                if was_answering:
                    retry_delay_s = INITIAL_RETRY_DELAY_S
            except StoreError as error:
                history_gone = history_gone or error.problem is StoreProblem.HISTORY_GONE
                if error.problem is StoreProblem.HISTORY_GONE:
                    self.log.info(
                        "Store no longer keeps the required changes.",
                        after=self.watch_start(),
                    )
                    continue
                self.record_store_failure(error)
                delay_s = retry_delay_s * (0.5 + self.random.random())
                if self.contact is StoreContact.IN_DOUBT:
                    # Counted from the call that was lost: after a timeout the next one is due.
                    delay_s -= time.monotonic() - began_at
                self.stopping.wait(max(0.0, delay_s))
                retry_delay_s = min(2 * retry_delay_s, MAX_RETRY_DELAY_S)
            except Exception:
                self.log.exception("Reading the store failed.")
                self.stopping.wait(MAX_RETRY_DELAY_S)

    def list_store(self) -> None:
        """Read all items of the store, page by page, and apply them."""
        # The pages are no snapshot, so the copy is complete only up to the revision of the first
        # page; a watch from there repeats later changes.
        first_revision = 0
        after = ""
        items: list[StoreItem] = []
        more = True
        while more:
            page = self.client.list_items("", after_key=after)
            first_revision = first_revision or page.revision
            items += page.items
            after = page.items[-1].key if page.items else ""
            more = page.has_more and bool(page.items)
        self.log.info("Store listed.", revision=first_revision, items=len(items))
        # Recorded before the list is applied: the answer may end an outage, in which case items
        # that the list lacks may have lapsed during it.
        self.record_store_answer()
        self.apply_store_changes(items, revision=first_revision, whole=True)

    def watch_store(self) -> None:
        """Wait for changes of the store and apply them."""
        answered_recently = time.monotonic() < self.store_answered_at + RECENT_ANSWER_S
        wait_s = WATCH_WAIT_S if answered_recently else PROBE_WAIT_S
        if self.fleet.is_first_reader():
            wait_s = min(wait_s, CONFIRMATION_FRACTION * self.apply_limit_s)
        if self.deferred_deletions and answered_recently:
            # Ends the watch when the deferral ends, since the deletions are applied after a watch.
            wait_s = max(0.1, min(wait_s, self.defer_deletions_until - time.monotonic()))
        page = self.client.watch("", after_revision=self.watch_start(), wait_s=wait_s)
        self.record_store_answer()
        self.apply_store_changes(page.items, revision=page.revision, whole=False)
        if page.items:
            self.stopping.wait(BATCH_DELAY_S)

    def watch_start(self) -> int:
        """Return the revision after which this host has to read the store.

        The copy may be at a later revision that another host sent without the deletions that it
        has deferred.
        """
        return max(self.store_copy.settled_revision, self.read_revision)

    def apply_changes(
        self,
        items: Sequence[StoreItem],
        *,
        revision: int,
        whole: bool,
        complete: bool,
        source: str,
        confirmed_at: float = float("-inf"),
        settled_revision: int = 0,
        deletions_known_after: int = 0,
    ) -> None:
        """Apply changes, or a whole copy, to this copy and put what changed into force.

        Parameters
        ----------
        items : sequence of StoreItem
            Changed items, or all items of the source.
        revision : int
            Revision of the store that the source has reached.
        whole : bool
            Whether ``items`` is a whole copy, so that keys missing from it were deleted.
        complete : bool
            Whether the copy contains all changes up to ``revision`` afterwards, except deferred
            deletions.
        source : str
            Address of the other host, or "store", for log lines.
        confirmed_at : float
            When the store last confirmed that the source is current; the copy is as current as its
            source afterwards if ``complete``.
        settled_revision, deletions_known_after : int
            Those of the source's copy (``StoreCopy``).
        """
        with self.condition:
            apply_to_copy = self.store_copy.replace_all if whole else self.store_copy.apply
            sequence_before = self.store_copy.sequence
            changed_items = apply_to_copy(items, revision=revision if complete else 0)
            if complete:
                self.store_copy.follow(
                    settled_revision=settled_revision,
                    deletions_known_after=deletions_known_after,
                    whole=whole,
                )
            becomes_complete = complete and not self.complete
            if becomes_complete:
                self.complete = True
                self.store_copy.mark_complete()
                self.log.info("Copy of the store is complete.", source=source)
            if changed_items:
                self.put_into_force(changed_items, source)
            if complete and confirmed_at > self.confirmed_at:
                self.confirmed_at = confirmed_at
                for listener in self.confirmation_listeners:
                    listener(time.monotonic() - confirmed_at)
            relay_step_s = RELAY_FRACTION * self.apply_limit_s
            is_news = self.confirmed_at >= self.confirmation_relayed + relay_step_s
            if self.store_copy.sequence > sequence_before or is_news:
                self.confirmation_relayed = self.confirmed_at
                self.condition.notify_all()

    def apply_store_changes(
        self, items: Sequence[StoreItem], *, revision: int, whole: bool
    ) -> None:
        """Apply changes, or all items if ``whole``, read from the store; may defer deletions."""
        with self.condition:
            changes = self.changes_to_apply(items, whole=whole, revision=revision)
            self.read_revision = max(self.read_revision, revision)
            if whole:
                self.store_copy.record_unknown_deletions(revision)
        # Applied as changes even after a list: the keys that it lacks are deletions by now, some of
        # which may be deferred.
        self.apply_changes(
            changes,
            revision=revision,
            whole=False,
            complete=True,
            source="store",
            confirmed_at=time.monotonic(),
            settled_revision=0 if self.deferred_deletions else revision,
        )

    def forget_blindness(self) -> None:
        """Let a host that no longer reads the store be chosen as a reader again after some time."""
        if time.monotonic() > self.store_failed_at + BLINDNESS_S:
            self.fleet.set_blind(False)

    def copy_age_s(self) -> float:
        """Return the time since the store last confirmed the copy, seconds; inf without one."""
        return time.monotonic() - self.confirmed_at

    def is_copy_stale(self) -> bool:
        """Return whether the copy is complete, but may lack a change for too long."""
        return self.complete and is_stale(self.copy_age_s(), apply_limit_s=self.apply_limit_s)

    def report_copy_age(self) -> None:
        """Log when the copy becomes stale, and when it is current again."""
        age_s = self.copy_age_s()
        stale = self.is_copy_stale()
        if stale == self.copy_is_stale:
            return
        self.copy_is_stale = stale
        if stale:
            self.log.warning(
                "Copy of the store is stale.",
                age_s=round(age_s, 2),
                revision=self.store_copy.revision,
            )
        else:
            self.log.info("Copy of the store is current again.", revision=self.store_copy.revision)

    def changes_to_apply(
        self, items: Sequence[StoreItem], *, whole: bool, revision: int
    ) -> list[StoreItem]:
        """Return the changes of the store to apply now, with deletions whose deferral has ended.

        Entries lapse during an outage of the store and are written again soon after it. The end of
        an outage, many deletions at once, or a deletion that another host has deferred therefore
        defer all deletions that are read until ``LAPSE_GRACE_S`` has passed since the last such
        event.
        """
        now = time.monotonic()
        changes = list(items)
        if whole:
            listed = {item.key for item in changes}
            changes += [
                StoreItem(key=key, value=None, revision=revision)
                for key, known in self.store_copy.items.items()
                if key not in listed and known.revision <= revision
            ]
        deleted_keys = [
            item.key for item in changes if item.value is None and self.is_serving(item.key)
        ]
        serving_count = (
            sum(self.is_serving(key) for key in self.store_copy.items) if deleted_keys else 0
        )
        if len(deleted_keys) >= max(MIN_LAPSED_ENTRIES, MIN_LAPSED_FRACTION * serving_count):
            self.defer_deletions_until = now + LAPSE_GRACE_S
            self.log.warning(
                "Many entries deleted at once; deletions deferred.",
                count=len(deleted_keys),
                of=serving_count,
            )
        elif not whole and any(self.is_deferred_elsewhere(item) for item in changes):
            self.defer_deletions_until = max(self.defer_deletions_until, now + LAPSE_GRACE_S)
        if now < self.defer_deletions_until:
            for item in changes:
                if item.value is None:
                    self.deferred_deletions[item.key] = item
                else:
                    self.deferred_deletions.pop(item.key, None)
            return [item for item in changes if item.value is not None]
        due_deletions = list(self.deferred_deletions.values())
        self.deferred_deletions.clear()
        return due_deletions + changes

    def is_deferred_elsewhere(self, item: StoreItem) -> bool:
        """Return whether a change is a deletion that the host which sent this copy has deferred.

        The copy has reached the revision of the deletion, and still holds the key. A deletion that
        this host has deferred itself is not read again.
        """
        known = self.store_copy.items.get(item.key)
        return (
            item.value is None
            and known is not None
            and known.revision < item.revision <= self.store_copy.revision
        )

    def is_serving(self, key: str) -> bool:
        """Return whether the entry of a key describes a server that is not draining."""
        item = self.store_copy.items.get(key)
        if item is None or item.value is None:
            return False
        server = server_from_entry(key, item.value).value_or(None)
        return server is not None and not server.draining

    def wait_for_changes(
        self, *, after: int | None, wait_s: float, settled_revision: int = 0
    ) -> Changes:
        """Return the changes after a sequence number, or the whole copy.

        Returns the whole copy also if this host does not know all changes since ``after``.

        Parameters
        ----------
        after : int or None
            Sequence number of the last change that the follower has. If there is no later change,
            waits for one or until waiting followers are woken without one. None returns the whole
            at once.
        wait_s : float
            Longest time to wait, seconds.
        settled_revision : int
            Revision of the store up to which the follower's own copy lacks no change, 0 if it has
            none. Changes up to it are left out, and the later ones take the place of the whole copy
            if this host knows them all.
        """
        with self.condition:
            if (
                after is not None
                and after == self.store_copy.sequence
                and not self.follower_waits_ended
            ):
                self.condition.wait(wait_s)
            items = self.store_copy.changes_since(after) if after is not None else None
            if items is None and self.complete and settled_revision:
                items = self.store_copy.changes_after_revision(settled_revision)
            elif items is not None:
                # The follower may have got these changes from the other host that it follows.
                items = [item for item in items if item.revision > settled_revision]
            whole = items is None
            return Changes(
                items=self.store_copy.whole_copy() if items is None else items,
                revision=self.store_copy.revision,
                sequence=self.store_copy.sequence,
                whole=whole and self.complete,
                complete=self.complete,
                confirmed_at=self.confirmed_at,
                settled_revision=self.store_copy.settled_revision,
                deletions_known_after=self.store_copy.deletions_known_after,
            )

    def settled_revision(self) -> int:
        """Return the revision up to which the copy lacks no change, 0 without a whole copy."""
        with self.condition:
            return self.store_copy.settled_revision if self.complete else 0

    def end_follower_waits(self) -> None:
        """Answer waiting followers now and later requests at once; called when the host stops."""
        with self.condition:
            self.follower_waits_ended = True
            self.condition.notify_all()

    def wake_followers(self) -> None:
        """Answer waiting followers now, at most once per ``MIN_WAKE_INTERVAL_S``.

        Called for new reports of slow servers, which are not in the copy but in each reply.
        """
        with self.condition:
            now = time.monotonic()
            if now < self.followers_woken_at + MIN_WAKE_INTERVAL_S:
                return
            self.followers_woken_at = now
            self.condition.notify_all()

    def put_into_force(self, changed_items: Sequence[StoreItem], source: str) -> None:
        """Apply changed items to the routing table and the servers."""
        # By server id. The last change of a server takes precedence, since a write and the deletion
        # that follows it may arrive together.
        servers: dict[str, BackendServer | None] = {}
        for item in changed_items:
            if item.key == CONFIGURATION_KEY:
                self.offer_configuration(item, source)
            elif item.key.startswith(SERVER_KEY_PREFIX):
                server = self.decode_server(item) if item.value is not None else None
                servers[item.key.removeprefix(SERVER_KEY_PREFIX)] = server
        if servers:
            changed = [server for server in servers.values() if server is not None]
            removed = [server_id for server_id, server in servers.items() if server is None]
            self.servers.update(changed, removed)

    def offer_configuration(self, item: StoreItem, source: str) -> None:
        """Put a configuration into force, unless it is invalid or older than the one in force."""
        if item.value is None:
            self.log.warning("Configuration deleted; the last one stays in force.")
            return
        result = routing_table_from_json(item.value)
        if isinstance(result, Success):
            self.routing.offer(result.unwrap(), source=source)
            return
        findings = [str(finding) for finding in result.failure()][:8]
        if self.is_new_problem(item.key, "; ".join(findings), kind="configuration"):
            self.log.error(
                "Invalid configuration refused.", revision=item.revision, findings=findings
            )

    def decode_server(self, item: StoreItem) -> BackendServer | None:
        """Return the server that an entry describes; log an invalid entry and return None."""
        result = server_from_entry(item.key, item.value or b"")
        if isinstance(result, Success):
            return result.unwrap()
        finding = str(result.failure())
        if self.is_new_problem(item.key, finding, kind="server"):
            self.log.warning("Invalid server entry ignored.", finding=finding)
        return None

    def is_new_problem(self, key: str, problem: str, *, kind: str) -> bool:
        """Count an invalid value, and return whether its problem was not logged yet for the key.

        A writer with a fault may write the same value every second.
        """
        for listener in self.invalid_item_listeners:
            listener(kind=kind)
        if self.reported_problems.get(key) == problem:
            return False
        if len(self.reported_problems) >= MAX_REPORTED_KEYS:
            self.reported_problems.clear()
        self.reported_problems[key] = problem
        return True

    def record_store_answer(self) -> None:
        """Record an answer of the store; after an outage, defer deletions for ``LAPSE_GRACE_S``."""
        self.store_answered_at = time.monotonic()
        before, self.contact = self.contact, NEXT_CONTACT[self.contact, CallEnd.ANSWERED]
        if before is self.contact:
            return
        self.fleet.set_blind(False)
        if ends_outage(before, CallEnd.ANSWERED):
            self.defer_deletions_until = time.monotonic() + LAPSE_GRACE_S
            self.log.info("Store available again.")

    def record_store_failure(self, error: StoreError) -> None:
        """Record that a call of the store failed."""
        self.store_answered_at = float("-inf")
        self.store_failed_at = time.monotonic()
        end = CallEnd.REFUSED if error.problem is StoreProblem.REFUSED else CallEnd.LOST
        before, self.contact = self.contact, NEXT_CONTACT[self.contact, end]
        if before is self.contact:
            return
        if self.contact is StoreContact.IN_DOUBT:
            self.log.info("Connection to the store lost.", problem=str(error))
            return
        self.fleet.set_blind(True)
        self.log.warning("Store unavailable.", problem=str(error))
