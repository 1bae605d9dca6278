"""One forwarded request, run in the task of its caller's connection."""

from __future__ import annotations

from rhubarbway.decisions.attempt_timing import (
    covers_enough,
    full_value_until,
    late_answer_at,
)
from rhubarbway.decisions.forward_answers import (
    failed_answer,
    merged_answer,
    passed_on_answer,
    refusal,
)
from rhubarbway.decisions.server_state import ranked_states
from rhubarbway.decisions.shard_admission import skipped_shards
from rhubarbway.model import (
    ExchangeEnd,
    ExchangeOutcome,
    ForwardedAnswer,
    ForwardedRequest,
    Ran,
    Route,
)
from rhubarbway.services.caller_inbox import CallerInbox
from rhubarbway.services.forwarding_context import ForwardingContext
from rhubarbway.services.server_pool import ServerAttempt, ServerPool
from rhubarbway.services.shard_progress import ShardProgress

# Attempts beyond the first that stay reserved for failures, so that slow servers do not use up
# what lost requests need.
RETRY_RESERVE = 1.0
# Random part of the rank of a server, so that hosts with the same knowledge do not all choose the
# same one.
RANK_JITTER = 0.1
# Time of a round trip to another zone, seconds: the users' zones lie 3 to 4.4 ms apart one way.
CROSS_ZONE_ROUND_TRIP_S = 0.009
# What a request to another zone counts for when servers are ranked, seconds: the round trip, and as
# much again for the price of traffic between zones.
CROSS_ZONE_COST_S = 0.02


# Shards of a late answer that are named in the log.
SLOWEST_SHARDS_LOGGED = 2


class RequestForwarder:
    """State of one running request.

    Parameters
    ----------
    request : ForwardedRequest
        The caller's request.
    digest : str
        Name of the request by its content.
    route : Route
        Its route, from the routing table in force when it was read.
    services : tuple of str
        The shards of the route, or the one service that the request goes to.
    inbox : CallerInbox
        Where outcomes arrive.
    tools : ForwardingTools
        What all requests share.
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
        # Shards from which a reply may still come, and those that have replied.
        self.pending_count = len(self.shards)
        self.replied_count = 0
        # Earliest instant at which some shard may need a second attempt.
        self.hedge_at = float("inf")
        self.typical_s = context.typical_s(route)
        self.hedge_delay_s = context.hedge_delay_s(route)
        received_at = request.received_at
        self.target_deadline = full_value_until(
            route, received_at=received_at, processing_s=context.processing_s(route)
        )
        # The answer of a fan-out leaves at the latest then, and servers need not work any longer.
        self.attempt_deadline = (
            late_answer_at(route, received_at=received_at, deadline=self.deadline)
            if self.is_fan_out
            else self.deadline
        )
        # Whether too few shards had answered when the target passed.
        self.missed_target = False

    def run(self) -> ForwardedAnswer | None:
        """Run the request and return its answer, or None if the caller has left."""
        reachable = sum(bool(self.context.pools_of(service)) for service in self.shards)
        if not reachable or (self.is_fan_out and not covers_enough(self.route, reachable)):
            return refusal("too few servers are known", random=self.context.random)
        self.send_first_attempts()
        while not self.is_finished():
            now = self.context.clock()
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

    def pending_shards(self) -> list[ShardProgress]:
        """Return the shards from which a reply may still come."""
        return [shard for shard in self.shards.values() if shard.is_pending]

    def is_finished(self) -> bool:
        """Whether no further reply can change the answer."""
        if self.pending_count == 0:
            return True
        return self.is_fan_out and not covers_enough(
            self.route, self.replied_count + self.pending_count
        )

    def give_up(self, shard: ShardProgress) -> None:
        """Record that no reply of a shard will come."""
        if shard.is_pending:
            shard.given_up = True
            self.pending_count -= 1

    def wait_deadline(self) -> float:
        """Return the instant at which the answer leaves, whatever is still missing.

        A fan-out that covers enough leaves in time for the target. One that does not cover enough
        by then is late anyway and waits for all shards.
        """
        if not self.is_fan_out:
            return self.deadline
        if not self.missed_target and covers_enough(self.route, self.replied_count):
            return min(self.target_deadline, self.attempt_deadline)
        return self.attempt_deadline

    def next_decision_at(self) -> float:
        """Return the instant at which there is something to decide without a further reply.

        Replies that arrive meanwhile wake nobody, so whether the answer covers enough at the target
        is only known then.
        """
        at = min(self.wait_deadline(), self.hedge_at)
        return min(at, self.target_deadline) if self.is_fan_out and not self.missed_target else at

    def ranked_pools(self, shard: ShardProgress, now: float) -> list[ServerPool]:
        """Return the pools that were not tried, by rising expected time."""
        pools = {
            pool.server.id: pool
            for pool in self.context.pools_of(shard.service)
            if pool.server.id not in shard.tried_servers
        }
        jitter = {key: 1.0 + RANK_JITTER * self.context.random.random() for key in pools}
        ranked = ranked_states(
            [pool.state for pool in pools.values()],
            zone=self.context.zone,
            usual_s=self.typical_s,
            distance_s=CROSS_ZONE_COST_S,
            now=now,
            spread=jitter,
        )
        return [pools[state.server.id] for state in ranked]

    def expected_s(self, pool: ServerPool, now: float) -> float:
        """Return the time that a request to a server is expected to take now, seconds."""
        distance_s = 0.0 if pool.server.zone == self.context.zone else CROSS_ZONE_ROUND_TRIP_S
        return pool.state.expected_s(usual_s=self.typical_s, distance_s=distance_s, now=now)

    def send_first_attempts(self) -> None:
        """Send to all shards but those that are left out because they are overloaded."""
        now = self.context.clock()
        chosen = {
            shard.service: next(iter(self.ranked_pools(shard, now)), None)
            for shard in self.shards.values()
        }
        skipped: set[str] = set()
        if self.is_fan_out:
            expected = {
                service: self.expected_s(pool, now) if pool else float("inf")
                for service, pool in chosen.items()
            }
            skipped = skipped_shards(
                self.route, expected, left_s=self.target_deadline - now, random=self.context.random
            )
        for shard in self.shards.values():
            self.context.budget.note_request(shard.service, now=now)
            self.context.send_checks.record_request(shard.service, now=now)
            pool = chosen[shard.service]
            if pool is None or shard.service in skipped:
                self.give_up(shard)
                self.log_decision(
                    "Shard left out: overloaded." if pool else "No server is known.", shard
                )
                continue
            self.send_attempt(shard, pool)
            if self.route.idempotent and self.route.max_attempts > 1:
                shard.hedge_at = self.hedge_at = now + self.hedge_delay_s

    def send_attempt(self, shard: ShardProgress, pool: ServerPool) -> None:
        """Hand one attempt to a pool."""
        now = self.context.clock()
        self.context.send_checks.check_attempt(self.request, self.route, shard, pool, now=now)
        attempt = ServerAttempt(
            number=self.context.next_attempt_number(),
            request=self.request,
            shard=shard.service,
            route_name=self.route.name,
            deadline=self.attempt_deadline,
            submitted_at=now,
            typical_s=self.typical_s,
            deliver=self.inbox.put,
        )
        shard.sent_count += 1
        shard.attempt_log.append((pool.server.id, attempt.submitted_at))
        shard.tried_servers.add(pool.server.id)
        shard.in_flight[attempt.number] = attempt
        pool.submit(attempt)

    def send_hedges(self, now: float) -> None:
        """Send a second attempt for each shard whose first one is late.

        An attempt that this host has sent late is not late yet. A second one would only cost the
        host more of the processor time that it lacks.
        """
        waiting = [shard for shard in self.pending_shards() if shard.hedge_at < float("inf")]
        for shard in waiting:
            shard.hedge_at = max(shard.hedge_at, shard.waiting_since(now) + self.hedge_delay_s)
        self.hedge_at = min(
            (shard.hedge_at for shard in waiting if shard.hedge_at > now), default=float("inf")
        )
        for shard in waiting:
            if now < shard.hedge_at:
                continue
            shard.hedge_at = float("inf")
            if self.send_extra_attempt(
                shard, reserve=RETRY_RESERVE, reply_deadline=self.target_deadline
            ):
                self.log_decision(
                    "Second attempt for a late reply.", shard, after_s=self.hedge_delay_s
                )

    def send_extra_attempt(
        self, shard: ShardProgress, *, reserve: float = 0.0, reply_deadline: float = float("inf")
    ) -> bool:
        """Send a further attempt if the route, the budget and the servers allow one.

        Parameters
        ----------
        reserve : float
            Further attempts that the budget has to keep.
        answer_by : float
            Instant after which a reply is of no use; a server that is not expected to reply by
            then would only get more load.
        """
        if (
            shard.sent_count >= self.route.max_attempts
            or self.context.crashing_requests.is_blocked(self.digest)
        ):
            return False
        now = self.context.clock()
        pool = next(iter(self.ranked_pools(shard, now)), None)
        if pool is None or now >= self.attempt_deadline or pool.state.ejected(now):
            return False
        if now + self.expected_s(pool, now) > reply_deadline:
            return False
        if not self.context.budget.take(shard.service, now=now, reserve=reserve):
            self.log_decision("No further attempt: the budget is used up.", shard)
            return False
        self.send_attempt(shard, pool)
        return True

    def handle_outcome(self, outcome: ExchangeOutcome) -> None:
        """Use the outcome of an attempt."""
        shard = self.shards[outcome.shard]
        attempt = shard.in_flight.pop(outcome.attempt)
        if outcome.ran is not Ran.NOT_RUN:
            shard.ran = Ran.RUN if outcome.ran is Ran.RUN else Ran.UNKNOWN
        if outcome.end in (ExchangeEnd.CONNECT_FAILED, ExchangeEnd.MISDIRECTED):
            # Nothing of the request reached a server of this service.
            shard.sent_count -= 1
        if outcome.end is ExchangeEnd.LOST:
            self.context.crashing_requests.record_loss(
                self.digest, service=shard.service, server=outcome.server
            )
        if not shard.is_pending:
            return
        if self.is_usable(outcome):
            self.pending_count -= 1
            self.replied_count += 1
            shard.reply = outcome.reply
            shard.replied_at = attempt.latency_start + outcome.latency
            return
        if outcome.reply is not None:
            shard.last_failure = outcome.reply
        self.log_decision(
            "Attempt without an answer.",
            shard,
            server=outcome.server,
            end=outcome.end.value,
            ran=outcome.ran.value,
            status=outcome.reply.status if outcome.reply else None,
            detail=outcome.detail,
            latency_ms=round(outcome.latency * 1000),
        )
        if self.may_retry(outcome) and self.send_extra_attempt(shard):
            shard.hedge_at = float("inf")
            return
        if not shard.in_flight:
            self.give_up(shard)

    def is_usable(self, outcome: ExchangeOutcome) -> bool:
        """Whether the reply of an attempt is the answer, or a part of it."""
        reply = outcome.reply
        if outcome.end is not ExchangeEnd.ANSWERED or reply is None:
            return False
        # A success without its proof is not the server's own.
        if 200 <= reply.status < 300:
            return reply.succeeded
        return not self.is_fan_out

    def may_retry(self, outcome: ExchangeOutcome) -> bool:
        """Whether the request may be sent again after this outcome."""
        return self.route.idempotent or outcome.ran is Ran.NOT_RUN

    def cancel_pending_attempts(self) -> None:
        """Cancel the attempts of shards that the answer lacks: their work is of no use."""
        for shard in self.pending_shards():
            for attempt in shard.in_flight.values():
                attempt.cancel()

    def cancel_all_attempts(self) -> None:
        """Cancel all running attempts."""
        for shard in self.shards.values():
            for attempt in shard.in_flight.values():
                attempt.cancel()

    def build_answer(self) -> ForwardedAnswer:
        """Return the answer from what has arrived."""
        shards = self.shards.values()
        if self.is_fan_out:
            replies = [shard.reply for shard in shards if shard.reply is not None]
            if covers_enough(self.route, len(replies)):
                self.cancel_pending_attempts()
                answer = merged_answer(self.route, replies)
                self.context.expect(
                    len(replies) + answer.missing == len(self.shards),
                    "coverage_of_an_answer",
                    request_id=self.request.request_id,
                    replies=len(replies),
                    missing=answer.missing,
                    shards=len(self.shards),
                )
                if answer.missing and not self.missed_target:
                    answer.due_at = self.target_deadline
                return answer
        else:
            shard = next(iter(shards))
            reply = shard.reply or (shard.last_failure if not shard.in_flight else None)
            if reply is not None and (answer := passed_on_answer(reply)) is not None:
                return answer
        ran = Ran.NOT_RUN
        for shard in shards:
            if shard.in_flight or shard.ran is not Ran.NOT_RUN:
                ran = Ran.UNKNOWN
        self.cancel_all_attempts()
        timed_out = self.context.clock() >= self.wait_deadline()
        return failed_answer(ran=ran, timed_out=timed_out, random=self.context.random)

    def slowest_shards(self) -> list[dict[str, object]]:
        """Return the shards that an answer waited for longest, for the log."""
        began = self.request.received_at
        shards = sorted(self.shards.values(), key=lambda shard: shard.replied_at, reverse=True)
        return [
            {
                "service": shard.service,
                "reply_ms": milliseconds(shard.replied_at - began),
                "sent": [[server, milliseconds(at - began)] for server, at in shard.attempt_log],
            }
            for shard in shards[:SLOWEST_SHARDS_LOGGED]
        ]

    def log_decision(self, event: str, shard: ShardProgress, **details) -> None:
        """Log a decision about a shard."""
        self.context.log.info(
            event,
            request_id=self.request.request_id,
            route=self.route.name,
            service=shard.service,
            sent=shard.sent_count,
            age_ms=round((self.context.clock() - self.request.received_at) * 1000),
            **details,
        )


def milliseconds(seconds: float) -> int | None:
    """Return a time in whole milliseconds, or None if it is infinite.

    Examples
    --------
    >>> milliseconds(0.25), milliseconds(float("inf"))
    (250, None)
    """
    return None if seconds == float("inf") else round(seconds * 1000)
