"""The connections of this entry host to one replica, and the task that serves each."""

from __future__ import annotations

import queue
import threading
import time
from collections.abc import Callable, Sequence

from rhubarbway.decisions.replica_state import ReplicaState
from rhubarbway.edge import wire
from rhubarbway.edge.http_client import CallError, HttpConnection
from rhubarbway.model import AttemptOutcome, ExecutionStatus, OutcomeKind, Replica, SubQuery
from rhubarbway.services.log import component_logger

# Silence after which a replica is asked for its status before it gets work. A backend server that
# started to leave, or an entry host that was paused, is noticed this way.
STATUS_AFTER_S = 2.0
STATUS_TIMEOUT_S = 0.5
# A replica that gets no work, because it was never reached or is draining, is asked this often
# whether it is back; its answers cannot tell.
RECHECK_S = 2.0
# A replica that lacks the snapshot of a query gets no work either, so what is known about it would
# never change. While queries come, it is asked this often.
REFRESH_S = 0.5

ContactListener = Callable[[str, str | None], None]


class Attempt:
    """One sub-query on its way to a replica.

    ``deliver`` takes the outcome; it is called exactly once, by the connection task.
    ``incarnation`` is the one that the replica had when the request was sent; ``guarded`` says that
    the attempt holds a reservation of the crash service.
    """

    __slots__ = (
        "call_number",
        "cancelled",
        "connection",
        "deliver",
        "guarded",
        "incarnation",
        "started_at",
        "sub_query",
    )

    def __init__(
        self,
        *,
        sub_query: SubQuery,
        deliver: Callable[[AttemptOutcome], None],
        guarded: bool = False,
    ) -> None:
        self.sub_query = sub_query
        self.guarded = guarded
        self.deliver = deliver
        self.cancelled = False
        self.connection: HttpConnection | None = None
        self.call_number = 0
        self.incarnation = ""
        self.started_at = time.monotonic()

    def cancel(self) -> None:
        """Stop the attempt; its connection is closed if the request was already sent."""
        self.cancelled = True
        connection = self.connection
        if connection is not None:
            connection.abort(self.call_number)


class StatusRequest:
    """Job that asks a replica for its status; a trial decides whether it is used again."""

    __slots__ = ("trial",)

    def __init__(self, *, trial: bool) -> None:
        self.trial = trial


class ReplicaPool:
    """Jobs for one replica and the tasks that work on them.

    ``freed`` is called after each job, when the replica may have room for another attempt.
    """

    __slots__ = (
        "closed",
        "contact_listeners",
        "first_asked",
        "freed",
        "jobs",
        "lock",
        "log",
        "refreshed_at",
        "replica",
        "spawn",
        "state",
        "tasks",
    )

    def __init__(
        self,
        *,
        replica: Replica,
        limit: int,
        spawn: Callable[[Callable[[], None]], None],
        contact_listeners: Sequence[ContactListener] = (),
        freed: Callable[[], None] = lambda: None,
    ) -> None:
        self.contact_listeners = contact_listeners
        self.freed = freed
        self.replica = replica
        self.state = ReplicaState(replica=replica, limit=limit)
        self.jobs: queue.SimpleQueue[Attempt | StatusRequest | None] = queue.SimpleQueue()
        self.lock = threading.Lock()
        self.log = component_logger("backends")
        self.spawn = spawn
        self.tasks = 0
        # Set once the first status request has ended, whether it was answered or not.
        self.first_asked = threading.Event()
        self.refreshed_at = float("-inf")
        self.closed = False

    def fits(self, replica: Replica, *, limit: int) -> bool:
        """Whether the pool can serve a replica as a new manifest declares it."""
        declared = (replica.address, replica.zone, replica.slots, limit)
        own = self.replica
        return declared == (own.address, own.zone, own.slots, self.state.limit)

    def submit(self, attempt: Attempt) -> None:
        """Queue an attempt, and open one more connection if all are in use.

        A query keeps the manifest that it started with, so a pool may get attempts after it was
        closed. Each of them gets a task of its own, which ends after it.
        """
        with self.lock:
            self.state.note_sent(time.monotonic())
            opens = self.closed or (
                self.tasks <= self.state.in_flight and self.tasks < self.state.limit
            )
            if opens:
                self.tasks += 1
            self.jobs.put(attempt)
            if self.closed:
                self.jobs.put(None)
        if opens:
            self.spawn(self.serve_connection)

    def refresh(self, now: float) -> None:
        """Ask the replica for its status, unless something was heard from it a short time ago."""
        if now - max(self.refreshed_at, self.state.last_heard) < REFRESH_S:
            return
        with self.lock:
            if self.closed or self.tasks == 0 or now - self.refreshed_at < REFRESH_S:
                return
            self.refreshed_at = now
            self.jobs.put(StatusRequest(trial=False))

    def try_again(self) -> None:
        """Ask an unusable replica for its status in the task of one of its connections."""
        with self.lock:
            if self.state.trial_running or self.closed:
                return
            self.state.trial_running = True
            opens = self.tasks == 0
            self.tasks += opens
            self.jobs.put(StatusRequest(trial=True))
        if opens:
            self.spawn(self.serve_connection)

    def note_drain(self) -> None:
        """Stop using the replica on the word of another entry host."""
        with self.lock:
            self.state.draining = True
            # The status request ends the wait of a task, which then asks again from time to time.
            self.jobs.put(StatusRequest(trial=False))

    def open_ahead(self) -> None:
        """Open a first connection before any attempt needs it."""
        with self.lock:
            opens = self.tasks == 0
            self.tasks += opens
        if opens:
            self.spawn(self.serve_connection)

    def close(self) -> None:
        """End the connection tasks after the queued attempts."""
        with self.lock:
            self.closed = True
            for _ in range(self.tasks):
                self.jobs.put(None)

    def serve_connection(self) -> None:
        """Task of one connection: connect, then run attempts until the pool closes."""
        connection = HttpConnection(address=self.replica.address)
        self.ask_status(connection, timeout_s=STATUS_TIMEOUT_S)
        self.first_asked.set()
        while True:
            try:
                attempt = self.jobs.get(timeout=self.recheck_interval())
            except queue.Empty:
                self.ask_status(connection, timeout_s=STATUS_TIMEOUT_S)
                continue
            if attempt is None:
                connection.close()
                return
            if isinstance(attempt, StatusRequest):
                answered = self.ask_status(connection, timeout_s=STATUS_TIMEOUT_S)
                if attempt.trial:
                    with self.lock:
                        self.state.note_trial(answered=answered, now=time.monotonic())
                self.freed()
                continue
            outcome = self.guarded_attempt(connection, attempt)
            with self.lock:
                self.state.note_outcome(outcome, time.monotonic())
            attempt.deliver(outcome)
            self.freed()
            lost = outcome.kind is OutcomeKind.CONNECTION_LOST
            if lost or not (connection.is_open or self.closed):
                # Opened again ahead of need, since a new connection costs the next attempt some
                # time; after a loss it also shows whether the server ended.
                self.ask_status(connection, timeout_s=STATUS_TIMEOUT_S)

    def notify_contact(self, incarnation: str | None) -> None:
        """Report the incarnation of the replica, or that it refused a connection."""
        for listener in self.contact_listeners:
            listener(self.replica.name, incarnation)

    def recheck_interval(self) -> float | None:
        """Return the time after which to ask an unused replica again, or None to wait for work."""
        unused = self.state.draining or self.state.incarnation == ""
        return RECHECK_S if unused else None

    def ask_status(self, connection: HttpConnection, *, timeout_s: float) -> bool:
        """Ask the replica for its status, which also opens the connection."""
        try:
            reply = connection.call("GET", "/v1/status", None, timeout_s=timeout_s)
            status = wire.status_from_json(reply.body)
        except CallError as error:
            if error.connecting and not error.timed_out:
                self.notify_contact(None)
            return False
        except wire.BadMessage:
            # Anything else that comes on this connection may belong to an earlier request too.
            connection.disconnect()
            return False
        with self.lock:
            self.state.note_contact(
                incarnation=status.incarnation,
                held_snapshots=status.held_snapshots,
                draining=status.draining,
                now=time.monotonic(),
            )
        self.notify_contact(status.incarnation)
        return True

    def guarded_attempt(self, connection: HttpConnection, attempt: Attempt) -> AttemptOutcome:
        """Run an attempt; a fault of this program must not end the task and lose the outcome."""
        try:
            return self.run_attempt(connection, attempt)
        except Exception:
            self.log.exception("An attempt failed.", replica=self.replica.name)
            connection.disconnect()
            return self.outcome(
                attempt, OutcomeKind.BAD_ANSWER, ExecutionStatus.UNKNOWN, "internal error"
            )

    def run_attempt(self, connection: HttpConnection, attempt: Attempt) -> AttemptOutcome:
        """Send one sub-query and return how it ended."""
        sub_query = attempt.sub_query
        now = time.monotonic()
        if now >= sub_query.deadline:
            return self.outcome(attempt, OutcomeKind.TIMED_OUT, ExecutionStatus.NOT_RUN)
        silent = now - self.state.last_heard > STATUS_AFTER_S
        timeout_s = min(STATUS_TIMEOUT_S, sub_query.deadline - now)
        if (silent or not connection.is_open) and not self.ask_status(
            connection, timeout_s=timeout_s
        ):
            return self.outcome(attempt, OutcomeKind.CONNECT_FAILED, ExecutionStatus.NOT_RUN)
        if self.state.leaving:
            return self.outcome(attempt, OutcomeKind.DRAINING, ExecutionStatus.NOT_RUN)
        now = time.monotonic()
        if now >= sub_query.deadline:
            return self.outcome(attempt, OutcomeKind.TIMED_OUT, ExecutionStatus.NOT_RUN)
        attempt.incarnation = self.state.incarnation
        attempt.call_number = connection.call_number + 1
        attempt.connection = connection
        if attempt.cancelled:
            return self.outcome(attempt, OutcomeKind.CANCELLED, ExecutionStatus.NOT_RUN)
        try:
            reply = connection.call(
                "POST",
                "/v1/subquery",
                wire.sub_query_to_json(sub_query, now=now),
                timeout_s=sub_query.deadline - now,
            )
        except CallError as error:
            return self.outcome_of_error(attempt, error)
        finally:
            attempt.connection = None
        try:
            message = wire.reply_from_json(reply.body)
        except wire.BadMessage as error:
            connection.disconnect()
            return self.outcome(
                attempt, OutcomeKind.BAD_ANSWER, ExecutionStatus.UNKNOWN, str(error)
            )
        finished = time.monotonic()
        outcome = wire.outcome_of_reply(
            sub_query, message, replica=self.replica.name, latency=finished - now
        )
        if outcome.kind in (OutcomeKind.FOREIGN_ANSWER, OutcomeKind.BAD_ANSWER):
            connection.disconnect()
            return outcome
        with self.lock:
            self.state.note_contact(
                incarnation=message.incarnation,
                held_snapshots=message.held_snapshots,
                draining=message.draining,
                now=finished,
            )
        self.notify_contact(message.incarnation)
        return outcome

    def outcome_of_error(self, attempt: Attempt, error: CallError) -> AttemptOutcome:
        """Return the outcome of a call that ended without a whole response."""
        ran = ExecutionStatus.UNKNOWN if error.sent else ExecutionStatus.NOT_RUN
        if attempt.cancelled:
            return self.outcome(attempt, OutcomeKind.CANCELLED, ran, str(error))
        if error.timed_out:
            return self.outcome(attempt, OutcomeKind.TIMED_OUT, ran, str(error))
        if error.sent:
            return self.outcome(attempt, OutcomeKind.CONNECTION_LOST, ran, str(error))
        return self.outcome(attempt, OutcomeKind.CONNECT_FAILED, ran, str(error))

    def outcome(
        self, attempt: Attempt, kind: OutcomeKind, ran: ExecutionStatus, detail: str = ""
    ) -> AttemptOutcome:
        """Return an outcome without an answer."""
        return AttemptOutcome(
            attempt=attempt.sub_query.attempt,
            replica=self.replica.name,
            shard=attempt.sub_query.shard,
            kind=kind,
            ran=ran,
            latency_s=time.monotonic() - attempt.started_at,
            detail=detail,
        )
