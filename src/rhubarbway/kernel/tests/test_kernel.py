"""Tests of the registry of services and their life cycle."""

import pytest

from rhubarbway.kernel import DuplicateServiceError, Kernel, ServiceKey, UnknownServiceError


class Recorder:
    def __init__(self, *, name, events, fails=False):
        self.name = name
        self.events = events
        self.fails = fails

    def start(self, kernel):
        if self.fails:
            raise RuntimeError(self.name)
        self.events.append(f"start {self.name}")

    def stop(self):
        self.events.append(f"stop {self.name}")


class TestKernel:
    def test_stops_in_reverse_order_of_start(self):
        """Guards against stopping a service before those that started later and may use it."""
        events = []
        kernel = Kernel()
        for name in ("a", "b"):
            kernel.register(ServiceKey(name), Recorder(name=name, events=events))
        kernel.start()
        kernel.stop()
        assert events == ["start a", "start b", "stop b", "stop a"]

    def test_failed_start_stops_the_started_services(self):
        """Guards against services that keep running after the start of another one failed."""
        events = []
        kernel = Kernel()
        kernel.register(ServiceKey("a"), Recorder(name="a", events=events))
        kernel.register(ServiceKey("b"), Recorder(name="b", events=events, fails=True))
        with pytest.raises(RuntimeError):
            kernel.start()
        assert events == ["start a", "stop a"]

    def test_duplicate_and_unknown_names_are_errors(self):
        """Guards against a service that silently replaces another of the same name.

        The lookup of a name without a service must fail with an error that says so.
        """
        kernel = Kernel()
        kernel.register(ServiceKey("a"), Recorder(name="a", events=[]))
        with pytest.raises(DuplicateServiceError):
            kernel.register(ServiceKey("a"), Recorder(name="a", events=[]))
        with pytest.raises(UnknownServiceError):
            kernel.find(ServiceKey("b"))
