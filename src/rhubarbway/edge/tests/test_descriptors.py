"""Tests of the descriptors of client connections and their server when calls are aborted."""

import gc
import os
import random
import threading
import time

import pytest
from werkzeug.wrappers import Response

from rhubarbway.edge.exchange_connection import ExchangeConnection
from rhubarbway.edge.http_client import CallError, HttpConnection
from rhubarbway.edge.http_server import HttpServer
from rhubarbway.edge.tests.held_calls import HeldCall, HeldSocket, reused_numbers, touched

CLIENTS = 8
CALLS = 150
# Descriptors of one connection of each class: the socket here and at the server; libcurl has a
# duplicate of its socket, and two descriptors that wake its wait.
EXCHANGE_DESCRIPTORS = 2
HTTP_DESCRIPTORS = 5


def open_descriptors():
    return len(os.listdir("/proc/self/fd"))


class Storm:
    """Clients whose calls are answered, time out, or are aborted by another task at any instant."""

    def __init__(self, client_class):
        self.client_class = client_class
        self.server = HttpServer(
            address=("127.0.0.1", 0),
            handler=self.respond,
            error_handler=lambda status, detail: Response(detail, status=status),
            max_connections=4 * CLIENTS,
            name="server",
            report_mismatch=lambda *mismatch: self.mismatches.append(mismatch),
        )
        self.server.start()
        self.mismatches = []
        self.answered = 0
        self.failed = 0
        self.wrong = []
        self.most_descriptors = 0
        self.lock = threading.Lock()

    def respond(self, request):
        time.sleep(float(request.args["s"]))
        return Response(request.args["id"])

    def run_client(self, number):
        rng = random.Random(number)
        address = "{}:{}".format(*self.server.address)
        client = self.client_class(address=address)
        for call in range(CALLS):
            if rng.random() < 0.1:
                client.disconnect()
            aborter = None
            call_number = client.reserve_call()
            if rng.random() < 0.4:
                aborter = threading.Timer(rng.random() * 0.004, client.abort, (call_number,))
                aborter.start()
            expected = f"{number}-{call}"
            try:
                reply = client.exchange(
                    "GET",
                    f"/?id={expected}&s={rng.random() * 0.004:.4f}",
                    headers=["Host: s"],
                    body=b"",
                    timeout_s=rng.choice([0.003, 1.0]),
                    call_number=call_number,
                )
            except CallError:
                self.count(answered=False)
            else:
                self.count(answered=True)
                if reply.body != expected.encode():
                    self.wrong.append((expected, reply.body))
            # Every second abort may come after the end of its call.
            if aborter is not None and call % 2:
                aborter.join()
        client.disconnect()
        if isinstance(client, HttpConnection):
            client.close()

    def count(self, *, answered):
        with self.lock:
            self.answered += answered
            self.failed += not answered
            self.most_descriptors = max(self.most_descriptors, open_descriptors())


def run_storm(client_class):
    """Run the clients, and stop the server while they are still calling."""
    storm = Storm(client_class)
    tasks = [threading.Thread(target=storm.run_client, args=[n]) for n in range(CLIENTS)]
    for task in tasks:
        task.start()
    while storm.answered + storm.failed < CLIENTS * CALLS * 3 // 4:
        time.sleep(0.01)
    storm.server.stop(grace_s=0.0)
    for task in tasks:
        task.join()
    for thread in threading.enumerate():
        if isinstance(thread, threading.Timer):
            thread.join()
    return storm


class TestDescriptors:
    def check(self, client_class, descriptors_each):
        gc.collect()
        before = open_descriptors()
        storm = run_storm(client_class)
        assert storm.wrong == []
        assert storm.mismatches == []
        assert storm.answered > CALLS
        assert storm.failed > CALLS
        # The server may still have the last connections of each client, whose requests run on, and
        # has a listener, the pair of the stop signal and the selector. One more lists them.
        assert storm.most_descriptors <= before + CLIENTS * (descriptors_each + 3) + 5
        assert open_descriptors() <= before

    def test_of_exchange_connections_are_bounded_and_none_leaks(self):
        """Guards against descriptors that stay open, and calls that end for another's abort."""
        self.check(ExchangeConnection, EXCHANGE_DESCRIPTORS)

    def test_of_libcurl_connections_are_bounded_and_none_leaks(self):
        """Guards against the duplicate of a descriptor that libcurl leaves open."""
        self.check(HttpConnection, HTTP_DESCRIPTORS)


class TestAbort:
    @pytest.mark.parametrize("client_class", [ExchangeConnection, HttpConnection])
    def test_reaches_no_socket_but_that_of_its_connection(self, client_class):
        """Guards against an abort that shuts down the socket opened after its own was closed."""
        server = Storm(client_class).server
        client = client_class(address="{}:{}".format(*server.address))
        client.exchange("GET", "/?id=a&s=0", headers=["Host: s"], body=b"", timeout_s=5.0)
        held = HeldCall()
        sock, client.sock = client.sock, HeldSocket(client.sock, held)
        aborting = threading.Thread(target=client.abort, args=[client.call_number])
        aborting.start()
        assert held.begun.wait(5.0)
        end = getattr(client, "close", client.disconnect)
        closing = threading.Thread(target=end)
        closing.start()
        # The close has happened by then, unless it waits for the abort.
        closing.join(0.2)
        with reused_numbers() as sockets:
            held.released.set()
            aborting.join()
            assert touched(sockets) == []
        closing.join()
        assert sock.fileno() == -1
        server.stop(grace_s=0.0)
