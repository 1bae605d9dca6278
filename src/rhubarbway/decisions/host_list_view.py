"""View of the host list, merged from the reports of several readers that may lag."""

from __future__ import annotations

from collections.abc import Iterable

from rhubarbway.model import ListedHost

LIVE = "live"
LEAVING = "leaving"
GONE = "gone"


class HostListView:
    """Newest known state of each listed host.

    The list has no version, and a reader may get an outdated copy of it. A reader therefore reports
    only the changes between its own reads, and of two reports about a host the later one wins.

    Examples
    --------
    >>> view = HostListView()
    >>> host = ListedHost(name="r1", address="127.0.0.1:1", zone="a", state="live")
    >>> [change.state for change in view.apply_read([host], observed_ms=5)]
    ['live']
    >>> [change.state for change in view.apply_read([], observed_ms=6)]
    ['gone']
    """

    __slots__ = ("hosts", "last_read")

    def __init__(self) -> None:
        self.hosts: dict[str, ListedHost] = {}
        # States by name in the previous read of this host; None before its first read.
        self.last_read: dict[str, str] | None = None

    def apply_read(self, listed: Iterable[ListedHost], *, observed_ms: int) -> list[ListedHost]:
        """Apply a whole read of the list and return the changes to propagate."""
        present = {host.name: host for host in listed}
        previous = self.last_read
        changes = []
        for host in present.values():
            if previous is None:
                # The first read may be outdated, so it does not return a leaving or gone host to
                # an earlier state.
                known = self.hosts.get(host.name)
                changed = known is None or (known.state == LIVE and host.state == LEAVING)
            else:
                changed = previous.get(host.name) != host.state
            if changed:
                changes.append(host)
        for name in (previous or {}).keys() - present.keys():
            known = self.hosts.get(name)
            if known is not None and known.state != GONE:
                changes.append(
                    ListedHost(
                        name=name,
                        address=known.address,
                        zone=known.zone,
                        state=GONE,
                        role=known.role,
                    )
                )
        for host in changes:
            host.observed_ms = observed_ms
        self.last_read = {host.name: host.state for host in present.values()}
        return [host for host in changes if self.merge(host)]

    def merge(self, host: ListedHost) -> bool:
        """Merge one report; return whether it is newer than the known state.

        Of two reports with the same time, the order of the states decides, so that all views agree.
        """
        known = self.hosts.get(host.name)
        if known is not None and (known.observed_ms, known.state) >= (host.observed_ms, host.state):
            return False
        self.hosts[host.name] = host
        return True

    def leaving(self) -> set[str]:
        """Return the names of the hosts listed as leaving."""
        return {name for name, host in self.hosts.items() if host.state == LEAVING}

    def entry_hosts(self) -> list[ListedHost]:
        """Return the listed entry hosts that are not gone."""
        return [host for host in self.hosts.values() if host.role == "entry" and host.state != GONE]
