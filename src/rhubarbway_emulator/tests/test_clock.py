"""Tests of the virtual clock and its inbox."""

import pytest

from rhubarbway.model import ExchangeEnd, ExchangeOutcome, ExecutionStatus, ReplicaReply
from rhubarbway_emulator.clock import VirtualClock, VirtualInbox


def outcome(end=ExchangeEnd.ANSWERED):
    reply = ReplicaReply(status=200, headers=(), body=b"", signature="p", ran=ExecutionStatus.RUN)
    return ExchangeOutcome(
        attempt=1,
        shard="s",
        server="i",
        end=end,
        ran=ExecutionStatus.RUN,
        latency_s=0.0,
        reply=reply,
    )


@pytest.fixture
def clock():
    made = VirtualClock()
    yield made
    made.close()


class TestVirtualClock:
    def test_tasks_and_events_run_in_the_order_of_their_instants(self, clock):
        """Guards against a task or event that overtakes one at an earlier instant."""
        seen = []

        def task(name, pause_s):
            seen.append((name, clock.now))
            clock.sleep(pause_s)
            seen.append((name, clock.now))

        clock.spawn_at(1.0, lambda: task("a", 2.0))
        clock.spawn_at(2.0, lambda: task("b", 0.5))
        clock.call_at(2.75, lambda: seen.append(("event", clock.now)))
        clock.run()
        assert seen == [("a", 1.0), ("b", 2.0), ("b", 2.5), ("event", 2.75), ("a", 3.0)]

    def test_the_exception_of_a_task_is_raised(self, clock):
        """Guards against an experiment that ignores a failed task and reports wrong results."""

        def fail():
            clock.sleep(1.0)
            raise ValueError("fault")

        clock.spawn_at(0.0, fail)
        with pytest.raises(ValueError, match="fault"):
            clock.run()


class TestVirtualInbox:
    def run_receive(self, clock, *, puts, min_successes, timeout_s):
        """Return the number of outcomes received and the instant at which the wait ended."""
        inbox = VirtualInbox(clock=clock)
        found = []

        def task():
            found.append(len(inbox.receive(timeout_s, min_successes=min_successes)))
            found.append(clock.now)

        clock.spawn_at(0.0, task)
        for at, one in puts:
            clock.call_at(at, lambda one=one: inbox.put(one))
        clock.run()
        return found

    def test_successes_wake_the_task_only_when_enough_have_arrived(self, clock):
        """Guards against a fan-out that wakes up for each of its replies."""
        puts = [(1.0, outcome()), (2.0, outcome())]
        assert self.run_receive(clock, puts=puts, min_successes=2, timeout_s=9.0) == [2, 2.0]

    def test_a_failure_wakes_the_task_at_once(self, clock):
        """Guards against a retry that is delayed until the other replies have arrived."""
        puts = [(1.0, outcome(ExchangeEnd.LOST)), (2.0, outcome())]
        assert self.run_receive(clock, puts=puts, min_successes=2, timeout_s=9.0) == [1, 1.0]

    def test_the_timeout_ends_the_wait(self, clock):
        """Guards against a wait that outlasts its timeout because a reply is missing."""
        assert self.run_receive(clock, puts=[(1.0, outcome())], min_successes=2, timeout_s=3.0) == [
            1,
            3.0,
        ]

    def test_the_timeout_of_an_earlier_wait_does_not_end_a_later_one(self, clock):
        """Guards against a scheduled timeout that wakes the task from its next wait."""
        inbox = VirtualInbox(clock=clock)
        ends = []

        def task():
            inbox.receive(5.0)
            inbox.receive(7.0)
            ends.append(clock.now)

        clock.spawn_at(0.0, task)
        clock.call_at(1.0, lambda: inbox.put(outcome()))
        clock.run()
        assert ends == [8.0]
