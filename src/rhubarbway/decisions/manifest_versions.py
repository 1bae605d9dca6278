"""Order of manifest versions, and the version floor that a starting host has to confirm."""

from __future__ import annotations

from collections.abc import Collection

from rhubarbway.model import Manifest, VersionReport

NO_VERSION: tuple[int, str] = (0, "")
# Time for which the conditions of rule 4 of ``VersionFloor.try_confirm`` must hold, seconds. A
# version reaches all hosts within 2 s.
QUORUM_WAIT_S = 5.0
# Lifetime of a report from a starting host, seconds; later the host may have confirmed its floor.
# Reports from confirmed hosts do not expire.
STARTING_REPORT_LIFETIME_S = 3.0
# Extension of that lifetime for each other host, seconds: in a large fleet, each host is asked less
# often.
REPORT_LIFETIME_S_PER_HOST = 0.02


def is_accepted(candidate: Manifest, held: Manifest | None) -> bool:
    """Whether a valid manifest replaces the one held.

    Versions are ordered by version number and digest. Taking the higher of two is associative,
    commutative and idempotent, so entry hosts that receive the same versions in any order agree.
    """
    return held is None or candidate.version_key > held.version_key


class VersionFloor:
    """The lowest version that a starting host may put into force.

    An entry host keeps nothing on disk, so after a restart it must learn from other hosts which
    versions were in force before. The floor is the highest version that other hosts have reported;
    once the floor is confirmed, it no longer changes.

    Parameters
    ----------
    name : str
        Published name of this entry host.

    Examples
    --------
    >>> floor = VersionFloor(name="a")
    >>> report = VersionReport(version_key=(2, "d"), confirmed=True, received_at=0.0)
    >>> floor.record_report("b", report)
    >>> floor.try_confirm(held=(1, "c"), published=["a", "b"], now=0.1)
    False
    >>> floor.try_confirm(held=(2, "d"), published=["a", "b"], now=0.2)
    True
    """

    __slots__ = ("confirmed", "name", "quorum_since", "reports", "version_key")

    def __init__(self, *, name: str) -> None:
        self.name = name
        self.version_key = NO_VERSION
        self.confirmed = False
        self.reports: dict[str, VersionReport] = {}
        self.quorum_since: float | None = None

    def record_report(self, name: str, report: VersionReport) -> None:
        """Record the report of another host; reports after the confirmation are ignored.

        The report of a host that is not published raises the floor, too, but ``try_confirm`` does
        not count that host.
        """
        if self.confirmed or name == self.name:
            return
        self.reports[name] = report
        self.version_key = max(self.version_key, report.version_key)

    def try_confirm(self, *, held: tuple[int, str], published: Collection[str], now: float) -> bool:
        """Confirm the floor if possible; return whether the held version may be in force.

        Once confirmed, the floor stays confirmed. A version must be held that is not below the
        floor, and one of these rules must hold for the published hosts:

        1. There are no other hosts.
        2. A majority of the other hosts have confirmed their floors.
        3. All other hosts have an unexpired report, and at least one of them has confirmed its
           floor.
        4. For ``QUORUM_WAIT_S``, each call has found that (a) this host and the others with an
           unexpired report are a majority of all hosts, and (b) of the other hosts that are not
           known to be starting, either none or a majority have confirmed their floors. This covers
           the start of so many hosts at once that rules 2 and 3 cannot hold.

        Parameters
        ----------
        held : tuple of (int, str)
            Version and digest of the manifest held, ``NO_VERSION`` without one.
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
            not report.confirmed and now - report.received_at <= lifetime
            for report in reports.values()
        )
        has_enough_confirmed = 2 * confirmed > len(others) or (
            confirmed > 0 and confirmed + starting == len(others)
        )
        # Other starting hosts count, since each reports the highest version that it knows.
        has_quorum = 2 * (confirmed + starting + 1) > len(others) + 1
        if not has_quorum or 0 < 2 * confirmed <= len(others) - starting:
            self.quorum_since = None
        elif self.quorum_since is None:
            self.quorum_since = now
        has_waited = self.quorum_since is not None and now - self.quorum_since >= QUORUM_WAIT_S
        is_at_floor = held != NO_VERSION and held >= self.version_key
        if is_at_floor and (not others or has_enough_confirmed or has_waited):
            self.confirmed = True
            self.reports.clear()
        return self.confirmed
