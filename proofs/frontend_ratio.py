"""Rate of the caller frontend as a ratio to a bare threaded ``werkzeug.serving`` app, in one run.

``python -m proofs.frontend_ratio`` starts one process for each server and sends both the same
queries from the same callers, in alternating rounds. The frontend decodes each query and encodes a
typed answer, with the fan-out replaced by a fixed answer; the bare app decodes the same body and
returns the same bytes. The exit code is 1 if the ratio of the median rates is below the target.

Besides the app, ``werkzeug.serving`` spends a quarter of its time in a selector that waits after
each reply for the caller to close the connection or send more, a fifth on the log line of each
request and on two writes for head and body, and a tenth on parsing the head with ``http.server``
and ``email``. It closes the connection after each reply, so each request also needs a new
connection and a new thread, whereas the frontend keeps both and sends head and body at once.
"""

from __future__ import annotations

import signal
import socket
import statistics
import subprocess
import sys
import time
from concurrent.futures import ProcessPoolExecutor

from returns.result import Success
from werkzeug.serving import make_server
from werkzeug.wrappers import Request, Response

from rhubarbway.client import LoadPlan, run_load
from rhubarbway.decisions.host_limits import UNSTATED_BUDGET_BYTES
from rhubarbway.edge import wire
from rhubarbway.kernel import Kernel
from rhubarbway.model import Answer, Coverage, HostIdentity, Query, ShardAnswer
from rhubarbway.services.caller_memory import CallerMemoryService
from rhubarbway.services.frontend import FrontendService
from rhubarbway.services.metrics import MetricsService
from rhubarbway.services.names import CALLER_MEMORY, FRONTEND, MANIFEST, METRICS, QUERIES, TOKENS
from rhubarbway.settings import Settings

# Performance goal: the lowest ratio of the frontend's rate to that of the bare app.
TARGET_RATIO = 0.8
ROUNDS = 5
ROUND_S = 2.0
CALLER_PROCESSES = 3
CONNECTIONS_PER_PROCESS = 4
SHARDS = 10
ITEMS_JSON = b'[{"q":1}]'


def fixed_answer(query: Query) -> Answer:
    """Return a complete answer of ``SHARDS`` shards with one item each."""
    shards = tuple(
        ShardAnswer(
            shard=number,
            snapshot="s-1",
            fraction=1.0,
            items_json=ITEMS_JSON,
            replica="r",
            latency_s=0.0,
        )
        for number in range(SHARDS)
    )
    coverage = Coverage(shards_total=SHARDS, shards_answered=SHARDS, fraction=1.0, missing=())
    return Answer(
        request_id=query.request_id,
        job=query.job,
        tenant="t",
        service="s",
        meaning="m",
        snapshot="s-1",
        layout="l",
        coverage=coverage,
        shards=shards,
        attempts=SHARDS,
    )


class FixedAnswerService:
    """Stands in for the query, manifest and token services."""

    __slots__ = ("in_force",)

    def __init__(self) -> None:
        self.in_force = None

    def start(self, kernel: Kernel) -> None:
        """Nothing to start."""

    def stop(self) -> None:
        """Nothing to stop."""

    def answer(self, query: Query) -> Success:
        """Return the fixed answer."""
        return Success(fixed_answer(query))


def serve_frontend(port: int) -> None:
    """Serve the caller frontend until SIGTERM."""
    signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGTERM,))
    identity = HostIdentity(
        name="e", address=f"127.0.0.1:{port}", zone="a", incarnation="0" * 16, started_at=0.0
    )
    settings = Settings(
        name="e",
        listen=identity.address,
        advertise=identity.address,
        zone="a",
        configuration_service="127.0.0.1:1",
        host_list="127.0.0.1:1",
        leave_notice_s=0.0,
    )
    kernel = Kernel()
    kernel.register(METRICS, MetricsService())
    kernel.register(CALLER_MEMORY, CallerMemoryService(limit=UNSTATED_BUDGET_BYTES))
    for key in (MANIFEST, QUERIES, TOKENS):
        kernel.register(key, FixedAnswerService())
    kernel.register(FRONTEND, FrontendService(settings=settings, identity=identity))
    kernel.start()
    signal.sigwait((signal.SIGTERM,))
    kernel.stop()


def serve_bare(port: int) -> None:
    """Serve the bare app until SIGTERM."""

    @Request.application
    def app(request: Request) -> Response:
        query = wire.query_from_json(request.get_data(), default_deadline_ms=1000)
        data = wire.answer_to_json(fixed_answer(query), host="e", incarnation="0" * 16)
        return Response(data, content_type="application/json")

    make_server("127.0.0.1", port, app, threaded=True).serve_forever()


def answer_rate(address: str) -> float:
    """Return the rate of answers that one caller process gets, queries a second."""
    plan = LoadPlan(
        addresses=[address], jobs=["m-1"], concurrency=CONNECTIONS_PER_PROCESS, duration_s=ROUND_S
    )
    report = run_load(plan)
    if report.failures:
        raise RuntimeError(f"queries to {address} failed: {dict(report.failures)}")
    return report.answered / report.elapsed_s


def wait_until_open(port: int) -> None:
    """Wait until a port accepts connections."""
    deadline = time.monotonic() + 20.0
    while time.monotonic() < deadline:
        try:
            socket.create_connection(("127.0.0.1", port), timeout=1.0).close()
            return
        except OSError:
            time.sleep(0.05)
    raise TimeoutError(f"port {port} does not accept connections after 20 s")


def free_port() -> int:
    """Return a port that is free now."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        return server.getsockname()[1]


def main() -> None:
    """Measure both servers in alternating rounds and print rates and ratio."""
    ports = {name: free_port() for name in SERVERS}
    command = [sys.executable, "-m", "proofs.frontend_ratio"]
    processes = [
        subprocess.Popen([*command, name, str(port)], stderr=subprocess.DEVNULL)
        for name, port in ports.items()
    ]
    rates: dict[str, list[float]] = {name: [] for name in SERVERS}
    try:
        for port in ports.values():
            wait_until_open(port)
        with ProcessPoolExecutor(CALLER_PROCESSES) as executor:
            for _ in range(ROUNDS):
                for name, port in ports.items():
                    addresses = [f"127.0.0.1:{port}"] * CALLER_PROCESSES
                    rates[name].append(sum(executor.map(answer_rate, addresses)))
    finally:
        for process in processes:
            process.terminate()
            process.wait()
    medians = {name: statistics.median(values) for name, values in rates.items()}
    for name, values in rates.items():
        print(
            f"{name}: {', '.join(f'{v:.0f}' for v in values)} queries/s, median {medians[name]:.0f}"
        )
    ratio = medians["frontend"] / medians["bare"]
    print(f"ratio {ratio:.2f}, target {TARGET_RATIO}")
    sys.exit(0 if ratio >= TARGET_RATIO else 1)


SERVERS = {"frontend": serve_frontend, "bare": serve_bare}

if __name__ == "__main__":
    if len(sys.argv) == 3:
        SERVERS[sys.argv[1]](int(sys.argv[2]))
    else:
        main()
