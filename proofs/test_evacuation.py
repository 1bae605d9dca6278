"""Evacuation of an availability zone, with gateways as processes and one failure at a time."""

import threading
import time
from concurrent.futures import ThreadPoolExecutor

import pytest
from typer.testing import CliRunner

from proofs.gateway_fleet import GatewayFleet, wait_until
from rhubarbway.cli.app import app
from rhubarbway.services.names import SERVERS
from rhubarbway_standins.platform.consumer import send_once
from rhubarbway_standins.platform.gateways import GatewayProcesses
from rhubarbway_standins.platform.site import (
    BOOKING_PREFIX,
    SEARCH_PREFIX,
    SINGLE_PREFIX,
    VIRTUAL_HOST,
    ZONES,
    Site,
)
from rhubarbway_standins.processes import free_ports

HOSTS = 5
# ``evacuateMs`` of the users' sites, seconds.
EVACUATE_S = 5.0
PAUSE_S = 0.02


class EvacuatedSite:
    """Gateway processes under load, and a zone that is evacuated; used as a context manager."""

    def __init__(self, *, directory):
        self.site = Site(ports=free_ports())
        self.gateways = GatewayProcesses(
            site=self.site,
            directory=directory,
            count=HOSTS,
            has_status=True,
            changes={"evacuate_ms": EVACUATE_S * 1000},
        )
        self.stopping = threading.Event()
        self.replies = []
        self.executor = ThreadPoolExecutor(HOSTS)

    def __enter__(self):
        self.gateways.__enter__()
        return self

    def __exit__(self, *exception):
        self.stopping.set()
        self.executor.shutdown()
        self.gateways.__exit__()
        self.site.__exit__()

    def start_load(self, numbers):
        """Send searches and single requests to these hosts until the end."""

        def send(number):
            for count in range(100_000):
                if self.stopping.wait(PAUSE_S):
                    return
                prefix = (SEARCH_PREFIX, SINGLE_PREFIX)[count % 2]
                target = f"{prefix}{number:x}{count:x}"
                address = self.gateways.addresses[number]
                self.replies.append(send_once(address, host=VIRTUAL_HOST, target=target))

        for number in numbers:
            self.executor.submit(send, number)

    def arrivals(self, zone, *, since, until):
        servers = {replica.server_id for replica in self.site.replicas if replica.zone == zone}
        return [
            arrival
            for arrival in list(self.site.arrivals)
            if arrival.server in servers and since <= arrival.arrived_at < until
        ]

    def wait_for_zones(self, numbers, zones):
        wait_until(
            lambda: all(
                set(self.gateways.status(n)["evacuated_zones"]) == set(zones) for n in numbers
            ),
            timeout_s=EVACUATE_S,
        )


class TestKilledReader:
    def test_the_other_hosts_evacuate_the_zone_in_time_and_lose_nothing(self, tmp_path):
        """Guards against requests to an evacuated zone because the host that would have read the
        operator's request is killed as it is written, and against requests lost with the zone.
        """
        zone = ZONES[0]
        with EvacuatedSite(directory=tmp_path) as evacuated:
            everyone = range(HOSTS)
            wait_until(
                lambda: sum(evacuated.gateways.status(n)["reads_store"] for n in everyone) == 3
            )
            killed = next(n for n in everyone if evacuated.gateways.status(n)["reads_store"])
            others = [number for number in everyone if number != killed]
            evacuated.start_load(others)
            time.sleep(0.5)
            key = f"op/evacuate/{zone}"
            evacuated.gateways.processes[killed].kill()
            evacuated.site.store.put(key, b"{}")
            written_at = time.monotonic()
            evacuated.wait_for_zones(others, {zone})
            time.sleep(max(0.0, written_at + EVACUATE_S - time.monotonic()) + 0.5)
            result = CliRunner().invoke(
                app, ["status", evacuated.gateways.status_address(others[0])]
            )
            assert result.exit_code == 0 and f'evacuated_zones: {{"{zone}":' in result.stdout
            taken_back_at = time.monotonic()
            evacuated.site.store.delete(key)
            evacuated.wait_for_zones(others, ())
            wait_until(
                lambda: evacuated.arrivals(zone, since=taken_back_at, until=float("inf")) != []
            )
            late = evacuated.arrivals(zone, since=written_at + EVACUATE_S, until=taken_back_at)
            assert late == []
            assert {reply.status for reply in evacuated.replies} == {200}


class TestLastZone:
    @pytest.mark.parametrize("prefix", [SEARCH_PREFIX, SINGLE_PREFIX, BOOKING_PREFIX])
    def test_requests_that_have_no_other_server_are_refused_and_not_run(self, prefix):
        """Guards against requests to the last servers of a shard although their zone is to be
        empty, and against requests that wait for them until their deadline.
        """
        with GatewayFleet(hosts=1) as fleet:
            for zone in ZONES:
                fleet.site.store.put(f"op/evacuate/{zone}", b"{}")
            servers = fleet.kernels[0].find(SERVERS)
            wait_until(lambda: not servers.pools)
            method = "POST" if prefix == BOOKING_PREFIX else "GET"
            reply = send_once(
                fleet.addresses[0], host=VIRTUAL_HOST, target=f"{prefix}1", method=method
            )
            assert reply.status == 503 and "retry-after" in reply.headers
            assert reply.latency_s < 0.25
            assert fleet.site.arrivals == []
