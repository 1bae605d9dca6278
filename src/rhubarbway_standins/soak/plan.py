"""Which faults a soak run injects, and when: the same seed gives the same plan."""

from __future__ import annotations

from random import Random

# The first fault comes after this time, and all have ended this long before the end, seconds.
CALM_BEFORE_S = 1.0
CALM_AFTER_S = 1.0
LONGEST_S = 4.0
SHORTEST_S = 0.2
# Chance that a fault comes again at once after it has ended, so that faults come in series.
SERIES_SHARE = 0.3
# Faults a second.
RATE_PER_S = 1.2

# Kinds of faults by what they hit, with the weight of each.
HOST_FAULTS = {
    "host_kill": 2,
    "host_stop": 3,
    "host_pause": 3,
    "host_reload": 2,
    "store_path_frozen": 2,
    "store_path_delayed": 1,
    "store_path_reset": 2,
}
SERVER_FAULTS = {
    "server_delayed": 3,
    "server_reset": 3,
    "server_frozen": 3,
    "server_replies_lost": 2,
    "server_replies_cut_short": 2,
    "server_paused": 3,
    "server_drained": 2,
}
STORE_FAULTS = {"store_refuses": 2, "store_silent": 2, "store_forgets": 1, "configuration": 4}


class PlannedFault:
    """One fault: its kind, the number of the host or server that it hits, and its time."""

    __slots__ = ("begin_s", "end_s", "kind", "target")

    def __init__(self, *, kind: str, target: int, begin_s: float, end_s: float) -> None:
        self.kind = kind
        self.target = target
        self.begin_s = begin_s
        self.end_s = end_s

    def overlaps(self, begin_s: float, end_s: float) -> bool:
        """Whether the fault was there at some time of a span."""
        return self.begin_s <= end_s and begin_s <= self.end_s

    def __repr__(self) -> str:
        return f"{self.begin_s:.2f}-{self.end_s:.2f} s {self.kind} {self.target}"


def planned_faults(*, seed: int, length_s: float, hosts: int, servers: int) -> list[PlannedFault]:
    """Return the faults of a run by rising begin; they overlap and come in series.

    Examples
    --------
    >>> first = planned_faults(seed=3, length_s=20.0, hosts=3, servers=10)
    >>> repr(first) == repr(planned_faults(seed=3, length_s=20.0, hosts=3, servers=10))
    True
    """
    random = Random(seed)
    targets = {name: hosts for name in HOST_FAULTS} | {name: servers for name in SERVER_FAULTS}
    weights = HOST_FAULTS | SERVER_FAULTS | STORE_FAULTS
    last_end = length_s - CALM_AFTER_S
    found: list[PlannedFault] = []
    at = CALM_BEFORE_S
    while True:
        at += random.expovariate(RATE_PER_S)
        if at + SHORTEST_S >= last_end:
            return sorted(found, key=lambda fault: fault.begin_s)
        kind = random.choices(list(weights), weights=list(weights.values()))[0]
        target = random.randrange(targets.get(kind, 1))
        begin = at
        while begin + SHORTEST_S < last_end:
            end = min(begin + random.uniform(SHORTEST_S, LONGEST_S), last_end)
            found.append(PlannedFault(kind=kind, target=target, begin_s=begin, end_s=end))
            if random.random() >= SERIES_SHARE:
                break
            begin = end + random.uniform(0.0, 0.5)
