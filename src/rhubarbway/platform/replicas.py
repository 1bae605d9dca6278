"""Requests to replicas (backend servers) and their replies."""

from __future__ import annotations

from rhubarbway.edge.http_client import Reply
from rhubarbway.model import BackendServer, ExecutionStatus, ForwardedRequest, ReplicaReply
from rhubarbway.platform.headers import (
    DEADLINE_MS,
    EXPECTED_SERVER,
    HOP_BY_HOP,
    NOT_EXECUTED,
    REQUEST_ID,
    SIGNATURE,
    connection_options,
    exclude_headers,
)

MISDIRECTED_STATUS = 421


def request_header_lines(
    request: ForwardedRequest, server: BackendServer, *, remaining_s: float
) -> list[str]:
    """Return the header lines of a request to a replica.

    Parameters
    ----------
    remaining_s : float
        Remaining time until the caller's deadline, seconds.
    """
    lines = [f"{name}: {value}" for name, value in request.headers]
    lines.append(f"Host: {request.host}")
    lines.append(f"{REQUEST_ID}: {request.request_id}")
    lines.append(f"{DEADLINE_MS}: {max(1, int(remaining_s * 1000))}")
    lines.append(f"{EXPECTED_SERVER}: {server.id}")
    return lines


def reply_from_http(reply: Reply, request: ForwardedRequest) -> ReplicaReply | None:
    """Decode the reply of a replica; return None if it has the id of another request."""
    headers_by_name = {name.lower(): value for name, value in reply.headers}
    if headers_by_name.get(REQUEST_ID.lower(), request.request_id) != request.request_id:
        return None
    options = connection_options(headers_by_name)
    misdirected = reply.status == MISDIRECTED_STATUS
    not_run = NOT_EXECUTED.lower() in headers_by_name or misdirected
    excluded = HOP_BY_HOP | options | {"content-length"}
    return ReplicaReply(
        status=reply.status,
        headers=exclude_headers(reply.headers, excluded=excluded),
        body=reply.body,
        signature=headers_by_name.get(SIGNATURE.lower(), ""),
        ran=ExecutionStatus.NOT_RUN if not_run else ExecutionStatus.RUN,
        misdirected=misdirected,
        closes_connection="close" in options,
        idle_timeout_s=parse_idle_timeout_s(headers_by_name.get("keep-alive", "")),
    )


def parse_idle_timeout_s(keep_alive: str) -> float | None:
    """Return the idle timeout that a ``Keep-Alive`` header states, seconds, or None.

    Examples
    --------
    >>> parse_idle_timeout_s("timeout=5, max=100"), parse_idle_timeout_s("max=3")
    (5.0, None)
    """
    for part in keep_alive.split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.strip().isdigit():
            return float(value)
    return None
