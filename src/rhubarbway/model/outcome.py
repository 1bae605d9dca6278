"""How one attempt ended."""

from __future__ import annotations

from enum import Enum

from rhubarbway.model.answer import ShardAnswer
from rhubarbway.model.failure import ExecutionStatus
from rhubarbway.model.identity import AttemptId


class OutcomeKind(Enum):
    """Ways in which an attempt ends."""

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
    """The end of one attempt; ``answer`` is set only when ``kind`` is ``ANSWERED``."""

    __slots__ = ("answer", "attempt", "detail", "kind", "latency", "ran", "replica", "shard")

    def __init__(
        self,
        *,
        attempt: AttemptId,
        replica: str,
        shard: int,
        kind: OutcomeKind,
        ran: ExecutionStatus,
        latency: float,
        answer: ShardAnswer | None = None,
        detail: str = "",
    ) -> None:
        self.attempt = attempt
        self.replica = replica
        self.shard = shard
        self.kind = kind
        self.ran = ran
        self.latency = latency
        self.answer = answer
        self.detail = detail
