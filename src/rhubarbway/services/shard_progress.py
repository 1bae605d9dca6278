"""What one forwarded request has done at one service."""

from __future__ import annotations

from rhubarbway.model import Ran, ReplicaReply
from rhubarbway.services.server_pool import ServerAttempt


class ShardProgress:
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
        "attempt_log",
        "given_up",
        "hedge_at",
        "in_flight",
        "last_failure",
        "ran",
        "replied_at",
        "reply",
        "sent_count",
        "service",
        "tried_servers",
    )

    def __init__(self, *, service: str) -> None:
        self.service = service
        self.tried_servers: set[str] = set()
        self.in_flight: dict[int, ServerAttempt] = {}
        self.sent_count = 0
        # Server and instant of each attempt, for the log.
        self.attempt_log: list[tuple[str, float]] = []
        self.replied_at = float("inf")
        self.reply: ReplicaReply | None = None
        self.last_failure: ReplicaReply | None = None
        self.hedge_at = float("inf")
        self.given_up = False
        self.ran = Ran.NOT_RUN

    @property
    def is_pending(self) -> bool:
        """Whether a reply may still come."""
        return self.reply is None and not self.given_up

    def waiting_since(self, now: float) -> float:
        """Return the instant since which a running attempt waits for its server."""
        starts = [attempt.waiting_since for attempt in self.in_flight.values()]
        return min((now if at is None else at for at in starts), default=now)
