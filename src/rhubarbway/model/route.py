"""Routes of forwarded requests, and the routing table."""

from __future__ import annotations

from collections.abc import Mapping


class SplitPart:
    """One service of a traffic split; ``weight`` is relative to the other services."""

    __slots__ = ("service", "weight")

    def __init__(self, *, service: str, weight: float) -> None:
        self.service = service
        self.weight = weight


class Route:
    """How requests to one host with one path prefix are forwarded.

    Attributes
    ----------
    name : str
        Name of the route.
    host, path_prefix : str
        Host and path prefix of the requests that the route applies to.
    idempotent : bool
        Whether a request may run more than once.
    timeout_s : float
        Maximum time that a caller waits for the answer, seconds.
    target_latency_s : float
        Latency that an answer should not exceed, seconds; a later answer is worth less.
    priority : int
        Priority among routes; 0 is the highest.
    max_attempts : int
        Maximum attempts of one request, or of one shard in a fan-out.
    split : tuple of SplitPart
        Services that share the requests by weight, if one replica answers a request; empty for a
        fan-out.
    shards : tuple of str
        Services of a fan-out, one for each shard; empty otherwise.
    record_limit : int
        Maximum number of records in a merged answer.
    min_coverage : float
        Share of the shards (0 to 1) below which the request fails.
    """

    __slots__ = (
        "host",
        "idempotent",
        "max_attempts",
        "min_coverage",
        "name",
        "path_prefix",
        "priority",
        "record_limit",
        "shards",
        "split",
        "target_latency_s",
        "timeout_s",
    )

    def __init__(
        self,
        *,
        name: str,
        host: str,
        path_prefix: str,
        idempotent: bool,
        timeout_s: float,
        target_latency_s: float,
        priority: int = 0,
        max_attempts: int = 1,
        split: tuple[SplitPart, ...] = (),
        shards: tuple[str, ...] = (),
        record_limit: int = 0,
        min_coverage: float = 1.0,
    ) -> None:
        self.name = name
        self.host = host
        self.path_prefix = path_prefix
        self.idempotent = idempotent
        self.timeout_s = timeout_s
        self.target_latency_s = target_latency_s
        self.priority = priority
        self.max_attempts = max_attempts
        self.split = split
        self.shards = shards
        self.record_limit = record_limit
        self.min_coverage = min_coverage

    @property
    def services(self) -> tuple[str, ...]:
        """Names of the services that the route sends requests to."""
        return self.shards or tuple(part.service for part in self.split)


class CallerLimits:
    """Limits on the requests of callers; sizes in bytes, timeouts in seconds."""

    __slots__ = ("header_timeout_s", "idle_timeout_s", "max_body_bytes", "max_header_bytes")

    def __init__(
        self,
        *,
        max_header_bytes: int,
        max_body_bytes: int,
        header_timeout_s: float,
        idle_timeout_s: float,
    ) -> None:
        self.max_header_bytes = max_header_bytes
        self.max_body_bytes = max_body_bytes
        self.header_timeout_s = header_timeout_s
        self.idle_timeout_s = idle_timeout_s


class RoutingTable:
    """One version of all routes.

    Parameters
    ----------
    version : int
        Version of the configuration.
    routes : tuple of Route
        All routes.
    max_connections : mapping of str to int
        Maximum number of connections that one replica of a service accepts, by service.
    limits : CallerLimits
        Limits on the requests of callers.
    document : bytes
        Encoded configuration that the table was decoded from, as other entry hosts receive it.
    warm_up_rates : mapping of str to float
        Requests that one cold replica of a service tolerates per second, by service. Services
        without a limit are missing.
    """

    __slots__ = (
        "document",
        "limits",
        "max_connections",
        "routes",
        "version",
        "warm_up_rates",
    )

    def __init__(
        self,
        *,
        version: int,
        routes: tuple[Route, ...],
        max_connections: Mapping[str, int],
        limits: CallerLimits,
        document: bytes = b"",
        warm_up_rates: Mapping[str, float] | None = None,
    ) -> None:
        self.warm_up_rates = warm_up_rates or {}
        self.version = version
        self.routes = routes
        self.max_connections = max_connections
        self.limits = limits
        self.document = document

    @property
    def services(self) -> set[str]:
        """Names of the services that the routes send requests to."""
        return {service for route in self.routes for service in route.services}
