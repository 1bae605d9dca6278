"""Tests of what single faults do to the stand-ins, without hosts."""

import http.client
import time

import pytest

from rhubarbway.edge.json_codec import decode_json
from rhubarbway_standins.platform.replica import FIRST_BORN_MS
from rhubarbway_standins.soak.faults import FAULTS
from rhubarbway_standins.soak.testbed import SoakTestbed

DEADLINE_MS = 200


@pytest.fixture
def testbed(tmp_path):
    """A testbed whose hosts are not started."""
    running = SoakTestbed(directory=tmp_path, hosts=2, shards=1)
    yield running
    running.__exit__()


def send_to_server(testbed, server):
    """Return the response of a server to a request through its proxy route."""
    listen = testbed.proxy.route_proxies[testbed.server_route_name(server)].route.listen
    connection = http.client.HTTPConnection(listen, timeout=2.0)
    headers = {"X-Request-Id": "q1", "X-Deadline-Ms": str(DEADLINE_MS)}
    connection.request("GET", "/waybills/1", headers=headers)
    response = connection.getresponse()
    response.read()
    connection.close()
    return response


class TestServerFaults:
    def test_a_restarted_server_is_away_and_comes_back_under_its_id(self, testbed):
        """Guards against a restart that leaves the server in the store or never serves again."""
        key = f"servers/{testbed.site.replicas[0].server_id}"
        end = FAULTS["server_restarted"](testbed, 0)
        assert key not in testbed.site.store.items
        with pytest.raises(ConnectionError):
            send_to_server(testbed, 0)
        end()
        assert decode_json(testbed.site.store.items[key][0])["born"] > FIRST_BORN_MS
        assert send_to_server(testbed, 0).status == 200

    def test_held_requests_end_at_their_deadline(self, testbed):
        """Guards against servers that answer before the deadline of a request, or long after it."""
        end = FAULTS["servers_hold"](testbed, 0)
        started_at = time.monotonic()
        assert send_to_server(testbed, 1).status == 504
        assert DEADLINE_MS / 1000 <= time.monotonic() - started_at < DEADLINE_MS / 1000 + 1.0
        end()
        assert send_to_server(testbed, 1).status == 200

    def test_a_header_has_bytes_outside_ascii(self, testbed):
        """Guards against a fault that sends a reply as before."""
        end = FAULTS["server_headers_not_ascii"](testbed, 0)
        response = send_to_server(testbed, 0)
        assert response.status == 200
        assert not response.headers["X-Origin"].isascii()
        end()
        assert send_to_server(testbed, 0).headers["X-Origin"] is None


class TestStoreFaults:
    def test_only_hosts_with_connections_to_the_store_are_cut(self, testbed):
        """Guards against a cut of hosts that do not read the store."""
        listen = testbed.proxy.route_proxies["store-1"].route.listen
        connection = http.client.HTTPConnection(listen, timeout=2.0)
        connection.request("GET", "/v1/kv-range")
        connection.getresponse().read()
        end = FAULTS["store_readers_cut"](testbed, 0)
        frozen = [
            name
            for name, route_proxy in testbed.proxy.route_proxies.items()
            if route_proxy.faults["request"].freeze
        ]
        end()
        connection.close()
        assert frozen == ["store-1"]
