"""Tests of a crash of the stand-in replica."""

import socket
import threading
import time

from rhubarbway.edge.http_client import HttpConnection
from rhubarbway.edge.tests.held_calls import hold_first_accept, listeners_with_callers
from rhubarbway_standins.backend import ReplicaServer, ReplicaSpec, RunHistory
from rhubarbway_standins.processes import free_ports

PORTS = free_ports()
WAIT_S = 5.0


def start_replica():
    spec = ReplicaSpec(
        name="r",
        address=f"127.0.0.1:{next(PORTS)}",
        zone="z",
        service="desk",
        layout="l1",
        shard=0,
        slots=2,
        connections=8,
        connect_ms=0.0,
        service_ms=1.0,
        restart_s=0.05,
    )
    return ReplicaServer(spec=spec, history=RunHistory(path=None), seed=1)


def wait_for_restart(replica, crashed_server):
    end = time.monotonic() + WAIT_S
    while replica.server is crashed_server:
        assert time.monotonic() < end
        time.sleep(0.005)


class TestCrash:
    def test_a_crashed_replica_accepts_no_connection_of_another_listener(self, monkeypatch):
        """Guards against a replica that answers, or cuts, the connections of another one."""
        held = hold_first_accept(monkeypatch)
        replica = start_replica()
        monkeypatch.undo()
        crashed_server = replica.server
        with socket.create_connection(crashed_server.address):
            assert held.begun.wait(WAIT_S)
            crash = threading.Thread(target=replica.crash)
            crash.start()
            crash.join()
            with listeners_with_callers() as listeners:
                held.released.set()
                assert held.ended.wait(WAIT_S)
                for listener in listeners:
                    listener.settimeout(0.5)
                    listener.accept()[0].close()
        crashed_server.accept_task.result(timeout=WAIT_S)
        wait_for_restart(replica, crashed_server)
        replica.server.stop(grace_s=0.0)

    def test_a_restart_releases_the_descriptors_of_the_crashed_server(self):
        """Guards against a stand-in that runs out of descriptors after many crashes."""
        replica = start_replica()
        crashed_server = replica.server
        connection = HttpConnection(address=replica.spec.address)
        assert connection.call("GET", "/v1/status", None, timeout_s=WAIT_S).status == 200
        replica.crash()
        wait_for_restart(replica, crashed_server)
        held = (crashed_server.listener, crashed_server.stop_signal, crashed_server.stop_trigger)
        assert [sock.fileno() for sock in held] == [-1, -1, -1]
        assert not crashed_server.connections
        assert connection.call("GET", "/v1/status", None, timeout_s=WAIT_S).status == 200
        connection.close()
        replica.server.stop(grace_s=0.0)
