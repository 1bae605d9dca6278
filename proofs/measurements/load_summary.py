"""Summary of the call results of a load."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from hdrh.histogram import HdrHistogram

from proofs.measurements.load import CallResult

MAX_LATENCY_US = 60_000_000


def percentile_ms(seconds: Iterable[float], percentile: float) -> float:
    """Return a percentile of times in seconds, as milliseconds.

    Examples
    --------
    >>> round(percentile_ms([0.001, 0.002, 0.003], 50.0))
    2
    """
    histogram = HdrHistogram(1, MAX_LATENCY_US, 3)
    for value in seconds:
        histogram.record_value(max(1, int(value * 1e6)))
    return histogram.get_value_at_percentile(percentile) / 1000


class LoadSummary:
    """Summary of the requests of one run.

    Latencies, coverages and ``attempts_per_sub_query`` are those of the answered requests.
    ``sub_queries`` is the mean number of sub-queries of a request, one for each shard. A sub-query
    has a first attempt and one for each retry or hedge.
    """

    __slots__ = (
        "answered",
        "attempts_per_sub_query",
        "mean_coverage",
        "failure_counts",
        "lowest_coverage",
        "p50_ms",
        "p99_ms",
        "sent",
    )

    def __init__(self, results: list[CallResult], *, sub_queries: float) -> None:
        answered = [result for result in results if result.answered]
        self.sent = len(results)
        self.answered = len(answered)
        self.p50_ms = percentile_ms((result.latency_s for result in answered), 50.0)
        self.p99_ms = percentile_ms((result.latency_s for result in answered), 99.0)
        self.mean_coverage = sum(result.coverage for result in answered) / max(1, len(answered))
        self.lowest_coverage = min((result.coverage for result in answered), default=0.0)
        self.attempts_per_sub_query = sum(result.attempts for result in answered) / max(
            1.0, sub_queries * len(answered)
        )
        self.failure_counts = Counter(result.kind for result in results if result.kind)

    def __str__(self) -> str:
        failures = ", ".join(
            f"{kind} {count}" for kind, count in sorted(self.failure_counts.items())
        )
        return (
            f"{self.answered}/{self.sent} answered, "
            f"p50 {self.p50_ms:.1f} ms, p99 {self.p99_ms:.1f} ms, "
            f"coverage {self.mean_coverage:.4f} (lowest {self.lowest_coverage:.3f}), "
            f"attempts per sub-query {self.attempts_per_sub_query:.3f}"
            f"{', ' + failures if failures else ''}"
        )
