"""The byte budget of a host, shared by the tasks of its connections."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from functools import partial

from rhubarbway.decisions.byte_budget import ByteAccount, ByteBudget
from rhubarbway.decisions.slow_readers import choose_closed, next_closable_at, reads_too_slowly
from rhubarbway.edge.connection_state import ConnectionRules
from rhubarbway.edge.http_server import HttpServer
from rhubarbway.kernel import Kernel
from rhubarbway.model import ConnectionPhase
from rhubarbway.services.log import component_logger
from rhubarbway.services.metrics import MetricsService
from rhubarbway.services.names import METRICS

# Closed connections are logged at most once in this time, seconds. The metric counts all.
LOG_INTERVAL_S = 1.0

# Requests that may wait for bytes at a time, and for how long, seconds. A reply that waits keeps
# its server connection from other requests, and in a large fleet a host has one to each server.
MAX_WAITING = 2
MAX_WAIT_S = 0.25

# ``relieve()`` closes one connection that holds bytes, and returns the instant at which the next
# one may be closed; infinity if none may.
Relief = Callable[[], float]


class CallerMemory:
    """Grants bytes to requests, and has slow connections closed while others wait for bytes.

    Attributes
    ----------
    reliefs : list of callable
        Functions of the servers that close slow connections.
    on_refused : callable
        Called with the kind of bytes that were refused, ``body`` or ``reply``.
    """

    __slots__ = ("budget", "changed", "on_refused", "reliefs", "waiting")

    def __init__(self, *, limit: int) -> None:
        self.budget = ByteBudget(limit=limit)
        self.changed = threading.Condition()
        self.reliefs: list[Relief] = []
        self.waiting = 0
        self.on_refused: Callable[[str], None] = lambda kind: None

    def open_account(self) -> RequestAccount:
        """Return the account of a new request."""
        return RequestAccount(memory=self)

    def acquire(
        self,
        try_charge: Callable[[ByteAccount, int], bool],
        account: ByteAccount,
        count: int,
        *,
        deadline: float,
    ) -> bool:
        """Charge bytes, and wait for them for a short time; return whether they were charged."""
        deadline = min(deadline, time.monotonic() + MAX_WAIT_S)
        with self.changed:
            if try_charge(account, count):
                return True
            if self.waiting >= MAX_WAITING or not self.budget.fits_alone(account, count):
                return False
            self.waiting += 1
        try:
            while not account.closed:
                relief_at = min((relieve() for relieve in self.reliefs), default=float("inf"))
                with self.changed:
                    if try_charge(account, count):
                        return True
                    wait_s = min(deadline, relief_at) - time.monotonic()
                    if deadline <= time.monotonic():
                        return False
                    self.changed.wait(max(0.001, wait_s))
            return False
        finally:
            with self.changed:
                self.waiting -= 1

    def release(self, change: Callable[[], None]) -> None:
        """Apply a change that may free bytes, and wake the requests that wait for some."""
        with self.changed:
            change()
            if self.waiting:
                self.changed.notify_all()


class RequestAccount:
    """The bytes of one request against the budget of its host."""

    __slots__ = ("account", "memory")

    def __init__(self, *, memory: CallerMemory) -> None:
        self.memory = memory
        self.account = ByteAccount()

    def hold(self, count: int, *, deadline: float) -> bool:
        """Reserve bytes of a body, waiting for a short time; return whether they are free."""
        budget = self.memory.budget
        granted = self.memory.acquire(budget.try_hold, self.account, count, deadline=deadline)
        if not granted:
            self.memory.on_refused("body")
        return granted

    def read(self, count: int, *, deadline: float) -> bool:
        """Reserve bytes of a reply that is to be read, waiting for a short time."""
        budget = self.memory.budget
        granted = self.memory.acquire(budget.try_read, self.account, count, deadline=deadline)
        if not granted and not self.account.closed:
            self.memory.on_refused("reply")
        return granted

    def end_read(self, reserved: int, *, kept: int) -> None:
        """Replace what was reserved for a reply by what is kept of it."""
        budget = self.memory.budget
        self.memory.release(lambda: budget.end_read(self.account, reserved, kept=kept))

    def settle(self, count: int) -> None:
        """Set what the request holds, once its answer has replaced all else."""
        if count != self.account.held:
            self.memory.release(lambda: self.memory.budget.settle(self.account, count))

    def close(self) -> None:
        """Free all that the request holds."""
        self.memory.release(lambda: self.memory.budget.close(self.account))


class CallerMemoryService:
    """Owns the byte budget of the host, and the rules by which servers close connections.

    Parameters
    ----------
    limit : int
        Bytes that may be held for requests.
    """

    __slots__ = ("lock", "log", "logged_at", "memory", "metrics", "unlogged")

    def __init__(self, *, limit: int) -> None:
        self.memory = CallerMemory(limit=limit)
        self.log = component_logger("caller_memory")
        self.lock = threading.Lock()
        self.logged_at = float("-inf")
        self.unlogged = 0
        self.metrics: MetricsService

    def start(self, kernel: Kernel) -> None:
        """Find the metrics."""
        self.metrics = kernel.find(METRICS)
        self.memory.on_refused = self.metrics.count_refused_bytes
        self.log.info("Byte budget set.", bytes=self.memory.budget.limit)

    def stop(self) -> None:
        """Do nothing: the bytes are freed by the tasks that hold them."""

    def watch(self, server: HttpServer) -> None:
        """Close slow connections of a server, too, when requests wait for bytes."""
        self.memory.reliefs.append(server.relieve)

    def rules(self, *, side: str, kept_idle_s: float = 0.0) -> ConnectionRules:
        """Return the rules for a server whose peers are called ``side`` in log and metrics.

        Its connections keep their places for ``kept_idle_s`` seconds after an answer.
        """
        return ConnectionRules(
            choose_closed=partial(choose_closed, kept_idle_s=kept_idle_s),
            next_closable_at=partial(next_closable_at, kept_idle_s=kept_idle_s),
            open_account=self.memory.open_account,
            reads_too_slowly=reads_too_slowly,
            report=partial(self.report_closed, side),
        )

    def report_closed(self, side: str, peer: str, phase: ConnectionPhase, reason: str) -> None:
        """Count a connection that was closed, and log one a second with the number of others."""
        self.metrics.count_closed_connection(side=side, phase=phase.value, reason=reason)
        now = time.monotonic()
        with self.lock:
            if now - self.logged_at < LOG_INTERVAL_S:
                self.unlogged += 1
                return
            self.logged_at = now
            others, self.unlogged = self.unlogged, 0
        self.log.warning(
            "Connection closed by a bound on callers.",
            side=side,
            peer=peer,
            phase=phase.value,
            reason=reason,
            others_since=others,
            used_bytes=self.memory.budget.used,
        )
