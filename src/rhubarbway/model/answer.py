"""Answers of single shards, their coverage, and the merged answer to a caller."""

from __future__ import annotations

from enum import Enum


class MissReason(Enum):
    """Reason why a shard is missing from an answer; replies carry the values.

    ``NO_REPLICA`` means that no replica was available, or that the last one tried could not be
    reached or was shutting down. ``REFUSED`` means that it shed or rejected the sub-query.
    """

    TIMED_OUT = "timed_out"
    NO_REPLICA = "no_replica"
    SNAPSHOT_ABSENT = "snapshot_absent"
    LAYOUT_ABSENT = "layout_absent"
    CONNECTION_LOST = "connection_lost"
    BAD_ANSWER = "bad_answer"
    REFUSED = "refused"


class ShardAnswer:
    """The verified answer of one shard.

    Parameters
    ----------
    shard : int
        Index of the shard in the layout.
    snapshot : str
        Name of the data snapshot that the replica searched.
    fraction : float
        Share of the shard's data that the answer covers, 0 to 1.
    items_json : bytes
        Encoded JSON array of the results, as received.
    replica : str
        Name of the replica that answered, or of the owner of the slice from whose reply the answer
        was taken.
    latency_s : float
        Time from sending the sub-query to the complete reply, seconds; 0 if taken from the reply of
        the owner of a slice.
    """

    __slots__ = ("fraction", "items_json", "latency_s", "replica", "shard", "snapshot")

    def __init__(
        self,
        *,
        shard: int,
        snapshot: str,
        fraction: float,
        items_json: bytes,
        replica: str,
        latency_s: float,
    ) -> None:
        self.shard = shard
        self.snapshot = snapshot
        self.fraction = fraction
        self.items_json = items_json
        self.replica = replica
        self.latency_s = latency_s


class MissingShard:
    """A shard that is missing from an answer, and the reason."""

    __slots__ = ("reason", "shard")

    def __init__(self, *, shard: int, reason: MissReason) -> None:
        self.shard = shard
        self.reason = reason


class Coverage:
    """How much of a service's data an answer covers.

    Parameters
    ----------
    shards_total : int
        Number of shards of the layout.
    shards_answered : int
        Number of shards whose answers were merged.
    fraction : float
        Covered share of the data of all shards, 0 to 1, weighted by the size of the shards.
    missing : tuple of MissingShard
        Shards without an answer, with the reasons.
    """

    __slots__ = ("fraction", "missing", "shards_answered", "shards_total")

    def __init__(
        self,
        *,
        shards_total: int,
        shards_answered: int,
        fraction: float,
        missing: tuple[MissingShard, ...],
    ) -> None:
        self.shards_total = shards_total
        self.shards_answered = shards_answered
        self.fraction = fraction
        self.missing = missing


class Answer:
    """The merged answer to one query.

    Parameters
    ----------
    request_id : str
        Identifier of the request, set by the caller.
    job : str
        Job name as the caller sent it.
    tenant, service : str
        Tenant and service that the job's prefix selects.
    meaning : str
        Label of the job's prefix in the manifest.
    snapshot : str or None
        Snapshot that all merged answers come from; None only if no shard answered.
    layout : str
        Name of the partitioning that was queried.
    coverage : Coverage
        Share of the data that the answer covers.
    shards : tuple of ShardAnswer
        Merged answers, one for each shard that answered.
    attempts : int
        Number of attempts sent for all shards, including hedges and retries.
    """

    __slots__ = (
        "attempts",
        "coverage",
        "job",
        "layout",
        "meaning",
        "request_id",
        "service",
        "shards",
        "snapshot",
        "tenant",
    )

    def __init__(
        self,
        *,
        request_id: str,
        job: str,
        tenant: str,
        service: str,
        meaning: str,
        snapshot: str | None,
        layout: str,
        coverage: Coverage,
        shards: tuple[ShardAnswer, ...],
        attempts: int,
    ) -> None:
        self.request_id = request_id
        self.job = job
        self.tenant = tenant
        self.service = service
        self.meaning = meaning
        self.snapshot = snapshot
        self.layout = layout
        self.coverage = coverage
        self.shards = shards
        self.attempts = attempts
