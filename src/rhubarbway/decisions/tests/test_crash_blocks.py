"""Tests of the life of a block, of a loss and of a server process."""

import pytest

from rhubarbway.decisions.crash_blocks import (
    BLOCK_GRACE_S,
    FIRST_BLOCK_S,
    LOSS_LIFETIME_S,
    REPEATED_BLOCK_S,
    TRIAL_S,
    BlockPhase,
    block_state,
)
from rhubarbway.decisions.crash_guard import CrashGuard, ServerLoss

THIRD = 100.0
FIRST_THREE = [THIRD - 2, THIRD - 1, THIRD]
TRIAL_AT = THIRD + FIRST_BLOCK_S
ON_TRIAL = [*FIRST_THREE, TRIAL_AT + 1]
SECOND_TRIAL_AT = TRIAL_AT + 1 + REPEATED_BLOCK_S


class TestPhases:
    @pytest.mark.parametrize(
        ("lost_at", "now", "phase"),
        [
            # Without an end by losses or time.
            ([], THIRD, BlockPhase.OPEN),
            (FIRST_THREE[:2], THIRD, BlockPhase.OPEN),
            ([THIRD - LOSS_LIFETIME_S, *FIRST_THREE[1:]], THIRD, BlockPhase.OPEN),
            ([*FIRST_THREE, THIRD + BLOCK_GRACE_S - 1], TRIAL_AT, BlockPhase.ON_TRIAL),
            ([*ON_TRIAL, TRIAL_AT + 100], SECOND_TRIAL_AT, BlockPhase.ON_TRIAL),
            # By losses.
            (FIRST_THREE, THIRD, BlockPhase.BLOCKED),
            ([*FIRST_THREE, THIRD + BLOCK_GRACE_S], TRIAL_AT, BlockPhase.BLOCKED_AGAIN),
            (ON_TRIAL, TRIAL_AT + 1, BlockPhase.BLOCKED_AGAIN),
            ([*ON_TRIAL, SECOND_TRIAL_AT], SECOND_TRIAL_AT, BlockPhase.BLOCKED_AGAIN),
            # By time.
            (FIRST_THREE, TRIAL_AT - 0.1, BlockPhase.BLOCKED),
            (FIRST_THREE, TRIAL_AT, BlockPhase.ON_TRIAL),
            (ON_TRIAL, SECOND_TRIAL_AT - 0.1, BlockPhase.BLOCKED_AGAIN),
            (ON_TRIAL, SECOND_TRIAL_AT, BlockPhase.ON_TRIAL),
            (FIRST_THREE, TRIAL_AT + TRIAL_S - 0.1, BlockPhase.ON_TRIAL),
            (FIRST_THREE, TRIAL_AT + TRIAL_S, BlockPhase.OPEN),
            ([*FIRST_THREE, TRIAL_AT + TRIAL_S], TRIAL_AT + TRIAL_S, BlockPhase.OPEN),
        ],
    )
    def test_losses_and_time_lead_to_the_phase(self, lost_at, now, phase):
        """Guards against a block that never ends, or never comes back, for one of the phases."""
        assert block_state(reversed(lost_at), now=now).phase is phase


def counted_losses(*losses):
    """Return how many losses of server i-1 count, given as start of its process and instant."""
    guard = CrashGuard()
    for started_ms, lost_at in losses:
        loss = ServerLoss(
            digest="d", service="s", server="i-1", started_ms=started_ms, lost_at=lost_at
        )
        guard.record(loss, now=lost_at)
    return len(guard.losses_by_digest["d"]["s"])


class TestProcesses:
    NEAR = THIRD + LOSS_LIFETIME_S - 1

    @pytest.mark.parametrize(
        ("losses", "count"),
        [
            # The same start, or no start at all.
            ([(5, THIRD), (5, NEAR)], 1),
            ([(0, THIRD), (0, NEAR)], 1),
            # Another start: another process under the same id.
            ([(5, THIRD), (6, NEAR)], 2),
            ([(5, THIRD), (6, NEAR), (5, NEAR)], 2),
            # The start is missing in one of the two.
            ([(5, THIRD), (0, NEAR)], 1),
            ([(0, THIRD), (5, NEAR)], 1),
            # The start that was adopted tells a later process apart.
            ([(0, THIRD), (5, THIRD + 1), (6, THIRD + 2)], 2),
        ],
    )
    def test_a_process_is_lost_once(self, losses, count):
        """Guards against a broken connection that counts twice, and a restart that never counts."""
        assert counted_losses(*losses) == count

    @pytest.mark.parametrize("starts", [(5, 5), (0, 0), (5, 6), (0, 5), (5, 0)])
    def test_a_later_loss_counts_whatever_the_starts(self, starts):
        """Guards against a server that is lost again under a reused start and never counts."""
        guard = CrashGuard()
        for number, lost_at in enumerate(FIRST_THREE):
            loss = ServerLoss(
                digest="d", service="s", server=f"i-{number}", started_ms=starts[0], lost_at=lost_at
            )
            guard.record(loss, now=lost_at)
        assert not guard.is_blocked("d", now=TRIAL_AT)
        again = ServerLoss(
            digest="d", service="s", server="i-0", started_ms=starts[1], lost_at=TRIAL_AT
        )
        guard.record(again, now=TRIAL_AT)
        assert guard.is_blocked("d", now=TRIAL_AT + LOSS_LIFETIME_S)


class TestSharing:
    def test_a_host_that_starts_late_learns_of_a_past_block(self):
        """Guards against a restarted host that needs three crashes of its own to block again."""
        guard, late = CrashGuard(), CrashGuard()
        for number, lost_at in enumerate(ON_TRIAL):
            loss = ServerLoss(digest="d", service="s", server=f"i-{number}", lost_at=lost_at)
            guard.record(loss, now=lost_at)
        now = TRIAL_AT + FIRST_BLOCK_S * 2
        late.merge(reversed(guard.losses_to_share(now=now)), now=now)
        assert late.is_blocked("d", now=now)

    def test_losses_without_effect_are_dropped(self):
        """Guards against memory and messages that keep the losses of requests long answered."""
        guard = CrashGuard()
        guard.record(ServerLoss(digest="d", service="s", server="i", lost_at=1.0), now=100.0)
        assert not guard.losses_by_digest

    def test_a_host_may_try_a_request_later_than_others(self):
        """Guards against a crashing request that all hosts run at the same instant again."""
        guard = CrashGuard(trial_delay_s=20.0)
        for number, lost_at in enumerate(FIRST_THREE):
            loss = ServerLoss(digest="d", service="s", server=f"i-{number}", lost_at=lost_at)
            guard.record(loss, now=lost_at)
        assert guard.is_blocked("d", now=TRIAL_AT + 19.0)
        assert not guard.is_blocked("d", now=TRIAL_AT + 20.0)
