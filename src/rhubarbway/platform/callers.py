"""Requests of callers, which the platform calls consumers, and the answers to them."""

from __future__ import annotations

from typing import Any

import h11
from returns.result import Failure, Result, Success
from werkzeug.wrappers import Response

from rhubarbway.model import ForwardedAnswer, ForwardedRequest
from rhubarbway.platform.headers import (
    DEADLINE_MS,
    MISSING_SHARDS,
    REPLACED_HEADERS,
    REQUEST_ID,
    SIGNATURES,
    connection_options,
    exclude_headers,
)

# Time limit of a request without a deadline, seconds; its route may allow less.
DEFAULT_DEADLINE_S = 60.0
# Maximum length of ``X-Request-Id``, characters.
MAX_REQUEST_ID_LENGTH = 200


class PlainResponse(Response):
    """A response without a default content type, since the replica's headers are passed on."""

    default_mimetype = None


def request_from_http(
    head: h11.Request, body: bytes, *, received_at: float
) -> Result[ForwardedRequest, str]:
    """Return the request to forward, or a description of an invalid header.

    Parameters
    ----------
    head : h11.Request
        Request line and headers as they were received.
    body : bytes
        Complete body.
    received_at : float
        ``time.monotonic()`` instant at which the request was read.
    """
    headers = [(name.decode("latin-1"), value.decode("latin-1")) for name, value in head.headers]
    headers_by_name = {name.lower(): value for name, value in headers}
    request_id = headers_by_name.get(REQUEST_ID.lower(), "")
    if not request_id or len(request_id) > MAX_REQUEST_ID_LENGTH:
        return Failure(f"{REQUEST_ID} is missing or too long")
    deadline_text = headers_by_name.get(DEADLINE_MS.lower())
    remaining_s = DEFAULT_DEADLINE_S
    if deadline_text is not None:
        if not deadline_text.isascii() or not deadline_text.isdigit() or len(deadline_text) > 9:
            return Failure(f"{DEADLINE_MS} is not a number of milliseconds")
        remaining_s = int(deadline_text) / 1000
    return Success(
        ForwardedRequest(
            request_id=request_id,
            method=head.method.decode("latin-1"),
            target=head.target.decode("latin-1"),
            host=headers_by_name.get("host", ""),
            headers=exclude_headers(
                headers, excluded=REPLACED_HEADERS | connection_options(headers_by_name)
            ),
            body=body,
            received_at=received_at,
            deadline=received_at + remaining_s,
        )
    )


def response_to_http(answer: ForwardedAnswer, *, request_id: str) -> Response:
    """Return the HTTP response that carries an answer; ``request_id`` is empty if unknown."""
    if answer.reply is not None:
        headers = answer.reply.headers
        return PlainResponse(answer.reply.body, status=answer.reply.status, headers=headers)
    headers: list[tuple[str, Any]] = [(REQUEST_ID, request_id)] if request_id else []
    if answer.signatures:
        headers.append((SIGNATURES, ", ".join(answer.signatures)))
        headers.append((MISSING_SHARDS, str(answer.missing_shards)))
        return PlainResponse(answer.body, status=answer.status, headers=headers)
    if answer.retry_after_s is not None:
        # In HTTP a number of whole seconds; the platform's consumers accept fractions.
        headers.append(("Retry-After", f"{answer.retry_after_s:.3f}"))
    headers.append(("Content-Type", "text/plain; charset=utf-8"))
    return PlainResponse(answer.detail.encode() + b"\n", status=answer.status, headers=headers)
