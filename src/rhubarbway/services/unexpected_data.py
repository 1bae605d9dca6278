"""Count and log of connections on which data arrived that answers no request."""

from __future__ import annotations

import time
from collections.abc import Callable

from rhubarbway.services.log import component_logger
from rhubarbway.services.metrics import MetricsService

# One line at most is logged in this time for each side, seconds. The metric counts all cases.
LOG_INTERVAL_S = 1.0

# ``report(side, peer)`` is called with the kind of connection and the address of the other end.
ReportUnexpectedData = Callable[[str, str], None]


def ignore_report(side: str, peer: str) -> None:
    """Do nothing: the service has no metrics."""


def unexpected_data_reporter(metrics: MetricsService) -> ReportUnexpectedData:
    """Return a function that counts and logs a connection with unexpected data."""
    log = component_logger("connections")
    # By side, when a line was last logged. Two tasks at once may both log one.
    logged_at: dict[str, float] = {}

    def report(side: str, peer: str) -> None:
        metrics.count_unexpected_data(side=side)
        now = time.monotonic()
        if now - logged_at.get(side, float("-inf")) >= LOG_INTERVAL_S:
            logged_at[side] = now
            log.warning("Connection with unexpected data closed.", side=side, peer=peer)

    return report
