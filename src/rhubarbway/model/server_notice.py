"""What a backend server states about itself in a reply, apart from the reply's content."""

from __future__ import annotations

# ``BackendServer.incarnation``: id, start in Unix milliseconds, address and service.
Incarnation = tuple[str, int, str, str]


class StatedLoad:
    """Load of a server at the moment of a reply.

    Attributes
    ----------
    running, waiting : int
        Requests that run, and that wait for a slot.
    slots : int
        Requests that the server can run concurrently.
    slowdown : float
        Duration of work on the server's machine at this moment, relative to the usual one.
    """

    __slots__ = ("running", "slowdown", "slots", "waiting")

    def __init__(self, *, running: int, waiting: int, slots: int, slowdown: float = 1.0) -> None:
        self.running = running
        self.waiting = waiting
        self.slots = slots
        self.slowdown = slowdown


class ServerNotice:
    """Statements of a server in one reply.

    Attributes
    ----------
    load : StatedLoad or None
        Load of the server; None if it states none.
    leaving : bool
        Whether the server shuts down soon and wants no new requests from any host.
    quiet_s : float or None
        Time for which the server wants no requests from this host, seconds; None if it states
        none.
    warm_up_s : float or None
        Time for which the server stays cold, seconds; None if it states none.
    """

    __slots__ = ("leaving", "load", "quiet_s", "warm_up_s")

    def __init__(
        self,
        *,
        leaving: bool = False,
        quiet_s: float | None = None,
        warm_up_s: float | None = None,
        load: StatedLoad | None = None,
    ) -> None:
        self.load = load
        self.leaving = leaving
        self.quiet_s = quiet_s
        self.warm_up_s = warm_up_s
