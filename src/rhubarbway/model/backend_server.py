"""A backend server as the registry of the platform describes it."""

from __future__ import annotations

from rhubarbway.model.server_notice import Incarnation


class BackendServer:
    """One replica of a service.

    Attributes
    ----------
    id : str
        Name of the replica; a restarted replica usually has a new one.
    service : str
        Service that the server belongs to.
    address : str
        ``HOST:PORT``; another server may reuse it later.
    zone : str
        Availability zone.
    slots : int
        Number of requests that the server can run concurrently.
    draining : bool
        Whether the server has announced that it shuts down.
    warm_up_s : float
        Remaining time during which the server is slow after its start, seconds.
    started_ms : int
        Start of the process, Unix milliseconds; 0 if unknown. Distinguishes two processes that
        use the same id.
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
    def incarnation(self) -> Incarnation:
        """Identity of one server process at one address, for one service.

        A tuple, because the registry states no random identifier of a process, as entry hosts have.
        """
        return (self.id, self.started_ms, self.address, self.service)
