"""Messages between entry hosts that follow each other, as JSON."""

from __future__ import annotations

import zlib
from functools import lru_cache

import msgspec

from rhubarbway.decisions.crash_guard import LostServer
from rhubarbway.decisions.fleet_view import FleetMember
from rhubarbway.decisions.server_news import ServerReport
from rhubarbway.model import StoreItem

FEED_PATH = "/v1/feed"


class WireMember(msgspec.Struct, array_like=True):
    """An entry host; ``age_ms`` is the time since its newest sign of life.

    Each follower gets one of each host every two seconds, so names of fields are left out.
    """

    address: str
    zone: str
    incarnation: str
    age_ms: int
    blind: bool = False
    leaving: bool = False


# Values from this size on are sent compressed. A configuration of 1,800 routes has 0.35 MB, 0.47 MB
# as text, which 32 followers would take 6 s to read over a link of 20 Mbit/s.
COMPRESSION_THRESHOLD_BYTES = 1024
# Fast levels already shrink a configuration to less than a tenth.
COMPRESSION_LEVEL = 3
# A peer must not fill the memory with a small message.
MAX_DECOMPRESSED_BYTES = 8 * 1024 * 1024


class WireItem(msgspec.Struct, array_like=True):
    """A change; the value is None for a deletion, and compressed if ``packed`` is true."""

    key: str
    revision: int
    value: bytes | None
    packed: bool = False


class WireLoss(msgspec.Struct):
    """A server that was lost while it had a request, and how long ago."""

    digest: str
    service: str
    server: str
    age_ms: int


class WireReport(msgspec.Struct, array_like=True):
    """A slow server, how slow it was, and how long ago."""

    server: str
    slowness: float
    age_ms: int


class FeedRequest(msgspec.Struct):
    """Asks for changes.

    ``source`` and ``after`` name the copy that was followed before and the number of its last
    change; ``wait_ms`` is how long the answer may wait for the next one. ``members`` are hosts that
    follow the sender, or one of its followers.
    """

    sender: WireMember
    source: str
    after: int
    wait_ms: int
    members: list[WireMember] = []
    losses: list[WireLoss] = []
    reports: list[WireReport] = []


class FeedReply(msgspec.Struct):
    """Changes of a copy, or the whole copy if ``whole`` is true.

    ``complete`` says that the sender's copy holds everything up to ``revision``.
    """

    sender: WireMember
    after: int
    revision: int
    whole: bool
    complete: bool
    items: list[WireItem]
    members: list[WireMember]
    losses: list[WireLoss] = []
    reports: list[WireReport] = []


REQUEST_DECODER = msgspec.json.Decoder(FeedRequest)
REPLY_DECODER = msgspec.json.Decoder(FeedReply)


class FeedError(Exception):
    """A message of another form."""


def message_to_json(message: FeedRequest | FeedReply) -> bytes:
    """Return a message as JSON."""
    return msgspec.json.encode(message)


def request_from_json(data: bytes) -> FeedRequest:
    """Return a decoded request.

    Raises
    ------
    FeedError
        If it has another form.
    """
    try:
        return REQUEST_DECODER.decode(data)
    except msgspec.DecodeError as error:
        raise FeedError(str(error)) from None


def reply_from_json(data: bytes) -> FeedReply:
    """Return a decoded reply.

    Raises
    ------
    FeedError
        If it has another form.
    """
    try:
        return REPLY_DECODER.decode(data)
    except msgspec.DecodeError as error:
        raise FeedError(str(error)) from None


def member_to_wire(member: FleetMember, *, now: float) -> WireMember:
    """Return a member as it is sent; clocks differ, so its age is sent."""
    return WireMember(
        address=member.address,
        zone=member.zone,
        incarnation=member.incarnation,
        age_ms=max(0, round((now - member.heard_at) * 1000)),
        blind=member.blind,
        leaving=member.leaving,
    )


def member_from_wire(wire: WireMember, *, now: float) -> FleetMember:
    """Return a member as this host keeps it."""
    return FleetMember(
        address=wire.address,
        zone=wire.zone,
        incarnation=wire.incarnation,
        heard_at=now - max(0, wire.age_ms) / 1000,
        blind=wire.blind,
        leaving=wire.leaving,
    )


def item_to_wire(item: StoreItem) -> WireItem:
    """Return a change as it is sent."""
    if item.value is None or len(item.value) < COMPRESSION_THRESHOLD_BYTES:
        return WireItem(key=item.key, revision=item.revision, value=item.value)
    return WireItem(
        key=item.key, revision=item.revision, value=compress_value(item.value), packed=True
    )


@lru_cache(maxsize=4)
def compress_value(value: bytes) -> bytes:
    """Return a compressed value; the newest ones are kept, since many followers get the same."""
    return zlib.compress(value, COMPRESSION_LEVEL)


def decompress_value(data: bytes) -> bytes:
    """Return a value as it was before ``packed``.

    Raises
    ------
    FeedError
        If it is not compressed, cut short, or too large.
    """
    decompressor = zlib.decompressobj()
    try:
        value = decompressor.decompress(data, MAX_DECOMPRESSED_BYTES)
    except zlib.error as error:
        raise FeedError(str(error)) from None
    if not decompressor.eof:
        raise FeedError("a compressed value is cut short or too large")
    return value


def item_from_wire(wire: WireItem) -> StoreItem:
    """Return a change as this host keeps it.

    Raises
    ------
    FeedError
        If a compressed value cannot be read.
    """
    value = decompress_value(wire.value) if wire.packed and wire.value is not None else wire.value
    return StoreItem(key=wire.key, value=value, revision=wire.revision)


def loss_to_wire(loss: LostServer, *, now: float) -> WireLoss:
    """Return a loss as it is sent."""
    age_ms = max(0, round((now - loss.at) * 1000))
    return WireLoss(digest=loss.digest, service=loss.service, server=loss.server, age_ms=age_ms)


def loss_from_wire(wire: WireLoss, *, now: float) -> LostServer:
    """Return a loss as this host keeps it."""
    at = now - max(0, wire.age_ms) / 1000
    return LostServer(digest=wire.digest, service=wire.service, server=wire.server, at=at)


def report_to_wire(report: ServerReport, *, now: float) -> WireReport:
    """Return a report as it is sent."""
    age_ms = max(0, round((now - report.at) * 1000))
    return WireReport(server=report.server, slowness=round(report.slowness, 1), age_ms=age_ms)


def report_from_wire(wire: WireReport, *, now: float) -> ServerReport:
    """Return a report as this host keeps it."""
    at = now - max(0, wire.age_ms) / 1000
    return ServerReport(server=wire.server, slowness=wire.slowness, at=at)
