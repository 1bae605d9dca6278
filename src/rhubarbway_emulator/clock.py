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


class Waiter:
    """One task; ``woken`` is set once per wait, by an event or by the time limit."""

    __slots__ = ("finished", "future", "resume", "turn", "woken")

    def __init__(self) -> None:
        self.future: Future[object]
        self.finished = False
        self.resume = threading.Semaphore(0)
        # Number of the current wait, so that an old time limit does not end a later one.
        self.turn = 0
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

    __slots__ = ("current", "events", "executor", "now", "numbers", "paused")

    def __init__(self) -> None:
        self.now = 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.numbers = itertools.count()
        self.executor = ThreadPoolExecutor(MAX_TASKS, thread_name_prefix="virtual")
        self.paused = threading.Semaphore(0)
        self.current: Waiter | None = None

    def time(self) -> float:
        """Return the current instant, seconds."""
        return self.now

    def call_at(self, at: float, action: Callable[[], None]) -> None:
        """Run an action, which must not wait, at an instant."""
        heapq.heappush(self.events, (max(at, self.now), next(self.numbers), action))

    def spawn_at(self, at: float, task: Callable[[], object]) -> None:
        """Start a task, which may wait, at an instant."""
        self.call_at(at, lambda: self.start(task))

    def start(self, task: Callable[[], object]) -> None:
        """Run a new task until it waits for the first time."""
        waiter = Waiter()

        def run() -> None:
            try:
                task()
            finally:
                waiter.finished = True
                self.paused.release()

        self.current = waiter
        waiter.future = self.executor.submit(run)
        self.await_pause(waiter)

    def await_pause(self, waiter: Waiter) -> None:
        """Wait until the task that runs waits or ends, and raise what it has raised."""
        self.paused.acquire()
        self.current = None
        if waiter.finished:
            waiter.future.result()

    def wait(self, limit_s: float) -> Waiter:
        """Register the current task as waiting, and return what wakes it; see ``suspend``."""
        waiter = self.current
        assert waiter is not None, "only a task may wait"
        waiter.turn += 1
        waiter.woken = False
        turn = waiter.turn
        if limit_s != float("inf"):
            self.call_at(self.now + limit_s, lambda: self.wake(waiter, turn))
        return waiter

    def suspend(self, waiter: Waiter) -> None:
        """Give the turn back until the task is woken."""
        self.paused.release()
        waiter.resume.acquire()

    def sleep(self, seconds: float) -> None:
        """Let the current task wait."""
        self.suspend(self.wait(seconds))

    def wake(self, waiter: Waiter, turn: int) -> None:
        """Resume a task, unless the wait with this number has ended; called by an event."""
        if waiter.woken or waiter.turn != turn:
            return
        waiter.woken = True
        self.current = waiter
        waiter.resume.release()
        self.await_pause(waiter)

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

    __slots__ = ("caller_left", "clock", "outcomes", "urgent", "waiter", "wanted")

    def __init__(self, *, clock: VirtualClock) -> None:
        self.clock = clock
        self.caller_left = False
        self.outcomes: list[ExchangeOutcome] = []
        self.urgent = False
        self.wanted = 1
        self.waiter: Waiter | None = None

    def put(self, outcome: ExchangeOutcome) -> None:
        """Add an outcome, and wake the task if it has something to decide."""
        self.outcomes.append(outcome)
        self.urgent = self.urgent or not outcome.succeeded
        if self.urgent or len(self.outcomes) >= self.wanted:
            self.notify()

    def leave(self) -> None:
        """Tell the task that its caller has left."""
        self.caller_left = True
        self.notify()

    def notify(self) -> None:
        """Wake the task at the current instant, if it waits."""
        waiter = self.waiter
        if waiter is not None:
            turn = waiter.turn
            self.clock.call_at(self.clock.now, lambda: self.clock.wake(waiter, turn))

    def receive(self, timeout_s: float, *, min_successes: int = 1) -> list[ExchangeOutcome]:
        """Wait for outcomes, the end of the caller or the time limit; return the outcomes."""
        self.wanted = min_successes
        ready = self.urgent or self.caller_left or len(self.outcomes) >= min_successes
        if not ready and timeout_s > 0.0:
            self.waiter = self.clock.wait(timeout_s)
            self.clock.suspend(self.waiter)
            self.waiter = None
        self.urgent = False
        found, self.outcomes = self.outcomes, []
        return found
