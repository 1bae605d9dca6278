"""Notices that backend servers give in their replies, and how long each of them holds.

A server may announce that it leaves, and a server that refuses a request may ask for no further
ones for a time. The first concerns all entry hosts, the second only the host that was asked.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable

from rhubarbway.model import Incarnation

# Longest time for which a server can ask for no requests, seconds. It bounds the effect of a server
# that states an absurd time, and is longer than any overload lasts.
MAX_QUIET_S = 3600.0
# Number of marks kept; beyond it the oldest are dropped. Only servers that leave have one.
MAX_MARKS = 4096
# Time for which a mark is sent to other hosts although the registry does not list the server,
# seconds. Within it, all hosts of a large fleet receive the mark or the deletion.
UNLISTED_SHARE_S = 10.0
# Marks in one message to another host; the newest are sent.
MAX_SHARED_MARKS = 256


class LeavingMark:
    """A server process that has announced that it leaves.

    Parameters
    ----------
    incarnation : tuple
        ``BackendServer.incarnation`` of the process.
    announced_at : float
        Instant of ``time.monotonic()`` at which a host received the announcement.
    """

    __slots__ = ("announced_at", "incarnation")

    def __init__(self, *, incarnation: Incarnation, announced_at: float) -> None:
        self.incarnation = incarnation
        self.announced_at = announced_at


class ServerNotices:
    """The notices of server processes; the caller holds a lock.

    They are kept by incarnation and apart from the pools: a server whose entry is deleted and
    written again, or that gets a new connection, is still bound by what it said, while another
    process at its address is not.

    Examples
    --------
    >>> notices = ServerNotices()
    >>> gone = ("i-1", 5, "10.0.0.1:80", "desk")
    >>> notices.record_leaving(gone, now=1.0), notices.record_leaving(gone, now=2.0)
    (True, False)
    >>> notices.is_leaving(gone), notices.is_leaving(("i-1", 6, "10.0.0.1:80", "desk"))
    (True, False)
    """

    __slots__ = ("leaving", "quiet_until")

    def __init__(self) -> None:
        # Marks in the order of their announcement on this host.
        self.leaving: dict[Incarnation, LeavingMark] = {}
        self.quiet_until: dict[Incarnation, float] = {}

    def record_leaving(self, incarnation: Incarnation, *, now: float) -> bool:
        """Record that a process leaves; return whether that is new."""
        return self.merge([LeavingMark(incarnation=incarnation, announced_at=now)])

    def merge(self, marks: Iterable[LeavingMark]) -> bool:
        """Merge marks of this host or of others; return whether one is new.

        A mark holds until its process is gone, so a repeated one changes nothing.
        """
        new = [mark for mark in marks if mark.incarnation not in self.leaving]
        for mark in new:
            self.leaving[mark.incarnation] = mark
        excess = max(0, len(self.leaving) - MAX_MARKS)
        for incarnation in list(self.leaving)[:excess]:
            del self.leaving[incarnation]
        return bool(new)

    def is_leaving(self, incarnation: Incarnation) -> bool:
        """Whether this process has announced that it leaves, to this host or to another one."""
        return incarnation in self.leaving

    def record_quiet(self, incarnation: Incarnation, quiet_s: float, *, now: float) -> float:
        """Record that a process wants no requests for a time; return the end of that time.

        A later statement never shortens the time, since each one is a request of its own.
        """
        until = max(self.quiet_end(incarnation), now + min(quiet_s, MAX_QUIET_S))
        self.quiet_until[incarnation] = until
        for expired in [key for key, end in self.quiet_until.items() if end <= now]:
            del self.quiet_until[expired]
        return until

    def quiet_end(self, incarnation: Incarnation) -> float:
        """Return the instant until which a process wants no requests; -inf if it wants them."""
        return self.quiet_until.get(incarnation, float("-inf"))

    def marks_to_share(self, *, listed: Collection[Incarnation], now: float) -> list[LeavingMark]:
        """Return the marks that other hosts may need, the newest last.

        Parameters
        ----------
        listed : collection of tuple
            Incarnations that the registry lists as serving. A host that reads the registry needs
            the marks of just these, and for a moment those of servers that it does not list.
        """
        marks = [
            mark
            for mark in self.leaving.values()
            if mark.incarnation in listed or now - mark.announced_at < UNLISTED_SHARE_S
        ]
        return marks[-MAX_SHARED_MARKS:]
