"""Tests of the gate that holds queries after the process was suspended."""

import threading
import time

from rhubarbway.services.pause_gate import MAX_HOLD_S, PAUSE_THRESHOLD_S, PauseGate


class TestPauseGate:
    def test_is_open_while_the_process_runs(self):
        """Guards against queries that are held although the process was not suspended."""
        gate = PauseGate(request_gossip=lambda: None)
        gate.tick(time.monotonic())
        started = time.monotonic()
        gate.wait()
        assert time.monotonic() - started < MAX_HOLD_S / 2

    def test_holds_the_first_query_until_gossip_arrives(self):
        """Guards against sub-queries sent to servers that began to leave during the pause.

        A reply to gossip that was requested before the gate closed must not open the gate.
        """
        gate = PauseGate(request_gossip=lambda: None)
        gate.last_tick_at -= PAUSE_THRESHOLD_S + 1
        passed = threading.Event()
        threading.Thread(target=lambda: (gate.wait(), passed.set())).start()
        while gate.closed_at is None:
            time.sleep(0.001)
        gate.open(gate.closed_at - 1)
        assert not passed.is_set()
        gate.open(time.monotonic())
        assert passed.wait(MAX_HOLD_S / 2)

    def test_requests_gossip_once_when_it_closes(self):
        """Guards against queries held until the next gossip round, which comes too late."""
        closed_at_values = []
        gate = PauseGate(request_gossip=lambda: closed_at_values.append(gate.closed_at))
        gate.tick(gate.last_tick_at + PAUSE_THRESHOLD_S / 2)
        assert not closed_at_values
        paused_until = gate.last_tick_at + PAUSE_THRESHOLD_S + 1
        gate.tick(paused_until)
        gate.tick(paused_until)
        assert closed_at_values == [paused_until]

    def test_opens_without_gossip_after_a_time(self):
        """Guards against a host without neighbours that holds queries for ever after a pause."""
        gate = PauseGate(request_gossip=lambda: None)
        gate.last_tick_at -= PAUSE_THRESHOLD_S + 1
        started = time.monotonic()
        gate.wait()
        assert MAX_HOLD_S / 2 < time.monotonic() - started < 4 * MAX_HOLD_S
