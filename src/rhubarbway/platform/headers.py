"""Header names of the platform, and which headers concern only one connection."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping

REQUEST_ID = "X-Request-Id"
# Milliseconds that the sender will wait.
DEADLINE_MS = "X-Deadline-Ms"
# Id of the replica that a request is meant for; any other one answers 421.
EXPECTED_SERVER = "X-Expect-Instance"
# A replica's proof that the reply is its own, and to which request.
SIGNATURE = "X-Server-Stamp"
# Present if the replica states that it has not run the request.
NOT_EXECUTED = "X-Not-Executed"
# Proofs of the parts of a merged answer, and the number of shards that it lacks.
SIGNATURES = "X-Part-Stamps"
MISSING_SHARDS = "X-Missing-Shards"

HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
# Headers that this host sets itself on the way to a replica, or that frame the message.
REPLACED_HEADERS = HOP_BY_HOP | {
    "content-length",
    "expect",
    "host",
    REQUEST_ID.lower(),
    DEADLINE_MS.lower(),
    EXPECTED_SERVER.lower(),
}

NO_OPTIONS: frozenset[str] = frozenset()


def connection_options(headers: Mapping[str, str]) -> frozenset[str]:
    """Return the header names that ``Connection`` declares as hop-by-hop.

    Examples
    --------
    >>> sorted(connection_options({"connection": "close, X-Hop"}))
    ['close', 'x-hop']
    """
    connection = headers.get("connection")
    if connection is None:
        return NO_OPTIONS
    names = connection.split(",")
    return frozenset(name.strip().lower() for name in names if name.strip())


def exclude_headers(
    pairs: Iterable[tuple[str, str]], *, excluded: Collection[str]
) -> tuple[tuple[str, str], ...]:
    """Return the headers whose lower-case names are not in ``without``."""
    return tuple((name, value) for name, value in pairs if name.lower() not in excluded)
