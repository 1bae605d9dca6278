"""Callers of a soak run; each keeps its connection until the host closes it, except in bursts."""

from __future__ import annotations

import contextlib
import secrets
import socket
import threading
import time
from random import Random

import h11

from rhubarbway_standins.fault_proxy import socket_address
from rhubarbway_standins.platform.site import (
    BOOKING_PREFIX,
    SEARCH_PREFIX,
    SINGLE_PREFIX,
    VIRTUAL_HOST,
)
from rhubarbway_standins.soak.testbed import SoakTestbed

# Deadline of a request, milliseconds, and bounds of the pause between two requests, seconds.
DEADLINE_MS = 1500
MIN_PAUSE_S = 0.01
MAX_PAUSE_S = 0.06
# Weights of the kinds of requests, by path prefix.
PREFIX_WEIGHTS = {SEARCH_PREFIX: 6, SINGLE_PREFIX: 2, BOOKING_PREFIX: 2}
# Deadlines of the requests of a burst, milliseconds. They are short, so that many of them pass.
BURST_DEADLINES_MS = (100, 200, 400)
# Probability that a caller of a burst leaves before the answer, and the longest time that it stays.
LEAVE_PROBABILITY = 0.15
MAX_STAY_S = 0.1
# Pause of a burst caller after a failed request, so that it does not spin on a host that is down.
FAILURE_PAUSE_S = 0.05
# Start of each answer.
STATUS_LINE_START = b"HTTP/1.1 "
RECEIVE_BYTES = 64 * 1024
# Number of unexpected bytes that a problem quotes.
QUOTED_BYTES = 24
# Errors of requests whose caller got no answer before its timeout, and whose caller left.
CALLER_TIMEOUT = "TimeoutError"
CALLER_LEFT = "CallerLeft"


class UnexpectedBytes(Exception):
    """Raised when bytes on a connection are no answer."""


class CallerRequest:
    """One request of a caller to the entry host with the index ``host``, and its result.

    ``status`` is 0 without a complete answer. ``unexpected_bytes`` says which bytes on its
    connection were no answer, during the request or between it and the next one.
    """

    __slots__ = (
        "body",
        "deadline_ms",
        "ended_at",
        "error",
        "headers",
        "host",
        "is_connection_reused",
        "request_id",
        "started_at",
        "status",
        "target",
        "unexpected_bytes",
    )

    def __init__(
        self,
        *,
        request_id: str,
        target: str,
        host: int,
        is_connection_reused: bool,
        deadline_ms: int = DEADLINE_MS,
    ) -> None:
        self.deadline_ms = deadline_ms
        self.unexpected_bytes = ""
        self.request_id = request_id
        self.target = target
        self.host = host
        self.is_connection_reused = is_connection_reused
        self.started_at = time.monotonic()
        self.ended_at = 0.0
        self.status = 0
        # Name of the exception if there is no answer.
        self.error = ""
        self.headers: dict[str, str] = {}
        self.body = b""

    @property
    def latency_s(self) -> float:
        """Time from the request to its answer or failure, seconds; undefined before that."""
        return self.ended_at - self.started_at

    @property
    def is_booking(self) -> bool:
        """Whether the request may run only once."""
        return self.target.startswith(BOOKING_PREFIX)


class CallerConnection:
    """Connection of a caller that accepts only answers to its requests."""

    __slots__ = ("protocol", "sock")

    def __init__(self, *, address: str) -> None:
        self.sock = socket.create_connection(socket_address(address), timeout=DEADLINE_MS / 1000)
        self.protocol = h11.Connection(h11.CLIENT)

    def exchange(
        self, head: h11.Request, body: bytes, *, timeout_s: float
    ) -> tuple[h11.Response, bytes]:
        """Send a request and return its answer; ``timeout_s`` limits the wait for each part.

        Raises
        ------
        UnexpectedBytes
            If the host sends bytes that are no answer.
        OSError
            If the connection ends or the time limit passes before the answer is complete.
        """
        self.sock.settimeout(timeout_s)
        data = self.protocol.send(head)
        data += self.protocol.send(h11.Data(data=body)) if body else b""
        self.sock.sendall(data + self.protocol.send(h11.EndOfMessage()))
        received = b""
        chunks: list[bytes] = []
        response = None
        while True:
            try:
                event = self.protocol.next_event()
            except h11.RemoteProtocolError as error:
                raise UnexpectedBytes(
                    f"{error}: {received[:QUOTED_BYTES]!r} in place of an answer"
                ) from error
            if event is h11.NEED_DATA:
                data = self.sock.recv(RECEIVE_BYTES)
                if not data:
                    raise ConnectionResetError("the host closed the connection")
                received = received if response else received + data
                start = received[: len(STATUS_LINE_START)]
                if not STATUS_LINE_START.startswith(start):
                    raise UnexpectedBytes(f"{received[:QUOTED_BYTES]!r} in place of a status line")
                self.protocol.receive_data(data)
            elif isinstance(event, h11.Response):
                response = event
            elif isinstance(event, h11.Data):
                chunks.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                assert response is not None
                return response, b"".join(chunks)

    def bytes_without_request(self) -> bytes:
        """Return the bytes that have arrived behind the last answer."""
        data = self.protocol.trailing_data[0]
        # With a time limit, ``recv`` would wait for it despite MSG_DONTWAIT.
        self.sock.settimeout(0.0)
        with contextlib.suppress(OSError):
            data += self.sock.recv(RECEIVE_BYTES, socket.MSG_PEEK)
        return data


class Caller:
    """Caller that sends one request at a time until it is stopped.

    Outside a burst it pauses between requests. A burst caller sends requests only in bursts, most
    of them on new connections and with deadlines that often pass, and leaves some answers.
    """

    __slots__ = (
        "connection",
        "host",
        "is_burst_caller",
        "random",
        "requests",
        "stopping",
        "testbed",
    )

    def __init__(
        self,
        *,
        testbed: SoakTestbed,
        seed: int,
        stopping: threading.Event,
        is_burst_caller: bool = False,
    ) -> None:
        self.testbed = testbed
        self.random = Random(seed)
        self.stopping = stopping
        self.is_burst_caller = is_burst_caller
        self.requests: list[CallerRequest] = []
        self.host = self.random.randrange(len(testbed.gateways.addresses))
        self.connection: CallerConnection | None = None

    def run(self) -> None:
        """Send requests until the run stops; move to the next host after a failure."""
        while not self.stopping.is_set():
            if self.is_burst_caller and not self.testbed.burst.wait(MAX_PAUSE_S):
                continue
            prefix = self.random.choices(
                list(PREFIX_WEIGHTS), weights=list(PREFIX_WEIGHTS.values())
            )[0]
            target = f"{prefix}{self.random.randrange(1 << 30):x}"
            request = self.send_burst_request(target) if self.is_burst_caller else None
            request = request or self.send_request(target)
            if request.error not in ("", CALLER_LEFT):
                self.host = (self.host + 1) % len(self.testbed.gateways.addresses)
                self.stopping.wait(FAILURE_PAUSE_S)
            elif not self.testbed.burst.is_set():
                self.stopping.wait(self.random.uniform(MIN_PAUSE_S, MAX_PAUSE_S))
        self.disconnect()

    def send_burst_request(self, target: str) -> CallerRequest:
        """Send a request with a short deadline on a connection of its own."""
        does_leave = self.random.random() < LEAVE_PROBABILITY
        request = self.send_request(
            target,
            deadline_ms=self.random.choice(BURST_DEADLINES_MS),
            stay_s=self.random.uniform(0.001, MAX_STAY_S) if does_leave else None,
        )
        self.disconnect()
        return request

    def send_request(
        self, target: str, *, deadline_ms: int = DEADLINE_MS, stay_s: float | None = None
    ) -> CallerRequest:
        """Send one request on the open connection, or on a new one, and record the result.

        With ``stay_s``, the caller leaves if no answer comes in that time.
        """
        if self.connection is not None and self.has_unexpected_bytes():
            self.disconnect()
        request = CallerRequest(
            request_id=secrets.token_hex(8),
            target=target,
            host=self.host,
            is_connection_reused=self.connection is not None,
            deadline_ms=deadline_ms,
        )
        self.requests.append(request)
        body = b"booking" if request.is_booking else b""
        head = h11.Request(
            method="POST" if request.is_booking else "GET",
            target=target,
            headers=[
                ("Host", VIRTUAL_HOST),
                ("X-Request-Id", request.request_id),
                ("X-Deadline-Ms", str(deadline_ms)),
                ("Content-Length", str(len(body))),
            ],
        )
        try:
            if self.connection is None:
                self.connection = CallerConnection(
                    address=self.testbed.gateways.addresses[self.host]
                )
            response, request.body = self.connection.exchange(
                head, body, timeout_s=stay_s or DEADLINE_MS / 1000
            )
            request.headers = {
                name.decode("latin-1"): value.decode("latin-1") for name, value in response.headers
            }
            request.status = response.status_code
            if self.has_unexpected_bytes() or request.headers.get("connection") == "close":
                self.disconnect()
            else:
                self.connection.protocol.start_next_cycle()
        except (OSError, UnexpectedBytes) as error:
            request.error = type(error).__name__
            if isinstance(error, UnexpectedBytes):
                request.unexpected_bytes = str(error)
            if stay_s is not None and isinstance(error, TimeoutError):
                request.error = CALLER_LEFT
            self.disconnect()
        request.ended_at = time.monotonic()
        return request

    def has_unexpected_bytes(self) -> bool:
        """Whether bytes have arrived since the last answer; records them with its request."""
        assert self.connection is not None
        data = self.connection.bytes_without_request()
        if data:
            self.requests[-1].unexpected_bytes = f"{data[:QUOTED_BYTES]!r} behind an answer"
        return bool(data)

    def disconnect(self) -> None:
        """Close the connection."""
        if self.connection is not None:
            self.connection.sock.close()
            self.connection = None
