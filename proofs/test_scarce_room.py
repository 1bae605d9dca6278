"""A gateway as a separate process, whose servers are overloaded."""

import threading

import pytest

from rhubarbway_standins.platform.consumer import send_once
from rhubarbway_standins.platform.gateways import GatewayProcesses
from rhubarbway_standins.platform.site import (
    BOARD_SERVICE,
    BOOKING_PREFIX,
    SINGLE_PREFIX,
    VIRTUAL_HOST,
    Site,
)
from rhubarbway_standins.processes import free_ports

# Unsafe bookings and more urgent requests that are sent at once, to two servers of one slot.
BOOKINGS = 60
URGENT_REQUESTS = 4
SERVICE_TIME_S = 0.2


@pytest.fixture
def gateways(tmp_path):
    site = Site(ports=free_ports())
    document = site.configuration()
    for route in document["routes"]:
        route["priority"] = 0 if route["name"] == "single" else 2
    site.publish(document)
    for replica in site.replicas_of(BOARD_SERVICE):
        replica.slots = threading.BoundedSemaphore(1)
        replica.service_time_s = SERVICE_TIME_S
    with site, GatewayProcesses(site=site, directory=tmp_path, count=1) as started:
        yield started


def send(gateways, target):
    return send_once(gateways.addresses[0], host=VIRTUAL_HOST, target=target, deadline_ms=4000)


class TestOverloadedServers:
    def test_refusals_are_true_and_the_gateway_serves_afterwards(self, gateways):
        """Guards against refused requests that run, and unsafe ones that run twice."""
        targets = [f"{BOOKING_PREFIX}{number:x}" for number in range(BOOKINGS)]
        targets += [f"{SINGLE_PREFIX}{number:x}" for number in range(URGENT_REQUESTS)]
        replies = {}

        def send_request(target):
            replies[target] = send(gateways, target)

        threads = [threading.Thread(target=send_request, args=(target,)) for target in targets]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        runs = [arrival.target for arrival in gateways.site.arrivals if arrival.ran]
        refused = [target for target, reply in replies.items() if reply.status == 503]
        assert refused, "the load was meant to exceed the room"
        assert not set(refused) & set(runs)
        assert all(runs.count(target) <= 1 for target in targets[:BOOKINGS])
        assert all("retry-after" in replies[target].headers for target in refused)
        assert send(gateways, f"{SINGLE_PREFIX}after").status == 200
