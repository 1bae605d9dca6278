"""Selection of the neighbours of an entry host, with which it starts gossip exchanges.

The number of neighbours is bounded. Other hosts may start exchanges with this host, too.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Collection
from functools import lru_cache

import xxhash

# Up to this number of hosts, all hosts are neighbours of each other.
MAX_FULL_MESH_HOSTS = 13
# Neighbours that a host of a larger fleet chooses next to it on the hash ring, and at pseudorandom
# positions of the ring.
RING_SUCCESSORS = 2
LONG_RANGE_LINKS = 2


@lru_cache(maxsize=16_384)
def ring_position(name: str) -> int:
    """Return the position of a host on the hash ring, 64 bit."""
    return xxhash.xxh3_64_intdigest(name.encode())


def select_neighbours(name: str, published: Collection[str]) -> list[str]:
    """Return the hosts with which a host starts exchanges.

    In larger fleets these are the next hosts on a hash ring of names, which keep the graph
    connected, and hosts at pseudorandom positions, which keep the number of hops logarithmic.

    Examples
    --------
    >>> select_neighbours("b", ["a", "b", "c"])
    ['a', 'c']
    >>> names = [f"e{number}" for number in range(100)]
    >>> len(select_neighbours("e7", names))
    4
    """
    others = sorted(set(published) - {name})
    if len(others) < MAX_FULL_MESH_HOSTS:
        return others
    ring = sorted(others, key=lambda other: (ring_position(other), other))
    positions = [ring_position(other) for other in ring]
    chosen = successors(ring, positions, ring_position(name), RING_SUCCESSORS, ())
    for link in range(LONG_RANGE_LINKS):
        position = ring_position(f"{name}/{link}")
        chosen += successors(ring, positions, position, 1, chosen)
    return chosen


def successors(
    ring: list[str], positions: list[int], start: int, count: int, excluded: Collection[str]
) -> list[str]:
    """Return the first ``count`` hosts at or after a ring position, without the excluded ones.

    The search wraps around at the end of the ring. ``positions`` are those of the hosts in
    ``ring``.
    """
    first = bisect_left(positions, start)
    found: list[str] = []
    for offset in range(len(ring)):
        name = ring[(first + offset) % len(ring)]
        if name not in excluded:
            found.append(name)
        if len(found) == count:
            break
    return found
