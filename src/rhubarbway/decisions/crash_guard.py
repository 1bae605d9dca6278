"""Requests whose servers are lost again and again: the request may be what ends them.

A request is named by a digest of all that a server sees of it. Servers of one service that were
lost while they had the request are counted; from the third one on it is not sent any more.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

import xxhash

# Servers of one service that one request may cost.
MAX_LOST_SERVERS = 3
# Losses count for this time, seconds. A server is back after some seconds, and the request may
# come again later.
LOSS_LIFETIME_S = 60.0
MAX_DIGESTS = 1024
# Losses that other hosts are told: a single one is mostly a broken connection.
MIN_SHARED_LOSSES = 2


def request_digest(method: str, host: str, target: str, body: bytes) -> str:
    """Return the name of a request by its content.

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
    """A server that was lost while it had a request; ``at`` is a ``time.monotonic()`` instant."""

    __slots__ = ("lost_at", "digest", "server", "service")

    def __init__(self, *, digest: str, service: str, server: str, lost_at: float) -> None:
        self.digest = digest
        self.service = service
        self.server = server
        self.lost_at = lost_at


class CrashGuard:
    """Lost servers by request; the caller holds a lock.

    Examples
    --------
    >>> guard = CrashGuard()
    >>> for server in ("i-1", "i-2", "i-3"):
    ...     guard.record(ServerLoss(digest="d", service="desk", server=server, lost_at=1.0))
    >>> guard.is_blocked("d", now=2.0), guard.is_blocked("d", now=90.0)
    (True, False)
    """

    __slots__ = ("losses_by_digest",)

    def __init__(self) -> None:
        self.losses_by_digest: OrderedDict[str, dict[tuple[str, str], ServerLoss]] = OrderedDict()

    def record(self, loss: ServerLoss) -> None:
        """Count a lost server, seen here or by another host."""
        losses = self.losses_by_digest.setdefault(loss.digest, {})
        losses.setdefault((loss.service, loss.server), loss)
        self.losses_by_digest.move_to_end(loss.digest)
        if len(self.losses_by_digest) > MAX_DIGESTS:
            self.losses_by_digest.popitem(last=False)

    def recent_losses(self, digest: str, *, now: float) -> list[ServerLoss]:
        """Return the losses of a request that still count."""
        losses = self.losses_by_digest.get(digest, {})
        return [loss for loss in losses.values() if now - loss.lost_at < LOSS_LIFETIME_S]

    def is_blocked(self, digest: str, *, now: float) -> bool:
        """Whether the request may not be sent any more."""
        if digest not in self.losses_by_digest:
            return False
        services = [loss.service for loss in self.recent_losses(digest, now=now)]
        return any(services.count(service) >= MAX_LOST_SERVERS for service in set(services))

    def losses_to_share(self, *, now: float) -> list[ServerLoss]:
        """Return what other hosts should know."""
        return [
            loss
            for digest in self.losses_by_digest
            if len(losses := self.recent_losses(digest, now=now)) >= MIN_SHARED_LOSSES
            for loss in losses
        ][-MAX_LOST_SERVERS * 32 :]

    def merge(self, losses: Iterable[ServerLoss]) -> None:
        """Take in what another host told."""
        for loss in losses:
            self.record(loss)
