"""Connections of this entry host to one backend server, each with a task of its own."""

from __future__ import annotations

import queue
import threading
import time
from collections.abc import Callable
from functools import partial

from rhubarbway.decisions.server_state import ServerState
from rhubarbway.decisions.slowness_reports import SlownessReport, apply_report
from rhubarbway.edge.byte_account import UNCOUNTED
from rhubarbway.edge.exchange_connection import (
    ExchangeConnection,
    RefusedCallError,
    ResetCallError,
)
from rhubarbway.edge.http_call import (
    CallError,
    UnexpectedDataListener,
    ignore_unexpected_data,
)
from rhubarbway.edge.sent_bytes import ReportMismatch, ignore_mismatch
from rhubarbway.model import (
    BackendServer,
    ExchangeEnd,
    ExchangeOutcome,
    ExecutionStatus,
    ServerNotice,
)
from rhubarbway.services.connection_tasks import ConnectionTasks
from rhubarbway.services.exchange_outcomes import (
    make_outcome,
    outcome_of_error,
    outcome_of_reply,
)
from rhubarbway.services.log import component_logger
from rhubarbway.services.server_attempt import ServerAttempt
from rhubarbway.services.server_codec import ServerCodec

# Time limit for opening a connection, seconds. A connection opens within milliseconds, unless its
# first packet is lost, which TCP resends only after a second.
CONNECT_TIMEOUT_S = 0.3
# An idle connection is replaced this long before the server would close it, seconds.
IDLE_CLOSE_MARGIN_S = 0.3
# A reply may arrive this long after the deadline that the request states to the server, seconds.
REPLY_TIMEOUT_MARGIN_S = 0.005
# A process that takes over the address of one that has ended starts cold, and its entry is known
# within this time, seconds.
RESTART_NOTICE_S = 5.0

ReportColdAttempt = Callable[..., None]


def ignore_cold_attempt(server: BackendServer, *, is_sent: bool) -> None:
    """Do nothing: nobody counts the attempts at cold servers."""


def ignore_reset(server: BackendServer) -> None:
    """Do nothing: nobody counts the resets of new connections."""


class ServerConnection:
    """One connection, the inbox of its task, and the instant until which it can be reused."""

    __slots__ = ("http", "inbox", "reusable_until")

    def __init__(
        self,
        *,
        address: str,
        report_mismatch: ReportMismatch = ignore_mismatch,
        on_unexpected_data: UnexpectedDataListener = ignore_unexpected_data,
    ) -> None:
        self.http = ExchangeConnection(
            address=address, report_mismatch=report_mismatch, on_unexpected_data=on_unexpected_data
        )
        self.inbox: queue.SimpleQueue[ServerAttempt | None] = queue.SimpleQueue()
        self.reusable_until = float("inf")


class ServerPool:
    """Connections to one server, and the attempts that run on them or wait for one.

    Parameters
    ----------
    server : BackendServer
        The server as described by the registry.
    max_connections : int
        Maximum number of connections at a time.
    codec : ServerCodec
        Wire format of requests and replies.
    tasks : ConnectionTasks
        Starts the tasks of connections.
    observe : callable
        Called with each attempt and its outcome, for metrics and latencies.
    handle_notice : callable
        Called with the pool and each notice of its server.
    connect_timeout_s : float
        Time limit for opening a connection, seconds.
    acknowledgement_timeout_s : float or None
        Time in which the server must acknowledge the head of a request before the body is sent,
        seconds; None for servers that get the whole request at once.
    report_reset : callable
        Called with the server if it resets a connection before the first reply, as it does beyond
        its connection cap.
    report_cold_attempt : callable
        Called for each attempt at a cold server with a limit: with the server, and whether it was
        sent or withheld.
    side : str
        What the server is in the count of unexpected data: ``server`` or ``delegate``.
    """

    __slots__ = (
        "closed",
        "codec",
        "connect_timeout_s",
        "connection_count",
        "acknowledgement_timeout_s",
        "handle_notice",
        "idle",
        "lock",
        "log",
        "observe",
        "report_cold_attempt",
        "report_reset",
        "server",
        "side",
        "state",
        "tasks",
    )

    def __init__(
        self,
        *,
        server: BackendServer,
        max_connections: int,
        codec: ServerCodec,
        tasks: ConnectionTasks,
        observe: Callable[[ServerAttempt, ExchangeOutcome], None],
        handle_notice: Callable[[ServerPool, ServerNotice], None],
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        acknowledgement_timeout_s: float | None = None,
        report_reset: Callable[[BackendServer], None] = ignore_reset,
        report_cold_attempt: ReportColdAttempt = ignore_cold_attempt,
        side: str = "server",
    ) -> None:
        self.report_reset = report_reset
        self.report_cold_attempt = report_cold_attempt
        self.side = side
        self.connect_timeout_s = connect_timeout_s
        self.acknowledgement_timeout_s = acknowledgement_timeout_s
        self.handle_notice = handle_notice
        self.server = server
        self.codec = codec
        self.tasks = tasks
        self.observe = observe
        self.state = ServerState(server=server, now=time.monotonic())
        self.state.max_connections = max_connections
        self.state.needs_connection = True
        self.lock = threading.Lock()
        self.log = component_logger("servers")
        # The connection that was used last is used first, so that few connections stay busy and
        # warm.
        self.idle: list[ServerConnection] = []
        # Number of connection tasks; each owns one connection.
        self.connection_count = 0
        self.closed = False

    def submit(self, attempt: ServerAttempt) -> None:
        """Run an attempt on an idle or new connection, or queue it until a connection is idle.

        An attempt that may never be sent, because the pool has been closed since it was chosen or
        the server leaves, ends at once.
        """
        with self.lock:
            self.state.record_sent(attempt.number, attempt.submitted_at)
            is_unwanted = self.closed or self.state.leaving or self.state.evacuated
            outcome = self.withdraw(attempt) if is_unwanted else None
            needs_connection = outcome is None and self.place(attempt)
        if outcome is not None:
            self.observe(attempt, outcome)
            attempt.deliver(outcome)
        elif needs_connection:
            self.tasks.start(self, attempt)

    def place(self, attempt: ServerAttempt) -> bool:
        """Queue an attempt or pass it to an idle connection; return whether it needs a new one.

        The caller holds the lock.
        """
        # Connections that are being opened ahead count, too.
        is_full = not self.idle and self.connection_count >= self.state.max_connections
        limit = 0.0 if is_full else self.state.max_connections
        if not self.state.load.submit(attempt, max_connections=limit, now=time.monotonic()):
            attempt.waiting_since = attempt.submitted_at
            return False
        if self.idle:
            self.use_idle_connection(attempt)
            return False
        self.connection_count += 1
        return True

    def use_idle_connection(self, attempt: ServerAttempt) -> None:
        """Pass an attempt to the connection that was used last; the caller holds the lock."""
        connection = self.idle.pop()
        self.state.needs_connection = not self.idle
        self.tasks.mark_busy(connection)
        connection.inbox.put(attempt)

    def merge_report(self, report: SlownessReport) -> bool:
        """Merge another host's report about the server, and return whether it was applied."""
        with self.lock:
            return apply_report(self.state, report, now=time.monotonic())

    def update_server(self, server: BackendServer) -> None:
        """Replace the registry's description of the server, which is still the same process."""
        with self.lock:
            self.server = self.state.server = server
            # Any change of an entry states anew how long the server stays cold.
            self.state.warm_at = time.monotonic() + server.warm_up_s

    def set_cold_for(self, warm_up_s: float) -> None:
        """Treat the server as cold for at least a time, seconds, whatever its entry states."""
        with self.lock:
            self.state.warm_at = max(self.state.warm_at, time.monotonic() + warm_up_s)

    def mark_leaving(self) -> None:
        """Send nothing more to the server, and withdraw the attempts that were not sent yet."""
        with self.lock:
            self.state.leaving = True
        self.withdraw_queued()

    def mark_evacuated(self) -> None:
        """Send nothing more from this pool, and withdraw the attempts that were not sent yet.

        The server gets a new pool when the evacuation of its zone ends.
        """
        with self.lock:
            self.state.evacuated = True
        self.withdraw_queued()

    def set_quiet_until(self, instant: float) -> None:
        """Send nothing to the server until an instant, and withdraw the attempts not sent yet."""
        with self.lock:
            self.state.quiet_until = instant
        self.withdraw_queued()

    def withdraw_queued(self) -> None:
        """End the attempts that wait for a connection, so that they can go to other servers.

        An attempt that a connection task has taken, but not sent, ends in ``run_attempt``.
        """
        without_task = self.tasks.take_waiting(self)
        with self.lock:
            for attempt in without_task:
                self.connection_count -= 1
                self.state.load.record_end(
                    attempt.number, took_s=0.0, was_answered=False, now=time.monotonic()
                )
            queued = self.state.load.queued.drain() + without_task
            outcomes = [(attempt, self.withdraw(attempt)) for attempt in queued]
        for attempt, outcome in outcomes:
            self.observe(attempt, outcome)
            attempt.deliver(outcome)

    def withdraw(self, attempt: ServerAttempt) -> ExchangeOutcome:
        """Record that an attempt is not sent, and return its outcome; the caller holds the lock."""
        outcome = self.withdrawn_outcome(attempt)
        self.state.record_outcome(outcome, typical_s=0.0, now=time.monotonic())
        return outcome

    def withdrawn_outcome(self, attempt: ServerAttempt) -> ExchangeOutcome:
        """Return the outcome of an attempt that is not sent because the server wants none."""
        reasons = (
            (self.state.leaving, "the server leaves"),
            (self.state.evacuated, "the zone of the server is evacuated"),
            (self.closed, "the server drains, or is no longer used"),
            (time.monotonic() < self.state.quiet_until, "the server asked for quiet"),
        )
        detail = next((text for applies, text in reasons if applies), "the server is cold")
        return make_outcome(
            attempt, self.server, ExchangeEnd.WITHDRAWN, ExecutionStatus.NOT_RUN, detail=detail
        )

    def close(self) -> None:
        """Send nothing more, and withdraw the attempts that were not sent yet.

        The tasks of idle connections end now, the others when their exchange has ended.
        """
        with self.lock:
            self.closed = True
        self.end_idle_connections()
        self.withdraw_queued()

    def end_idle_connections(self) -> None:
        """End the tasks of idle connections."""
        with self.lock:
            idle, self.idle = self.idle, []
            self.state.needs_connection = True
        for connection in idle:
            self.tasks.mark_busy(connection)
            connection.inbox.put(None)

    def end_idle_connection(self, connection: ServerConnection) -> None:
        """End the task of a connection, unless an attempt has taken the connection meanwhile."""
        with self.lock:
            if connection not in self.idle:
                return
            self.idle.remove(connection)
            self.state.needs_connection = not self.idle
        connection.inbox.put(None)

    def preconnect(self) -> None:
        """Open a first connection before an attempt needs it."""
        with self.lock:
            if self.closed or self.connection_count:
                return
            self.connection_count += 1
        if not self.tasks.try_start(self):
            with self.lock:
                self.connection_count -= 1

    def serve_connection(self, first_attempt: ServerAttempt | None) -> None:
        """Run attempts on one connection until the pool closes, in the connection's own task.

        Without a first attempt, the task opens the connection and waits for an attempt.
        """
        connection = ServerConnection(
            address=self.server.address,
            report_mismatch=self.tasks.report_mismatch,
            on_unexpected_data=partial(self.tasks.report_unexpected_data, self.side),
        )
        attempt = first_attempt
        if attempt is None:
            self.connect(connection)
            with self.lock:
                attempt = self.take_queued_or_become_idle(connection)
            attempt = attempt or connection.inbox.get() or self.end_connection(connection)
        while attempt is not None:
            outcome = self.run_attempt_safely(connection, attempt)
            with self.lock:
                self.record_end(attempt, outcome)
                next_attempt = self.take_queued_or_become_idle(connection)
            self.observe(attempt, outcome)
            attempt.deliver(outcome)
            # An idle task must not keep the last request and its reply, which may have megabytes.
            del attempt, outcome
            attempt = next_attempt or connection.inbox.get()
            del next_attempt
            if attempt is None:
                attempt = self.end_connection(connection)

    def end_connection(self, connection: ServerConnection) -> ServerAttempt | None:
        """Close a connection whose task is told to end, and let the task end.

        Returns an attempt instead if one has been queued meanwhile: it counts on this task.
        """
        connection.http.disconnect()
        with self.lock:
            attempt = self.take_queued()
            if attempt is None:
                self.connection_count -= 1
        return attempt

    def record_end(self, attempt: ServerAttempt, outcome: ExchangeOutcome) -> None:
        """Record the end of an attempt that had a connection; the caller holds the lock."""
        now = time.monotonic()
        self.state.record_outcome(outcome, typical_s=attempt.typical_s, now=now)
        self.state.load.record_end(
            attempt.number,
            took_s=0.0 if attempt.sent_at is None else now - attempt.sent_at,
            was_answered=outcome.end is ExchangeEnd.ANSWERED,
            now=now,
        )

    def take_queued_or_become_idle(self, connection: ServerConnection) -> ServerAttempt | None:
        """Return the queued attempt to send next, or mark the connection idle and return None.

        The task of the connection ends instead if the pool is closed, or if another connection
        needs the task. The caller holds the lock.
        """
        attempt = self.take_queued()
        if attempt is not None:
            # The end of an exchange may allow several less urgent ones.
            while self.idle and (further := self.take_queued()) is not None:
                self.use_idle_connection(further)
            return attempt
        if self.closed or not self.tasks.try_keep_idle(connection, self):
            connection.inbox.put(None)
        else:
            self.idle.append(connection)
            self.state.needs_connection = False
        return None

    def take_queued(self) -> ServerAttempt | None:
        """Return the queued attempt to send next, or None; the caller holds the lock."""
        limit = self.state.max_connections
        return self.state.load.take(max_connections=limit, now=time.monotonic())

    def connect(self, connection: ServerConnection) -> None:
        """Open a connection; if that fails, its first attempt tries again."""
        try:
            connection.http.open(timeout_s=self.connect_timeout_s)
        except CallError as error:
            self.log.debug("Preconnecting failed.", server=self.server.id, error=str(error))

    def run_attempt_safely(
        self, connection: ServerConnection, attempt: ServerAttempt
    ) -> ExchangeOutcome:
        """Run an attempt, and turn any exception into an outcome.

        An error in this program must not end the connection task, since the request would then
        wait for an outcome that never comes. The outcome is ``LOST``, so the error also counts as a
        server lost with the request.
        """
        try:
            return self.run_attempt(connection, attempt)
        except Exception:
            self.log.exception("Internal error in an attempt.", server=self.server.id)
            connection.http.disconnect()
            return make_outcome(
                attempt,
                self.server,
                ExchangeEnd.LOST,
                ExecutionStatus.UNKNOWN,
                detail="internal error",
            )

    def run_attempt(self, connection: ServerConnection, attempt: ServerAttempt) -> ExchangeOutcome:
        """Send the request and return the outcome.

        A cancelled or expired attempt is not sent. Both end as ``CANCELLED``, whereas a
        ``ReplicaPool`` reports an expired one as ``TIMED_OUT``. Nothing is sent either to a server
        that wants no requests.
        """
        request = attempt.request
        http = connection.http
        now = time.monotonic()
        if now >= connection.reusable_until:
            http.disconnect()
        remaining_s = attempt.deadline - now
        attempt.waiting_since = attempt.waiting_since or now
        if attempt.cancelled:
            return make_outcome(
                attempt, self.server, ExchangeEnd.CANCELLED, ExecutionStatus.NOT_RUN
            )
        if remaining_s <= 0.0:
            return make_outcome(
                attempt,
                self.server,
                ExchangeEnd.CANCELLED,
                ExecutionStatus.NOT_RUN,
                detail="no time left",
            )
        if not self.try_acquire(now):
            return self.withdrawn_outcome(attempt)
        is_new = not http.is_open
        attempt.call_number = http.reserve_call()
        # ``cancel`` depends on this order.
        attempt.connection = http
        try:
            if attempt.cancelled:
                return make_outcome(
                    attempt, self.server, ExchangeEnd.CANCELLED, ExecutionStatus.NOT_RUN
                )
            attempt.sent_at = time.monotonic()
            reply = http.exchange(
                request.method,
                request.target,
                headers=self.codec.encode(request, self.server, remaining_s=remaining_s),
                body=request.body,
                timeout_s=remaining_s + REPLY_TIMEOUT_MARGIN_S,
                connect_timeout_s=self.connect_timeout_s,
                acknowledgement_timeout_s=self.acknowledgement_timeout_s,
                call_number=attempt.call_number,
                account=request.account or UNCOUNTED,
            )
        except CallError as error:
            connection.reusable_until = float("inf")
            self.record_call_error(error, is_new=is_new)
            return outcome_of_error(attempt, self.server, error)
        finally:
            attempt.connection = None
        decoded = self.codec.decode(reply, request)
        if decoded is None:
            # Its notice is old, too: a time that begins with it would begin again.
            http.disconnect()
            return make_outcome(attempt, self.server, ExchangeEnd.FOREIGN, ExecutionStatus.UNKNOWN)
        notice = self.codec.decode_notice(reply)
        if notice is not None:
            self.handle_notice(self, notice)
        if decoded.closes_connection:
            http.disconnect()
        connection.reusable_until = (
            float("inf")
            if decoded.idle_timeout_s is None
            else time.monotonic() + max(0.0, decoded.idle_timeout_s - IDLE_CLOSE_MARGIN_S)
        )
        return outcome_of_reply(attempt, self.server, decoded)

    def try_acquire(self, now: float) -> bool:
        """Return whether a request may be sent now; count it if the server is cold."""
        with self.lock:
            accepts = not self.closed and self.state.accepts_requests(now)
            is_limited = self.state.is_cold(now) and self.state.cold_limit.is_limited()
            if accepts and is_limited:
                self.state.cold_limit.record_sent(now)
        if is_limited:
            self.report_cold_attempt(self.server, is_sent=accepts)
        return accepts

    def record_call_error(self, error: CallError, *, is_new: bool) -> None:
        """Report a reset of a new connection; treat a server that refuses one as cold."""
        if is_new and isinstance(error, ResetCallError):
            self.report_reset(self.server)
        if isinstance(error, RefusedCallError) and self.state.cold_limit.is_limited():
            self.set_cold_for(RESTART_NOTICE_S)
