"""The scenarios; each prints its figures and goals, with the mechanism on and off."""

from __future__ import annotations

import signal
import time
from typing import Any

import msgspec

from proofs.measurements.figures import Figures, quantile_ms
from proofs.measurements.load import (
    CallResult,
    closed_direct_load,
    closed_load,
    open_load,
)
from proofs.measurements.rig import JOB, Rig, one_service, running
from rhubarbway.edge.json_codec import decode_json
from rhubarbway.edge.wire import SubQueryBody
from rhubarbway_standins.backend import ReplicaSpec
from rhubarbway_standins.deployments import DEPLOYMENTS
from rhubarbway_standins.processes import call_json

SHARDS = 15
COVERAGE_POLICY = {"deadline_ms": 2000, "min_coverage": 0.0, "prefer": "coverage"}
LATENCY_POLICY = {"deadline_ms": 1000, "min_coverage": 0.5, "prefer": "latency"}


# The service time is several times what the shared machine adds at random, and the rate stays far
# below what one entry host carries, so that figures show the policy and not the machine.
SERVICE_MS = 20.0
RATE = 10.0


def show(label: str, value: object, goal: str = "") -> None:
    """Print one figure."""
    print(f"  {label}: {value}{f'  [goal {goal}]' if goal else ''}", flush=True)


def measured(
    rig: Rig, *, rate: float, seconds: float, seed: int, **options: Any
) -> list[CallResult]:
    """Return the results of an open load on the one service of a rig."""
    return open_load(rig.addresses, [JOB], rate=rate, seconds=seconds, seed=seed, **options)


def hedging(seed: int, seconds: float) -> None:
    """1 sub-query in 100 takes 50 times as long; 15 shards, one entry host."""
    p99: dict[str, float] = {}
    for label, probability, without in (
        ("no stragglers", 0.0, ""),
        ("stragglers, hedging off", 0.01, "hedging"),
        ("stragglers, hedging on", 0.01, ""),
    ):

        def straggle(spec: ReplicaSpec, probability: float = probability) -> None:
            spec.straggle_probability = probability

        for name, policy in (("coverage", COVERAGE_POLICY), ("latency", LATENCY_POLICY)):
            deployment = one_service(
                shards=SHARDS, policy=policy, entry_hosts=9, service_ms=SERVICE_MS
            )
            with running(
                deployment, started_hosts=1, without=without, seed=seed, change=straggle
            ) as rig:
                rig.warm_up([JOB], rate=RATE, seconds=6)
                before = rig.received()
                results = measured(rig, rate=RATE, seconds=seconds, seed=seed)
                sent = (rig.received() - before) / (SHARDS * len(results))
                figures = Figures(results, needed=SHARDS)
            p99[f"{label}, prefers {name}"] = figures.p99
            show(f"{label}, prefers {name}", figures)
            show("  sub-queries received per needed", f"{sent:.4f}", "at most 1.03")
    for name in ("coverage", "latency"):
        ratio = (
            p99[f"stragglers, hedging on, prefers {name}"] / p99[f"no stragglers, prefers {name}"]
        )
        show(f"p99 ratio, prefers {name}", f"{ratio:.2f}", "at most 1.25")


def faulty(
    seed: int, seconds: float, *, group: str, number: signal.Signals, victim: str, factor: int
) -> None:
    """Stop or kill one group of replicas in the middle of the load."""
    for label, without in (("mechanisms on", ""), ("ejection and hedging off", "ejection,hedging")):
        deployment = one_service(
            shards=SHARDS,
            policy=COVERAGE_POLICY,
            entry_hosts=9,
            one_way_ms=3.0,
            service_ms=SERVICE_MS,
        )
        with running(deployment, started_hosts=3, without=without, group=group, seed=seed) as rig:
            rig.warm_up([JOB], rate=2 * RATE, seconds=6)
            normal = Figures(
                measured(rig, rate=2 * RATE, seconds=seconds, seed=seed), needed=SHARDS
            )
            process = rig.backends[victim]
            results = measured(
                rig,
                rate=2 * RATE,
                seconds=seconds,
                seed=seed + 1,
                at_second={0.5: lambda process=process: process.send(number)},
            )
            late = [result for result in results if result.at >= 0.5]
            after = Figures(late, needed=SHARDS)
        show(f"{label}, before", normal)
        show(f"{label}, from the fault on", after, "lowest coverage 1.0")
        show("  p99 ratio", f"{after.p99 / normal.p99:.2f}", f"at most {factor}")


def frozen(seed: int, seconds: float) -> None:
    """One replica of each shard is stopped with its port open."""
    faulty(seed, seconds, group="number", number=signal.SIGSTOP, victim="0", factor=2)


def zone_lost(seed: int, seconds: float) -> None:
    """All replicas of one zone are killed."""
    faulty(seed, seconds, group="zone", number=signal.SIGKILL, victim="b", factor=3)


# Nine slots of a shard at 150 ms carry 60 queries a second, far less than three entry hosts do.
OVERLOAD_SERVICE_MS = 150.0
OVERLOAD_POLICY = {"deadline_ms": 2000, "min_coverage": 0.5, "prefer": "latency"}
OVERLOAD_SECONDS = 10.0
USUAL_RATE = 15.0


def overload(seed: int, seconds: float) -> None:
    """Three times the rate that the servers can carry for 10 s."""
    off = "admission,retry_budget,adaptive_limit"
    overload_with(seed, "mechanisms on")
    overload_with(seed, "admission, budget and adaptive limit off", without=off)


def resend(seed: int, seconds: float) -> None:
    """The same overload; callers send a refused request again, up to 3 times."""
    overload_with(seed, "after the time that the refusal names", resends=3)
    overload_with(seed, "at once", resends=3, obedient=False)


def overload_with(
    seed: int, label: str, *, without: str = "", resends: int = 0, obedient: bool = True
) -> None:
    """Run one overload and print its figures."""
    deployment = one_service(
        shards=SHARDS,
        policy=OVERLOAD_POLICY,
        entry_hosts=9,
        service_ms=OVERLOAD_SERVICE_MS,
    )
    with running(deployment, started_hosts=3, without=without, seed=seed) as rig:
        rig.warm_up([JOB], rate=USUAL_RATE, seconds=4)
        before = Figures(measured(rig, rate=USUAL_RATE, seconds=5, seed=seed), needed=SHARDS)
        peak = 0.0
        for rate in (40, 50, 60):
            results = measured(rig, rate=rate, seconds=4, seed=seed)
            good = [r for r in results if useful(r) and r.at + r.latency <= 4.0]
            peak = max(peak, len(good) / 4.0)
            time.sleep(1.0)
        base = rig.received()
        results = measured(
            rig,
            rate=USUAL_RATE,
            rate_of=lambda at, peak=peak: 3 * peak if at < OVERLOAD_SECONDS else USUAL_RATE,
            seconds=OVERLOAD_SECONDS + 7.0,
            seed=seed,
            resends=resends,
            obedient=obedient,
        )
        sent = rig.received() - base
    end = OVERLOAD_SECONDS
    during = [result for result in results if result.at < end]
    after = [result for result in results if result.at >= end + 2.0]
    good = [r for r in during if useful(r) and 1.0 < r.at + r.latency <= end]
    refused = [r for r in during if r.kind == "overloaded"]
    show(f"{label}: peak of useful answers", f"{peak:.1f} a second")
    show(
        "  useful answers during overload",
        f"{len(good) / (end - 1.0):.1f} a second "
        f"({len(good) / (end - 1.0) / peak:.2f} of the peak)",
        "0.95 of the peak",
    )
    show("  all of the overload", Figures(during, needed=SHARDS))
    if refused:
        latencies = [r.latency for r in refused]
        show(
            "  time to a refusal",
            f"p50 {quantile_ms(latencies, 50):.1f} ms, " f"p99 {quantile_ms(latencies, 99):.1f} ms",
        )
        proven = sum(r.ran == "not_run" for r in refused)
        show("  refusals that say not_run", f"{proven}/{len(refused)}")
    ran = sum(r.kind != "overloaded" for r in results) * SHARDS
    show("  sub-queries received per needed", f"{sent / max(1, ran):.3f}", "at most 1.1")
    show("  before the overload", before)
    show("  from 2 s after its end", Figures(after, needed=SHARDS), "as before")


def useful(result: CallResult) -> bool:
    """Whether a caller got an answer before its deadline."""
    return result.answered and result.latency <= OVERLOAD_POLICY["deadline_ms"] / 1000


def overhead(seed: int, seconds: float) -> None:
    """Time added to a query, and rate, against a client that calls the 15 shards itself."""
    deployment = one_service(shards=SHARDS, policy=COVERAGE_POLICY, entry_hosts=9)
    with running(deployment, started_hosts=1, seed=seed, processes=5) as rig:
        rig.warm_up([JOB], rate=30, seconds=4)
        first = [spec for spec in rig.deployment.replicas if spec.name.endswith("-0")]
        for callers in (1, 4, 16):
            # The two take turns, so that other load on the machine meets both.
            direct: list[float] = []
            through: list[float] = []
            for _ in range(3):
                direct += closed_direct_load(
                    direct_targets(first), callers=callers, seconds=seconds / 6
                )
                results = closed_load(rig.addresses, JOB, callers=callers, seconds=seconds / 6)
                through += [result.latency for result in results if result.answered]
            ratio = len(through) / len(direct)
            show(
                f"{callers} callers: direct",
                f"{len(direct) / seconds * 2:.0f}/s, p50 {quantile_ms(direct, 50):.2f} ms, "
                f"p99 {quantile_ms(direct, 99):.2f} ms",
            )
            show(
                f"{callers} callers: through the entry host",
                f"{len(through) / seconds * 2:.0f}/s, p50 {quantile_ms(through, 50):.2f} ms, "
                f"p99 {quantile_ms(through, 99):.2f} ms",
            )
            show(
                "  added",
                f"p50 {quantile_ms(through, 50) - quantile_ms(direct, 50):.2f} ms, "
                f"p99 {quantile_ms(through, 99) - quantile_ms(direct, 99):.2f} ms",
            )
            show("  ratio of rates", f"{ratio:.2f}", "0.7 or more")


def direct_targets(specs: list[ReplicaSpec]) -> list[tuple[str, bytes]]:
    """Return URL and body of one call to each replica."""
    return [
        (
            f"http://{spec.address}/v1/subquery",
            msgspec.json.encode(
                SubQueryBody(
                    attempt="direct/0000000000000000/1",
                    service=spec.service,
                    layout=spec.layout,
                    shard=spec.shard,
                    snapshot=spec.snapshots[-1],
                    deadline_ms=2000,
                    unsafe=False,
                    payload=msgspec.Raw(b'{"q":1}'),
                )
            ),
        )
        for spec in specs
    ]


JOBS = {
    "scoica-neagra": ["desk-lots", "tanks-oysters", "carriers-today", "buyers-open"],
    "dinas-kaligrafi": ["lookup-family", "receipts-today", "scribes-queue", "dispatch-today"],
}


def deployments(seed: int, seconds: float) -> None:
    """Both example deployments at their sizes, quiet and with a frozen process of replicas."""
    for name, made in DEPLOYMENTS.items():
        deployment = made()
        for label, fault in (("quiet", False), ("1 in 100 straggles, a sixth frozen", True)):

            def straggle(spec: ReplicaSpec, fault: bool = fault) -> None:
                spec.straggle_probability = 0.01 if fault else 0.0

            with running(
                deployment,
                started_hosts=deployment.entry_hosts,
                processes=6,
                seed=seed,
                change=straggle,
            ) as rig:
                rig.warm_up(JOBS[name], rate=40, seconds=6)
                before = rig.received()
                if fault:
                    rig.backends["3"].send(signal.SIGSTOP)
                results = open_load(rig.addresses, JOBS[name], rate=40, seconds=seconds, seed=seed)
                if fault:
                    rig.backends["3"].send(signal.SIGCONT)
                    time.sleep(1.0)
                received = rig.received() - before
            show_deployment(name, label, rig, results, received)


def show_deployment(
    name: str, label: str, rig: Rig, results: list[CallResult], received: int
) -> None:
    """Print the figures of one deployment."""
    needed_of: dict[str, int] = {}
    value_of: dict[str, float] = {}
    for job in JOBS[name]:
        prefix = job.partition("-")[0]
        declared = next(p for p in rig.deployment.document["prefixes"] if p["prefix"] == prefix)
        service = next(
            s for s in rig.deployment.document["services"] if s["name"] == declared["service"]
        )
        needed_of[job] = len(service["shards"])
        value_of[job] = service["value"]
    offered = sum(value_of[r.job] for r in results)
    served = sum(value_of[r.job] * r.coverage for r in results if r.answered)
    needed = sum(needed_of[r.job] for r in results)
    show(f"{name}, {label}", Figures(results, needed=needed / len(results)))
    show("  value served per value asked (times coverage)", f"{served / offered:.4f}")
    show("  sub-queries received per needed", f"{received / needed:.3f}")
    for job in JOBS[name]:
        of_job = [result for result in results if result.job == job]
        show(f"  {job}", Figures(of_job, needed=needed_of[job]))


def limits(seed: int, seconds: float) -> None:
    """Nine entry hosts, replicas with 3 slots: connections, sheds and the adaptive limit."""
    for label, without in (("adaptive limit on", ""), ("adaptive limit off", "adaptive_limit")):
        deployment = one_service(
            shards=5, policy=LATENCY_POLICY, entry_hosts=9, service_ms=30.0, one_way_ms=3.0
        )
        with running(deployment, started_hosts=9, without=without, seed=seed) as rig:
            rig.warm_up([JOB], rate=60, seconds=3)
            results = measured(rig, rate=240, seconds=seconds, seed=seed)
            counters = [reported(spec) for spec in rig.deployment.replicas]
        show(label, Figures(results, needed=5))
        refused = sum(found["connections_refused"] for found in counters)
        show("  connections refused by replicas", refused, "0")
        show("  sub-queries shed", sum(found["shed"] for found in counters))
        show("  sub-queries received", sum(found["received"] for found in counters))


def reported(spec: ReplicaSpec) -> dict[str, int]:
    """Return the counters of a replica."""
    return decode_json(call_json(spec.address, "GET", "/control").body)


SCENARIOS = {
    "hedging": hedging,
    "frozen": frozen,
    "zone": zone_lost,
    "limits": limits,
    "overload": overload,
    "resend": resend,
    "overhead": overhead,
    "deployments": deployments,
}
