"""Emulated entry hosts: the real forwarding code over pools in virtual time."""

from __future__ import annotations

import itertools
from collections.abc import Mapping
from random import Random

from rhubarbway.decisions.answer_margin import AnswerMargin
from rhubarbway.decisions.arrival_budget import ArrivalBudget
from rhubarbway.decisions.server_state import ServerState
from rhubarbway.model import (
    ExchangeEnd,
    ExchangeOutcome,
    ExecutionStatus,
    ForwardedAnswer,
    ForwardedRequest,
    ReplicaReply,
    Route,
)
from rhubarbway.services.forward_run import ForwardRun
from rhubarbway.services.forwarding_tools import ForwardingTools
from rhubarbway.services.invariants import require
from rhubarbway.services.kind_times import KindTimesByRoute
from rhubarbway.services.losses import LossService
from rhubarbway.services.server_pool import ServerAttempt
from rhubarbway.services.shared_retry_budget import SharedRetryBudget
from rhubarbway_emulator.clock import VirtualClock, VirtualInbox
from rhubarbway_emulator.servers import EmulatedServer, Job, lognormal_service_time

IN_ZONE_DELAY_S = 0.0001


class HostConfig:
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
        "cross_zone_delay_s",
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
        cross_zone_delay_s: float = 0.0044,
        retry_ratio: float = 0.2,
        retry_allowance: float = 58.0,
    ) -> None:
        self.hosts = hosts
        self.send_cpu_s = send_cpu_s
        self.reply_cpu_s = reply_cpu_s
        self.cross_zone_delay_s = cross_zone_delay_s
        self.retry_ratio = retry_ratio
        self.retry_allowance = retry_allowance


class EmulatedPool:
    """Attempts of one host at one server; has what ``ForwardRun`` uses of a ``ServerPool``."""

    __slots__ = ("emulated_server", "host", "server", "state")

    def __init__(self, *, host: EmulatedHost, emulated_server: EmulatedServer) -> None:
        self.host = host
        self.emulated_server = emulated_server
        self.server = emulated_server.server
        self.state = ServerState(server=emulated_server.server, now=host.clock.now)

    def submit(self, attempt: ServerAttempt) -> None:
        """Send an attempt to the server."""
        self.state.note_sent(attempt.number, attempt.handed_at)
        EmulatedExchange(pool=self, attempt=attempt).send()


class EmulatedExchange:
    """One attempt on its way; ``abort`` is what ``ServerAttempt.cancel`` calls."""

    __slots__ = ("attempt", "ended", "job", "pool")

    def __init__(self, *, pool: EmulatedPool, attempt: ServerAttempt) -> None:
        self.pool = pool
        self.attempt = attempt
        self.ended = False
        service_time_s = pool.host.sample_service_time_s(attempt.kind)
        self.job = Job(service_time_s=service_time_s, on_end=self.send_reply)
        # The attempt closes this like the connection of a real one.
        attempt.connection = self  # type: ignore[assignment]

    def one_way_delay_s(self) -> float:
        """Return the time of one way between host and server."""
        is_same_zone = self.pool.server.zone == self.pool.host.zone
        return IN_ZONE_DELAY_S if is_same_zone else self.pool.host.config.cross_zone_delay_s

    def send(self) -> None:
        """Let the request arrive at the server."""
        host = self.pool.host
        host.cross_zone_attempts += self.pool.server.zone != host.zone
        sent_at = host.reserve_cpu(host.config.send_cpu_s)
        host.clock.call_at(sent_at, self.record_departure)
        host.clock.call_at(sent_at + self.one_way_delay_s(), self.deliver_request)
        host.clock.call_at(self.attempt.deadline, self.time_out)

    def record_departure(self) -> None:
        """Note that the attempt waits for the server from now on."""
        self.attempt.waits_since = self.pool.host.clock.now

    def deliver_request(self) -> None:
        """Hand the request to the server, if it is still wanted."""
        if not self.ended and not self.pool.emulated_server.accept(self.job):
            self.schedule_end(ExchangeEnd.REFUSED, ExecutionStatus.NOT_RUN)

    def send_reply(self, is_complete: bool) -> None:
        """Send the reply back."""
        end = ExchangeEnd.ANSWERED if is_complete else ExchangeEnd.LOST
        self.schedule_end(end, ExecutionStatus.RUN if is_complete else ExecutionStatus.UNKNOWN)

    def schedule_end(self, end: ExchangeEnd, ran: ExecutionStatus) -> None:
        """Let the reply arrive at the host and be read there."""
        host = self.pool.host
        arrives_at = host.clock.now + self.one_way_delay_s()
        host.clock.call_at(
            arrives_at,
            lambda: host.clock.call_at(
                host.reserve_cpu(host.config.reply_cpu_s), lambda: self.finish(end, ran)
            ),
        )

    def time_out(self) -> None:
        """End the attempt at its time limit."""
        self.job.cancelled = True
        self.finish(ExchangeEnd.TIMED_OUT, ExecutionStatus.UNKNOWN)

    def abort(self, call_number: int) -> None:
        """End the attempt because its answer is not needed any more."""
        self.job.cancelled = True
        self.finish(ExchangeEnd.CANCELLED, ExecutionStatus.UNKNOWN)

    def finish(self, end: ExchangeEnd, ran: ExecutionStatus) -> None:
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
            latency_s=now - self.attempt.began_at,
            reply=REPLY if end is ExchangeEnd.ANSWERED else None,
        )
        self.pool.state.note_outcome(outcome, usual_s=self.attempt.usual_s, now=now)
        host.latencies.note(self.attempt, outcome)
        self.attempt.deliver(outcome)


REPLY = ReplicaReply(
    status=200, headers=(), body=b"r" * 16, server_stamp="p", ran=ExecutionStatus.RUN
)


class NullLog:
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
        "answer_margin",
        "clock",
        "config",
        "context",
        "cpu_free_at",
        "cross_zone_attempts",
        "latencies",
        "pools",
        "random",
        "service_times",
        "zone",
    )

    def __init__(
        self,
        *,
        zone: str,
        clock: VirtualClock,
        servers: Mapping[str, list[EmulatedServer]],
        service_times: Mapping[str, tuple[float, float]],
        config: HostConfig,
        random: Random,
    ) -> None:
        self.zone = zone
        self.clock = clock
        self.service_times = service_times
        self.config = config
        self.random = random
        self.cpu_free_at = 0.0
        # Attempts sent to another zone.
        self.cross_zone_attempts = 0
        self.answer_margin = AnswerMargin()
        self.latencies = KindTimesByRoute(clock=clock.time)
        self.pools = {
            service: [EmulatedPool(host=self, emulated_server=server) for server in found]
            for service, found in servers.items()
        }
        budget = ArrivalBudget(
            ratio=config.retry_ratio,
            allowance=config.retry_allowance,
            window_s=10.0,
            hosts=config.hosts,
        )
        self.context = ForwardingTools(
            pools_of=lambda service: self.pools.get(service, []),
            zone=zone,
            budget=SharedRetryBudget(budget=budget),
            next_number=itertools.count(1).__next__,
            second_attempt_delay=self.latencies.second_attempt_delay,
            usual_s=lambda route: self.latencies.of(route).usual_s,
            processing_s=lambda route: self.answer_margin.allowance(
                target_s=route.target_latency_s
            ),
            losses=LossService(),
            random=random,
            expect=require,
            log=NullLog(),
            clock=clock.time,
        )

    def server_states(self) -> list[ServerState]:
        """Return what the host has learnt about each server."""
        return [pool.state for pools in self.pools.values() for pool in pools]

    def reserve_cpu(self, seconds: float) -> float:
        """Take the processor for some time and return when that work is done."""
        self.cpu_free_at = max(self.cpu_free_at, self.clock.now) + seconds
        return self.cpu_free_at

    def sample_service_time_s(self, kind: str) -> float:
        """Return the time of work of the next request of a kind."""
        mean_s, sigma = self.service_times[kind]
        return lognormal_service_time(self.random, mean_s=mean_s, sigma=sigma)

    def answer(self, request: ForwardedRequest, route: Route) -> ForwardedAnswer | None:
        """Return the answer to a request; called by a task in virtual time."""
        inbox = VirtualInbox(clock=self.clock)
        # A caller that has left closes its connection.
        self.clock.call_at(request.deadline, inbox.disconnect_caller)
        forwarder = ForwardRun(
            request=request,
            digest=request.request_id,
            route=route,
            services=route.shards or (route.split[0].service,),
            inbox=inbox,  # type: ignore[arg-type]
            tools=self.context,
        )
        answer = forwarder.run()
        if answer is not None and answer.wait_ended_at is not None:
            # The processor may be busy with replies before it can encode the answer.
            self.clock.sleep(max(0.0, self.reserve_cpu(self.config.reply_cpu_s) - self.clock.now))
            self.answer_margin.note(self.clock.now - answer.wait_ended_at)
        return answer
