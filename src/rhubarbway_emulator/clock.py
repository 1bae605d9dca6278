"""Virtual time for tasks that wait, and for events at given instants.

Tasks are threads of which only one runs at a time: the loop resumes a task and continues when the
task waits again or ends. Nothing runs at the same time as anything else, so a run repeats exactly.
"""

from __future__ import annotations

import heapq
import itertools
import threading
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor

from rhubarbway.model import ExchangeOutcome

MAX_TASKS = 2000


class TaskState:
    """One task; ``woken`` is set once per wait, by an event or by the time limit."""

    __slots__ = ("finished", "future", "resume", "wait_number", "woken")

    def __init__(self) -> None:
        self.future: Future[object]
        self.finished = False
        self.resume = threading.Semaphore(0)
        # Number of the current wait, so that an old time limit does not end a later one.
        self.wait_number = 0
        self.woken = True


class VirtualClock:
    """Runs tasks and events in the order of their instants.

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
        self.control_returned = threading.Semaphore(0)
        self.current_task: TaskState | None = None

    def time(self) -> float:
        """Return the current instant, seconds."""
        return self.now

    def call_at(self, at: float, action: Callable[[], None]) -> None:
        """Run an action, which must not wait, at an instant."""
        heapq.heappush(self.events, (max(at, self.now), next(self.sequence_numbers), action))

    def spawn_at(self, at: float, task: Callable[[], object]) -> None:
        """Start a task, which may wait, at an instant."""
        self.call_at(at, lambda: self.start_task(task))

    def start_task(self, task: Callable[[], object]) -> None:
        """Run a new task until it waits for the first time."""
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
        """Wait until the task that runs waits or ends, and raise what it has raised."""
        self.control_returned.acquire()
        self.current_task = None
        if state.finished:
            state.future.result()

    def begin_wait(self, timeout_s: float) -> TaskState:
        """Register the current task as waiting, and return what wakes it; see ``suspend``."""
        state = self.current_task
        assert state is not None, "only a task may wait"
        state.wait_number += 1
        state.woken = False
        wait_number = state.wait_number
        if timeout_s != float("inf"):
            self.call_at(self.now + timeout_s, lambda: self.wake(state, wait_number))
        return state

    def suspend(self, state: TaskState) -> None:
        """Give the turn back until the task is woken."""
        self.control_returned.release()
        state.resume.acquire()

    def sleep(self, seconds: float) -> None:
        """Let the current task wait."""
        self.suspend(self.begin_wait(seconds))

    def wake(self, state: TaskState, wait_number: int) -> None:
        """Resume a task, unless the wait with this number has ended; called by an event."""
        if state.woken or state.wait_number != wait_number:
            return
        state.woken = True
        self.current_task = state
        state.resume.release()
        self.wait_for_task(state)

    def run(self, until: float = float("inf")) -> None:
        """Run all events up to an instant, and raise what a task has raised."""
        while self.events and self.events[0][0] <= until:
            at, _, action = heapq.heappop(self.events)
            self.now = at
            action()

    def close(self) -> None:
        """Release the threads; all tasks must have ended."""
        self.executor.shutdown(wait=True)


class VirtualInbox:
    """Outcomes for one task in virtual time, with the same waits as ``CallerInbox``."""

    __slots__ = ("caller_left", "clock", "outcomes", "urgent", "waiting_task", "wanted")

    def __init__(self, *, clock: VirtualClock) -> None:
        self.clock = clock
        self.caller_left = False
        self.outcomes: list[ExchangeOutcome] = []
        self.urgent = False
        self.wanted = 1
        self.waiting_task: TaskState | None = None

    def put(self, outcome: ExchangeOutcome) -> None:
        """Add an outcome, and wake the task if it has something to decide."""
        self.outcomes.append(outcome)
        self.urgent = self.urgent or not outcome.succeeded
        if self.urgent or len(self.outcomes) >= self.wanted:
            self.notify()

    def disconnect_caller(self) -> None:
        """Tell the task that its caller has left."""
        self.caller_left = True
        self.notify()

    def notify(self) -> None:
        """Wake the task at the current instant, if it waits."""
        state = self.waiting_task
        if state is not None:
            wait_number = state.wait_number
            self.clock.call_at(self.clock.now, lambda: self.clock.wake(state, wait_number))

    def take(self, timeout_s: float, *, wanted: int = 1) -> list[ExchangeOutcome]:
        """Wait for outcomes, the end of the caller or the time limit; return the outcomes."""
        self.wanted = wanted
        ready = self.urgent or self.caller_left or len(self.outcomes) >= wanted
        if not ready and timeout_s > 0.0:
            self.waiting_task = self.clock.begin_wait(timeout_s)
            self.clock.suspend(self.waiting_task)
            self.waiting_task = None
        self.urgent = False
        received, self.outcomes = self.outcomes, []
        return received
