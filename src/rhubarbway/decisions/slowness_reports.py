"""What entry hosts tell each other about slow servers.

In a large fleet one host sends so little to each server that it would learn of a slow one only
after most of its requests have met it. All hosts together learn it within a second. A host tells
what it has seen itself, and passes on what it was told; reports expire soon, so that a server which
has recovered gets work again.
"""

from __future__ import annotations

from collections.abc import Iterable

from rhubarbway.decisions.server_state import ServerState

# Slowness from which other hosts are told of a server.
MIN_REPORTED_SLOWNESS = 2.5
# Reports count for this time, seconds. They reach all hosts of a large fleet within two.
REPORT_LIFETIME_S = 3.0
# What a host has seen itself in this time goes before reports, seconds.
FIRST_HAND_LIFETIME_S = 1.0
# A host for which more than this share of its servers is slow is slow itself, and tells nothing.
MAX_SLOW_FRACTION = 0.67


class SlownessReport:
    """Slowness of a server as a host saw it; ``at`` is a ``time.monotonic()`` instant."""

    __slots__ = ("observed_at", "server", "slowness")

    def __init__(self, *, server: str, slowness: float, observed_at: float) -> None:
        self.server = server
        self.slowness = slowness
        self.observed_at = observed_at


class SlownessReports:
    """The newest report about each server; the caller holds a lock.

    Examples
    --------
    >>> news = SlownessReports()
    >>> news.merge([SlownessReport(server="i-1", slowness=8.0, observed_at=5.0)], now=5.5)
    >>> [report.server for report in news.unexpired(now=6.0)], news.unexpired(now=9.0)
    (['i-1'], [])
    """

    __slots__ = ("reports",)

    def __init__(self) -> None:
        self.reports: dict[str, SlownessReport] = {}

    def merge(self, reports: Iterable[SlownessReport], *, now: float) -> None:
        """Take in reports, own ones or those of other hosts."""
        for report in reports:
            known = self.reports.get(report.server)
            is_newer = known is None or report.observed_at > known.observed_at
            if is_newer and now - REPORT_LIFETIME_S < report.observed_at <= now:
                self.reports[report.server] = report

    def unexpired(self, *, now: float) -> list[SlownessReport]:
        """Return the reports that still count; forget the others."""
        cutoff = now - REPORT_LIFETIME_S
        for server in [key for key, report in self.reports.items() if report.observed_at <= cutoff]:
            del self.reports[server]
        return list(self.reports.values())


def first_hand_reports(states: Iterable[ServerState], *, now: float) -> list[SlownessReport]:
    """Return what a host can tell of its servers from its own requests."""
    recent = [
        state
        for state in states
        if state.is_first_hand and now - state.observed_at < FIRST_HAND_LIFETIME_S
    ]
    slow = [state for state in recent if state.slowness >= MIN_REPORTED_SLOWNESS]
    if len(slow) > MAX_SLOW_FRACTION * len(recent):
        return []
    return [
        SlownessReport(
            server=state.server.id, slowness=state.slowness, observed_at=state.observed_at
        )
        for state in slow
    ]


def apply_report(state: ServerState, report: SlownessReport, *, now: float) -> bool:
    """Let a state follow a report, unless the host knows better; return whether it does."""
    if report.observed_at <= state.observed_at or (
        state.is_first_hand and now - state.observed_at < FIRST_HAND_LIFETIME_S
    ):
        return False
    state.slowness = report.slowness
    state.observed_at = report.observed_at
    state.is_first_hand = False
    return True
