"""Model in virtual time of hosts whose store is restored from older copies of itself.

It runs the registry of the program on each host. The store goes away and comes back from a copy
that is some seconds old; the servers and the operator write again what it has lost, and entries of
servers that left expire. Messages between hosts are delayed, hosts restart, and some are cut off
over a restore. The promises that ``RestoreModel.check`` names hold on each host all the while.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from random import Random

from proofs.deletion_delay_model import DRAIN_S, STEP_S, WRITTEN_AGAIN_S, Host, PromiseBroken
from rhubarbway.decisions.restored_items import OPERATOR_GRACE_S
from rhubarbway.decisions.store_contact import CallEnd
from rhubarbway.edge.json_codec import encode_json
from rhubarbway.model import StoreItem
from rhubarbway.platform.item_summaries import summarize_configuration
from rhubarbway.services.store_reader import (
    BATCH_DELAY_S,
    INITIAL_RETRY_DELAY_S,
    LIST_SPREAD_S,
    MAX_RETRY_DELAY_S,
)
from rhubarbway_standins.platform.entries import (
    CONFIGURATION_KEY,
    EVACUATION_PREFIX,
    server_entry,
    server_key,
)
from rhubarbway_standins.platform.site import HTTP_LIMITS

# Limits of the users' small sites, seconds, for a write of the store to be in force on each host;
# the store has been up for as long.
APPLY_S = 3.0
# Time after which the entry of a server that does not write it expires, seconds.
EXPIRY_S = 3.6
# Longest time in which the operator writes again what the store has lost, seconds.
OPERATOR_S = 3.0
# By this time after a write all hosts have read it, unless they are cut off, seconds. What the
# store loses sooner, no host may know.
READ_S = 1.5
# Longest delay of a message between two hosts, seconds.
MESSAGE_S = 0.4
SERVERS = 20
ZONE = "north"


def configuration(version: int) -> bytes:
    """Return a configuration without routes."""
    return encode_json({"version": version, "routes": [], "services": [], "limits": HTTP_LIMITS})


class Plan:
    """What happens in a run; all times are seconds.

    Attributes
    ----------
    drills : list of (float, float, float)
        Begin of an outage that ends with a restore, its duration, and the age of the copy then.
    removals : dict of int to float
        Instants at which servers begin to drain, or are removed if their number is odd.
    starts : dict of int to float
        Instants at which servers start; the others serve from the begin.
    versions : list of float
        Instants at which the operator writes a version of the configuration.
    evacuations : list of (float, float)
        Instants at which the evacuation of a zone begins and is taken back.
    restarts : list of (float, int)
        Instants at which hosts restart without a copy, with their numbers.
    cuts : list of (float, float, int)
        Periods in which a host gets no message and reaches no store.
    hosts : int
        Number of hosts; the first three read the store.
    """

    __slots__ = (
        "cuts",
        "drills",
        "evacuations",
        "hosts",
        "removals",
        "restarts",
        "starts",
        "until",
        "versions",
    )

    def __init__(
        self,
        *,
        drills: list[tuple[float, float, float]],
        removals: dict[int, float] | None = None,
        starts: dict[int, float] | None = None,
        versions: list[float] | None = None,
        evacuations: list[tuple[float, float]] | None = None,
        restarts: list[tuple[float, int]] | None = None,
        cuts: list[tuple[float, float, int]] | None = None,
        hosts: int = 5,
    ) -> None:
        self.drills = drills
        self.removals = removals or {}
        self.starts = starts or {}
        self.versions = versions or []
        self.evacuations = evacuations or []
        self.restarts = restarts or []
        self.cuts = cuts or []
        self.hosts = hosts
        last = max([0.0, *self.versions, *(begin + away for begin, away, _ in drills)])
        self.until = last + OPERATOR_GRACE_S + APPLY_S + EXPIRY_S

    def is_up(self, at: float) -> bool:
        """Return whether the store answers."""
        return not any(0.0 <= round(at - begin, 6) < away for begin, away, _ in self.drills)

    def is_cut(self, number: int, at: float) -> bool:
        """Return whether a host is cut off."""
        return any(host == number and begin <= at < end for begin, end, host in self.cuts)

    def had_drill(self, begin: float, end: float) -> bool:
        """Return whether the store was away in a period."""
        return any(at < end and begin < at + away for at, away, _ in self.drills)


class ModelStore:
    """The store of the model: items with revisions, and events of its history."""

    def __init__(self) -> None:
        self.era = 1
        self.restored_at = 0.0
        self.revision = 0
        self.items: dict[str, tuple[bytes, int, float]] = {}
        self.events: list[tuple[int, str, bytes | None]] = []
        self.copies: list[tuple[float, int, dict, list]] = []

    def write(self, key: str, value: bytes | None, *, now: float) -> None:
        """Change a key; None deletes it."""
        if value is None and key not in self.items:
            return
        self.revision += 1
        self.events.append((self.revision, key, value))
        self.items.pop(key, None)
        if value is not None:
            self.items[key] = (value, self.revision, now)

    def copy(self, *, now: float) -> None:
        """Make a copy of the store, from which it may be restored."""
        self.copies.append((now, self.revision, dict(self.items), list(self.events)))

    def restore(self, *, at: float, now: float) -> None:
        """Come back from the newest copy made until an instant."""
        self.restored_at = now
        _, self.revision, items, events = next(c for c in reversed(self.copies) if c[0] <= at)
        self.items, self.events = dict(items), list(events)
        self.era += 1

    def listing(self) -> list[StoreItem]:
        """Return all items."""
        return [
            StoreItem(key=key, value=value, revision=revision)
            for key, (value, revision, _) in self.items.items()
        ]

    def changes(self, after: int) -> list[StoreItem]:
        """Return the changes after a revision."""
        return [
            StoreItem(key=key, value=value, revision=revision)
            for revision, key, value in self.events
            if revision > after
        ]


class RestoredHost(Host):
    """An entry host; ``version`` is that of its configuration, ``zones`` those it evacuates."""

    def __init__(self, *, clock: Callable[[], float]) -> None:
        super().__init__(clock=clock)
        self.version = 0
        self.zones: set[str] = set()
        self.started_at = clock()
        self.planned_era = 0
        self.list_at = 0.0
        # Servers that this host has used since it started.
        self.used: set[int] = set()

    def update(self, changed, removed) -> None:
        """Apply changed and removed servers; draining ones are not used."""
        super().update(changed, removed)
        self.in_use -= {int(server.id.removeprefix("i-")) for server in changed if server.draining}
        self.used |= self.in_use

    def offer(self, table, *, source, era) -> None:
        """Put a later version of the configuration into force."""
        self.version = max(self.version, table.version)

    def copied_version(self) -> int:
        """Return the version that this host sends to those that follow it."""
        item = self.registry.store_copy.items[CONFIGURATION_KEY]
        return summarize_configuration(item.value).version

    def set_evacuated_zones(self, zones) -> None:
        """Replace the zones that are evacuated."""
        self.zones = set(zones)


class RestoreModel:
    """One run of a plan; ``lists`` has the instants at which hosts listed the store."""

    def __init__(self, *, plan: Plan, seed: int) -> None:
        self.plan = plan
        self.random = Random(seed)
        self.now = 0.0
        self.store = ModelStore()
        self.lists: list[float] = []
        self.version = 1
        # What servers and operator want the store to hold, by key, and when each wrote it first.
        self.wanted: dict[str, bytes] = {}
        self.written_at: dict[str, float] = {}
        # Writes that are due, by key.
        self.due: dict[str, float] = {}
        self.sequences = dict.fromkeys(range(SERVERS), 0)
        self.left_at: dict[int, float] = {}
        self.messages: list[tuple[float, RestoredHost, object]] = []
        for number in set(range(SERVERS)) - plan.starts.keys():
            self.want(server_key(f"i-{number}"), self.entry(number))
        self.want(CONFIGURATION_KEY, configuration(1))
        self.store.copy(now=0.0)
        self.hosts = [RestoredHost(clock=lambda: self.now) for _ in range(plan.hosts)]
        for host in self.hosts:
            self.call_store(host)
        self.readers = self.hosts[:3]
        self.lists.clear()

    def entry(self, number: int, *, draining: bool = False) -> bytes:
        """Return the next entry of a server."""
        self.sequences[number] += 1
        return server_entry(
            service="desk",
            address=f"10.0.0.{number + 1}:80",
            zone="south",
            born_ms=7,
            sequence=self.sequences[number],
            draining=draining,
        )

    def want(self, key: str, value: bytes | None) -> None:
        """Change what a writer wants the store to hold, and write it if the store is up."""
        if value is None:
            self.wanted.pop(key, None)
        else:
            self.wanted[key] = value
        self.written_at[key] = self.now
        if self.plan.is_up(self.now):
            self.store.write(key, value, now=self.now)
        else:
            self.due[key] = float("inf")

    def happens(self, at: float) -> bool:
        """Return whether an instant is in this step."""
        return 0.0 <= round(self.now - at, 6) < STEP_S

    def change_store(self) -> None:
        """Let the store be restored, and servers and operator write."""
        for begin, away, age in self.plan.drills:
            if self.happens(begin + away):
                self.store.restore(at=begin - age, now=self.now)
                self.plan_writes()
        if not self.plan.is_up(self.now):
            self.change_wishes()
            return
        self.change_wishes()
        for key, at in list(self.due.items()):
            if at <= self.now:
                del self.due[key]
                self.write_again(key)
        self.store.copy(now=self.now)

    def plan_writes(self) -> None:
        """Plan what is written again after a restore, and which entries expire."""
        for key in {*self.wanted, *self.store.items, *self.due}:
            held = self.store.items.get(key)
            if held is not None and held[0] == self.wanted.get(key):
                self.due.pop(key, None)
                continue
            is_operator = key.startswith("op/")
            longest = OPERATOR_S if is_operator else WRITTEN_AGAIN_S
            delay = self.random.uniform(STEP_S, longest)
            if key not in self.wanted and not is_operator:
                delay = EXPIRY_S
            self.due[key] = self.now + delay

    def write_again(self, key: str) -> None:
        """Write what a key is to hold; a server numbers its writes."""
        value = self.wanted.get(key)
        if value is not None and not key.startswith("op/"):
            number = int(key.removeprefix(server_key("i-")))
            value = self.wanted[key] = self.entry(number, draining=number in self.left_at)
        self.store.write(key, value, now=self.now)

    def change_wishes(self) -> None:
        """Let servers start, drain and leave, and the operator change what it asks for."""
        for number, at in self.plan.starts.items():
            if self.happens(at):
                self.want(server_key(f"i-{number}"), self.entry(number))
        for number, at in self.plan.removals.items():
            key = server_key(f"i-{number}")
            if self.happens(at):
                self.left_at[number] = self.now
                self.want(key, None if number % 2 else self.entry(number, draining=True))
            if self.happens(at + DRAIN_S + 1.0):
                self.want(key, None)
        for at in self.plan.versions:
            if self.happens(at):
                self.version += 1
                self.want(CONFIGURATION_KEY, configuration(self.version))
        for begin, end in self.plan.evacuations:
            if self.happens(begin):
                self.want(EVACUATION_PREFIX + ZONE, b"{}")
            if self.happens(end):
                self.want(EVACUATION_PREFIX + ZONE, None)

    def change_hosts(self) -> None:
        """Let hosts restart."""
        for at, number in self.plan.restarts:
            if self.happens(at):
                old, new = self.hosts[number], RestoredHost(clock=lambda: self.now)
                self.hosts[number] = new
                self.readers = [new if reader is old else reader for reader in self.readers]

    def steps_in_any_order(self) -> list[Callable[[], None]]:
        """Return what the hosts do in this instant; each may be before or after the others."""
        steps: list[Callable[[], None]] = []
        arrived = [message for message in self.messages if message[0] <= self.now]
        self.messages = [message for message in self.messages if message[0] > self.now]
        for _, host, changes in arrived:
            steps.append(lambda host=host, changes=changes: self.receive(host, changes))
        for number, host in enumerate(self.hosts):
            if self.plan.is_cut(number, self.now):
                continue
            is_reader = host in self.readers or host.registry.is_copy_stale()
            host.is_first_call = host.is_first_call or not is_reader
            if is_reader and host.registry.complete and self.now >= host.reads_at:
                steps.append(lambda host=host: self.call_store(host))
            others = [other for other in self.hosts if other is not host]
            followed = [reader for reader in self.readers if reader is not host][0]
            steps.append(lambda host=host, other=followed: self.ask(host, other))
            if self.random.random() < 2 * STEP_S:
                other = self.random.choice(others)
                steps.append(lambda host=host, other=other: self.ask(host, other))
        self.random.shuffle(steps)
        return steps

    def ask(self, host: RestoredHost, other: RestoredHost) -> None:
        """Let a host ask another one for changes; the reply is on its way for some time."""
        if self.plan.is_cut(self.hosts.index(other), self.now):
            return
        settled = host.registry.settled_position()
        changes = other.registry.wait_for_changes(
            after=host.positions.get(other),
            wait_s=0.0,
            settled_revision=settled.revision,
            era=settled.era,
        )
        delay = self.random.choice([0.0, 0.0, self.random.uniform(0.0, MESSAGE_S)])
        self.messages.append((self.now + delay, host, (other, changes)))

    def receive(self, host: RestoredHost, message) -> None:
        """Apply a reply of another host."""
        other, changes = message
        if host in self.hosts and not self.plan.is_cut(self.hosts.index(host), self.now):
            host.positions[other] = changes.sequence
            host.registry.apply_received(changes, source="host")

    def call_store(self, host: RestoredHost) -> None:
        """Let a host read the store, as the reader of the program does."""
        if not self.plan.is_up(self.now):
            host.record(CallEnd.LOST)
            host.reads_at = self.now + host.retry_delay_s * self.random.uniform(0.5, 1.5)
            host.retry_delay_s = min(2 * host.retry_delay_s, MAX_RETRY_DELAY_S)
            return
        start = host.registry.watch_start()
        must_list = not host.registry.complete or start.revision == 0
        if start.era < self.store.era and not must_list:
            if host.planned_era < self.store.era:
                is_first = host is self.hosts[0]
                host.planned_era = self.store.era
                host.list_at = self.now + self.random.uniform(
                    0.0, 0.0 if is_first else LIST_SPREAD_S
                )
            if self.now < host.list_at:
                return
            must_list = True
        host.record(CallEnd.ANSWERED)
        host.retry_delay_s = INITIAL_RETRY_DELAY_S
        items = self.store.listing() if must_list else self.store.changes(start.revision)
        if must_list:
            self.lists.append(self.now)
        host.registry.apply_store_changes(
            items, revision=self.store.revision, whole=must_list, era=self.store.era
        )
        host.reads_at = self.now + (BATCH_DELAY_S if items else 0.0)

    def check(self) -> None:
        """Check the promises on all hosts that have a copy."""
        for place, host in enumerate(self.hosts):
            if host.registry.complete:
                for problem in self.problems(place, host):
                    raise PromiseBroken(f"host {place} at {self.now}: {problem}")

    def problems(self, place: int, host: RestoredHost) -> Iterator[str]:
        """Yield the promises that a host breaks: see the functions that this one calls."""
        yield from self.dropped_servers(host)
        yield from self.used_servers(host)
        if host.copied_version() < host.version:
            yield f"version {host.copied_version()} sent, {host.version} in force"
        is_connected = host.started_at < self.now - APPLY_S and not any(
            begin < self.now < end + APPLY_S
            for begin, end, number in self.plan.cuts
            if number == place
        )
        if is_connected and not self.plan.had_drill(self.now - APPLY_S, self.now):
            yield from self.missed_writes(host)

    def dropped_servers(self, host: RestoredHost) -> Iterator[str]:
        """Yield living servers that a host has used and uses no more."""
        dropped = host.used - host.in_use - self.left_at.keys()
        if dropped:
            yield f"living servers {sorted(dropped)} dropped"

    def used_servers(self, host: RestoredHost) -> Iterator[str]:
        """Yield servers that left before a restore, or long ago, and that a host uses."""
        for number in self.left_at.keys() & host.in_use:
            at = self.left_at[number]
            if self.plan.had_drill(at, at + READ_S):
                # The store may have lost it before any host has read it.
                at += READ_S + max(away for _, away, _ in self.plan.drills) + EXPIRY_S
            cut_off = any(
                begin < self.now and at < end + APPLY_S for begin, end, _ in self.plan.cuts
            )
            if self.now > at + DRAIN_S and not cut_off:
                yield f"server {number} used {self.now - at:.1f} s after it left"

    def missed_writes(self, host: RestoredHost) -> Iterator[str]:
        """Yield writes of the store's present history that are not in force in time."""
        written = {
            key: value
            for key, (value, _, at) in self.store.items.items()
            if at < self.now - APPLY_S and self.written_at.get(key, at) < self.now - APPLY_S
        }
        stored = written.get(CONFIGURATION_KEY)
        if stored is not None and host.version < summarize_configuration(stored).version:
            yield f"version {host.version} in force, {stored!r} written"
        for number in range(SERVERS):
            if written.get(server_key(f"i-{number}")) and not (
                number in host.in_use or number in self.left_at
            ):
                yield f"server {number} not used"
        key = EVACUATION_PREFIX + ZONE
        written_at = self.written_at.get(key, self.now)
        if key not in self.wanted and self.plan.had_drill(
            written_at - OPERATOR_GRACE_S, written_at
        ):
            # Taking back a request that the store has lost leaves no event.
            written_at = max(written_at, self.store.restored_at + OPERATOR_GRACE_S)
        settled = written_at < self.now - APPLY_S
        is_lost = self.plan.had_drill(
            self.written_at.get(key, 0.0), self.written_at.get(key, 0.0) + READ_S
        )
        if settled and not is_lost and (ZONE in host.zones) is not (key in self.wanted):
            yield f"zones {host.zones} evacuated, {key in self.wanted} wanted"
