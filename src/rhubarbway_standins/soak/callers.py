"""Callers of a soak run; each keeps its connection until the host closes it."""

from __future__ import annotations

import contextlib
import http.client
import secrets
import threading
import time
from random import Random

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


class CallerRequest:
    """One request of a caller to the entry host with the index ``host``, and its result.

    ``status`` is 0 without a complete answer.
    """

    __slots__ = (
        "body",
        "ended_at",
        "error",
        "headers",
        "host",
        "is_connection_reused",
        "request_id",
        "started_at",
        "status",
        "target",
    )

    def __init__(
        self, *, request_id: str, target: str, host: int, is_connection_reused: bool
    ) -> None:
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


class Caller:
    """Caller that sends one request at a time until it is stopped."""

    __slots__ = (
        "connection",
        "host",
        "random",
        "requests",
        "stopping",
        "testbed",
    )

    def __init__(self, *, testbed: SoakTestbed, seed: int, stopping: threading.Event) -> None:
        self.testbed = testbed
        self.random = Random(seed)
        self.stopping = stopping
        self.requests: list[CallerRequest] = []
        self.host = self.random.randrange(len(testbed.gateways.addresses))
        self.connection: http.client.HTTPConnection | None = None

    def run(self) -> None:
        """Send requests until the run stops; move to the next host after a failure."""
        number = 0
        while not self.stopping.is_set():
            prefix = self.random.choices(
                list(PREFIX_WEIGHTS), weights=list(PREFIX_WEIGHTS.values())
            )[0]
            number += 1
            request = self.send_request(f"{prefix}{self.random.randrange(1 << 30):x}")
            if request.status == 0:
                self.host = (self.host + 1) % len(self.testbed.gateways.addresses)
            self.stopping.wait(self.random.uniform(MIN_PAUSE_S, MAX_PAUSE_S))
        self.disconnect()

    def send_request(self, target: str) -> CallerRequest:
        """Send one request on the open connection, or on a new one, and record the result."""
        is_connection_reused = self.connection is not None
        request = CallerRequest(
            request_id=secrets.token_hex(8),
            target=target,
            host=self.host,
            is_connection_reused=is_connection_reused,
        )
        self.requests.append(request)
        headers = {
            "Host": VIRTUAL_HOST,
            "X-Request-Id": request.request_id,
            "X-Deadline-Ms": str(DEADLINE_MS),
        }
        method = "POST" if request.is_booking else "GET"
        try:
            if self.connection is None:
                address = self.testbed.gateways.addresses[self.host]
                self.connection = http.client.HTTPConnection(address, timeout=DEADLINE_MS / 1000)
            body = b"booking" if request.is_booking else None
            self.connection.request(method, target, body=body, headers=headers)
            response = self.connection.getresponse()
            request.body = response.read()
            request.headers = {name.lower(): value for name, value in response.getheaders()}
            request.status = response.status
            if request.headers.get("connection") == "close":
                self.disconnect()
        except (OSError, http.client.HTTPException) as error:
            request.error = type(error).__name__
            self.disconnect()
        request.ended_at = time.monotonic()
        return request

    def disconnect(self) -> None:
        """Close the connection."""
        if self.connection is not None:
            with contextlib.suppress(OSError):
                self.connection.close()
            self.connection = None
