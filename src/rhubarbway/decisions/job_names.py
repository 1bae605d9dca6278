"""Resolution of job names to the declared prefixes."""

from __future__ import annotations

from returns.result import Failure, Result, Success

from rhubarbway.model import ExecutionStatus, FailureKind, JobPrefix, Manifest, PrefixStatus
from rhubarbway.model import Failure as RequestFailure

SEPARATORS = "-."


def resolve_prefix(manifest: Manifest, job: str) -> Result[JobPrefix, RequestFailure]:
    """Return the longest declared prefix of a job name, or a failure.

    A prefix matches if it ends at a separator (``-`` or ``.``) or at the end of the name. The
    failure is ``JOB_UNKNOWN`` without a match, and ``JOB_RETIRED`` if the prefix is retired.

    Parameters
    ----------
    manifest : Manifest
        Manifest that declares the prefixes.
    job : str
        Job name in the caller's request.
    """
    end = len(job)
    while end > 0:
        prefix = manifest.prefixes.get(job[:end])
        if prefix is not None:
            return STATUS_HANDLERS[prefix.status](prefix)
        end = max(job.rfind(separator, 0, end) for separator in SEPARATORS)
    return Failure(
        RequestFailure(
            kind=FailureKind.JOB_UNKNOWN,
            ran=ExecutionStatus.NOT_RUN,
            detail=f"no declared prefix matches the job {job!r}",
        )
    )


def accept_prefix(prefix: JobPrefix) -> Result[JobPrefix, RequestFailure]:
    return Success(prefix)


def refuse_retired_prefix(prefix: JobPrefix) -> Result[JobPrefix, RequestFailure]:
    replacement = f"; use {prefix.replaced_by!r}" if prefix.replaced_by else ""
    return Failure(
        RequestFailure(
            kind=FailureKind.JOB_RETIRED,
            ran=ExecutionStatus.NOT_RUN,
            detail=f"the prefix {prefix.prefix!r} ({prefix.origin}) is retired{replacement}",
        )
    )


STATUS_HANDLERS = {
    PrefixStatus.CURRENT: accept_prefix,
    PrefixStatus.INHERITED: accept_prefix,
    PrefixStatus.RETIRED: refuse_retired_prefix,
}
