"""Requests whose servers are lost again and again: the request may be what ends them.

A request is named by a digest of all that a server sees of it. Servers of one service that were
lost while they had the request are counted; from the third one on it is not sent any more.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

import xxhash

# Servers of one service that one request may cost.
LOST_LIMIT = 3
# Losses count for this time, seconds. A server is back after some seconds, and the request may
# come again later.
MEMORY_S = 60.0
DIGESTS_LIMIT = 1024
# Losses that other hosts are told: a single one is mostly a broken connection.
SHARED_FROM = 2


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


class LostServer:
    """A server that was lost while it had a request; ``at`` is a ``time.monotonic()`` instant."""

    __slots__ = ("at", "digest", "server", "service")

    def __init__(self, *, digest: str, service: str, server: str, at: float) -> None:
        self.digest = digest
        self.service = service
        self.server = server
        self.at = at


class CrashGuard:
    """Lost servers by request; the caller holds a lock.

    Examples
    --------
    >>> guard = CrashGuard()
    >>> for server in ("i-1", "i-2", "i-3"):
    ...     guard.note(LostServer(digest="d", service="desk", server=server, at=1.0))
    >>> guard.is_suspect("d", now=2.0), guard.is_suspect("d", now=90.0)
    (True, False)
    """

    __slots__ = ("lost",)

    def __init__(self) -> None:
        self.lost: OrderedDict[str, dict[tuple[str, str], LostServer]] = OrderedDict()

    def note(self, loss: LostServer) -> None:
        """Count a lost server, seen here or by another host."""
        known = self.lost.setdefault(loss.digest, {})
        known.setdefault((loss.service, loss.server), loss)
        self.lost.move_to_end(loss.digest)
        if len(self.lost) > DIGESTS_LIMIT:
            self.lost.popitem(last=False)

    def recent(self, digest: str, *, now: float) -> list[LostServer]:
        """Return the losses of a request that still count."""
        known = self.lost.get(digest, {})
        return [loss for loss in known.values() if now - loss.at < MEMORY_S]

    def is_suspect(self, digest: str, *, now: float) -> bool:
        """Whether the request may not be sent any more."""
        if digest not in self.lost:
            return False
        services = [loss.service for loss in self.recent(digest, now=now)]
        return any(services.count(service) >= LOST_LIMIT for service in set(services))

    def shared(self, *, now: float) -> list[LostServer]:
        """Return what other hosts should know."""
        return [
            loss
            for digest in self.lost
            if len(losses := self.recent(digest, now=now)) >= SHARED_FROM
            for loss in losses
        ][-LOST_LIMIT * 32 :]

    def merge(self, losses: Iterable[LostServer]) -> None:
        """Take in what another host told."""
        for loss in losses:
            self.note(loss)
