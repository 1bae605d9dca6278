"""Tests of the HTTP server."""

import contextlib
import socket
import threading

import pytest
from werkzeug.wrappers import Response

from rhubarbway.edge import http_server
from rhubarbway.edge.http_server import HttpServer
from rhubarbway.edge.tests.held_calls import HeldCall, reused_numbers, touched

MAX_CONNECTIONS = 4
GET = b"GET /x HTTP/1.1\r\nHost: e\r\n\r\n"


class GatedServer:
    """A server whose replies to ``/gated`` wait for ``gate``."""

    def __init__(self):
        self.gate = threading.Event()
        self.entered = threading.Event()
        self.server = HttpServer(
            address=("127.0.0.1", 0),
            handler=self.respond,
            error_handler=lambda status, detail: Response(detail, status=status),
            max_connections=MAX_CONNECTIONS,
            name="test",
        )
        self.server.start()

    def respond(self, request):
        if request.path == "/gated":
            self.entered.set()
            self.gate.wait(timeout=20.0)
        return Response(b"answer")

    def connect(self):
        return socket.create_connection(self.server.address, timeout=20.0)


def read_all(sock):
    """Return all bytes received until the server closes the connection."""
    return b"".join(iter(lambda: sock.recv(65536), b""))


@pytest.fixture
def gated():
    gated = GatedServer()
    yield gated
    gated.gate.set()
    gated.server.stop(grace_s=5.0)


class TestRequests:
    def test_head_has_length_and_no_body(self, gated):
        """Guards against a body in the reply to ``HEAD``, which shifts the next reply."""
        with gated.connect() as sock:
            sock.sendall(
                GET.replace(b"GET", b"HEAD")
                + GET.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")
            )
            data = read_all(sock)
        assert data.count(b"Content-Length: 6") + data.count(b"content-length: 6") == 2
        assert data.count(b"answer") == 1

    def test_a_failing_handler_closes_only_its_connection(self, gated):
        """Guards against connections that still count as open after their handler has raised."""
        gated.server.handler = lambda request: 1 / 0
        for _ in range(3 * MAX_CONNECTIONS):
            with gated.connect() as sock:
                sock.sendall(GET)
                assert read_all(sock) == b""
        gated.server.handler = gated.respond
        with gated.connect() as sock:
            sock.sendall(GET)
            assert sock.recv(100).startswith(b"HTTP/1.1 200")

    def test_the_reply_to_a_refused_body_arrives(self, gated):
        """Guards against a reset that destroys the reply while the body is still being sent."""
        with gated.connect() as sock:
            sock.sendall(b"POST /x HTTP/1.1\r\nHost: e\r\nContent-Length: 2000000\r\n\r\n")
            sock.sendall(b"x" * 2_000_000)
            assert read_all(sock).startswith(b"HTTP/1.1 413")


class TestAnswers:
    def test_a_header_value_with_any_byte_above_ascii_arrives_unchanged(self, gated):
        """Guards against an answer whose header is not ASCII and that closes the connection."""
        value = bytes(range(0x80, 0x100)) + "trăsură.pdf".encode()
        headers = {"X-Name": value.decode("latin-1")}
        gated.server.handler = lambda request: Response(b"answer", headers=headers)
        with gated.connect() as sock:
            for request in (GET, GET.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")):
                sock.sendall(request)
            data = read_all(sock)
        assert data.count(b": " + value + b"\r\n") == data.count(b"answer") == 2

    @pytest.mark.parametrize(
        "make_response",
        [
            lambda: Response(b"x", status=204),
            lambda: Response(headers={"X-Name": "\u0103"}),
            lambda: Response(headers={"X-Name": "a\x00b"}),
        ],
    )
    def test_an_answer_that_cannot_be_encoded_is_reported_and_becomes_502(
        self, gated, make_response
    ):
        """Guards against a request that has run and ends without an answer or a line in the log."""
        reported = []
        gated.server.report_failure = lambda peer, error: reported.append((peer, type(error)))
        gated.server.handler = lambda request: make_response()
        with gated.connect() as other, gated.connect() as sock:
            sock.sendall(GET)
            assert read_all(sock).startswith(b"HTTP/1.1 502")
            assert [peer for peer, _ in reported] == ["127.0.0.1"]
            gated.server.handler = gated.respond
            other.sendall(GET)
            assert other.recv(100).startswith(b"HTTP/1.1 200")

    def test_an_exception_of_the_handler_is_reported(self, gated):
        """Guards against a task that an exception ends without a line in the log."""
        reported = []
        gated.server.report_failure = lambda peer, error: reported.append(type(error))
        gated.server.handler = lambda request: 1 / 0
        with gated.connect() as sock:
            sock.sendall(GET)
            assert read_all(sock) == b""
        assert reported == [ZeroDivisionError]


class TestStop:
    def test_a_running_request_is_answered_and_the_listener_closed(self, gated):
        """Guards against a stop that cuts requests in flight or goes on accepting."""
        with gated.connect() as sock:
            sock.sendall(GET.replace(b"/x", b"/gated"))
            assert gated.entered.wait(timeout=20.0)
            stopping = threading.Thread(target=gated.server.stop, kwargs={"grace_s": 20.0})
            stopping.start()
            gated.gate.set()
            reply = read_all(sock)
            stopping.join()
        assert reply.startswith(b"HTTP/1.1 200")
        assert b"close" in reply
        with pytest.raises(OSError):
            gated.connect()

    def test_a_request_that_exceeds_the_grace_is_cut_and_counted(self, gated):
        """Guards against a stop that waits for a slow request without limit."""
        with gated.connect() as sock:
            sock.sendall(GET.replace(b"/x", b"/gated"))
            assert gated.entered.wait(timeout=20.0)
            threading.Timer(1.0, gated.gate.set).start()
            assert gated.server.stop(grace_s=0.1) == 1

    def test_connections_of_the_backlog_are_served(self, gated):
        """Guards against resets of connections that were established before the listener closed."""
        socks = [gated.connect() for _ in range(MAX_CONNECTIONS)]
        for sock in socks:
            sock.sendall(GET)
        gated.server.stop(grace_s=20.0)
        replies = [read_all(sock) for sock in socks]
        assert [reply[:12] for reply in replies] == [b"HTTP/1.1 200"] * MAX_CONNECTIONS

    def test_second_stop_does_nothing(self, gated):
        """Guards against a second stop that fails on closed sockets."""
        assert [gated.server.stop(grace_s=1.0) for _ in range(2)] == [0, 0]

    def test_a_connection_that_ends_meanwhile_is_not_shut_down_by_its_number(
        self, gated, monkeypatch
    ):
        """Guards against a stop that shuts down a socket which got the number of a closed one."""
        held = HeldCall()
        monkeypatch.setattr(
            http_server,
            "shutdown_socket",
            lambda sock: held.run(sock, lambda by_number: by_number.shutdown(socket.SHUT_RDWR)),
        )
        with gated.connect() as sock:
            sock.sendall(GET.replace(b"/x", b"/gated"))
            assert gated.entered.wait(20.0)
            stopping = threading.Thread(target=gated.server.stop, kwargs={"grace_s": 0.0})
            stopping.start()
            assert held.begun.wait(20.0)
            gated.gate.set()
            assert b"answer" in sock.recv(65536)
            # The server closes the connection after this response, unless it waits for the stop.
            sock.settimeout(0.2)
            with contextlib.suppress(TimeoutError):
                assert sock.recv(1) == b""
            with reused_numbers() as sockets:
                held.released.set()
                stopping.join()
                assert touched(sockets) == []
