"""Metrics of deletions of server entries that hosts hold back."""

from __future__ import annotations

from collections.abc import Callable

from aioprometheus import Counter, Gauge, Histogram, Registry

# A deferral lasts up to ``LAPSE_GRACE_S`` and a watch of the store; longer ones show a fault.
DEFERRAL_BUCKETS_S = [0.1, 0.5, 1.0, 1.5, 2.0, 2.5, 3.0, 4.0, 6.0, 10.0, 20.0]


class DeletionMetrics:
    """Deferred deletions, and attempts at their servers.

    Parameters
    ----------
    queue_observation : callable
        Hands an update to the task of the metrics.
    """

    __slots__ = ("attempts", "deferral_seconds", "deferred", "queue_observation")

    def __init__(
        self, *, registry: Registry, queue_observation: Callable[[Callable[[], None]], None]
    ) -> None:
        self.queue_observation = queue_observation
        self.deferred = Gauge(
            "rhubarbway_deferred_deletions",
            "Deletions of servers that this host knows and has not applied yet.",
            registry=registry,
        )
        self.deferral_seconds = Histogram(
            "rhubarbway_deletion_deferral_seconds",
            "Time from reading a deferred deletion to the end of its deferral, by reason and end.",
            buckets=DEFERRAL_BUCKETS_S,
            registry=registry,
        )
        self.attempts = Counter(
            "rhubarbway_deleted_server_attempts_total",
            "Attempts at servers whose deletion is known and deferred, by service.",
            registry=registry,
        )

    def set_deferred(self, count: int) -> None:
        """Record the number of deferred deletions."""
        self.queue_observation(lambda: self.deferred.set({}, count))

    def observe_deferral(self, *, reason: str, end: str, seconds: float) -> None:
        """Record a deferral that has ended."""
        labels = {"reason": reason, "end": end}
        self.queue_observation(lambda: self.deferral_seconds.observe(labels, seconds))

    def count_attempt(self, *, service: str) -> None:
        """Count an attempt at a server whose deletion is deferred."""
        self.queue_observation(lambda: self.attempts.inc({"service": service}))
