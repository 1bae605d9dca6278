"""Requests to replicas (backend servers) and their replies."""

from __future__ import annotations

import math

from rhubarbway.edge.http_call import Reply
from rhubarbway.model import (
    BackendServer,
    ExecutionStatus,
    ForwardedRequest,
    ReplicaReply,
    ServerNotice,
    StatedLoad,
)
from rhubarbway.platform.headers import (
    DEADLINE_MS,
    EXPECTED_SERVER,
    HOP_BY_HOP,
    LEAVING,
    NOT_EXECUTED,
    REQUEST_ID,
    RETRY_AFTER,
    SERVER_LOAD,
    SIGNATURE,
    WARM_UP_MS,
    connection_options,
    exclude_headers,
)

MISDIRECTED_STATUS = 421
OVERLOADED_STATUS = 503
# Longest idle timeout that is believed, seconds; no connection is idle for longer.
MAX_IDLE_TIMEOUT_S = 86_400.0
# Longest warm-up that is believed, seconds; see ``registry_entries.MAX_WARM_UP_MS``.
MAX_WARM_UP_S = 86_400.0
# Greatest figures of a load that are believed. A server that states more is as good as unusable.
MAX_LOAD_REQUESTS = 10_000
MAX_SLOWDOWN_PERCENT = 10_000
# Longest text of a load that is parsed: four figures of at most 19 digits, and spaces.
MAX_LOAD_TEXT = 100


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


def notice_from_http(reply: Reply) -> ServerNotice | None:
    """Return what a replica states about itself in any reply, or None if nothing.

    A reply with status 421 comes from another process at the replica's address, so its statements
    are ignored.
    """
    if reply.status == MISDIRECTED_STATUS:
        return None
    headers_by_name = {name.lower(): value for name, value in reply.headers}
    leaving = headers_by_name.get(LEAVING.lower(), "").strip() == "1"
    quiet_s = None
    if reply.status == OVERLOADED_STATUS:
        quiet_s = parse_positive(headers_by_name.get(RETRY_AFTER.lower(), ""))
    warm_up_ms = parse_positive(headers_by_name.get(WARM_UP_MS.lower(), ""))
    warm_up_s = None if warm_up_ms is None else min(warm_up_ms / 1000, MAX_WARM_UP_S)
    load = parse_server_load(headers_by_name.get(SERVER_LOAD.lower(), ""))
    if not (leaving or quiet_s or warm_up_s or load):
        return None
    return ServerNotice(leaving=leaving, quiet_s=quiet_s, warm_up_s=warm_up_s, load=load)


def parse_server_load(value: str) -> StatedLoad | None:
    """Return the load that a header states, or None for any other text.

    Examples
    --------
    >>> load = parse_server_load("3, 1, 4, 250")
    >>> load.running, load.waiting, load.slots, load.slowdown
    (3, 1, 4, 2.5)
    >>> parse_server_load("3,0,4").slowdown
    1.0
    >>> [parse_server_load(text) for text in ("", "3,0", "3,-1,4", "3,0,0", "a,b,c,d")]
    [None, None, None, None, None]
    """
    figures = [part.strip() for part in value[: MAX_LOAD_TEXT + 1].split(",")]
    if len(value) > MAX_LOAD_TEXT or len(figures) not in (3, 4):
        return None
    if not all(figure.isascii() and figure.isdecimal() for figure in figures):
        return None
    running, waiting, slots = (min(int(figure), MAX_LOAD_REQUESTS) for figure in figures[:3])
    percent = int(figures[3]) if len(figures) == 4 else 100
    if not slots or not percent:
        return None
    slowdown = min(percent, MAX_SLOWDOWN_PERCENT) / 100
    return StatedLoad(running=running, waiting=waiting, slots=slots, slowdown=slowdown)


def parse_positive(value: str) -> float | None:
    """Return a positive number, or None for any other text.

    A time that is zero, negative, missing or unreadable asks for nothing. ``ServerNotices`` limits
    long ones.

    Examples
    --------
    >>> parse_positive("1.5"), parse_positive("1e300"), parse_positive("inf")
    (1.5, 1e+300, inf)
    >>> [parse_positive(text) for text in ("0", "-2", "", "soon", "nan")]
    [None, None, None, None, None]
    """
    try:
        number = float(value)
    except ValueError:
        return None
    return number if number > 0.0 and not math.isnan(number) else None


def parse_idle_timeout_s(keep_alive: str) -> float | None:
    """Return the idle timeout that a ``Keep-Alive`` header states, seconds, or None.

    Examples
    --------
    >>> parse_idle_timeout_s("timeout=5, max=100"), parse_idle_timeout_s("max=3")
    (5.0, None)
    """
    for part in keep_alive.split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.strip().isdecimal():
            return min(float(value), MAX_IDLE_TIMEOUT_S)
    return None
