"""Proof that bad input harms nobody else: typed refusals, no lost task, bounded memory."""

import threading
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest

from proofs.raw_http import RawConnection, query_body, query_request, request_head, send_raw
from proofs.small_fleet import SmallFleet, small_deployment
from rhubarbway.client import LoadPlan, run_load
from rhubarbway.edge.json_codec import decode_json
from rhubarbway_standins.processes import Fleet

MAX_CONNECTIONS = 16
# The stated limit of a node's memory.
MEMORY_LIMIT_KB = 256 * 1024
# The stated limit of a request is 10 s; the rest is for a busy machine.
SLOW_LIMIT_S = 15.0
# A task is released once the daemon has seen the end of its connection.
RELEASE_LIMIT_S = 20.0
# Lines of the start, far fewer than the requests of a test.
LOG_LINES_LIMIT = 20
CHUNKED = "Transfer-Encoding: chunked"

# Name: bytes, expected statuses (0: closed without a reply), kind, request id.
BAD_REQUESTS = {
    "large header": (
        request_head("POST", "/v1/query", "A: " + "x" * 20_000),
        (413,),
        "too_large",
        None,
    ),
    "large body": (query_request(b" " * 1_100_000), (413,), "too_large", None),
    "large body announced": (
        request_head("POST", "/v1/query", "Content-Length: 99999999999"),
        (413,),
        "too_large",
        None,
    ),
    "large chunked body": (
        request_head("POST", "/v1/query", CHUNKED) + (b"10000\r\n" + b" " * 65536 + b"\r\n") * 20,
        (413,),
        "too_large",
        None,
    ),
    "misspelt field": (query_request(query_body(unsave=True)), (400,), "bad_request", "r1"),
    "missing field": (query_request(b'{"request_id":"r1"}'), (400,), "bad_request", "r1"),
    "wrong type": (query_request(query_body(deadline_ms="soon")), (400,), "bad_request", "r1"),
    "deadline out of range": (
        query_request(query_body(deadline_ms=0)),
        (400,),
        "bad_request",
        "r1",
    ),
    "coverage out of range": (
        query_request(query_body(min_coverage=7)),
        (400,),
        "bad_request",
        "r1",
    ),
    "long request id": (
        query_request(query_body(request_id="r" * 200)),
        (400,),
        "bad_request",
        None,
    ),
    "not UTF-8": (query_request(b'{"request_id":"\xff"}'), (400,), "bad_request", None),
    "not JSON": (query_request(b"job=lots"), (400,), "bad_request", None),
    "empty body": (query_request(b""), (400,), "bad_request", None),
    "an array": (query_request(b"[]"), (400,), "bad_request", None),
    "deep": (
        query_request(query_body(payload=[]).replace(b"[]", b"[" * 99 + b"]" * 99)),
        (400,),
        None,
        None,
    ),
    "very deep": (query_request(b"[" * 500_000), (400,), "bad_request", None),
    "wrong method": (request_head("DELETE", "/v1/query"), (405,), "method_not_allowed", None),
    "wrong path": (request_head("GET", "/v2/query"), (404,), "not_found", None),
    "doubled slash": (request_head("GET", "//v1//health"), (404,), "not_found", None),
    "two lengths": (
        query_request(query_body(), CHUNKED),
        (400,),
        "bad_request",
        None,
    ),
    "bad length": (
        request_head("POST", "/v1/query", "Content-Length: many"),
        (400,),
        "bad_request",
        None,
    ),
    "bad chunk": (
        request_head("POST", "/v1/query", CHUNKED) + b"zz\r\n",
        (400,),
        "bad_request",
        None,
    ),
    "no HTTP": (b"\x16\x03\x01\x02\x00\x01\r\n\r\n", (400,), "bad_request", None),
    "truncated head": (b"POST /v1/query HT", (0, 400), None, None),
    "truncated body": (query_request(query_body())[:-5], (0, 400), None, None),
}


def memory_kb(process):
    """Resident memory of a process, KB."""
    status = Path(f"/proc/{process.process.pid}/status").read_text()
    return int(status.partition("VmRSS:")[2].split()[0])


def statuses_at_once(address):
    """Statuses on as many connections as the daemon has tasks, all open at the same time."""
    barrier = threading.Barrier(MAX_CONNECTIONS)

    def status_of_one(_):
        with RawConnection(address) as connection:
            connection.send_bytes(request_head("GET", "/v1/health"))
            status = connection.read_reply().status
            barrier.wait(timeout=RELEASE_LIMIT_S)
            return status

    with ThreadPoolExecutor(MAX_CONNECTIONS) as executor:
        return list(executor.map(status_of_one, range(MAX_CONNECTIONS)))


def wait_until_all_free(address):
    """Wait until each task of the daemon can serve a connection; a lost task never can."""
    end = time.monotonic() + RELEASE_LIMIT_S
    while (statuses := statuses_at_once(address)) != [200] * MAX_CONNECTIONS:
        assert time.monotonic() < end, statuses
        time.sleep(0.1)


@pytest.fixture(scope="class")
def small(tmp_path_factory):
    with Fleet(directory=tmp_path_factory.mktemp("bad-input")) as fleet:
        small = SmallFleet(
            fleet=fleet, deployment=small_deployment(shards=1, replicas=1, entry_hosts=1)
        )
        fleet.start_platform()
        fleet.publish(small.document)
        fleet.start_backends("b", small.replicas)
        fleet.start_entry_host(small.hosts[0], max_connections=MAX_CONNECTIONS)
        fleet.wait_until_ready(small.hosts[0])
        small.wait_for_complete_coverage(small.hosts[0])
        yield small


@pytest.fixture(scope="class")
def address(small):
    return small.hosts[0]["address"]


class TestBadInput:
    @pytest.mark.parametrize("name", BAD_REQUESTS)
    def test_refusal_is_typed(self, address, name):
        """Guards against an untyped reply, a 5xx, or a reply to part of a request."""
        data, statuses, kind, request_id = BAD_REQUESTS[name]
        reply = send_raw(address, data, half_close=name.startswith("truncated"))
        assert reply.status in statuses, reply.body
        if reply.status:
            assert reply.error["ran"] == "not_run"
            assert kind is None or reply.error["kind"] == kind
            assert kind is None or decode_json(reply.body)["request_id"] == request_id
        if reply.status == 405:
            assert reply.headers["allow"] == "POST"

    def test_good_requests_beside_bad_ones(self, small, address):
        """Guards against lost tasks, lost memory, and harm to other callers' requests."""
        plan = LoadPlan(addresses=[address], jobs=["lots-all"], concurrency=4, duration_s=4.0)
        with ThreadPoolExecutor(6) as executor:
            load = executor.submit(run_load, plan)
            while not load.done():
                kinds = list(BAD_REQUESTS.values())
                list(executor.map(lambda case: send_raw(address, case[0], half_close=True), kinds))
        report = load.result()
        assert report.answered > 0
        assert (report.failures.total(), report.complete) == (0, report.answered)
        assert memory_kb(small.fleet.processes[small.hosts[0]["name"]]) < MEMORY_LIMIT_KB
        # No line is logged for a query or a refusal, and each line is JSON with a part's prefix.
        log = (small.fleet.directory / f"{small.hosts[0]['name']}.log").read_bytes()
        assert 0 < len(log.splitlines()) < LOG_LINES_LIMIT
        assert all(": " in decode_json(line)["event"] for line in log.splitlines())
        wait_until_all_free(address)

    def test_connections_beyond_the_limit_are_refused(self, address):
        wait_until_all_free(address)
        connections = [RawConnection(address) for _ in range(MAX_CONNECTIONS)]
        try:
            for connection in connections:
                connection.send_bytes(request_head("GET", "/v1/health"))
                assert connection.read_reply().status == 200
            with RawConnection(address) as one_more:
                reply = one_more.read_reply()
            assert (reply.status, reply.error["kind"]) == (429, "overloaded")
        finally:
            for connection in connections:
                connection.sock.close()
        wait_until_all_free(address)

    def test_pipelined_requests_are_answered_in_order(self, address):
        with RawConnection(address) as connection:
            connection.send_bytes(
                b"".join(query_request(query_body(request_id=f"p{n}")) for n in range(5))
            )
            replies = [decode_json(connection.read_reply().body) for _ in range(5)]
        assert [reply["request_id"] for reply in replies] == [f"p{n}" for n in range(5)]

    def test_chunked_query_is_answered(self, address):
        body = query_body()
        chunks = b"".join(b"1\r\n" + body[n : n + 1] + b"\r\n" for n in range(len(body)))
        data = request_head("POST", "/v1/query", CHUNKED) + chunks + b"0\r\n\r\n"
        assert send_raw(address, data).status == 200

    def test_slow_sender_is_ended(self, address):
        """Guards against a time limit that each byte extends."""
        data = query_request(query_body())
        started = time.monotonic()
        with RawConnection(address) as connection:
            connection.sock.settimeout(0.5)
            for byte in data:
                connection.send_bytes(bytes([byte]))
                try:
                    if connection.sock.recv(1) in (b"", b"H"):
                        break
                except TimeoutError:
                    continue
                except OSError:
                    break
        assert time.monotonic() - started < SLOW_LIMIT_S
