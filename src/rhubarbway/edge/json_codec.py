"""JSON encoding, decoding with a limit on the nesting depth, and digests of encoded values."""

from __future__ import annotations

import re
from typing import Any

import msgspec
import xxhash

MAX_NESTING_DEPTH = 32


class JsonError(ValueError):
    """Raised when bytes are not valid JSON in UTF-8, or are nested too deeply."""


JSON_STRING = re.compile(rb'"(?:[^"\\]|\\.)*"', re.DOTALL)
BRACES_TO_BRACKETS = bytes.maketrans(b"{}", b"[]")
NON_BRACKETS = bytes(set(range(256)) - set(b"[]{}"))


def nesting_depth(data: bytes, limit: int = MAX_NESTING_DEPTH) -> int:
    """Return the nesting depth of JSON text, or ``limit + 1`` if the text is nested more deeply.

    Text whose brackets do not match, such as truncated JSON, also gives ``limit + 1``.

    Each iteration removes the innermost level with one replacement, which takes less than a
    millisecond per megabyte. A character loop would hold the interpreter lock much longer.

    Examples
    --------
    >>> nesting_depth(b'{"a": [1, "[[["]}')
    2
    """
    brackets = JSON_STRING.sub(b"", data).translate(BRACES_TO_BRACKETS, NON_BRACKETS)
    depth = 0
    while brackets and depth <= limit:
        brackets = brackets.replace(b"[]", b"")
        depth += 1
    return depth


def decode_json(data: bytes) -> Any:
    """Return the value that a JSON text encodes.

    Raises
    ------
    JsonError
        If the text is not UTF-8, not JSON, or nested too deeply. Truncated JSON with more than
        ``MAX_NESTING_DEPTH`` opening brackets is reported as nested too deeply.
    """
    # The number of opening brackets is an upper bound of the depth and is much faster to compute.
    brackets = data.count(b"{") + data.count(b"[")
    if brackets > MAX_NESTING_DEPTH and nesting_depth(data) > MAX_NESTING_DEPTH:
        raise JsonError(f"nested deeper than {MAX_NESTING_DEPTH} levels")
    try:
        return msgspec.json.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise JsonError(str(error)) from None


def encode_json(value: Any) -> bytes:
    """Return the JSON text of a value."""
    return msgspec.json.encode(value)


def canonical_json(value: Any) -> bytes:
    """Return the JSON text of a value with sorted keys.

    Values that differ only in the order of keys have the same text.
    """
    return msgspec.json.encode(value, order="sorted")


def hex_digest(data: bytes) -> str:
    """Return the 64-bit xxh3 digest of bytes as 16 hex digits."""
    return xxhash.xxh3_64_hexdigest(data)
