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
    LossAction,
    block_state,
    process_relation,
)

# Maximum number of digests whose losses are kept. The digest for which no loss was observed or
# received for the longest time is dropped first.
MAX_DIGESTS = 1024
# Losses kept of a request at one service: those of the first block, and one for each further block.
MAX_LOSSES_PER_SERVICE = 8
# Number of losses of a request from which they are shared with other hosts; a single loss is mostly
# a broken connection.
MIN_SHARED_LOSSES = 2
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

    ``started_ms`` is the start of the server's process as the registry states it, 0 if unknown.
    """

    __slots__ = ("digest", "lost_at", "server", "service", "started_ms")

    def __init__(
        self, *, digest: str, service: str, server: str, lost_at: float, started_ms: int = 0
    ) -> None:
        self.digest = digest
        self.service = service
        self.server = server
        self.started_ms = started_ms
        self.lost_at = lost_at


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

    __slots__ = ("losses_by_digest", "trial_delay_s")

    def __init__(self, *, trial_delay_s: float = 0.0) -> None:
        self.trial_delay_s = trial_delay_s
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
        touched = set()
        for loss in sorted(losses, key=lambda loss: loss.lost_at):
            services = self.losses_by_digest.setdefault(loss.digest, {})
            add_loss(services.setdefault(loss.service, []), loss)
            self.losses_by_digest.move_to_end(loss.digest)
            touched.add(loss.digest)
        for digest in touched:
            self.drop_expired(digest, now=now)
        while len(self.losses_by_digest) > MAX_DIGESTS:
            self.losses_by_digest.popitem(last=False)

    def drop_expired(self, digest: str, *, now: float) -> None:
        """Drop the losses of a request that neither count nor keep it blocked or on trial."""
        services = self.losses_by_digest[digest]
        for service, losses in list(services.items()):
            kept = effective_losses(losses, now=now)
            if kept:
                services[service] = kept
            else:
                del services[service]
        if not services:
            del self.losses_by_digest[digest]

    def is_blocked(self, digest: str, *, now: float) -> bool:
        """Whether the request must not be sent any more."""
        return any(
            self.is_blocked_at_service(losses, now=now)
            for losses in self.losses_by_digest.get(digest, {}).values()
        )

    def is_blocked_at_service(self, losses: list[ServerLoss], *, now: float) -> bool:
        """Whether the losses at one service block a request at this host."""
        state = block_state((loss.lost_at for loss in losses), now=now)
        waits_for_trial = (
            state.phase is BlockPhase.ON_TRIAL and now < state.since + self.trial_delay_s
        )
        return PHASE_RULES[state.phase].blocks or waits_for_trial

    def losses_to_share(self, *, now: float) -> list[ServerLoss]:
        """Return the losses to share with other hosts.

        They are limited to the number of losses that block 32 requests. Losses of the digests for
        which one was observed or received most recently take precedence.
        """
        shared: list[ServerLoss] = []
        for services in self.losses_by_digest.values():
            losses = [
                loss for kept in services.values() for loss in effective_losses(kept, now=now)
            ]
            if len(losses) >= MIN_SHARED_LOSSES:
                shared += losses
        return shared[-BLOCKING_LOSS_COUNT * 32 :]


def add_loss(losses: list[ServerLoss], loss: ServerLoss) -> None:
    """Add a loss to those of the same request at the same service, unless it has no effect."""
    for known in losses:
        if known.server != loss.server:
            continue
        relation = process_relation(loss.started_ms, known.started_ms)
        is_near = abs(loss.lost_at - known.lost_at) < LOSS_LIFETIME_S
        action = LOSS_RULES[relation, is_near]
        if action is LossAction.ADOPT_START:
            known.started_ms = loss.started_ms
        if action is not LossAction.KEEP:
            return
    state = block_state((known.lost_at for known in losses), now=loss.lost_at)
    if state.phase is BlockPhase.OPEN or state.counts(loss.lost_at):
        losses.append(loss)
        del losses[:-MAX_LOSSES_PER_SERVICE]


def effective_losses(losses: list[ServerLoss], *, now: float) -> list[ServerLoss]:
    """Return the losses at one service that count, or keep the request blocked or on trial."""
    if block_state((loss.lost_at for loss in losses), now=now).phase is not BlockPhase.OPEN:
        return losses
    return [loss for loss in losses if now - loss.lost_at < LOSS_LIFETIME_S]
