"""Rendezvous hashing: a ranking of hosts for a key.

Hosts that know the same host names compute the same ranking.

References
----------
Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", 1998.
"""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

from rhubarbway.model import EntryHost


def rendezvous_hash(name: str, *, key: str) -> int:
    """Return the rendezvous hash (64 bit) of a host for a key; the highest one ranks first.

    Hosts rank independently for different keys.

    Examples
    --------
    >>> rendezvous_hash("e1", key="a") == rendezvous_hash("e1", key="b")
    False
    """
    return xxhash.xxh3_64_intdigest(f"{key}/{name}".encode())


def ranked_hosts(hosts: Iterable[EntryHost], *, key: str) -> list[EntryHost]:
    """Return hosts, highest rank first; removing one leaves the order of the others unchanged.

    Examples
    --------
    >>> hosts = [EntryHost(name=name, address="", zone="z") for name in "abcd"]
    >>> ranked = ranked_hosts(hosts, key="reader")
    >>> ranked[1:] == ranked_hosts(ranked[1:], key="reader")
    True
    """
    return sorted(
        hosts,
        key=lambda host: (rendezvous_hash(host.name, key=key), host.name),
        reverse=True,
    )


def spread_over_zones(ranked: Iterable[EntryHost], count: int) -> list[EntryHost]:
    """Return up to ``count`` hosts: the first of each zone in the given order, then the others.

    Examples
    --------
    >>> hosts = [EntryHost(name=f"e{n}", address="", zone=zone) for n, zone in enumerate("aab")]
    >>> [host.name for host in spread_over_zones(hosts, 2)]
    ['e0', 'e2']
    """
    zones: set[str] = set()
    first: list[EntryHost] = []
    rest: list[EntryHost] = []
    for host in ranked:
        (rest if host.zone in zones else first).append(host)
        zones.add(host.zone)
    return (first + rest)[:count]
