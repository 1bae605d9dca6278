"""Records that entry hosts exchange by gossip: members, versions and the host list."""

from __future__ import annotations

from enum import Enum


class MemberState(Enum):
    """State of an entry host according to failure detection; messages carry the values."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


class MemberRecord:
    """The state of one daemon process on an entry host, as gossip reports it.

    Parameters
    ----------
    name : str
        Published name of the entry host.
    incarnation : str
        Random identifier of the process.
    started_ms : int
        Start of the process, Unix milliseconds; orders incarnations.
    heartbeat : int
        Counter that the process increments while it runs; orders records of one incarnation.
    state : MemberState
        State according to failure detection.
    blind : bool
        True if the host is a configuration reader and cannot reach the configuration service.
    """

    __slots__ = ("blind", "heartbeat", "incarnation", "name", "started_ms", "state")

    def __init__(
        self,
        *,
        name: str,
        incarnation: str,
        started_ms: int,
        heartbeat: int,
        state: MemberState,
        blind: bool = False,
    ) -> None:
        self.name = name
        self.incarnation = incarnation
        self.started_ms = started_ms
        self.heartbeat = heartbeat
        self.state = state
        self.blind = blind

    def __repr__(self) -> str:
        return (
            f"MemberRecord({self.name}, {self.incarnation}, {self.started_ms}, "
            f"{self.heartbeat}, {self.state.value})"
        )


class VersionReport:
    """The manifest version of another entry host, as that host reported it.

    Parameters
    ----------
    version_key : tuple of (int, str)
        Highest manifest version that the host holds or, before it serves, has to hold because
        another host has reported it, and its digest; ``(0, "")`` if it knows none.
    confirmed : bool
        Whether a manifest is in force on the host, which means that its version floor is confirmed.
    received_at : float
        ``time.monotonic()`` instant at which the report arrived.
    """

    __slots__ = ("confirmed", "received_at", "version_key")

    def __init__(
        self, *, version_key: tuple[int, str], confirmed: bool, received_at: float
    ) -> None:
        self.version_key = version_key
        self.confirmed = confirmed
        self.received_at = received_at


class ListedHost:
    """One entry of the reply of the host list service.

    Parameters
    ----------
    name, address, zone : str
        Name, address and availability zone of the host.
    state : str
        ``live``, ``leaving`` or ``gone`` (no longer listed).
    role : str
        ``entry`` for entry hosts, otherwise empty.
    observed_ms : int
        Time at which a reader saw this state, Unix milliseconds; the later entry takes
        precedence.
    """

    __slots__ = ("address", "name", "observed_ms", "role", "state", "zone")

    def __init__(
        self,
        *,
        name: str,
        address: str,
        zone: str,
        state: str,
        role: str = "",
        observed_ms: int = 0,
    ) -> None:
        self.name = name
        self.address = address
        self.zone = zone
        self.state = state
        self.role = role
        self.observed_ms = observed_ms
