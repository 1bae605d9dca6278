"""Stand-in for the platform's metadata store: pages, watches, lost history, outages, restores."""

from __future__ import annotations

import base64
import threading
from enum import Enum
from typing import Any

from werkzeug.wrappers import Request, Response

from rhubarbway.edge.http_server import HttpServer
from rhubarbway.edge.json_codec import encode_json

JSON_TYPE = "application/json"
# Longest time that a watch waits for its first event, seconds.
MAX_WAIT_S = 30.0
# Maximum number of items in a page.
PAGE_SIZE = 50


class StoreMode(Enum):
    """How the store responds to calls."""

    UP = "up"
    # Answers 503 to every call.
    REFUSING = "refusing"
    # Answers no call; answers the waiting watches once the store is up again.
    SILENT = "silent"


class StoreBackup:
    """A copy of the store, from which it can be restored.

    Attributes
    ----------
    items : dict of str to (bytes, int)
        Values and revisions by key.
    events : list of dict
        Events of the history.
    history_start, revision : int
        Those of the store.
    """

    __slots__ = ("events", "history_start", "items", "revision")

    def __init__(
        self,
        *,
        items: dict[str, tuple[bytes, int]],
        events: list[dict[str, Any]],
        history_start: int,
        revision: int,
    ) -> None:
        self.items = items
        self.events = events
        self.history_start = history_start
        self.revision = revision


class PlatformStore:
    """Holds items and answers reads and watches; tests write to the store and make it fail.

    Attributes
    ----------
    era : int
        Stated in each answer; grows by one with each restore. 0 states none.
    """

    __slots__ = (
        "calls",
        "changed",
        "changed_keys",
        "era",
        "events",
        "history_start",
        "items",
        "mode",
        "revision",
        "server",
    )

    def __init__(self, *, address: tuple[str, int]) -> None:
        self.items: dict[str, tuple[bytes, int]] = {}
        self.events: list[dict[str, Any]] = []
        # Watches from earlier revisions get status 410.
        self.history_start = 0
        self.revision = 1
        self.era = 1
        self.calls = 0
        self.mode = StoreMode.UP
        self.changed = threading.Condition()
        # Keys that were written or deleted since the last restore.
        self.changed_keys: set[str] = set()
        self.server = HttpServer(
            address=address,
            handler=self.respond,
            error_handler=lambda status, detail: Response(detail, status=status),
            max_connections=256,
            name="store",
        )
        self.server.start()

    @property
    def address(self) -> str:
        """``HOST:PORT``."""
        return "{}:{}".format(*self.server.address)

    def stop(self) -> None:
        """End waiting watches and stop."""
        self.set_mode(StoreMode.REFUSING)
        self.server.stop(grace_s=0.0)

    def set_mode(self, mode: StoreMode) -> None:
        """Change how the store responds to calls from now on."""
        with self.changed:
            self.mode = mode
            self.changed.notify_all()

    def put(self, key: str, value: bytes) -> int:
        """Write an item and return its revision."""
        with self.changed:
            self.revision += 1
            self.changed_keys.add(key)
            self.items[key] = (value, self.revision)
            self.events.append(item_document(key, value, self.revision))
            self.changed.notify_all()
            return self.revision

    def delete(self, key: str) -> None:
        """Remove an item, if it exists; watches get an event without a value."""
        with self.changed:
            self.changed_keys.add(key)
            if self.items.pop(key, None) is not None:
                self.revision += 1
                event = {"key": key, "revision": self.revision, "compacted": True}
                self.events.append(event)
                self.changed.notify_all()

    def write_again(self, key: str, value: bytes | None) -> None:
        """Write a value, or delete the key for None, unless it was changed since the last restore.

        A deletion of a key that the store lacks counts as a change, too: its writer wants nothing
        there any more.
        """
        with self.changed:
            if key in self.changed_keys:
                return
            if value is None:
                self.delete(key)
            else:
                self.put(key, value)

    def forget_history(self) -> None:
        """Drop the history, so that watches from earlier revisions get status 410."""
        with self.changed:
            self.events.clear()
            self.history_start = self.revision
            self.changed.notify_all()

    def backup(self) -> StoreBackup:
        """Return a copy of the store."""
        with self.changed:
            return StoreBackup(
                items=dict(self.items),
                events=list(self.events),
                history_start=self.history_start,
                revision=self.revision,
            )

    def restore(self, backup: StoreBackup) -> None:
        """Come back from a copy; later changes are lost, and their revisions are given out again.

        Waiting watches get status 410.
        """
        with self.changed:
            self.items = dict(backup.items)
            self.events = list(backup.events)
            self.history_start = backup.history_start
            self.revision = backup.revision
            self.changed_keys.clear()
            if self.era:
                self.era += 1
            self.changed.notify_all()

    def respond(self, request: Request) -> Response:
        """Answer a call; each answer states the era, if there is one."""
        with self.changed:
            response = self.answer(request)
            if self.era:
                response.headers["Store-Era"] = str(self.era)
            return response

    def answer(self, request: Request) -> Response:
        """Answer a call as the mode prescribes; an unknown path gets status 404."""
        handlers = {
            "/v1/kv-key": self.answer_key,
            "/v1/kv-range": self.answer_range,
            "/v1/kv-watch": self.answer_watch,
        }
        self.calls += 1
        self.changed.wait_for(lambda: self.mode is not StoreMode.SILENT)
        if self.mode is StoreMode.REFUSING:
            return Response(status=503)
        handler = handlers.get(request.path)
        return handler(request) if handler else Response(status=404)

    def answer_key(self, request: Request) -> Response:
        """Return one item, or status 404 if there is none with this key."""
        key = request.args.get("key", "")
        if key not in self.items:
            return Response(status=404)
        value, revision = self.items[key]
        body = item_document(key, value, revision) | {"atRev": self.revision}
        return Response(encode_json(body), content_type=JSON_TYPE)

    def answer_range(self, request: Request) -> Response:
        """Return one page of items under a prefix, in the order of their keys."""
        prefix = request.args.get("pathPrefix", "")
        after = request.args.get("after", "")
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        page = [item_document(key, *self.items[key]) for key in keys[:PAGE_SIZE]]
        body = {"items": page, "hasMore": len(keys) > PAGE_SIZE, "atRev": self.revision}
        return Response(encode_json(body), content_type=JSON_TYPE)

    def answer_watch(self, request: Request) -> Response:
        """Return the events after a revision; wait for the first one, at most ``waitMs``.

        The status is 410 if the history does not hold all events after the revision, or the store
        is restored meanwhile.
        """
        era = self.era
        prefix = request.args.get("pathPrefix", "")
        after = request.args.get("after", 0, type=int)
        wait_s = min(request.args.get("waitMs", 0, type=int) / 1000, MAX_WAIT_S)

        def later_events() -> list[dict[str, Any]]:
            return [
                event
                for event in self.events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]

        self.changed.wait_for(
            lambda: (self.mode is not StoreMode.SILENT and bool(later_events()))
            or after < self.history_start
            or after > self.revision
            or era != self.era
            or self.mode is StoreMode.REFUSING,
            timeout=wait_s,
        )
        self.changed.wait_for(lambda: self.mode is not StoreMode.SILENT)
        if self.mode is StoreMode.REFUSING:
            return Response(status=503)
        if after < self.history_start or after > self.revision or era != self.era:
            return Response(status=410)
        body = {"events": later_events(), "atRev": self.revision}
        return Response(encode_json(body), content_type=JSON_TYPE)


def item_document(key: str, value: bytes, revision: int) -> dict[str, Any]:
    """Return an item in the form of the store's replies."""
    return {
        "key": key,
        "value": base64.b64encode(value).decode(),
        "revision": revision,
        "createdRev": revision,
        "leaseId": 0,
    }
