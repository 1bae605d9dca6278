"""Report of a soak run: a plot of what callers saw, with the faults marked."""

from __future__ import annotations

from pathlib import Path

from matplotlib.figure import Figure

from rhubarbway_standins.platform.site import SEARCH
from rhubarbway_standins.soak.run import SHARDS, SoakResult

COLOURS = {"host": "tab:red", "store": "tab:purple", "server": "tab:orange"}
BIN_S = 0.5


def write_report(result: SoakResult, path: Path) -> None:
    """Write a picture of a run: latencies, share served and coverage over time."""
    figure = Figure(figsize=(12, 9))
    latency, share, faults = figure.subplots(3, 1, sharex=True)
    answered = [ask for ask in result.asks if ask.status]
    for status, marker in ((True, "."), (False, "x")):
        chosen = [ask for ask in answered if (ask.status == 200) is status]
        latency.plot(
            [ask.began_at - result.began_at for ask in chosen],
            [ask.seconds * 1000 for ask in chosen],
            marker,
            markersize=3,
            label="served" if status else "refused or failed",
        )
    latency.set_yscale("log")
    latency.set_ylabel("latency, ms")
    latency.legend(loc="upper right")
    bins: dict[int, list[float]] = {}
    coverage: dict[int, list[float]] = {}
    for ask in result.asks:
        number = int((ask.began_at - result.began_at) / BIN_S)
        bins.setdefault(number, []).append(ask.status == 200)
        if ask.status == 200 and ask.target.startswith(SEARCH):
            missing = int(ask.headers.get("x-missing-shards", "0"))
            coverage.setdefault(number, []).append(1.0 - missing / SHARDS)
    for label, found in (("share served", bins), ("coverage", coverage)):
        at = sorted(found)
        means = [sum(found[number]) / len(found[number]) for number in at]
        share.step([number * BIN_S for number in at], means, where="post", label=label)
    share.set_ylim(0.0, 1.05)
    share.legend(loc="lower right")
    for row, fault in enumerate(result.faults):
        colour = COLOURS.get(fault.kind.partition("_")[0], "tab:blue")
        faults.barh(row, fault.end_s - fault.begin_s, left=fault.begin_s, color=colour)
        faults.text(fault.begin_s, row, f" {fault.kind} {fault.target}", fontsize=6, va="center")
    faults.set_yticks([])
    faults.set_ylabel("faults")
    faults.set_xlabel("time, s")
    figure.suptitle(
        f"seed {result.seed}: {len(result.asks)} requests, {result.served_share:.3f} served, "
        f"{len(result.problems)} broken promises"
    )
    figure.savefig(path, dpi=80)
