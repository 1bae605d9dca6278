"""Stand-in for a consumer: sends requests, retries by the platform's rules, checks answers."""

from __future__ import annotations

import http.client
import secrets
import time
from collections.abc import Collection

from rhubarbway_standins.platform.replica import RECORD_BYTES, encoded_records, reply_signature

# Statuses of requests that have not run and will not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# Statuses of failures that a consumer does not retry.
FINAL_STATUSES = frozenset({400, 401, 404, 413, 431})
# Largest fraction of the remaining time that a consumer waits for a Retry-After.
RETRY_AFTER_FRACTION = 1 / 3


class ConsumerReply:
    """Status, headers by lower-case name, body and latency of the reply to a consumer.

    Without a complete reply, the status is 0 and ``error`` says why; otherwise ``error`` is empty.
    """

    __slots__ = (
        "attempts",
        "body",
        "error",
        "headers",
        "latency_s",
        "request_id",
        "status",
    )

    def __init__(
        self,
        *,
        status: int,
        headers: dict[str, str],
        body: bytes,
        request_id: str,
        latency_s: float,
        attempts: int = 1,
        error: str = "",
    ) -> None:
        self.status = status
        self.error = error
        self.headers = headers
        self.body = body
        self.request_id = request_id
        self.latency_s = latency_s
        self.attempts = attempts


def send_once(
    address: str,
    *,
    host: str,
    target: str,
    deadline_ms: int = 1000,
    method: str = "GET",
    body: bytes = b"",
) -> ConsumerReply:
    """Send one attempt on a new connection and return the reply or the failure."""
    request_id = secrets.token_hex(8)
    headers = {"Host": host, "X-Request-Id": request_id, "X-Deadline-Ms": str(deadline_ms)}
    error = ""
    started_at = time.monotonic()
    connection = http.client.HTTPConnection(address, timeout=deadline_ms / 1000 + 1.0)
    try:
        connection.request(method, target, body=body or None, headers=headers)
        response = connection.getresponse()
        reply_body = response.read()
        reply_headers = {name.lower(): value for name, value in response.getheaders()}
        status = response.status
    except (OSError, http.client.HTTPException) as failure:
        status, reply_headers, reply_body = 0, {}, b""
        error = f"{type(failure).__name__}: {failure}"
    finally:
        connection.close()
    return ConsumerReply(
        status=status,
        headers=reply_headers,
        body=reply_body,
        request_id=request_id,
        latency_s=time.monotonic() - started_at,
        error=error,
    )


def send_with_retries(
    addresses: list[str],
    *,
    host: str,
    target: str,
    deadline_ms: int = 1000,
    retries: int = 1,
) -> ConsumerReply:
    """Send an idempotent request, and retry at another host after a failure."""
    end = time.monotonic() + deadline_ms / 1000
    reply = None
    for attempt in range(retries + 1):
        left_ms = int((end - time.monotonic()) * 1000)
        if left_ms <= 0:
            break
        address = addresses[attempt % len(addresses)]
        reply = send_once(address, host=host, target=target, deadline_ms=left_ms)
        reply.attempts = attempt + 1
        if 200 <= reply.status < 300 or reply.status in FINAL_STATUSES:
            break
        wait_s = float(reply.headers.get("retry-after", "0"))
        time.sleep(min(wait_s, max(0.0, end - time.monotonic()) * RETRY_AFTER_FRACTION))
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
    """Return what is wrong with a merged answer, or None if the answer is correct."""
    signatures = [
        signature.strip() for signature in reply.headers.get("x-part-stamps", "").split(",")
    ]
    missing = int(reply.headers.get("x-missing-shards", "0"))
    shard_by_signature = {
        reply_signature(shard, reply.request_id, encoded_records(shard, target)): shard
        for shard in shards
    }
    if len(set(signatures)) != len(signatures) or any(
        signature not in shard_by_signature for signature in signatures
    ):
        return f"unknown or repeated signatures: {signatures}"
    if (
        len(signatures) + missing != len(shards)
        or len(signatures) < min_coverage * len(shards) - 1e-9
    ):
        return (
            f"{len(signatures)} signatures and {missing} missing of {len(shards)} shards; "
            f"the minimum coverage is {min_coverage}"
        )
    all_records: list[bytes] = []
    for signature in signatures:
        body = encoded_records(shard_by_signature[signature], target)
        starts = range(0, len(body) - RECORD_BYTES + 1, RECORD_BYTES)
        all_records += [body[start : start + RECORD_BYTES] for start in starts]
    if reply.body != b"".join(sorted(all_records, reverse=True)[:record_limit]):
        return "the body does not hold the greatest records of the signed shards"
    return None
