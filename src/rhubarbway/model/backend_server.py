"""A backend server as the platform's registry describes it."""

from __future__ import annotations


class BackendServer:
    """One replica of a service.

    Attributes
    ----------
    id : str
        Name of the replica; a restart usually has a new one.
    address : str
        ``HOST:PORT``; may belong to another server later.
    slots : int
        Requests that the server runs at a time.
    draining : bool
        Whether the server has announced that it leaves.
    warm_up_s : float
        How much longer the server is slow after its start, seconds.
    started_ms : int
        Start of the process, Unix milliseconds; 0 if unknown. Tells two starts of one id apart.
    """

    __slots__ = (
        "address",
        "draining",
        "id",
        "service",
        "slots",
        "started_ms",
        "warm_up_s",
        "zone",
    )

    def __init__(
        self,
        *,
        id: str,
        service: str,
        address: str,
        zone: str,
        slots: int,
        draining: bool = False,
        warm_up_s: float = 0.0,
        started_ms: int = 0,
    ) -> None:
        self.id = id
        self.service = service
        self.address = address
        self.zone = zone
        self.slots = slots
        self.draining = draining
        self.warm_up_s = warm_up_s
        self.started_ms = started_ms

    @property
    def incarnation(self) -> tuple[str, int, str, str]:
        """Identity of one run of the server at one address, for one service."""
        return (self.id, self.started_ms, self.address, self.service)
