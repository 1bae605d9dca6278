"""Identifiers of entry host processes and of attempts."""

from __future__ import annotations


class HostIdentity:
    """Identity of one daemon process on an entry host.

    An entry host receives the requests of callers and sends them to backend servers.

    Parameters
    ----------
    name : str
        Published name of the entry host.
    address : str
        ``IP:PORT`` on which the daemon listens.
    zone : str
        Availability zone.
    incarnation : str
        Random 64-bit hex number, new at each process start.
    started_at : float
        Start of the process, Unix seconds.
    """

    __slots__ = ("address", "incarnation", "name", "started_at", "zone")

    def __init__(
        self, *, name: str, address: str, zone: str, incarnation: str, started_at: float
    ) -> None:
        self.name = name
        self.address = address
        self.zone = zone
        self.incarnation = incarnation
        self.started_at = started_at


class AttemptId:
    """Unique identifier of one attempt of a sub-query.

    Parameters
    ----------
    host : str
        Name of the entry host that sends the attempt.
    incarnation : str
        Incarnation of its process.
    counter : int
        Sequence number of the attempt in that process.

    Examples
    --------
    >>> str(AttemptId(host="e1", incarnation="00ff", counter=7))
    'e1/00ff/7'
    """

    __slots__ = ("counter", "host", "incarnation")

    def __init__(self, *, host: str, incarnation: str, counter: int) -> None:
        self.host = host
        self.incarnation = incarnation
        self.counter = counter

    def __str__(self) -> str:
        return f"{self.host}/{self.incarnation}/{self.counter}"
