"""Service that forwards callers' requests according to the routing table."""

from __future__ import annotations

import itertools
import socket
import time
from random import Random

from rhubarbway.decisions.answer_margin import AnswerMargin
from rhubarbway.decisions.crash_guard import request_digest
from rhubarbway.decisions.forward_answers import (
    REFUSED_STATUS,
    STARTING_RETRY_AFTER_S,
    refusal,
)
from rhubarbway.decisions.sliding_window_budget import SlidingWindowBudget
from rhubarbway.kernel import Kernel
from rhubarbway.model import ExchangeOutcome, ForwardedAnswer, ForwardedRequest, RoutingTable
from rhubarbway.services.caller_inbox import CallerInbox
from rhubarbway.services.crashing_requests import CrashingRequestService
from rhubarbway.services.forwarding_context import ForwardingContext
from rhubarbway.services.log import component_logger
from rhubarbway.services.metrics import MetricsService
from rhubarbway.services.names import (
    CRASHING_REQUESTS,
    INVARIANTS,
    METRICS,
    REGISTRY,
    ROUTING,
    SERVERS,
)
from rhubarbway.services.request_forwarder import RequestForwarder
from rhubarbway.services.route_latencies import RouteLatencies
from rhubarbway.services.routing import RoutingService
from rhubarbway.services.server_attempt import ServerAttempt
from rhubarbway.services.server_pool import ServerPool
from rhubarbway.services.servers import ServerService
from rhubarbway.services.shared_retry_budget import SharedRetryBudget
from rhubarbway.services.stop_notice import StopNotice


class ForwardingService:
    """Finds the route of each request and forwards the request along it.

    Parameters
    ----------
    zone : str
        Zone of this host.
    budget : SlidingWindowBudget
        Retry budget of this host.
    """

    __slots__ = (
        "answer_margin",
        "budget",
        "context",
        "crashing_requests",
        "latencies",
        "log",
        "metrics",
        "random",
        "reported_level",
        "routing",
        "servers",
        "stop_notice",
        "zone",
    )

    def __init__(self, *, zone: str, budget: SlidingWindowBudget) -> None:
        self.zone = zone
        self.budget = SharedRetryBudget(budget=budget)
        self.latencies = RouteLatencies()
        # Tasks write to it without a lock, since a lost update only loses one value of many.
        self.answer_margin = AnswerMargin()
        self.random = Random()
        self.stop_notice = StopNotice()
        self.reported_level = 0.0
        self.log = component_logger("forwarding")
        self.crashing_requests: CrashingRequestService
        self.metrics: MetricsService
        self.routing: RoutingService
        self.servers: ServerService
        self.context: ForwardingContext

    def start(self, kernel: Kernel) -> None:
        """Find the services that forwarding needs; subscribe to outcomes and routing tables."""
        self.crashing_requests = kernel.find(CRASHING_REQUESTS)
        self.metrics = kernel.find(METRICS)
        self.routing = kernel.find(ROUTING)
        self.servers = kernel.find(SERVERS)
        self.servers.observers.append(self.latencies.record)
        self.servers.observers.append(self.record_exchange)
        self.context = ForwardingContext(
            pools_of=self.pools_of,
            zone=self.zone,
            budget=self.budget,
            next_attempt_number=itertools.count(1).__next__,
            hedge_delay_s=self.latencies.hedge_delay_s,
            typical_s=lambda route: self.latencies.for_route(route).typical_s,
            exchange_s=lambda route: self.latencies.for_route(route).exchange_s,
            processing_s=lambda route: self.answer_margin.margin_s(
                target_latency_s=route.target_latency_s
            ),
            crashing_requests=self.crashing_requests,
            random=self.random,
            expect=kernel.find(INVARIANTS).expect,
            log=self.log,
            copy_age_s=kernel.find(REGISTRY).copy_age_s,
            count_deleted_server_attempt=self.metrics.deletions.count_attempt,
            stop_notice=self.stop_notice,
        )
        self.routing.listeners.append(self.apply_table)

    def stop(self) -> None:
        """Do nothing: requests end in the tasks of their callers."""

    def record_processing_time(self, answer: ForwardedAnswer) -> None:
        """Record the time from ``target_deadline`` of a partial answer until the answer was ready.

        Other answers have no ``target_deadline`` and are ignored. The time is negative for an
        answer that was ready before that instant; ``AnswerMargin`` takes it as 0.
        """
        if answer.target_deadline is not None:
            self.answer_margin.record(time.monotonic() - answer.target_deadline)

    def apply_table(self, table: RoutingTable) -> None:
        """Drop the counts of services that a new routing table no longer contains."""
        with self.budget.lock:
            self.budget.budget.retain_services(table.services)
        self.context.send_checks.retain_services(table.services)
        self.context.arrivals.retain_routes({route.name for route in table.routes})

    def record_exchange(self, attempt: ServerAttempt, outcome: ExchangeOutcome) -> None:
        """Record the outcome of an attempt in the metrics."""
        self.metrics.observe_exchange(
            service=outcome.shard, end=outcome.end.value, seconds=outcome.latency_s
        )

    def pools_of(self, service: str) -> list[ServerPool]:
        """Return the pools of a service; servers that are draining have none."""
        return self.servers.pools_by_service.get(service, [])

    def answer(
        self, request: ForwardedRequest, *, sock: socket.socket | None
    ) -> ForwardedAnswer | None:
        """Return the answer to a request, or None if its caller has disconnected.

        Parameters
        ----------
        sock : socket.socket or None
            The caller's connection, which is watched for a disconnect; None for a request without
            one.
        """
        current = self.routing.in_force
        if current is None:
            return refusal(
                "no configuration is known yet",
                random=self.random,
                retry_after_s=STARTING_RETRY_AFTER_S,
            )
        route = current.index.match(request.host, request.path)
        if route is None:
            self.log.info(
                "No matching route.", request_id=request.request_id, version=current.table.version
            )
            return ForwardedAnswer(status=404, detail="no route")
        digest = request_digest(request.method, request.host, request.target, request.body)
        if self.crashing_requests.is_blocked(digest):
            self.log.info("Crashing request refused.", request_id=request.request_id)
            return refusal("servers were lost with this request", random=self.random)
        services = route.shards or (self.routing.next_service(route),)
        with self.stop_notice.watched(CallerInbox(sock=sock)) as inbox:
            forwarder = RequestForwarder(
                request=request,
                digest=digest,
                route=route,
                services=services,
                inbox=inbox,
                context=self.context,
            )
            answer = forwarder.run()
        self.record_answer(forwarder, answer, current.table.version)
        return answer

    def report_load_level(self) -> None:
        """Pass the load level to the metrics if it has changed noticeably."""
        level = round(self.context.arrivals.level, 1)
        if level != self.reported_level:
            self.reported_level = level
            self.metrics.set_load_level(level)

    def record_answer(
        self, forwarder: RequestForwarder, answer: ForwardedAnswer | None, version: int
    ) -> None:
        """Record an answer in the metrics, and log it if it is late, partial or a failure."""
        request, route = forwarder.request, forwarder.route
        took_s = time.monotonic() - request.received_at
        is_late = took_s > route.target_latency_s
        if answer is not None and answer.status == REFUSED_STATUS:
            self.metrics.count_request_refusal(
                route=route.name,
                priority=route.priority,
                reason="no_room" if answer.lacks_room else "no_server",
            )
        self.report_load_level()
        self.metrics.observe_forwarded(
            host=route.host,
            route=route.name,
            result=str(answer.status) if answer else "caller_left",
            seconds=took_s,
            missing=answer.missing_shards if answer else 0,
        )
        if answer is not None and answer.status < 300 and not answer.missing_shards and not is_late:
            return
        self.log.info(
            "Caller disconnected." if answer is None else "Answered.",
            request_id=request.request_id,
            route=route.name,
            version=version,
            status=answer.status if answer else None,
            missing=answer.missing_shards if answer else None,
            detail=answer.detail if answer else "",
            took_ms=round(took_s * 1000),
            late=is_late,
            slowest=forwarder.slowest_shards(),
        )
