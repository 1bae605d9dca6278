"""Randomised simulation of version floors and membership over in-memory exchanges."""

from random import Random

import pytest

from rhubarbway.decisions.config_readers import select_readers
from rhubarbway.decisions.manifest_versions import NO_VERSION, VersionFloor
from rhubarbway.decisions.membership import Membership
from rhubarbway.model import EntryHost, MemberRecord, MemberState, VersionReport

NAMES = [f"e{number}" for number in range(9)]
HOSTS = {name: EntryHost(name=name, address="", zone=f"z{int(name[1:]) % 3}") for name in NAMES}
# Rounds with one fault each, and the rounds without faults after which all hosts must agree.
FAULT_ROUNDS = 24
QUIET_ROUNDS = 12
# At most this number of hosts start at once, so that a majority knows the version in force.
MAX_STARTING = 4
MAX_PAUSE_ROUNDS = 4


class Process:
    """Decisions of one process of a host, and the manifest version that it holds."""

    __slots__ = ("floor", "held", "paused", "view")

    def __init__(self, *, name, incarnation, now):
        own = MemberRecord(
            name=name,
            incarnation=str(incarnation),
            started_ms=int(now * 1000) + incarnation,
            heartbeat=0,
            state=MemberState.ALIVE,
        )
        self.view = Membership(own=own)
        self.view.set_published(NAMES, neighbours=[other for other in NAMES if other != name])
        self.floor = VersionFloor(name=name)
        self.held = NO_VERSION
        self.paused = 0

    def in_force(self, now):
        """Return the version in force, or None."""
        if self.floor.try_confirm(held=self.held, published=NAMES, now=now):
            return self.held
        return None

    def receive(self, other, now):
        """Merge the state of another process."""
        own = other.view.own
        confirmed = other.in_force(now) is not None
        version_key = max(other.held, other.floor.version_key)
        report = VersionReport(version_key=version_key, confirmed=confirmed, received_at=now)
        self.floor.record_report(own.name, report)
        self.held = max(self.held, other.held)
        self.view.merge_direct(own, now=now, wall_ms=int(now * 1000) + 999)
        for record in other.view.non_default_records():
            self.view.merge(record, now=now, wall_ms=int(now * 1000) + 999)


class ExchangeSimulation:
    """Nine hosts and a configuration service that may be stale.

    ``published`` is the newest version, and ``served`` the one that the service returns, None while
    it is down. ``guaranteed`` holds for each host the highest version that must not be undone.
    """

    def __init__(self, seed):
        self.random = Random(seed)
        self.now = 0.0
        self.incarnation = 0
        self.published = 1
        self.served = 1
        self.processes = {}
        self.guaranteed = dict.fromkeys(NAMES, NO_VERSION)
        for name in NAMES:
            self.replace(name)

    def replace(self, name):
        """Replace the process of a host by one without state.

        From now on, the host must not go below the version that it had in force, if a majority of
        all hosts holds that version.
        """
        old = self.processes.get(name)
        if old is not None:
            version = old.in_force(self.now)
            holders = sum(process.held >= (version or NO_VERSION) for process in self.all())
            if version is not None and 2 * holders > len(NAMES):
                self.guaranteed[name] = max(self.guaranteed[name], version)
        self.incarnation += 1
        self.processes[name] = Process(name=name, incarnation=self.incarnation, now=self.now)

    def all(self):
        """Return all processes."""
        return self.processes.values()

    def starting(self):
        """Return the number of processes without a version in force."""
        return sum(process.in_force(self.now) is None for process in self.all())

    def read(self, process):
        """Read the configuration service, which may serve an older version."""
        if self.served is not None:
            process.held = max(process.held, (self.served, "d"))

    def run_round(self, loss):
        """Run one round of 1 s, and check the versions in force at its end.

        Each pair of running hosts exchanges state once, which fails with the probability ``loss``.
        Then the readers, and the hosts without a version, read the configuration service.
        """
        self.now += 1.0
        for process in self.all():
            process.paused = max(0, process.paused - 1)
            process.view.advance_heartbeat(leaving=False, blind=False)
        pairs = [(a, b) for a in NAMES for b in NAMES if a < b]
        self.random.shuffle(pairs)
        for a, b in pairs:
            first, second = self.processes[a], self.processes[b]
            if first.paused or second.paused or self.random.random() < loss:
                first.view.record_failed_exchange(b, now=self.now)
                second.view.record_failed_exchange(a, now=self.now)
                continue
            second.receive(first, self.now)
            first.receive(second, self.now)
        for process in self.all():
            process.view.expire_suspects(now=self.now)
            readers = select_readers([HOSTS[name] for name in process.view.alive()])
            if not process.paused and (
                process.view.own.name in readers or process.held == NO_VERSION
            ):
                self.read(process)
        self.check()

    def check(self):
        """Check that no version in force is below a guaranteed one."""
        for name, process in self.processes.items():
            version = process.in_force(self.now)
            if version is not None:
                assert version >= self.guaranteed[name], f"{name} went back to {version}"

    def inject_fault(self):
        """Change the configuration service, or replace or pause a host."""
        kind = self.random.choice(["publish", "stale", "down", "replace", "replace", "pause"])
        name = self.random.choice(NAMES)
        if kind == "publish":
            self.published += 1
            self.served = self.published
        elif kind == "stale":
            self.served = self.random.randint(1, self.published)
        elif kind == "down":
            self.served = None
        elif kind == "replace" and self.starting() < MAX_STARTING:
            self.replace(name)
        elif kind == "pause":
            self.processes[name].paused = self.random.randint(1, MAX_PAUSE_ROUNDS)


class TestRandomRuns:
    @pytest.mark.parametrize("block", range(4))
    def test_no_host_goes_back_and_all_agree_after_the_last_fault(self, block):
        """Guards against a replaced host that uses an older version from a stale service.

        Also guards against hosts that still disagree some rounds after the last fault.
        """
        for seed in range(block * 50, block * 50 + 50):
            run = ExchangeSimulation(seed)
            for _ in range(8):
                run.run_round(loss=0.0)
            for _ in range(FAULT_ROUNDS):
                run.inject_fault()
                run.run_round(loss=0.2)
            highest = max(process.held for process in run.all())
            for _ in range(QUIET_ROUNDS):
                run.run_round(loss=0.0)
            versions = {process.in_force(run.now) for process in run.all()}
            assert len(versions) == 1, f"seed {seed}: {versions}"
            assert versions.pop() >= highest
            assert all(process.view.alive() == set(NAMES) for process in run.all())
