"""Short runs of both example deployments on loopback: ``make demo``.

Gateways on the stand-ins of the users' platform run last.
"""

from __future__ import annotations

import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from rhubarbway.client import CallerConnection, LoadPlan, QueryReply, reply_summary, run_load
from rhubarbway_standins.backend import ReplicaSpec
from rhubarbway_standins.deployments import DEPLOYMENTS, GeneratedDeployment, generate_deployment
from rhubarbway_standins.platform.demo import run_platform_demo
from rhubarbway_standins.processes import Fleet, call_json

ENTRY_HOSTS_STARTED = 3
QUERIES_PER_DEPLOYMENT = 60
BACKEND_PROCESSES = 3
CONCURRENCY = 6
MAX_LOAD_S = 20.0
JOBS = {
    "scoica-neagra": ("tomis-desk-lots", "tanks-oysters", "histria-buyers-open"),
    "dinas-kaligrafi": ("ska-lookup-family", "receipts-today", "ska-scribes-queue"),
}
RETIRED_JOBS = {"scoica-neagra": "tomis-fax", "dinas-kaligrafi": "ska-piagam"}


def start_backends(fleet: Fleet, name: str, replicas: list[ReplicaSpec]) -> None:
    """Start the replicas of a deployment in a few processes, in parallel."""
    with ThreadPoolExecutor(BACKEND_PROCESSES) as executor:
        futures = [
            executor.submit(
                fleet.start_backends, f"{name}-b{number}", replicas[number::BACKEND_PROCESSES]
            )
            for number in range(BACKEND_PROCESSES)
        ]
    for future in futures:
        future.result()


def inject_faults(deployment: GeneratedDeployment) -> list[ReplicaSpec]:
    """Slow down one shard and return all replicas except those of another shard."""
    first, second = deployment.document["services"][:2]
    straggler = {replica["name"] for replica in first["shards"][0]["replicas"]}
    missing = {replica["name"] for replica in second["shards"][-1]["replicas"]}
    for spec in deployment.replicas:
        if spec.name in straggler:
            spec.service_ms *= 20
    return [spec for spec in deployment.replicas if spec.name not in missing]


def run_deployment(name: str, directory: Path) -> int:
    """Run one deployment and return the number of queries without an answer."""
    with Fleet(directory=directory) as fleet:
        deployment = generate_deployment(DEPLOYMENTS[name](), ports=fleet.ports, version=1)
        fleet.start_platform()
        fleet.publish(deployment.document)
        start_backends(fleet, name, inject_faults(deployment))
        hosts = deployment.document["entry_hosts"][:ENTRY_HOSTS_STARTED]
        for host in hosts:
            fleet.start_entry_host(host)
        for host in hosts:
            fleet.wait_until_ready(host)
        print(f"\n{name}: {len(deployment.replicas)} replicas, {len(hosts)} entry hosts")
        addresses = [host["address"] for host in hosts]
        plan = LoadPlan(
            addresses=addresses,
            jobs=list(JOBS[name]),
            concurrency=CONCURRENCY,
            duration_s=MAX_LOAD_S,
            queries=QUERIES_PER_DEPLOYMENT,
        )
        report = run_load(
            plan, observe=lambda number, reply: print_notable_reply(name, number, reply)
        )
        for line in report.lines():
            print(f"  {line}")
        connection = CallerConnection(address=addresses[0])
        retired = connection.query(request_id="demo-retired", job=RETIRED_JOBS[name])
        connection.close()
        print(f"  {reply_summary(retired)}")
        status = call_json(addresses[0], "GET", "/v1/status")
        print(f"  status of {hosts[0]['name']}: {status.body.decode()}")
    return QUERIES_PER_DEPLOYMENT - report.answered


def print_notable_reply(name: str, number: int, reply: QueryReply) -> None:
    """Print a reply that is the first to its job or a failure."""
    if number < len(JOBS[name]) or reply.failure is not None:
        print(f"  {reply_summary(reply)}")


def main() -> None:
    """Run both deployments and the gateways; the exit code is 1 if a query or request failed."""
    failed = 0
    for name in DEPLOYMENTS:
        with tempfile.TemporaryDirectory(prefix="rhubarbway-") as directory:
            failed += run_deployment(name, Path(directory))
    with tempfile.TemporaryDirectory(prefix="rhubarbway-") as directory:
        failed += run_platform_demo(Path(directory))
    print(f"\nqueries without an answer: {failed}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
