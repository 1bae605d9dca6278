"""Delays after which an attempt is hedged and after which a query returns a partial answer.

A hedge starts at a high quantile of the observed latency, after Dean and Barroso, "The Tail at
Scale", CACM 2013.
"""

from __future__ import annotations

from rhubarbway.decisions.latency import LatencyDistribution
from rhubarbway.model import Policy, Preference

# Hedge delay before enough latencies are recorded.
DEFAULT_HEDGE_DELAY_S = 0.050
# With shorter delays, scheduling noise on the entry host would trigger hedges.
MIN_HEDGE_DELAY_S = 0.002
# Fraction of the hedge budget that hedges at the hedge quantile use on average. The rest covers
# bursts of late answers.
PLANNED_BUDGET_FRACTION = 0.75
# A tenant that prefers latency gets a partial answer after this latency quantile times the factor,
# but not before the minimum delay.
PARTIAL_ANSWER_QUANTILE = 0.99
PARTIAL_ANSWER_FACTOR = 6.0
MIN_PARTIAL_ANSWER_DELAY_S = 0.100


def hedge_quantile(policy: Policy) -> float:
    """Return the latency quantile at which hedges start, raised to what the budget covers.

    At quantile 0.95, 5 in 100 sub-queries trigger a hedge. If the budget covers 2, the other 3 are
    denied, and stragglers may be among them.
    """
    return max(policy.hedge_quantile, 1.0 - PLANNED_BUDGET_FRACTION * policy.hedge_budget)


def hedge_delay_s(latencies: LatencyDistribution, policy: Policy) -> float:
    """Return the time after which an attempt in flight is hedged, seconds."""
    delay_s = latencies.quantile(hedge_quantile(policy))
    return DEFAULT_HEDGE_DELAY_S if delay_s is None else max(delay_s, MIN_HEDGE_DELAY_S)


def partial_answer_delay_s(latencies: LatencyDistribution, policy: Policy) -> float:
    """Return how long a query with enough coverage waits for missing shards, seconds.

    The result is infinity, which means until the deadline, for a tenant that prefers coverage and
    before enough latencies are recorded.
    """
    if policy.prefer is Preference.COVERAGE:
        return float("inf")
    latency_s = latencies.quantile(PARTIAL_ANSWER_QUANTILE)
    if latency_s is None:
        return float("inf")
    return max(PARTIAL_ANSWER_FACTOR * latency_s, MIN_PARTIAL_ANSWER_DELAY_S)
