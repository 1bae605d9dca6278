"""Small stand-ins of the users' platform for the review scripts: store, replicas, consumers.

Everything runs in one asyncio loop on loopback addresses. Gateways are separate processes, started
with the command of ``deploy/system.toml`` from the folder that the build of that file fills.
"""

from __future__ import annotations

import asyncio
import base64
import hashlib
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOST = "desk.example"
LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 262144,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}
RECORD_COUNT = 20


def free_port(ip: str = "127.0.0.1") -> int:
    """Return a free port below the ephemeral range, so that no outgoing connection takes it."""
    while True:
        port = random.SystemRandom().randrange(10_000, 32_000)
        with socket.socket() as probe:
            try:
                probe.bind((ip, port))
            except OSError:
                continue
        return port


class Message:
    """One HTTP message: first line, headers by lower-case name, and body."""

    def __init__(self, first: str, headers: dict[str, str], body: bytes) -> None:
        self.first = first
        self.headers = headers
        self.body = body

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.first.split(" ")[1])


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Return the next message with a stated length, or None at the end of the connection."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Message(lines[0], headers, body)


def response(status: int, headers: dict[str, str] | None = None, body: bytes = b"") -> bytes:
    """Encode a response."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    return ("\r\n".join([*lines, "", ""])).encode("utf-8") + body


class Record:
    """The file ``record.txt`` of a case: one line for each event, with the time since the start."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.started_at = time.monotonic()
        self.lines: list[str] = []

    def __call__(self, text: str) -> None:
        self.lines.append(f"{time.monotonic() - self.started_at:8.3f} s  {text}")

    def write(self) -> None:
        """Write all lines."""
        self.path.write_text("\n".join(self.lines) + "\n")


class Store:
    """The platform's metadata store; ``listen`` opens one address for each machine that reads it.

    An address that is cut takes bytes and answers nothing, like a partition of that machine.
    """

    def __init__(self) -> None:
        self.items: dict[str, tuple[bytes, int]] = {}
        self.events: list[dict] = []
        self.revision = 1
        self.changed = asyncio.Condition()
        self.cut: set[str] = set()
        self.last_call: dict[str, float] = {}
        # Connections that were open when they went silent: they take bytes and answer nothing.
        self.open: set[asyncio.StreamWriter] = set()
        self.silent: set[asyncio.StreamWriter] = set()
        self.servers: list[asyncio.Server] = []

    async def listen(self, name: str) -> str:
        """Open an address for one machine and return it."""

        async def serve(reader, writer):
            await self.serve(name, reader, writer)

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.servers.append(server)
        return "{}:{}".format(*server.sockets[0].getsockname()[:2])

    async def put(self, key: str, value: bytes) -> None:
        """Write an item; the return is the confirmation."""
        async with self.changed:
            self.revision += 1
            self.items[key] = (value, self.revision)
            self.events.append(self.document(key))
            self.changed.notify_all()

    async def delete(self, key: str) -> None:
        """Remove an item."""
        async with self.changed:
            self.revision += 1
            del self.items[key]
            self.events.append({"key": key, "revision": self.revision, "compacted": True})
            self.changed.notify_all()

    def document(self, key: str) -> dict:
        """Return an item in the form of the store's replies."""
        value, revision = self.items[key]
        return {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": revision,
            "createdRev": revision,
            "leaseId": 0,
        }

    async def serve(self, name, reader, writer) -> None:
        """Answer the calls of one connection."""
        self.open.add(writer)
        try:
            while True:
                message = await read_message(reader)
                while name in self.cut or writer in self.silent:
                    await asyncio.sleep(0.05)
                self.last_call[name] = time.monotonic()
                status, body = await self.answer(message.first.split(" ")[1])
                while name in self.cut or writer in self.silent:
                    if writer.is_closing() or reader.at_eof():
                        return
                    await asyncio.sleep(0.05)
                writer.write(
                    response(status, {"Content-Type": "application/json"}, json.dumps(body).encode())
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.open.discard(writer)
            self.silent.discard(writer)
            writer.close()

    async def answer(self, target: str) -> tuple[int, dict]:
        """Return status and body for a call."""
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        prefix = query.get("pathPrefix", "")
        if parts.path == "/v1/kv-range":
            after = query.get("after", "")
            keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
            page = [self.document(key) for key in keys[:400]]
            return 200, {"items": page, "hasMore": len(keys) > 400, "atRev": self.revision}
        if parts.path == "/v1/kv-watch":
            after = int(query.get("after", "0"))

            def later() -> list[dict]:
                return [event for event in self.events if event["revision"] > after]

            async with self.changed:
                try:
                    await asyncio.wait_for(
                        self.changed.wait_for(lambda: bool(later())),
                        int(query.get("waitMs", "0")) / 1000,
                    )
                except TimeoutError:
                    pass
                return 200, {"events": later(), "atRev": self.revision}
        return 404, {}


class Arrival:
    """A request that a replica received."""

    def __init__(self, *, at: float, replica: Replica, message: Message) -> None:
        self.at = at
        self.replica = replica.id
        self.service = replica.service
        self.request_id = message.headers.get("x-request-id", "")
        self.target = message.first.split(" ")[1]


class Replica:
    """One replica: a few slots, a short queue, one request at a time on a connection.

    ``behave``, if set, is called with the replica and each request that got a slot. It returns the
    encoded answer, or None to break the connection off.
    """

    def __init__(self, id: str, service: str, zone: str, *, slots: int = 3, queue: int = 18) -> None:
        self.id = id
        self.service = service
        self.zone = zone
        self.slots = slots
        self.queue = queue
        self.work_s = 0.01
        self.free = asyncio.Semaphore(slots)
        self.admitted = 0
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.arrivals: list[Arrival] = []
        self.odd_bytes: list[bytes] = []
        self.behave = None
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.address = ""

    async def start(self, port: int = 0) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port, backlog=512)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname()[:2])

    def stop(self) -> None:
        """End like a process: close the listener and reset all connections."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def entry(self) -> bytes:
        """Return the replica's entry in the store."""
        return json.dumps(
            {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": self.slots,
                "state": self.state,
                "warmupLeftMs": 0,
                "sequence": 1,
                "born": self.born,
            }
        ).encode()

    async def serve(self, reader, writer) -> None:
        """Answer the requests of one connection."""
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if not message.first.split(" ")[0].isalpha():
                    self.odd_bytes.append(message.first.encode("latin-1"))
                    break
                data = await self.respond(message)
                if data is None:
                    writer.transport.abort()
                    break
                writer.write(data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def respond(self, message: Message) -> bytes | None:
        """Run a request, or say that it has not run."""
        request_id = message.headers.get("x-request-id", "")
        echo = {"X-Request-Id": request_id}
        if message.headers.get("x-expect-instance", self.id) != self.id:
            return response(421, echo | {"X-Not-Executed": "1"})
        if self.admitted >= self.slots + self.queue:
            return response(503, echo | {"X-Not-Executed": "1"})
        self.admitted += 1
        try:
            async with self.free:
                self.arrivals.append(
                    Arrival(at=time.monotonic(), replica=self, message=message)
                )
                if self.behave is not None:
                    return await self.behave(self, message)
                await asyncio.sleep(self.work_s)
                return self.success(message)
        finally:
            self.admitted -= 1

    def success(self, message: Message, **more: str) -> bytes:
        """Return the answer to a request that has run."""
        request_id = message.headers.get("x-request-id", "")
        target = message.first.split(" ")[1]
        body = b"".join(
            hashlib.md5(f"{self.service} {target} {number}".encode()).digest()
            for number in range(RECORD_COUNT)
        )
        stamp = f"{self.service}.{request_id}.{hashlib.md5(body).hexdigest()[:8]}"
        headers = {"X-Request-Id": request_id, "X-Server-Stamp": stamp} | more
        return response(200, headers, body)


class Gateway:
    """One gateway as a separate process, with the settings that the platform would write."""

    def __init__(self, name: str, zone: str, *, store: str, seeds: list[str], folder: Path) -> None:
        self.name = name
        self.zone = zone
        self.ip = "127.0.0.1"
        self.listen = f"{self.ip}:{free_port()}"
        self.ready = f"{self.ip}:{free_port()}"
        self.peer = f"{self.ip}:{free_port()}"
        self.store = store
        self.seeds = seeds
        self.folder = folder
        self.first_start = True
        self.process: subprocess.Popen | None = None
        self.log = folder / f"{name}.log"

    def settings(self) -> dict:
        """Return what ``deploy/settings.template`` gives for a machine of the small deployment."""
        return {
            "name": self.name,
            "zone": self.zone,
            "listen": self.listen,
            "ready_listen": self.ready,
            "peer_listen": self.peer,
            "seeds": self.seeds,
            "store": self.store,
            "first_start": self.first_start,
            "metrics_port": free_port(),
            "cpu_share": 0.537,
            "cpu_speed": 2,
            "grace_s": 6,
            "retry_ratio": 0.2,
            "retry_allowance": 58,
            "retry_window_s": 10,
        }

    def start(self) -> None:
        """Start the process with the run command of the deploy file."""
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.settings()))
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                deploy["roles"]["gateway"]["run"].split(),
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=kept
                | {
                    "RHUBARBWAY_CONFIG": str(path),
                    "PYTHONPATH": str(ROOT / "target/deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                },
            )

    def kill(self) -> None:
        """Kill the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()


class Reply:
    """What a consumer got: a status with headers and body, or 0 and the reason."""

    def __init__(self, status: int, *, headers=None, body: bytes = b"", error: str = "") -> None:
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.error = error

    def __str__(self) -> str:
        return f"{self.status}" if self.status else f"no answer ({self.error})"


async def send(
    address: str,
    target: str,
    *,
    request_id: str,
    method: str = "GET",
    body: bytes = b"",
    deadline_ms: int = 4000,
    connection=None,
) -> Reply:
    """Send one request, on a new connection unless one is given, and return what came back."""
    ip, _, port = address.rpartition(":")
    try:
        reader, writer = connection or await asyncio.open_connection(ip, int(port))
    except OSError as error:
        return Reply(0, error=f"connect: {error}")
    lines = [
        f"{method} {target} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Request-Id: {request_id}",
        f"X-Deadline-Ms: {deadline_ms}",
    ]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    try:
        writer.write("\r\n".join([*lines, "", ""]).encode() + body)
        await writer.drain()
        message = await asyncio.wait_for(read_message(reader), deadline_ms / 1000 + 2.0)
        return Reply(message.status, headers=message.headers, body=message.body)
    except (OSError, ValueError, IndexError, asyncio.IncompleteReadError) as error:
        return Reply(0, error=f"{type(error).__name__}: {error}")
    except TimeoutError:
        return Reply(0, error="nothing until two seconds after the time budget")
    finally:
        if connection is None:
            writer.close()


class World:
    """Store, replicas and gateways of one case; used as an asynchronous context manager."""

    def __init__(self) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store()
        self.replicas: list[Replica] = []
        self.gateways: list[Gateway] = []
        self.version = 0

    async def __aenter__(self) -> World:
        return self

    async def __aexit__(self, *exception) -> None:
        for gateway in self.gateways:
            gateway.kill()
        for replica in self.replicas:
            replica.stop()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)

    async def add_replica(self, service: str, zone: str = "a", **options) -> Replica:
        """Start and register a replica."""
        replica = Replica(f"i-{len(self.replicas):04x}", service, zone, **options)
        await replica.start()
        self.replicas.append(replica)
        await self.register(replica)
        return replica

    async def register(self, replica: Replica) -> None:
        """Write the entry of a replica."""
        await self.store.put(f"servers/{replica.id}", replica.entry())

    async def publish(self, routes: list[dict], *, max_connections: int) -> int:
        """Write the next configuration and return its version."""
        self.version += 3
        names = {route["service"] for route in routes if "service" in route}
        names |= {name for route in routes for name in route.get("gather", ())}
        document = {
            "version": self.version,
            "routes": routes,
            "services": [
                {"name": name, "healthPath": "/health", "maxConnections": max_connections}
                for name in sorted(names)
            ],
            "limits": LIMITS,
        }
        await self.store.put("op/config", json.dumps(document).encode())
        return self.version

    async def start_gateways(self, count: int) -> None:
        """Start gateways and wait until they are ready."""
        for number in range(count):
            name = f"gateway-{number}"
            gateway = Gateway(
                name,
                "abc"[number % 3],
                store=await self.store.listen(name),
                seeds=[known.peer for known in self.gateways[:3]],
                folder=self.folder,
            )
            self.gateways.append(gateway)
        for gateway in self.gateways:
            gateway.start()
        deadline = time.monotonic() + 30
        for gateway in self.gateways:
            while (await send(gateway.ready, "/v1/ready", request_id="ready")).status != 200:
                if time.monotonic() > deadline:
                    raise RuntimeError(f"{gateway.name} isn't ready")
                await asyncio.sleep(0.1)


def route(name: str, prefix: str, **fields) -> dict:
    """Return a route; ``fields`` replace or add fields."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": prefix,
        "routeType": "safe",
        "timeoutMs": 4000,
        "targetLatencyMs": 634,
        "priority": 2,
        "maxAttempts": 2,
    } | fields


def exit_on_sigterm() -> None:
    """Turn SIGTERM into an exit that still ends the gateways of this process."""

    def stop(*_: object) -> None:
        raise SystemExit(143)

    signal.signal(signal.SIGTERM, stop)


def run_case(main, record: Record) -> None:
    """Run a case; exit with 1 if it returns True (rule broken), 0 if False, 2 if it cannot run."""
    try:
        broken = asyncio.run(asyncio.wait_for(main(), 110))
    except BaseException as error:
        record(f"the case could not run: {type(error).__name__}: {error}")
        record.write()
        raise SystemExit(2) from error
    record("RULE BROKEN" if broken else "rule held")
    record.write()
    print("rule broken" if broken else "rule held")
    raise SystemExit(1 if broken else 0)
