"""Tests of what a caller accepts as an answer."""

import contextlib
import socket
import threading
import time
from types import SimpleNamespace

import pytest

from rhubarbway_standins.soak.callers import CALLER_LEFT, DEADLINE_MS, Caller

EVENT_BYTES = b"\x01" + bytes(7)
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
TARGET = "/waybills/1"
# Pause between the parts of an answer, seconds.
PART_PAUSE_S = 0.05


@pytest.fixture
def send_to():
    """Return a function that sends requests to a host and returns their records.

    Its arguments are what the host sends for each request, in parts with a pause between them.
    """
    listener = socket.create_server(("127.0.0.1", 0))
    threads = []

    def answer(replies):
        sock, _ = listener.accept()
        # A caller that has left unexpected bytes unread resets the connection.
        with sock, contextlib.suppress(ConnectionResetError):
            for parts in replies:
                sock.recv(4096)
                for part in parts:
                    sock.sendall(part)
                    time.sleep(PART_PAUSE_S)
            sock.recv(4096)

    def send(*replies, stay_s=None):
        threads.append(threading.Thread(target=answer, args=[replies]))
        threads[-1].start()
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        testbed = SimpleNamespace(gateways=SimpleNamespace(addresses=[address]))
        caller = Caller(testbed=testbed, seed=1, stopping=threading.Event())
        for _ in replies:
            caller.send_request(TARGET, stay_s=stay_s)
            time.sleep(PART_PAUSE_S * 2)
        caller.disconnect()
        return caller.requests

    yield send
    for thread in threads:
        thread.join()
    listener.close()


class TestAnswers:
    def test_answers_have_no_unexpected_bytes(self, send_to):
        """Guards against a report about correct answers on a connection that stays open."""
        requests = send_to([ANSWER], [ANSWER])
        assert [request.status for request in requests] == [200, 200]
        assert not any(request.unexpected_bytes for request in requests)

    def test_a_complete_answer_ends_the_request(self, send_to):
        """Guards against a wait for bytes behind the answer, which would count as its latency."""
        (request,) = send_to([ANSWER])
        assert request.latency_s < DEADLINE_MS / 1000 / 2

    @pytest.mark.parametrize(
        ("sent", "place"),
        [
            (EVENT_BYTES, "in place of a status line"),
            (EVENT_BYTES + ANSWER, "in place of a status line"),
            (b"HTTP/1.1 2x0 OK\r\n\r\n", "in place of an answer"),
            (ANSWER + EVENT_BYTES, "behind an answer"),
        ],
    )
    def test_other_bytes_are_recorded(self, send_to, sent, place):
        """Guards against taking foreign bytes for a lost connection, or not seeing them."""
        (request,) = send_to([sent])
        assert place in request.unexpected_bytes

    def test_bytes_that_come_while_no_request_waits_are_recorded(self, send_to):
        """Guards against missing bytes that arrive after an answer was read."""
        first, _ = send_to([ANSWER, EVENT_BYTES], [], stay_s=0.1)
        assert first.status == 200
        assert "behind an answer" in first.unexpected_bytes

    def test_a_caller_leaves_an_answer_that_is_not_complete(self, send_to):
        """Guards against taking a part of an answer for unexpected bytes, and against waiting."""
        (request,) = send_to([ANSWER[:30]], stay_s=0.1)
        assert request.unexpected_bytes == ""
        assert request.error == CALLER_LEFT
