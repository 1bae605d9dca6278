"""Messages that issue tokens, and that forward unsafe queries to the issuers of their tokens.

A *transfer* is the forwarding of one query and the reply to it. Its identifier is the field
``forward`` of both messages.
"""

from __future__ import annotations

import time
from typing import Any

import msgspec

from rhubarbway.edge.json_codec import JsonError, decode_typed, hex_digest
from rhubarbway.edge.wire import MessageError, check_nesting, query_from_json
from rhubarbway.model import Query


class ForwardBody(msgspec.Struct):
    """Body of ``POST /v1/peer/unsafe``; ``query`` has the format of ``POST /v1/query``."""

    forward: str
    query: msgspec.Raw


class ForwardReplyBody(msgspec.Struct):
    """Reply to ``POST /v1/peer/unsafe``; ``digest`` is the digest of the encoded ``body``.

    ``forward`` repeats the identifier of the transfer. ``status`` and ``body`` are passed on to the
    caller.
    """

    forward: str
    status: int
    digest: str
    body: msgspec.Raw


class TokensBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /v1/tokens``; an empty body is accepted as well."""

    count: int = 1


FORWARD_DECODER = msgspec.json.Decoder(ForwardBody)
FORWARD_REPLY_DECODER = msgspec.json.Decoder(ForwardReplyBody)
TOKENS_DECODER = msgspec.json.Decoder(TokensBody)


class ForwardedQuery:
    """A query forwarded to the issuer of its token; the reply repeats ``transfer_id``."""

    __slots__ = ("query", "transfer_id")

    def __init__(self, *, transfer_id: str, query: Query) -> None:
        self.transfer_id = transfer_id
        self.query = query


class ForwardReply:
    """HTTP status and encoded body of the issuing host's reply, to be passed on to the caller."""

    __slots__ = ("body", "status")

    def __init__(self, *, status: int, body: bytes) -> None:
        self.status = status
        self.body = body


def decode_message(decoder: msgspec.json.Decoder, data: bytes) -> Any:
    """Decode a message, after a check of its nesting depth.

    Raises
    ------
    MessageError
        If the text is not JSON, is nested too deeply, or has the wrong structure.
    """
    try:
        check_nesting(data)
        return decode_typed(decoder, data)
    except JsonError as error:
        raise MessageError(str(error)) from None


def forward_to_json(forward: ForwardedQuery, *, margin_s: float) -> bytes:
    """Encode a forwarded query; the deadline is sent as the remaining time less ``margin_s``."""
    query = forward.query
    remaining_s = query.deadline - time.monotonic() - margin_s
    return msgspec.json.encode(
        {
            "forward": forward.transfer_id,
            "query": {
                "request_id": query.request_id,
                "job": query.job,
                "payload": msgspec.Raw(query.payload_json),
                "deadline_ms": max(1, int(remaining_s * 1000)),
                "min_coverage": query.min_coverage,
                "unsafe": query.unsafe,
                "token": query.token,
            },
        }
    )


def forward_from_json(data: bytes, *, default_deadline_ms: int) -> ForwardedQuery:
    """Decode a forwarded query.

    Raises
    ------
    MessageError
        If the body is not a valid forwarded query.
    """
    body = decode_message(FORWARD_DECODER, data)
    query = query_from_json(bytes(body.query), default_deadline_ms=default_deadline_ms)
    return ForwardedQuery(transfer_id=body.forward, query=query)


def forward_reply_to_json(transfer_id: str, *, status: int, body: bytes) -> bytes:
    """Encode the reply to a forwarded query."""
    return msgspec.json.encode(
        ForwardReplyBody(
            forward=transfer_id, status=status, digest=hex_digest(body), body=msgspec.Raw(body)
        )
    )


def forward_reply_from_json(data: bytes, *, transfer_id: str) -> ForwardReply:
    """Decode the reply to the transfer with this identifier.

    Raises
    ------
    MessageError
        If the body is malformed, does not match its digest, or answers another transfer.
    """
    reply = decode_message(FORWARD_REPLY_DECODER, data)
    body = bytes(reply.body)
    if reply.forward != transfer_id:
        raise MessageError(f"reply to transfer {reply.forward}")
    if reply.digest != hex_digest(body):
        raise MessageError("the digest does not match the body")
    return ForwardReply(status=reply.status, body=body)


def token_count_from_json(data: bytes, *, limit: int) -> int:
    """Return the number of tokens that a caller requests; an empty body requests one.

    Raises
    ------
    MessageError
        If the body is malformed or the number is out of range.

    Examples
    --------
    >>> token_count_from_json(b'{"count": 3}', limit=64)
    3
    """
    count = decode_message(TOKENS_DECODER, data or b"{}").count
    if not 1 <= count <= limit:
        raise MessageError(f"count must lie between 1 and {limit}")
    return count


def tokens_to_json(tokens: list[str], *, lifetime_s: float) -> bytes:
    """Encode the reply to ``POST /v1/tokens``."""
    return msgspec.json.encode({"tokens": tokens, "lifetime_ms": int(lifetime_s * 1000)})
