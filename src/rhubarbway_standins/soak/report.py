"""Report of a soak run: a plot of the callers' requests and of the faults."""

from __future__ import annotations

from pathlib import Path

from matplotlib.figure import Figure

from rhubarbway_standins.platform.site import SEARCH_PREFIX
from rhubarbway_standins.soak.plan import SHARDS, SHARDS_ON_SHARED_CORES, has_shared_cores
from rhubarbway_standins.soak.run import SoakResult

# Colours of faults by the first word of their kind.
FAULT_COLOURS = {"host": "tab:red", "store": "tab:purple", "server": "tab:orange"}
# Width of the time bins in which requests are averaged, seconds.
BIN_WIDTH_S = 0.5


def write_report(result: SoakResult, path: Path) -> None:
    """Plot latencies, share served, coverage and faults of a run over time."""
    figure = Figure(figsize=(12, 9))
    latency, shares, faults = figure.subplots(3, 1, sharex=True)
    answered = [request for request in result.requests if request.status]
    for is_served, marker in ((True, "."), (False, "x")):
        chosen = [request for request in answered if (request.status == 200) is is_served]
        latency.plot(
            [request.started_at - result.started_at for request in chosen],
            [request.latency_s * 1000 for request in chosen],
            marker,
            markersize=3,
            label="served" if is_served else "refused or failed",
        )
    latency.set_yscale("log")
    latency.set_ylabel("latency, ms")
    latency.legend(loc="upper right")
    served: dict[int, list[float]] = {}
    coverage: dict[int, list[float]] = {}
    shards = SHARDS_ON_SHARED_CORES if has_shared_cores(result.seed) else SHARDS
    for request in result.requests:
        bin_index = int((request.started_at - result.started_at) / BIN_WIDTH_S)
        served.setdefault(bin_index, []).append(request.status == 200)
        if request.status == 200 and request.target.startswith(SEARCH_PREFIX):
            missing = int(request.headers.get("x-missing-shards", "0"))
            coverage.setdefault(bin_index, []).append(1.0 - missing / shards)
    for label, samples in (("share served", served), ("coverage", coverage)):
        bins = sorted(samples)
        means = [sum(samples[index]) / len(samples[index]) for index in bins]
        shares.step([index * BIN_WIDTH_S for index in bins], means, where="post", label=label)
    shares.set_ylim(0.0, 1.05)
    shares.legend(loc="lower right")
    for row, fault in enumerate(result.faults):
        colour = FAULT_COLOURS.get(fault.kind.partition("_")[0], "tab:blue")
        faults.barh(row, fault.end_s - fault.begin_s, left=fault.begin_s, color=colour)
        faults.text(
            fault.begin_s, row, f" {fault.kind} {fault.target_index}", fontsize=6, va="center"
        )
    faults.set_yticks([])
    faults.set_ylabel("faults")
    faults.set_xlabel("time, s")
    figure.suptitle(
        f"seed {result.seed}: {len(result.requests)} requests, {result.served_share:.3f} served, "
        f"{len(result.problems)} problems"
    )
    figure.savefig(path, dpi=80)
