"""Selection of the route of a request, and of the service in a weighted split."""

from __future__ import annotations

from collections.abc import Iterable

from rhubarbway.model import Route


class RouteIndex:
    """Routes by the host name in the request, longest path prefix first.

    Examples
    --------
    >>> def route(name, prefix):
    ...     return Route(name=name, host="a.example", path_prefix=prefix, idempotent=True,
    ...                  timeout_s=1.0, target_latency_s=0.1)
    >>> index = RouteIndex([route("outer", "/lots/"), route("inner", "/lots/crates/")])
    >>> index.match("a.example", "/lots/crates/7").name
    'inner'
    >>> index.match("a.example", "/lots") is None
    True
    """

    __slots__ = ("by_host",)

    def __init__(self, routes: Iterable[Route]) -> None:
        self.by_host: dict[str, list[Route]] = {}
        for route in sorted(routes, key=lambda route: len(route.path_prefix), reverse=True):
            self.by_host.setdefault(route.host, []).append(route)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching path prefix, or None."""
        routes = self.by_host.get(host, ())
        return next((route for route in routes if path.startswith(route.path_prefix)), None)


class WeightedRoundRobin:
    """Smooth weighted round robin over the services of a split.

    Each request adds the weights to the credits of the services; the service with the most credit
    is chosen and loses the sum of the weights. Unlike random choice, this keeps the proportions
    over any short sequence of requests.

    Attributes
    ----------
    credits : dict of str to dict
        Credits of the services of a split, by route.

    Examples
    --------
    >>> from rhubarbway.model import SplitPart
    >>> parts = (SplitPart(service="a", weight=3), SplitPart(service="b", weight=1))
    >>> schedule = WeightedRoundRobin()
    >>> [schedule.next_service("r", parts) for _ in range(4)]
    ['a', 'a', 'b', 'a']
    """

    __slots__ = ("credits",)

    def __init__(self) -> None:
        self.credits: dict[str, dict[str, float]] = {}

    def next_service(self, route: str, parts) -> str:
        """Return the service for the next request of a route; the caller holds a lock.

        ``parts`` are the services of the split with their weights. If the services are not those of
        the previous call for this route, all credits of the route start again at 0.
        """
        if len(parts) == 1:
            return parts[0].service
        service_credits = self.credits.get(route)
        if service_credits is None or service_credits.keys() != {part.service for part in parts}:
            service_credits = self.credits[route] = {part.service: 0.0 for part in parts}
        for part in parts:
            service_credits[part.service] += part.weight
        chosen = max(parts, key=lambda part: service_credits[part.service]).service
        service_credits[chosen] -= sum(part.weight for part in parts)
        return chosen

    def retain_routes(self, routes: Iterable[str]) -> None:
        """Remove the credits of all routes except the given ones."""
        kept = set(routes)
        self.credits = {name: value for name, value in self.credits.items() if name in kept}
