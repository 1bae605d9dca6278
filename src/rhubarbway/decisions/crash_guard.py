"""Detection of crashing requests (queries of death), which make server after server fail.

A request is identified by a digest of its method, host, target and body. The guard counts the
servers of a service that were lost with the request in flight, and blocks the request after the
third one; ``crash_blocks`` has the rules. It is used by the gateway; ``crash_suspects`` serves the
same purpose in the daemon for queries.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

import xxhash

from rhubarbway.decisions.crash_blocks import (
    BLOCKING_LOSS_COUNT,
    LOSS_LIFETIME_S,
    LOSS_RULES,
    PHASE_RULES,
    BlockPhase,
    BlockState,
    LossAction,
    block_state,
    process_relation,
)

# Maximum number of digests whose losses are kept. The digest for which no loss was observed or
# received for the longest time is dropped first.
MAX_DIGESTS = 1024
# Losses kept of a request at one service: those of the first block, and one for each further block.
MAX_LOSSES_PER_SERVICE = 8
# Number of losses kept of all requests, which only requests to many services reach.
MAX_LOSSES = 8192
# Number of losses of a request from which they count at all hosts; a single loss is mostly a broken
# connection, or a server that fails with all its requests.
MIN_SHARED_LOSSES = 2
# Number of single losses in one message to another host; the newest are sent.
MAX_SHARED_SINGLES = 32
# Age from which a single loss is sent, seconds. By then a host knows whether it was one of many.
MIN_SINGLE_AGE_S = 1.0
# Time for which a host sends a single loss after it has learned of it, seconds. Hosts ask each
# other about once a second, so each one is told two or three times.
SINGLE_SHARING_S = 3.0
# Age up to which a single loss is sent, seconds. Within it, all hosts of a large fleet receive it.
MAX_SINGLE_AGE_S = 10.0
# Number of servers that may be lost about the time of a single loss, with other requests only. If
# more are lost, servers fail for another reason, and popular requests are among those in flight.
MAX_OTHER_SERVERS = 6
# Lost servers kept for each second, and the number of seconds.
MAX_SERVERS_PER_SECOND = 64
MAX_SECONDS = 64
# Longest time by which a host prolongs the first block of each request, seconds. Each host draws
# its own, so that a request which comes at many hosts is tried at one of them first.
MAX_TRIAL_DELAY_S = 30.0


def request_digest(method: str, host: str, target: str, body: bytes) -> str:
    """Return a digest of a request that identifies its content.

    Examples
    --------
    >>> request_digest("GET", "a", "/x", b"") == request_digest("GET", "a", "/y", b"")
    False
    """
    digest = xxhash.xxh3_64()
    for part in (method.encode(), host.encode(), target.encode()):
        digest.update(part + b"\0")
    digest.update(body)
    return digest.hexdigest()


class ServerLoss:
    """Loss of a server with a request in flight, at an instant of ``time.monotonic()``.

    ``started_ms`` is the start of the server's process as the registry states it, 0 if unknown. A
    loss ``is_single`` if the host that announced it knew of no other one of the same request; it
    counts only if few other servers were lost at about the same time. ``learned_at`` is the instant
    at which this host observed or received the loss; the guard sets it.
    """

    __slots__ = (
        "digest",
        "is_single",
        "learned_at",
        "lost_at",
        "server",
        "service",
        "started_ms",
    )

    def __init__(
        self,
        *,
        digest: str,
        service: str,
        server: str,
        lost_at: float,
        started_ms: int = 0,
        is_single: bool = False,
    ) -> None:
        self.digest = digest
        self.service = service
        self.server = server
        self.started_ms = started_ms
        self.lost_at = lost_at
        self.is_single = is_single
        self.learned_at = lost_at


class LostServers:
    """The servers lost in each of the last seconds, with any request.

    Examples
    --------
    >>> servers = LostServers()
    >>> servers.record("i-1", lost_at=7.9)
    >>> servers.has_others({"i-2"}, lost_at=8.1, count=1)
    True
    >>> servers.has_others({"i-1"}, lost_at=8.1, count=1)
    False
    """

    __slots__ = ("by_second",)

    def __init__(self) -> None:
        self.by_second: dict[int, set[str]] = {}

    def record(self, server: str, *, lost_at: float) -> None:
        """Record a lost server; beyond the limits, the earliest second is dropped."""
        second = int(lost_at)
        if second not in self.by_second and len(self.by_second) >= MAX_SECONDS:
            earliest = min(self.by_second)
            if second < earliest:
                return
            del self.by_second[earliest]
        servers = self.by_second.setdefault(second, set())
        if len(servers) < MAX_SERVERS_PER_SECOND:
            servers.add(server)

    def has_others(self, servers: set[str], *, lost_at: float, count: int) -> bool:
        """Whether so many other servers were lost in the second of an instant or beside it."""
        others: set[str] = set()
        for second in range(int(lost_at) - 1, int(lost_at) + 2):
            others |= self.by_second.get(second, set()) - servers
            if len(others) >= count:
                return True
        return False


class CrashGuard:
    """Lost servers by the digest of the request; the caller holds a lock.

    ``trial_delay_s`` prolongs the first block of each request at this host.

    Examples
    --------
    >>> guard = CrashGuard()
    >>> for server in ("i-1", "i-2", "i-3"):
    ...     guard.record(
    ...         ServerLoss(digest="d", service="desk", server=server, lost_at=1.0), now=1.0
    ...     )
    >>> guard.is_blocked("d", now=2.0), guard.is_blocked("d", now=90.0)
    (True, False)
    """

    __slots__ = ("losses_by_digest", "lost_servers", "trial_delay_s")

    def __init__(self, *, trial_delay_s: float = 0.0) -> None:
        self.trial_delay_s = trial_delay_s
        self.lost_servers = LostServers()
        # Losses by digest of the request, then by service.
        self.losses_by_digest: OrderedDict[str, dict[str, list[ServerLoss]]] = OrderedDict()

    def record(self, loss: ServerLoss, *, now: float) -> None:
        """Record a lost server, observed by this host."""
        self.merge([loss], now=now)

    def merge(self, losses: Iterable[ServerLoss], *, now: float) -> None:
        """Merge lost servers that this host or another one has observed.

        All losses are added before those that have no effect any more are dropped, since those of
        a past block only have one together.
        """
        touched: set[str] = set()
        for loss in sorted(losses, key=lambda loss: loss.lost_at):
            loss.learned_at = now
            self.lost_servers.record(loss.server, lost_at=loss.lost_at)
            self.add(self.losses_by_digest.setdefault(loss.digest, {}), loss)
            self.losses_by_digest.move_to_end(loss.digest)
            touched.add(loss.digest)
        for digest in touched:
            self.settle(digest, now=now)
        if touched:
            self.limit_memory()

    def add(self, services: dict[str, list[ServerLoss]], loss: ServerLoss) -> None:
        """Add a loss to those of the same request, unless it has no effect."""
        losses = services.setdefault(loss.service, [])
        for known in losses:
            if known.server != loss.server:
                continue
            relation = process_relation(loss.started_ms, known.started_ms)
            is_near = abs(loss.lost_at - known.lost_at) < LOSS_LIFETIME_S
            action = LOSS_RULES[relation, is_near]
            if action is LossAction.ADOPT_START:
                known.started_ms = loss.started_ms
            if action is not LossAction.KEEP:
                known.is_single = known.is_single and loss.is_single
                return
        state = self.state_of(losses, servers_of(services), now=loss.lost_at)
        if state.phase is BlockPhase.OPEN or state.counts(loss.lost_at):
            losses.append(loss)
            del losses[:-MAX_LOSSES_PER_SERVICE]

    def settle(self, digest: str, *, now: float) -> None:
        """Apply what the losses of a request show together.

        Losses that block the request count for all hosts, and those that neither count nor keep it
        blocked or on trial are dropped.
        """
        services = self.losses_by_digest[digest]
        servers = servers_of(services)
        for service, losses in list(services.items()):
            if PHASE_RULES[self.state_of(losses, servers, now=now).phase].blocks:
                for loss in self.counted(losses, servers):
                    loss.is_single = False
            kept = self.effective(losses, servers, now=now)
            if kept:
                services[service] = kept
            else:
                del services[service]
        if not services:
            del self.losses_by_digest[digest]

    def limit_memory(self) -> None:
        """Drop the requests with one loss first, so that many of them end no block."""
        loss_count = sum(loss_count_of(services) for services in self.losses_by_digest.values())
        while len(self.losses_by_digest) > MAX_DIGESTS or loss_count > MAX_LOSSES:
            dropped = next(
                (
                    digest
                    for digest, services in self.losses_by_digest.items()
                    if loss_count_of(services) == 1
                ),
                next(iter(self.losses_by_digest)),
            )
            loss_count -= loss_count_of(self.losses_by_digest.pop(dropped))

    def counted(self, losses: list[ServerLoss], servers: set[str]) -> list[ServerLoss]:
        """Return the losses at one service that count, whatever their age.

        Parameters
        ----------
        servers : set of str
            The servers of all services that were lost with the request.
        """
        return [loss for loss in losses if not loss.is_single or self.is_isolated(loss, servers)]

    def is_isolated(self, loss: ServerLoss, servers: set[str]) -> bool:
        """Whether few servers other than these were lost at about the time of a loss."""
        return not self.lost_servers.has_others(
            servers, lost_at=loss.lost_at, count=MAX_OTHER_SERVERS + 1
        )

    def state_of(self, losses: list[ServerLoss], servers: set[str], *, now: float) -> BlockState:
        """Return the phase of a request with these losses at one service."""
        return block_state((loss.lost_at for loss in self.counted(losses, servers)), now=now)

    def effective(
        self, losses: list[ServerLoss], servers: set[str], *, now: float
    ) -> list[ServerLoss]:
        """Return the losses at one service that may count, or keep a block or trial in force."""
        if self.state_of(losses, servers, now=now).phase is not BlockPhase.OPEN:
            return losses
        return [loss for loss in losses if now - loss.lost_at < LOSS_LIFETIME_S]

    def is_blocked(self, digest: str, *, now: float) -> bool:
        """Whether the request must not be sent any more."""
        services = self.losses_by_digest.get(digest, {})
        servers = servers_of(services)
        states = [self.state_of(losses, servers, now=now) for losses in services.values()]
        return any(
            PHASE_RULES[state.phase].blocks
            or (state.phase is BlockPhase.ON_TRIAL and now < state.since + self.trial_delay_s)
            for state in states
        )

    def losses_to_share(self, *, now: float) -> list[ServerLoss]:
        """Return the losses that count at the hosts which receive them.

        They are limited to the number of losses that block 32 requests. Losses of the digests for
        which one was observed or received most recently take precedence.
        """
        shared: list[ServerLoss] = []
        for services in self.losses_by_digest.values():
            if loss_count_of(services) < MIN_SHARED_LOSSES:
                continue
            servers = servers_of(services)
            losses = [
                loss
                for kept in services.values()
                for loss in self.effective(kept, servers, now=now)
                if not loss.is_single
            ]
            if len(losses) >= MIN_SHARED_LOSSES:
                shared += losses
        return shared[-BLOCKING_LOSS_COUNT * 32 :]

    def singles_to_share(self, *, now: float) -> list[ServerLoss]:
        """Return the isolated losses of requests whose losses do not yet count at all hosts.

        While many servers are lost there are none, so the messages stay small.
        """
        singles: list[ServerLoss] = []
        for services in reversed(self.losses_by_digest.values()):
            due = [
                loss
                for losses in services.values()
                for loss in losses
                if is_due_as_single(loss, now=now)
            ]
            if not due or counts_at_all_hosts(services):
                continue
            servers = servers_of(services)
            singles += [loss for loss in due if self.is_isolated(loss, servers)]
            if len(singles) >= MAX_SHARED_SINGLES:
                break
        return singles[:MAX_SHARED_SINGLES]


def is_due_as_single(loss: ServerLoss, *, now: float) -> bool:
    """Whether the time to send a single loss has come and is not over."""
    due_at = max(loss.learned_at, loss.lost_at + MIN_SINGLE_AGE_S)
    return due_at <= now < min(due_at + SINGLE_SHARING_S, loss.lost_at + MAX_SINGLE_AGE_S)


def counts_at_all_hosts(services: dict[str, list[ServerLoss]]) -> bool:
    """Whether all losses of a request are shared as ones that count."""
    losses = [loss for kept in services.values() for loss in kept]
    return len(losses) >= MIN_SHARED_LOSSES and not any(loss.is_single for loss in losses)


def loss_count_of(services: dict[str, list[ServerLoss]]) -> int:
    """Return the number of losses of a request at all services."""
    return sum(len(losses) for losses in services.values())


def servers_of(services: dict[str, list[ServerLoss]]) -> set[str]:
    """Return the servers of all services that were lost with a request."""
    return {loss.server for losses in services.values() for loss in losses}
