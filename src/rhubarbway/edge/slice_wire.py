"""Messages between an entry host and the owner of a slice, a range of the shards of a service.

The owner is an entry host, too. A *hop* is one request to it, which carries the query for all
shards of the slice.
"""

from __future__ import annotations

import time

import msgspec

from rhubarbway.edge.json_codec import hex_digest
from rhubarbway.edge.token_wire import decode_message
from rhubarbway.edge.wire import MessageError
from rhubarbway.model import Answer, ExecutionStatus, MissReason, Query, ShardAnswer


class SliceBody(msgspec.Struct):
    """Body of ``POST /v1/peer/slice``: a query for the shards ``first`` to ``last``, inclusive.

    ``hop`` identifies the request and is repeated in the reply. Without a snapshot the query does
    not run; the request then only asks which snapshots the owner can reach.
    """

    hop: str
    job: str
    service: str
    layout: str
    first: int
    last: int
    snapshot: str | None
    deadline_ms: int
    unsafe: bool
    digest: str
    shape: str
    payload: msgspec.Raw


class SliceShard(msgspec.Struct):
    """The answer of one shard in a reply."""

    shard: int
    fraction: float
    items: msgspec.Raw


class SliceMiss(msgspec.Struct):
    """A shard that is missing in a reply, and why."""

    shard: int
    reason: MissReason


class SliceReplyBody(msgspec.Struct):
    """Reply to ``POST /v1/peer/slice``; ``digest`` is the digest of the encoded ``shards``.

    ``snapshots`` are those that the owner can reach; ``snapshot`` is the one that ``shards`` come
    from.
    """

    hop: str
    snapshots: list[str]
    snapshot: str | None = None
    ran: ExecutionStatus = ExecutionStatus.NOT_RUN
    attempts: int = 0
    missing: list[SliceMiss] = []
    digest: str = ""
    shards: msgspec.Raw = msgspec.Raw(b"[]")


SLICE_DECODER = msgspec.json.Decoder(SliceBody)
REPLY_DECODER = msgspec.json.Decoder(SliceReplyBody)
SHARDS_DECODER = msgspec.json.Decoder(list[SliceShard])


class SliceReply:
    """The decoded reply of the owner of a slice; mappings are by index of the shard."""

    __slots__ = ("answers", "attempts", "miss_reasons", "ran", "snapshots")

    def __init__(
        self,
        *,
        answers: dict[int, ShardAnswer],
        miss_reasons: dict[int, MissReason],
        ran: ExecutionStatus,
        attempts: int,
        snapshots: list[str],
    ) -> None:
        self.answers = answers
        self.miss_reasons = miss_reasons
        self.ran = ran
        self.attempts = attempts
        self.snapshots = snapshots


def slice_body_from_query(
    query: Query,
    *,
    hop: str,
    service: str,
    layout: str,
    first: int,
    last: int,
    snapshot: str | None,
) -> SliceBody:
    """Return the request to the owner of a slice, the shards ``first`` to ``last``, inclusive."""
    return SliceBody(
        hop=hop,
        job=query.job,
        service=service,
        layout=layout,
        first=first,
        last=last,
        snapshot=snapshot,
        deadline_ms=max(0, int((query.deadline - time.monotonic()) * 1000)),
        unsafe=query.unsafe,
        digest=query.digest,
        shape=query.shape,
        payload=msgspec.Raw(query.payload_json),
    )


def request_to_json(body: SliceBody) -> bytes:
    """Encode a request to the owner of a slice."""
    return msgspec.json.encode(body)


def request_from_json(data: bytes) -> SliceBody:
    """Decode a request to the owner of a slice.

    Raises
    ------
    MessageError
        If the body is not such a request.
    """
    return decode_message(SLICE_DECODER, data)


def query_from_slice_body(body: SliceBody) -> Query:
    """Return the query that the owner of a slice runs on its shards."""
    payload_json = bytes(body.payload)
    return Query(
        request_id=body.hop,
        job=body.job,
        payload=None,
        payload_json=payload_json,
        deadline=time.monotonic() + body.deadline_ms / 1000,
        unsafe=body.unsafe,
        token=None,
        digest=body.digest,
        shape=body.shape,
        # The host that merges all slices checks the coverage.
        min_coverage=0.0,
    )


def reply_to_json(
    hop: str, *, snapshots: list[str], answer: Answer | None, ran: ExecutionStatus, attempts: int
) -> bytes:
    """Encode the reply of an owner; the receiver counts all shards without an answer as missing."""
    shards = [
        SliceShard(shard=shard.shard, fraction=shard.fraction, items=msgspec.Raw(shard.items_json))
        for shard in (answer.shards if answer else ())
    ]
    shards_json = msgspec.json.encode(shards)
    return msgspec.json.encode(
        SliceReplyBody(
            hop=hop,
            snapshots=snapshots,
            snapshot=answer.snapshot if answer else None,
            ran=ran,
            attempts=attempts,
            missing=[
                SliceMiss(shard=miss.shard, reason=miss.reason)
                for miss in (answer.coverage.missing if answer else ())
            ],
            digest=hex_digest(shards_json),
            shards=msgspec.Raw(shards_json),
        )
    )


def reply_from_json(data: bytes, *, request: SliceBody, owner: str) -> SliceReply:
    """Decode the reply to a hop, and check that it belongs to the request.

    The reply names no replicas, so its answers carry the name ``owner`` and no latency.

    Raises
    ------
    MessageError
        If the reply is malformed, does not match its digest, answers another hop, comes from
        another snapshot, or has a shard of another slice.
    """
    reply: SliceReplyBody = decode_message(REPLY_DECODER, data)
    shards_json = bytes(reply.shards)
    if reply.hop != request.hop:
        raise MessageError(f"reply to hop {reply.hop}")
    if reply.digest != hex_digest(shards_json):
        raise MessageError("the digest does not match the shards")
    shards: list[SliceShard] = decode_message(SHARDS_DECODER, shards_json)
    if shards and reply.snapshot != request.snapshot:
        raise MessageError(f"reply from snapshot {reply.snapshot}")
    if not all(request.first <= shard.shard <= request.last for shard in shards):
        raise MessageError("reply with a shard of another slice")
    return SliceReply(
        answers={
            shard.shard: ShardAnswer(
                shard=shard.shard,
                snapshot=reply.snapshot or "",
                fraction=shard.fraction,
                items_json=bytes(shard.items),
                replica=owner,
                latency_s=0.0,
            )
            for shard in shards
        },
        miss_reasons={miss.shard: miss.reason for miss in reply.missing},
        ran=reply.ran,
        attempts=reply.attempts,
        snapshots=reply.snapshots,
    )
