"""JSON messages exchanged with callers and backend servers."""

from __future__ import annotations

import time
from typing import Any

import msgspec

from rhubarbway.edge.json_codec import (
    JsonError,
    canonical_json,
    decode_json,
    decode_typed,
    hex_digest,
)
from rhubarbway.model import (
    Answer,
    AttemptOutcome,
    ExecutionStatus,
    Failure,
    FailureKind,
    OutcomeKind,
    Query,
    ShardAnswer,
    SubQuery,
)

# Limits of the fields of a query; lengths are in characters.
MAX_REQUEST_ID_LENGTH = 128
MAX_JOB_LENGTH = 256
MAX_DEADLINE_MS = 60_000

HTTP_STATUS_BY_FAILURE = {
    FailureKind.BAD_REQUEST: 400,
    FailureKind.TOO_LARGE: 413,
    FailureKind.NOT_FOUND: 404,
    FailureKind.METHOD_NOT_ALLOWED: 405,
    FailureKind.JOB_UNKNOWN: 404,
    FailureKind.JOB_RETIRED: 410,
    FailureKind.TOKEN_REQUIRED: 428,
    FailureKind.TOKEN_REFUSED: 409,
    FailureKind.TOKEN_REUSED: 422,
    FailureKind.QUARANTINED: 423,
    FailureKind.OVERLOADED: 429,
    FailureKind.NOT_READY: 503,
    FailureKind.LEAVING: 503,
    FailureKind.DEADLINE_PASSED: 504,
    FailureKind.NO_REPLICA: 503,
    FailureKind.COVERAGE_TOO_LOW: 503,
    FailureKind.OUTCOME_UNKNOWN: 502,
    FailureKind.REJECTED: 422,
    FailureKind.INTERNAL: 500,
}

# Outcome of an attempt by the value of ``refused`` in the reply.
OUTCOME_BY_REFUSAL = {
    "shed": OutcomeKind.SHED,
    "draining": OutcomeKind.DRAINING,
    "snapshot_absent": OutcomeKind.SNAPSHOT_ABSENT,
    "layout_absent": OutcomeKind.LAYOUT_ABSENT,
    "deadline_passed": OutcomeKind.TIMED_OUT,
    "rejected": OutcomeKind.REJECTED,
}


class MessageError(ValueError):
    """Raised when a message is malformed, or is not a usable reply to the request sent."""


class QueryBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /v1/query``; ``deadline_ms`` counts from the receipt of the body."""

    request_id: str
    job: str
    payload: Any = None
    deadline_ms: int | None = None
    min_coverage: float | None = None
    unsafe: bool = False
    token: str | None = None


class SubQueryBody(msgspec.Struct):
    """Body of ``POST /v1/subquery``; ``deadline_ms`` is the time left when it is sent."""

    attempt: str
    service: str
    layout: str
    shard: int
    snapshot: str | None
    deadline_ms: int
    unsafe: bool
    payload: msgspec.Raw


class SubQueryReply(msgspec.Struct):
    """Reply to ``POST /v1/subquery``: an answer, or a refusal if ``refused`` is set.

    ``refused`` is the reason of a refusal, a key of ``OUTCOME_BY_REFUSAL``. An answer repeats
    ``service``, ``layout`` and ``shard`` of the request and names the snapshot that was searched.
    ``length`` (bytes) and ``digest`` are those of ``items`` as encoded.
    """

    attempt: str
    incarnation: str
    held_snapshots: list[str]
    draining: bool = False
    refused: str | None = None
    service: str = ""
    layout: str = ""
    shard: int = -1
    snapshot: str | None = None
    fraction: float = 1.0
    length: int = -1
    digest: str = ""
    # Not empty by default, since an encoded refusal would then be invalid JSON.
    items: msgspec.Raw = msgspec.Raw(b"[]")


class ReplicaStatus(msgspec.Struct):
    """Reply of a backend server to ``GET /v1/status``."""

    incarnation: str
    held_snapshots: list[str]
    layout: str
    draining: bool = False
    # Absent from a status. If present, the message is a reply to a sub-query, which also has all
    # fields of a status.
    attempt: str | None = None


QUERY_DECODER = msgspec.json.Decoder(QueryBody)
REPLY_DECODER = msgspec.json.Decoder(SubQueryReply)
STATUS_DECODER = msgspec.json.Decoder(ReplicaStatus)


def query_from_json(data: bytes, *, default_deadline_ms: int) -> Query:
    """Decode and validate the body of a query request.

    Raises
    ------
    MessageError
        If the body is not JSON, or a field is missing, unknown, of the wrong type or out of range.
    """
    try:
        check_nesting(data)
        body = decode_typed(QUERY_DECODER, data)
    except JsonError as error:
        raise MessageError(str(error)) from None
    problems = query_problems(body)
    if problems:
        raise MessageError("; ".join(problems))
    deadline_ms = body.deadline_ms if body.deadline_ms is not None else default_deadline_ms
    payload_json = canonical_json(body.payload)
    keys = sorted(body.payload) if isinstance(body.payload, dict) else []
    return Query(
        request_id=body.request_id,
        job=body.job,
        payload=body.payload,
        payload_json=payload_json,
        deadline=time.monotonic() + deadline_ms / 1000,
        unsafe=body.unsafe,
        token=body.token,
        digest=hex_digest(body.job.encode() + b"\0" + payload_json),
        shape=f"{body.job}({','.join(keys)})",
        min_coverage=body.min_coverage,
    )


def check_nesting(data: bytes) -> None:
    """Raise ``JsonError`` if the text is nested too deeply.

    Text with at most 32 opening brackets (``MAX_NESTING_DEPTH``) cannot be nested too deeply and is
    not parsed here; if it is malformed, the decoder of the message rejects it. Other text is
    parsed, so ``JsonError`` is then also raised if it is malformed.
    """
    if data.count(b"{") + data.count(b"[") > 32:
        decode_json(data)


def query_problems(body: QueryBody) -> list[str]:
    """Return a description of each field of a query body that is out of range."""
    problems = []
    if not 0 < len(body.request_id) <= MAX_REQUEST_ID_LENGTH:
        problems.append(f"request_id must have 1 to {MAX_REQUEST_ID_LENGTH} characters")
    if not 0 < len(body.job) <= MAX_JOB_LENGTH:
        problems.append(f"job must have 1 to {MAX_JOB_LENGTH} characters")
    if body.deadline_ms is not None and not 0 < body.deadline_ms <= MAX_DEADLINE_MS:
        problems.append(f"deadline_ms must lie between 1 and {MAX_DEADLINE_MS}")
    if body.min_coverage is not None and not 0 <= body.min_coverage <= 1:
        problems.append("min_coverage must lie between 0 and 1")
    return problems


def answer_to_json(answer: Answer, *, host: str, incarnation: str) -> bytes:
    """Encode the reply to an answered query; ``host`` is the name of this entry host."""
    coverage = answer.coverage
    items = b"[" + b",".join(shard_to_json(shard) for shard in answer.shards) + b"]"
    return msgspec.json.encode(
        {
            "request_id": answer.request_id,
            "job": answer.job,
            "tenant": answer.tenant,
            "service": answer.service,
            "meaning": answer.meaning,
            "snapshot": answer.snapshot,
            "layout": answer.layout,
            "host": host,
            "incarnation": incarnation,
            "attempts": answer.attempts,
            "ran": ExecutionStatus.RUN.value,
            "coverage": {
                "shards_total": coverage.shards_total,
                "shards_answered": coverage.shards_answered,
                "fraction": coverage.fraction,
                "missing": [
                    {"shard": miss.shard, "reason": miss.reason.value} for miss in coverage.missing
                ],
            },
            "digest": hex_digest(items),
            "shards": msgspec.Raw(items),
        }
    )


def shard_to_json(shard: ShardAnswer) -> bytes:
    """Encode one element of the ``shards`` array of an answer."""
    return b'{"shard":%d,"fraction":%s,"items":%s}' % (
        shard.shard,
        repr(shard.fraction).encode(),
        shard.items_json,
    )


def failure_to_json(failure: Failure, *, request_id: str | None) -> bytes:
    """Encode the reply to a failed request; ``request_id`` is None if none could be read."""
    body: dict[str, Any] = {
        "request_id": request_id,
        "error": {
            "kind": failure.kind.value,
            "ran": failure.ran.value,
            "detail": failure.detail,
            "retry_after_ms": failure.retry_after_ms,
        },
    }
    if failure.token is not None:
        body["error"]["token"] = failure.token
    return msgspec.json.encode(body)


def sub_query_to_json(sub_query: SubQuery, *, now: float) -> bytes:
    """Encode the body of ``POST /v1/subquery``; the deadline is sent as the remaining time."""
    return msgspec.json.encode(
        SubQueryBody(
            attempt=str(sub_query.attempt),
            service=sub_query.service,
            layout=sub_query.layout,
            shard=sub_query.shard,
            snapshot=sub_query.snapshot,
            deadline_ms=max(0, int((sub_query.deadline - now) * 1000)),
            unsafe=sub_query.unsafe,
            payload=msgspec.Raw(sub_query.payload_json),
        )
    )


def reply_from_json(data: bytes) -> SubQueryReply:
    """Decode the reply of a backend server to a sub-query.

    Raises
    ------
    MessageError
        If the body is not a valid reply.
    """
    try:
        check_nesting(data)
        return decode_typed(REPLY_DECODER, data)
    except JsonError as error:
        raise MessageError(str(error)) from None


def status_from_json(data: bytes) -> ReplicaStatus:
    """Decode the status of a backend server.

    Raises
    ------
    MessageError
        If the body is not a status, or is a late reply to a sub-query.
    """
    try:
        status = decode_typed(STATUS_DECODER, data)
    except JsonError as error:
        raise MessageError(str(error)) from None
    if status.attempt is not None:
        raise MessageError(f"reply to attempt {status.attempt}")
    return status


def outcome_of_reply(
    sub_query: SubQuery, reply: SubQueryReply, *, replica: str, latency_s: float
) -> AttemptOutcome:
    """Return the outcome of an attempt, after checks that the reply belongs to it and is intact."""
    kind, ran, detail = classify_reply(sub_query, reply)
    answer = None
    if kind is OutcomeKind.ANSWERED:
        answer = ShardAnswer(
            shard=sub_query.shard,
            snapshot=reply.snapshot or "",
            fraction=reply.fraction,
            items_json=bytes(reply.items),
            replica=replica,
            latency_s=latency_s,
        )
    return AttemptOutcome(
        attempt=sub_query.attempt,
        replica=replica,
        shard=sub_query.shard,
        kind=kind,
        ran=ran,
        latency_s=latency_s,
        answer=answer,
        detail=detail,
    )


def classify_reply(
    sub_query: SubQuery, reply: SubQueryReply
) -> tuple[OutcomeKind, ExecutionStatus, str]:
    """Return the kind of outcome, whether the sub-query was executed, and a description."""
    if reply.attempt != str(sub_query.attempt):
        return (
            OutcomeKind.FOREIGN_ANSWER,
            ExecutionStatus.UNKNOWN,
            f"reply to attempt {reply.attempt}",
        )
    if reply.refused is not None:
        kind = OUTCOME_BY_REFUSAL.get(reply.refused)
        if kind is None:
            return (
                OutcomeKind.BAD_ANSWER,
                ExecutionStatus.UNKNOWN,
                f"unknown refusal {reply.refused!r}",
            )
        return kind, ExecutionStatus.NOT_RUN, reply.refused
    reply_target = (reply.service, reply.layout, reply.shard)
    if reply_target != (sub_query.service, sub_query.layout, sub_query.shard):
        return OutcomeKind.FOREIGN_ANSWER, ExecutionStatus.UNKNOWN, f"reply of {reply_target}"
    if sub_query.snapshot is not None and reply.snapshot != sub_query.snapshot:
        return (
            OutcomeKind.FOREIGN_ANSWER,
            ExecutionStatus.UNKNOWN,
            f"reply from snapshot {reply.snapshot}",
        )
    items = bytes(reply.items)
    if reply.length != len(items) or reply.digest != hex_digest(items):
        return (
            OutcomeKind.BAD_ANSWER,
            ExecutionStatus.UNKNOWN,
            "length or digest does not match the items",
        )
    if not is_json_array(items):
        return (
            OutcomeKind.BAD_ANSWER,
            ExecutionStatus.UNKNOWN,
            "the items are not an array of UTF-8 JSON",
        )
    if not 0 <= reply.fraction <= 1:
        return OutcomeKind.BAD_ANSWER, ExecutionStatus.UNKNOWN, "fraction out of range"
    return OutcomeKind.ANSWERED, ExecutionStatus.RUN, ""


def is_json_array(items: bytes) -> bool:
    """Return whether the items of a decoded reply are an array in valid UTF-8.

    The decoder has checked the JSON syntax of the items but not their encoding; one invalid byte
    would make the complete answer unreadable for the caller.

    Examples
    --------
    >>> is_json_array(b'["a"]'), is_json_array(b""), is_json_array(b'["\\xff"]')
    (True, False, False)
    """
    try:
        return items.decode().startswith("[")
    except UnicodeDecodeError:
        return False
