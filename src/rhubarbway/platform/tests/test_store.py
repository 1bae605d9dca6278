"""Tests of the client of the store with a store that sends an answer twice, over real sockets."""

import json
import time
from urllib.parse import parse_qs, urlsplit

import pytest

from rhubarbway.platform.store import StoreClient, StoreError, StoreProblem
from rhubarbway_standins.stuttering_server import STUTTERS, StutteringServer, response

PAGE_KEYS = (["a", "b"], ["c", "d"], ["e"])
LIST_REVISION = 20
EMPTY_WAIT_S = 0.4


def page_answer(after):
    number = next((n for n, keys in enumerate(PAGE_KEYS) if keys[-1] > after), 0)
    items = [{"key": key, "revision": 10, "value": ""} for key in PAGE_KEYS[number]]
    return {"items": items, "hasMore": number < 2, "atRev": LIST_REVISION + number}


class StutteringStore:
    """A store with three pages, and one event at each revision of ``events``."""

    def __init__(self, name, *, events=(), repeats=lambda number: number == 1):
        self.events = list(events)
        self.server = StutteringServer(answer=self.answer, stutter=STUTTERS[name], repeats=repeats)
        self.unexpected = []
        self.client = StoreClient(
            address=self.server.address, on_unexpected_data=self.unexpected.append
        )

    def answer(self, head, body):
        target = urlsplit(head.split(b" ")[1].decode())
        query = {name: values[0] for name, values in parse_qs(target.query).items()}
        if target.path == "/v1/kv-range":
            return response(json.dumps(page_answer(query.get("after", ""))).encode())
        after = int(query["after"])
        events = [{"key": "a", "revision": rev, "value": ""} for rev in self.events if rev > after]
        if not events:
            time.sleep(int(query["waitMs"]) / 1000)
        revision = max([after, *self.events])
        return response(json.dumps({"events": events, "atRev": revision}).encode())

    def listed(self):
        """List the store as ``StoreReader`` does; return the keys."""
        keys, after, more = [], "", True
        while more:
            page = self.client.list_items("", after_key=after)
            keys += [item.key for item in page.items]
            after, more = keys[-1], page.has_more
        return keys

    def watch(self, after, *, wait_s=EMPTY_WAIT_S):
        """Watch; return the revisions of the events, and the store's revision."""
        page = self.client.watch("", after_revision=after, wait_s=wait_s)
        return [item.revision for item in page.items], page.revision

    def stop(self):
        self.client.connection.disconnect()
        self.server.stop()


@pytest.fixture
def start():
    """Return a function that starts a store, which stops at the end of the test."""
    stores = []

    def start_store(*args, **options):
        stores.append(StutteringStore(*args, **options))
        return stores[-1]

    yield start_store
    for store in stores:
        store.stop()


class TestSecondReply:
    @pytest.mark.parametrize("name", STUTTERS)
    @pytest.mark.parametrize("repeated", [1, 2])
    def test_each_page_is_taken_once(self, start, name, repeated):
        """Guards against a page of a listing that is taken twice, or in place of another one."""
        store = start(name, repeats=lambda number: number == repeated)
        try:
            assert store.listed() == ["a", "b", "c", "d", "e"]
        except StoreError:
            assert name.startswith("half")
            assert store.listed() == ["a", "b", "c", "d", "e"]
        assert store.server.connection_count == 2

    @pytest.mark.parametrize("name", STUTTERS)
    def test_a_page_is_no_answer_to_a_watch(self, start, name):
        """Guards against changes between two pages that are never read.

        The last page of a listing has a later revision than the first one, and no events.
        """
        store = start(name, events=[LIST_REVISION + 1], repeats=lambda number: number == 3)
        store.listed()
        try:
            answer = store.watch(LIST_REVISION)
            assert store.unexpected == [store.server.address]
        except StoreError:
            assert name.startswith("half")
            answer = store.watch(LIST_REVISION)
        assert answer == ([LIST_REVISION + 1], LIST_REVISION + 1)
        assert store.server.connection_count == 2

    @pytest.mark.parametrize("name", STUTTERS)
    def test_the_events_of_a_watch_are_no_answer_to_the_next_one(self, start, name):
        """Guards against an old revision that counts as confirmed once more."""
        store = start(name, events=[5])
        assert store.watch(4) == ([5], 5)
        store.events.append(6)
        try:
            answer = store.watch(5)
        except StoreError:
            assert name.startswith("half")
            answer = store.watch(5)
        assert answer == ([6], 6)
        assert store.server.connection_count == 2

    @pytest.mark.parametrize("name", STUTTERS)
    def test_an_empty_answer_confirms_nothing_again(self, start, name):
        """Guards against a copy that counts as current although the store has a later change."""
        store = start(name)
        assert store.watch(5, wait_s=0.05) == ([], 5)
        store.events.append(6)
        try:
            answer = store.watch(5)
        except StoreError:
            assert name.startswith("half")
            answer = store.watch(5)
        assert answer == ([6], 6)
        assert store.server.connection_count == 2

    @pytest.mark.parametrize("name", STUTTERS)
    def test_an_empty_watch_is_no_empty_listing(self, start, name):
        """Guards against a listing without items, after which all servers count as deleted."""
        store = start(name)
        assert store.watch(5, wait_s=0.05) == ([], 5)
        try:
            keys = store.listed()
        except StoreError:
            assert name.startswith("half")
            keys = store.listed()
        assert keys == ["a", "b", "c", "d", "e"]
        assert store.server.connection_count == 2

    def test_an_early_empty_answer_on_a_new_connection_counts(self, start):
        """Guards against a store that ends watches early and is never believed."""
        store = start("idle", repeats=lambda number: False)
        store.answer = None
        store.server.answer = lambda head, body: response(b'{"events": [], "atRev": 7}')
        assert store.watch(5) == ([], 7)
        assert store.watch(7) == ([], 7)
        assert len(store.server.requests) == 3


class TestUndefinedStatus:
    @pytest.mark.parametrize("status", ["000 X", "999 X"])
    def test_is_no_answer_of_the_store(self, start, status):
        """Guards against items of a broken reply of the store in front of those of the next."""
        store = start("idle", events=[6], repeats=lambda number: False)
        reply = store.server.answer
        store.server.answer = lambda head, body: (
            response(b'{"events": [], "atRev": 9}', status=status) + reply(head, body)
        )
        with pytest.raises(StoreError) as raised:
            store.watch(5)
        assert raised.value.problem is StoreProblem.UNREACHABLE
