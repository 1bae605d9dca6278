"""Progress of one forwarded request at one shard."""

from __future__ import annotations

from rhubarbway.model import ExecutionStatus, ReplicaReply
from rhubarbway.services.server_attempt import ServerAttempt


class ShardProgress:
    """Attempts and reply of one request at one shard, or at the service of an unsharded route.

    Attributes
    ----------
    sent_count : int
        Attempts that count against the route's limit. An attempt that reached no server of the
        service is subtracted again.
    in_flight : dict of int to ServerAttempt
        Attempts in flight, by number.
    reply : ReplicaReply or None
        The reply that the answer uses.
    last_failure : ReplicaReply or None
        The last reply that the answer could not use.
    replied_at : float
        Instant at which the reply arrived; infinite without one.
    ran : ExecutionStatus
        Whether the attempts that have ended executed the request; ``NOT_RUN`` only if none can
        have executed it.
    hedge_at : float
        Instant at which the first attempt is hedged if it is still in flight; infinite if it is not
        hedged.
    given_up : bool
        Whether the shard has no attempt in flight and gets no more.
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
        # Server and submission instant of each attempt, for the log.
        self.attempt_log: list[tuple[str, float]] = []
        self.replied_at = float("inf")
        self.reply: ReplicaReply | None = None
        self.last_failure: ReplicaReply | None = None
        self.hedge_at = float("inf")
        self.given_up = False
        self.ran = ExecutionStatus.NOT_RUN

    @property
    def is_pending(self) -> bool:
        """Whether the shard may still reply."""
        return self.reply is None and not self.given_up

    def waiting_since(self, now: float) -> float:
        """Return the earliest instant since which an attempt in flight waits for its server.

        An attempt that has not left this host yet counts as waiting since ``now``.
        """
        starts = [attempt.waiting_since for attempt in self.in_flight.values()]
        return min((now if at is None else at for at in starts), default=now)
