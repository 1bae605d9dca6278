"""Stand-in for the list of live and leaving hosts that entry hosts read; it can lag."""

from __future__ import annotations

import threading
import time

from werkzeug.wrappers import Request, Response

from rhubarbway.edge.http_server import HttpServer
from rhubarbway.edge.json_codec import decode_json, encode_json

JSON_CONTENT_TYPE = "application/json"


class HostList:
    """Serves the newest list that was set at least ``lag_s`` seconds ago.

    ``POST /control/hosts`` takes ``{"hosts": [{"name", "address", "zone", "state", "role"}]}``;
    the state is ``live`` or ``leaving``, and the role ``entry`` marks entry hosts.
    ``POST /control/mode`` takes ``{"down": bool, "lag_s": float}``; with ``down``, reads get status
    503.
    """

    __slots__ = ("calls", "changes", "down", "lag_s", "lock", "server")

    def __init__(self, *, address: tuple[str, int], lag_s: float = 0.0) -> None:
        self.lock = threading.Lock()
        self.changes: list[tuple[float, bytes]] = [(float("-inf"), b'{"hosts":[]}')]
        self.lag_s = lag_s
        self.down = False
        self.calls = 0
        self.server = HttpServer(
            address=address,
            handler=self.respond,
            error_handler=lambda status, detail: Response(detail, status=status),
            max_connections=512,
            name="hosts",
        )
        self.server.start()

    def respond(self, request: Request) -> Response:
        """Answer a read, or a request that controls the stand-in."""
        handlers = {
            "/v1/hosts": self.answer_hosts,
            "/control/hosts": self.answer_set_hosts,
            "/control/mode": self.answer_mode,
            "/control/calls": self.answer_calls,
        }
        handler = handlers.get(request.path)
        return handler(request) if handler else Response(status=404)

    def answer_hosts(self, request: Request) -> Response:
        """Return the list as it was ``lag_s`` ago."""
        with self.lock:
            self.calls += 1
            if self.down:
                return Response(b"", status=503)
            visible_until = time.monotonic() - self.lag_s
            body = [body for at, body in self.changes if at <= visible_until][-1]
        return Response(body, content_type=JSON_CONTENT_TYPE)

    def answer_set_hosts(self, request: Request) -> Response:
        """Set a new list, which readers get after ``lag_s``."""
        document = request.get_data()
        decode_json(document)
        with self.lock:
            self.changes.append((time.monotonic(), document))
        return Response(b"{}", content_type=JSON_CONTENT_TYPE)

    def answer_mode(self, request: Request) -> Response:
        """Change lag and failure mode."""
        mode = decode_json(request.get_data())
        with self.lock:
            self.down = mode.get("down", False)
            self.lag_s = mode.get("lag_s", self.lag_s)
        return Response(b"{}", content_type=JSON_CONTENT_TYPE)

    def answer_calls(self, request: Request) -> Response:
        """Report the number of calls so far."""
        return Response(encode_json({"calls": self.calls}), content_type=JSON_CONTENT_TYPE)
