"""Scenarios that print figures and goals, with the mechanisms enabled and disabled."""

from __future__ import annotations

import signal
import time
from typing import Any

import msgspec

from proofs.measurements.load import (
    CallResult,
    run_closed_loop,
    run_direct_closed_loop,
    run_open_loop,
)
from proofs.measurements.load_summary import LoadSummary, percentile_ms
from proofs.measurements.running_deployment import (
    JOB,
    RunningDeployment,
    run_deployment,
    single_service_deployment,
)
from rhubarbway.edge.json_codec import decode_json
from rhubarbway.edge.wire import SubQueryBody
from rhubarbway_standins.backend import ReplicaSpec
from rhubarbway_standins.deployments import DEPLOYMENTS
from rhubarbway_standins.processes import call_json

SHARDS = 15
COVERAGE_POLICY = {"deadline_ms": 2000, "min_coverage": 0.0, "prefer": "coverage"}
LATENCY_POLICY = {"deadline_ms": 1000, "min_coverage": 0.5, "prefer": "latency"}


# The service time is several times the random delay of a shared machine, and the rate is far below
# the capacity of one entry host, so that the figures show the policy and not the machine.
SERVICE_MS = 20.0
RATE_PER_S = 10.0


def print_figure(label: str, value: object, goal: str = "") -> None:
    """Print one figure."""
    print(f"  {label}: {value}{f'  [goal {goal}]' if goal else ''}", flush=True)


def measure_load(
    running_deployment: RunningDeployment, *, rate: float, seconds: float, seed: int, **options: Any
) -> list[CallResult]:
    """Return the results of an open-loop load on the single service of a deployment."""
    return run_open_loop(
        running_deployment.addresses, [JOB], rate=rate, seconds=seconds, seed=seed, **options
    )


def hedging(seed: int, seconds: float) -> None:
    """1 sub-query in 100 takes 50 times as long; 15 shards, one entry host."""
    p99_ms: dict[str, float] = {}
    for label, probability, disabled in (
        ("no stragglers", 0.0, ""),
        ("stragglers, hedging off", 0.01, "hedging"),
        ("stragglers, hedging on", 0.01, ""),
    ):

        def straggle(spec: ReplicaSpec, probability: float = probability) -> None:
            spec.straggle_probability = probability

        for name, policy in (("coverage", COVERAGE_POLICY), ("latency", LATENCY_POLICY)):
            deployment = single_service_deployment(
                shards=SHARDS, policy=policy, entry_hosts=9, service_ms=SERVICE_MS
            )
            with run_deployment(
                deployment, started_hosts=1, disabled=disabled, seed=seed, modify_spec=straggle
            ) as running_deployment:
                running_deployment.warm_up([JOB], rate=RATE_PER_S, seconds=6)
                before = running_deployment.sub_queries_received()
                results = measure_load(
                    running_deployment, rate=RATE_PER_S, seconds=seconds, seed=seed
                )
                attempts_per_sub_query = (running_deployment.sub_queries_received() - before) / (
                    SHARDS * len(results)
                )
                load_summary = LoadSummary(results, sub_queries=SHARDS)
            p99_ms[f"{label}, prefers {name}"] = load_summary.p99_ms
            print_figure(f"{label}, prefers {name}", load_summary)
            print_figure(
                "  attempts received per sub-query", f"{attempts_per_sub_query:.4f}", "at most 1.03"
            )
    for name in ("coverage", "latency"):
        ratio = (
            p99_ms[f"stragglers, hedging on, prefers {name}"]
            / p99_ms[f"no stragglers, prefers {name}"]
        )
        print_figure(f"p99 ratio, prefers {name}", f"{ratio:.2f}", "at most 1.25")


def measure_fault(
    seed: int,
    seconds: float,
    *,
    grouping: str,
    signal_number: signal.Signals,
    failing_group: str,
    max_p99_ratio: int,
) -> None:
    """Send a signal to the process of one group of replicas 0.5 s after the start of a load."""
    for label, disabled in (
        ("mechanisms on", ""),
        ("ejection and hedging off", "ejection,hedging"),
    ):
        deployment = single_service_deployment(
            shards=SHARDS,
            policy=COVERAGE_POLICY,
            entry_hosts=9,
            one_way_ms=3.0,
            service_ms=SERVICE_MS,
        )
        with run_deployment(
            deployment, started_hosts=3, disabled=disabled, grouping=grouping, seed=seed
        ) as running_deployment:
            running_deployment.warm_up([JOB], rate=2 * RATE_PER_S, seconds=6)
            normal = LoadSummary(
                measure_load(running_deployment, rate=2 * RATE_PER_S, seconds=seconds, seed=seed),
                sub_queries=SHARDS,
            )
            process = running_deployment.backends[failing_group]
            results = measure_load(
                running_deployment,
                rate=2 * RATE_PER_S,
                seconds=seconds,
                seed=seed + 1,
                scheduled_events={0.5: lambda process=process: process.send_signal(signal_number)},
            )
            late = [result for result in results if result.scheduled_s >= 0.5]
            after = LoadSummary(late, sub_queries=SHARDS)
        print_figure(f"{label}, before", normal)
        print_figure(f"{label}, from the fault on", after, "lowest coverage 1.0")
        print_figure(
            "  p99 ratio", f"{after.p99_ms / normal.p99_ms:.2f}", f"at most {max_p99_ratio}"
        )


def frozen(seed: int, seconds: float) -> None:
    """One replica of each shard is paused; its port still accepts connections."""
    measure_fault(
        seed,
        seconds,
        grouping="number",
        signal_number=signal.SIGSTOP,
        failing_group="0",
        max_p99_ratio=2,
    )


def zone_lost(seed: int, seconds: float) -> None:
    """All replicas of one zone are killed."""
    measure_fault(
        seed,
        seconds,
        grouping="zone",
        signal_number=signal.SIGKILL,
        failing_group="b",
        max_p99_ratio=3,
    )


# The nine slots of a shard serve 60 queries a second at 150 ms, far below the capacity of three
# entry hosts.
OVERLOAD_SERVICE_MS = 150.0
OVERLOAD_POLICY = {"deadline_ms": 2000, "min_coverage": 0.5, "prefer": "latency"}
OVERLOAD_S = 10.0
NORMAL_RATE_PER_S = 15.0


def overload(seed: int, seconds: float) -> None:
    """Three times the rate that the servers can carry for 10 s."""
    disabled = "admission,retry_budget,adaptive_limit"
    measure_overload(seed, "mechanisms on")
    measure_overload(seed, "admission, budget and adaptive limit off", disabled=disabled)


def resend(seed: int, seconds: float) -> None:
    """As in overload, and callers send a refused request again, up to 3 times."""
    measure_overload(seed, "resent after the time that the refusal states", resends=3)
    measure_overload(seed, "resent at once", resends=3, honor_retry_after=False)


def measure_overload(
    seed: int, label: str, *, disabled: str = "", resends: int = 0, honor_retry_after: bool = True
) -> None:
    """Run one overload and print its figures."""
    deployment = single_service_deployment(
        shards=SHARDS,
        policy=OVERLOAD_POLICY,
        entry_hosts=9,
        service_ms=OVERLOAD_SERVICE_MS,
    )
    with run_deployment(
        deployment, started_hosts=3, disabled=disabled, seed=seed
    ) as running_deployment:
        running_deployment.warm_up([JOB], rate=NORMAL_RATE_PER_S, seconds=4)
        before = LoadSummary(
            measure_load(running_deployment, rate=NORMAL_RATE_PER_S, seconds=5, seed=seed),
            sub_queries=SHARDS,
        )
        peak = 0.0
        for rate in (40, 50, 60):
            results = measure_load(running_deployment, rate=rate, seconds=4, seed=seed)
            useful_answers = [
                r for r in results if is_useful(r) and r.scheduled_s + r.latency_s <= 4.0
            ]
            peak = max(peak, len(useful_answers) / 4.0)
            time.sleep(1.0)
        received_before = running_deployment.sub_queries_received()
        results = measure_load(
            running_deployment,
            rate=NORMAL_RATE_PER_S,
            rate_at=lambda at, peak=peak: 3 * peak if at < OVERLOAD_S else NORMAL_RATE_PER_S,
            seconds=OVERLOAD_S + 7.0,
            seed=seed,
            resends=resends,
            honor_retry_after=honor_retry_after,
        )
        received = running_deployment.sub_queries_received() - received_before
    overload_end_s = OVERLOAD_S
    during = [result for result in results if result.scheduled_s < overload_end_s]
    after = [result for result in results if result.scheduled_s >= overload_end_s + 2.0]
    useful_answers = [
        r for r in during if is_useful(r) and 1.0 < r.scheduled_s + r.latency_s <= overload_end_s
    ]
    refused = [r for r in during if r.kind == "overloaded"]
    print_figure(f"{label}: peak rate of useful answers", f"{peak:.1f} a second")
    print_figure(
        "  useful answers during overload",
        f"{len(useful_answers) / (overload_end_s - 1.0):.1f} a second "
        f"({len(useful_answers) / (overload_end_s - 1.0) / peak:.2f} of the peak)",
        "0.95 of the peak",
    )
    print_figure("  all requests during overload", LoadSummary(during, sub_queries=SHARDS))
    if refused:
        latencies = [r.latency_s for r in refused]
        print_figure(
            "  time to a refusal",
            f"p50 {percentile_ms(latencies, 50):.1f} ms, "
            f"p99 {percentile_ms(latencies, 99):.1f} ms",
        )
        not_run = sum(r.ran == "not_run" for r in refused)
        print_figure("  refusals that say not_run", f"{not_run}/{len(refused)}")
    sub_queries = sum(r.kind != "overloaded" for r in results) * SHARDS
    print_figure(
        "  attempts received per sub-query", f"{received / max(1, sub_queries):.3f}", "at most 1.1"
    )
    print_figure("  before the overload", before)
    print_figure("  from 2 s after its end", LoadSummary(after, sub_queries=SHARDS), "as before")


def is_useful(result: CallResult) -> bool:
    """Whether the caller got an answer before the deadline."""
    return result.answered and result.latency_s <= OVERLOAD_POLICY["deadline_ms"] / 1000


def overhead(seed: int, seconds: float) -> None:
    """Added latency, and rate, compared with a client that calls the 15 shards itself."""
    deployment = single_service_deployment(shards=SHARDS, policy=COVERAGE_POLICY, entry_hosts=9)
    with run_deployment(deployment, started_hosts=1, seed=seed, processes=5) as running_deployment:
        running_deployment.warm_up([JOB], rate=30, seconds=4)
        first = [
            spec for spec in running_deployment.deployment.replicas if spec.name.endswith("-0")
        ]
        for callers in (1, 4, 16):
            # Alternating rounds, so that other load on the machine affects both measurements.
            direct_s: list[float] = []
            routed_s: list[float] = []
            for _ in range(3):
                direct_s += run_direct_closed_loop(
                    direct_targets(first), callers=callers, seconds=seconds / 6
                )
                results = run_closed_loop(
                    running_deployment.addresses, JOB, callers=callers, seconds=seconds / 6
                )
                routed_s += [result.latency_s for result in results if result.answered]
            ratio = len(routed_s) / len(direct_s)
            print_figure(
                f"{callers} callers: direct",
                f"{len(direct_s) / seconds * 2:.0f}/s, p50 {percentile_ms(direct_s, 50):.2f} ms, "
                f"p99 {percentile_ms(direct_s, 99):.2f} ms",
            )
            print_figure(
                f"{callers} callers: through the entry host",
                f"{len(routed_s) / seconds * 2:.0f}/s, p50 {percentile_ms(routed_s, 50):.2f} ms, "
                f"p99 {percentile_ms(routed_s, 99):.2f} ms",
            )
            print_figure(
                "  added",
                f"p50 {percentile_ms(routed_s, 50) - percentile_ms(direct_s, 50):.2f} ms, "
                f"p99 {percentile_ms(routed_s, 99) - percentile_ms(direct_s, 99):.2f} ms",
            )
            print_figure("  ratio of rates", f"{ratio:.2f}", "0.7 or more")


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
    """Both example deployments at full size: no faults, then stragglers and paused replicas."""
    for name, create_deployment in DEPLOYMENTS.items():
        deployment = create_deployment()
        for label, fault in (
            ("quiet", False),
            ("1 in 100 sub-queries slow, 1 in 6 replicas paused", True),
        ):

            def straggle(spec: ReplicaSpec, fault: bool = fault) -> None:
                spec.straggle_probability = 0.01 if fault else 0.0

            with run_deployment(
                deployment,
                started_hosts=deployment.entry_hosts,
                processes=6,
                seed=seed,
                modify_spec=straggle,
            ) as running_deployment:
                running_deployment.warm_up(JOBS[name], rate=40, seconds=6)
                before = running_deployment.sub_queries_received()
                if fault:
                    running_deployment.backends["3"].send_signal(signal.SIGSTOP)
                results = run_open_loop(
                    running_deployment.addresses, JOBS[name], rate=40, seconds=seconds, seed=seed
                )
                if fault:
                    running_deployment.backends["3"].send_signal(signal.SIGCONT)
                    time.sleep(1.0)
                received = running_deployment.sub_queries_received() - before
            print_deployment(name, label, running_deployment, results, received)


def print_deployment(
    name: str,
    label: str,
    running_deployment: RunningDeployment,
    results: list[CallResult],
    received: int,
) -> None:
    """Print the figures of one example deployment, in total and for each job."""
    shards_by_job: dict[str, int] = {}
    value_by_job: dict[str, float] = {}
    for job in JOBS[name]:
        prefix = job.partition("-")[0]
        declared = next(
            p for p in running_deployment.deployment.document["prefixes"] if p["prefix"] == prefix
        )
        service = next(
            s
            for s in running_deployment.deployment.document["services"]
            if s["name"] == declared["service"]
        )
        shards_by_job[job] = len(service["shards"])
        value_by_job[job] = service["value"]
    offered = sum(value_by_job[r.job] for r in results)
    served = sum(value_by_job[r.job] * r.coverage for r in results if r.answered)
    sub_queries = sum(shards_by_job[r.job] for r in results)
    print_figure(f"{name}, {label}", LoadSummary(results, sub_queries=sub_queries / len(results)))
    print_figure("  value served per value offered (times coverage)", f"{served / offered:.4f}")
    print_figure("  attempts received per sub-query", f"{received / sub_queries:.3f}")
    for job in JOBS[name]:
        of_job = [result for result in results if result.job == job]
        print_figure(f"  {job}", LoadSummary(of_job, sub_queries=shards_by_job[job]))


def limits(seed: int, seconds: float) -> None:
    """Nine entry hosts and replicas with 3 slots: refused connections and shed sub-queries."""
    for label, disabled in (("adaptive limit on", ""), ("adaptive limit off", "adaptive_limit")):
        deployment = single_service_deployment(
            shards=5, policy=LATENCY_POLICY, entry_hosts=9, service_ms=30.0, one_way_ms=3.0
        )
        with run_deployment(
            deployment, started_hosts=9, disabled=disabled, seed=seed
        ) as running_deployment:
            running_deployment.warm_up([JOB], rate=60, seconds=3)
            results = measure_load(running_deployment, rate=240, seconds=seconds, seed=seed)
            counters = [read_counters(spec) for spec in running_deployment.deployment.replicas]
        print_figure(label, LoadSummary(results, sub_queries=5))
        refused = sum(found["connections_refused"] for found in counters)
        print_figure("  connections refused by replicas", refused, "0")
        print_figure("  sub-query attempts shed", sum(found["shed"] for found in counters))
        print_figure("  sub-query attempts received", sum(found["received"] for found in counters))


def read_counters(spec: ReplicaSpec) -> dict[str, int]:
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
