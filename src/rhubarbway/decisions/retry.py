"""Which outcomes of an attempt permit another attempt for the same shard."""

from __future__ import annotations

from rhubarbway.model import AttemptOutcome, MissReason, OutcomeKind, Ran

# Reason given for a shard whose last attempt ended in this way.
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


# Outcomes after which a retry costs no permit, provided that nothing ran.
UNCHARGED_OUTCOMES = frozenset(
    {OutcomeKind.CONNECT_FAILED, OutcomeKind.DRAINING, OutcomeKind.SNAPSHOT_ABSENT}
)


def is_retryable(outcome: AttemptOutcome, *, unsafe: bool) -> bool:
    """Whether the shard may get another attempt after this outcome.

    An unsafe request may be attempted again only when it is proven that it was not run.
    """
    if outcome.kind in NON_RETRYABLE_OUTCOMES:
        return False
    return not unsafe or outcome.ran is Ran.NOT_RUN


def charges_retry_budget(outcome: AttemptOutcome) -> bool:
    """Whether a retry after this outcome adds to the load of backend servers.

    After an attempt of which no byte was sent, or which was refused without being run, the next
    one is the first that costs a server any work. Shed attempts are the exception: a server that
    sheds load must not get more of it.
    """
    return not (outcome.ran is Ran.NOT_RUN and outcome.kind in UNCHARGED_OUTCOMES)
