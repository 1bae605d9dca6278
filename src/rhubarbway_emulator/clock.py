"""Virtual clock that runs tasks and scheduled events in a repeatable order.

Tasks are threads, but only one of them runs at a time: the event loop resumes a task and continues
once the task waits again or ends. Since nothing runs concurrently, a run repeats exactly.
"""

from __future__ import annotations

import heapq
import itertools
import threading
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor

from rhubarbway.model import ExchangeOutcome

# Limit of the tasks in progress: a further one would get no thread, and the event loop would block.
MAX_TASKS = 2000


class TaskState:
    """Scheduling state of a task; ``woken`` is set once per wait, by an event or the timeout."""

    __slots__ = ("finished", "future", "resume", "wait_number", "woken")

    def __init__(self) -> None:
        self.future: Future[object]
        self.finished = False
        self.resume = threading.Semaphore(0)
        # Number of the current wait, so that the timeout of an earlier wait does not end it.
        self.wait_number = 0
        self.woken = True


class VirtualClock:
    """Runs tasks and events in the order of virtual time.

    Examples
    --------
    >>> clock = VirtualClock()
    >>> seen = []
    >>> clock.call_at(2.0, lambda: seen.append(clock.now))
    >>> clock.spawn_at(1.0, lambda: (clock.sleep(3.0), seen.append(clock.now)))
    >>> clock.run()
    >>> seen
    [2.0, 4.0]
    """

    __slots__ = (
        "control_returned",
        "current_task",
        "events",
        "executor",
        "now",
        "sequence_numbers",
    )

    def __init__(self) -> None:
        self.now = 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.sequence_numbers = itertools.count()
        self.executor = ThreadPoolExecutor(MAX_TASKS, thread_name_prefix="virtual")
        # Released by the running task when it waits or ends.
        self.control_returned = threading.Semaphore(0)
        self.current_task: TaskState | None = None

    def time(self) -> float:
        """Return the current instant, seconds."""
        return self.now

    def call_at(self, at: float, action: Callable[[], None]) -> None:
        """Schedule an action, which must not wait, at an instant; a past instant means now.

        Actions at the same instant run in the order in which they were scheduled.
        """
        heapq.heappush(self.events, (max(at, self.now), next(self.sequence_numbers), action))

    def spawn_at(self, at: float, task: Callable[[], object]) -> None:
        """Schedule the start of a task at an instant; the task may wait."""
        self.call_at(at, lambda: self.start_task(task))

    def start_task(self, task: Callable[[], object]) -> None:
        """Run a new task until its first wait or its end."""
        state = TaskState()

        def run() -> None:
            try:
                task()
            finally:
                state.finished = True
                self.control_returned.release()

        self.current_task = state
        state.future = self.executor.submit(run)
        self.wait_for_task(state)

    def wait_for_task(self, state: TaskState) -> None:
        """Block until the running task waits or ends, and raise its exception if it failed."""
        self.control_returned.acquire()
        self.current_task = None
        if state.finished:
            state.future.result()

    def begin_wait(self, timeout_s: float) -> TaskState:
        """Mark the current task as waiting and return its state; ``suspend`` must follow."""
        state = self.current_task
        assert state is not None, "only a task may wait"
        state.wait_number += 1
        state.woken = False
        wait_number = state.wait_number
        if timeout_s != float("inf"):
            self.call_at(self.now + timeout_s, lambda: self.wake(state, wait_number))
        return state

    def suspend(self, state: TaskState) -> None:
        """Return control to the event loop until the task is woken."""
        self.control_returned.release()
        state.resume.acquire()

    def sleep(self, seconds: float) -> None:
        """Suspend the current task for some seconds."""
        self.suspend(self.begin_wait(seconds))

    def wake(self, state: TaskState, wait_number: int) -> None:
        """Resume a task from an event, unless the wait with this number has already ended."""
        if state.woken or state.wait_number != wait_number:
            return
        state.woken = True
        self.current_task = state
        state.resume.release()
        self.wait_for_task(state)

    def run(self, until: float = float("inf")) -> None:
        """Run all events up to an instant; raise the exception of a task that fails."""
        while self.events and self.events[0][0] <= until:
            at, _, action = heapq.heappop(self.events)
            self.now = at
            action()

    def close(self) -> None:
        """Release the threads; all tasks must have ended."""
        self.executor.shutdown(wait=True)


class VirtualInbox:
    """Inbox of one task in virtual time; its waits end like those of ``CallerInbox``."""

    __slots__ = ("caller_left", "clock", "outcomes", "urgent", "waiting_task", "wake_count")

    def __init__(self, *, clock: VirtualClock) -> None:
        self.clock = clock
        self.caller_left = False
        self.outcomes: list[ExchangeOutcome] = []
        self.urgent = False
        self.wake_count = 1
        self.waiting_task: TaskState | None = None

    def put(self, outcome: ExchangeOutcome) -> None:
        """Add an outcome; wake the task after a failure or once enough outcomes have arrived."""
        self.outcomes.append(outcome)
        self.urgent = self.urgent or not outcome.succeeded
        if self.urgent or len(self.outcomes) >= self.wake_count:
            self.notify()

    def disconnect_caller(self) -> None:
        """Mark the caller as disconnected and wake the task."""
        self.caller_left = True
        self.notify()

    def notify(self) -> None:
        """Wake the task at the current instant if it is waiting."""
        state = self.waiting_task
        if state is not None:
            wait_number = state.wait_number
            self.clock.call_at(self.clock.now, lambda: self.clock.wake(state, wait_number))

    def receive(self, timeout_s: float, *, min_successes: int = 1) -> list[ExchangeOutcome]:
        """Wait for outcomes, the caller's disconnection or the timeout; return the outcomes."""
        self.wake_count = min_successes
        ready = self.urgent or self.caller_left or len(self.outcomes) >= min_successes
        if not ready and timeout_s > 0.0:
            self.waiting_task = self.clock.begin_wait(timeout_s)
            self.clock.suspend(self.waiting_task)
            self.waiting_task = None
        self.urgent = False
        received, self.outcomes = self.outcomes, []
        return received
