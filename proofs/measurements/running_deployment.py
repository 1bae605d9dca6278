"""Deployments with real processes, for the scenarios; most have one sharded service."""

from __future__ import annotations

import tempfile
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

from proofs.measurements.load import run_open_loop
from rhubarbway.edge.json_codec import decode_json
from rhubarbway_standins.backend import ReplicaSpec
from rhubarbway_standins.deployments import (
    Deployment,
    GeneratedDeployment,
    ServiceSize,
    generate_deployment,
)
from rhubarbway_standins.processes import Fleet, ManagedProcess, call_json

JOB = "desk-lots"
ZONES = ("a", "b", "c")


class RunningDeployment:
    """A deployment whose processes run; ``backends`` has one process for each group of replicas."""

    __slots__ = ("backends", "deployment", "fleet", "hosts")

    def __init__(
        self,
        *,
        fleet: Fleet,
        deployment: GeneratedDeployment,
        hosts: list[dict[str, Any]],
        backends: dict[str, ManagedProcess],
    ) -> None:
        self.fleet = fleet
        self.deployment = deployment
        self.hosts = hosts
        self.backends = backends

    @property
    def addresses(self) -> list[str]:
        """Addresses of the running entry hosts."""
        return [host["address"] for host in self.hosts]

    def warm_up(self, jobs: list[str], *, rate: float, seconds: float) -> None:
        """Send a load by which the entry hosts learn latencies and the replicas become warm."""
        run_open_loop(self.addresses, jobs, rate=rate, seconds=seconds, seed=99)

    def control_replicas(self, specs: list[ReplicaSpec], **fields: Any) -> None:
        """Change fields of running replicas."""
        for spec in specs:
            call_json(spec.address, "POST", "/control", fields)

    def sub_queries_received(self) -> int:
        """Return the number of attempts at sub-queries that all replicas have received."""
        return sum(
            decode_json(call_json(spec.address, "GET", "/control").body)["received"]
            for spec in self.deployment.replicas
        )


def single_service_deployment(
    *,
    shards: int,
    policy: dict[str, Any],
    entry_hosts: int,
    service_ms: float = 5.0,
    one_way_ms: float = 0.0,
    replicas: int = 3,
    connections: int = 30,
) -> Deployment:
    """Return a deployment with one sharded service named ``desk``."""
    size = ServiceSize(
        name="desk",
        shards=shards,
        replicas=replicas,
        slots=3,
        connections=connections,
        connect_ms=6.0,
        service_ms=service_ms,
        value=1.0,
    )
    meaning = {"meaning": "live consignments", "origin": "measurement"}
    return Deployment(
        name="tenant",
        zones=ZONES,
        one_way_ms=one_way_ms,
        entry_hosts=entry_hosts,
        services=(size,),
        policy=policy,
        prefixes=[{"prefix": "desk", "status": "current", "service": "desk"} | meaning],
    )


@contextmanager
def run_deployment(
    deployment: Deployment,
    *,
    started_hosts: int,
    disabled: str = "",
    grouping: str = "spread",
    processes: int = 4,
    seed: int = 1,
    modify_spec=lambda spec: None,
) -> Iterator[RunningDeployment]:
    """Run a deployment and yield its processes.

    Parameters
    ----------
    deployment : Deployment
        Sizes and policy.
    started_hosts : int
        Number of entry hosts to start.
    disabled : str
        Mechanisms to disable, separated by commas: names in ``without.MECHANISMS``.
    grouping : str
        How replicas share processes: ``spread`` distributes them evenly, ``zone`` uses one process
        for each zone, and ``number`` one process for the n-th replicas of all shards.
    processes : int
        Number of processes for ``spread``.
    seed : int
        Seed of the stand-ins' service times.
    modify_spec : callable
        Modifies the specification of each replica before the start.
    """
    with (
        tempfile.TemporaryDirectory(prefix="rhubarbway-") as directory,
        Fleet(directory=Path(directory)) as fleet,
    ):
        generated = generate_deployment(deployment, ports=fleet.ports, version=1)
        groups: dict[str, list[ReplicaSpec]] = {}
        for position, spec in enumerate(generated.replicas):
            modify_spec(spec)
            group_names = {
                "spread": str(position % processes),
                "zone": spec.zone,
                "number": spec.name.rpartition("-")[2],
            }
            groups.setdefault(group_names[grouping], []).append(spec)
        fleet.start_platform()
        fleet.publish(generated.document)
        backends = {
            name: fleet.start_backends(f"backend-{name}", specs, seed=seed)
            for name, specs in groups.items()
        }
        hosts = generated.document["entry_hosts"][:started_hosts]
        program = ("proofs.measurements.without", disabled) if disabled else ("rhubarbway.daemon",)
        for host in hosts:
            fleet.start_entry_host(host, program=program, log_level="warning")
        for host in hosts:
            fleet.wait_until_ready(host)
        time.sleep(0.5)
        yield RunningDeployment(fleet=fleet, deployment=generated, hosts=hosts, backends=backends)
