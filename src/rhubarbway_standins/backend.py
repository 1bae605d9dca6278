"""Stand-in for the backend servers that ``rhubarbwayd`` calls, not those of the users' platform.

One process can serve several replicas, each on its own port.
"""

from __future__ import annotations

import os
import secrets
import select
import socket
import threading
import time
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any

import msgspec
from werkzeug.wrappers import Request, Response

from rhubarbway.edge.http_server import SOCKET_KEY, HttpServer
from rhubarbway.edge.json_codec import decode_json, encode_json, hex_digest
from rhubarbway.edge.wire import SubQueryBody, SubQueryReply

JSON_CONTENT_TYPE = "application/json"
CONTROL_PATH = "/control"


class ReplicaSpec:
    """Specification of a stand-in replica: what it serves and how fast.

    Parameters
    ----------
    name, address, zone, service, layout : str
        Identity, location and the data served.
    shard, slots, connections : int
        Shard index, maximum concurrent requests, and maximum connections.
    connect_ms : float
        Delay of the first reply on a connection, milliseconds.
    service_ms : float
        Median service time, milliseconds; times are log-normal with ``spread``.
    spread : float
        Standard deviation of the logarithm of the service time.
    snapshots : list of str
        Snapshots held, oldest first.
    zone_ms : dict of str to float
        Round-trip delay by name of the entry host, milliseconds.
    cold_answers : int
        Number of first answers of an incarnation that take ``cold_factor`` times as long.
    straggle_probability, straggle_factor : float
        Probability that a sub-query is slow, and the factor by which its time grows.
    queue_limit : int
        Requests that may wait for a slot before the server sheds load.
    fraction : float
        Fraction of the shard's data that answers cover.
    restart_s : float
        Time until a crashed replica restarts; if negative, a crash ends the whole process.
    """

    __slots__ = (
        "address",
        "cold_answers",
        "cold_factor",
        "connect_ms",
        "connections",
        "draining",
        "fraction",
        "layout",
        "name",
        "queue_limit",
        "restart_s",
        "service",
        "service_ms",
        "shard",
        "shedding",
        "slots",
        "snapshots",
        "spread",
        "straggle_factor",
        "straggle_probability",
        "wrong_body",
        "zone",
        "zone_ms",
    )

    def __init__(
        self,
        *,
        name: str,
        address: str,
        zone: str,
        service: str,
        layout: str,
        shard: int,
        slots: int,
        connections: int,
        connect_ms: float,
        service_ms: float = 5.0,
        spread: float = 0.25,
        snapshots: list[str] | None = None,
        zone_ms: dict[str, float] | None = None,
        cold_answers: int = 0,
        cold_factor: float = 4.0,
        straggle_probability: float = 0.0,
        straggle_factor: float = 50.0,
        queue_limit: int = 30,
        fraction: float = 1.0,
        restart_s: float = -1.0,
    ) -> None:
        self.name = name
        self.address = address
        self.zone = zone
        self.service = service
        self.layout = layout
        self.shard = shard
        self.slots = slots
        self.connections = connections
        self.connect_ms = connect_ms
        self.service_ms = service_ms
        self.spread = spread
        self.snapshots = snapshots or ["s-000001"]
        self.zone_ms = zone_ms or {}
        self.cold_answers = cold_answers
        self.cold_factor = cold_factor
        self.straggle_probability = straggle_probability
        self.straggle_factor = straggle_factor
        self.queue_limit = queue_limit
        self.fraction = fraction
        self.restart_s = restart_s
        # Off at the start; tests set the following through ``POST /control``.
        self.draining = False
        self.shedding = False
        # Key of WRONG_BODIES: the fault to inject instead of a correct answer.
        self.wrong_body: str | None = None

    def to_document(self) -> dict[str, Any]:
        """Return the fields that are stored in a specification file."""
        transient = ("draining", "shedding", "wrong_body")
        return {name: getattr(self, name) for name in self.__slots__ if name not in transient}


class Counters:
    """Event counts of one replica, which tests read through ``GET /control``."""

    __slots__ = ("answered", "cancelled", "connections_refused", "peak_running", "received", "shed")

    def __init__(self) -> None:
        self.received = 0
        self.answered = 0
        self.cancelled = 0
        self.shed = 0
        self.peak_running = 0
        self.connections_refused = 0


def truncated_reply(reply: SubQueryReply) -> bytes:
    """Return an encoded reply without its last 20 bytes."""
    return msgspec.json.encode(reply)[:-20]


def foreign_reply(reply: SubQueryReply) -> bytes:
    """Return a reply that belongs to another attempt."""
    reply.attempt = "other/0000000000000000/1"
    return msgspec.json.encode(reply)


def altered_reply(reply: SubQueryReply) -> bytes:
    """Return a reply whose items do not match their digest."""
    reply.items = msgspec.Raw(b"[]")
    return msgspec.json.encode(reply)


def other_snapshot_reply(reply: SubQueryReply) -> bytes:
    """Return a reply from another snapshot than the one asked for."""
    reply.snapshot = "s-999999"
    return msgspec.json.encode(reply)


def foreign_refusal(reply: SubQueryReply) -> bytes:
    """Return a refusal of another attempt, although this attempt ran."""
    reply.refused = "shed"
    return foreign_reply(reply)


WRONG_BODIES: dict[str, Callable[[SubQueryReply], bytes]] = {
    "truncated": truncated_reply,
    "foreign": foreign_reply,
    "foreign_refusal": foreign_refusal,
    "altered": altered_reply,
    "other_snapshot": other_snapshot_reply,
    "not_json": lambda reply: b"\xff\xfe<html>",
    "deep": lambda reply: b"[" * 5000,
}


class RunHistory:
    """Appends each run of a sub-query to a file as one JSON line; without a path, does nothing."""

    __slots__ = ("descriptor",)

    def __init__(self, *, path: Path | None) -> None:
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
        self.descriptor = os.open(path, flags) if path is not None else -1

    def append(self, entry: dict[str, Any]) -> None:
        """Write one entry in a single ``write`` call, which a kill cannot split."""
        if self.descriptor >= 0:
            os.write(self.descriptor, encode_json(entry) + b"\n")


class ReplicaServer:
    """One replica: runs sub-queries in a limited number of slots, queues others, injects faults."""

    __slots__ = (
        "condition",
        "counters",
        "crashed",
        "history",
        "incarnation",
        "random",
        "running",
        "server",
        "spec",
        "sub_queries_run",
        "used_sockets",
        "waiting",
    )

    def __init__(self, *, spec: ReplicaSpec, history: RunHistory, seed: int) -> None:
        self.spec = spec
        self.history = history
        self.random = Random(f"{seed}/{spec.name}")
        self.condition = threading.Condition()
        self.counters = Counters()
        self.start()

    def start(self) -> None:
        """Listen with a new incarnation."""
        self.crashed = False
        self.incarnation = secrets.token_hex(8)
        self.running = 0
        self.waiting = 0
        self.sub_queries_run = 0
        self.used_sockets: set[int] = set()
        host, _, port = self.spec.address.rpartition(":")
        self.server = HttpServer(
            address=(host, int(port)),
            handler=self.respond,
            error_handler=self.refuse,
            max_connections=self.spec.connections,
            name=self.spec.name,
        )
        self.server.start()

    def refuse(self, status: int, detail: str) -> Response:
        """Refuse a connection beyond the limit, or a message that is not HTTP."""
        self.counters.connections_refused += status == 503
        return Response(detail, status=status)

    def respond(self, request: Request) -> Response:
        """Serve status, sub-queries and control."""
        if self.crashed:
            raise ConnectionResetError("the replica has crashed")
        handlers = {
            "/v1/status": self.answer_status,
            "/v1/subquery": self.answer_sub_query,
            CONTROL_PATH: self.answer_control,
        }
        handler = handlers.get(request.path)
        return handler(request) if handler else Response(status=404)

    def answer_status(self, request: Request) -> Response:
        """Report incarnation, snapshots and whether the replica is draining."""
        self.delay_first_reply(request)
        body = {
            "incarnation": self.incarnation,
            "held_snapshots": self.spec.snapshots,
            "layout": self.spec.layout,
            "draining": self.spec.draining,
        }
        return Response(encode_json(body), content_type=JSON_CONTENT_TYPE)

    def answer_control(self, request: Request) -> Response:
        """Change fields of the specification (POST) or report the counters (GET)."""
        if request.method == "POST":
            for name, value in decode_json(request.get_data()).items():
                setattr(self.spec, name, value)
        counters = {name: getattr(self.counters, name) for name in Counters.__slots__}
        return Response(encode_json(counters), content_type=JSON_CONTENT_TYPE)

    def delay_first_reply(self, request: Request) -> None:
        """Sleep for ``connect_ms`` if the request is the first on its connection."""
        sock = request.environ[SOCKET_KEY]
        if id(sock) not in self.used_sockets:
            self.used_sockets.add(id(sock))
            time.sleep(self.spec.connect_ms / 1000)

    def answer_sub_query(self, request: Request) -> Response:
        """Run one sub-query as soon as a slot is free, or refuse it."""
        received_at = time.monotonic()
        self.delay_first_reply(request)
        body = msgspec.json.decode(request.get_data(), type=SubQueryBody)
        self.counters.received += 1
        # The identifier of an attempt starts with the name of the entry host that made it.
        delay_s = self.spec.zone_ms.get(body.attempt.split("/")[0], 0.0) / 1000
        refused = self.refusal_reason(body) or self.wait_for_slot(
            received_at + body.deadline_ms / 1000
        )
        if refused is not None:
            self.counters.shed += refused == "shed"
            time.sleep(delay_s)
            reply = SubQueryReply(
                attempt=body.attempt,
                incarnation=self.incarnation,
                held_snapshots=self.spec.snapshots,
                draining=self.spec.draining,
                refused=refused,
            )
            return Response(msgspec.json.encode(reply), status=409, content_type=JSON_CONTENT_TYPE)
        try:
            finished = self.run_sub_query(body, request.environ[SOCKET_KEY], delay_s)
        finally:
            with self.condition:
                self.running -= 1
                self.condition.notify()
        if not finished:
            self.counters.cancelled += 1
            return Response(status=499)
        self.counters.answered += 1
        return Response(self.encode_reply(body), content_type=JSON_CONTENT_TYPE)

    def refusal_reason(self, body: SubQueryBody) -> str | None:
        """Return why a sub-query is refused before it waits for a slot."""
        if self.spec.draining:
            return "draining"
        if body.service != self.spec.service or body.layout != self.spec.layout:
            return "layout_absent"
        if body.shard != self.spec.shard:
            return "layout_absent"
        if body.snapshot not in self.spec.snapshots:
            return "snapshot_absent"
        if self.spec.shedding or self.waiting >= self.spec.queue_limit:
            return "shed"
        return None

    def wait_for_slot(self, deadline: float) -> str | None:
        """Acquire a slot, or return the reason if none is free before the deadline."""
        with self.condition:
            self.waiting += 1
            acquired = self.condition.wait_for(
                lambda: self.running < self.spec.slots, timeout=deadline - time.monotonic()
            )
            self.waiting -= 1
            if not acquired:
                return "deadline_passed"
            self.running += 1
            self.counters.peak_running = max(self.counters.peak_running, self.running)
        return None

    def run_sub_query(self, body: SubQueryBody, sock: socket.socket, delay_s: float) -> bool:
        """Record the run and wait for its service time.

        Returns False if the caller disconnects or the replica crashes.
        """
        payload = decode_json(bytes(body.payload))
        self.history.append(
            {
                "at": time.time(),
                "replica": self.spec.name,
                "incarnation": self.incarnation,
                "attempt": body.attempt,
                "layout": body.layout,
                "shard": body.shard,
                "snapshot": body.snapshot,
                "unsafe": body.unsafe,
                "payload": payload,
            }
        )
        if isinstance(payload, dict) and payload.get("crash"):
            self.crash()
            return False
        median_s = self.spec.service_ms / 1000
        duration_s = median_s * self.random.lognormvariate(0.0, self.spec.spread)
        if self.random.random() < self.spec.straggle_probability:
            duration_s *= self.spec.straggle_factor
        if self.sub_queries_run < self.spec.cold_answers:
            duration_s *= self.spec.cold_factor
        self.sub_queries_run += 1
        return not wait_for_peer_close(sock, duration_s + delay_s)

    def encode_reply(self, body: SubQueryBody) -> bytes:
        """Return the encoded answer, or a faulty one if ``wrong_body`` is set."""
        payload = decode_json(bytes(body.payload))
        query = payload.get("q") if isinstance(payload, dict) else payload
        item = {
            "layout": body.layout,
            "shard": body.shard,
            "snapshot": body.snapshot,
            "q": query,
        }
        items = encode_json([item])
        reply = SubQueryReply(
            attempt=body.attempt,
            incarnation=self.incarnation,
            held_snapshots=self.spec.snapshots,
            draining=self.spec.draining,
            service=body.service,
            layout=body.layout,
            shard=body.shard,
            snapshot=body.snapshot,
            fraction=self.spec.fraction,
            length=len(items),
            digest=hex_digest(items),
            items=msgspec.Raw(items),
        )
        if self.spec.wrong_body is not None:
            return WRONG_BODIES[self.spec.wrong_body](reply)
        return msgspec.json.encode(reply)

    def crash(self) -> None:
        """End the process, or close this replica and restart it later."""
        if self.spec.restart_s < 0:
            os._exit(70)
        # From here on nothing is accepted or answered, as after the end of a process.
        self.crashed = True
        self.server.cut_off()
        threading.Thread(target=self.restart, daemon=True).start()

    def restart(self) -> None:
        """Stop the server and its tasks, wait for ``restart_s``, and start again."""
        self.server.stop(grace_s=0.0)
        time.sleep(self.spec.restart_s)
        self.start()


def wait_for_peer_close(sock: socket.socket, duration_s: float) -> bool:
    """Wait for a duration, or return True as soon as the peer closes the connection."""
    deadline = time.monotonic() + duration_s
    while (remaining_s := deadline - time.monotonic()) > 0:
        try:
            readable, _, _ = select.select([sock], [], [], remaining_s)
            if readable and not sock.recv(1, socket.MSG_PEEK):
                return True
        except (OSError, ValueError):
            return True
        if readable:
            # Unread data makes ``select`` return at once, so it cannot wait for the close any more.
            time.sleep(remaining_s)
    return False


def replica_specs_from_file(path: Path) -> list[ReplicaSpec]:
    """Return the replica specifications in a file that holds a JSON array."""
    return [ReplicaSpec(**document) for document in decode_json(path.read_bytes())]
