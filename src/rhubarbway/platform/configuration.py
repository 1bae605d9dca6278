"""Decoding of the operator's configuration into a routing table."""

from __future__ import annotations

from typing import Annotated

import msgspec
from returns.result import Failure, Result, Success

from rhubarbway.model import CallerLimits, Finding, Route, RoutingTable, SplitPart

# Key under which the store holds the newest configuration, as one whole document.
CONFIGURATION_KEY = "op/config"

PositiveNumber = Annotated[float, msgspec.Meta(gt=0)]
NonNegativeNumber = Annotated[float, msgspec.Meta(ge=0)]
NonEmptyString = Annotated[str, msgspec.Meta(min_length=1)]
PositiveInteger = Annotated[int, msgspec.Meta(ge=1)]


class WireSplitPart(msgspec.Struct):
    """A service and its weight in ``trafficSplit``."""

    service: NonEmptyString
    weight: NonNegativeNumber


class WireRoute(msgspec.Struct, rename="camel"):
    """One route, with exactly one of ``service``, ``traffic_split`` and ``gather``.

    ``gather`` lists the services of a fan-out, each of which holds one shard.
    """

    name: NonEmptyString
    host: NonEmptyString
    path_prefix: NonEmptyString
    # A key of ``IDEMPOTENT_BY_ROUTE_TYPE``.
    route_type: str
    timeout_ms: PositiveNumber
    target_latency_ms: PositiveNumber
    # Of one request, or of one shard in a fan-out.
    max_attempts: PositiveInteger = 1
    # 0 is the highest priority.
    priority: int = 0
    service: str | None = None
    traffic_split: list[WireSplitPart] = []
    gather: list[NonEmptyString] = []
    # Maximum number of records in a merged answer.
    top_k: int = msgspec.field(name="topK", default=0)
    # Minimum share of the shards that a merged answer must cover.
    min_shard_ratio: float = 1.0


class WireService(msgspec.Struct, rename="camel"):
    """One service; ``max_connections`` is the limit of each replica, over all its clients."""

    name: NonEmptyString
    max_connections: PositiveInteger


class WireLimits(msgspec.Struct, rename="camel"):
    """Limits on the requests of callers."""

    max_header_bytes: PositiveInteger
    max_body_bytes: PositiveInteger
    header_timeout_ms: PositiveNumber
    idle_timeout_ms: PositiveNumber


class WireConfiguration(msgspec.Struct):
    """The configuration document."""

    version: int
    routes: list[WireRoute]
    services: list[WireService]
    limits: WireLimits


CONFIGURATION_DECODER = msgspec.json.Decoder(WireConfiguration)
# Whether requests of a route type may be executed more than once.
IDEMPOTENT_BY_ROUTE_TYPE = {"safe": True, "unsafe": False}


def routing_table_from_json(document: bytes) -> Result[RoutingTable, list[Finding]]:
    """Return the routing table of a configuration, or the findings if it is invalid."""
    try:
        wire = CONFIGURATION_DECODER.decode(document)
    except msgspec.DecodeError as error:
        return Failure([Finding(place=CONFIGURATION_KEY, problem=str(error))])
    findings = [finding for route in wire.routes for finding in route_findings(route)]
    if findings:
        return Failure(findings)
    limits = CallerLimits(
        max_header_bytes=wire.limits.max_header_bytes,
        max_body_bytes=wire.limits.max_body_bytes,
        header_timeout_s=wire.limits.header_timeout_ms / 1000,
        idle_timeout_s=wire.limits.idle_timeout_ms / 1000,
    )
    table = RoutingTable(
        version=wire.version,
        routes=tuple(route_from_wire(route) for route in wire.routes),
        max_connections={service.name: service.max_connections for service in wire.services},
        limits=limits,
        document=document,
    )
    return Success(table)


def route_findings(route: WireRoute) -> list[Finding]:
    """Return a finding for each rule that a route violates; the types are already checked."""
    place = f"{CONFIGURATION_KEY}: routes[{route.name}]"
    targets = [bool(route.service), bool(route.traffic_split), bool(route.gather)]
    checks = (
        (sum(targets) == 1, "needs exactly one of service, trafficSplit and gather"),
        (route.route_type in IDEMPOTENT_BY_ROUTE_TYPE, f"unknown routeType {route.route_type!r}"),
        (not route.gather or route.top_k > 0, "gather needs topK"),
        (len(set(route.gather)) == len(route.gather), "gather names a service twice"),
        (
            not route.traffic_split or any(part.weight > 0 for part in route.traffic_split),
            "trafficSplit has no part with a weight",
        ),
    )
    return [Finding(place=place, problem=problem) for holds, problem in checks if not holds]


def route_from_wire(wire: WireRoute) -> Route:
    """Return the route that a ``WireRoute`` without findings describes."""
    split = tuple(
        SplitPart(service=part.service, weight=part.weight)
        for part in wire.traffic_split
        if part.weight > 0
    )
    if wire.service:
        split = (SplitPart(service=wire.service, weight=1.0),)
    return Route(
        name=wire.name,
        host=wire.host,
        path_prefix=wire.path_prefix,
        idempotent=IDEMPOTENT_BY_ROUTE_TYPE[wire.route_type],
        timeout_s=wire.timeout_ms / 1000,
        target_latency_s=wire.target_latency_ms / 1000,
        priority=wire.priority,
        max_attempts=wire.max_attempts,
        split=split,
        shards=tuple(wire.gather),
        record_limit=wire.top_k,
        min_coverage=wire.min_shard_ratio,
    )
