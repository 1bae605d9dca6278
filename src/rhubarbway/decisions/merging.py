"""Merging of shard answers into the answer to a query."""

from __future__ import annotations

from collections.abc import Mapping

from rhubarbway.decisions.coverage import compute_coverage
from rhubarbway.model import (
    Answer,
    JobPrefix,
    MissReason,
    Policy,
    Query,
    Service,
    ShardAnswer,
)


def merge_shard_answers(
    *,
    query: Query,
    prefix: JobPrefix,
    service: Service,
    snapshot: str | None,
    answers: Mapping[int, ShardAnswer],
    miss_reasons: Mapping[int, MissReason],
    attempts: int,
) -> Answer:
    """Return the answer to a query from the verified answers of its shards.

    Parameters
    ----------
    query, prefix, service
        The query, the resolved prefix of its job, and the layout that it is pinned to.
    snapshot : str or None
        The one snapshot that all shard answers come from; None only without answers.
    answers, miss_reasons : mapping by shard index
        Answers, and the reasons for which shards have none.
    attempts : int
        Number of attempts sent for all shards, including hedges and retries.
    """
    return Answer(
        request_id=query.request_id,
        job=query.job,
        tenant=service.tenant,
        service=service.name,
        meaning=prefix.meaning,
        snapshot=snapshot,
        layout=service.layout,
        coverage=compute_coverage(service, answers, miss_reasons),
        shards=tuple(answers[index] for index in sorted(answers)),
        attempts=attempts,
    )


def required_coverage(query: Query, policy: Policy) -> float:
    """Return the coverage (0 to 1) below which the query fails."""
    return policy.min_coverage if query.min_coverage is None else query.min_coverage


def coverage_detail(service: Service, fraction: float, required: float) -> str:
    """Return the message of a failure due to insufficient coverage.

    Examples
    --------
    >>> service = Service(name="desk", tenant="t", layout="l", value=1.0, shards=())
    >>> coverage_detail(service, 0.5, 0.75)
    'coverage 0.5000 of desk, wanted 0.7500'
    """
    return f"coverage {fraction:.4f} of {service.name}, wanted {required:.4f}"
