"""Tests of latency distributions."""

from rhubarbway.decisions.latency import MIN_WINDOW_SAMPLES, WINDOW_S, LatencyDistribution


def filled_distribution(seconds, *, count=MIN_WINDOW_SAMPLES, now=0.0):
    latencies = LatencyDistribution(now=now)
    for _ in range(count):
        latencies.record(seconds, now)
    return latencies


class TestLatencyDistribution:
    def test_few_values_give_no_quantile(self):
        """Guards against a hedge delay from a few fast answers."""
        assert filled_distribution(0.01, count=MIN_WINDOW_SAMPLES - 1).quantile(0.99) is None
        assert filled_distribution(0.01).quantile(0.99) is not None

    def test_old_values_are_forgotten_after_two_windows(self):
        """Guards against a hedge delay that stays high after a slow period."""
        latencies = filled_distribution(1.0)
        for window in (1.1, 2.2, 3.3):
            for _ in range(MIN_WINDOW_SAMPLES):
                latencies.record(0.01, window * WINDOW_S)
        assert latencies.quantile(0.99) < 0.02

    def test_rare_traffic_keeps_its_samples(self):
        """Guards against a service with few queries that never gets a hedge delay."""
        latencies = filled_distribution(0.01)
        latencies.record(0.01, 100 * WINDOW_S)
        assert latencies.quantile(0.5) is not None

    def test_value_out_of_range_is_clipped(self):
        """Guards against an error of the histogram that makes a query fail."""
        assert filled_distribution(1e9).quantile(0.5) <= 61.0
        assert filled_distribution(0.0).quantile(0.5) < 0.001
