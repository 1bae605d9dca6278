"""Generator of the manifests and replicas of the two example deployments, at full size."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from rhubarbway_standins.backend import ReplicaSpec


class ServiceSize:
    """Size and speed of one service in a deployment.

    Parameters
    ----------
    name : str
        Name of the service.
    shards, replicas : int
        Number of shards, and number of replicas of each shard.
    slots, connections : int
        Maximum concurrent requests and maximum connections of a replica.
    connect_ms : float
        Delay of the first reply on a connection, milliseconds.
    service_ms : float
        Median service time, milliseconds.
    value : float
        Value of one answered request, for measurements.
    """

    __slots__ = (
        "connect_ms",
        "connections",
        "name",
        "replicas",
        "service_ms",
        "shards",
        "slots",
        "value",
    )

    def __init__(
        self,
        *,
        name: str,
        shards: int,
        replicas: int,
        slots: int,
        connections: int,
        connect_ms: float,
        service_ms: float,
        value: float,
    ) -> None:
        self.name = name
        self.shards = shards
        self.replicas = replicas
        self.slots = slots
        self.connections = connections
        self.connect_ms = connect_ms
        self.service_ms = service_ms
        self.value = value


class Deployment:
    """Input from which the manifest of one customer is generated.

    Parameters
    ----------
    name : str
        Name of the tenant and prefix of the names of the entry hosts.
    zones : tuple of str
        Zones, over which entry hosts and the replicas of each shard are distributed.
    one_way_ms : float
        Network delay between two zones in one direction, milliseconds; 0 within a zone.
    entry_hosts : int
        Number of entry hosts.
    services : tuple of ServiceSize
        Services of the tenant.
    policy : dict
        Policy of the tenant, as in the manifest.
    prefixes : list of dict
        Declarations of job prefixes, as in the manifest.
    """

    __slots__ = ("entry_hosts", "name", "one_way_ms", "policy", "prefixes", "services", "zones")

    def __init__(
        self,
        *,
        name: str,
        zones: tuple[str, ...],
        one_way_ms: float,
        entry_hosts: int,
        services: tuple[ServiceSize, ...],
        policy: dict[str, Any],
        prefixes: list[dict[str, Any]],
    ) -> None:
        self.name = name
        self.zones = zones
        self.one_way_ms = one_way_ms
        self.entry_hosts = entry_hosts
        self.services = services
        self.policy = policy
        self.prefixes = prefixes


def sharded_service(name: str, shards: int, value: float) -> ServiceSize:
    """Return a sharded service with the sizes that both deployments use."""
    return ServiceSize(
        name=name,
        shards=shards,
        replicas=3,
        slots=3,
        connections=30,
        connect_ms=6.0,
        service_ms=5.0,
        value=value,
    )


def unsharded_service(name: str, replicas: int, slots: int, connections: int) -> ServiceSize:
    """Return an unsharded service with the speed that both deployments use."""
    return ServiceSize(
        name=name,
        shards=1,
        replicas=replicas,
        slots=slots,
        connections=connections,
        connect_ms=1.0,
        service_ms=4.0,
        value=1.0,
    )


def prefix_declaration(
    name: str, service: str, meaning: str, origin: str, status: str
) -> dict[str, Any]:
    """Return the declaration of a prefix with the status ``current`` or ``inherited``."""
    return {
        "prefix": name,
        "status": status,
        "service": service,
        "meaning": meaning,
        "origin": origin,
    }


# Names of the former firms by the first part of their prefixes.
SCOICA_FIRMS = {"tomis": "Tomis Midii", "callatis": "Callatis Stridii", "histria": "Histria Raci"}
# Services and meanings by prefix.
SCOICA_DESKS = {
    "desk": ("consignment-desk", "live consignments"),
    "tanks": ("tank-ledger", "holding tanks"),
    "carriers": ("carrier-board", "hauliers and lorries"),
    "buyers": ("buyer-portal", "restaurant buyers"),
}


def scoica_prefixes() -> list[dict[str, Any]]:
    """Return current prefixes, those of three former firms, and a retired one."""
    prefixes = [
        prefix_declaration(desk, service, meaning, "Scoica Neagra", "current")
        for desk, (service, meaning) in SCOICA_DESKS.items()
    ]
    for firm, origin in SCOICA_FIRMS.items():
        # The bare prefix of a firm stood for its consignment desk; longer prefixes name the desk.
        prefixes.append(
            prefix_declaration(
                firm, "consignment-desk", f"consignments of {origin}", origin, "inherited"
            )
        )
        for desk, (service, meaning) in SCOICA_DESKS.items():
            prefixes.append(
                prefix_declaration(
                    f"{firm}-{desk}", service, f"{meaning} of {origin}", origin, "inherited"
                )
            )
    prefixes.append(
        {
            "prefix": "tomis-fax",
            "status": "retired",
            "meaning": "orders by fax",
            "origin": "Tomis Midii",
            "replaced_by": "tomis-desk",
        }
    )
    return prefixes


def dinas_prefixes() -> list[dict[str, Any]]:
    """Return current prefixes, those of the former section of Surakarta, and a retired one."""
    current = {
        "lookup": ("clerk-lookup", "past orders and honorifics"),
        "receipts": ("receipts", "receipts"),
        "scribes": ("scribe-tracking", "scribe queues"),
        "dispatch": ("dispatch", "dispatch"),
    }
    origin = "Seksi Kaligrafi Surakarta"
    prefixes = [
        prefix_declaration(name, service, meaning, "Dinas Kaligrafi", "current")
        for name, (service, meaning) in current.items()
    ]
    prefixes += [
        prefix_declaration(f"ska-{name}", service, f"{meaning} of Surakarta", origin, "inherited")
        for name, (service, meaning) in current.items()
    ]
    prefixes.append(
        prefix_declaration("ska", "clerk-lookup", "orders of Surakarta", origin, "inherited")
    )
    prefixes.append(
        {
            "prefix": "ska-piagam",
            "status": "retired",
            "meaning": "charters",
            "origin": origin,
            "replaced_by": "lookup",
        }
    )
    return prefixes


def scoica_neagra() -> Deployment:
    """Return the deployment of Scoica Neagra Logistica."""
    return Deployment(
        name="scoica-neagra",
        zones=("constanta", "mangalia", "tulcea"),
        one_way_ms=4.0,
        entry_hosts=9,
        services=(
            sharded_service("consignment-desk", 10, 3.0),
            sharded_service("tank-ledger", 15, 2.0),
            unsharded_service("carrier-board", 8, 4, 110),
            unsharded_service("buyer-portal", 4, 4, 110),
        ),
        policy={
            "deadline_ms": 1000,
            "min_coverage": 0.5,
            "prefer": "latency",
            "hedge_quantile": 0.95,
            "canary": "unfamiliar",
        },
        prefixes=scoica_prefixes(),
    )


def dinas_kaligrafi() -> Deployment:
    """Return the deployment of Dinas Kaligrafi Surat Jawa Tengah."""
    return Deployment(
        name="dinas-kaligrafi",
        zones=("semarang", "surakarta", "magelang"),
        one_way_ms=3.0,
        entry_hosts=9,
        services=(
            sharded_service("clerk-lookup", 10, 3.0),
            sharded_service("receipts", 15, 2.0),
            unsharded_service("scribe-tracking", 4, 6, 50),
            unsharded_service("dispatch", 3, 6, 50),
        ),
        policy={
            "deadline_ms": 2000,
            "min_coverage": 0.0,
            "prefer": "coverage",
            "hedge_quantile": 0.98,
            "canary": "always",
        },
        prefixes=dinas_prefixes(),
    )


DEPLOYMENTS = {"scoica-neagra": scoica_neagra, "dinas-kaligrafi": dinas_kaligrafi}


class GeneratedDeployment:
    """A manifest document and the stand-in replicas that it names."""

    __slots__ = ("document", "replicas")

    def __init__(self, *, document: dict[str, Any], replicas: list[ReplicaSpec]) -> None:
        self.document = document
        self.replicas = replicas


def generate_deployment(
    deployment: Deployment, *, ports: Iterator[int], version: int
) -> GeneratedDeployment:
    """Return manifest and replicas of a deployment on loopback ports.

    Parameters
    ----------
    deployment : Deployment
        Sizes and policy.
    ports : iterator of int
        Free ports, one for each entry host and replica.
    version : int
        Version of the manifest.
    """
    zones = deployment.zones
    entry_hosts = [
        {
            "name": f"{deployment.name}-e{number}",
            "address": f"127.0.0.1:{next(ports)}",
            "zone": zones[number % len(zones)],
        }
        for number in range(deployment.entry_hosts)
    ]
    replicas: list[ReplicaSpec] = []
    services = []
    for size in deployment.services:
        shards = []
        for shard in range(size.shards):
            members = [
                replica_spec(
                    deployment=deployment,
                    size=size,
                    shard=shard,
                    number=number,
                    port=next(ports),
                    entry_hosts=entry_hosts,
                )
                for number in range(size.replicas)
            ]
            replicas += members
            shards.append(
                {"index": shard, "replicas": [replica_declaration(member) for member in members]}
            )
        services.append(
            {
                "name": size.name,
                "tenant": deployment.name,
                "layout": f"{size.name}-l1",
                "value": size.value,
                "shards": shards,
            }
        )
    document = {
        "version": version,
        "tenants": [{"name": deployment.name, "weight": 1.0, "policy": deployment.policy}],
        "services": services,
        "prefixes": deployment.prefixes,
        "entry_hosts": entry_hosts,
    }
    return GeneratedDeployment(document=document, replicas=replicas)


def replica_spec(
    *,
    deployment: Deployment,
    size: ServiceSize,
    shard: int,
    number: int,
    port: int,
    entry_hosts: list[dict[str, Any]],
) -> ReplicaSpec:
    """Return the specification of one replica; those of a shard are in successive zones."""
    zone = deployment.zones[(shard + number) % len(deployment.zones)]
    round_trip_ms = 2 * deployment.one_way_ms
    return ReplicaSpec(
        name=f"{size.name}-{shard}-{number}",
        address=f"127.0.0.1:{port}",
        zone=zone,
        service=size.name,
        layout=f"{size.name}-l1",
        shard=shard,
        slots=size.slots,
        connections=size.connections,
        connect_ms=size.connect_ms,
        service_ms=size.service_ms,
        zone_ms={
            host["name"]: 0.0 if host["zone"] == zone else round_trip_ms for host in entry_hosts
        },
    )


def replica_declaration(spec: ReplicaSpec) -> dict[str, Any]:
    """Return the manifest's declaration of a replica."""
    names = ("name", "address", "zone", "slots", "connections", "connect_ms")
    return {name: getattr(spec, name) for name in names}
