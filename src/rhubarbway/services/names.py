"""Typed keys under which services register in the kernel and find each other."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rhubarbway.kernel import ServiceKey

if TYPE_CHECKING:
    from rhubarbway.services.backends import BackendService
    from rhubarbway.services.caller_memory import CallerMemoryService
    from rhubarbway.services.crashes import CrashService
    from rhubarbway.services.crashing_requests import CrashingRequestService
    from rhubarbway.services.delegation import DelegationService
    from rhubarbway.services.fleet import FleetService
    from rhubarbway.services.forwarding import ForwardingService
    from rhubarbway.services.frontend import FrontendService
    from rhubarbway.services.gateway import GatewayService
    from rhubarbway.services.gateway_status import GatewayStatus
    from rhubarbway.services.invariants import InvariantService
    from rhubarbway.services.log import LogService
    from rhubarbway.services.manifest import ManifestService
    from rhubarbway.services.manifest_exchange import ManifestExchange
    from rhubarbway.services.metrics import MetricsService
    from rhubarbway.services.metrics_endpoint import MetricsEndpoint
    from rhubarbway.services.peers import PeerService
    from rhubarbway.services.platform import PlatformService
    from rhubarbway.services.queries import QueryService
    from rhubarbway.services.registry import RegistryService
    from rhubarbway.services.routing import RoutingService
    from rhubarbway.services.servers import ServerService
    from rhubarbway.services.settings_reload import SettingsReload
    from rhubarbway.services.slices import SliceService
    from rhubarbway.services.store_reader import StoreReader
    from rhubarbway.services.tokens import TokenService

LOG: ServiceKey[LogService] = ServiceKey("log")
METRICS: ServiceKey[MetricsService] = ServiceKey("metrics")
MANIFEST: ServiceKey[ManifestService] = ServiceKey("manifest")
BACKENDS: ServiceKey[BackendService] = ServiceKey("backends")
CRASHES: ServiceKey[CrashService] = ServiceKey("crashes")
QUERIES: ServiceKey[QueryService] = ServiceKey("queries")
SLICES: ServiceKey[SliceService] = ServiceKey("slices")
TOKENS: ServiceKey[TokenService] = ServiceKey("tokens")
MANIFEST_EXCHANGE: ServiceKey[ManifestExchange] = ServiceKey("manifest_exchange")
PEERS: ServiceKey[PeerService] = ServiceKey("peers")
PLATFORM: ServiceKey[PlatformService] = ServiceKey("platform")
FRONTEND: ServiceKey[FrontendService] = ServiceKey("frontend")
ROUTING: ServiceKey[RoutingService] = ServiceKey("routing")
SERVERS: ServiceKey[ServerService] = ServiceKey("servers")
REGISTRY: ServiceKey[RegistryService] = ServiceKey("registry")
STORE_READER: ServiceKey[StoreReader] = ServiceKey("store_reader")
FORWARDING: ServiceKey[ForwardingService] = ServiceKey("forwarding")
GATEWAY: ServiceKey[GatewayService] = ServiceKey("gateway")
DELEGATION: ServiceKey[DelegationService] = ServiceKey("delegation")
FLEET: ServiceKey[FleetService] = ServiceKey("fleet")
GATEWAY_STATUS: ServiceKey[GatewayStatus] = ServiceKey("gateway_status")
CALLER_MEMORY: ServiceKey[CallerMemoryService] = ServiceKey("caller_memory")
METRICS_ENDPOINT: ServiceKey[MetricsEndpoint] = ServiceKey("metrics_endpoint")
INVARIANTS: ServiceKey[InvariantService] = ServiceKey("invariants")
# The key equals the component of the service's log lines, which operators search for.
CRASHING_REQUESTS: ServiceKey[CrashingRequestService] = ServiceKey("losses")
SETTINGS: ServiceKey[SettingsReload] = ServiceKey("settings")
