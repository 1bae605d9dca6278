"""Service that listens for requests to forward and for the load balancer's readiness checks."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from random import Random

import h11
from returns.result import Result, Success
from werkzeug.wrappers import Request, Response

from rhubarbway.decisions.forward_answers import STARTING_RETRY_AFTER_S, refusal
from rhubarbway.decisions.late_requests import answer_deadline, fits_before_cut
from rhubarbway.edge.addresses import parse_address
from rhubarbway.edge.http_server import (
    ACCOUNT_KEY,
    DEFAULT_LIMITS,
    HEAD_KEY,
    SOCKET_KEY,
    FailureReport,
    HttpServer,
    log_failure,
)
from rhubarbway.edge.sent_bytes import ReportMismatch, ignore_mismatch
from rhubarbway.kernel import Kernel
from rhubarbway.model import CallerLimits, ForwardedAnswer, ForwardedRequest
from rhubarbway.services.delegation import DelegationService
from rhubarbway.services.fleet import FleetService
from rhubarbway.services.forwarding import ForwardingService
from rhubarbway.services.log import component_logger
from rhubarbway.services.names import (
    CALLER_MEMORY,
    DELEGATION,
    FLEET,
    FORWARDING,
    REGISTRY,
    ROUTING,
)
from rhubarbway.services.registry import RegistryService
from rhubarbway.services.routing import RoutingService

# Fraction of the platform's grace period after which connections with requests in flight are cut,
# counted from the stop signal.
GRACE_FRACTION = 0.87
MAX_READY_CONNECTIONS = 16
# Statuses of requests that exceed a limit of the configuration.
LIMIT_STATUSES = frozenset({413, 431})

DecodeRequest = Callable[..., Result[ForwardedRequest, str]]
EncodeAnswer = Callable[..., Response]


class GatewayService:
    """Owns the listening sockets for requests to forward and for readiness checks.

    Parameters
    ----------
    listen, ready_listen : str
        ``HOST:PORT`` for callers and for the load balancer's readiness checks.
    notice_s : float
        Time between reporting not ready and closing the listener, seconds.
    grace_s : float
        Grace period in which the platform expects a process to stop, seconds.
    max_connections : int
        Maximum number of caller connections at a time.
    decode, encode : callable
        Decoder of requests and encoder of answers.
    report_mismatch : callable
        Called for a caller's connection that carries more bytes than its task has sent.
    report_failure, report_ready_failure : callable
        Called with each exception that ends a connection or replaces an answer, of a caller or of
        the load balancer.
    """

    __slots__ = (
        "cut_at",
        "decode",
        "delegation",
        "encode",
        "fleet",
        "forwarding",
        "grace_s",
        "leaving",
        "listen",
        "log",
        "max_connections",
        "notice_s",
        "random",
        "ready_listen",
        "ready_server",
        "registry",
        "report_failure",
        "report_mismatch",
        "report_ready_failure",
        "routing",
        "server",
    )

    def __init__(
        self,
        *,
        listen: str,
        ready_listen: str,
        notice_s: float,
        grace_s: float,
        max_connections: int,
        decode: DecodeRequest,
        encode: EncodeAnswer,
        report_mismatch: ReportMismatch = ignore_mismatch,
        report_failure: FailureReport = log_failure,
        report_ready_failure: FailureReport = log_failure,
    ) -> None:
        self.report_failure = report_failure
        self.report_ready_failure = report_ready_failure
        self.report_mismatch = report_mismatch
        self.listen = listen
        self.ready_listen = ready_listen
        self.notice_s = notice_s
        self.grace_s = grace_s
        self.max_connections = max_connections
        self.decode = decode
        self.encode = encode
        self.leaving = threading.Event()
        # When connections with requests in flight are closed; known once the host leaves.
        self.cut_at = float("inf")
        self.random = Random()
        self.log = component_logger("gateway")
        self.delegation: DelegationService
        self.fleet: FleetService
        self.forwarding: ForwardingService
        self.registry: RegistryService
        self.routing: RoutingService
        self.server: HttpServer
        self.ready_server: HttpServer

    def start(self, kernel: Kernel) -> None:
        """Find the services that the gateway depends on, and start both listeners."""
        self.delegation = kernel.find(DELEGATION)
        self.forwarding = kernel.find(FORWARDING)
        self.fleet = kernel.find(FLEET)
        self.registry = kernel.find(REGISTRY)
        self.routing = kernel.find(ROUTING)
        memory = kernel.find(CALLER_MEMORY)
        self.server = HttpServer(
            address=parse_address(self.listen),
            handler=self.respond,
            error_handler=self.respond_to_bad_request,
            max_connections=self.max_connections,
            name="gateway",
            limits=self.limits,
            report_mismatch=self.report_mismatch,
            report_failure=self.report_failure,
            rules=memory.rules(side="caller"),
        )
        memory.watch(self.server)
        self.ready_server = HttpServer(
            address=parse_address(self.ready_listen),
            handler=self.respond_ready,
            error_handler=self.respond_to_bad_request,
            max_connections=MAX_READY_CONNECTIONS,
            name="ready",
            report_failure=self.report_ready_failure,
            rules=memory.rules(side="load_balancer"),
        )
        self.ready_server.start()
        self.server.start()
        self.log.info("Listening.", address=self.listen, ready_address=self.ready_listen)

    def stop(self) -> None:
        """Report not ready, keep serving for the notice period, then finish requests in flight."""
        self.cut_at = time.monotonic() + GRACE_FRACTION * self.grace_s
        self.leaving.set()
        self.forwarding.stop_notice.give(answer_by=answer_deadline(self.cut_at))
        self.fleet.mark_leaving()
        self.server.disable_keep_alive()
        self.log.info("Leaving.", notice_s=self.notice_s)
        threading.Event().wait(self.notice_s)
        cut = self.server.stop(grace_s=self.cut_at - time.monotonic())
        self.ready_server.stop(grace_s=0.1)
        self.log.info("Closed.", connections_cut=cut)

    def limits(self) -> CallerLimits:
        """Return the caller limits of the configuration in force, the defaults before the first."""
        current = self.routing.in_force
        return current.table.limits if current else DEFAULT_LIMITS

    def is_ready(self) -> bool:
        """Whether the load balancer should send new callers to this host."""
        return (
            not self.leaving.is_set()
            and self.routing.in_force is not None
            and self.registry.complete
        )

    def respond_ready(self, request: Request) -> Response:
        """Answer a readiness check of the load balancer."""
        ready = self.is_ready()
        return Response("ready" if ready else "not ready", status=200 if ready else 503)

    def respond(self, request: Request) -> Response:
        """Decode a caller's request, forward it, and return the encoded answer."""
        received_at = time.monotonic()
        head: h11.Request = request.environ[HEAD_KEY]
        result = self.decode(head, request.get_data(), received_at=received_at)
        if not isinstance(result, Success):
            return self.respond_to_bad_request(400, result.failure())
        forwarded = result.unwrap()
        forwarded.account = request.environ[ACCOUNT_KEY]
        try:
            answer = self.refuse_late(forwarded) or self.delegation.answer(
                forwarded, sock=request.environ[SOCKET_KEY]
            )
        except Exception:
            self.log.exception("Internal error in a request.", request_id=forwarded.request_id)
            answer = ForwardedAnswer(status=500, detail="internal error")
        if answer is None:
            answer = ForwardedAnswer(status=502, detail="the caller has left")
        response = self.encode(answer, request_id=forwarded.request_id)
        self.forwarding.record_processing_time(answer)
        return response

    def refuse_late(self, request: ForwardedRequest) -> ForwardedAnswer | None:
        """Refuse a request that a stopping host cannot answer before it closes its connections.

        Any other request on a stopping host has to be answered by then, and None is returned.
        """
        if not self.leaving.is_set():
            return None
        current = self.routing.in_force
        route = current.index.match(request.host, request.path) if current else None
        if route is not None and not fits_before_cut(request, route, cut_at=self.cut_at):
            self.log.info("Request refused: the host stops.", request_id=request.request_id)
            return refusal("this host stops", random=self.random)
        request.deadline = min(request.deadline, answer_deadline(self.cut_at))
        return None

    def respond_to_bad_request(self, status: int, detail: str) -> Response:
        """Return the answer to a request that is rejected before it is forwarded.

        A host without a configuration does not know whether a request exceeds the limits. It
        refuses those that its default limits do not admit, so that their callers come back.
        """
        self.log.info("Request rejected.", status=status, detail=detail[:200])
        if status in LIMIT_STATUSES and self.routing.in_force is None:
            answer = refusal(
                "no configuration is known yet",
                random=self.random,
                retry_after_s=STARTING_RETRY_AFTER_S,
            )
            return self.encode(answer, request_id="")
        return self.encode(ForwardedAnswer(status=status, detail=detail[:200]), request_id="")
