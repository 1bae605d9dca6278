"""Tests of the checks at the end of a soak run."""

import threading
from types import SimpleNamespace

from rhubarbway_standins.soak.run import SoakRun

HOSTS = 5


class SlowHosts(SoakRun):
    """Run whose hosts answer only once all of them have been asked."""

    __slots__ = ("all_asked",)

    def __init__(self):
        self.all_asked = threading.Barrier(HOSTS)
        self.problems = []
        self.testbed = SimpleNamespace(
            gateways=SimpleNamespace(processes=[SimpleNamespace(is_running=True)] * HOSTS),
            publish_configuration=lambda: None,
            site=SimpleNamespace(version=6),
        )

    def has_recovered(self, host):
        self.all_asked.wait(timeout=0.5)
        return True


class TestRecovery:
    def test_a_slow_host_does_not_keep_others_from_being_asked(self):
        """Guards against hosts that are reported as outdated because they were asked too late."""
        run = SlowHosts()
        run.check_recovery()
        assert run.problems == []
