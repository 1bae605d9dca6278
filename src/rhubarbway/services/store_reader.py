"""Task of a reader: it watches the platform's store and passes on what it reads."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from random import Random
from typing import TYPE_CHECKING

from rhubarbway.decisions.copy_freshness import CONFIRMATION_FRACTION
from rhubarbway.decisions.store_contact import (
    NEXT_CONTACT,
    CallEnd,
    StoreContact,
    ends_outage,
)
from rhubarbway.kernel import Kernel
from rhubarbway.model import StoreItem, StorePosition
from rhubarbway.platform.store import StoreClient, StoreError, StorePage, StoreProblem
from rhubarbway.services.log import component_logger
from rhubarbway.services.names import FLEET, REGISTRY
from rhubarbway.services.registry import RegistryService

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
# Delay after a failed call, seconds; it doubles with each failure up to the maximum.
INITIAL_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 1.0
# Time for which a host that could not reach the store, and no longer reads it, is not chosen as a
# reader, seconds. Other hosts are tried meanwhile.
BLINDNESS_S = 10.0
# Interval at which a host checks whether it has become a reader, seconds.
ROLE_CHECK_INTERVAL_S = 0.1
# Problems of a watch that a list solves. A watch returns each version of a value in full, so quick
# changes of a large one exceed a reply; a list has only the last version, in pages. A revision of
# another era of the store is not one to watch from.
LIST_PROBLEMS = frozenset(
    {StoreProblem.HISTORY_GONE, StoreProblem.TOO_LARGE, StoreProblem.OTHER_ERA}
)
# Longest delay until a reader lists a store that was restored, seconds. All hosts that read it see
# that at once; the first reader lists it without a delay, and its copy reaches most of the others
# before their turn.
LIST_SPREAD_S = 1.0
# Interval of that check while the host has no copy and callers may wait, seconds.
START_CHECK_INTERVAL_S = 0.02


class StoreReader:
    """Reads the store while this host is a reader, and applies what it reads to the copy.

    Parameters
    ----------
    make_client : callable
        Returns a client of the store.
    """

    __slots__ = (
        "client",
        "contact",
        "executor",
        "fleet",
        "is_first_call",
        "later_era",
        "list_at",
        "list_delay_s",
        "log",
        "needs_list",
        "random",
        "registry",
        "stopping",
        "store_answered_at",
        "store_failed_at",
        "watched_from",
    )

    def __init__(self, *, make_client: Callable[[], StoreClient]) -> None:
        self.client = make_client()
        # What the calls of this host have shown of the store.
        self.contact = StoreContact.IN_DOUBT
        # Whether this host has not called the store since it became a reader.
        self.is_first_call = True
        # When the store last answered this host; -inf if the last call failed.
        self.store_answered_at = float("-inf")
        # When a call of this host to the store last failed.
        self.store_failed_at = float("-inf")
        # Whether a watch from the copy's revision has failed, so that the store has to be listed,
        # and from which instant on.
        self.needs_list = False
        self.list_at = float("-inf")
        # Delay until the next list after one that was of no use.
        self.list_delay_s = INITIAL_RETRY_DELAY_S
        # Latest era of the store that its answers have shown.
        self.later_era = 0
        # Position that the last watch named.
        self.watched_from = StorePosition(era=0, revision=0)
        self.random = Random()
        self.stopping = threading.Event()
        self.executor = ThreadPoolExecutor(1, thread_name_prefix="registry")
        # Operators find the lines about the store and its copy under one component.
        self.log = component_logger("registry")
        self.fleet: FleetService
        self.registry: RegistryService

    def start(self, kernel: Kernel) -> None:
        """Start the task that reads the store."""
        self.fleet = kernel.find(FLEET)
        self.registry = kernel.find(REGISTRY)
        self.executor.submit(self.read_store)

    def stop(self) -> None:
        """End the task that reads the store."""
        self.stopping.set()
        self.client.abort()
        self.executor.shutdown(wait=False)

    def read_store(self) -> None:
        """Task: while this host is a reader, watch the store from the revision of the copy."""
        retry_delay_s = INITIAL_RETRY_DELAY_S
        while not self.stopping.is_set():
            began_at = time.monotonic()
            was_answering = self.contact is StoreContact.ANSWERING
            self.registry.report_copy_age()
            delay_s = self.delay_of_next_call()
            if delay_s > 0.0:
                self.stopping.wait(delay_s)
                continue
            must_list = self.must_list()
            try:
                if must_list:
                    self.list_store()
                else:
                    self.watch_store()
                self.record_store_answer()
                # Connections that are lost after one answer each keep the longer delay.
                if was_answering:
                    retry_delay_s = INITIAL_RETRY_DELAY_S
            except StoreError as error:
                if not must_list and error.problem in LIST_PROBLEMS:
                    self.plan_list(error)
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

    def delay_of_next_call(self) -> float:
        """Return the time to wait before this host checks again whether to call the store, seconds.

        It is 0 if the host reads the store and its next call is due.
        """
        if not self.fleet.is_reader(
            has_copy=self.registry.complete, copy_age_s=self.registry.copy_age_s()
        ):
            self.is_first_call = True
            self.forget_blindness()
            return ROLE_CHECK_INTERVAL_S if self.registry.complete else START_CHECK_INTERVAL_S
        if not self.must_list() or not self.registry.complete:
            return 0.0
        return min(ROLE_CHECK_INTERVAL_S, max(0.0, self.list_at - time.monotonic()))

    def must_list(self) -> bool:
        """Return whether only a list brings the copy up to date.

        Another host may have sent a copy of the era for which the list was planned.
        """
        start = self.registry.watch_start()
        if 0 < self.later_era <= start.era:
            self.later_era = 0
            self.needs_list = False
        return self.needs_list or not self.registry.complete or start.revision == 0

    def plan_list(self, error: StoreError) -> None:
        """Plan to list the store after a watch from the copy's revision has failed.

        If the store was restored, the readers do so at different times. A list that does not lead
        to a watch is repeated with a growing delay.
        """
        start = self.registry.watch_start()
        if start.era > self.watched_from.era:
            # Another host has sent a copy of a later era meanwhile.
            return
        now = time.monotonic()
        self.needs_list = True
        if error.era > start.era:
            self.later_era = error.era
            if not self.fleet.is_first_reader():
                self.list_at = max(self.list_at, now + LIST_SPREAD_S * self.random.random())
        self.log.info(
            "Changes cannot be watched; listing the store.",
            after=start.revision,
            era=start.era,
            store_era=error.era,
            delay_ms=round(max(0.0, self.list_at - now) * 1000),
            problem=str(error),
        )

    def list_store(self) -> None:
        """Read all items of the store, page by page, and apply them.

        Raises
        ------
        StoreError
            If a page is missing, or the pages are of different eras.
        """
        # The pages are no snapshot, so the copy is complete only up to the revision of the first
        # page; a watch from there repeats later changes.
        first: StorePage | None = None
        after = ""
        items: list[StoreItem] = []
        more = True
        while more:
            page = self.client.list_items("", after_key=after)
            first = first or page
            if page.era != first.era:
                raise StoreError(
                    StoreProblem.OTHER_ERA,
                    f"page of era {page.era} after one of era {first.era}",
                    era=page.era,
                )
            items += page.items
            after = page.items[-1].key if page.items else ""
            more = page.has_more and bool(page.items)
        self.log.info("Store listed.", revision=first.revision, era=first.era, items=len(items))
        # Recorded before the list is applied: the answer may end an outage, in which case items
        # that the list lacks may have lapsed during it.
        self.record_store_answer()
        self.registry.apply_store_changes(items, revision=first.revision, whole=True, era=first.era)
        self.needs_list = False
        self.list_at = time.monotonic() + self.list_delay_s * (0.5 + self.random.random())
        self.list_delay_s = min(2 * self.list_delay_s, MAX_RETRY_DELAY_S)

    def watch_store(self) -> None:
        """Wait for changes of the store and apply them.

        Raises
        ------
        StoreError
            If there is no usable answer. An answer of another era is none: its revisions may have
            passed the one that the watch named, and the changes below that would be missed.
        """
        answered_recently = time.monotonic() < self.store_answered_at + RECENT_ANSWER_S
        wait_s = WATCH_WAIT_S if answered_recently else PROBE_WAIT_S
        if self.fleet.is_first_reader():
            wait_s = min(wait_s, CONFIRMATION_FRACTION * self.registry.apply_limit_s)
        if answered_recently:
            # Ends the watch when the next deletion is due, since it is applied after a watch.
            wait_s = max(0.1, min(wait_s, self.registry.next_due_at() - time.monotonic()))
        start = self.watched_from = self.registry.watch_start()
        page = self.client.watch("", after_revision=start.revision, wait_s=wait_s)
        self.check_era(page, start=start)
        self.list_at = float("-inf")
        self.list_delay_s = INITIAL_RETRY_DELAY_S
        self.record_store_answer()
        self.registry.apply_store_changes(
            page.items, revision=page.revision, whole=False, era=start.era
        )
        if page.items:
            self.stopping.wait(BATCH_DELAY_S)

    def check_era(self, page: StorePage, *, start: StorePosition) -> None:
        """Check that the answer to a watch belongs to the era of the revision that it named.

        Raises
        ------
        StoreError
            If it belongs to another one. One of an earlier era comes late, and no list helps.
        """
        if page.era in (0, start.era):
            return
        problem = StoreProblem.OTHER_ERA if page.era > start.era else StoreProblem.BAD_BODY
        raise StoreError(problem, f"era {page.era} in place of era {start.era}", era=page.era)

    def forget_blindness(self) -> None:
        """Let a host that no longer reads the store be chosen as a reader again after some time."""
        if time.monotonic() > self.store_failed_at + BLINDNESS_S:
            self.fleet.set_blind(False)

    def record_store_answer(self) -> None:
        """Record an answer of the store; after an outage, defer deletions for some time."""
        self.store_answered_at = time.monotonic()
        before, self.contact = self.contact, NEXT_CONTACT[self.contact, CallEnd.ANSWERED]
        is_first_call, self.is_first_call = self.is_first_call, False
        copy_age_s = self.registry.copy_age_s()
        has_outage_ended = self.registry.complete and ends_outage(
            before, CallEnd.ANSWERED, is_first_call=is_first_call, copy_age_s=copy_age_s
        )
        if before is not self.contact:
            self.fleet.set_blind(False)
        if has_outage_ended:
            self.registry.defer_deletions()
            self.log.info("Store available again.", copy_age_s=round(copy_age_s, 2))

    def record_store_failure(self, error: StoreError) -> None:
        """Record that a call of the store failed."""
        self.is_first_call = False
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
