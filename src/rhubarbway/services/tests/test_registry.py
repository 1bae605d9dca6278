"""Tests of how a reader applies the store's changes, without a network."""

import time
from threading import Thread

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rhubarbway.decisions.copy_freshness import STALE_FRACTION, Confirmation
from rhubarbway.decisions.deferred_deletions import LAPSE_GRACE_S
from rhubarbway.decisions.store_contact import StoreContact
from rhubarbway.model import StoreItem
from rhubarbway.platform.store import WATCH_MARGIN_S, StoreError, StorePage, StoreProblem
from rhubarbway.services.registry import RegistryService
from rhubarbway.services.store_reader import WATCH_WAIT_S, StoreReader

SERVER_COUNT = 60


class ServiceRecorder:
    """Stands in for the services that the registry calls; records the servers in use."""

    def __init__(self):
        self.first_reader = False
        self.removed = []
        self.in_use = set()
        # The zones that were evacuated while servers were first applied, and those that are now.
        self.evacuated_at_first = None
        self.evacuated = set()

    def set_evacuated_zones(self, zones):
        self.evacuated = set(zones)

    def update(self, changed, removed):
        if self.evacuated_at_first is None:
            self.evacuated_at_first = self.evacuated
        self.removed += removed
        self.in_use -= set(removed)
        self.in_use |= {server.id for server in changed}

    def offer(self, table, *, source):
        return True

    def set_blind(self, blind):
        return None

    def is_first_reader(self):
        return self.first_reader


class LineRecorder:
    """Stands in for a logger; records the texts of the lines."""

    def __init__(self, *, lines):
        self.lines = lines

    def info(self, event, **_):
        self.lines.append(event)

    warning = info


def entry(number, *, revision=10, **changes):
    value = {
        "service": f"desk-{number // 3}",
        "address": f"10.0.{number // 250}.{number % 250 + 1}:80",
        "zone": "z",
        "slots": 3,
        "state": "ready",
        "version": "v1",
        "sequence": 1,
        "warmupLeftMs": 0,
        "born": 7,
    }
    return StoreItem(
        key=f"servers/i-{number}",
        value=msgspec.json.encode(value | changes),
        revision=revision + number,
    )


def deletion(number, revision=200):
    return StoreItem(key=f"servers/i-{number}", value=None, revision=revision)


class Clock:
    """Time of a test, seconds; advances only when the test says so."""

    def __init__(self):
        self.now = 1000.0

    def __call__(self):
        return self.now

    def advance(self, seconds):
        self.now += seconds


class FilledRegistry:
    """Registry that holds the entries of 60 servers."""

    def __init__(self, *, clock=time.monotonic):
        self.recorder = ServiceRecorder()
        self.registry = RegistryService(clock=clock)
        self.registry.servers = self.recorder
        self.registry.routing = self.recorder
        self.apply_changes([entry(number) for number in range(SERVER_COUNT)], revision=100)

    def apply_changes(self, items, *, revision):
        self.registry.apply_store_changes(items, revision=revision, whole=False)

    def reader(self, client):
        """Return a reader of the store that fills this registry."""
        reader = StoreReader(make_client=lambda: client)
        reader.registry = self.registry
        reader.fleet = self.recorder
        return reader


class TestDeletions:
    def test_deletions_of_a_few_servers_apply_at_once(self):
        """Guards against a few deletions that are deferred although there was no outage."""
        filled = FilledRegistry()
        filled.apply_changes([deletion(1), deletion(2)], revision=200)
        assert len(filled.recorder.removed) == 2

    def test_a_deletion_overrides_an_earlier_write_in_the_same_answer(self):
        """Guards against a deleted server that stays in use for good.

        If an answer of the store holds the write of an entry and its later deletion, the deletion
        must take precedence.
        """
        filled = FilledRegistry()
        written = StoreItem(key="servers/i-5", value=entry(5).value, revision=200)
        filled.apply_changes([written, deletion(5, revision=201)], revision=201)
        assert "i-5" not in filled.recorder.in_use

    def test_an_entry_that_is_written_again_at_once_is_used(self):
        """Guards against a deletion that overrides a later write in the same answer."""
        filled = FilledRegistry()
        written = StoreItem(key="servers/i-5", value=entry(5).value, revision=201)
        filled.apply_changes([deletion(5, revision=200), written], revision=201)
        assert "i-5" in filled.recorder.in_use

    def test_servers_of_an_old_index_are_removed_at_once(self):
        """Guards against requests to a server long after its entry was deleted.

        When an index is replaced, its servers leave together without notice. In one run, their
        deletions (11 of 75 entries) were deferred like those of entries that lapsed in an outage,
        and a server still got a request 3.2 s after its entry was deleted.
        """
        filled = FilledRegistry()
        filled.apply_changes([deletion(number) for number in range(11)], revision=200)
        assert len(filled.recorder.removed) == 11

    def test_deletions_of_most_entries_at_once_are_deferred(self):
        """Guards against the removal of servers whose entries lapsed during an outage.

        An outage between two watches makes no call fail, so only the number of deletions, such as
        48 of 60 entries, shows that it happened.
        """
        clock = Clock()
        filled = FilledRegistry(clock=clock)
        filled.apply_changes([deletion(number) for number in range(48)], revision=200)
        assert filled.recorder.removed == []
        # The entries are written again within 2 s.
        returned = [
            StoreItem(key=f"servers/i-{n}", value=entry(n).value, revision=300 + n)
            for n in range(48)
        ]
        filled.apply_changes(returned, revision=400)
        clock.advance(LAPSE_GRACE_S)
        filled.apply_changes([], revision=401)
        assert filled.recorder.removed == []

    def test_deferred_deletions_apply_after_the_grace_period(self):
        """Guards against deferred deletions that are never applied."""
        clock = Clock()
        filled = FilledRegistry(clock=clock)
        filled.apply_changes([deletion(number) for number in range(48)], revision=200)
        clock.advance(LAPSE_GRACE_S)
        filled.apply_changes([], revision=201)
        assert len(filled.recorder.removed) == 48

    def test_after_an_outage_each_deletion_is_deferred(self):
        """Guards against the removal of a few servers whose entries lapsed during an outage."""
        filled = FilledRegistry()
        reader = filled.reader(None)
        reader.contact = StoreContact.AWAY
        reader.record_store_answer()
        filled.apply_changes([deletion(5)], revision=200)
        assert filled.recorder.removed == []


def evacuation(zone, revision):
    return StoreItem(key=f"op/evacuate/{zone}", value=b"{}", revision=revision)


def end_of(written, revision):
    return StoreItem(key=written.key, value=None, revision=revision)


class TestEvacuations:
    def test_the_end_is_never_deferred(self):
        """Guards against a zone that stays empty because entries may have lapsed in an outage."""
        filled = FilledRegistry()
        written = evacuation("z", 200)
        filled.apply_changes([written], revision=200)
        filled.registry.defer_deletions()
        filled.apply_changes([deletion(5, revision=201), end_of(written, 202)], revision=202)
        assert filled.recorder.evacuated == set() and filled.recorder.removed == []

    def test_many_ends_at_once_defer_no_deletion(self):
        """Guards against evacuation keys that pass for entries which lapsed in an outage."""
        filled = FilledRegistry()
        # The value of such a key says nothing, whatever it is.
        written = [
            StoreItem(
                key=f"op/evacuate/z{number}", value=entry(number).value, revision=200 + number
            )
            for number in range(SERVER_COUNT)
        ]
        filled.apply_changes(written, revision=300)
        ends = [end_of(item, 301 + number) for number, item in enumerate(written)]
        filled.apply_changes([*ends, deletion(5, revision=400)], revision=400)
        assert filled.recorder.evacuated == set() and filled.recorder.removed == ["i-5"]

    def test_an_end_that_another_host_has_applied_defers_no_deletion(self):
        """Guards against a new reader that keeps removed servers when it reads such an end."""
        filled = FilledRegistry()
        written = evacuation("z", 150)
        filled.apply_changes([written], revision=150)
        filled.registry.apply_changes(
            [], revision=200, whole=False, complete=True, source="h", settled_revision=150
        )
        filled.apply_changes([end_of(written, 180), deletion(1, revision=210)], revision=210)
        assert filled.recorder.removed == ["i-1"]

    def test_a_list_of_the_store_begins_and_ends_evacuations(self):
        """Guards against an evacuation that is missed or kept while the history is lost."""
        filled = FilledRegistry()
        filled.apply_changes([evacuation("old", 200)], revision=200)
        listed = [*filled.registry.store_copy.items.values(), evacuation("new", 300)]
        listed = [item for item in listed if item.key != "op/evacuate/old"]
        filled.registry.defer_deletions()
        filled.registry.apply_store_changes(listed, revision=300, whole=True)
        assert filled.recorder.evacuated == {"new"}

    def test_a_starting_host_knows_them_before_it_uses_servers(self):
        """Guards against connections and requests to an evacuated zone when a host starts."""
        recorder = ServiceRecorder()
        registry = RegistryService()
        registry.servers = registry.routing = recorder
        items = [*(entry(number) for number in range(3)), evacuation("z", 200)]
        registry.apply_changes(items, revision=200, whole=True, complete=True, source="h")
        assert recorder.evacuated_at_first == {"z"} and len(recorder.in_use) == 3

    @settings(max_examples=200, deadline=None)
    @given(
        ended=st.lists(st.booleans(), min_size=1, max_size=6),
        order=st.randoms(use_true_random=False),
        behind=st.integers(0, 6),
    )
    def test_no_order_of_changes_and_no_host_that_lags_leaves_a_wrong_set(
        self, ended, order, behind
    ):
        """Guards against an evacuation that an older change or copy brings back or takes away."""
        changes = []
        for is_end in ended:
            revision = 200 + len(changes)
            written = evacuation("z", revision)
            changes.append(end_of(written, revision) if is_end else written)
        last = 199 + len(changes)
        filled = FilledRegistry()
        shuffled = list(changes)
        order.shuffle(shuffled)
        for item in shuffled:
            filled.registry.apply_changes(
                [item], revision=0, whole=False, complete=False, source="h"
            )
        filled.apply_changes(changes, revision=last)
        lagging = FilledRegistry()
        known = changes[:behind]
        lagging.apply_changes(known, revision=199 + len(known))
        copy = lagging.registry.wait_for_changes(after=None, wait_s=0.0)
        filled.registry.apply_changes(
            copy.items, revision=copy.revision, whole=True, complete=True, source="lagging"
        )
        assert filled.recorder.evacuated == (set() if ended[-1] else {"z"})


class FakeStoreClient:
    """Client of a store that has no changes or does not answer; records the waits requested."""

    def __init__(self):
        self.requested_waits_s = []
        self.is_unresponsive = False

    def watch(self, prefix, *, after_revision, wait_s):
        self.requested_waits_s.append(wait_s)
        if self.is_unresponsive:
            raise StoreError(StoreProblem.UNREACHABLE, "timed out")
        return StorePage(items=[], revision=after_revision)


class TestWatch:
    def watch_once(self, reader, client):
        """Watch once as the task of the reader does; return the longest time it may take."""
        try:
            reader.watch_store()
        except StoreError as error:
            reader.record_store_failure(error)
        return client.requested_waits_s[-1] + WATCH_MARGIN_S

    def test_the_return_of_an_unresponsive_store_is_detected_soon(self):
        """Guards against readers that notice the return of the store too late.

        In one run, all readers sent a long watch to an unresponsive store just before it recovered,
        and each waited 4.7 s for an answer. A configuration published in that time came into force
        later than the allowed 3 s.
        """
        client = FakeStoreClient()
        reader = FilledRegistry().reader(client)
        reader.record_store_answer()
        assert self.watch_once(reader, client) >= WATCH_WAIT_S
        client.is_unresponsive = True
        self.watch_once(reader, client)
        # The delay between two calls is at most 1.5 s.
        assert self.watch_once(reader, client) <= 1.5
        client.is_unresponsive = False
        assert self.watch_once(reader, client) <= 1.5
        assert self.watch_once(reader, client) >= WATCH_WAIT_S

    def test_the_first_watch_of_a_new_reader_is_short(self):
        """Guards against a new reader that notices late that it cannot reach the store.

        It may have replaced readers that cannot reach the store, and be cut off like them.
        """
        client = FakeStoreClient()
        reader = FilledRegistry().reader(client)
        assert self.watch_once(reader, client) <= 1.5

    def test_a_watch_begun_before_an_outage_ends_before_bounds_hold_again(self):
        """Guards against an unanswered watch that still waits 4 s after the end of an outage.

        All documented time limits must hold again by then.
        """
        assert WATCH_WAIT_S + WATCH_MARGIN_S < 4.0


class TestInvalidEntries:
    ODD_VALUES = (
        b"",
        b"\xff\xfe",
        b"[" * 100_000,
        b'{"slots": ' + b"9" * 400 + b"}",
        msgspec.json.encode({"service": "desk", "address": "10.0.0.1:99999", "zone": "z"}),
    )

    def odd_items(self, revision):
        return [
            StoreItem(
                key=f"servers/odd-{number}",
                value=self.ODD_VALUES[number % len(self.ODD_VALUES)],
                revision=revision + number,
            )
            for number in range(50)
        ]

    def test_all_good_entries_among_odd_ones_are_used(self):
        """Guards against an odd entry that keeps the entries after it from being applied.

        Other operators saw hosts that no longer followed the list of servers.
        """
        filled = FilledRegistry()
        odd = self.odd_items(1000)
        good = [entry(number, revision=500) for number in range(SERVER_COUNT, 300)]
        mixed = [
            item for index, item in enumerate(good) for item in (item, *odd[index : index + 1])
        ]
        filled.apply_changes(mixed, revision=2000)
        assert filled.recorder.in_use == {f"i-{number}" for number in range(300)}

    def test_an_incomplete_entry_does_not_bring_back_a_removed_server(self):
        """Guards against requests to a replica that is gone, by an entry of another writer.

        In one run, 55 requests and more reached a removed replica later than 3 s after its removal.
        """
        filled = FilledRegistry()
        kinds = []
        filled.registry.invalid_item_listeners.append(lambda *, kind: kinds.append(kind))
        filled.apply_changes([deletion(5)], revision=200)
        complete = msgspec.json.decode(entry(5).value)
        left_out = (("version",), ("sequence",), ("warmupLeftMs",), ("version", "born"))
        for revision, fields in enumerate(left_out, start=201):
            value = msgspec.json.encode({k: v for k, v in complete.items() if k not in fields})
            odd = StoreItem(key="servers/i-5", value=value, revision=revision)
            filled.apply_changes([odd, entry(revision, revision=0)], revision=revision)
            assert "i-5" not in filled.recorder.in_use and f"i-{revision}" in filled.recorder.in_use
        assert kinds == ["server"] * len(left_out)

    def test_a_problem_is_logged_once_for_each_key_and_counted_each_time(self):
        """Guards against a writer that fills the log with one odd entry a second."""
        filled = FilledRegistry()
        kinds = []
        warnings = []
        filled.registry.invalid_item_listeners.append(lambda *, kind: kinds.append(kind))
        filled.registry.log = type(
            "Log", (), {"warning": staticmethod(lambda *_, **__: warnings.append(1))}
        )()
        for revision in range(1000, 1300, 100):
            filled.apply_changes(self.odd_items(revision), revision=revision + 50)
        assert (kinds, len(warnings)) == (["server"] * 150, 50)


class TestConfirmations:
    def test_the_first_reader_is_answered_often_enough_to_confirm_all_copies(self):
        """Guards against copies that count as stale between two watches."""
        filled = FilledRegistry()
        client = FakeStoreClient()
        reader = filled.reader(client)
        filled.recorder.first_reader = True
        reader.record_store_answer()
        reader.watch_store()
        assert client.requested_waits_s[-1] < STALE_FRACTION * filled.registry.apply_limit_s

    def test_a_newer_confirmation_reaches_waiting_followers_at_once(self):
        """Guards against a copy that seems older at each host between it and the store."""
        registry = FilledRegistry().registry
        registry.confirmation_relayed = time.monotonic() - 1.0
        registry.confirmation = Confirmation(at=registry.confirmation_relayed)
        sequence = registry.store_copy.sequence
        received = []
        follower = Thread(
            target=lambda: received.append(registry.wait_for_changes(after=sequence, wait_s=5.0))
        )
        follower.start()
        while not registry.condition._waiters:
            time.sleep(0.01)
        registry.apply_changes(
            [],
            revision=100,
            whole=False,
            complete=True,
            source="h",
            confirmation=Confirmation(at=time.monotonic()),
        )
        follower.join(timeout=2.0)
        assert received and received[0].confirmation is registry.confirmation


class TestDeletionsDeferredElsewhere:
    def test_a_new_reader_defers_them_too(self):
        """Guards against entries that lapsed in an outage and that a new reader removes at once.

        The host that sent this copy has read their deletion and waits whether they come back. The
        new reader reads the store from where the copy lacks no change.
        """
        clock = Clock()
        filled = FilledRegistry(clock=clock)
        registry = filled.registry
        start = registry.watch_start().revision
        registry.apply_changes(
            [], revision=200, whole=False, complete=True, source="h", settled_revision=start
        )
        assert registry.watch_start().revision == start < registry.store_copy.revision
        filled.apply_changes([deletion(1, revision=190)], revision=200)
        assert filled.recorder.removed == [] and registry.store_copy.settled_revision == start
        clock.advance(LAPSE_GRACE_S)
        filled.apply_changes([], revision=201)
        assert filled.recorder.removed == ["i-1"]
        assert registry.store_copy.settled_revision == 201


class TestCopyAge:
    def test_a_confirmation_that_comes_back_is_no_newer_one(self):
        """Guards against hosts that follow each other and keep a copy current without the store."""
        first, second = (FilledRegistry().registry for _ in range(2))
        first.apply_store_changes([], revision=100, whole=False)
        confirmed_at = first.confirmation.at
        for source, follower in [(first, second), (second, first)] * 5:
            known = source.wait_for_changes(after=None, wait_s=0.0).confirmation
            # A message makes a confirmation seem younger by the time that it takes.
            passed_on = Confirmation(at=known.at + 0.2, reader=known.reader, number=known.number)
            follower.apply_changes(
                [],
                revision=100,
                whole=False,
                complete=True,
                source="h",
                confirmation=passed_on,
            )
        assert first.confirmation.at == confirmed_at
        assert second.confirmation.at == pytest.approx(confirmed_at + 0.2)

    def test_a_reply_makes_the_copy_as_current_as_its_source(self):
        """Guards against a stale copy that passes for a current one at the hosts that follow it."""
        filled = FilledRegistry()
        registry = filled.registry
        registry.confirmation = Confirmation(at=50.0)
        for confirmed_at, complete, expected in (
            (60.0, True, 60.0),
            (55.0, True, 60.0),
            (70.0, False, 60.0),
        ):
            registry.apply_changes(
                [],
                revision=100,
                whole=False,
                complete=complete,
                source="h",
                confirmation=Confirmation(at=confirmed_at),
            )
            assert registry.confirmation.at == expected
        assert registry.wait_for_changes(after=None, wait_s=0.0).confirmation.at == 60.0

    def test_a_stale_copy_is_reported_once(self):
        """Guards against a copy that falls behind without a line in the log, or with many."""
        registry = FilledRegistry().registry
        reported = []
        registry.log = LineRecorder(lines=reported)
        registry.confirmation = Confirmation(at=time.monotonic() - registry.apply_limit_s - 1.0)
        registry.report_copy_age()
        registry.report_copy_age()
        registry.confirmation = Confirmation(at=time.monotonic())
        registry.report_copy_age()
        assert reported == ["Copy of the store is stale.", "Copy of the store is current again."]
