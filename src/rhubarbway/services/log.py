"""Structured logs on standard output, with a fixed prefix for each component.

Logging never blocks on the reader of the output: lines go to a bounded queue that one task writes
out. Lines with a ``request_id`` are rate-limited.
"""

from __future__ import annotations

import logging
import sys
import threading
import time
from collections import deque
from concurrent.futures import ThreadPoolExecutor
from typing import Any, TextIO

import structlog

from rhubarbway.kernel import Kernel

LEVELS = {"debug": logging.DEBUG, "info": logging.INFO, "warning": logging.WARNING}
LEVELS |= {"error": logging.ERROR}


def add_component_prefix(logger: Any, method: str, event: dict[str, Any]) -> dict[str, Any]:
    """Prefix the event with the name of the component that logs it.

    Examples
    --------
    >>> add_component_prefix(None, "info", {"part": "frontend", "event": "Listening."})
    {'event': 'frontend: Listening.'}
    """
    component = event.pop("part", None)
    if component is not None:
        event["event"] = f"{component}: {event['event']}"
    return event


def component_logger(component: str) -> Any:
    """Return the logger of one component of the daemon.

    The logger reads the structlog configuration on its first line. ``bind`` would read it at once,
    before ``LogService`` has started and set it.
    """
    return structlog.get_logger(part=component)


# Lines that may wait for the reader of the output; lines beyond that are dropped and counted.
MAX_QUEUED_LINES = 4000
# Delay between two writes, seconds. Writing each line at once would wake the task for each.
WRITE_INTERVAL_S = 0.05
# Number of servers that one line names; a longer list takes several lines.
SERVERS_PER_LINE = 32
# Token bucket for lines with a ``request_id``: sustained rate and largest burst.
REQUEST_LINES_PER_S = 60.0
REQUEST_LINES_BURST = 300.0


class LineQueue:
    """Output stream for structlog that never blocks.

    Parameters
    ----------
    stream : TextIO
        Stream to which one task writes the lines.
    """

    # structlog keeps a weak reference to its output stream.
    __slots__ = ("__weakref__", "condition", "dropped", "lines", "stopping", "stream")

    def __init__(self, *, stream: TextIO) -> None:
        self.stream = stream
        self.lines: deque[str] = deque()
        self.condition = threading.Condition()
        self.dropped = 0
        self.stopping = False

    def write(self, line: str) -> None:
        """Queue a line; count it as dropped if the queue is full."""
        with self.condition:
            if len(self.lines) >= MAX_QUEUED_LINES:
                self.dropped += 1
                return
            self.lines.append(line)
            if len(self.lines) == 1:
                self.condition.notify()

    def flush(self) -> None:
        """Do nothing: the writing task flushes."""

    def run_writer(self) -> None:
        """Task: write the queued lines until the queue is stopped."""
        while True:
            with self.condition:
                self.condition.wait_for(lambda: self.lines or self.stopping)
                stopping = self.stopping
            if not stopping:
                time.sleep(WRITE_INTERVAL_S)
            self.write_pending()
            if stopping:
                return

    def write_pending(self) -> None:
        """Write the lines queued now, and the number of lines dropped since the last write."""
        with self.condition:
            lines, self.lines = list(self.lines), deque()
            dropped, self.dropped = self.dropped, 0
        if dropped:
            lines.append(f'{{"event": "log: Lines dropped.", "count": {dropped}}}\n')
        try:
            self.stream.write("".join(lines))
            self.stream.flush()
        except (OSError, ValueError):
            # The reader has closed the output, so this cannot be reported there.
            with self.condition:
                self.dropped += len(lines)

    def stop(self) -> None:
        """Let the task write the remaining lines and end."""
        with self.condition:
            self.stopping = True
            self.condition.notify()


class RequestLineLimiter:
    """Structlog processor that limits the rate of lines about single requests.

    It recognizes them by their ``request_id``. The next line let through after dropped ones has
    their number in ``suppressed_before``.

    Examples
    --------
    >>> limit = RequestLineLimiter(per_s=1.0, burst=1.0, clock=lambda: 5.0)
    >>> limit(None, "info", {"event": "Answered.", "request_id": "r1"})["event"]
    'Answered.'
    >>> limit(None, "info", {"event": "Answered.", "request_id": "r2"})
    Traceback (most recent call last):
    ...
    structlog.exceptions.DropEvent
    >>> limit(None, "info", {"event": "Started."})["event"]
    'Started.'
    """

    __slots__ = ("burst", "clock", "lock", "per_s", "suppressed", "tokens", "updated_at")

    def __init__(self, *, per_s: float, burst: float, clock=time.monotonic) -> None:
        self.per_s = per_s
        self.burst = burst
        self.clock = clock
        self.tokens = burst
        self.updated_at = clock()
        self.suppressed = 0
        self.lock = threading.Lock()

    def __call__(self, logger: Any, method: str, event: dict[str, Any]) -> dict[str, Any]:
        if "request_id" not in event:
            return event
        with self.lock:
            now = self.clock()
            gained = (now - self.updated_at) * self.per_s
            self.tokens = min(self.burst, self.tokens + gained)
            self.updated_at = now
            if self.tokens < 1.0:
                self.suppressed += 1
                raise structlog.DropEvent
            self.tokens -= 1.0
            suppressed, self.suppressed = self.suppressed, 0
        if suppressed:
            event["suppressed_before"] = suppressed
        return event


class LogService:
    """Configures structlog once for the process; lines are JSON on standard output."""

    __slots__ = ("executor", "level", "queue")

    def __init__(self, *, level: str) -> None:
        self.level = level
        self.queue = LineQueue(stream=sys.stdout)
        self.executor = ThreadPoolExecutor(1, thread_name_prefix="log")

    def start(self, kernel: Kernel) -> None:
        """Configure structlog and start the task that writes."""
        self.executor.submit(self.queue.run_writer)
        structlog.configure(
            processors=[
                structlog.processors.add_log_level,
                RequestLineLimiter(per_s=REQUEST_LINES_PER_S, burst=REQUEST_LINES_BURST),
                structlog.processors.TimeStamper(fmt="iso", utc=True),
                structlog.processors.format_exc_info,
                add_component_prefix,
                structlog.processors.JSONRenderer(),
            ],
            wrapper_class=structlog.make_filtering_bound_logger(LEVELS[self.level]),
            logger_factory=structlog.WriteLoggerFactory(self.queue),
            cache_logger_on_first_use=True,
        )

    def stop(self) -> None:
        """Write the remaining lines and end the task."""
        self.queue.stop()
        self.executor.shutdown(wait=True)
