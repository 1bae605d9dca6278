"""Open-loop and closed-loop callers on one libcurl multi handle."""

from __future__ import annotations

import heapq
import io
import time
from collections.abc import Callable
from random import Random

import pycurl

from rhubarbway.edge.http_client import JSON_HEADERS
from rhubarbway.edge.json_codec import decode_json, encode_json

LONGEST_SELECT_S = 0.05
CALL_LIMIT_S = 10.0
CONNECTIONS_PER_ADDRESS = 400


class CallResult:
    """One request of a caller and its reply.

    ``at`` is the scheduled time since the start of the load, ``latency`` counts from it to the
    end of the reply, both in seconds. ``kind`` is None for an answer. ``resends`` counts how often
    the request was sent again after a refusal.
    """

    __slots__ = (
        "at",
        "attempts",
        "coverage",
        "job",
        "kind",
        "latency",
        "ran",
        "resends",
        "retry_after_s",
        "status",
    )

    def __init__(self, *, at: float, job: str) -> None:
        self.at = at
        self.job = job
        self.latency = 0.0
        self.status = 0
        self.kind: str | None = "no_reply"
        self.ran: str | None = None
        self.coverage = 0.0
        self.attempts = 0
        self.resends = 0
        self.retry_after_s = 0.0

    @property
    def answered(self) -> bool:
        """Whether the caller got an answer."""
        return self.status == 200


class PendingCall:
    """A request in flight."""

    __slots__ = ("body", "due", "number", "result", "sink", "url")

    def __init__(self, *, url: str, body: bytes, due: float, number: int, result: CallResult):
        self.url = url
        self.body = body
        self.due = due
        self.number = number
        self.result = result
        self.sink = io.BytesIO()


class Caller:
    """Sends requests and collects results; many are in flight at a time."""

    __slots__ = ("free", "multi", "pending", "results")

    def __init__(self) -> None:
        self.multi = pycurl.CurlMulti()
        self.multi.setopt(pycurl.M_MAX_HOST_CONNECTIONS, CONNECTIONS_PER_ADDRESS)
        self.multi.setopt(pycurl.M_MAXCONNECTS, 2 * CONNECTIONS_PER_ADDRESS)
        self.free: list[pycurl.Curl] = []
        self.pending: dict[pycurl.Curl, PendingCall] = {}
        self.results: list[CallResult] = []

    def send(self, call: PendingCall) -> None:
        """Start a request."""
        curl = self.free.pop() if self.free else new_handle()
        call.sink = io.BytesIO()
        curl.setopt(pycurl.URL, call.url)
        curl.setopt(pycurl.POSTFIELDS, call.body)
        curl.setopt(pycurl.WRITEFUNCTION, call.sink.write)
        self.pending[curl] = call
        self.multi.add_handle(curl)

    def work(self, timeout_s: float) -> list[PendingCall]:
        """Let transfers proceed for at most a time and return those that ended."""
        self.multi.select(max(0.0, min(timeout_s, LONGEST_SELECT_S)))
        while self.multi.perform()[0] == pycurl.E_CALL_MULTI_PERFORM:
            pass
        ended = []
        while True:
            left, done, failed = self.multi.info_read()
            for curl in [*done, *(entry[0] for entry in failed)]:
                call = self.pending.pop(curl)
                call.result.status = curl.getinfo(pycurl.RESPONSE_CODE) if curl in done else 0
                self.multi.remove_handle(curl)
                self.free.append(curl)
                ended.append(call)
            if not left:
                return ended

    def close(self) -> None:
        """Close all connections."""
        for curl in [*self.pending, *self.free]:
            curl.close()
        self.multi.close()


def new_handle() -> pycurl.Curl:
    """Return a handle for JSON requests."""
    curl = pycurl.Curl()
    curl.setopt(pycurl.NOSIGNAL, 1)
    curl.setopt(pycurl.TCP_NODELAY, 1)
    curl.setopt(pycurl.PROXY, "")
    curl.setopt(pycurl.HTTPHEADER, JSON_HEADERS)
    curl.setopt(pycurl.POST, 1)
    curl.setopt(pycurl.TIMEOUT_MS, int(CALL_LIMIT_S * 1000))
    return curl


def read_reply(call: PendingCall, now: float) -> None:
    """Fill in the result of a call that ended."""
    result = call.result
    result.latency = now - call.due
    if result.status == 0:
        return
    reply = decode_json(call.sink.getvalue())
    if result.answered:
        result.kind = None
        result.coverage = reply["coverage"]["fraction"]
        result.attempts = reply["attempts"]
    else:
        result.kind = reply["error"]["kind"]
        result.ran = reply["error"]["ran"]
        result.retry_after_s = (reply["error"].get("retry_after_ms") or 0) / 1000


def open_load(
    addresses: list[str],
    jobs: list[str],
    *,
    rate: float,
    seconds: float,
    seed: int,
    resends: int = 0,
    obedient: bool = True,
    at_second: dict[float, Callable[[], None]] | None = None,
    rate_of: Callable[[float], float] | None = None,
) -> list[CallResult]:
    """Send requests at random instants of a mean rate, whether earlier ones are answered or not.

    Parameters
    ----------
    addresses : list of str
        Entry hosts, used in turn.
    jobs : list of str
        Job names, used in turn.
    rate : float
        Requests a second.
    seconds : float
        Length of the load.
    seed : int
        Seed of the arrival times.
    resends : int
        How often a request that was refused as overloaded is sent again.
    obedient : bool
        Whether callers wait for the time that the refusal names before they send again.
    at_second : dict of float to callable
        Events during the load.
    rate_of : callable
        Rate at a time since the start, in place of ``rate``.
    """
    random = Random(seed)
    caller = Caller()
    events = sorted((at_second or {}).items())
    started = time.monotonic()
    due = 0.0
    number = 0
    delayed: list[tuple[float, int, PendingCall]] = []
    while True:
        now = time.monotonic() - started
        while delayed and delayed[0][0] <= now:
            caller.send(heapq.heappop(delayed)[2])
        while events and events[0][0] <= now:
            events.pop(0)[1]()
        while due <= now and due < seconds:
            job = jobs[number % len(jobs)]
            body = {"request_id": f"r-{number}", "job": job, "payload": {"q": number}}
            result = CallResult(at=due, job=job)
            caller.results.append(result)
            caller.send(
                PendingCall(
                    url=f"http://{addresses[number % len(addresses)]}/v1/query",
                    body=encode_json(body),
                    due=started + due,
                    number=number,
                    result=result,
                )
            )
            number += 1
            due += random.expovariate(rate_of(due) if rate_of else rate)
        if due >= seconds and not caller.pending and not delayed:
            break
        for call in caller.work(due - now if due < seconds else LONGEST_SELECT_S):
            read_reply(call, time.monotonic())
            if call.result.kind == "overloaded" and call.result.resends < resends:
                call.result.resends += 1
                wait_s = call.result.retry_after_s if obedient else 0.0
                at = time.monotonic() - started + wait_s
                heapq.heappush(delayed, (at, call.number, call))
    caller.close()
    return caller.results


def closed_load(
    addresses: list[str], job: str, *, callers: int, seconds: float
) -> list[CallResult]:
    """Keep a number of requests in flight; each answer starts the next request."""
    caller = Caller()
    started = time.monotonic()

    def send_next(number: int) -> None:
        now = time.monotonic()
        result = CallResult(at=now - started, job=job)
        caller.results.append(result)
        body = {"request_id": f"r-{number}", "job": job, "payload": {"q": number}}
        address = addresses[number % len(addresses)]
        caller.send(
            PendingCall(
                url=f"http://{address}/v1/query",
                body=encode_json(body),
                due=now,
                number=number,
                result=result,
            )
        )

    for number in range(callers):
        send_next(number)
    while caller.pending:
        for call in caller.work(LONGEST_SELECT_S):
            now = time.monotonic()
            read_reply(call, now)
            if now - started < seconds:
                send_next(len(caller.results))
    caller.close()
    return caller.results


def closed_direct_load(
    targets: list[tuple[str, bytes]], *, callers: int, seconds: float
) -> list[float]:
    """Return the times of fan-outs that a bare pycurl client does itself, seconds.

    Parameters
    ----------
    targets : list of (str, bytes)
        URL and body of each call of one fan-out.
    callers : int
        Fan-outs in flight at a time.
    seconds : float
        Length of the load.
    """
    caller = Caller()
    started = time.monotonic()
    times: list[float] = []
    begun: dict[int, tuple[float, int]] = {}

    def send_next(number: int) -> None:
        now = time.monotonic()
        begun[number] = (now, len(targets))
        for url, body in targets:
            result = CallResult(at=now - started, job="direct")
            caller.send(PendingCall(url=url, body=body, due=now, number=number, result=result))

    for number in range(callers):
        send_next(number)
    numbers = callers
    while caller.pending:
        for call in caller.work(LONGEST_SELECT_S):
            decode_json(call.sink.getvalue())
            begin, left = begun[call.number]
            if left > 1:
                begun[call.number] = (begin, left - 1)
                continue
            del begun[call.number]
            now = time.monotonic()
            times.append(now - begin)
            if now - started < seconds:
                send_next(numbers)
                numbers += 1
    caller.close()
    return times
