"""Forwarding of one request, in the task of its caller's connection."""

from __future__ import annotations

from rhubarbway.decisions.attempt_timing import (
    has_required_coverage,
    late_answer_deadline,
    target_deadline,
)
from rhubarbway.decisions.forward_answers import (
    failed_answer,
    merge_replies,
    refusal,
    relay_reply,
)
from rhubarbway.decisions.late_requests import latest_send_at
from rhubarbway.decisions.urgency import budget_reserve
from rhubarbway.model import (
    UNDELIVERED_ENDS,
    ExchangeEnd,
    ExchangeOutcome,
    ExecutionStatus,
    ForwardedAnswer,
    ForwardedRequest,
    Route,
)
from rhubarbway.services.arrival_checks import (
    ArrivalPlan,
    plan_arrival,
    refusal_for_lack_of_servers,
)
from rhubarbway.services.caller_inbox import CallerInbox
from rhubarbway.services.forwarding_context import ForwardingContext
from rhubarbway.services.forwarding_log import (
    log_decision,
    log_deleted_server,
    milliseconds,
    slowest_shards,
)
from rhubarbway.services.server_attempt import ServerAttempt
from rhubarbway.services.server_choice import best_pool, expected_latency_s, least_latency_s
from rhubarbway.services.server_pool import ServerPool
from rhubarbway.services.shard_progress import ShardProgress
from rhubarbway.services.stopping_requests import expected_send_at, log_refused_wait

# Extra attempts that a hedge must leave in the retry budget, so that hedges for slow servers do not
# use up the retries that lost requests need.
RETRY_RESERVE = 1.0


class RequestForwarder:
    """Sends one request to its servers and builds the answer from their replies.

    Parameters
    ----------
    request : ForwardedRequest
        The caller's request.
    digest : str
        Digest of the request's content, by which crashing requests are recognized.
    route : Route
        Route of the request, from the routing table that was in force when the request was read.
    services : tuple of str
        The shards of the route, or the one service that the request goes to.
    inbox : CallerInbox
        Inbox that receives the outcomes of the attempts.
    context : ForwardingContext
        Dependencies that all requests share.
    """

    __slots__ = (
        "attempt_deadline",
        "context",
        "deadline",
        "digest",
        "hedge_at",
        "hedge_delay_s",
        "inbox",
        "is_fan_out",
        "missed_target",
        "pending_count",
        "replied_count",
        "request",
        "route",
        "shards",
        "stop_check_at",
        "target_deadline",
        "typical_s",
    )

    def __init__(
        self,
        *,
        request: ForwardedRequest,
        digest: str,
        route: Route,
        services: tuple[str, ...],
        inbox: CallerInbox,
        context: ForwardingContext,
    ) -> None:
        self.request = request
        self.digest = digest
        self.route = route
        self.inbox = inbox
        self.context = context
        self.is_fan_out = bool(route.shards)
        self.deadline = min(request.deadline, request.received_at + route.timeout_s)
        self.shards = {service: ShardProgress(service=service) for service in services}
        # Number of shards that may still reply, and of those that have sent a usable reply.
        self.pending_count = len(self.shards)
        self.replied_count = 0
        # Earliest instant at which some shard may need a hedge.
        self.hedge_at = float("inf")
        # Instant at which the request is refused if this host stops and has not sent it by then.
        self.stop_check_at = float("inf")
        self.typical_s = context.typical_s(route)
        self.hedge_delay_s = context.hedge_delay_s(route)
        received_at = request.received_at
        # Instant until which replies can be awaited without missing the target latency.
        self.target_deadline = target_deadline(
            route, received_at=received_at, processing_s=context.processing_s(route)
        )
        # Deadline that the servers get. The answer of a fan-out is sent at this instant at the
        # latest, so later replies are of no use.
        self.attempt_deadline = (
            late_answer_deadline(route, received_at=received_at, deadline=self.deadline)
            if self.is_fan_out
            else self.deadline
        )
        # Whether too few shards had replied when the target deadline passed. Also set for requests
        # without fan-out, but used only for a fan-out.
        self.missed_target = False

    def run(self) -> ForwardedAnswer | None:
        """Forward the request and return the answer, or None if the caller has disconnected."""
        refused = self.refuse_if_stopping(self.context.clock())
        if refused is not None:
            return refused
        plan = plan_arrival(
            self.context,
            self.request,
            self.route,
            self.shards,
            typical_s=self.typical_s,
            target_deadline=self.target_deadline,
            deadline=self.attempt_deadline,
        )
        if plan.refusal is not None:
            return plan.refusal
        self.send_first_attempts(plan)
        while not self.is_finished():
            now = self.context.clock()
            refused = self.refuse_if_stopping(now)
            if refused is not None:
                return refused
            if now >= self.wait_deadline():
                break
            if now >= self.target_deadline:
                self.missed_target = True
            for outcome in self.inbox.receive(
                self.next_decision_at() - now, min_successes=self.pending_count
            ):
                self.handle_outcome(outcome)
            if self.inbox.caller_left:
                self.cancel_all_attempts()
                return None
            now = self.context.clock()
            if now >= self.hedge_at:
                self.send_hedges(now)
        return self.build_answer()

    def refuse_if_stopping(self, now: float) -> ForwardedAnswer | None:
        """Return a refusal if this host stops and cannot send and answer the request in time.

        Any other request has to be answered before the stopping host closes its connections.
        """
        self.stop_check_at = float("inf")
        answer_by = self.context.stop_notice.answer_by
        if answer_by == float("inf"):
            return None
        send_at = expected_send_at(self.shards.values(), now=now)
        if send_at is not None:
            self.stop_check_at = latest_send_at(
                self.request,
                self.route,
                exchange_s=self.context.exchange_s(self.route),
                answer_by=answer_by,
            )
            if send_at > self.stop_check_at and self.cancel_all_attempts():
                log_refused_wait(self.context, self.request, self.route, now=now, send_at=send_at)
                return refusal("this host stops", random=self.context.random)
        self.deadline = min(self.deadline, answer_by)
        self.attempt_deadline = min(self.attempt_deadline, answer_by)
        return None

    def pending_shards(self) -> list[ShardProgress]:
        """Return the shards that may still reply."""
        return [shard for shard in self.shards.values() if shard.is_pending]

    def is_finished(self) -> bool:
        """Whether no further reply can change the answer."""
        if self.pending_count == 0:
            return True
        return self.is_fan_out and not has_required_coverage(
            self.route, self.replied_count + self.pending_count
        )

    def give_up(self, shard: ShardProgress) -> None:
        """Record that a shard will not reply."""
        if shard.is_pending:
            shard.given_up = True
            self.pending_count -= 1

    def wait_deadline(self) -> float:
        """Return the instant at which the answer is sent even if shards are missing.

        A fan-out whose replies cover enough shards is answered at the target deadline at the
        latest. If too few shards have replied by then, the answer is late anyway and waits for all
        shards.
        """
        if not self.is_fan_out:
            return self.deadline
        if not self.missed_target and has_required_coverage(self.route, self.replied_count):
            return min(self.target_deadline, self.attempt_deadline)
        return self.attempt_deadline

    def next_decision_at(self) -> float:
        """Return the instant at which the task has to wake even without a new outcome.

        Successful replies wake the task only once all pending shards have replied. The task
        therefore has to wake at the target deadline to find out whether the replies cover enough
        shards.
        """
        at = min(self.wait_deadline(), self.hedge_at, self.stop_check_at)
        return min(at, self.target_deadline) if self.is_fan_out and not self.missed_target else at

    def best_pool(self, shard: ShardProgress, now: float) -> ServerPool | None:
        """Return the untried pool of a shard to use next, or None."""
        return best_pool(
            self.context,
            shard.service,
            tried_servers=shard.tried_servers,
            typical_s=self.typical_s,
            now=now,
        )

    def pool_in_time(self, shard: ShardProgress, now: float) -> ServerPool | None:
        """Return the untried pool for another attempt, or None if none would reply in time."""
        pool = self.best_pool(shard, now)
        if pool is None or pool.state.is_ejected(now):
            return None
        needed_s = least_latency_s(self.context, self.route, pool, now=now)
        return pool if now + needed_s < self.attempt_deadline else None

    def expected_latency_s(self, pool: ServerPool, now: float) -> float:
        """Return the expected latency of a request sent to a server now, seconds."""
        return expected_latency_s(self.context, pool, typical_s=self.typical_s, now=now)

    def send_first_attempts(self, plan: ArrivalPlan) -> None:
        """Send the first attempt to each shard, unless it is overloaded or has no server in use."""
        now = self.context.clock()
        for shard in self.shards.values():
            self.context.budget.record_request(shard.service, now=now)
            self.context.send_checks.record_request(shard.service, now=now)
            pool = plan.chosen[shard.service]
            if pool is None or shard.service in plan.shed:
                self.give_up(shard)
                self.log_decision(
                    "Overloaded shard skipped." if pool else "No known server for the shard.", shard
                )
                continue
            self.send_attempt(shard, pool)
            if self.route.idempotent and self.route.max_attempts > 1:
                shard.hedge_at = self.hedge_at = now + self.hedge_delay_s

    def send_attempt(
        self, shard: ShardProgress, pool: ServerPool, *, replaces_undelivered: bool = False
    ) -> None:
        """Check the invariants of one attempt and submit it to a pool."""
        now = self.context.clock()
        self.context.send_checks.check_attempt(
            self.request,
            self.route,
            shard,
            pool,
            replaces_undelivered=replaces_undelivered,
            now=now,
        )
        log_deleted_server(self.context, self.request, self.route, shard, pool)
        attempt = ServerAttempt(
            number=self.context.next_attempt_number(),
            request=self.request,
            shard=shard.service,
            route_name=self.route.name,
            deadline=self.attempt_deadline,
            submitted_at=now,
            typical_s=self.typical_s,
            exchange_s=self.context.exchange_s(self.route),
            priority=self.route.priority,
            # In place of one that reached no server, it has the rank of a first attempt.
            is_extra=bool(shard.attempt_log) and not replaces_undelivered,
            server_state=pool.state,
            deliver=self.inbox.put,
        )
        shard.sent_count += 1
        shard.attempt_log.append((pool.server.id, attempt.submitted_at))
        shard.tried_servers.add(pool.server.id)
        shard.in_flight[attempt.number] = attempt
        pool.submit(attempt)

    def send_hedges(self, now: float) -> None:
        """Send a hedge for each shard whose first attempt is late.

        The hedge delay counts from the instant at which the first attempt began to wait for its
        server. While this host has not yet sent the attempt, a hedge would only cost more of the
        processor time that the host lacks.
        """
        awaiting_hedge = [shard for shard in self.pending_shards() if shard.hedge_at < float("inf")]
        for shard in awaiting_hedge:
            shard.hedge_at = max(shard.hedge_at, shard.waiting_since(now) + self.hedge_delay_s)
        self.hedge_at = min(
            (shard.hedge_at for shard in awaiting_hedge if shard.hedge_at > now),
            default=float("inf"),
        )
        for shard in awaiting_hedge:
            if now < shard.hedge_at:
                continue
            shard.hedge_at = float("inf")
            if self.send_extra_attempt(
                shard, reserve=RETRY_RESERVE, reply_deadline=self.target_deadline
            ):
                self.log_decision(
                    "Hedged attempt sent for a late reply.", shard, after_s=self.hedge_delay_s
                )

    def send_extra_attempt(
        self, shard: ShardProgress, *, reserve: float = 0.0, reply_deadline: float = float("inf")
    ) -> bool:
        """Send an extra attempt if the route, the retry budget and the servers allow it.

        A request that is blocked as a crashing one gets no extra attempt.

        Parameters
        ----------
        reserve : float
            Extra attempts that must remain in the budget.
        reply_deadline : float
            Instant after which a reply is of no use. If the best server is not expected to reply
            by then, nothing is sent, since the attempt would only add load.

        Returns
        -------
        bool
            Whether an attempt was sent.
        """
        if (
            shard.sent_count >= self.route.max_attempts
            or self.context.crashing_requests.is_blocked(self.digest)
        ):
            return False
        now = self.context.clock()
        pool = self.pool_in_time(shard, now)
        if pool is None:
            return False
        if now + self.expected_latency_s(pool, now) > reply_deadline:
            return False
        reserve += budget_reserve(
            self.route.priority, is_scarce=self.context.arrivals.is_scarce(now)
        )
        if not self.context.budget.try_acquire(shard.service, now=now, reserve=reserve):
            self.log_decision("Extra attempt not sent: retry budget used up.", shard)
            return False
        self.send_attempt(shard, pool)
        return True

    def resend_undelivered(self, shard: ShardProgress) -> bool:
        """Send an attempt in place of one that reached no server; return whether one was sent.

        It needs no permit of the retry budget, since the server got no request. The servers tried
        so far are left out, so there is at most one such attempt for each server.
        """
        now = self.context.clock()
        pool = self.pool_in_time(shard, now)
        if pool is None:
            return False
        self.send_attempt(shard, pool, replaces_undelivered=True)
        if self.route.idempotent and self.route.max_attempts > 1:
            shard.hedge_at = now + self.hedge_delay_s
            self.hedge_at = min(self.hedge_at, shard.hedge_at)
        return True

    def handle_outcome(self, outcome: ExchangeOutcome) -> None:
        """Record the outcome of an attempt, and retry the request if that is possible."""
        shard = self.shards[outcome.shard]
        attempt = shard.in_flight.pop(outcome.attempt)
        if outcome.ran is not ExecutionStatus.NOT_RUN:
            shard.ran = (
                ExecutionStatus.RUN
                if outcome.ran is ExecutionStatus.RUN
                else ExecutionStatus.UNKNOWN
            )
        is_undelivered = outcome.end in UNDELIVERED_ENDS
        if is_undelivered or outcome.end is ExchangeEnd.MISDIRECTED:
            # The request did not reach a server of this service, so the attempt does not count.
            shard.sent_count -= 1
        if outcome.end is ExchangeEnd.LOST:
            self.context.crashing_requests.record_loss(
                self.digest,
                service=shard.service,
                server=outcome.server,
                started_ms=outcome.server_started_ms,
            )
        if not shard.is_pending:
            return
        if self.is_usable(outcome):
            self.pending_count -= 1
            self.replied_count += 1
            shard.reply = outcome.reply
            shard.replied_at = attempt.latency_start + outcome.latency_s
            return
        if outcome.reply is not None:
            shard.last_failure = outcome.reply
        self.log_decision(
            "Attempt ended without a usable reply.",
            shard,
            server=outcome.server,
            end=outcome.end.value,
            ran=outcome.ran.value,
            status=outcome.reply.status if outcome.reply else None,
            detail=outcome.detail,
            latency_ms=round(outcome.latency_s * 1000),
            copy_age_ms=milliseconds(self.context.copy_age_s()),
        )
        if is_undelivered and self.resend_undelivered(shard):
            return
        if self.may_retry(outcome) and self.send_extra_attempt(shard):
            shard.hedge_at = float("inf")
            return
        if not shard.in_flight:
            self.give_up(shard)

    def is_usable(self, outcome: ExchangeOutcome) -> bool:
        """Whether the reply of an attempt can be the answer or, in a fan-out, a part of it."""
        reply = outcome.reply
        if outcome.end is not ExchangeEnd.ANSWERED or reply is None:
            return False
        # A successful reply without a signature does not come from the server itself.
        if 200 <= reply.status < 300:
            return reply.succeeded
        return not self.is_fan_out

    def may_retry(self, outcome: ExchangeOutcome) -> bool:
        """Whether the request is safe to send again after this outcome."""
        return self.route.idempotent or outcome.ran is ExecutionStatus.NOT_RUN

    def cancel_pending_attempts(self) -> None:
        """Cancel the attempts of the shards that the answer lacks: their replies are of no use."""
        for shard in self.pending_shards():
            for attempt in shard.in_flight.values():
                attempt.cancel()

    def cancel_all_attempts(self) -> bool:
        """Cancel all attempts in flight; return whether it is certain that none was sent."""
        attempts = [one for shard in self.shards.values() for one in shard.in_flight.values()]
        return all([attempt.cancel() for attempt in attempts])

    def build_answer(self) -> ForwardedAnswer:
        """Return the answer that the replies so far allow, or a failure.

        After an answer, other attempts to shards that have replied keep running.
        """
        shards = self.shards.values()
        if self.is_fan_out:
            replies = [shard.reply for shard in shards if shard.reply is not None]
            if has_required_coverage(self.route, len(replies)):
                self.cancel_pending_attempts()
                answer = merge_replies(self.route, replies)
                self.context.expect(
                    len(replies) + answer.missing_shards == len(self.shards),
                    "coverage_of_an_answer",
                    request_id=self.request.request_id,
                    replies=len(replies),
                    missing=answer.missing_shards,
                    shards=len(self.shards),
                )
                if answer.missing_shards and not self.missed_target:
                    # Also if the fan-out ended earlier, because no shard could reply any more.
                    answer.target_deadline = self.target_deadline
                return answer
        else:
            shard = next(iter(shards))
            reply = shard.reply or (shard.last_failure if not shard.in_flight else None)
            if reply is not None and (answer := relay_reply(reply)) is not None:
                return answer
        was_unsent = self.cancel_all_attempts()
        is_not_run = was_unsent and all(one.ran is ExecutionStatus.NOT_RUN for one in shards)
        ran = ExecutionStatus.NOT_RUN if is_not_run else ExecutionStatus.UNKNOWN
        timed_out = self.context.clock() >= self.wait_deadline()
        refused = None
        if ran is ExecutionStatus.NOT_RUN:
            refused = refusal_for_lack_of_servers(self.context, self.route, self.shards)
        return refused or failed_answer(ran=ran, timed_out=timed_out, random=self.context.random)

    def slowest_shards(self) -> list[dict[str, object]]:
        """Describe the shards that replied last or not at all, for the log."""
        return slowest_shards(self.shards.values(), received_at=self.request.received_at)

    def log_decision(self, event: str, shard: ShardProgress, **details) -> None:
        """Log a decision about a shard."""
        log_decision(self.context, self.request, self.route, event, shard, **details)
