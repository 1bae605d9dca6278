"""Metrics of servers that all entry hosts share: cold ones, and resets of new connections."""

from __future__ import annotations

from collections.abc import Callable

from aioprometheus import Counter, Gauge, Registry


class SharedServerMetrics:
    """Counters and gauges; ``queue_observation`` hands their updates to the task of the metrics.

    Attributes
    ----------
    count_cold_servers : callable
        Returns the number of cold servers with a limit; called at each scrape.
    count_access : callable
        Returns the number of servers by access, of the services with subsets; called likewise.
    """

    __slots__ = (
        "cold_attempts",
        "cold_servers",
        "count_access",
        "count_cold_servers",
        "queue_observation",
        "reset_connections",
        "server_access",
    )

    def __init__(
        self, *, registry: Registry, queue_observation: Callable[[Callable[[], None]], None]
    ) -> None:
        self.queue_observation = queue_observation
        self.count_cold_servers: Callable[[], int] = lambda: 0
        self.count_access: Callable[[], dict[str, int]] = dict
        self.server_access = Gauge(
            "rhubarbway_subset_servers",
            "Servers of services with connection subsets, by access (used, reserve, none).",
            registry=registry,
        )
        self.cold_servers = Gauge(
            "rhubarbway_cold_servers",
            "Cold servers in use whose service limits the requests to them.",
            registry=registry,
        )
        self.cold_attempts = Counter(
            "rhubarbway_cold_server_attempts_total",
            "Attempts at these servers, by service and result (sent, withheld).",
            registry=registry,
        )
        self.reset_connections = Counter(
            "rhubarbway_new_connections_reset_total",
            "Connections that a server reset before their first reply, by service.",
            registry=registry,
        )

    def observe_scrape(self) -> None:
        """Set the gauges, for a scrape that follows."""
        count, access = self.count_cold_servers(), self.count_access()

        def set_gauges() -> None:
            self.cold_servers.set({}, count)
            for name, servers in access.items():
                self.server_access.set({"access": name}, servers)

        self.queue_observation(set_gauges)

    def count_cold_attempt(self, *, service: str, result: str) -> None:
        """Count an attempt at a cold server."""
        labels = {"service": service, "result": result}
        self.queue_observation(lambda: self.cold_attempts.inc(labels))

    def count_reset(self, *, service: str) -> None:
        """Count a connection that its server has reset before the first reply."""
        self.queue_observation(lambda: self.reset_connections.inc({"service": service}))
