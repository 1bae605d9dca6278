"""Merging of records: the reply body of a shard is a sequence of records of a fixed size."""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Iterator

RECORD_BYTES = 16
# A list of records has four times the size of their bodies, but is faster than an iterator.
MAX_LISTED_BYTES = 256 * 1024


def split_records(body: bytes) -> Iterator[bytes]:
    """Yield the records of a body; an incomplete record at the end is ignored."""
    for start in range(0, len(body) - RECORD_BYTES + 1, RECORD_BYTES):
        yield body[start : start + RECORD_BYTES]


def greatest_records(bodies: Iterable[bytes], limit: int) -> bytes:
    """Return the ``limit`` greatest records of all bodies in descending byte order.

    Examples
    --------
    >>> greatest_records([b"a" * 16 + b"c" * 16, b"b" * 16 + b"rest"], 2) == b"c" * 16 + b"b" * 16
    True
    """
    parts = list(bodies)
    records: Iterable[bytes] = (record for body in parts for record in split_records(body))
    if sum(map(len, parts)) <= MAX_LISTED_BYTES:
        records = list(records)
    return b"".join(heapq.nlargest(limit, records))
