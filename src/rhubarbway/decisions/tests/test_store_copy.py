"""Properties of the copy of the store that hosts propagate to each other."""

from hypothesis import given, settings
from hypothesis import strategies as st

from rhubarbway.decisions.store_copy import (
    MAX_LOGGED_CHANGES,
    MAX_TOMBSTONES,
    StoreCopy,
)
from rhubarbway.model import StoreItem

KEYS = ["a", "b", "c"]
# Changes of the store as key and whether it is deleted; each change has the next revision.
HISTORIES = st.lists(st.tuples(st.sampled_from(KEYS), st.booleans()), max_size=20)


def changes_of(history):
    return [
        StoreItem(key=key, value=None if deleted else b"%d" % revision, revision=revision)
        for revision, (key, deleted) in enumerate(history, start=1)
    ]


def content(copy):
    return {key: item.value for key, item in copy.items.items()}


def expected_content(history):
    state = {}
    for item in changes_of(history):
        if item.value is None:
            state.pop(item.key, None)
        else:
            state[item.key] = item.value
    return state


class TestStoreCopy:
    @settings(max_examples=150, deadline=None)
    @given(history=HISTORIES, data=st.data())
    def test_any_order_and_repetition_give_the_same_copy(self, history, data):
        """Guards against an older change from another host that overwrites a newer one."""
        changes = changes_of(history)
        deliveries = data.draw(st.permutations(changes + changes[:5]))
        copy = StoreCopy()
        for item in deliveries:
            copy.apply([item], revision=0)
        assert content(copy) == expected_content(history)

    @settings(max_examples=150, deadline=None)
    @given(history=HISTORIES, cut=st.integers(0, 20))
    def test_a_list_and_the_changes_after_it_give_the_same_copy(self, history, cut):
        """Guards against a host that keeps a key which was deleted before it listed the store."""
        changes = changes_of(history)
        before = StoreCopy()
        before.apply(changes[:cut], revision=cut)
        copy = StoreCopy()
        # The host already had a part of the older changes.
        copy.apply(changes[: cut // 2], revision=cut // 2)
        copy.replace_all(list(before.items.values()), revision=cut)
        copy.apply(changes[cut:], revision=len(changes))
        assert content(copy) == expected_content(history)

    @settings(max_examples=100, deadline=None)
    @given(history=HISTORIES, data=st.data())
    def test_a_follower_that_asks_from_time_to_time_gets_the_same_copy(self, history, data):
        """Guards against changes that a follower misses if several lie between its requests."""
        followed, follower, after = StoreCopy(), StoreCopy(), 0
        for item in changes_of(history):
            followed.apply([item], revision=item.revision)
            if data.draw(st.booleans()):
                follower.apply(followed.changes_since(after), revision=followed.revision)
                after = followed.sequence
        follower.apply(followed.changes_since(after), revision=followed.revision)
        assert content(follower) == content(followed)

    def test_a_follower_that_is_too_far_behind_gets_a_whole_copy(self):
        """Guards against a follower that misses changes which the log no longer holds.

        A follower with a higher sequence number than the copy gets a whole copy, too.
        """
        copy = StoreCopy()
        for revision in range(1, MAX_LOGGED_CHANGES + 10):
            item = StoreItem(key=f"a{revision}", value=b"x", revision=revision)
            copy.apply([item], revision=revision)
        assert copy.changes_since(1) is None
        assert copy.changes_since(copy.sequence + 1) is None
        assert len(copy.changes_since(copy.sequence - 3)) == 3


class TestFollowers:
    def test_a_follower_that_is_behind_gets_the_last_value_of_a_key_only(self):
        """Guards against sending every version of a configuration that changes often."""
        copy = StoreCopy()
        for revision in range(1, 30):
            copy.apply(
                [StoreItem(key="op/config", value=b"%d" % revision, revision=revision)],
                revision=revision,
            )
        copy.apply([StoreItem(key="servers/a", value=b"1", revision=31)], revision=31)
        copy.apply([StoreItem(key="servers/a", value=None, revision=32)], revision=32)
        found = [(item.key, item.value) for item in copy.changes_since(0)]
        assert found == [("op/config", b"29"), ("servers/a", None)]


class TestObsoleteChanges:
    def test_a_complete_copy_takes_no_older_key_that_it_lacks(self):
        """Guards against a deleted server that a lagging host restores."""
        copy = StoreCopy()
        copy.replace_all([StoreItem(key="a", value=b"1", revision=1)], revision=5)
        assert copy.apply([StoreItem(key="b", value=b"1", revision=4)], revision=0) == []
        assert copy.apply([StoreItem(key="b", value=b"2", revision=6)], revision=0)

    def test_a_follower_of_an_incomplete_copy_gets_the_whole_copy_later(self):
        """Guards against a follower that keeps keys which were deleted before the copy began.

        The log of the copy does not contain their deletion.
        """
        copy = StoreCopy()
        before_list = copy.sequence
        copy.replace_all([StoreItem(key="a", value=b"1", revision=1)], revision=5)
        after_list = copy.sequence
        copy.mark_complete()
        assert copy.changes_since(before_list) is None and copy.changes_since(after_list) is None
        assert copy.changes_since(copy.sequence) == []


class TestSettledRevision:
    def test_a_follower_gets_the_later_changes_and_deletions(self):
        """Guards against a whole copy for a follower that comes from another host."""
        copy = StoreCopy()
        copy.apply(changes_of([("a", False), ("b", False), ("a", True), ("c", False)]), revision=4)
        found = copy.changes_after_revision(2)
        assert [(item.key, item.value) for item in found] == [("c", b"4"), ("a", None)]

    def test_a_list_of_the_store_names_no_earlier_deletions(self):
        """Guards against a follower that keeps a server which was deleted before the list."""
        copy = StoreCopy()
        copy.apply(changes_of([("a", False)]), revision=5)
        copy.record_unknown_deletions(5)
        assert copy.changes_after_revision(4) is None
        assert copy.changes_after_revision(5) == []

    def test_dropped_deletions_need_a_whole_copy(self):
        """Guards against a follower that keeps a server whose deletion is no longer recorded."""
        copy = StoreCopy()
        for revision in range(1, MAX_TOMBSTONES + 3):
            copy.apply([StoreItem(key=f"k{revision}", value=None, revision=revision)], revision=0)
        assert copy.changes_after_revision(1) is None
        assert len(copy.changes_after_revision(2)) == MAX_TOMBSTONES

    def test_changes_of_a_host_that_has_listed_the_store_do_not_settle_a_copy(self):
        """Guards against a deleted server that stays in use although the copy seems settled.

        The follower read a key that the followed host never had, and has deferred its deletion. The
        followed host then listed the store, so its changes do not name the key.
        """
        follower = StoreCopy()
        follower.apply(changes_of([("a", False)]), revision=2)
        follower.follow(settled_revision=2, deletions_known_after=2, whole=False)
        assert follower.settled_revision == 0
        follower.follow(settled_revision=2, deletions_known_after=2, whole=True)
        assert follower.settled_revision == 2

    def test_a_deletion_of_an_unknown_key_reaches_followers_that_have_it(self):
        """Guards against a server that a follower keeps because the followed host never had it."""
        copy = StoreCopy()
        copy.apply([StoreItem(key="a", value=None, revision=7)], revision=7)
        assert [item.key for item in copy.changes_since(0)] == ["a"]
