"""Latency counts by label values, cheap enough for each attempt of a fan-out.

``aioprometheus.Histogram.observe`` serializes its labels and iterates over all buckets, which took
about an eighth of the processor time of a fan-out over 36 shards. The tally only counts; the
histogram is filled when the metrics are requested.
"""

from __future__ import annotations

import threading
from bisect import bisect_left
from collections.abc import Sequence

from aioprometheus import Histogram
from aioprometheus.histogram import Histogram as Buckets


class BucketCounts:
    """Number of values in each bucket, and the sum of all values, for one set of label values."""

    __slots__ = ("counts", "total")

    def __init__(self, *, buckets: int) -> None:
        self.counts = [0] * buckets
        self.total = 0.0


class LatencyTally:
    """Thread-safe latency counts by label values.

    Parameters
    ----------
    label_names : sequence of str
        Names of the labels.
    bounds : sequence of float
        Upper bounds of the buckets, ascending, seconds. A last bucket without a bound is added.
    """

    __slots__ = ("bounds", "counts_by_labels", "label_names", "lock")

    def __init__(self, *, label_names: Sequence[str], bounds: Sequence[float]) -> None:
        self.label_names = tuple(label_names)
        self.bounds = tuple(bounds)
        self.lock = threading.Lock()
        self.counts_by_labels: dict[tuple[str, ...], BucketCounts] = {}

    def observe(self, labels: tuple[str, ...], seconds: float) -> None:
        """Count one latency; ``labels`` are the label values in the order of the label names."""
        bucket = bisect_left(self.bounds, seconds)
        with self.lock:
            tally = self.counts_by_labels.get(labels)
            if tally is None:
                tally = self.counts_by_labels[labels] = BucketCounts(buckets=len(self.bounds) + 1)
            tally.counts[bucket] += 1
            tally.total += seconds

    def write_to(self, histogram: Histogram) -> None:
        """Replace the values of a histogram with the same buckets by the counts."""
        with self.lock:
            counted = [
                (labels, list(tally.counts), tally.total)
                for labels, tally in self.counts_by_labels.items()
            ]
        for labels, counts, total in counted:
            buckets = Buckets(*self.bounds)
            cumulative = 0
            for bound, count in zip(buckets.buckets, counts, strict=True):
                cumulative += count
                buckets.buckets[bound] = cumulative
            buckets.observations = cumulative
            buckets.sum = total
            histogram.set_value(dict(zip(self.label_names, labels, strict=True)), buckets)
