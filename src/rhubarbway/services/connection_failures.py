"""Reports of exceptions that end a connection or replace an answer, for the log and the metrics."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable

from rhubarbway.edge.http_server import FailureReport
from rhubarbway.services.log import component_logger

# Each kind of exception is logged at most once in this time, seconds. The metric counts all cases.
LOG_INTERVAL_S = 1.0


def failure_reporter(
    count: Callable[..., None], *, side: str, now: Callable[[], float] = time.monotonic
) -> FailureReport:
    """Return a function that counts and logs the failures of a server's connections.

    Parameters
    ----------
    count : callable
        Called with ``side`` and the kind of the exception, ``error``.
    side : str
        Who is at the other end: ``caller``, ``host``, ``load_balancer`` or ``monitoring``.
    now : callable
        Clock, seconds.
    """
    log = component_logger("connections")
    logged_at: dict[str, float] = {}
    lock = threading.Lock()

    def report(peer: str, error: Exception) -> None:
        kind = type(error).__name__
        count(side=side, error=kind)
        with lock:
            if now() - logged_at.get(kind, float("-inf")) < LOG_INTERVAL_S:
                return
            logged_at[kind] = now()
        log.error("Connection failed.", side=side, peer=peer, exc_info=error)

    return report
