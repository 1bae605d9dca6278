"""Memory and descriptors of a gateway by the number of callers that read nothing.

``python -m proofs.measurements.caller_memory 200 1000`` starts a gateway with the settings of the
smallest host for each number, and opens that many connections whose answers have 2 MB.
"""

from __future__ import annotations

import sys
import tempfile
import time
from pathlib import Path

from proofs.slow_callers import crowd, descriptor_count, peak_bytes, request_head
from rhubarbway_standins.platform.consumer import send_once
from rhubarbway_standins.platform.gateways import GatewayProcesses
from rhubarbway_standins.platform.site import BOARD_SERVICE, SINGLE_PREFIX, VIRTUAL_HOST, Site
from rhubarbway_standins.processes import free_ports

MEMORY_MB = 152
MAX_DESCRIPTORS = 1535
ANSWER_BYTES = 2_000_000
GROUP = 16
ORDINARY_REQUESTS = 50


def measure(readers: int) -> dict[str, float]:
    """Return what a gateway holds while callers read nothing, and its ordinary answers."""
    site = Site(ports=free_ports())
    with tempfile.TemporaryDirectory() as directory, site:
        for replica in site.replicas_of(BOARD_SERVICE):
            replica.padding_bytes = lambda target: ANSWER_BYTES if "/long/" in target else 0
        gateways = GatewayProcesses(
            site=site,
            directory=Path(directory),
            count=1,
            memory_mb=MEMORY_MB,
            max_descriptors=MAX_DESCRIPTORS,
        )
        with gateways:
            address, process = gateways.addresses[0], gateways.processes[0]
            calm_mb = peak_bytes(process) / 2**20
            messages = [request_head(f"{SINGLE_PREFIX}long/{one}") for one in range(readers)]
            began = time.monotonic()
            with crowd(address, messages, awaits_reply=True, group_size=GROUP):
                crowd_s = time.monotonic() - began
                served = sum(
                    send_once(address, host=VIRTUAL_HOST, target=f"{SINGLE_PREFIX}{one}").status
                    == 200
                    for one in range(ORDINARY_REQUESTS)
                )
                return {
                    "readers": readers,
                    "calm_mb": round(calm_mb, 1),
                    "peak_mb": round(peak_bytes(process) / 2**20, 1),
                    "descriptors": descriptor_count(process),
                    "lives": process.is_running,
                    "ordinary_served": served / ORDINARY_REQUESTS,
                    "crowd_s": round(crowd_s, 1),
                }


if __name__ == "__main__":
    for text in sys.argv[1:]:
        print(measure(int(text)))
