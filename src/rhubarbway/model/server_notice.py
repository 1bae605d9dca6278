"""What a backend server states about itself in a reply, apart from the reply's content."""

from __future__ import annotations

# ``BackendServer.incarnation``: id, start in Unix milliseconds, address and service.
Incarnation = tuple[str, int, str, str]


class ServerNotice:
    """Statements of a server in one reply.

    Attributes
    ----------
    leaving : bool
        Whether the server shuts down soon and wants no new requests from any host.
    quiet_s : float or None
        Time for which the server wants no requests from this host, seconds; None if it states
        none.
    warm_up_s : float or None
        Time for which the server stays cold, seconds; None if it states none.
    """

    __slots__ = ("leaving", "quiet_s", "warm_up_s")

    def __init__(
        self,
        *,
        leaving: bool = False,
        quiet_s: float | None = None,
        warm_up_s: float | None = None,
    ) -> None:
        self.leaving = leaving
        self.quiet_s = quiet_s
        self.warm_up_s = warm_up_s
