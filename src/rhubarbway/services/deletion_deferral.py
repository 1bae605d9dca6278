"""Deletions of server entries that this host has read and holds back, with their log and metrics.

An entry may have lapsed in an outage of the store and be written again soon
(``decisions.deferred_deletions``).
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence

from rhubarbway.decisions.deferred_deletions import (
    DeferralEnd,
    DeferralReason,
    DeferredDeletion,
    DeferredDeletions,
    DueChanges,
    is_mass_deletion,
)
from rhubarbway.decisions.store_copy import StoreCopy
from rhubarbway.model import StoreItem
from rhubarbway.platform.registry_entries import SERVER_KEY_PREFIX, server_from_entry
from rhubarbway.services.log import SERVERS_PER_LINE, component_logger


def is_server_key(key: str) -> bool:
    """Return whether the value of a key describes a server, so that it may lapse."""
    return key.startswith(SERVER_KEY_PREFIX)


class DeletionDeferral:
    """Tells the deletions to apply from those to hold back; the caller holds the registry's lock.

    Parameters
    ----------
    store_copy : StoreCopy
        The copy to which the changes are applied.
    clock : callable
        Returns the current instant.

    Attributes
    ----------
    deferred : DeferredDeletions
        The deletions that are held back.
    end_listeners : list of callable
        Called with ``reason``, ``end`` and ``seconds`` of each deferral that has ended.
    change_listeners : list of callable
        Called with the instants since which the deferred deletions are known, by server id, when
        the set of these deletions changes.
    """

    __slots__ = ("change_listeners", "clock", "deferred", "end_listeners", "log", "store_copy")

    def __init__(self, *, store_copy: StoreCopy, clock: Callable[[], float]) -> None:
        self.store_copy = store_copy
        self.clock = clock
        self.deferred = DeferredDeletions(may_lapse=self.may_lapse)
        self.end_listeners: list[Callable[..., None]] = []
        self.change_listeners: list[Callable[[dict[str, float]], None]] = []
        self.log = component_logger("registry")

    def may_lapse(self, key: str) -> bool:
        """Return whether the deletion of a key may be that of a living server.

        One of a listed entry that is not in use leaves nothing to hold back.
        """
        return is_server_key(key) and not self.store_copy.is_withheld(key)

    def begin_after_outage(self) -> None:
        """Defer deletions from now on: the store is back, and entries may have lapsed meanwhile."""
        self.deferred.defer(now=self.clock(), reason=DeferralReason.OUTAGE)

    def begin_era(self) -> set[str]:
        """Begin a later era of the store; return the keys whose deletions were deferred."""
        keys = {key for key, _ in self.deferred.known_deletions()}
        self.report(self.deferred.end_all(), now=self.clock())
        return keys

    def changes_to_apply(
        self, items: Sequence[StoreItem], *, whole: bool, revision: int
    ) -> list[StoreItem]:
        """Return the changes of the store to apply now, with deletions whose deferral has ended.

        Parameters
        ----------
        items : sequence of StoreItem
            Changes, or all items of the store if ``whole``.
        whole : bool
            Whether keys that ``items`` lacks were deleted.
        revision : int
            Revision of the store that was read.
        """
        now = self.clock()
        changes = list(items)
        if whole:
            listed = {item.key for item in items}
            changes += self.store_copy.deletions_of_unlisted(listed, revision=revision)
        if self.are_entries_lapsed(changes):
            self.deferred.defer(now=now, reason=DeferralReason.MASS_DELETION)
        due = self.deferred.due_changes(
            changes,
            now=now,
            is_deferred_elsewhere=lambda item: not whole and self.is_deferred_elsewhere(item),
        )
        self.report(due, now=now)
        return due.items

    def merge(self, received: Iterable[DeferredDeletion]) -> None:
        """Record the deletions that another host has deferred and this copy lacks."""
        merged = []
        for deletion in received:
            item = deletion.item
            held = self.store_copy.items.get(item.key)
            if held is None or held.position >= item.position or not is_server_key(item.key):
                continue
            new = self.deferred.merge(item, known_since=deletion.known_since)
            if new is not None:
                merged.append(new)
        if merged:
            result = DueChanges()
            result.begun = merged
            self.report(result, now=self.clock())

    def news_for_follower(self, *, after: int | None) -> list[DeferredDeletion]:
        """Return the known deletions that a follower lacks; None for ``after`` returns all."""
        return [
            deletion
            for _, deletion in self.deferred.known_deletions()
            if after is None or deletion.sequence > after
        ]

    def drop_received(self) -> None:
        """Drop the deletions that the copy has received from another host."""
        if not self.deferred.read_here and not self.deferred.read_elsewhere:
            return
        items = self.store_copy.items
        ended = self.deferred.drop_received(
            lambda key: items[key].position if key in items else None
        )
        self.report(ended, now=self.clock())

    def report(self, due: DueChanges, *, now: float) -> None:
        """Log the deferrals that have begun or ended, and pass them to the listeners.

        The followers learn of those that have begun.
        """
        if due.begun:
            sequence = self.store_copy.advance()
            for deletion in due.begun:
                deletion.sequence = sequence
        for reason in DeferralReason:
            self.log_servers(
                "Deletions deferred.",
                [deletion for deletion in due.begun if deletion.reason is reason],
                reason=reason.value,
                for_ms=self.longest_ms(deletion.due_at - now for deletion in due.begun),
            )
        for end in DeferralEnd:
            ended = [deletion for deletion, how in due.ended if how is end]
            self.log_servers(
                "Deferral of deletions ended.",
                ended,
                end=end.value,
                longest_ms=self.longest_ms(now - deletion.known_since for deletion in ended),
            )
        for deletion, end in due.ended:
            for listener in self.end_listeners:
                listener(
                    reason=deletion.reason.value,
                    end=end.value,
                    seconds=now - deletion.known_since,
                )
        if due.begun or due.ended:
            known_since = self.known_since()
            for change_listener in self.change_listeners:
                change_listener(known_since)

    def known_since(self) -> dict[str, float]:
        """Return the instants since which the deferred deletions are known, by server id."""
        return {
            key.removeprefix(SERVER_KEY_PREFIX): deletion.known_since
            for key, deletion in self.deferred.known_deletions()
        }

    def longest_ms(self, times_s: Iterable[float]) -> int | None:
        """Return the longest of some times in milliseconds; None without any or without a bound."""
        longest_s = max(times_s, default=float("inf"))
        return round(longest_s * 1000) if longest_s < float("inf") else None

    def log_servers(self, event: str, deletions: list[DeferredDeletion], **details) -> None:
        """Log deletions, a limited number of servers in a line."""
        for start in range(0, len(deletions), SERVERS_PER_LINE):
            chunk = deletions[start : start + SERVERS_PER_LINE]
            self.log.info(
                event,
                servers=[deletion.item.key.removeprefix(SERVER_KEY_PREFIX) for deletion in chunk],
                deferred=len(self.deferred.read_here) + len(self.deferred.read_elsewhere),
                **details,
            )

    def are_entries_lapsed(self, changes: Iterable[StoreItem]) -> bool:
        """Return whether changes delete so many entries that these have lapsed in an outage."""
        deleted_keys = [
            item.key for item in changes if item.value is None and self.is_serving(item.key)
        ]
        if not deleted_keys:
            return False
        serving = sum(self.is_serving(key) for key in self.store_copy.items)
        if not is_mass_deletion(len(deleted_keys), serving=serving):
            return False
        self.log.warning(
            "Many entries deleted at once; deletions deferred.",
            count=len(deleted_keys),
            of=serving,
        )
        return True

    def is_deferred_elsewhere(self, item: StoreItem) -> bool:
        """Return whether a change is a deletion that the host which sent this copy has deferred.

        The copy has reached the revision of the deletion, and still holds the key. A deletion that
        this host has deferred itself is not read again.
        """
        known = self.store_copy.items.get(item.key)
        return (
            item.value is None
            and is_server_key(item.key)
            and known is not None
            and known.position < item.position <= self.store_copy.position
        )

    def is_serving(self, key: str) -> bool:
        """Return whether the entry of a key describes a server that is not draining."""
        item = self.store_copy.items.get(key)
        if item is None or item.value is None or not is_server_key(key):
            return False
        server = server_from_entry(key, item.value).value_or(None)
        return server is not None and not server.draining
