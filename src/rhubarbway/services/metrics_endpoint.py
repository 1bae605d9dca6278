"""HTTP endpoint for operators on a separate address: the metrics, and paths of other services."""

from __future__ import annotations

import queue
from collections.abc import Callable

from werkzeug.wrappers import Request, Response

from rhubarbway.edge.addresses import parse_address
from rhubarbway.edge.http_server import HttpServer
from rhubarbway.kernel import Kernel
from rhubarbway.services.connection_failures import failure_reporter
from rhubarbway.services.log import component_logger
from rhubarbway.services.metrics import MetricsService
from rhubarbway.services.names import CALLER_MEMORY, METRICS

PATH = "/metrics"
CONTENT_TYPE = "text/plain; version=0.0.4"
MAX_CONNECTIONS = 8


class MetricsEndpoint:
    """Serves the metrics over HTTP, and what other services register by path.

    Parameters
    ----------
    listen : str
        ``HOST:PORT``; port 0 disables the endpoint.

    Attributes
    ----------
    handlers : dict of str to callable
        Handler of each path. Other services add theirs when they start.
    """

    __slots__ = ("handlers", "listen", "log", "metrics", "server")

    def __init__(self, *, listen: str) -> None:
        self.listen = listen
        self.handlers: dict[str, Callable[[Request], Response]] = {PATH: self.answer_metrics}
        self.log = component_logger("metrics")
        self.metrics: MetricsService
        self.server: HttpServer | None = None

    def start(self, kernel: Kernel) -> None:
        """Listen, unless the port is 0."""
        self.metrics = kernel.find(METRICS)
        address = parse_address(self.listen)
        if address[1] == 0:
            return
        self.server = HttpServer(
            address=address,
            handler=self.respond,
            error_handler=lambda status, detail: Response(detail, status=status),
            max_connections=MAX_CONNECTIONS,
            name="metrics-endpoint",
            report_failure=failure_reporter(
                self.metrics.count_connection_failure, side="monitoring"
            ),
            rules=kernel.find(CALLER_MEMORY).rules(side="monitoring"),
        )
        self.server.start()

    def stop(self) -> None:
        """Stop listening."""
        if self.server is not None:
            self.server.stop(grace_s=0.1)

    def respond(self, request: Request) -> Response:
        """Answer a request by its path; an unknown one gets status 404."""
        handler = self.handlers.get(request.path)
        return Response(status=404) if handler is None else handler(request)

    def answer_metrics(self, request: Request) -> Response:
        """Answer a request with the metrics."""
        try:
            return Response(self.metrics.exposition(), content_type=CONTENT_TYPE)
        except queue.Empty:
            self.log.warning("Collecting the metrics timed out.")
            return Response("not collected in time", status=503)
