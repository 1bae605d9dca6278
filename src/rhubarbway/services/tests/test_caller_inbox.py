"""Tests of the inbox that receives the outcomes for a forwarded request."""

import os
import queue
import select
import socket
import threading
import time

import pytest

from rhubarbway.model import ExchangeEnd, ExchangeOutcome, ExecutionStatus, ReplicaReply
from rhubarbway.services.caller_inbox import CallerInbox

# Longer than any wait that should end early, seconds.
LONG_WAIT_S = 5.0


def outcome(*, end=ExchangeEnd.ANSWERED, status=200, signature="p"):
    reply = ReplicaReply(
        status=status, headers=(), body=b"", signature=signature, ran=ExecutionStatus.RUN
    )
    return ExchangeOutcome(
        attempt=1,
        shard="s",
        server="i-1",
        end=end,
        ran=ExecutionStatus.RUN,
        latency_s=0.01,
        reply=reply,
    )


def put_later(inbox, *outcomes, after_s=0.05):
    def put_all():
        time.sleep(after_s)
        for late_outcome in outcomes:
            inbox.put(late_outcome)

    thread = threading.Thread(target=put_all)
    thread.start()
    return thread


@pytest.fixture
def inbox():
    opened = CallerInbox(sock=None)
    yield opened
    opened.close()


class TestWait:
    def test_fewer_successes_than_wanted_do_not_wake_the_task(self, inbox):
        """Guards against one wake-up for each reply of a large fan-out."""
        thread = put_later(inbox, outcome(), after_s=0.0)
        began = time.monotonic()
        received = inbox.receive(0.2, min_successes=2)
        thread.join()
        assert time.monotonic() - began >= 0.19
        assert len(received) == 1

    def test_the_last_wanted_reply_ends_the_wait(self, inbox):
        """Guards against a wait that ends before the last wanted reply."""
        thread = put_later(inbox, outcome(), outcome())
        assert len(inbox.receive(LONG_WAIT_S, min_successes=2)) == 2
        thread.join()

    @pytest.mark.parametrize(
        "urgent",
        [
            outcome(end=ExchangeEnd.LOST),
            outcome(end=ExchangeEnd.FAILED, status=500),
            outcome(status=404),
            outcome(signature=""),
        ],
    )
    def test_any_outcome_but_a_success_ends_the_wait_at_once(self, inbox, urgent):
        """Guards against a failure that is noticed only after the last successful reply."""
        thread = put_later(inbox, urgent)
        began = time.monotonic()
        assert inbox.receive(LONG_WAIT_S, min_successes=9) == [urgent]
        thread.join()
        assert time.monotonic() - began < LONG_WAIT_S / 2

    def test_replies_that_came_before_the_wait_end_it(self, inbox):
        """Guards against losing replies that arrived before the wait and wrote no event."""
        inbox.put(outcome())
        inbox.put(outcome())
        assert len(inbox.receive(LONG_WAIT_S, min_successes=2)) == 2

    def test_replies_before_the_wait_write_no_event(self, inbox):
        """Guards against one system call for each reply that arrives while attempts are sent."""
        for _ in range(3):
            inbox.put(outcome())
        assert not inbox.poll.poll(0)

    def test_a_failure_does_not_wake_the_task_twice(self, inbox):
        """Guards against a second wake-up from the event or flag of a failure already received."""
        inbox.put(outcome(end=ExchangeEnd.LOST))
        assert len(inbox.receive(LONG_WAIT_S, min_successes=3)) == 1
        assert inbox.receive(0.05, min_successes=3) == []

    def test_an_event_without_an_outcome_ends_one_wait_only(self, inbox):
        """Guards against a busy loop when an outcome is received before its event is written."""
        inbox.event.set()
        assert inbox.receive(LONG_WAIT_S) == []
        began = time.monotonic()
        assert inbox.receive(0.1) == []
        assert time.monotonic() - began >= 0.09

    def test_no_reply_is_lost_between_two_waits(self, inbox):
        """Guards against a reply that is lost while the wake count changes."""
        total = 2000

        def put_all():
            for _ in range(total):
                inbox.put(outcome())

        thread = threading.Thread(target=put_all)
        thread.start()
        left = total
        while left:
            left -= len(inbox.receive(LONG_WAIT_S, min_successes=min(left, 7)))
        thread.join()
        assert left == 0


class HeldWrite:
    """Stand-in for ``os.eventfd_write`` whose call waits, as a task without a processor does."""

    def __init__(self, monkeypatch):
        self.begun = threading.Event()
        self.released = threading.Event()
        self.write = os.eventfd_write
        monkeypatch.setattr(os, "eventfd_write", self.hold)

    def hold(self, descriptor, value):
        self.begun.set()
        self.released.wait(timeout=LONG_WAIT_S)
        self.write(descriptor, value)


class TestClose:
    def test_a_late_wake_up_reaches_no_other_descriptor(self, monkeypatch):
        """Guards against the bytes of an event in a connection that got the descriptor's number."""
        opened = CallerInbox(sock=None)
        held = HeldWrite(monkeypatch)
        late = threading.Thread(target=opened.put, args=[outcome(end=ExchangeEnd.FAILED)])
        late.start()
        assert held.begun.wait(LONG_WAIT_S)
        closing = threading.Thread(target=opened.close)
        closing.start()
        # The close has happened by then, unless it waits for the write.
        closing.join(0.2)
        pairs = [socket.socketpair() for _ in range(40)]
        held.released.set()
        late.join()
        closing.join()
        sockets = [sock for pair in pairs for sock in pair]
        readable, _, _ = select.select(sockets, [], [], 0)
        received = [sock.recv(100) for sock in readable]
        for sock in sockets:
            sock.close()
        assert received == []

    def test_an_outcome_after_the_close_reaches_no_other_descriptor(self):
        """Guards against a closed inbox that keeps the number of its event."""
        opened = CallerInbox(sock=None)
        opened.close()
        pairs = [socket.socketpair() for _ in range(40)]
        sockets = [sock for pair in pairs for sock in pair]
        opened.put(outcome(end=ExchangeEnd.FAILED))
        readable, _, _ = select.select(sockets, [], [], 0)
        received = [sock.recv(100) for sock in readable]
        for sock in sockets:
            sock.close()
        assert received == []

    def test_descriptors_stay_bounded_while_requests_end_by_their_time_limit(self):
        """Guards against descriptors that leak when outcomes arrive as their requests end."""
        count = 2000
        before = len(os.listdir("/proc/self/fd"))
        inboxes = queue.SimpleQueue()

        def put_all():
            for opened in iter(inboxes.get, None):
                opened.put(outcome(end=ExchangeEnd.TIMED_OUT))

        tasks = [threading.Thread(target=put_all) for _ in range(8)]
        for task in tasks:
            task.start()
        most = 0
        for number in range(count):
            opened = CallerInbox(sock=None)
            inboxes.put(opened)
            opened.receive(0.0005 if number % 2 else 0.0)
            opened.close()
            most = max(most, len(os.listdir("/proc/self/fd")))
        for _ in tasks:
            inboxes.put(None)
        for task in tasks:
            task.join()
        assert most <= before + 1
        assert len(os.listdir("/proc/self/fd")) == before


class TestCaller:
    def test_a_disconnect_of_the_caller_ends_the_wait(self):
        """Guards against attempts that go on for a caller that has closed its connection."""
        ours, theirs = socket.socketpair()
        opened = CallerInbox(sock=ours)
        theirs.close()
        assert opened.receive(LONG_WAIT_S, min_successes=9) == []
        assert opened.caller_left
        opened.close()
        ours.close()
