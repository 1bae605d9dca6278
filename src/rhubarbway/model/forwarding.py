"""Forwarded requests, the replies of replicas, and the answers to callers."""

from __future__ import annotations

from enum import Enum
from typing import Any

from rhubarbway.model.failure import ExecutionStatus

Headers = tuple[tuple[str, str], ...]


class ForwardedRequest:
    """A caller's request, to be forwarded to one or several replicas.

    Attributes
    ----------
    request_id : str
        Identifier of the request, set by the caller and forwarded unchanged.
    method, target, host : str
        Method, path with query string, and host as the caller sent them.
    path : str
        The target without its query string.
    headers : tuple of (str, str)
        End-to-end headers, without those that are set anew for each server.
    body : bytes
        Complete body.
    received_at : float
        ``time.monotonic()`` instant at which the request was read.
    deadline : float
        ``time.monotonic()`` instant at which the caller gives up.
    account : object
        Account of the bytes held for the request, for the connections that read replies to it; None
        if nobody counts them.
    """

    __slots__ = (
        "account",
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
        self.account: Any = None
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
    """A complete reply of a replica.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : tuple of (str, str)
        End-to-end headers.
    body : bytes
        Complete body.
    signature : str
        Opaque text by which the replica marks the reply as its own; empty if the reply has none.
        Only its presence is checked.
    ran : ExecutionStatus
        ``NOT_RUN`` if the replica states that it did not execute the request.
    misdirected : bool
        Whether the replica states that the request was meant for another server.
    closes_connection : bool
        Whether the replica closes the connection after the reply.
    idle_timeout_s : float or None
        Time after which the replica closes an idle connection, seconds; None if not stated.
    is_failure : bool or None
        Whether the reply counts as a failure of the replica; None for the rule of its status, 500
        and above. The failures that a delegate relays are not its own.
    lacks_room : bool
        Whether a delegate refused the request because there is no room for it.
    """

    __slots__ = (
        "body",
        "closes_connection",
        "headers",
        "idle_timeout_s",
        "is_failure",
        "lacks_room",
        "misdirected",
        "ran",
        "signature",
        "status",
    )

    def __init__(
        self,
        *,
        status: int,
        headers: Headers,
        body: bytes,
        signature: str,
        ran: ExecutionStatus,
        misdirected: bool = False,
        closes_connection: bool = False,
        idle_timeout_s: float | None = None,
        is_failure: bool | None = None,
        lacks_room: bool = False,
    ) -> None:
        self.lacks_room = lacks_room
        self.is_failure = status >= 500 if is_failure is None else is_failure
        self.status = status
        self.headers = headers
        self.body = body
        self.signature = signature
        self.ran = ran
        self.misdirected = misdirected
        self.closes_connection = closes_connection
        self.idle_timeout_s = idle_timeout_s

    @property
    def succeeded(self) -> bool:
        """Whether the reply has a 2xx status and carries the server's signature."""
        return 200 <= self.status < 300 and self.signature != ""


class ExchangeEnd(Enum):
    """How an attempt of the gateway at one replica ended; metrics carry the values.

    ``OutcomeKind`` is the counterpart in ``rhubarbwayd``. A complete reply is ``FOREIGN`` if it
    belongs to another request, ``MISDIRECTED`` if it states that the request was meant for another
    server, and ``REFUSED`` if it states that the request was not executed. Any other complete reply
    is ``FAILED`` if it has a 5xx status, else ``ANSWERED``.

    Without a complete reply, the attempt is ``CONNECT_FAILED`` if nothing was sent (also at the
    time limit), ``TIMED_OUT`` if the reply is late, ``MALFORMED`` if the bytes received are no
    valid reply or exceed a limit, else ``LOST``. ``CANCELLED`` includes an attempt whose deadline
    passed before it was sent. An attempt is ``WITHDRAWN`` if it was not sent because the server has
    announced that it leaves or wants no requests for a time, and ``SILENT`` if a host to which a
    fan-out was delegated did not acknowledge it in time. ``UNREAD`` is a reply that this host had
    no memory for, which says nothing about the server.
    """

    ANSWERED = "answered"
    FAILED = "failed"
    REFUSED = "refused"
    MISDIRECTED = "misdirected"
    CONNECT_FAILED = "connect_failed"
    LOST = "lost"
    TIMED_OUT = "timed_out"
    FOREIGN = "foreign"
    MALFORMED = "malformed"
    SILENT = "silent"
    CANCELLED = "cancelled"
    WITHDRAWN = "withdrawn"
    UNREAD = "unread"


# Ends after which it is certain that the request reached no server of the service.
UNDELIVERED_ENDS = frozenset({ExchangeEnd.CONNECT_FAILED, ExchangeEnd.WITHDRAWN})


class ExchangeOutcome:
    """The outcome of one attempt at one replica.

    Parameters
    ----------
    attempt : int
        Number of the attempt, unique in the process.
    shard : str
        Name of the service that the attempt was sent to; in a fan-out each shard is a service.
    server : str
        Replica that the attempt was sent to.
    end : ExchangeEnd
        How the attempt ended.
    ran : ExecutionStatus
        Whether the replica executed the request.
    latency_s : float
        Duration of the attempt, seconds.
    reply : ReplicaReply or None
        The reply, if a complete one arrived.
    detail : str
        Description of an error.
    server_started_ms : int
        ``BackendServer.started_ms`` of the replica.
    """

    __slots__ = (
        "attempt",
        "detail",
        "end",
        "latency_s",
        "ran",
        "reply",
        "server",
        "server_started_ms",
        "shard",
    )

    def __init__(
        self,
        *,
        attempt: int,
        shard: str,
        server: str,
        end: ExchangeEnd,
        ran: ExecutionStatus,
        latency_s: float,
        reply: ReplicaReply | None = None,
        detail: str = "",
        server_started_ms: int = 0,
    ) -> None:
        self.attempt = attempt
        self.shard = shard
        self.server = server
        self.server_started_ms = server_started_ms
        self.end = end
        self.ran = ran
        self.latency_s = latency_s
        self.reply = reply
        self.detail = detail

    @property
    def succeeded(self) -> bool:
        """Whether a successful reply with the server's signature arrived."""
        return self.end is ExchangeEnd.ANSWERED and self.reply is not None and self.reply.succeeded


class ForwardedAnswer:
    """The answer to a caller whose request was forwarded.

    Attributes
    ----------
    status : int
        HTTP status.
    body : bytes
        Body of a merged answer.
    reply : ReplicaReply or None
        Reply of a replica that is passed on unchanged.
    signatures : tuple of str
        Signatures of the replies that a merged answer consists of.
    missing_shards : int
        Number of shards that a merged answer lacks.
    retry_after_s : float or None
        Time after which a refused caller may retry, seconds.
    detail : str
        Reason of a failure that originates on this host.
    lacks_room : bool
        Whether the request was refused at arrival because it would have waited too long for room.
    target_deadline : float or None
        Target deadline of the request, for a partial answer that has not missed it: the
        ``time.monotonic()`` instant until which missing shards are waited for. The wait may have
        ended earlier, because no shard could reply any more. None for other answers.
    """

    __slots__ = (
        "body",
        "detail",
        "lacks_room",
        "missing_shards",
        "reply",
        "retry_after_s",
        "signatures",
        "status",
        "target_deadline",
    )

    def __init__(
        self,
        *,
        status: int,
        body: bytes = b"",
        reply: ReplicaReply | None = None,
        signatures: tuple[str, ...] = (),
        missing_shards: int = 0,
        retry_after_s: float | None = None,
        detail: str = "",
        target_deadline: float | None = None,
        lacks_room: bool = False,
    ) -> None:
        self.lacks_room = lacks_room
        self.target_deadline = target_deadline
        self.status = status
        self.body = body
        self.reply = reply
        self.signatures = signatures
        self.missing_shards = missing_shards
        self.retry_after_s = retry_after_s
        self.detail = detail
