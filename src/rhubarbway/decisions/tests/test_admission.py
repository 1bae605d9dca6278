"""Tests of admission control."""

import heapq
from collections import Counter

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from rhubarbway.decisions.admission import (
    MAX_WAITING_QUERIES,
    TARGET_REFUSALS_PER_S,
    AdmissionQueue,
    Ticket,
    TicketState,
)
from rhubarbway.model import CanaryMode, Policy, Preference, Tenant


def tenant(name, *, weight=1.0, max_in_flight=64):
    policy = Policy(
        deadline_ms=1000,
        min_coverage=0.0,
        hedge_budget=0.02,
        hedge_quantile=0.95,
        retry_budget=0.05,
        canary=CanaryMode.SUSPECT,
        prefer=Preference.LATENCY,
        max_in_flight=max_in_flight,
    )
    return Tenant(name=name, weight=weight, policy=policy)


def ticket(owner, *, deadline=1000.0, cost=15, digest=None, service=None):
    return Ticket(
        tenant=owner.name,
        service=service or f"{owner.name}-desk",
        cost=cost,
        deadline=deadline,
        digest=digest,
    )


def offer_ticket(queue, owner, *, now=0.0, capacity=1, **options):
    query = ticket(owner, **options)
    queue.offer(query, owner, capacity=capacity, now=now)
    return query


def running_tickets(tickets):
    return [query for query in tickets if query.state is TicketState.RUNNING]


class TestAdmissionQueue:
    def test_earliest_deadline_runs_first(self):
        """Guards against late answers because queries with later deadlines ran first."""
        queue, owner = AdmissionQueue(), tenant("a")
        running = offer_ticket(queue, owner)
        late, early = offer_ticket(queue, owner, deadline=90.0), offer_ticket(
            queue, owner, deadline=50.0
        )
        assert queue.end(running, record_latency=False, now=1.0) == [early]
        assert (early.state, late.state) == (TicketState.RUNNING, TicketState.WAITING)

    def test_query_that_cannot_be_answered_in_time_is_refused_at_once(self):
        """Guards against callers that wait in the queue for an answer after their deadline."""
        queue, owner = AdmissionQueue(), tenant("a")
        first = offer_ticket(queue, owner, deadline=10.0)
        queue.end(first, record_latency=True, now=1.0)
        offer_ticket(queue, owner, deadline=10.0, now=1.0)
        refused = offer_ticket(queue, owner, deadline=2.5, now=1.0)
        assert refused.state is TicketState.REFUSED
        assert refused.retry_after_s >= 1.0

    def test_waiting_query_without_time_left_is_refused_instead_of_started(self):
        """Guards against running queries whose answers come after the deadline."""
        queue, owner = AdmissionQueue(), tenant("a")
        running = offer_ticket(queue, owner, deadline=10.0)
        waiting = offer_ticket(queue, owner, deadline=5.0)
        assert queue.end(running, record_latency=True, now=4.0) == [waiting]
        assert waiting.state is TicketState.REFUSED

    def test_tenants_share_the_host_by_weight(self):
        """Guards against starvation of one tenant by the load of another."""
        queue, heavy, light = (
            AdmissionQueue(max_running_cost=10),
            tenant("h", weight=3.0),
            tenant("l"),
        )
        decided = [offer_ticket(queue, heavy, cost=10)]
        for _ in range(100):
            offer_ticket(queue, heavy, cost=10)
            offer_ticket(queue, light, cost=5)
        served_cost = {"h": 0, "l": 0}
        for _ in range(60):
            for query in decided:
                served_cost[query.tenant] += query.cost
            decided = [
                started
                for query in decided
                for started in queue.end(query, record_latency=False, now=0.0)
            ]
        assert 2.4 <= served_cost["h"] / served_cost["l"] <= 3.6

    def test_repeated_request_does_not_wait_twice(self):
        """Guards against a caller that fills the queue with copies of one request."""
        queue, owner = AdmissionQueue(), tenant("a")
        queue.end(offer_ticket(queue, owner), record_latency=True, now=1.0)
        offer_ticket(queue, owner, now=1.0)
        first, again = (
            offer_ticket(queue, owner, digest="d", deadline=6.0, now=1.0) for _ in range(2)
        )
        assert first.state is TicketState.WAITING
        assert again.state is TicketState.REFUSED

    def test_popular_query_may_wait_for_a_short_time(self):
        """Guards against refusing equal queries of several callers on a host without overload."""
        queue, owner = AdmissionQueue(), tenant("a")
        queue.end(offer_ticket(queue, owner), record_latency=True, now=0.01)
        offer_ticket(queue, owner, now=1.0)
        for _ in range(3):
            query = offer_ticket(queue, owner, digest="d", deadline=2.0, now=1.0)
            assert query.state is TicketState.WAITING

    def test_resends_after_the_retry_delay_stay_below_the_target_rate(self):
        """Guards against an overload that is sustained by the resends of refused callers."""
        queue, owner = AdmissionQueue(), tenant("a")
        offer_ticket(queue, owner)
        callers = 100
        due = [(number / callers, number) for number in range(callers)]
        refused_in = Counter()
        while due[0][0] < 10.0:
            now, number = heapq.heappop(due)
            refused = offer_ticket(queue, owner, deadline=now, now=now)
            assert refused.state is TicketState.REFUSED
            refused_in[int(now)] += 1
            heapq.heappush(due, (now + refused.retry_after_s, number))
        assert max(refused_in[second] for second in range(4, 10)) <= 2 * TARGET_REFUSALS_PER_S

    def test_overload_ends_a_second_after_the_queue_is_empty(self):
        """Guards against hedges that stay disabled after the overload has ended."""
        queue, owner = AdmissionQueue(), tenant("a")
        running = offer_ticket(queue, owner)
        waiting = offer_ticket(queue, owner)
        assert queue.is_overloaded(0.0)
        queue.end(running, record_latency=False, now=1.0)
        queue.end(waiting, record_latency=False, now=2.0)
        assert not queue.is_overloaded(3.5)


class AdmissionMachine(RuleBasedStateMachine):
    """Offers, ends and withdrawals of two tenants in any order."""

    def __init__(self):
        super().__init__()
        self.queue = AdmissionQueue()
        self.owners = [tenant("a", weight=2.0, max_in_flight=2), tenant("b", max_in_flight=5)]
        self.tickets = []
        self.refused = set()
        self.now = 0.0

    @rule(
        owner=st.integers(0, 1),
        left=st.floats(0.001, 2.0),
        capacity=st.integers(1, 4),
        service=st.sampled_from("xy"),
        digest=st.sampled_from([None, "d"]),
    )
    def offer(self, owner, left, capacity, service, digest):
        chosen = self.owners[owner]
        query = ticket(
            chosen,
            deadline=self.now + left,
            service=f"{chosen.name}-{service}",
            digest=digest,
            cost=10,
        )
        self.queue.offer(query, chosen, capacity=capacity, now=self.now)
        self.tickets.append(query)

    @rule(seconds=st.floats(0.0, 0.5), pick=st.integers(0, 100))
    def end(self, seconds, pick):
        self.now += seconds
        running = running_tickets(self.tickets)
        if running:
            chosen = running[pick % len(running)]
            waiting = {query for query in self.tickets if query.state is TicketState.WAITING}
            decided = self.queue.end(chosen, record_latency=True, now=self.now)
            assert set(decided) <= waiting
            assert all(query.state is not TicketState.WAITING for query in decided)

    @rule(pick=st.integers(0, 100))
    def withdraw(self, pick):
        if self.tickets:
            chosen = self.tickets[pick % len(self.tickets)]
            waited = chosen.state is TicketState.WAITING
            assert self.queue.withdraw(chosen, self.now) is waited

    @invariant()
    def refused_ticket_never_runs(self):
        """Guards against a refusal with ``not_run`` for a query that ran."""
        assert all(query.state is TicketState.REFUSED for query in self.refused)
        self.refused |= {query for query in self.tickets if query.state is TicketState.REFUSED}

    @invariant()
    def running_queries_stay_within_the_tenants_limit(self):
        """Guards against a tenant that exceeds its limit of queries in flight."""
        for owner in self.owners:
            running = [
                query for query in running_tickets(self.tickets) if query.tenant == owner.name
            ]
            assert len(running) <= owner.policy.max_in_flight

    @invariant()
    def counts_match_the_tickets(self):
        """Guards against counters that drift and make admission refuse queries for ever."""
        waiting = [query for query in self.tickets if query.state is TicketState.WAITING]
        assert self.queue.waiting_count == len(waiting) <= MAX_WAITING_QUERIES
        live = [query for query in waiting + running_tickets(self.tickets) if query.digest]
        assert sum(self.queue.digest_counts.values()) == len(live)

    @invariant()
    def nothing_waits_while_nothing_runs(self):
        """Guards against waiting queries that no event schedules."""
        assert self.queue.waiting_count == 0 or running_tickets(self.tickets)


TestAdmissionMachine = AdmissionMachine.TestCase
