"""Read-only client of the platform's metadata store."""

from __future__ import annotations

import base64
import binascii
import time
from collections.abc import Callable
from enum import Enum
from typing import Annotated, TypeVar
from urllib.parse import urlencode

import msgspec
from msgspec import UNSET, UnsetType

from rhubarbway.edge.exchange_connection import ExchangeConnection
from rhubarbway.edge.http_call import (
    CallError,
    Reply,
    UnexpectedDataListener,
    ignore_unexpected_data,
)
from rhubarbway.edge.json_codec import JsonError, decode_typed
from rhubarbway.model import StoreItem

# Time limit of a read, seconds. Replies usually take milliseconds.
READ_TIMEOUT_S = 2.0
# Time limit of a watch beyond the wait that it requests, seconds.
WATCH_MARGIN_S = 0.7
CONNECT_TIMEOUT_S = 1.0
# An answer without events that arrives earlier than this before the end of the requested wait may
# belong to an earlier watch, seconds. The store waits from when it has the request, so its own
# answer is never early but by the difference of two clocks.
EARLY_ANSWER_S = 0.01
# Largest revision and era: other hosts decode them as integers of 64 bits.
MAX_REVISION = 2**63 - 1
# Header of all answers: the era, which grows by one with each restore from an older copy.
ERA_HEADER = "store-era"
# Longest text of an era, digits; one that is longer is no era.
MAX_ERA_DIGITS = 18

Revision = Annotated[int, msgspec.Meta(ge=0, le=MAX_REVISION)]


class StoreProblem(Enum):
    """Why a call to the store failed.

    ``UNREACHABLE`` means that no complete reply arrived. ``HISTORY_GONE`` is status 410: the store
    no longer has the changes after the requested revision. ``REFUSED`` is any other status but 200.
    ``TOO_LARGE`` means that the reply exceeds the limit on replies. ``OTHER_ERA`` means that the
    reply is of another era of the store than the one to which the call belongs.
    """

    UNREACHABLE = "unreachable"
    REFUSED = "refused"
    HISTORY_GONE = "history_gone"
    BAD_BODY = "bad_body"
    TOO_LARGE = "too_large"
    OTHER_ERA = "other_era"


class StoreError(Exception):
    """Raised when a call to the store gives no usable reply.

    Attributes
    ----------
    era : int
        Era of the store that its reply states; 0 without one.
    """

    def __init__(self, problem: StoreProblem, detail: str, *, era: int = 0) -> None:
        super().__init__(f"{problem.value}: {detail}")
        self.problem = problem
        self.era = era


class StorePage:
    """A page of a listing, or the events of a watch.

    ``revision`` is that of the store when it replied, in its era ``era``, which is 0 if the store
    states none. A listing continues after the key of the last item if ``has_more`` is true, a watch
    after ``revision``.
    """

    __slots__ = ("era", "has_more", "items", "revision")

    def __init__(
        self, *, items: list[StoreItem], revision: int, has_more: bool = False, era: int = 0
    ) -> None:
        self.items = items
        self.era = era
        self.revision = revision
        self.has_more = has_more


class WireItem(msgspec.Struct):
    """An item or event; ``value`` is base64 text, and ``compacted`` marks a deleted key."""

    key: str
    revision: Revision = 0
    value: str = ""
    compacted: bool = False


class WireRange(msgspec.Struct, rename="camel"):
    """Reply to ``kv-range``; ``at_rev`` is the revision of the store.

    Only the reply to a watch has ``events``.
    """

    at_rev: Revision
    items: list[WireItem] | UnsetType = UNSET
    has_more: bool = False
    events: msgspec.Raw | UnsetType = UNSET


class WireEvents(msgspec.Struct, rename="camel"):
    """Reply to ``kv-watch``; the next watch continues after ``at_rev``.

    Only a page of a listing has ``items``.
    """

    at_rev: Revision
    events: list[WireItem] | UnsetType = UNSET
    items: msgspec.Raw | UnsetType = UNSET


OwnReply = TypeVar("OwnReply")

RANGE_DECODER = msgspec.json.Decoder(WireRange)
EVENTS_DECODER = msgspec.json.Decoder(WireEvents)
PROBLEM_BY_STATUS = {410: StoreProblem.HISTORY_GONE}


class StoreClient:
    """A connection to the store, used by one task; ``abort`` may be called from any thread.

    Parameters
    ----------
    address : str
        ``HOST:PORT``.
    on_unexpected_data : callable
        Called with the address when the connection is given up because of data that answers no
        request.
    """

    __slots__ = ("connection",)

    def __init__(
        self, *, address: str, on_unexpected_data: UnexpectedDataListener = ignore_unexpected_data
    ) -> None:
        self.connection = ExchangeConnection(
            address=address, keepalive_probes=True, on_unexpected_data=on_unexpected_data
        )

    def list_items(self, prefix: str, *, after_key: str = "") -> StorePage:
        """Return one page of the items whose keys have a prefix and follow ``after_key``.

        Raises
        ------
        StoreError
            If the store gave no usable reply.
        """
        # ``pathPrefix`` is the store's name for a prefix of keys.
        query = {"pathPrefix": prefix} | ({"after": after_key} if after_key else {})

        def read() -> tuple[tuple[WireRange, int], bool]:
            reply = self.get("/v1/kv-range", query, timeout_s=READ_TIMEOUT_S)
            wire = self.decode(RANGE_DECODER, reply.body)
            return (wire, stated_era(reply)), is_page_after(wire, after_key)

        wire, era = self.read_own_reply(read)
        return StorePage(
            items=[item_from_wire(item) for item in wire.items or ()],
            revision=wire.at_rev,
            has_more=wire.has_more,
            era=era,
        )

    def watch(self, prefix: str, *, after_revision: int, wait_s: float) -> StorePage:
        """Wait up to ``wait_s`` for changes of keys with a prefix after ``after_revision``.

        Raises
        ------
        StoreError
            If the store gave no usable reply; ``HISTORY_GONE`` if it no longer has the changes,
            ``TOO_LARGE`` if they are more than a reply may hold.
        """
        wait_ms = int(wait_s * 1000)
        query = {"pathPrefix": prefix, "after": after_revision, "waitMs": wait_ms}

        def read() -> tuple[tuple[WireEvents, int], bool]:
            requested_at = time.monotonic()
            reply = self.get("/v1/kv-watch", query, timeout_s=wait_s + WATCH_MARGIN_S)
            waited_s = time.monotonic() - requested_at
            wire = self.decode(EVENTS_DECODER, reply.body)
            is_early = waited_s < wait_ms / 1000 - EARLY_ANSWER_S
            is_plausible = is_answer_after(wire, after_revision, is_early=is_early)
            return (wire, stated_era(reply)), is_plausible

        wire, era = self.read_own_reply(read)
        return StorePage(
            items=[item_from_wire(item) for item in wire.events or ()],
            revision=wire.at_rev,
            era=era,
        )

    def read_own_reply(self, read: Callable[[], tuple[OwnReply, bool]]) -> OwnReply:
        """Return the reply of a call, which is repeated if the reply may be that of another call.

        Replies of the store do not name their request, and a second, late copy of an earlier one
        may arrive in place of the reply. No such copy arrives on a new connection.

        Parameters
        ----------
        read : callable
            Makes the call; returns the reply, and whether it can be that of this call.
        """
        reply, is_plausible = read()
        if is_plausible or not self.connection.reused:
            return reply
        # A connection that is closed already held more data, and has been reported for that.
        if self.connection.sock is not None:
            self.connection.on_unexpected_data(self.connection.address)
        self.connection.disconnect()
        return read()[0]

    def get(self, path: str, query: dict[str, object], *, timeout_s: float) -> Reply:
        """Send a ``GET`` request and return the reply.

        Raises
        ------
        StoreError
            If no complete reply arrived, or its status is not 200.
        """
        begun_at = time.monotonic()
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
            # On a connection on which a reply was lost, no later reply arrives either, so the next
            # call must open another connection.
            self.connection.disconnect()
            # A call that took much longer than its limit shows that this host was short of time.
            took_ms = round((time.monotonic() - begun_at) * 1000)
            kind = "kept" if self.connection.reused else "new"
            raise StoreError(
                StoreProblem.TOO_LARGE if error.too_large else StoreProblem.UNREACHABLE,
                f"{error} ({kind} connection, {took_ms} ms of {round(timeout_s * 1000)} ms)",
            ) from None
        if reply.status != 200:
            # The status may be that of an earlier call, and the reply to this one may follow.
            self.connection.disconnect()
            problem = PROBLEM_BY_STATUS.get(reply.status, StoreProblem.REFUSED)
            raise StoreError(problem, f"status {reply.status}", era=stated_era(reply))
        return reply

    def decode(self, decoder: msgspec.json.Decoder, body: bytes):
        """Decode the body of a reply; close the connection if that fails.

        Raises
        ------
        StoreError
            If the body does not have the expected format.
        """
        try:
            return decode_body(decoder, body)
        except StoreError:
            # The body may be that of a reply which was cut off, with the begin of another one.
            self.connection.disconnect()
            raise

    def abort(self) -> None:
        """End the call in progress; may be called from any thread."""
        self.connection.abort(self.connection.call_number)


def decode_body(decoder: msgspec.json.Decoder, body: bytes):
    """Decode the body of a reply.

    Raises
    ------
    StoreError
        If the body does not have the expected format.
    """
    try:
        return decode_typed(decoder, body)
    except JsonError as error:
        raise StoreError(StoreProblem.BAD_BODY, str(error)) from None


def stated_era(reply: Reply) -> int:
    """Return the era of the store that a reply states; 0 if it states none.

    Examples
    --------
    >>> [
    ...     stated_era(Reply(status=200, body=b"", headers=(("Store-Era", text),)))
    ...     for text in ("7", "-7", "seven")
    ... ]
    [7, 0, 0]
    """
    for name, text in reply.headers:
        if name.lower() == ERA_HEADER and text.isascii() and text.isdigit():
            return int(text) if len(text) <= MAX_ERA_DIGITS else 0
    return 0


def is_page_after(wire: WireRange, after_key: str) -> bool:
    """Return whether a reply can be the page of a listing that follows a key.

    Examples
    --------
    >>> page = WireRange(at_rev=7, items=[WireItem(key="b")])
    >>> is_page_after(page, "a"), is_page_after(page, "b"), is_page_after(WireRange(at_rev=7), "a")
    (True, False, False)
    """
    if wire.items is UNSET or wire.events is not UNSET:
        return False
    return all(item.key > after_key for item in wire.items)


def is_answer_after(wire: WireEvents, after_revision: int, *, is_early: bool) -> bool:
    """Return whether a reply can be that to a watch after a revision.

    A watch without events ends with its wait, so one that is early is not the answer to it.

    Examples
    --------
    >>> answer = WireEvents(at_rev=7, events=[WireItem(key="a", revision=7)])
    >>> [is_answer_after(answer, revision, is_early=True) for revision in (6, 7)]
    [True, False]
    >>> empty = WireEvents(at_rev=7, events=[])
    >>> [is_answer_after(empty, 7, is_early=is_early) for is_early in (False, True)]
    [True, False]
    """
    if wire.events is UNSET or wire.items is not UNSET or wire.at_rev < after_revision:
        return False
    if not wire.events:
        return not is_early
    return all(item.revision > after_revision for item in wire.events)


def item_from_wire(wire: WireItem) -> StoreItem:
    """Return an item with its value decoded; an invalid base64 value becomes empty bytes."""
    if wire.compacted:
        return StoreItem(key=wire.key, value=None, revision=wire.revision)
    try:
        value = base64.b64decode(wire.value, validate=True)
    except (binascii.Error, ValueError):
        # Empty bytes are neither a valid entry nor a valid configuration, so ``RegistryService``
        # logs a finding that names the key.
        value = b""
    return StoreItem(key=wire.key, value=value, revision=wire.revision)
