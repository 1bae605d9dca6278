"""Stand-in for a consumer: sends requests, repeats them as the platform says, checks answers."""

from __future__ import annotations

import http.client
import secrets
import time
from collections.abc import Collection

from rhubarbway_standins.platform.replica import RECORD_BYTES, proof, records

PROMISES = frozenset({408, 421, 429, 503})
FINAL = frozenset({400, 401, 404, 413, 431})
# A consumer waits at most this share of its time for a Retry-After.
RETRY_AFTER_SHARE = 1 / 3


class ConsumerReply:
    """Status (0 without a whole answer), headers by lower-case name, body, and the time it took.

    ``error`` says why there is no whole answer; it is empty if there is one.
    """

    __slots__ = ("attempts", "body", "error", "headers", "request_id", "seconds", "status")

    def __init__(
        self,
        *,
        status: int,
        headers: dict[str, str],
        body: bytes,
        request_id: str,
        seconds: float,
        attempts: int = 1,
        error: str = "",
    ) -> None:
        self.status = status
        self.error = error
        self.headers = headers
        self.body = body
        self.request_id = request_id
        self.seconds = seconds
        self.attempts = attempts


def asked_once(
    address: str,
    *,
    host: str,
    target: str,
    deadline_ms: int = 1000,
    method: str = "GET",
    body: bytes = b"",
) -> ConsumerReply:
    """Send one attempt on a connection of its own and return its end."""
    request_id = secrets.token_hex(8)
    headers = {"Host": host, "X-Request-Id": request_id, "X-Deadline-Ms": str(deadline_ms)}
    error = ""
    began = time.monotonic()
    connection = http.client.HTTPConnection(address, timeout=deadline_ms / 1000 + 1.0)
    try:
        connection.request(method, target, body=body or None, headers=headers)
        response = connection.getresponse()
        data = response.read()
        found = {name.lower(): value for name, value in response.getheaders()}
        status = response.status
    except (OSError, http.client.HTTPException) as failure:
        status, found, data = 0, {}, b""
        error = f"{type(failure).__name__}: {failure}"
    finally:
        connection.close()
    return ConsumerReply(
        status=status,
        headers=found,
        body=data,
        request_id=request_id,
        seconds=time.monotonic() - began,
        error=error,
    )


def asked(
    addresses: list[str],
    *,
    host: str,
    target: str,
    deadline_ms: int = 1000,
    retries: int = 1,
) -> ConsumerReply:
    """Send an idempotent request, and again at another host after a failure."""
    end = time.monotonic() + deadline_ms / 1000
    reply = None
    for attempt in range(retries + 1):
        left_ms = int((end - time.monotonic()) * 1000)
        if left_ms <= 0:
            break
        address = addresses[attempt % len(addresses)]
        reply = asked_once(address, host=host, target=target, deadline_ms=left_ms)
        reply.attempts = attempt + 1
        if 200 <= reply.status < 300 or reply.status in FINAL:
            break
        wait_s = float(reply.headers.get("retry-after", "0"))
        time.sleep(min(wait_s, max(0.0, end - time.monotonic()) * RETRY_AFTER_SHARE))
    assert reply is not None
    return reply


def merged_answer_problem(
    reply: ConsumerReply,
    *,
    target: str,
    shards: Collection[str],
    record_limit: int,
    min_coverage: float,
) -> str | None:
    """Return what is wrong with a merged answer, or None if it is right."""
    named = [part.strip() for part in reply.headers.get("x-part-stamps", "").split(",")]
    missing = int(reply.headers.get("x-missing-shards", "0"))
    expected = {proof(shard, reply.request_id, records(shard, target)): shard for shard in shards}
    if len(set(named)) != len(named) or any(part not in expected for part in named):
        return f"foreign or repeated parts: {named}"
    if len(named) + missing != len(shards) or len(named) < min_coverage * len(shards) - 1e-9:
        return f"{len(named)} parts and {missing} missing of {len(shards)}"
    found: list[bytes] = []
    for part in named:
        body = records(expected[part], target)
        whole = range(0, len(body) - RECORD_BYTES + 1, RECORD_BYTES)
        found += [body[start : start + RECORD_BYTES] for start in whole]
    if reply.body != b"".join(sorted(found, reverse=True)[:record_limit]):
        return "the body is not the greatest records of the named parts"
    return None
