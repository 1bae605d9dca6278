"""Tests of the fault-injecting proxy."""

import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import pytest
from werkzeug.wrappers import Response

from rhubarbway.edge.http_client import CallError, HttpConnection
from rhubarbway.edge.http_server import HttpServer
from rhubarbway.edge.tests.held_calls import (
    HeldCall,
    HeldSocket,
    hold_first_accept,
    listeners_with_callers,
    reused_numbers,
    touched,
)
from rhubarbway_standins.fault_proxy import (
    QUOTED_BYTES,
    REQUEST,
    RESPONSE,
    FaultProxy,
    Route,
    socket_address,
)
from rhubarbway_standins.processes import Fleet, call_json, free_ports

PORTS = free_ports()


class EchoServer:
    """Answers each POST with its body and counts the requests."""

    def __init__(self):
        self.received = []
        self.server = HttpServer(
            address=("127.0.0.1", next(PORTS)),
            handler=self.respond,
            error_handler=lambda status, detail: Response(detail, status=status),
            max_connections=16,
            name="echo",
        )
        self.server.start()
        self.address = f"127.0.0.1:{self.server.address[1]}"

    def respond(self, request):
        self.received.append(request.get_data())
        return Response(request.get_data())


@pytest.fixture
def echo():
    server = EchoServer()
    yield server
    server.server.stop(grace_s=0.0)


@pytest.fixture
def proxy(echo):
    listen = f"127.0.0.1:{next(PORTS)}"
    running = FaultProxy(routes=[Route(name="echo", listen=listen, upstream=echo.address)])
    yield running
    running.stop()


@pytest.fixture
def connections(proxy):
    address = proxy.route_proxies["echo"].route.listen
    opened = [HttpConnection(address=address) for _ in range(2)]
    yield opened
    for connection in opened:
        connection.close()


def post(connection, body, *, timeout_s=2.0, path="/"):
    return connection.call("POST", path, body, timeout_s=timeout_s).body


class TestForwarding:
    def test_messages_pass_unchanged_and_the_connection_is_reused(self, proxy, connections):
        """Guards against lost or split messages, such as one larger than the receive buffer."""
        large = b"x" * 300_000
        assert [post(connections[0], body) for body in (b"a", large, b"")] == [b"a", large, b""]
        assert proxy.state()["echo"]["connections"] == 1

    def test_unreachable_server_resets_the_connection(self, proxy, connections, echo):
        """Guards against a call that succeeds although nothing listens behind the route."""
        echo.server.stop(grace_s=0.0)
        with pytest.raises(CallError):
            post(connections[0], b"a")


class TestFaults:
    def test_delay(self, proxy, connections):
        """Guards against a delay that is shorter than set."""
        proxy.set_faults("echo", RESPONSE, delay_ms=200)
        started = time.monotonic()
        assert post(connections[0], b"a") == b"a"
        assert time.monotonic() - started >= 0.2

    def test_dropped_request_never_arrives(self, proxy, connections, echo):
        """Guards against a dropped request that reaches the server or closes the connection."""
        proxy.set_faults("echo", REQUEST, drop=True)
        with pytest.raises(CallError) as raised:
            post(connections[0], b"a", timeout_s=0.2)
        assert raised.value.timed_out
        assert echo.received == []

    @pytest.mark.parametrize("direction, arrived", [(REQUEST, []), (RESPONSE, [b"a"])])
    def test_cut_before_or_after_the_server_ran(self, proxy, connections, echo, direction, arrived):
        """Guards against a reset in the wrong direction, or more resets than ``times``."""
        proxy.set_faults("echo", direction, cut=True, times=1)
        with pytest.raises(CallError) as raised:
            post(connections[0], b"a")
        assert not raised.value.timed_out
        assert echo.received == arrived
        assert post(connections[1], b"b") == b"b"

    def test_frozen_messages_arrive_late(self, proxy, connections):
        """Guards against messages that pass a frozen direction or are lost in it."""
        proxy.set_faults(None, RESPONSE, freeze=True)
        started = time.monotonic()
        threading.Timer(0.2, proxy.set_faults, (None, RESPONSE)).start()
        assert post(connections[0], b"a") == b"a"
        assert time.monotonic() - started >= 0.2

    def test_truncated_response_is_not_a_whole_one(self, proxy, connections):
        """Guards against a truncated response that the client takes for a complete one."""
        proxy.set_faults("echo", RESPONSE, truncate=80, times=1)
        with pytest.raises(CallError) as raised:
            post(connections[0], b"y" * 500)
        # CURLE_PARTIAL_FILE: the stream ended before the whole body arrived.
        assert "curl 18" in str(raised.value)

    def test_duplicated_request_is_received_twice(self, proxy, connections, echo):
        """Guards against a duplicate that is not sent, or a fault that outlasts ``times``."""
        proxy.set_faults("echo", REQUEST, duplicate=True, times=1)
        post(connections[0], b"a")
        post(connections[1], b"b")
        assert sorted(echo.received) == [b"a", b"a", b"b"]

    def test_two_responses_change_places(self, proxy, connections):
        """Guards against a swap that returns each response to its own caller."""
        proxy.set_faults("echo", RESPONSE, swap=True, times=2)
        with ThreadPoolExecutor(2) as executor:
            bodies = list(executor.map(post, connections, (b"a", b"b")))
        assert bodies == [b"b", b"a"]

    def test_held_response_goes_to_its_own_caller_when_the_fault_ends(self, proxy, connections):
        """Guards against a response that stays held because no second one arrives to swap with."""
        proxy.set_faults("echo", RESPONSE, swap=True)
        threading.Timer(0.2, proxy.set_faults, (None, RESPONSE)).start()
        assert post(connections[0], b"a") == b"a"

    def test_fault_of_one_path_leaves_others_alone(self, proxy, connections):
        """Guards against a fault that ignores its path."""
        proxy.set_faults("echo", REQUEST, cut=True, path="/status")
        assert post(connections[0], b"a", path="/other") == b"a"
        with pytest.raises(CallError):
            post(connections[0], b"a", path="/status")

    def test_open_connections_are_cut_on_request(self, proxy, connections):
        """Guards against open connections that ``cut`` misses."""
        post(connections[0], b"a")
        assert proxy.cut("echo") == 1


class TestSilence:
    def test_an_open_connection_goes_silent_and_a_new_one_works(self, proxy, connections, echo):
        """Guards against a silenced connection that forwards data or ends, and against one that
        silences later connections."""
        connections[0].call("POST", "/", b"a", timeout_s=2.0)
        assert proxy.silence("echo") == 1
        started_at = time.monotonic()
        with pytest.raises(CallError):
            connections[0].call("POST", "/", b"b", timeout_s=0.3)
        assert time.monotonic() - started_at >= 0.3
        assert connections[1].call("POST", "/", b"c", timeout_s=2.0).body == b"c"
        assert echo.received == [b"a", b"c"]


class TestProxyProcess:
    def test_routes_of_a_fleet_are_controlled_over_http(self, echo, tmp_path):
        """Guards against a control endpoint that ignores faults, keeps cleared faults, or accepts
        unknown ones.
        """
        with Fleet(directory=tmp_path) as fleet:
            declared = {"name": "echo", "address": echo.address}
            control = fleet.start_proxy("proxy", [fleet.insert_route(declared)])
            assert call_json(declared["address"], "POST", "/", {"a": 1}).body == b'{"a":1}'
            control.set_faults("echo", RESPONSE, cut=True)
            with pytest.raises(CallError):
                call_json(declared["address"], "POST", "/", {"a": 2})
            control.clear()
            assert call_json(declared["address"], "POST", "/", {"a": 3}).status == 200
            assert control.state()["echo"]["faults_applied"] == 1
            with pytest.raises(ValueError):
                control.set_faults("echo", RESPONSE, unknown=True)


class TestDescriptors:
    def test_a_reset_reaches_no_socket_but_its_own(self, echo, proxy, connections):
        """Guards against a cut that ends another connection, which a soak takes for a fault."""
        connections[0].call("POST", "/", b"a", timeout_s=5.0)
        route_proxy = proxy.route_proxies["echo"]
        (proxied,) = route_proxy.connections
        held = HeldCall()
        client, proxied.client = proxied.client, HeldSocket(proxied.client, held)
        cutting = threading.Thread(target=route_proxy.reset_all)
        cutting.start()
        assert held.begun.wait(5.0)
        # Both directions end, and their last task closes the sockets, unless it waits for the cut.
        connections[0].disconnect()
        echo.server.stop(grace_s=0.0)
        end = time.monotonic() + 0.3
        while client.fileno() >= 0 and time.monotonic() < end:
            time.sleep(0.005)
        with reused_numbers() as sockets:
            held.released.set()
            cutting.join()
            assert touched(sockets) == []

    def test_a_closed_route_accepts_no_connection_of_another_listener(self, echo, monkeypatch):
        """Guards against a connection that goes to the server of a route closed before."""
        held = hold_first_accept(monkeypatch)
        listen = f"127.0.0.1:{next(PORTS)}"
        running = FaultProxy(routes=[Route(name="echo", listen=listen, upstream=echo.address)])
        assert held.begun.wait(5.0)
        (route_proxy,) = running.route_proxies.values()
        route_proxy.close()
        with listeners_with_callers() as listeners:
            held.released.set()
            running.stop()
            for listener in listeners:
                listener.settimeout(0.5)
                listener.accept()[0].close()
        assert route_proxy.listener.fileno() == -1
        with pytest.raises(OSError):
            socket.create_connection(("127.0.0.1", int(listen.rpartition(":")[2])), timeout=1.0)


class TestUnexpectedRequests:
    @pytest.mark.parametrize("ending", [b"", b"\r\n\r\n"])
    def test_the_start_of_a_message_that_is_no_request_is_recorded(self, proxy, ending):
        """Guards against forwarding foreign bytes in front of a request without a record."""
        route_proxy = proxy.route_proxies["echo"]
        message = b"\x01" + bytes(7) + b"POST / HTTP/1.1" + ending
        with socket.create_connection(socket_address(route_proxy.route.listen)) as client:
            client.sendall(message)
            client.shutdown(socket.SHUT_WR)
            while client.recv(1024):
                pass
        assert route_proxy.unexpected_requests == [message[:QUOTED_BYTES]]

    def test_requests_are_not_recorded(self, proxy, connections):
        """Guards against a report about requests, also those whose body has other bytes."""
        assert connections[0].call("POST", "/", b"\x01\x00", timeout_s=2.0).status == 200
        assert proxy.route_proxies["echo"].unexpected_requests == []
