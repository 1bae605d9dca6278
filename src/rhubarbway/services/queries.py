"""The service that runs the queries of callers."""

from __future__ import annotations

import itertools
import math
import threading
import time
from random import Random
from typing import TYPE_CHECKING, Any

from returns.result import Failure, Result, Success

from rhubarbway.decisions.admission import AdmissionQueue, Ticket, TicketState
from rhubarbway.decisions.hedging import hedge_delay_s, partial_answer_delay_s
from rhubarbway.decisions.job_names import resolve_prefix
from rhubarbway.decisions.latency import LatencyDistribution
from rhubarbway.decisions.merging import required_coverage
from rhubarbway.decisions.retry_budget import TokenBucket
from rhubarbway.decisions.slices import slice_plan
from rhubarbway.kernel import Kernel
from rhubarbway.model import (
    Answer,
    AttemptId,
    ExecutionStatus,
    FailureKind,
    HostIdentity,
    JobPrefix,
    Query,
    Service,
    Tenant,
)
from rhubarbway.model import Failure as RequestFailure
from rhubarbway.services.backends import BackendService, query_capacity
from rhubarbway.services.crashes import CrashService
from rhubarbway.services.extra_attempt_limits import ExtraAttemptLimits
from rhubarbway.services.fan_out import FanOut
from rhubarbway.services.manifest import ManifestService
from rhubarbway.services.metrics import MetricsService
from rhubarbway.services.names import BACKENDS, CRASHES, MANIFEST, METRICS, PEERS, SLICES
from rhubarbway.services.pause_gate import PauseGate

if TYPE_CHECKING:
    from rhubarbway.services.slices import SlicedRun, SliceService


class TenantBudgets:
    """Token buckets for the hedges and the retries of one tenant."""

    __slots__ = ("hedges", "retries")

    def __init__(self, *, hedge_budget: float, retry_budget: float) -> None:
        self.hedges = TokenBucket(refill_ratio=hedge_budget)
        self.retries = TokenBucket(refill_ratio=retry_budget)


class QueryService:
    """Resolves the job name, admits the query, runs its fan-out, records latencies and metrics.

    Queries over slices differ: see ``answer_by_slices``.

    ``lock`` guards ``admission``, ``budgets``, which are kept by tenant, and
    ``latency_distributions``, which are kept by service. It is held only for a few microseconds at
    a time.
    """

    __slots__ = (
        "admission",
        "backends",
        "budgets",
        "attempt_counter",
        "crashes",
        "pause_gate",
        "identity",
        "latency_distributions",
        "lock",
        "manifest",
        "metrics",
        "random",
        "slices",
    )

    def __init__(self, *, identity: HostIdentity) -> None:
        self.identity = identity
        self.attempt_counter = itertools.count(1)
        self.random = Random(identity.incarnation)
        self.lock = threading.Lock()
        self.admission = AdmissionQueue()
        self.budgets: dict[str, TenantBudgets] = {}
        self.latency_distributions: dict[str, LatencyDistribution] = {}
        self.backends: BackendService
        self.crashes: CrashService
        self.manifest: ManifestService
        self.metrics: MetricsService
        self.pause_gate: PauseGate
        self.slices: SliceService

    def start(self, kernel: Kernel) -> None:
        """Find the services that queries need."""
        self.backends = kernel.find(BACKENDS)
        self.crashes = kernel.find(CRASHES)
        self.manifest = kernel.find(MANIFEST)
        self.metrics = kernel.find(METRICS)
        self.pause_gate = kernel.find(PEERS).pause_gate
        self.slices = kernel.find(SLICES)

    def stop(self) -> None:
        """Do nothing: queries run in the tasks of their callers' connections."""

    def next_attempt_id(self) -> AttemptId:
        """Return a unique attempt identity."""
        return AttemptId(
            host=self.identity.name,
            incarnation=self.identity.incarnation,
            counter=next(self.attempt_counter),
        )

    def answer(self, query: Query) -> Result[Answer, RequestFailure]:
        """Run a query; the token of an unsafe one has already been checked."""
        started_at = time.monotonic()
        self.pause_gate.wait()
        manifest = self.manifest.in_force
        if manifest is None:
            return self.refuse(
                RequestFailure(
                    kind=FailureKind.NOT_READY,
                    ran=ExecutionStatus.NOT_RUN,
                    detail="no manifest is in force",
                )
            )
        resolved = resolve_prefix(manifest, query.job)
        if not isinstance(resolved, Success):
            return self.refuse(resolved.failure())
        prefix = resolved.unwrap()
        service = manifest.services[prefix.service or ""]
        tenant = manifest.tenants[service.tenant]
        query.deadline = min(query.deadline, started_at + tenant.policy.deadline_ms / 1000)
        if not slice_plan(manifest).direct:
            return self.answer_by_slices(query, prefix, service, tenant, started_at)
        pools = self.backends.pools_by_shard(service)
        refusal = self.crashes.refusal(query)
        if refusal is None:
            ticket, refusal = self.admit(
                query, service, tenant, query_capacity(pools, now=started_at)
            )
        if refusal is not None:
            return self.refuse(refusal)
        extra_attempt_limits = self.create_extra_attempt_limits(service, tenant)
        fan_out = self.create_fan_out(
            query, prefix, service, tenant, extra_attempt_limits=extra_attempt_limits
        )
        result: Result[Answer, RequestFailure] | None = None
        try:
            result = fan_out.run()
            if fan_out.should_rerun():
                fan_out = self.create_fan_out(
                    query,
                    prefix,
                    service,
                    tenant,
                    extra_attempt_limits=extra_attempt_limits,
                    previous_run=fan_out,
                )
                result = result_with_higher_coverage(
                    result, fan_out.run(), attempts=fan_out.attempts
                )
        finally:
            self.finish(ticket, fan_out, answered=isinstance(result, Success))
        if isinstance(result, Success):
            self.crashes.record_answer(query, result.unwrap().coverage)
        self.record_metrics(result, fan_out, started_at)
        return result

    def refuse(self, failure: RequestFailure) -> Result[Answer, RequestFailure]:
        """Count a query that is refused before any attempt, and return its failure."""
        self.metrics.count_failure(kind=failure.kind.value, ran=failure.ran.value)
        return Failure(failure)

    def create_fan_out(
        self, query: Query, prefix: JobPrefix, service: Service, tenant: Tenant, **options: Any
    ) -> FanOut:
        """Return a fan-out over the shards of a service; ``options`` are passed to ``FanOut``."""
        return FanOut(
            query=query,
            prefix=prefix,
            service=service,
            policy=tenant.policy,
            pools=self.backends.pools_by_shard(service),
            crashes=self.crashes,
            zone=self.identity.zone,
            next_attempt_id=self.next_attempt_id,
            random=self.random,
            wait_queue=self.backends.wait_queue,
            **options,
        )

    def answer_by_slices(
        self, query: Query, prefix: JobPrefix, service: Service, tenant: Tenant, started_at: float
    ) -> Result[Answer, RequestFailure]:
        """Run a query through the owners of its slices, which alone connect to the replicas.

        This host neither checks the quarantine of such a query nor admits it, and records neither
        its latencies nor, for the crash service, its answer.
        """
        run = self.slices.create_run(query, prefix, service)
        result = run.run(required_coverage=required_coverage(query, tenant.policy))
        self.record_metrics(result, run, started_at)
        return result

    def run_slice(
        self, query: Query, service: Service, *, snapshot: str
    ) -> tuple[Result[Answer, RequestFailure], FanOut]:
        """Run a query on the shards of one slice, on the snapshot chosen for all slices.

        ``service`` has only the shards of the slice. The query is not admitted and its latencies
        are not recorded; ``FanOut`` ends it if it is in quarantine.
        """
        manifest = self.manifest.in_force
        tenant = manifest.tenants[service.tenant]
        fan_out = self.create_fan_out(
            query,
            resolve_prefix(manifest, query.job).unwrap(),
            service,
            tenant,
            extra_attempt_limits=self.create_extra_attempt_limits(service, tenant),
            pinned_snapshot=snapshot,
        )
        return fan_out.run(), fan_out

    def admit(
        self, query: Query, service: Service, tenant: Tenant, capacity: int
    ) -> tuple[Ticket, RequestFailure | None]:
        """Wait for admission until the deadline of the query.

        Returns the ticket, and a failure of kind ``OVERLOADED`` if the query is refused.
        """
        woken = threading.Event()
        ticket = Ticket(
            tenant=tenant.name,
            service=service.name,
            cost=len(service.shards),
            deadline=query.deadline,
            digest=None if query.unsafe else query.digest,
            wake=woken.set,
        )
        with self.lock:
            self.admission.offer(ticket, tenant, capacity=capacity, now=time.monotonic())
        if ticket.state is TicketState.WAITING and not woken.wait(
            max(0.0, query.deadline - time.monotonic())
        ):
            with self.lock:
                self.admission.withdraw(ticket, time.monotonic())
        if ticket.state is not TicketState.REFUSED:
            return ticket, None
        return ticket, RequestFailure(
            kind=FailureKind.OVERLOADED,
            ran=ExecutionStatus.NOT_RUN,
            detail=f"{service.name} has more queries than it can answer in time",
            retry_after_ms=math.ceil(ticket.retry_after_s * 1000),
        )

    def create_extra_attempt_limits(self, service: Service, tenant: Tenant) -> ExtraAttemptLimits:
        """Return the hedge and retry limits of a query, from the tenant's budgets and the load.

        Each call refills both budgets for the shards of one query.
        """
        policy = tenant.policy
        now = time.monotonic()
        with self.lock:
            budgets = self.budgets.get(tenant.name)
            if budgets is None:
                budgets = self.budgets[tenant.name] = TenantBudgets(
                    hedge_budget=policy.hedge_budget, retry_budget=policy.retry_budget
                )
            budgets.hedges.refill_ratio = policy.hedge_budget
            budgets.retries.refill_ratio = policy.retry_budget
            budgets.hedges.refill(len(service.shards))
            budgets.retries.refill(len(service.shards))
            latencies = self.latency_distributions.get(service.name)
            if latencies is None:
                latencies = self.latency_distributions[service.name] = LatencyDistribution(now=now)
            delay_s = hedge_delay_s(latencies, policy)
            partial_answer_after_s = partial_answer_delay_s(latencies, policy)

        def take_hedge_permit() -> bool:
            with self.lock:
                return (
                    not self.admission.is_overloaded(time.monotonic())
                    and budgets.hedges.try_acquire()
                )

        def take_retry_permit() -> bool:
            with self.lock:
                return budgets.retries.try_acquire()

        return ExtraAttemptLimits(
            hedge_delay_s=delay_s,
            partial_answer_after_s=partial_answer_after_s,
            take_hedge_permit=take_hedge_permit,
            take_retry_permit=take_retry_permit,
        )

    def finish(self, ticket: Ticket, fan_out: FanOut, *, answered: bool) -> None:
        """Record the latencies of the last run of a query, and end its admission.

        Wakes the waiting queries that now start or are refused.
        """
        now = time.monotonic()
        with self.lock:
            latencies = self.latency_distributions[fan_out.service.name]
            for seconds in fan_out.latencies:
                latencies.record(seconds, now)
            woken = self.admission.end(ticket, record_latency=answered, now=now)
        for other in woken:
            other.wake()

    def record_metrics(
        self,
        result: Result[Answer, RequestFailure],
        fan_out: FanOut | SlicedRun,
        started_at: float,
    ) -> None:
        """Record the metrics of a query that ended."""
        service = fan_out.service
        first = fan_out.attempts - fan_out.hedges - fan_out.retries
        for cause, count in (
            ("first", first),
            ("hedge", fan_out.hedges),
            ("retry", fan_out.retries),
        ):
            if count:
                self.metrics.count_attempts(service=service.name, cause=cause, count=count)
        if isinstance(result, Success):
            self.metrics.observe_answer(
                tenant=service.tenant,
                service=service.name,
                seconds=time.monotonic() - started_at,
                coverage=result.unwrap().coverage.fraction,
            )
        else:
            failure = result.failure()
            self.metrics.count_failure(kind=failure.kind.value, ran=failure.ran.value)


def result_with_higher_coverage(
    first: Result[Answer, RequestFailure],
    second: Result[Answer, RequestFailure],
    *,
    attempts: int,
) -> Result[Answer, RequestFailure]:
    """Return the result with the higher coverage of the two runs of a query that was rerun.

    ``attempts`` is the number of attempts of both runs together.
    """
    if not isinstance(first, Success):
        return second
    if isinstance(second, Success):
        fractions = [result.unwrap().coverage.fraction for result in (first, second)]
        if fractions[1] >= fractions[0]:
            return second
    first.unwrap().attempts = attempts
    return first
