"""One forwarded request, run in the task of its caller's connection."""

from __future__ import annotations

from rhubarbway.decisions.attempt_timing import (
    has_required_coverage,
    late_answer_deadline,
    on_time_cutoff,
)
from rhubarbway.decisions.forward_answers import (
    failed_answer,
    merge_replies,
    refusal,
    relay_reply,
)
from rhubarbway.decisions.server_state import ranked_states
from rhubarbway.decisions.shard_shedding import select_shed_shards
from rhubarbway.model import (
    ExchangeEnd,
    ExchangeOutcome,
    ForwardedAnswer,
    ForwardedRequest,
    Ran,
    Route,
)
from rhubarbway.services.caller_inbox import CallerInbox
from rhubarbway.services.forwarding_tools import ForwardingTools
from rhubarbway.services.server_pool import ServerAttempt, ServerPool
from rhubarbway.services.shard_run import ShardRun

# Attempts beyond the first that stay reserved for failures, so that slow servers do not use up
# what lost requests need.
FAILURE_RESERVE = 1.0
# Random part of the rank of a server, so that hosts with the same knowledge do not all choose the
# same one.
RANK_SPREAD = 0.1
# Time of a round trip to another zone, seconds: the users' zones lie 3 to 4.4 ms apart one way.
ROUND_TRIP_S = 0.009
# What a request to another zone counts for when servers are ranked, seconds: the round trip, and as
# much again for the price of traffic between zones.
ZONE_DISTANCE_S = 0.02


# Shards of a late answer that are named in the log.
SLOWEST_LOGGED = 2


class ForwardRun:
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
        "answer_by",
        "attempt_deadline",
        "deadline",
        "digest",
        "inbox",
        "is_fan_out",
        "missed_target",
        "open_count",
        "replied_count",
        "request",
        "route",
        "second_at",
        "second_delay_s",
        "shards",
        "tools",
        "usual_s",
    )

    def __init__(
        self,
        *,
        request: ForwardedRequest,
        digest: str,
        route: Route,
        services: tuple[str, ...],
        inbox: CallerInbox,
        tools: ForwardingTools,
    ) -> None:
        self.request = request
        self.digest = digest
        self.route = route
        self.inbox = inbox
        self.tools = tools
        self.is_fan_out = bool(route.shards)
        self.deadline = min(request.deadline, request.received_at + route.timeout_s)
        self.shards = {service: ShardRun(service=service) for service in services}
        # Shards from which a reply may still come, and those that have replied.
        self.open_count = len(self.shards)
        self.replied_count = 0
        # Earliest instant at which some shard may need a second attempt.
        self.second_at = float("inf")
        self.usual_s = tools.usual_s(route)
        self.second_delay_s = tools.second_attempt_delay(route)
        received_at = request.received_at
        self.answer_by = on_time_cutoff(
            route, received_at=received_at, processing_s=tools.processing_s(route)
        )
        # The answer of a fan-out leaves at the latest then, and servers need not work any longer.
        self.attempt_deadline = (
            late_answer_deadline(route, received_at=received_at, deadline=self.deadline)
            if self.is_fan_out
            else self.deadline
        )
        # Whether too few shards had answered when the target passed.
        self.missed_target = False

    def run(self) -> ForwardedAnswer | None:
        """Run the request and return its answer, or None if the caller has left."""
        reachable = sum(bool(self.tools.pools_of(service)) for service in self.shards)
        if not reachable or (self.is_fan_out and not has_required_coverage(self.route, reachable)):
            return refusal("too few servers are known", random=self.tools.random)
        self.send_first_attempts()
        while not self.is_finished():
            now = self.tools.clock()
            if now >= self.end_of_wait():
                break
            if now >= self.answer_by:
                self.missed_target = True
            for outcome in self.inbox.take(self.wake_at() - now, wanted=self.open_count):
                self.take(outcome)
            if self.inbox.caller_left:
                self.abandon()
                return None
            now = self.tools.clock()
            if now >= self.second_at:
                self.send_second_attempts(now)
        return self.answer()

    def open_shards(self) -> list[ShardRun]:
        """Return the shards from which a reply may still come."""
        return [shard for shard in self.shards.values() if shard.is_open]

    def is_finished(self) -> bool:
        """Whether no further reply can change the answer."""
        if self.open_count == 0:
            return True
        return self.is_fan_out and not has_required_coverage(
            self.route, self.replied_count + self.open_count
        )

    def give_up(self, shard: ShardRun) -> None:
        """Record that no reply of a shard will come."""
        if shard.is_open:
            shard.given_up = True
            self.open_count -= 1

    def end_of_wait(self) -> float:
        """Return the instant at which the answer leaves, whatever is still missing.

        A fan-out that covers enough leaves in time for the target. One that does not cover enough
        by then is late anyway and waits for all shards.
        """
        if not self.is_fan_out:
            return self.deadline
        if not self.missed_target and has_required_coverage(self.route, self.replied_count):
            return min(self.answer_by, self.attempt_deadline)
        return self.attempt_deadline

    def wake_at(self) -> float:
        """Return the instant at which there is something to decide without a further reply.

        Replies that arrive meanwhile wake nobody, so whether the answer covers enough at the target
        is only known then.
        """
        at = min(self.end_of_wait(), self.second_at)
        return min(at, self.answer_by) if self.is_fan_out and not self.missed_target else at

    def ranked_pools(self, shard: ShardRun, now: float) -> list[ServerPool]:
        """Return the pools that were not tried, by rising expected time."""
        pools = {
            pool.server.id: pool
            for pool in self.tools.pools_of(shard.service)
            if pool.server.id not in shard.tried
        }
        spread = {key: 1.0 + RANK_SPREAD * self.tools.random.random() for key in pools}
        ranked = ranked_states(
            [pool.state for pool in pools.values()],
            zone=self.tools.zone,
            typical_s=self.usual_s,
            distance_s=ZONE_DISTANCE_S,
            now=now,
            jitter=spread,
        )
        return [pools[state.server.id] for state in ranked]

    def expected_s(self, pool: ServerPool, now: float) -> float:
        """Return the time that a request to a server is expected to take now, seconds."""
        distance_s = 0.0 if pool.server.zone == self.tools.zone else ROUND_TRIP_S
        return pool.state.expected_latency_s(typical_s=self.usual_s, distance_s=distance_s, now=now)

    def send_first_attempts(self) -> None:
        """Send to all shards but those that are left out because they are overloaded."""
        now = self.tools.clock()
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
            skipped = select_shed_shards(
                self.route, expected, remaining_s=self.answer_by - now, random=self.tools.random
            )
        for shard in self.shards.values():
            self.tools.budget.note_request(shard.service, now=now)
            self.tools.checks.note_request(shard.service, now=now)
            pool = chosen[shard.service]
            if pool is None or shard.service in skipped:
                self.give_up(shard)
                self.note("Shard left out: overloaded." if pool else "No server is known.", shard)
                continue
            self.send(shard, pool)
            if self.route.idempotent and self.route.max_attempts > 1:
                shard.second_at = self.second_at = now + self.second_delay_s

    def send(self, shard: ShardRun, pool: ServerPool) -> None:
        """Hand one attempt to a pool."""
        now = self.tools.clock()
        self.tools.checks.note_send(self.request, self.route, shard, pool, now=now)
        attempt = ServerAttempt(
            number=self.tools.next_number(),
            request=self.request,
            shard=shard.service,
            kind=self.route.name,
            deadline=self.attempt_deadline,
            handed_at=now,
            usual_s=self.usual_s,
            deliver=self.inbox.put,
        )
        shard.sent += 1
        shard.attempts.append((pool.server.id, attempt.handed_at))
        shard.tried.add(pool.server.id)
        shard.running[attempt.number] = attempt
        pool.submit(attempt)

    def send_second_attempts(self, now: float) -> None:
        """Send a second attempt for each shard whose first one is late.

        An attempt that this host has sent late is not late yet. A second one would only cost the
        host more of the processor time that it lacks.
        """
        waiting = [shard for shard in self.open_shards() if shard.second_at < float("inf")]
        for shard in waiting:
            shard.second_at = max(shard.second_at, shard.waits_since(now) + self.second_delay_s)
        self.second_at = min(
            (shard.second_at for shard in waiting if shard.second_at > now), default=float("inf")
        )
        for shard in waiting:
            if now < shard.second_at:
                continue
            shard.second_at = float("inf")
            if self.send_again(shard, reserve=FAILURE_RESERVE, answer_by=self.answer_by):
                self.note("Second attempt for a late reply.", shard, after_s=self.second_delay_s)

    def send_again(
        self, shard: ShardRun, *, reserve: float = 0.0, answer_by: float = float("inf")
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
        if shard.sent >= self.route.max_attempts or self.tools.losses.is_suspect(self.digest):
            return False
        now = self.tools.clock()
        pool = next(iter(self.ranked_pools(shard, now)), None)
        if pool is None or now >= self.attempt_deadline or pool.state.is_ejected(now):
            return False
        if now + self.expected_s(pool, now) > answer_by:
            return False
        if not self.tools.budget.take(shard.service, now=now, reserve=reserve):
            self.note("No further attempt: the budget is used up.", shard)
            return False
        self.send(shard, pool)
        return True

    def take(self, outcome: ExchangeOutcome) -> None:
        """Use the outcome of an attempt."""
        shard = self.shards[outcome.shard]
        attempt = shard.running.pop(outcome.attempt)
        if outcome.ran is not Ran.NOT_RUN:
            shard.ran = Ran.RUN if outcome.ran is Ran.RUN else Ran.UNKNOWN
        if outcome.end in (ExchangeEnd.CONNECT_FAILED, ExchangeEnd.MISDIRECTED):
            # Nothing of the request reached a server of this service.
            shard.sent -= 1
        if outcome.end is ExchangeEnd.LOST:
            self.tools.losses.note(self.digest, service=shard.service, server=outcome.server)
        if not shard.is_open:
            return
        if self.is_usable(outcome):
            self.open_count -= 1
            self.replied_count += 1
            shard.reply = outcome.reply
            shard.replied_at = attempt.began_at + outcome.latency
            return
        if outcome.reply is not None:
            shard.failure = outcome.reply
        self.note(
            "Attempt without an answer.",
            shard,
            server=outcome.server,
            end=outcome.end.value,
            ran=outcome.ran.value,
            status=outcome.reply.status if outcome.reply else None,
            detail=outcome.detail,
            latency_ms=round(outcome.latency * 1000),
        )
        if self.may_repeat(outcome) and self.send_again(shard):
            shard.second_at = float("inf")
            return
        if not shard.running:
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

    def may_repeat(self, outcome: ExchangeOutcome) -> bool:
        """Whether the request may be sent again after this outcome."""
        return self.route.idempotent or outcome.ran is Ran.NOT_RUN

    def abandon_missing(self) -> None:
        """Cancel the attempts of shards that the answer lacks: their work is of no use."""
        for shard in self.open_shards():
            for attempt in shard.running.values():
                attempt.cancel()

    def abandon(self) -> None:
        """Cancel all running attempts."""
        for shard in self.shards.values():
            for attempt in shard.running.values():
                attempt.cancel()

    def answer(self) -> ForwardedAnswer:
        """Return the answer from what has arrived."""
        shards = self.shards.values()
        if self.is_fan_out:
            replies = [shard.reply for shard in shards if shard.reply is not None]
            if has_required_coverage(self.route, len(replies)):
                self.abandon_missing()
                answer = merge_replies(self.route, replies)
                self.tools.expect(
                    len(replies) + answer.missing == len(self.shards),
                    "coverage_of_an_answer",
                    request_id=self.request.request_id,
                    replies=len(replies),
                    missing=answer.missing,
                    shards=len(self.shards),
                )
                if answer.missing and not self.missed_target:
                    answer.due_at = self.answer_by
                return answer
        else:
            shard = next(iter(shards))
            reply = shard.reply or (shard.failure if not shard.running else None)
            if reply is not None and (answer := relay_reply(reply)) is not None:
                return answer
        ran = Ran.NOT_RUN
        for shard in shards:
            if shard.running or shard.ran is not Ran.NOT_RUN:
                ran = Ran.UNKNOWN
        self.abandon()
        timed_out = self.tools.clock() >= self.end_of_wait()
        return failed_answer(ran=ran, timed_out=timed_out, random=self.tools.random)

    def slowest(self) -> list[dict[str, object]]:
        """Return the shards that an answer waited for longest, for the log."""
        began = self.request.received_at
        shards = sorted(self.shards.values(), key=lambda shard: shard.replied_at, reverse=True)
        return [
            {
                "service": shard.service,
                "reply_ms": milliseconds(shard.replied_at - began),
                "sent": [[server, milliseconds(at - began)] for server, at in shard.attempts],
            }
            for shard in shards[:SLOWEST_LOGGED]
        ]

    def note(self, event: str, shard: ShardRun, **details) -> None:
        """Log a decision about a shard."""
        self.tools.log.info(
            event,
            request_id=self.request.request_id,
            route=self.route.name,
            service=shard.service,
            sent=shard.sent,
            age_ms=round((self.tools.clock() - self.request.received_at) * 1000),
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
