"""Typed failures that callers receive instead of an answer."""

from __future__ import annotations

from enum import Enum


class ExecutionStatus(Enum):
    """Whether any backend server executed the request."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    RUN = "run"


class FailureKind(Enum):
    """Reason why a caller gets no answer; replies carry the values.

    ``TOKEN_REUSED`` means that the token belongs to another request. ``OUTCOME_UNKNOWN`` means that
    an unsafe request ran or may have run, but that its outcome is not available.
    """

    BAD_REQUEST = "bad_request"
    TOO_LARGE = "too_large"
    NOT_FOUND = "not_found"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    JOB_UNKNOWN = "job_unknown"
    JOB_RETIRED = "job_retired"
    TOKEN_REQUIRED = "token_required"
    TOKEN_REFUSED = "token_refused"
    TOKEN_REUSED = "token_reused"
    QUARANTINED = "quarantined"
    OVERLOADED = "overloaded"
    NOT_READY = "not_ready"
    LEAVING = "leaving"
    DEADLINE_PASSED = "deadline_passed"
    NO_REPLICA = "no_replica"
    COVERAGE_TOO_LOW = "coverage_too_low"
    OUTCOME_UNKNOWN = "outcome_unknown"
    REJECTED = "rejected"
    INTERNAL = "internal"


class Failure:
    """A request that was refused or that failed.

    Parameters
    ----------
    kind : FailureKind
        Reason of the failure.
    ran : ExecutionStatus
        ``NOT_RUN`` only if it is certain that no backend server executed the request.
    detail : str
        One sentence for a human reader.
    retry_after_ms : int or None
        Time after which the same request may succeed, milliseconds.
    token : str or None
        New token for an unsafe request, sent with ``TOKEN_REQUIRED``.
    """

    __slots__ = ("detail", "kind", "ran", "retry_after_ms", "token")

    def __init__(
        self,
        *,
        kind: FailureKind,
        ran: ExecutionStatus,
        detail: str,
        retry_after_ms: int | None = None,
        token: str | None = None,
    ) -> None:
        self.kind = kind
        self.ran = ran
        self.detail = detail
        self.retry_after_ms = retry_after_ms
        self.token = token

    def __repr__(self) -> str:
        return f"Failure({self.kind.value}, {self.ran.value}, {self.detail!r})"
