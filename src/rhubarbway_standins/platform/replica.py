"""Stand-in for a backend server of the users' platform, with pauses, draining and faults."""

from __future__ import annotations

import contextlib
import hashlib
import socket
import threading
import time
from collections.abc import Callable

from werkzeug.wrappers import Request, Response

from rhubarbway.edge.http_server import SOCKET_KEY, HttpServer
from rhubarbway_standins.platform.entries import server_entry

# Size of a record, and number of records in a reply.
RECORD_BYTES = 16
RECORD_COUNT = 40
# Requests that may run or wait for a slot, counted together; a replica refuses further ones.
MAX_ADMITTED = 18


# Time at which a replica's first process was born, milliseconds since the epoch.
FIRST_BORN_MS = 1_700_000_000_000


class Arrival:
    """A request that reached a replica; ``ran`` is false if the replica refused it."""

    __slots__ = ("arrived_at", "deadline_ms", "ran", "request_id", "server", "service", "target")

    def __init__(
        self,
        *,
        request_id: str,
        target: str,
        service: str,
        server: str,
        deadline_ms: int,
        arrived_at: float,
        ran: bool,
    ) -> None:
        self.request_id = request_id
        self.target = target
        self.service = service
        self.server = server
        self.deadline_ms = deadline_ms
        self.arrived_at = arrived_at
        self.ran = ran


class PlatformReplica:
    """One replica of a service.

    Attributes
    ----------
    fault : callable or None
        Called with the socket and the encoded response before it is sent; returns True to close
        the connection, so that the response is not sent.
    holds_until_deadline : bool
        Whether each admitted request is answered with 504 when its deadline passes.
    leaving : bool
        Whether each response announces that the replica leaves.
    padding_bytes : callable
        Returns how many bytes a reply has beyond its records, for the target of its request.
    quiet_s : str or None
        If set, requests are refused with this ``Retry-After``.
    service_time_s : float
        Time that each request takes, seconds.
    warm_up_ms : int
        Time for which the entry states that the replica stays cold, milliseconds.
    unpaused : threading.Event
        Requests wait while the event is cleared.
    """

    __slots__ = (
        "admitted",
        "arrivals",
        "born_ms",
        "draining",
        "fault",
        "holds_until_deadline",
        "leaving",
        "lock",
        "on_arrival",
        "padding_bytes",
        "quiet_s",
        "sequence",
        "server",
        "server_id",
        "service",
        "service_time_s",
        "slot_count",
        "slots",
        "unpaused",
        "warm_up_ms",
        "zone",
    )

    def __init__(
        self,
        *,
        server_id: str,
        service: str,
        zone: str,
        address: tuple[str, int],
        slots: int = 3,
        service_time_s: float = 0.005,
        on_arrival: Callable[[Arrival], None] = lambda arrival: None,
    ) -> None:
        self.server_id = server_id
        self.service = service
        self.zone = zone
        self.slots = threading.BoundedSemaphore(slots)
        self.slot_count = slots
        self.service_time_s = service_time_s
        self.draining = False
        self.warm_up_ms = 0
        self.leaving = False
        self.holds_until_deadline = False
        self.quiet_s: str | None = None
        self.padding_bytes: Callable[[str], int] = lambda target: 0
        self.fault: Callable[[socket.socket, bytes], bool] | None = None
        self.unpaused = threading.Event()
        self.unpaused.set()
        self.admitted = 0
        self.lock = threading.Lock()
        self.on_arrival = on_arrival
        self.born_ms = FIRST_BORN_MS
        # Number of entries that this process has written.
        self.sequence = 0
        self.server = self.start_server(address)

    def start_server(self, address: tuple[str, int]) -> HttpServer:
        """Start to serve on an address."""
        server = HttpServer(
            address=address,
            handler=self.respond,
            error_handler=lambda status, detail: Response(detail, status=status),
            max_connections=64,
            name=self.server_id,
        )
        server.start()
        return server

    def restart(self) -> None:
        """Serve again after a stop, on the same address and under the same id."""
        self.born_ms += 1000
        self.sequence = 0
        self.server = self.start_server(self.server.address)

    @property
    def address(self) -> str:
        """``HOST:PORT``."""
        return "{}:{}".format(*self.server.address)

    def store_entry(self, **changes: object) -> bytes:
        """Return the encoded entry that the replica writes to the store next."""
        self.sequence += 1
        return server_entry(
            service=self.service,
            address=self.address,
            zone=self.zone,
            born_ms=self.born_ms,
            sequence=self.sequence,
            draining=self.draining,
            slots=self.slot_count,
            warm_up_ms=self.warm_up_ms,
            changes=changes,
        )

    def stop(self) -> None:
        """Stop without a grace period."""
        self.unpaused.set()
        self.server.stop(grace_s=0.0)

    def respond(self, request: Request) -> Response:
        """Answer a request; a replica that leaves says so in each response."""
        response = self.run_or_refuse(request)
        if self.leaving:
            response.headers["Server-Leaving"] = "1"
        return response

    def run_or_refuse(self, request: Request) -> Response:
        """Run a request in a slot, or refuse it."""
        request_id = request.headers.get("X-Request-Id", "")
        expected = request.headers.get("X-Expect-Instance", self.server_id)
        if expected != self.server_id:
            return self.make_refusal(421, request_id)
        if not request_id:
            return self.make_refusal(400, request_id)
        deadline_ms = int(request.headers.get("X-Deadline-Ms", "60000"))
        with self.lock:
            is_full = self.quiet_s is not None or self.admitted >= MAX_ADMITTED
            self.admitted += not is_full
        if is_full:
            self.record_arrival(request, deadline_ms, ran=False)
            refusal = self.make_refusal(503, request_id)
            if self.quiet_s is not None:
                refusal.headers["Retry-After"] = self.quiet_s
            return refusal
        try:
            if self.holds_until_deadline:
                self.record_arrival(request, deadline_ms, ran=True)
                time.sleep(deadline_ms / 1000)
                return Response(status=504, headers={"X-Request-Id": request_id})
            with self.slots:
                self.record_arrival(request, deadline_ms, ran=True)
                time.sleep(self.service_time_s)
                self.unpaused.wait()
        finally:
            with self.lock:
                self.admitted -= 1
        target = request.full_path.rstrip("?")
        body = encoded_records(self.service, target) + bytes(self.padding_bytes(target))
        response = Response(body, content_type="application/octet-stream")
        response.headers["X-Request-Id"] = request_id
        response.headers["X-Server-Stamp"] = reply_signature(self.service, request_id, body)
        if self.fault is not None:
            self.apply_fault(request, response, body)
        return response

    def apply_fault(self, request: Request, response: Response, body: bytes) -> None:
        """Pass the encoded response to the fault; close the connection if it returns True."""
        # The headers include the length of the body; a second one would make the answer malformed.
        lines = [
            "HTTP/1.1 200 OK",
            *(f"{name}: {value}" for name, value in response.headers.items()),
        ]
        sock = request.environ[SOCKET_KEY]
        assert self.fault is not None
        if self.fault(sock, "\r\n".join([*lines, "", ""]).encode() + body):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

    def record_arrival(self, request: Request, deadline_ms: int, *, ran: bool) -> None:
        """Report the arrival of a request to ``on_arrival``."""
        self.on_arrival(
            Arrival(
                request_id=request.headers["X-Request-Id"],
                target=request.full_path.rstrip("?"),
                service=self.service,
                server=self.server_id,
                deadline_ms=deadline_ms,
                arrived_at=time.monotonic(),
                ran=ran,
            )
        )

    def make_refusal(self, status: int, request_id: str) -> Response:
        """Return the response to a request that does not run."""
        response = Response(status=status)
        response.headers["X-Not-Executed"] = "1"
        response.headers["X-Instance-Id"] = self.server_id
        if request_id:
            response.headers["X-Request-Id"] = request_id
        return response


def encoded_records(service: str, target: str) -> bytes:
    """Return the records that each replica of a service holds for a target.

    An incomplete record follows them, which a merged answer must leave out.
    """
    digests = [
        hashlib.md5(f"{service} {target} {number}".encode(), usedforsecurity=False).digest()
        for number in range(RECORD_COUNT)
    ]
    return b"".join(digests) + b"rest"


def reply_signature(service: str, request_id: str, body: bytes) -> str:
    """Return the signature of a replica's reply, which names the service and the request."""
    digest = hashlib.md5(body, usedforsecurity=False).hexdigest()[:8]
    return f"{service}.{request_id}.{digest}"
