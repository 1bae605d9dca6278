"""JSON messages of the feed, by which a host sends changes of its store copy to its followers.

Both sides also send what they know of other hosts, of crashing requests and of slow servers.
"""

from __future__ import annotations

import zlib
from functools import lru_cache
from typing import Annotated

import msgspec

from rhubarbway.decisions.crash_guard import ServerLoss
from rhubarbway.decisions.deferred_deletions import DeferralReason, DeferredDeletion
from rhubarbway.decisions.fleet_view import FleetMember
from rhubarbway.decisions.server_notices import LeavingMark
from rhubarbway.decisions.slowness_reports import SlownessReport
from rhubarbway.edge.json_codec import JsonError, decode_typed
from rhubarbway.model import ItemEvidence, ItemSummary, StoreItem

FEED_PATH = "/v1/feed"
# Longest name in a message, characters: addresses, zones, ids and digests are shorter.
MAX_NAME_LENGTH = 300
# Bounds of numbers in a message. A host with a fault must not make others fail in arithmetic:
# integers of any length are valid JSON, but cannot be converted to floats.
MAX_AGE_MS = 2**40
MAX_COUNTER = 2**63 - 1
MAX_REPORTED_SLOWNESS = 1000.0
MAX_CENTICORES = 1_000_000

Name = Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)]
Age = Annotated[int, msgspec.Meta(ge=0, le=MAX_AGE_MS)]
Counter = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNTER)]


class WireMember(msgspec.Struct, array_like=True):
    """An entry host; ``age_ms`` is the time since its last announcement.

    ``blind`` states that its last read of the store failed. Encoded as an array without field
    names, since each follower receives one record for each host about every two seconds, and at
    once if the number of hosts changes.
    """

    address: Name
    zone: Name
    incarnation: Name
    age_ms: Age
    blind: bool = False
    leaving: bool = False
    # Hundredths of a core.
    centicores: Annotated[int, msgspec.Meta(ge=0, le=MAX_CENTICORES)] = 0


# Values of at least this size are compressed. A configuration of 1,800 routes has 0.35 MB, or
# 0.47 MB as base64 text, which 32 followers would take 6 s to receive over a link of 20 Mbit/s.
COMPRESSION_THRESHOLD_BYTES = 1024
# Even the fast zlib levels reduce a configuration to less than a tenth.
COMPRESSION_LEVEL = 3
# Content coding of replies, for hosts that accept it. The fastest level already reduces a list of
# servers to a sixth.
CONTENT_CODING = "deflate"
MESSAGE_COMPRESSION_LEVEL = 1
# Limits the memory that one small compressed value can occupy; a message may have several values.
MAX_DECOMPRESSED_BYTES = 8 * 1024 * 1024


class WireItem(msgspec.Struct, array_like=True):
    """A changed key; ``value`` is None for a deletion, and compressed if ``packed`` is true.

    ``eras_ago`` is the number of eras before that of the message in which the key changed, and
    ``evidence`` a value of ``ItemEvidence``. For a deletion, ``started_ms``, ``sequence`` and
    ``draining`` are those of the last entry, as far as it is known. Hosts of an earlier version
    send and read the first four.
    """

    key: str
    revision: Counter
    value: bytes | None
    packed: bool = False
    eras_ago: Counter = 0
    evidence: ItemEvidence = ItemEvidence.WRITTEN
    started_ms: Counter = 0
    sequence: Counter = 0
    draining: bool = False


class WireLoss(msgspec.Struct):
    """A server that was lost ``age_ms`` ago; ``digest`` identifies the request then in flight.

    ``started_ms`` is the start of its process; hosts of an earlier version neither send nor read
    it.
    """

    digest: Name
    service: Name
    server: Name
    age_ms: Age
    started_ms: Counter = 0


class WireSingleLoss(msgspec.Struct, array_like=True):
    """A server that was lost with a request of which the sender knows no other loss."""

    digest: Name
    service: Name
    server: Name
    started_ms: Counter
    age_ms: Age


class WireReport(msgspec.Struct, array_like=True):
    """A slow server; ``slowness`` is the ratio of its latency to the typical latency.

    ``age_ms`` is the age of the newest observation, and ``known_ms`` the time for which the server
    had been known to be slow by then; hosts of an earlier version neither send nor read it.
    """

    server: Name
    slowness: Annotated[float, msgspec.Meta(ge=0, le=MAX_REPORTED_SLOWNESS)]
    age_ms: Age
    known_ms: Age = 0


class WireLeavingMark(msgspec.Struct, array_like=True):
    """A server process that has announced that it leaves; ``started_ms`` is in Unix milliseconds.

    The four fields before ``age_ms`` are ``BackendServer.incarnation``.
    """

    server: Name
    started_ms: Counter
    address: Name
    service: Name
    age_ms: Age


class WireDeferredDeletion(msgspec.Struct, array_like=True):
    """A deletion that the sender knows and has not applied to its copy.

    ``known_ms`` is the time since the first host read it.
    """

    key: Name
    revision: Counter
    known_ms: Age


class FeedRequest(msgspec.Struct):
    """A follower's request for changes.

    ``after`` is the sequence number of the last change that the sender received from the host that
    it asks, and ``source`` the incarnation of that host then; 0 and empty in a first request and in
    each query to a seed. ``wait_ms`` is how long the reply may wait for a further change.
    ``members`` are the direct and indirect followers of the sender, or none if they were sent
    recently. With ``members_only`` the reply needs no changes, and no members either if
    ``members_digest`` is that of the members which the receiver knows. ``settled`` is the revision
    of the store up to which the sender's copy lacks no change, 0 without a complete copy; the reply
    to a first request then has the later changes only, if the receiver knows them all. ``number``
    identifies the request among those of the sender, and is repeated in the reply. ``era`` is the
    era of the store to which the sender's copy and ``settled`` belong; 0 if it is not known, or
    from a host of an earlier version.
    """

    sender: WireMember
    source: Name
    after: Counter
    wait_ms: Age
    members: list[WireMember] = []
    losses: list[WireLoss] = []
    reports: list[WireReport] = []
    leaving: list[WireLeavingMark] = []
    members_only: bool = False
    members_digest: Name = ""
    settled: Counter = 0
    number: Counter = 0
    singles: list[WireSingleLoss] = []
    era: Counter = 0


class FeedReply(msgspec.Struct):
    """Changes of the sender's copy of the store, or the whole copy if ``whole`` is true.

    Keys that a whole copy lacks were deleted. ``after`` is the sequence number of the newest
    change, for the next request. ``complete`` states that the copy contains everything up to
    ``revision`` of the store. ``members`` are the other hosts that the sender knows, or none if
    they were sent recently. ``confirmed_age_ms`` is the time since the store last confirmed that
    the sender's copy is current; None if it never did, or the reply carries no copy.
    ``confirmed_by`` and ``confirmed_number`` name that answer of the store (``Confirmation``); they
    are empty from a host of an earlier version. ``settled`` and ``deletions_known_after`` are those
    of the sender's copy (``StoreCopy``). ``answers`` is the number of the request; None from a host
    of an earlier version. ``deferred`` are the deletions that the sender has deferred since
    ``after`` of the request, or all of them in a first reply. ``era`` is the era of the store to
    which the sender's copy belongs, like that of a request.
    """

    sender: WireMember
    after: Counter
    revision: Counter
    whole: bool
    complete: bool
    items: list[WireItem]
    members: list[WireMember]
    losses: list[WireLoss] = []
    reports: list[WireReport] = []
    leaving: list[WireLeavingMark] = []
    confirmed_age_ms: Age | None = None
    confirmed_by: Name = ""
    confirmed_number: Counter = 0
    settled: Counter = 0
    deletions_known_after: Counter = 0
    answers: Counter | None = None
    singles: list[WireSingleLoss] = []
    deferred: list[WireDeferredDeletion] = []
    era: Counter = 0


REQUEST_DECODER = msgspec.json.Decoder(FeedRequest)
REPLY_DECODER = msgspec.json.Decoder(FeedReply)


class FeedError(Exception):
    """Raised when a message of the feed is malformed, or a reply has another status than 200."""


def message_to_json(message: FeedRequest | FeedReply) -> bytes:
    """Encode a message."""
    return msgspec.json.encode(message)


def request_from_json(data: bytes) -> FeedRequest:
    """Decode a request.

    Raises
    ------
    FeedError
        If the data is not a valid request.
    """
    try:
        return decode_typed(REQUEST_DECODER, data)
    except JsonError as error:
        raise FeedError(str(error)) from None


def reply_from_json(data: bytes) -> FeedReply:
    """Decode a reply.

    Raises
    ------
    FeedError
        If the data is not a valid reply.
    """
    try:
        return decode_typed(REPLY_DECODER, data)
    except JsonError as error:
        raise FeedError(str(error)) from None


def age_ms(instant: float, *, now: float) -> int | None:
    """Return the age of an instant in milliseconds, or None for -inf."""
    return max(0, round((now - instant) * 1000)) if instant > float("-inf") else None


def instant_from_age(age: int | None, *, now: float) -> float:
    """Return the instant of an age in milliseconds, or -inf for None."""
    return now - age / 1000 if age is not None else float("-inf")


def member_to_wire(member: FleetMember, *, now: float) -> WireMember:
    """Return the wire form of a member, with an age in place of an instant, since clocks differ."""
    return WireMember(
        address=member.address,
        zone=member.zone,
        incarnation=member.incarnation,
        age_ms=max(0, round((now - member.last_seen_at) * 1000)),
        blind=member.blind,
        leaving=member.leaving,
        centicores=round(member.cores * 100),
    )


def member_from_wire(wire: WireMember, *, now: float) -> FleetMember:
    """Return the member that a message describes."""
    return FleetMember(
        address=wire.address,
        zone=wire.zone,
        incarnation=wire.incarnation,
        last_seen_at=now - max(0, wire.age_ms) / 1000,
        blind=wire.blind,
        leaving=wire.leaving,
        cores=wire.centicores / 100,
    )


def item_to_wire(item: StoreItem, *, era: int) -> WireItem:
    """Return the wire form of a changed item for a message about a copy of an era."""
    is_packed = item.value is not None and len(item.value) >= COMPRESSION_THRESHOLD_BYTES
    summary = item.last_summary or ItemSummary()
    return WireItem(
        key=item.key,
        revision=item.revision,
        value=compress_value(item.value) if is_packed else item.value,
        packed=is_packed,
        eras_ago=era - item.era,
        evidence=item.evidence,
        started_ms=summary.started_ms,
        sequence=summary.sequence,
        draining=summary.draining,
    )


@lru_cache(maxsize=4)
def compress_value(value: bytes) -> bytes:
    """Compress a value; recent results are cached, since many followers get the same value."""
    return zlib.compress(value, COMPRESSION_LEVEL)


def compress_message(data: bytes) -> bytes:
    """Compress an encoded message with ``CONTENT_CODING``."""
    return zlib.compress(data, MESSAGE_COMPRESSION_LEVEL)


def decompress_value(data: bytes) -> bytes:
    """Decompress a value or a message.

    Raises
    ------
    FeedError
        If the data is not valid zlib data, is truncated, or the value is too large.
    """
    decompressor = zlib.decompressobj()
    try:
        value = decompressor.decompress(data, MAX_DECOMPRESSED_BYTES)
    except zlib.error as error:
        raise FeedError(str(error)) from None
    if not decompressor.eof:
        raise FeedError(
            f"a compressed value of {len(data)} bytes is truncated, or has more than "
            f"{MAX_DECOMPRESSED_BYTES} bytes decompressed"
        )
    return value


def item_from_wire(wire: WireItem, *, era: int) -> StoreItem:
    """Return the changed item that a message about a copy of an era describes.

    Raises
    ------
    FeedError
        If a compressed value cannot be decompressed.
    """
    value = decompress_value(wire.value) if wire.packed and wire.value is not None else wire.value
    summary = None
    if wire.started_ms or wire.sequence:
        summary = ItemSummary(
            started_ms=wire.started_ms, sequence=wire.sequence, draining=wire.draining
        )
    return StoreItem(
        key=wire.key,
        value=value,
        revision=wire.revision,
        era=max(0, era - wire.eras_ago),
        evidence=wire.evidence,
        last_summary=summary,
    )


def loss_to_wire(loss: ServerLoss, *, now: float) -> WireLoss:
    """Return the wire form of a loss."""
    age_ms = max(0, round((now - loss.lost_at) * 1000))
    return WireLoss(
        digest=loss.digest,
        service=loss.service,
        server=loss.server,
        age_ms=age_ms,
        started_ms=loss.started_ms,
    )


def loss_from_wire(wire: WireLoss, *, now: float) -> ServerLoss:
    """Return the loss that a message describes."""
    at = now - max(0, wire.age_ms) / 1000
    return ServerLoss(
        digest=wire.digest,
        service=wire.service,
        server=wire.server,
        lost_at=at,
        started_ms=wire.started_ms,
    )


def single_loss_to_wire(loss: ServerLoss, *, now: float) -> WireSingleLoss:
    """Return the wire form of a single loss."""
    return WireSingleLoss(
        digest=loss.digest,
        service=loss.service,
        server=loss.server,
        started_ms=loss.started_ms,
        age_ms=max(0, round((now - loss.lost_at) * 1000)),
    )


def single_loss_from_wire(wire: WireSingleLoss, *, now: float) -> ServerLoss:
    """Return the single loss that a message describes."""
    return ServerLoss(
        digest=wire.digest,
        service=wire.service,
        server=wire.server,
        started_ms=wire.started_ms,
        lost_at=now - wire.age_ms / 1000,
        is_single=True,
    )


def deferred_deletion_to_wire(deletion: DeferredDeletion, *, now: float) -> WireDeferredDeletion:
    """Return the wire form of a deferred deletion."""
    return WireDeferredDeletion(
        key=deletion.item.key,
        revision=deletion.item.revision,
        known_ms=max(0, round((now - deletion.known_since) * 1000)),
    )


def deferred_deletion_from_wire(
    wire: WireDeferredDeletion, *, era: int, now: float
) -> DeferredDeletion:
    """Return the deferred deletion that a message about a copy of an era describes."""
    return DeferredDeletion(
        item=StoreItem(key=wire.key, value=None, revision=wire.revision, era=era),
        known_since=now - wire.known_ms / 1000,
        due_at=float("inf"),
        latest_at=float("inf"),
        reason=DeferralReason.OTHER_HOST,
    )


def report_to_wire(report: SlownessReport, *, now: float) -> WireReport:
    """Return the wire form of a report."""
    return WireReport(
        server=report.server,
        slowness=round(report.slowness, 1),
        age_ms=max(0, round((now - report.observed_at) * 1000)),
        known_ms=max(0, round((report.observed_at - report.slow_since) * 1000)),
    )


def report_from_wire(wire: WireReport, *, now: float) -> SlownessReport:
    """Return the report that a message describes."""
    at = now - max(0, wire.age_ms) / 1000
    return SlownessReport(
        server=wire.server,
        slowness=wire.slowness,
        observed_at=at,
        slow_since=at - wire.known_ms / 1000,
    )


def leaving_mark_to_wire(mark: LeavingMark, *, now: float) -> WireLeavingMark:
    """Return the wire form of a mark."""
    server, started_ms, address, service = mark.incarnation
    return WireLeavingMark(
        server=server,
        started_ms=started_ms,
        address=address,
        service=service,
        age_ms=max(0, round((now - mark.announced_at) * 1000)),
    )


def leaving_mark_from_wire(wire: WireLeavingMark, *, now: float) -> LeavingMark:
    """Return the mark that a message describes."""
    return LeavingMark(
        incarnation=(wire.server, wire.started_ms, wire.address, wire.service),
        announced_at=now - wire.age_ms / 1000,
    )
