"""Emulated entry hosts: the production forwarding code over pools in virtual time."""

from __future__ import annotations

import itertools
from collections.abc import Callable, Mapping
from random import Random

from rhubarbway.decisions.answer_margin import AnswerMargin
from rhubarbway.decisions.delegation import (
    HOP_CPU_S,
    FanOutHost,
    choose_delegates,
)
from rhubarbway.decisions.replica_ranking import best_replica
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
    StatedLoad,
)
from rhubarbway.services.crashing_requests import CrashingRequestService
from rhubarbway.services.forwarding_context import ForwardingContext
from rhubarbway.services.invariants import require
from rhubarbway.services.request_forwarder import RequestForwarder
from rhubarbway.services.route_latencies import RouteLatencies
from rhubarbway.services.server_attempt import ServerAttempt
from rhubarbway.services.shared_retry_budget import SharedRetryBudget
from rhubarbway_emulator.clock import VirtualClock, VirtualInbox
from rhubarbway_emulator.servers import EmulatedServer, Job, lognormal_service_time

# One-way delay between a host and a server of the same zone, seconds.
IN_ZONE_DELAY_S = 0.0001
# Time that a server needs to accept a connection, and CPU time of a host to open one, seconds.
ACCEPT_S = 0.006
# Time after a notice of a server in which requests may still reach it, seconds.
NOTICE_SLACK_S = 0.5
CONNECT_CPU_S = 0.0005


ChooseReplica = Callable[..., "EmulatedPool | None"]


class HostConfig:
    """Parameters that all emulated hosts of a run share.

    CPU times and retry allowance default to those of ``Pattern``, not to those of gateway settings.

    Attributes
    ----------
    host_count : int
        Number of entry hosts that share the retry allowance.
    send_cpu_s, reply_cpu_s : float
        CPU time for each attempt sent and each reply read, seconds.
    cross_zone_delay_s : float
        One-way delay to another zone, seconds.
    connection_limit : float
        Connections of one host to one server at a time.
    retry_ratio, retry_allowance : float
        Limits of the extra attempts to a service in each window of the retry budget: a share of
        the requests, plus a number over all hosts.
    servers_state_load : bool
        Whether servers state their load in their replies.
    ranking : callable
        Returns the function by which the host of a name chooses replicas.
    """

    __slots__ = (
        "connection_limit",
        "cross_zone_delay_s",
        "host_count",
        "ranking",
        "reply_cpu_s",
        "retry_allowance",
        "retry_ratio",
        "send_cpu_s",
        "servers_state_load",
    )

    def __init__(
        self,
        *,
        host_count: int,
        send_cpu_s: float = 0.0004,
        reply_cpu_s: float = 0.0004,
        cross_zone_delay_s: float = 0.0044,
        retry_ratio: float = 0.2,
        retry_allowance: float = 58.0,
        connection_limit: float = float("inf"),
        servers_state_load: bool = False,
        ranking: Callable[[str], ChooseReplica] = lambda host_name: best_replica,
    ) -> None:
        self.connection_limit = connection_limit
        self.ranking = ranking
        self.servers_state_load = servers_state_load
        self.host_count = host_count
        self.send_cpu_s = send_cpu_s
        self.reply_cpu_s = reply_cpu_s
        self.cross_zone_delay_s = cross_zone_delay_s
        self.retry_ratio = retry_ratio
        self.retry_allowance = retry_allowance


class EmulatedPool:
    """Attempts of one host at one server, with the part of ``ServerPool`` that forwarding uses."""

    __slots__ = (
        "asked_at",
        "emulated_server",
        "host",
        "idle_connections",
        "process_number",
        "server",
        "state",
    )

    def __init__(self, *, host: EmulatedHost, emulated_server: EmulatedServer) -> None:
        self.idle_connections = 0
        # When the server last asked for no requests, or announced that it leaves.
        self.asked_at = float("-inf")
        self.host = host
        self.emulated_server = emulated_server
        self.server = emulated_server.server
        self.state = ServerState(server=emulated_server.server, now=host.clock.now)
        self.state.needs_connection = True
        # The process of the server that this host knows.
        self.process_number = 0
        self.state.max_connections = host.config.connection_limit

    def submit(self, attempt: ServerAttempt) -> None:
        """Send an attempt to the server, or queue it until a connection is free."""
        self.state.record_sent(attempt.number, attempt.submitted_at)
        limit = self.state.max_connections
        if self.state.load.submit(attempt, max_connections=limit, now=self.host.clock.now):
            self.start(attempt)
        else:
            attempt.waiting_since = attempt.submitted_at

    def start(self, attempt: ServerAttempt) -> None:
        """Send an attempt on an idle or a new connection."""
        needs_connection = self.idle_connections == 0
        self.idle_connections = max(0, self.idle_connections - 1)
        self.state.needs_connection = self.idle_connections == 0
        self.host.new_connections += needs_connection
        EmulatedExchange(pool=self, attempt=attempt).send(needs_connection=needs_connection)

    def apply_entry(self, *, warm_up_s: float) -> None:
        """Apply a changed entry of the server, which may have been started again."""
        now = self.host.clock.now
        if self.process_number != self.emulated_server.process_number():
            self.process_number = self.emulated_server.process_number()
            self.idle_connections = 0
            before, self.state = self.state, ServerState(server=self.server, now=now)
            self.state.cold_limit = before.cold_limit
            # The attempts that wait for a connection go to the new process.
            self.state.load = before.load
            self.state.max_connections = before.max_connections
            self.state.needs_connection = True
        self.state.warm_at = now + warm_up_s

    def try_acquire(self) -> bool:
        """Return whether an attempt may leave now; count it if the server is cold."""
        now = self.host.clock.now
        if not (self.state.is_cold(now) and self.state.cold_limit.is_limited()):
            return True
        if not self.state.accepts_requests(now):
            return False
        self.state.cold_limit.record_sent(now)
        return True

    def finish_exchange(self) -> None:
        """Send what waits for the connection of an exchange that has ended."""
        now = self.host.clock.now
        limit = self.state.max_connections
        while (attempt := self.state.load.take(max_connections=limit, now=now)) is not None:
            if attempt.cancelled or now >= attempt.deadline:
                self.end_unsent(attempt)
            else:
                self.start(attempt)

    def end_unsent(self, attempt: ServerAttempt) -> None:
        """Deliver the outcome of an attempt that was cancelled while it waited."""
        now = self.host.clock.now
        self.state.load.record_end(attempt.number, took_s=0.0, was_answered=False, now=now)
        outcome = ExchangeOutcome(
            attempt=attempt.number,
            shard=attempt.shard,
            server=self.server.id,
            end=ExchangeEnd.CANCELLED,
            ran=ExecutionStatus.NOT_RUN,
            latency_s=now - attempt.latency_start,
        )
        self.state.record_outcome(outcome, typical_s=attempt.typical_s, now=now)
        attempt.deliver(outcome)

    def apply_notice(self, quiet_s: float) -> None:
        """Apply what the server states in a reply that this host has just read."""
        now = self.host.clock.now
        if quiet_s:
            self.state.quiet_until = max(self.state.quiet_until, now + quiet_s)
            self.asked_at = now
        if self.emulated_server.is_leaving() and not self.state.leaving:
            self.state.leaving = True
            self.asked_at = now

    def check_notices(self) -> None:
        """Count a request that reaches a server which wanted none for half a second or longer."""
        now = self.host.clock.now
        if not self.state.accepts_requests(now) and now > self.asked_at + NOTICE_SLACK_S:
            self.host.unwanted_attempts += 1

    def release_connection(self) -> None:
        """Keep the connection of an exchange that ended with a reply for the next one."""
        self.idle_connections += 1
        self.state.needs_connection = False


class EmulatedExchange:
    """One attempt in flight.

    It takes the place of the attempt's connection, on which ``ServerAttempt.cancel`` calls
    ``abort``.
    """

    __slots__ = ("attempt", "ended", "job", "load", "pool", "quiet_s")

    def __init__(self, *, pool: EmulatedPool, attempt: ServerAttempt) -> None:
        self.pool = pool
        self.attempt = attempt
        self.ended = False
        # Time without requests that the server's reply asks for, seconds.
        self.quiet_s = 0.0
        # Load that the server states in its reply.
        self.load: StatedLoad | None = None
        service_time_s = pool.host.sample_service_time_s(attempt.route_name)
        self.job = Job(service_time_s=service_time_s, on_end=self.send_reply)
        attempt.connection = self  # type: ignore[assignment]

    def one_way_delay_s(self) -> float:
        """Return the one-way delay between host and server, seconds."""
        is_same_zone = self.pool.server.zone == self.pool.host.zone
        return IN_ZONE_DELAY_S if is_same_zone else self.pool.host.config.cross_zone_delay_s

    def send(self, *, needs_connection: bool) -> None:
        """Schedule departure, arrival and timeout of the request."""
        host = self.pool.host
        host.cross_zone_attempts += self.pool.server.zone != host.zone
        sent_at = host.reserve_cpu(host.config.send_cpu_s)
        if needs_connection:
            sent_at = host.reserve_cpu(CONNECT_CPU_S) + ACCEPT_S + 2 * self.one_way_delay_s()
        host.clock.call_at(sent_at, self.record_departure)
        host.clock.call_at(sent_at + self.one_way_delay_s(), self.deliver_request)
        host.clock.call_at(self.attempt.deadline, self.time_out)

    def record_departure(self) -> None:
        """Record the instant from which the attempt waits for the server.

        It is withdrawn instead if the server is cold and gets no further request now.
        """
        self.attempt.sent_at = self.pool.host.clock.now
        if self.attempt.waiting_since is None:
            self.attempt.waiting_since = self.attempt.sent_at
        if not self.ended and not self.pool.try_acquire():
            self.finish(ExchangeEnd.WITHDRAWN, ExecutionStatus.NOT_RUN)

    def deliver_request(self) -> None:
        """Hand the request to the server, unless the exchange has ended."""
        if self.ended:
            return
        self.pool.check_notices()
        if not self.pool.emulated_server.connect(self.pool.host.name):
            self.schedule_end(ExchangeEnd.LOST, ExecutionStatus.UNKNOWN)
            return
        if self.pool.process_number != self.pool.emulated_server.process_number():
            self.schedule_end(ExchangeEnd.MISDIRECTED, ExecutionStatus.NOT_RUN)
            return
        if not self.pool.emulated_server.accept(self.job):
            self.quiet_s = self.pool.emulated_server.quiet_s()
            self.schedule_end(ExchangeEnd.REFUSED, ExecutionStatus.NOT_RUN)

    def send_reply(self, is_complete: bool) -> None:
        """Send the reply of the job; the reply is lost if the job did not run to completion."""
        end = ExchangeEnd.ANSWERED if is_complete else ExchangeEnd.LOST
        self.schedule_end(end, ExecutionStatus.RUN if is_complete else ExecutionStatus.UNKNOWN)

    def schedule_end(self, end: ExchangeEnd, ran: ExecutionStatus) -> None:
        """Schedule the end of the exchange for when the host has read the reply."""
        host = self.pool.host
        if host.config.servers_state_load and end is not ExchangeEnd.LOST:
            self.load = self.pool.emulated_server.stated_load()
        arrives_at = host.clock.now + self.one_way_delay_s()
        host.clock.call_at(
            arrives_at,
            lambda: host.clock.call_at(
                host.reserve_cpu(host.config.reply_cpu_s), lambda: self.finish(end, ran)
            ),
        )

    def time_out(self) -> None:
        """Cancel the job and end the exchange at the attempt's deadline."""
        self.job.cancelled = True
        self.finish(ExchangeEnd.TIMED_OUT, ExecutionStatus.UNKNOWN)

    def abort(self, call_number: int) -> None:
        """Cancel the job and end the exchange, whose answer is no longer needed."""
        self.job.cancelled = True
        self.finish(ExchangeEnd.CANCELLED, ExecutionStatus.UNKNOWN)

    def finish(self, end: ExchangeEnd, ran: ExecutionStatus) -> None:
        """Record and deliver the outcome, unless the exchange has already ended."""
        if self.ended:
            return
        self.ended = True
        if end in (ExchangeEnd.ANSWERED, ExchangeEnd.REFUSED):
            self.pool.release_connection()
            self.pool.apply_notice(self.quiet_s)
            if self.load is not None:
                self.pool.state.record_load(self.load, self.pool.host.clock.now)
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
        sent_at = self.attempt.sent_at
        self.pool.state.load.record_end(
            self.attempt.number,
            took_s=0.0 if sent_at is None else now - sent_at,
            was_answered=end is ExchangeEnd.ANSWERED,
            now=now,
        )
        self.pool.finish_exchange()
        host.latencies.record(self.attempt, outcome)
        self.attempt.deliver(outcome)


# Successful reply of every server: one record.
REPLY = ReplicaReply(status=200, headers=(), body=b"r" * 16, signature="p", ran=ExecutionStatus.RUN)


class NullLog:
    """Log that drops all lines."""

    __slots__ = ()

    def info(self, event: str, **details: object) -> None:
        """Drop a line."""


class EmulatedHost:
    """One entry host.

    Parameters
    ----------
    service_times : mapping of str to tuple of (float, float)
        Mean service time (seconds) and standard deviation of its logarithm, by name of route.
    name : str
        Name of the host.
    cores, speed : float
        Cores of the host, and its speed relative to the CPU times of the configuration.
    """

    __slots__ = (
        "answer_margin",
        "clock",
        "config",
        "context",
        "cores",
        "cpu_free_at",
        "cross_zone_attempts",
        "delegates",
        "fellow_hosts",
        "latencies",
        "name",
        "new_connections",
        "pools",
        "random",
        "service_times",
        "speed",
        "unwanted_attempts",
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
        name: str,
        cores: float,
        speed: float,
    ) -> None:
        self.name = name
        self.cores = cores
        self.speed = speed
        # By name; the experiment sets it.
        self.fellow_hosts: dict[str, EmulatedHost] = {}
        # By route; the hosts of a run do not change.
        self.delegates: dict[str, list[EmulatedHost]] = {}
        self.zone = zone
        self.clock = clock
        self.service_times = service_times
        self.config = config
        self.random = random
        self.cpu_free_at = 0.0
        # Attempts sent to another zone, and connections opened.
        self.cross_zone_attempts = 0
        self.new_connections = 0
        # Attempts that reached a server which had asked for none, or had announced that it leaves.
        self.unwanted_attempts = 0
        self.answer_margin = AnswerMargin()
        self.latencies = RouteLatencies(clock=clock.time)
        self.pools = {
            service: [EmulatedPool(host=self, emulated_server=server) for server in service_servers]
            for service, service_servers in servers.items()
        }
        budget = SlidingWindowBudget(
            ratio=config.retry_ratio,
            allowance=config.retry_allowance,
            window_s=10.0,
            host_count=config.host_count,
        )
        self.context = ForwardingContext(
            pools_of=lambda service: [
                pool
                for pool in self.pools.get(service, [])
                if not (pool.state.leaving or pool.state.evacuated)
            ],
            zone=zone,
            budget=SharedRetryBudget(budget=budget),
            next_attempt_number=itertools.count(1).__next__,
            hedge_delay_s=self.latencies.hedge_delay_s,
            typical_s=lambda route: self.latencies.for_route(route).typical_s,
            exchange_s=lambda route: self.latencies.for_route(route).exchange_s,
            processing_s=lambda route: self.answer_margin.margin_s(
                target_latency_s=route.target_latency_s
            ),
            crashing_requests=CrashingRequestService(),
            random=random,
            expect=require,
            log=NullLog(),
            clock=clock.time,
            choose_replica=config.ranking(name),  # type: ignore[arg-type]
        )

    def begin_evacuation(self, zone: str) -> None:
        """Stop using the servers of a zone."""
        for pools in self.pools.values():
            for pool in pools:
                if pool.server.zone == zone:
                    pool.state.evacuated = True

    def end_evacuation(self, zone: str) -> None:
        """Use the servers of a zone again, through new pools."""
        for pools in self.pools.values():
            pools[:] = [
                (
                    EmulatedPool(host=self, emulated_server=pool.emulated_server)
                    if pool.server.zone == zone
                    else pool
                )
                for pool in pools
            ]

    def server_states(self) -> list[ServerState]:
        """Return the state of each server as this host has observed it."""
        return [pool.state for pools in self.pools.values() for pool in pools]

    def reserve_cpu(self, seconds: float) -> float:
        """Reserve the CPU for some time and return the instant at which that work is done."""
        self.cpu_free_at = max(self.cpu_free_at, self.clock.now) + seconds / self.speed
        return self.cpu_free_at

    def sample_service_time_s(self, route_name: str) -> float:
        """Draw the service time of an attempt on a route, seconds."""
        mean_s, sigma = self.service_times[route_name]
        return lognormal_service_time(self.random, mean_s=mean_s, sigma=sigma)

    def answer(self, request: ForwardedRequest, route: Route) -> ForwardedAnswer | None:
        """Return the answer to a request; must be called by a task of the virtual clock.

        The host delegates a fan-out if another host is better at it.
        """
        delegate = self.choose_delegate(route)
        if delegate is None:
            return self.answer_here(request, route)
        same_zone = delegate.zone == self.zone
        delay_s = IN_ZONE_DELAY_S if same_zone else self.config.cross_zone_delay_s
        hop_cpu_s = HOP_CPU_S / 2 * self.cores
        for host in (self, delegate):
            self.clock.sleep(host.reserve_cpu(hop_cpu_s) - self.clock.now)
            self.clock.sleep(delay_s / 2)
        # The answer travels back for as long as the request travelled here.
        early_request = ForwardedRequest(
            request_id=request.request_id,
            method=request.method,
            target=request.target,
            host=request.host,
            received_at=request.received_at - delay_s,
            deadline=request.deadline - delay_s,
        )
        answer = delegate.answer_here(early_request, route)
        for host in (delegate, self):
            self.clock.sleep(host.reserve_cpu(hop_cpu_s) - self.clock.now)
            self.clock.sleep(delay_s / 2)
        return answer

    def choose_delegate(self, route: Route) -> EmulatedHost | None:
        """Return the host to which a fan-out is delegated, or None if the request runs here."""
        if not route.shards:
            return None
        if route.name not in self.delegates:
            self.delegates[route.name] = self.find_delegates(route)
        delegates = self.delegates[route.name]
        return self.random.choice(delegates) if delegates else None

    def find_delegates(self, route: Route) -> list[EmulatedHost]:
        """Return the hosts to one of which fan-outs of a route are delegated."""
        delegates = choose_delegates(
            FanOutHost(address=self.name, zone=self.zone, cores=self.cores),
            [
                FanOutHost(address=host.name, zone=host.zone, cores=host.cores)
                for host in self.fellow_hosts.values()
            ],
            shard_count=len(route.shards),
            remote_shards=self.count_remote_shards,
        )
        return [self.fellow_hosts[host.address] for host in delegates]

    def count_remote_shards(self, zone: str) -> int:
        """Return the number of shards that have no server in a zone."""
        return sum(all(pool.server.zone != zone for pool in pools) for pools in self.pools.values())

    def answer_here(self, request: ForwardedRequest, route: Route) -> ForwardedAnswer | None:
        """Return the answer to a request, whose fan-out runs on this host."""
        inbox = VirtualInbox(clock=self.clock)
        # The caller closes its connection at the deadline.
        self.clock.call_at(request.deadline, inbox.disconnect_caller)
        forwarder = RequestForwarder(
            request=request,
            digest=request.request_id,
            route=route,
            services=route.shards or (route.split[0].service,),
            inbox=inbox,  # type: ignore[arg-type]
            context=self.context,
        )
        answer = forwarder.run()
        if answer is not None and answer.target_deadline is not None:
            # The CPU may be busy with replies before it can encode the answer.
            self.clock.sleep(max(0.0, self.reserve_cpu(self.config.reply_cpu_s) - self.clock.now))
            self.answer_margin.record(self.clock.now - answer.target_deadline)
        return answer
