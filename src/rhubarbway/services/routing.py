"""The routing table in force; a lower version never replaces a higher one."""

from __future__ import annotations

import threading
from collections.abc import Callable

from rhubarbway.decisions.route_choice import RouteIndex, SplitSchedule
from rhubarbway.kernel import Kernel
from rhubarbway.model import Route, RoutingTable
from rhubarbway.services.invariants import Expect
from rhubarbway.services.log import component_logger
from rhubarbway.services.names import INVARIANTS


class TableInForce:
    """A table with its index; a request uses one of them from beginning to end."""

    __slots__ = ("index", "table")

    def __init__(self, *, table: RoutingTable) -> None:
        self.table = table
        self.index = RouteIndex(table.routes)


class RoutingService:
    """Holds the table in force and tells the listeners when it changes."""

    __slots__ = ("expect", "highest", "in_force", "listeners", "lock", "log", "splits")

    def __init__(self) -> None:
        self.in_force: TableInForce | None = None
        self.expect: Expect
        # Highest version that was ever in force.
        self.highest = 0
        self.listeners: list[Callable[[RoutingTable], None]] = []
        self.lock = threading.Lock()
        self.splits = SplitSchedule()
        self.log = component_logger("routing")

    def start(self, kernel: Kernel) -> None:
        """Find where broken invariants are reported."""
        self.expect = kernel.find(INVARIANTS).expect

    def stop(self) -> None:
        """Keep the table: requests in flight still use it."""

    @property
    def version(self) -> int:
        """Version in force, 0 before the first one."""
        current = self.in_force
        return current.table.version if current else 0

    def offer(self, table: RoutingTable, *, source: str) -> bool:
        """Put a table into force if it is newer, and return whether it was.

        Parameters
        ----------
        source : str
            Where the table came from, for the log.
        """
        with self.lock:
            before = self.version
            if table.version <= before:
                return False
            self.expect(
                table.version > self.highest,
                "older_configuration",
                version=table.version,
                highest=self.highest,
                source=source,
            )
            self.in_force = TableInForce(table=table)
            self.highest = max(self.highest, table.version)
            self.splits.keep_only(route.name for route in table.routes)
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

    def service_of(self, route: Route) -> str:
        """Return the service that the next request of a route without shards goes to."""
        with self.lock:
            return self.splits.next_service(route.name, route.split)
