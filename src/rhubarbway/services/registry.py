"""Copy of the platform's store: the configuration and the entries of backend servers.

A few hosts, the readers, read the store (``services.store_reader``); every host serves its copy to
its followers.
"""

from __future__ import annotations

import itertools
import secrets
import threading
import time
from collections.abc import Callable, Sequence

from returns.result import Success

from rhubarbway.decisions.copy_freshness import (
    RELAY_FRACTION,
    Confirmation,
    KnownConfirmations,
    is_stale,
)
from rhubarbway.decisions.deferred_deletions import DeferredDeletion
from rhubarbway.decisions.store_copy import StoreCopy
from rhubarbway.kernel import Kernel
from rhubarbway.model import BackendServer, ItemEvidence, StoreItem, StorePosition
from rhubarbway.platform.configuration import CONFIGURATION_KEY, routing_table_from_json
from rhubarbway.platform.evacuation_keys import EVACUATION_KEY_PREFIX, evacuated_zone
from rhubarbway.platform.item_summaries import kind_of_key, summarize_item
from rhubarbway.platform.registry_entries import SERVER_KEY_PREFIX, server_from_entry
from rhubarbway.services.copy_changes import Changes
from rhubarbway.services.copy_eras import CopyEras
from rhubarbway.services.deletion_deferral import DeletionDeferral
from rhubarbway.services.log import component_logger
from rhubarbway.services.names import ROUTING, SERVERS
from rhubarbway.services.routing import RoutingService
from rhubarbway.services.servers import ServerService

# Number of keys with invalid values whose problem is remembered, so that it is logged only once.
MAX_REPORTED_KEYS = 1024
# Shortest interval between two replies to waiting followers that carry no change, seconds.
MIN_WAKE_INTERVAL_S = 0.3


class RegistryService:
    """Holds the copy of the store, and puts what changes in it into force.

    Attributes
    ----------
    complete : bool
        Whether a whole copy has been applied.
    condition : threading.Condition
        Its lock guards the copy. Requests of followers wait for the condition, which is notified
        when the copy changes or waiting followers are to be answered anyway.
    confirmation : Confirmation
        The newest answer of the store, to this host or to those that it follows, by which the copy
        is current. The time that its first message takes between two hosts is not counted.
    """

    __slots__ = (
        "answer_numbers",
        "apply_limit_s",
        "clock",
        "confirmation",
        "confirmation_listeners",
        "confirmation_relayed",
        "copy_is_stale",
        "condition",
        "complete",
        "deferral",
        "eras",
        "follower_waits_ended",
        "followers_woken_at",
        "incarnation",
        "invalid_item_listeners",
        "known_confirmations",
        "log",
        "read_revision",
        "reported_problems",
        "routing",
        "servers",
        "store_copy",
    )

    def __init__(
        self, *, apply_limit_s: float = 3.0, clock: Callable[[], float] = time.monotonic
    ) -> None:
        # Returns the current instant.
        self.clock = clock
        # Time within which a change of the store must be in force here, seconds.
        self.apply_limit_s = apply_limit_s
        self.confirmation = Confirmation()
        self.known_confirmations = KnownConfirmations()
        # Name of this process as a reader, and numbers of the answers that it gets from the store.
        self.incarnation = secrets.token_hex(8)
        self.answer_numbers = itertools.count(1)
        # The newest confirmation that waiting followers were told at once.
        self.confirmation_relayed = float("-inf")
        # Whether the copy was stale when its age was last checked.
        self.copy_is_stale = False
        # Called with the age of each new confirmation, seconds.
        self.confirmation_listeners: list[Callable[[float], None]] = []
        self.store_copy = StoreCopy(kind_of=kind_of_key, summarize=summarize_item)
        self.condition = threading.Condition()
        self.complete = False
        # Whether followers are answered without waiting for a change.
        self.follower_waits_ended = False
        # When waiting followers were last answered without a change.
        self.followers_woken_at = float("-inf")
        # The copy and the deferred deletions contain all changes up to this revision of the store.
        self.read_revision = 0
        self.deferral = DeletionDeferral(store_copy=self.store_copy, clock=self.clock)
        self.eras = CopyEras(store_copy=self.store_copy, deferral=self.deferral, clock=self.clock)
        # Called with the kind of each value that cannot be used: ``server``, ``configuration`` or
        # ``evacuation``.
        self.invalid_item_listeners: list[Callable[..., None]] = []
        # By key, the problem of its value that was logged last.
        self.reported_problems: dict[str, str] = {}
        self.log = component_logger("registry")
        self.routing: RoutingService
        self.servers: ServerService

    def start(self, kernel: Kernel) -> None:
        """Find the services that apply what changes in the copy."""
        self.routing = kernel.find(ROUTING)
        self.servers = kernel.find(SERVERS)

    def stop(self) -> None:
        """End; the fleet service has already answered the waiting followers."""

    def watch_start(self) -> StorePosition:
        """Return the position after which this host has to read the store.

        The copy may be at a later one that another host sent without the deletions that it has
        deferred. The revision is 0 if only a listing brings the copy up to date.
        """
        with self.condition:
            revision = max(self.store_copy.settled_revision, self.read_revision)
            return StorePosition(era=self.store_copy.era, revision=revision)

    def apply_changes(
        self,
        items: Sequence[StoreItem],
        *,
        revision: int,
        whole: bool,
        complete: bool,
        source: str,
        confirmation: Confirmation | None = None,
        settled_revision: int = 0,
        deletions_known_after: int = 0,
        deferred: Sequence[DeferredDeletion] = (),
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
        confirmation : Confirmation or None
            The last one by which the source is current; the copy is as current as its source
            afterwards if ``complete``.
        settled_revision, deletions_known_after : int
            Those of the source's copy (``StoreCopy``).
        deferred : sequence of DeferredDeletion
            Deletions that the source knows and has not applied.
        """
        with self.condition:
            apply_to_copy = self.store_copy.replace_all if whole else self.store_copy.apply
            sequence_before = self.store_copy.sequence
            changed_items = apply_to_copy(items, revision=revision if complete else 0)
            self.deferral.drop_received()
            self.deferral.merge(deferred)
            if complete:
                self.store_copy.follow(
                    settled_revision=settled_revision,
                    deletions_known_after=deletions_known_after,
                    whole=whole,
                )
                self.mark_complete(source)
            if changed_items:
                self.put_into_force(changed_items, source)
            if complete and confirmation is not None:
                self.record_confirmation(confirmation)
                self.end_restored_states(source)
            self.notify_followers(has_changed=self.store_copy.sequence > sequence_before)

    def mark_complete(self, source: str) -> None:
        """Note that a whole copy has been applied; the caller holds the lock."""
        if self.complete:
            return
        self.complete = True
        self.store_copy.mark_complete()
        self.log.info("Copy of the store is complete.", source=source)

    def notify_followers(self, *, has_changed: bool) -> None:
        """Answer waiting followers if the copy has changed, or if they are to learn that it is
        current; the caller holds the lock.
        """
        relay_step_s = RELAY_FRACTION * self.apply_limit_s
        if has_changed or self.confirmation.at >= self.confirmation_relayed + relay_step_s:
            self.confirmation_relayed = self.confirmation.at
            self.condition.notify_all()

    def apply_received(self, changes: Changes, *, source: str) -> None:
        """Apply the changes of the copy of another host, whose address is ``source``."""
        with self.condition:
            era = self.eras.era_of(changes.era)
            if not self.eras.accepts(era, whole=changes.whole, has_copy=self.complete):
                return
            items = changes.items
            if era != changes.era:
                items = [item.copied(era=era) for item in items]
            is_new_era = self.begin_era(era, source=source)
            self.apply_changes(
                items,
                revision=changes.revision,
                whole=changes.whole,
                complete=changes.complete,
                source=source,
                confirmation=changes.confirmation,
                settled_revision=changes.settled_revision,
                deletions_known_after=changes.deletions_known_after,
                deferred=changes.deferred,
            )
            if is_new_era:
                self.eras.record_begun()

    def begin_era(self, era: int, *, source: str) -> bool:
        """Begin an era if it is later than that of the copy; return whether it is."""
        if era <= self.store_copy.era:
            return False
        self.eras.begin(era, source=source)
        self.read_revision = 0
        return True

    def end_restored_states(self, source: str) -> None:
        """End the states of earlier eras that are due; the caller holds the lock."""
        ended = self.eras.end_due(confirmed_at=self.confirmation.at)
        if ended:
            self.put_into_force(ended, source)

    def record_confirmation(self, confirmation: Confirmation) -> None:
        """Note that the copy was current at some instant; the caller holds the lock."""
        is_new = self.known_confirmations.is_new(confirmation)
        if not is_new or confirmation.at <= self.confirmation.at:
            return
        self.eras.record_confirmation_gap(
            ended_at=confirmation.at, seconds=confirmation.at - self.confirmation.at
        )
        self.confirmation = confirmation
        for listener in self.confirmation_listeners:
            listener(self.clock() - confirmation.at)

    def apply_store_changes(
        self, items: Sequence[StoreItem], *, revision: int, whole: bool, era: int = 0
    ) -> None:
        """Apply changes, or all items if ``whole``, read from the store; may defer deletions.

        Changes of another era than that of the copy are ignored, unless they are all items of a
        later one, with which the copy begins that era.
        """
        with self.condition:
            era = era or self.store_copy.era
            if not self.eras.accepts(era, whole=whole, has_copy=True):
                return
            is_new_era = self.begin_era(era, source="store")
            evidence = ItemEvidence.LISTED if whole else ItemEvidence.WRITTEN
            items = [item.copied(era=era, evidence=evidence) for item in items]
            self.apply_read(items, revision=revision, whole=whole)
            if is_new_era:
                self.eras.record_begun()

    def apply_read(self, items: Sequence[StoreItem], *, revision: int, whole: bool) -> None:
        """Apply what was read in the era of the copy."""
        with self.condition:
            sequence_before = self.store_copy.sequence
            changes = self.deferral.changes_to_apply(items, whole=whole, revision=revision)
            if self.store_copy.sequence > sequence_before:
                self.condition.notify_all()
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
            confirmation=Confirmation(
                at=self.clock(), reader=self.incarnation, number=next(self.answer_numbers)
            ),
            settled_revision=0 if self.deferral.deferred.read_here else revision,
        )

    def copy_age_s(self) -> float:
        """Return the time since the store last confirmed the copy, seconds; inf without one."""
        return self.clock() - self.confirmation.at

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

    def wait_for_changes(
        self, *, after: int | None, wait_s: float, settled_revision: int = 0, era: int = 0
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
        era : int
            Era of the store to which that revision belongs; it says nothing in another one.
        """
        with self.condition:
            if (
                after is not None
                and after == self.store_copy.sequence
                and not self.follower_waits_ended
            ):
                self.condition.wait(wait_s)
            if era != self.store_copy.era:
                settled_revision = 0
            return self.changes_for_follower(after=after, settled_revision=settled_revision)

    def changes_for_follower(self, *, after: int | None, settled_revision: int) -> Changes:
        """Return what ``wait_for_changes`` returns, without waiting; the caller holds the lock."""
        copy = self.store_copy
        items = copy.changes_since(after) if after is not None else None
        is_continued = items is not None
        if items is None and self.complete and settled_revision:
            items = copy.changes_after_revision(settled_revision)
        elif items is not None:
            # The follower may have got these changes from the other host that it follows.
            items = [item for item in items if copy.is_change_after(item, settled_revision)]
        return Changes(
            items=copy.whole_copy() if items is None else items,
            revision=copy.revision,
            sequence=copy.sequence,
            whole=items is None and self.complete,
            complete=self.complete,
            confirmation=self.confirmation,
            settled_revision=copy.settled_revision,
            deletions_known_after=copy.deletions_known_after,
            deferred=self.deferral.news_for_follower(after=after if is_continued else None),
            era=copy.era,
        )

    def settled_position(self) -> StorePosition:
        """Return up to where the copy lacks no change; revision 0 without a whole copy."""
        with self.condition:
            revision = self.store_copy.settled_revision if self.complete else 0
            return StorePosition(era=self.store_copy.era, revision=revision)

    def next_due_at(self) -> float:
        """Return when the next deferred deletion, or end of a state from before a restore, is due.

        It takes effect with the next answer of the store. Returns inf if there is none.
        """
        with self.condition:
            return min(self.deferral.deferred.next_due_at(), self.store_copy.restored.next_due_at())

    def defer_deletions(self) -> None:
        """Defer deletions from now on: the store is back, and entries may have lapsed meanwhile."""
        with self.condition:
            self.deferral.begin_after_outage()

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
            now = self.clock()
            if now < self.followers_woken_at + MIN_WAKE_INTERVAL_S:
                return
            self.followers_woken_at = now
            self.condition.notify_all()

    def put_into_force(self, changed_items: Sequence[StoreItem], source: str) -> None:
        """Apply changed items to the routing table and the servers."""
        # By server id. The last change of a server takes precedence, since a write and the deletion
        # that follows it may arrive together.
        servers: dict[str, BackendServer | None] = {}
        # Before the servers, so that those of an evacuated zone are not used in between.
        if any(item.key.startswith(EVACUATION_KEY_PREFIX) for item in changed_items):
            self.servers.set_evacuated_zones(self.evacuated_zones())
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

    def evacuated_zones(self) -> set[str]:
        """Return the zones whose evacuation the copy asks for; the caller holds the lock."""
        zones = set()
        for item in self.store_copy.items.values():
            if not item.key.startswith(EVACUATION_KEY_PREFIX):
                continue
            result = evacuated_zone(item.key)
            if isinstance(result, Success):
                zones.add(result.unwrap())
                continue
            finding = str(result.failure())
            if self.is_new_problem(item.key, finding, kind="evacuation"):
                self.log.warning("Invalid evacuation key ignored.", finding=finding)
        return zones

    def offer_configuration(self, item: StoreItem, source: str) -> None:
        """Put a configuration into force, unless it is invalid or older than the one in force."""
        if item.value is None:
            self.log.warning("Configuration deleted; the last one stays in force.")
            return
        result = routing_table_from_json(item.value)
        if isinstance(result, Success):
            self.routing.offer(result.unwrap(), source=source, era=item.era)
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
