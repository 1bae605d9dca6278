"""Named loads: what callers send and what goes wrong at the servers meanwhile."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from rhubarbway_emulator.servers import Phase

NEVER = float("inf")


class Kind:
    """One kind of request.

    Attributes
    ----------
    target_s, deadline_s : float
        Time for full value, and time after which the caller gives up.
    work_s, spread : float
        Mean time of work at a server, and its relative spread.
    per_s : float
        Requests a second over all hosts.
    min_coverage : float
        Least share of the shards in an answer.
    late_value : float
        Value of a late answer; one in time is worth 1.
    """

    __slots__ = (
        "deadline_s",
        "late_value",
        "min_coverage",
        "name",
        "per_s",
        "spread",
        "target_s",
        "work_s",
    )

    def __init__(
        self,
        *,
        name: str,
        target_s: float,
        deadline_s: float,
        work_s: float,
        per_s: float,
        min_coverage: float,
        spread: float = 0.35,
        late_value: float = 0.1,
    ) -> None:
        self.name = name
        self.target_s = target_s
        self.deadline_s = deadline_s
        self.work_s = work_s
        self.per_s = per_s
        self.min_coverage = min_coverage
        self.spread = spread
        self.late_value = late_value


SWEEP = Kind(
    name="sweep", target_s=0.233, deadline_s=0.8, work_s=0.03, per_s=68.0, min_coverage=0.89
)
ALERT = Kind(
    name="alert", target_s=0.091, deadline_s=0.4, work_s=0.01, per_s=22.0, min_coverage=0.75
)
WIDE_SWEEP = Kind(
    name="sweep", target_s=0.238, deadline_s=0.82, work_s=0.03, per_s=42.0, min_coverage=0.95
)
WIDE_ALERT = Kind(
    name="alert", target_s=0.095, deadline_s=0.42, work_s=0.01, per_s=14.0, min_coverage=0.85
)

# Returns the phases of one server by the index of its shard and of the server in it.
Faults = Callable[[int, int], Sequence[Phase]]


def no_faults(shard: int, index: int) -> Sequence[Phase]:
    """Leave all servers alone."""
    return ()


def slow(*, shards: Sequence[int], factor: float, begin_s: float, end_s: float) -> Faults:
    """Make all servers of some shards slower for a time."""

    def phases(shard: int, index: int) -> Sequence[Phase]:
        return [Phase(begin_s=begin_s, end_s=end_s, factor=factor)] if shard in shards else ()

    return phases


def one_server_each(
    *, shards: Sequence[int], factor: float, begin_s: float, end_s: float
) -> Faults:
    """Make one server of some shards slower for a time."""

    def phases(shard: int, index: int) -> Sequence[Phase]:
        hit = shard in shards and index == shard % 3
        return [Phase(begin_s=begin_s, end_s=end_s, factor=factor)] if hit else ()

    return phases


def refusing(*, share: float, refused_share: float, begin_s: float, end_s: float) -> Faults:
    """Make a share of all servers refuse part of their requests for a time."""

    def phases(shard: int, index: int) -> Sequence[Phase]:
        # Spread over shards and zones without a pattern that a policy could follow.
        hit = (shard * 37 + index * 61) % 100 < share * 100
        return [Phase(begin_s=begin_s, end_s=end_s, refused_share=refused_share)] if hit else ()

    return phases


class Pattern:
    """A load over a deployment.

    Attributes
    ----------
    zones : tuple of int
        Entry hosts in each zone; each shard has one server in each zone.
    shards, slots : int
        Shards of the service, and requests that a server runs at a time.
    pause_s, pause_every_s : float
        Regular pauses of each server.
    burst : tuple of (float, float, float)
        Begin and end of a time with more callers, and by which factor.
    send_cpu_s, reply_cpu_s : float
        Processor time of a host for each attempt and each reply.
    """

    __slots__ = (
        "burst",
        "faults",
        "kinds",
        "length_s",
        "pause_every_s",
        "pause_s",
        "reply_cpu_s",
        "retry_allowance",
        "send_cpu_s",
        "shards",
        "slots",
        "title",
        "zones",
    )

    def __init__(
        self,
        *,
        title: str,
        kinds: Sequence[Kind] = (SWEEP, ALERT),
        zones: tuple[int, ...] = (4, 3, 2),
        shards: int = 10,
        slots: int = 3,
        pause_s: float = 0.2,
        pause_every_s: float = 4.5,
        faults: Faults = no_faults,
        burst: tuple[float, float, float] = (NEVER, NEVER, 1.0),
        length_s: float = 20.0,
        send_cpu_s: float = 0.0004,
        reply_cpu_s: float = 0.0004,
        retry_allowance: float = 58.0,
    ) -> None:
        self.title = title
        self.kinds = kinds
        self.zones = zones
        self.shards = shards
        self.slots = slots
        self.pause_s = pause_s
        self.pause_every_s = pause_every_s
        self.faults = faults
        self.burst = burst
        self.length_s = length_s
        self.send_cpu_s = send_cpu_s
        self.reply_cpu_s = reply_cpu_s
        self.retry_allowance = retry_allowance


WIDE = {
    "kinds": (WIDE_SWEEP, WIDE_ALERT),
    "zones": (31, 29, 30),
    "shards": 36,
    "slots": 4,
    "send_cpu_s": 0.0008,
    "reply_cpu_s": 0.0005,
    "retry_allowance": 220.0,
}

PATTERNS = {
    "calm": Pattern(title="servers that pause 200 ms each 4.5 s"),
    "slow-servers": Pattern(
        title="one server of three shards ten times slower for 8 s",
        faults=one_server_each(shards=(1, 4, 7), factor=10.0, begin_s=6.0, end_s=14.0),
    ),
    "slow-shards": Pattern(
        title="all servers of two of ten shards nine times slower for 6 s",
        faults=slow(shards=(2, 5), factor=9.0, begin_s=6.0, end_s=12.0),
    ),
    "dark-shard": Pattern(
        title="all servers of one shard down for 5 s",
        faults=slow(shards=(3,), factor=float("inf"), begin_s=6.0, end_s=11.0),
    ),
    "burst": Pattern(title="three times as many callers for 5 s", burst=(8.0, 13.0, 3.0)),
    "overload": Pattern(title="twice what all servers can do for 5 s", burst=(8.0, 13.0, 7.0)),
    "refusing-servers": Pattern(
        title="a third of the servers refuse 60 % of their requests for 8 s",
        faults=refusing(share=0.34, refused_share=0.6, begin_s=6.0, end_s=14.0),
    ),
    "wide-refusing-servers": Pattern(
        title="36 shards, half of the servers refuse 60 % of their requests for 8 s",
        faults=refusing(share=0.5, refused_share=0.6, begin_s=6.0, end_s=14.0),
        **WIDE,
    ),
    "wide": Pattern(title="36 shards and 90 hosts with half a core", **WIDE),
    "wide-slow-servers": Pattern(
        title="36 shards, one server of half of them ten times slower for 8 s",
        faults=one_server_each(shards=range(0, 36, 2), factor=10.0, begin_s=6.0, end_s=14.0),
        **WIDE,
    ),
}
