"""Requests that an entry host delegates to another: the caller's, with further headers."""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping

from werkzeug.wrappers import Response

from rhubarbway.edge.http_call import Reply
from rhubarbway.model import (
    BackendServer,
    ExecutionStatus,
    ForwardedAnswer,
    ForwardedRequest,
    ReplicaReply,
)
from rhubarbway.platform.callers import response_to_http
from rhubarbway.platform.headers import (
    DEADLINE_MS,
    DELEGATED_ELAPSED_MS,
    DELEGATED_NO_ROOM,
    DELEGATED_VERSION,
    HOP_BY_HOP,
    REQUEST_ID,
    SIGNATURES,
    connection_options,
    exclude_headers,
)
from rhubarbway.platform.replicas import MAX_IDLE_TIMEOUT_S

# Longest elapsed time that is believed, milliseconds.
MAX_ELAPSED_MS = 600_000
MAX_VERSION_DIGITS = 19
REFUSED_STATUS = 503

EncodeDelegated = Callable[..., list[str]]


def delegated_request_encoder(
    *, version: Callable[[], int], return_time_s: Callable[[BackendServer], float]
) -> EncodeDelegated:
    """Return the function that encodes the header lines of a delegated request.

    Parameters
    ----------
    version : callable
        Returns the version of the configuration in force.
    return_time_s : callable
        Returns the time that an answer needs from a host to this one, seconds.
    """

    def encode(
        request: ForwardedRequest, server: BackendServer, *, remaining_s: float
    ) -> list[str]:
        back_s = return_time_s(server)
        elapsed_s = time.monotonic() - request.received_at + back_s
        return [
            *(f"{name}: {value}" for name, value in request.headers),
            f"Host: {request.host}",
            f"{REQUEST_ID}: {request.request_id}",
            f"{DEADLINE_MS}: {max(1, int((remaining_s - back_s) * 1000))}",
            f"{DELEGATED_VERSION}: {version()}",
            f"{DELEGATED_ELAPSED_MS}: {max(0, int(elapsed_s * 1000))}",
        ]

    return encode


def reply_from_delegate(reply: Reply, request: ForwardedRequest) -> ReplicaReply | None:
    """Decode the reply of a delegate; return None if it does not belong to the request.

    A refusal states that nothing was sent to any server, so that this host may run the fan-out. The
    same holds for any reply before the whole request was sent, whose content may be that of another
    one.
    """
    headers_by_name = {name.lower(): value for name, value in reply.headers}
    if reply.request_incomplete:
        return ReplicaReply(
            status=REFUSED_STATUS,
            headers=(),
            body=b"",
            signature="",
            ran=ExecutionStatus.NOT_RUN,
            closes_connection=True,
            is_failure=False,
        )
    if headers_by_name.get(REQUEST_ID.lower()) != request.request_id:
        return None
    is_refused = reply.status == REFUSED_STATUS
    options = connection_options(headers_by_name)
    excluded = HOP_BY_HOP | options | {"content-length", DELEGATED_NO_ROOM.lower()}
    return ReplicaReply(
        status=reply.status,
        headers=exclude_headers(reply.headers, excluded=excluded),
        body=reply.body,
        signature=headers_by_name.get(SIGNATURES.lower(), ""),
        ran=ExecutionStatus.NOT_RUN if is_refused else ExecutionStatus.RUN,
        closes_connection="close" in options,
        idle_timeout_s=MAX_IDLE_TIMEOUT_S,
        is_failure=False,
        lacks_room=is_refused and headers_by_name.get(DELEGATED_NO_ROOM.lower()) == "1",
    )


def answer_of_delegate(answer: ForwardedAnswer, *, request_id: str) -> Response:
    """Return the HTTP response that carries an answer to the host that delegated the request."""
    response = response_to_http(answer, request_id=request_id)
    if answer.lacks_room:
        response.headers[DELEGATED_NO_ROOM] = "1"
    return response


def delegated_version_and_elapsed(headers: Mapping[str, str]) -> tuple[int, float] | None:
    """Return the sender's version and the elapsed time in seconds, or None if one is invalid.

    Examples
    --------
    >>> delegated_version_and_elapsed(
    ...     {"X-Rhubarbway-Version": "7", "X-Rhubarbway-Elapsed-Ms": "12"}
    ... )
    (7, 0.012)
    >>> delegated_version_and_elapsed({"X-Rhubarbway-Version": "seven"}) is None
    True
    """
    version, elapsed = headers.get(DELEGATED_VERSION, ""), headers.get(DELEGATED_ELAPSED_MS, "")
    if not all(
        text.isascii() and text.isdigit() and len(text) <= MAX_VERSION_DIGITS
        for text in (version, elapsed)
    ):
        return None
    return int(version), min(int(elapsed), MAX_ELAPSED_MS) / 1000
