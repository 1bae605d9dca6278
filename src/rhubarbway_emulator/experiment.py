"""Runs of a load pattern, and their results as callers and servers see them."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from functools import partial
from random import Random

from rhubarbway.decisions.slowness_reports import SlownessReports, apply_report, first_hand_reports
from rhubarbway.model import BackendServer, ForwardedAnswer, ForwardedRequest, Route, SplitPart
from rhubarbway.services.servers import connection_limit
from rhubarbway_emulator.clock import VirtualClock
from rhubarbway_emulator.cold_servers import busiest_cold_second, schedule_cold_servers
from rhubarbway_emulator.connections import limit_connections
from rhubarbway_emulator.hosts import NOTICE_SLACK_S, EmulatedHost, HostConfig
from rhubarbway_emulator.patterns import Evacuation, Pattern
from rhubarbway_emulator.rankings import RANKINGS
from rhubarbway_emulator.request_kinds import RequestKind
from rhubarbway_emulator.server_load import LoadSummary
from rhubarbway_emulator.servers import EmulatedServer, PeriodicPauses

# One-way delay between caller and host; the caller's latency includes both ways.
CALLER_DELAY_S = 0.001
# Results by kind leave out the requests of the first seconds: hosts have no latency estimates yet.
WARM_UP_S = 2.0
# Interval of the gossip about slow servers, seconds.
REPORT_INTERVAL_S = 0.5
# Longest time until a host learns of a change of the store, seconds.
FEED_DELAY_S = 1.0
# Name of the service without shards.
SINGLE_SERVICE = "single"
# Reported latency of a run without any answer.
NO_ANSWER_LATENCY_S = float("inf")

# A refusal is prompt within this fraction of the target latency.
PROMPT_REFUSAL_FRACTION = 0.25
# Part of its remaining time that a caller waits at most before it comes back.
MAX_RETURN_FRACTION = 1.0 / 3.0


class KindResult:
    """Results of one kind of request, as its callers see them.

    Attributes
    ----------
    in_time : int
        Number of answers with status 200 within the target latency.
    partial : int
        Number of answers with status 200 in which shards are missing, in time or late.
    refused : int
        Number of requests that end with status 503, after the return of the caller if it returns.
    returned : int
        Number of requests whose caller came back after a refusal.
    failed : int
        Number of other requests without an answer with status 200 in time.
    refusal_delays : list of float
        Time until each refusal, seconds.
    latencies : list of float
        Latencies of the answers with status 200, seconds; one after the deadline does not count.
    total_value : float
        Sum over the same answers of the squared coverage, times ``late_value`` for an answer after
        the target latency.
    """

    __slots__ = (
        "failed",
        "in_time",
        "latencies",
        "partial",
        "refusal_delays",
        "refused",
        "request_count",
        "returned",
        "total_value",
    )

    def __init__(self) -> None:
        self.request_count = 0
        self.in_time = 0
        self.partial = 0
        self.refused = 0
        self.returned = 0
        self.failed = 0
        self.refusal_delays: list[float] = []
        self.total_value = 0.0
        self.latencies: list[float] = []

    def record(
        self,
        kind: RequestKind,
        shards: int,
        answer: ForwardedAnswer | None,
        latency_s: float,
        *,
        refused_after_s: float | None = None,
    ) -> None:
        """Count the answer to one request, or None if the caller has left.

        Parameters
        ----------
        latency_s : float
            Latency of the answer, counted from the last attempt of the caller, seconds.
        refused_after_s : float or None
            Time after which the caller's first attempt was refused; None if it was not.
        """
        self.request_count += 1
        if refused_after_s is not None:
            self.returned += 1
            self.refusal_delays.append(refused_after_s)
        if answer is None or answer.status != 200 or latency_s > kind.deadline_s:
            if answer is not None and answer.status == 503:
                self.refused += 1
                self.refusal_delays.append(latency_s)
            else:
                self.failed += 1
            return
        self.latencies.append(latency_s)
        self.partial += answer.missing_shards > 0
        coverage = 1.0 - answer.missing_shards / shards
        is_in_time = latency_s <= kind.target_latency_s
        self.in_time += is_in_time
        value = 1.0 if is_in_time else kind.late_value
        if refused_after_s is not None:
            # A prompt refusal costs half of what a late answer loses.
            was_prompt = refused_after_s <= PROMPT_REFUSAL_FRACTION * kind.target_latency_s
            value = (value + kind.late_value) / 2 if was_prompt else kind.late_value
        self.total_value += coverage**2 * value

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
        "by_kind_in_burst",
        "cold_crashes",
        "connection_resets",
        "cross_zone_attempts",
        "evacuated_attempts",
        "first_attempts",
        "loads",
        "new_connections",
        "unwanted_attempts",
    )

    def __init__(self, *, kinds: Sequence[RequestKind]) -> None:
        self.by_kind = {kind.name: KindResult() for kind in kinds}
        # Requests that callers sent during the burst only.
        self.by_kind_in_burst = {kind.name: KindResult() for kind in kinds}
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
        # Load of the shards and of the service without shards.
        self.loads: dict[str, LoadSummary] = {}
        # Attempts that reached a server against its own notice, and those that reached one of an
        # evacuated zone.
        self.unwanted_attempts = 0
        self.evacuated_attempts = 0

    def record_servers(self, servers: Sequence[EmulatedServer]) -> None:
        """Record what the servers have counted."""
        self.arrived_attempts = sum(one.load.arrived for one in servers)
        self.busiest_cold_second = max(busiest_cold_second(one) for one in servers)
        self.connection_resets = sum(one.connection_reset_count for one in servers)
        self.cold_crashes = sum(one.cold_crash_count for one in servers)

    @property
    def mean_value(self) -> float:
        """Mean value of a request over all kinds."""
        request_count = sum(kind.request_count for kind in self.by_kind.values())
        return sum(kind.total_value for kind in self.by_kind.values()) / max(1, request_count)

    def burst_value(self, kinds: Sequence[RequestKind]) -> float:
        """Return the mean value of a request of the burst, each kind weighted by its worth."""
        asked = sum(kind.worth * self.by_kind_in_burst[kind.name].request_count for kind in kinds)
        earned = sum(kind.worth * self.by_kind_in_burst[kind.name].total_value for kind in kinds)
        return earned / asked if asked else 0.0

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
            priority=kind.priority,
            max_attempts=2,
            shards=shards if kind.is_fan_out else (),
            split=() if kind.is_fan_out else (SplitPart(service=SINGLE_SERVICE, weight=1.0),),
            record_limit=5,
            min_coverage=kind.min_coverage,
        )
        for kind in pattern.kinds
    }


def build_servers(
    pattern: Pattern, *, clock: VirtualClock, random: Random
) -> dict[str, list[EmulatedServer]]:
    """Return the servers of each service; the zones that they are in rotate with the shard."""

    def build(service: str, shard: int, index: int, slots: int) -> EmulatedServer:
        return EmulatedServer(
            server=BackendServer(
                id=f"{service}-{index}",
                service=service,
                address="",
                zone=f"z{(shard + index) % len(pattern.zones)}",
                slots=slots,
            ),
            clock=clock,
            pauses=PeriodicPauses(
                interval_s=pattern.pause_interval_s,
                duration_s=pattern.pause_s,
                offset_s=random.random() * pattern.pause_interval_s,
            ),
            phases=pattern.faults(shard, index),
            random=Random(random.random()),
            queue_limit=pattern.queue_limit,
            speed=pattern.speeds[(shard // len(pattern.zones) + index) % len(pattern.speeds)],
            other_work=pattern.other_work,
        )

    servers = {
        f"s{shard}": [
            build(f"s{shard}", shard, index, pattern.slots) for index in range(pattern.server_zones)
        ]
        for shard in range(pattern.shards)
    }
    if pattern.single_replicas:
        servers[SINGLE_SERVICE] = [
            build(SINGLE_SERVICE, pattern.shards, index, pattern.single_slots)
            for index in range(pattern.single_replicas)
        ]
    for replicas in servers.values():
        for server in replicas:
            server.replicas = replicas
    return servers


def build_hosts(
    pattern: Pattern,
    *,
    clock: VirtualClock,
    servers: Mapping[str, list[EmulatedServer]],
    random: Random,
    ranking: str,
) -> list[EmulatedHost]:
    """Return the hosts of all zones, each of which knows the others."""
    config = HostConfig(
        host_count=sum(pattern.zones),
        send_cpu_s=pattern.send_cpu_s,
        reply_cpu_s=pattern.reply_cpu_s,
        cross_zone_delay_s=pattern.cross_zone_delay_s,
        retry_allowance=pattern.retry_allowance,
        connection_limit=(
            float("inf")
            if pattern.connection_cap is None
            else connection_limit(pattern.connection_cap, sum(pattern.zones))
        ),
        servers_state_load=pattern.servers_state_load,
        ranking=RANKINGS[ranking],
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
    return hosts


def run_pattern(pattern: Pattern, *, seed: int, ranking: str = "product") -> RunResult:
    """Run a pattern and return its result; equal seeds give equal results.

    Parameters
    ----------
    ranking : str
        Name of the ranking of replicas that all hosts use, in ``RANKINGS``.
    """
    random = Random(seed)
    clock = VirtualClock()
    servers = build_servers(pattern, clock=clock, random=random)
    hosts = build_hosts(pattern, clock=clock, servers=servers, random=random, ranking=ranking)
    schedule_slowness_gossip(
        clock, hosts, ages_s=pattern.knowledge_age_s, until_s=pattern.duration_s
    )
    if pattern.connection_cap is not None:
        limit_connections(hosts, servers, connection_cap=pattern.connection_cap)
    schedule_cold_servers(
        hosts, servers, warm_up_rate=pattern.warm_up_rate, random=Random(random.random())
    )
    result = RunResult(kinds=pattern.kinds)
    if pattern.evacuation is not None:
        schedule_evacuation(clock, hosts, pattern.evacuation, random)
        count_evacuated_attempts(clock, servers, pattern.evacuation, result)
    routes = build_routes(pattern)
    for kind in pattern.kinds:
        for at in arrival_times(kind, pattern, random):
            task = caller_task(
                hosts=hosts,
                kind=kind,
                route=routes[kind.name],
                result=result,
                pattern=pattern,
                random=random,
            )
            clock.spawn_at(at, task)
    clock.run()
    clock.close()
    result.record_servers([one for shard_servers in servers.values() for one in shard_servers])
    result.loads = summarize_loads(servers)
    result.cross_zone_attempts = sum(host.cross_zone_attempts for host in hosts)
    result.unwanted_attempts = sum(host.unwanted_attempts for host in hosts)
    result.new_connections = sum(host.new_connections for host in hosts)
    return result


def summarize_loads(servers: dict[str, list[EmulatedServer]]) -> dict[str, LoadSummary]:
    """Return the load of the shards and, if there is one, of the service without shards."""
    loads = {service: [server.load for server in group] for service, group in servers.items()}
    single = loads.pop(SINGLE_SERVICE, None)
    summaries = {"shards": LoadSummary(loads.values())}
    return summaries | ({SINGLE_SERVICE: LoadSummary([single])} if single else {})


def schedule_slowness_gossip(
    clock: VirtualClock,
    hosts: Sequence[EmulatedHost],
    *,
    ages_s: tuple[float, float],
    until_s: float,
) -> None:
    """Schedule the gossip about slow servers between hosts.

    Reports reach a host after a delay between the two in ``ages_s``; it grows evenly from the first
    host to the last, as with the hops in a large fleet.
    """
    least_s, greatest_s = ages_s

    def publish() -> None:
        slowness_reports = SlownessReports()
        for host in hosts:
            slowness_reports.merge(
                first_hand_reports(host.server_states(), now=clock.now), now=clock.now
            )
        for number, host in enumerate(hosts):
            delay_s = least_s + (greatest_s - least_s) * number / len(hosts)
            clock.call_at(clock.now + delay_s, partial(apply_reports, host, slowness_reports))
        if clock.now < until_s:
            clock.call_at(clock.now + REPORT_INTERVAL_S, publish)

    def apply_reports(host: EmulatedHost, slowness_reports: SlownessReports) -> None:
        reports = {report.server: report for report in slowness_reports.unexpired(now=clock.now)}
        for state in host.server_states() if reports else ():
            if state.server.id in reports:
                apply_report(state, reports[state.server.id], now=clock.now)

    clock.call_at(REPORT_INTERVAL_S, publish)


def schedule_evacuation(
    clock: VirtualClock, hosts: Sequence[EmulatedHost], evacuation: Evacuation, random: Random
) -> None:
    """Schedule when each host learns of the begin and of the end of an evacuation."""
    for host in hosts:
        begins_at = evacuation.begin_s + random.random() * FEED_DELAY_S
        ends_at = evacuation.end_s + random.random() * FEED_DELAY_S
        clock.call_at(begins_at, partial(host.begin_evacuation, evacuation.zone))
        clock.call_at(ends_at, partial(host.end_evacuation, evacuation.zone))


def count_evacuated_attempts(
    clock: VirtualClock,
    servers: Mapping[str, Sequence[EmulatedServer]],
    evacuation: Evacuation,
    result: RunResult,
) -> None:
    """Schedule the count of the attempts that reach the zone once all hosts know better."""

    def count(sign: int) -> None:
        result.evacuated_attempts += sign * sum(
            server.load.arrived
            for shard_servers in servers.values()
            for server in shard_servers
            if server.server.zone == evacuation.zone
        )

    clock.call_at(evacuation.begin_s + FEED_DELAY_S + NOTICE_SLACK_S, lambda: count(-1))
    clock.call_at(evacuation.end_s, lambda: count(1))


def caller_task(
    *,
    hosts: Sequence[EmulatedHost],
    kind: RequestKind,
    route: Route,
    result: RunResult,
    pattern: Pattern,
    random: Random,
) -> Callable[[], None]:
    """Return the task of a caller that sends one request, and comes back once if it is refused."""
    clock = hosts[0].clock

    def send_request() -> None:
        started_at = attempt_at = clock.now
        give_up_at = started_at + kind.deadline_s
        answer = ask(random.choice(hosts), kind, route, result, deadline=give_up_at)
        refused_after_s = None
        if kind.returns and answer is not None and answer.status == 503:
            refused_after_s = clock.now - started_at
            delay_s = answer.retry_after_s or 0.0
            clock.sleep(min(delay_s, MAX_RETURN_FRACTION * (give_up_at - clock.now)))
            attempt_at = clock.now
            answer = ask(random.choice(hosts), kind, route, result, deadline=give_up_at)
        if started_at < WARM_UP_S:
            return
        by_kind = [result.by_kind]
        if pattern.burst[0] <= started_at < pattern.burst[1]:
            by_kind.append(result.by_kind_in_burst)
        for results in by_kind:
            results[kind.name].record(
                kind,
                max(1, len(route.shards)),
                answer,
                clock.now - attempt_at,
                refused_after_s=refused_after_s,
            )

    return send_request


def ask(
    host: EmulatedHost, kind: RequestKind, route: Route, result: RunResult, *, deadline: float
) -> ForwardedAnswer | None:
    """Send a caller's request to a host and return the answer, or None after the deadline."""
    clock = host.clock
    sent_at = clock.now
    clock.sleep(CALLER_DELAY_S)
    request = ForwardedRequest(
        request_id=f"{kind.name}-{sent_at}",
        method="GET",
        target="/x",
        host="h",
        received_at=clock.now,
        deadline=max(deadline, clock.now),
    )
    answer = host.answer(request, route)
    clock.sleep(CALLER_DELAY_S)
    result.first_attempts += max(1, len(route.shards))
    return answer


def arrival_times(kind: RequestKind, pattern: Pattern, random: Random) -> list[float]:
    """Draw the arrival times of the requests of a kind from a Poisson process."""
    begin_s, end_s, factor = pattern.burst
    if pattern.burst_factors is not None:
        factor = pattern.burst_factors.get(kind.name, 1.0)
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
    ``partial``, ``refused``, ``failed`` and ``returned`` are fractions of the requests. Kinds whose
    requests burst have a second row for the time of the burst.
    """
    rows = [
        (
            "kind",
            "asked",
            "value",
            "in time",
            "partial",
            "refused",
            "failed",
            "returned",
            "p50 ms",
            "p99 ms",
        )
    ]
    for kind in pattern.kinds:
        rows.append(result_row(kind.name, [result.by_kind[kind.name] for result in results]))
        if pattern.burst_factors is not None:
            rows.append(
                result_row("(burst)", [result.by_kind_in_burst[kind.name] for result in results])
            )
    return rows


def result_row(label: str, kind_results: Sequence[KindResult]) -> tuple[str, ...]:
    """Return the row of one kind of request over several runs."""
    request_count = max(1, sum(one.request_count for one in kind_results))
    pooled = KindResult()
    pooled.latencies = [value for one in kind_results for value in one.latencies]

    def fraction(count: float) -> str:
        return f"{count / request_count:.3f}"

    return (
        label,
        str(sum(one.request_count for one in kind_results)),
        fraction(sum(one.total_value for one in kind_results)),
        fraction(sum(one.in_time for one in kind_results)),
        fraction(sum(one.partial for one in kind_results)),
        fraction(sum(one.refused for one in kind_results)),
        fraction(sum(one.failed for one in kind_results)),
        fraction(sum(one.returned for one in kind_results)),
        f"{pooled.quantile(0.5) * 1000:.0f}",
        f"{pooled.quantile(0.99) * 1000:.0f}",
    )
