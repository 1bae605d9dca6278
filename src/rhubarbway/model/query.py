"""Queries of callers, and the sub-queries sent to replicas."""

from __future__ import annotations

from typing import Any

from rhubarbway.model.identity import AttemptId


class Query:
    """One query of a caller.

    Parameters
    ----------
    request_id : str
        Identifier of the request, set by the caller and repeated in the reply. On the owner of a
        slice, the identifier of the hop.
    job : str
        Job name, whose prefix selects the service.
    payload : Any
        Decoded payload; None on the owner of a slice.
    payload_json : bytes
        The payload as JSON, encoded once; this is passed on to the backend servers.
    deadline : float
        ``time.monotonic()`` instant after which no work starts.
    unsafe : bool
        True if the request must run at most once (it is not idempotent).
    token : str or None
        Token of an unsafe request; an entry host issues it and permits one execution with it.
    digest : str
        Digest of job and payload; repetitions of a query have the same one.
    shape : str
        Job and sorted keys of the payload; queries that differ only in values have the same one.
    min_coverage : float or None
        Minimum coverage (0 to 1) that the caller requests instead of the tenant's.
    """

    __slots__ = (
        "deadline",
        "digest",
        "job",
        "min_coverage",
        "payload",
        "payload_json",
        "request_id",
        "shape",
        "token",
        "unsafe",
    )

    def __init__(
        self,
        *,
        request_id: str,
        job: str,
        payload: Any,
        payload_json: bytes,
        deadline: float,
        unsafe: bool,
        token: str | None,
        digest: str,
        shape: str,
        min_coverage: float | None = None,
    ) -> None:
        self.request_id = request_id
        self.job = job
        self.payload = payload
        self.payload_json = payload_json
        self.deadline = deadline
        self.unsafe = unsafe
        self.token = token
        self.digest = digest
        self.shape = shape
        self.min_coverage = min_coverage


class SubQuery:
    """One attempt to run a query on one replica of one shard.

    Parameters
    ----------
    attempt : AttemptId
        Identifier of the attempt.
    service, layout : str
        Service, and its partitioning.
    shard : int
        Index of the shard in the layout.
    snapshot : str or None
        Data snapshot to search; None accepts an answer from any snapshot.
    payload_json : bytes
        Encoded payload of the query.
    deadline : float
        ``time.monotonic()`` instant at which the answer is due.
    unsafe : bool
        True if the query must run at most once.
    """

    __slots__ = (
        "attempt",
        "deadline",
        "layout",
        "payload_json",
        "service",
        "shard",
        "snapshot",
        "unsafe",
    )

    def __init__(
        self,
        *,
        attempt: AttemptId,
        service: str,
        layout: str,
        shard: int,
        snapshot: str | None,
        payload_json: bytes,
        deadline: float,
        unsafe: bool,
    ) -> None:
        self.attempt = attempt
        self.service = service
        self.layout = layout
        self.shard = shard
        self.snapshot = snapshot
        self.payload_json = payload_json
        self.deadline = deadline
        self.unsafe = unsafe
