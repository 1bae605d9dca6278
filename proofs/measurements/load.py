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

# Longest wait for transfers, so that resends and scheduled events start on time.
MAX_SELECT_S = 0.05
CALL_TIMEOUT_S = 10.0
MAX_CONNECTIONS_PER_ADDRESS = 400


class CallResult:
    """One request of a caller and its reply.

    ``scheduled_s`` is the scheduled time since the start of the load; ``latency_s`` is the time
    from then to the end of the reply. ``status`` is 0 without a complete reply. ``kind`` is the
    kind of a failure, ``no_reply`` without a reply, and None for an answer. ``resends`` counts how
    often the caller sent the request again after a refusal.
    """

    __slots__ = (
        "attempts",
        "coverage",
        "job",
        "kind",
        "latency_s",
        "ran",
        "resends",
        "retry_after_s",
        "scheduled_s",
        "status",
    )

    def __init__(self, *, scheduled_s: float, job: str) -> None:
        self.scheduled_s = scheduled_s
        self.job = job
        self.latency_s = 0.0
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
    """A request in flight; its latency counts from ``due_at``, a ``time.monotonic()`` instant."""

    __slots__ = ("body", "due_at", "number", "response_buffer", "result", "url")

    def __init__(self, *, url: str, body: bytes, due_at: float, number: int, result: CallResult):
        self.url = url
        self.body = body
        self.due_at = due_at
        self.number = number
        self.result = result
        self.response_buffer = io.BytesIO()


class LoadClient:
    """Sends requests and collects results, with many requests in flight at a time."""

    __slots__ = ("idle_handles", "multi", "pending", "results")

    def __init__(self) -> None:
        self.multi = pycurl.CurlMulti()
        self.multi.setopt(pycurl.M_MAX_HOST_CONNECTIONS, MAX_CONNECTIONS_PER_ADDRESS)
        self.multi.setopt(pycurl.M_MAXCONNECTS, 2 * MAX_CONNECTIONS_PER_ADDRESS)
        self.idle_handles: list[pycurl.Curl] = []
        self.pending: dict[pycurl.Curl, PendingCall] = {}
        self.results: list[CallResult] = []

    def send(self, call: PendingCall) -> None:
        """Start a request."""
        curl = self.idle_handles.pop() if self.idle_handles else new_handle()
        call.response_buffer = io.BytesIO()
        curl.setopt(pycurl.URL, call.url)
        curl.setopt(pycurl.POSTFIELDS, call.body)
        curl.setopt(pycurl.WRITEFUNCTION, call.response_buffer.write)
        self.pending[curl] = call
        self.multi.add_handle(curl)

    def poll(self, timeout_s: float) -> list[PendingCall]:
        """Advance the transfers and return the calls that ended.

        If no transfer is ready, waits for the shorter of ``timeout_s`` and ``MAX_SELECT_S``.
        """
        self.multi.select(max(0.0, min(timeout_s, MAX_SELECT_S)))
        while self.multi.perform()[0] == pycurl.E_CALL_MULTI_PERFORM:
            pass
        ended = []
        while True:
            left, done, failed = self.multi.info_read()
            for curl in [*done, *(entry[0] for entry in failed)]:
                call = self.pending.pop(curl)
                call.result.status = curl.getinfo(pycurl.RESPONSE_CODE) if curl in done else 0
                self.multi.remove_handle(curl)
                self.idle_handles.append(curl)
                ended.append(call)
            if not left:
                return ended

    def close(self) -> None:
        """Close all connections."""
        for curl in [*self.pending, *self.idle_handles]:
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
    curl.setopt(pycurl.TIMEOUT_MS, int(CALL_TIMEOUT_S * 1000))
    return curl


def read_reply(call: PendingCall, now: float) -> None:
    """Copy the reply of a call that ended at ``now`` into its result."""
    result = call.result
    result.latency_s = now - call.due_at
    if result.status == 0:
        return
    reply = decode_json(call.response_buffer.getvalue())
    if result.answered:
        result.kind = None
        result.coverage = reply["coverage"]["fraction"]
        result.attempts = reply["attempts"]
    else:
        result.kind = reply["error"]["kind"]
        result.ran = reply["error"]["ran"]
        result.retry_after_s = (reply["error"].get("retry_after_ms") or 0) / 1000


def run_open_loop(
    addresses: list[str],
    jobs: list[str],
    *,
    rate: float,
    seconds: float,
    seed: int,
    resends: int = 0,
    honor_retry_after: bool = True,
    scheduled_events: dict[float, Callable[[], None]] | None = None,
    rate_at: Callable[[float], float] | None = None,
) -> list[CallResult]:
    """Send requests at random instants with a mean rate, regardless of earlier replies.

    Parameters
    ----------
    addresses : list of str
        Entry hosts, used in turn.
    jobs : list of str
        Job names, used in turn.
    rate : float
        Mean rate, requests a second.
    seconds : float
        Length of the load.
    seed : int
        Seed of the arrival times.
    resends : int
        Maximum number of times that a request refused as overloaded is sent again.
    honor_retry_after : bool
        Whether callers wait for the time that the refusal states before they send again.
    scheduled_events : dict of float to callable
        Functions to call during the load, by the time since its start, seconds.
    rate_at : callable
        Mean rate at a time since the start, used instead of ``rate``.
    """
    random = Random(seed)
    client = LoadClient()
    events = sorted((scheduled_events or {}).items())
    started = time.monotonic()
    due = 0.0
    number = 0
    delayed: list[tuple[float, int, PendingCall]] = []
    while True:
        now = time.monotonic() - started
        while delayed and delayed[0][0] <= now:
            client.send(heapq.heappop(delayed)[2])
        while events and events[0][0] <= now:
            events.pop(0)[1]()
        while due <= now and due < seconds:
            job = jobs[number % len(jobs)]
            body = {"request_id": f"r-{number}", "job": job, "payload": {"q": number}}
            result = CallResult(scheduled_s=due, job=job)
            client.results.append(result)
            client.send(
                PendingCall(
                    url=f"http://{addresses[number % len(addresses)]}/v1/query",
                    body=encode_json(body),
                    due_at=started + due,
                    number=number,
                    result=result,
                )
            )
            number += 1
            due += random.expovariate(rate_at(due) if rate_at else rate)
        if due >= seconds and not client.pending and not delayed:
            break
        for call in client.poll(due - now if due < seconds else MAX_SELECT_S):
            read_reply(call, time.monotonic())
            if call.result.kind == "overloaded" and call.result.resends < resends:
                call.result.resends += 1
                wait_s = call.result.retry_after_s if honor_retry_after else 0.0
                resend_s = time.monotonic() - started + wait_s
                heapq.heappush(delayed, (resend_s, call.number, call))
    client.close()
    return client.results


def run_closed_loop(
    addresses: list[str], job: str, *, callers: int, seconds: float
) -> list[CallResult]:
    """Keep a number of requests in flight: until the end, each reply triggers the next request."""
    client = LoadClient()
    started = time.monotonic()

    def send_next(number: int) -> None:
        now = time.monotonic()
        result = CallResult(scheduled_s=now - started, job=job)
        client.results.append(result)
        body = {"request_id": f"r-{number}", "job": job, "payload": {"q": number}}
        address = addresses[number % len(addresses)]
        client.send(
            PendingCall(
                url=f"http://{address}/v1/query",
                body=encode_json(body),
                due_at=now,
                number=number,
                result=result,
            )
        )

    for number in range(callers):
        send_next(number)
    while client.pending:
        for call in client.poll(MAX_SELECT_S):
            now = time.monotonic()
            read_reply(call, now)
            if now - started < seconds:
                send_next(len(client.results))
    client.close()
    return client.results


def run_direct_closed_loop(
    targets: list[tuple[str, bytes]], *, callers: int, seconds: float
) -> list[float]:
    """Return the latencies of fan-outs by a pycurl client without an entry host, seconds.

    Parameters
    ----------
    targets : list of (str, bytes)
        URL and body of each call of one fan-out.
    callers : int
        Fan-outs in flight at a time.
    seconds : float
        Length of the load.
    """
    client = LoadClient()
    started = time.monotonic()
    latencies_s: list[float] = []
    in_flight: dict[int, tuple[float, int]] = {}

    def send_next(number: int) -> None:
        now = time.monotonic()
        in_flight[number] = (now, len(targets))
        for url, body in targets:
            result = CallResult(scheduled_s=now - started, job="direct")
            client.send(PendingCall(url=url, body=body, due_at=now, number=number, result=result))

    for number in range(callers):
        send_next(number)
    next_number = callers
    while client.pending:
        for call in client.poll(MAX_SELECT_S):
            decode_json(call.response_buffer.getvalue())
            sent_at, replies_left = in_flight[call.number]
            if replies_left > 1:
                in_flight[call.number] = (sent_at, replies_left - 1)
                continue
            del in_flight[call.number]
            now = time.monotonic()
            latencies_s.append(now - sent_at)
            if now - started < seconds:
                send_next(next_number)
                next_number += 1
    client.close()
    return latencies_s
