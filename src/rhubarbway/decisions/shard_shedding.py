"""Load shedding for a fan-out: which shards of a request are shed, that is, left out.

When the servers of a few shards are overloaded, every request that waits for them is late, although
an answer without them would have enough coverage. Shedding such a shard for part of the requests
reduces its load to what its servers can handle, so that the other requests get all shards in time.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from random import Random

from rhubarbway.model import Route

# Ratios of the expected latency of a shard to the time until the target deadline. The probability
# of shedding is 0 up to the first one, and would be 1 at the second one without MIN_SENT_FRACTION.
MIN_SHED_LATENCY_RATIO = 0.7
FULL_SHED_LATENCY_RATIO = 1.3
# At least this fraction of the requests is sent to each shard, which shows when its servers have
# recovered.
MIN_SENT_FRACTION = 0.1


def shed_probability(expected_s: float, remaining_s: float) -> float:
    """Return the probability of shedding a shard.

    Parameters
    ----------
    expected_s : float
        Expected latency of the best server of the shard, seconds.
    remaining_s : float
        Time until the target deadline, seconds.

    Examples
    --------
    >>> shed_probability(0.05, 0.1), round(shed_probability(0.1, 0.1), 2)
    (0.0, 0.5)
    >>> shed_probability(0.5, 0.1)
    0.9
    """
    latency_ratio = expected_s / max(remaining_s, 1e-3)
    probability = (latency_ratio - MIN_SHED_LATENCY_RATIO) / (
        FULL_SHED_LATENCY_RATIO - MIN_SHED_LATENCY_RATIO
    )
    return min(max(probability, 0.0), 1.0 - MIN_SENT_FRACTION)


def dispensable_shards(route: Route) -> int:
    """Return how many shards an answer may lack and still have the required coverage.

    Examples
    --------
    >>> route = Route(name="r", host="h", path_prefix="/", idempotent=True, timeout_s=1.0,
    ...               target_latency_s=0.1, shards=tuple("abcdefghij"), min_coverage=0.89)
    >>> dispensable_shards(route)
    1
    """
    required = math.ceil(route.min_coverage * len(route.shards) - 1e-9)
    return max(0, len(route.shards) - max(1, required))


def select_shed_shards(
    route: Route,
    expected_s: Mapping[str, float],
    *,
    remaining_s: float,
    random: Random,
    is_scarce: bool = False,
) -> set[str]:
    """Return the shards of a request to shed, at most as many as the answer may lack.

    Shards without a known server will be missing anyway. They reduce the number of others that may
    be shed, and are not returned.

    Parameters
    ----------
    expected_s : mapping of str to float
        Expected latency of the best server of each shard, seconds; infinite if no server is known.
    remaining_s : float
        Time until the target deadline, seconds.
    is_scarce : bool
        Whether room is scarce. Any further shard may then be late as well, so only half of those
        that the answer may lack are shed.
    """
    unreachable = {shard for shard, seconds in expected_s.items() if seconds == math.inf}
    dispensable = dispensable_shards(route) - len(unreachable)
    if is_scarce:
        dispensable = (dispensable + 1) // 2
    if dispensable <= 0:
        return set()
    drawn_shards = [
        shard
        for shard, seconds in expected_s.items()
        if shard not in unreachable and random.random() < shed_probability(seconds, remaining_s)
    ]
    return set(random.sample(drawn_shards, min(dispensable, len(drawn_shards))))
