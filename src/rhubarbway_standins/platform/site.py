"""A small deployment of the users' platform on loopback: store, replicas, configuration."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from rhubarbway.edge.json_codec import encode_json
from rhubarbway.settings import GatewaySettings
from rhubarbway_standins.platform.replica import Arrival, PlatformReplica
from rhubarbway_standins.platform.store import PlatformStore

ZONES = ("north", "south")
VIRTUAL_HOST = "desk.example"
# Path prefixes of the three routes; booking requests are unsafe, so they run at most once.
SEARCH_PREFIX = "/lots/"
SINGLE_PREFIX = "/waybills/"
BOOKING_PREFIX = "/bookings/"
# Service of the routes without shards: single and booking.
BOARD_SERVICE = "carrier-board"
# Limits of the search route; consumers and the soak checks compare answers with them.
RECORD_LIMIT = 10
MIN_COVERAGE = 0.75
MAX_ATTEMPTS = 2
HTTP_LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 262144,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}


class Site:
    """Store and replicas in this process, with a configuration for three routes, but no gateways.

    Parameters
    ----------
    ports : iterator of int
        Free ports on loopback.
    shards : int
        Shards of the search route; each has one replica in each zone.
    warm_up_rate : float
        Requests per second that a cold replica tolerates; 0 for no limit.
    """

    __slots__ = ("arrivals", "ports", "replicas", "shards", "store", "version", "warm_up_rate")

    def __init__(self, *, ports: Iterator[int], shards: int = 4, warm_up_rate: float = 0.0) -> None:
        self.warm_up_rate = warm_up_rate
        self.ports = ports
        self.arrivals: list[Arrival] = []
        self.store = PlatformStore(address=("127.0.0.1", next(ports)))
        self.shards = [f"desk-{number}" for number in range(shards)]
        self.version = 0
        self.replicas: list[PlatformReplica] = []
        for service in (*self.shards, BOARD_SERVICE):
            for zone in ZONES:
                self.add_replica(service, zone)
        self.publish(self.configuration())

    def __enter__(self) -> Site:
        return self

    def __exit__(self, *exception: object) -> None:
        self.store.stop()
        for replica in self.replicas:
            replica.stop()

    def add_replica(self, service: str, zone: str) -> PlatformReplica:
        """Start a replica and register it."""
        replica = PlatformReplica(
            server_id=f"i-{len(self.replicas):04x}",
            service=service,
            zone=zone,
            address=("127.0.0.1", next(self.ports)),
            on_arrival=self.arrivals.append,
        )
        self.replicas.append(replica)
        self.register(replica)
        return replica

    def register(self, replica: PlatformReplica, **changes: object) -> None:
        """Write the entry of a replica to the store; ``changes`` replaces fields of the entry."""
        self.store.put(f"servers/{replica.server_id}", replica.store_entry(**changes))

    def replicas_of(self, service: str) -> list[PlatformReplica]:
        """Return the replicas of a service."""
        return [replica for replica in self.replicas if replica.service == service]

    def configuration(self, **search_changes: Any) -> dict[str, Any]:
        """Return the next configuration; ``search_changes`` replaces fields of the search route."""
        self.version += 3
        common = {
            "timeoutMs": 1000,
            "targetLatencyMs": 250,
            "priority": 1,
            "maxAttempts": MAX_ATTEMPTS,
        }
        search_route = {
            "name": "search",
            "host": VIRTUAL_HOST,
            "pathPrefix": SEARCH_PREFIX,
            "routeType": "safe",
            "gather": self.shards,
            "topK": RECORD_LIMIT,
            "minShardRatio": MIN_COVERAGE,
        }
        single_route = {
            "name": "single",
            "host": VIRTUAL_HOST,
            "pathPrefix": SINGLE_PREFIX,
            "routeType": "safe",
            "service": BOARD_SERVICE,
        }
        booking_route = {
            "name": "booking",
            "host": VIRTUAL_HOST,
            "pathPrefix": BOOKING_PREFIX,
            "routeType": "unsafe",
            "service": BOARD_SERVICE,
        }
        services = (*self.shards, BOARD_SERVICE)
        return {
            "version": self.version,
            "routes": [
                common | search_route | search_changes,
                common | single_route,
                common | booking_route,
            ],
            "services": [self.service_document(name) for name in services],
            "limits": HTTP_LIMITS,
        }

    def service_document(self, name: str) -> dict[str, Any]:
        """Return a service of the configuration."""
        return {
            "name": name,
            "healthPath": "/health",
            "maxConnections": 30,
            "warmupPerS": self.warm_up_rate,
        }

    def publish(self, document: dict[str, Any]) -> None:
        """Write a configuration to the store."""
        self.store.put("op/config", encode_json(document))

    def settings(self, name: str, *, zone: str, seeds: list[str]) -> GatewaySettings:
        """Return the settings of another entry host, with free ports."""
        return GatewaySettings(
            name=name,
            zone=zone,
            listen=f"127.0.0.1:{next(self.ports)}",
            ready_listen=f"127.0.0.1:{next(self.ports)}",
            peer_listen=f"127.0.0.1:{next(self.ports)}",
            store=self.store.address,
            seeds=seeds,
            retry_ratio=0.2,
            retry_allowance=58.0,
            leave_notice_s=0.0,
            grace_s=1.0,
            log_level="warning",
        )
