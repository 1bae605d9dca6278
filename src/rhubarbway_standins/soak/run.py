"""One soak run: callers, planned faults, and the checks during and after the run."""

from __future__ import annotations

import shutil
import signal
import tempfile
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from rhubarbway.edge.http_call import CallError
from rhubarbway.edge.http_client import HttpConnection
from rhubarbway.edge.json_codec import decode_json
from rhubarbway.services.gateway_status import STATUS_PATH
from rhubarbway_standins.platform.consumer import send_once
from rhubarbway_standins.platform.site import VIRTUAL_HOST, ZONES
from rhubarbway_standins.soak.callers import Caller, CallerRequest
from rhubarbway_standins.soak.checks import RunRecord, broken_invariant_lines, find_problems
from rhubarbway_standins.soak.faults import FAULTS, EndFault
from rhubarbway_standins.soak.pauses import Pause, describe_pauses, record_pauses
from rhubarbway_standins.soak.plan import (
    SHARDS,
    SHARDS_ON_SHARED_CORES,
    PlannedFault,
    has_shared_cores,
    plan_run,
)
from rhubarbway_standins.soak.testbed import SoakTestbed

# Stated processor of hosts that delegate even fan-outs over four shards, cores.
DELEGATING_CORES = 0.005
CALLERS_PER_HOST = 3
BURST_CALLERS_PER_HOST = 6
# Interval of the checks during a run, seconds.
CHECK_INTERVAL_S = 2.0
# Limit until a new configuration is in force on all hosts after the last fault, seconds: a host has
# 4 s to reach the store again after a fault, and then 3 s to get the configuration.
MAX_RECOVERY_S = 7.0
# Interval of the requests that ask a host for the newest configuration, seconds.
POLL_INTERVAL_S = 0.1
# Number of characters from the end of a host's log that a problem quotes.
LOG_TAIL_CHARACTERS = 1500
# Accepted exit codes of a host that was asked to stop: its own exit; a kill, by another fault or
# by ``ManagedProcess.stop``; or a SIGTERM that arrived before the starting process blocked it.
EXPECTED_EXIT_CODES = frozenset({0, -signal.SIGKILL, -signal.SIGTERM})


class SoakResult:
    """Result of one run; the times of ``faults`` are relative to ``started_at``.

    ``pauses`` are those of the process of the soak, which make answers seem late.
    """

    __slots__ = (
        "faults",
        "pauses",
        "problems",
        "requests",
        "seed",
        "started_at",
    )

    def __init__(
        self,
        *,
        seed: int,
        started_at: float,
        faults: list[PlannedFault],
        requests: list[CallerRequest],
        problems: list[str],
        pauses: list[Pause],
    ) -> None:
        self.seed = seed
        self.started_at = started_at
        self.faults = faults
        self.requests = requests
        self.problems = problems
        self.pauses = pauses

    @property
    def pause_line(self) -> str:
        """Description of the pauses."""
        return describe_pauses(self.pauses, started_at=self.started_at)

    @property
    def served_share(self) -> float:
        """Share of the requests with a successful answer."""
        return sum(request.status == 200 for request in self.requests) / max(1, len(self.requests))


class SoakRun:
    """State of a run on a testbed."""

    __slots__ = (
        "callers",
        "duration_s",
        "faults",
        "pauses",
        "problems",
        "seed",
        "started_at",
        "stopping",
        "testbed",
    )

    def __init__(self, *, testbed: SoakTestbed, seed: int, duration_s: float) -> None:
        self.testbed = testbed
        self.seed = seed
        self.duration_s = duration_s
        self.started_at = 0.0
        self.stopping = threading.Event()
        self.problems: list[str] = []
        self.pauses: list[Pause] = []
        hosts = len(testbed.gateways.addresses)
        self.faults = plan_run(
            seed=seed,
            duration_s=duration_s,
            hosts=hosts,
            servers=len(testbed.site.replicas),
            zones=len(ZONES),
        )
        callers = CALLERS_PER_HOST * hosts
        self.callers = [
            Caller(
                testbed=testbed,
                seed=seed * 1000 + number,
                stopping=self.stopping,
                is_burst_caller=number >= callers,
            )
            for number in range(callers + BURST_CALLERS_PER_HOST * hosts)
        ]

    def run(self, *, progress: Callable[[str], None]) -> SoakResult:
        """Run callers and faults, and return the result."""
        started_at = self.started_at = time.monotonic()
        ended = threading.Event()
        with ThreadPoolExecutor(1) as recorder:
            recorder.submit(record_pauses, self.pauses, stopping=ended)
            try:
                self.run_under_faults(progress=progress)
                self.check_recovery()
            finally:
                ended.set()
        self.check_so_far()
        self.problems += [
            f"host {host} logged a broken invariant: {line}"
            for host in range(len(self.testbed.gateways.processes))
            for line in broken_invariant_lines(self.read_log(host))
        ]
        self.problems += [
            f"host {host} was asked to stop and exited with code {code}; expected one of "
            f"{sorted(EXPECTED_EXIT_CODES)} (negative: the number of a signal)"
            for host, code in self.testbed.stop_exit_codes
            if code not in EXPECTED_EXIT_CODES
        ]
        return SoakResult(
            seed=self.seed,
            started_at=started_at,
            faults=self.faults,
            requests=self.requests(),
            problems=self.problems,
            pauses=self.pauses,
        )

    def run_under_faults(self, *, progress: Callable[[str], None]) -> None:
        """Run callers and faults for the duration of the run, with checks all the while."""
        started_at = self.started_at
        with ThreadPoolExecutor(len(self.callers) + len(self.faults) + 2) as executor:
            tasks = [executor.submit(caller.run) for caller in self.callers]
            tasks += [executor.submit(self.inject, fault, started_at) for fault in self.faults]
            end = started_at + self.duration_s
            while (left := end - time.monotonic()) > 0.0:
                time.sleep(min(CHECK_INTERVAL_S, left))
                self.check_so_far()
                progress(f"{len(self.requests())} requests, {len(self.problems)} problems")
            self.stopping.set()
            for task in tasks:
                task.result()

    def requests(self) -> list[CallerRequest]:
        """Return the requests of all callers, including those in flight."""
        return [request for caller in self.callers for request in list(caller.requests)]

    def check_so_far(self) -> None:
        """Run the checks on the records so far, and add the new problems."""
        arrivals = list(self.testbed.site.arrivals)
        record = RunRecord(
            requests=self.requests(),
            arrivals=arrivals,
            shards=self.testbed.site.shards,
            withdrawals=self.testbed.withdrawals,
            cold_periods=self.testbed.cold_periods,
            faults=self.faults,
            started_at=self.started_at,
            unexpected_requests=self.testbed.unexpected_requests(),
        )
        for problem in find_problems(record):
            if problem not in self.problems:
                self.problems.append(problem)

    def inject(self, fault: PlannedFault, started_at: float) -> None:
        """Start and end one fault at its planned times; runs as a task of its own."""
        time.sleep(max(0.0, started_at + fault.begin_s - time.monotonic()))
        end_fault: EndFault = FAULTS[fault.kind](self.testbed, fault.target_index)
        time.sleep(max(0.0, started_at + fault.end_s - time.monotonic()))
        end_fault()

    def read_log(self, host: int) -> str:
        """Return the log of a host, over all starts of its process."""
        return self.testbed.gateways.processes[host].log_path.read_text(errors="replace")

    def check_recovery(self) -> None:
        """Check that after the last fault each host serves requests by the newest configuration.

        No host may keep an evacuation that was taken back.
        """
        processes = self.testbed.gateways.processes
        self.problems += [
            f"host {host} is not running after the last fault; its log ends with: "
            f"{self.read_log(host)[-LOG_TAIL_CHARACTERS:]}"
            for host, process in enumerate(processes)
            if not process.is_running
        ]
        self.testbed.publish_configuration()
        deadline = time.monotonic() + MAX_RECOVERY_S
        outdated = set(range(len(processes)))
        # All hosts are asked at once: a request that a server does not answer takes over a second.
        with ThreadPoolExecutor(len(processes)) as executor:
            while outdated and time.monotonic() < deadline:
                asked = list(outdated)
                recovered = executor.map(self.has_recovered, asked)
                outdated -= {
                    host
                    for host, has_recovered in zip(asked, recovered, strict=True)
                    if has_recovered
                }
                time.sleep(POLL_INTERVAL_S if outdated else 0.0)
        self.problems += [
            f"host {host} does not serve configuration version {self.testbed.site.version}, or "
            f"still evacuates a zone, {MAX_RECOVERY_S} s after its publication"
            for host in outdated
        ]

    def has_recovered(self, host: int) -> bool:
        """Whether a host serves the newest configuration and evacuates no zone.

        One that does not report its status in time is asked again until ``MAX_RECOVERY_S``.
        """
        try:
            return self.serves_newest_version(host) and not self.evacuated_zones(host)
        except CallError:
            return False

    def evacuated_zones(self, host: int) -> list[str]:
        """Return the zones that a host considers evacuated."""
        settings = self.testbed.gateways.settings[host]
        connection = HttpConnection(address=f"127.0.0.1:{settings.metrics_port}")
        try:
            reply = connection.call("GET", STATUS_PATH, None, timeout_s=1.0)
        finally:
            connection.close()
        return list(decode_json(reply.body)["evacuated_zones"])

    def serves_newest_version(self, host: int) -> bool:
        """Whether a host serves the route that only the newest configuration has."""
        address = self.testbed.gateways.addresses[host]
        caller = self.callers[0]
        target = f"{self.testbed.marker_path}{host:x}"
        reply = send_once(address, host=VIRTUAL_HOST, target=target)
        # The servers record this request too, so the checks must know it as a caller's request.
        request = CallerRequest(
            request_id=reply.request_id, target=target, host=host, is_connection_reused=False
        )
        request.ended_at = request.started_at + reply.latency_s
        caller.requests.append(request)
        return reply.status == 200


def cores_of(seed: int, *, hosts: int) -> list[float]:
    """Return the processor that each host states; with even seeds, all delegate to the last one.

    Examples
    --------
    >>> cores_of(2, hosts=3), cores_of(3, hosts=3)
    ([0.005, 0.005, 1.0], [1.0, 1.0, 1.0])
    """
    weak = DELEGATING_CORES if seed % 2 == 0 else 1.0
    return [weak] * (hosts - 1) + [1.0]


def run_soak(
    *,
    seed: int,
    duration_s: float,
    hosts: int,
    progress: Callable[[str], None] = lambda line: None,
    kept_logs: Path | None = None,
) -> SoakResult:
    """Return the result of one run with processes, stand-ins and proxies of its own.

    The hosts' logs of a run that fails or has problems are copied to ``kept_logs``.
    """
    result = None
    with tempfile.TemporaryDirectory(prefix="rhubarbway-soak-") as directory:
        try:
            with SoakTestbed(
                directory=Path(directory),
                hosts=hosts,
                shards=SHARDS_ON_SHARED_CORES if has_shared_cores(seed) else SHARDS,
                cores=cores_of(seed, hosts=hosts),
                seed=seed,
            ) as testbed:
                run = SoakRun(testbed=testbed, seed=seed, duration_s=duration_s)
                result = run.run(progress=progress)
                return result
        finally:
            if kept_logs is not None and (result is None or result.problems):
                shutil.copytree(directory, kept_logs / f"soak-{seed}", dirs_exist_ok=True)
