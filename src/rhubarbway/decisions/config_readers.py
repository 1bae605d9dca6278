"""Selection of the entry hosts that read the platform's services on behalf of all."""

from __future__ import annotations

from collections.abc import Collection, Iterable

from rhubarbway.decisions.rendezvous import ranked_hosts, spread_over_zones
from rhubarbway.model import EntryHost

READER_COUNT = 3


def select_readers(
    hosts: Iterable[EntryHost], *, blind: Collection[str] = (), count: int = READER_COUNT
) -> list[str]:
    """Return the names of the readers, highest rank first.

    Parameters
    ----------
    hosts : iterable of EntryHost
        Live hosts.
    blind : collection of str
        Hosts that cannot reach the configuration service. They keep their rank, so that they try
        again, and each reader among them gets one substitute. An outage of the service therefore
        adds at most ``count`` hosts that try to read.
    count : int
        Number of readers if all of them reach the service.

    Examples
    --------
    >>> hosts = [EntryHost(name=f"e{n}", address="", zone=f"z{n % 2}") for n in range(4)]
    >>> names = select_readers(hosts)
    >>> len(names), len(select_readers(hosts, blind=names[:1]))
    (3, 4)
    """
    ranked = ranked_hosts(hosts, key="config-reader")
    chosen = spread_over_zones(ranked, count)
    names = [host.name for host in chosen]
    missing = sum(name in blind for name in names)
    substitutes = [host for host in ranked if host.name not in names and host.name not in blind]
    return names + [host.name for host in spread_over_zones(substitutes, missing)]
