"""Tests of the client connections over real sockets, with faults injected by a proxy.

The tests compare what the client reports about a failed call with what the server received.
"""

import contextlib
import os
import socket
import threading
import time
from pathlib import Path

import pytest
from werkzeug.wrappers import Response

from rhubarbway.edge.exchange_connection import ExchangeConnection
from rhubarbway.edge.http_client import CallError, HttpConnection
from rhubarbway.edge.http_server import HttpServer
from rhubarbway.edge.tests.endless_responses import ENDLESS_RESPONSES
from rhubarbway_standins.fault_proxy import REQUEST, RESPONSE, FaultProxy, Route
from rhubarbway_standins.processes import free_ports

PORTS = free_ports()
TIMEOUT_S = 5.0
# Memory that one response may occupy while it is read, bytes: a body of the greatest size, and the
# copies of it in the parser.
GROWTH_LIMIT_BYTES = 16 * 1024 * 1024


class RecordingServer:
    """Records request bodies and echoes them."""

    def __init__(self):
        self.received = []
        self.server = HttpServer(
            address=("127.0.0.1", next(PORTS)),
            handler=self.respond,
            error_handler=lambda status, detail: Response(detail, status=status),
            max_connections=32,
            name="server",
        )
        self.server.start()

    def respond(self, request):
        body = request.get_data()
        self.received.append(body)
        return Response(body)


class ClientSetup:
    """A client that reaches a recording server through a fault proxy."""

    def __init__(self, client_class):
        self.server = RecordingServer()
        host, port = self.server.server.address
        listen = f"127.0.0.1:{next(PORTS)}"
        route = Route(name="server", listen=listen, upstream=f"{host}:{port}")
        self.proxy = FaultProxy(routes=[route])
        self.client = client_class(address=listen)

    def call(self, body, *, timeout_s=TIMEOUT_S):
        return call(self.client, "POST", body, timeout_s=timeout_s).body

    def failed_call(self, body, *, timeout_s=TIMEOUT_S):
        with pytest.raises(CallError) as raised:
            self.call(body, timeout_s=timeout_s)
        return raised.value

    def stop(self):
        self.client.disconnect()
        self.proxy.stop()
        self.server.server.stop(grace_s=0.0)


def call(client, method, body, *, timeout_s=TIMEOUT_S):
    """Send one request on either class of connection."""
    return client.exchange(method, "/", headers=["Host: server"], body=body, timeout_s=timeout_s)


@pytest.fixture(params=[HttpConnection, ExchangeConnection])
def client_class(request):
    """Return one of the two connection classes, which give the same guarantees."""
    return request.param


@pytest.fixture
def client_setup(client_class):
    running = ClientSetup(client_class)
    yield running
    running.stop()


@pytest.fixture(params=["fresh", "reused"])
def any_setup(request, client_setup):
    """Return a setup whose client has no connection yet, or a connection that was used before."""
    if request.param == "reused":
        client_setup.call(b"first")
        client_setup.server.received.clear()
    return client_setup


class TestProofOfNotSending:
    def test_reset_before_the_server_read_the_request_is_reported_as_sent(self, any_setup):
        """Guards against a claim that a request has not been sent although its first byte has."""
        # The first byte was sent, so the client cannot know whether it arrived.
        any_setup.proxy.set_faults(None, REQUEST, cut=True, times=1)
        assert any_setup.failed_call(b"a").sent

    @pytest.mark.parametrize("size", [0, 20, 60])
    def test_reset_after_the_server_ran_the_request_is_reported_as_sent(self, any_setup, size):
        """Guards against a retry of an executed request whose response was cut off."""
        any_setup.proxy.set_faults(None, RESPONSE, truncate=size, times=1)
        assert any_setup.failed_call(b"a" * 100).sent
        assert any_setup.server.received == [b"a" * 100]

    def test_timeout_after_sending_is_reported_as_sent(self, any_setup):
        """Guards against a retry of an executed request whose response did not arrive in time."""
        any_setup.proxy.set_faults(None, RESPONSE, drop=True, times=1)
        error = any_setup.failed_call(b"a", timeout_s=0.3)
        assert error.sent and error.timed_out
        assert any_setup.server.received == [b"a"]

    def test_refused_connection_is_reported_as_not_sent(self, client_setup):
        """Guards against a refused connection that is reported as a sent request."""
        client_setup.call(b"first")
        client_setup.proxy.stop()
        error = client_setup.failed_call(b"a")
        assert not error.sent and error.connecting
        assert client_setup.server.received == [b"first"]

    def test_connection_that_is_never_accepted_is_reported_as_not_sent(self, client_class):
        """Guards against a connect timeout that is reported as a sent request."""
        # Like ``free_ports``, ``create_server`` accepts a port with connections in TIME_WAIT.
        with socket.create_server(("127.0.0.1", next(PORTS)), backlog=0) as listener:
            address = listener.getsockname()
            # These connections fill the backlog, so that further ones get no answer.
            fillers = [socket.socket() for _ in range(4)]
            for filler in fillers:
                filler.setblocking(False)
                filler.connect_ex(address)
            client = client_class(address=f"127.0.0.1:{address[1]}")
            with pytest.raises(CallError) as raised:
                call(client, "POST", b"a", timeout_s=0.3)
            assert raised.value.timed_out and not raised.value.sent
            client.disconnect()
            for filler in fillers:
                filler.close()


class TestNoSilentResend:
    def test_request_on_a_reused_connection_that_dies_is_sent_once(self, client_setup):
        """Guards against a silent resend: libcurl opens a new connection unless forbidden to."""
        client_setup.call(b"first")
        client_setup.proxy.set_faults(None, RESPONSE, cut=True, times=1)
        assert client_setup.failed_call(b"a").sent
        assert client_setup.server.received == [b"first", b"a"]

    def test_cuts_during_many_calls_never_run_a_request_twice(self, client_setup):
        """Guards against a resend when responses are cut during a series of calls."""
        for number in range(30):
            client_setup.proxy.set_faults(None, RESPONSE, cut=True, times=number % 2)
            try:
                client_setup.call(b"%d" % number)
            except CallError as error:
                assert error.sent
        assert len(client_setup.server.received) == len(set(client_setup.server.received))


class TestReuse:
    def test_connection_that_died_while_idle_is_replaced(self, client_setup):
        """Guards against a request that fails on a connection which ended while idle."""
        client_setup.call(b"first")
        client_setup.proxy.cut(None)
        wait_until(lambda: not client_setup.client.is_open)
        assert client_setup.call(b"a") == b"a"
        assert client_setup.server.received == [b"first", b"a"]

    def test_connection_with_an_unread_response_is_replaced(self, client_setup):
        """Guards against a duplicated response that is read as the answer to the next request."""
        client_setup.proxy.set_faults(None, RESPONSE, duplicate=True, times=1)
        client_setup.call(b"first")
        wait_until(lambda: not client_setup.client.is_open)
        assert client_setup.call(b"second") == b"second"

    def test_connection_is_usable_after_disconnect(self, client_setup):
        """Guards against a disconnect that leaves the connection unusable."""
        client_setup.call(b"first")
        client_setup.client.disconnect()
        assert client_setup.call(b"second") == b"second"

    def test_late_response_of_a_timed_out_call_is_not_read(self, client_setup):
        """Guards against a late response that is read as the answer to the next request."""
        client_setup.call(b"first")
        client_setup.proxy.set_faults(None, RESPONSE, freeze=True)
        client_setup.failed_call(b"late", timeout_s=0.2)
        client_setup.proxy.set_faults(None, RESPONSE)
        assert client_setup.call(b"next") == b"next"


class TestAbort:
    def test_abort_before_the_call_keeps_it_from_starting(self, client_setup):
        """Guards against a request that is sent although it was cancelled before its start."""
        client_setup.call(b"first")
        client_setup.client.abort(client_setup.client.call_number + 1)
        assert not client_setup.failed_call(b"a").sent
        assert client_setup.server.received == [b"first"]

    def test_abort_after_sending_ends_the_call_at_once(self, any_setup):
        """Guards against a cancelled call that blocks its task until the time limit."""
        any_setup.proxy.set_faults(None, RESPONSE, freeze=True)
        number = any_setup.client.call_number + 1
        timer = threading.Timer(0.2, any_setup.client.abort, (number,))
        timer.start()
        started = time.monotonic()
        assert any_setup.failed_call(b"a", timeout_s=60.0).sent
        assert time.monotonic() - started < 30.0
        any_setup.proxy.set_faults(None, RESPONSE)
        assert any_setup.call(b"b") == b"b"

    def test_abort_of_an_earlier_call_does_not_affect_the_next_one(self, client_setup):
        """Guards against a late cancellation that ends an unrelated call."""
        client_setup.call(b"first")
        client_setup.call(b"second")
        client_setup.client.abort(1)
        assert client_setup.call(b"third") == b"third"


def wait_until(condition, *, timeout_s=TIMEOUT_S):
    """Wait until a condition holds; fail after ``timeout_s``."""
    end = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < end
        time.sleep(0.005)


class TestEmptyResponse:
    def test_a_chunked_response_without_a_body_is_complete(self, client_class):
        """Guards against an empty chunked response that is taken for a truncated head."""
        server = HttpServer(
            address=("127.0.0.1", next(PORTS)),
            handler=lambda request: Response(status=503),
            error_handler=lambda status, detail: Response(detail, status=status),
            max_connections=4,
            name="empty",
        )
        server.start()
        client = client_class(address="{}:{}".format(*server.address))
        assert call(client, "GET", b"").status == 503
        client.disconnect()
        server.stop(grace_s=0.1)


class TestPreconnect:
    """Only ``ExchangeConnection`` can be opened ahead of the first request."""

    @pytest.fixture
    def client_class(self):
        return ExchangeConnection

    def test_the_first_request_uses_the_open_connection(self, client_setup):
        """Guards against a first request that connects again despite an open connection."""
        client_setup.client.open(timeout_s=TIMEOUT_S)
        opened = client_setup.client.sock
        assert client_setup.client.is_open
        assert client_setup.call(b"a") == b"a"
        assert client_setup.client.sock is opened

    def test_a_connection_that_ended_meanwhile_is_replaced(self, client_setup):
        """Guards against a request that is lost on a connection that ended since it was opened."""
        client_setup.client.open(timeout_s=TIMEOUT_S)
        # The proxy may not have accepted the connection yet.
        wait_until(lambda: client_setup.proxy.cut(None) > 0)
        wait_until(lambda: not client_setup.client.is_open)
        assert client_setup.call(b"a") == b"a"
        assert client_setup.server.received == [b"a"]

    def test_a_refused_connection_is_an_error(self, client_setup):
        """Guards against a failed preconnect that leaves a socket behind."""
        client_setup.proxy.stop()
        with pytest.raises(CallError) as raised:
            client_setup.client.open(timeout_s=TIMEOUT_S)
        assert raised.value.connecting and not raised.value.sent
        assert client_setup.client.sock is None


class TestRequestBytes:
    @pytest.mark.parametrize("line", ["A: 1\r\nB: 2", "A: 1\nB: 2", "A: \u20ac"])
    def test_a_header_that_cannot_be_written_is_not_sent(self, line):
        """Guards against a header value that injects another header or ends the connection task."""
        server = RecordingServer()
        client = ExchangeConnection(address="{}:{}".format(*server.server.address))
        with pytest.raises(CallError) as raised:
            client.exchange("GET", "/", headers=["Host: h", line], body=b"", timeout_s=TIMEOUT_S)
        assert not raised.value.sent
        assert server.received == []
        client.disconnect()
        server.server.stop(grace_s=0.1)


def resident_bytes():
    """Return the memory that this process occupies; libcurl keeps its part outside Python."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


class ScriptedServer:
    """Answers each connection with the same bytes, and then closes it.

    ``repeat`` is sent without end after them, until the client closes the connection.
    """

    def __init__(self, data, *, repeat=b""):
        self.data = data
        self.repeat = repeat
        self.listener = socket.create_server(("127.0.0.1", next(PORTS)))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.thread = threading.Thread(target=self.serve)
        self.thread.start()

    def serve(self):
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            with sock, contextlib.suppress(OSError):
                sock.recv(65_536)
                sock.sendall(self.data)
                while self.repeat:
                    sock.sendall(self.repeat)

    def stop(self):
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        self.thread.join()


WHOLE_RESPONSES = [
    b"HTTP/1.1 200 OK\r\nX-A: 1\r\nContent-Length: 5\r\n\r\nhello",
    b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-A: 1\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nT: 1\r\n\r\n",
    b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
]


class TestCutResponse:
    @pytest.mark.parametrize("data", WHOLE_RESPONSES)
    def test_a_response_that_is_cut_at_any_byte_is_an_error(self, client_class, data):
        """Guards against a server that ends in its head, and a short answer that passes for whole.

        A caller would get a 200 with an empty or short body and a length that fits it.
        """
        for end in range(len(data)):
            server = ScriptedServer(data[:end])
            client = client_class(address=server.address)
            with pytest.raises(CallError) as raised:
                call(client, "GET", b"")
            assert raised.value.sent, data[:end]
            client.disconnect()
            server.stop()

    @pytest.mark.parametrize("data", WHOLE_RESPONSES)
    def test_the_whole_response_is_none(self, client_class, data):
        """Guards against cuts that are found in a response without any."""
        server = ScriptedServer(data)
        client = client_class(address=server.address)
        assert call(client, "GET", b"").body in (b"hello", b"")
        client.disconnect()
        server.stop()


class TestUndefinedStatus:
    @pytest.mark.parametrize("status", [b"000", b"600", b"999"])
    def test_is_no_response(self, client_class, status):
        """Guards against a broken status that a caller gets as an answer."""
        server = ScriptedServer(WHOLE_RESPONSES[0].replace(b"200", status) + WHOLE_RESPONSES[0])
        client = client_class(address=server.address)
        with pytest.raises(CallError) as raised:
            call(client, "GET", b"")
        assert raised.value.sent and raised.value.malformed
        client.disconnect()
        server.stop()


class TestEndlessResponse:
    @pytest.mark.parametrize(
        ("begin", "repeat"), ENDLESS_RESPONSES.values(), ids=list(ENDLESS_RESPONSES)
    )
    def test_a_server_that_sends_without_end_fails_the_call(self, client_class, begin, repeat):
        """Guards against a call that reads for ever, or until the memory is full."""
        server = ScriptedServer(begin, repeat=repeat)
        client = client_class(address=server.address)
        before = resident_bytes()
        try:
            with pytest.raises(CallError) as raised:
                call(client, "GET", b"", timeout_s=1.0)
            assert raised.value.sent
            assert not client.is_open
            # The server sends hundreds of megabytes within the time limit of the call.
            assert resident_bytes() - before < GROWTH_LIMIT_BYTES
        finally:
            client.disconnect()
            server.stop()
