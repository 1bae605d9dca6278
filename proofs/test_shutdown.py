"""A graceful shutdown cuts off no request, under steady keep-alive load."""

import contextlib
import http.client
import signal
import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from proofs.raw_http import RawConnection, query_body, query_request, request_head
from proofs.small_fleet import SmallFleet, small_deployment
from rhubarbway.edge.http_server import STOP_IDLE_TIMEOUT_S
from rhubarbway_standins.processes import Fleet

CALLERS = 8
SERVICE_MS = 400.0
DEADLINE_S = 2.0
LEAVE_NOTICE_S = 1.0
# Documented bound: the notice, the longest deadline and 2 s. The rest allows for a busy machine.
STOP_LIMIT_S = LEAVE_NOTICE_S + DEADLINE_S + 2.0 + 3.0


class LoadBalancer:
    """Polls readiness; callers open new connections only while the host is ready."""

    __slots__ = ("address", "health_while_leaving", "ready", "stopped")

    def __init__(self, *, address):
        self.address = address
        self.ready = True
        self.stopped = threading.Event()
        self.health_while_leaving = None

    def watch_readiness(self):
        """Poll until the host is no longer ready, then request its health once."""
        while self.ready and not self.stopped.wait(0.05):
            self.ready = self.request_status("/v1/ready") == 200
        self.health_while_leaving = self.request_status("/v1/health")

    def request_status(self, path):
        """Return the status of one request, 0 if there is no reply."""
        try:
            with RawConnection(self.address) as connection:
                connection.send_bytes(request_head("GET", path, "Connection: close"))
                return connection.read_reply().status
        except OSError:
            return 0


class Caller:
    """Sends one query after another on a connection that it keeps open."""

    __slots__ = ("answered", "balancer", "connection", "failures")

    def __init__(self, *, balancer):
        self.balancer = balancer
        self.connection = None
        self.answered = 0
        self.failures = []

    def run(self):
        """Send queries until the host is not ready and has closed the last connection."""
        while self.connection is not None or self.balancer.ready:
            if self.connection is None:
                self.connection = http.client.HTTPConnection(self.balancer.address, timeout=20)
                try:
                    self.connection.connect()
                except OSError:
                    return
            try:
                self.connection.request("POST", "/v1/query", query_body())
                response = self.connection.getresponse()
                response.read()
            except (OSError, http.client.HTTPException) as error:
                self.failures.append(repr(error))
                return
            if response.status == 200:
                self.answered += 1
            else:
                self.failures.append(response.status)
            if response.will_close:
                self.connection.close()
                self.connection = None


@pytest.fixture
def small_fleet(tmp_path):
    with Fleet(directory=tmp_path) as fleet:
        deployment = small_deployment(
            shards=1, replicas=4, entry_hosts=1, deadline_ms=int(DEADLINE_S * 1000)
        )
        small_fleet = SmallFleet(fleet=fleet, deployment=deployment)
        for spec in small_fleet.replicas:
            spec.service_ms = SERVICE_MS
            spec.spread = 0.05
        fleet.start_platform()
        fleet.publish(small_fleet.document)
        fleet.start_backends("b", small_fleet.replicas)
        fleet.start_entry_host(small_fleet.hosts[0], leave_notice_s=LEAVE_NOTICE_S)
        fleet.wait_until_ready(small_fleet.hosts[0])
        small_fleet.wait_for_complete_coverage(small_fleet.hosts[0])
        yield small_fleet


@pytest.fixture
def daemon(small_fleet):
    return small_fleet.fleet.processes[small_fleet.hosts[0]["name"]]


class TestShutdown:
    def test_no_request_is_cut_off(self, small_fleet, daemon):
        """Guards against a stop that closes connections while requests on them are in flight."""
        balancer = LoadBalancer(address=small_fleet.hosts[0]["address"])
        callers = [Caller(balancer=balancer) for _ in range(CALLERS)]
        with ThreadPoolExecutor(CALLERS + 1) as executor:
            futures = [executor.submit(balancer.watch_readiness)]
            futures += [executor.submit(caller.run) for caller in callers]
            small_fleet.sleep(1.5)
            before = sum(caller.answered for caller in callers)
            daemon.send_signal(signal.SIGTERM)
            started = time.monotonic()
            code = daemon.process.wait(timeout=60.0)
            seconds = time.monotonic() - started
            balancer.stopped.set()
        for future in futures:
            future.result()
        assert [caller.failures for caller in callers] == [[]] * CALLERS
        assert sum(caller.answered for caller in callers) > before >= CALLERS
        assert (code, seconds < STOP_LIMIT_S) == (0, True)
        # A leaving host is no longer ready, but it is healthy until its process ends.
        assert balancer.health_while_leaving == 200

    def test_requests_that_began_before_the_listener_closed(self, small_fleet, daemon):
        """Guards against losing requests when the listener closes: one in flight, and one that
        has partly arrived and is completed later. An idle connection is closed.
        """
        address = small_fleet.hosts[0]["address"]
        request = query_request(query_body())
        with contextlib.ExitStack() as stack:
            in_flight, partly_sent, idle = [
                stack.enter_context(RawConnection(address)) for _ in range(3)
            ]
            for connection in (in_flight, partly_sent, idle):
                connection.send_bytes(request_head("GET", "/v1/health"))
                assert connection.read_reply().status == 200
            partly_sent.send_bytes(request[:-10])
            daemon.send_signal(signal.SIGTERM)
            small_fleet.sleep(LEAVE_NOTICE_S - 0.2)
            in_flight.send_bytes(request)
            wait_until_refused(address)
            small_fleet.sleep(2 * STOP_IDLE_TIMEOUT_S)
            partly_sent.send_bytes(request[-10:])
            for connection in (in_flight, partly_sent):
                reply = connection.read_reply()
                assert (reply.status, reply.headers["connection"]) == (200, "close")
            assert idle.sock.recv(1) == b""
        assert daemon.process.wait(timeout=60.0) == 0

    def test_every_stop_signal_is_taken(self, small_fleet):
        """Guards against a signal that is lost because a thread other than the main one
        received it.
        """
        for _ in range(3):
            processes = list(small_fleet.fleet.processes.values())
            for process in processes:
                process.send_signal(signal.SIGTERM)
            assert [p.process.wait(timeout=STOP_LIMIT_S) for p in processes] == [0] * len(processes)
            for process in processes:
                process.start()
            for spec in small_fleet.replicas:
                wait_until_open(spec.address)
            wait_until_open(small_fleet.hosts[0]["address"])


def wait_until_refused(address):
    """Wait until the listener is closed and refuses connections."""
    end = time.monotonic() + 20.0
    while time.monotonic() < end:
        try:
            RawConnection(address).sock.close()
        except OSError:
            return
        time.sleep(0.02)
    raise TimeoutError(f"{address} still accepts connections after 20 s")


def wait_until_open(address):
    """Wait until a connection is accepted."""
    host, _, port = address.rpartition(":")
    end = time.monotonic() + 20.0
    while time.monotonic() < end:
        with contextlib.suppress(OSError):
            socket.create_connection((host, int(port)), timeout=1.0).close()
            return
        time.sleep(0.02)
    raise TimeoutError(f"{address} accepts no connection after 20 s")
