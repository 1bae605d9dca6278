"""Gateways of the users' platform in this process, and the stand-ins of the platform."""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence

from rhubarbway.gateway import build_kernel
from rhubarbway.kernel import Kernel
from rhubarbway.services.names import GATEWAY, ROUTING, SERVERS
from rhubarbway.settings import GatewaySettings
from rhubarbway_standins.platform.site import ZONES, Site
from rhubarbway_standins.processes import free_ports

READY_TIMEOUT_S = 10.0


def wait_until(condition: Callable[[], bool], *, timeout_s: float = READY_TIMEOUT_S) -> None:
    """Wait until a condition holds.

    ``entry_host_fleet.wait_until`` returns False instead of raising an exception.

    Raises
    ------
    TimeoutError
        If it does not hold in time.
    """
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() >= deadline:
            raise TimeoutError(f"{condition} does not hold after {timeout_s} s")
        time.sleep(0.02)


class GatewayFleet:
    """A site and ``hosts`` gateways, all in this process; used as a context manager.

    ``GatewayProcesses`` runs gateways as separate processes, ``Fleet`` runs ``rhubarbwayd``.
    ``cores`` gives the processor of each gateway that the settings state; by default one core.
    """

    def __init__(self, *, hosts: int = 2, shards: int = 4, cores: Sequence[float] = ()) -> None:
        self.cores = list(cores)
        self.ports = free_ports()
        self.site = Site(ports=self.ports, shards=shards)
        self.settings: list[GatewaySettings] = []
        self.kernels: list[Kernel] = []
        for _ in range(hosts):
            self.add_gateway()

    def __enter__(self) -> GatewayFleet:
        for kernel in self.kernels:
            wait_until(lambda kernel=kernel: self.knows_all_replicas(kernel))
        return self

    def __exit__(self, *exception: object) -> None:
        for kernel in self.kernels:
            kernel.stop()
        self.site.__exit__()

    def add_gateway(self) -> Kernel:
        """Start another gateway, with the first two as its seeds."""
        number = len(self.settings)
        settings = self.site.settings(
            f"g{number}",
            zone=ZONES[number % len(ZONES)],
            seeds=[known.peer_listen for known in self.settings[:2]],
        )
        settings.store = self.store_address()
        settings.cpu_speed = self.cores[number] if number < len(self.cores) else 1.0
        kernel = build_kernel(settings)
        kernel.start()
        self.settings.append(settings)
        self.kernels.append(kernel)
        return kernel

    def store_address(self) -> str:
        """Return the address at which the next gateway reaches the store."""
        return self.site.store.address

    def knows_all_replicas(self, kernel: Kernel) -> bool:
        """Whether a gateway is ready and knows all replicas."""
        known = sum(len(pools) for pools in kernel.find(SERVERS).pools_by_service.values())
        return kernel.find(GATEWAY).is_ready() and known == len(self.site.replicas)

    @property
    def addresses(self) -> list[str]:
        """Addresses on which callers reach the gateways."""
        return [settings.listen for settings in self.settings]

    def version(self, number: int) -> int:
        """Return the configuration version in force at a gateway."""
        return self.kernels[number].find(ROUTING).version
