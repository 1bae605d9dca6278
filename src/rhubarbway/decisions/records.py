"""Merging of records: the reply body of a shard is a sequence of records of a fixed size."""

from __future__ import annotations

import heapq
import struct
from collections.abc import Iterable, Iterator

RECORD_BYTES = 16
# A list of records has four times the size of their bodies.
MAX_LISTED_BYTES = 256 * 1024
PIECE_RECORDS = 1024


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
    if sum(map(len, parts)) > MAX_LISTED_BYTES:
        return b"".join(greatest_of_long(parts, limit))
    records = [record for body in parts for record in split_records(body)]
    return b"".join(heapq.nlargest(limit, records))


def greatest_of_long(bodies: Iterable[bytes], limit: int) -> list[bytes]:
    """Return the same as ``greatest_records`` as a list, a piece of a body at a time.

    Pieces whose greatest record is not greater than those found are skipped, so that most of the
    time is spent outside the interpreter.
    """
    greatest: list[bytes] = []
    for body in bodies:
        count = len(body) // RECORD_BYTES
        for first in range(0, count, PIECE_RECORDS):
            size = min(PIECE_RECORDS, count - first)
            records = struct.unpack_from(f"{RECORD_BYTES}s" * size, body, first * RECORD_BYTES)
            if len(greatest) < limit or max(records) > greatest[-1]:
                greatest = sorted([*greatest, *records], reverse=True)[:limit]
    return greatest
