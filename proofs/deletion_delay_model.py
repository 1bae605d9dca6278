"""Model in virtual time of hosts that read the store, defer deletions and follow each other.

It runs the registry of the program on each host. A run draws outages of the store, which some hosts
may notice and others not, entries that lapse in them and are written again, servers that are
removed, changes of the readers, and restarts of hosts. Two promises are checked on all hosts: a
removed server is out of use in time if the store is stable, and a living server whose entry lapsed
stays in use.
"""

from __future__ import annotations

from collections.abc import Iterator
from random import Random
from typing import TYPE_CHECKING

from rhubarbway.decisions.store_contact import NEXT_CONTACT, CallEnd, StoreContact, ends_outage
from rhubarbway.model import StoreItem
from rhubarbway.services.registry import RegistryService
from rhubarbway.services.store_reader import (
    BATCH_DELAY_S,
    INITIAL_RETRY_DELAY_S,
    MAX_RETRY_DELAY_S,
)
from rhubarbway_standins.platform.entries import server_entry

if TYPE_CHECKING:
    from proofs.store_restore_model import RestoreModel

STEP_S = 0.1
# Limits of the users' small sites, seconds: a server that was removed gets no request after the
# first, and the store counts as stable when it has worked for the second.
DRAIN_S = 3.0
STABLE_S = 4.0
# Longest time in which a lapsed entry is written again after the return of the store, seconds.
WRITTEN_AGAIN_S = 1.9
# Shortest outage that every host that reads the store is sure to notice, seconds.
NOTICED_OUTAGE_S = 4.5
# Interval at which a host polls the second host that it follows, seconds.
BACKUP_POLL_S = 0.8
ENTRY = server_entry(service="desk", address="10.0.0.1:80", zone="z", born_ms=7, sequence=1)


def run_model(model: DelayModel | RestoreModel) -> None:
    """Play the plan of a model.

    Raises
    ------
    PromiseBroken
        If a host breaks a promise.
    """
    while model.now < model.plan.until:
        model.now = round(model.now + STEP_S, 6)
        model.change_store()
        model.change_hosts()
        for step in model.steps_in_any_order():
            step()
        model.check()


class PromiseBroken(Exception):
    """A promise is broken; the message names the host, the server and the time."""


class Plan:
    """What happens in a run.

    Attributes
    ----------
    hosts, servers : int
        Number of entry hosts, and of servers at the start.
    outages : list of (float, float)
        Begin and end of each outage of the store, seconds.
    removals : dict of int to float
        Instants at which servers are removed for good, seconds, by the number of the server.
    lapsing : float
        Fraction of the living servers whose entries lapse in an outage of ``NOTICED_OUTAGE_S``.
    reader_changes : list of float
        Instants at which other hosts become the readers.
    restarts : list of (float, int)
        Instants at which hosts restart without a copy, with the number of the host.
    """

    __slots__ = (
        "hosts",
        "lapsing",
        "outages",
        "reader_changes",
        "removals",
        "restarts",
        "servers",
        "until",
    )

    def __init__(
        self,
        *,
        hosts: int = 5,
        servers: int = 60,
        outages: list[tuple[float, float]],
        removals: dict[int, float],
        lapsing: float = 0.0,
        reader_changes: list[float] | None = None,
        restarts: list[tuple[float, int]] | None = None,
    ) -> None:
        self.hosts = hosts
        self.servers = servers
        self.outages = outages
        self.removals = removals
        self.lapsing = lapsing
        self.reader_changes = reader_changes or []
        self.restarts = restarts or []
        last = max([0.0, *removals.values(), *(end for _, end in outages)])
        self.until = last + STABLE_S + DRAIN_S

    def is_up(self, at: float) -> bool:
        """Return whether the store answers."""
        return not any(begin <= at < end for begin, end in self.outages)

    def is_judged(self, at: float) -> bool:
        """Return whether the store is stable from before a removal until its time limit."""
        return all(at >= end + STABLE_S or at + DRAIN_S < begin for begin, end in self.outages)


class Host:
    """An entry host; ``in_use`` has the numbers of the servers that it uses."""

    def __init__(self, *, clock) -> None:
        self.in_use: set[int] = set()
        self.registry = RegistryService(clock=clock)
        self.registry.servers = self.registry.routing = self
        self.contact = StoreContact.IN_DOUBT
        self.is_first_call = True
        self.reads_at = 0.0
        self.retry_delay_s = INITIAL_RETRY_DELAY_S
        # By followed host, the sequence number of the last change received from it.
        self.positions: dict[Host, int] = {}

    def update(self, changed, removed) -> None:
        """Apply changed and removed servers."""
        self.in_use -= {int(server_id.removeprefix("i-")) for server_id in removed}
        self.in_use |= {int(server.id.removeprefix("i-")) for server in changed}

    def record(self, end: CallEnd) -> None:
        """Record the end of a call to the store, as the reader of the program does."""
        before, self.contact = self.contact, NEXT_CONTACT[self.contact, end]
        is_first_call, self.is_first_call = self.is_first_call, False
        copy_age_s = self.registry.copy_age_s()
        if self.registry.complete and ends_outage(
            before, end, is_first_call=is_first_call, copy_age_s=copy_age_s
        ):
            self.registry.defer_deletions()

    def follow(self, followed: Host) -> None:
        """Apply the changes of another host."""
        changes = followed.registry.wait_for_changes(
            after=self.positions.get(followed),
            wait_s=0.0,
            settled_revision=self.registry.settled_position().revision,
        )
        self.positions[followed] = changes.sequence
        self.registry.apply_received(changes, source="host")


class DelayModel:
    """One run of a plan; ``delays_s`` has how long after its removal a server was last in use."""

    def __init__(self, *, plan: Plan, seed: int) -> None:
        self.plan = plan
        self.random = Random(seed)
        self.now = 0.0
        self.log: list[tuple[float, StoreItem]] = []
        # Entries that lapsed and are to be written again, with the time that this takes.
        self.lapsed: dict[int, float] = {}
        self.delays_s: dict[int, float] = {}
        # Instants at which the store confirmed the removals.
        self.removed_at: dict[int, float] = {}
        self.hosts = [Host(clock=lambda: self.now) for _ in range(plan.hosts)]
        for number in range(plan.servers):
            self.write(number, ENTRY)
        for host in self.hosts:
            self.call_store(host)
        self.readers = self.hosts[:3]

    def write(self, number: int, value: bytes | None) -> None:
        """Change the entry of a server in the store; None deletes it."""
        item = StoreItem(key=f"servers/i-{number}", value=value, revision=len(self.log) + 1)
        self.log.append((self.now, item))

    def call_store(self, host: Host) -> None:
        """Let a host read what has changed in the store, if this answers."""
        if not self.plan.is_up(self.now):
            host.record(CallEnd.LOST)
            host.reads_at = self.now + host.retry_delay_s * self.random.uniform(0.5, 1.5)
            host.retry_delay_s = min(2 * host.retry_delay_s, MAX_RETRY_DELAY_S)
            return
        host.record(CallEnd.ANSWERED)
        host.retry_delay_s = INITIAL_RETRY_DELAY_S
        changes = [item for _, item in self.log[host.registry.watch_start().revision :]]
        is_whole = not host.registry.complete
        latest = {item.key: item for _, item in self.log}
        listed = [item for item in latest.values() if item.value is not None]
        host.registry.apply_store_changes(
            listed if is_whole else changes, revision=len(self.log), whole=is_whole
        )
        host.reads_at = self.now + (BATCH_DELAY_S if changes else 0.0)

    def steps_in_any_order(self) -> list:
        """Return what the hosts do in this instant; each may be before or after the others."""
        steps = []
        for host in self.hosts:
            is_reader = host in self.readers or host.registry.is_copy_stale()
            # A host without a copy asks the others for one first.
            has_copy = host.registry.complete
            host.is_first_call = host.is_first_call or not is_reader
            if is_reader and has_copy and self.now >= host.reads_at:
                steps.append(lambda host=host: self.call_store(host))
            others = [reader for reader in self.readers if reader is not host]
            steps.append(lambda host=host, other=others[0]: host.follow(other))
            if self.random.random() < STEP_S / BACKUP_POLL_S:
                other = self.random.choice([other for other in self.hosts if other is not host])
                steps.append(lambda host=host, other=other: host.follow(other))
        self.random.shuffle(steps)
        return steps

    def change_store(self) -> None:
        """Let entries lapse, be written again and be removed, while the store is up."""
        if not self.plan.is_up(self.now):
            for number in self.lapsed:
                # A living server begins anew to write its entry when the store is back.
                self.lapsed[number] = self.random.uniform(STEP_S, WRITTEN_AGAIN_S)
            return
        for begin, end in self.plan.outages:
            if end <= self.now < end + STEP_S and end - begin >= NOTICED_OUTAGE_S:
                for number in self.living():
                    if self.random.random() < self.plan.lapsing and number not in self.lapsed:
                        self.write(number, None)
                        self.lapsed[number] = self.random.uniform(STEP_S, WRITTEN_AGAIN_S)
        for number in list(self.lapsed):
            self.lapsed[number] -= STEP_S
            if self.lapsed[number] <= 0.0:
                del self.lapsed[number]
                self.write(number, ENTRY)
        for number, at in self.plan.removals.items():
            if at <= self.now and number not in self.removed_at:
                self.lapsed.pop(number, None)
                self.write(number, None)
                self.removed_at[number] = self.now

    def change_hosts(self) -> None:
        """Let other hosts become readers, and hosts restart."""
        if any(at <= self.now < at + STEP_S for at in self.plan.reader_changes):
            self.readers = self.random.sample(self.hosts, 3)
        for at, number in self.plan.restarts:
            if at <= self.now < at + STEP_S:
                old, new = self.hosts[number], Host(clock=lambda: self.now)
                self.hosts[number] = new
                self.readers = [new if reader is old else reader for reader in self.readers]

    def living(self) -> Iterator[int]:
        """Yield the numbers of the servers that are not removed yet."""
        for number in range(self.plan.servers):
            if number not in self.removed_at:
                yield number

    def check(self) -> None:
        """Check both promises on all hosts that have a copy."""
        for place, host in enumerate(self.hosts):
            if not host.registry.complete:
                continue
            missing = [number for number in self.living() if number not in host.in_use]
            if missing:
                raise PromiseBroken(f"host {place} lacks living servers {missing} at {self.now}")
            for number, at in self.removed_at.items():
                if number in host.in_use:
                    self.delays_s[number] = self.now - at
                    if self.plan.is_judged(at) and self.now > at + DRAIN_S:
                        raise PromiseBroken(
                            f"host {place} uses server {number} {self.now - at:.1f} s after its "
                            "removal"
                        )
