"""Which outcomes of an attempt permit another attempt for the same shard."""

from __future__ import annotations

from rhubarbway.model import AttemptOutcome, ExecutionStatus, MissReason, OutcomeKind

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

FINAL_KINDS = frozenset({OutcomeKind.ANSWERED, OutcomeKind.REJECTED, OutcomeKind.LAYOUT_ABSENT})


# Outcomes after which a retry costs no permit, provided that nothing ran.
FREE_KINDS = frozenset(
    {OutcomeKind.CONNECT_FAILED, OutcomeKind.DRAINING, OutcomeKind.SNAPSHOT_ABSENT}
)


def may_repeat(outcome: AttemptOutcome, *, unsafe: bool) -> bool:
    """Whether the shard may get another attempt after this outcome.

    An unsafe request may be attempted again only when it is proven that it was not run.
    """
    if outcome.kind in FINAL_KINDS:
        return False
    return not unsafe or outcome.ran is ExecutionStatus.NOT_RUN


def loads_a_server(outcome: AttemptOutcome) -> bool:
    """Whether a retry after this outcome adds to the load of backend servers.

    After an attempt of which no byte was sent, or which was refused without being run, the next
    one is the first that costs a server any work. Shed attempts are the exception: a server that
    sheds load must not get more of it.
    """
    return not (outcome.ran is ExecutionStatus.NOT_RUN and outcome.kind in FREE_KINDS)
