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
TOLD_SLOWNESS = 2.5
# Reports count for this time, seconds. They reach all hosts of a large fleet within two.
REPORT_LIFE_S = 3.0
# What a host has seen itself in this time goes before reports, seconds.
OWN_FRESH_S = 1.0
# A host for which more than this share of its servers is slow is slow itself, and tells nothing.
LARGEST_SLOW_SHARE = 0.67


class ServerReport:
    """Slowness of a server as a host saw it; ``at`` is a ``time.monotonic()`` instant."""

    __slots__ = ("at", "server", "slowness")

    def __init__(self, *, server: str, slowness: float, at: float) -> None:
        self.server = server
        self.slowness = slowness
        self.at = at


class ServerNews:
    """The newest report about each server; the caller holds a lock.

    Examples
    --------
    >>> news = ServerNews()
    >>> news.merge([ServerReport(server="i-1", slowness=8.0, at=5.0)], now=5.5)
    >>> [report.server for report in news.recent(now=6.0)], news.recent(now=9.0)
    (['i-1'], [])
    """

    __slots__ = ("reports",)

    def __init__(self) -> None:
        self.reports: dict[str, ServerReport] = {}

    def merge(self, reports: Iterable[ServerReport], *, now: float) -> None:
        """Take in reports, own ones or those of other hosts."""
        for report in reports:
            known = self.reports.get(report.server)
            is_newer = known is None or report.at > known.at
            if is_newer and now - REPORT_LIFE_S < report.at <= now:
                self.reports[report.server] = report

    def recent(self, *, now: float) -> list[ServerReport]:
        """Return the reports that still count; forget the others."""
        oldest = now - REPORT_LIFE_S
        for server in [key for key, report in self.reports.items() if report.at <= oldest]:
            del self.reports[server]
        return list(self.reports.values())


def own_reports(states: Iterable[ServerState], *, now: float) -> list[ServerReport]:
    """Return what a host can tell of its servers from its own requests."""
    seen = [state for state in states if state.is_first_hand and now - state.heard_at < OWN_FRESH_S]
    slow = [state for state in seen if state.slowness >= TOLD_SLOWNESS]
    if len(slow) > LARGEST_SLOW_SHARE * len(seen):
        return []
    return [
        ServerReport(server=state.server.id, slowness=state.slowness, at=state.heard_at)
        for state in slow
    ]


def apply_report(state: ServerState, report: ServerReport, *, now: float) -> bool:
    """Let a state follow a report, unless the host knows better; return whether it does."""
    if report.at <= state.heard_at or (state.is_first_hand and now - state.heard_at < OWN_FRESH_S):
        return False
    state.slowness = report.slowness
    state.heard_at = report.at
    state.is_first_hand = False
    return True
