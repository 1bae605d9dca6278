"""Limit of the requests to a cold server, which all entry hosts keep without counting together.

A server that has just started, or that has turned cold later, crashes if it gets many more requests
in a second than its service states. A bounded set of hosts sends to it, chosen by rendezvous hash
among the hosts of the server's zone, and each of them keeps to a fixed part of the limit. Hosts
outside of the zone send nothing, so that hosts on the two sides of a partition between zones do not
choose two sets.

References
----------
Envoy, "Slow start mode", raises the weight of a new endpoint over time. It limits no rate.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Collection, Mapping

from rhubarbway.decisions.rendezvous import rendezvous_hash
from rhubarbway.model import BackendServer

# Part of the limit that the chosen hosts use together. The rest is left to hosts that count
# themselves among the chosen ones because they do not know of others yet, and to requests that
# leave a busy host later than they were permitted.
USED_FRACTION = 0.5
# A host gets at most this part of the rate, so that one that wrongly counts itself among the chosen
# hosts adds little.
MIN_SHARING_HOSTS = 8
# Length of the window in which the requests of a host to a cold server are counted, seconds.
WINDOW_S = 1.0


def total_share(rate: float, *, overshoot: float, slack: float) -> int:
    """Return the number of requests in a second that the chosen hosts may send together.

    Examples
    --------
    >>> total_share(6.0, overshoot=1.5, slack=5.0), total_share(0.5, overshoot=1.0, slack=0.0)
    (7, 0)
    """
    return int((rate * overshoot + slack) * USED_FRACTION)


def host_share(total: int, host_count: int) -> tuple[int, int]:
    """Return the number of chosen hosts, and the requests in a second that each of them may send.

    Examples
    --------
    >>> [host_share(total, 23) for total in (0, 7, 40, 100)], host_share(40, 3)
    ([(0, 0), (7, 1), (23, 1), (23, 4)], (3, 5))
    """
    chosen = min(total, host_count)
    if chosen == 0:
        return 0, 0
    return chosen, max(1, total // max(chosen, MIN_SHARING_HOSTS))


class ColdShares:
    """This host's part of the limit of each cold server.

    Parameters
    ----------
    address, zone : str
        Address and zone of this host.
    overshoot, slack : float
        Limit of the requests that all hosts send to a cold server in any second: the rate of its
        service times ``overshoot``, plus ``slack``.

    Attributes
    ----------
    rates : mapping of str to float
        Requests per second that a cold server tolerates, by service; a service without an entry
        has no limit.
    zone_hosts : collection of str or None
        Addresses of the hosts of this zone, this one included; None until the membership is known.
    """

    __slots__ = ("address", "overshoot", "rates", "shares", "slack", "zone", "zone_hosts")

    def __init__(
        self, *, address: str, zone: str, overshoot: float = 1.0, slack: float = 0.0
    ) -> None:
        self.address = address
        self.zone = zone
        self.overshoot = overshoot
        self.slack = slack
        self.rates: Mapping[str, float] = {}
        self.zone_hosts: Collection[str] | None = None
        # By server id and service; forgotten when the rates or the hosts change.
        self.shares: dict[tuple[str, str], float] = {}

    def set_rates(self, rates: Mapping[str, float]) -> None:
        """Set the rates of a new configuration."""
        self.rates = dict(rates)
        self.shares = {}

    def set_zone_hosts(self, addresses: Collection[str] | None) -> None:
        """Set the hosts of this zone."""
        if addresses != self.zone_hosts:
            self.zone_hosts = addresses
            self.shares = {}

    def share(self, server: BackendServer) -> float:
        """Return how many requests this host may send to a cold server in a second.

        Infinite if the service has no limit.
        """
        # Read before the values that it is computed from, so that a share which was computed from
        # replaced values is not kept with the new ones.
        shares = self.shares
        rate = self.rates.get(server.service)
        if rate is None:
            return float("inf")
        if server.zone != self.zone or self.zone_hosts is None:
            return 0.0
        key = (server.id, server.service)
        share = shares.get(key)
        if share is None:
            share = shares[key] = self.compute_share(server.id, rate, self.zone_hosts)
        return share

    def compute_share(self, server_id: str, rate: float, zone_hosts: Collection[str]) -> float:
        """Return this host's share of one server of its zone."""
        total = total_share(rate, overshoot=self.overshoot, slack=self.slack)
        chosen_count, share = host_share(total, len(zone_hosts))
        own_hash = rendezvous_hash(self.address, key=server_id)
        rank = sum(rendezvous_hash(name, key=server_id) > own_hash for name in zone_hosts)
        return float(share) if rank < chosen_count else 0.0


class ColdRequestLimit:
    """The requests that this host has sent to one server while it was cold, and their limit.

    The pool of the server guards it with a lock.

    Parameters
    ----------
    share : callable
        Returns how many requests this host may send in a second; infinite without a limit.

    Examples
    --------
    >>> limit = ColdRequestLimit(share=lambda: 1.0)
    >>> limit.record_sent(0.0)
    >>> limit.free_at(0.9), limit.free_at(1.1)
    (1.0, 1.1)
    """

    __slots__ = ("sent_at", "share")

    def __init__(self, *, share: Callable[[], float]) -> None:
        self.share = share
        # Instants of the requests of the last second, the oldest first.
        self.sent_at: deque[float] = deque()

    def is_limited(self) -> bool:
        """Whether the service has a limit."""
        return self.share() < float("inf")

    def free_at(self, now: float) -> float:
        """Return the instant from which a request may be sent; infinite if none ever may."""
        share = self.share()
        if share == float("inf"):
            return now
        while self.sent_at and now - self.sent_at[0] >= WINDOW_S:
            self.sent_at.popleft()
        if share < 1.0:
            return float("inf")
        excess = len(self.sent_at) - int(share)
        return now if excess < 0 else self.sent_at[excess] + WINDOW_S

    def record_sent(self, now: float) -> None:
        """Count a request that is sent now."""
        self.sent_at.append(now)


def no_limit() -> float:
    """Return the share of a host without a limit."""
    return float("inf")
