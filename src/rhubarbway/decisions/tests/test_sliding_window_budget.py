"""Properties of the retry budgets of several hosts that do not communicate."""

from hypothesis import given, settings
from hypothesis import strategies as st

from rhubarbway.decisions.sliding_window_budget import SlidingWindowBudget

RATIO = 0.2
ALLOWANCE = 58.0
WINDOW_S = 10.0

# Instant in tenths of a second, host, and whether it is a request or asks for an extra attempt.
EVENTS = st.lists(
    st.tuples(st.integers(0, 400), st.integers(0, 4), st.booleans()), min_size=1, max_size=400
)


class TestSlidingWindowBudget:
    @settings(max_examples=60, deadline=None)
    @given(events=EVENTS, hosts=st.integers(5, 12))
    def test_no_window_holds_more_than_the_limit(self, events, hosts):
        """Guards against more extra attempts to a service than all hosts together may send."""
        budgets = [
            SlidingWindowBudget(ratio=RATIO, allowance=ALLOWANCE, window_s=WINDOW_S)
            for _ in range(5)
        ]
        for budget in budgets:
            budget.host_count = hosts
        requests, extras = [], []
        for tenth, host, is_request in sorted(events):
            now = tenth / 10
            if is_request:
                budgets[host].record_request("desk", now=now)
                requests.append(now)
            elif budgets[host].try_acquire("desk", now=now):
                extras.append(now)
        for end in extras:
            sent = sum(end - WINDOW_S < at <= end for at in extras)
            # An attempt may precede the end by up to a window, and the requests that permit it may
            # precede the attempt by up to another one.
            counted_requests = sum(end - 2 * WINDOW_S < at <= end for at in requests)
            assert sent <= RATIO * counted_requests + ALLOWANCE

    def test_hosts_without_requests_share_the_allowance(self):
        """Guards against hosts that together exceed the allowance, or that cannot use it."""
        taken = 0
        for _ in range(9):
            budget = SlidingWindowBudget(ratio=RATIO, allowance=ALLOWANCE, window_s=WINDOW_S)
            budget.host_count = 9
            taken += sum(budget.try_acquire("desk", now=1.0) for _ in range(100))
        assert 0 < taken <= ALLOWANCE

    def test_hedges_leave_a_reserve_for_retries(self):
        """Guards against hedges that use up the budget, so that a lost request is not retried."""
        budget = SlidingWindowBudget(ratio=0.0, allowance=10.0, window_s=WINDOW_S)
        while budget.try_acquire("desk", now=1.0, reserve=2.0):
            pass
        assert budget.try_acquire("desk", now=1.0)
