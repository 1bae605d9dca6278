"""Gateways as separate processes, and one cold replica that counts what arrives at it."""

import threading
import time

import pytest

from rhubarbway.decisions.host_history import SETTLE_S
from rhubarbway_standins.platform.consumer import send_once
from rhubarbway_standins.platform.gateways import GatewayProcesses
from rhubarbway_standins.platform.site import BOARD_SERVICE, SINGLE_PREFIX, VIRTUAL_HOST, Site
from rhubarbway_standins.processes import free_ports

# Two gateways in each zone.
GATEWAYS = 6
# Requests per second that a cold replica tolerates, and the bounds of the limit.
RATE, OVERSHOOT, SLACK = 4.0, 1.5, 2.0
LIMIT = RATE * OVERSHOOT + SLACK
COLD_S = 3.0
# Time within which a changed entry reaches all gateways, seconds.
ENTRY_DELAY_S = 1.5


@pytest.fixture(scope="module")
def gateways(tmp_path_factory):
    site = Site(ports=free_ports(), warm_up_rate=RATE)
    started = GatewayProcesses(site=site, directory=tmp_path_factory.mktemp("cold"), count=GATEWAYS)
    for number, settings in enumerate(started.settings):
        settings.warm_up_overshoot, settings.warm_up_slack = OVERSHOOT, SLACK
        started.processes[number] = started.make_process(settings)
    with site, started:
        yield started


def send_load(gateways, *, seconds):
    """Send requests to all gateways, one after the other to each, and return the statuses."""
    statuses = []
    end = time.monotonic() + seconds

    def call(number):
        count = 0
        while time.monotonic() < end:
            count += 1
            reply = send_once(
                gateways.addresses[number],
                host=VIRTUAL_HOST,
                target=f"{SINGLE_PREFIX}{number:x}{count:x}",
                deadline_ms=2000,
            )
            statuses.append(reply.status)

    threads = [threading.Thread(target=call, args=(number,)) for number in range(GATEWAYS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return statuses


def arrivals_at(site, replica, *, begin, end):
    return [
        arrival.arrived_at
        for arrival in site.arrivals
        if arrival.server == replica.server_id and begin <= arrival.arrived_at < end
    ]


def busiest_second(instants):
    return max((sum(at <= one < at + 1.0 for one in instants) for at in instants), default=0)


def turn_cold(site, replica, *, sequence):
    """Write the entry of a replica that has turned cold; return the end of that time."""
    replica.warm_up_ms = int(COLD_S * 1000)
    site.register(replica, sequence=sequence)
    return time.monotonic() + COLD_S


class TestColdReplica:
    def test_the_sum_over_all_gateways_keeps_the_limit(self, gateways):
        """Guards against gateways that each keep a limit of their own, or learn of none."""
        site = gateways.site
        replica = site.replicas_of(BOARD_SERVICE)[0]
        # Gateways that have just started do not know the membership, and send nothing.
        end = turn_cold(site, replica, sequence=2)
        time.sleep(ENTRY_DELAY_S)
        begin = time.monotonic()
        assert set(send_load(gateways, seconds=1.2)) == {200}
        assert arrivals_at(site, replica, begin=begin, end=end) == []
        time.sleep(SETTLE_S)
        replica.warm_up_ms = 0
        site.register(replica, sequence=3)
        time.sleep(ENTRY_DELAY_S)
        begin = time.monotonic()
        assert set(send_load(gateways, seconds=1.5)) == {200}
        warm = arrivals_at(site, replica, begin=begin, end=time.monotonic())
        assert busiest_second(warm) > LIMIT, "the load is too low to show anything"
        end = turn_cold(site, replica, sequence=4)
        time.sleep(ENTRY_DELAY_S)
        begin = time.monotonic()
        assert set(send_load(gateways, seconds=1.4)) == {200}
        cold = arrivals_at(site, replica, begin=begin, end=end)
        assert 0 < busiest_second(cold) <= LIMIT
        # All of its share as soon as it is warm.
        time.sleep(max(0.0, end + ENTRY_DELAY_S - time.monotonic()))
        begin = time.monotonic()
        assert set(send_load(gateways, seconds=1.5)) == {200}
        assert busiest_second(arrivals_at(site, replica, begin=begin, end=time.monotonic())) > LIMIT
