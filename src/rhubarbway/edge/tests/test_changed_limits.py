"""Tests of limits that change while connections are open."""

import socket
import time

import pytest
from werkzeug.wrappers import Response

from rhubarbway.edge.http_server import HttpServer
from rhubarbway.model import CallerLimits

GET = b"GET /x HTTP/1.1\r\nHost: e\r\n\r\n"
# Larger than the old limit and, as a head, than a single read of the server.
LARGE_BYTES = 40 * 1024
OLD = {"max_header_bytes": 1024, "max_body_bytes": 1024, "idle_timeout_s": 0.4}
NEW = {"max_header_bytes": 2 * LARGE_BYTES, "max_body_bytes": 2 * LARGE_BYTES, "idle_timeout_s": 9}


class LimitedServer:
    """A server with limits that a test changes."""

    def __init__(self):
        self.set_limits(**OLD)
        self.server = HttpServer(
            address=("127.0.0.1", 0),
            handler=lambda request: Response(b"answer"),
            error_handler=lambda status, detail: Response(detail, status=status),
            max_connections=4,
            name="test",
            limits=lambda: self.limits,
        )
        self.server.start()

    def set_limits(self, **limits):
        self.limits = CallerLimits(header_timeout_s=5.0, **limits)

    def connect(self):
        return socket.create_connection(self.server.address, timeout=10.0)


def ask(sock, *pieces):
    """Send a request in pieces and return the status, 0 if the connection has ended."""
    try:
        for piece in pieces:
            sock.sendall(piece)
            time.sleep(0.02)
        return int(sock.recv(65536)[9:12] or b"0")
    except ConnectionError:
        return 0


LARGE_HEAD = (GET[:-2] + b"X-Note: " + b"n" * LARGE_BYTES, b"\r\n\r\n")
LARGE_BODY = (
    b"POST /x HTTP/1.1\r\nHost: e\r\nContent-Length: %d\r\n\r\n" % LARGE_BYTES,
    b"b" * LARGE_BYTES,
)
LARGE_CHUNK_LINE = (
    b"POST /x HTTP/1.1\r\nHost: e\r\nTransfer-Encoding: chunked\r\n\r\n1;" + b"x" * LARGE_BYTES,
    b"\r\nb\r\n0\r\n\r\n",
)


@pytest.fixture
def limited():
    limited = LimitedServer()
    yield limited
    limited.server.stop(grace_s=5.0)


class TestOpenConnection:
    @pytest.mark.parametrize("request_pieces", [LARGE_HEAD, LARGE_BODY], ids=["head", "body"])
    @pytest.mark.parametrize("used", [True, False])
    def test_the_next_request_has_the_raised_limit(self, limited, request_pieces, used):
        """Guards against proper requests that open connections deny after a change (431, 413)."""
        with limited.connect() as sock:
            assert not used or ask(sock, GET) == 200
            time.sleep(0.05)
            limited.set_limits(**NEW)
            assert ask(sock, *request_pieces) == 200

    @pytest.mark.parametrize(
        ("request_pieces", "status"),
        [(LARGE_HEAD, 431), (LARGE_BODY, 413), (LARGE_CHUNK_LINE, 431)],
        ids=["head", "body", "chunk-line"],
    )
    def test_the_next_request_has_the_lowered_limit(self, limited, request_pieces, status):
        """Guards against open connections whose callers keep a limit that is no longer granted."""
        limited.set_limits(**NEW)
        with limited.connect() as sock:
            assert ask(sock, GET) == 200
            time.sleep(0.05)
            limited.set_limits(**OLD)
            assert ask(sock, request_pieces[0]) == status

    def test_stays_open_for_the_raised_idle_timeout(self, limited):
        """Guards against idle connections that are closed by a timeout no longer in force."""
        with limited.connect() as sock:
            assert ask(sock, GET) == 200
            limited.set_limits(**NEW)
            time.sleep(2 * OLD["idle_timeout_s"])
            assert ask(sock, GET) == 200
