"""Leaving backend servers, as known from other entry hosts and from the host list.

A replica *drains* when it has reported so itself. It is *leaving* when it drains or when the host
list marks it as leaving.
"""

from __future__ import annotations

from collections.abc import Iterable


class DrainMark:
    """An incarnation of a replica that has reported that it drains."""

    __slots__ = ("incarnation", "replica")

    def __init__(self, *, replica: str, incarnation: str) -> None:
        self.replica = replica
        self.incarnation = incarnation


class DrainMarks:
    """Drain marks of this and other entry hosts, and replicas that the host list marks as leaving.

    A mark applies to one incarnation, so that a backend server that restarts is used again. An
    entry of the host list applies for as long as it is listed.
    """

    __slots__ = ("incarnations", "listed_as_leaving")

    def __init__(self) -> None:
        self.incarnations: dict[str, str] = {}
        self.listed_as_leaving: frozenset[str] = frozenset()

    def record(self, mark: DrainMark) -> bool:
        """Record a mark; return True if it is new."""
        if self.incarnations.get(mark.replica) == mark.incarnation:
            return False
        self.incarnations[mark.replica] = mark.incarnation
        return True

    def set_listed(self, names: Iterable[str]) -> None:
        """Replace the replicas that the host list marks as leaving."""
        self.listed_as_leaving = frozenset(names)

    def is_marked(self, replica: str, incarnation: str) -> bool:
        """Whether this incarnation of a replica has reported that it drains."""
        return incarnation != "" and self.incarnations.get(replica) == incarnation

    def is_leaving(self, replica: str, incarnation: str) -> bool:
        """Whether a replica is leaving, so that this incarnation must not get new requests.

        Examples
        --------
        >>> marks = DrainMarks()
        >>> marks.record(DrainMark(replica="r1", incarnation="a"))
        True
        >>> marks.is_leaving("r1", "a"), marks.is_leaving("r1", "b")
        (True, False)
        """
        return replica in self.listed_as_leaving or self.is_marked(replica, incarnation)

    def retain_replicas(self, replicas: frozenset[str]) -> None:
        """Remove the marks of replicas that are no longer in the manifest, to bound the memory."""
        for replica in self.incarnations.keys() - replicas:
            del self.incarnations[replica]

    def marks(self) -> list[DrainMark]:
        """Return all marks, sorted by replica, to send to other entry hosts."""
        return [
            DrainMark(replica=replica, incarnation=incarnation)
            for replica, incarnation in sorted(self.incarnations.items())
        ]
