"""Compares the latency of the canary modes: ``python -m proofs.canary_cost``."""

from __future__ import annotations

import tempfile
import time
from pathlib import Path

from hdrh.histogram import HdrHistogram

from proofs.test_crash import LookupFleet
from rhubarbway.edge.http_client import HttpConnection
from rhubarbway.edge.json_codec import encode_json

QUERIES_PER_MODE = 600
MODES = ("suspect", "unfamiliar", "always")


def main() -> None:
    """Send queries in each mode, in three alternating rounds, and print the latency quantiles."""
    # Latencies in microseconds.
    histograms = {mode: HdrHistogram(1, 10_000_000, 3) for mode in MODES}
    with tempfile.TemporaryDirectory(prefix="rhubarbway-") as directory:
        lookups = LookupFleet(Path(directory))
        with lookups.fleet:
            connection = HttpConnection(address=lookups.hosts[0]["address"])
            for _ in range(3):
                for mode in MODES:
                    lookups.set_canary_mode(mode)
                    for number in range(QUERIES_PER_MODE // 3):
                        body = {"request_id": "r", "job": "lookup", "payload": {"q": number}}
                        started = time.monotonic()
                        reply = connection.call(
                            "POST", "/v1/query", encode_json(body), timeout_s=10.0
                        )
                        assert reply.status == 200
                        histograms[mode].record_value(int((time.monotonic() - started) * 1e6))
            connection.close()
            lookups.fleet.kill()
    for mode, histogram in histograms.items():
        median_ms, p99_ms = (histogram.get_value_at_percentile(q) / 1000 for q in (50, 99))
        print(f"{mode}: {QUERIES_PER_MODE} queries, median {median_ms:.1f} ms, p99 {p99_ms:.1f} ms")


if __name__ == "__main__":
    main()
