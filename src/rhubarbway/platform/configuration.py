"""Decoding of the operator's configuration into a routing table."""

from __future__ import annotations

from typing import Annotated

import msgspec
from returns.result import Failure, Result, Success

from rhubarbway.edge.json_codec import JsonError, decode_typed
from rhubarbway.model import CallerLimits, Finding, Route, RoutingTable, SplitPart

# Key under which the store holds the newest configuration, as one whole document.
CONFIGURATION_KEY = "op/config"

# Largest duration, milliseconds: 31 days. Larger values cannot be waited for.
MAX_DURATION_MS = 2_678_400_000.0
# Largest count, size, weight or rank. Larger values would exceed what a float or a socket option
# can hold.
MAX_COUNT = 2**31 - 1
# Versions are compared only, but other hosts must be able to decode them.
MAX_VERSION = 2**63 - 1

Duration = Annotated[float, msgspec.Meta(gt=0, le=MAX_DURATION_MS)]
Weight = Annotated[float, msgspec.Meta(ge=0, le=MAX_COUNT)]
NonEmptyString = Annotated[str, msgspec.Meta(min_length=1)]
PositiveInteger = Annotated[int, msgspec.Meta(ge=1, le=MAX_COUNT)]


class WireSplitPart(msgspec.Struct):
    """A service and its weight in ``trafficSplit``."""

    service: NonEmptyString
    weight: Weight


class WireRoute(msgspec.Struct, rename="camel"):
    """One route, with exactly one of ``service``, ``traffic_split`` and ``gather``.

    ``gather`` lists the services of a fan-out, each of which holds one shard.
    """

    name: NonEmptyString
    host: NonEmptyString
    path_prefix: NonEmptyString
    # A key of ``IDEMPOTENT_BY_ROUTE_TYPE``.
    route_type: str
    timeout_ms: Duration
    target_latency_ms: Duration
    # Of one request, or of one shard in a fan-out.
    max_attempts: PositiveInteger = 1
    # 0 is the highest priority.
    priority: Annotated[int, msgspec.Meta(ge=-MAX_COUNT, le=MAX_COUNT)] = 0
    service: str | None = None
    traffic_split: list[WireSplitPart] = []
    gather: list[NonEmptyString] = []
    # Maximum number of records in a merged answer.
    top_k: Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)] = msgspec.field(name="topK", default=0)
    # Minimum share of the shards that a merged answer must cover.
    min_shard_ratio: Annotated[float, msgspec.Meta(ge=0, le=1)] = 1.0


class WireService(msgspec.Struct, rename="camel"):
    """One service; ``max_connections`` is the limit of each replica, over all its clients.

    ``warmup_per_s`` is the rate of requests that a cold replica tolerates; 0 sets no limit.
    """

    name: NonEmptyString
    max_connections: PositiveInteger
    warmup_per_s: Annotated[float, msgspec.Meta(ge=0, le=MAX_COUNT)] = 0.0


class WireLimits(msgspec.Struct, rename="camel"):
    """Limits on the requests of callers."""

    max_header_bytes: PositiveInteger
    max_body_bytes: PositiveInteger
    header_timeout_ms: Duration
    idle_timeout_ms: Duration


class WireConfiguration(msgspec.Struct):
    """The configuration document."""

    version: Annotated[int, msgspec.Meta(ge=0, le=MAX_VERSION)]
    routes: list[WireRoute]
    services: list[WireService]
    limits: WireLimits


CONFIGURATION_DECODER = msgspec.json.Decoder(WireConfiguration)
# Whether requests of a route type may be executed more than once.
IDEMPOTENT_BY_ROUTE_TYPE = {"safe": True, "unsafe": False}


def routing_table_from_json(document: bytes) -> Result[RoutingTable, list[Finding]]:
    """Return the routing table of a configuration, or the findings if it is invalid."""
    try:
        wire: WireConfiguration = decode_typed(CONFIGURATION_DECODER, document)
    except JsonError as error:
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
        warm_up_rates={
            service.name: service.warmup_per_s
            for service in wire.services
            if service.warmup_per_s > 0.0
        },
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
