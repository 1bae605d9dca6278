"""Answers callers' requests by forwarding them along the routing table."""

from __future__ import annotations

import itertools
import socket
import time
from random import Random

from rhubarbway.decisions.answer_margin import AnswerMargin
from rhubarbway.decisions.arrival_budget import ArrivalBudget
from rhubarbway.decisions.crash_guard import request_digest
from rhubarbway.decisions.forward_answers import STARTING_RETRY_AFTER_S, refusal
from rhubarbway.kernel import Kernel
from rhubarbway.model import ExchangeOutcome, ForwardedAnswer, ForwardedRequest, RoutingTable
from rhubarbway.services.budget import LockedBudget
from rhubarbway.services.caller_inbox import CallerInbox
from rhubarbway.services.forward_run import ForwardRun
from rhubarbway.services.forwarding_tools import ForwardingTools
from rhubarbway.services.kind_times import KindTimesByRoute
from rhubarbway.services.log import component_logger
from rhubarbway.services.losses import LossService
from rhubarbway.services.metrics import MetricsService
from rhubarbway.services.names import INVARIANTS, LOSSES, METRICS, ROUTING, SERVERS
from rhubarbway.services.routing import RoutingService
from rhubarbway.services.server_pool import ServerAttempt, ServerPool
from rhubarbway.services.servers import ServerService


class ForwardingService:
    """Finds the route of a request and runs it."""

    __slots__ = (
        "budget",
        "log",
        "losses",
        "margin",
        "metrics",
        "random",
        "routing",
        "servers",
        "times",
        "tools",
        "zone",
    )

    def __init__(self, *, zone: str, budget: ArrivalBudget) -> None:
        self.zone = zone
        self.budget = LockedBudget(budget=budget)
        self.times = KindTimesByRoute()
        # Several tasks write to it without a lock: a lost update is one value of many.
        self.margin = AnswerMargin()
        self.random = Random()
        self.log = component_logger("forwarding")
        self.losses: LossService
        self.metrics: MetricsService
        self.routing: RoutingService
        self.servers: ServerService
        self.tools: ForwardingTools

    def start(self, kernel: Kernel) -> None:
        """Find the routing table and the servers."""
        self.losses = kernel.find(LOSSES)
        self.metrics = kernel.find(METRICS)
        self.routing = kernel.find(ROUTING)
        self.servers = kernel.find(SERVERS)
        self.servers.observers.append(self.times.note)
        self.servers.observers.append(self.count_exchange)
        self.tools = ForwardingTools(
            pools_of=self.pools_of,
            zone=self.zone,
            budget=self.budget,
            next_number=itertools.count(1).__next__,
            second_attempt_delay=self.times.second_attempt_delay,
            usual_s=lambda route: self.times.of(route).usual_s,
            processing_s=lambda route: self.margin.allowance(target_s=route.target_latency_s),
            losses=self.losses,
            random=self.random,
            expect=kernel.find(INVARIANTS).expect,
            log=self.log,
        )
        self.routing.listeners.append(self.note_table)

    def stop(self) -> None:
        """Hold nothing open: requests end in the tasks of their callers."""

    def note_departure(self, answer: ForwardedAnswer) -> None:
        """Learn how long after the end of its wait an answer was ready to leave."""
        if answer.wait_ended_at is not None:
            self.margin.note(time.monotonic() - answer.wait_ended_at)

    def note_table(self, table: RoutingTable) -> None:
        """Forget what was learnt about services and routes that are gone."""
        with self.budget.lock:
            self.budget.budget.keep_only(table.services)
        self.tools.checks.keep_only(table.services)

    def count_exchange(self, attempt: ServerAttempt, outcome: ExchangeOutcome) -> None:
        """Record the end of an attempt in the metrics."""
        self.metrics.observe_exchange(
            service=outcome.shard, end=outcome.end.value, seconds=outcome.latency_s
        )

    def pools_of(self, service: str) -> list[ServerPool]:
        """Return the pools of the servers of a service that may get work."""
        return self.servers.by_service.get(service, [])

    def answer(
        self, request: ForwardedRequest, *, sock: socket.socket | None
    ) -> ForwardedAnswer | None:
        """Return the answer to a request, or None if its caller has left.

        Parameters
        ----------
        sock : socket.socket or None
            The caller's connection, which is watched for its end.
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
            self.log.info("No route.", request_id=request.request_id, version=current.table.version)
            return ForwardedAnswer(status=404, detail="no route")
        digest = request_digest(request.method, request.host, request.target, request.body)
        if self.losses.is_suspect(digest):
            self.log.info("Refused: it ends its servers.", request_id=request.request_id)
            return refusal("servers were lost with this request", random=self.random)
        services = route.shards or (self.routing.service_of(route),)
        inbox = CallerInbox(sock=sock)
        try:
            run = ForwardRun(
                request=request,
                digest=digest,
                route=route,
                services=services,
                inbox=inbox,
                tools=self.tools,
            )
            answer = run.run()
        finally:
            inbox.close()
        self.note_answer(run, answer, current.table.version)
        return answer

    def note_answer(self, run: ForwardRun, answer: ForwardedAnswer | None, version: int) -> None:
        """Log an answer that is late or not a whole success."""
        request, route = run.request, run.route
        took_s = time.monotonic() - request.received_at
        is_late = took_s > route.target_latency_s
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
            "Caller left." if answer is None else "Answered.",
            request_id=request.request_id,
            route=route.name,
            version=version,
            status=answer.status if answer else None,
            missing=answer.missing_shards if answer else None,
            detail=answer.detail if answer else "",
            took_ms=round(took_s * 1000),
            late=is_late,
            slowest=run.slowest(),
        )
