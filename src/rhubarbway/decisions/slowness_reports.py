"""Reports about slow servers that entry hosts exchange.

In a large fleet a single host sends so few requests to each server that it detects a slow one only
after most of these requests were delayed, whereas the hosts together detect it within a second. A
host reports its own observations and propagates the reports of other hosts. Reports expire soon, so
that a recovered server gets requests again.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable

from rhubarbway.decisions.server_state import RECOVERED_SLOWNESS, ServerState

# Slowness from which a server is reported to other hosts.
MIN_REPORTED_SLOWNESS = 2.5
# Lifetime of a report, seconds. A report reaches all hosts of a large fleet within 2 s.
REPORT_LIFETIME_S = 3.0
# Observations of this host that are younger than this take precedence over reports, seconds.
FIRST_HAND_PRECEDENCE_S = 1.0
# Reports in one message to another host, about 4 KB; the newest are sent. More servers than that
# are slow only in an overload, in which reports no longer tell servers apart.
MAX_SHARED_REPORTS = 128
# A host to which more than this fraction of the servers that it used recently seems slow is slow
# itself, and reports none.
MAX_SLOW_FRACTION = 0.67


class SlownessReport:
    """Slowness of a server that a host observed.

    Attributes
    ----------
    observed_at : float
        Instant of the newest observation, of ``time.monotonic()``.
    slow_since : float
        Instant since which the server has been known to be slow.
    """

    __slots__ = ("observed_at", "server", "slow_since", "slowness")

    def __init__(
        self, *, server: str, slowness: float, observed_at: float, slow_since: float | None = None
    ) -> None:
        self.server = server
        self.slowness = slowness
        self.observed_at = observed_at
        self.slow_since = observed_at if slow_since is None else slow_since


class SlownessReports:
    """The newest report about each server; the caller holds a lock.

    Examples
    --------
    >>> reports = SlownessReports()
    >>> reports.merge([SlownessReport(server="i-1", slowness=8.0, observed_at=5.0)], now=5.5)
    >>> [report.server for report in reports.unexpired(now=6.0)], reports.unexpired(now=9.0)
    (['i-1'], [])
    """

    __slots__ = ("reports",)

    def __init__(self) -> None:
        self.reports: dict[str, SlownessReport] = {}

    def merge(self, reports: Iterable[SlownessReport], *, now: float) -> None:
        """Merge reports of this host or of other hosts; expired and future ones are ignored."""
        for report in reports:
            if not now - REPORT_LIFETIME_S < report.observed_at <= now:
                continue
            known = self.reports.get(report.server)
            if known is None or known.observed_at <= now - REPORT_LIFETIME_S:
                self.reports[report.server] = report
                continue
            # Both are about the same slowness, since neither has expired.
            newest = report if report.observed_at > known.observed_at else known
            self.reports[report.server] = SlownessReport(
                server=report.server,
                slowness=newest.slowness,
                observed_at=newest.observed_at,
                slow_since=min(known.slow_since, report.slow_since),
            )

    def unexpired(self, *, now: float) -> list[SlownessReport]:
        """Return the reports that have not expired, and drop the others."""
        cutoff = now - REPORT_LIFETIME_S
        for server in [key for key, report in self.reports.items() if report.observed_at <= cutoff]:
            del self.reports[server]
        return list(self.reports.values())

    def to_share(self, *, now: float) -> list[SlownessReport]:
        """Return the reports for a message to another host."""
        return heapq.nlargest(
            MAX_SHARED_REPORTS, self.unexpired(now=now), key=lambda report: report.observed_at
        )


def first_hand_reports(states: Iterable[ServerState], *, now: float) -> list[SlownessReport]:
    """Return reports of the slow servers that a host has observed with its own requests."""
    recent = [
        state
        for state in states
        if state.is_first_hand and now - state.observed_at < FIRST_HAND_PRECEDENCE_S
    ]
    slow = [state for state in recent if state.slowness >= MIN_REPORTED_SLOWNESS]
    if len(slow) > MAX_SLOW_FRACTION * len(recent):
        return []
    return [
        SlownessReport(
            server=state.server.id,
            slowness=state.slowness,
            observed_at=state.observed_at,
            slow_since=state.slow_since,
        )
        for state in slow
    ]


def apply_report(state: ServerState, report: SlownessReport, *, now: float) -> bool:
    """Apply a report; return False if the state is newer or comes from a recent request."""
    if report.observed_at <= state.observed_at or (
        state.is_first_hand and now - state.observed_at < FIRST_HAND_PRECEDENCE_S
    ):
        return False
    is_known = state.current_slowness(now) >= RECOVERED_SLOWNESS
    state.slow_since = min(state.slow_since, report.slow_since) if is_known else report.slow_since
    state.slowness = report.slowness
    state.observed_at = report.observed_at
    state.is_first_hand = False
    return True
