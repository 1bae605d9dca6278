"""The tasks of all connections to servers, whose number is limited."""

from __future__ import annotations

import threading
from collections import deque
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING

from rhubarbway.edge.sent_bytes import ReportMismatch, ignore_mismatch
from rhubarbway.services.log import component_logger
from rhubarbway.services.unexpected_data import ReportUnexpectedData, ignore_report

if TYPE_CHECKING:
    from rhubarbway.services.server_attempt import ServerAttempt
    from rhubarbway.services.server_pool import ServerConnection, ServerPool

# Bounds of the number of connection tasks of a host, and the number of tasks of a whole fleet that
# the hosts share. The hosts of a fleet share its requests, so a host of a large fleet needs fewer
# connections at a time. The lower bound lets one query go to 63 shards at once, with hedges.
MIN_CONNECTION_TASKS = 80
MAX_CONNECTION_TASKS = 1024
FLEET_CONNECTION_TASKS = 8192
# Connection tasks that a host may have for each core whatever the size of the fleet. Two cores then
# keep a connection to each of 3 servers of 105 shards.
CONNECTION_TASKS_PER_CORE = 160


def connection_task_limit(host_count: int, *, cores: float = 0.0) -> int:
    """Return the number of connections, and so of threads, that a host may have to all servers.

    Parameters
    ----------
    host_count : int
        Number of hosts in the fleet.
    cores : float
        Processor of the host in whole cores. A host with more of it runs fan-outs of other hosts.

    Examples
    --------
    >>> [connection_task_limit(count) for count in (1, 9, 65, 195)]
    [1024, 910, 126, 80]
    >>> connection_task_limit(195, cores=2.15)
    344
    """
    share = FLEET_CONNECTION_TASKS // max(1, host_count)
    least = max(MIN_CONNECTION_TASKS, int(CONNECTION_TASKS_PER_CORE * cores))
    return min(max(share, least), MAX_CONNECTION_TASKS)


class ConnectionTasks:
    """Starts the tasks of connections, and ends idle connections where the limit requires it.

    A connection that is needed beyond the limit takes the place of the one that has been idle for
    longest, whatever server that belongs to; without an idle one it waits for the next.

    Attributes
    ----------
    limit : int
        Greatest number of connections at a time.
    running : int
        Number of connection tasks, with those of idle connections.
    idle : dict of ServerConnection to ServerPool
        The idle connections, the one used longest ago first.
    waiting : deque of tuple
        Pool and first attempt of the connections that wait for a task.
    report_mismatch : callable
        Called for a connection that carries more bytes than its task has sent.
    report_unexpected_data : callable
        Called with the side of the pool and the address of a connection that held data which
        answers no request.
    """

    __slots__ = (
        "executor",
        "idle",
        "limit",
        "lock",
        "log",
        "report_mismatch",
        "report_unexpected_data",
        "running",
        "waiting",
    )

    def __init__(self, *, limit: int) -> None:
        self.limit = limit
        self.report_mismatch: ReportMismatch = ignore_mismatch
        self.report_unexpected_data: ReportUnexpectedData = ignore_report
        self.running = 0
        self.idle: dict[ServerConnection, ServerPool] = {}
        self.waiting: deque[tuple[ServerPool, ServerAttempt | None]] = deque()
        self.lock = threading.Lock()
        self.executor = ThreadPoolExecutor(MAX_CONNECTION_TASKS, thread_name_prefix="server")
        self.log = component_logger("servers")

    def stop(self) -> None:
        """Start no further tasks; those that run end when their pools are closed."""
        with self.lock:
            self.waiting.clear()
        self.executor.shutdown(wait=False, cancel_futures=True)

    def set_limit(self, limit: int) -> None:
        """Change the limit; connections beyond a lower one end when they become idle."""
        with self.lock:
            self.limit = limit
            excess = max(0, self.running - limit)
            evicted = list(self.idle.items())[:excess]
            for connection, _ in evicted:
                del self.idle[connection]
        for connection, pool in evicted:
            pool.end_idle_connection(connection)

    def try_start(self, pool: ServerPool) -> bool:
        """Start the task of a connection that no attempt needs yet, unless the limit is reached."""
        with self.lock:
            if self.running >= self.limit:
                return False
            self.running += 1
        self.executor.submit(self.run, pool, None)
        return True

    def start(self, pool: ServerPool, attempt: ServerAttempt) -> None:
        """Start the task of a connection for an attempt, as soon as the limit allows it."""
        evicted: tuple[ServerConnection, ServerPool] | None = None
        with self.lock:
            may_start = self.running < self.limit
            if may_start:
                self.running += 1
            else:
                self.waiting.append((pool, attempt))
                if self.idle:
                    oldest = next(iter(self.idle))
                    evicted = oldest, self.idle.pop(oldest)
        if may_start:
            self.executor.submit(self.run, pool, attempt)
        if evicted is not None:
            connection, owner = evicted
            owner.end_idle_connection(connection)

    def take_waiting(self, pool: ServerPool) -> list[ServerAttempt]:
        """Remove and return the first attempts of a pool's connections that wait for a task."""
        with self.lock:
            taken = [attempt for owner, attempt in self.waiting if owner is pool and attempt]
            self.waiting = deque(entry for entry in self.waiting if entry[0] is not pool)
        return taken

    def run(self, pool: ServerPool, attempt: ServerAttempt | None) -> None:
        """Task: serve a connection to its end, and then the ones that wait for a task."""
        while True:
            try:
                pool.serve_connection(attempt)
            except Exception:
                self.log.exception("Internal error in a connection task.", server=pool.server.id)
            with self.lock:
                if not self.waiting or self.running > self.limit:
                    self.running -= 1
                    return
                pool, attempt = self.waiting.popleft()

    def try_keep_idle(self, connection: ServerConnection, pool: ServerPool) -> bool:
        """Note an idle connection; return False if its task is needed for another one."""
        with self.lock:
            if self.waiting or self.running > self.limit:
                return False
            self.idle[connection] = pool
            return True

    def mark_busy(self, connection: ServerConnection) -> None:
        """Note that an idle connection got an attempt or ends."""
        with self.lock:
            self.idle.pop(connection, None)
