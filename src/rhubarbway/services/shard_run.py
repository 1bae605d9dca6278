"""What one forwarded request has done at one service."""

from __future__ import annotations

from rhubarbway.model import ExecutionStatus, ReplicaReply
from rhubarbway.services.server_pool import ServerAttempt


class ShardRun:
    """What one request has done at one service.

    Attributes
    ----------
    sent : int
        Attempts that count against the route's limit.
    running : dict of int to ServerAttempt
        Unanswered attempts by number.
    reply : ReplicaReply or None
        The reply that the answer uses.
    failure : ReplicaReply or None
        The last reply that was no success.
    second_at : float
        Instant at which an unanswered first attempt gets a second one.
    given_up : bool
        True if nothing is running and nothing more will be sent.
    """

    __slots__ = (
        "attempts",
        "failure",
        "given_up",
        "ran",
        "replied_at",
        "reply",
        "running",
        "second_at",
        "sent",
        "service",
        "tried",
    )

    def __init__(self, *, service: str) -> None:
        self.service = service
        self.tried: set[str] = set()
        self.running: dict[int, ServerAttempt] = {}
        self.sent = 0
        # Server and instant of each attempt, for the log.
        self.attempts: list[tuple[str, float]] = []
        self.replied_at = float("inf")
        self.reply: ReplicaReply | None = None
        self.failure: ReplicaReply | None = None
        self.second_at = float("inf")
        self.given_up = False
        self.ran = ExecutionStatus.NOT_RUN

    @property
    def is_open(self) -> bool:
        """Whether a reply may still come."""
        return self.reply is None and not self.given_up

    def waits_since(self, now: float) -> float:
        """Return the instant since which a running attempt waits for its server."""
        sent = [attempt.waits_since for attempt in self.running.values()]
        return min((now if at is None else at for at in sent), default=now)
