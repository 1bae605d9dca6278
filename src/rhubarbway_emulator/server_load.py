"""Load of emulated servers: other work on their machines, and how evenly hosts spread requests."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from random import Random

# A sub-query that took longer at its server than this multiple of its usual service time is late.
LATE_FACTOR = 2.0


class OtherWork:
    """Work of other programs on the machine of a server, which slows the server down at times.

    Attributes
    ----------
    share : float
        Share of the periods in which there is other work.
    slowdown : float
        Factor of the service times in such a period.
    period_s : float
        Duration of a period, seconds.
    """

    __slots__ = ("period_s", "share", "slowdown")

    def __init__(self, *, share: float = 0.0, slowdown: float = 1.0, period_s: float = 1.0) -> None:
        self.share = share
        self.slowdown = slowdown
        self.period_s = period_s

    def slowdown_at(self, now: float, *, seed: str) -> float:
        """Return the factor of the service times of the server that ``seed`` identifies."""
        if not self.share:
            return 1.0
        is_present = Random(f"{seed}/{now // self.period_s}").random() < self.share
        return self.slowdown if is_present else 1.0


class LoadRecord:
    """What happened to the requests that reached one server.

    Attributes
    ----------
    arrived, waited, refused : int
        Requests that arrived, that did not start at once for lack of a slot, and that were refused.
    late, late_beside_idle : int
        Requests that took longer than ``LATE_FACTOR`` times their service time, and those of them
        that waited, for a slot or the end of a pause, while another replica could have started.
    """

    __slots__ = ("arrived", "late", "late_beside_idle", "refused", "waited")

    def __init__(self) -> None:
        self.arrived = 0
        self.waited = 0
        self.refused = 0
        self.late = 0
        self.late_beside_idle = 0

    def record_end(self, *, elapsed_s: float, service_time_s: float, beside_idle: bool) -> None:
        """Record that a request ended, or was cancelled before it began to run."""
        if elapsed_s > LATE_FACTOR * service_time_s:
            self.late += 1
            self.late_beside_idle += beside_idle


class LoadSummary:
    """Load of the services of one kind (all shards, or the one service without shards).

    Attributes
    ----------
    busiest_over_mean : float
        Requests of the busiest replica of a service relative to the mean of its replicas, as the
        mean over the services.
    """

    __slots__ = ("busiest_over_mean", "late", "late_beside_idle", "refused", "waited")

    def __init__(self, services: Iterable[Sequence[LoadRecord]]) -> None:
        groups = [group for group in services if any(load.arrived for load in group)]
        loads = [load for group in groups for load in group]
        arrived = max(1, sum(load.arrived for load in loads))
        late = sum(load.late for load in loads)
        self.busiest_over_mean = sum(map(busiest_over_mean, groups)) / max(1, len(groups))
        self.waited = sum(load.waited for load in loads) / arrived
        self.refused = sum(load.refused for load in loads) / arrived
        self.late = late / arrived
        self.late_beside_idle = sum(load.late_beside_idle for load in loads) / max(1, late)


def busiest_over_mean(loads: Sequence[LoadRecord]) -> float:
    """Return the requests of the busiest server relative to the mean."""
    counts = [load.arrived for load in loads]
    return max(counts) * len(counts) / sum(counts)


def load_table(summaries: Sequence[dict[str, LoadSummary]]) -> list[tuple[str, ...]]:
    """Return a header and a row for each kind of service, over several runs."""
    columns: tuple[tuple[str, Callable[[LoadSummary], float]], ...] = (
        ("busiest", lambda summary: summary.busiest_over_mean),
        ("waited", lambda summary: summary.waited),
        ("refused", lambda summary: summary.refused),
        ("late", lambda summary: summary.late),
        ("by idle", lambda summary: summary.late_beside_idle),
    )
    rows = [("servers", *(name for name, _ in columns))]
    for name in summaries[0]:
        means = [sum(get(one[name]) for one in summaries) / len(summaries) for _, get in columns]
        rows.append((name, *(f"{mean:.3f}" for mean in means)))
    return rows
