"""Entry hosts of one deployment as real processes, and readings of their manifest versions."""

from __future__ import annotations

import signal
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

from rhubarbway.edge.http_client import CallError, HttpConnection
from rhubarbway.edge.json_codec import decode_json
from rhubarbway_standins.backend import ReplicaSpec
from rhubarbway_standins.processes import Fleet, call_json, wait_until_ok

ZONES = ("constanta", "mangalia", "tulcea")
POLL_INTERVAL_S = 0.05
CALL_TIMEOUT_S = 1.0
TENANT = {"name": "scoica", "policy": {"deadline_ms": 2000, "canary": "suspect"}}
PREFIX = {
    "prefix": "desk",
    "status": "current",
    "service": "desk",
    "meaning": "consignment desk",
    "origin": "Tomis",
}


class VersionReading:
    """The manifest version in force that one caller read at one address, and when."""

    __slots__ = ("at", "version")

    def __init__(self, *, at: float, version: int) -> None:
        self.at = at
        self.version = version


class EntryHostFleet:
    """A ``Fleet`` whose entry hosts check the version floor, with readings of their versions.

    The manifest declares one replica for each shard; a test that sends queries starts the replicas.
    """

    __slots__ = (
        "document",
        "executor",
        "fleet",
        "hosts",
        "readings",
        "replicas",
        "stopping",
        "version",
    )

    def __init__(self, *, directory: Path, count: int = 9, shards: int = 2) -> None:
        self.fleet = Fleet(directory=directory)
        ports = self.fleet.ports
        self.hosts = [
            {
                "name": f"e{number}",
                "address": f"127.0.0.1:{next(ports)}",
                "zone": ZONES[number % len(ZONES)],
            }
            for number in range(count)
        ]
        self.replicas = [
            ReplicaSpec(
                name=f"desk-{shard}",
                address=f"127.0.0.1:{next(ports)}",
                zone=ZONES[0],
                service="desk",
                layout="desk-l1",
                shard=shard,
                slots=8,
                connections=200,
                connect_ms=0.0,
                service_ms=2.0,
                zone_ms={},
            )
            for shard in range(shards)
        ]
        names = ("name", "address", "zone", "slots", "connections")
        members = [{name: getattr(spec, name) for name in names} for spec in self.replicas]
        self.document: dict[str, Any] = {
            "version": 0,
            "tenants": [TENANT],
            "services": [
                {
                    "name": "desk",
                    "tenant": "scoica",
                    "layout": "desk-l1",
                    "value": 1.0,
                    "shards": [
                        {"index": number, "replicas": [member]}
                        for number, member in enumerate(members)
                    ],
                }
            ],
            "prefixes": [PREFIX],
            "entry_hosts": self.hosts,
        }
        self.version = 0
        self.readings: dict[str, list[VersionReading]] = {host["name"]: [] for host in self.hosts}
        self.stopping = threading.Event()
        self.executor = ThreadPoolExecutor(2 * count + 8, thread_name_prefix="reader")

    def __enter__(self) -> EntryHostFleet:
        return self

    def __exit__(self, *exception: object) -> None:
        self.stopping.set()
        for process in self.fleet.processes.values():
            process.send_signal(signal.SIGCONT)
        self.executor.shutdown(wait=True)
        self.fleet.stop()

    @property
    def names(self) -> list[str]:
        """Names of all entry hosts."""
        return [host["name"] for host in self.hosts]

    def host(self, name: str) -> dict[str, Any]:
        """Return the declaration of an entry host."""
        return next(host for host in self.hosts if host["name"] == name)

    def start_host(self, name: str, **settings: Any) -> None:
        """Start the daemon of one entry host, whose settings name up to 8 of the others."""
        other_hosts = [host for host in self.hosts if host["name"] != name]
        values = {"version_floor": "peers", "fellow_hosts": other_hosts[:8]} | settings
        self.fleet.start_entry_host(self.host(name), **values)

    def start_all(self) -> None:
        """Start ``platform`` and the entry hosts, and wait until the first version is in force."""
        self.fleet.start_platform()
        self.publish()
        for name in self.names:
            self.start_host(name)
        self.wait_until_in_force(self.version, timeout_s=30.0)

    def start_platform(self, name: str) -> str:
        """Start another process with a configuration service and a host list.

        Returns the address of the configuration service.
        """
        ports = self.fleet.ports
        addresses = [f"127.0.0.1:{next(ports)}" for _ in range(2)]
        arguments = ["--configuration", addresses[0], "--hosts", addresses[1]]
        self.fleet.start_process(name, ["rhubarbway_standins.main", "platform", *arguments])
        wait_until_ok(addresses[0], "/control/calls")
        return addresses[0]

    def republish(self, platform: str) -> None:
        """Publish the newest version on the configuration service at another address as well."""
        call_json(platform, "POST", "/control/publish", self.document)

    def start_recording(self) -> None:
        """Start one task for each address that records the version in force."""
        for host in self.hosts:
            self.executor.submit(self.read_versions, host)

    def read_versions(self, host: dict[str, Any]) -> None:
        """Record the version in force at one address until the fleet stops."""
        connection = HttpConnection(address=host["address"])
        while not self.stopping.wait(POLL_INTERVAL_S):
            version = read_version(connection)
            if version is not None:
                self.readings[host["name"]].append(
                    VersionReading(at=time.monotonic(), version=version)
                )
        connection.close()

    def version_decreases(self) -> list[str]:
        """Return where callers at one address read a version after a higher one."""
        found = []
        for name, readings in self.readings.items():
            for earlier, later in zip(readings, readings[1:], strict=False):
                if later.version < earlier.version:
                    found.append(
                        f"{name}: version {later.version} read after version {earlier.version}"
                    )
        return found

    def publish(self, platform: str | None = None) -> int:
        """Publish the next version and return its number.

        ``platform`` is the address of another configuration service than that of the fleet.
        """
        self.version += 1
        self.document["version"] = self.version
        self.document["services"][0]["value"] = float(self.version)
        address = platform or self.fleet.config_service_address
        call_json(address, "POST", "/control/publish", self.document)
        return self.version

    def set_config_service_mode(self, **mode: Any) -> None:
        """Set the failure mode of the configuration service; without arguments, clear it."""
        call_json(self.fleet.config_service_address, "POST", "/control/mode", mode)

    def process(self, name: str) -> Any:
        """Return the process of an entry host."""
        return self.fleet.processes[name]

    def pause(self, name: str) -> None:
        """Pause a process."""
        self.process(name).send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resume a paused process."""
        self.process(name).send_signal(signal.SIGCONT)

    def kill(self, name: str) -> None:
        """End a process with SIGKILL."""
        self.process(name).kill()

    def peer_view(self, name: str) -> dict[str, Any]:
        """Return an entry host's view of the fleet."""
        return decode_json(call_json(self.host(name)["address"], "GET", "/v1/peer/view").body)

    def is_ready(self, name: str) -> bool:
        """Whether an entry host reports that it is ready."""
        try:
            reply = call_json(
                self.host(name)["address"], "GET", "/v1/ready", timeout_s=CALL_TIMEOUT_S
            )
        except CallError:
            return False
        return reply.status == 200

    def wait_until_in_force(
        self, version: int, *, names: list[str] | None = None, timeout_s: float
    ) -> dict[str, float]:
        """Wait until hosts have a version or a higher one in force; return the seconds by name.

        Raises
        ------
        TimeoutError
            If the version is not in force on a host in time.
        """
        started = time.monotonic()
        deadline = started + timeout_s
        names = names or self.names
        futures = {
            name: self.executor.submit(time_of_version, self.host(name), version, deadline)
            for name in names
        }
        times = {name: future.result() - started for name, future in futures.items()}
        late = [name for name, seconds in times.items() if seconds > timeout_s]
        if late:
            raise TimeoutError(f"version {version} is not in force on {late} after {timeout_s} s")
        return times


def read_version(connection: HttpConnection) -> int | None:
    """Return the version in force at an address, None if there is none or no reply."""
    try:
        reply = connection.call("GET", "/v1/status", None, timeout_s=CALL_TIMEOUT_S)
    except CallError:
        return None
    return decode_json(reply.body)["manifest_version"]


def time_of_version(host: dict[str, Any], version: int, deadline: float) -> float:
    """Return the instant at which a version or a higher one is in force, infinity if too late."""
    connection = HttpConnection(address=host["address"])
    try:
        while time.monotonic() < deadline:
            version_in_force = read_version(connection)
            if version_in_force is not None and version_in_force >= version:
                return time.monotonic()
            time.sleep(0.005)
        return float("inf")
    finally:
        connection.close()


def wait_until(condition, *, timeout_s: float) -> bool:
    """Wait until a condition holds; return False, instead of raising, if it does not in time."""
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        if condition():
            return True
        time.sleep(0.05)
    return False
