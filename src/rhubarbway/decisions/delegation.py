"""Choice of the entry host that runs a fan-out: the one that the caller reached, or another one.

A fan-out costs processor time for each shard, and the hosts of a fleet differ: some have several
times the processor of others, and some zones have no servers of a service. The host that the caller
reached may therefore delegate the whole fan-out to a host with more processor time next to the
servers. It passes on the request and relays the answer. Few hosts then run most fan-outs, so that
they know the servers from recent requests and keep connections to them.

Each host computes the choice from what all hosts announce, without an election; hosts that disagree
for a while only use different delegates.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from rhubarbway.decisions.rendezvous import rendezvous_hash

# Processor time of one attempt at a server, and of a delegated request at each of its two hosts, on
# one whole core, seconds (docs/CAPACITY.md).
ATTEMPT_CPU_S = 0.00033
HOP_CPU_S = 0.001
# Round trips between two hosts, seconds.
IN_ZONE_ROUND_TRIP_S = 0.0005
CROSS_ZONE_ROUND_TRIP_S = 0.009
# Price of the traffic for each shard whose servers are all in other zones, as seconds of latency.
REMOTE_SHARD_COST_S = 0.0005
# Least gain for which a fan-out is delegated, seconds: the delegate is one more host that may fail.
MIN_GAIN_S = 0.006
# Delegates whose cost exceeds that of the best by at most this are equally good, seconds.
EQUAL_COST_S = 0.001
# Number of delegates among which a host chooses by their latency. Few, so that it has a connection
# to each and knows its latency; several, because one may be slow or gone.
DELEGATES_PER_HOST = 3


class FanOutHost:
    """An entry host that can run fan-outs.

    Attributes
    ----------
    address : str
        Address for other hosts; also the name of the host.
    zone : str
        Availability zone.
    cores : float
        Processor of the host in whole cores.
    """

    __slots__ = ("address", "cores", "zone")

    def __init__(self, *, address: str, zone: str, cores: float) -> None:
        self.address = address
        self.zone = zone
        self.cores = cores


def fan_out_cost_s(host: FanOutHost, *, shard_count: int, remote_shards: int) -> float:
    """Return what a fan-out costs on a host, as seconds of latency.

    ``remote_shards`` is the number of shards without a server in the zone of the host. One of them
    is enough for a round trip to another zone.

    Examples
    --------
    >>> host = FanOutHost(address="a:1", zone="z", cores=0.5)
    >>> round(fan_out_cost_s(host, shard_count=42, remote_shards=0), 4)
    0.0277
    >>> round(fan_out_cost_s(host, shard_count=42, remote_shards=10), 4)
    0.0417
    """
    round_trip_s = CROSS_ZONE_ROUND_TRIP_S if remote_shards else 0.0
    traffic_s = remote_shards * REMOTE_SHARD_COST_S
    return shard_count * ATTEMPT_CPU_S / host.cores + round_trip_s + traffic_s


def hop_cost_s(own: FanOutHost, delegate: FanOutHost) -> float:
    """Return what it costs to pass a request to another host and its answer back, seconds.

    There are two round trips: for the acknowledgement, and for the request and its answer.
    """
    round_trip_s = IN_ZONE_ROUND_TRIP_S if own.zone == delegate.zone else CROSS_ZONE_ROUND_TRIP_S
    return HOP_CPU_S / own.cores + HOP_CPU_S / delegate.cores + 2 * round_trip_s


def choose_delegates(
    own: FanOutHost,
    others: Iterable[FanOutHost],
    *,
    shard_count: int,
    remote_shards: Callable[[str], int],
) -> list[FanOutHost]:
    """Return the hosts to one of which a fan-out should be delegated; none to run it here.

    Parameters
    ----------
    own : FanOutHost
        The host that the caller reached.
    others : iterable of FanOutHost
        The other hosts that take fan-outs.
    shard_count : int
        Number of shards of the route.
    remote_shards : callable
        Returns the number of shards without a server in a zone.

    Examples
    --------
    >>> small = FanOutHost(address="a:1", zone="x", cores=0.5)
    >>> large = FanOutHost(address="b:1", zone="x", cores=2.0)
    >>> def chosen(shard_count):
    ...     return choose_delegates(
    ...         small, [large], shard_count=shard_count, remote_shards=lambda zone: 0
    ...     )
    >>> [host.address for host in chosen(42)], chosen(10)
    (['b:1'], [])
    """
    own_cost_s = fan_out_cost_s(own, shard_count=shard_count, remote_shards=remote_shards(own.zone))
    costs = [
        (
            fan_out_cost_s(host, shard_count=shard_count, remote_shards=remote_shards(host.zone))
            + hop_cost_s(own, host),
            host,
        )
        for host in others
    ]
    best_s = min((cost_s for cost_s, _ in costs), default=float("inf"))
    if best_s > own_cost_s - MIN_GAIN_S:
        return []
    equal = [host for cost_s, host in costs if cost_s <= best_s + EQUAL_COST_S]
    equal.sort(key=lambda host: rendezvous_hash(host.address, key=own.address), reverse=True)
    return equal[:DELEGATES_PER_HOST]
