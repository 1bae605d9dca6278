"""Interface by which connections count the bytes that they hold for a request."""

from __future__ import annotations

from typing import Protocol

# Bodies up to this size are not counted one by one: the share of their connection covers them.
UNCOUNTED_BYTES = 4096


class Account(Protocol):
    """Bytes held for one request; used by several tasks."""

    def hold(self, count: int, *, deadline: float) -> bool:
        """Reserve bytes of a body, waiting for a short time; return whether they are free."""

    def read(self, count: int, *, deadline: float) -> bool:
        """Reserve bytes of a reply that is to be read, waiting for a short time."""

    def end_read(self, reserved: int, *, kept: int) -> None:
        """Replace what was reserved for a reply by what is kept of it."""

    def settle(self, count: int) -> None:
        """Set what the request holds, once its answer has replaced all else."""

    def close(self) -> None:
        """Free all that the request holds."""


class UncountedAccount:
    """Account of a connection whose owner has no budget."""

    __slots__ = ()

    def hold(self, count: int, *, deadline: float) -> bool:
        """Return True."""
        return True

    def read(self, count: int, *, deadline: float) -> bool:
        """Return True."""
        return True

    def end_read(self, reserved: int, *, kept: int) -> None:
        """Do nothing."""

    def settle(self, count: int) -> None:
        """Do nothing."""

    def close(self) -> None:
        """Do nothing."""


UNCOUNTED = UncountedAccount()
