"""Cost of the caller frontend, of the fan-out and of replica connections, of one entry host."""

from __future__ import annotations

import tempfile
from pathlib import Path

from proofs.slopes.fit import Fit
from proofs.slopes.process import processor_seconds, resident_mb
from proofs.small_fleet import SmallFleet, small_deployment
from rhubarbway.edge.http_client import HttpConnection
from rhubarbway.edge.json_codec import encode_json
from rhubarbway_standins.processes import Fleet

FRONTEND_REQUESTS = (500, 1000, 2000)
SHARD_COUNTS = (1, 5, 15, 45)
QUERIES = 300
REPLICAS_PER_SHARD = 2
WARM_UP_QUERIES = 50
NODE_QUERIES_PER_S = 141
SHARDS_PER_QUERY = 330
NODE_CONNECTIONS = 169
CORE_MS = 1000.0


class QueryFigures:
    """What queries to one number of shards cost the entry host."""

    __slots__ = ("cpu_ms", "memory_mb", "replicas")

    def __init__(self, *, cpu_ms: float, memory_mb: float, replicas: int) -> None:
        self.cpu_ms = cpu_ms
        self.memory_mb = memory_mb
        self.replicas = replicas


class Client:
    """One kept-open connection to the entry host."""

    __slots__ = ("connection", "number")

    def __init__(self, *, address: str) -> None:
        self.connection = HttpConnection(address=address)
        self.number = 0

    def query(self) -> None:
        """Send one query and require a complete answer."""
        self.number += 1
        body = {"request_id": f"s{self.number}", "job": "lots-all", "payload": {"q": self.number}}
        reply = self.connection.call("POST", "/v1/query", encode_json(body), timeout_s=10.0)
        if reply.status != 200:
            raise RuntimeError(f"query answered with {reply.status}: {reply.body!r}")

    def health(self) -> None:
        """Send one request that the frontend answers by itself."""
        self.connection.call("GET", "/v1/health", None, timeout_s=10.0)


def measured_queries(shards: int) -> tuple[QueryFigures, list[float]]:
    """Return the cost of queries, and processor time of the frontend's own requests, s."""
    with (
        tempfile.TemporaryDirectory(prefix="rhubarbway-") as directory,
        Fleet(directory=Path(directory)) as fleet,
    ):
        deployment = small_deployment(shards=shards, replicas=REPLICAS_PER_SHARD, entry_hosts=1)
        small = SmallFleet(fleet=fleet, deployment=deployment)
        small.start(processes=3)
        host = small.hosts[0]
        pid = fleet.processes[host["name"]].process.pid
        client = Client(address=host["address"])
        for _ in range(WARM_UP_QUERIES):
            client.query()
        before = processor_seconds(pid)
        for _ in range(QUERIES):
            client.query()
        cpu_ms = (processor_seconds(pid) - before) * 1000 / QUERIES
        figures = QueryFigures(
            cpu_ms=cpu_ms, memory_mb=resident_mb(pid), replicas=shards * REPLICAS_PER_SHARD
        )
        frontend = []
        for count in FRONTEND_REQUESTS if shards == SHARD_COUNTS[0] else ():
            before = processor_seconds(pid)
            for _ in range(count):
                client.health()
            frontend.append(processor_seconds(pid) - before)
        return figures, frontend


def main() -> None:
    """Measure and print the three fits."""
    figures = []
    frontend: list[float] = []
    for shards in SHARD_COUNTS:
        found, frontend_seconds = measured_queries(shards)
        figures.append(found)
        frontend = frontend or frontend_seconds
    requests = Fit(
        name="caller frontend, own requests",
        unit="ms of processor time",
        sizes=FRONTEND_REQUESTS,
        values=[seconds * 1000 for seconds in frontend],
    )
    print(requests.report(NODE_QUERIES_PER_S, limit=CORE_MS))
    cpu = Fit(
        name="one query, by shards",
        unit="ms of processor time",
        sizes=SHARD_COUNTS,
        values=[found.cpu_ms for found in figures],
    )
    print(cpu.report(SHARDS_PER_QUERY))
    cores = cpu.at(SHARDS_PER_QUERY) * NODE_QUERIES_PER_S / CORE_MS
    print(f"cores for {NODE_QUERIES_PER_S} queries/s to {SHARDS_PER_QUERY} shards: {cores:.1f}")
    memory = Fit(
        name="memory, by replicas with one connection",
        unit="MB",
        sizes=[found.replicas for found in figures],
        values=[found.memory_mb for found in figures],
    )
    print(memory.report(NODE_CONNECTIONS, limit=256))


if __name__ == "__main__":
    main()
