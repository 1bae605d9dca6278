"""Tests of the service that blocks crashing requests."""

from types import SimpleNamespace

import pytest

from rhubarbway.services import crashing_requests as module
from rhubarbway.services.crashing_requests import CrashingRequestService

START = 1000.0


class Clock:
    """Time of the service, which the test sets."""

    def __init__(self):
        self.now = START


@pytest.fixture
def clock(monkeypatch):
    clock = Clock()
    monkeypatch.setattr(module, "time", SimpleNamespace(monotonic=lambda: clock.now))
    return clock


class TestBlock:
    def test_a_request_that_crashes_a_known_server_on_trial_is_blocked_at_once(self, clock):
        """Guards against a crashing request that runs for good after its first block has ended.

        The servers restart under the ids that they had.
        """
        service = CrashingRequestService()
        for number in range(3):
            service.record_loss("d", service="board", server=f"i-{number}")
        assert service.is_blocked("d")
        clock.now = START + 100.0
        assert not service.is_blocked("d")
        service.record_loss("d", service="board", server="i-0")
        clock.now = START + 1000.0
        assert service.is_blocked("d")
