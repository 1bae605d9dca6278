"""Cold servers of an emulated run: how hosts learn of them, and what arrives at them."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from random import Random
from typing import TYPE_CHECKING

from rhubarbway.decisions.warm_up import ColdRequestLimit, ColdShares
from rhubarbway_emulator.servers import MAX_ENTRY_DELAY_S, EmulatedServer, FaultPhase

if TYPE_CHECKING:
    from rhubarbway_emulator.hosts import EmulatedHost

# Bounds of the limit, as in the settings of a gateway.
WARM_UP_OVERSHOOT = 1.5
WARM_UP_SLACK = 5.0
# Least time from a change of a server's entry until a host knows it, seconds.
MIN_ENTRY_DELAY_S = 0.1
# Part of the other hosts of its zone that a host does not know of.
UNKNOWN_HOST_FRACTION = 0.1


def schedule_cold_servers(
    hosts: Sequence[EmulatedHost],
    servers: Mapping[str, list[EmulatedServer]],
    *,
    warm_up_rate: float | None,
    random: Random,
) -> None:
    """Give each host its part of the limits, and schedule when it learns of cold servers.

    The memberships that the hosts know differ.
    """
    cold = [
        (server, phase)
        for service_servers in servers.values()
        for server in service_servers
        for phase in server.phases
        if phase.is_restart or phase.tolerated_per_s < float("inf")
    ]
    if not cold:
        return
    for host in hosts:
        shares = ColdShares(
            address=host.name, zone=host.zone, overshoot=WARM_UP_OVERSHOOT, slack=WARM_UP_SLACK
        )
        shares.set_rates(dict.fromkeys(servers, warm_up_rate) if warm_up_rate else {})
        shares.set_zone_hosts(known_zone_hosts(host, random))
        for pools in host.pools.values():
            for pool in pools:
                pool.state.cold_limit = ColdRequestLimit(
                    share=lambda shares=shares, server=pool.server: shares.share(server)
                )
    for server, phase in cold:
        for host in hosts:
            delay_s = random.uniform(MIN_ENTRY_DELAY_S, MAX_ENTRY_DELAY_S)
            host.clock.call_at(phase.begin_s + delay_s, entry_reader(host, server, phase))


def known_zone_hosts(host: EmulatedHost, random: Random) -> list[str]:
    """Return the hosts of its zone that a host knows, itself included."""
    others = [other.name for other in host.fellow_hosts.values() if other.zone == host.zone]
    return [host.name, *(name for name in others if random.random() >= UNKNOWN_HOST_FRACTION)]


def entry_reader(host: EmulatedHost, server: EmulatedServer, phase: FaultPhase):
    """Return a function that applies a changed entry of a server on a host."""

    def apply_entry() -> None:
        pool = next(
            pool for pool in host.pools[server.server.service] if pool.emulated_server is server
        )
        # The entry states the time that was left when it was written.
        pool.apply_entry(warm_up_s=phase.end_s - phase.begin_s)

    return apply_entry


def busiest_cold_second(server: EmulatedServer) -> int:
    """Return the greatest number of arrivals at a cold server in any second."""
    arrivals = server.cold_arrivals
    return max(
        (sum(begin <= one < begin + 1.0 for one in arrivals) for begin in arrivals), default=0
    )
