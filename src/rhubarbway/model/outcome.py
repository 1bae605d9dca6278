"""Outcomes of attempts at sub-queries."""

from __future__ import annotations

from enum import Enum

from rhubarbway.model.answer import ShardAnswer
from rhubarbway.model.failure import ExecutionStatus
from rhubarbway.model.identity import AttemptId


class OutcomeKind(Enum):
    """How an attempt of ``rhubarbwayd`` at one replica ended.

    ``ExchangeEnd`` is the counterpart in the gateway. A replica refuses a sub-query as ``SHED``
    because of overload, as ``DRAINING`` because the replica shuts down, as ``SNAPSHOT_ABSENT`` or
    ``LAYOUT_ABSENT`` because it does not hold that snapshot or layout, as ``TIMED_OUT`` because the
    deadline had passed, and as ``REJECTED`` if no retry is of use. An attempt is also ``DRAINING``,
    without being sent, if the replica is already known to be leaving.

    ``TIMED_OUT`` includes an attempt whose deadline passed before it was sent, which
    ``ExchangeEnd`` has as ``CANCELLED``. ``CONNECT_FAILED`` includes an attempt that was not sent
    because the status request before it got no valid reply.

    ``FOREIGN_ANSWER`` is a reply that belongs to another attempt, shard or snapshot. ``BAD_ANSWER``
    is a reply that fails verification.
    """

    ANSWERED = "answered"
    SHED = "shed"
    DRAINING = "draining"
    SNAPSHOT_ABSENT = "snapshot_absent"
    LAYOUT_ABSENT = "layout_absent"
    CONNECT_FAILED = "connect_failed"
    CONNECTION_LOST = "connection_lost"
    TIMED_OUT = "timed_out"
    CANCELLED = "cancelled"
    FOREIGN_ANSWER = "foreign_answer"
    BAD_ANSWER = "bad_answer"
    REJECTED = "rejected"


class AttemptOutcome:
    """The outcome of one attempt of a sub-query.

    Parameters
    ----------
    attempt : AttemptId
        Identifier of the attempt.
    replica : str
        Name of the replica that the attempt was sent to.
    shard : int
        Index of the shard.
    kind : OutcomeKind
        How the attempt ended.
    ran : ExecutionStatus
        Whether the replica executed the sub-query.
    latency_s : float
        Duration of the attempt, seconds.
    answer : ShardAnswer or None
        The answer; set only if ``kind`` is ``ANSWERED``.
    detail : str
        Description of an error.
    """

    __slots__ = ("answer", "attempt", "detail", "kind", "latency_s", "ran", "replica", "shard")

    def __init__(
        self,
        *,
        attempt: AttemptId,
        replica: str,
        shard: int,
        kind: OutcomeKind,
        ran: ExecutionStatus,
        latency_s: float,
        answer: ShardAnswer | None = None,
        detail: str = "",
    ) -> None:
        self.attempt = attempt
        self.replica = replica
        self.shard = shard
        self.kind = kind
        self.ran = ran
        self.latency_s = latency_s
        self.answer = answer
        self.detail = detail
