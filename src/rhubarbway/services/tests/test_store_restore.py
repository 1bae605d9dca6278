"""Tests in virtual time of a reader whose store is restored, or discards its history."""

import pytest

from rhubarbway.decisions.deferred_deletions import LAPSE_GRACE_S
from rhubarbway.platform.store import StoreError, StorePage, StoreProblem
from rhubarbway.services import store_reader as reader_module
from rhubarbway.services.registry import RegistryService
from rhubarbway.services.store_reader import LIST_SPREAD_S, MAX_RETRY_DELAY_S, StoreReader
from rhubarbway.services.tests.test_registry import entry
from rhubarbway.services.tests.test_store_silence import Clock

# Time that a call to the store takes, seconds.
CALL_S = 0.005
# Where the history of before the restore ended, and where the copy of it did.
LAST_REVISION = 900
COPY_REVISION = 850


class ScriptedStore:
    """A store whose answers the tests replace; it stands in for the client of a reader.

    ``calls`` has the instant and the kind of each call.
    """

    def __init__(self, *, clock):
        self.clock = clock
        self.calls = []
        self.era = 1
        self.revision = LAST_REVISION
        self.items = [entry(number) for number in range(8)]
        self.watch_answer = self.answer_watch

    def list_items(self, prefix, *, after_key):
        self.record("list")
        return StorePage(items=self.items, revision=self.revision, era=self.era)

    def watch(self, prefix, *, after_revision, wait_s):
        self.record("watch")
        return self.watch_answer(after_revision, wait_s)

    def record(self, kind):
        self.clock.now += CALL_S
        self.calls.append((self.clock.now, kind))

    def answer_watch(self, after, wait_s):
        if after > self.revision:
            raise StoreError(StoreProblem.HISTORY_GONE, "status 410", era=self.era)
        self.clock.now += wait_s
        items = [item for item in self.items if item.revision > after]
        return StorePage(items=items, revision=self.revision, era=self.era)

    def restore(self):
        self.era += 1
        self.revision = COPY_REVISION

    def count(self, kind):
        return sum(found == kind for _, found in self.calls)


class ReaderOfStore:
    """One reader with a copy of the store; ``run`` lets its task run for some time."""

    def __init__(self, *, first_reader=True):
        self.clock = Clock(longest_delays=True)
        self.store = ScriptedStore(clock=self.clock)
        self.first_reader = first_reader
        self.in_use = set()
        self.registry = RegistryService(clock=self.clock.monotonic)
        self.registry.servers = self.registry.routing = self
        self.reader = StoreReader(make_client=lambda: self.store)
        self.reader.registry, self.reader.fleet = self.registry, self
        self.reader.stopping = self
        self.reader.random = self.clock
        self.until = 0.0
        self.run(2.0)
        self.store.calls.clear()

    def run(self, seconds):
        self.until = self.clock.now + seconds
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(reader_module, "time", self.clock)
            self.reader.read_store()

    def is_set(self):
        return self.clock.now >= self.until

    def wait(self, timeout):
        self.clock.wait(timeout)

    def update(self, changed, removed):
        self.in_use -= set(removed)
        self.in_use |= {server.id for server in changed}

    def is_reader(self, *, has_copy, copy_age_s):
        return True

    def is_first_reader(self):
        return self.first_reader

    def set_blind(self, blind):
        return None


class TestHistoryGone:
    def test_a_reader_pauses_between_lists_that_lead_to_no_watch(self):
        """Guards against hundreds of calls a second to a store that discards its history at once:
        each watch gets status 410, and each list is followed by such a watch.
        """
        host = ReaderOfStore()
        host.store.watch_answer = self.refuse
        host.run(20.0)
        # A list and a watch in the time that failed calls are paced to at most.
        assert len(host.store.calls) < 2 * 20.0 / (MAX_RETRY_DELAY_S / 2)
        host.store.items.append(entry(9, revision=LAST_REVISION))
        host.store.revision += 10
        host.run(1.5 * MAX_RETRY_DELAY_S + 0.1)
        assert "i-9" in host.in_use

    def test_the_first_list_is_not_delayed(self):
        """Guards against changes that come late because a single watch gets status 410."""
        host = ReaderOfStore()
        host.store.watch_answer = self.refuse
        host.run(0.02)
        assert host.store.count("list") == 1

    def refuse(self, after, wait_s):
        raise StoreError(StoreProblem.HISTORY_GONE, "status 410", era=1)


class TestRestore:
    def test_a_reader_lists_the_store_although_its_watch_is_answered(self):
        """Guards against changes that no host reads because the restored store has given out again
        the revision that the watch names, and so answers it.
        """
        host = ReaderOfStore()
        host.store.restore()
        host.store.items.append(entry(9, revision=LAST_REVISION - 30))
        host.store.revision = LAST_REVISION + 5
        host.run(2.0)
        assert "i-9" in host.in_use and host.store.count("list") == 1
        assert host.registry.watch_start().era == 2

    def test_a_reader_lists_the_store_once_after_status_410(self):
        """Guards against a host that lists the restored store and watches it from the revision of
        before, again and again.
        """
        host = ReaderOfStore()
        host.store.restore()
        host.store.items.append(entry(9, revision=COPY_REVISION))
        host.store.revision += 10
        host.run(4.0)
        assert "i-9" in host.in_use and host.store.count("list") == 1

    def test_a_server_that_the_copy_lacks_is_out_of_use_when_its_time_is_over(self):
        """Guards against a server that left and stays in use until the watch of the reader ends."""
        host = ReaderOfStore()
        host.store.restore()
        host.store.items.pop()
        host.run(0.1)
        assert "i-7" in host.in_use
        host.run(LAPSE_GRACE_S + 0.1)
        assert "i-7" not in host.in_use

    def test_pages_of_two_eras_are_not_applied(self):
        """Guards against a copy that mixes what was before a restore with what was after it."""
        host = ReaderOfStore()
        host.store.restore()
        pages = [
            StorePage(items=[entry(1)], revision=LAST_REVISION, has_more=True, era=2),
            StorePage(items=[entry(2)], revision=COPY_REVISION, era=3),
        ]
        list_items = host.store.list_items

        def list_two_eras(prefix, *, after_key):
            page = list_items(prefix, after_key=after_key)
            return pages.pop(0) if pages else page

        host.store.list_items = list_two_eras
        host.store.era = 3
        host.run(4.0)
        assert host.registry.watch_start().era == 3
        assert host.in_use == {f"i-{number}" for number in range(8)}
        assert host.registry.eras.restores == 1

    def test_a_late_answer_of_an_earlier_era_changes_nothing(self):
        """Guards against a copy that goes back because of an answer from before the restore."""
        host = ReaderOfStore()
        host.store.restore()
        host.run(2.0)
        before = host.registry.watch_start()
        late = [StorePage(items=[entry(9, revision=990)], revision=999, era=1)]
        host.store.watch_answer = lambda after, wait_s: (
            late.pop() if late else host.store.answer_watch(after, wait_s)
        )
        host.run(2.0)
        assert "i-9" not in host.in_use and not late
        assert host.registry.watch_start() == before

    def test_the_first_era_that_a_host_learns_of_is_no_restore(self):
        """Guards against deletions that a host defers just because it has started."""
        host = ReaderOfStore()
        assert host.registry.eras.restores == 0 and host.registry.watch_start().era == 1
        assert host.registry.deferral.deferred.until == float("-inf")
        assert host.registry.store_copy.restored.entries_latest_at < float("inf")

    def test_a_store_that_states_no_era_is_followed_as_ever(self):
        """Guards against lists of a platform without the header."""
        host = ReaderOfStore()
        host.store.era = 0
        host.store.items.append(entry(9, revision=LAST_REVISION))
        host.store.revision += 20
        host.run(2.0)
        assert "i-9" in host.in_use and host.store.count("list") == 0


class TestSpreadOfLists:
    def test_other_readers_than_the_first_list_at_a_random_time(self):
        """Guards against all hosts that read a restored store listing it at the same time."""
        host = ReaderOfStore(first_reader=False)
        host.store.restore()
        begun_at = host.clock.now
        host.run(4.0)
        listed_at = next(at for at, kind in host.store.calls if kind == "list")
        assert LIST_SPREAD_S <= listed_at - begun_at < LIST_SPREAD_S + 2.2

    def test_a_reader_does_not_list_what_another_host_has_sent(self):
        """Guards against a list by each of many readers after a restore."""
        first, second = ReaderOfStore(), ReaderOfStore(first_reader=False)
        for host in (first, second):
            host.store.restore()
        first.run(2.0)
        second.run(0.1)
        second.registry.apply_received(
            first.registry.wait_for_changes(after=None, wait_s=0.0), source="first"
        )
        second.run(4.0)
        assert second.store.count("list") == 0 and second.registry.watch_start().era == 2
