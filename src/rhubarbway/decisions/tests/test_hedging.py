"""Tests of the delays before hedges and partial answers, and of token buckets."""

from hypothesis import given
from hypothesis import strategies as st

from rhubarbway.decisions.hedging import (
    DEFAULT_HEDGE_DELAY_S,
    hedge_delay_s,
    hedge_quantile,
    partial_answer_delay_s,
)
from rhubarbway.decisions.latency import LatencyDistribution
from rhubarbway.decisions.retry_budget import BUCKET_CAPACITY, TokenBucket
from rhubarbway.model import CanaryMode, Policy, Preference


def policy(*, prefer=Preference.LATENCY, hedge_quantile=0.95, hedge_budget=0.02):
    return Policy(
        deadline_ms=1000,
        min_coverage=0.5,
        hedge_budget=hedge_budget,
        hedge_quantile=hedge_quantile,
        retry_budget=0.05,
        canary=CanaryMode.SUSPECT,
        prefer=prefer,
        max_in_flight=64,
    )


def distribution_of_ms(values):
    latencies = LatencyDistribution(now=0.0)
    for value in values:
        latencies.record(value / 1000, 0.0)
    return latencies


class TestHedging:
    def test_quantile_is_raised_to_what_the_budget_covers(self):
        """Guards against spending all tokens on ordinary answers, with none left for stragglers."""
        assert hedge_quantile(policy(hedge_quantile=0.95, hedge_budget=0.02)) == 0.985
        assert hedge_quantile(policy(hedge_quantile=0.99, hedge_budget=0.1)) == 0.99

    def test_delay_lies_between_typical_and_slow_answers(self):
        """Guards against hedges of typical answers, and hedges too late to help a slow one."""
        latencies = distribution_of_ms([5] * 990 + [250] * 10)
        assert 0.004 < hedge_delay_s(latencies, policy()) < 0.010
        assert hedge_delay_s(distribution_of_ms([]), policy()) == DEFAULT_HEDGE_DELAY_S

    def test_only_a_tenant_that_prefers_latency_stops_waiting(self):
        """Guards against partial answers for a tenant that prefers coverage."""
        latencies = distribution_of_ms([20] * 200)
        assert partial_answer_delay_s(latencies, policy(prefer=Preference.COVERAGE)) == float("inf")
        assert 0.02 < partial_answer_delay_s(latencies, policy()) < 1.0


class TestTokenBucket:
    @given(st.lists(st.booleans(), max_size=2000))
    def test_extra_attempts_stay_within_the_ratio_and_one_full_bucket(self, steps):
        """Guards against extra attempts that multiply the load on failing servers."""
        bucket = TokenBucket(refill_ratio=0.05)
        needed = taken = 0
        for is_query in steps:
            if is_query:
                bucket.refill(15)
                needed += 15
            else:
                taken += bucket.try_acquire()
        assert taken <= BUCKET_CAPACITY + 0.05 * needed + 1e-6

    def test_empty_bucket_permits_nothing_until_it_is_refilled(self):
        """Guards against extra attempts beyond the budget."""
        bucket = TokenBucket(refill_ratio=0.05)
        assert sum(bucket.try_acquire() for _ in range(100)) == BUCKET_CAPACITY
        bucket.refill(20)
        assert [bucket.try_acquire(), bucket.try_acquire()] == [True, False]

    def test_no_budget_permits_nothing(self):
        """Guards against an initial burst of extra attempts for a tenant without a budget."""
        assert not TokenBucket(refill_ratio=0.0).try_acquire()
