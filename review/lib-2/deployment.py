"""A small deployment on loopback for the scripts of this review.

It has a store, replicas, gateways and callers. Only the standard library is used. The stand-ins do
what PROTOCOL.md and DEPLOY.md say, and where a page is silent they behave like a sound server,
client or platform. The gateways are the project's own processes, started by the run command of
``deploy/system.toml`` with settings that are filled in from ``deploy/settings.template``.
"""

from __future__ import annotations

import base64
import contextlib
import hashlib
import json
import os
import random
import re
import signal
import socket
import subprocess
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
METRICS_PORT = 9464
BEGAN_AT = time.monotonic()


def now_ms() -> int:
    """Milliseconds since the script began."""
    return round((time.monotonic() - BEGAN_AT) * 1000)


class Record:
    """Lines of ``record.txt``: what was sent, answered and run, with milliseconds."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w")
        self.lock = threading.Lock()

    def __call__(self, text: str) -> None:
        with self.lock:
            self.file.write(f"{now_ms():7d} {text}\n")
            self.file.flush()


def free_port(ip: str) -> int:
    """Return a free port on an address."""
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


class Message:
    """First line, headers (lower-case names) and body of an HTTP message."""

    def __init__(self, first: str, headers: list[tuple[str, str]], body: bytes) -> None:
        self.first = first
        self.headers = headers
        self.body = body

    def get(self, name: str, default: str = "") -> str:
        """Return the value of a header."""
        return next((value for key, value in self.headers if key == name), default)


class Incomplete(OSError):
    """Raised when a connection ends within a message; ``got`` is what arrived."""

    def __init__(self, got: bytes) -> None:
        super().__init__("the connection ended within a message")
        self.got = got


class Connection:
    """Buffered reading of HTTP messages from a socket."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.buffer = b""

    def fill(self) -> bool:
        """Read more bytes; return False at the end of the connection."""
        data = self.sock.recv(65536)
        self.buffer += data
        return bool(data)

    def read_message(self, *, is_response: bool, method: str = "GET") -> Message | None:
        """Return the next message, or None if the connection ended before it began."""
        while b"\r\n\r\n" not in self.buffer:
            if not self.fill():
                if self.buffer:
                    raise Incomplete(self.buffer)
                return None
        head, _, self.buffer = self.buffer.partition(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        headers = []
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers.append((name.strip().lower(), value.strip()))
        message = Message(lines[0], headers, b"")
        if is_response and lines[0].split()[1].startswith("1"):
            return self.read_message(is_response=True, method=method)
        if message.get("transfer-encoding").lower() == "chunked":
            message.body = self.read_chunks()
        elif message.get("content-length"):
            message.body = self.take(int(message.get("content-length")))
        elif is_response and method != "HEAD" and lines[0].split()[1] not in ("204", "304"):
            while self.fill():
                pass
            message.body, self.buffer = self.buffer, b""
        return message

    def take(self, count: int) -> bytes:
        """Return exactly ``count`` bytes."""
        while len(self.buffer) < count:
            if not self.fill():
                raise Incomplete(self.buffer)
        data, self.buffer = self.buffer[:count], self.buffer[count:]
        return data

    def take_line(self) -> bytes:
        """Return the bytes up to a line break, without it."""
        while b"\r\n" not in self.buffer:
            if not self.fill():
                raise Incomplete(self.buffer)
        line, _, self.buffer = self.buffer.partition(b"\r\n")
        return line

    def read_chunks(self) -> bytes:
        """Return the body of a chunked message."""
        body = b""
        while size := int(self.take_line().split(b";")[0], 16):
            body += self.take(size)
            self.take_line()
        while self.take_line():
            pass
        return body


def encode_response(status: int, headers: list[tuple[str, str]], body: bytes = b"") -> bytes:
    """Return the bytes of a response with a stated length."""
    lines = [f"HTTP/1.1 {status} Status", *(f"{name}: {value}" for name, value in headers)]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


class Listener:
    """Accepts connections, each of which gets a thread."""

    def __init__(self, ip: str, serve: Callable[[socket.socket], None], *, port: int = 0) -> None:
        self.sock = socket.create_server((ip, port), backlog=512)
        self.ip, self.port = self.sock.getsockname()[:2]
        self.serve = serve
        self.open: set[socket.socket] = set()
        self.lock = threading.Lock()
        threading.Thread(target=self.accept, daemon=True).start()

    @property
    def address(self) -> str:
        """``IP:PORT``."""
        return f"{self.ip}:{self.port}"

    def accept(self) -> None:
        """Accept until the listener is closed."""
        while True:
            try:
                sock, _ = self.sock.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.lock:
                self.open.add(sock)
            threading.Thread(target=self.run, args=(sock,), daemon=True).start()

    def run(self, sock: socket.socket) -> None:
        """Serve one connection, and close it."""
        try:
            self.serve(sock)
        except OSError:
            pass
        finally:
            with self.lock:
                self.open.discard(sock)
            sock.close()

    def close(self) -> None:
        """Close the listener and all connections."""
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()
        with self.lock:
            for sock in self.open:
                with contextlib.suppress(OSError):
                    sock.shutdown(socket.SHUT_RDWR)


def encode_json(value: object) -> bytes:
    """Return the JSON text of a value, without spaces."""
    return json.dumps(value, separators=(",", ":")).encode()


class Store:
    """The platform's metadata store: pages, watches, one revision counter.

    A watch gets all events after its revision. Events are kept for ``HISTORY_S``; a watch from an
    earlier revision gets 410.
    """

    PAGE = 50
    HISTORY_S = 20.0

    def __init__(self, record: Record) -> None:
        self.record = record
        self.items: dict[str, tuple[bytes, int]] = {}
        self.events: list[dict] = []
        self.event_times: list[float] = []
        self.history_start = 100
        self.revision = 100
        self.changed = threading.Condition()
        self.listener = Listener("127.0.0.1", self.serve)

    def put(self, key: str, value: object) -> None:
        """Write a value as JSON, or bytes as they are; the return is the store's confirmation."""
        data = value if isinstance(value, bytes) else encode_json(value)
        with self.changed:
            self.revision += 1
            self.items[key] = (data, self.revision)
            self.add_event(self.item(key))

    def delete(self, key: str) -> None:
        """Remove a key."""
        with self.changed:
            if self.items.pop(key, None) is not None:
                self.revision += 1
                self.add_event({"key": key, "revision": self.revision, "compacted": True})

    def add_event(self, event: dict) -> None:
        """Add an event, drop those that are too old, and wake the watches."""
        self.events.append(event)
        self.event_times.append(time.monotonic())
        self.drop_history()
        self.changed.notify_all()

    def drop_history(self) -> None:
        """Drop the events that are older than the history."""
        oldest = time.monotonic() - self.HISTORY_S
        while self.event_times and self.event_times[0] < oldest:
            self.event_times.pop(0)
            self.history_start = self.events.pop(0)["revision"]

    def item(self, key: str) -> dict:
        """Return an item as the store's responses carry it."""
        data, revision = self.items[key]
        return {
            "key": key,
            "value": base64.b64encode(data).decode(),
            "revision": revision,
            "createdRev": revision,
            "leaseId": 0,
        }

    def serve(self, sock: socket.socket) -> None:
        """Answer the calls on one connection."""
        connection = Connection(sock)
        while (request := connection.read_message(is_response=False)) is not None:
            url = urlsplit(request.first.split()[1])
            query = {name: values[0] for name, values in parse_qs(url.query).items()}
            status, body = self.answer(url.path, query)
            headers = [("Content-Type", "application/json")]
            sock.sendall(encode_response(status, headers, json.dumps(body).encode()))

    def answer(self, path: str, query: dict[str, str]) -> tuple[int, dict]:
        """Return status and body of the answer to a call."""
        prefix = query.get("pathPrefix", "")
        with self.changed:
            if path == "/v1/kv-key":
                key = query.get("key", "")
                if key not in self.items:
                    return 404, {}
                return 200, self.item(key) | {"atRev": self.revision}
            if path == "/v1/kv-range":
                after = query.get("after", "")
                keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
                return 200, {
                    "items": [self.item(key) for key in keys[: self.PAGE]],
                    "hasMore": len(keys) > self.PAGE,
                    "atRev": self.revision,
                }
            if path == "/v1/kv-watch":
                after_revision = int(query.get("after", "0"))
                wait_s = min(int(query.get("waitMs", "0")), 30_000) / 1000

                def later() -> list[dict]:
                    return [
                        event
                        for event in self.events
                        if event["revision"] > after_revision and event["key"].startswith(prefix)
                    ]

                self.changed.wait_for(lambda: bool(later()), timeout=wait_s)
                self.drop_history()
                if after_revision < self.history_start:
                    return 410, {}
                return 200, {"events": later(), "atRev": self.revision}
        return 404, {}


class Run:
    """One request that arrived at a replica."""

    def __init__(self, *, replica: str, request: Message, at_ms: int) -> None:
        self.replica = replica
        self.request_id = request.get("x-request-id")
        self.method, self.target = request.first.split()[:2]
        self.deadline_ms = int(request.get("x-deadline-ms", "0") or 0)
        self.body = request.body
        self.at_ms = at_ms
        self.began_ms: int | None = None
        self.outcome = "arrived"


class Replica:
    """One replica of a service.

    It runs ``slots`` requests at a time, queues ``queue`` more, refuses the rest with 503 and
    ``X-Not-Executed``, and drops a request whose connection closes.
    """

    def __init__(
        self,
        deployment: Deployment,
        *,
        service: str,
        zone: str,
        slots: int = 3,
        queue: int = 18,
        work_s: float = 0.05,
    ) -> None:
        self.deployment = deployment
        self.record = deployment.record
        self.id = "i-" + hashlib.md5(random.randbytes(8)).hexdigest()[:8]
        self.service = service
        self.zone = zone
        self.slots = threading.BoundedSemaphore(slots)
        self.slot_count = slots
        self.queue = queue
        self.work_s = work_s
        self.admitted = 0
        self.lock = threading.Lock()
        self.sequence = 0
        self.state = "ready"
        self.born = round(time.time() * 1000)
        self.runs: list[Run] = []
        self.listener = Listener("127.0.0.1", self.serve)
        self.register()

    def entry(self) -> dict:
        """Return the entry of the replica in the store."""
        self.sequence += 1
        return {
            "service": self.service,
            "address": self.listener.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slot_count,
            "state": self.state,
            "warmupLeftMs": 0,
            "sequence": self.sequence,
            "born": self.born,
        }

    def register(self) -> None:
        """Write the entry; the return is the store's confirmation."""
        self.deployment.store.put(f"servers/{self.id}", self.entry())

    def drain(self) -> int:
        """Report ``draining``; return the milliseconds at which the store had confirmed it."""
        self.state = "draining"
        self.register()
        confirmed = now_ms()
        self.record(f"store     {self.id} is draining (confirmed)")
        return confirmed

    def stop(self) -> None:
        """Exit: close the listener and all connections."""
        self.record(f"replica   {self.id} exits")
        self.listener.close()

    def serve(self, sock: socket.socket) -> None:
        """Answer the requests on one connection, one at a time."""
        connection = Connection(sock)
        while (request := connection.read_message(is_response=False)) is not None:
            sock.sendall(self.answer(request, sock))
            if request.get("connection").lower() == "close":
                return

    def answer(self, request: Message, sock: socket.socket) -> bytes:
        """Run a request, or refuse it."""
        request_id = request.get("x-request-id")
        echo = [("X-Request-Id", request_id), ("X-Instance-Id", self.id)]
        if request.get("x-expect-instance", self.id) != self.id:
            return encode_response(421, [*echo, ("X-Not-Executed", "1")])
        run = Run(replica=self.id, request=request, at_ms=now_ms())
        self.runs.append(run)
        self.record(f"replica   {self.id} gets {run.method} {run.target} id {request_id}")
        with self.lock:
            full = self.admitted >= self.slot_count + self.queue
            self.admitted += not full
        if full:
            run.outcome = "refused"
            return encode_response(503, [*echo, ("X-Not-Executed", "1")])
        try:
            with self.slots:
                run.began_ms = now_ms()
                time.sleep(self.work_s)
                run.outcome = "run"
        finally:
            with self.lock:
                self.admitted -= 1
        body = f"{self.service} {run.target}".encode()
        stamp = f"{self.id}.{request_id}.{hashlib.md5(body).hexdigest()[:8]}"
        self.record(f"replica   {self.id} has run id {request_id}")
        return encode_response(200, [*echo, ("X-Server-Stamp", stamp)], body)


def render(template: str, values: dict) -> str:
    """Fill in the placeholders of a settings template as DEPLOY.md describes them."""

    def value_of(path: str) -> object:
        found: object = values
        for name in path.split("."):
            found = found.get(name) if isinstance(found, dict) else None
        return found

    def section(match: re.Match[str]) -> str:
        found = value_of(match[2])
        present = found is not None and found is not False
        return match[3] if present == (match[1] == "#") else ""

    text = re.sub(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", section, template, flags=re.DOTALL)
    return re.sub(r"\{\{([\w.]+)\|json\}\}", lambda m: json.dumps(value_of(m[1])), text)


class Gateway:
    """A process of the role ``gateway``."""

    def __init__(self, deployment: Deployment, *, name: str, ip: str, zone: str) -> None:
        self.deployment = deployment
        self.name = name
        self.ip = ip
        self.zone = zone
        self.listen = {role: f"{ip}:{free_port(ip)}" for role in ("front", "readyAddr", "control")}
        self.limits = {"cpuShare": 0.537, "cores": 2, "memoryMb": 300, "maxFds": 4100}
        self.process: subprocess.Popen[bytes] | None = None
        self.settings_path = deployment.folder / f"{name}.settings"
        self.log_path = deployment.folder / f"{name}.log"
        self.first = True

    def fields(self) -> dict:
        """Return the fields of the settings, as DEPLOY.md lists them."""
        return {
            "nodeName": self.name,
            "role": "gateway",
            "machineClass": "front",
            "serves": ["front", "control"],
            "ip": self.ip,
            "zone": self.zone,
            "listen": self.listen,
            "seeds": self.deployment.seeds(),
            "bootstrap": self.first,
            "limits": self.limits,
            "bounds": self.deployment.bounds,
            "platform": {"address": self.deployment.store_address, "form": "read"},
        }

    def write_settings(self) -> None:
        """Write the settings file."""
        template = (ROOT / self.deployment.role["template"]).read_text()
        self.settings_path.write_text(render(template, self.fields()))

    def start(self) -> None:
        """Start the process with the run command of the deploy file."""
        self.write_settings()
        self.first = False
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["RHUBARBWAY_CONFIG"] = str(self.settings_path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                self.deployment.role["run"].split(),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.deployment.record(f"gateway   {self.name} starts")

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.deployment.record(f"gateway   {self.name} gets {signal.Signals(number).name}")
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None and self.process.poll() is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    def is_ready(self) -> bool:
        """Ask for readiness as the platform does."""
        ip, port = self.listen["readyAddr"].split(":")
        try:
            with socket.create_connection((ip, int(port)), timeout=1.0) as sock:
                sock.sendall(b"GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n")
                answer = Connection(sock).read_message(is_response=True)
        except OSError:
            return False
        return answer is not None and answer.first.split()[1] == "200"

    def wait_ready(self, timeout_s: float = 20.0) -> None:
        """Wait until the gateway is ready.

        Raises
        ------
        TimeoutError
            If it does not become ready in time.
        """
        deadline = time.monotonic() + timeout_s
        while not self.is_ready():
            if time.monotonic() > deadline:
                raise TimeoutError(f"{self.name} is not ready")
            time.sleep(0.1)


class Answer:
    """What a caller got for one request; ``status`` is 0 if the connection ended without one."""

    def __init__(self, request_id: str) -> None:
        self.request_id = request_id
        self.sent_ms = now_ms()
        self.ended_ms = 0
        self.status = 0
        self.message: Message | None = None
        self.problem = ""


class Deployment:
    """Store, replicas and gateways; used as a context manager, which ends all of them."""

    def __init__(self, folder: Path, *, hosts: int, zones: tuple[str, ...] = ("north",)) -> None:
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self.temporary.name)
        self.record = Record(folder / "record.txt")
        self.role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["gateway"]
        self.bounds: dict[str, object] = {
            "stableWindowMs": 4000,
            "drainMs": 3000,
            "graceS": 6,
            "lossSlackMs": 200,
            "configApplyMs": 3000,
            "rollbackSlackMs": 250,
            "retryBudgetRatio": 0.2,
            "retryWindowS": 10,
            "budgetSlack": 58,
            "recoveryS": 12,
        }
        self.store = Store(self.record)
        self.store_address = self.store.listener.address
        self.replicas: list[Replica] = []
        # The metrics port of the deploy file is fixed, so that each gateway has an address of its
        # own, on which that port is free.
        base = random.randrange(1, 250)
        self.gateways = [
            Gateway(
                self,
                name=f"front-{number}",
                ip=f"127.{base}.{random.randrange(1, 250)}.{number + 1}",
                zone=zones[number % len(zones)],
            )
            for number in range(hosts)
        ]
        self.answers: list[Answer] = []
        self.lock = threading.Lock()

    def seeds(self) -> list[str]:
        """Return the control addresses of at most three gateways."""
        return [gateway.listen["control"] for gateway in self.gateways[:3]]

    def __enter__(self) -> Deployment:
        return self

    def __exit__(self, *exception: object) -> None:
        for gateway in self.gateways:
            gateway.kill()
        for replica in self.replicas:
            replica.listener.close()
        self.store.listener.close()
        self.temporary.cleanup()

    def add_replica(self, **parameters: object) -> Replica:
        """Start and register a replica."""
        replica = Replica(self, **parameters)  # type: ignore[arg-type]
        self.replicas.append(replica)
        return replica

    def configure(self, version: int, routes: list[dict], services: list[dict], **limits) -> None:
        """Write a configuration."""
        self.publish(version, configuration(version, routes, services, **limits))

    def publish(self, version: int, document: bytes) -> None:
        """Write an encoded configuration."""
        self.store.put("op/config", document)
        self.record(f"operator  configuration {version} of {len(document)} bytes confirmed")

    def start(self) -> None:
        """Start all gateways and wait until they are ready and know each other."""
        for gateway in self.gateways:
            gateway.start()
        for gateway in self.gateways:
            gateway.wait_ready()
        time.sleep(2.5)

    def send(
        self,
        gateway: Gateway,
        method: str,
        target: str,
        *,
        deadline_ms: int,
        body: bytes = b"",
        host: str = "desk.example",
        connection: Connection | None = None,
        headers: tuple[str, ...] = (),
    ) -> Answer:
        """Send one request as a consumer does, and return what came back."""
        answer = Answer(random.randbytes(8).hex())
        with self.lock:
            self.answers.append(answer)
        lines = [
            f"{method} {target} HTTP/1.1",
            f"Host: {host}",
            f"X-Request-Id: {answer.request_id}",
            f"X-Deadline-Ms: {deadline_ms}",
            *headers,
        ]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        data = "\r\n".join([*lines, "", ""]).encode("latin-1") + body
        self.record(f"consumer  sends {method} {target} id {answer.request_id} to {gateway.name}")
        try:
            if connection is None:
                ip, port = gateway.listen["front"].split(":")
                connection = Connection(socket.create_connection((ip, int(port)), timeout=1.0))
            connection.sock.settimeout(deadline_ms / 1000)
            connection.sock.sendall(data)
            message = connection.read_message(is_response=True, method=method)
            if message is None:
                answer.problem = "closed"
            else:
                answer.message = message
                answer.status = int(message.first.split()[1])
        except OSError as error:
            answer.problem = str(error) or type(error).__name__
        answer.ended_ms = now_ms()
        self.record(
            f"consumer  id {answer.request_id} ends: {answer.status or answer.problem}"
            f" after {answer.ended_ms - answer.sent_ms} ms"
        )
        return answer


def configuration(version: int, routes: list[dict], services: list[dict], **limits: int) -> bytes:
    """Return an encoded configuration; ``limits`` replaces limits of what callers may send."""
    return encode_json(
        {
            "version": version,
            "routes": routes,
            "services": services,
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 262144,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            }
            | limits,
        }
    )


def service(name: str, max_connections: int) -> dict:
    """Return a service of a configuration."""
    return {
        "name": name,
        "healthPath": "/health",
        "maxConnections": max_connections,
        "protocol": "h1",
        "tls": False,
    }


def run_case(case: Callable[[Path, bool], bool], folder: Path) -> int:
    """Run a case; return 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    try:
        return int(case(folder, os.environ.get("TROUBLE", "1") != "0"))
    except Exception as error:  # The case could not run.
        print(f"the case could not run: {type(error).__name__}: {error}")
        return 2
