"""Tests of the independent count of extra attempts, compared with the retry budget."""

from hypothesis import given, settings
from hypothesis import strategies as st

from rhubarbway.decisions.sent_attempts import BUCKETS_PER_WINDOW, SentAttempts
from rhubarbway.decisions.sliding_window_budget import SlidingWindowBudget

RATIO = 0.2
ALLOWANCE = 6.0
WINDOW_S = 10.0

# Hundredths of a second since the previous event, and whether it is a request or an extra attempt.
EVENTS = st.lists(st.tuples(st.integers(0, 300), st.booleans()), min_size=1, max_size=300)


class TestSentAttempts:
    @settings(max_examples=100, deadline=None)
    @given(events=EVENTS)
    def test_attempts_that_the_budget_allows_are_within_the_limit(self, events):
        """Guards against false reports of a host that stays within its limit.

        The check counts by bucket, the budget by instant, so their windows differ.
        """
        budget = SlidingWindowBudget(ratio=RATIO, allowance=ALLOWANCE, window_s=WINDOW_S)
        sent = SentAttempts()
        now = 0.0
        for step, is_request in events:
            now += step / 100
            if is_request:
                budget.record_request("desk", now=now)
                sent.record_request("desk", ratio=RATIO, window_s=WINDOW_S, now=now)
            elif budget.try_acquire("desk", now=now):
                assert sent.record_extra_attempt(
                    "desk", allowance=ALLOWANCE, window_s=WINDOW_S, now=now
                )

    def test_attempts_that_no_budget_allowed_are_reported(self):
        """Guards against a check that misses extra attempts beyond the limit.

        Ten requests allow two extra attempts, in addition to the allowance of six.
        """
        sent = SentAttempts()
        for _ in range(10):
            sent.record_request("desk", ratio=RATIO, window_s=WINDOW_S, now=1.0)
        results = [
            sent.record_extra_attempt("desk", allowance=ALLOWANCE, window_s=WINDOW_S, now=2.0)
            for _ in range(9)
        ]
        assert results == [True] * 8 + [False]

    def test_a_share_that_falls_counts_from_the_next_window(self):
        """Guards against old attempts that use up a share which has fallen since they were sent."""
        sent = SentAttempts()
        for _ in range(6):
            assert sent.record_extra_attempt("desk", allowance=6.0, window_s=WINDOW_S, now=1.0)
        assert not sent.record_extra_attempt("desk", allowance=1.0, window_s=WINDOW_S, now=2.0)
        assert sent.record_extra_attempt("desk", allowance=1.0, window_s=WINDOW_S, now=13.0)

    def test_memory_is_bounded(self):
        """Guards against counts that are kept after their window, or of services that are gone."""
        sent = SentAttempts()
        for number in range(1000):
            sent.record_request("desk", ratio=RATIO, window_s=WINDOW_S, now=number * 0.7)
        assert len(sent.services["desk"]) <= 2 * BUCKETS_PER_WINDOW
        sent.retain_services(set())
        assert not sent.services
