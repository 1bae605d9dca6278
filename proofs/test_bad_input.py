"""Bad input gets typed refusals and does not affect other callers.

No task is lost, and the memory of the daemon stays bounded.
"""

import threading
import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack
from pathlib import Path

import pytest

from proofs.raw_http import RawConnection, query_body, query_request, request_head, send_raw
from proofs.small_fleet import SmallFleet, small_deployment
from rhubarbway.client import LoadPlan, run_load
from rhubarbway.edge.json_codec import decode_json
from rhubarbway_standins.processes import Fleet

MAX_CONNECTIONS = 16
# Documented memory limit of an entry host.
MEMORY_LIMIT_KB = 256 * 1024
# The documented limit of a request is 10 s; the rest allows for a busy machine.
SLOW_REQUEST_LIMIT_S = 15.0
# The daemon releases a task once it has seen the end of the task's connection.
TASK_RELEASE_LIMIT_S = 20.0
# Enough for the lines logged at the start, and far fewer than the requests of a test.
LOG_LINES_LIMIT = 20
CHUNKED = "Transfer-Encoding: chunked"

# By name: bytes to send, expected statuses (0: connection closed without a reply), error kind and
# request id of the reply.
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


def resident_memory_kb(process):
    """Return the resident memory of a process in KB."""
    status = Path(f"/proc/{process.process.pid}/status").read_text()
    return int(status.partition("VmRSS:")[2].split()[0])


def concurrent_health_statuses(address):
    """Return the statuses of health requests on as many open connections as the daemon has
    tasks.
    """
    barrier = threading.Barrier(MAX_CONNECTIONS)

    def health_status(_):
        with RawConnection(address) as connection:
            connection.send_bytes(request_head("GET", "/v1/health"))
            status = connection.read_reply().status
            barrier.wait(timeout=TASK_RELEASE_LIMIT_S)
            return status

    with ThreadPoolExecutor(MAX_CONNECTIONS) as executor:
        return list(executor.map(health_status, range(MAX_CONNECTIONS)))


def wait_until_all_tasks_free(address):
    """Wait until each task of the daemon can serve a connection; a lost task never can."""
    end = time.monotonic() + TASK_RELEASE_LIMIT_S
    while (statuses := concurrent_health_statuses(address)) != [200] * MAX_CONNECTIONS:
        assert time.monotonic() < end, statuses
        time.sleep(0.1)


def open_served_connection(address, *, deadline):
    """Return a connection on which a health request was answered, so that it occupies a task.

    The daemon releases the task of a closed connection only once it has seen the end of that
    connection. A connection that is refused until then is opened again, up to the deadline.
    """
    while True:
        connection = RawConnection(address)
        connection.send_bytes(request_head("GET", "/v1/health"))
        reply = connection.read_reply()
        if reply.status == 200:
            return connection
        connection.sock.close()
        assert reply.status == 429
        assert reply.error["kind"] == "overloaded"
        assert time.monotonic() < deadline, "a task is still occupied"
        time.sleep(0.1)


@pytest.fixture(scope="class")
def small_fleet(tmp_path_factory):
    with Fleet(directory=tmp_path_factory.mktemp("bad-input")) as fleet:
        small_fleet = SmallFleet(
            fleet=fleet, deployment=small_deployment(shards=1, replicas=1, entry_hosts=1)
        )
        fleet.start_platform()
        fleet.publish(small_fleet.document)
        fleet.start_backends("b", small_fleet.replicas)
        fleet.start_entry_host(small_fleet.hosts[0], max_connections=MAX_CONNECTIONS)
        fleet.wait_until_ready(small_fleet.hosts[0])
        small_fleet.wait_for_complete_coverage(small_fleet.hosts[0])
        yield small_fleet


@pytest.fixture(scope="class")
def address(small_fleet):
    return small_fleet.hosts[0]["address"]


class TestBadInput:
    @pytest.mark.parametrize("name", BAD_REQUESTS)
    def test_refusal_is_typed(self, address, name):
        """Guards against an untyped refusal, a 5xx status, or an answer to part of a request."""
        data, statuses, kind, request_id = BAD_REQUESTS[name]
        reply = send_raw(address, data, half_close=name.startswith("truncated"))
        assert reply.status in statuses, reply.body
        if reply.status:
            assert reply.error["ran"] == "not_run"
            assert kind is None or reply.error["kind"] == kind
            assert kind is None or decode_json(reply.body)["request_id"] == request_id
        if reply.status == 405:
            assert reply.headers["allow"] == "POST"

    def test_good_requests_beside_bad_ones(self, small_fleet, address):
        """Guards against tasks and memory lost to bad requests, and failures of other callers'
        requests.
        """
        plan = LoadPlan(addresses=[address], jobs=["lots-all"], concurrency=4, duration_s=4.0)
        with ThreadPoolExecutor(6) as executor:
            load = executor.submit(run_load, plan)
            while not load.done():
                cases = list(BAD_REQUESTS.values())
                list(executor.map(lambda case: send_raw(address, case[0], half_close=True), cases))
        report = load.result()
        assert report.answered > 0
        assert (report.failures.total(), report.complete) == (0, report.answered)
        assert (
            resident_memory_kb(small_fleet.fleet.processes[small_fleet.hosts[0]["name"]])
            < MEMORY_LIMIT_KB
        )
        # Queries and refusals are not logged, and each line is JSON with the prefix of a component.
        log = (small_fleet.fleet.directory / f"{small_fleet.hosts[0]['name']}.log").read_bytes()
        assert 0 < len(log.splitlines()) < LOG_LINES_LIMIT
        assert all(": " in decode_json(line)["event"] for line in log.splitlines())
        wait_until_all_tasks_free(address)

    def test_connections_beyond_the_limit_are_refused(self, address):
        """Guards against a connection beyond the limit that waits without a reply, and against
        tasks that stay occupied after their connections are closed.
        """
        deadline = time.monotonic() + TASK_RELEASE_LIMIT_S
        with ExitStack() as stack:
            connections = [
                stack.enter_context(open_served_connection(address, deadline=deadline))
                for _ in range(MAX_CONNECTIONS)
            ]
            # Each connection is still served now that all of them are open.
            for connection in connections:
                connection.send_bytes(request_head("GET", "/v1/health"))
                assert connection.read_reply().status == 200
            with RawConnection(address) as one_more:
                reply = one_more.read_reply()
            assert reply.status == 429
            assert reply.error["kind"] == "overloaded"
        wait_until_all_tasks_free(address)

    def test_pipelined_requests_are_answered_in_order(self, address):
        """Guards against pipelined requests that are lost or answered out of order."""
        with RawConnection(address) as connection:
            connection.send_bytes(
                b"".join(query_request(query_body(request_id=f"p{n}")) for n in range(5))
            )
            replies = [decode_json(connection.read_reply().body) for _ in range(5)]
        assert [reply["request_id"] for reply in replies] == [f"p{n}" for n in range(5)]

    def test_chunked_query_is_answered(self, address):
        """Guards against a query that is refused because its body arrives in chunks of one byte."""
        body = query_body()
        chunks = b"".join(b"1\r\n" + body[n : n + 1] + b"\r\n" for n in range(len(body)))
        data = request_head("POST", "/v1/query", CHUNKED) + chunks + b"0\r\n\r\n"
        assert send_raw(address, data).status == 200

    def test_slow_sender_is_ended(self, address):
        """Guards against a time limit that each byte extends, so that a slow sender keeps its
        task.
        """
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
        assert time.monotonic() - started < SLOW_REQUEST_LIMIT_S
