"""Running queries of callers."""

from __future__ import annotations

import itertools
import math
import threading
import time
from random import Random
from typing import TYPE_CHECKING, Any

from returns.result import Failure, Result, Success

from rhubarbway.decisions.admission import AdmissionQueue, Ticket, TicketState
from rhubarbway.decisions.hedging import hedge_delay, partial_answer_delay
from rhubarbway.decisions.job_names import resolved_prefix
from rhubarbway.decisions.latency import LatencyDistribution
from rhubarbway.decisions.merging import wanted_coverage
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
from rhubarbway.services.backends import BackendService, capacity_of
from rhubarbway.services.crashes import CrashService
from rhubarbway.services.extra_attempts import ExtraAttempts
from rhubarbway.services.fan_out import FanOut
from rhubarbway.services.manifest import ManifestService
from rhubarbway.services.metrics import MetricsService
from rhubarbway.services.names import BACKENDS, CRASHES, MANIFEST, METRICS, PEERS, SLICES
from rhubarbway.services.pause_gate import PauseGate

if TYPE_CHECKING:
    from rhubarbway.services.slices import SlicedRun, SliceService


class TenantBudgets:
    """Permits of one tenant for retries and hedges."""

    __slots__ = ("hedges", "retries")

    def __init__(self, *, hedge_budget: float, retry_budget: float) -> None:
        self.hedges = TokenBucket(share=hedge_budget)
        self.retries = TokenBucket(share=retry_budget)


class QueryService:
    """Resolves a query, admits it, runs its fan-out and learns from what happened.

    ``lock`` guards ``admission``, ``budgets`` and ``learnt``; each is used for some microseconds.
    """

    __slots__ = (
        "admission",
        "backends",
        "budgets",
        "counter",
        "crashes",
        "gate",
        "identity",
        "learnt",
        "lock",
        "manifest",
        "metrics",
        "random",
        "slices",
    )

    def __init__(self, *, identity: HostIdentity) -> None:
        self.identity = identity
        self.counter = itertools.count(1)
        self.random = Random(identity.incarnation)
        self.lock = threading.Lock()
        self.admission = AdmissionQueue()
        self.budgets: dict[str, TenantBudgets] = {}
        self.learnt: dict[str, LatencyDistribution] = {}
        self.backends: BackendService
        self.crashes: CrashService
        self.manifest: ManifestService
        self.metrics: MetricsService
        self.gate: PauseGate
        self.slices: SliceService

    def start(self, kernel: Kernel) -> None:
        """Find the services that queries need."""
        self.backends = kernel.find(BACKENDS)
        self.crashes = kernel.find(CRASHES)
        self.manifest = kernel.find(MANIFEST)
        self.metrics = kernel.find(METRICS)
        self.gate = kernel.find(PEERS).pause_gate
        self.slices = kernel.find(SLICES)

    def stop(self) -> None:
        """Nothing runs here; queries run in the tasks of their callers."""

    def next_attempt(self) -> AttemptId:
        """Return an attempt identity that was never used before."""
        return AttemptId(
            host=self.identity.name,
            incarnation=self.identity.incarnation,
            counter=next(self.counter),
        )

    def answer(self, query: Query) -> Result[Answer, RequestFailure]:
        """Run a query; safe and unsafe ones alike, the token having been checked before."""
        started = time.monotonic()
        self.gate.wait()
        manifest = self.manifest.in_force
        if manifest is None:
            return self.refused(
                RequestFailure(
                    kind=FailureKind.NOT_READY,
                    ran=ExecutionStatus.NOT_RUN,
                    detail="no manifest is in force",
                )
            )
        resolved = resolved_prefix(manifest, query.job)
        if not isinstance(resolved, Success):
            return self.refused(resolved.failure())
        prefix = resolved.unwrap()
        service = manifest.services[prefix.service or ""]
        tenant = manifest.tenants[service.tenant]
        query.deadline = min(query.deadline, started + tenant.policy.deadline_ms / 1000)
        if not slice_plan(manifest).direct:
            return self.answer_by_slices(query, prefix, service, tenant, started)
        pools = self.backends.pools_of(service)
        refusal = self.crashes.refusal(query)
        if refusal is None:
            ticket, refusal = self.admitted(query, service, tenant, capacity_of(pools, now=started))
        if refusal is not None:
            return self.refused(refusal)
        extra = self.extra_attempts(service, tenant)
        fan_out = self.fan_out(query, prefix, service, tenant, extra=extra)
        result: Result[Answer, RequestFailure] | None = None
        try:
            result = fan_out.run()
            if fan_out.should_move():
                fan_out = self.fan_out(
                    query, prefix, service, tenant, extra=extra, moved_from=fan_out
                )
                result = more_covered(result, fan_out.run(), attempts=fan_out.attempts)
        finally:
            self.finish(ticket, fan_out, answered=isinstance(result, Success))
        if isinstance(result, Success):
            self.crashes.note_answered(query, result.unwrap().coverage)
        self.observe(result, fan_out, started)
        return result

    def refused(self, failure: RequestFailure) -> Result[Answer, RequestFailure]:
        """Count a query that is refused before any of it runs."""
        self.metrics.count_failure(kind=failure.kind.value, ran=failure.ran.value)
        return Failure(failure)

    def fan_out(
        self, query: Query, prefix: JobPrefix, service: Service, tenant: Tenant, **options: Any
    ) -> FanOut:
        """Return a fan-out over the shards of a service; ``options`` are passed to ``FanOut``."""
        return FanOut(
            query=query,
            prefix=prefix,
            service=service,
            policy=tenant.policy,
            pools=self.backends.pools_of(service),
            crashes=self.crashes,
            zone=self.identity.zone,
            next_attempt=self.next_attempt,
            random=self.random,
            wait_queue=self.backends.wait_queue,
            **options,
        )

    def answer_by_slices(
        self, query: Query, prefix: JobPrefix, service: Service, tenant: Tenant, started: float
    ) -> Result[Answer, RequestFailure]:
        """Run a query through the owners of its slices, who alone connect to the replicas."""
        run = self.slices.run_of(query, prefix, service)
        result = run.run(wanted=wanted_coverage(query, tenant.policy))
        self.observe(result, run, started)
        return result

    def run_part(
        self, query: Query, service: Service, *, snapshot: str
    ) -> tuple[Result[Answer, RequestFailure], FanOut]:
        """Run a query on the shards of one slice, in a snapshot that was chosen for all slices."""
        manifest = self.manifest.in_force
        tenant = manifest.tenants[service.tenant]
        fan_out = self.fan_out(
            query,
            resolved_prefix(manifest, query.job).unwrap(),
            service,
            tenant,
            extra=self.extra_attempts(service, tenant),
            pinned_snapshot=snapshot,
        )
        return fan_out.run(), fan_out

    def admitted(
        self, query: Query, service: Service, tenant: Tenant, capacity: int
    ) -> tuple[Ticket, RequestFailure | None]:
        """Wait until the query may run; return its ticket and a refusal if it may not."""
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

    def extra_attempts(self, service: Service, tenant: Tenant) -> ExtraAttempts:
        """Return what the budgets of the tenant and the present load permit to a query."""
        policy = tenant.policy
        now = time.monotonic()
        with self.lock:
            budgets = self.budgets.get(tenant.name)
            if budgets is None:
                budgets = self.budgets[tenant.name] = TenantBudgets(
                    hedge_budget=policy.hedge_budget, retry_budget=policy.retry_budget
                )
            budgets.hedges.share = policy.hedge_budget
            budgets.retries.share = policy.retry_budget
            budgets.hedges.refill(len(service.shards))
            budgets.retries.refill(len(service.shards))
            learnt = self.learnt.get(service.name)
            if learnt is None:
                learnt = self.learnt[service.name] = LatencyDistribution(now=now)
            delay_s = hedge_delay(learnt, policy)
            partial_answer_after_s = partial_answer_delay(learnt, policy)

        def may_hedge() -> bool:
            with self.lock:
                return not self.admission.overloaded(time.monotonic()) and budgets.hedges.take()

        def may_retry() -> bool:
            with self.lock:
                return budgets.retries.take()

        return ExtraAttempts(
            hedge_delay_s=delay_s,
            partial_answer_after_s=partial_answer_after_s,
            may_hedge=may_hedge,
            may_retry=may_retry,
        )

    def finish(self, ticket: Ticket, fan_out: FanOut, *, answered: bool) -> None:
        """Learn from a query that ended and let the next one start."""
        now = time.monotonic()
        with self.lock:
            learnt = self.learnt[fan_out.service.name]
            for seconds in fan_out.latencies:
                learnt.record(seconds, now)
            moved = self.admission.end(ticket, learn=answered, now=now)
        for other in moved:
            other.wake()

    def observe(
        self,
        result: Result[Answer, RequestFailure],
        fan_out: FanOut | SlicedRun,
        started: float,
    ) -> None:
        """Record metrics of a query that ended."""
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
                seconds=time.monotonic() - started,
                coverage=result.unwrap().coverage.fraction,
            )
        else:
            failure = result.failure()
            self.metrics.count_failure(kind=failure.kind.value, ran=failure.ran.value)


def more_covered(
    first: Result[Answer, RequestFailure],
    second: Result[Answer, RequestFailure],
    *,
    attempts: int,
) -> Result[Answer, RequestFailure]:
    """Return the result with the higher coverage of the two runs of a query that moved.

    ``attempts`` counts those of both runs.
    """
    if not isinstance(first, Success):
        return second
    if isinstance(second, Success):
        fractions = [result.unwrap().coverage.fraction for result in (first, second)]
        if fractions[1] >= fractions[0]:
            return second
    first.unwrap().attempts = attempts
    return first
