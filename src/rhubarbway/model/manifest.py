"""The manifest: tenants, services, shards, replicas, job prefixes and entry hosts."""

from __future__ import annotations

from enum import Enum


class PrefixStatus(Enum):
    """Whether a job prefix may still be used."""

    CURRENT = "current"
    INHERITED = "inherited"
    RETIRED = "retired"


class CanaryMode(Enum):
    """When one shard runs a query alone before the others get it."""

    ALWAYS = "always"
    UNFAMILIAR = "unfamiliar"
    SUSPECT = "suspect"


class Preference(Enum):
    """What a tenant gives up last when shards are late."""

    LATENCY = "latency"
    COVERAGE = "coverage"


class Policy:
    """Values that steer the decisions for one tenant.

    Parameters
    ----------
    deadline_ms : int
        Default and greatest deadline of a query, milliseconds.
    min_coverage : float
        Below this coverage (0 to 1) the caller gets a failure.
    hedge_budget : float
        Hedges allowed for each needed sub-query.
    hedge_quantile : float
        Quantile of the learnt sub-query latency after which a hedge is sent.
    retry_budget : float
        Retries allowed for each needed sub-query.
    canary : CanaryMode
        When to use a canary.
    prefer : Preference
        ``COVERAGE`` waits for missing shards until the deadline; ``LATENCY`` stops earlier.
    max_in_flight : int
        Queries of this tenant that one entry host runs at a time.
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
    """One customer; ``weight`` is its share when entry hosts are busy."""

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
        Requests the server runs at a time.
    connections : int
        Connections the server accepts from all entry hosts together.
    connect_ms : float
        Usual time of a new connection, milliseconds.
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
    """One part of a service's data; ``weight`` is its share of the records."""

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
        Its name and the tenant that owns it.
    layout : str
        Name of the partitioning; it changes when the service is repartitioned.
    value : float
        Worth of one answered request, for measurements.
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
    """What a job-name prefix means.

    Parameters
    ----------
    prefix : str
        Leading words of the job name, without the separator.
    status : PrefixStatus
        Current, inherited or retired.
    service : str or None
        Service that runs the job; None only when retired.
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
    """A published entry host."""

    __slots__ = ("address", "name", "zone")

    def __init__(self, *, name: str, address: str, zone: str) -> None:
        self.name = name
        self.address = address
        self.zone = zone


class Manifest:
    """One release of the operators' declarations.

    ``version`` is a positive integer; ``digest`` is the hex digest of the document. Versions are
    ordered by the pair of both.
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
        """Key by which versions are compared."""
        return (self.version, self.digest)
