"""Tests of the record of the soak's own pauses."""

from rhubarbway_standins.soak.pauses import CHECK_INTERVAL_S, record_pauses


class Event:
    """Stands in for the event that ends the run; each wait lasts as long as it is told."""

    def __init__(self, waits):
        self.waits = iter(waits)
        self.now = 100.0

    def wait(self, timeout):
        wait_s = next(self.waits, None)
        self.now += wait_s or 0.0
        return wait_s is None


class TestRecordPauses:
    def test_a_wait_that_ends_late_is_a_pause(self):
        """Guards against late answers that cannot be told from pauses of the soak itself."""
        pauses = []
        event = Event([CHECK_INTERVAL_S, CHECK_INTERVAL_S + 0.8, CHECK_INTERVAL_S + 0.05])
        record_pauses(pauses, stopping=event, clock=lambda: event.now)
        (pause,) = pauses
        assert round(pause.seconds, 3) == 0.8
        assert round(pause.began_at - 100.0, 3) == 2 * CHECK_INTERVAL_S
