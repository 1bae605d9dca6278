"""Header names of the platform, and the handling of hop-by-hop headers."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping

REQUEST_ID = "X-Request-Id"
# Milliseconds for which the sender waits for the reply.
DEADLINE_MS = "X-Deadline-Ms"
# Id of the replica that the request is meant for; any other replica answers 421.
EXPECTED_SERVER = "X-Expect-Instance"
# Text by which a replica marks a reply as its own and as the answer to a particular request. The
# platform calls it a stamp. It is opaque here: its presence is checked, its content is not, and it
# is not a cryptographic signature.
SIGNATURE = "X-Server-Stamp"
# Present if the replica states that it has not executed the request.
NOT_EXECUTED = "X-Not-Executed"
# "1" in every reply of a replica that shuts down soon.
LEAVING = "Server-Leaving"
# In the replies of some replicas: requests running, requests waiting and slots, separated by
# commas, and possibly how long work takes there at this moment, percent of the usual time.
SERVER_LOAD = "X-Server-Load"
# In a 503 reply of a replica: how long it wants no requests from this host, seconds with fractions.
RETRY_AFTER = "Retry-After"
# In a reply of a replica that has just started or has turned cold: how long it stays cold, ms.
WARM_UP_MS = "X-Warmup-Ms"
# Signatures of the replies in a merged answer, and the number of shards that it lacks.
SIGNATURES = "X-Part-Stamps"
MISSING_SHARDS = "X-Missing-Shards"

# Headers of a request that one entry host delegates to another; they go no further.
# Version of the configuration by which the sender chose the route. A delegate with an older one
# refuses the request.
DELEGATED_VERSION = "X-Rhubarbway-Version"
# Milliseconds since the caller's request was read, with the time that the answer will need to get
# back to the sender. The delegate counts its target latency from then.
DELEGATED_ELAPSED_MS = "X-Rhubarbway-Elapsed-Ms"

# "1" in the answer of a delegate that refused the request because there is no room for it. The host
# that the caller reached passes such a refusal on and does not run the fan-out itself.
DELEGATED_NO_ROOM = "X-Rhubarbway-No-Room"

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
# Headers of a caller that are not forwarded: this host sets its own value of them, or drops them
# because they apply only to the caller's connection.
REPLACED_HEADERS = HOP_BY_HOP | {
    "content-length",
    "expect",
    "host",
    REQUEST_ID.lower(),
    DEADLINE_MS.lower(),
    EXPECTED_SERVER.lower(),
    DELEGATED_VERSION.lower(),
    DELEGATED_ELAPSED_MS.lower(),
}

NO_OPTIONS: frozenset[str] = frozenset()


def connection_options(headers: Mapping[str, str]) -> frozenset[str]:
    """Return the header names that the ``Connection`` header declares as hop-by-hop.

    Names are in lower case, in ``headers`` and in the result. The result includes options that name
    no header, such as ``close``.

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
    """Return the headers whose lower-case names are not in ``excluded``."""
    return tuple((name, value) for name, value in pairs if name.lower() not in excluded)
