"""A small deployment for tests: one sharded service, by default a process for each replica."""

from __future__ import annotations

import time
from typing import Any

from rhubarbway.edge.json_codec import decode_json
from rhubarbway_standins.backend import ReplicaSpec
from rhubarbway_standins.deployments import (
    Deployment,
    ServiceSize,
    generate_deployment,
    prefix_declaration,
)
from rhubarbway_standins.processes import Fleet, call_json


def small_deployment(
    *,
    shards: int = 2,
    replicas: int = 2,
    entry_hosts: int = 2,
    connections: int = 30,
    **policy: Any,
) -> Deployment:
    """Return a deployment with one service named ``lots`` and the job prefix ``lots``.

    Zones, sizes and policy differ from ``proxied_fleet.small_deployment``.
    """
    return Deployment(
        name="proof",
        zones=("a", "b", "c"),
        one_way_ms=0.0,
        entry_hosts=entry_hosts,
        services=(
            ServiceSize(
                name="lots",
                shards=shards,
                replicas=replicas,
                slots=3,
                connections=connections,
                connect_ms=1.0,
                service_ms=2.0,
                value=1.0,
            ),
        ),
        policy={"deadline_ms": 1000, "canary": "suspect", "prefer": "coverage"} | policy,
        prefixes=[prefix_declaration("lots", "lots", "lots", "proof", "current")],
    )


class SmallFleet:
    """The processes of a small deployment in a ``Fleet``, without proxies."""

    __slots__ = ("document", "fleet", "hosts", "replicas")

    def __init__(self, *, fleet: Fleet, deployment: Deployment) -> None:
        self.fleet = fleet
        generated = generate_deployment(deployment, ports=fleet.ports, version=1)
        self.document = generated.document
        self.replicas: list[ReplicaSpec] = generated.replicas
        self.hosts: list[dict[str, Any]] = generated.document["entry_hosts"]

    def start(self, *, processes: int | None = None) -> None:
        """Start everything and wait until the entry hosts are ready.

        The replicas share a number of processes; by default each has its own, with its name.
        """
        self.fleet.start_platform()
        self.fleet.publish(self.document)
        if processes is None:
            for spec in self.replicas:
                self.fleet.start_backends(spec.name, [spec])
        else:
            for number in range(processes):
                self.fleet.start_backends(f"b{number}", self.replicas[number::processes])
        for host in self.hosts:
            self.fleet.start_entry_host(host)
        for host in self.hosts:
            self.fleet.wait_until_ready(host)
        for host in self.hosts:
            self.wait_for_complete_coverage(host)

    def wait_for_complete_coverage(self, host: dict[str, Any]) -> None:
        """Send queries until an entry host knows a replica of each shard.

        Raises
        ------
        TimeoutError
            If none of 200 queries gets a complete answer.
        """
        for number in range(200):
            status, reply = self.query(host, number)
            if status == 200 and reply["coverage"]["fraction"] == 1.0:
                return
            self.sleep(0.05)
        raise TimeoutError(f"{host['name']} does not reach complete coverage in 200 queries")

    @staticmethod
    def sleep(seconds: float) -> None:
        """Sleep; the stand-ins and daemons offer no event to wait for here."""
        time.sleep(seconds)

    def query(self, host: dict[str, Any], number: Any, **fields: Any) -> tuple[int, dict[str, Any]]:
        """Send one query with a number in its request id and payload; return status and reply."""
        body = {"request_id": f"r{number}", "job": "lots-all", "payload": {"q": number}} | fields
        reply = call_json(host["address"], "POST", "/v1/query", body, timeout_s=10.0)
        return reply.status, decode_json(reply.body)

    def publish_leaving(self, *specs: ReplicaSpec) -> None:
        """Publish these replicas, and no others, as leaving in the host list."""
        hosts = [
            {"name": spec.name, "address": spec.address, "zone": spec.zone, "state": "leaving"}
            for spec in specs
        ]
        call_json(self.fleet.host_list_address, "POST", "/control/hosts", {"hosts": hosts})

    def control_replica(self, spec: ReplicaSpec, **fields: Any) -> dict[str, Any]:
        """Change fields of a replica, if any are given, and return its counters."""
        method = "POST" if fields else "GET"
        reply = call_json(spec.address, method, "/control", fields or None)
        return decode_json(reply.body)
