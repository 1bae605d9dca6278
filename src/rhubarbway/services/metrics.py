"""Prometheus metrics, kept with aioprometheus; one task applies all observations."""

from __future__ import annotations

import queue
import threading
import time
from collections import deque
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.formats import text

from rhubarbway.kernel import Kernel
from rhubarbway.services.deletion_metrics import DeletionMetrics
from rhubarbway.services.era_metrics import EraMetrics
from rhubarbway.services.latency_tally import LatencyTally
from rhubarbway.services.shared_server_metrics import SharedServerMetrics

LATENCY_BUCKETS_S = [0.002, 0.005, 0.01, 0.02, 0.04, 0.08, 0.16, 0.32, 0.64, 1.28, 5.0]
COVERAGE_BUCKETS = [0.0, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.999999, 1.0]
# Observations beyond this number are discarded, uncounted, until the pending ones are applied.
MAX_PENDING_OBSERVATIONS = 100_000
# Observations are applied in batches. Waking the task for each one would take the interpreter lock
# from the queries each time.
APPLY_INTERVAL_S = 1.0


class MetricsService:
    """Holds the metrics and the task that updates them.

    aioprometheus is not thread-safe: ``Counter.inc`` and ``Histogram.observe`` read and write a
    dictionary entry without a lock, and the formatter iterates over the same dictionaries. Only
    one task uses them. Other tasks append closures to a deque, whose ``append`` and ``popleft``
    are atomic.
    """

    __slots__ = (
        "attempt_counter",
        "broken_invariants",
        "condition",
        "closed_connections",
        "connection_failures",
        "copy_confirmed",
        "delegated_requests",
        "deletions",
        "dropped_observations",
        "evacuated_zones",
        "entry_hosts",
        "exchange_latency",
        "exchange_tally",
        "executor",
        "feed_bytes",
        "feed_replies",
        "forwarded_latency",
        "frontend_refusals",
        "invalid_items",
        "load_level",
        "manifest_version",
        "missing_shards",
        "pending_observations",
        "pending_scrapes",
        "query_coverage",
        "query_failures",
        "query_latency",
        "refused_bytes",
        "registry",
        "request_refusals",
        "shared_servers",
        "stopping",
        "store_eras",
        "unexpected_data",
    )

    def __init__(self) -> None:
        self.registry = Registry()
        self.shared_servers = SharedServerMetrics(
            registry=self.registry, queue_observation=self.queue_observation
        )
        self.deletions = DeletionMetrics(
            registry=self.registry, queue_observation=self.queue_observation
        )
        self.store_eras = EraMetrics(
            registry=self.registry, queue_observation=self.queue_observation
        )
        self.query_latency = Histogram(
            "rhubarbway_query_seconds",
            "Time from reading a query to its reply, by tenant and service.",
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.query_coverage = Histogram(
            "rhubarbway_query_coverage",
            "Coverage of answers, by tenant and service.",
            buckets=COVERAGE_BUCKETS,
            registry=self.registry,
        )
        self.query_failures = Counter(
            "rhubarbway_query_failures_total",
            "Failed queries, by kind and proof of running.",
            registry=self.registry,
        )
        self.attempt_counter = Counter(
            "rhubarbway_attempts_total",
            "Sub-queries sent, by service and cause (first, retry, hedge).",
            registry=self.registry,
        )
        self.manifest_version = Gauge(
            "rhubarbway_manifest_version",
            "Version of the manifest in force.",
            registry=self.registry,
        )
        self.frontend_refusals = Counter(
            "rhubarbway_frontend_refusals_total",
            "Requests that the frontend did not understand or accept, by kind.",
            registry=self.registry,
        )
        self.forwarded_latency = Histogram(
            "rhubarbway_forwarded_seconds",
            "Time from reading a forwarded request to its answer, by host, route and result.",
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.missing_shards = Counter(
            "rhubarbway_missing_shards_total",
            "Shards that answers lacked, by route.",
            registry=self.registry,
        )
        self.exchange_latency = Histogram(
            "rhubarbway_exchange_seconds",
            "Time of attempts at backend servers, by service and end.",
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.request_refusals = Counter(
            "rhubarbway_request_refusals_total",
            "Forwarded requests that this host refused, by route, priority and reason.",
            registry=self.registry,
        )
        self.load_level = Gauge(
            "rhubarbway_load_level",
            "Expected time of requests as a fraction of the time until their targets.",
            registry=self.registry,
        )
        self.exchange_tally = LatencyTally(label_names=("service", "end"), bounds=LATENCY_BUCKETS_S)
        self.entry_hosts = Gauge(
            "rhubarbway_entry_hosts",
            "Entry hosts that share the limits, as this one counts them.",
            registry=self.registry,
        )
        self.broken_invariants = Counter(
            "rhubarbway_broken_invariants_total",
            "Checks of what must always hold that failed, by name.",
            registry=self.registry,
        )
        self.connection_failures = Counter(
            "rhubarbway_connection_failures_total",
            "Connections ended or answers replaced by an exception, by side and kind.",
            registry=self.registry,
        )
        self.closed_connections = Counter(
            "rhubarbway_closed_connections_total",
            "Connections closed by a bound on callers, by side, phase and reason.",
            registry=self.registry,
        )
        self.refused_bytes = Counter(
            "rhubarbway_refused_bytes_total",
            "Bodies and replies for which this host had no memory, by kind (body, reply).",
            registry=self.registry,
        )
        self.unexpected_data = Counter(
            "rhubarbway_unexpected_data_total",
            "Connections given up because of data that answers no request, by their kind (side).",
            registry=self.registry,
        )
        self.delegated_requests = Counter(
            "rhubarbway_delegated_requests_total",
            "Fan-outs that this host passed to another entry host, by end of the exchange.",
            registry=self.registry,
        )
        self.invalid_items = Counter(
            "rhubarbway_invalid_items_total",
            "Values of the store that could not be used, by kind (server, configuration).",
            registry=self.registry,
        )
        self.copy_confirmed = Gauge(
            "rhubarbway_store_copy_confirmed_timestamp_seconds",
            "Unix time at which the store last confirmed that this host's copy is current.",
            registry=self.registry,
        )
        self.evacuated_zones = Gauge(
            "rhubarbway_zone_evacuated",
            "Whether a zone is evacuated (1) or was evacuated before (0), by zone.",
            registry=self.registry,
        )
        self.feed_replies = Counter(
            "rhubarbway_feed_replies_total",
            "Replies to the feed requests of other hosts, by content (whole, changes, members).",
            registry=self.registry,
        )
        self.feed_bytes = Counter(
            "rhubarbway_feed_bytes_total",
            "Bytes of the bodies of these replies, by content.",
            registry=self.registry,
        )
        # Counts the observations that raised an exception when they were applied.
        self.dropped_observations = Counter(
            "rhubarbway_observations_dropped_total",
            "Faulty observations that were not recorded.",
            registry=self.registry,
        )
        self.pending_observations: deque[Callable[[], None]] = deque()
        self.pending_scrapes: list[queue.SimpleQueue[bytes]] = []
        self.condition = threading.Condition()
        self.stopping = False
        self.executor = ThreadPoolExecutor(1, thread_name_prefix="metrics")

    def start(self, kernel: Kernel) -> None:
        """Start the task that applies observations."""
        self.executor.submit(self.apply_observations)

    def stop(self) -> None:
        """Apply the pending observations and end the task."""
        with self.condition:
            self.stopping = True
            self.condition.notify()
        self.executor.shutdown(wait=True)

    def apply_observations(self) -> None:
        """Task: apply the pending observations, at intervals and before each exposition."""
        while True:
            with self.condition:
                self.condition.wait_for(
                    lambda: self.stopping or self.pending_scrapes, timeout=APPLY_INTERVAL_S
                )
                stopping = self.stopping
                scrapes, self.pending_scrapes = self.pending_scrapes, []
            self.apply_pending()
            if scrapes:
                self.exchange_tally.write_to(self.exchange_latency)
            for scrape in scrapes:
                scrape.put(text.TextFormatter().marshall(self.registry))
            if stopping:
                return

    def apply_pending(self) -> None:
        """Run the pending closures; one that raises is counted and dropped."""
        for _ in range(len(self.pending_observations)):
            observe = self.pending_observations.popleft()
            try:
                observe()
            except Exception:
                self.dropped_observations.inc({})

    def queue_observation(self, observe: Callable[[], None]) -> None:
        """Queue an observation for the task that applies it; thread-safe."""
        if len(self.pending_observations) < MAX_PENDING_OBSERVATIONS:
            self.pending_observations.append(observe)

    def observe_answer(self, *, tenant: str, service: str, seconds: float, coverage: float) -> None:
        """Record the latency and coverage of an answered query."""
        labels = {"tenant": tenant, "service": service}

        def observe() -> None:
            self.query_latency.observe(labels, seconds)
            self.query_coverage.observe(labels, coverage)

        self.queue_observation(observe)

    def count_failure(self, *, kind: str, ran: str) -> None:
        """Count a failed query by the values of its ``FailureKind`` and ``ExecutionStatus``."""
        self.queue_observation(lambda: self.query_failures.inc({"kind": kind, "ran": ran}))

    def count_attempts(self, *, service: str, cause: str, count: int) -> None:
        """Add the attempts of one query with the same cause."""
        self.queue_observation(
            lambda: self.attempt_counter.add({"service": service, "cause": cause}, count)
        )

    def set_manifest_version(self, version: int) -> None:
        """Record the version of the manifest in force."""
        self.queue_observation(lambda: self.manifest_version.set({}, version))

    def count_refusal(self, *, kind: str) -> None:
        """Count a request that the frontend refused."""
        self.queue_observation(lambda: self.frontend_refusals.inc({"kind": kind}))

    def observe_forwarded(
        self, *, host: str, route: str, result: str, seconds: float, missing: int
    ) -> None:
        """Record the answer to a forwarded request; ``host`` names the organisation's domain."""
        labels = {"host": host, "route": route, "result": result}

        def observe() -> None:
            self.forwarded_latency.observe(labels, seconds)
            if missing:
                self.missing_shards.add({"route": route}, missing)

        self.queue_observation(observe)

    def observe_exchange(self, *, service: str, end: str, seconds: float) -> None:
        """Record the duration and end of an attempt at a backend server."""
        self.exchange_tally.observe((service, end), seconds)

    def count_broken_invariant(self, *, name: str) -> None:
        """Count a failed check of the invariant ``name``."""
        self.queue_observation(lambda: self.broken_invariants.inc({"invariant": name}))

    def count_connection_failure(self, *, side: str, error: str) -> None:
        """Count an exception that ended a connection or replaced an answer."""
        labels = {"side": side, "error": error}
        self.queue_observation(lambda: self.connection_failures.inc(labels))

    def count_closed_connection(self, *, side: str, phase: str, reason: str) -> None:
        """Count a connection that a bound on callers has closed."""
        labels = {"side": side, "phase": phase, "reason": reason}
        self.queue_observation(lambda: self.closed_connections.inc(labels))

    def count_refused_bytes(self, kind: str) -> None:
        """Count a body or a reply for which this host had no memory."""
        self.queue_observation(lambda: self.refused_bytes.inc({"kind": kind}))

    def count_unexpected_data(self, *, side: str) -> None:
        """Count a connection that held data which answers no request."""
        self.queue_observation(lambda: self.unexpected_data.inc({"side": side}))

    def count_delegation(self, *, end: str) -> None:
        """Count a request that was passed to another host, by the end of the exchange."""
        self.queue_observation(lambda: self.delegated_requests.inc({"end": end}))

    def count_request_refusal(self, *, route: str, priority: int, reason: str) -> None:
        """Count a forwarded request that this host refused, by the priority of its route."""
        labels = {"route": route, "priority": str(priority), "reason": reason}
        self.queue_observation(lambda: self.request_refusals.inc(labels))

    def set_load_level(self, level: float) -> None:
        """Record the expected time of requests as a fraction of the time until their targets."""
        self.queue_observation(lambda: self.load_level.set({}, level))

    def count_invalid_item(self, *, kind: str) -> None:
        """Count a value of the store that could not be used."""
        self.queue_observation(lambda: self.invalid_items.inc({"kind": kind}))

    def set_copy_confirmed(self, age_s: float) -> None:
        """Record that the copy of the store was current ``age_s`` seconds ago."""
        confirmed_at = time.time() - age_s
        self.queue_observation(lambda: self.copy_confirmed.set({}, confirmed_at))

    def set_zone_evacuated(self, zone: str, evacuated: bool) -> None:
        """Record the begin or the end of the evacuation of a zone."""
        self.queue_observation(lambda: self.evacuated_zones.set({"zone": zone}, int(evacuated)))

    def count_feed_reply(self, *, content: str, size: int) -> None:
        """Count a reply to another host, whose body has ``size`` bytes."""

        def observe() -> None:
            self.feed_replies.inc({"content": content})
            self.feed_bytes.add({"content": content}, size)

        self.queue_observation(observe)

    def set_entry_hosts(self, count: int) -> None:
        """Record the number of entry hosts that share the limits: the maximum of a window."""
        self.queue_observation(lambda: self.entry_hosts.set({}, count))

    def exposition(self) -> bytes:
        """Return all metrics in the Prometheus text format.

        Raises
        ------
        queue.Empty
            If the task does not format them within 5 s.
        """
        self.shared_servers.observe_scrape()
        done: queue.SimpleQueue[bytes] = queue.SimpleQueue()
        with self.condition:
            self.pending_scrapes.append(done)
            self.condition.notify()
        return done.get(timeout=5.0)
