"""Metrics of restores of the store from an older copy."""

from __future__ import annotations

from collections.abc import Callable

from aioprometheus import Counter, Gauge, Registry


class EraMetrics:
    """Era of the store's copy, and what a restore has left in doubt.

    Parameters
    ----------
    queue_observation : callable
        Hands an update to the task of the metrics.
    """

    __slots__ = ("era", "kept", "queue_observation", "restores", "withheld")

    def __init__(
        self, *, registry: Registry, queue_observation: Callable[[Callable[[], None]], None]
    ) -> None:
        self.queue_observation = queue_observation
        self.era = Gauge(
            "rhubarbway_store_era",
            "Era of the store that this host's copy belongs to; 0 if the store states none.",
            registry=registry,
        )
        self.restores = Counter(
            "rhubarbway_store_restores_total",
            "Restores of the store from an older copy that this host has learned of.",
            registry=registry,
        )
        self.kept = Gauge(
            "rhubarbway_states_kept_after_restore",
            "Keys whose state is kept from before a restore, since the store lacks them.",
            registry=registry,
        )
        self.withheld = Gauge(
            "rhubarbway_items_withheld_after_restore",
            "Listed items that are not in force, since a later state was known before a restore.",
            registry=registry,
        )

    def record(self, *, era: int, missing: int, withheld: int, restored: bool) -> None:
        """Record the present state, and with ``restored`` a restore."""

        def update() -> None:
            self.era.set({}, era)
            self.kept.set({}, missing)
            self.withheld.set({}, withheld)
            if restored:
                self.restores.inc({})

        self.queue_observation(update)
