"""Metrics of servers that all entry hosts share: cold ones, and resets of new connections."""

from __future__ import annotations

from collections.abc import Callable

from aioprometheus import Counter, Gauge, Registry


class SharedServerMetrics:
    """Counters and a gauge; ``queue_observation`` hands their updates to the task of the metrics.

    Attributes
    ----------
    count_cold_servers : callable
        Returns the number of cold servers with a limit; called at each scrape.
    """

    __slots__ = (
        "cold_attempts",
        "cold_servers",
        "count_cold_servers",
        "queue_observation",
        "reset_connections",
    )

    def __init__(
        self, *, registry: Registry, queue_observation: Callable[[Callable[[], None]], None]
    ) -> None:
        self.queue_observation = queue_observation
        self.count_cold_servers: Callable[[], int] = lambda: 0
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
        """Set the gauge, for a scrape that follows."""
        count = self.count_cold_servers()
        self.queue_observation(lambda: self.cold_servers.set({}, count))

    def count_cold_attempt(self, *, service: str, result: str) -> None:
        """Count an attempt at a cold server."""
        labels = {"service": service, "result": result}
        self.queue_observation(lambda: self.cold_attempts.inc(labels))

    def count_reset(self, *, service: str) -> None:
        """Count a connection that its server has reset before the first reply."""
        self.queue_observation(lambda: self.reset_connections.inc({"service": service}))
