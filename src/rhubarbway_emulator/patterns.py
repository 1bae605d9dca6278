"""Named load patterns: the requests of callers and the faults of servers."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from random import Random

from rhubarbway_emulator.cold_servers import WARM_UP_OVERSHOOT, WARM_UP_SLACK
from rhubarbway_emulator.request_kinds import (
    ALERT,
    CATALOGUE_SWEEP,
    LARGE_ALERT,
    LARGE_SWEEP,
    PRESS_LOOKUP,
    SHARED_CARD,
    SHARED_PEEK,
    SHARED_SWEEP,
    SWEEP,
    UNEVEN_LOOKUP,
    UNEVEN_SWEEP,
    WIDE_ALERT,
    WIDE_SWEEP,
    RequestKind,
)
from rhubarbway_emulator.server_load import OtherWork
from rhubarbway_emulator.servers import QUEUE_LIMIT, FaultPhase

# Begin and end of a burst that does not occur, seconds.
NEVER = float("inf")

# Returns the fault phases of a server from the index of its shard and its index in the shard.
FaultPhases = Callable[[int, int], Sequence[FaultPhase]]


def no_faults(shard: int, index: int) -> Sequence[FaultPhase]:
    """Return no fault phases."""
    return ()


def slow_shards(
    *, shards: Sequence[int], slowdown: float, begin_s: float, end_s: float
) -> FaultPhases:
    """Return fault phases in which all servers of some shards are slow."""

    def phases(shard: int, index: int) -> Sequence[FaultPhase]:
        return (
            [FaultPhase(begin_s=begin_s, end_s=end_s, slowdown=slowdown)] if shard in shards else ()
        )

    return phases


def slow_servers(
    *, shards: Sequence[int], slowdown: float, begin_s: float, end_s: float
) -> FaultPhases:
    """Return fault phases in which one server of each given shard is slow."""

    def phases(shard: int, index: int) -> Sequence[FaultPhase]:
        # The affected server is in another zone from shard to shard; there are three zones.
        is_affected = shard in shards and index == shard % 3
        return [FaultPhase(begin_s=begin_s, end_s=end_s, slowdown=slowdown)] if is_affected else ()

    return phases


def refusing_servers(
    *,
    server_share: float,
    refusal_probability: float,
    begin_s: float,
    end_s: float,
    quiet_s: float = 0.0,
) -> FaultPhases:
    """Return fault phases in which a share of all servers refuse requests at random.

    After a refusal they want no requests for ``quiet_s``.
    """

    def phases(shard: int, index: int) -> Sequence[FaultPhase]:
        # Spread irregularly over shards and zones, so that no policy can exploit a regular pattern.
        is_affected = (shard * 37 + index * 61) % 100 < server_share * 100
        phase = FaultPhase(
            begin_s=begin_s,
            end_s=end_s,
            refusal_probability=refusal_probability,
            quiet_s=quiet_s,
        )
        return [phase] if is_affected else ()

    return phases


def leaving_servers(*, shards: Sequence[int], begin_s: float, serve_s: float) -> FaultPhases:
    """Return fault phases in which one server of some shards announces that it leaves, and ends.

    It serves for ``serve_s`` after it has begun to announce it.
    """

    def phases(shard: int, index: int) -> Sequence[FaultPhase]:
        if shard not in shards or index != shard % 3:
            return ()
        end_s = begin_s + serve_s
        return [
            FaultPhase(begin_s=begin_s, end_s=end_s, leaving=True),
            FaultPhase(begin_s=end_s, end_s=NEVER, slowdown=float("inf")),
        ]

    return phases


def scattered_slow_servers(
    *, server_share: float, slowdown: float, begin_s: float, end_s: float
) -> FaultPhases:
    """Return fault phases in which a share of all servers is slow, so that shards differ."""

    def phases(shard: int, index: int) -> Sequence[FaultPhase]:
        is_affected = Random(f"{shard}/{index}").random() < server_share
        return [FaultPhase(begin_s=begin_s, end_s=end_s, slowdown=slowdown)] if is_affected else ()

    return phases


class Evacuation:
    """Period in which the servers of a zone are to get no requests."""

    __slots__ = ("begin_s", "end_s", "zone")

    def __init__(self, *, zone: str, begin_s: float, end_s: float) -> None:
        self.zone = zone
        self.begin_s = begin_s
        self.end_s = end_s


# Requests per second that a cold server of the patterns below tolerates.
COLD_RATE = 2.0


def zone_returns(
    *, zone_count: int, begin_s: float, return_s: float, cold_s: float, slowdown: float = 1.6
) -> FaultPhases:
    """Return fault phases in which the servers of a zone are down and come back together, cold."""

    def phases(shard: int, index: int) -> Sequence[FaultPhase]:
        if (shard + index) % zone_count:
            return ()
        return [
            FaultPhase(begin_s=begin_s, end_s=return_s, slowdown=float("inf")),
            FaultPhase(
                begin_s=return_s,
                end_s=return_s + cold_s,
                slowdown=slowdown,
                tolerated_per_s=limit_of_cold_server(COLD_RATE),
                is_restart=True,
            ),
        ]

    return phases


def zones_down(*, zones: Sequence[int], zone_count: int, begin_s: float) -> FaultPhases:
    """Return fault phases in which the servers of some zones are down from an instant on."""

    def phases(shard: int, index: int) -> Sequence[FaultPhase]:
        if (shard + index) % zone_count not in zones:
            return ()
        return [FaultPhase(begin_s=begin_s, end_s=NEVER, slowdown=float("inf"))]

    return phases


def servers_turn_cold(*, share: float, begin_s: float, cold_s: float) -> FaultPhases:
    """Return fault phases in which a share of all servers turn cold while they serve."""

    def phases(shard: int, index: int) -> Sequence[FaultPhase]:
        if (shard * 37 + index * 61) % 100 >= share * 100:
            return ()
        return [
            FaultPhase(
                begin_s=begin_s,
                end_s=begin_s + cold_s,
                slowdown=1.6,
                tolerated_per_s=limit_of_cold_server(COLD_RATE),
            )
        ]

    return phases


def limit_of_cold_server(rate: float) -> float:
    """Return the requests in a second that all hosts may send to a cold server."""
    return rate * WARM_UP_OVERSHOOT + WARM_UP_SLACK


class Pattern:
    """Load of callers on a deployment, and the faults of its servers.

    Attributes
    ----------
    zones : tuple of int
        Number of entry hosts in each zone.
    server_zones : int or None
        Number of zones in which each shard has a server; None for all. Which zones these are
        rotates with the shard.
    shards, slots : int
        Number of shards, and number of requests that a server runs at a time.
    pause_s, pause_interval_s : float
        Duration of the periodic pauses of each server, and time between their starts.
    burst : tuple of (float, float, float)
        Begin and end of a period with a higher request rate, seconds, and the factor of the rate.
    evacuation : Evacuation or None
        Evacuation of a zone, which each host learns of within a second.
    burst_factors : mapping of str to float
        Factors of the rate in that period by kind of request, in place of the common one.
    queue_limit : int
        Requests that may wait for a slot of a server.
    strong_hosts, strong_cores : int, float
        Number of hosts in each zone that have a larger processor, and their cores.
    send_cpu_s, reply_cpu_s : float
        CPU time of a host for each attempt sent and each reply read, seconds; less on a host with
        a larger processor.
    weak_cores : float
        Cores of the other hosts.
    retry_allowance, cross_zone_delay_s : float
        See ``HostConfig``.
    connection_cap : int or None
        Connections that a server accepts from all hosts together; None for no cap.
    warm_up_rate : float or None
        Requests per second that cold servers tolerate, as the hosts know it; None for no limit.
    speeds : tuple of float
        Speeds of the replicas of a service; which replica has which rotates with the shard.
    other_work : OtherWork
        Work of other programs on the machines of the servers.
    single_replicas, single_slots : int
        Number of replicas of the service without shards, and slots of each.
    servers_state_load : bool
        See ``HostConfig``.
    knowledge_age_s : tuple of (float, float)
        Least and greatest age of the reports that a host receives from others, seconds.
    """

    __slots__ = (
        "burst",
        "burst_factors",
        "connection_cap",
        "cross_zone_delay_s",
        "duration_s",
        "evacuation",
        "faults",
        "kinds",
        "knowledge_age_s",
        "other_work",
        "pause_interval_s",
        "pause_s",
        "queue_limit",
        "reply_cpu_s",
        "retry_allowance",
        "send_cpu_s",
        "server_zones",
        "servers_state_load",
        "shards",
        "single_replicas",
        "single_slots",
        "slots",
        "speeds",
        "strong_cores",
        "strong_hosts",
        "title",
        "warm_up_rate",
        "weak_cores",
        "zones",
    )

    def __init__(
        self,
        *,
        title: str,
        kinds: Sequence[RequestKind] = (SWEEP, ALERT),
        zones: tuple[int, ...] = (4, 3, 2),
        server_zones: int | None = None,
        shards: int = 10,
        slots: int = 3,
        pause_s: float = 0.2,
        pause_interval_s: float = 4.5,
        faults: FaultPhases = no_faults,
        burst: tuple[float, float, float] = (NEVER, NEVER, 1.0),
        evacuation: Evacuation | None = None,
        burst_factors: Mapping[str, float] | None = None,
        queue_limit: int = QUEUE_LIMIT,
        duration_s: float = 20.0,
        send_cpu_s: float = 0.0004,
        reply_cpu_s: float = 0.0004,
        retry_allowance: float = 58.0,
        strong_hosts: int = 0,
        strong_cores: float = 2.15,
        weak_cores: float = 1.07,
        warm_up_rate: float | None = None,
        connection_cap: int | None = None,
        cross_zone_delay_s: float = 0.0044,
        speeds: tuple[float, ...] = (1.0,),
        other_work: OtherWork | None = None,
        single_replicas: int = 0,
        single_slots: int = 3,
        servers_state_load: bool = False,
        knowledge_age_s: tuple[float, float] = (1.0, 1.0),
    ) -> None:
        self.connection_cap = connection_cap
        self.warm_up_rate = warm_up_rate
        self.servers_state_load = servers_state_load
        self.cross_zone_delay_s = cross_zone_delay_s
        self.speeds = speeds
        self.other_work = other_work or OtherWork()
        self.single_replicas = single_replicas
        self.single_slots = single_slots
        self.knowledge_age_s = knowledge_age_s
        self.strong_hosts = strong_hosts
        self.strong_cores = strong_cores
        self.weak_cores = weak_cores
        self.title = title
        self.kinds = kinds
        self.zones = zones
        self.server_zones = len(zones) if server_zones is None else server_zones
        self.shards = shards
        self.slots = slots
        self.pause_s = pause_s
        self.pause_interval_s = pause_interval_s
        self.faults = faults
        self.burst = burst
        self.evacuation = evacuation
        self.burst_factors = burst_factors
        self.queue_limit = queue_limit
        self.duration_s = duration_s
        self.send_cpu_s = send_cpu_s
        self.reply_cpu_s = reply_cpu_s
        self.retry_allowance = retry_allowance


# 36 shards with one server in each of three zones, and 90 entry hosts with half a core each.
WIDE_DEPLOYMENT = {
    "kinds": (WIDE_SWEEP, WIDE_ALERT),
    "zones": (31, 29, 30),
    "shards": 36,
    "slots": 4,
    "send_cpu_s": 0.0008,
    "reply_cpu_s": 0.0005,
    "retry_allowance": 220.0,
    "strong_hosts": 2,
    "weak_cores": 0.516,
}

# 42 shards, each with servers in three of five zones, and 195 entry hosts, each of which gets a
# request every four seconds.
LARGE_DEPLOYMENT = {
    "kinds": (LARGE_SWEEP, LARGE_ALERT),
    "zones": (37, 40, 40, 36, 42),
    "server_zones": 3,
    "shards": 42,
    "slots": 3,
    "send_cpu_s": 0.0008,
    "reply_cpu_s": 0.0005,
    "retry_allowance": 430.0,
    "duration_s": 12.0,
    "strong_hosts": 3,
    "weak_cores": 0.516,
}

# 70 hosts, otherwise as ``WIDE_DEPLOYMENT``.
SEVENTY_HOSTS = WIDE_DEPLOYMENT | {"zones": (24, 23, 23), "duration_s": 16.0}
ZONE_RETURNS = {"begin_s": 4.0, "return_s": 7.0, "cold_s": 3.0}
# Without a limit, twice the usual requests make cold servers crash.
COLD_BURST = (7.0, 10.0, 2.0)

# 36 shards with 3 servers of 4 slots each, and 70 entry hosts. Two kinds of request of different
# priority share all servers.
PRIORITY_DEPLOYMENT = {
    "kinds": (CATALOGUE_SWEEP, PRESS_LOOKUP),
    "zones": (23, 23, 24),
    "shards": 36,
    "slots": 4,
    "connection_cap": 67,
    "queue_limit": 24,
    "send_cpu_s": 0.0008,
    "reply_cpu_s": 0.0005,
    "retry_allowance": 180.0,
    "strong_hosts": 2,
    "weak_cores": 0.516,
    "duration_s": 16.0,
}
# Begin and end of the bursts of ``PRIORITY_DEPLOYMENT``, seconds.
BURST_SPAN = (6.0, 11.0)

# 70 hosts and 36 shards on servers of three speeds; a host gets a request every 1.4 s.
UNEVEN_DEPLOYMENT = {
    "kinds": (UNEVEN_SWEEP, UNEVEN_LOOKUP),
    "zones": (24, 23, 23),
    "shards": 36,
    "slots": 4,
    "queue_limit": 24,
    "speeds": (0.8, 1.0, 1.3),
    "send_cpu_s": 0.0008,
    "reply_cpu_s": 0.0005,
    "retry_allowance": 180.0,
    "strong_hosts": 2,
    "weak_cores": 0.516,
    "knowledge_age_s": (0.1, 3.0),
    "duration_s": 16.0,
}

# 106 hosts and 36 shards on servers that share their machines, and a service without shards whose
# replicas are not spread evenly over the hosts.
SHARED_DEPLOYMENT = {
    "kinds": (SHARED_SWEEP, SHARED_PEEK, SHARED_CARD),
    "zones": (36, 35, 35),
    "shards": 36,
    "slots": 4,
    "queue_limit": 24,
    "pause_s": 0.1,
    "pause_interval_s": 2.4,
    "speeds": (0.8, 1.0, 1.3),
    "other_work": OtherWork(share=0.15, slowdown=2.5, period_s=0.6),
    "send_cpu_s": 0.0008,
    "reply_cpu_s": 0.0005,
    "cross_zone_delay_s": 0.0014,
    "retry_allowance": 276.0,
    "strong_hosts": 2,
    "weak_cores": 0.516,
    "single_replicas": 3,
    "knowledge_age_s": (0.1, 3.0),
    "duration_s": 16.0,
}
PATTERNS = {
    "calm": Pattern(title="servers that pause for 200 ms every 4.5 s"),
    "slow-servers": Pattern(
        title="one server of each of three shards ten times slower for 8 s",
        faults=slow_servers(shards=(1, 4, 7), slowdown=10.0, begin_s=6.0, end_s=14.0),
    ),
    "slow-shards": Pattern(
        title="all servers of two of ten shards nine times slower for 6 s",
        faults=slow_shards(shards=(2, 5), slowdown=9.0, begin_s=6.0, end_s=12.0),
    ),
    "dark-shard": Pattern(
        title="all servers of one shard down for 5 s",
        faults=slow_shards(shards=(3,), slowdown=float("inf"), begin_s=6.0, end_s=11.0),
    ),
    "burst": Pattern(title="three times the request rate for 5 s", burst=(8.0, 13.0, 3.0)),
    # The normal rate keeps a quarter of the slots busy, so seven times that rate is nearly
    # twice the capacity.
    "overload": Pattern(title="twice the capacity of all servers for 5 s", burst=(8.0, 13.0, 7.0)),
    "refusing-servers": Pattern(
        title="a third of the servers refuse 60 % of their requests for 8 s",
        faults=refusing_servers(
            server_share=0.34, refusal_probability=0.6, begin_s=6.0, end_s=14.0
        ),
    ),
    "quiet-servers": Pattern(
        title="a third of the servers refuse 60 % of their requests and ask for 2 s without any",
        faults=refusing_servers(
            server_share=0.34, refusal_probability=0.6, begin_s=6.0, end_s=14.0, quiet_s=2.0
        ),
    ),
    "leaving-servers": Pattern(
        title="one server of each of six shards announces that it leaves, and ends 5 s later",
        faults=leaving_servers(shards=range(6), begin_s=6.0, serve_s=5.0),
    ),
    "evacuated-zone": Pattern(
        title="one of three zones is evacuated for 8 s",
        evacuation=Evacuation(zone="z0", begin_s=6.0, end_s=14.0),
    ),
    "evacuated-zone-burst": Pattern(
        title="one of three zones is evacuated for 8 s, and twice the request rate for 5 s of them",
        evacuation=Evacuation(zone="z0", begin_s=6.0, end_s=14.0),
        burst=(8.0, 13.0, 2.0),
    ),
    "evacuated-last-zone": Pattern(
        title="the zone with the only servers of four of ten shards is evacuated for 8 s",
        evacuation=Evacuation(zone="z0", begin_s=6.0, end_s=14.0),
        server_zones=1,
    ),
    "wide-evacuated-zone": Pattern(
        title="36 shards and 90 hosts, one of three zones is evacuated for 8 s",
        evacuation=Evacuation(zone="z0", begin_s=6.0, end_s=14.0),
        **WIDE_DEPLOYMENT,
    ),
    "wide-refusing-servers": Pattern(
        title="36 shards, half of the servers refuse 60 % of their requests for 8 s",
        faults=refusing_servers(server_share=0.5, refusal_probability=0.6, begin_s=6.0, end_s=14.0),
        **WIDE_DEPLOYMENT,
    ),
    "wide": Pattern(title="36 shards and 90 hosts with half a core each", **WIDE_DEPLOYMENT),
    "large": Pattern(
        title="42 shards in five zones and 195 hosts, most of them with half a core",
        **LARGE_DEPLOYMENT,
    ),
    "large-slow-servers": Pattern(
        title="42 shards and 195 hosts, one server of every third shard five times slower for 6 s",
        faults=slow_servers(shards=range(0, 42, 3), slowdown=5.0, begin_s=4.0, end_s=10.0),
        **LARGE_DEPLOYMENT,
    ),
    "zone-returns-cold": Pattern(
        title="70 hosts, the servers of a zone down for 3 s and cold for 3 s after their return, "
        "with twice the requests",
        faults=zone_returns(zone_count=3, **ZONE_RETURNS),
        burst=COLD_BURST,
        warm_up_rate=COLD_RATE,
        **SEVENTY_HOSTS,
    ),
    "zone-stays-away": Pattern(
        title="70 hosts, the servers of a zone down for 6 s, with twice the requests in the end",
        faults=zone_returns(zone_count=3, begin_s=4.0, return_s=10.0, cold_s=0.0),
        burst=COLD_BURST,
        **SEVENTY_HOSTS,
    ),
    "large-zone-returns-cold": Pattern(
        title="195 hosts, the servers of a zone down for 3 s and cold for 3 s after their return",
        faults=zone_returns(zone_count=5, **ZONE_RETURNS),
        warm_up_rate=COLD_RATE,
        **LARGE_DEPLOYMENT,
    ),
    "two-zones-down": Pattern(
        title="70 hosts without delegates, servers of two zones down, 67 connections each",
        faults=zones_down(zones=(0, 1), zone_count=3, begin_s=4.0),
        connection_cap=67,
        **SEVENTY_HOSTS | {"strong_hosts": 0},
    ),
    "servers-turn-cold": Pattern(
        title="70 hosts, 30 % of the servers turn cold for 4 s while they serve",
        faults=servers_turn_cold(share=0.3, begin_s=6.0, cold_s=4.0),
        warm_up_rate=COLD_RATE,
        **SEVENTY_HOSTS,
    ),
    "wide-slow-servers": Pattern(
        title="36 shards, one server of every other shard ten times slower for 8 s",
        faults=slow_servers(shards=range(0, 36, 2), slowdown=10.0, begin_s=6.0, end_s=14.0),
        **WIDE_DEPLOYMENT,
    ),
    "priorities": Pattern(
        title="36 shards, 70 hosts and two kinds of different priority", **PRIORITY_DEPLOYMENT
    ),
    "burst-least-urgent": Pattern(
        title="2.5 times the least urgent kind for 5 s",
        burst=(*BURST_SPAN, 1.0),
        burst_factors={"sweep": 2.5},
        **PRIORITY_DEPLOYMENT,
    ),
    "burst-most-urgent": Pattern(
        title="1.9 times the most urgent kind for 5 s",
        burst=(*BURST_SPAN, 1.0),
        burst_factors={"lookup": 1.9},
        **PRIORITY_DEPLOYMENT,
    ),
    "burst-both": Pattern(
        title="2.5 times the least urgent and 1.9 times the most urgent kind for 5 s",
        burst=(*BURST_SPAN, 1.0),
        burst_factors={"sweep": 2.5, "lookup": 1.9},
        **PRIORITY_DEPLOYMENT,
    ),
    "scarce-slow": Pattern(
        title="4 times the least urgent kind, a third of the servers 6 times slower for 5 s",
        burst=(*BURST_SPAN, 1.0),
        burst_factors={"sweep": 4.0},
        faults=scattered_slow_servers(
            server_share=0.33, slowdown=6.0, begin_s=BURST_SPAN[0], end_s=BURST_SPAN[1]
        ),
        **PRIORITY_DEPLOYMENT,
    ),
    "scarce-dark": Pattern(
        title="4 times the least urgent kind, a third of the servers down for 5 s",
        burst=(*BURST_SPAN, 1.0),
        burst_factors={"sweep": 4.0},
        faults=scattered_slow_servers(
            server_share=0.33,
            slowdown=float("inf"),
            begin_s=BURST_SPAN[0],
            end_s=BURST_SPAN[1],
        ),
        **PRIORITY_DEPLOYMENT,
    ),
    "uneven-servers": Pattern(
        title="70 hosts, 36 shards on servers of three speeds, in calm", **UNEVEN_DEPLOYMENT
    ),
    "uneven-servers-burst": Pattern(
        title="70 hosts, 36 shards on servers of three speeds, four times the rate for 5 s while "
        "one server of every other shard is three times slower",
        faults=slow_servers(shards=range(0, 36, 2), slowdown=3.0, begin_s=6.0, end_s=11.0),
        burst=(6.0, 11.0, 4.0),
        **UNEVEN_DEPLOYMENT,
    ),
    "uneven-servers-stated-load": Pattern(
        title="the same burst on servers that state their load in their replies",
        faults=slow_servers(shards=range(0, 36, 2), slowdown=3.0, begin_s=6.0, end_s=11.0),
        burst=(6.0, 11.0, 4.0),
        servers_state_load=True,
        **UNEVEN_DEPLOYMENT,
    ),
    "short-slowness": Pattern(
        title="70 hosts, 36 shards, one server of each shard six times slower for half a second",
        faults=slow_servers(shards=range(36), slowdown=6.0, begin_s=6.0, end_s=6.5),
        **UNEVEN_DEPLOYMENT,
    ),
    "shared-machines": Pattern(
        title="106 hosts, 36 shards and one service without shards, servers that share machines",
        **SHARED_DEPLOYMENT,
    ),
    "shared-machines-stated-load": Pattern(
        title="the same burst on servers that state their load in their replies",
        burst=(6.0, 11.0, 6.0),
        servers_state_load=True,
        **SHARED_DEPLOYMENT,
    ),
    "shared-machines-burst": Pattern(
        title="106 hosts and servers that share machines, six times the rate for 5 s",
        burst=(6.0, 11.0, 6.0),
        **SHARED_DEPLOYMENT,
    ),
}
