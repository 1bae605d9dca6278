"""The operator's configuration as a routing table."""

from __future__ import annotations

from typing import Annotated

import msgspec
from returns.result import Failure, Result, Success

from rhubarbway.model import CallerLimits, Finding, Route, RoutingTable, SplitPart

# Key under which the store holds the newest configuration in full.
CONFIGURATION_KEY = "op/config"

Positive = Annotated[float, msgspec.Meta(gt=0)]
NotNegative = Annotated[float, msgspec.Meta(ge=0)]
Name = Annotated[str, msgspec.Meta(min_length=1)]
Count = Annotated[int, msgspec.Meta(ge=1)]


class WirePart(msgspec.Struct):
    """One part of ``trafficSplit``."""

    service: Name
    weight: NotNegative


class WireRoute(msgspec.Struct, rename="camel"):
    """One route; ``gather`` lists the services of a fan-out, one for each shard."""

    name: Name
    host: Name
    path_prefix: Name
    route_type: str
    timeout_ms: Positive
    target_latency_ms: Positive
    max_attempts: Count = 1
    priority: int = 0
    service: str | None = None
    traffic_split: list[WirePart] = []
    gather: list[Name] = []
    # Records of a merged answer.
    top_k: int = msgspec.field(name="topK", default=0)
    # Least share of the shards that a merged answer may cover.
    min_shard_ratio: float = 1.0


class WireService(msgspec.Struct, rename="camel"):
    """One service; ``max_connections`` is the cap of each replica, over all callers."""

    name: Name
    max_connections: Count


class WireLimits(msgspec.Struct, rename="camel"):
    """Bounds on callers."""

    max_header_bytes: Count
    max_body_bytes: Count
    header_timeout_ms: Positive
    idle_timeout_ms: Positive


class WireConfiguration(msgspec.Struct):
    """The whole document."""

    version: int
    routes: list[WireRoute]
    services: list[WireService]
    limits: WireLimits


DECODER = msgspec.json.Decoder(WireConfiguration)
# Whether requests of a route type may run more than once.
IDEMPOTENT_TYPES = {"safe": True, "unsafe": False}


def routing_table_of(document: bytes) -> Result[RoutingTable, list[Finding]]:
    """Return the routing table of a configuration, or all findings."""
    try:
        wire = DECODER.decode(document)
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
        routes=tuple(route_of(route) for route in wire.routes),
        max_connections={service.name: service.max_connections for service in wire.services},
        limits=limits,
        document=document,
    )
    return Success(table)


def route_findings(route: WireRoute) -> list[Finding]:
    """Return what is wrong with a route beyond the types of its fields."""
    place = f"{CONFIGURATION_KEY}: routes[{route.name}]"
    targets = [bool(route.service), bool(route.traffic_split), bool(route.gather)]
    checks = (
        (sum(targets) == 1, "needs exactly one of service, trafficSplit and gather"),
        (route.route_type in IDEMPOTENT_TYPES, f"unknown routeType {route.route_type!r}"),
        (not route.gather or route.top_k > 0, "gather needs topK"),
        (len(set(route.gather)) == len(route.gather), "gather names a service twice"),
        (
            not route.traffic_split or any(part.weight > 0 for part in route.traffic_split),
            "trafficSplit has no part with a weight",
        ),
    )
    return [Finding(place=place, problem=problem) for holds, problem in checks if not holds]


def route_of(wire: WireRoute) -> Route:
    """Return the route of a checked entry."""
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
        idempotent=IDEMPOTENT_TYPES[wire.route_type],
        timeout_s=wire.timeout_ms / 1000,
        target_latency_s=wire.target_latency_ms / 1000,
        priority=wire.priority,
        max_attempts=wire.max_attempts,
        split=split,
        shards=tuple(wire.gather),
        record_limit=wire.top_k,
        min_coverage=wire.min_shard_ratio,
    )
