"""Checks of a forwarded request before anything is sent, which may refuse it."""

from __future__ import annotations

from collections.abc import Iterable

from rhubarbway.decisions.attempt_timing import has_required_coverage
from rhubarbway.decisions.availability import earliest_free_at, possible_at
from rhubarbway.decisions.forward_answers import RETRY_AFTER_S, refusal
from rhubarbway.model import ForwardedAnswer, Route
from rhubarbway.services.forwarding_context import ForwardingContext


def refusal_for_lack_of_servers(
    context: ForwardingContext, route: Route, services: Iterable[str]
) -> ForwardedAnswer | None:
    """Return a refusal if too few shards have a server that takes requests now, else None.

    It names the time at which enough of them do, if that is known: when servers that asked for no
    requests want them again, or when cold servers may get one more.

    Parameters
    ----------
    services : iterable of str
        The shards of the route, or the one service that the request goes to.
    """

    def is_enough(shard_count: int) -> bool:
        if not route.shards:
            return shard_count > 0
        return has_required_coverage(route, shard_count)

    now = context.clock()
    free_at = [
        earliest_free_at((pool.state for pool in context.pools_of(service)), now=now)
        for service in services
    ]
    instant = possible_at(free_at, is_enough=is_enough)
    if instant <= now:
        return None
    if instant == float("inf"):
        return refusal("too few servers are known", random=context.random)
    return refusal(
        "too many servers are cold or have asked for no requests",
        random=context.random,
        retry_after_s=max(RETRY_AFTER_S, instant - now),
    )
