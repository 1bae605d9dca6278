"""What entry hosts tell each other about themselves and about others."""

from __future__ import annotations

from enum import Enum


class MemberState(Enum):
    """What is believed of an entry host; messages carry the values."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


class MemberRecord:
    """One statement about one run of the daemon on one entry host.

    Parameters
    ----------
    name : str
        Published name.
    incarnation : str
        Random number of the process.
    started_ms : int
        Start of the process, milliseconds of wall clock; orders incarnations.
    heartbeat : int
        Counts up while the process runs; orders statements about one incarnation.
    state : MemberState
        Believed state.
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
    """What another entry host said about configuration versions.

    Parameters
    ----------
    order : tuple of (int, str)
        Version and digest of the highest manifest that the host holds, or has to hold before it
        serves; ``(0, "")`` if it knows none.
    confirmed : bool
        Whether the version floor of the host is confirmed.
    heard_at : float
        ``time.monotonic()`` of the report, seconds.
    """

    __slots__ = ("confirmed", "received_at", "version_key")

    def __init__(
        self, *, version_key: tuple[int, str], confirmed: bool, received_at: float
    ) -> None:
        self.version_key = version_key
        self.confirmed = confirmed
        self.received_at = received_at


class ListedHost:
    """One entry of the platform's host list.

    Parameters
    ----------
    name, address, zone : str
        Identity and place.
    state : str
        ``live``, ``leaving`` or ``gone`` (was listed before).
    role : str
        ``entry`` for entry hosts, otherwise empty.
    stamp_ms : int
        When a reader saw this state, milliseconds of wall clock; the later statement wins.
    """

    __slots__ = ("address", "name", "role", "observed_ms", "state", "zone")

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
