"""Coverage of the answers to queries, weighted by shard; no other module computes it.

Gateways use an unweighted coverage instead (``attempt_timing.has_required_coverage``).
"""

from __future__ import annotations

from collections.abc import Mapping

from rhubarbway.model import Coverage, MissingShard, MissReason, Service, ShardAnswer


def compute_coverage(
    service: Service,
    answers: Mapping[int, ShardAnswer],
    miss_reasons: Mapping[int, MissReason],
) -> Coverage:
    """Return the weighted coverage of a set of shard answers.

    Each shard of the layout without an answer is missing, even if no reason is known.

    Parameters
    ----------
    service : Service
        Service with the layout that the query is pinned to.
    answers : mapping of int to ShardAnswer
        Verified answers by shard index.
    miss_reasons : mapping of int to MissReason
        Known reasons by shard index; ``TIMED_OUT`` is the default.
    """
    total_weight = sum(shard.weight for shard in service.shards)
    covered_weight = 0.0
    missing_shards = []
    for shard in service.shards:
        answer = answers.get(shard.index)
        if answer is None:
            reason = miss_reasons.get(shard.index, MissReason.TIMED_OUT)
            missing_shards.append(MissingShard(shard=shard.index, reason=reason))
        else:
            covered_weight += shard.weight * answer.fraction
    # Rounding errors must not make a partial answer complete, so its fraction stays below 1.
    complete = not missing_shards and all(answer.fraction == 1.0 for answer in answers.values())
    fraction = 1.0 if complete else min(covered_weight / total_weight, 1.0 - 1e-9)
    return Coverage(
        shards_total=len(service.shards),
        shards_answered=len(service.shards) - len(missing_shards),
        fraction=fraction,
        missing=tuple(missing_shards),
    )
