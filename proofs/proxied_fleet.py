"""A small deployment of real processes behind fault-injecting proxies, for tests."""

from __future__ import annotations

import signal
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from proofs.history import Call, Violation, runs_from_directory, shard_weights, violations
from rhubarbway.edge.json_codec import decode_json
from rhubarbway_standins.backend import ReplicaSpec
from rhubarbway_standins.deployments import (
    Deployment,
    GeneratedDeployment,
    ServiceSize,
    generate_deployment,
)
from rhubarbway_standins.processes import Fleet, ProxyControl, call_json, wait_until_ok

JOB = "lookup-names"
SERVICE = "lookup"
ZONES = ("semarang", "surakarta")
WAIT_TIMEOUT_S = 15.0


def small_deployment(
    *,
    shards: int,
    replicas: int,
    entry_hosts: int,
    service_ms: float = 3.0,
    deadline_ms: int = 800,
    **policy: Any,
) -> Deployment:
    """Return a deployment of one sharded service; ``policy`` adds to or replaces its policy.

    Service, zones, sizes and policy differ from ``small_fleet.small_deployment``.
    """
    size = ServiceSize(
        name=SERVICE,
        shards=shards,
        replicas=replicas,
        slots=4,
        connections=40,
        connect_ms=0.0,
        service_ms=service_ms,
        value=1.0,
    )
    prefix = {
        "prefix": "lookup",
        "status": "current",
        "service": SERVICE,
        "meaning": "past orders",
        "origin": "Dinas Kaligrafi",
    }
    return Deployment(
        name="dinas",
        zones=ZONES,
        one_way_ms=0.0,
        entry_hosts=entry_hosts,
        services=(size,),
        policy={"deadline_ms": deadline_ms, "min_coverage": 0.0, "prefer": "coverage"} | policy,
        prefixes=[prefix],
    )


class ProxiedFleet:
    """A running ``Fleet`` with a proxy in front of its replicas, and optionally its entry hosts.

    Replica ``n`` of every shard runs in the backend process ``b{n}``. Routes of ``proxy`` are named
    like replicas, those of ``host_proxy`` like entry hosts.
    """

    __slots__ = ("deployment", "directory", "fleet", "host_proxy", "hosts", "manifests", "proxy")

    def __init__(
        self,
        *,
        directory: Path,
        deployment: Deployment,
        proxied_hosts: bool = False,
        modify: Callable[[GeneratedDeployment], None] = lambda generated: None,
    ) -> None:
        self.directory = directory
        self.fleet = Fleet(directory=directory)
        self.host_proxy: ProxyControl | None = None
        try:
            self.start(deployment, proxied_hosts, modify)
        except BaseException:
            self.fleet.stop()
            raise

    def start(
        self,
        deployment: Deployment,
        proxied_hosts: bool,
        modify: Callable[[GeneratedDeployment], None],
    ) -> None:
        """Start all processes and wait until the entry hosts know every replica."""
        fleet = self.fleet
        self.deployment = generate_deployment(deployment, ports=fleet.ports, version=1)
        modify(self.deployment)
        document = self.deployment.document
        self.hosts = document["entry_hosts"]
        fleet.start_platform()
        processes: dict[str, list[ReplicaSpec]] = {}
        for spec in self.deployment.replicas:
            processes.setdefault(f"b{spec.name.rsplit('-', 1)[1]}", []).append(spec)
        for name, specs in processes.items():
            fleet.start_backends(name, specs)
        self.proxy = fleet.proxy_replicas(document)
        if proxied_hosts:
            self.host_proxy = fleet.proxy_entry_hosts(self.hosts)
        self.manifests = [document]
        fleet.publish(document)
        for host in self.hosts:
            fleet.start_entry_host(host)
        for host in self.hosts:
            fleet.wait_until_ready(host)
        self.wait_until(self.has_complete_coverage)

    def __enter__(self) -> ProxiedFleet:
        return self

    def __exit__(self, *exception: object) -> None:
        # The process ``platform`` is no longer needed, and a graceful stop would wait for its open
        # watches.
        self.fleet.processes["platform"].kill()
        self.fleet.stop()

    @property
    def addresses(self) -> list[str]:
        """Addresses of the entry hosts."""
        return [host["address"] for host in self.hosts]

    def restart(self, process: str) -> None:
        """Start a backend process that was killed, or restart a running one."""
        managed = self.fleet.processes[process]
        managed.kill()
        managed.start()
        for spec in self.specs(process=process):
            wait_until_ok(spec.address, "/v1/status")

    def reset(self) -> None:
        """Clear all faults, restore the first manifest, and wait for complete coverage."""
        self.proxy.clear()
        if self.host_proxy is not None:
            self.host_proxy.clear()
        for process in {f"b{spec.name.rsplit('-', 1)[1]}" for spec in self.specs()}:
            self.send_signal(process, signal.SIGCONT)
            if not self.fleet.processes[process].is_running:
                self.restart(process)
        # Faults change only the specifications in the backend processes. Those in this process keep
        # the values of the start, which are sent again; at the start, ``shedding`` and
        # ``wrong_body`` are off.
        for spec in self.specs():
            fields = {
                name: getattr(spec, name)
                for name in ("snapshots", "layout", "service_ms", "fraction", "queue_limit")
            }
            self.control_replicas([spec], shedding=False, wrong_body=None, **fields)
        if self.manifests[-1]["services"] != self.manifests[0]["services"]:
            version = self.manifests[-1]["version"] + 1
            self.publish(self.manifests[0] | {"version": version})
        if not self.has_complete_coverage():
            # Restarted entry hosts know nothing of the earlier faults and have ejected no replica.
            for host in self.hosts:
                self.fleet.processes[host["name"]].kill()
                self.fleet.processes[host["name"]].start()
            for host in self.hosts:
                self.fleet.wait_until_ready(host)
        self.wait_until(self.has_complete_coverage)

    def has_complete_coverage(self) -> bool:
        """Whether each entry host returns complete coverage; these calls are not checked."""
        for number, host in enumerate(self.hosts):
            body = {"request_id": f"warm-{number}", "job": JOB, "payload": {"q": "warm"}}
            reply = call_json(host["address"], "POST", "/v1/query", body)
            if reply.status != 200 or decode_json(reply.body)["coverage"]["fraction"] < 1.0:
                return False
        return True

    def wait_until(self, condition: Callable[[], bool]) -> None:
        """Wait until a condition holds.

        Raises
        ------
        TimeoutError
            If it does not hold in time.
        """
        deadline = time.monotonic() + WAIT_TIMEOUT_S
        while not condition():
            if time.monotonic() > deadline:
                raise TimeoutError(f"{condition} does not hold after {WAIT_TIMEOUT_S} s")
            time.sleep(0.05)

    def specs(self, *, shard: int | None = None, process: str | None = None) -> list[ReplicaSpec]:
        """Return the replicas of a shard or of a backend process, or all replicas."""
        return [
            spec
            for spec in self.deployment.replicas
            if shard in (None, spec.shard) and process in (None, f"b{spec.name.rsplit('-', 1)[1]}")
        ]

    def control_replicas(self, specs: list[ReplicaSpec], **fields: Any) -> None:
        """Change fields of running replicas; the calls bypass the proxy."""
        for spec in specs:
            call_json(spec.address, "POST", "/control", fields)

    def publish(self, document: dict[str, Any]) -> None:
        """Publish another manifest."""
        self.manifests.append(document)
        self.fleet.publish(document)

    def send_signal(self, process: str, signal_number: signal.Signals) -> None:
        """Send a signal to a process of the fleet."""
        self.fleet.processes[process].send_signal(signal_number)

    def violations(self, calls: list[Call], *, caller_faults: bool = False) -> list[Violation]:
        """Return the violations in calls and in the recorded runs of all backend servers."""
        runs = runs_from_directory(self.directory)
        return violations(calls, runs, shard_weights(*self.manifests), caller_faults=caller_faults)
