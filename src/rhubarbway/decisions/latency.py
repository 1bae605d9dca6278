"""Learnt latency distributions: one histogram for each of two overlapping windows."""

from __future__ import annotations

from hdrh.histogram import HdrHistogram

# The histogram counts microseconds with two significant digits.
MIN_LATENCY_US = 10
MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 2
# A quantile rests on the last complete window, before there is one on what was recorded so far.
WINDOW_S = 5.0
# Below this number of values a high quantile is mostly chance.
MIN_WINDOW_SAMPLES = 100


class LatencyDistribution:
    """Latencies of the window that fills and of the complete one before it.

    A window is complete when it has lasted its time and holds enough values. Rare traffic
    therefore keeps what it learnt.

    Examples
    --------
    >>> learnt = LatencyDistribution(now=0.0)
    >>> for number in range(1, 201):
    ...     learnt.record(number / 1000, now=1.0)
    >>> round(learnt.quantile(0.95), 2)
    0.19
    """

    __slots__ = ("cached_quantiles", "complete_window", "current_window", "window_started_at")

    def __init__(self, *, now: float) -> None:
        self.complete_window = HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        self.current_window = HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        self.window_started_at = now
        self.cached_quantiles: dict[float, float] = {}

    def record(self, latency_s: float, now: float) -> None:
        """Add one latency, seconds."""
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
        """Return the latency that this share (0 to 1) of the values does not exceed, seconds.

        The result is None until enough values were recorded.
        """
        latency_s = self.cached_quantiles.get(q)
        if latency_s is not None:
            return latency_s
        window = self.complete_window if self.complete_window.total_count else self.current_window
        if window.total_count < MIN_WINDOW_SAMPLES:
            return None
        latency_s = window.get_value_at_percentile(q * 100) / 1e6
        if window is self.complete_window:
            # A complete window does not change, and the computation is slow.
            self.cached_quantiles[q] = latency_s
        return latency_s
