"""Parsing of network addresses."""

from __future__ import annotations


def parse_address(text: str) -> tuple[str, int]:
    """Split ``HOST:PORT`` into host and port.

    Raises
    ------
    ValueError
        If the port is not a number.

    Examples
    --------
    >>> parse_address("10.0.0.1:80")
    ('10.0.0.1', 80)
    """
    host, _, port = text.rpartition(":")
    return host, int(port)


def format_address(address: tuple[str, int]) -> str:
    """Return ``HOST:PORT``, the reverse of ``parse_address``.

    Examples
    --------
    >>> format_address(("10.0.0.1", 80))
    '10.0.0.1:80'
    """
    return f"{address[0]}:{address[1]}"
