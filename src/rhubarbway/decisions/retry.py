"""Rules for retries: which outcomes permit a retry, and which retries the budget is charged for."""

from __future__ import annotations

from rhubarbway.model import AttemptOutcome, ExecutionStatus, MissReason, OutcomeKind

# Reported reason for a missing shard, by the outcome of its last attempt.
MISS_REASONS = {
    OutcomeKind.SHED: MissReason.REFUSED,
    OutcomeKind.DRAINING: MissReason.NO_REPLICA,
    OutcomeKind.SNAPSHOT_ABSENT: MissReason.SNAPSHOT_ABSENT,
    OutcomeKind.LAYOUT_ABSENT: MissReason.LAYOUT_ABSENT,
    OutcomeKind.CONNECT_FAILED: MissReason.NO_REPLICA,
    OutcomeKind.CONNECTION_LOST: MissReason.CONNECTION_LOST,
    OutcomeKind.TIMED_OUT: MissReason.TIMED_OUT,
    OutcomeKind.CANCELLED: MissReason.TIMED_OUT,
    OutcomeKind.FOREIGN_ANSWER: MissReason.BAD_ANSWER,
    OutcomeKind.BAD_ANSWER: MissReason.BAD_ANSWER,
    OutcomeKind.REJECTED: MissReason.REFUSED,
}

NON_RETRYABLE_OUTCOMES = frozenset(
    {OutcomeKind.ANSWERED, OutcomeKind.REJECTED, OutcomeKind.LAYOUT_ABSENT}
)


# Outcomes after which a retry is not charged to the retry budget, provided that nothing was run.
UNCHARGED_OUTCOMES = frozenset(
    {OutcomeKind.CONNECT_FAILED, OutcomeKind.DRAINING, OutcomeKind.SNAPSHOT_ABSENT}
)


def is_retryable(outcome: AttemptOutcome, *, unsafe: bool) -> bool:
    """Whether the shard may get a retry after this outcome.

    An unsafe request may be retried only if it is proven that the request was not run.
    """
    if outcome.kind in NON_RETRYABLE_OUTCOMES:
        return False
    return not unsafe or outcome.ran is ExecutionStatus.NOT_RUN


def charges_retry_budget(outcome: AttemptOutcome) -> bool:
    """Whether a retry after this outcome is charged to the retry budget.

    The budget bounds the load on backend servers. An attempt of which no byte was sent, or that was
    refused without being run, caused no load, so its retry is not charged. Retries of shed attempts
    are charged all the same: a server that sheds load must not get more of it.
    """
    return not (outcome.ran is ExecutionStatus.NOT_RUN and outcome.kind in UNCHARGED_OUTCOMES)
