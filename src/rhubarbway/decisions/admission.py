"""Admission of queries: weighted queues of tenants, order by deadline, early refusal."""

from __future__ import annotations

import itertools
from bisect import insort
from collections.abc import Callable
from enum import Enum

from rhubarbway.decisions.concurrency_limit import LatencyEwma
from rhubarbway.model import Tenant

# Queries that may wait on one entry host; the memory of a queue stays bounded.
MAX_WAITING_QUERIES = 256
# Needed sub-queries of all queries that run at a time on one entry host. Its interpreter handles a
# few thousand a second, so more in flight would only wait for it, and tenants would not share it
# by their weights.
MAX_RUNNING_COST = 256
# A query waits for at most this share of the time that is left to it. The estimate of the wait is
# rough, and a query that starts too late costs the servers work that nobody uses.
MAX_WAIT_SHARE = 0.5
# A request that repeats one in flight may wait for less: its caller may have given up the first.
# Popular queries repeat too, so a short wait is no reason to refuse them.
MAX_DUPLICATE_WAIT_SHARE = 0.1
# Usual time of a query before the first one has ended, seconds.
DEFAULT_TYPICAL_S = 0.020
# Refused callers are told to send again so much later that about this many refusals a second are
# left. A refusal costs an entry host about a millisecond, which the answers then lack.
TARGET_REFUSALS_PER_S = 200.0
# A longer time makes callers give up, and brings resends long after the overload has ended.
MAX_RETRY_AFTER_S = 1.0  # of each part: until the queue has drained, and of the spread
# Time in which a count of recent events falls to a half, seconds.
COUNTER_HALF_LIFE_S = 1.0
# Multiples of this number, taken modulo 1, spread evenly over the unit interval.
GOLDEN_RATIO_CONJUGATE = 0.6180339887498949
# Sub-queries of credit that a tenant of weight 1 gets in each round.
DRR_QUANTUM = 16.0
# Overload is over when nothing waited or was refused for this time, seconds.
OVERLOAD_HOLD_S = 1.0


class DecayingCounter:
    """Number of events in the last seconds; old events fade.

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
        """Return the faded count at an instant."""
        return self.value * 0.5 ** ((now - self.updated_at) / COUNTER_HALF_LIFE_S)

    def add(self, now: float) -> None:
        """Count one event."""
        self.value = self.value_at(now) + 1.0
        self.updated_at = now


class TicketState(Enum):
    """Place of a query in admission."""

    WAITING = "waiting"
    RUNNING = "running"
    REFUSED = "refused"
    ENDED = "ended"


class Ticket:
    """One query in admission.

    Parameters
    ----------
    tenant, service : str
        Names.
    cost : int
        Needed sub-queries.
    deadline : float
        Instant by which the caller needs the answer.
    digest : str or None
        Digest of a safe request; None for one that must not be compared with others.
    wake : callable
        Called when a waiting ticket starts to run or is refused.
    """

    __slots__ = (
        "cost",
        "deadline",
        "digest",
        "sequence_number",
        "retry_after_s",
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
    """Queries of one service that run and wait on this entry host."""

    __slots__ = ("capacity", "latency", "recent_refusals", "running", "waiting")

    def __init__(self) -> None:
        # Queries that may run at a time: what the replicas provide at their present limits.
        self.capacity = 1
        self.latency = LatencyEwma()
        self.recent_refusals = DecayingCounter()
        self.running = 0
        self.waiting: list[Ticket] = []

    @property
    def typical_s(self) -> float:
        """Usual time of a running query, seconds."""
        return self.latency.fast_ewma_s or DEFAULT_TYPICAL_S

    def retry_after_s(self, sequence_number: int, now: float) -> float:
        """Return when a refused caller may send again, seconds.

        The more callers were refused a short time ago, the longer is the time over which their
        resends are spread.
        """
        drain_s = (len(self.waiting) + 1) * self.typical_s / self.capacity
        window_s = self.recent_refusals.value_at(now) / TARGET_REFUSALS_PER_S
        spread_s = min(window_s, MAX_RETRY_AFTER_S) * (
            sequence_number * GOLDEN_RATIO_CONJUGATE % 1.0
        )
        return min(drain_s, MAX_RETRY_AFTER_S) + spread_s

    def expected_wait_s(self, ticket: Ticket) -> float:
        """Return the expected time until a new ticket would start, seconds."""
        ahead = sum(1 for other in self.waiting if other < ticket)
        if self.running < self.capacity and not ahead:
            return 0.0
        return (ahead + 1) * self.typical_s / self.capacity


class TenantQueue:
    """Credit and running queries of one tenant."""

    __slots__ = ("credit", "service_queues", "max_running", "running", "weight")

    def __init__(self, *, weight: float, max_running: int) -> None:
        self.weight = weight
        self.max_running = max_running
        self.running = 0
        self.credit = 0.0
        self.service_queues: dict[str, ServiceQueue] = {}

    def next_ticket(self) -> Ticket | None:
        """Return the waiting ticket with the earliest deadline that has room to run."""
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
        "max_running_cost",
        "digest_counts",
        "sequence_numbers",
        "last_overload_at",
        "waiting_count",
        "running_cost",
        "tenants",
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
        """Let a new ticket run, wait or be refused; its ``state`` says which.

        Parameters
        ----------
        ticket : Ticket
            The new query.
        tenant : Tenant
            Its tenant, with weight and policy.
        capacity : int
            Queries of this service that its replicas serve at a time for this entry host.
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
        exceeds_duplicate_wait = wait_s > MAX_DUPLICATE_WAIT_SHARE * remaining_s
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
        """Whether the entry host can run one more query; a single one always runs."""
        return self.running_cost == 0 or self.running_cost + ticket.cost <= self.max_running_cost

    def start(
        self, ticket: Ticket, tenant_queue: TenantQueue, service_queue: ServiceQueue, now: float
    ) -> None:
        """Let a ticket run."""
        ticket.state = TicketState.RUNNING
        ticket.started_at = now
        service_queue.running += 1
        tenant_queue.running += 1
        self.running_cost += ticket.cost
        self.update_digest_count(ticket, 1)

    def refuse(self, ticket: Ticket, service_queue: ServiceQueue, now: float) -> None:
        """Refuse a ticket and say when its caller may send again."""
        ticket.state = TicketState.REFUSED
        service_queue.recent_refusals.add(now)
        ticket.retry_after_s = service_queue.retry_after_s(ticket.sequence_number, now)

    def end(self, ticket: Ticket, *, record_latency: bool, now: float) -> list[Ticket]:
        """End a running ticket; return the waiting tickets that start or are refused now.

        Parameters
        ----------
        ticket : Ticket
            A ticket that runs.
        record_latency : bool
            Whether its running time tells about the service (False after an early failure).
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
        """Refuse a ticket that still waits; return False if it started to run before."""
        if ticket.state is not TicketState.WAITING:
            return False
        service_queue = self.tenants[ticket.tenant].service_queues[ticket.service]
        self.dequeue(ticket, service_queue)
        self.refuse(ticket, service_queue, now)
        self.last_overload_at = now
        return True

    def dequeue(self, ticket: Ticket, service_queue: ServiceQueue) -> None:
        """Take a ticket out of the queue."""
        service_queue.waiting.remove(ticket)
        self.waiting_count -= 1
        self.update_digest_count(ticket, -1)

    def schedule_waiting(self, now: float) -> list[Ticket]:
        """Start waiting tickets by deficit round robin among the tenants."""
        decided: list[Ticket] = []
        while self.waiting_count:
            heads = [
                (tenant_queue, tenant_queue.next_ticket()) for tenant_queue in self.tenants.values()
            ]
            ready = [(tenant_queue, head) for tenant_queue, head in heads if head is not None]
            # Credit given while the host is full would go to whoever happens to wait now.
            if not any(self.has_capacity_for(head) for _, head in ready):
                break
            self.last_overload_at = now
            # The tenants that wait get equal rounds of credit until one can pay for its query.
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
                # Credit must not build up while a tenant has nothing to run.
                tenant_queue.credit = 0.0
        return decided

    def update_digest_count(self, ticket: Ticket, change: int) -> None:
        """Count the tickets with the same digest that wait or run."""
        if ticket.digest is None:
            return
        count = self.digest_counts.get(ticket.digest, 0) + change
        if count > 0:
            self.digest_counts[ticket.digest] = count
        else:
            self.digest_counts.pop(ticket.digest, None)

    def is_overloaded(self, now: float) -> bool:
        """Whether queries wait or were refused a short time ago."""
        return self.waiting_count > 0 or now - self.last_overload_at < OVERLOAD_HOLD_S


def can_answer_in_time(wait_s: float, typical_s: float, remaining_s: float) -> bool:
    """Whether a query that waits still has time to be answered; all values in seconds.

    Examples
    --------
    >>> can_answer_in_time(0.2, 0.05, 1.0), can_answer_in_time(0.6, 0.05, 1.0)
    (True, False)
    """
    return wait_s <= MAX_WAIT_SHARE * remaining_s and wait_s + typical_s <= remaining_s
