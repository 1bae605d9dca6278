"""Client of the platform's metadata store, which can only be read."""

from __future__ import annotations

import base64
import binascii
from enum import Enum
from urllib.parse import urlencode

import msgspec

from rhubarbway.edge.http_client import CallError, HttpConnection
from rhubarbway.model import StoreItem

# Time limit of a read, seconds. Answers usually take milliseconds.
READ_TIMEOUT_S = 2.0
# Time limit of a watch beyond the wait that it asks for, seconds.
WATCH_MARGIN_S = 0.7
CONNECT_TIMEOUT_S = 1.0


class StoreProblem(Enum):
    """Why a call to the store gave nothing."""

    UNREACHABLE = "unreachable"
    REFUSED = "refused"
    HISTORY_GONE = "history_gone"
    BAD_BODY = "bad_body"


class StoreError(Exception):
    """A call to the store without a usable answer."""

    def __init__(self, problem: StoreProblem, detail: str) -> None:
        super().__init__(f"{problem.value}: {detail}")
        self.problem = problem


class StorePage:
    """Items or events, and the revision from which to go on."""

    __slots__ = ("items", "has_more", "revision")

    def __init__(self, *, items: list[StoreItem], revision: int, has_more: bool = False) -> None:
        self.items = items
        self.revision = revision
        self.has_more = has_more


class WireItem(msgspec.Struct):
    """An item or event; ``compacted`` marks the deletion of the key."""

    key: str
    revision: int = 0
    value: str = ""
    compacted: bool = False


class WireRange(msgspec.Struct, rename="camel"):
    """Answer of ``kv-range``; ``at_rev`` is the revision of the store."""

    at_rev: int
    items: list[WireItem] = []
    has_more: bool = False


class WireEvents(msgspec.Struct, rename="camel"):
    """Answer of ``kv-watch``; the next watch goes on after ``at_rev``."""

    at_rev: int
    events: list[WireItem] = []


RANGE_DECODER = msgspec.json.Decoder(WireRange)
EVENTS_DECODER = msgspec.json.Decoder(WireEvents)
PROBLEM_BY_STATUS = {410: StoreProblem.HISTORY_GONE}


class StoreClient:
    """One connection to the store, used by one task; ``close`` may be called by any thread."""

    __slots__ = ("connection",)

    def __init__(self, *, address: str) -> None:
        self.connection = HttpConnection(address=address, keepalive_probes=True)

    def list_items(self, prefix: str, *, after: str = "") -> StorePage:
        """Return one page of the items below a prefix.

        Raises
        ------
        StoreError
            If the store gave no usable answer.
        """
        query = {"pathPrefix": prefix} | ({"after": after} if after else {})
        body = self.get("/v1/kv-range", query, timeout_s=READ_TIMEOUT_S)
        wire = decode_body(RANGE_DECODER, body)
        return StorePage(
            items=[item_from_wire(item) for item in wire.items],
            revision=wire.at_rev,
            has_more=wire.has_more,
        )

    def watch(self, prefix: str, *, after: int, wait_s: float) -> StorePage:
        """Wait for changes below a prefix that came after a revision.

        Raises
        ------
        StoreError
            If the store gave no usable answer; ``HISTORY_GONE`` if it no longer knows the changes.
        """
        query = {"pathPrefix": prefix, "after": after, "waitMs": int(wait_s * 1000)}
        body = self.get("/v1/kv-watch", query, timeout_s=wait_s + WATCH_MARGIN_S)
        wire = decode_body(EVENTS_DECODER, body)
        return StorePage(items=[item_from_wire(item) for item in wire.events], revision=wire.at_rev)

    def get(self, path: str, query: dict[str, object], *, timeout_s: float) -> bytes:
        """Return the body of a read.

        Raises
        ------
        StoreError
            If there was no response, or one with another status than 200.
        """
        try:
            reply = self.connection.exchange(
                "GET",
                f"{path}?{urlencode(query, safe='/')}",
                headers=(f"Host: {self.connection.address}",),
                body=b"",
                timeout_s=timeout_s,
                connect_timeout_s=CONNECT_TIMEOUT_S,
            )
        except CallError as error:
            # A connection on which a response was lost returns nothing further.
            self.connection.disconnect()
            raise StoreError(StoreProblem.UNREACHABLE, str(error)) from None
        if reply.status != 200:
            problem = PROBLEM_BY_STATUS.get(reply.status, StoreProblem.REFUSED)
            raise StoreError(problem, f"status {reply.status}")
        return reply.body

    def abort(self) -> None:
        """End a call that waits; callable by any thread."""
        self.connection.abort(self.connection.call_number)


def decode_body(decoder: msgspec.json.Decoder, body: bytes):
    """Return a decoded body.

    Raises
    ------
    StoreError
        If the body has another form.
    """
    try:
        return decoder.decode(body)
    except msgspec.DecodeError as error:
        raise StoreError(StoreProblem.BAD_BODY, str(error)) from None


def item_from_wire(wire: WireItem) -> StoreItem:
    """Return an item with its value decoded; a value that is not base64 counts as empty bytes."""
    if wire.compacted:
        return StoreItem(key=wire.key, value=None, revision=wire.revision)
    try:
        value = base64.b64decode(wire.value, validate=True)
    except (binascii.Error, ValueError):
        # Empty bytes are no entry and no configuration; the reader reports them by their key.
        value = b""
    return StoreItem(key=wire.key, value=value, revision=wire.revision)
