"""Checks of a forwarded request before anything is sent, which may refuse it."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Set

from rhubarbway.decisions.attempt_timing import has_required_coverage
from rhubarbway.decisions.availability import earliest_free_at, possible_at
from rhubarbway.decisions.forward_answers import RETRY_AFTER_S, refusal, refusal_for_room
from rhubarbway.decisions.room import ShardOutlook, decisive_shard, lacks_room, waits_for_room
from rhubarbway.decisions.urgency import headroom
from rhubarbway.model import ForwardedAnswer, ForwardedRequest, Route
from rhubarbway.services.first_attempts import (
    Choices,
    choose_servers,
    outlook_of,
    shards_to_shed,
)
from rhubarbway.services.forwarding_context import ForwardingContext

# Part of the time until a late answer has to leave within which the answer to a caller that has
# come back must be expected.
LATE_FRACTION = 0.5
# Lower bound of the remaining time in the load level, seconds.
MIN_REMAINING_S = 0.001


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


class ArrivalPlan:
    """Decision about a request at its arrival.

    Attributes
    ----------
    refusal : ForwardedAnswer or None
        The answer, if the request is refused; nothing is sent then.
    chosen : mapping of str to ServerPool or None
        The server that gets the first attempt, for each shard or for the one service.
    shed : set of str
        Shards that get no attempt because their replies would be late.
    """

    __slots__ = ("chosen", "refusal", "shed")

    def __init__(
        self,
        *,
        refusal: ForwardedAnswer | None = None,
        chosen: Choices | None = None,
        shed: Set[str] = frozenset(),
    ) -> None:
        self.refusal = refusal
        self.chosen = chosen or {}
        self.shed = shed


def plan_arrival(
    context: ForwardingContext,
    request: ForwardedRequest,
    route: Route,
    services: Collection[str],
    *,
    typical_s: float,
    target_deadline: float,
    deadline: float,
) -> ArrivalPlan:
    """Refuse a request that cannot be served in time, or choose the servers of its first attempts.

    Parameters
    ----------
    typical_s : float
        Typical latency of the route, seconds.
    target_deadline, deadline : float
        Instants until which replies are in time, and until which they are of any use.
    """
    refused = refusal_for_lack_of_servers(context, route, services)
    if refused is not None:
        return ArrivalPlan(refusal=refused)
    chosen = choose_servers(context, route, services, typical_s=typical_s)
    refused = refusal_for_lack_of_room(
        context, request, route, chosen, target_deadline=target_deadline, deadline=deadline
    )
    if refused is not None or not route.shards:
        return ArrivalPlan(refusal=refused, chosen=chosen)
    remaining_s = target_deadline - context.clock()
    shed = shards_to_shed(context, route, chosen, typical_s=typical_s, remaining_s=remaining_s)
    return ArrivalPlan(chosen=chosen, shed=shed)


def refusal_for_lack_of_room(
    context: ForwardingContext,
    request: ForwardedRequest,
    route: Route,
    chosen: Choices,
    *,
    target_deadline: float,
    deadline: float,
) -> ForwardedAnswer | None:
    """Return a refusal if the request would wait for room for too long, else None.

    Nothing was sent yet, so the refusal is true. It names a time at which there will be room.

    Parameters
    ----------
    chosen : mapping of str to ServerPool or None
        The server that would get the first attempt, for each shard or for the one service.
    """
    now = context.clock()
    pools = [pool for pool in chosen.values() if pool is not None]
    outlook = decisive_shard(route, [outlook_of(context, route, pool, now) for pool in pools])
    if outlook is None:
        return None
    arrivals = context.arrivals
    budget_s = request.deadline - request.received_at
    remaining_s = target_deadline - now
    is_scarce = waits_for_room(outlook, remaining_s=remaining_s)
    change = arrivals.record_outlook(
        is_scarce=is_scarce, level=outlook.total_s / max(remaining_s, MIN_REMAINING_S), now=now
    )
    if change:
        context.log.info(
            change,
            route=route.name,
            wait_ms=round(outlook.wait_s * 1000),
            exchange_ms=round(outlook.exchange_s * 1000),
            remaining_ms=round(remaining_s * 1000),
        )
    is_return, due = arrivals.expect_returns(
        route.name, budget_s=budget_s, until=target_deadline, now=now
    )
    if is_return:
        # Refused once, the caller gets a late answer rather than none.
        remaining_s = max(remaining_s, LATE_FRACTION * (deadline - now))
    elif due and outlook.wait_s > 0.0:
        outlook = ShardOutlook(
            wait_s=outlook.wait_s + due * outlook.exchange_s, exchange_s=outlook.exchange_s
        )
    if lacks_room(
        outlook, remaining_s=remaining_s, headroom=headroom(route.priority)
    ) and arrivals.try_refuse(route.priority, now=now):
        delay_s = arrivals.promise_return(
            route.name,
            wait_s=outlook.total_s - remaining_s,
            budget_s=request.deadline - now,
            now=now,
            random=context.random,
        )
        return refusal_for_room(outlook, delay_s)
    arrivals.record_admitted(route.name, route.priority, is_return=is_return, now=now)
    return None
