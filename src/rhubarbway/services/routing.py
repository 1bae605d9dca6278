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
    """A routing table with its index. A request keeps it to the end, even if the table changes.

    ``era`` is the era of the store in which the table was written or listed.
    """

    __slots__ = ("era", "index", "table")

    def __init__(self, *, table: RoutingTable, era: int = 0) -> None:
        self.table = table
        self.era = era
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

    def offer(self, table: RoutingTable, *, source: str, era: int = 0) -> bool:
        """Put a table into force if it is newer than the current one; return whether it was.

        A table with the version in force and other content is newer if it is of a later era: the
        operator has given the version out again after the store had lost it.

        Parameters
        ----------
        source : str
            Origin of the table, for the log.
        era : int
            Era of the store that the table is from.
        """
        with self.lock:
            before = self.version
            is_rewritten = self.is_rewritten(table, era=era)
            if table.version <= before and not is_rewritten:
                return False
            self.expect(
                table.version > self.highest_version or is_rewritten,
                "older_configuration",
                version=table.version,
                highest=self.highest_version,
                source=source,
            )
            self.in_force = TableInForce(table=table, era=era)
            self.highest_version = max(self.highest_version, table.version)
            self.splits.retain_routes(route.name for route in table.routes)
        if is_rewritten:
            self.log.warning(
                "Configuration version given out again with other content.",
                version=table.version,
                era=era,
                source=source,
            )
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

    def is_rewritten(self, table: RoutingTable, *, era: int) -> bool:
        """Return whether a table is that in force with other content, from a later era."""
        current = self.in_force
        return (
            current is not None
            and table.version == current.table.version
            and era > current.era
            and table.document != current.table.document
        )

    def next_service(self, route: Route) -> str:
        """Return the service for the next request of a route without shards.

        Each call advances the traffic split of the route.
        """
        with self.lock:
            return self.splits.next_service(route.name, route.split)
