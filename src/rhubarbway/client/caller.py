"""Connections of a caller to an entry host, and the replies to its queries."""

from __future__ import annotations

import time
from typing import Any

from rhubarbway.client.replies import REPLY_DECODER, ErrorBody, ReplyBody
from rhubarbway.edge.http_client import CallError, HttpConnection
from rhubarbway.edge.json_codec import JsonError, decode_typed, encode_json, hex_digest

# Time that the client waits for a reply beyond the query's deadline, seconds.
REPLY_MARGIN_S = 2.0
# Deadline from which the client computes its timeout for a query without ``deadline_ms``,
# milliseconds. Such a query has the tenant's deadline, which the client does not know.
ASSUMED_DEADLINE_MS = 10_000
TOKEN_REQUIRED_STATUS = 428


class QueryReply:
    """Status, body and latency of one query.

    Parameters
    ----------
    status : int
        HTTP status; 0 if no complete reply arrived.
    body : ReplyBody
        The decoded reply, or a failure from the client if the status is 0 or the reply is invalid.
    latency_s : float
        Time from sending the request to the complete reply or the failure of the call, seconds;
        for an unsafe query, that of its last request.
    """

    __slots__ = ("body", "latency_s", "status")

    def __init__(self, *, status: int, body: ReplyBody, latency_s: float) -> None:
        self.status = status
        self.body = body
        self.latency_s = latency_s

    @property
    def failure(self) -> str | None:
        """Kind of the failure, or None for an answer."""
        return self.body.error.kind if self.body.error is not None else None


def failure_body(kind: str, ran: str, detail: str) -> ReplyBody:
    """Return the body that represents a missing or invalid reply.

    ``ran`` tells whether the query was executed: the value of an ``ExecutionStatus``.
    """
    return ReplyBody(error=ErrorBody(kind=kind, ran=ran, detail=detail))


def decode_reply(data: bytes, *, request_id: str) -> ReplyBody:
    """Return the decoded reply, or a failure if it is invalid or answers another request.

    An error reply is returned without a check of its request id, which is None if the entry host
    could not read that of the request.

    Examples
    --------
    >>> decode_reply(b'{"request_id": "b"}', request_id="a").error.kind
    'foreign_answer'
    """
    try:
        body = decode_typed(REPLY_DECODER, data)
    except JsonError as error:
        return failure_body("bad_answer", "unknown", str(error))
    if body.error is not None:
        return body
    if body.request_id != request_id:
        return failure_body(
            "foreign_answer", "unknown", f"reply to {body.request_id!r}, expected {request_id!r}"
        )
    if body.coverage is None or body.digest != hex_digest(bytes(body.shards)):
        return failure_body(
            "bad_answer",
            "unknown",
            "the answer has no coverage, or its digest does not match its shards",
        )
    return body


def reply_summary(reply: QueryReply) -> str:
    """Return a one-line summary of a reply: snapshot and coverage, or the failure."""
    body = reply.body
    if body.error is not None:
        error = body.error
        return (
            f"{f'status {reply.status}' if reply.status else 'no reply'}: {error.kind}, "
            f"execution {error.ran}: {error.detail}"
        )
    coverage = body.coverage
    missing = ", ".join(f"shard {miss.shard} ({miss.reason})" for miss in coverage.missing)
    return (
        f"{body.job} ({body.meaning}): snapshot {body.snapshot}, coverage "
        f"{coverage.shards_answered}/{coverage.shards_total} shards"
        f"{', missing ' + missing if missing else ''}, {reply.latency_s * 1000:.1f} ms"
    )


class CallerConnection:
    """Persistent connection to an entry host that sends one query at a time."""

    __slots__ = ("connection",)

    def __init__(self, *, address: str) -> None:
        self.connection = HttpConnection(address=address)

    def close(self) -> None:
        """Close the connection."""
        self.connection.close()

    def query(
        self,
        *,
        request_id: str,
        job: str,
        payload: Any = None,
        deadline_ms: int | None = None,
        min_coverage: float | None = None,
        unsafe: bool = False,
    ) -> QueryReply:
        """Send one query and return its reply, with status 0 if the call failed.

        An unsafe query takes two requests: the reply to the first is a refusal that contains a
        token, and the second request carries the token.

        Parameters
        ----------
        request_id, job : str
            Identifier of the request, chosen by the caller, and the job name.
        payload : Any
            JSON value for the backend servers.
        deadline_ms : int, optional
            Deadline, milliseconds; the tenant's by default.
        min_coverage : float, optional
            Minimum coverage, 0 to 1; the tenant's by default.
        unsafe : bool
            True if the query must run at most once.
        """
        fields = {"request_id": request_id, "job": job, "payload": payload, "unsafe": unsafe}
        if deadline_ms is not None:
            fields["deadline_ms"] = deadline_ms
        if min_coverage is not None:
            fields["min_coverage"] = min_coverage
        timeout_s = (deadline_ms or ASSUMED_DEADLINE_MS) / 1000 + REPLY_MARGIN_S
        reply = self.send(fields, timeout_s=timeout_s)
        error = reply.body.error
        if unsafe and reply.status == TOKEN_REQUIRED_STATUS and error is not None and error.token:
            return self.send(fields | {"token": error.token}, timeout_s=timeout_s)
        return reply

    def send(self, fields: dict[str, Any], *, timeout_s: float) -> QueryReply:
        """Send one request with these fields and return its reply."""
        started_at = time.monotonic()
        try:
            reply = self.connection.call(
                "POST", "/v1/query", encode_json(fields), timeout_s=timeout_s
            )
        except CallError as error:
            kind = "connect_failed" if error.connecting else "connection_lost"
            body = failure_body(kind, "unknown" if error.sent else "not_run", str(error))
            return QueryReply(status=0, body=body, latency_s=time.monotonic() - started_at)
        seconds = time.monotonic() - started_at
        body = decode_reply(reply.body, request_id=fields["request_id"])
        return QueryReply(status=reply.status, body=body, latency_s=seconds)
