"""Tests of calls whose task is without a processor while the reply arrives."""

import contextlib
import socket
import threading
import time

import pytest

from rhubarbway.edge.exchange_connection import ExchangeConnection
from rhubarbway.edge.http_call import CallError
from rhubarbway.edge.tests.test_http_client import RecordingServer

TIMEOUT_S = 0.2
PIECES = 100
PIECE_INTERVAL_S = 0.02


class StalledConnection(ExchangeConnection):
    """A connection whose task stalls past the time limit after it has sent a request."""

    def send(self, sock, data):
        super().send(sock, data)
        time.sleep(2 * TIMEOUT_S)


@pytest.fixture
def server():
    server = RecordingServer()
    yield server
    server.server.stop(grace_s=0.0)


def send_in_pieces(listener):
    """Answer a request with a body that arrives byte by byte."""
    sock, _ = listener.accept()
    with sock, contextlib.suppress(OSError):
        sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % PIECES)
        for _ in range(PIECES):
            sock.sendall(b"x")
            time.sleep(PIECE_INTERVAL_S)


def post(address, body):
    """Send a request and return the body of the reply."""
    connection = StalledConnection(address="{}:{}".format(*address))
    try:
        return connection.exchange(
            "POST", "/", headers=("Host: h",), body=body, timeout_s=TIMEOUT_S
        ).body
    finally:
        connection.disconnect()


class TestLateTask:
    def test_reads_a_reply_that_has_arrived(self, server):
        """Guards against a host that takes the store for gone because the host itself is slow."""
        assert post(server.server.address, b"body") == b"body"

    def test_does_not_go_on_reading_after_its_deadline(self):
        """Guards against a call without an end whose peer sends a piece now and then."""
        with socket.create_server(("127.0.0.1", 0)) as listener:
            trickle = threading.Thread(target=send_in_pieces, args=(listener,))
            trickle.start()
            started_at = time.monotonic()
            with pytest.raises(CallError) as raised:
                post(listener.getsockname(), b"body")
            assert raised.value.timed_out
            assert time.monotonic() - started_at < PIECES * PIECE_INTERVAL_S
            trickle.join()
