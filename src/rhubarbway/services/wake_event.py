"""Event that wakes a task which waits for sockets at the same time."""

from __future__ import annotations

import os
import threading


class WakeEvent:
    """An event descriptor for ``poll``, which one task owns and any task may set.

    The lock spans the check and the write. Without it the descriptor could be closed in between,
    and its number could belong to a connection by the time of the write.

    Attributes
    ----------
    descriptor : int or None
        Readable while the event is set; None once it is closed. Only the owner polls it.
    """

    __slots__ = ("descriptor", "lock")

    def __init__(self) -> None:
        self.descriptor: int | None = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)
        self.lock = threading.Lock()

    def set(self) -> None:
        """Set the event, unless it is closed."""
        with self.lock:
            if self.descriptor is not None:
                os.eventfd_write(self.descriptor, 1)

    def clear(self) -> None:
        """Clear the event. Only the owner calls this, while the event is set and open.

        Raises
        ------
        BlockingIOError
            If the event is not set.
        """
        assert self.descriptor is not None
        os.eventfd_read(self.descriptor)

    def close(self) -> None:
        """Close the descriptor; later calls of ``set`` have no effect."""
        with self.lock:
            descriptor, self.descriptor = self.descriptor, None
            if descriptor is not None:
                os.close(descriptor)
