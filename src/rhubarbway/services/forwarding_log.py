"""Log lines about a forwarded request and its attempts."""

from __future__ import annotations

from collections.abc import Iterable

from rhubarbway.model import ForwardedRequest, Route
from rhubarbway.services.forwarding_context import ForwardingContext
from rhubarbway.services.server_pool import ServerPool
from rhubarbway.services.shard_progress import ShardProgress

# Number of the slowest shards that the log line of an answer names.
SLOWEST_SHARDS_LOGGED = 2


def slowest_shards(
    shards: Iterable[ShardProgress], *, received_at: float
) -> list[dict[str, object]]:
    """Describe the shards that replied last or not at all; times count from ``received_at``."""
    ordered = sorted(shards, key=lambda shard: shard.replied_at, reverse=True)
    return [
        {
            "service": shard.service,
            "reply_ms": milliseconds(shard.replied_at - received_at),
            "sent": [[server, milliseconds(at - received_at)] for server, at in shard.attempt_log],
        }
        for shard in ordered[:SLOWEST_SHARDS_LOGGED]
    ]


def log_decision(
    context: ForwardingContext,
    request: ForwardedRequest,
    route: Route,
    event: str,
    shard: ShardProgress,
    **details,
) -> None:
    """Log a decision about a shard with the fields that all such lines share."""
    context.log.info(
        event,
        request_id=request.request_id,
        route=route.name,
        service=shard.service,
        sent=shard.sent_count,
        age_ms=round((context.clock() - request.received_at) * 1000),
        **details,
    )


def log_deleted_server(
    context: ForwardingContext,
    request: ForwardedRequest,
    route: Route,
    shard: ShardProgress,
    pool: ServerPool,
) -> None:
    """Log and count an attempt at a server whose deletion this host knows and defers."""
    known_since = pool.state.deletion_known_since
    if known_since is None:
        return
    context.count_deleted_server_attempt(service=shard.service)
    log_decision(
        context,
        request,
        route,
        "Attempt at a server whose deletion is deferred.",
        shard,
        server=pool.server.id,
        deletion_known_ms=milliseconds(context.clock() - known_since),
        copy_age_ms=milliseconds(context.copy_age_s()),
    )


def milliseconds(seconds: float) -> int | None:
    """Convert seconds to whole milliseconds; infinity becomes None.

    Examples
    --------
    >>> milliseconds(0.25), milliseconds(float("inf"))
    (250, None)
    """
    return None if seconds == float("inf") else round(seconds * 1000)
