"""Checks of a soak run against the records of callers and servers."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable

from rhubarbway.services.invariants import BROKEN_INVARIANT_EVENT
from rhubarbway_standins.platform.consumer import ConsumerReply, merged_answer_problem
from rhubarbway_standins.platform.replica import Arrival, encoded_records, reply_signature
from rhubarbway_standins.platform.site import (
    BOARD_SERVICE,
    BOOKING_PREFIX,
    MAX_ATTEMPTS,
    MIN_COVERAGE,
    RECORD_LIMIT,
    SEARCH_PREFIX,
)
from rhubarbway_standins.soak.callers import (
    CALLER_LEFT,
    CALLER_TIMEOUT,
    DEADLINE_MS,
    CallerRequest,
)
from rhubarbway_standins.soak.plan import (
    COLD_RATE,
    RESTORE_KIND,
    UPDATE_DELAYING_FAULTS,
    PlannedFault,
)
from rhubarbway_standins.soak.testbed import ColdPeriod, Withdrawal

# Faults that suspend a host.
PAUSES = frozenset({"host_pause"})
# Faults after which a host may lose its open requests.
ABRUPT_HOST_FAULTS = frozenset({"host_kill", "host_pause"})
# Limit for a killed host to start again and read what it needs, seconds.
MAX_RESTART_S = 1.0
# Limits for hosts to stop sending to a server that drains, is removed or is evacuated, and to reach
# the store again after a fault, seconds.
MAX_DRAIN_DELAY_S = 3.0
MAX_STORE_RECOVERY_S = 4.0
# Faults in which the store may lose what no host has read yet.
LOSSES = frozenset({RESTORE_KIND})
# Statuses that guarantee that a request has not run and will not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# Time by which a server's deadline may exceed the caller's, milliseconds.
DEADLINE_SLACK_MS = 500


class RunRecord:
    """Records of a run: requests by id, arrivals at servers by request id, and faults.

    ``withdrawals`` are the periods in which servers were to get no requests.

    Times of faults are relative to ``started_at``; all others are ``time.monotonic()`` instants.
    """

    __slots__ = (
        "arrivals",
        "cold_periods",
        "faults",
        "requests",
        "shards",
        "started_at",
        "unexpected_requests",
        "withdrawals",
    )

    def __init__(
        self,
        *,
        requests: Iterable[CallerRequest],
        arrivals: Iterable[Arrival],
        shards: list[str],
        withdrawals: Iterable[Withdrawal] = (),
        cold_periods: Iterable[ColdPeriod] = (),
        faults: Iterable[PlannedFault] = (),
        started_at: float = 0.0,
        unexpected_requests: Iterable[str] = (),
    ) -> None:
        self.unexpected_requests = list(unexpected_requests)
        self.withdrawals = list(withdrawals)
        self.cold_periods = list(cold_periods)
        self.faults = list(faults)
        self.started_at = started_at
        self.requests = {request.request_id: request for request in requests}
        self.arrivals: dict[str, list[Arrival]] = defaultdict(list)
        for arrival in arrivals:
            self.arrivals[arrival.request_id].append(arrival)
        self.shards = shards

    def had_no_fault(
        self, begin: float, end: float, *, kinds: frozenset[str], target_index: int | None = None
    ) -> bool:
        """Whether no fault of these kinds overlaps a period.

        ``target_index`` restricts this to the faults of the host or server with this index.
        """
        span = (begin - self.started_at, end - self.started_at)
        return not any(
            fault.kind in kinds
            and target_index in (None, fault.target_index)
            and fault.overlaps(*span)
            for fault in self.faults
        )


def broken_invariant_lines(log: str) -> list[str]:
    """Return the log lines in which a host reports a broken invariant.

    Examples
    --------
    >>> broken_invariant_lines('{"event": "invariants: Invariant broken."}\\nStarted.')
    ['{"event": "invariants: Invariant broken."}']
    """
    return [line for line in log.splitlines() if BROKEN_INVARIANT_EVENT in line]


def check_answers(record: RunRecord) -> Iterable[str]:
    """Check that each success is the complete reply to its own request, with its coverage."""
    for request in record.requests.values():
        if request.status != 200:
            continue
        if request.target.startswith(SEARCH_PREFIX):
            reply = ConsumerReply(
                status=request.status,
                headers=request.headers,
                body=request.body,
                request_id=request.request_id,
                latency_s=request.latency_s,
            )
            problem = merged_answer_problem(
                reply,
                target=request.target,
                shards=record.shards,
                record_limit=RECORD_LIMIT,
                min_coverage=MIN_COVERAGE,
            )
        else:
            body = encoded_records(BOARD_SERVICE, request.target)
            signature = request.headers.get("x-server-stamp")
            is_correct = request.body == body and signature == reply_signature(
                BOARD_SERVICE, request.request_id, body
            )
            problem = None if is_correct else "the body or the signature is not the expected one"
        if problem:
            yield f"{request.request_id} {request.target}: wrong answer with status 200: {problem}"


def check_forwarded_requests(record: RunRecord) -> Iterable[str]:
    """Check that servers get only callers' requests, unchanged, with a deadline in bounds."""
    for request_id, arrivals in record.arrivals.items():
        request = record.requests.get(request_id)
        if request is None:
            yield f"{request_id}: arrived at a server, but no caller sent it"
            continue
        for arrival in arrivals:
            if arrival.target != request.target:
                yield (
                    f"{request_id}: sent for {request.target}, but arrived at {arrival.server} for "
                    f"{arrival.target}"
                )
            if arrival.deadline_ms > request.deadline_ms + DEADLINE_SLACK_MS:
                yield (
                    f"{request_id}: arrived with a deadline of {arrival.deadline_ms} ms; "
                    f"the caller's deadline is {request.deadline_ms} ms"
                )


def check_at_most_once(record: RunRecord) -> Iterable[str]:
    """Check that a request that is unsafe to repeat runs at most once."""
    for request in record.requests.values():
        runs = sum(arrival.ran for arrival in record.arrivals.get(request.request_id, ()))
        if request.is_booking and runs > 1:
            yield f"{request.request_id} {BOOKING_PREFIX} ran {runs} times; the limit is 1"


def check_refusals(record: RunRecord) -> Iterable[str]:
    """Check that no unsafe request ran whose status guarantees that it has not run."""
    for request in record.requests.values():
        runs = sum(arrival.ran for arrival in record.arrivals.get(request.request_id, ()))
        if request.is_booking and request.status in NOT_RUN_STATUSES and runs:
            yield (
                f"{request.request_id} ran, although its caller got status {request.status}, which "
                "guarantees that it has not run"
            )


def check_attempt_limit(record: RunRecord) -> Iterable[str]:
    """Check that a request runs on no more servers of a service than its route allows."""
    for request_id, arrivals in record.arrivals.items():
        servers: dict[str, set[str]] = defaultdict(set)
        for arrival in arrivals:
            if arrival.ran:
                servers[arrival.service].add(arrival.server)
        for service, server_ids in servers.items():
            if len(server_ids) > MAX_ATTEMPTS:
                yield (
                    f"{request_id} ran on {len(server_ids)} servers of {service}; "
                    f"the limit is {MAX_ATTEMPTS}"
                )


def check_deadlines(record: RunRecord) -> Iterable[str]:
    """Check that an answer arrives at most 0.5 s after the deadline, unless the connection ends."""
    for request in record.requests.values():
        # A caller with a shorter deadline than ``DEADLINE_MS`` still waits for that long, and so it
        # may get the late answer of a host that was paused.
        was_paused = request.deadline_ms < DEADLINE_MS and not record.had_no_fault(
            request.started_at,
            request.ended_at,
            kinds=PAUSES,
            target_index=request.host,
        )
        if was_paused:
            continue
        if request.status and request.latency_s > request.deadline_ms / 1000 + 0.5:
            yield (
                f"{request.request_id} {request.target} was answered after "
                f"{request.latency_s * 1000:.0f} ms; the deadline is {request.deadline_ms} ms, "
                "with a tolerance of 500 ms"
            )


def check_connections(record: RunRecord) -> Iterable[str]:
    """Check that no host closes a connection before it answers a request that reached a server."""
    for request in record.requests.values():
        is_closed = request.status == 0 and request.error not in ("", CALLER_TIMEOUT, CALLER_LEFT)
        if not is_closed or request.request_id not in record.arrivals:
            continue
        if record.had_no_fault(
            request.started_at - MAX_RESTART_S,
            request.ended_at,
            kinds=ABRUPT_HOST_FAULTS,
            target_index=request.host,
        ):
            yield (
                f"{request.request_id} {request.target} reached a server, but host {request.host} "
                f"closed the connection without an answer: {request.error}"
            )


def check_withdrawn_servers(record: RunRecord) -> Iterable[str]:
    """Check that servers that drain, are removed or are evacuated soon get no more requests.

    Only periods in which hosts can know of that are checked. A restore of the store takes back none
    that began long enough before it, while the store was stable.
    """
    for withdrawal in record.withdrawals:
        if not record.had_no_fault(
            withdrawal.started_at - MAX_STORE_RECOVERY_S,
            withdrawal.started_at + MAX_DRAIN_DELAY_S,
            kinds=LOSSES,
        ):
            continue
        latest = withdrawal.started_at + MAX_DRAIN_DELAY_S
        for arrivals in record.arrivals.values():
            for arrival in arrivals:
                is_late = latest < arrival.arrived_at < withdrawal.ended_at
                if arrival.server != withdrawal.server or not is_late:
                    continue
                if record.had_no_fault(
                    withdrawal.started_at - MAX_STORE_RECOVERY_S,
                    arrival.arrived_at,
                    kinds=UPDATE_DELAYING_FAULTS,
                ):
                    yield (
                        f"{arrival.request_id} reached {withdrawal.server} "
                        f"{arrival.arrived_at - withdrawal.started_at:.2f} s after it was to get "
                        f"no more requests; the limit is {MAX_DRAIN_DELAY_S} s"
                    )


def check_cold_servers(record: RunRecord) -> Iterable[str]:
    """Check that a cold server gets no more than it tolerates in any second, from all hosts.

    Only seconds count in which hosts know that the server is cold.
    """
    for period in record.cold_periods:
        instants = sorted(
            arrival.arrived_at
            for arrivals in record.arrivals.values()
            for arrival in arrivals
            if arrival.server == period.server
            and period.started_at + MAX_DRAIN_DELAY_S < arrival.arrived_at < period.ended_at
        )
        for begin in instants:
            count = sum(begin <= instant < begin + 1.0 for instant in instants)
            if count > COLD_RATE and record.had_no_fault(
                period.started_at - MAX_STORE_RECOVERY_S,
                begin + 1.0,
                kinds=UPDATE_DELAYING_FAULTS,
            ):
                yield (
                    f"{period.server} was cold and got {count} requests in the second that began "
                    f"{begin - period.started_at:.2f} s after that; the limit is {COLD_RATE}"
                )
                break


def check_only_answers(record: RunRecord) -> Iterable[str]:
    """Check that callers get only answers, and servers and the store only requests.

    No fault excuses other bytes: the proxy cuts data only at its end, so what remains still begins
    like a message, and no proxy is on the paths of callers.
    """
    for request in record.requests.values():
        if request.unexpected_bytes:
            yield (
                f"{request.request_id} {request.target}: the connection to host {request.host} "
                f"carried {request.unexpected_bytes}"
            )
    yield from record.unexpected_requests


# A name says what the check requires, and stands before each problem that the check finds.
CHECKS: dict[str, Callable[[RunRecord], Iterable[str]]] = {
    "right answers": check_answers,
    "only what was asked": check_forwarded_requests,
    "at most once": check_at_most_once,
    "true refusals": check_refusals,
    "bounded attempts": check_attempt_limit,
    "answered in time": check_deadlines,
    "kept connections": check_connections,
    "withdrawn servers": check_withdrawn_servers,
    "cold servers": check_cold_servers,
    "only answers": check_only_answers,
}


def find_problems(record: RunRecord) -> list[str]:
    """Return the problems that the checks find, each after the name of the check that failed."""
    return [f"{name}: {problem}" for name, check in CHECKS.items() for problem in check(record)]
