"""Model of the losses that the gateways of a large fleet exchange, in steps of model time.

Servers fail together, with innocent requests in flight, and a crashing request comes at host after
host. The model prints the bytes of the messages, the memory of a host, the innocent requests that
are blocked, and the runs of the crashing request. Run ``python -m proofs.crash_loss_model``.
"""

from __future__ import annotations

import argparse
import copy
import sys
import time
import tracemalloc
from random import Random

import msgspec

from rhubarbway.decisions.crash_guard import CrashGuard, ServerLoss
from rhubarbway.edge import feed_wire

STEP_S = 0.25
POLL_INTERVAL_S = 1.0
FOLLOWERS = 16
SERVICES = 50
SERVERS = 3000
POPULAR_REQUESTS = 300
POPULAR_FRACTION = 0.3
POISON_INTERVAL_S = 2.0
# Innocent requests in flight on a server that the crashing request ends.
BYSTANDERS = 8


class Host:
    """A gateway of the model, the hosts that it follows, and the largest message that it sent."""

    __slots__ = ("followed", "guard", "largest_bytes", "poll_at", "sent_bytes")

    def __init__(self, *, followed: list[Host], poll_at: float) -> None:
        self.guard = CrashGuard()
        self.followed = followed
        self.poll_at = poll_at
        self.largest_bytes = 0
        self.sent_bytes = 0

    def send_losses(self, receiver: Host, *, now: float) -> None:
        """Encode the losses of a message, count its bytes, and let the receiver merge them."""
        wires = [
            feed_wire.loss_to_wire(loss, now=now) for loss in self.guard.losses_to_share(now=now)
        ]
        singles = [
            feed_wire.single_loss_to_wire(loss, now=now)
            for loss in self.guard.singles_to_share(now=now)
        ]
        size = len(msgspec.json.encode(wires)) + len(msgspec.json.encode(singles))
        self.sent_bytes += size
        self.largest_bytes = max(self.largest_bytes, size)
        losses = [feed_wire.loss_from_wire(wire, now=now) for wire in wires]
        losses += [feed_wire.single_loss_from_wire(wire, now=now) for wire in singles]
        receiver.guard.merge(losses, now=now)


class Outcome:
    """Figures of one run of the model."""

    __slots__ = ("blocked", "blocked_pairs", "hosts", "loss_count", "runs")

    def __init__(self, hosts: list[Host]) -> None:
        self.hosts = hosts
        self.loss_count = 0
        # Instants at which the crashing request ran.
        self.runs: list[float] = []
        # Innocent digests that some host has blocked, and pairs of host and digest.
        self.blocked: set[str] = set()
        self.blocked_pairs = 0

    def late_runs(self, stable_window_s: float) -> int:
        """Return the runs later than the stable window after the third one."""
        return sum(at > self.runs[2] + stable_window_s for at in self.runs[3:])


def make_hosts(count: int, *, random: Random) -> list[Host]:
    """Return hosts that follow each other as a tree, each with a second followed host."""
    hosts: list[Host] = []
    for number in range(count):
        followed = [hosts[(number - 1) // FOLLOWERS], random.choice(hosts)] if hosts else []
        hosts.append(Host(followed=followed, poll_at=random.random() * POLL_INTERVAL_S))
    return hosts


def innocent_digest(random: Random) -> str:
    """Return the digest of a request: one of the popular ones, or one that comes once."""
    if random.random() < POPULAR_FRACTION:
        return f"{int(POPULAR_REQUESTS * random.random() ** 2):016x}"
    return f"{random.getrandbits(64):016x}"


def run_model(
    *,
    host_count: int,
    losses_per_s: int,
    burst_s: float,
    duration_s: float,
    seed: int,
    with_poison: bool = True,
) -> Outcome:
    """Let a third of the servers fail over ``burst_s`` while a crashing request keeps coming."""
    random = Random(seed)
    hosts = make_hosts(host_count, random=random)
    outcome = Outcome(hosts)
    began = 1000.0
    dying = list(range(SERVERS // 3))
    random.shuffle(dying)
    now, poison_at, losses_due, restarts = began, began + 0.5, 0.0, 0
    while now < began + duration_s:
        if now < began + burst_s and losses_per_s:
            losses_due += losses_per_s * STEP_S
            # The servers fail one after the other, each with all its requests.
            at_once = max(1, int(len(dying) * STEP_S / burst_s))
            first = int(len(dying) * (now - began) / burst_s)
            failing = dying[first : first + at_once] or dying[-1:]
            while losses_due >= 1:
                losses_due -= 1
                outcome.loss_count += 1
                record(random.choice(hosts), innocent_digest(random), random.choice(failing), now)
        if with_poison and now >= poison_at:
            poison_at += POISON_INTERVAL_S
            host = random.choice(hosts)
            if not host.guard.is_blocked("poison", now=now):
                outcome.runs.append(now - began)
                restarts += 1
                server = random.randrange(SERVERS // 3, SERVERS)
                server -= server % SERVICES
                record(host, "poison", server, now, started_ms=restarts)
                for _ in range(BYSTANDERS):
                    record(
                        random.choice(hosts),
                        innocent_digest(random),
                        server,
                        now,
                        started_ms=restarts,
                    )
        for host in hosts:
            if now >= host.poll_at:
                host.poll_at += POLL_INTERVAL_S
                for followed in host.followed:
                    host.send_losses(followed, now=now)
                    followed.send_losses(host, now=now)
        now += STEP_S
        for host in hosts if int(now) != int(now - STEP_S) else ():
            blocked = [
                digest
                for digest in host.guard.losses_by_digest
                if digest != "poison" and host.guard.is_blocked(digest, now=now)
            ]
            outcome.blocked.update(blocked)
    outcome.blocked_pairs = sum(
        host.guard.is_blocked(digest, now=now)
        for host in hosts
        for digest in host.guard.losses_by_digest
        if digest != "poison"
    )
    return outcome


def record(host: Host, digest: str, server: int, now: float, *, started_ms: int = 1) -> None:
    """Record a loss at a host."""
    loss = ServerLoss(
        digest=digest,
        service=f"service-{server % SERVICES}",
        server=f"i-{server:04x}",
        started_ms=1_796_000_000_000 + started_ms,
        lost_at=now,
    )
    host.guard.record(loss, now=now)


def main() -> None:
    """Print the figures of one run."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--hosts", type=int, default=300)
    parser.add_argument("--losses", type=int, default=5000)
    parser.add_argument("--burst", type=float, default=3.0)
    parser.add_argument("--duration", type=float, default=30.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--no-poison", action="store_true")
    options = parser.parse_args()
    began = time.monotonic()
    outcome = run_model(
        host_count=options.hosts,
        losses_per_s=options.losses,
        burst_s=options.burst,
        duration_s=options.duration,
        seed=options.seed,
        with_poison=not options.no_poison,
    )
    hosts = outcome.hosts
    fullest = max(hosts, key=lambda host: len(host.guard.losses_by_digest))
    tracemalloc.start()
    kept = copy.deepcopy(fullest.guard)
    traced, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    print(f"{options.hosts} hosts, {outcome.loss_count} losses in {options.burst} s")
    print(f"largest message: {max(host.largest_bytes for host in hosts)} bytes")
    rates = sorted(host.sent_bytes / options.duration for host in hosts)
    print(f"bytes a second of a host: median {rates[len(rates) // 2]:.0f}, most {rates[-1]:.0f}")
    digests = len(kept.losses_by_digest)
    print(f"memory of the fullest guard at the end: {traced / 1024:.0f} KB, {digests} digests")
    print(f"innocent requests blocked: {len(outcome.blocked)} at any host")
    print(f"pairs of host and innocent request blocked at the end: {outcome.blocked_pairs}")
    print(f"runs of the crashing request: {[round(at, 2) for at in outcome.runs]}")
    if len(outcome.runs) > 3:
        print(f"late runs, over 4 s after the third: {outcome.late_runs(4.0)}")
    print(f"took {time.monotonic() - began:.0f} s", file=sys.stderr)


if __name__ == "__main__":
    main()
