"""Requests of the platform's consumers (our callers) and the answers to them."""

from __future__ import annotations

from typing import Any

import h11
from returns.result import Failure, Result, Success
from werkzeug.wrappers import Response

from rhubarbway.model import ForwardedAnswer, ForwardedRequest
from rhubarbway.platform.headers import (
    DEADLINE_MS,
    MISSING_PARTS,
    OWN_HEADERS,
    PART_PROOFS,
    REQUEST_ID,
    connection_options,
    end_to_end,
)

# A request without a stated deadline gets this long, seconds; its route may allow less.
DEFAULT_DEADLINE_S = 60.0
LONGEST_REQUEST_ID = 200


class PlainResponse(Response):
    """A response without a content type of its own, since the replica's headers are passed on."""

    default_mimetype = None


def request_of(
    head: h11.Request, body: bytes, *, received_at: float
) -> Result[ForwardedRequest, str]:
    """Return the forwarded form of a request, or what is wrong with it.

    Parameters
    ----------
    head : h11.Request
        Request line and headers as they were read.
    body : bytes
        Whole body.
    received_at : float
        ``time.monotonic()`` instant at which the request was read.
    """
    pairs = [(name.decode("latin-1"), value.decode("latin-1")) for name, value in head.headers]
    named = {name.lower(): value for name, value in pairs}
    request_id = named.get(REQUEST_ID.lower(), "")
    if not request_id or len(request_id) > LONGEST_REQUEST_ID:
        return Failure(f"{REQUEST_ID} is missing or too long")
    stated = named.get(DEADLINE_MS.lower())
    left_s = DEFAULT_DEADLINE_S
    if stated is not None:
        if not stated.isascii() or not stated.isdigit() or len(stated) > 9:
            return Failure(f"{DEADLINE_MS} is not a number of milliseconds")
        left_s = int(stated) / 1000
    return Success(
        ForwardedRequest(
            request_id=request_id,
            method=head.method.decode("latin-1"),
            target=head.target.decode("latin-1"),
            host=named.get("host", ""),
            headers=end_to_end(pairs, without=OWN_HEADERS | connection_options(named)),
            body=body,
            received_at=received_at,
            deadline=received_at + left_s,
        )
    )


def response_of(answer: ForwardedAnswer, *, request_id: str) -> Response:
    """Return the HTTP response that carries an answer."""
    if answer.reply is not None:
        headers = answer.reply.headers
        return PlainResponse(answer.reply.body, status=answer.reply.status, headers=headers)
    headers: list[tuple[str, Any]] = [(REQUEST_ID, request_id)] if request_id else []
    if answer.part_stamps:
        headers.append((PART_PROOFS, ", ".join(answer.part_stamps)))
        headers.append((MISSING_PARTS, str(answer.missing_shards)))
        return PlainResponse(answer.body, status=answer.status, headers=headers)
    if answer.retry_after_s is not None:
        headers.append(("Retry-After", f"{answer.retry_after_s:.3f}"))
    headers.append(("Content-Type", "text/plain; charset=utf-8"))
    return PlainResponse(answer.detail.encode() + b"\n", status=answer.status, headers=headers)
