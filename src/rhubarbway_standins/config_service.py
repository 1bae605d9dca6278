"""Stand-in for the configuration service: serves reads and watches, and counts the calls."""

from __future__ import annotations

import threading

from werkzeug.wrappers import Request, Response

from rhubarbway.edge.http_server import HttpServer
from rhubarbway.edge.json_codec import decode_json, encode_json

JSON_CONTENT_TYPE = "application/json"
MAX_WAIT_MS = 30_000


class ConfigService:
    """Serves published manifests; tests can make it fail or serve a stale version.

    ``POST /control/publish`` takes a manifest, ``POST /control/mode`` takes ``{"down": bool,
    "stale_version": int or null, "alternate": list of int}``, and ``GET /control/calls`` reports
    the number of calls. With ``down``, reads get status 503. ``stale_version`` is served instead of
    the newest version. With ``alternate``, successive reads get these versions in turn, regardless
    of the version that the reader has.
    """

    __slots__ = (
        "alternate",
        "calls",
        "condition",
        "documents",
        "down",
        "server",
        "stale_version",
        "watches",
    )

    def __init__(self, *, address: tuple[str, int], max_connections: int = 512) -> None:
        self.condition = threading.Condition()
        self.documents: dict[int, bytes] = {}
        self.calls = 0
        self.watches = 0
        self.alternate: list[int] = []
        self.down = False
        self.stale_version: int | None = None
        self.server = HttpServer(
            address=address,
            handler=self.respond,
            error_handler=lambda status, detail: Response(detail, status=status),
            max_connections=max_connections,
            name="configuration",
        )
        self.server.start()

    def stop(self) -> None:
        """End the pending watches, which may otherwise wait for 30 s, and stop."""
        with self.condition:
            self.down = True
            self.condition.notify_all()
        self.server.stop(grace_s=0.0)

    def respond(self, request: Request) -> Response:
        """Answer a read, or a request that controls the stand-in."""
        handlers = {
            "/v1/manifest": self.answer_manifest,
            "/control/publish": self.answer_publish,
            "/control/mode": self.answer_mode,
            "/control/calls": self.answer_calls,
        }
        handler = handlers.get(request.path)
        return handler(request) if handler else Response(status=404)

    def served_version(self) -> int:
        """Return the version that readers see now, 0 if there is none."""
        if self.stale_version is not None:
            return self.stale_version
        return max(self.documents, default=0)

    def answer_manifest(self, request: Request) -> Response:
        """Return the served manifest, or wait for a version after the one the reader has."""
        after = request.args.get("after", 0, type=int)
        wait_ms = min(request.args.get("wait_ms", 0, type=int), MAX_WAIT_MS)
        with self.condition:
            self.calls += 1
            self.watches += wait_ms > 0
            self.condition.wait_for(
                lambda: self.down or self.alternate or self.served_version() > after,
                timeout=wait_ms / 1000,
            )
            if self.down:
                return Response(b"", status=503)
            if self.alternate:
                version = self.alternate[self.calls % len(self.alternate)]
                return Response(self.documents[version], content_type=JSON_CONTENT_TYPE)
            version = self.served_version()
            if version <= after or version not in self.documents:
                return Response(b"", status=204)
            return Response(self.documents[version], content_type=JSON_CONTENT_TYPE)

    def answer_publish(self, request: Request) -> Response:
        """Publish a manifest as the operators' pipeline does."""
        document = request.get_data()
        version = decode_json(document)["version"]
        with self.condition:
            self.documents[version] = document
            self.condition.notify_all()
        return Response(b"{}", content_type=JSON_CONTENT_TYPE)

    def answer_mode(self, request: Request) -> Response:
        """Change the failure mode."""
        mode = decode_json(request.get_data())
        with self.condition:
            self.down = mode.get("down", False)
            self.stale_version = mode.get("stale_version")
            self.alternate = mode.get("alternate", [])
            self.condition.notify_all()
        return Response(b"{}", content_type=JSON_CONTENT_TYPE)

    def answer_calls(self, request: Request) -> Response:
        """Report the number of calls so far, and how many of them were watches."""
        body = {"calls": self.calls, "watches": self.watches}
        return Response(encode_json(body), content_type=JSON_CONTENT_TYPE)
