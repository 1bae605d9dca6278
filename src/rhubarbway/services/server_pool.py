"""The connections of this entry host to one backend server, and the task that serves each."""

from __future__ import annotations

import queue
import threading
import time
from collections import deque
from collections.abc import Callable

from rhubarbway.decisions.server_news import ServerReport, apply_report
from rhubarbway.decisions.server_state import ServerState
from rhubarbway.edge.exchange_connection import ExchangeConnection
from rhubarbway.edge.http_client import CallError, Reply
from rhubarbway.model import (
    BackendServer,
    ExchangeEnd,
    ExchangeOutcome,
    ExecutionStatus,
    ForwardedRequest,
    ReplicaReply,
)
from rhubarbway.services.log import component_logger

# A connection takes milliseconds to open; a lost first packet is sent again only after a second.
CONNECT_TIMEOUT_S = 0.3
# An idle connection is opened anew this long before the server would close it, seconds.
IDLE_MARGIN_S = 0.3
# A reply may come this long after the time limit that the server was told, seconds.
REPLY_MARGIN_S = 0.005

EncodeRequest = Callable[..., list[str]]
DecodeReply = Callable[[Reply, ForwardedRequest], ReplicaReply | None]


class ReplicaDialect:
    """How requests to servers are written and their replies are read.

    Attributes
    ----------
    encode : callable
        Returns the header lines of a request: ``encode(request, server, left_s=...)``.
    decode : callable
        Returns the decoded reply, or None if it belongs to another request.
    """

    __slots__ = ("decode", "encode")

    def __init__(self, *, encode: EncodeRequest, decode: DecodeReply) -> None:
        self.encode = encode
        self.decode = decode


class ServerAttempt:
    """One request on its way to one server.

    ``deliver`` takes the outcome; it is called exactly once. ``kind`` is the name of the route and
    ``usual_s`` the usual time of its replies, seconds. ``waits_since`` is the instant since which
    the attempt waits for the server; None while it waits for the processor of this host.
    """

    __slots__ = (
        "call_number",
        "cancelled",
        "connection",
        "deadline",
        "deliver",
        "handed_at",
        "kind",
        "number",
        "request",
        "shard",
        "usual_s",
        "waits_since",
    )

    def __init__(
        self,
        *,
        number: int,
        request: ForwardedRequest,
        shard: str,
        kind: str,
        deadline: float,
        handed_at: float,
        usual_s: float,
        deliver: Callable[[ExchangeOutcome], None],
    ) -> None:
        self.number = number
        self.request = request
        self.shard = shard
        self.kind = kind
        self.deadline = deadline
        self.usual_s = usual_s
        self.deliver = deliver
        self.cancelled = False
        self.connection: ExchangeConnection | None = None
        self.call_number = 0
        self.handed_at = handed_at
        self.waits_since: float | None = None

    @property
    def began_at(self) -> float:
        """Instant from which the time of the server counts."""
        return self.handed_at if self.waits_since is None else self.waits_since

    def cancel(self) -> None:
        """Stop the attempt; its connection is closed if the request was already sent."""
        self.cancelled = True
        connection = self.connection
        if connection is not None:
            connection.abort(self.call_number)


class ServerConnection:
    """One connection task: its mailbox, and until when the server keeps the connection open."""

    __slots__ = ("http", "idle_until", "mailbox")

    def __init__(self, *, address: str) -> None:
        self.http = ExchangeConnection(address=address)
        self.mailbox: queue.SimpleQueue[ServerAttempt | None] = queue.SimpleQueue()
        self.idle_until = float("inf")


class ServerPool:
    """Attempts for one server and the tasks that run them.

    Parameters
    ----------
    server : BackendServer
        The server as the registry described it when the pool was made.
    limit : int
        Most connections at a time.
    dialect : ReplicaDialect
        Wire format of requests and replies.
    spawn : callable
        Runs a task.
    observe : callable
        Called with each outcome, for metrics and learnt times.
    """

    __slots__ = (
        "closed",
        "connections",
        "dialect",
        "idle",
        "lock",
        "log",
        "observe",
        "server",
        "spawn",
        "state",
        "waiting",
    )

    def __init__(
        self,
        *,
        server: BackendServer,
        limit: int,
        dialect: ReplicaDialect,
        spawn: Callable[..., object],
        observe: Callable[[ServerAttempt, ExchangeOutcome], None],
    ) -> None:
        self.server = server
        self.dialect = dialect
        self.spawn = spawn
        self.observe = observe
        self.state = ServerState(server=server, now=time.monotonic())
        self.state.limit = limit
        self.lock = threading.Lock()
        self.log = component_logger("servers")
        # The connection that was used last is used first, so that few are kept busy and warm.
        self.idle: list[ServerConnection] = []
        self.connections = 0
        self.waiting: deque[ServerAttempt] = deque()
        self.closed = False

    def submit(self, attempt: ServerAttempt) -> None:
        """Hand an attempt to an idle connection or a new one, or let it wait for one."""
        with self.lock:
            self.state.note_sent(attempt.number, attempt.handed_at)
            if self.idle:
                self.idle.pop().mailbox.put(attempt)
                return
            if self.connections >= self.state.limit:
                attempt.waits_since = attempt.handed_at
                self.waiting.append(attempt)
                return
            self.connections += 1
        self.spawn(self.serve_connection, attempt)

    def take_report(self, report: ServerReport) -> bool:
        """Take in what another host tells of the server, and return whether it counts."""
        with self.lock:
            return apply_report(self.state, report, now=time.monotonic())

    def describe(self, server: BackendServer) -> None:
        """Take over what the registry now says about the same run of the server."""
        with self.lock:
            self.server = self.state.server = server

    def close(self) -> None:
        """End the idle connection tasks; the busy ones end after what they do."""
        with self.lock:
            self.closed = True
            idle, self.idle = self.idle, []
        for connection in idle:
            connection.mailbox.put(None)

    def open_ahead(self) -> None:
        """Open a first connection before an attempt needs one."""
        with self.lock:
            if self.closed or self.connections:
                return
            self.connections += 1
        self.spawn(self.serve_connection, None)

    def serve_connection(self, first: ServerAttempt | None) -> None:
        """Task of one connection: run attempts until the pool closes.

        Without a first attempt the connection is opened and waits for one.
        """
        connection = ServerConnection(address=self.server.address)
        attempt = first
        if attempt is None:
            self.connect(connection)
            with self.lock:
                attempt = self.following(connection)
            attempt = attempt or connection.mailbox.get()
        while attempt is not None:
            outcome = self.guarded_attempt(connection, attempt)
            with self.lock:
                self.state.note_outcome(outcome, usual_s=attempt.usual_s, now=time.monotonic())
                following = self.following(connection)
            self.observe(attempt, outcome)
            attempt.deliver(outcome)
            attempt = following or connection.mailbox.get()
        with self.lock:
            self.connections -= 1
        connection.http.disconnect()

    def following(self, connection: ServerConnection) -> ServerAttempt | None:
        """Return the attempt that has waited longest, or make the connection wait for one.

        The lock is held. The mailbox of a connection of a closed pool gets its end.
        """
        if self.waiting:
            return self.waiting.popleft()
        if self.closed:
            connection.mailbox.put(None)
        else:
            self.idle.append(connection)
        return None

    def connect(self, connection: ServerConnection) -> None:
        """Open a connection; if that fails, the first attempt opens it."""
        try:
            connection.http.open(timeout_s=CONNECT_TIMEOUT_S)
        except CallError as error:
            self.log.debug("No connection ahead.", server=self.server.id, error=str(error))

    def guarded_attempt(
        self, connection: ServerConnection, attempt: ServerAttempt
    ) -> ExchangeOutcome:
        """Run an attempt; a fault of this program must not end the task and lose the outcome."""
        try:
            return self.run_attempt(connection, attempt)
        except Exception:
            self.log.exception("An attempt failed.", server=self.server.id)
            connection.http.disconnect()
            return self.outcome(
                attempt, ExchangeEnd.LOST, ExecutionStatus.UNKNOWN, detail="internal error"
            )

    def run_attempt(self, connection: ServerConnection, attempt: ServerAttempt) -> ExchangeOutcome:
        """Send one request and return how it ended."""
        request = attempt.request
        http = connection.http
        now = time.monotonic()
        if now >= connection.idle_until:
            http.disconnect()
        left_s = attempt.deadline - now
        attempt.waits_since = attempt.waits_since or now
        attempt.call_number = http.call_number + 1
        attempt.connection = http
        if attempt.cancelled:
            return self.outcome(attempt, ExchangeEnd.CANCELLED, ExecutionStatus.NOT_RUN)
        if left_s <= 0.0:
            return self.outcome(
                attempt, ExchangeEnd.CANCELLED, ExecutionStatus.NOT_RUN, detail="no time left"
            )
        try:
            reply = http.exchange(
                request.method,
                request.target,
                headers=self.dialect.encode(request, self.server, left_s=left_s),
                body=request.body,
                timeout_s=left_s + REPLY_MARGIN_S,
                connect_timeout_s=CONNECT_TIMEOUT_S,
            )
        except CallError as error:
            connection.idle_until = float("inf")
            return self.outcome_of_error(attempt, error)
        finally:
            attempt.connection = None
        decoded = self.dialect.decode(reply, request)
        if decoded is None:
            http.disconnect()
            return self.outcome(attempt, ExchangeEnd.FOREIGN, ExecutionStatus.UNKNOWN)
        if decoded.closes_connection:
            http.disconnect()
        connection.idle_until = (
            float("inf")
            if decoded.idle_timeout_s is None
            else time.monotonic() + max(0.0, decoded.idle_timeout_s - IDLE_MARGIN_S)
        )
        return self.outcome_of_reply(attempt, decoded)

    def outcome_of_reply(self, attempt: ServerAttempt, reply: ReplicaReply) -> ExchangeOutcome:
        """Return the outcome of a call with a whole reply."""
        if reply.misdirected:
            return self.outcome(
                attempt, ExchangeEnd.MISDIRECTED, ExecutionStatus.NOT_RUN, reply=reply
            )
        if reply.ran is ExecutionStatus.NOT_RUN:
            return self.outcome(attempt, ExchangeEnd.REFUSED, ExecutionStatus.NOT_RUN, reply=reply)
        end = ExchangeEnd.ANSWERED if reply.status < 500 else ExchangeEnd.FAILED
        return self.outcome(attempt, end, ExecutionStatus.RUN, reply=reply)

    def outcome_of_error(self, attempt: ServerAttempt, error: CallError) -> ExchangeOutcome:
        """Return the outcome of a call that ended without a whole reply."""
        ran = ExecutionStatus.UNKNOWN if error.sent else ExecutionStatus.NOT_RUN
        end = ExchangeEnd.LOST if error.sent else ExchangeEnd.CONNECT_FAILED
        if error.timed_out and error.sent:
            end = ExchangeEnd.TIMED_OUT
        if attempt.cancelled:
            end = ExchangeEnd.CANCELLED
        return self.outcome(attempt, end, ran, detail=str(error))

    def outcome(
        self,
        attempt: ServerAttempt,
        end: ExchangeEnd,
        ran: ExecutionStatus,
        *,
        reply: ReplicaReply | None = None,
        detail: str = "",
    ) -> ExchangeOutcome:
        """Return an outcome with the names of attempt and server filled in."""
        return ExchangeOutcome(
            attempt=attempt.number,
            shard=attempt.shard,
            server=self.server.id,
            end=end,
            ran=ran,
            latency_s=time.monotonic() - attempt.began_at,
            reply=reply,
            detail=detail,
        )
