"""Tests in virtual time of a reader whose connections to the store go silent or that is cut off."""

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from rhubarbway.decisions.deferred_deletions import LAPSE_GRACE_S
from rhubarbway.platform.store import WATCH_MARGIN_S, StoreError, StorePage, StoreProblem
from rhubarbway.services import store_reader as reader_module
from rhubarbway.services.registry import RegistryService
from rhubarbway.services.store_reader import PROBE_WAIT_S, StoreReader
from rhubarbway.services.tests.test_registry import LineRecorder, deletion, entry

# Limits of the users' small sites, seconds: no request reaches a server later than the first after
# its removal, and the store counts as stable when it has worked for the second.
DRAIN_S = 3.0
STABLE_S = 4.0
HORIZON_S = 40.0
# Time that a reply of the store takes, seconds.
REPLY_S = 0.005
SERVER_COUNT = 8
FIRST_REVISION = 100


class Clock:
    """Virtual time; stands in for the module ``time``, the stop event and the random delays."""

    def __init__(self, *, longest_delays):
        self.now = 0.0
        self.longest_delays = longest_delays

    def monotonic(self):
        return self.now

    def wait(self, timeout):
        self.now += timeout

    def is_set(self):
        return self.now >= HORIZON_S

    def random(self):
        return 1.0 if self.longest_delays else 0.0


class FaultyStore:
    """A store and the reader's connection to it.

    ``silences`` are instants at which open connections go silent; new ones work. In the
    ``outages``, pairs of begin and end, no call is answered. ``removals`` maps revisions to
    instants.
    """

    def __init__(self, *, clock, silences, outages, removals):
        self.clock = clock
        self.silences = silences
        self.outages = outages
        self.removals = removals
        self.connected_at = None

    def list_items(self, prefix, *, after_key):
        self.connected_at = self.clock.now
        items = [entry(number) for number in range(SERVER_COUNT)]
        return StorePage(items=items, revision=FIRST_REVISION)

    def watch(self, prefix, *, after_revision, wait_s):
        begun_at = self.clock.now
        is_first_call = self.connected_at is None
        if is_first_call:
            self.connected_at = begun_at
        later = {rev: at for rev, at in self.removals.items() if rev > after_revision}
        replied_at = min([begun_at + wait_s, *(max(begun_at, at) for at in later.values())])
        replied_at += REPLY_S
        down = any(begin <= replied_at and begun_at < end for begin, end in self.outages)
        # A store that answers new connections answers the first call on one, if that asks for a
        # reply at once.
        immune = is_first_call and wait_s <= PROBE_WAIT_S
        silent = any(self.connected_at < at <= replied_at for at in self.silences)
        if down or (silent and not immune):
            self.connected_at = None
            self.clock.now = begun_at + wait_s + WATCH_MARGIN_S
            raise StoreError(StoreProblem.UNREACHABLE, "timed out")
        if silent:
            self.connected_at = replied_at
        self.clock.now = replied_at
        read = {rev: at for rev, at in later.items() if at <= replied_at - REPLY_S}
        items = [deletion(rev - FIRST_REVISION, revision=rev) for rev in sorted(read)]
        return StorePage(items=items, revision=max([after_revision, *read]))


class Reader:
    """Runs the task of one reader; ``removed_at`` has the instant at which each server left."""

    def __init__(self, *, first_reader, longest_delays=True, silences=(), outages=(), removals):
        self.clock = Clock(longest_delays=longest_delays)
        self.removals = {FIRST_REVISION + 1 + n: at for n, at in enumerate(sorted(removals))}
        store = FaultyStore(
            clock=self.clock, silences=silences, outages=outages, removals=self.removals
        )
        self.first_reader = first_reader
        self.removed_at = {}
        self.lines = []
        registry = RegistryService(clock=self.clock.monotonic)
        registry.servers = registry.routing = self
        reader = StoreReader(make_client=lambda: store)
        reader.registry, reader.fleet = registry, self
        reader.stopping = reader.random = self.clock
        registry.log = registry.deferral.log = reader.log = LineRecorder(lines=self.lines)
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(reader_module, "time", self.clock)
            reader.read_store()

    def update(self, changed, removed):
        for server_id in removed:
            number = int(server_id.removeprefix("i-"))
            self.removed_at[FIRST_REVISION + number] = self.clock.now

    def is_reader(self, *, has_copy, copy_age_s):
        return True

    def is_first_reader(self):
        return self.first_reader

    def set_blind(self, blind):
        return None

    def delays(self):
        """Return for each removal how long after it the server was no longer used."""
        return {at: self.removed_at[rev] - at for rev, at in self.removals.items()}


def is_stable(at, outages):
    """Return whether the store worked from ``STABLE_S`` before a removal to ``DRAIN_S`` after."""
    return all(at >= end + STABLE_S or at + DRAIN_S < begin for begin, end in outages)


INSTANTS = st.floats(0.5, 20.0)


class TestSilence:
    @settings(max_examples=400, deadline=None)
    @given(
        first_reader=st.booleans(),
        longest_delays=st.booleans(),
        silences=st.lists(INSTANTS, max_size=8),
        outage=st.none() | st.tuples(INSTANTS, st.floats(0.05, 6.0)),
        # Fewer than ``MIN_LAPSED_ENTRIES``, which say by themselves that entries lapsed.
        removals=st.lists(INSTANTS, min_size=1, max_size=3, unique=True),
    )
    @example(True, True, [5.0], None, [5.1])
    @example(False, True, [5.0], None, [5.1])
    # In the delay after a watch with changes; in the first call on a new connection; and after
    # several connections in a row were lost.
    @example(False, True, [5.02], None, [5.0, 5.007])
    @example(False, True, [5.0, 6.2], None, [6.15])
    @example(False, True, [5.0, 6.3, 9.1, 12.3], None, [12.31])
    def test_no_order_of_silence_outage_and_removal_delays_a_removal(
        self, first_reader, longest_delays, silences, outage, removals
    ):
        """Guards against requests to a removed server for 5.2 s after a connection went silent."""
        outages = [(outage[0], outage[0] + outage[1])] if outage else []
        reader = Reader(
            first_reader=first_reader,
            longest_delays=longest_delays,
            silences=silences,
            outages=outages,
            removals=removals,
        )
        judged = {at: s for at, s in reader.delays().items() if is_stable(at, outages)}
        assert all(delay_s < DRAIN_S for delay_s in judged.values()), (judged, reader.lines)

    @pytest.mark.parametrize("first_reader", [True, False])
    def test_silence_is_not_reported_as_an_outage(self, first_reader):
        """Guards against a reader that is replaced because one of its connections went silent."""
        reader = Reader(first_reader=first_reader, silences=[5.0], removals=[5.1])
        assert "Connection to the store lost." in reader.lines
        assert "Store unavailable." not in reader.lines


class TestOutage:
    @settings(max_examples=100, deadline=None)
    @given(
        first_reader=st.booleans(),
        begin=st.floats(0.5, 8.0),
        duration=st.floats(4.5, 8.0),
        fraction=st.floats(0.01, 0.99),
    )
    def test_entries_that_lapse_in_an_outage_stay_for_the_grace_period(
        self, first_reader, begin, duration, fraction
    ):
        """Guards against the removal of servers whose entries are written again after an outage."""
        end = begin + duration
        reader = Reader(
            first_reader=first_reader,
            outages=[(begin, end)],
            removals=[begin + fraction * duration],
        )
        assert "Store unavailable." in reader.lines
        (removed_at,) = reader.removed_at.values()
        assert removed_at >= end + LAPSE_GRACE_S

    def test_many_entries_deleted_while_a_connection_is_silent_are_deferred(self):
        """Guards against an outage that is hidden by a silent watch and removes most servers."""
        removals = [5.1 + 0.1 * number for number in range(5)]
        reader = Reader(first_reader=True, silences=[5.0], removals=removals)
        assert "Many entries deleted at once; deletions deferred." in reader.lines
        assert min(reader.removed_at.values()) >= 5.0 + LAPSE_GRACE_S
