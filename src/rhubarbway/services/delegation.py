"""Service that delegates wide fan-outs to other entry hosts, and runs those of other hosts.

The task of the caller's connection passes the request on and waits for the answer. Whenever it is
certain that the delegate has sent nothing to any server, the fan-out runs on this host instead.
"""

from __future__ import annotations

import itertools
import socket
import threading
import time
from collections.abc import Callable
from random import Random

import h11
from returns.result import Result, Success
from werkzeug.wrappers import Request, Response

from rhubarbway.decisions.delegation import (
    CROSS_ZONE_ROUND_TRIP_S,
    IN_ZONE_ROUND_TRIP_S,
    FanOutHost,
    choose_delegates,
)
from rhubarbway.decisions.forward_answers import failed_answer
from rhubarbway.decisions.replica_ranking import RankingView, best_replica
from rhubarbway.edge.http_server import ACCOUNT_KEY, HEAD_KEY, SOCKET_KEY
from rhubarbway.kernel import Kernel
from rhubarbway.model import (
    BackendServer,
    ExchangeEnd,
    ExchangeOutcome,
    ExecutionStatus,
    ForwardedAnswer,
    ForwardedRequest,
    Route,
    RoutingTable,
    ServerNotice,
)
from rhubarbway.services.caller_inbox import CallerInbox
from rhubarbway.services.exchange_outcomes import make_outcome
from rhubarbway.services.fleet import FleetService
from rhubarbway.services.forwarding import ForwardingService
from rhubarbway.services.log import component_logger
from rhubarbway.services.metrics import MetricsService
from rhubarbway.services.names import FLEET, FORWARDING, METRICS, REGISTRY, ROUTING, SERVERS
from rhubarbway.services.registry import RegistryService
from rhubarbway.services.route_latencies import RouteLatencies
from rhubarbway.services.routing import RoutingService
from rhubarbway.services.server_attempt import ServerAttempt
from rhubarbway.services.server_codec import ServerCodec
from rhubarbway.services.server_pool import ServerPool
from rhubarbway.services.servers import ServerService

# Name of the "service" that delegates form, in outcomes and metrics.
DELEGATES = "fan-out delegates"
# Precedes the body of a delegated request. The delegate gets it only after it has acknowledged the
# head, and runs only whole requests, so that this host may run the fan-out itself before that.
START_MARK = b"\n"
# Time limits of a delegated request, seconds: for the connection, and for the acknowledgement. A
# delegate that is paused or cut off costs the caller this much.
CONNECT_TIMEOUT_S = 0.1
ACKNOWLEDGEMENT_TIMEOUT_S = 0.045
# The answer of a delegate is awaited until this long before the caller's deadline, seconds.
DEADLINE_MARGIN_S = 0.01
# Processor time and waits at this host between the arrival of an answer and its departure, seconds.
RELAY_S = 0.003
# Connections to one delegate at a time.
CONNECTIONS_PER_DELEGATE = 8
# Fan-outs of other hosts that a host runs at a time, for each whole core. A fan-out over 63 shards
# takes 21 ms of a core, and waits for servers most of the time.
DELEGATED_PER_CORE = 16
# Time for which the choice of delegates of a route is kept, seconds. It takes about 0.2 ms.
CHOICE_LIFETIME_S = 0.5
# Nominal slots of a delegate, for the ranking by load.
DELEGATE_SLOTS = 16

DecodeRequest = Callable[..., Result[ForwardedRequest, str]]
EncodeAnswer = Callable[..., Response]
DecodeOrigin = Callable[..., tuple[int, float] | None]


class DelegationWire:
    """Encoders and decoders of delegated requests and their answers.

    Attributes
    ----------
    make_codec : callable
        Returns the codec of requests to delegates: ``make_codec(version=..., return_time_s=...)``.
    decode_origin : callable
        Returns version and elapsed time (seconds) from the headers of a delegated request, or None.
    decode, encode : callable
        Decoder of callers' requests and encoder of answers.
    """

    __slots__ = ("decode", "decode_origin", "encode", "make_codec")

    def __init__(
        self,
        *,
        make_codec: Callable[..., ServerCodec],
        decode_origin: DecodeOrigin,
        decode: DecodeRequest,
        encode: EncodeAnswer,
    ) -> None:
        self.make_codec = make_codec
        self.decode_origin = decode_origin
        self.decode = decode
        self.encode = encode


class DelegateChoice:
    """Delegates of one route, and the instant until which the choice is kept."""

    __slots__ = ("pools", "valid_until")

    def __init__(self, *, pools: list[ServerPool], valid_until: float) -> None:
        self.pools = pools
        self.valid_until = valid_until


class DelegationService:
    """Delegates fan-outs, and answers the requests that other hosts delegate to this one.

    Parameters
    ----------
    cores : float
        Processor of this host in whole cores.
    wire : DelegationWire
        Wire format of delegated requests.
    """

    __slots__ = (
        "choices",
        "codec",
        "cores",
        "fleet",
        "forwarding",
        "latencies",
        "lock",
        "log",
        "metrics",
        "next_attempt_number",
        "pools",
        "random",
        "registry",
        "routing",
        "running",
        "servers",
        "wire",
    )

    def __init__(self, *, cores: float, wire: DelegationWire) -> None:
        self.cores = cores
        self.wire = wire
        self.codec = wire.make_codec(version=self.version, return_time_s=self.return_time_s)
        self.choices: dict[str, DelegateChoice] = {}
        # By address and incarnation of the host.
        self.pools: dict[tuple[str, str], ServerPool] = {}
        self.lock = threading.Lock()
        self.latencies = RouteLatencies()
        self.next_attempt_number = itertools.count(1).__next__
        # Number of delegated requests that this host runs now.
        self.running = 0
        self.random = Random()
        self.log = component_logger("delegation")
        self.fleet: FleetService
        self.forwarding: ForwardingService
        self.metrics: MetricsService
        self.registry: RegistryService
        self.routing: RoutingService
        self.servers: ServerService

    def start(self, kernel: Kernel) -> None:
        """Find the services that delegation needs, and take requests of other hosts."""
        self.fleet = kernel.find(FLEET)
        self.forwarding = kernel.find(FORWARDING)
        self.metrics = kernel.find(METRICS)
        self.registry = kernel.find(REGISTRY)
        self.routing = kernel.find(ROUTING)
        self.servers = kernel.find(SERVERS)
        self.routing.listeners.append(self.apply_table)
        self.servers.runs_fan_outs = self.runs_fan_outs
        self.fleet.delegated_request_handler = self.respond

    def stop(self) -> None:
        """Close the connections to delegates."""
        with self.lock:
            pools, self.pools = list(self.pools.values()), {}
        for pool in pools:
            pool.close()

    def apply_table(self, table: RoutingTable) -> None:
        """Forget the choices for the routes of the last routing table."""
        self.choices = {}

    def version(self) -> int:
        """Return the version of the configuration in force."""
        return self.routing.version

    def return_time_s(self, delegate: BackendServer) -> float:
        """Return the time that an answer needs from a delegate to the caller's connection, s."""
        is_local = delegate.zone == self.fleet.view.own.zone
        round_trip_s = IN_ZONE_ROUND_TRIP_S if is_local else CROSS_ZONE_ROUND_TRIP_S
        return round_trip_s / 2 + RELAY_S

    def answer(
        self, request: ForwardedRequest, *, sock: socket.socket | None
    ) -> ForwardedAnswer | None:
        """Return the answer to a caller's request, or None if the caller has disconnected.

        The parameters are those of ``ForwardingService.answer``.
        """
        current = self.routing.in_force
        route = current.index.match(request.host, request.path) if current else None
        pool = self.best_delegate(route) if route is not None and route.shards else None
        if route is None or pool is None:
            return self.forwarding.answer(request, sock=sock)
        with self.forwarding.stop_notice.watched(CallerInbox(sock=sock)) as inbox:
            outcome = self.run_on_delegate(request, route, pool, inbox)
        if outcome is None:
            return None
        self.metrics.count_delegation(end=outcome.end.value)
        lacks_room = outcome.reply is not None and outcome.reply.lacks_room
        if outcome.ran is ExecutionStatus.NOT_RUN and not lacks_room:
            self.log.info(
                "Delegated request not taken; running it here.",
                request_id=request.request_id,
                delegate=outcome.server,
                end=outcome.end.value,
                detail=outcome.detail,
                after_ms=round(outcome.latency_s * 1000),
            )
            return self.forwarding.answer(request, sock=sock)
        return self.relay(request, route, outcome)

    def run_on_delegate(
        self, request: ForwardedRequest, route: Route, pool: ServerPool, inbox: CallerInbox
    ) -> ExchangeOutcome | None:
        """Pass a request to a delegate and return the outcome, or None if the caller has left."""
        now = time.monotonic()
        deadline = min(request.deadline, request.received_at + route.timeout_s) - DEADLINE_MARGIN_S
        delegated = ForwardedRequest(
            request_id=request.request_id,
            method=request.method,
            target=request.target,
            host=request.host,
            headers=request.headers,
            body=START_MARK + request.body,
            received_at=request.received_at,
            deadline=request.deadline,
        )
        delegated.account = request.account
        attempt = ServerAttempt(
            number=self.next_attempt_number(),
            request=delegated,
            shard=DELEGATES,
            route_name=route.name,
            deadline=deadline,
            submitted_at=now,
            typical_s=self.latencies.for_route(route).typical_s,
            priority=route.priority,
            deliver=inbox.put,
        )
        pool.submit(attempt)
        while True:
            now = time.monotonic()
            answer_by = self.forwarding.stop_notice.answer_by
            if now >= answer_by:
                ran = ExecutionStatus.NOT_RUN if attempt.cancel() else ExecutionStatus.UNKNOWN
                return make_outcome(
                    attempt, pool.server, ExchangeEnd.TIMED_OUT, ran, detail="this host stops"
                )
            # The attempt ends by itself shortly after its deadline.
            outcomes = inbox.receive(min(max(0.0, deadline - now) + 1.0, answer_by - now))
            if inbox.caller_left:
                attempt.cancel()
                return None
            if outcomes:
                return outcomes[0]

    def relay(
        self, request: ForwardedRequest, route: Route, outcome: ExchangeOutcome
    ) -> ForwardedAnswer:
        """Return the answer of a delegate, or a failure if none arrived."""
        took_s = time.monotonic() - request.received_at
        is_late = took_s > route.target_latency_s
        if outcome.reply is not None:
            answer = ForwardedAnswer(status=outcome.reply.status, reply=outcome.reply)
        else:
            answer = failed_answer(
                ran=ExecutionStatus.UNKNOWN,
                timed_out=outcome.end is ExchangeEnd.TIMED_OUT,
                random=self.random,
            )
        self.metrics.observe_forwarded(
            host=route.host, route=route.name, result="delegated", seconds=took_s, missing=0
        )
        if answer.status >= 300 or is_late:
            self.log.info(
                "Answered by a delegate.",
                request_id=request.request_id,
                route=route.name,
                delegate=outcome.server,
                status=answer.status,
                end=outcome.end.value,
                detail=outcome.detail or answer.detail,
                took_ms=round(took_s * 1000),
                late=is_late,
            )
        return answer

    def runs_fan_outs(self) -> bool:
        """Whether fan-outs run on this host, so that it should have connections to servers."""
        current = self.routing.in_force
        if current is None:
            return True
        wide = [route for route in current.table.routes if route.shards]
        return not wide or any(not self.delegates_of(route) for route in wide)

    def best_delegate(self, route: Route) -> ServerPool | None:
        """Return the delegate with the lowest expected latency, or None to run the fan-out here."""
        now = time.monotonic()
        view = RankingView(
            zone=self.fleet.view.own.zone,
            typical_s=self.latencies.for_route(route).typical_s,
            cross_zone_cost_s=CROSS_ZONE_ROUND_TRIP_S,
            connect_cost_s=IN_ZONE_ROUND_TRIP_S,
            now=now,
        )
        best = best_replica(self.delegates_of(route), view)
        return None if best is None or best.state.is_ejected(now) else best

    def delegates_of(self, route: Route) -> list[ServerPool]:
        """Return the pools of the hosts to which fan-outs of a route are delegated."""
        now = time.monotonic()
        choice = self.choices.get(route.name)
        if choice is None or now >= choice.valid_until:
            choice = DelegateChoice(
                pools=self.choose_pools(route), valid_until=now + CHOICE_LIFETIME_S
            )
            # A single assignment, so that tasks need no lock to read it.
            self.choices[route.name] = choice
        return choice.pools

    def choose_pools(self, route: Route) -> list[ServerPool]:
        """Choose the delegates of a route among the live hosts, and return their pools."""
        members = self.fleet.live_members()
        own_address = self.fleet.view.own.address
        own = FanOutHost(address=own_address, zone=self.fleet.view.own.zone, cores=self.cores)
        incarnations = {member.address: member.incarnation for member in members}
        counts: dict[str, int] = {}

        def remote_shards(zone: str) -> int:
            if zone not in counts:
                counts[zone] = self.count_remote_shards(zone, route)
            return counts[zone]

        delegates = choose_delegates(
            own,
            [
                FanOutHost(address=member.address, zone=member.zone, cores=member.cores)
                for member in members
                if member.address != own_address and member.cores > 0.0 and not member.leaving
            ],
            shard_count=len(route.shards),
            remote_shards=remote_shards,
        )
        with self.lock:
            self.close_unused_pools(incarnations)
            return [self.pool_of(host, incarnations[host.address]) for host in delegates]

    def count_remote_shards(self, zone: str, route: Route) -> int:
        """Return the number of shards of a route that have no server in a zone."""
        pools_by_service = self.servers.pools_by_service
        return sum(
            all(pool.server.zone != zone for pool in pools_by_service.get(shard, ()))
            for shard in route.shards
        )

    def close_unused_pools(self, incarnations: dict[str, str]) -> None:
        """Close the pools of hosts that are gone or have restarted; the caller holds the lock."""
        for address, incarnation in list(self.pools):
            if incarnations.get(address) != incarnation:
                self.pools.pop((address, incarnation)).close()

    def pool_of(self, host: FanOutHost, incarnation: str) -> ServerPool:
        """Return the pool of a delegate; the caller holds the lock."""
        key = (host.address, incarnation)
        pool = self.pools.get(key)
        if pool is None:
            server = BackendServer(
                id=host.address,
                service=DELEGATES,
                address=host.address,
                zone=host.zone,
                slots=DELEGATE_SLOTS,
            )
            pool = self.pools[key] = ServerPool(
                server=server,
                max_connections=CONNECTIONS_PER_DELEGATE,
                codec=self.codec,
                tasks=self.servers.tasks,
                observe=self.latencies.record,
                handle_notice=ignore_notice,
                connect_timeout_s=CONNECT_TIMEOUT_S,
                acknowledgement_timeout_s=ACKNOWLEDGEMENT_TIMEOUT_S,
                side="delegate",
            )
        return pool

    def respond(self, request: Request) -> Response | None:
        """Run the fan-out of another host, or refuse it before anything is sent to a server.

        Returns None for a request that was not delegated.
        """
        received_at = time.monotonic()
        head: h11.Request = request.environ[HEAD_KEY]
        origin = self.wire.decode_origin(request.headers)
        if origin is None:
            return None
        decoded = self.wire.decode(head, request.get_data(), received_at=received_at)
        if not isinstance(decoded, Success):
            return Response(decoded.failure(), status=400)
        version, elapsed_s = origin
        forwarded = decoded.unwrap()
        problem = self.reason_to_refuse(version)
        if problem:
            self.log.info(
                "Delegated request refused.", request_id=forwarded.request_id, reason=problem
            )
            return self.wire.encode(
                ForwardedAnswer(status=503, detail=problem), request_id=forwarded.request_id
            )
        forwarded.body = forwarded.body[len(START_MARK) :]
        forwarded.account = request.environ[ACCOUNT_KEY]
        with self.lock:
            self.running += 1
        try:
            forwarded.received_at = received_at - elapsed_s
            answer = self.forwarding.answer(forwarded, sock=request.environ[SOCKET_KEY])
        finally:
            with self.lock:
                self.running -= 1
        if answer is None:
            answer = ForwardedAnswer(status=502, detail="the caller has left")
        response = self.wire.encode(answer, request_id=forwarded.request_id)
        self.forwarding.record_processing_time(answer)
        return response

    def reason_to_refuse(self, version: int) -> str:
        """Return why this host takes no delegated request, or an empty text if it does."""
        reasons = (
            (self.fleet.view.own.leaving, "this host is stopping"),
            (not self.registry.complete, "this host has no copy of the store yet"),
            (self.routing.version < version, "this host has an older configuration"),
            (self.running >= DELEGATED_PER_CORE * self.cores, "this host runs too many fan-outs"),
        )
        return next((reason for applies, reason in reasons if applies), "")


def ignore_notice(pool: ServerPool, notice: ServerNotice) -> None:
    """Do nothing: hosts announce in the feed that they leave."""
