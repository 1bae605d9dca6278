"""Service that holds the routing table in force and never returns to a lower version."""

from __future__ import annotations

import threading
from collections.abc import Callable

from rhubarbway.decisions.route_choice import RouteIndex, WeightedRoundRobin
from rhubarbway.kernel import Kernel
from rhubarbway.model import Route, RoutingTable
from rhubarbway.services.invariants import Expect
from rhubarbway.services.log import component_logger
from rhubarbway.services.names import INVARIANTS


class TableInForce:
    """A routing table with its index. A request keeps it to the end, even if the table changes."""

    __slots__ = ("index", "table")

    def __init__(self, *, table: RoutingTable) -> None:
        self.table = table
        self.index = RouteIndex(table.routes)


class RoutingService:
    """Holds the routing table in force and calls the listeners when it changes."""

    __slots__ = ("expect", "highest_version", "in_force", "listeners", "lock", "log", "splits")

    def __init__(self) -> None:
        self.in_force: TableInForce | None = None
        self.expect: Expect
        # Highest version that has been in force, for the invariant that versions only increase.
        self.highest_version = 0
        self.listeners: list[Callable[[RoutingTable], None]] = []
        self.lock = threading.Lock()
        self.splits = WeightedRoundRobin()
        self.log = component_logger("routing")

    def start(self, kernel: Kernel) -> None:
        """Find the service that broken invariants are reported to."""
        self.expect = kernel.find(INVARIANTS).expect

    def stop(self) -> None:
        """Keep the table, since requests in flight still use it."""

    @property
    def version(self) -> int:
        """Version of the table in force, 0 before the first table."""
        current = self.in_force
        return current.table.version if current else 0

    def offer(self, table: RoutingTable, *, source: str) -> bool:
        """Put a table into force if it is newer than the current one; return whether it was.

        Parameters
        ----------
        source : str
            Origin of the table, for the log.
        """
        with self.lock:
            before = self.version
            if table.version <= before:
                return False
            self.expect(
                table.version > self.highest_version,
                "older_configuration",
                version=table.version,
                highest=self.highest_version,
                source=source,
            )
            self.in_force = TableInForce(table=table)
            self.highest_version = max(self.highest_version, table.version)
            self.splits.retain_routes(route.name for route in table.routes)
        self.log.info(
            "Configuration in force.",
            version=table.version,
            replaced=before,
            source=source,
            routes=len(table.routes),
        )
        for listener in self.listeners:
            listener(table)
        return True

    def next_service(self, route: Route) -> str:
        """Return the service for the next request of a route without shards.

        Each call advances the traffic split of the route.
        """
        with self.lock:
            return self.splits.next_service(route.name, route.split)
