"""Checks of each attempt at the moment when it leaves the decisions."""

from __future__ import annotations

import threading

from rhubarbway.decisions.sent_attempts import SentAttempts
from rhubarbway.model import ForwardedRequest, Ran, Route
from rhubarbway.services.budget import LockedBudget
from rhubarbway.services.invariants import Expect
from rhubarbway.services.server_pool import ServerPool
from rhubarbway.services.shard_run import ShardRun


class SendChecks:
    """Compares what is sent with what may be sent, and reports differences.

    Parameters
    ----------
    budget : LockedBudget
        Holds the limits in force; its own counts are not used.
    expect : callable
        Takes the result of each check.
    """

    __slots__ = ("budget", "expect", "lock", "sent")

    def __init__(self, *, budget: LockedBudget, expect: Expect) -> None:
        self.budget = budget.budget
        self.expect = expect
        self.lock = threading.Lock()
        self.sent = SentAttempts()

    def note_request(self, service: str, *, now: float) -> None:
        """Count a request for a service."""
        budget = self.budget
        with self.lock:
            self.sent.record_request(service, ratio=budget.ratio, window_s=budget.window_s, now=now)

    def note_send(
        self,
        request: ForwardedRequest,
        route: Route,
        shard: ShardRun,
        pool: ServerPool,
        *,
        now: float,
    ) -> None:
        """Check an attempt that is about to be handed to a pool."""
        names = {"request_id": request.request_id, "route": route.name, "server": pool.server.id}
        self.expect(
            pool.server.service == shard.service,
            "server_of_another_service",
            wanted=shard.service,
            service=pool.server.service,
            **names,
        )
        self.expect(shard.sent < route.max_attempts, "too_many_attempts", sent=shard.sent, **names)
        if not shard.attempts:
            return
        self.expect(
            route.idempotent or (not shard.running and shard.ran is Ran.NOT_RUN),
            "unsafe_request_sent_again",
            running=len(shard.running),
            ran=shard.ran.value,
            **names,
        )
        budget = self.budget
        with self.lock:
            is_allowed = self.sent.record_extra_attempt(
                shard.service,
                allowance=budget.allowance / max(1, budget.hosts),
                window_s=budget.window_s,
                now=now,
            )
        self.expect(
            is_allowed,
            "share_of_further_attempts",
            service=shard.service,
            hosts=budget.hosts,
            **names,
        )

    def keep_only(self, services: set[str]) -> None:
        """Forget services that no route uses any more."""
        with self.lock:
            self.sent.retain_services(services)
