"""Starts and stops the processes of a deployment of ``rhubarbwayd`` on loopback."""

from __future__ import annotations

import contextlib
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from rhubarbway.edge.http_client import CallError, HttpConnection
from rhubarbway.edge.json_codec import decode_json, encode_json
from rhubarbway_standins.backend import ReplicaSpec
from rhubarbway_standins.fault_proxy import Route

SOURCE_DIR = Path(__file__).resolve().parents[1]
READY_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 15.0
# Ports that ``free_ports`` has yielded; deployments may use them though nothing listens yet.
ASSIGNED_PORTS: set[int] = set()


def free_ports() -> Iterator[int]:
    """Yield ports of 127.0.0.1 that are free now.

    The ports lie below the ephemeral range, so that outgoing connections do not occupy them. The
    first one depends on the process id, so that concurrent test runs rarely try the same ports.
    """
    start = 10000 + (os.getpid() * 137) % 15000
    for port in range(start, 32000):
        if port in ASSIGNED_PORTS:
            continue
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        ASSIGNED_PORTS.add(port)
        yield port


class ManagedProcess:
    """A child process that this run started; signals go only to its own process id.

    ``core`` is the core that it is bound to, or None for all.
    """

    __slots__ = ("arguments", "core", "environment", "log_path", "name", "process")

    def __init__(
        self,
        *,
        name: str,
        arguments: list[str],
        log_path: Path,
        environment: dict[str, str] | None = None,
    ) -> None:
        self.name = name
        self.core: int | None = None
        self.environment = environment or {}
        self.arguments = arguments
        self.log_path = log_path
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process with its output in the log file."""
        environment = os.environ | {"PYTHONPATH": str(SOURCE_DIR), "PYTHONDONTWRITEBYTECODE": "1"}
        environment |= self.environment
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", *self.arguments],
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                env=environment,
            )
        if self.core is not None:
            self.bind(self.core)

    def bind(self, core: int) -> None:
        """Bind all threads of the process to one core, now and after each further start."""
        self.core = core
        assert self.process is not None
        for thread in os.listdir(f"/proc/{self.process.pid}/task"):
            # A thread may end after it was listed.
            with contextlib.suppress(ProcessLookupError):
                os.sched_setaffinity(int(thread), {core})

    @property
    def is_running(self) -> bool:
        """Whether the process was started and has not ended."""
        return self.process is not None and self.process.poll() is None

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal if the process is running."""
        if self.is_running:
            self.process.send_signal(signal_number)

    def stop(self) -> int:
        """Terminate the process, or kill it after ``STOP_TIMEOUT_S``; return its exit code.

        SIGCONT is sent first, because a paused process does not handle SIGTERM.
        """
        if self.process is None:
            return 0
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGTERM)
        try:
            return self.process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.process.kill()
            return self.process.wait()

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()


def wait_until_ok(address: str, path: str, *, timeout_s: float = READY_TIMEOUT_S) -> None:
    """Wait until ``GET path`` is answered with 200.

    Raises
    ------
    TimeoutError
        If that does not happen in time.
    """
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        connection = HttpConnection(address=address)
        try:
            if connection.call("GET", path, None, timeout_s=1.0).status == 200:
                return
        except CallError:
            pass
        finally:
            connection.close()
        time.sleep(0.05)
    raise TimeoutError(f"GET {address}{path} not answered with 200 in {timeout_s} s")


def call_json(address: str, method: str, path: str, body: Any = None, *, timeout_s: float = 5.0):
    """Send one request on a new connection and return its ``Reply``."""
    connection = HttpConnection(address=address)
    try:
        data = None if body is None else encode_json(body)
        return connection.call(method, path, data, timeout_s=timeout_s)
    finally:
        connection.close()


class ProxyControl:
    """Sets the faults of a proxy process through its control endpoint."""

    __slots__ = ("address",)

    def __init__(self, *, address: str) -> None:
        self.address = address

    def set_faults(self, route: str | None, direction: str, **faults: Any) -> None:
        """Replace the faults of one direction (``request`` or ``response``) of a route.

        A route of None means all routes. A call without faults clears all faults of the direction.
        """
        body = {"route": route, "direction": direction, "faults": faults}
        reply = call_json(self.address, "POST", "/control/faults", body)
        if reply.status != 200:
            raise ValueError(reply.body.decode())

    def clear(self) -> None:
        """Clear all faults of all routes."""
        for direction in ("request", "response"):
            self.set_faults(None, direction)

    def cut(self, route: str | None) -> int:
        """Reset the open connections of a route, or of all routes if None; return their number."""
        reply = call_json(self.address, "POST", "/control/cut", {"route": route})
        return decode_json(reply.body)["cut"]

    def state(self) -> dict[str, dict[str, int]]:
        """Return open connections and applied faults by route."""
        return decode_json(call_json(self.address, "GET", "/control/state").body)


class Fleet:
    """All processes of one deployment of ``rhubarbwayd``; its methods start and stop them.

    These are entry hosts, backend servers, proxies, and one process named ``platform`` that serves
    the configuration service and the host list: not the users' platform, on which gateways run.
    """

    __slots__ = ("config_service_address", "directory", "host_list_address", "ports", "processes")

    def __init__(self, *, directory: Path) -> None:
        self.directory = directory
        self.ports = free_ports()
        self.processes: dict[str, ManagedProcess] = {}
        self.config_service_address = f"127.0.0.1:{next(self.ports)}"
        self.host_list_address = f"127.0.0.1:{next(self.ports)}"

    def __enter__(self) -> Fleet:
        return self

    def __exit__(self, *exception: object) -> None:
        self.stop()

    def start_process(self, name: str, arguments: list[str]) -> ManagedProcess:
        """Start ``python -m`` with these arguments; the log file is ``{name}.log``."""
        process = ManagedProcess(
            name=name, arguments=arguments, log_path=self.directory / f"{name}.log"
        )
        self.processes[name] = process
        process.start()
        return process

    def start_platform(self) -> None:
        """Start the process ``platform``: the configuration service and the host list."""
        arguments = [
            "--configuration",
            self.config_service_address,
            "--hosts",
            self.host_list_address,
        ]
        self.start_process("platform", ["rhubarbway_standins.main", "platform", *arguments])
        wait_until_ok(self.config_service_address, "/control/calls")

    def publish(self, document: dict[str, Any]) -> None:
        """Publish a manifest, without the addresses on which proxied entry hosts listen."""
        hosts = [
            {key: value for key, value in host.items() if key != "listen"}
            for host in document.get("entry_hosts", [])
        ]
        document = document | {"entry_hosts": hosts}
        call_json(self.config_service_address, "POST", "/control/publish", document)

    def start_proxy(self, name: str, routes: list[Route]) -> ProxyControl:
        """Start one proxy process for the given routes."""
        path = self.directory / f"{name}.routes.json"
        path.write_bytes(encode_json([route.to_document() for route in routes]))
        control = f"127.0.0.1:{next(self.ports)}"
        arguments = ["--routes", str(path), "--control", control]
        self.start_process(name, ["rhubarbway_standins.main", "proxy", *arguments])
        wait_until_ok(control, "/control/state")
        return ProxyControl(address=control)

    def proxy_replicas(self, document: dict[str, Any], *, name: str = "proxy") -> ProxyControl:
        """Start a proxy in front of all replicas of a manifest; routes are named like replicas.

        This changes the document to name the addresses of the proxy. Call it before ``publish``.
        """
        replicas = [
            replica
            for service in document["services"]
            for shard in service["shards"]
            for replica in shard["replicas"]
        ]
        return self.start_proxy(name, [self.insert_route(replica) for replica in replicas])

    def proxy_entry_hosts(
        self, entry_hosts: list[dict[str, Any]], *, name: str = "host-proxy"
    ) -> ProxyControl:
        """Start a proxy in front of entry hosts; routes are named like the entry hosts.

        This changes the entries to name the addresses of the proxy and adds a ``listen`` address,
        on which ``start_entry_host`` then starts the daemon.
        """
        routes = []
        for entry_host in entry_hosts:
            routes.append(self.insert_route(entry_host))
            entry_host["listen"] = routes[-1].upstream
        return self.start_proxy(name, routes)

    def insert_route(self, declared: dict[str, Any]) -> Route:
        """Return a route to the address in a manifest entry, and put the route's address there."""
        route = Route(
            name=declared["name"],
            listen=f"127.0.0.1:{next(self.ports)}",
            upstream=declared["address"],
        )
        declared["address"] = route.listen
        return route

    def start_backends(
        self, name: str, specs: list[ReplicaSpec], *, seed: int = 1
    ) -> ManagedProcess:
        """Start one process that serves the given replicas."""
        path = self.directory / f"{name}.json"
        path.write_bytes(encode_json([spec.to_document() for spec in specs]))
        history = self.directory / f"{name}.history"
        arguments = ["--replicas", str(path), "--history", str(history), "--seed", str(seed)]
        process = self.start_process(name, ["rhubarbway_standins.main", "backend", *arguments])
        for spec in specs:
            wait_until_ok(spec.address, "/v1/status")
        return process

    def start_entry_host(
        self,
        entry_host: dict[str, Any],
        *,
        program: tuple[str, ...] = ("rhubarbway.daemon",),
        **settings: Any,
    ) -> ManagedProcess:
        """Start the daemon of one entry host; ``wait_until_ready`` waits for it.

        ``program`` is a module and its first arguments; it takes the options of the daemon.
        """
        name = entry_host["name"]
        path = self.directory / f"{name}.settings.json"
        values = {
            "name": name,
            "listen": entry_host.get("listen", entry_host["address"]),
            "advertise": entry_host["address"],
            "zone": entry_host["zone"],
            "configuration_service": self.config_service_address,
            "host_list": self.host_list_address,
            "leave_notice_s": 0.2,
            # Most tests start only some of the published hosts, maybe too few to confirm a floor.
            "version_floor": "none",
        } | settings
        path.write_bytes(encode_json(values))
        return self.start_process(name, [*program, "--settings", str(path)])

    def wait_until_ready(self, entry_host: dict[str, Any]) -> None:
        """Wait until an entry host reports ready."""
        wait_until_ok(entry_host["address"], "/v1/ready")

    def kill(self) -> None:
        """Kill all processes, for tests that do not check graceful shutdown."""
        for process in self.processes.values():
            process.kill()

    def stop(self) -> None:
        """Send SIGTERM to all processes, then wait for each, in reverse order of their start."""
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.send_signal(signal.SIGTERM)
        for process in reversed(self.processes.values()):
            process.stop()
