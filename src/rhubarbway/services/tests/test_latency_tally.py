"""Tests of the latency counts that replace those of the metrics library."""

from concurrent.futures import ThreadPoolExecutor

from aioprometheus import Histogram, Registry
from aioprometheus.formats import text
from hypothesis import given
from hypothesis import strategies as st

from rhubarbway.services.latency_tally import LatencyTally

BOUNDS = [0.01, 0.1, 1.0]


def exposed(observe):
    """Return the exposition of a histogram after ``observe(histogram)`` has filled it."""
    registry = Registry()
    histogram = Histogram("seconds", "Seconds.", buckets=BOUNDS, registry=registry)
    observe(histogram)
    return text.TextFormatter().marshall(registry).decode()


class TestLatencyTally:
    @given(values=st.lists(st.sampled_from([0.0, 0.01, 0.011, 0.1, 0.5, 1.0, 7.0]), max_size=30))
    def test_the_exposition_is_that_of_the_library(self, values):
        """Guards against values in the wrong bucket, and against counts that are not cumulative."""
        tally = LatencyTally(label_names=("service", "end"), bounds=BOUNDS)
        for value in values:
            tally.observe(("desk", "answered"), value)

        def by_library(histogram):
            for value in values:
                histogram.observe({"service": "desk", "end": "answered"}, value)

        assert exposed(tally.write_to) == exposed(by_library)

    def test_a_second_exposition_counts_nothing_twice(self):
        """Guards against counts that each exposition adds to the histogram again."""
        tally = LatencyTally(label_names=("service",), bounds=BOUNDS)
        tally.observe(("desk",), 0.5)

        def twice(histogram):
            tally.write_to(histogram)
            tally.write_to(histogram)

        assert 'seconds_count{service="desk"} 1' in exposed(twice)

    def test_no_value_of_several_threads_is_lost(self):
        """Guards against lost updates when two threads count a latency at the same time."""
        tally = LatencyTally(label_names=("service",), bounds=BOUNDS)

        def observe(_):
            for _ in range(2000):
                tally.observe(("desk",), 0.5)

        with ThreadPoolExecutor(4) as executor:
            list(executor.map(observe, range(4)))
        assert 'seconds_count{service="desk"} 8000' in exposed(tally.write_to)
