"""Callers of a soak run: each keeps its connection open until the process is gone."""

from __future__ import annotations

import contextlib
import http.client
import secrets
import threading
import time
from random import Random

from rhubarbway_standins.platform.site import BOOKING, HOST, SEARCH, SINGLE
from rhubarbway_standins.soak.stage import SoakStage

# How long a caller waits, milliseconds, and its pause between two requests, seconds.
DEADLINE_MS = 1500
SHORTEST_PAUSE_S = 0.01
LONGEST_PAUSE_S = 0.06
# Kinds of requests by path prefix, with the weight of each.
KINDS = {SEARCH: 6, SINGLE: 2, BOOKING: 2}


class Ask:
    """One request of a caller and its end; ``status`` is 0 without a whole answer."""

    __slots__ = (
        "began_at",
        "body",
        "ended_at",
        "headers",
        "host",
        "is_reused",
        "problem",
        "request_id",
        "status",
        "target",
    )

    def __init__(self, *, request_id: str, target: str, host: int, is_reused: bool) -> None:
        self.request_id = request_id
        self.target = target
        self.host = host
        self.is_reused = is_reused
        self.began_at = time.monotonic()
        self.ended_at = 0.0
        self.status = 0
        # Why there is no answer.
        self.problem = ""
        self.headers: dict[str, str] = {}
        self.body = b""

    @property
    def seconds(self) -> float:
        """Time from the request to its end."""
        return self.ended_at - self.began_at

    @property
    def is_booking(self) -> bool:
        """Whether the request may run only once."""
        return self.target.startswith(BOOKING)


class Caller:
    """One caller: sends requests one after the other until it is stopped."""

    __slots__ = ("asks", "connection", "host", "random", "stage", "stopping")

    def __init__(self, *, stage: SoakStage, seed: int, stopping: threading.Event) -> None:
        self.stage = stage
        self.random = Random(seed)
        self.stopping = stopping
        self.asks: list[Ask] = []
        self.host = self.random.randrange(len(stage.gateways.addresses))
        self.connection: http.client.HTTPConnection | None = None

    def run(self) -> None:
        """Task of the caller."""
        number = 0
        while not self.stopping.is_set():
            prefix = self.random.choices(list(KINDS), weights=list(KINDS.values()))[0]
            number += 1
            ask = self.ask(f"{prefix}{self.random.randrange(1 << 30):x}")
            if ask.status == 0:
                self.host = (self.host + 1) % len(self.stage.gateways.addresses)
            self.stopping.wait(self.random.uniform(SHORTEST_PAUSE_S, LONGEST_PAUSE_S))
        self.disconnect()

    def ask(self, target: str) -> Ask:
        """Send one request on the kept connection, or on a new one, and record its end."""
        is_reused = self.connection is not None
        ask = Ask(
            request_id=secrets.token_hex(8), target=target, host=self.host, is_reused=is_reused
        )
        self.asks.append(ask)
        headers = {
            "Host": HOST,
            "X-Request-Id": ask.request_id,
            "X-Deadline-Ms": str(DEADLINE_MS),
        }
        method = "POST" if ask.is_booking else "GET"
        try:
            if self.connection is None:
                address = self.stage.gateways.addresses[self.host]
                self.connection = http.client.HTTPConnection(address, timeout=DEADLINE_MS / 1000)
            body = b"booking" if ask.is_booking else None
            self.connection.request(method, target, body=body, headers=headers)
            response = self.connection.getresponse()
            ask.body = response.read()
            ask.headers = {name.lower(): value for name, value in response.getheaders()}
            ask.status = response.status
            if ask.headers.get("connection") == "close":
                self.disconnect()
        except (OSError, http.client.HTTPException) as error:
            ask.problem = type(error).__name__
            self.disconnect()
        ask.ended_at = time.monotonic()
        return ask

    def disconnect(self) -> None:
        """Close the connection."""
        if self.connection is not None:
            with contextlib.suppress(OSError):
                self.connection.close()
            self.connection = None
