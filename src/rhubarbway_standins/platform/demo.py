"""The part of ``make demo`` that runs gateways on stand-ins of the users' platform."""

from __future__ import annotations

import time
from pathlib import Path

from rhubarbway_standins.platform.consumer import asked, merged_answer_problem
from rhubarbway_standins.platform.gateways import GatewayProcesses
from rhubarbway_standins.platform.site import (
    BOARD,
    HOST,
    MIN_COVERAGE,
    RECORD_LIMIT,
    SEARCH,
    SINGLE,
    Site,
)
from rhubarbway_standins.processes import free_ports

GATEWAYS = 3
REQUESTS = 60


def show_platform(directory: Path) -> int:
    """Run searches and single requests, with one replica paused, and return the failed ones."""
    site = Site(ports=free_ports())
    failed = 0
    with site, GatewayProcesses(site=site, directory=directory, count=GATEWAYS) as gateways:
        print(f"\nusers' platform: {len(site.replicas)} replicas, {GATEWAYS} gateways")
        site.replicas_of("desk-0")[0].unpaused.clear()
        print("  one replica of desk-0 is paused")
        times: list[float] = []
        missing = 0
        for number in range(REQUESTS):
            target = f"{SEARCH if number % 4 else SINGLE}{number:x}"
            first = number % GATEWAYS
            addresses = gateways.addresses[first:] + gateways.addresses[:first]
            began = time.monotonic()
            reply = asked(addresses, host=HOST, target=target)
            times.append(time.monotonic() - began)
            problem = None if reply.status == 200 else f"status {reply.status}"
            if problem is None and target.startswith(SEARCH):
                missing += int(reply.headers["x-missing-shards"])
                problem = merged_answer_problem(
                    reply,
                    target=target,
                    shards=site.shards,
                    record_limit=RECORD_LIMIT,
                    min_coverage=MIN_COVERAGE,
                )
            elif problem is None and not reply.headers["x-server-stamp"].startswith(BOARD):
                problem = "an answer of another service"
            if problem is not None:
                failed += 1
                print(f"  {target}: {problem}")
        times.sort()
        print(
            f"  {REQUESTS} requests: {failed} failed, {missing} shards missing, "
            f"p50 {times[len(times) // 2] * 1000:.0f} ms, p95 {times[-4] * 1000:.0f} ms; "
            f"{site.store.calls} calls to the store"
        )
    return failed
