"""Tests of the comparison of sent bytes with the kernel's count."""

import os
import socket

import pytest

from rhubarbway.edge import sent_bytes
from rhubarbway.edge.exchange_connection import ExchangeConnection
from rhubarbway.edge.sent_bytes import HANDSHAKE_BYTES, SentBytes, counted_bytes
from rhubarbway.edge.tests.test_http_server import GET, GatedServer

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


@pytest.fixture
def connection():
    """Both ends of a TCP connection."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        ours = socket.create_connection(listener.getsockname())
        theirs, _ = listener.accept()
    with ours, theirs:
        yield ours, theirs


@pytest.fixture
def reports():
    return []


class TestCount:
    def test_bytes_that_the_peer_has_not_taken_are_counted(self, connection):
        """Guards against reports about each connection whose peer reads slowly."""
        ours, _ = connection
        ours.setblocking(False)
        sent = 0
        try:
            while True:
                sent += ours.send(b"x" * 100_000)
        except BlockingIOError:
            pass
        assert counted_bytes(ours) == sent + HANDSHAKE_BYTES

    def test_bytes_are_counted_once_whoever_has_taken_them(self, connection):
        """Guards against bytes that count as sent and as waiting, or as neither."""
        theirs = connection[1]
        for size in (1, 1000, 70_000):
            before = counted_bytes(theirs)
            theirs.sendall(b"x" * size)
            assert counted_bytes(theirs) == before + size

    def test_a_connection_that_was_shut_down_has_no_count(self, connection):
        """Guards against the end of a connection being counted as a byte."""
        ours, _ = connection
        ours.sendall(b"x")
        ours.shutdown(socket.SHUT_WR)
        assert counted_bytes(ours) is None

    def test_a_socket_that_is_no_connection_has_no_count(self):
        """Guards against an exception while a connection is closed."""
        ours, theirs = socket.socketpair()
        with ours, theirs:
            assert counted_bytes(ours) is None


class TestComparison:
    def test_own_bytes_are_not_reported(self, connection, reports):
        """Guards against reports about sound connections."""
        sent = SentBytes(connected=True)
        for size in (1, 70_000):
            sent.send_all(connection[0], b"x" * size)
            connection[1].recv(70_000)
        sent.compare(connection[0], "peer", lambda *report: reports.append(report))
        assert reports == []

    def test_bytes_of_another_task_are_reported_once(self, connection, reports):
        """Guards against a log line for each later request of the same connection."""
        sent = SentBytes(connected=True)
        sent.send_all(connection[0], b"own")
        os.write(connection[0].fileno(), b"foreign!")
        for _ in range(2):
            sent.compare(connection[0], "peer", lambda *report: reports.append(report))
        assert reports == [("peer", 3 + HANDSHAKE_BYTES, 11 + HANDSHAKE_BYTES)]

    def test_a_kernel_without_counters_is_not_reported(self, connection, reports, monkeypatch):
        """Guards against a broken invariant for each connection where the counters stay at zero."""
        monkeypatch.setattr(sent_bytes, "counted_bytes", lambda sock: 0)
        sent = SentBytes(connected=True)
        sent.send_all(connection[0], b"own")
        sent.compare(connection[0], "peer", lambda *report: reports.append(report))
        assert reports == []

    def test_a_send_that_failed_leaves_nothing_to_compare(self, connection, reports):
        """Guards against reports about a response that was cut by its time limit."""
        sent = SentBytes(connected=True)
        connection[0].settimeout(0.05)
        with pytest.raises(TimeoutError):
            sent.send_all(connection[0], b"x" * 50_000_000)
        sent.compare(connection[0], "peer", lambda *report: reports.append(report))
        assert reports == []


class TestOwners:
    def test_server_reports_bytes_that_no_response_contains(self, reports):
        """Guards against foreign bytes in front of a response that leave no trace in the log."""
        gated = GatedServer()
        gated.server.report_mismatch = lambda *report: reports.append(report)
        with gated.connect() as sock:
            sock.sendall(GET.replace(b"/x", b"/gated"))
            assert gated.entered.wait(20.0)
            (state,) = gated.server.connections
            os.write(state.sock.fileno(), b"foreign!")
            gated.gate.set()
            data = b""
            while not data.endswith(b"answer"):
                data += sock.recv(100)
            assert data.startswith(b"foreign!HTTP/1.1 200")
        gated.server.stop(grace_s=5.0)
        (report,) = reports
        assert report[2] - report[1] == 8

    def test_server_reports_foreign_bytes_that_a_caller_left_after(self, reports):
        """Guards against a response that resets the connection before its bytes are compared."""
        gated = GatedServer()
        gated.server.report_mismatch = lambda *report: reports.append(report)
        with gated.connect() as sock:
            sock.sendall(GET.replace(b"/x", b"/gated"))
            assert gated.entered.wait(20.0)
            (state,) = gated.server.connections
            os.write(state.sock.fileno(), b"foreign!")
            assert sock.recv(100) == b"foreign!"
        gated.gate.set()
        gated.server.stop(grace_s=5.0)
        assert [report[1:] for report in reports] == [(0, 8)]

    def test_client_reports_bytes_that_no_request_contains(self, reports):
        """Guards against foreign bytes in front of a request that leave no trace in the log."""
        with socket.create_server(("127.0.0.1", 0)) as listener:
            host, port = listener.getsockname()
            client = ExchangeConnection(
                address=f"{host}:{port}", report_mismatch=lambda *report: reports.append(report)
            )
            client.open(timeout_s=5.0)
            server, _ = listener.accept()
            with server:
                os.write(client.sock.fileno(), b"foreign!")
                server.sendall(ANSWER)
                client.disconnect()
        assert reports == [(f"{host}:{port}", HANDSHAKE_BYTES, 8 + HANDSHAKE_BYTES)]
