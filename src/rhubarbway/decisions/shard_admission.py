"""Which shards of a fan-out are left out because their servers are overloaded.

When the servers of a few shards cannot keep up, each query that waits for them is late, although
an answer without them would have been a success. Leaving out such a shard for part of the queries
brings its load back to what its servers can do, so that the other queries get all shards in time.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from random import Random

from rhubarbway.model import Route

# Expected time, as a share of the time until the target, from which a shard is left out of some
# queries, and at which it is left out of as many as it ever is.
FIRST_SKIP_SHARE = 0.7
FULL_SKIP_SHARE = 1.3
# A shard stays in this part of the queries, which shows when its servers keep up again.
LEAST_SENT_SHARE = 0.1


def skip_probability(expected_s: float, left_s: float) -> float:
    """Return the probability with which a shard is left out of a query.

    Parameters
    ----------
    expected_s : float
        Expected time of the best server of the shard.
    left_s : float
        Time until the answer has to leave.

    Examples
    --------
    >>> skip_probability(0.05, 0.1), round(skip_probability(0.1, 0.1), 2)
    (0.0, 0.5)
    >>> skip_probability(0.5, 0.1)
    0.9
    """
    load = expected_s / max(left_s, 1e-3)
    wanted = (load - FIRST_SKIP_SHARE) / (FULL_SKIP_SHARE - FIRST_SKIP_SHARE)
    return min(max(wanted, 0.0), 1.0 - LEAST_SENT_SHARE)


def spare_shards(route: Route) -> int:
    """Return how many shards an answer may lack and still be a success.

    Examples
    --------
    >>> route = Route(name="r", host="h", path_prefix="/", idempotent=True, timeout_s=1.0,
    ...               target_latency_s=0.1, shards=tuple("abcdefghij"), min_coverage=0.89)
    >>> spare_shards(route)
    1
    """
    needed = math.ceil(route.min_coverage * len(route.shards) - 1e-9)
    return max(0, len(route.shards) - max(1, needed))


def skipped_shards(
    route: Route, expected: Mapping[str, float], *, left_s: float, random: Random
) -> set[str]:
    """Return the shards that a query leaves out.

    Parameters
    ----------
    expected : mapping of str to float
        Expected time of the best server by shard, seconds; infinite where no server is known.
    left_s : float
        Time until the answer has to leave, seconds.
    """
    unreachable = {shard for shard, seconds in expected.items() if seconds == math.inf}
    spare = spare_shards(route) - len(unreachable)
    if spare <= 0:
        return set()
    overloaded = [
        shard
        for shard, seconds in expected.items()
        if shard not in unreachable and random.random() < skip_probability(seconds, left_s)
    ]
    return set(random.sample(overloaded, min(spare, len(overloaded))))
