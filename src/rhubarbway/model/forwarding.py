"""A forwarded request, what a replica made of it, and the answer to the caller."""

from __future__ import annotations

from enum import Enum

from rhubarbway.model.failure import ExecutionStatus

Headers = tuple[tuple[str, str], ...]


class ForwardedRequest:
    """A caller's request on its way to one or several replicas.

    Attributes
    ----------
    request_id : str
        Name of the caller's attempt, passed on unchanged.
    method, target, host : str
        Method, path with query, and host as the caller sent them.
    headers : tuple of (str, str)
        End-to-end headers, without those that the wire format sets itself.
    body : bytes
        Whole body.
    received_at, deadline : float
        ``time.monotonic()`` instants at which the request was read and the caller gives up.
    """

    __slots__ = (
        "body",
        "deadline",
        "headers",
        "host",
        "method",
        "path",
        "received_at",
        "request_id",
        "target",
    )

    def __init__(
        self,
        *,
        request_id: str,
        method: str,
        target: str,
        host: str,
        headers: Headers = (),
        body: bytes = b"",
        received_at: float,
        deadline: float,
    ) -> None:
        self.request_id = request_id
        self.method = method
        self.target = target
        self.path = target.partition("?")[0]
        self.host = host
        self.headers = headers
        self.body = body
        self.received_at = received_at
        self.deadline = deadline


class ReplicaReply:
    """A whole reply of a replica.

    ``proof`` is the replica's own mark of the reply, empty if it has none. ``ran`` is ``NOT_RUN``
    if the replica states so. ``leaving`` is true if the replica closes the connection.
    """

    __slots__ = (
        "body",
        "headers",
        "idle_timeout_s",
        "closes_connection",
        "misdirected",
        "server_stamp",
        "ran",
        "status",
    )

    def __init__(
        self,
        *,
        status: int,
        headers: Headers,
        body: bytes,
        server_stamp: str,
        ran: ExecutionStatus,
        misdirected: bool = False,
        closes_connection: bool = False,
        idle_timeout_s: float | None = None,
    ) -> None:
        self.status = status
        self.headers = headers
        self.body = body
        self.server_stamp = server_stamp
        self.ran = ran
        self.misdirected = misdirected
        self.closes_connection = closes_connection
        self.idle_timeout_s = idle_timeout_s

    @property
    def succeeded(self) -> bool:
        """Whether the reply is a success that carries its proof."""
        return 200 <= self.status < 300 and self.server_stamp != ""


class ExchangeEnd(Enum):
    """How an attempt at one replica ended."""

    ANSWERED = "answered"
    FAILED = "failed"
    REFUSED = "refused"
    MISDIRECTED = "misdirected"
    CONNECT_FAILED = "connect_failed"
    LOST = "lost"
    TIMED_OUT = "timed_out"
    FOREIGN = "foreign"
    CANCELLED = "cancelled"


class ExchangeOutcome:
    """The end of one attempt; ``shard`` is the service and ``latency`` is in seconds."""

    __slots__ = ("attempt", "detail", "end", "latency", "ran", "reply", "server", "shard")

    def __init__(
        self,
        *,
        attempt: int,
        shard: str,
        server: str,
        end: ExchangeEnd,
        ran: ExecutionStatus,
        latency: float,
        reply: ReplicaReply | None = None,
        detail: str = "",
    ) -> None:
        self.attempt = attempt
        self.shard = shard
        self.server = server
        self.end = end
        self.ran = ran
        self.latency = latency
        self.reply = reply
        self.detail = detail

    @property
    def succeeded(self) -> bool:
        """Whether the attempt brought a success with its proof."""
        return self.end is ExchangeEnd.ANSWERED and self.reply is not None and self.reply.succeeded


class ForwardedAnswer:
    """The answer to a caller.

    Attributes
    ----------
    status : int
        HTTP status.
    reply : ReplicaReply or None
        The replica's reply that is passed on unchanged.
    proofs : tuple of str
        Proofs of the parts of a merged answer.
    missing : int
        Shards that a merged answer lacks.
    retry_after_s : float or None
        When a refused caller may come back, seconds.
    detail : str
        Reason of a failure of this host's own.
    due_at : float or None
        ``time.monotonic()`` instant at which the wait for missing shards ended, if that is why the
        answer leaves now.
    """

    __slots__ = (
        "body",
        "detail",
        "wait_ended_at",
        "missing_shards",
        "part_stamps",
        "reply",
        "retry_after_s",
        "status",
    )

    def __init__(
        self,
        *,
        status: int,
        body: bytes = b"",
        reply: ReplicaReply | None = None,
        part_stamps: tuple[str, ...] = (),
        missing_shards: int = 0,
        retry_after_s: float | None = None,
        detail: str = "",
        wait_ended_at: float | None = None,
    ) -> None:
        self.wait_ended_at = wait_ended_at
        self.status = status
        self.body = body
        self.reply = reply
        self.part_stamps = part_stamps
        self.missing_shards = missing_shards
        self.retry_after_s = retry_after_s
        self.detail = detail
