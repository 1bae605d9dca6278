"""Addresses in text."""

from __future__ import annotations


def parse_address(text: str) -> tuple[str, int]:
    """Return host and port of ``HOST:PORT``.

    Examples
    --------
    >>> parse_address("10.0.0.1:80")
    ('10.0.0.1', 80)
    """
    host, _, port = text.rpartition(":")
    return host, int(port)
