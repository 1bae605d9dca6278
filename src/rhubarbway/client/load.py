"""Load tests of entry hosts: latency, coverage and failures."""

from __future__ import annotations

import itertools
import time
from collections import Counter
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from hdrh.histogram import HdrHistogram

from rhubarbway.client.caller import CallerConnection, QueryReply

# Range (microseconds) and precision (decimal digits) of the latency histogram.
MIN_LATENCY_US = 1
MAX_LATENCY_US = 120_000_000
SIGNIFICANT_DIGITS = 3

CONCURRENCY_LIMIT = 256
DURATION_LIMIT_S = 600.0


class LoadPlan:
    """Targets, queries and limits of a load test.

    Parameters
    ----------
    addresses : list of str
        ``IP:PORT`` of the entry hosts; connections are assigned to them in turn.
    jobs : list of str
        Job names, used in turn.
    concurrency : int
        Number of connections, each with one query in flight.
    duration_s : float
        Time after which no further query starts, seconds.
    rate : float or None
        Queries per second over all connections; with None, each connection sends its next query at
        once after a reply. With a rate, latency is measured from the planned start of a query, so
        that it includes the delay that slow replies cause to later queries on the same connection.
    queries : int or None
        Number of queries after which no further query starts.
    deadline_ms : int or None
        Deadline of each query, milliseconds; the tenant's by default.
    """

    __slots__ = ("addresses", "concurrency", "deadline_ms", "duration_s", "jobs", "queries", "rate")

    def __init__(
        self,
        *,
        addresses: list[str],
        jobs: list[str],
        concurrency: int,
        duration_s: float,
        rate: float | None = None,
        queries: int | None = None,
        deadline_ms: int | None = None,
    ) -> None:
        if not 0 < concurrency <= CONCURRENCY_LIMIT:
            raise ValueError(
                f"concurrency must be between 1 and {CONCURRENCY_LIMIT}, not {concurrency}"
            )
        if not 0 < duration_s <= DURATION_LIMIT_S:
            raise ValueError(
                f"duration must be greater than 0 and at most {DURATION_LIMIT_S:g} s, "
                f"not {duration_s:g} s"
            )
        if rate is not None and rate <= 0:
            raise ValueError(f"rate must be greater than 0, not {rate:g}")
        self.addresses = addresses
        self.jobs = jobs
        self.concurrency = concurrency
        self.duration_s = duration_s
        self.rate = rate
        self.queries = queries
        self.deadline_ms = deadline_ms


class LoadReport:
    """Result of a load test, or of one of its connections.

    Attributes
    ----------
    answered, complete : int
        Number of answers, and of those in which all shards answered.
    coverage_sum : float
        Sum of the coverage (0 to 1) of all answers.
    failures : Counter of str
        Number of failures by kind.
    histogram : HdrHistogram
        Latencies of the answers, microseconds.
    elapsed_s : float
        Duration of the whole test, seconds; 0 in the report of a connection.
    """

    __slots__ = ("answered", "complete", "coverage_sum", "elapsed_s", "failures", "histogram")

    def __init__(self) -> None:
        self.answered = 0
        self.complete = 0
        self.coverage_sum = 0.0
        self.failures: Counter[str] = Counter()
        self.histogram = HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        self.elapsed_s = 0.0

    @property
    def sent(self) -> int:
        """Number of queries that ended, with an answer or a failure."""
        return self.answered + self.failures.total()

    def add(self, reply: QueryReply, *, start_delay_s: float) -> None:
        """Record a reply whose query started ``start_delay_s`` seconds after its planned time.

        The latency of an answer includes this delay.
        """
        kind = reply.failure
        if kind is not None:
            self.failures[kind] += 1
            return
        self.answered += 1
        self.coverage_sum += reply.body.coverage.fraction
        self.complete += reply.body.coverage.shards_answered == reply.body.coverage.shards_total
        self.histogram.record_value(
            max(MIN_LATENCY_US, int((reply.latency_s + start_delay_s) * 1e6))
        )

    def merge(self, other: LoadReport) -> None:
        """Add the results of another report to this one, except the elapsed time."""
        self.answered += other.answered
        self.complete += other.complete
        self.coverage_sum += other.coverage_sum
        self.failures.update(other.failures)
        self.histogram.add(other.histogram)

    def lines(self) -> list[str]:
        """Return the report as lines of text; without answers, it has no latency or coverage."""
        rate = self.sent / self.elapsed_s if self.elapsed_s else 0.0
        lines = [
            f"{self.sent} queries in {self.elapsed_s:.1f} s ({rate:.0f}/s), "
            f"{self.answered} answered"
        ]
        if self.answered:
            quantiles = (50.0, 90.0, 99.0, 99.9, 100.0)
            values = [self.histogram.get_value_at_percentile(q) / 1000 for q in quantiles]
            pairs = zip(quantiles, values, strict=True)
            lines.append("latency: " + ", ".join(f"p{q:g} {value:.1f} ms" for q, value in pairs))
            mean = self.coverage_sum / self.answered
            lines.append(
                f"coverage: mean {mean:.4f}, all shards answered in {self.complete}/{self.answered}"
            )
        lines += [f"failures: {kind} {count}" for kind, count in sorted(self.failures.items())]
        return lines


def run_load(
    plan: LoadPlan, *, observe: Callable[[int, QueryReply], None] = lambda number, reply: None
) -> LoadReport:
    """Run a load test, one task for each connection, and return the merged report.

    Parameters
    ----------
    plan : LoadPlan
        Targets, queries and limits.
    observe : callable
        Called with the number of each query and its reply, in the task of its connection; calls
        of several connections may run at the same time.
    """
    numbers = itertools.count() if plan.queries is None else iter(range(plan.queries))
    started_at = time.monotonic()
    with ThreadPoolExecutor(plan.concurrency, thread_name_prefix="load") as executor:
        futures = [
            executor.submit(
                send_queries,
                plan,
                address=plan.addresses[index % len(plan.addresses)],
                numbers=numbers,
                started_at=started_at,
                observe=observe,
            )
            for index in range(plan.concurrency)
        ]
    report = LoadReport()
    for future in futures:
        report.merge(future.result())
    report.elapsed_s = time.monotonic() - started_at
    return report


def send_queries(
    plan: LoadPlan,
    *,
    address: str,
    numbers: Iterator[int],
    started_at: float,
    observe: Callable[[int, QueryReply], Any],
) -> LoadReport:
    """Send queries on one connection until the load test ends, and return its report."""
    report = LoadReport()
    connection = CallerConnection(address=address)
    end = started_at + plan.duration_s
    # All connections share one iterator, whose next() is atomic, so that each number is used once.
    for number in numbers:
        now = time.monotonic()
        planned = started_at + number / plan.rate if plan.rate is not None else now
        if max(planned, now) >= end:
            break
        if planned > now:
            time.sleep(planned - now)
        start_delay_s = max(0.0, time.monotonic() - planned)
        reply = connection.query(
            request_id=f"load-{number}",
            job=plan.jobs[number % len(plan.jobs)],
            payload={"q": number},
            deadline_ms=plan.deadline_ms,
        )
        report.add(reply, start_delay_s=start_delay_s)
        observe(number, reply)
    connection.close()
    return report
