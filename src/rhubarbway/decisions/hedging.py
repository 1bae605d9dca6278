"""When a late shard gets a second attempt, and how long a query waits for late shards.

The trigger is a high quantile of the learnt latency, after Dean and Barroso, "The Tail at Scale",
CACM 2013.
"""

from __future__ import annotations

from rhubarbway.decisions.latency import LatencyDistribution
from rhubarbway.model import Policy, Preference

# Trigger before enough latencies are known.
DEFAULT_HEDGE_DELAY_S = 0.050
# Below this delay, scheduling noise of the entry host would count as a straggler.
MIN_HEDGE_DELAY_S = 0.002
# Share of the hedge budget that the trigger plans to spend; the rest serves bursts.
PLANNED_BUDGET_SHARE = 0.75
# Quantile and factor of the time after which a tenant that prefers latency stops waiting.
PARTIAL_ANSWER_QUANTILE = 0.99
PARTIAL_ANSWER_FACTOR = 6.0
MIN_PARTIAL_ANSWER_DELAY_S = 0.100


def hedge_quantile(policy: Policy) -> float:
    """Return the quantile at which hedges start, raised until the budget can pay for them.

    A trigger at quantile 0.95 starts a hedge for 5 in 100 sub-queries. If the budget pays for 2,
    the others would find no token, stragglers included.
    """
    return max(policy.hedge_quantile, 1.0 - PLANNED_BUDGET_SHARE * policy.hedge_budget)


def hedge_delay_s(latencies: LatencyDistribution, policy: Policy) -> float:
    """Return the time after which an unanswered attempt is hedged, seconds."""
    delay_s = latencies.quantile(hedge_quantile(policy))
    return DEFAULT_HEDGE_DELAY_S if delay_s is None else max(delay_s, MIN_HEDGE_DELAY_S)


def partial_answer_delay_s(latencies: LatencyDistribution, policy: Policy) -> float:
    """Return how long a query waits for missing shards once it covers enough, seconds.

    A tenant that prefers coverage waits until the deadline (infinity here).
    """
    if policy.prefer is Preference.COVERAGE:
        return float("inf")
    latency_s = latencies.quantile(PARTIAL_ANSWER_QUANTILE)
    if latency_s is None:
        return float("inf")
    return max(PARTIAL_ANSWER_FACTOR * latency_s, MIN_PARTIAL_ANSWER_DELAY_S)
