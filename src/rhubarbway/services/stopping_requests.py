"""Requests of which nothing has been sent when this host begins to stop."""

from __future__ import annotations

from collections.abc import Iterable

from rhubarbway.model import ExecutionStatus, ForwardedRequest, Route
from rhubarbway.services.forwarding_context import ForwardingContext
from rhubarbway.services.server_attempt import ServerAttempt
from rhubarbway.services.shard_progress import ShardProgress


def queued_wait_s(attempt: ServerAttempt, *, now: float) -> float:
    """Return the least further wait of an attempt for a connection to its server, seconds."""
    state = attempt.server_state
    if state is None:
        return 0.0
    return state.load.queued_wait_s(attempt, max_connections=state.max_connections, now=now)


def expected_send_at(shards: Iterable[ShardProgress], *, now: float) -> float | None:
    """Return when the first attempt of a waiting request is expected to be sent.

    Returns None if something of the request may have been sent already.
    """
    waits = []
    for shard in shards:
        if shard.reply is not None or shard.ran is not ExecutionStatus.NOT_RUN:
            return None
        for attempt in shard.in_flight.values():
            if attempt.call_number:
                return None
            waits.append(queued_wait_s(attempt, now=now))
    return now + min(waits, default=0.0)


def log_refused_wait(
    context: ForwardingContext,
    request: ForwardedRequest,
    route: Route,
    *,
    now: float,
    send_at: float,
) -> None:
    """Log that a request is refused which would have been sent at ``send_at``."""
    context.log.info(
        "Waiting request refused: the host stops.",
        request_id=request.request_id,
        route=route.name,
        waited_ms=round((now - request.received_at) * 1000),
        expected_wait_ms=round((send_at - now) * 1000),
    )
