"""Requests that a stopping host begins or keeps waiting for a server.

All times are ``time.monotonic()`` instants in seconds. At ``cut_at`` the host closes the
connections on which requests still run.
"""

from __future__ import annotations

from rhubarbway.model import ForwardedRequest, Route

# Time between the last answer of a stopping host and the cut, seconds. A host with a fraction of a
# core needs a part of it to write the answer.
ANSWER_WRITE_S = 0.15


def answer_deadline(cut_at: float) -> float:
    """Return the instant at which a request that came after the stop signal must be answered."""
    return cut_at - ANSWER_WRITE_S


def time_limit_of(request: ForwardedRequest, route: Route) -> float:
    """Return the instant at which the time limit of a request ends."""
    return min(request.deadline, request.received_at + route.timeout_s)


def fits_before_cut(request: ForwardedRequest, route: Route, *, cut_at: float) -> bool:
    """Return whether a stopping host may begin a request.

    A request that must not be repeated needs its whole time limit, since it may have run when it is
    given up. Any other needs the route's target latency; its caller may send it again.
    """
    limit_at = time_limit_of(request, route)
    target_at = request.received_at + route.target_latency_s
    needed_until = min(limit_at, target_at) if route.idempotent else limit_at
    return needed_until <= answer_deadline(cut_at)


def latest_send_at(
    request: ForwardedRequest, route: Route, *, exchange_s: float, answer_by: float
) -> float:
    """Return the instant until which a stopping host may send a request that waits for a server.

    As in ``fits_before_cut``, a request that must not be repeated needs its whole time limit, so it
    may be sent at any time or not at all.

    Parameters
    ----------
    exchange_s : float
        Expected time of the exchange with the server, seconds.
    answer_by : float
        Instant by which the host has answered all requests.
    """
    limit_at = time_limit_of(request, route)
    if limit_at <= answer_by:
        return limit_at
    return answer_by - exchange_s if route.idempotent else float("-inf")
