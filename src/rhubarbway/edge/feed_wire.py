"""Messages between entry hosts that follow each other, as JSON."""

from __future__ import annotations

import zlib
from functools import lru_cache

import msgspec

from rhubarbway.decisions.crash_guard import ServerLoss
from rhubarbway.decisions.fleet_view import FleetMember
from rhubarbway.decisions.slowness_reports import SlownessReport
from rhubarbway.model import StoreItem

PATH = "/v1/feed"


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
PACKED_FROM_BYTES = 1024
# Fast levels already shrink a configuration to less than a tenth.
PACKED_LEVEL = 3
# A peer must not fill the memory with a small message.
UNPACKED_LIMIT_BYTES = 8 * 1024 * 1024


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


class BadFeed(Exception):
    """A message of another form."""


def encoded(message: FeedRequest | FeedReply) -> bytes:
    """Return a message as JSON."""
    return msgspec.json.encode(message)


def request_from(data: bytes) -> FeedRequest:
    """Return a decoded request.

    Raises
    ------
    BadFeed
        If it has another form.
    """
    try:
        return REQUEST_DECODER.decode(data)
    except msgspec.DecodeError as error:
        raise BadFeed(str(error)) from None


def reply_from(data: bytes) -> FeedReply:
    """Return a decoded reply.

    Raises
    ------
    BadFeed
        If it has another form.
    """
    try:
        return REPLY_DECODER.decode(data)
    except msgspec.DecodeError as error:
        raise BadFeed(str(error)) from None


def wire_member(member: FleetMember, *, now: float) -> WireMember:
    """Return a member as it is sent; clocks differ, so its age is sent."""
    return WireMember(
        address=member.address,
        zone=member.zone,
        incarnation=member.incarnation,
        age_ms=max(0, round((now - member.last_seen_at) * 1000)),
        blind=member.blind,
        leaving=member.leaving,
    )


def member_of(wire: WireMember, *, now: float) -> FleetMember:
    """Return a member as this host keeps it."""
    return FleetMember(
        address=wire.address,
        zone=wire.zone,
        incarnation=wire.incarnation,
        last_seen_at=now - max(0, wire.age_ms) / 1000,
        blind=wire.blind,
        leaving=wire.leaving,
    )


def wire_item(item: StoreItem) -> WireItem:
    """Return a change as it is sent."""
    if item.value is None or len(item.value) < PACKED_FROM_BYTES:
        return WireItem(key=item.key, revision=item.revision, value=item.value)
    return WireItem(key=item.key, revision=item.revision, value=packed(item.value), packed=True)


@lru_cache(maxsize=4)
def packed(value: bytes) -> bytes:
    """Return a compressed value; the newest ones are kept, since many followers get the same."""
    return zlib.compress(value, PACKED_LEVEL)


def unpacked(data: bytes) -> bytes:
    """Return a value as it was before ``packed``.

    Raises
    ------
    BadFeed
        If it is not compressed, cut short, or too large.
    """
    decompressor = zlib.decompressobj()
    try:
        value = decompressor.decompress(data, UNPACKED_LIMIT_BYTES)
    except zlib.error as error:
        raise BadFeed(str(error)) from None
    if not decompressor.eof:
        raise BadFeed("a compressed value is cut short or too large")
    return value


def item_of(wire: WireItem) -> StoreItem:
    """Return a change as this host keeps it.

    Raises
    ------
    BadFeed
        If a compressed value cannot be read.
    """
    value = unpacked(wire.value) if wire.packed and wire.value is not None else wire.value
    return StoreItem(key=wire.key, value=value, revision=wire.revision)


def wire_loss(loss: ServerLoss, *, now: float) -> WireLoss:
    """Return a loss as it is sent."""
    age_ms = max(0, round((now - loss.lost_at) * 1000))
    return WireLoss(digest=loss.digest, service=loss.service, server=loss.server, age_ms=age_ms)


def loss_of(wire: WireLoss, *, now: float) -> ServerLoss:
    """Return a loss as this host keeps it."""
    at = now - max(0, wire.age_ms) / 1000
    return ServerLoss(digest=wire.digest, service=wire.service, server=wire.server, lost_at=at)


def wire_report(report: SlownessReport, *, now: float) -> WireReport:
    """Return a report as it is sent."""
    age_ms = max(0, round((now - report.observed_at) * 1000))
    return WireReport(server=report.server, slowness=round(report.slowness, 1), age_ms=age_ms)


def report_of(wire: WireReport, *, now: float) -> SlownessReport:
    """Return a report as this host keeps it."""
    at = now - max(0, wire.age_ms) / 1000
    return SlownessReport(server=wire.server, slowness=wire.slowness, observed_at=at)
