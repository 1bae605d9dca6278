"""What must hold during a soak run, from what callers and servers have seen."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable

from rhubarbway.services.invariants import BROKEN_INVARIANT_EVENT
from rhubarbway_standins.platform.consumer import ConsumerReply, merged_answer_problem
from rhubarbway_standins.platform.replica import Arrival, proof, records
from rhubarbway_standins.platform.site import (
    BOARD,
    BOOKING,
    MAX_ATTEMPTS,
    MIN_COVERAGE,
    RECORD_LIMIT,
    SEARCH,
)
from rhubarbway_standins.soak.callers import DEADLINE_MS, Ask
from rhubarbway_standins.soak.plan import HOST_FAULTS, STORE_FAULTS, PlannedFault
from rhubarbway_standins.soak.stage import Drain

# Faults after which a host may lose what it holds, and those that keep news from hosts.
UNCLEAN = frozenset({"host_kill", "host_pause"})
BLINDING = frozenset(HOST_FAULTS) | frozenset(STORE_FAULTS)
# A killed process is started again and reads what it needs within this time, seconds.
RESTART_S = 1.0
# A server that reports leaving gets work for this long, and a host is in touch with the store this
# long after a fault, seconds.
DRAIN_S = 3.0
TOUCH_S = 4.0
TIMED_OUT = "TimeoutError"
# Statuses that promise that a request has not run and never will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# A server may be told this much more time than its caller has, milliseconds.
DEADLINE_SLACK_MS = 500


class Evidence:
    """What a run has recorded: requests by id, the arrivals of each id, drains, and faults.

    The times of faults count from ``began_at``, the other ones are ``time.monotonic()`` instants.
    """

    __slots__ = ("arrivals", "asks", "began_at", "drains", "faults", "shards")

    def __init__(
        self,
        *,
        asks: Iterable[Ask],
        arrivals: Iterable[Arrival],
        shards: list[str],
        drains: Iterable[Drain] = (),
        faults: Iterable[PlannedFault] = (),
        began_at: float = 0.0,
    ) -> None:
        self.drains = list(drains)
        self.faults = list(faults)
        self.began_at = began_at
        self.asks = {ask.request_id: ask for ask in asks}
        self.arrivals: dict[str, list[Arrival]] = defaultdict(list)
        for arrival in arrivals:
            self.arrivals[arrival.request_id].append(arrival)
        self.shards = shards

    def was_calm(
        self, begin: float, end: float, *, kinds: frozenset[str], target: int | None = None
    ) -> bool:
        """Whether no fault of these kinds (at a target) overlaps a span of instants."""
        span = (begin - self.began_at, end - self.began_at)
        return not any(
            fault.kind in kinds and target in (None, fault.target) and fault.overlaps(*span)
            for fault in self.faults
        )


def reported_invariants(log: str) -> list[str]:
    """Return the lines by which a host reports that an invariant of its own does not hold.

    Examples
    --------
    >>> reported_invariants('{"event": "invariants: Invariant broken."}\\nStarted.')
    ['{"event": "invariants: Invariant broken."}']
    """
    return [line for line in log.splitlines() if BROKEN_INVARIANT_EVENT in line]


def right_answers(evidence: Evidence) -> Iterable[str]:
    """Each success is the whole answer to its own request, with its coverage."""
    for ask in evidence.asks.values():
        if ask.status != 200:
            continue
        if ask.target.startswith(SEARCH):
            reply = ConsumerReply(
                status=ask.status,
                headers=ask.headers,
                body=ask.body,
                request_id=ask.request_id,
                seconds=ask.seconds,
            )
            problem = merged_answer_problem(
                reply,
                target=ask.target,
                shards=evidence.shards,
                record_limit=RECORD_LIMIT,
                min_coverage=MIN_COVERAGE,
            )
        else:
            body = records(BOARD, ask.target)
            stamp = ask.headers.get("x-server-stamp")
            is_right = ask.body == body and stamp == proof(BOARD, ask.request_id, body)
            problem = None if is_right else "another body or proof"
        if problem:
            yield f"{ask.request_id} {ask.target}: {problem}"


def only_asked(evidence: Evidence) -> Iterable[str]:
    """Servers get only what a caller has sent, unchanged, and no more time than is left."""
    for request_id, arrivals in evidence.arrivals.items():
        ask = evidence.asks.get(request_id)
        if ask is None:
            yield f"{request_id}: no caller has sent it"
            continue
        for arrival in arrivals:
            if arrival.target != ask.target:
                yield f"{request_id}: {ask.target} arrived as {arrival.target}"
            if arrival.deadline_ms > DEADLINE_MS + DEADLINE_SLACK_MS:
                yield f"{request_id}: a server was told {arrival.deadline_ms} ms"


def at_most_once(evidence: Evidence) -> Iterable[str]:
    """A request that is unsafe to repeat runs at most once."""
    for ask in evidence.asks.values():
        runs = sum(arrival.ran for arrival in evidence.arrivals.get(ask.request_id, ()))
        if ask.is_booking and runs > 1:
            yield f"{ask.request_id} {BOOKING} ran {runs} times"


def true_refusals(evidence: Evidence) -> Iterable[str]:
    """A request that is unsafe to repeat and was refused as not run has not run."""
    for ask in evidence.asks.values():
        runs = sum(arrival.ran for arrival in evidence.arrivals.get(ask.request_id, ()))
        if ask.is_booking and ask.status in NOT_RUN_STATUSES and runs:
            yield f"{ask.request_id} was refused with {ask.status} and ran"


def bounded_attempts(evidence: Evidence) -> Iterable[str]:
    """No service sees more attempts of a request than its route allows."""
    for request_id, arrivals in evidence.arrivals.items():
        servers: dict[str, set[str]] = defaultdict(set)
        for arrival in arrivals:
            if arrival.ran:
                servers[arrival.service].add(arrival.server)
        for service, found in servers.items():
            if len(found) > MAX_ATTEMPTS:
                yield f"{request_id} ran on {len(found)} servers of {service}"


def answered_in_time(evidence: Evidence) -> Iterable[str]:
    """A caller hears of a request within its deadline or the connection ends."""
    for ask in evidence.asks.values():
        if ask.status and ask.seconds > DEADLINE_MS / 1000 + 0.5:
            yield f"{ask.request_id} {ask.target} took {ask.seconds:.2f} s"


def kept_connections(evidence: Evidence) -> Iterable[str]:
    """No host closes a connection without an answer to a request that a server has got."""
    for ask in evidence.asks.values():
        is_closed = ask.status == 0 and ask.problem not in ("", TIMED_OUT)
        if not is_closed or ask.request_id not in evidence.arrivals:
            continue
        if evidence.was_calm(
            ask.began_at - RESTART_S, ask.ended_at, kinds=UNCLEAN, target=ask.host
        ):
            yield f"{ask.request_id} {ask.target}: {ask.problem} at host {ask.host}"


def drained_servers(evidence: Evidence) -> Iterable[str]:
    """A server that leaves gets no request after a few seconds, if hosts can know of it."""
    for drain in evidence.drains:
        for arrivals in evidence.arrivals.values():
            for arrival in arrivals:
                is_late = drain.begin + DRAIN_S < arrival.at < drain.end
                if arrival.server != drain.server or not is_late:
                    continue
                if evidence.was_calm(drain.begin - TOUCH_S, arrival.at, kinds=BLINDING):
                    yield f"{arrival.request_id} reached {drain.server}, which leaves"


PROMISES: dict[str, Callable[[Evidence], Iterable[str]]] = {
    "right answers": right_answers,
    "only what was asked": only_asked,
    "at most once": at_most_once,
    "true refusals": true_refusals,
    "bounded attempts": bounded_attempts,
    "answered in time": answered_in_time,
    "kept connections": kept_connections,
    "drained servers": drained_servers,
}


def violations(evidence: Evidence) -> list[str]:
    """Return all that was promised and does not hold."""
    return [f"{name}: {problem}" for name, check in PROMISES.items() for problem in check(evidence)]
