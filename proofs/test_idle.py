"""An idle daemon uses less than 1% of a core."""

import time

import pytest

from proofs.slopes.process import processor_seconds
from proofs.small_fleet import SmallFleet, small_deployment
from rhubarbway_standins.processes import Fleet

# Documented target, as a share of one core.
IDLE_LIMIT = 0.01
SETTLE_S = 3.0
MEASURED_S = 8.0


@pytest.fixture
def small_fleet(tmp_path):
    with Fleet(directory=tmp_path) as fleet:
        small_fleet = SmallFleet(fleet=fleet, deployment=small_deployment())
        small_fleet.start()
        yield small_fleet


class TestIdleDaemon:
    def test_uses_under_one_percent_of_a_core(self, small_fleet):
        """Guards against a thread that polls while the daemon has nothing to do."""
        small_fleet.sleep(SETTLE_S)
        pids = [small_fleet.fleet.processes[host["name"]].process.pid for host in small_fleet.hosts]
        before = [processor_seconds(pid) for pid in pids]
        started = time.monotonic()
        small_fleet.sleep(MEASURED_S)
        seconds = time.monotonic() - started
        shares = [
            (processor_seconds(pid) - seconds_before) / seconds
            for pid, seconds_before in zip(pids, before, strict=True)
        ]
        print("share of a core:", [f"{share:.4f}" for share in shares])
        assert max(shares) < IDLE_LIMIT
