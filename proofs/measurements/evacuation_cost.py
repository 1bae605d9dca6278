"""Processor time of a host to begin and to end an evacuation, by the number of servers.

Run with ``python -m proofs.measurements.evacuation_cost``. The servers are spread over 12 zones,
and no connections are open.
"""

from __future__ import annotations

import time

from rhubarbway.model import StoreItem
from rhubarbway.services.registry import RegistryService
from rhubarbway.services.server_pool import ServerCodec
from rhubarbway.services.servers import ServerService
from rhubarbway_standins.platform.entries import server_entry, server_key

SERVER_COUNTS = (1_000, 4_000, 16_000, 44_000)
ZONES = 12
SERVERS_PER_SERVICE = 132


def unused(*_: object, **__: object) -> None:
    """Stand in for the wire format, which no request uses."""


def entry(number: int) -> StoreItem:
    """Return the entry of a server."""
    value = server_entry(
        service=f"s{number // SERVERS_PER_SERVICE}",
        address=f"10.{number % 5}.{number // 250 % 250}.{number % 250}:80",
        zone=f"zone-{number % ZONES}",
        born_ms=7,
        sequence=1,
    )
    key = server_key(f"i-{number:010x}")
    return StoreItem(key=key, value=value, revision=number + 1)


def measure(server_count: int) -> list[float]:
    """Return the processor time of the begin and of the end of an evacuation, milliseconds."""
    registry = RegistryService()
    registry.servers = ServerService(codec=ServerCodec(encode=unused, decode=unused))
    items = [entry(number) for number in range(server_count)]
    registry.apply_changes(items, revision=server_count, whole=True, complete=True, source="")
    times_ms = []
    for revision, value in ((server_count + 1, b"{}"), (server_count + 2, None)):
        change = StoreItem(key="op/evacuate/zone-3", value=value, revision=revision)
        began_at = time.process_time()
        registry.apply_changes([change], revision=revision, whole=False, complete=True, source="")
        times_ms.append((time.process_time() - began_at) * 1000)
    return times_ms


def main() -> None:
    """Print the times."""
    for server_count in SERVER_COUNTS:
        begin_ms, end_ms = measure(server_count)
        print(f"{server_count:6} servers: begin {begin_ms:.1f} ms, end {end_ms:.1f} ms")


if __name__ == "__main__":
    main()
