"""Invariant checks of each attempt just before it is submitted to a pool."""

from __future__ import annotations

import threading

from rhubarbway.decisions.sent_attempts import SentAttempts
from rhubarbway.model import ExecutionStatus, ForwardedRequest, Route
from rhubarbway.services.invariants import Expect
from rhubarbway.services.server_pool import ServerPool
from rhubarbway.services.shard_progress import ShardProgress
from rhubarbway.services.shared_retry_budget import SharedRetryBudget


class SendChecks:
    """Checks each attempt against the limits in force, and reports broken invariants.

    Parameters
    ----------
    budget : SharedRetryBudget
        Retry budget whose limits are checked. Its counts are not used, so that an error in them is
        detected.
    expect : callable
        Reports an invariant that does not hold: ``expect(holds, name, **details)``.
    """

    __slots__ = ("budget", "expect", "lock", "sent_attempts")

    def __init__(self, *, budget: SharedRetryBudget, expect: Expect) -> None:
        self.budget = budget.budget
        self.expect = expect
        self.lock = threading.Lock()
        self.sent_attempts = SentAttempts()

    def record_request(self, service: str, *, now: float) -> None:
        """Count a request for the service, whether or not a first attempt is sent."""
        budget = self.budget
        with self.lock:
            self.sent_attempts.record_request(
                service, ratio=budget.ratio, window_s=budget.window_s, now=now
            )

    def check_attempt(
        self,
        request: ForwardedRequest,
        route: Route,
        shard: ShardProgress,
        pool: ServerPool,
        *,
        replaces_undelivered: bool = False,
        now: float,
    ) -> None:
        """Check an attempt that is about to be submitted to a pool, and count extra attempts.

        An attempt in place of one that reached no server is not an extra one.
        """
        details = {"request_id": request.request_id, "route": route.name, "server": pool.server.id}
        self.expect(
            pool.server.service == shard.service,
            "server_of_another_service",
            wanted=shard.service,
            service=pool.server.service,
            **details,
        )
        self.expect(
            shard.sent_count < route.max_attempts,
            "too_many_attempts",
            sent=shard.sent_count,
            **details,
        )
        if not shard.attempt_log:
            return
        self.expect(
            route.idempotent or (not shard.in_flight and shard.ran is ExecutionStatus.NOT_RUN),
            "unsafe_request_sent_again",
            running=len(shard.in_flight),
            ran=shard.ran.value,
            **details,
        )
        if replaces_undelivered:
            return
        budget = self.budget
        with self.lock:
            is_allowed = self.sent_attempts.record_extra_attempt(
                shard.service,
                allowance=budget.allowance / max(1, budget.host_count),
                window_s=budget.window_s,
                now=now,
            )
        self.expect(
            is_allowed,
            "share_of_further_attempts",
            service=shard.service,
            hosts=budget.host_count,
            **details,
        )

    def retain_services(self, services: set[str]) -> None:
        """Remove the counts of all services except the given ones."""
        with self.lock:
            self.sent_attempts.retain_services(services)
