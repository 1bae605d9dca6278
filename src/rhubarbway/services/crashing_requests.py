"""Service that detects crashing requests from the server losses that all entry hosts observe."""

from __future__ import annotations

import threading
import time
from collections.abc import Iterable
from random import Random

from rhubarbway.decisions.crash_guard import MAX_TRIAL_DELAY_S, CrashGuard, ServerLoss
from rhubarbway.kernel import Kernel
from rhubarbway.services.log import component_logger


class CrashingRequestService:
    """Counts the servers lost with each forwarded request and blocks those that crash servers.

    The service makes a ``CrashGuard`` available to several tasks.
    """

    __slots__ = ("guard", "lock", "log")

    def __init__(self) -> None:
        self.guard = CrashGuard(trial_delay_s=Random().uniform(0.0, MAX_TRIAL_DELAY_S))
        self.lock = threading.Lock()
        self.log = component_logger("losses")

    def start(self, kernel: Kernel) -> None:
        """Do nothing: the service depends on no other one."""

    def stop(self) -> None:
        """Do nothing: the service holds no resources."""

    def record_loss(self, digest: str, *, service: str, server: str, started_ms: int = 0) -> None:
        """Record that a server was lost while it processed a request.

        Parameters
        ----------
        digest : str
            Digest of the request's content.
        started_ms : int
            Start of the server's process as the registry states it, 0 if unknown.
        """
        now = time.monotonic()
        with self.lock:
            was_blocked = self.guard.is_blocked(digest, now=now)
            loss = ServerLoss(
                digest=digest, service=service, server=server, started_ms=started_ms, lost_at=now
            )
            self.guard.record(loss, now=now)
            is_blocked = self.guard.is_blocked(digest, now=now)
        if is_blocked and not was_blocked:
            self.log.warning("Crashing request blocked.", digest=digest, service=service)

    def is_blocked(self, digest: str) -> bool:
        """Whether a request must not be sent to any server."""
        # No server was lost with most requests; for those, no lock is taken.
        if digest not in self.guard.losses_by_digest:
            return False
        with self.lock:
            return self.guard.is_blocked(digest, now=time.monotonic())

    def losses_to_share(self) -> list[ServerLoss]:
        """Return the server losses to publish to other hosts."""
        if not self.guard.losses_by_digest:
            return []
        with self.lock:
            return self.guard.losses_to_share(now=time.monotonic())

    def singles_to_share(self) -> list[ServerLoss]:
        """Return the single server losses to publish to other hosts."""
        if not self.guard.losses_by_digest:
            return []
        with self.lock:
            return self.guard.singles_to_share(now=time.monotonic())

    def merge(self, losses: Iterable[ServerLoss]) -> None:
        """Merge the server losses that another host has published."""
        with self.lock:
            self.guard.merge(losses, now=time.monotonic())
