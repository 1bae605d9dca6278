"""Tests of the checks at the end of a soak run."""

import threading
from types import SimpleNamespace

from rhubarbway.edge.http_call import CallError
from rhubarbway_standins.soak.run import SoakRun

HOSTS = 5


def running_testbed(hosts):
    """Return a testbed whose hosts all run, without processes."""
    return SimpleNamespace(
        gateways=SimpleNamespace(processes=[SimpleNamespace(is_running=True)] * hosts),
        publish_configuration=lambda: None,
        site=SimpleNamespace(version=6),
    )


class SilentHost(SoakRun):
    """Run with one host whose status comes only after ``silent_calls`` attempts to read it."""

    __slots__ = ("silent_calls",)

    def __init__(self, *, silent_calls):
        self.silent_calls = silent_calls
        self.problems = []
        self.testbed = running_testbed(1)

    def serves_newest_version(self, host):
        return True

    def evacuated_zones(self, host):
        self.silent_calls -= 1
        if self.silent_calls >= 0:
            raise CallError("late", sent=True, connecting=False, timed_out=True)
        return []


class SlowHosts(SoakRun):
    """Run whose hosts answer only once all of them have been asked."""

    __slots__ = ("all_asked",)

    def __init__(self):
        self.all_asked = threading.Barrier(HOSTS)
        self.problems = []
        self.testbed = running_testbed(HOSTS)

    def has_recovered(self, host):
        self.all_asked.wait(timeout=0.5)
        return True


class TestRecovery:
    def test_a_slow_host_does_not_keep_others_from_being_asked(self):
        """Guards against hosts that are reported as outdated because they were asked too late."""
        run = SlowHosts()
        run.check_recovery()
        assert run.problems == []

    def test_a_host_that_does_not_report_its_status_is_asked_again(self):
        """Guards against a run that ends without a result since one status came late."""
        run = SilentHost(silent_calls=2)
        run.check_recovery()
        assert run.problems == []

    def test_a_host_that_never_reports_its_status_has_not_recovered(self, monkeypatch):
        """Guards against a host without a status that passes as one that has recovered."""
        monkeypatch.setattr("rhubarbway_standins.soak.run.MAX_RECOVERY_S", 0.3)
        run = SilentHost(silent_calls=1000)
        run.check_recovery()
        (problem,) = run.problems
        assert "host 0 does not serve" in problem
