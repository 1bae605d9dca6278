"""Calls that callers record, runs that backend servers record, and the checker of both."""

from __future__ import annotations

import math
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterable, Mapping, Sequence
from pathlib import Path
from random import Random
from typing import Any

import msgspec

from rhubarbway.edge.http_client import CallError, HttpConnection
from rhubarbway.edge.json_codec import decode_json, encode_json, hex_digest

# Longer than any deadline used, so that a call without a reply is a fault and no early timeout.
CALL_TIMEOUT_S = 15.0
# Limits the wait for the calls that a test needs; long enough for a busy machine.
CONDITION_TIMEOUT_S = 20.0
# Bound of the rounding error of one coverage, which is a sum of a few products of floats. Both the
# stated and the expected coverage have such an error, so they may differ by twice as much.
FRACTION_TOLERANCE = 1e-9


class ReplyEnvelope(msgspec.Struct):
    """Fields by which a caller checks that a reply is complete and belongs to its request."""

    request_id: str | None = None
    digest: str = ""
    shards: msgspec.Raw = msgspec.Raw(b"null")


class Call:
    """One request of a caller and the response.

    ``q`` is a text in the payload that differs between calls. Backend servers return it in each
    item, and their runs record it. ``status`` is None if no complete response arrived; ``rejected``
    is the reason why the caller did not accept the response, otherwise empty. ``sent_at`` and
    ``ended_at`` are ``time.monotonic()`` instants.
    """

    __slots__ = (
        "body",
        "ended_at",
        "host",
        "q",
        "rejected",
        "request_id",
        "sent_at",
        "status",
        "unsafe",
    )

    def __init__(
        self,
        *,
        q: str,
        request_id: str,
        host: str = "",
        unsafe: bool = False,
        status: int | None = None,
        body: bytes = b"",
        rejected: str = "",
        sent_at: float = 0.0,
        ended_at: float = 0.0,
    ) -> None:
        self.q = q
        self.request_id = request_id
        self.host = host
        self.unsafe = unsafe
        self.status = status
        self.body = body
        self.rejected = rejected
        self.sent_at = sent_at
        self.ended_at = ended_at

    @property
    def answered(self) -> bool:
        """Whether the caller accepted an answer."""
        return self.status == 200 and not self.rejected

    @property
    def failed(self) -> bool:
        """Whether the caller accepted a typed failure."""
        return self.status not in (None, 200) and not self.rejected

    def reply(self) -> dict[str, Any]:
        """Return the decoded reply."""
        return decode_json(self.body)


class Run:
    """One sub-query that a backend server ran."""

    __slots__ = ("layout", "q", "replica", "shard", "snapshot", "unsafe")

    def __init__(
        self, *, q: Any, replica: str, layout: str, shard: int, snapshot: str, unsafe: bool
    ) -> None:
        self.q = q
        self.replica = replica
        self.layout = layout
        self.shard = shard
        self.snapshot = snapshot
        self.unsafe = unsafe


class Violation:
    """A violated invariant, with its number, which ``violations`` explains."""

    __slots__ = ("detail", "invariant", "request_id")

    def __init__(self, *, invariant: int, request_id: str, detail: str) -> None:
        self.invariant = invariant
        self.request_id = request_id
        self.detail = detail

    def __repr__(self) -> str:
        return f"invariant {self.invariant}, {self.request_id}: {self.detail}"


ShardWeights = Mapping[str, Mapping[int, float]]


def shard_weights(*documents: dict[str, Any]) -> dict[str, dict[int, float]]:
    """Return the weight of each shard by layout, over several manifests."""
    return {
        service["layout"]: {shard["index"]: shard.get("weight", 1.0) for shard in service["shards"]}
        for document in documents
        for service in document["services"]
    }


def runs_from_directory(directory: Path) -> list[Run]:
    """Return what the backend servers of a fleet appended to their history files."""
    runs = []
    for path in sorted(directory.glob("*.history")):
        for line in path.read_bytes().splitlines():
            entry = decode_json(line)
            payload = entry["payload"]
            runs.append(
                Run(
                    q=payload.get("q") if isinstance(payload, dict) else payload,
                    replica=entry["replica"],
                    layout=entry["layout"],
                    shard=entry["shard"],
                    snapshot=entry["snapshot"],
                    unsafe=entry["unsafe"],
                )
            )
    return runs


def rejection_reason(call: Call) -> str:
    """Return why a caller must reject the response to a call, or an empty text."""
    try:
        envelope = msgspec.json.decode(call.body, type=ReplyEnvelope)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return f"not a reply: {error}"
    if envelope.request_id != call.request_id:
        return f"reply to {envelope.request_id}"
    if call.status == 200 and envelope.digest != hex_digest(bytes(envelope.shards)):
        return "digest does not match the shards"
    return ""


def snapshot_violations(calls: Iterable[Call], runs: Iterable[Run]) -> list[Violation]:
    """Return answers with items of another snapshot or layout than the answer states.

    Each item must also come from a run that some backend server recorded.
    """
    recorded = {(run.q, run.layout, run.shard, run.snapshot) for run in runs}
    found = []
    for call in calls:
        if not call.answered:
            continue
        reply = call.reply()
        stated = (reply["layout"], reply["snapshot"])
        for shard in reply["shards"]:
            for item in shard["items"]:
                held = (item["layout"], item["snapshot"])
                source = (item["q"], item["layout"], item["shard"], item["snapshot"])
                if held != stated:
                    detail = f"shard {shard['shard']} read {held}, the answer states {stated}"
                elif source not in recorded:
                    detail = f"shard {shard['shard']} has an item that no server produced"
                else:
                    continue
                found.append(Violation(invariant=1, request_id=call.request_id, detail=detail))
    return found


def coverage_problem(reply: dict[str, Any], weights: Mapping[int, float]) -> str:
    """Return what is wrong with the coverage of an answer, or an empty text."""
    coverage = reply["coverage"]
    merged = [shard["shard"] for shard in reply["shards"]]
    missing = [miss["shard"] for miss in coverage["missing"]]
    if empty := [shard["shard"] for shard in reply["shards"] if not shard["items"]]:
        return f"shards {empty} are counted as answered, but have no items"
    if sorted(merged + missing) != sorted(weights):
        return f"shards {merged} answered and {missing} missing, expected {sorted(weights)} in all"
    if (coverage["shards_answered"], coverage["shards_total"]) != (len(merged), len(weights)):
        return (
            f"states {coverage['shards_answered']} of {coverage['shards_total']} shards answered, "
            f"expected {len(merged)} of {len(weights)}"
        )
    covered = sum(weights[shard["shard"]] * shard["fraction"] for shard in reply["shards"])
    fraction = covered / sum(weights.values())
    if not math.isclose(coverage["fraction"], fraction, abs_tol=2 * FRACTION_TOLERANCE):
        return f"states a fraction of {coverage['fraction']}, expected {fraction}"
    if missing and coverage["fraction"] >= 1.0:
        return "states complete coverage although shards are missing"
    return ""


def coverage_violations(calls: Iterable[Call], layouts: ShardWeights) -> list[Violation]:
    """Return answers whose stated coverage differs from that of the merged shards."""
    found = []
    for call in calls:
        if not call.answered:
            continue
        reply = call.reply()
        weights = layouts.get(reply["layout"])
        detail = f"unknown layout {reply['layout']}"
        if weights is not None:
            detail = coverage_problem(reply, weights)
        if detail:
            found.append(Violation(invariant=2, request_id=call.request_id, detail=detail))
    return found


def identity_violations(calls: Iterable[Call], *, caller_faults: bool) -> list[Violation]:
    """Return replies that are incomplete or belong to another request.

    Parameters
    ----------
    calls : iterable of Call
        What callers recorded.
    caller_faults : bool
        True if faults acted between callers and entry hosts. Callers are then expected to reject
        replies; otherwise each rejected reply is a violation.
    """
    found = []
    for call in calls:
        details = []
        if call.rejected and not caller_faults:
            details.append(f"rejected although no fault acted on replies: {call.rejected}")
        if call.status is not None and not call.rejected and (problem := rejection_reason(call)):
            details.append(f"accepted a reply that must be rejected: {problem}")
        if call.answered:
            shards = call.reply()["shards"]
            foreign = {item["q"] for shard in shards for item in shard["items"]} - {call.q}
            if foreign:
                details.append(
                    f"the answer holds items of {sorted(map(str, foreign))}, not its own"
                )
            misplaced = [
                shard["shard"]
                for shard in shards
                for item in shard["items"]
                if item["shard"] != shard["shard"]
            ]
            if misplaced:
                details.append(f"the answer holds items of other shards under shards {misplaced}")
        found += [
            Violation(invariant=3, request_id=call.request_id, detail=detail) for detail in details
        ]
    return found


def refusal_violations(calls: Iterable[Call], runs: Iterable[Run]) -> list[Violation]:
    """Return refusals that state ``not_run`` although a backend server ran the request."""
    ran = {run.q for run in runs}
    return [
        Violation(invariant=4, request_id=call.request_id, detail="refused as not_run, but it ran")
        for call in calls
        if call.failed and call.reply()["error"]["ran"] == "not_run" and call.q in ran
    ]


def repetition_violations(runs: Iterable[Run]) -> list[Violation]:
    """Return unsafe requests that ran more than once on a shard."""
    counts = Counter((run.q, run.layout, run.shard) for run in runs if run.unsafe)
    return [
        Violation(invariant=5, request_id=str(q), detail=f"ran {count} times on shard {shard}")
        for (q, _, shard), count in counts.items()
        if count > 1
    ]


def violations(
    calls: Sequence[Call],
    runs: Sequence[Run],
    layouts: ShardWeights,
    *,
    caller_faults: bool = False,
) -> list[Violation]:
    """Return all violations of the invariants 1 to 5 in a history.

    1. All items of an answer come from the layout and snapshot that it states.
    2. The stated coverage is that of the merged shards.
    3. A reply is complete and belongs to the request of the caller.
    4. No backend server runs a request that is refused as ``not_run``.
    5. An unsafe request runs at most once on each shard.

    Parameters
    ----------
    calls : sequence of Call
        What callers recorded.
    runs : sequence of Run
        What backend servers recorded.
    layouts : mapping
        Weights of the shards of each layout that was published.
    caller_faults : bool
        True if faults acted between callers and entry hosts.
    """
    return [
        *snapshot_violations(calls, runs),
        *coverage_violations(calls, layouts),
        *identity_violations(calls, caller_faults=caller_faults),
        *refusal_violations(calls, runs),
        *repetition_violations(runs),
    ]


class Caller:
    """A caller with one connection to each entry host, which rejects replies to other requests.

    Parameters
    ----------
    number : int
        Number of this caller; with the seed it determines the random choices.
    addresses : sequence of str
        Entry hosts, chosen at random for each call.
    job : str
        Job name of all calls.
    seed : int
        Seed of the random choices.
    """

    __slots__ = ("addresses", "calls", "connections", "job", "number", "random", "seed")

    def __init__(self, *, number: int, addresses: Sequence[str], job: str, seed: int) -> None:
        self.number = number
        self.addresses = addresses
        self.job = job
        self.seed = seed
        self.random = Random(f"{seed}/{number}")
        self.connections = {address: HttpConnection(address=address) for address in addresses}
        self.calls: list[Call] = []

    def query(self, **fields: Any) -> Call:
        """Send one request with additional fields, record it, and return the record."""
        name = f"{self.seed}-{self.number}-{len(self.calls)}"
        address = self.random.choice(self.addresses)
        call = Call(q=name, request_id=f"r-{name}", host=address, sent_at=time.monotonic())
        call.unsafe = bool(fields.get("unsafe"))
        body = {"request_id": call.request_id, "job": self.job, "payload": {"q": name}} | fields
        connection = self.connections[address]
        try:
            reply = connection.call(
                "POST", "/v1/query", encode_json(body), timeout_s=CALL_TIMEOUT_S
            )
        except CallError:
            reply = None
        call.ended_at = time.monotonic()
        if reply is not None:
            call.status, call.body = reply.status, reply.body
            call.rejected = rejection_reason(call)
            if call.rejected:
                # Later responses on this connection may belong to earlier requests, too.
                connection.disconnect()
        self.calls.append(call)
        return call

    def close(self) -> None:
        """Close all connections."""
        for connection in self.connections.values():
            connection.close()


def query_during(
    script: Callable[[], None],
    *,
    addresses: Sequence[str],
    job: str,
    seed: int,
    callers: int = 6,
    calls_each: int = 2000,
    fields: Callable[[Random], dict[str, Any]] = lambda random: {},
    until: Callable[[list[Call]], bool] = lambda calls: True,
) -> list[Call]:
    """Run a script of faults while callers send queries, and return the recorded calls.

    Each caller sends queries until the script has ended and ``until`` holds for the calls so far,
    or until ``CONDITION_TIMEOUT_S`` after the script, and then one more. No caller sends more than
    ``calls_each`` requests. ``fields`` returns the additional fields of a request.
    """
    ended = threading.Event()
    active_callers = [
        Caller(number=number, addresses=addresses, job=job, seed=seed) for number in range(callers)
    ]

    def send_queries(caller: Caller) -> None:
        while not ended.is_set() and len(caller.calls) < calls_each - 1:
            caller.query(**fields(caller.random))
        ended.wait()
        caller.query(**fields(caller.random))
        caller.close()

    threads = [threading.Thread(target=send_queries, args=(caller,)) for caller in active_callers]
    for thread in threads:
        thread.start()
    try:
        script()
        deadline = time.monotonic() + CONDITION_TIMEOUT_S
        while not until(finished_calls(active_callers)) and time.monotonic() < deadline:
            time.sleep(0.05)
    finally:
        ended.set()
        for thread in threads:
            thread.join()
    return finished_calls(active_callers)


def finished_calls(callers: Sequence[Caller]) -> list[Call]:
    """Return the calls that have ended so far."""
    return [call for caller in callers for call in list(caller.calls)]
