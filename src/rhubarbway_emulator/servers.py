"""Emulated backend servers with slots, a queue, periodic pauses and fault phases."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence
from random import Random

from rhubarbway.model import BackendServer, StatedLoad
from rhubarbway_emulator.clock import VirtualClock
from rhubarbway_emulator.server_load import LoadRecord, OtherWork

# Requests that may wait for a slot, not counting running ones; a server refuses further ones.
QUEUE_LIMIT = 18
# A cold server crashes when the arrivals within a second exceed this multiple of what it tolerates,
# and is down for a time, seconds.
COLD_CRASH_FACTOR = 2.0
# Time from a change of a server's entry until all hosts know it, seconds: the interval at which
# servers write, the watch of the readers and the relays between hosts.
MAX_ENTRY_DELAY_S = 1.5
COLD_CRASH_S = 3.0


NO_LIMIT = float("inf")


class FaultPhase:
    """A period in which a server is slower by a factor or refuses some of its requests.

    An infinite ``slowdown`` stands for a crashed server.

    Attributes
    ----------
    quiet_s : float
        Time for which a server that refuses a request wants no further ones, seconds; 0 for none.
    leaving : bool
        Whether the server announces in its replies that it leaves.
    tolerated_per_s : float
        Arrivals in a second that a cold server tolerates; infinite for a warm one.
    is_restart : bool
        Whether the phase begins with the start of another process, which runs no requests that are
        meant for the one before.
    """

    __slots__ = (
        "begin_s",
        "end_s",
        "is_restart",
        "leaving",
        "quiet_s",
        "refusal_probability",
        "slowdown",
        "tolerated_per_s",
    )

    def __init__(
        self,
        *,
        begin_s: float,
        end_s: float,
        slowdown: float = 1.0,
        refusal_probability: float = 0.0,
        quiet_s: float = 0.0,
        leaving: bool = False,
        tolerated_per_s: float = float("inf"),
        is_restart: bool = False,
    ) -> None:
        self.tolerated_per_s = tolerated_per_s
        self.is_restart = is_restart
        self.quiet_s = quiet_s
        self.leaving = leaving
        self.refusal_probability = refusal_probability
        self.begin_s = begin_s
        self.end_s = end_s
        self.slowdown = slowdown


class PeriodicPauses:
    """Periodic pauses in which a server does no work.

    The first pause begins at ``offset_s``, which differs between servers.
    """

    __slots__ = (
        "duration_s",
        "interval_s",
        "offset_s",
    )

    def __init__(self, *, interval_s: float, duration_s: float, offset_s: float) -> None:
        self.interval_s = interval_s
        self.duration_s = duration_s
        self.offset_s = offset_s

    def is_paused(self, now: float) -> bool:
        """Whether the server does no work at an instant."""
        return (now - self.offset_s) % self.interval_s < self.duration_s

    def completion_time(self, begin_s: float, service_time_s: float) -> float:
        """Return the instant at which work that begins at ``begin_s`` ends.

        At most one pause interrupts the work, which is short compared with the interval.

        Examples
        --------
        >>> pauses = PeriodicPauses(interval_s=4.0, duration_s=0.5, offset_s=1.0)
        >>> pauses.completion_time(0.0, 0.25), pauses.completion_time(0.75, 0.5)
        (0.25, 1.75)
        >>> pauses.completion_time(1.25, 0.25)
        1.75
        """
        if not self.duration_s:
            return begin_s + service_time_s
        elapsed_s = (begin_s - self.offset_s) % self.interval_s
        if elapsed_s < self.duration_s:
            begin_s += self.duration_s - elapsed_s
            elapsed_s = self.duration_s
        until_next_s = self.interval_s - elapsed_s
        return (
            begin_s + service_time_s + (self.duration_s if service_time_s > until_next_s else 0.0)
        )


class Job:
    """One request at a server.

    Attributes
    ----------
    on_end : callable
        Called at the end of the job, unless it was cancelled: with True if the job ran to
        completion, or False if the server has crashed.
    waits_beside_idle : bool
        Whether the job had to wait at its arrival, while another replica could have started it.
    """

    __slots__ = ("arrived_at", "cancelled", "on_end", "service_time_s", "waits_beside_idle")

    def __init__(self, *, service_time_s: float, on_end: Callable[[bool], None]) -> None:
        self.service_time_s = service_time_s
        self.on_end = on_end
        self.arrived_at = 0.0
        self.cancelled = False
        self.waits_beside_idle = False


class EmulatedServer:
    """One server, shared by the pools of all hosts.

    Attributes
    ----------
    speed : float
        Speed relative to the usual service times.
    replicas : list of EmulatedServer
        All servers of the service, this one included; whoever builds them sets it.
    """

    __slots__ = (
        "clock",
        "cold_arrivals",
        "cold_crash_count",
        "load",
        "other_work",
        "pauses",
        "phases",
        "connected_hosts",
        "connection_cap",
        "connection_reset_count",
        "queue",
        "queue_limit",
        "random",
        "replicas",
        "running",
        "server",
        "speed",
    )

    def __init__(
        self,
        *,
        server: BackendServer,
        clock: VirtualClock,
        pauses: PeriodicPauses,
        phases: Sequence[FaultPhase] = (),
        random: Random,
        queue_limit: int = QUEUE_LIMIT,
        speed: float = 1.0,
        other_work: OtherWork | None = None,
    ) -> None:
        self.random = random
        self.queue_limit = queue_limit
        self.speed = speed
        self.other_work = other_work or OtherWork()
        self.replicas: list[EmulatedServer] = []
        self.load = LoadRecord()
        self.server = server
        self.clock = clock
        self.pauses = pauses
        self.phases = list(phases)
        self.running = 0
        self.queue: deque[Job] = deque()
        # Instants of the arrivals that count against the limit of a cold server.
        self.cold_arrivals: list[float] = []
        self.cold_crash_count = 0
        # Hosts with a connection, at most one each; the server resets connections beyond the cap.
        self.connected_hosts: set[str] = set()
        self.connection_cap = float("inf")
        self.connection_reset_count = 0

    def active_phases(self) -> list[FaultPhase]:
        """Return the fault phases in force now."""
        now = self.clock.now
        return [phase for phase in self.phases if phase.begin_s <= now < phase.end_s]

    def slowdown(self) -> float:
        """Return the slowdown factor in force now; infinite if the server has crashed."""
        slowdown = max((phase.slowdown for phase in self.active_phases()), default=1.0)
        return slowdown * self.other_work.slowdown_at(self.clock.now, seed=self.server.id)

    def can_start(self) -> bool:
        """Whether a request that arrived now would run at once, at the usual speed."""
        return (
            self.running < self.server.slots
            and not self.pauses.is_paused(self.clock.now)
            and self.slowdown() == 1.0
        )

    def quiet_s(self) -> float:
        """Return the time for which a server that refuses a request now wants none, seconds."""
        return max((phase.quiet_s for phase in self.active_phases()), default=0.0)

    def is_leaving(self) -> bool:
        """Whether the server announces now that it leaves."""
        return any(phase.leaving for phase in self.active_phases())

    def process_number(self) -> int:
        """Return the number of restarts so far, which tells two processes apart."""
        now = self.clock.now
        return sum(phase.is_restart and phase.begin_s <= now for phase in self.phases)

    def record_cold_arrival(self) -> None:
        """Count an arrival at a cold server, which crashes if they are too many.

        A server that turns cold while it serves tolerates more until all hosts know that it is
        cold. A restarted process needs no such time, since it runs nothing for the one before.
        """
        now = self.clock.now
        tolerated = min((phase.tolerated_per_s for phase in self.active_phases()), default=NO_LIMIT)
        known_at = max(
            (
                phase.begin_s + (0.0 if phase.is_restart else MAX_ENTRY_DELAY_S)
                for phase in self.active_phases()
                if phase.tolerated_per_s < NO_LIMIT
            ),
            default=now,
        )
        if tolerated == NO_LIMIT or now < known_at:
            return
        self.cold_arrivals.append(now)
        recent = sum(instant > now - 1.0 for instant in self.cold_arrivals[-1000:])
        if recent > COLD_CRASH_FACTOR * tolerated:
            self.cold_crash_count += 1
            self.phases.append(
                FaultPhase(begin_s=now, end_s=now + COLD_CRASH_S, slowdown=float("inf"))
            )

    def connect(self, host: str) -> bool:
        """Accept the connection of a host; return False if the server resets it."""
        if host not in self.connected_hosts and len(self.connected_hosts) >= self.connection_cap:
            self.connection_reset_count += 1
            return False
        self.connected_hosts.add(host)
        return True

    def stated_load(self) -> StatedLoad:
        """Return the load that the server states in a reply now."""
        return StatedLoad(
            running=self.running,
            waiting=len(self.queue),
            slots=self.server.slots,
            slowdown=min(self.slowdown(), 100.0) / self.speed,
        )

    def draw_refusal(self) -> bool:
        """Draw whether the server refuses the next request although it has capacity."""
        probability = max(
            (phase.refusal_probability for phase in self.active_phases()), default=0.0
        )
        return probability > 0.0 and self.random.random() < probability

    def accept(self, job: Job) -> bool:
        """Start or queue a job; return False if the server refuses it."""
        self.load.arrived += 1
        self.record_cold_arrival()
        job.arrived_at = self.clock.now
        has_slot = self.running < self.server.slots
        if self.draw_refusal() or (not has_slot and len(self.queue) >= self.queue_limit):
            self.load.refused += 1
            return False
        if not has_slot or self.pauses.is_paused(self.clock.now):
            job.waits_beside_idle = any(replica.can_start() for replica in self.replicas)
        if has_slot:
            self.start(job)
        else:
            self.load.waited += 1
            self.queue.append(job)
        return True

    def start(self, job: Job) -> None:
        """Run a job in a free slot; a crashed server loses it."""
        slowdown = self.slowdown()
        if slowdown == float("inf"):
            job.on_end(False)
            return
        self.running += 1
        end = self.pauses.completion_time(
            self.clock.now, job.service_time_s * slowdown / self.speed
        )
        self.clock.call_at(end, lambda: self.finish(job))

    def finish(self, job: Job) -> None:
        """End a job and start queued ones, except those that were cancelled.

        The job is lost if the server is down at this instant.
        """
        self.running -= 1
        self.record_end(job)
        if not job.cancelled:
            job.on_end(self.slowdown() != float("inf"))
        while self.queue and self.running < self.server.slots:
            next_job = self.queue.popleft()
            if next_job.cancelled:
                self.record_end(next_job)
            else:
                self.start(next_job)

    def record_end(self, job: Job) -> None:
        """Record how long a job took, or waited before it was cancelled."""
        self.load.record_end(
            elapsed_s=self.clock.now - job.arrived_at,
            service_time_s=job.service_time_s,
            beside_idle=job.waits_beside_idle,
        )


def lognormal_service_time(random: Random, *, mean_s: float, sigma: float) -> float:
    """Draw a log-normal service time; ``sigma`` is the standard deviation of its logarithm."""
    return mean_s * random.lognormvariate(-0.5 * sigma * sigma, sigma)
