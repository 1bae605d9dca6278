"""Routes of forwarded requests, and the routing table that holds them."""

from __future__ import annotations

from collections.abc import Mapping


class SplitPart:
    """One service of a weighted split; ``weight`` is relative to the other parts."""

    __slots__ = ("service", "weight")

    def __init__(self, *, service: str, weight: float) -> None:
        self.service = service
        self.weight = weight


class Route:
    """How the requests below one path of one host are forwarded.

    Attributes
    ----------
    idempotent : bool
        Whether a request may run more than once.
    timeout_s : float
        Longest time that the operator lets a caller wait, seconds.
    target_s : float
        Time within which an answer has its full value, seconds.
    priority : int
        Rank among routes; 0 is the highest.
    max_attempts : int
        Replicas that one request may be sent to, for each shard of a fan-out.
    split : tuple of SplitPart
        Services of a request that goes to one replica; empty for a fan-out.
    shards : tuple of str
        Services of a fan-out, one for each shard; empty otherwise.
    record_limit : int
        Records in a merged answer.
    min_coverage : float
        Share of the shards (0 to 1) below which a merged answer is a failure.
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
        """Names of all services that the route uses."""
        return self.shards or tuple(part.service for part in self.split)


class CallerLimits:
    """Bounds on what a caller may send; sizes in bytes, times in seconds."""

    __slots__ = ("max_body_bytes", "max_header_bytes", "header_timeout_s", "idle_timeout_s")

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
    """One version of all routes; ``connections`` maps a service to the cap of each replica."""

    __slots__ = ("max_connections", "limits", "routes", "document", "version")

    def __init__(
        self,
        *,
        version: int,
        routes: tuple[Route, ...],
        max_connections: Mapping[str, int],
        limits: CallerLimits,
        document: bytes = b"",
    ) -> None:
        self.version = version
        self.routes = routes
        self.max_connections = max_connections
        self.limits = limits
        # The document that the table was decoded from, as other entry hosts receive it.
        self.document = document

    @property
    def services(self) -> set[str]:
        """Names of all services that some route uses."""
        return {service for route in self.routes for service in route.services}
