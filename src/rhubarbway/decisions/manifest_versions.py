"""Order of manifest versions, and the version floor that a starting host has to confirm."""

from __future__ import annotations

from collections.abc import Collection

from rhubarbway.model import Manifest, VersionReport

NO_VERSION: tuple[int, str] = (0, "")
# Time for which a majority of all hosts must be reachable before starting hosts among them go
# ahead without a majority of confirmed ones. A version reaches all hosts within 2 s.
QUORUM_WAIT_S = 5.0
# A host that reported itself as starting may have confirmed its floor after this time.
STARTING_REPORT_LIFETIME_S = 3.0
# In a large fleet it takes longer until the same host is asked again.
REPORT_LIFETIME_S_PER_HOST = 0.02


def is_accepted(candidate: Manifest, held: Manifest | None) -> bool:
    """Whether a valid manifest replaces the highest one held.

    Versions are ordered by version number and digest. Taking the greater of two is associative,
    commutative and idempotent, so entry hosts that hear the same versions agree in any order.
    """
    return held is None or candidate.order > held.order


class VersionFloor:
    """The lowest version that a starting host may put into force, until it is confirmed.

    An entry host keeps nothing on disk, so after a restart it must learn which versions were in
    force before. The floor is the highest version heard of while starting.

    Parameters
    ----------
    name : str
        Published name of this entry host.

    Examples
    --------
    >>> floor = VersionFloor(name="a")
    >>> floor.record_report("b", VersionReport(order=(2, "d"), confirmed=True, heard_at=0.0))
    >>> floor.is_confirmed(held=(1, "c"), published=["a", "b"], now=0.1)
    False
    >>> floor.is_confirmed(held=(2, "d"), published=["a", "b"], now=0.2)
    True
    """

    __slots__ = ("quorum_since", "confirmed", "name", "order", "reports")

    def __init__(self, *, name: str) -> None:
        self.name = name
        self.order = NO_VERSION
        self.confirmed = False
        self.reports: dict[str, VersionReport] = {}
        self.quorum_since: float | None = None

    def record_report(self, name: str, report: VersionReport) -> None:
        """Take in what another host said; after confirmation nothing is recorded any more."""
        if self.confirmed or name == self.name:
            return
        self.reports[name] = report
        self.order = max(self.order, report.order)

    def is_confirmed(
        self, *, held: tuple[int, str], published: Collection[str], now: float
    ) -> bool:
        """Whether the held version may be in force; once true it stays true.

        It is confirmed by a majority of the other hosts that have a confirmed floor, or by all
        other hosts if some of them are starting. When so many hosts start at once that neither is
        possible, a majority of all hosts must be reachable for ``START_WAIT_S``, and of those that
        are not known to be starting a majority or none.

        Parameters
        ----------
        held : tuple of (int, str)
            Version and digest of the highest manifest held, ``NO_VERSION`` without one.
        published : collection of str
            Names of the entry hosts in that manifest.
        now : float
            ``time.monotonic()``, seconds.
        """
        if self.confirmed:
            return True
        others = set(published) - {self.name}
        reports = {name: report for name, report in self.reports.items() if name in others}
        confirmed = sum(report.confirmed for report in reports.values())
        lifetime = STARTING_REPORT_LIFETIME_S + REPORT_LIFETIME_S_PER_HOST * len(others)
        starting = sum(
            not report.confirmed and now - report.heard_at <= lifetime
            for report in reports.values()
        )
        has_confirmed_majority = 2 * confirmed > len(others) or (
            confirmed > 0 and confirmed + starting == len(others)
        )
        # Hosts that are starting too know of no version that this host has not heard from them.
        has_quorum = 2 * (confirmed + starting + 1) > len(others) + 1
        if not has_quorum or 0 < 2 * confirmed <= len(others) - starting:
            self.quorum_since = None
        elif self.quorum_since is None:
            self.quorum_since = now
        has_waited = self.quorum_since is not None and now - self.quorum_since >= QUORUM_WAIT_S
        is_at_floor = held != NO_VERSION and held >= self.order
        if is_at_floor and (not others or has_confirmed_majority or has_waited):
            self.confirmed = True
            self.reports.clear()
        return self.confirmed
