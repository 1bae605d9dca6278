"""Processor time of the first attempts of a fan-out, without a network.

Run as ``python -m proofs.measurements.first_attempts_cost``. The production forwarder chooses a
server for each shard and submits the attempts to pools that drop them.
"""

from __future__ import annotations

import argparse
import statistics
import time
from random import Random

from rhubarbway.decisions.server_state import ServerState
from rhubarbway.decisions.sliding_window_budget import SlidingWindowBudget
from rhubarbway.model import BackendServer, ForwardedRequest, Route
from rhubarbway.services.caller_inbox import CallerInbox
from rhubarbway.services.crashing_requests import CrashingRequestService
from rhubarbway.services.forwarding_context import ForwardingContext
from rhubarbway.services.invariants import require
from rhubarbway.services.log import component_logger
from rhubarbway.services.request_forwarder import RequestForwarder
from rhubarbway.services.shared_retry_budget import SharedRetryBudget

REPLICAS = 3
ZONES = ("a", "b", "c")
# Repetitions of which the fastest counts: other load on the machine can only slow a run down.
ROUNDS = 7


class DroppingPool:
    """A pool that drops the attempts submitted to it."""

    __slots__ = ("server", "state")

    def __init__(self, *, server: BackendServer, random: Random) -> None:
        self.server = server
        self.state = ServerState(server=server, now=time.monotonic())
        # Every third server seems slow to some degree.
        self.state.slowness = random.choice((0.8, 1.0, 1.6))

    def submit(self, attempt) -> None:
        """Drop an attempt."""


def build_forwarder(*, shards: int) -> RequestForwarder:
    """Return the forwarder of a fan-out to some shards with servers in three zones."""
    random = Random(1)
    services = tuple(f"s{number}" for number in range(shards))
    pools = {
        service: [
            DroppingPool(
                server=BackendServer(
                    id=f"{service}-{index}", service=service, address="", zone=zone, slots=4
                ),
                random=random,
            )
            for index, zone in enumerate(ZONES[:REPLICAS])
        ]
        for service in services
    }
    numbers = iter(range(1, 10**9))
    budget = SlidingWindowBudget(ratio=0.2, allowance=50.0, window_s=10.0)
    context = ForwardingContext(
        pools_of=pools.__getitem__,  # type: ignore[arg-type]
        zone="a",
        budget=SharedRetryBudget(budget=budget),
        next_attempt_number=numbers.__next__,
        hedge_delay_s=lambda route: 0.02,
        typical_s=lambda route: 0.01,
        processing_s=lambda route: 0.0,
        crashing_requests=CrashingRequestService(),
        random=random,
        expect=require,
        log=component_logger("measurement"),
    )
    now = time.monotonic()
    return RequestForwarder(
        request=ForwardedRequest(
            request_id="r", method="GET", target="/", host="h", received_at=now, deadline=now + 60.0
        ),
        digest="d",
        route=Route(
            name="r",
            host="h",
            path_prefix="/",
            idempotent=True,
            timeout_s=60.0,
            target_latency_s=60.0,
            shards=services,
            min_coverage=0.9,
        ),
        services=services,
        inbox=CallerInbox(sock=None),
        context=context,
    )


def first_attempts_cost_s(*, shards: int, fan_outs: int, whole: bool) -> float:
    """Return the median time of the first attempts of a fan-out, seconds.

    Parameters
    ----------
    whole : bool
        Whether the time of submitting the attempts counts, or only that until the first one.
    """
    times = []
    for _ in range(fan_outs):
        forwarder = build_forwarder(shards=shards)
        began_at = time.perf_counter()
        if whole:
            forwarder.send_first_attempts()
        else:
            now = forwarder.context.clock()
            for shard in forwarder.shards.values():
                forwarder.best_pool(shard, now)
        times.append(time.perf_counter() - began_at)
    return statistics.median(times)


def main() -> None:
    """Measure, and print the times."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--fan-outs", type=int, default=200)
    arguments = parser.parse_args()
    for shards in (36, 54):
        ranking_s, whole_s = (
            min(
                first_attempts_cost_s(shards=shards, fan_outs=arguments.fan_outs, whole=whole)
                for _ in range(ROUNDS)
            )
            for whole in (False, True)
        )
        print(
            f"{shards} shards: ranking {ranking_s * 1e3:.3f} ms, "
            f"all first attempts {whole_s * 1e3:.3f} ms"
        )


if __name__ == "__main__":
    main()
