"""Processor time of a gateway for one exchange with a backend server.

Run as ``python -m proofs.measurements.exchange_cost``. A gateway runs as a separate process over
the stand-ins of the platform and answers wide fan-outs one after the other.
"""

from __future__ import annotations

import argparse
import tempfile
from contextlib import ExitStack
from pathlib import Path

from proofs.slopes.process import processor_seconds
from rhubarbway_standins.platform.consumer import send_once
from rhubarbway_standins.platform.gateways import GatewayProcesses
from rhubarbway_standins.platform.site import SEARCH_PREFIX, VIRTUAL_HOST, Site
from rhubarbway_standins.processes import free_ports

WARM_UP_QUERIES = 20


def exchange_cost(*, shards: int, queries: int) -> float:
    """Return the processor time of the gateway for one exchange, milliseconds.

    Raises
    ------
    RuntimeError
        If a query is not answered.
    """
    with ExitStack() as stack:
        directory = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        site = stack.enter_context(Site(ports=free_ports(), shards=shards))
        gateways = stack.enter_context(GatewayProcesses(site=site, directory=directory, count=1))
        pid = gateways.processes[0].process.pid
        before = 0.0
        for number in range(WARM_UP_QUERIES + queries):
            if number == WARM_UP_QUERIES:
                before = processor_seconds(pid)
            reply = send_once(
                gateways.addresses[0], host=VIRTUAL_HOST, target=f"{SEARCH_PREFIX}?q={number}"
            )
            if reply.status != 200:
                raise RuntimeError(
                    f"query {number} got status {reply.status} after {reply.latency_s:.3f} s"
                    f" {reply.error}"
                )
        return (processor_seconds(pid) - before) / (queries * shards) * 1000


def main() -> None:
    """Print the cost of an exchange for a number of shards."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--shards", type=int, default=36)
    parser.add_argument("--queries", type=int, default=200)
    options = parser.parse_args()
    cost_ms = exchange_cost(shards=options.shards, queries=options.queries)
    print(f"{options.shards} shards: {cost_ms:.3f} ms of processor time an exchange")


if __name__ == "__main__":
    main()
