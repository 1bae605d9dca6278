"""Life of a block, of a loss and of a server process, for the detection of crashing requests.

Two tables state it: ``LOSS_RULES`` says whether a loss is kept beside an earlier one of the same
server, and ``PHASE_RULES`` how losses and time change the phase of a request at a service. The
phase is a function of the losses alone, so hosts that know the same losses agree about it.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum

# Time for which a loss counts towards the first block of a request, seconds. It is longer than the
# restart of a server, which takes some seconds, since the request may be repeated after it.
LOSS_LIFETIME_S = 60.0
# Number of lost servers of one service that blocks a request.
BLOCKING_LOSS_COUNT = 3
# Length of the first block, seconds. It is short since servers that fail together may block a
# request that crashes none.
FIRST_BLOCK_S = 60.0
# Length of the block after a loss on trial, seconds. At most three runs may follow the third crash
# of a request, and each trial costs at least one.
REPEATED_BLOCK_S = 3600.0
# Time for which a single loss blocks a request again, seconds.
TRIAL_S = 600.0
# A loss this long after the start of a block is no attempt that was under way then, since all hosts
# know the block by now, seconds: a host whose block ended a moment earlier has run the request.
BLOCK_GRACE_S = 10.0


class LossAction(Enum):
    """What becomes of a loss whose server has a kept loss with the same request."""

    IGNORE = "ignore"
    KEEP = "keep"
    # The earlier loss takes the start of the process from the new one.
    ADOPT_START = "adopt start"


class ProcessRelation(Enum):
    """How the process of a loss relates to that of an earlier one under the same id.

    The start of a process is 0 if its registry entry or an older host does not state it.
    """

    SAME = "same"
    OTHER = "other"
    START_UNKNOWN = "start unknown"
    EARLIER_START_UNKNOWN = "earlier start unknown"


# By relation of the processes, and by whether the losses are less than LOSS_LIFETIME_S apart. One
# process is lost once: a second loss is a broken connection, unless it comes so late that the
# server may have restarted under the start that it had.
LOSS_RULES = {
    (ProcessRelation.SAME, True): LossAction.IGNORE,
    (ProcessRelation.SAME, False): LossAction.KEEP,
    (ProcessRelation.OTHER, True): LossAction.KEEP,
    (ProcessRelation.OTHER, False): LossAction.KEEP,
    (ProcessRelation.START_UNKNOWN, True): LossAction.IGNORE,
    (ProcessRelation.START_UNKNOWN, False): LossAction.KEEP,
    (ProcessRelation.EARLIER_START_UNKNOWN, True): LossAction.ADOPT_START,
    (ProcessRelation.EARLIER_START_UNKNOWN, False): LossAction.KEEP,
}


def process_relation(started_ms: int, earlier_ms: int) -> ProcessRelation:
    """Return how two processes with the same id are related, by their starts.

    Examples
    --------
    >>> process_relation(5, 5).value, process_relation(0, 5).value
    ('same', 'start unknown')
    """
    if started_ms == earlier_ms:
        return ProcessRelation.SAME
    if started_ms == 0:
        return ProcessRelation.START_UNKNOWN
    if earlier_ms == 0:
        return ProcessRelation.EARLIER_START_UNKNOWN
    return ProcessRelation.OTHER


class BlockPhase(Enum):
    """Phase of a request at one service."""

    OPEN = "open"
    BLOCKED = "blocked"
    # The block has ended, and one more loss blocks the request for a long time.
    ON_TRIAL = "on trial"
    BLOCKED_AGAIN = "blocked again"


class PhaseRule:
    """How a phase ends: after ``lasts_s``, or by losses.

    ``loss_count`` losses within ``LOSS_LIFETIME_S`` end the phase; those in its first ``grace_s``
    do not count.
    """

    __slots__ = ("after_losses", "after_time", "blocks", "grace_s", "lasts_s", "loss_count")

    def __init__(
        self,
        *,
        blocks: bool,
        lasts_s: float,
        after_time: BlockPhase,
        loss_count: int,
        after_losses: BlockPhase,
        grace_s: float = 0.0,
    ) -> None:
        self.blocks = blocks
        self.lasts_s = lasts_s
        self.after_time = after_time
        self.loss_count = loss_count
        self.after_losses = after_losses
        self.grace_s = grace_s


PHASE_RULES = {
    BlockPhase.OPEN: PhaseRule(
        blocks=False,
        lasts_s=float("inf"),
        after_time=BlockPhase.OPEN,
        loss_count=BLOCKING_LOSS_COUNT,
        after_losses=BlockPhase.BLOCKED,
    ),
    BlockPhase.BLOCKED: PhaseRule(
        blocks=True,
        lasts_s=FIRST_BLOCK_S,
        after_time=BlockPhase.ON_TRIAL,
        loss_count=1,
        after_losses=BlockPhase.BLOCKED_AGAIN,
        grace_s=BLOCK_GRACE_S,
    ),
    BlockPhase.ON_TRIAL: PhaseRule(
        blocks=False,
        lasts_s=TRIAL_S,
        after_time=BlockPhase.OPEN,
        loss_count=1,
        after_losses=BlockPhase.BLOCKED_AGAIN,
    ),
    BlockPhase.BLOCKED_AGAIN: PhaseRule(
        blocks=True,
        lasts_s=REPEATED_BLOCK_S,
        after_time=BlockPhase.ON_TRIAL,
        loss_count=1,
        after_losses=BlockPhase.BLOCKED_AGAIN,
        grace_s=float("inf"),
    ),
}


class BlockState:
    """Phase of a request at one service, since an instant of ``time.monotonic()``."""

    __slots__ = ("phase", "since")

    def __init__(self, *, phase: BlockPhase = BlockPhase.OPEN, since: float = 0.0) -> None:
        self.phase = phase
        self.since = since

    def advance(self, now: float) -> None:
        """Apply the transitions that time alone has caused."""
        while now - self.since >= (rule := PHASE_RULES[self.phase]).lasts_s:
            self.phase, self.since = rule.after_time, self.since + rule.lasts_s

    def counts(self, lost_at: float) -> bool:
        """Whether a loss counts in the present phase."""
        return lost_at >= self.since + PHASE_RULES[self.phase].grace_s


def block_state(lost_at: Iterable[float], *, now: float) -> BlockState:
    """Return the phase that the losses of servers of one service have led to.

    Examples
    --------
    >>> block_state([1.0, 2.0, 3.0], now=4.0).phase.value
    'blocked'
    """
    state = BlockState()
    counted: list[float] = []
    for instant in sorted(lost_at):
        state.advance(instant)
        if state.phase is not BlockPhase.OPEN and not state.counts(instant):
            continue
        rule = PHASE_RULES[state.phase]
        counted = [other for other in counted if instant - other < LOSS_LIFETIME_S] + [instant]
        if len(counted) >= rule.loss_count:
            state.phase, state.since, counted = rule.after_losses, instant, []
    state.advance(now)
    return state
