"""Runs of a load pattern, and their results as callers and servers see them."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from random import Random

from rhubarbway.decisions.slowness_reports import SlownessReports, apply_report, first_hand_reports
from rhubarbway.model import BackendServer, ForwardedAnswer, ForwardedRequest, Route
from rhubarbway_emulator.clock import VirtualClock
from rhubarbway_emulator.cold_servers import busiest_cold_second, schedule_cold_servers
from rhubarbway_emulator.connections import limit_connections
from rhubarbway_emulator.hosts import EmulatedHost, HostConfig
from rhubarbway_emulator.patterns import Pattern, RequestKind
from rhubarbway_emulator.servers import EmulatedServer, PeriodicPauses

# One-way delay between caller and host; the caller's latency includes both ways.
CALLER_DELAY_S = 0.001
# Results by kind leave out the requests of the first seconds: hosts have no latency estimates yet.
WARM_UP_S = 2.0
# Interval of the gossip about slow servers, and its propagation delay, seconds.
REPORT_INTERVAL_S = 0.5
REPORT_DELAY_S = 1.0
# Reported latency of a run without any answer.
NO_ANSWER_LATENCY_S = float("inf")


class KindResult:
    """Results of one kind of request, as its callers see them.

    Attributes
    ----------
    in_time : int
        Number of answers with status 200 within the target latency.
    partial : int
        Number of answers with status 200 in which shards are missing, in time or late.
    refused : int
        Number of answers with status 503.
    latencies : list of float
        Latencies of the answers with status 200, seconds; one after the deadline does not count.
    total_value : float
        Sum over the same answers of the squared coverage, times ``late_value`` for an answer after
        the target latency.
    """

    __slots__ = (
        "in_time",
        "latencies",
        "partial",
        "refused",
        "request_count",
        "total_value",
    )

    def __init__(self) -> None:
        self.request_count = 0
        self.in_time = 0
        self.partial = 0
        self.refused = 0
        self.total_value = 0.0
        self.latencies: list[float] = []

    def record(
        self, kind: RequestKind, shards: int, answer: ForwardedAnswer | None, latency_s: float
    ) -> None:
        """Count the answer to one request, or None if the caller has left."""
        self.request_count += 1
        if answer is None or answer.status != 200 or latency_s > kind.deadline_s:
            self.refused += answer is not None and answer.status == 503
            return
        self.latencies.append(latency_s)
        self.partial += answer.missing_shards > 0
        coverage = 1.0 - answer.missing_shards / shards
        is_in_time = latency_s <= kind.target_latency_s
        self.in_time += is_in_time
        self.total_value += coverage**2 * (1.0 if is_in_time else kind.late_value)

    def quantile(self, share: float) -> float:
        """Return a quantile of the latencies, seconds; infinite without answers."""
        ordered = sorted(self.latencies)
        return (
            ordered[min(int(share * len(ordered)), len(ordered) - 1)]
            if ordered
            else NO_ANSWER_LATENCY_S
        )

    @property
    def mean_value(self) -> float:
        """Mean value of a request, from 0 to 1."""
        return self.total_value / self.request_count if self.request_count else 0.0


class RunResult:
    """Result of one run."""

    __slots__ = (
        "arrived_attempts",
        "busiest_cold_second",
        "by_kind",
        "cold_crashes",
        "connection_resets",
        "cross_zone_attempts",
        "first_attempts",
        "new_connections",
        "unwanted_attempts",
    )

    def __init__(self, *, kinds: Sequence[RequestKind]) -> None:
        self.by_kind = {kind.name: KindResult() for kind in kinds}
        # Attempts that reached a server, attempts sent to another zone, and first attempts: one for
        # each shard of each request, whether or not it was sent.
        self.arrived_attempts = 0
        # Greatest number of arrivals at a cold server in a second, and crashes of cold servers.
        self.busiest_cold_second = 0
        self.cold_crashes = 0
        # Connections that servers reset beyond their cap.
        self.connection_resets = 0
        self.cross_zone_attempts = 0
        self.first_attempts = 0
        self.new_connections = 0
        # Attempts that reached a server against its own notice.
        self.unwanted_attempts = 0

    def record_servers(self, servers: Sequence[EmulatedServer]) -> None:
        """Record what the servers have counted."""
        self.arrived_attempts = sum(one.arrival_count for one in servers)
        self.busiest_cold_second = max(busiest_cold_second(one) for one in servers)
        self.connection_resets = sum(one.connection_reset_count for one in servers)
        self.cold_crashes = sum(one.cold_crash_count for one in servers)

    @property
    def mean_value(self) -> float:
        """Mean value of a request over all kinds."""
        request_count = sum(kind.request_count for kind in self.by_kind.values())
        return sum(kind.total_value for kind in self.by_kind.values()) / max(1, request_count)

    @property
    def attempt_ratio(self) -> float:
        """Number of attempts that reached a server for each first attempt."""
        return self.arrived_attempts / max(1, self.first_attempts)


def build_routes(pattern: Pattern) -> dict[str, Route]:
    """Return a route for each kind of request."""
    shards = tuple(f"s{number}" for number in range(pattern.shards))
    return {
        kind.name: Route(
            name=kind.name,
            host="h",
            path_prefix="/",
            idempotent=True,
            timeout_s=kind.deadline_s,
            target_latency_s=kind.target_latency_s,
            max_attempts=2,
            shards=shards,
            record_limit=5,
            min_coverage=kind.min_coverage,
        )
        for kind in pattern.kinds
    }


def build_servers(
    pattern: Pattern, *, clock: VirtualClock, random: Random
) -> dict[str, list[EmulatedServer]]:
    """Return the servers of each shard; the zones that they are in rotate with the shard."""
    return {
        f"s{shard}": [
            EmulatedServer(
                server=BackendServer(
                    id=f"s{shard}-{index}",
                    service=f"s{shard}",
                    address="",
                    zone=f"z{(shard + index) % len(pattern.zones)}",
                    slots=pattern.slots,
                ),
                clock=clock,
                pauses=PeriodicPauses(
                    interval_s=pattern.pause_interval_s,
                    duration_s=pattern.pause_s,
                    offset_s=random.random() * pattern.pause_interval_s,
                ),
                phases=pattern.faults(shard, index),
                random=Random(random.random()),
            )
            for index in range(pattern.server_zones)
        ]
        for shard in range(pattern.shards)
    }


def run_pattern(pattern: Pattern, *, seed: int) -> RunResult:
    """Run a pattern and return its result; equal seeds give equal results."""
    random = Random(seed)
    clock = VirtualClock()
    servers = build_servers(pattern, clock=clock, random=random)
    config = HostConfig(
        host_count=sum(pattern.zones),
        send_cpu_s=pattern.send_cpu_s,
        reply_cpu_s=pattern.reply_cpu_s,
        retry_allowance=pattern.retry_allowance,
    )
    service_times = {kind.name: (kind.service_time_s, kind.sigma) for kind in pattern.kinds}
    hosts = [
        EmulatedHost(
            zone=f"z{zone}",
            clock=clock,
            servers=servers,
            service_times=service_times,
            config=config,
            random=Random(random.random()),
            name=f"z{zone}-{number}",
            cores=pattern.strong_cores if number < pattern.strong_hosts else pattern.weak_cores,
            speed=(
                pattern.strong_cores / pattern.weak_cores if number < pattern.strong_hosts else 1.0
            ),
        )
        for zone, count in enumerate(pattern.zones)
        for number in range(count)
    ]
    for host in hosts:
        host.fellow_hosts = {other.name: other for other in hosts if other is not host}
    schedule_slowness_gossip(clock, hosts, until_s=pattern.duration_s)
    if pattern.connection_cap is not None:
        limit_connections(hosts, servers, connection_cap=pattern.connection_cap)
    schedule_cold_servers(
        hosts, servers, warm_up_rate=pattern.warm_up_rate, random=Random(random.random())
    )
    result = RunResult(kinds=pattern.kinds)
    routes = build_routes(pattern)
    for kind in pattern.kinds:
        for at in arrival_times(kind, pattern, random):
            host = random.choice(hosts)
            task = caller_task(host=host, kind=kind, route=routes[kind.name], result=result)
            clock.spawn_at(at, task)
    clock.run()
    clock.close()
    result.record_servers([one for shard_servers in servers.values() for one in shard_servers])
    result.cross_zone_attempts = sum(host.cross_zone_attempts for host in hosts)
    result.unwanted_attempts = sum(host.unwanted_attempts for host in hosts)
    result.new_connections = sum(host.new_connections for host in hosts)
    return result


def schedule_slowness_gossip(
    clock: VirtualClock, hosts: Sequence[EmulatedHost], *, until_s: float
) -> None:
    """Schedule the gossip about slow servers between hosts, with the delay of a large fleet."""

    def publish() -> None:
        slowness_reports = SlownessReports()
        for host in hosts:
            slowness_reports.merge(
                first_hand_reports(host.server_states(), now=clock.now), now=clock.now
            )
        clock.call_at(clock.now + REPORT_DELAY_S, lambda: apply_reports(slowness_reports))
        if clock.now < until_s:
            clock.call_at(clock.now + REPORT_INTERVAL_S, publish)

    def apply_reports(slowness_reports: SlownessReports) -> None:
        reports = {report.server: report for report in slowness_reports.unexpired(now=clock.now)}
        for host in hosts if reports else ():
            for state in host.server_states():
                if state.server.id in reports:
                    apply_report(state, reports[state.server.id], now=clock.now)

    clock.call_at(REPORT_INTERVAL_S, publish)


def caller_task(
    *, host: EmulatedHost, kind: RequestKind, route: Route, result: RunResult
) -> Callable[[], None]:
    """Return the task of a caller that sends one request."""
    clock = host.clock

    def send_request() -> None:
        started_at = clock.now
        clock.sleep(CALLER_DELAY_S)
        request = ForwardedRequest(
            request_id=f"{kind.name}-{started_at}",
            method="GET",
            target="/x",
            host="h",
            received_at=clock.now,
            deadline=clock.now + kind.deadline_s,
        )
        answer = host.answer(request, route)
        result.first_attempts += len(route.shards)
        if started_at >= WARM_UP_S:
            latency_s = clock.now + CALLER_DELAY_S - started_at
            result.by_kind[kind.name].record(kind, len(route.shards), answer, latency_s)

    return send_request


def arrival_times(kind: RequestKind, pattern: Pattern, random: Random) -> list[float]:
    """Draw the arrival times of the requests of a kind from a Poisson process."""
    begin_s, end_s, factor = pattern.burst
    instants = []
    at = 0.0
    while True:
        rate = kind.requests_per_s * (factor if begin_s <= at < end_s else 1.0)
        at += random.expovariate(rate)
        if at >= pattern.duration_s:
            return instants
        instants.append(at)


def result_table(pattern: Pattern, results: Sequence[RunResult]) -> list[tuple[str, ...]]:
    """Return a header and a row for each kind of request, over several runs.

    ``asked`` is the number of requests and ``value`` the mean value of one. ``in time``,
    ``partial`` and ``refused`` are fractions of the requests.
    """
    rows = [("kind", "asked", "value", "in time", "partial", "refused", "p50 ms", "p99 ms")]
    for kind in pattern.kinds:
        kind_results = [result.by_kind[kind.name] for result in results]
        request_count = sum(one.request_count for one in kind_results)
        pooled = KindResult()
        pooled.latencies = [value for one in kind_results for value in one.latencies]
        rows.append(
            (
                kind.name,
                str(request_count),
                f"{sum(one.total_value for one in kind_results) / max(1, request_count):.3f}",
                f"{sum(one.in_time for one in kind_results) / max(1, request_count):.3f}",
                f"{sum(one.partial for one in kind_results) / max(1, request_count):.3f}",
                f"{sum(one.refused for one in kind_results) / max(1, request_count):.3f}",
                f"{pooled.quantile(0.5) * 1000:.0f}",
                f"{pooled.quantile(0.99) * 1000:.0f}",
            )
        )
    return rows
