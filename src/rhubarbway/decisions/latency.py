"""Distributions of recent latencies: histograms of the current and the last complete window."""

from __future__ import annotations

from hdrh.histogram import HdrHistogram

# Lowest discernible value of the histograms, microseconds. It sets their resolution; lower
# latencies are recorded, too.
MIN_LATENCY_US = 10
# Highest value of the histograms, microseconds; a longer latency is recorded as this one.
MAX_LATENCY_US = 60_000_000
# Precision of the histograms, significant decimal digits.
SIGNIFICANT_DIGITS = 2
# Minimum duration of a window.
WINDOW_S = 5.0
# With fewer samples, a high quantile is mostly noise.
MIN_WINDOW_SAMPLES = 100


class LatencyDistribution:
    """Latencies of the current window and of the last complete one.

    A window is complete after ``WINDOW_S`` and ``MIN_WINDOW_SAMPLES``, so the samples of rare
    traffic are not lost. Quantiles come from the last complete window, and from the current window
    before the first one is complete.

    Examples
    --------
    >>> latencies = LatencyDistribution(now=0.0)
    >>> for number in range(1, 201):
    ...     latencies.record(number / 1000, now=1.0)
    >>> round(latencies.quantile(0.95), 2)
    0.19
    """

    __slots__ = ("cached_quantiles", "complete_window", "current_window", "window_started_at")

    def __init__(self, *, now: float) -> None:
        self.complete_window = HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        self.current_window = HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        self.window_started_at = now
        self.cached_quantiles: dict[float, float] = {}

    def record(self, latency_s: float, now: float) -> None:
        """Record one latency, and start a new window if the current one is now complete."""
        self.current_window.record_value(min(max(int(latency_s * 1e6), 1), MAX_LATENCY_US))
        if (
            self.current_window.total_count < MIN_WINDOW_SAMPLES
            or now - self.window_started_at < WINDOW_S
        ):
            return
        self.complete_window, self.current_window = self.current_window, self.complete_window
        self.current_window.reset()
        self.window_started_at = now
        self.cached_quantiles.clear()

    def quantile(self, q: float) -> float | None:
        """Return the quantile ``q`` (0 to 1) of the latencies, seconds.

        The result is None before ``MIN_WINDOW_SAMPLES`` are recorded.
        """
        latency_s = self.cached_quantiles.get(q)
        if latency_s is not None:
            return latency_s
        window = self.complete_window if self.complete_window.total_count else self.current_window
        if window.total_count < MIN_WINDOW_SAMPLES:
            return None
        latency_s = window.get_value_at_percentile(q * 100) / 1e6
        if window is self.complete_window:
            # The quantiles of a complete window do not change and are slow to compute.
            self.cached_quantiles[q] = latency_s
        return latency_s
