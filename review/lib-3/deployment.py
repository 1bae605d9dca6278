"""A small deployment on loopback: gateways as real processes; store, replicas, clients stand-ins.

Only the standard library is used. The gateways run with the command of deploy/system.toml and with
settings that have the keys of deploy/settings.template. The stand-ins follow PROTOCOL.md: the store
answers kv-key, kv-range and kv-watch; a replica serves a limited number of requests at a time,
echoes the request id and answers 421 to a request that was meant for another replica.
"""

from __future__ import annotations

import base64
import http.client
import json
import os
import random
import shutil
import signal
import socket
import socketserver
import subprocess
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
RUN = ["python3", "-S", "-m", "rhubarbway.start_gateway"]  # deploy/system.toml, role gateway
HOST = "desk.example"

# Bounds of the site sn-rhubarbway, in seconds where the name ends in _S.
STABLE_WINDOW_S = 4.0
DRAIN_S = 3.0
CONFIG_APPLY_S = 3.0
OUTER_S = 12.0
GRACE_S = 6.0
HEARTBEAT_S = 1.2


def free_port(ip: str) -> int:
    """Return a TCP port that is free at an address."""
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


class Record:
    """Writes record.txt: one line an event, with the seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self.started = time.monotonic()
        self.lock = threading.Lock()
        self.file = (folder / "record.txt").open("w")

    def now(self) -> float:
        return time.monotonic() - self.started

    def write(self, kind: str, **details: object) -> None:
        text = " ".join(f"{name}={value}" for name, value in details.items())
        with self.lock:
            self.file.write(f"{self.now():8.3f} {kind} {text}\n")
            self.file.flush()


class Server(socketserver.ThreadingMixIn, socketserver.TCPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 256


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *args: object) -> None:
        pass

    def setup(self) -> None:
        super().setup()
        self.server.owner.connections.add(self.connection)

    def finish(self) -> None:
        self.server.owner.connections.discard(self.connection)
        try:
            super().finish()
        except OSError:
            pass

    def handle(self) -> None:
        try:
            super().handle()
        except OSError:
            pass

    def read_body(self) -> bytes:
        return self.rfile.read(int(self.headers.get("Content-Length", "0")))

    def reply(self, status: int, headers: dict[str, str], body: bytes = b"") -> None:
        lines = [f"HTTP/1.1 {status} {http.client.responses.get(status, 'Status')}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines += [f"Content-Length: {len(body)}", "", ""]
        self.wfile.write("\r\n".join(lines).encode() + body)

    def do_any(self) -> None:
        self.server.owner.answer(self)

    do_GET = do_POST = do_PUT = do_DELETE = do_any


class Listener:
    """A listening stand-in whose open connections can be closed."""

    def __init__(self, ip: str) -> None:
        self.connections: set[socket.socket] = set()
        self.ip = ip
        self.port = 0
        self.server: Server | None = None

    def listen(self) -> None:
        self.server = Server((self.ip, self.port), Handler)
        self.port = self.server.server_address[1]
        self.server.owner = self
        threading.Thread(target=self.server.serve_forever, args=(0.25,), daemon=True).start()

    def close(self) -> None:
        """Stop listening, and close all connections."""
        server, self.server = self.server, None
        if server is None:
            return
        server.shutdown()
        server.server_close()
        for sock in list(self.connections):
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    @property
    def address(self) -> str:
        return f"{self.ip}:{self.port}"

    def answer(self, handler: Handler) -> None:
        raise NotImplementedError


class Store(Listener):
    """The platform's metadata store, with a history of 20 s."""

    HISTORY_S = 20.0
    PAGE = 500
    # 4 ms an answer, and the way between zones of 0 or 4.4 ms there and back.
    answer_s = (0.004, 0.013)

    def __init__(self, record: Record, ip: str) -> None:
        super().__init__(ip)
        self.record = record
        self.changed = threading.Condition()
        self.items: dict[str, dict] = {}
        self.events: list[tuple[float, dict]] = []
        self.revision = 1
        self.history_start = 0
        self.era = 1
        self.calls = 0
        self.generation = 0
        # Set while the store takes the writes of replicas and operator.
        self.up = threading.Event()
        self.listen()

    def listen(self) -> None:
        super().listen()
        self.up.set()

    def close(self) -> None:
        self.up.clear()
        super().close()

    def put(self, key: str, value: object) -> int:
        """Write an item; a value that is equal to the present one changes nothing."""
        data = base64.b64encode(json.dumps(value).encode()).decode()
        with self.changed:
            before = self.items.get(key)
            if before is not None and before["value"] == data:
                return before["revision"]
            self.revision += 1
            created = before["createdRev"] if before else self.revision
            item = {
                "key": key,
                "value": data,
                "revision": self.revision,
                "createdRev": created,
                "leaseId": 0,
            }
            self.items[key] = item
            self.events.append((time.monotonic(), item))
            self.changed.notify_all()
            self.record.write("store-write", key=key, revision=self.revision, era=self.era)
            return self.revision

    def delete(self, key: str) -> None:
        with self.changed:
            if self.items.pop(key, None) is None:
                return
            self.revision += 1
            event = {"key": key, "revision": self.revision, "compacted": True}
            self.events.append((time.monotonic(), event))
            self.changed.notify_all()
            self.record.write("store-delete", key=key, revision=self.revision, era=self.era)

    def copy(self) -> tuple:
        """Return a copy of the store, as the platform would restore it."""
        with self.changed:
            self.record.write("store-copied", revision=self.revision)
            return dict(self.items), list(self.events), self.revision, self.history_start

    def restore(self, copy: tuple) -> None:
        """Come back from a copy: later changes are gone, and their revisions are given out again."""
        with self.changed:
            lost = self.revision
            self.items, self.events, self.revision, self.history_start = (
                dict(copy[0]),
                list(copy[1]),
                copy[2],
                copy[3],
            )
            self.era += 1
            self.generation += 1
            self.changed.notify_all()
        self.record.write("store-restored", revision=copy[2], was=lost, era=self.era)

    def answer(self, handler: Handler) -> None:
        parts = urlsplit(handler.path)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        with self.changed:
            self.calls += 1
            status, document = self.respond(parts.path, query)
            headers = {"Content-Type": "application/json", "Store-Era": str(self.era)}
        time.sleep(random.uniform(*self.answer_s))
        handler.reply(status, headers, json.dumps(document).encode())

    def respond(self, path: str, query: dict[str, str]) -> tuple[int, dict]:
        prefix = query.get("pathPrefix", "")
        if path == "/v1/kv-key":
            item = self.items.get(query.get("key", ""))
            return (200, item | {"atRev": self.revision}) if item else (404, {})
        if path == "/v1/kv-range":
            after = query.get("after", "")
            keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
            page = [self.items[key] for key in keys[: self.PAGE]]
            more = len(keys) > self.PAGE
            return 200, {"items": page, "hasMore": more, "atRev": self.revision}
        if path == "/v1/kv-watch":
            return self.watch(prefix, int(query["after"]), int(query["waitMs"]) / 1000)
        return 404, {}

    def watch(self, prefix: str, after: int, wait_s: float) -> tuple[int, dict]:
        while self.events and self.events[0][0] < time.monotonic() - self.HISTORY_S:
            self.history_start = self.events.pop(0)[1]["revision"]
        # The store doesn't have this history (any more), or has never had this revision.
        if after < self.history_start or after > self.revision:
            return 410, {}
        generation = self.generation

        def events() -> list[dict]:
            return [
                event
                for _, event in self.events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]

        self.changed.wait_for(lambda: events() or generation != self.generation, timeout=wait_s)
        if generation != self.generation:
            return 410, {}
        return 200, {"events": events(), "atRev": self.revision}


class Replica(Listener):
    """One replica of a service; it writes its entry to the store at each heartbeat."""

    def __init__(
        self, store: Store, record: Record, *, name: str, service: str, zone: str, ip: str
    ) -> None:
        super().__init__(ip)
        self.store = store
        self.record = record
        self.name = name
        self.service = service
        self.zone = zone
        self.state = "ready"
        self.work_s = 0.01
        self.extra_headers: dict[str, str] = {}
        self.born = int(time.time() * 1000)
        self.slots = threading.BoundedSemaphore(3)
        self.runs: list[tuple[float, str, str]] = []  # instant, request id, path
        self.ended = threading.Event()
        self.listen()

    def entry(self) -> dict:
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 3,
            "state": self.state,
            "warmupLeftMs": 0,
            "sequence": 1,
            "born": self.born,
        }

    def register(self) -> None:
        """Write the entry now, and again at each heartbeat."""
        self.store.put(f"servers/{self.name}", self.entry())
        threading.Thread(target=self.beat, daemon=True).start()

    def beat(self) -> None:
        # The entry changes only when more than its sequence changes, so the number is left as it is.
        while not self.ended.wait(HEARTBEAT_S):
            if self.store.up.is_set():
                self.store.put(f"servers/{self.name}", self.entry())

    def drain(self) -> None:
        self.state = "draining"
        self.store.put(f"servers/{self.name}", self.entry())

    def end(self) -> None:
        """Exit."""
        self.ended.set()
        self.close()

    def answer(self, handler: Handler) -> None:
        body = handler.read_body()
        request_id = handler.headers.get("X-Request-Id", "")
        echo = {"X-Request-Id": request_id, "X-Instance-Id": self.name}
        if handler.headers.get("X-Expect-Instance", self.name) != self.name:
            handler.reply(421, {"X-Not-Executed": "1"} | echo)
            return
        with self.slots:
            now = time.monotonic()
            self.runs.append((now, request_id, handler.path))
            self.record.write("run", replica=self.name, id=request_id, path=handler.path)
            time.sleep(self.work_s)
        answer = f"{self.service} {handler.path} {len(body)}\n".encode()
        stamp = {"X-Server-Stamp": f"{self.name}.{request_id}"}
        handler.reply(200, echo | stamp | self.extra_headers, answer)


class Gateway:
    """One entry host: a process of the deploy file's command."""

    def __init__(
        self, record: Record, folder: Path, *, ip: str, zone: str, store: Store, ports: dict
    ) -> None:
        self.record = record
        self.ip = ip
        self.zone = zone
        self.listen = f"{ip}:{ports['front']}"
        self.ready = f"{ip}:{ports['ready']}"
        self.peer = f"{ip}:{ports['control']}"
        self.metrics_port = ports["metrics"]
        self.store = store
        self.name = f"front-{ip.rsplit(chr(46), 1)[1]}-{zone}"
        self.path = folder / f"{self.name}.json"
        self.log = folder / f"{self.name}.log"
        self.process: subprocess.Popen | None = None

    def write_settings(self, seeds: list[str], *, first_start: bool = True) -> None:
        self.path.write_text(
            json.dumps(
                {
                    "name": self.name,
                    "zone": self.zone,
                    "listen": self.listen,
                    "ready_listen": self.ready,
                    "peer_listen": self.peer,
                    "seeds": seeds,
                    "store": self.store.address,
                    "first_start": first_start,
                    "metrics_port": self.metrics_port,
                    "cpu_share": 0.537,
                    "cpu_speed": 2,
                    "memory_mb": 300,
                    "max_descriptors": 4100,
                    "grace_s": 6,
                    "config_apply_ms": 3000,
                    "retry_ratio": 0.2,
                    "retry_allowance": 58,
                    "retry_window_s": 10,
                }
            )
        )

    def start(self) -> None:
        keep = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment = keep | {
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "RHUBARBWAY_CONFIG": str(self.path),
        }
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                RUN, cwd=ROOT, env=environment, stdout=log, stderr=log, stdin=subprocess.DEVNULL
            )
        self.record.write("gateway-start", name=self.name, pid=self.process.pid)

    def is_ready(self) -> bool:
        try:
            connection = http.client.HTTPConnection(self.ready, timeout=1.0)
            connection.request("GET", "/v1/ready")
            return connection.getresponse().status == 200
        except OSError:
            return False

    def wait_ready(self, limit_s: float = 15.0) -> None:
        until = time.monotonic() + limit_s
        while not self.is_ready():
            if time.monotonic() > until:
                raise RuntimeError(f"{self.name} is not ready")
            time.sleep(0.1)

    def kill(self, number: int = signal.SIGKILL) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self) -> None:
        self.kill()
        if self.process is not None:
            self.process.wait()


class Deployment:
    """Store, replicas and gateways of one case, with their record and temporary folder."""

    def __init__(self, case: Path, *, gateways: int = 3) -> None:
        self.record = Record(case)
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        # Addresses of the loopback range, by process id, so that two cases don't meet.
        base = os.getpid() % 200 + 20
        self.ip = f"127.{base}.1.1"
        self.store = Store(self.record, self.ip)
        self.replicas: dict[str, Replica] = {}
        ips = [f"127.{base}.2.{number + 1}" for number in range(gateways)]
        ports = {name: free_port(ips[0]) for name in ("front", "ready", "control", "metrics")}
        self.gateways = [
            Gateway(
                self.record, self.folder, ip=ip, zone=f"zone-{number % 3}", store=self.store, ports=ports
            )
            for number, ip in enumerate(ips)
        ]
        self.seeds = [gateway.peer for gateway in self.gateways[:3]]

    def add_replica(self, name: str, service: str, *, zone: str = "zone-0") -> Replica:
        replica = Replica(
            self.store, self.record, name=name, service=service, zone=zone, ip=self.ip
        )
        self.replicas[name] = replica
        replica.register()
        return replica

    def start_gateways(self) -> None:
        for gateway in self.gateways:
            gateway.write_settings(self.seeds)
            gateway.start()
        for gateway in self.gateways:
            gateway.wait_ready()

    def close(self) -> None:
        for gateway in self.gateways:
            gateway.end()
        ends = [threading.Thread(target=replica.end) for replica in self.replicas.values()]
        for end in ends:
            end.start()
        for end in ends:
            end.join()
        self.store.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def route(name: str, prefix: str, **changes: object) -> dict:
    """Return a route of the operator's configuration."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": prefix,
        "routeType": "safe",
        "timeoutMs": 4000,
        "targetLatencyMs": 634,
        "priority": 2,
        "maxAttempts": 2,
    } | changes


def configuration(version: int, routes: list[dict], services: list[str]) -> dict:
    """Return a configuration as the operator writes it."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": name, "healthPath": "/health", "maxConnections": 110} for name in services
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 262144,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }


class Reply:
    """Status, headers by lower-case name and body; status 0 without a complete answer."""

    def __init__(self, status: int, headers: dict[str, str], body: bytes, error: str = "") -> None:
        self.status = status
        self.headers = headers
        self.body = body
        self.error = error


def send(
    record: Record,
    address: str,
    path: str,
    *,
    request_id: str,
    method: str = "GET",
    body: bytes | None = None,
    deadline_ms: int = 4000,
) -> Reply:
    """Send one consumer attempt on a new connection."""
    connection = http.client.HTTPConnection(address, timeout=deadline_ms / 1000 + 1.0)
    headers = {"Host": HOST, "X-Request-Id": request_id, "X-Deadline-Ms": str(deadline_ms)}
    record.write("sent", id=request_id, to=address, path=path)
    try:
        connection.request(method, path, body=body, headers=headers)
        answer = connection.getresponse()
        data = answer.read()
        named = {name.lower(): value for name, value in answer.getheaders()}
        reply = Reply(answer.status, named, data)
    except (OSError, http.client.HTTPException) as error:
        reply = Reply(0, {}, b"", f"{type(error).__name__}: {error}")
    finally:
        connection.close()
    record.write(
        "answered", id=request_id, status=reply.status, error=reply.error or "-",
        body=reply.body[:60].decode("latin-1").strip().replace(" ", "_") or "-",
    )
    return reply
