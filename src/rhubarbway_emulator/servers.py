"""Emulated backend servers: slots, a queue, pauses, slow and lost phases."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence
from random import Random

from rhubarbway.model import BackendServer
from rhubarbway_emulator.clock import VirtualClock

# Requests that wait for a slot; a further one is refused.
QUEUE_LIMIT = 18


class Phase:
    """A time in which a server is ``factor`` times slower, or refuses a share of its requests.

    The factor is infinite if the server has crashed.
    """

    __slots__ = ("begin_s", "end_s", "factor", "refused_share")

    def __init__(
        self, *, begin_s: float, end_s: float, factor: float = 1.0, refused_share: float = 0.0
    ) -> None:
        self.refused_share = refused_share
        self.begin_s = begin_s
        self.end_s = end_s
        self.factor = factor


class Pauses:
    """Regular pauses in which a server does nothing; ``offset_s`` differs between servers."""

    __slots__ = ("every_s", "length_s", "offset_s")

    def __init__(self, *, every_s: float, length_s: float, offset_s: float) -> None:
        self.every_s = every_s
        self.length_s = length_s
        self.offset_s = offset_s

    def end_of_work(self, begin_s: float, work_s: float) -> float:
        """Return when work ends that begins at an instant.

        Examples
        --------
        >>> pauses = Pauses(every_s=4.0, length_s=0.5, offset_s=1.0)
        >>> pauses.end_of_work(0.0, 0.25), pauses.end_of_work(0.75, 0.5)
        (0.25, 1.75)
        >>> pauses.end_of_work(1.25, 0.25)
        1.75
        """
        if not self.length_s:
            return begin_s + work_s
        into = (begin_s - self.offset_s) % self.every_s
        if into < self.length_s:
            begin_s += self.length_s - into
            into = self.length_s
        until_next = self.every_s - into
        return begin_s + work_s + (self.length_s if work_s > until_next else 0.0)


class Job:
    """One request at a server; ``done`` is told whether it ran to its end."""

    __slots__ = ("cancelled", "done", "work_s")

    def __init__(self, *, work_s: float, done: Callable[[bool], None]) -> None:
        self.work_s = work_s
        self.done = done
        self.cancelled = False


class EmulatedServer:
    """One server, shared by the pools of all hosts."""

    __slots__ = ("arrivals", "clock", "pauses", "phases", "queue", "random", "running", "server")

    def __init__(
        self,
        *,
        server: BackendServer,
        clock: VirtualClock,
        pauses: Pauses,
        phases: Sequence[Phase] = (),
        random: Random,
    ) -> None:
        self.random = random
        self.server = server
        self.clock = clock
        self.pauses = pauses
        self.phases = list(phases)
        self.running = 0
        self.queue: deque[Job] = deque()
        self.arrivals = 0

    def current_phases(self) -> list[Phase]:
        """Return the phases of this instant."""
        now = self.clock.now
        return [phase for phase in self.phases if phase.begin_s <= now < phase.end_s]

    def factor(self) -> float:
        """Return how much slower the server is now; infinite if it is down."""
        return max((phase.factor for phase in self.current_phases()), default=1.0)

    def refuses(self) -> bool:
        """Whether the server refuses the next request, though it has room."""
        share = max((phase.refused_share for phase in self.current_phases()), default=0.0)
        return share > 0.0 and self.random.random() < share

    def accept(self, job: Job) -> bool:
        """Take a job, or refuse it because the queue is full."""
        self.arrivals += 1
        if self.refuses():
            return False
        if self.running < self.server.slots:
            self.begin(job)
        elif len(self.queue) >= QUEUE_LIMIT:
            return False
        else:
            self.queue.append(job)
        return True

    def begin(self, job: Job) -> None:
        """Run a job in a free slot."""
        factor = self.factor()
        if factor == float("inf"):
            job.done(False)
            return
        self.running += 1
        end = self.pauses.end_of_work(self.clock.now, job.work_s * factor)
        self.clock.call_at(end, lambda: self.finish(job))

    def finish(self, job: Job) -> None:
        """End a job and begin the next one; callers that have left are passed over."""
        self.running -= 1
        if not job.cancelled:
            job.done(self.factor() != float("inf"))
        while self.queue and self.running < self.server.slots:
            waiting = self.queue.popleft()
            if not waiting.cancelled:
                self.begin(waiting)


def work_time(random: Random, *, mean_s: float, spread: float) -> float:
    """Return a random time of work, log-normal, with a mean and a relative spread."""
    return mean_s * random.lognormvariate(-0.5 * spread * spread, spread)
