"""What entry hosts know together about requests that end their servers."""

from __future__ import annotations

import threading
import time
from collections.abc import Iterable

from rhubarbway.decisions.crash_guard import CrashGuard, LostServer
from rhubarbway.kernel import Kernel
from rhubarbway.services.log import component_logger


class LossService:
    """A ``CrashGuard`` that several tasks use."""

    __slots__ = ("guard", "lock", "log")

    def __init__(self) -> None:
        self.guard = CrashGuard()
        self.lock = threading.Lock()
        self.log = component_logger("losses")

    def start(self, kernel: Kernel) -> None:
        """Need no other service."""

    def stop(self) -> None:
        """Hold nothing open."""

    def note(self, digest: str, *, service: str, server: str) -> None:
        """Count a server that was lost while it had a request."""
        now = time.monotonic()
        with self.lock:
            before = self.guard.is_suspect(digest, now=now)
            self.guard.note(LostServer(digest=digest, service=service, server=server, at=now))
            suspect = self.guard.is_suspect(digest, now=now)
        if suspect and not before:
            self.log.warning("A request is not sent any more.", digest=digest, service=service)

    def is_suspect(self, digest: str) -> bool:
        """Whether a request may not be sent any more."""
        # The usual case takes no lock.
        if digest not in self.guard.lost:
            return False
        with self.lock:
            return self.guard.is_suspect(digest, now=time.monotonic())

    def shared(self) -> list[LostServer]:
        """Return what other hosts should know."""
        if not self.guard.lost:
            return []
        with self.lock:
            return self.guard.shared(now=time.monotonic())

    def merge(self, losses: Iterable[LostServer]) -> None:
        """Take in what another host told."""
        with self.lock:
            self.guard.merge(losses)
