"""Status of a gateway for operators, served on the address of its metrics."""

from __future__ import annotations

import math
import time

from werkzeug.wrappers import Request, Response

from rhubarbway.edge.json_codec import encode_json
from rhubarbway.kernel import Kernel
from rhubarbway.services.fleet import FleetService
from rhubarbway.services.gateway import GatewayService
from rhubarbway.services.metrics_endpoint import MetricsEndpoint
from rhubarbway.services.names import (
    FLEET,
    GATEWAY,
    METRICS_ENDPOINT,
    REGISTRY,
    ROUTING,
    SERVERS,
)
from rhubarbway.services.registry import RegistryService
from rhubarbway.services.routing import RoutingService
from rhubarbway.services.servers import ServerService

STATUS_PATH = "/v1/status"
READY_PATH = "/v1/ready"
JSON_CONTENT_TYPE = "application/json"


class GatewayStatus:
    """Describes what a gateway believes: configuration, copy of the store, servers, evacuations.

    Parameters
    ----------
    name, zone : str
        Name and availability zone of the host.
    """

    __slots__ = ("fleet", "gateway", "name", "registry", "routing", "servers", "zone")

    def __init__(self, *, name: str, zone: str) -> None:
        self.name = name
        self.zone = zone
        self.fleet: FleetService
        self.gateway: GatewayService
        self.registry: RegistryService
        self.routing: RoutingService
        self.servers: ServerService

    def start(self, kernel: Kernel) -> None:
        """Register the paths at the address of the metrics."""
        self.fleet = kernel.find(FLEET)
        self.gateway = kernel.find(GATEWAY)
        self.registry = kernel.find(REGISTRY)
        self.routing = kernel.find(ROUTING)
        self.servers = kernel.find(SERVERS)
        endpoint: MetricsEndpoint = kernel.find(METRICS_ENDPOINT)
        endpoint.handlers[STATUS_PATH] = self.answer_status
        endpoint.handlers[READY_PATH] = self.gateway.respond_ready

    def stop(self) -> None:
        """Keep answering; the endpoint stops by itself."""

    def answer_status(self, request: Request) -> Response:
        """Return the status as JSON."""
        return Response(encode_json(self.status()), content_type=JSON_CONTENT_TYPE)

    def status(self) -> dict[str, object]:
        """Return the status document; times are seconds, and the age of the copy null without one.

        ``store_era`` is 0 if the store states none. After a restore of the store,
        ``states_kept`` is the number of keys whose state is of an earlier era, and
        ``items_withheld`` that of listed items that are not in force.

        The age of an evacuation, and of a deletion that is not applied yet, counts from when this
        host learned of it.
        """
        now = time.monotonic()
        age_s = self.registry.copy_age_s()
        era, kept_count, withheld_count = self.registry.eras.summary()
        with self.servers.lock:
            evacuated = self.servers.evacuated_zones.ages_s(now=now)
            in_use = self.servers.count_by_zone()
            deletions = self.servers.deferred_deletions
        return {
            "name": self.name,
            "zone": self.zone,
            "leaving": self.gateway.leaving.is_set(),
            "configuration_version": self.routing.version,
            "store_copy_age_s": round(age_s, 3) if math.isfinite(age_s) else None,
            "store_era": era,
            "states_kept": kept_count,
            "items_withheld": withheld_count,
            "reads_store": self.fleet.is_reader(has_copy=self.registry.complete, copy_age_s=age_s),
            "evacuated_zones": {zone: round(age, 3) for zone, age in evacuated.items()},
            "servers_in_use": in_use,
            "deferred_deletions": {server: round(now - at, 3) for server, at in deletions.items()},
        }
