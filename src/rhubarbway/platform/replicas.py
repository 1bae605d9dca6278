"""Requests to replicas (our backend servers) and their replies."""

from __future__ import annotations

from rhubarbway.edge.http_client import Reply
from rhubarbway.model import BackendServer, ExecutionStatus, ForwardedRequest, ReplicaReply
from rhubarbway.platform.headers import (
    DEADLINE_MS,
    EXPECTED_SERVER,
    HOP_BY_HOP,
    NOT_RUN,
    PROOF,
    REQUEST_ID,
    connection_options,
    end_to_end,
)

MISDIRECTED_STATUS = 421


def request_lines(request: ForwardedRequest, server: BackendServer, *, left_s: float) -> list[str]:
    """Return the header lines of a request to a replica.

    Parameters
    ----------
    left_s : float
        Time that the caller still waits, seconds.
    """
    lines = [f"{name}: {value}" for name, value in request.headers]
    lines.append(f"Host: {request.host}")
    lines.append(f"{REQUEST_ID}: {request.request_id}")
    lines.append(f"{DEADLINE_MS}: {max(1, int(left_s * 1000))}")
    lines.append(f"{EXPECTED_SERVER}: {server.id}")
    return lines


def reply_of(reply: Reply, request: ForwardedRequest) -> ReplicaReply | None:
    """Return the decoded reply of a replica, or None if it belongs to another request."""
    named = {name.lower(): value for name, value in reply.headers}
    if named.get(REQUEST_ID.lower(), request.request_id) != request.request_id:
        return None
    options = connection_options(named)
    misdirected = reply.status == MISDIRECTED_STATUS
    not_run = NOT_RUN.lower() in named or misdirected
    without = HOP_BY_HOP | options | {"content-length"}
    return ReplicaReply(
        status=reply.status,
        headers=end_to_end(reply.headers, without=without),
        body=reply.body,
        server_stamp=named.get(PROOF.lower(), ""),
        ran=ExecutionStatus.NOT_RUN if not_run else ExecutionStatus.RUN,
        misdirected=misdirected,
        closes_connection="close" in options,
        idle_timeout_s=idle_timeout_s(named.get("keep-alive", "")),
    )


def idle_timeout_s(keep_alive: str) -> float | None:
    """Return the idle timeout that a ``Keep-Alive`` header states, seconds, or None.

    Examples
    --------
    >>> idle_timeout_s("timeout=5, max=100"), idle_timeout_s("max=3")
    (5.0, None)
    """
    for part in keep_alive.split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.strip().isdigit():
            return float(value)
    return None
