"""Detection of crashing requests (queries of death), which make server after server fail.

A request is identified by a digest of its method, host, target and body. The guard counts the
servers of a service that were lost with the request in flight, and blocks the request after the
third one. It is used by the gateway; ``crash_suspects`` serves the same purpose in the daemon for
queries.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

import xxhash

# Number of lost servers of one service that blocks a request.
BLOCKING_LOSS_COUNT = 3
# Time for which a loss counts, seconds. It is longer than the restart of a server, which takes some
# seconds, since the request may be repeated after the restart.
LOSS_LIFETIME_S = 60.0
# Maximum number of digests whose losses are kept. The digest for which no loss was observed or
# received for the longest time is dropped first.
MAX_DIGESTS = 1024
# Number of losses of a request from which they are shared with other hosts; a single loss is mostly
# a broken connection.
MIN_SHARED_LOSSES = 2


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
    """Loss of a server with a request in flight, at an instant of ``time.monotonic()``."""

    __slots__ = ("lost_at", "digest", "server", "service")

    def __init__(self, *, digest: str, service: str, server: str, lost_at: float) -> None:
        self.digest = digest
        self.service = service
        self.server = server
        self.lost_at = lost_at


class CrashGuard:
    """Lost servers by the digest of the request; the caller holds a lock.

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
        # Losses by digest of the request, then by service and server.
        self.losses_by_digest: OrderedDict[str, dict[tuple[str, str], ServerLoss]] = OrderedDict()

    def record(self, loss: ServerLoss) -> None:
        """Record a lost server, observed by this host or another one.

        Of several losses of the same server with the same request, the first one is kept, even
        after it has expired.
        """
        losses = self.losses_by_digest.setdefault(loss.digest, {})
        losses.setdefault((loss.service, loss.server), loss)
        self.losses_by_digest.move_to_end(loss.digest)
        if len(self.losses_by_digest) > MAX_DIGESTS:
            self.losses_by_digest.popitem(last=False)

    def recent_losses(self, digest: str, *, now: float) -> list[ServerLoss]:
        """Return the losses of a request that have not expired."""
        losses = self.losses_by_digest.get(digest, {})
        return [loss for loss in losses.values() if now - loss.lost_at < LOSS_LIFETIME_S]

    def is_blocked(self, digest: str, *, now: float) -> bool:
        """Whether the request must not be sent any more."""
        if digest not in self.losses_by_digest:
            return False
        services = [loss.service for loss in self.recent_losses(digest, now=now)]
        return any(services.count(service) >= BLOCKING_LOSS_COUNT for service in set(services))

    def losses_to_share(self, *, now: float) -> list[ServerLoss]:
        """Return the losses to share with other hosts.

        They are limited to the number of losses that block 32 requests. Losses of the digests for
        which one was observed or received most recently take precedence.
        """
        return [
            loss
            for digest in self.losses_by_digest
            if len(losses := self.recent_losses(digest, now=now)) >= MIN_SHARED_LOSSES
            for loss in losses
        ][-BLOCKING_LOSS_COUNT * 32 :]

    def merge(self, losses: Iterable[ServerLoss]) -> None:
        """Merge the losses that another host has shared."""
        for loss in losses:
            self.record(loss)
