"""Costs of configuration and membership: calls, gossip, processor time, by number of entry hosts.

The daemons run without callers. Their manifest names one replica that does not run.
"""

from __future__ import annotations

import tempfile
import time
import tracemalloc
from pathlib import Path
from random import Random

from proofs.entry_host_fleet import EntryHostFleet
from proofs.slopes.fit import LinearFit
from proofs.slopes.process import processor_seconds, resident_mb
from rhubarbway.decisions.membership import Membership
from rhubarbway.edge.json_codec import decode_json, encode_json
from rhubarbway.model import MemberRecord, MemberState
from rhubarbway.services.manifest import ManifestService
from rhubarbway.services.metrics import MetricsService
from rhubarbway_standins.processes import call_json

# Numbers of entry hosts that are measured.
FLEET_SIZES = (9, 30, 100)
MEASUREMENT_S = 8.0
# Wait before the measurement, seconds, by number of entry hosts: daemons that have just started
# still propagate each other's records.
SETTLING_S_BY_HOSTS = {9: 4.0, 30: 8.0, 100: 20.0}
# Manifest versions published to measure the propagation time.
PUBLICATIONS = 3
READY_TIMEOUT_S = 90.0
# Bytes of the HTTP heads of one gossip exchange, without TCP and IP: request line and headers, plus
# status line and headers of the reply.
HEADER_BYTES = 109 + 70
# Numbers of replicas in a manifest, and of records in a membership view, that are measured.
REPLICA_COUNTS = (500, 2000, 6000)
RECORD_COUNTS = (500, 2000, 8000)
# Entry hosts and replicas to which the fits are extrapolated, and 38,000 manifest changes a day.
TARGET_HOSTS = 7800
TARGET_REPLICAS = 44_000
TARGET_CHANGES_PER_S = 38_000 / 86_400
# Limits at these sizes: calls of all hosts to the configuration service or to the host list, all
# else for one host.
MAX_CALLS_PER_S = 2000.0
MAX_BYTES_PER_S = 5000.0
MAX_CPU_PERCENT = 1.0
MAX_MEMORY_MB = 256.0


class FleetCost:
    """Cost of one fleet size: the calls are those of all hosts, all else is for one host.

    ``calls`` (of the configuration service), ``list_calls`` (of the host list) and ``exchanges``
    are numbers a second; ``cpu`` is in percent of a core. ``propagation_s`` is the longest time
    from a publication until the version is in force on a host.
    """

    __slots__ = (
        "bytes_per_s",
        "calls",
        "cpu",
        "exchanges",
        "list_calls",
        "rss_mb",
        "propagation_s",
    )

    def __init__(
        self,
        *,
        calls: float,
        list_calls: float,
        exchanges: float,
        bytes_per_s: float,
        cpu: float,
        rss_mb: float,
        propagation_s: float,
    ) -> None:
        self.calls = calls
        self.list_calls = list_calls
        self.exchanges = exchanges
        self.bytes_per_s = bytes_per_s
        self.cpu = cpu
        self.rss_mb = rss_mb
        self.propagation_s = propagation_s


def measure_fleet(count: int) -> FleetCost:
    """Start a fleet, wait until it has settled, and measure it."""
    with (
        tempfile.TemporaryDirectory(prefix="rhubarbway-") as directory,
        EntryHostFleet(directory=Path(directory), count=count, shards=1) as fleet,
    ):
        fleet.fleet.start_platform()
        fleet.publish()
        for name in fleet.names:
            fleet.start_host(name, log_level="error")
        fleet.wait_until_in_force(fleet.version, timeout_s=READY_TIMEOUT_S)
        time.sleep(SETTLING_S_BY_HOSTS[count])
        propagation_times_s = []
        for _ in range(PUBLICATIONS):
            propagation_times_s += fleet.wait_until_in_force(
                fleet.publish(), timeout_s=READY_TIMEOUT_S
            ).values()
        time.sleep(2.0)
        pids = [fleet.process(name).process.pid for name in fleet.names]
        before = read_counters(fleet)
        cpu_before = sum(map(processor_seconds, pids))
        started = time.monotonic()
        time.sleep(MEASUREMENT_S)
        seconds = time.monotonic() - started
        cpu = sum(map(processor_seconds, pids)) - cpu_before
        after = read_counters(fleet)
        calls, list_calls, exchanges, body_bytes = (
            (late - early) / seconds for early, late in zip(before, after, strict=True)
        )
        # Both hosts of an exchange count it, because each sends and receives a message.
        return FleetCost(
            calls=calls,
            list_calls=list_calls,
            exchanges=exchanges / count,
            bytes_per_s=(body_bytes + exchanges * HEADER_BYTES) / count,
            cpu=100 * cpu / seconds / count,
            rss_mb=sum(map(resident_mb, pids)) / count,
            propagation_s=max(propagation_times_s),
        )


def read_counters(fleet: EntryHostFleet) -> tuple[int, int, int, int]:
    """Return the counters of a fleet.

    These are the calls of the configuration service and of the host list, and the gossip exchanges
    and body bytes of all hosts.
    """
    service = decode_json(
        call_json(fleet.fleet.config_service_address, "GET", "/control/calls").body
    )
    hosts = decode_json(call_json(fleet.fleet.host_list_address, "GET", "/control/calls").body)
    views = [fleet.peer_view(name) for name in fleet.names]
    return (
        service["calls"],
        hosts["calls"],
        sum(view["exchanges"] for view in views),
        sum(view["bytes"] for view in views),
    )


def large_manifest(replicas: int, version: int) -> dict:
    """Return a manifest with this number of replicas, three for each shard.

    Two versions differ in the slots of one replica each.
    """
    random = Random(replicas)
    members = [
        {
            "name": f"r{number}",
            "address": f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:9000",
            "zone": f"zone-{random.randrange(12)}",
            "slots": 3,
            "connections": 30,
        }
        for number in range(replicas)
    ]
    members[version % replicas]["slots"] = 3 + version
    return {
        "version": version,
        "tenants": [{"name": "t", "policy": {"deadline_ms": 160}}],
        "services": [
            {
                "name": "s",
                "tenant": "t",
                "layout": "l",
                "shards": [
                    {"index": index, "replicas": members[3 * index : 3 * index + 3]}
                    for index in range(replicas // 3)
                ],
            }
        ],
        "prefixes": [
            {"prefix": "p", "status": "current", "service": "s", "meaning": "m", "origin": "o"}
        ],
        "entry_hosts": [{"name": "e0", "address": "10.0.0.1:1", "zone": "zone-0"}],
    }


def manifest_service() -> ManifestService:
    """Return a manifest service that puts versions into force at once, without a floor check."""
    service = ManifestService(name="e0", check_floor=False)
    service.metrics = MetricsService()
    return service


def measure_change(replicas: int) -> tuple[float, float, int, int]:
    """Send one manifest change as a delta from one manifest service to another.

    Returns processor seconds of sender and receiver, and bytes of delta and document.
    """
    sender, receiver = manifest_service(), manifest_service()
    first, second = (encode_json(large_manifest(replicas, version)) for version in (1, 2))
    sender.offer(first, source="slopes")
    receiver.offer(first, source="slopes")
    sender.offer(second, source="slopes")
    started = time.process_time()
    latest, patch = sender.delta_from(*receiver.held_version_key)
    sent = time.process_time() - started
    started = time.process_time()
    assert receiver.offer_delta(base_version=1, patch=patch, digest=latest.digest, source="slopes")
    return sent, time.process_time() - started, len(patch), len(second)


def membership_mb(records: int) -> float:
    """Return the memory of a membership view with this number of records, MB."""
    tracemalloc.start()
    names = [f"host-{number}" for number in range(records)]
    view = Membership(own=member_record("host-0", 0))
    view.set_published(names, neighbours=names[1:5])
    for number, name in enumerate(names[1:]):
        view.merge(member_record(name, number), now=0.0, wall_ms=0)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return size / 1e6


def member_record(name: str, number: int) -> MemberRecord:
    """Return the membership record of a running host."""
    return MemberRecord(
        name=name,
        incarnation=f"{number:016x}",
        started_ms=1_700_000_000_000 + number,
        heartbeat=number,
        state=MemberState.ALIVE,
    )


def main() -> None:
    """Measure fleets, manifest changes and membership views; print points and extrapolated fits."""
    costs = []
    for count in FLEET_SIZES:
        cost = measure_fleet(count)
        costs.append(cost)
        print(
            f"{count} hosts: {cost.calls:.2f} watch calls/s, {cost.list_calls:.2f} list calls/s, "
            f"{cost.exchanges:.2f} exchanges/s, {cost.bytes_per_s:.0f} B/s, {cost.cpu:.2f} % "
            f"of a core, {cost.rss_mb:.1f} MB, "
            f"in force everywhere after {cost.propagation_s:.3f} s",
            flush=True,
        )
    for name, unit, attribute, limit in (
        ("configuration service", "calls/s", "calls", MAX_CALLS_PER_S),
        ("host list", "calls/s", "list_calls", MAX_CALLS_PER_S),
        ("gossip of a host", "B/s", "bytes_per_s", MAX_BYTES_PER_S),
        ("processor time of a host", "% of a core", "cpu", MAX_CPU_PERCENT),
        ("memory of a host", "MB", "rss_mb", MAX_MEMORY_MB),
    ):
        values = [getattr(cost, attribute) for cost in costs]
        fit = LinearFit(name=name, unit=unit, sizes=FLEET_SIZES, values=values)
        print(fit.report(TARGET_HOSTS, limit=limit), flush=True)
    changes = [measure_change(replicas) for replicas in REPLICA_COUNTS]
    for name, unit, column, scale, limit in (
        ("sending a change", "% of a core", 0, 100 * TARGET_CHANGES_PER_S, MAX_CPU_PERCENT),
        ("taking in a change", "% of a core", 1, 100 * TARGET_CHANGES_PER_S, MAX_CPU_PERCENT),
        ("deltas", "B/s", 2, TARGET_CHANGES_PER_S, MAX_BYTES_PER_S),
        ("document", "B", 3, 1.0, 1024.0 * 1024),
    ):
        values = [scale * change[column] for change in changes]
        fit = LinearFit(name=name, unit=unit, sizes=REPLICA_COUNTS, values=values)
        print(fit.report(TARGET_REPLICAS, limit=limit), flush=True)
    fit = LinearFit(
        name="membership view",
        unit="MB",
        sizes=RECORD_COUNTS,
        values=[membership_mb(records) for records in RECORD_COUNTS],
    )
    print(fit.report(TARGET_HOSTS, limit=MAX_MEMORY_MB), flush=True)
