"""The HTTP frontend for callers: decodes requests, runs queries and encodes replies."""

from __future__ import annotations

import threading
from collections.abc import Callable
from typing import TYPE_CHECKING

from returns.result import Success
from werkzeug.exceptions import HTTPException, MethodNotAllowed
from werkzeug.routing import Map, MapAdapter, Rule
from werkzeug.wrappers import Request, Response

from rhubarbway.decisions.slow_readers import KEPT_IDLE_S
from rhubarbway.edge import wire
from rhubarbway.edge.http_server import HttpServer
from rhubarbway.edge.json_codec import JsonError, decode_json, encode_json
from rhubarbway.kernel import Kernel
from rhubarbway.model import ExecutionStatus, FailureKind, HostIdentity
from rhubarbway.model import Failure as RequestFailure
from rhubarbway.services.backends import BackendService
from rhubarbway.services.connection_failures import failure_reporter
from rhubarbway.services.log import component_logger
from rhubarbway.services.manifest import ManifestService
from rhubarbway.services.metrics import MetricsService
from rhubarbway.services.names import BACKENDS, CALLER_MEMORY, MANIFEST, METRICS, QUERIES, TOKENS
from rhubarbway.services.queries import QueryService
from rhubarbway.settings import Settings

if TYPE_CHECKING:
    from rhubarbway.services.tokens import TokenService

DEFAULT_DEADLINE_MS = 60_000
# A stopping frontend waits for requests in flight for the longest deadline and this time, at most.
STOP_GRACE_MARGIN_S = 2.0
JSON_CONTENT_TYPE = "application/json"
# A detail may repeat text that the caller sent, which can be long.
MAX_DETAIL_LENGTH = 300

Handler = Callable[[Request], Response]

FAILURE_KIND_BY_STATUS = {
    400: FailureKind.BAD_REQUEST,
    404: FailureKind.NOT_FOUND,
    405: FailureKind.METHOD_NOT_ALLOWED,
    413: FailureKind.TOO_LARGE,
    431: FailureKind.TOO_LARGE,
    503: FailureKind.OVERLOADED,
}


class FrontendService:
    """Owns the HTTP server for callers and its routes."""

    __slots__ = (
        "backends",
        "handlers",
        "identity",
        "leaving",
        "log",
        "manifest",
        "max_connections",
        "metrics",
        "queries",
        "routes",
        "router",
        "server",
        "settings",
        "tokens",
    )

    def __init__(self, *, settings: Settings, identity: HostIdentity) -> None:
        self.settings = settings
        self.max_connections = settings.max_connections
        self.identity = identity
        self.leaving = threading.Event()
        self.log = component_logger("frontend")
        self.backends: BackendService
        self.manifest: ManifestService
        self.metrics: MetricsService
        self.queries: QueryService
        self.tokens: TokenService
        self.server: HttpServer
        # No redirects for inexact paths, since they would make callers send a query twice.
        self.routes = Map(merge_slashes=False, strict_slashes=False, redirect_defaults=False)
        # Bound once, since binding for each request takes longer than matching.
        self.router: MapAdapter = self.routes.bind("")
        self.handlers: dict[str, Handler] = {}
        self.add_route("POST", "/v1/query", self.answer_query)
        self.add_route("GET", "/v1/health", self.answer_health)
        self.add_route("GET", "/v1/ready", self.answer_ready)
        self.add_route("GET", "/v1/status", self.answer_status)
        self.add_route("GET", "/metrics", self.answer_metrics)

    def add_route(self, method: str, path: str, handler: Handler) -> None:
        """Add a route; other services call this in their ``start``, before the frontend listens."""
        endpoint = f"{method} {path}"
        self.routes.add(Rule(path, methods=[method], endpoint=endpoint))
        self.handlers[endpoint] = handler

    def start(self, kernel: Kernel) -> None:
        """Find the services that requests need, and start listening."""
        self.backends = kernel.find(BACKENDS)
        self.manifest = kernel.find(MANIFEST)
        self.metrics = kernel.find(METRICS)
        self.queries = kernel.find(QUERIES)
        self.tokens = kernel.find(TOKENS)
        memory = kernel.find(CALLER_MEMORY)
        host, _, port = self.settings.listen.rpartition(":")
        self.server = HttpServer(
            address=(host, int(port)),
            handler=self.respond,
            error_handler=self.respond_to_bad_request,
            max_connections=self.max_connections,
            name="frontend",
            report_failure=failure_reporter(self.metrics.count_connection_failure, side="caller"),
            rules=memory.rules(side="caller", kept_idle_s=KEPT_IDLE_S),
        )
        memory.watch(self.server)
        self.server.start()
        self.log.info("Listening.", address=self.settings.listen)

    def stop(self) -> None:
        """Report not ready, then stop accepting and finish the requests in flight.

        During the notice period the listener still accepts connections, and each reply asks its
        caller to close the connection, so that few are left when the listener closes.
        """
        self.leaving.set()
        self.server.disable_keep_alive()
        self.log.info("Leaving.", notice_s=self.settings.leave_notice_s)
        threading.Event().wait(self.settings.leave_notice_s)
        connections_cut = self.server.stop(grace_s=self.longest_deadline_s() + STOP_GRACE_MARGIN_S)
        self.log.info("Closed.", connections_cut=connections_cut)

    def longest_deadline_s(self) -> float:
        """Return the longest deadline of all tenants in seconds; 0 without a manifest."""
        manifest = self.manifest.in_force
        if manifest is None:
            return 0.0
        return max(tenant.policy.deadline_ms for tenant in manifest.tenants.values()) / 1000

    def respond(self, request: Request) -> Response:
        """Return the response to a request; unexpected exceptions become an internal failure."""
        try:
            endpoint, _ = self.router.match(request.path, method=request.method)
            return self.handlers[endpoint](request)
        except MethodNotAllowed as error:
            response = self.respond_to_bad_request(405, f"use {', '.join(error.valid_methods)}")
            response.headers["Allow"] = ", ".join(error.valid_methods)
            return response
        except HTTPException as error:
            return self.respond_to_bad_request(error.code or 500, error.description or "")
        except Exception:
            self.log.exception("Request ended by an unexpected exception.", path=request.path)
            failure = RequestFailure(
                kind=FailureKind.INTERNAL, ran=ExecutionStatus.UNKNOWN, detail="internal error"
            )
            return failure_response(failure, request_id=request_id_of_body(request.get_data()))

    def respond_to_bad_request(
        self, status: int, detail: str, request_id: str | None = None
    ) -> Response:
        """Count a request that could not be decoded or routed, and return its response."""
        kind = FAILURE_KIND_BY_STATUS.get(status, FailureKind.BAD_REQUEST)
        self.metrics.count_refusal(kind=kind.value)
        failure = RequestFailure(
            kind=kind, ran=ExecutionStatus.NOT_RUN, detail=detail[:MAX_DETAIL_LENGTH]
        )
        return failure_response(failure, request_id=request_id)

    def answer_query(self, request: Request) -> Response:
        """Run a caller's query."""
        try:
            query = wire.query_from_json(
                request.get_data(), default_deadline_ms=DEFAULT_DEADLINE_MS
            )
        except wire.MessageError as error:
            request_id = request_id_of_body(request.get_data())
            return self.respond_to_bad_request(400, str(error), request_id)
        if query.unsafe:
            return self.tokens.answer_unsafe(query)
        result = self.queries.answer(query)
        if isinstance(result, Success):
            body = wire.answer_to_json(
                result.unwrap(), host=self.identity.name, incarnation=self.identity.incarnation
            )
            return Response(body, content_type=JSON_CONTENT_TYPE)
        return failure_response(result.failure(), request_id=query.request_id)

    def answer_health(self, request: Request) -> Response:
        """Report that the process runs."""
        return Response(b'{"healthy":true}', content_type=JSON_CONTENT_TYPE)

    def answer_ready(self, request: Request) -> Response:
        """Report whether this host is ready for callers."""
        ready = (
            self.manifest.in_force is not None
            and self.backends.is_ready()
            and not self.leaving.is_set()
        )
        return Response(
            encode_json({"ready": ready}),
            status=200 if ready else 503,
            content_type=JSON_CONTENT_TYPE,
        )

    def answer_status(self, request: Request) -> Response:
        """Report the identity of this host and the manifest in force."""
        manifest = self.manifest.in_force
        body = {
            "name": self.identity.name,
            "zone": self.identity.zone,
            "incarnation": self.identity.incarnation,
            "started_at": self.identity.started_at,
            "leaving": self.leaving.is_set(),
            "manifest_version": manifest.version if manifest else None,
            "manifest_digest": manifest.digest if manifest else None,
            "findings": [str(finding) for finding in self.manifest.findings],
        }
        return Response(encode_json(body), content_type=JSON_CONTENT_TYPE)

    def answer_metrics(self, request: Request) -> Response:
        """Return all metrics in the Prometheus text format."""
        return Response(self.metrics.exposition(), content_type="text/plain; version=0.0.4")


def request_id_of_body(data: bytes) -> str | None:
    """Return the request id of a body that is JSON but not a valid query, or None.

    Examples
    --------
    >>> request_id_of_body(b'{"request_id": "r1", "jbo": "desk"}')
    'r1'
    >>> request_id_of_body(b'{"request_id": 5}') is None
    True
    """
    try:
        body = decode_json(data)
    except JsonError:
        return None
    request_id = body.get("request_id") if isinstance(body, dict) else None
    if isinstance(request_id, str) and 0 < len(request_id) <= wire.MAX_REQUEST_ID_LENGTH:
        return request_id
    return None


def failure_response(failure: RequestFailure, *, request_id: str | None) -> Response:
    """Return the HTTP response to a request that failed."""
    response = Response(
        wire.failure_to_json(failure, request_id=request_id),
        status=wire.HTTP_STATUS_BY_FAILURE[failure.kind],
        content_type=JSON_CONTENT_TYPE,
    )
    if failure.retry_after_ms is not None:
        response.headers["Retry-After"] = str(max(1, round(failure.retry_after_ms / 1000)))
    return response
