"""Admission control of queries with load shedding.

Tenants share an entry host by deficit round robin (DRR) with weights. The waiting queries of a
tenant run in the order of their deadlines. A query that cannot be answered in time is refused: on
arrival if the estimated wait is too long, otherwise when its turn comes or at its deadline.
"""

from __future__ import annotations

import itertools
from bisect import insort
from collections.abc import Callable
from enum import Enum

from rhubarbway.decisions.concurrency_limit import LatencyEwma
from rhubarbway.model import Tenant

# Limit of waiting queries of one entry host; bounds the memory of the queues.
MAX_WAITING_QUERIES = 256
# Limit of the total cost of the running queries of one entry host; a query costs one sub-query for
# each of its shards. The interpreter handles a few thousand sub-queries a second; more in flight
# would queue for the interpreter, outside the control of the tenants' weights.
MAX_RUNNING_COST = 256
# A query waits for at most this fraction of the time until its deadline. The estimated wait is
# rough, and a query that starts too late costs the servers work that no caller uses.
MAX_WAIT_FRACTION = 0.5
# The same limit for a duplicate, which is a query equal to one that waits or runs. Its caller may
# have abandoned the first one. Since several callers may also send the same popular query, a
# duplicate may still wait for a short time.
MAX_DUPLICATE_WAIT_FRACTION = 0.1
# Latency that is assumed for the queries of a service before the first of them has ended.
DEFAULT_TYPICAL_S = 0.020
# Retry delays spread the resends of refused callers to about this rate. A refusal costs an entry
# host about a millisecond, which is lost for answers.
TARGET_REFUSALS_PER_S = 200.0
# Limit of each of the two parts of a retry delay: the drain time of the queue and the spread. With
# longer delays, callers give up, and resends arrive long after the overload has ended.
MAX_RETRY_AFTER_S = 1.0
# Half-life of the value of a decaying counter.
COUNTER_HALF_LIFE_S = 1.0
# Multiples of this number modulo 1 are spread evenly over the unit interval.
GOLDEN_RATIO_CONJUGATE = 0.6180339887498949
# Credit, in sub-queries, that a tenant with weight 1 gets in each round of DRR.
DRR_QUANTUM = 16.0
# Overload ends when no query has waited or been refused for this time.
OVERLOAD_END_DELAY_S = 1.0


class DecayingCounter:
    """Number of recent events with exponential decay.

    Examples
    --------
    >>> count = DecayingCounter()
    >>> count.add(0.0)
    >>> count.value_at(COUNTER_HALF_LIFE_S)
    0.5
    """

    __slots__ = ("updated_at", "value")

    def __init__(self) -> None:
        self.value = 0.0
        self.updated_at = 0.0

    def value_at(self, now: float) -> float:
        """Return the decayed count at an instant."""
        return self.value * 0.5 ** ((now - self.updated_at) / COUNTER_HALF_LIFE_S)

    def add(self, now: float) -> None:
        """Count one event."""
        self.value = self.value_at(now) + 1.0
        self.updated_at = now


class TicketState(Enum):
    """State of a query in admission."""

    WAITING = "waiting"
    RUNNING = "running"
    REFUSED = "refused"
    ENDED = "ended"


class Ticket:
    """One query in admission.

    Parameters
    ----------
    tenant, service : str
        Names of the tenant and the service.
    cost : int
        Number of shards of the query, each of which needs one sub-query.
    deadline : float
        ``time.monotonic()`` instant by which the caller needs the answer.
    digest : str or None
        Digest of a safe request (one that may run twice), to detect duplicates; None for an unsafe
        request.
    wake : callable
        Called after this ticket has waited and the end of another one has started or refused it;
        not called after ``withdraw``.
    """

    __slots__ = (
        "cost",
        "deadline",
        "digest",
        "retry_after_s",
        "sequence_number",
        "service",
        "started_at",
        "state",
        "tenant",
        "wake",
    )

    def __init__(
        self,
        *,
        tenant: str,
        service: str,
        cost: int,
        deadline: float,
        digest: str | None = None,
        wake: Callable[[], None] = lambda: None,
    ) -> None:
        self.tenant = tenant
        self.service = service
        self.cost = cost
        self.deadline = deadline
        self.digest = digest
        self.wake = wake
        self.sequence_number = 0
        self.retry_after_s = 0.0
        self.started_at = 0.0
        self.state = TicketState.WAITING

    def __lt__(self, other: Ticket) -> bool:
        return (self.deadline, self.sequence_number) < (other.deadline, other.sequence_number)


class ServiceQueue:
    """Running and waiting queries of one tenant's service on this entry host."""

    __slots__ = ("capacity", "latency", "recent_refusals", "running", "waiting")

    def __init__(self) -> None:
        # Number of queries that the replicas can run concurrently at their present limits.
        self.capacity = 1
        self.latency = LatencyEwma()
        self.recent_refusals = DecayingCounter()
        self.running = 0
        self.waiting: list[Ticket] = []

    @property
    def typical_s(self) -> float:
        """Typical latency of a running query, seconds."""
        return self.latency.fast_ewma_s or DEFAULT_TYPICAL_S

    def retry_after_s(self, sequence_number: int, now: float) -> float:
        """Return the time after which a refused caller may send again, seconds.

        The result is the time in which the queue drains plus a spread that grows with the number
        of recent refusals, so that refused callers do not resend all at once.
        """
        drain_s = (len(self.waiting) + 1) * self.typical_s / self.capacity
        window_s = self.recent_refusals.value_at(now) / TARGET_REFUSALS_PER_S
        spread_s = min(window_s, MAX_RETRY_AFTER_S) * (
            sequence_number * GOLDEN_RATIO_CONJUGATE % 1.0
        )
        return min(drain_s, MAX_RETRY_AFTER_S) + spread_s

    def expected_wait_s(self, ticket: Ticket) -> float:
        """Return the estimated time until a new ticket starts, seconds.

        The estimate considers only this service's queue and capacity: it is 0 if no ticket is ahead
        and only the limit of the tenant or of the host delays this one.
        """
        ahead = sum(1 for other in self.waiting if other < ticket)
        if self.running < self.capacity and not ahead:
            return 0.0
        return (ahead + 1) * self.typical_s / self.capacity


class TenantQueue:
    """Queues, running queries and DRR credit of one tenant."""

    __slots__ = ("credit", "max_running", "running", "service_queues", "weight")

    def __init__(self, *, weight: float, max_running: int) -> None:
        self.weight = weight
        self.max_running = max_running
        self.running = 0
        self.credit = 0.0
        self.service_queues: dict[str, ServiceQueue] = {}

    def next_ticket(self) -> Ticket | None:
        """Return the waiting ticket with the earliest deadline whose service has capacity."""
        if self.running >= self.max_running:
            return None
        heads = [
            service_queue.waiting[0]
            for service_queue in self.service_queues.values()
            if service_queue.waiting and service_queue.running < service_queue.capacity
        ]
        return min(heads, default=None)


class AdmissionQueue:
    """Decides which queries of one entry host run, wait or are refused.

    The caller holds a lock around each method and calls ``wake`` of the returned tickets after it
    has released the lock.
    """

    __slots__ = (
        "digest_counts",
        "last_overload_at",
        "max_running_cost",
        "running_cost",
        "sequence_numbers",
        "tenants",
        "waiting_count",
    )

    def __init__(self, *, max_running_cost: int = MAX_RUNNING_COST) -> None:
        self.max_running_cost = max_running_cost
        self.running_cost = 0
        self.tenants: dict[str, TenantQueue] = {}
        self.digest_counts: dict[str, int] = {}
        self.sequence_numbers = itertools.count(1)
        self.waiting_count = 0
        self.last_overload_at = float("-inf")

    def offer(self, ticket: Ticket, tenant: Tenant, *, capacity: int, now: float) -> None:
        """Start, queue or refuse a new ticket; its ``state`` holds the decision.

        If the limits permit it, a ticket whose own service queue is empty starts at once, ahead of
        tickets that wait in other queues.

        Parameters
        ----------
        ticket : Ticket
            Ticket of the new query.
        tenant : Tenant
            Tenant of the query, with its weight and policy.
        capacity : int
            Queries of the service that its replicas serve concurrently for this entry host.
        now : float
            ``time.monotonic()`` instant.
        """
        tenant_queue = self.tenants.get(tenant.name)
        if tenant_queue is None:
            tenant_queue = TenantQueue(
                weight=tenant.weight, max_running=tenant.policy.max_in_flight
            )
            self.tenants[tenant.name] = tenant_queue
        tenant_queue.weight = tenant.weight
        tenant_queue.max_running = tenant.policy.max_in_flight
        service_queue = tenant_queue.service_queues.get(ticket.service)
        if service_queue is None:
            service_queue = tenant_queue.service_queues[ticket.service] = ServiceQueue()
        service_queue.capacity = max(1, capacity)
        ticket.sequence_number = next(self.sequence_numbers)
        below_limits = (
            service_queue.running < service_queue.capacity
            and tenant_queue.running < tenant_queue.max_running
        )
        if below_limits and not service_queue.waiting and self.has_capacity_for(ticket):
            self.start(ticket, tenant_queue, service_queue, now)
            return
        self.last_overload_at = now
        wait_s = service_queue.expected_wait_s(ticket)
        remaining_s = ticket.deadline - now
        is_duplicate = ticket.digest is not None and ticket.digest in self.digest_counts
        exceeds_duplicate_wait = wait_s > MAX_DUPLICATE_WAIT_FRACTION * remaining_s
        if (
            (is_duplicate and exceeds_duplicate_wait)
            or self.waiting_count >= MAX_WAITING_QUERIES
            or not can_answer_in_time(wait_s, service_queue.typical_s, remaining_s)
        ):
            self.refuse(ticket, service_queue, now)
            return
        insort(service_queue.waiting, ticket)
        self.waiting_count += 1
        self.update_digest_count(ticket, 1)

    def has_capacity_for(self, ticket: Ticket) -> bool:
        """Whether the entry host can run one more query; a query that runs alone always fits."""
        return self.running_cost == 0 or self.running_cost + ticket.cost <= self.max_running_cost

    def start(
        self, ticket: Ticket, tenant_queue: TenantQueue, service_queue: ServiceQueue, now: float
    ) -> None:
        """Mark a ticket as running and count its cost."""
        ticket.state = TicketState.RUNNING
        ticket.started_at = now
        service_queue.running += 1
        tenant_queue.running += 1
        self.running_cost += ticket.cost
        self.update_digest_count(ticket, 1)

    def refuse(self, ticket: Ticket, service_queue: ServiceQueue, now: float) -> None:
        """Refuse a ticket and set the time after which its caller may send again."""
        ticket.state = TicketState.REFUSED
        service_queue.recent_refusals.add(now)
        ticket.retry_after_s = service_queue.retry_after_s(ticket.sequence_number, now)

    def end(self, ticket: Ticket, *, record_latency: bool, now: float) -> list[Ticket]:
        """End a running ticket; return the waiting tickets that were started or refused.

        Parameters
        ----------
        ticket : Ticket
            A running ticket.
        record_latency : bool
            Whether the running time is a sample of the service's latency (False after an early
            failure).
        now : float
            ``time.monotonic()`` instant.
        """
        tenant_queue = self.tenants[ticket.tenant]
        service_queue = tenant_queue.service_queues[ticket.service]
        if record_latency:
            service_queue.latency.record(now - ticket.started_at)
        ticket.state = TicketState.ENDED
        service_queue.running -= 1
        tenant_queue.running -= 1
        self.running_cost -= ticket.cost
        self.update_digest_count(ticket, -1)
        return self.schedule_waiting(now)

    def withdraw(self, ticket: Ticket, now: float) -> bool:
        """Refuse a ticket that waited until its deadline; return False if it no longer waits."""
        if ticket.state is not TicketState.WAITING:
            return False
        service_queue = self.tenants[ticket.tenant].service_queues[ticket.service]
        self.dequeue(ticket, service_queue)
        self.refuse(ticket, service_queue, now)
        self.last_overload_at = now
        return True

    def dequeue(self, ticket: Ticket, service_queue: ServiceQueue) -> None:
        """Remove a waiting ticket from its queue."""
        service_queue.waiting.remove(ticket)
        self.waiting_count -= 1
        self.update_digest_count(ticket, -1)

    def schedule_waiting(self, now: float) -> list[Ticket]:
        """Start or refuse waiting tickets by DRR among the tenants, and return them.

        Scheduling stops if the host has no capacity for the ticket that is next by DRR; tickets
        with a lower cost do not overtake it.
        """
        decided: list[Ticket] = []
        while self.waiting_count:
            heads = [
                (tenant_queue, tenant_queue.next_ticket()) for tenant_queue in self.tenants.values()
            ]
            ready = [(tenant_queue, head) for tenant_queue, head in heads if head is not None]
            # No credit is granted while the host has capacity for none of the heads, since that
            # credit would favour the tenants that happen to wait now.
            if not any(self.has_capacity_for(head) for _, head in ready):
                break
            self.last_overload_at = now
            # All ready tenants, whose heads are held back by the host's limit only, get the same
            # number of rounds, until one can afford its query.
            rounds = min(
                max(0.0, head.cost - tenant_queue.credit) / (DRR_QUANTUM * tenant_queue.weight)
                for tenant_queue, head in ready
            )
            for tenant_queue, _ in ready:
                tenant_queue.credit += rounds * DRR_QUANTUM * tenant_queue.weight
            tenant_queue, head = max(ready, key=lambda pair: pair[0].credit - pair[1].cost)
            if not self.has_capacity_for(head):
                break
            service_queue = tenant_queue.service_queues[head.service]
            self.dequeue(head, service_queue)
            if head.deadline - now < service_queue.typical_s:
                self.refuse(head, service_queue, now)
            else:
                tenant_queue.credit -= head.cost
                self.start(head, tenant_queue, service_queue, now)
            decided.append(head)
        for tenant_queue in self.tenants.values():
            if not any(
                service_queue.waiting for service_queue in tenant_queue.service_queues.values()
            ):
                # An idle tenant must not accumulate credit.
                tenant_queue.credit = 0.0
        return decided

    def update_digest_count(self, ticket: Ticket, change: int) -> None:
        """Add ``change`` to the number of waiting and running tickets with a ticket's digest."""
        if ticket.digest is None:
            return
        count = self.digest_counts.get(ticket.digest, 0) + change
        if count > 0:
            self.digest_counts[ticket.digest] = count
        else:
            self.digest_counts.pop(ticket.digest, None)

    def is_overloaded(self, now: float) -> bool:
        """Whether queries wait, or waited or were refused within ``OVERLOAD_END_DELAY_S``."""
        return self.waiting_count > 0 or now - self.last_overload_at < OVERLOAD_END_DELAY_S


def can_answer_in_time(wait_s: float, typical_s: float, remaining_s: float) -> bool:
    """Whether the deadline leaves time for the wait and the answer; values in seconds.

    Examples
    --------
    >>> can_answer_in_time(0.2, 0.05, 1.0), can_answer_in_time(0.6, 0.05, 1.0)
    (True, False)
    """
    return wait_s <= MAX_WAIT_FRACTION * remaining_s and wait_s + typical_s <= remaining_s
