"""The manifest: tenants, services, shards, replicas, job prefixes and entry hosts."""

from __future__ import annotations

from enum import Enum


class PrefixStatus(Enum):
    """Whether a job prefix may still be used.

    Only jobs with a retired prefix are refused; inherited ones are handled like current ones.
    """

    CURRENT = "current"
    INHERITED = "inherited"
    RETIRED = "retired"


class CanaryMode(Enum):
    """Which queries run on one shard alone (the canary) before they are sent to the others.

    ``SUSPECT`` selects queries whose shape is suspected of crashing a server. ``UNFAMILIAR`` also
    selects those whose shape has not been answered for some time.
    """

    ALWAYS = "always"
    UNFAMILIAR = "unfamiliar"
    SUSPECT = "suspect"


class Preference(Enum):
    """What has priority for a tenant when shards are late."""

    LATENCY = "latency"
    COVERAGE = "coverage"


class Policy:
    """Limits, budgets and preferences for the queries of one tenant.

    Parameters
    ----------
    deadline_ms : int
        Default and maximum deadline of a query, milliseconds.
    min_coverage : float
        Coverage (0 to 1) below which the caller gets a failure.
    hedge_budget : float
        Hedges allowed for each first attempt at a shard, on average, 0 to 1.
    hedge_quantile : float
        Quantile (0 to 1) of the observed sub-query latency after which a hedge is sent.
    retry_budget : float
        Retries allowed for each first attempt at a shard, on average, 0 to 1.
    canary : CanaryMode
        Which queries use a canary.
    prefer : Preference
        ``COVERAGE`` waits for missing shards until the deadline; ``LATENCY`` stops waiting
        earlier.
    max_in_flight : int
        Maximum number of queries of this tenant that one entry host runs concurrently.
    """

    __slots__ = (
        "canary",
        "deadline_ms",
        "hedge_budget",
        "hedge_quantile",
        "max_in_flight",
        "min_coverage",
        "prefer",
        "retry_budget",
    )

    def __init__(
        self,
        *,
        deadline_ms: int,
        min_coverage: float,
        hedge_budget: float,
        hedge_quantile: float,
        retry_budget: float,
        canary: CanaryMode,
        prefer: Preference,
        max_in_flight: int,
    ) -> None:
        self.deadline_ms = deadline_ms
        self.min_coverage = min_coverage
        self.hedge_budget = hedge_budget
        self.hedge_quantile = hedge_quantile
        self.retry_budget = retry_budget
        self.canary = canary
        self.prefer = prefer
        self.max_in_flight = max_in_flight


class Tenant:
    """One customer; ``weight`` sets its share of a busy entry host, relative to other tenants."""

    __slots__ = ("name", "policy", "weight")

    def __init__(self, *, name: str, weight: float, policy: Policy) -> None:
        self.name = name
        self.weight = weight
        self.policy = policy


class Replica:
    """One backend server's copy of one shard.

    Parameters
    ----------
    name : str
        Name, unique in the manifest.
    address : str
        ``IP:PORT``.
    zone : str
        Availability zone.
    slots : int
        Number of requests that the server can run concurrently.
    connections : int
        Maximum number of connections that the server accepts, from all entry hosts together.
    connect_ms : float
        Typical time to open a connection, milliseconds.
    """

    __slots__ = ("address", "connect_ms", "connections", "name", "slots", "zone")

    def __init__(
        self,
        *,
        name: str,
        address: str,
        zone: str,
        slots: int,
        connections: int,
        connect_ms: float,
    ) -> None:
        self.name = name
        self.address = address
        self.zone = zone
        self.slots = slots
        self.connections = connections
        self.connect_ms = connect_ms


class Shard:
    """One partition of a service's data; ``weight`` is its relative number of records."""

    __slots__ = ("index", "replicas", "weight")

    def __init__(self, *, index: int, weight: float, replicas: tuple[Replica, ...]) -> None:
        self.index = index
        self.weight = weight
        self.replicas = replicas


class Service:
    """A searchable data set.

    Parameters
    ----------
    name, tenant : str
        Name of the service, and the tenant that owns it.
    layout : str
        Name of the partitioning; it changes when the service is repartitioned.
    value : float
        Value of one answered request, relative to other services; only measurements use it.
    shards : tuple of Shard
        All shards of the layout, ordered by index.
    """

    __slots__ = ("layout", "name", "shards", "tenant", "value")

    def __init__(
        self, *, name: str, tenant: str, layout: str, value: float, shards: tuple[Shard, ...]
    ) -> None:
        self.name = name
        self.tenant = tenant
        self.layout = layout
        self.value = value
        self.shards = shards


class JobPrefix:
    """A prefix of job names, and the service that it selects.

    Parameters
    ----------
    prefix : str
        Leading words of the job name, without the separator.
    status : PrefixStatus
        Whether the prefix is current, inherited or retired.
    service : str or None
        Service that runs the job; None only if the prefix is retired.
    meaning : str
        Label returned to callers.
    origin : str
        Department or firm that introduced the prefix.
    replaced_by : str or None
        Prefix to use in place of a retired one.
    """

    __slots__ = ("meaning", "origin", "prefix", "replaced_by", "service", "status")

    def __init__(
        self,
        *,
        prefix: str,
        status: PrefixStatus,
        service: str | None,
        meaning: str,
        origin: str,
        replaced_by: str | None = None,
    ) -> None:
        self.prefix = prefix
        self.status = status
        self.service = service
        self.meaning = meaning
        self.origin = origin
        self.replaced_by = replaced_by


class EntryHost:
    """An entry host that the manifest publishes."""

    __slots__ = ("address", "name", "zone")

    def __init__(self, *, name: str, address: str, zone: str) -> None:
        self.name = name
        self.address = address
        self.zone = zone


class Manifest:
    """One version of the configuration that the operators publish.

    Parameters
    ----------
    version : int
        Version number, positive.
    digest : str
        Hex digest of the document. Orders manifests with the same version number.
    tenants, services, prefixes : dict
        Declared tenants, services and job prefixes by name.
    entry_hosts : tuple of EntryHost
        Published entry hosts.
    """

    __slots__ = ("digest", "entry_hosts", "prefixes", "services", "tenants", "version")

    def __init__(
        self,
        *,
        version: int,
        digest: str,
        tenants: dict[str, Tenant],
        services: dict[str, Service],
        prefixes: dict[str, JobPrefix],
        entry_hosts: tuple[EntryHost, ...],
    ) -> None:
        self.version = version
        self.digest = digest
        self.tenants = tenants
        self.services = services
        self.prefixes = prefixes
        self.entry_hosts = entry_hosts

    @property
    def version_key(self) -> tuple[int, str]:
        """Version and digest; the greater pair is the newer manifest."""
        return (self.version, self.digest)
