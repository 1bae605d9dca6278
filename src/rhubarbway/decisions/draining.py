"""Which backend servers are known to be leaving, from sources other than their own answers."""

from __future__ import annotations

from collections.abc import Iterable


class DrainMark:
    """One incarnation of a replica that said it was leaving."""

    __slots__ = ("incarnation", "replica")

    def __init__(self, *, replica: str, incarnation: str) -> None:
        self.replica = replica
        self.incarnation = incarnation


class DrainMarks:
    """Drain marks of neighbours and leaving entries of the host list.

    A mark holds for one incarnation, so that a backend server which comes back after it left is
    used again. An entry of the host list holds as long as it is listed.
    """

    __slots__ = ("incarnations", "listed_as_leaving")

    def __init__(self) -> None:
        self.incarnations: dict[str, str] = {}
        self.listed_as_leaving: frozenset[str] = frozenset()

    def record(self, mark: DrainMark) -> bool:
        """Take over a mark; return True if it is new."""
        if self.incarnations.get(mark.replica) == mark.incarnation:
            return False
        self.incarnations[mark.replica] = mark.incarnation
        return True

    def set_listed(self, names: Iterable[str]) -> None:
        """Replace the set of replicas that the host list calls leaving."""
        self.listed_as_leaving = frozenset(names)

    def is_marked(self, replica: str, incarnation: str) -> bool:
        """Whether this incarnation of a replica said that it was leaving."""
        return incarnation != "" and self.incarnations.get(replica) == incarnation

    def is_leaving(self, replica: str, incarnation: str) -> bool:
        """Whether this incarnation of a replica may get no new work.

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
        """Forget replicas that are no longer in the manifest, to bound the memory."""
        for replica in self.incarnations.keys() - replicas:
            del self.incarnations[replica]

    def marks(self) -> list[DrainMark]:
        """Return all marks, for neighbours."""
        return [
            DrainMark(replica=replica, incarnation=incarnation)
            for replica, incarnation in sorted(self.incarnations.items())
        ]
