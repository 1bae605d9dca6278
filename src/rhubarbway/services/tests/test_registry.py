"""Tests of what a reader makes of the store's changes, without a network."""

import msgspec

from rhubarbway.model import StoreItem
from rhubarbway.platform.store import WATCH_MARGIN_S, StoreError, StorePage, StoreProblem
from rhubarbway.services.registry import WATCH_WAIT_S, RegistryService

SERVER_COUNT = 60


class ServiceRecorder:
    """Stands for the services that the registry tells."""

    def __init__(self):
        self.removed = []
        self.in_use = set()

    def update(self, changed, removed):
        self.removed += removed
        self.in_use -= set(removed)
        self.in_use |= {server.id for server in changed}

    def offer(self, table, *, source):
        return True

    def set_blind(self, blind):
        return None


def entry(number, **changes):
    value = {
        "service": f"desk-{number // 3}",
        "address": f"10.0.0.{number + 1}:80",
        "zone": "z",
        "slots": 3,
        "state": "ready",
    }
    return StoreItem(
        key=f"servers/i-{number}",
        value=msgspec.json.encode(value | changes),
        revision=10 + number,
    )


def deletion(number, revision=200):
    return StoreItem(key=f"servers/i-{number}", value=None, revision=revision)


class FilledRegistry:
    """A registry that holds the entries of 60 servers."""

    def __init__(self):
        self.recorder = ServiceRecorder()
        self.registry = RegistryService(make_client=lambda: None)
        self.registry.servers = self.recorder
        self.registry.routing = self.recorder
        self.registry.fleet = self.recorder
        self.apply_changes([entry(number) for number in range(SERVER_COUNT)], revision=100)

    def apply_changes(self, items, *, revision):
        self.registry.apply_store_changes(items, revision=revision, whole=False)


class TestDeletions:
    def test_single_servers_leave_at_once(self):
        filled = FilledRegistry()
        filled.apply_changes([deletion(1), deletion(2)], revision=200)
        assert len(filled.recorder.removed) == 2

    def test_a_deletion_overrides_an_earlier_write_in_the_same_answer(self):
        """Hunt on sn, hunt-8b2a-19, DRAIN: a reader of the store took the write of an entry for
        newer than the deletion in the same answer, and kept the server for good."""
        filled = FilledRegistry()
        written = StoreItem(key="servers/i-5", value=entry(5).value, revision=200)
        filled.apply_changes([written, deletion(5, revision=201)], revision=201)
        assert "i-5" not in filled.recorder.in_use

    def test_an_entry_that_is_written_again_at_once_is_used(self):
        filled = FilledRegistry()
        written = StoreItem(key="servers/i-5", value=entry(5).value, revision=201)
        filled.apply_changes([deletion(5, revision=200), written], revision=201)
        assert "i-5" in filled.recorder.in_use

    def test_servers_of_an_old_index_are_removed_at_once(self):
        """Hunt on tinta, hunt-30b1-27: a server got a request 3.2 s after its entry had gone,
        since 11 of 75 entries that vanished together were taken for lapsed ones."""
        filled = FilledRegistry()
        filled.apply_changes([deletion(number) for number in range(11)], revision=200)
        assert len(filled.recorder.removed) == 11

    def test_deletions_of_most_entries_at_once_are_deferred(self):
        """Tinta, scale-1: 48 entries lapsed during an outage between two watches."""
        filled = FilledRegistry()
        filled.apply_changes([deletion(number) for number in range(48)], revision=200)
        assert filled.recorder.removed == []
        # They are back within 2 s.
        returned = [
            StoreItem(key=f"servers/i-{n}", value=entry(n).value, revision=300 + n)
            for n in range(48)
        ]
        filled.apply_changes(returned, revision=400)
        filled.registry.defer_deletions_until = float("-inf")
        filled.apply_changes([], revision=401)
        assert filled.recorder.removed == []

    def test_deferred_deletions_apply_after_the_grace_period(self):
        filled = FilledRegistry()
        filled.apply_changes([deletion(number) for number in range(48)], revision=200)
        filled.registry.defer_deletions_until = float("-inf")
        filled.apply_changes([], revision=201)
        assert len(filled.recorder.removed) == 48

    def test_after_an_outage_each_deletion_is_deferred(self):
        filled = FilledRegistry()
        filled.registry.store_reachable = False
        filled.registry.record_store_answer()
        filled.apply_changes([deletion(5)], revision=200)
        assert filled.recorder.removed == []


class FakeStoreClient:
    """A store that answers watches without a change, or is silent; records what it was asked."""

    def __init__(self):
        self.requested_waits_s = []
        self.is_unresponsive = False

    def watch(self, prefix, *, after, wait_s):
        self.requested_waits_s.append(wait_s)
        if self.is_unresponsive:
            raise StoreError(StoreProblem.UNREACHABLE, "timed out")
        return StorePage(items=[], revision=after)


class TestWatch:
    def watch_once(self, registry, client):
        """Watch once like the task of the registry, and return the longest time that it took."""
        try:
            registry.watch_store()
        except StoreError as error:
            registry.record_store_failure(error)
        return client.requested_waits_s[-1] + WATCH_MARGIN_S

    def test_the_return_of_an_unresponsive_store_is_detected_soon(self):
        """Tinta, trouble-3: all readers sent a watch into a silent store just before it was back,
        and each waited 4.7 s for it. A version of that time came into force after its 3 s."""
        registry, client = FilledRegistry().registry, FakeStoreClient()
        registry.client = client
        registry.record_store_answer()
        assert self.watch_once(registry, client) >= WATCH_WAIT_S
        client.is_unresponsive = True
        self.watch_once(registry, client)
        # The pause between two calls is at most 1.5 s.
        assert self.watch_once(registry, client) <= 1.5
        client.is_unresponsive = False
        assert self.watch_once(registry, client) <= 1.5
        assert self.watch_once(registry, client) >= WATCH_WAIT_S

    def test_the_first_watch_of_a_new_reader_is_short(self):
        """A substitute of readers that cannot reach the store may not reach it either."""
        registry, client = FilledRegistry().registry, FakeStoreClient()
        registry.client = client
        assert self.watch_once(registry, client) <= 1.5

    def test_a_watch_begun_before_an_outage_ends_before_bounds_hold_again(self):
        """Bounds hold again 4 s after the store is back."""
        assert WATCH_WAIT_S + WATCH_MARGIN_S < 4.0
