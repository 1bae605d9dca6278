"""Tests of what a copy keeps when the store is restored from an older copy."""

import itertools

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rhubarbway.decisions.deferred_deletions import LAPSE_GRACE_S
from rhubarbway.decisions.restored_items import ENTRY_EXPIRY_S, OPERATOR_GRACE_S
from rhubarbway.decisions.store_copy import StoreCopy
from rhubarbway.model import ItemEvidence, ItemSummary, KeyKind, StoreItem, StorePosition

SERVER, ZONE, CONFIG = "server", "zone", "config"
KINDS = {
    SERVER: KeyKind.SERVER,
    ZONE: KeyKind.EVACUATION,
    CONFIG: KeyKind.CONFIGURATION,
}


def kind_of(key):
    return KINDS[key.partition("-")[0]]


def summarize(item):
    """Return the summary of a value ``started_ms state sequence`` or ``version``."""
    words = item.value.split()
    if kind_of(item.key) is KeyKind.CONFIGURATION:
        return ItemSummary(version=int(words[0]))
    if kind_of(item.key) is KeyKind.EVACUATION:
        return None
    return ItemSummary(
        started_ms=int(words[0]), draining=words[1] == b"draining", sequence=int(words[2])
    )


class RestoredCopy:
    """A copy in era 1, of revision 900, that a restore takes to era 2."""

    def __init__(self, *known, era=1):
        self.copy = StoreCopy(kind_of=kind_of, summarize=summarize)
        self.copy.begin_era(era, removed=(), now=0.0)
        self.apply(*known, revision=900)

    def apply(self, *items, revision=0, evidence=ItemEvidence.WRITTEN):
        """Apply changes of the era, as pairs or triples of key, value and revision."""
        era = self.copy.era
        return self.copy.apply(
            [
                StoreItem(key=key, value=value, revision=at, era=era, evidence=evidence)
                for key, value, at in items
            ],
            revision=revision,
        )

    def restore(self, *listed, now=100.0, removed=(), revision=850):
        """Begin the next era with a listing of the store."""
        self.copy.begin_era(self.copy.era + 1, removed=removed, now=now)
        return self.apply(*listed, revision=revision, evidence=ItemEvidence.LISTED)

    def follow(self, other, now=100.0):
        """Take the whole copy of another host."""
        if self.copy.era < other.copy.era:
            self.copy.begin_era(other.copy.era, removed=(), now=now)
        self.copy.replace_all(other.copy.whole_copy(), revision=other.copy.revision)

    def end(self, now):
        return self.copy.end_restored(now=now)

    def values(self):
        return {key: item.value for key, item in self.copy.items.items()}


READY, DRAINING = b"5 ready 3", b"5 draining 4"


class TestOrder:
    def test_the_era_comes_before_the_revision(self):
        """Guards against a revision of before a restore that counts as later than one after it."""
        positions = [
            StorePosition(era=era, revision=revision)
            for era, revision in itertools.product((1, 2), (1, 850, 900))
        ]
        assert sorted(reversed(positions)) == positions

    def test_a_write_of_the_new_era_below_the_old_revision_is_taken(self):
        """Guards against a copy that takes nothing until revisions have passed those of before."""
        host = RestoredCopy((CONFIG, b"1", 900))
        host.restore((CONFIG, b"1", 800))
        assert host.apply((CONFIG, b"2", 851), revision=851)
        assert host.values() == {CONFIG: b"2"} and host.copy.revision == 851


class TestServers:
    @pytest.mark.parametrize(
        ("known", "listed", "expected"),
        [
            (READY, READY, READY),
            (READY, DRAINING, DRAINING),
            (DRAINING, READY, DRAINING),
            (b"5 ready 9", READY, b"5 ready 9"),
            (DRAINING, b"6 ready 1", b"6 ready 1"),
            (b"6 ready 1", READY, b"6 ready 1"),
        ],
    )
    def test_the_later_state_of_the_process_is_in_force(self, known, listed, expected):
        """Guards against a server that drained before a restore and is used after it, and against
        one that serves and is dropped.
        """
        host = RestoredCopy((SERVER, known, 890))
        changes = host.restore((SERVER, listed, 700))
        assert host.values() == {SERVER: expected}
        assert bool(changes) is (expected != known)

    @pytest.mark.parametrize(
        ("listed", "is_used"),
        [(READY, False), (b"5 ready 2", False), (b"5 ready 8", True), (b"6 ready 1", True)],
    )
    def test_a_removed_server_comes_back_only_if_it_has_written_since(self, listed, is_used):
        """Guards against a server that left before a restore and is used after it, and against a
        living one whose entry had lapsed and that stays out of use.
        """
        host = RestoredCopy((SERVER, READY, 880))
        host.apply((SERVER, None, 890))
        host.restore((SERVER, listed, 700))
        assert bool(host.values()) is is_used

    def test_an_entry_that_stays_in_the_store_is_used_in_the_end(self):
        """Guards against a living server that is out of use for good because its entry had lapsed
        before a restore, and does not say that it was written since.
        """
        host = RestoredCopy((SERVER, READY, 880))
        host.apply((SERVER, None, 890))
        host.restore((SERVER, READY, 700))
        assert host.end(100.0 + ENTRY_EXPIRY_S - 0.1) == [] and not host.values()
        assert host.end(100.0 + ENTRY_EXPIRY_S) and host.values() == {SERVER: READY}

    def test_an_entry_of_a_server_that_had_drained_is_never_used(self):
        """Guards against a server that drained and left, and is used because its old entry stays in
        the restored store for longer than entries usually do.
        """
        host = RestoredCopy((SERVER, READY, 880))
        host.apply((SERVER, DRAINING, 885), (SERVER, None, 890))
        host.restore((SERVER, READY, 700))
        assert host.end(1000.0) == [] and not host.values()
        assert host.apply((SERVER, b"6 ready 1", 860)) and host.values()

    def test_an_entry_that_expires_in_the_new_era_is_not_used_later(self):
        """Guards against a withheld entry that comes into use after it was deleted."""
        host = RestoredCopy((SERVER, READY, 880))
        host.apply((SERVER, None, 890))
        host.restore((SERVER, READY, 700))
        host.apply((SERVER, None, 860), revision=860)
        assert host.end(200.0) == [] and not host.values()

    def test_an_entry_that_the_copy_lacks_has_some_time_to_be_written_again(self):
        """Guards against a living server that is dropped since the restored store lacks its entry,
        and against one that never writes it and stays in use.
        """
        host = RestoredCopy((SERVER, READY, 880))
        host.restore()
        assert host.end(100.0 + LAPSE_GRACE_S - 0.1) == [] and host.values()
        assert host.end(100.0 + LAPSE_GRACE_S) and not host.values()
        host.apply((SERVER, READY, 851), revision=851)
        assert host.values() == {SERVER: READY}

    def test_a_server_whose_deletion_was_deferred_ends_and_does_not_come_back(self):
        """Guards against an old entry that undoes a deletion which a host knew, but had not applied
        when the store was restored.
        """
        host = RestoredCopy((SERVER, READY, 880))
        host.restore((SERVER, READY, 700), removed={SERVER})
        assert host.values()
        host.end(100.0 + LAPSE_GRACE_S)
        assert not host.values()
        host.end(100.0 + ENTRY_EXPIRY_S)
        assert host.values() == {SERVER: READY}

    def test_an_outage_after_the_restore_prolongs_the_time_once(self):
        """Guards against a living server that is dropped because the store went away again before
        it could write its entry, and against one that left and stays in use in a series of outages.
        """
        host = RestoredCopy((SERVER, READY, 880))
        host.restore()
        host.copy.restored.record_outage(ended_at=104.0, seconds=3.0)
        assert host.end(106.1) == [] and host.values()
        host.copy.restored.record_outage(ended_at=110.0, seconds=4.0)
        host.copy.restored.record_outage(ended_at=115.0, seconds=3.0)
        assert host.end(100.0 + 10.0 + 2 * LAPSE_GRACE_S)

    def test_two_restores_in_a_row_forget_nothing(self):
        """Guards against a server that left and comes back with the second of two restores."""
        host = RestoredCopy((SERVER, READY, 880))
        host.apply((SERVER, None, 890))
        host.restore((SERVER, READY, 700))
        host.restore((SERVER, READY, 895), now=101.0, revision=896)
        assert not host.values()


class TestEvacuations:
    def test_one_that_the_copy_lacks_is_in_force_for_some_time(self):
        """Guards against requests to a zone because the restored store lacks its evacuation."""
        host = RestoredCopy((ZONE, b"", 880))
        host.restore()
        assert host.end(100.0 + OPERATOR_GRACE_S - 0.1) == [] and host.values()
        assert host.end(100.0 + OPERATOR_GRACE_S) and not host.values()

    def test_one_that_was_written_again_stays_in_force(self):
        """Guards against an evacuation that ends although the operator has written it again."""
        host = RestoredCopy((ZONE, b"", 880))
        host.restore()
        host.apply((ZONE, b"", 851), revision=851)
        assert host.end(200.0) == [] and host.values() == {ZONE: b""}

    def test_one_that_was_taken_back_is_in_force_only_if_it_stays_in_the_store(self):
        """Guards against a zone that an old evacuation empties, and against a new one of the
        operator that is never in force.
        """
        host = RestoredCopy((ZONE, b"", 870))
        host.apply((ZONE, None, 890))
        host.restore((ZONE, b"", 840))
        assert not host.values() and host.end(100.0 + OPERATOR_GRACE_S - 0.1) == []
        assert host.end(100.0 + OPERATOR_GRACE_S) and host.values() == {ZONE: b""}


class TestConfiguration:
    def test_the_highest_version_known_stays(self):
        """Guards against a version in force that is taken back, also for hosts that start then."""
        host, starting = RestoredCopy((CONFIG, b"13", 890)), RestoredCopy(era=0)
        host.restore((CONFIG, b"12", 700))
        starting.follow(host)
        assert host.values() == starting.values() == {CONFIG: b"13"}
        # The operator writes its versions again, one after the other.
        for version, revision in ((b"12", 851), (b"13", 852), (b"14", 853)):
            host.apply((CONFIG, version, revision), revision=revision)
            assert host.values() == {CONFIG: max(version, b"13")}

    def test_one_that_the_copy_lacks_stays(self):
        """Guards against a host without a configuration after a restore."""
        host = RestoredCopy((CONFIG, b"13", 890))
        host.restore()
        assert host.end(1000.0) == [] and host.values() == {CONFIG: b"13"}


class TestOtherHosts:
    def test_a_host_that_knew_less_learns_what_is_in_force(self):
        """Guards against a removed server that a host uses because it lists the restored store
        itself and had not heard of the removal.
        """
        known = [(SERVER, READY, 880), (CONFIG, b"13", 890), ("server-2", DRAINING, 891)]
        informed, lagging = RestoredCopy(*known), RestoredCopy((SERVER, READY, 880))
        informed.apply((SERVER, None, 895))
        listing = [(SERVER, READY, 700), (CONFIG, b"12", 701), ("server-2", READY, 702)]
        for host in (informed, lagging):
            host.restore(*listing)
        lagging.copy.settle(850)
        changes = informed.copy.changes_after_revision(850)
        lagging.copy.apply(changes, revision=850)
        assert lagging.values() == informed.values() == {CONFIG: b"13", "server-2": DRAINING}

    def test_it_keeps_to_itself_what_the_others_do_not_know(self):
        """Guards against a host that drops what it knew when it takes the copy of a host that knew
        less.
        """
        informed, lagging = RestoredCopy((ZONE, b"", 890), (SERVER, READY, 891)), RestoredCopy()
        lagging.restore()
        informed.follow(lagging)
        assert informed.values() == {ZONE: b"", SERVER: READY}
        informed.end(100.0 + OPERATOR_GRACE_S)
        assert informed.values() == {}

    def test_a_deletion_of_an_earlier_era_leaves_nothing_to_end(self):
        """Guards against a reader that calls the store all the time, since a state that another
        host has deleted in an earlier era seems to be due for good.
        """
        host, other = RestoredCopy((SERVER, READY, 880)), RestoredCopy((SERVER, READY, 880))
        other.restore()
        other.apply((SERVER, None, 860), revision=860)
        other.restore(now=101.0)
        host.restore()
        host.restore(now=101.0)
        host.follow(other)
        assert not host.values() and host.copy.restored.next_due_at() == float("inf")

    def test_the_end_of_a_state_reaches_those_that_follow(self):
        """Guards against a withheld server that some hosts use again and others do not."""
        host, follower = RestoredCopy((SERVER, READY, 880)), RestoredCopy()
        host.apply((SERVER, None, 890))
        host.restore((SERVER, READY, 700))
        follower.follow(host)
        position = host.copy.sequence
        host.end(100.0 + ENTRY_EXPIRY_S)
        follower.copy.apply(host.copy.changes_since(position), revision=850)
        assert follower.values() == host.values() == {SERVER: READY}

    @settings(max_examples=300, deadline=None)
    @given(data=st.data())
    def test_hosts_that_knew_different_things_agree_in_the_end(self, data):
        """Guards against hosts of one era that differ for good by what they had known before."""
        changes = [
            (SERVER, READY, 870),
            (CONFIG, b"12", 875),
            (SERVER, DRAINING, 880),
            (ZONE, b"", 885),
            (SERVER, None, 890),
            (ZONE, None, 895),
            (CONFIG, b"13", 899),
        ]
        hosts = [
            RestoredCopy(*changes[: data.draw(st.integers(0, len(changes)))]) for _ in range(3)
        ]
        listed = changes[: data.draw(st.integers(0, len(changes)))]
        listing = {key: (key, value, at) for key, value, at in listed}
        present = [item for item in listing.values() if item[1] is not None]
        for host in hosts:
            if data.draw(st.booleans()) or host is hosts[0]:
                host.restore(*present, revision=899)
        for _ in range(2):
            for host, other in data.draw(st.permutations(list(itertools.permutations(hosts, 2)))):
                if host.copy.era <= other.copy.era:
                    host.follow(other)
        for host in hosts:
            host.end(1000.0)
        for host, other in itertools.permutations(hosts, 2):
            host.follow(other)
        contents = [host.values() for host in hosts]
        assert contents[0] == contents[1] == contents[2]
