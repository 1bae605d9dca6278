"""One soak run: callers, faults by plan, and the checks during the run and after it."""

from __future__ import annotations

import signal
import tempfile
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from rhubarbway_standins.platform.consumer import asked_once
from rhubarbway_standins.platform.site import HOST
from rhubarbway_standins.soak.callers import Ask, Caller
from rhubarbway_standins.soak.faults import FAULTS, End
from rhubarbway_standins.soak.plan import PlannedFault, planned_faults
from rhubarbway_standins.soak.promises import Evidence, reported_invariants, violations
from rhubarbway_standins.soak.stage import SoakStage

SHARDS = 4
CALLERS_PER_HOST = 3
# How often the promises are checked while the run goes on, seconds.
CHECK_INTERVAL_S = 2.0
# A configuration is in force on all hosts this long after a calm moment at the latest, seconds:
# a host in touch takes 3 s, and bounds hold again 4 s after the last fault.
SETTLE_S = 7.0
# How often a host is asked for the newest configuration, seconds.
ASK_INTERVAL_S = 0.1
# Characters of a log that are shown with a problem.
LOG_TAIL = 1500
# A host that is asked to stop ends by itself.
STOP_CODES = frozenset({0, -signal.SIGKILL, -signal.SIGTERM})


class SoakResult:
    """What one run has shown; ``faults`` have begun at ``began_at`` plus their times."""

    __slots__ = ("asks", "began_at", "faults", "problems", "seed")

    def __init__(
        self,
        *,
        seed: int,
        began_at: float,
        faults: list[PlannedFault],
        asks: list[Ask],
        problems: list[str],
    ) -> None:
        self.seed = seed
        self.began_at = began_at
        self.faults = faults
        self.asks = asks
        self.problems = problems

    @property
    def served_share(self) -> float:
        """Share of the requests that were answered with success."""
        return sum(ask.status == 200 for ask in self.asks) / max(1, len(self.asks))


class SoakRun:
    """State of a run over a stage."""

    __slots__ = (
        "began_at",
        "callers",
        "faults",
        "length_s",
        "problems",
        "seed",
        "stage",
        "stopping",
    )

    def __init__(self, *, stage: SoakStage, seed: int, length_s: float) -> None:
        self.stage = stage
        self.seed = seed
        self.length_s = length_s
        self.began_at = 0.0
        self.stopping = threading.Event()
        self.problems: list[str] = []
        hosts = len(stage.gateways.addresses)
        self.faults = planned_faults(
            seed=seed, length_s=length_s, hosts=hosts, servers=len(stage.site.replicas)
        )
        self.callers = [
            Caller(stage=stage, seed=seed * 1000 + number, stopping=self.stopping)
            for number in range(CALLERS_PER_HOST * hosts)
        ]

    def run(self, *, progress: Callable[[str], None]) -> SoakResult:
        """Play the plan and return what was seen."""
        began_at = self.began_at = time.monotonic()
        with ThreadPoolExecutor(len(self.callers) + len(self.faults) + 2) as executor:
            tasks = [executor.submit(caller.run) for caller in self.callers]
            tasks += [executor.submit(self.play, fault, began_at) for fault in self.faults]
            end = began_at + self.length_s
            while (left := end - time.monotonic()) > 0.0:
                time.sleep(min(CHECK_INTERVAL_S, left))
                self.check()
                progress(f"{len(self.asks())} requests, {len(self.problems)} problems")
            self.stopping.set()
            for task in tasks:
                task.result()
        self.check_recovery()
        self.check()
        self.problems += [
            f"host {host} reports: {line}"
            for host in range(len(self.stage.gateways.processes))
            for line in reported_invariants(self.log(host))
        ]
        self.problems += [
            f"host {host} ended with code {code}"
            for host, code in self.stage.exits
            if code not in STOP_CODES
        ]
        return SoakResult(
            seed=self.seed,
            began_at=began_at,
            faults=self.faults,
            asks=self.asks(),
            problems=self.problems,
        )

    def asks(self) -> list[Ask]:
        """Return the requests of all callers that have ended, or not yet."""
        return [ask for caller in self.callers for ask in list(caller.asks)]

    def check(self) -> None:
        """Compare what was promised with what was seen up to now."""
        arrivals = list(self.stage.site.arrivals)
        evidence = Evidence(
            asks=self.asks(),
            arrivals=arrivals,
            shards=self.stage.site.shards,
            drains=self.stage.drains,
            faults=self.faults,
            began_at=self.began_at,
        )
        for problem in violations(evidence):
            if problem not in self.problems:
                self.problems.append(problem)

    def play(self, fault: PlannedFault, began_at: float) -> None:
        """Task of one fault: begin and end it at its times."""
        time.sleep(max(0.0, began_at + fault.begin_s - time.monotonic()))
        end: End = FAULTS[fault.kind](self.stage, fault.target)
        time.sleep(max(0.0, began_at + fault.end_s - time.monotonic()))
        end()

    def log(self, host: int) -> str:
        """Return the log of a host."""
        return self.stage.gateways.processes[host].log_path.read_text(errors="replace")

    def check_recovery(self) -> None:
        """After the last fault each host serves again, by the newest configuration."""
        processes = self.stage.gateways.processes
        self.problems += [
            f"host {host} does not run: {self.log(host)[-LOG_TAIL:]}"
            for host, process in enumerate(processes)
            if not process.is_running
        ]
        self.stage.publish()
        limit = time.monotonic() + SETTLE_S
        waiting = set(range(len(processes)))
        while waiting and time.monotonic() < limit:
            waiting = {host for host in waiting if not self.is_current(host)}
            time.sleep(ASK_INTERVAL_S if waiting else 0.0)
        self.problems += [f"host {host} does not serve the newest version" for host in waiting]

    def is_current(self, host: int) -> bool:
        """Whether a host serves the route that only the newest configuration has."""
        address = self.stage.gateways.addresses[host]
        caller = self.callers[0]
        target = f"{self.stage.marker_path}{host:x}"
        reply = asked_once(address, host=HOST, target=target)
        # The servers report what this request did as well.
        ask = Ask(request_id=reply.request_id, target=target, host=host, is_reused=False)
        ask.ended_at = ask.began_at + reply.seconds
        caller.asks.append(ask)
        return reply.status == 200


def soak(
    *, seed: int, length_s: float, hosts: int, progress: Callable[[str], None] = lambda line: None
) -> SoakResult:
    """Return the result of one run with processes, stand-ins and proxies of its own."""
    with (
        tempfile.TemporaryDirectory(prefix="rhubarbway-soak-") as directory,
        SoakStage(directory=Path(directory), hosts=hosts, shards=SHARDS) as stage,
    ):
        return SoakRun(stage=stage, seed=seed, length_s=length_s).run(progress=progress)
