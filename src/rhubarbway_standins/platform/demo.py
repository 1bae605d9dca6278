"""The part of ``make demo`` that runs gateways on stand-ins of the users' platform."""

from __future__ import annotations

import time
from pathlib import Path

from rhubarbway_standins.platform.consumer import merged_answer_problem, send_with_retries
from rhubarbway_standins.platform.gateways import GatewayProcesses
from rhubarbway_standins.platform.site import (
    BOARD_SERVICE,
    MIN_COVERAGE,
    RECORD_LIMIT,
    SEARCH_PREFIX,
    SINGLE_PREFIX,
    VIRTUAL_HOST,
    Site,
)
from rhubarbway_standins.processes import free_ports

GATEWAY_COUNT = 3
REQUEST_COUNT = 60


def run_platform_demo(directory: Path) -> int:
    """Run searches and single requests with one replica paused; return the number of failures."""
    site = Site(ports=free_ports())
    failed = 0
    with site, GatewayProcesses(site=site, directory=directory, count=GATEWAY_COUNT) as gateways:
        print(f"\nusers' platform: {len(site.replicas)} replicas, {GATEWAY_COUNT} gateways")
        site.replicas_of("desk-0")[0].unpaused.clear()
        print("  one replica of desk-0 is paused")
        times_s: list[float] = []
        missing_shards = 0
        for number in range(REQUEST_COUNT):
            target = f"{SEARCH_PREFIX if number % 4 else SINGLE_PREFIX}{number:x}"
            first = number % GATEWAY_COUNT
            addresses = gateways.addresses[first:] + gateways.addresses[:first]
            started_at = time.monotonic()
            reply = send_with_retries(addresses, host=VIRTUAL_HOST, target=target)
            times_s.append(time.monotonic() - started_at)
            problem = None if reply.status == 200 else f"status {reply.status}"
            if problem is None and target.startswith(SEARCH_PREFIX):
                missing_shards += int(reply.headers["x-missing-shards"])
                problem = merged_answer_problem(
                    reply,
                    target=target,
                    shards=site.shards,
                    record_limit=RECORD_LIMIT,
                    min_coverage=MIN_COVERAGE,
                )
            elif problem is None and not reply.headers["x-server-stamp"].startswith(BOARD_SERVICE):
                problem = "the signature names another service"
            if problem is not None:
                failed += 1
                print(f"  {target}: {problem}")
        times_s.sort()
        print(
            f"  {REQUEST_COUNT} requests: {failed} failed, {missing_shards} shards missing, "
            f"p50 {times_s[len(times_s) // 2] * 1000:.0f} ms, p95 {times_s[-4] * 1000:.0f} ms; "
            f"{site.store.calls} calls to the store"
        )
    return failed
