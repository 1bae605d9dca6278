"""The connections of this entry host to one replica, and the task of each connection."""

from __future__ import annotations

import queue
import threading
import time
from collections.abc import Callable, Sequence

from rhubarbway.decisions.replica_state import ReplicaState
from rhubarbway.edge import wire
from rhubarbway.edge.http_client import (
    CallError,
    HttpConnection,
    UnexpectedDataListener,
    ignore_unexpected_data,
)
from rhubarbway.model import AttemptOutcome, ExecutionStatus, OutcomeKind, Replica, SubQuery
from rhubarbway.services.log import component_logger

# Time without a reply after which a replica is asked for its status before the next attempt. This
# detects a backend server that began to drain, and renews the known state of the replica after the
# process of this host was suspended.
STATUS_CHECK_SILENCE_S = 2.0
STATUS_TIMEOUT_S = 0.5
# Interval of status requests to a replica that was never reached or is draining. Such a replica
# gets no attempts whose replies would show that it serves again.
UNUSED_RECHECK_INTERVAL_S = 2.0
# Shortest interval of the status requests to one replica that queries cause. A replica that lacks
# the snapshot of a query gets no attempts, so without these requests its known state would never
# change.
MIN_REFRESH_INTERVAL_S = 0.5

ContactListener = Callable[[str, str | None], None]


class Attempt:
    """One attempt to run a sub-query on a replica.

    The connection task calls ``on_outcome`` exactly once. ``incarnation`` is the incarnation of the
    replica when the request was sent. ``call_number`` is the number reserved for the attempt's call
    on ``connection``, so that ``cancel`` aborts no other call. ``has_reservation`` is True if the
    attempt holds a reservation of the crash service.
    """

    __slots__ = (
        "call_number",
        "cancelled",
        "connection",
        "on_outcome",
        "has_reservation",
        "incarnation",
        "started_at",
        "sub_query",
    )

    def __init__(
        self,
        *,
        sub_query: SubQuery,
        on_outcome: Callable[[AttemptOutcome], None],
        has_reservation: bool = False,
    ) -> None:
        self.sub_query = sub_query
        self.has_reservation = has_reservation
        self.on_outcome = on_outcome
        self.cancelled = False
        self.connection: HttpConnection | None = None
        self.call_number = 0
        self.incarnation = ""
        self.started_at = time.monotonic()

    def cancel(self) -> None:
        """Cancel the attempt; abort its call, and so its connection, if the call has begun."""
        # ``run_attempt`` sets ``connection`` before it reads ``cancelled``, so either it sees the
        # cancellation or the call is aborted here.
        self.cancelled = True
        connection = self.connection
        if connection is not None:
            connection.abort(self.call_number)


class StatusRequest:
    """Queued request for the status of a replica.

    If ``is_probe`` is True, the result decides whether an ejected replica is used again.
    """

    __slots__ = ("is_probe",)

    def __init__(self, *, is_probe: bool) -> None:
        self.is_probe = is_probe


class ReplicaPool:
    """Queue of the requests to one replica, and the connection tasks that send them.

    The requests are attempts and status requests. A connection task asks for the status when it
    connects or reconnects (at once after a lost connection), before an attempt after
    ``STATUS_CHECK_SILENCE_S`` without a reply (status check), and at intervals while the replica is
    unused (recheck). Queries ask for it if the replica lacks their snapshot (refresh) or is ejected
    (probe), and ``mark_draining`` asks once.

    ``in_flight_cap`` is this entry host's share of the replica's connections. ``on_capacity_freed``
    is called after each queued request, when the replica may have capacity for another attempt.
    A contact is an incarnation that the replica reports or a connection that it refuses;
    ``contact_listeners`` are called with each.
    """

    __slots__ = (
        "closed",
        "contact_listeners",
        "first_status_done",
        "on_capacity_freed",
        "on_unexpected_data",
        "requests",
        "lock",
        "log",
        "refreshed_at",
        "replica",
        "spawn",
        "state",
        "task_count",
    )

    def __init__(
        self,
        *,
        replica: Replica,
        in_flight_cap: int,
        spawn: Callable[[Callable[[], None]], None],
        contact_listeners: Sequence[ContactListener] = (),
        on_capacity_freed: Callable[[], None] = lambda: None,
        on_unexpected_data: UnexpectedDataListener = ignore_unexpected_data,
    ) -> None:
        self.on_unexpected_data = on_unexpected_data
        self.contact_listeners = contact_listeners
        self.on_capacity_freed = on_capacity_freed
        self.replica = replica
        self.state = ReplicaState(replica=replica, in_flight_cap=in_flight_cap)
        self.requests: queue.SimpleQueue[Attempt | StatusRequest | None] = queue.SimpleQueue()
        self.lock = threading.Lock()
        self.log = component_logger("backends")
        self.spawn = spawn
        self.task_count = 0
        # Set when the first status request has ended, with or without a reply.
        self.first_status_done = threading.Event()
        self.refreshed_at = float("-inf")
        self.closed = False

    def matches(self, replica: Replica, *, in_flight_cap: int) -> bool:
        """Whether the pool has the address, zone, slots and cap that a new manifest requires."""
        declared = (replica.address, replica.zone, replica.slots, in_flight_cap)
        own = self.replica
        return declared == (own.address, own.zone, own.slots, self.state.in_flight_cap)

    def submit(self, attempt: Attempt) -> None:
        """Queue an attempt, and open another connection if all are in use.

        A query keeps the manifest that it started with, so a pool may receive attempts after it
        was closed. Each of them starts a task that ends after one attempt.
        """
        with self.lock:
            self.state.record_sent(time.monotonic())
            starts_task = self.closed or (
                self.task_count <= self.state.in_flight
                and self.task_count < self.state.in_flight_cap
            )
            if starts_task:
                self.task_count += 1
            self.requests.put(attempt)
            if self.closed:
                self.requests.put(None)
        if starts_task:
            self.spawn(self.serve_connection)

    def refresh_status(self, now: float) -> None:
        """Queue a status request for one of the connection tasks, if there are any.

        Does nothing if the replica replied or was asked within ``MIN_REFRESH_INTERVAL_S``.
        """
        if now - max(self.refreshed_at, self.state.last_reply_at) < MIN_REFRESH_INTERVAL_S:
            return
        with self.lock:
            if (
                self.closed
                or self.task_count == 0
                or now - self.refreshed_at < MIN_REFRESH_INTERVAL_S
            ):
                return
            self.refreshed_at = now
            self.requests.put(StatusRequest(is_probe=False))

    def start_probe(self) -> None:
        """Queue a status request that decides whether an ejected replica is used again."""
        with self.lock:
            if self.state.probe_running or self.closed:
                return
            self.state.probe_running = True
            starts_task = self.task_count == 0
            self.task_count += starts_task
            self.requests.put(StatusRequest(is_probe=True))
        if starts_task:
            self.spawn(self.serve_connection)

    def mark_draining(self) -> None:
        """Stop using the replica after another entry host reported that it drains."""
        with self.lock:
            self.state.draining = True
            # The status request wakes one task, which then rechecks the replica at intervals.
            self.requests.put(StatusRequest(is_probe=False))

    def preconnect(self) -> None:
        """Open a connection before the first attempt needs one, unless there is one already."""
        with self.lock:
            starts_task = self.task_count == 0
            self.task_count += starts_task
        if starts_task:
            self.spawn(self.serve_connection)

    def close(self) -> None:
        """End the connection tasks after the queued requests."""
        with self.lock:
            self.closed = True
            for _ in range(self.task_count):
                self.requests.put(None)

    def serve_connection(self) -> None:
        """Task: connect, then send the queued requests until the pool closes."""
        connection = HttpConnection(
            address=self.replica.address, on_unexpected_data=self.on_unexpected_data
        )
        self.request_status(connection, timeout_s=STATUS_TIMEOUT_S)
        self.first_status_done.set()
        while True:
            try:
                request = self.requests.get(timeout=self.recheck_interval_s())
            except queue.Empty:
                self.request_status(connection, timeout_s=STATUS_TIMEOUT_S)
                continue
            if request is None:
                connection.close()
                return
            if isinstance(request, StatusRequest):
                answered = self.request_status(connection, timeout_s=STATUS_TIMEOUT_S)
                if request.is_probe:
                    with self.lock:
                        self.state.record_probe(answered=answered, now=time.monotonic())
                self.on_capacity_freed()
                continue
            outcome = self.run_attempt_safely(connection, request)
            with self.lock:
                self.state.record_outcome(outcome, time.monotonic())
            request.on_outcome(outcome)
            self.on_capacity_freed()
            lost = outcome.kind is OutcomeKind.CONNECTION_LOST
            if lost or not (connection.is_open or self.closed):
                # Reconnects now, so that the next attempt doesn't wait for a new connection. After
                # a lost connection this also shows whether the server process has ended.
                self.request_status(connection, timeout_s=STATUS_TIMEOUT_S)

    def notify_contact(self, incarnation: str | None) -> None:
        """Pass the incarnation to the listeners, or None if the replica refused a connection."""
        for listener in self.contact_listeners:
            listener(self.replica.name, incarnation)

    def recheck_interval_s(self) -> float | None:
        """Return the interval of status requests to an unused replica; None if it is in use.

        A replica is unused while it is draining or was never reached.
        """
        unused = self.state.draining or self.state.incarnation == ""
        return UNUSED_RECHECK_INTERVAL_S if unused else None

    def request_status(self, connection: HttpConnection, *, timeout_s: float) -> bool:
        """Ask the replica for its status, opening the connection if needed.

        Returns whether the replica sent a valid status.
        """
        try:
            reply = connection.call("GET", "/v1/status", None, timeout_s=timeout_s)
            status = wire.status_from_json(reply.body)
        except CallError as error:
            if error.connecting and not error.timed_out:
                self.notify_contact(None)
            return False
        except wire.MessageError:
            # The reply may belong to an earlier request, and so may later bytes on the connection.
            connection.disconnect()
            return False
        with self.lock:
            self.state.record_status(
                incarnation=status.incarnation,
                held_snapshots=status.held_snapshots,
                draining=status.draining,
                now=time.monotonic(),
            )
        self.notify_contact(status.incarnation)
        return True

    def run_attempt_safely(self, connection: HttpConnection, attempt: Attempt) -> AttemptOutcome:
        """Run an attempt; turn an unexpected exception into an outcome.

        Otherwise the exception would end the task and the query would never get an outcome.
        """
        try:
            return self.run_attempt(connection, attempt)
        except Exception:
            self.log.exception(
                "Attempt ended by an unexpected exception.", replica=self.replica.name
            )
            connection.disconnect()
            return self.make_outcome(
                attempt, OutcomeKind.BAD_ANSWER, ExecutionStatus.UNKNOWN, "internal error"
            )

    def run_attempt(self, connection: HttpConnection, attempt: Attempt) -> AttemptOutcome:
        """Send one sub-query, if needed after a status request, and return its outcome.

        The outcome is ``CONNECT_FAILED`` also if the status request gets no valid reply. An expired
        attempt is not sent and ends as ``TIMED_OUT``, which counts as a failure of the replica; a
        ``ServerPool`` reports it as ``CANCELLED``.
        """
        sub_query = attempt.sub_query
        now = time.monotonic()
        if now >= sub_query.deadline:
            return self.make_outcome(attempt, OutcomeKind.TIMED_OUT, ExecutionStatus.NOT_RUN)
        silent = now - self.state.last_reply_at > STATUS_CHECK_SILENCE_S
        timeout_s = min(STATUS_TIMEOUT_S, sub_query.deadline - now)
        if (silent or not connection.is_open) and not self.request_status(
            connection, timeout_s=timeout_s
        ):
            return self.make_outcome(attempt, OutcomeKind.CONNECT_FAILED, ExecutionStatus.NOT_RUN)
        if self.state.is_leaving:
            return self.make_outcome(attempt, OutcomeKind.DRAINING, ExecutionStatus.NOT_RUN)
        now = time.monotonic()
        if now >= sub_query.deadline:
            return self.make_outcome(attempt, OutcomeKind.TIMED_OUT, ExecutionStatus.NOT_RUN)
        attempt.incarnation = self.state.incarnation
        attempt.call_number = connection.reserve_call()
        # ``cancel`` depends on this order.
        attempt.connection = connection
        try:
            if attempt.cancelled:
                return self.make_outcome(attempt, OutcomeKind.CANCELLED, ExecutionStatus.NOT_RUN)
            reply = connection.call(
                "POST",
                "/v1/subquery",
                wire.sub_query_to_json(sub_query, now=now),
                timeout_s=sub_query.deadline - now,
                call_number=attempt.call_number,
            )
        except CallError as error:
            return self.outcome_of_error(attempt, error)
        finally:
            attempt.connection = None
        try:
            message = wire.reply_from_json(reply.body)
        except wire.MessageError as error:
            connection.disconnect()
            return self.make_outcome(
                attempt, OutcomeKind.BAD_ANSWER, ExecutionStatus.UNKNOWN, str(error)
            )
        ended_at = time.monotonic()
        outcome = wire.outcome_of_reply(
            sub_query, message, replica=self.replica.name, latency_s=ended_at - now
        )
        if outcome.kind in (OutcomeKind.FOREIGN_ANSWER, OutcomeKind.BAD_ANSWER):
            connection.disconnect()
            return outcome
        with self.lock:
            self.state.record_status(
                incarnation=message.incarnation,
                held_snapshots=message.held_snapshots,
                draining=message.draining,
                now=ended_at,
            )
        self.notify_contact(message.incarnation)
        return outcome

    def outcome_of_error(self, attempt: Attempt, error: CallError) -> AttemptOutcome:
        """Return the outcome of a call that ended without a complete response."""
        ran = ExecutionStatus.UNKNOWN if error.sent else ExecutionStatus.NOT_RUN
        if attempt.cancelled:
            return self.make_outcome(attempt, OutcomeKind.CANCELLED, ran, str(error))
        if error.timed_out:
            return self.make_outcome(attempt, OutcomeKind.TIMED_OUT, ran, str(error))
        if error.sent:
            return self.make_outcome(attempt, OutcomeKind.CONNECTION_LOST, ran, str(error))
        return self.make_outcome(attempt, OutcomeKind.CONNECT_FAILED, ran, str(error))

    def make_outcome(
        self, attempt: Attempt, kind: OutcomeKind, ran: ExecutionStatus, detail: str = ""
    ) -> AttemptOutcome:
        """Return an outcome without an answer; its latency counts from the attempt's creation."""
        return AttemptOutcome(
            attempt=attempt.sub_query.attempt,
            replica=self.replica.name,
            shard=attempt.sub_query.shard,
            kind=kind,
            ran=ran,
            latency_s=time.monotonic() - attempt.started_at,
            detail=detail,
        )
