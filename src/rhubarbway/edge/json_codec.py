"""JSON encoding, decoding with a limit on the nesting depth, and digests of encoded values."""

from __future__ import annotations

import re
from typing import Any

import msgspec
import xxhash

MAX_NESTING_DEPTH = 32


# Longest text of a decoding error, characters. The text may quote the input.
MAX_ERROR_LENGTH = 200


class JsonError(ValueError):
    """Raised when bytes are not valid JSON in UTF-8, or are nested too deeply."""


# What decoders raise for some input. ``RecursionError`` comes from deep nesting, ``OverflowError``
# from numbers that do not fit, and ``UnicodeDecodeError`` is a ``ValueError``.
DECODING_FAILURES = (msgspec.MsgspecError, ValueError, RecursionError, OverflowError)


JSON_STRING = re.compile(rb'"(?:[^"\\]|\\.)*"', re.DOTALL)
BRACES_TO_BRACKETS = bytes.maketrans(b"{}", b"[]")
UNTYPED_DECODER = msgspec.json.Decoder()
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
    return decode_typed(UNTYPED_DECODER, data)


def decode_typed(decoder: msgspec.json.Decoder, data: bytes) -> Any:
    """Return the value that a typed decoder makes of a JSON text.

    All bytes that other programs wrote are decoded here, so that no input ends a task by an
    exception that its caller does not expect.

    Raises
    ------
    JsonError
        If the text is not what the decoder expects, for any reason.

    Examples
    --------
    >>> decode_typed(msgspec.json.Decoder(list[int]), b"[1, 2]")
    [1, 2]
    >>> decode_typed(msgspec.json.Decoder(list[int]), b"[1, [2]]")
    Traceback (most recent call last):
    ...
    rhubarbway.edge.json_codec.JsonError: Expected `int`, got `array` - at `$[1]`
    """
    try:
        return decoder.decode(data)
    except DECODING_FAILURES as error:
        raise JsonError(str(error)[:MAX_ERROR_LENGTH]) from None


def convert_value(value: Any, value_type: Any) -> Any:
    """Convert a decoded value to a type, as ``decode_typed`` does it for a text.

    Raises
    ------
    JsonError
        If the value does not have the type.
    """
    try:
        return msgspec.convert(value, value_type)
    except DECODING_FAILURES as error:
        raise JsonError(str(error)[:MAX_ERROR_LENGTH]) from None


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
