"""Emulated entry hosts: the real forwarding code over pools in virtual time."""

from __future__ import annotations

import itertools
from collections.abc import Mapping
from random import Random

from rhubarbway.decisions.answer_margin import AnswerMargin
from rhubarbway.decisions.server_state import ServerState
from rhubarbway.decisions.sliding_window_budget import SlidingWindowBudget
from rhubarbway.model import (
    ExchangeEnd,
    ExchangeOutcome,
    ExecutionStatus,
    ForwardedAnswer,
    ForwardedRequest,
    ReplicaReply,
    Route,
)
from rhubarbway.services.crashing_requests import CrashingRequestService
from rhubarbway.services.forwarding_context import ForwardingContext
from rhubarbway.services.invariants import require
from rhubarbway.services.request_forwarder import RequestForwarder
from rhubarbway.services.route_latencies import RouteLatencies
from rhubarbway.services.server_pool import ServerAttempt
from rhubarbway.services.shared_retry_budget import SharedRetryBudget
from rhubarbway_emulator.clock import VirtualClock, VirtualInbox
from rhubarbway_emulator.servers import EmulatedServer, Job, work_time

IN_ZONE_S = 0.0001


class HostLimits:
    """What a host may use.

    Attributes
    ----------
    hosts : int
        Entry hosts that share the retry allowance.
    send_cpu_s, reply_cpu_s : float
        Time of the host's processor for each attempt sent and each reply read, seconds.
    between_zones_s : float
        One way to another zone, seconds.
    retry_ratio, retry_allowance : float
        Limit of further attempts.
    """

    __slots__ = (
        "between_zones_s",
        "hosts",
        "reply_cpu_s",
        "retry_allowance",
        "retry_ratio",
        "send_cpu_s",
    )

    def __init__(
        self,
        *,
        hosts: int,
        send_cpu_s: float = 0.0004,
        reply_cpu_s: float = 0.0004,
        between_zones_s: float = 0.0044,
        retry_ratio: float = 0.2,
        retry_allowance: float = 58.0,
    ) -> None:
        self.hosts = hosts
        self.send_cpu_s = send_cpu_s
        self.reply_cpu_s = reply_cpu_s
        self.between_zones_s = between_zones_s
        self.retry_ratio = retry_ratio
        self.retry_allowance = retry_allowance


class EmulatedPool:
    """Attempts of one host at one server; has what ``RequestForwarder`` uses of ``ServerPool``."""

    __slots__ = ("emulated", "host", "server", "state")

    def __init__(self, *, host: EmulatedHost, emulated: EmulatedServer) -> None:
        self.host = host
        self.emulated = emulated
        self.server = emulated.server
        self.state = ServerState(server=emulated.server, now=host.clock.now)

    def submit(self, attempt: ServerAttempt) -> None:
        """Send an attempt to the server."""
        self.state.record_sent(attempt.number, attempt.submitted_at)
        Exchange(pool=self, attempt=attempt).send()


class Exchange:
    """One attempt on its way; ``abort`` is what ``ServerAttempt.cancel`` calls."""

    __slots__ = ("attempt", "ended", "job", "pool")

    def __init__(self, *, pool: EmulatedPool, attempt: ServerAttempt) -> None:
        self.pool = pool
        self.attempt = attempt
        self.ended = False
        work_s = pool.host.work_s(attempt.route_name)
        self.job = Job(work_s=work_s, done=self.note_done)
        # The attempt closes this like the connection of a real one.
        attempt.connection = self  # type: ignore[assignment]

    def distance_s(self) -> float:
        """Return the time of one way between host and server."""
        same = self.pool.server.zone == self.pool.host.zone
        return IN_ZONE_S if same else self.pool.host.limits.between_zones_s

    def send(self) -> None:
        """Let the request arrive at the server."""
        host = self.pool.host
        host.crossing += self.pool.server.zone != host.zone
        sent_at = host.use_cpu(host.limits.send_cpu_s)
        host.clock.call_at(sent_at, self.leave_host)
        host.clock.call_at(sent_at + self.distance_s(), self.arrive)
        host.clock.call_at(self.attempt.deadline, self.time_out)

    def leave_host(self) -> None:
        """Note that the attempt waits for the server from now on."""
        self.attempt.waiting_since = self.pool.host.clock.now

    def arrive(self) -> None:
        """Hand the request to the server, if it is still wanted."""
        if not self.ended and not self.pool.emulated.accept(self.job):
            self.reply(ExchangeEnd.REFUSED, ExecutionStatus.NOT_RUN)

    def note_done(self, whole: bool) -> None:
        """Send the reply back."""
        end = ExchangeEnd.ANSWERED if whole else ExchangeEnd.LOST
        self.reply(end, ExecutionStatus.RUN if whole else ExecutionStatus.UNKNOWN)

    def reply(self, end: ExchangeEnd, ran: ExecutionStatus) -> None:
        """Let the reply arrive at the host and be read there."""
        host = self.pool.host
        back_at = host.clock.now + self.distance_s()
        host.clock.call_at(
            back_at,
            lambda: host.clock.call_at(
                host.use_cpu(host.limits.reply_cpu_s), lambda: self.end(end, ran)
            ),
        )

    def time_out(self) -> None:
        """End the attempt at its time limit."""
        self.job.cancelled = True
        self.end(ExchangeEnd.TIMED_OUT, ExecutionStatus.UNKNOWN)

    def abort(self, call_number: int) -> None:
        """End the attempt because its answer is not needed any more."""
        self.job.cancelled = True
        self.end(ExchangeEnd.CANCELLED, ExecutionStatus.UNKNOWN)

    def end(self, end: ExchangeEnd, ran: ExecutionStatus) -> None:
        """Deliver the outcome, once."""
        if self.ended:
            return
        self.ended = True
        host = self.pool.host
        now = host.clock.now
        outcome = ExchangeOutcome(
            attempt=self.attempt.number,
            shard=self.attempt.shard,
            server=self.pool.server.id,
            end=end,
            ran=ran,
            latency_s=now - self.attempt.latency_start,
            reply=REPLY if end is ExchangeEnd.ANSWERED else None,
        )
        self.pool.state.record_outcome(outcome, typical_s=self.attempt.typical_s, now=now)
        host.times.record(self.attempt, outcome)
        self.attempt.deliver(outcome)


REPLY = ReplicaReply(status=200, headers=(), body=b"r" * 16, signature="p", ran=ExecutionStatus.RUN)


class QuietLog:
    """Takes the lines of the forwarding code and drops them."""

    __slots__ = ()

    def info(self, event: str, **details: object) -> None:
        """Drop a line."""


class EmulatedHost:
    """One entry host.

    Parameters
    ----------
    work : mapping of str to tuple of (float, float)
        Mean time of work (seconds) and relative spread by name of route.
    """

    __slots__ = (
        "clock",
        "cpu_free_at",
        "crossing",
        "limits",
        "margin",
        "pools",
        "random",
        "times",
        "tools",
        "work",
        "zone",
    )

    def __init__(
        self,
        *,
        zone: str,
        clock: VirtualClock,
        servers: Mapping[str, list[EmulatedServer]],
        work: Mapping[str, tuple[float, float]],
        limits: HostLimits,
        random: Random,
    ) -> None:
        self.zone = zone
        self.clock = clock
        self.work = work
        self.limits = limits
        self.random = random
        self.cpu_free_at = 0.0
        # Attempts sent to another zone.
        self.crossing = 0
        self.margin = AnswerMargin()
        self.times = RouteLatencies(clock=clock.time)
        self.pools = {
            service: [EmulatedPool(host=self, emulated=server) for server in found]
            for service, found in servers.items()
        }
        budget = SlidingWindowBudget(
            ratio=limits.retry_ratio,
            allowance=limits.retry_allowance,
            window_s=10.0,
            hosts=limits.hosts,
        )
        self.tools = ForwardingContext(
            pools_of=lambda service: self.pools.get(service, []),
            zone=zone,
            budget=SharedRetryBudget(budget=budget),
            next_attempt_number=itertools.count(1).__next__,
            hedge_delay_s=self.times.hedge_delay_s,
            typical_s=lambda route: self.times.for_route(route).typical_s,
            processing_s=lambda route: self.margin.margin_s(target_s=route.target_latency_s),
            crashing_requests=CrashingRequestService(),
            random=random,
            expect=require,
            log=QuietLog(),
            clock=clock.time,
        )

    def states(self) -> list[ServerState]:
        """Return what the host has learnt about each server."""
        return [pool.state for pools in self.pools.values() for pool in pools]

    def use_cpu(self, seconds: float) -> float:
        """Take the processor for some time and return when that work is done."""
        self.cpu_free_at = max(self.cpu_free_at, self.clock.now) + seconds
        return self.cpu_free_at

    def work_s(self, kind: str) -> float:
        """Return the time of work of the next request of a kind."""
        mean_s, spread = self.work[kind]
        return work_time(self.random, mean_s=mean_s, spread=spread)

    def answer(self, request: ForwardedRequest, route: Route) -> ForwardedAnswer | None:
        """Return the answer to a request; called by a task in virtual time."""
        inbox = VirtualInbox(clock=self.clock)
        # A caller that has left closes its connection.
        self.clock.call_at(request.deadline, inbox.leave)
        run = RequestForwarder(
            request=request,
            digest=request.request_id,
            route=route,
            services=route.shards or (route.split[0].service,),
            inbox=inbox,  # type: ignore[arg-type]
            context=self.tools,
        )
        answer = run.run()
        if answer is not None and answer.wait_ended_at is not None:
            # The processor may be busy with replies before it can encode the answer.
            self.clock.sleep(max(0.0, self.use_cpu(self.limits.reply_cpu_s) - self.clock.now))
            self.margin.record(self.clock.now - answer.wait_ended_at)
        return answer
