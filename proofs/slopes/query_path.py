"""Cost of the caller frontend, the fan-out and the replica connections of one entry host."""

from __future__ import annotations

import tempfile
from pathlib import Path

from proofs.slopes.fit import LinearFit
from proofs.slopes.process import processor_seconds, resident_mb
from proofs.small_fleet import SmallFleet, small_deployment
from rhubarbway.edge.http_client import HttpConnection
from rhubarbway.edge.json_codec import encode_json
from rhubarbway_standins.processes import Fleet

# Numbers of requests without a fan-out, and of shards of a query, that are measured.
FRONTEND_REQUESTS = (500, 1000, 2000)
SHARD_COUNTS = (1, 5, 15, 45)
# Measured queries for each number of shards.
QUERIES = 300
REPLICAS_PER_SHARD = 2
WARM_UP_QUERIES = 50
# Load of one entry host to which the fits are extrapolated: queries a second, shards of each query,
# and open connections to replicas.
HOST_QUERIES_PER_S = 141
SHARDS_PER_QUERY = 330
HOST_CONNECTIONS = 169
# Processor time that one core has in a second.
CORE_MS_PER_S = 1000.0


class QueryCost:
    """Cost of queries to a number of shards, for the entry host.

    ``cpu_ms`` is the processor time of one query, ``memory_mb`` the resident memory.
    """

    __slots__ = ("cpu_ms", "memory_mb", "replicas")

    def __init__(self, *, cpu_ms: float, memory_mb: float, replicas: int) -> None:
        self.cpu_ms = cpu_ms
        self.memory_mb = memory_mb
        self.replicas = replicas


class Client:
    """A persistent connection to the entry host."""

    __slots__ = ("connection", "queries_sent")

    def __init__(self, *, address: str) -> None:
        self.connection = HttpConnection(address=address)
        self.queries_sent = 0

    def query(self) -> None:
        """Send one query.

        Raises
        ------
        RuntimeError
            If the reply is not an answer.
        """
        self.queries_sent += 1
        body = {
            "request_id": f"s{self.queries_sent}",
            "job": "lots-all",
            "payload": {"q": self.queries_sent},
        }
        reply = self.connection.call("POST", "/v1/query", encode_json(body), timeout_s=10.0)
        if reply.status != 200:
            raise RuntimeError(f"query got status {reply.status}, expected 200: {reply.body!r}")

    def check_health(self) -> None:
        """Send one request that the frontend answers without a fan-out."""
        self.connection.call("GET", "/v1/health", None, timeout_s=10.0)


def measure_queries(shards: int) -> tuple[QueryCost, list[float]]:
    """Return the cost of queries, and processor seconds for ``FRONTEND_REQUESTS`` requests.

    The latter are requests without a fan-out. They are sent only with the lowest number of shards;
    otherwise the list is empty.
    """
    with (
        tempfile.TemporaryDirectory(prefix="rhubarbway-") as directory,
        Fleet(directory=Path(directory)) as fleet,
    ):
        deployment = small_deployment(shards=shards, replicas=REPLICAS_PER_SHARD, entry_hosts=1)
        small_fleet = SmallFleet(fleet=fleet, deployment=deployment)
        small_fleet.start(processes=3)
        host = small_fleet.hosts[0]
        pid = fleet.processes[host["name"]].process.pid
        client = Client(address=host["address"])
        for _ in range(WARM_UP_QUERIES):
            client.query()
        before = processor_seconds(pid)
        for _ in range(QUERIES):
            client.query()
        cpu_ms = (processor_seconds(pid) - before) * 1000 / QUERIES
        cost = QueryCost(
            cpu_ms=cpu_ms, memory_mb=resident_mb(pid), replicas=shards * REPLICAS_PER_SHARD
        )
        frontend = []
        for count in FRONTEND_REQUESTS if shards == SHARD_COUNTS[0] else ():
            before = processor_seconds(pid)
            for _ in range(count):
                client.check_health()
            frontend.append(processor_seconds(pid) - before)
        return cost, frontend


def main() -> None:
    """Measure and print the three fits."""
    costs = []
    frontend: list[float] = []
    for shards in SHARD_COUNTS:
        cost, frontend_seconds = measure_queries(shards)
        costs.append(cost)
        frontend = frontend or frontend_seconds
    requests = LinearFit(
        name="caller frontend, requests without a fan-out",
        unit="ms of processor time",
        sizes=FRONTEND_REQUESTS,
        values=[seconds * 1000 for seconds in frontend],
    )
    print(requests.report(HOST_QUERIES_PER_S, limit=CORE_MS_PER_S))
    cpu = LinearFit(
        name="one query, by shards",
        unit="ms of processor time",
        sizes=SHARD_COUNTS,
        values=[cost.cpu_ms for cost in costs],
    )
    print(cpu.report(SHARDS_PER_QUERY))
    cores = cpu.predict(SHARDS_PER_QUERY) * HOST_QUERIES_PER_S / CORE_MS_PER_S
    print(f"cores for {HOST_QUERIES_PER_S} queries/s to {SHARDS_PER_QUERY} shards: {cores:.1f}")
    memory = LinearFit(
        name="memory, by replicas with one connection",
        unit="MB",
        sizes=[cost.replicas for cost in costs],
        values=[cost.memory_mb for cost in costs],
    )
    # The limit is in MB, as the fit.
    print(memory.report(HOST_CONNECTIONS, limit=256))


if __name__ == "__main__":
    main()
