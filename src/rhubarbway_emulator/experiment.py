"""Plays a pattern with several seeds and sums up what callers and servers saw."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from random import Random

from rhubarbway.decisions.slowness_reports import SlownessReports, apply_report, first_hand_reports
from rhubarbway.model import BackendServer, ForwardedAnswer, ForwardedRequest, Route
from rhubarbway_emulator.clock import VirtualClock
from rhubarbway_emulator.hosts import EmulatedHost, HostLimits
from rhubarbway_emulator.patterns import Kind, Pattern
from rhubarbway_emulator.servers import EmulatedServer, Pauses

# One way between caller and host; a caller counts from before its request has left.
CALLER_S = 0.001
# Answers of the first seconds are not counted: hosts have learnt nothing yet.
WARM_UP_S = 2.0
# How often hosts tell each other of slow servers, and how long that takes, seconds.
REPORT_INTERVAL_S = 0.5
REPORT_DELAY_S = 1.0
# Latency of a run without any answer, seconds.
NO_ANSWER = float("inf")


class KindResult:
    """What callers of one kind of request saw.

    Attributes
    ----------
    value : float
        Sum over the answers: the square of the coverage if in time, less if late.
    """

    __slots__ = ("asked", "in_time", "latencies", "partial", "refused", "value")

    def __init__(self) -> None:
        self.asked = 0
        self.in_time = 0
        self.partial = 0
        self.refused = 0
        self.value = 0.0
        self.latencies: list[float] = []

    def note(self, kind: Kind, shards: int, answer: ForwardedAnswer | None, took_s: float) -> None:
        """Count one answer; None for a caller that left."""
        self.asked += 1
        if answer is None or answer.status != 200 or took_s > kind.deadline_s:
            self.refused += answer is not None and answer.status == 503
            return
        self.latencies.append(took_s)
        self.partial += answer.missing_shards > 0
        coverage = 1.0 - answer.missing_shards / shards
        is_in_time = took_s <= kind.target_s
        self.in_time += is_in_time
        self.value += coverage**2 * (1.0 if is_in_time else kind.late_value)

    def quantile(self, share: float) -> float:
        """Return a quantile of the latencies of all answers, seconds; infinite without any."""
        ordered = sorted(self.latencies)
        return ordered[min(int(share * len(ordered)), len(ordered) - 1)] if ordered else NO_ANSWER

    @property
    def mean_value(self) -> float:
        """Value of a request, from 0 to 1."""
        return self.value / self.asked if self.asked else 0.0


class Result:
    """What one run has shown."""

    __slots__ = ("arrivals", "by_kind", "crossing", "needed")

    def __init__(self, *, kinds: Sequence[Kind]) -> None:
        self.by_kind = {kind.name: KindResult() for kind in kinds}
        # Attempts that reached a server, those from another zone, and what one attempt for each
        # shard would have been.
        self.arrivals = 0
        self.crossing = 0
        self.needed = 0

    @property
    def mean_value(self) -> float:
        """Value of a request over all kinds."""
        asked = sum(kind.asked for kind in self.by_kind.values())
        return sum(kind.value for kind in self.by_kind.values()) / max(1, asked)

    @property
    def attempts_per_needed(self) -> float:
        """Attempts that reached a server, for each that was needed."""
        return self.arrivals / max(1, self.needed)


def routes_of(pattern: Pattern) -> dict[str, Route]:
    """Return a route for each kind of request."""
    shards = tuple(f"s{number}" for number in range(pattern.shards))
    return {
        kind.name: Route(
            name=kind.name,
            host="h",
            path_prefix="/",
            idempotent=True,
            timeout_s=kind.deadline_s,
            target_latency_s=kind.target_s,
            max_attempts=2,
            shards=shards,
            record_limit=5,
            min_coverage=kind.min_coverage,
        )
        for kind in pattern.kinds
    }


def servers_of(
    pattern: Pattern, *, clock: VirtualClock, random: Random
) -> dict[str, list[EmulatedServer]]:
    """Return the servers of each shard, one in each zone."""
    return {
        f"s{shard}": [
            EmulatedServer(
                server=BackendServer(
                    id=f"s{shard}-{index}",
                    service=f"s{shard}",
                    address="",
                    zone=f"z{index}",
                    slots=pattern.slots,
                ),
                clock=clock,
                pauses=Pauses(
                    every_s=pattern.pause_every_s,
                    length_s=pattern.pause_s,
                    offset_s=random.random() * pattern.pause_every_s,
                ),
                phases=pattern.faults(shard, index),
                random=Random(random.random()),
            )
            for index in range(len(pattern.zones))
        ]
        for shard in range(pattern.shards)
    }


def play(pattern: Pattern, *, seed: int) -> Result:
    """Return what one run of a pattern shows; equal seeds give equal results."""
    random = Random(seed)
    clock = VirtualClock()
    servers = servers_of(pattern, clock=clock, random=random)
    limits = HostLimits(
        hosts=sum(pattern.zones),
        send_cpu_s=pattern.send_cpu_s,
        reply_cpu_s=pattern.reply_cpu_s,
        retry_allowance=pattern.retry_allowance,
    )
    work = {kind.name: (kind.work_s, kind.spread) for kind in pattern.kinds}
    hosts = [
        EmulatedHost(
            zone=f"z{zone}",
            clock=clock,
            servers=servers,
            work=work,
            limits=limits,
            random=Random(random.random()),
        )
        for zone, count in enumerate(pattern.zones)
        for _ in range(count)
    ]
    share_reports(clock, hosts, until_s=pattern.length_s)
    result = Result(kinds=pattern.kinds)
    routes = routes_of(pattern)
    for kind in pattern.kinds:
        for at in arrivals(kind, pattern, random):
            host = random.choice(hosts)
            task = caller(host=host, kind=kind, route=routes[kind.name], result=result)
            clock.spawn_at(at, task)
    clock.run()
    clock.close()
    result.arrivals = sum(server.arrivals for found in servers.values() for server in found)
    result.crossing = sum(host.crossing for host in hosts)
    return result


def share_reports(clock: VirtualClock, hosts: Sequence[EmulatedHost], *, until_s: float) -> None:
    """Let the hosts tell each other of slow servers, with the delay of a large fleet."""

    def tell() -> None:
        told = SlownessReports()
        for host in hosts:
            told.merge(first_hand_reports(host.states(), now=clock.now), now=clock.now)
        clock.call_at(clock.now + REPORT_DELAY_S, lambda: apply(told))
        if clock.now < until_s:
            clock.call_at(clock.now + REPORT_INTERVAL_S, tell)

    def apply(told: SlownessReports) -> None:
        reports = {report.server: report for report in told.unexpired(now=clock.now)}
        for host in hosts if reports else ():
            for state in host.states():
                if state.server.id in reports:
                    apply_report(state, reports[state.server.id], now=clock.now)

    clock.call_at(REPORT_INTERVAL_S, tell)


def caller(*, host: EmulatedHost, kind: Kind, route: Route, result: Result) -> Callable[[], None]:
    """Return the task of one caller with one request."""
    clock = host.clock

    def ask() -> None:
        began = clock.now
        clock.sleep(CALLER_S)
        request = ForwardedRequest(
            request_id=f"{kind.name}-{began}",
            method="GET",
            target="/x",
            host="h",
            received_at=clock.now,
            deadline=clock.now + kind.deadline_s,
        )
        answer = host.answer(request, route)
        result.needed += len(route.shards)
        if began >= WARM_UP_S:
            took_s = clock.now + CALLER_S - began
            result.by_kind[kind.name].note(kind, len(route.shards), answer, took_s)

    return ask


def arrivals(kind: Kind, pattern: Pattern, random: Random) -> list[float]:
    """Return the instants of the requests of a kind: a Poisson process."""
    begin_s, end_s, factor = pattern.burst
    found = []
    at = 0.0
    while True:
        rate = kind.per_s * (factor if begin_s <= at < end_s else 1.0)
        at += random.expovariate(rate)
        if at >= pattern.length_s:
            return found
        found.append(at)


def table(pattern: Pattern, results: Sequence[Result]) -> list[tuple[str, ...]]:
    """Return a header and a row for each kind of request, from several runs."""
    rows = [("kind", "asked", "value", "in time", "partial", "refused", "p50 ms", "p99 ms")]
    for kind in pattern.kinds:
        found = [result.by_kind[kind.name] for result in results]
        asked = sum(one.asked for one in found)
        pooled = KindResult()
        pooled.latencies = [value for one in found for value in one.latencies]
        rows.append(
            (
                kind.name,
                str(asked),
                f"{sum(one.value for one in found) / max(1, asked):.3f}",
                f"{sum(one.in_time for one in found) / max(1, asked):.3f}",
                f"{sum(one.partial for one in found) / max(1, asked):.3f}",
                f"{sum(one.refused for one in found) / max(1, asked):.3f}",
                f"{pooled.quantile(0.5) * 1000:.0f}",
                f"{pooled.quantile(0.99) * 1000:.0f}",
            )
        )
    return rows
