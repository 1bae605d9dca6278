"""Outcomes of attempts at backend servers."""

from __future__ import annotations

import time

from rhubarbway.edge.http_call import CallError
from rhubarbway.model import (
    BackendServer,
    ExchangeEnd,
    ExchangeOutcome,
    ExecutionStatus,
    ReplicaReply,
)
from rhubarbway.services.server_attempt import ServerAttempt


def outcome_of_reply(
    attempt: ServerAttempt, server: BackendServer, reply: ReplicaReply
) -> ExchangeOutcome:
    """Return the outcome of a call that got a complete reply."""
    if reply.misdirected:
        return make_outcome(
            attempt, server, ExchangeEnd.MISDIRECTED, ExecutionStatus.NOT_RUN, reply=reply
        )
    if reply.ran is ExecutionStatus.NOT_RUN:
        return make_outcome(
            attempt, server, ExchangeEnd.REFUSED, ExecutionStatus.NOT_RUN, reply=reply
        )
    end = ExchangeEnd.FAILED if reply.is_failure else ExchangeEnd.ANSWERED
    return make_outcome(attempt, server, end, ExecutionStatus.RUN, reply=reply)


def outcome_of_error(
    attempt: ServerAttempt, server: BackendServer, error: CallError
) -> ExchangeOutcome:
    """Return the outcome of a call that ended without a complete reply."""
    ran = ExecutionStatus.UNKNOWN if error.sent else ExecutionStatus.NOT_RUN
    ends = (
        (attempt.cancelled, ExchangeEnd.CANCELLED),
        (error.malformed, ExchangeEnd.MALFORMED),
        (error.unread, ExchangeEnd.UNREAD),
        (error.silent, ExchangeEnd.SILENT),
        (error.timed_out and error.sent, ExchangeEnd.TIMED_OUT),
        (error.sent, ExchangeEnd.LOST),
    )
    end = next((end for applies, end in ends if applies), ExchangeEnd.CONNECT_FAILED)
    return make_outcome(attempt, server, end, ran, detail=str(error))


def make_outcome(
    attempt: ServerAttempt,
    server: BackendServer,
    end: ExchangeEnd,
    ran: ExecutionStatus,
    *,
    reply: ReplicaReply | None = None,
    detail: str = "",
) -> ExchangeOutcome:
    """Return an outcome with the latency and the names of the attempt and the server."""
    return ExchangeOutcome(
        attempt=attempt.number,
        shard=attempt.shard,
        server=server.id,
        server_started_ms=server.started_ms,
        end=end,
        ran=ran,
        latency_s=time.monotonic() - attempt.latency_start,
        reply=reply,
        detail=detail,
    )
