"""Order in which the attempts that wait for a connection to one server are sent.

More urgent attempts are sent first, and first attempts before the extra attempts (hedges and
retries) of the same priority. A hedge of a less urgent route therefore never takes the connection
that a first attempt of a more urgent route waits for.
"""

from __future__ import annotations

import math
from collections import deque
from typing import Generic, Protocol, TypeVar

# Each time this many attempts have been taken, the last of them is the one that has waited longest,
# whatever its priority. Without it, steady urgent load would keep less urgent attempts waiting
# until their deadline.
FAIR_INTERVAL = 4


class QueuedAttempt(Protocol):
    """The part of an attempt that decides its place in the queue.

    ``exchange_s`` is the time that an exchange of its route typically takes, seconds.
    """

    number: int
    priority: int
    is_extra: bool
    exchange_s: float


Attempt = TypeVar("Attempt", bound=QueuedAttempt)


def rank_of(priority: int, *, is_extra: bool) -> int:
    """Return the rank of an attempt; lower ranks are sent first.

    An extra attempt ranks with the first attempts of the next priority.

    Examples
    --------
    >>> rank_of(0, is_extra=False), rank_of(0, is_extra=True), rank_of(1, is_extra=False)
    (0, 1, 1)
    """
    return priority + is_extra


class AttemptQueue(Generic[Attempt]):
    """Attempts that wait, by rank; the caller holds a lock.

    The methods that return work may be called without the lock, and are then approximate.
    """

    __slots__ = ("by_rank", "sequence", "taken", "work_s")

    def __init__(self) -> None:
        # Attempts with the number of their arrival.
        self.by_rank: dict[int, deque[tuple[int, Attempt]]] = {}
        # Sum of the typical exchange times of the attempts of each rank, seconds.
        self.work_s: dict[int, float] = {}
        self.sequence = 0
        self.taken = 0

    def __len__(self) -> int:
        return sum(len(attempts) for attempts in self.by_rank.values())

    def push(self, attempt: Attempt) -> None:
        """Add an attempt."""
        rank = rank_of(attempt.priority, is_extra=attempt.is_extra)
        self.sequence += 1
        self.by_rank.setdefault(rank, deque()).append((self.sequence, attempt))
        self.work_s[rank] = self.work_s.get(rank, 0.0) + attempt.exchange_s

    def pop(self, *, max_rank: float = math.inf) -> Attempt | None:
        """Remove and return the attempt to send next, or None if none of these ranks waits."""
        waiting = [rank for rank, attempts in self.by_rank.items() if attempts and rank <= max_rank]
        if not waiting:
            return None
        self.taken += 1
        if self.taken % FAIR_INTERVAL:
            rank = min(waiting)
        else:
            rank = min(waiting, key=lambda rank: self.by_rank[rank][0][0])
        _, attempt = self.by_rank[rank].popleft()
        # The subtraction of floats may leave a rest, so an empty rank counts as no work.
        rest_s = self.work_s[rank] - attempt.exchange_s
        self.work_s[rank] = max(0.0, rest_s) if self.by_rank[rank] else 0.0
        return attempt

    def drain(self) -> list[Attempt]:
        """Remove and return all attempts, in the order of their arrival."""
        waiting = sorted(
            (entry for attempts in self.by_rank.values() for entry in attempts),
            key=lambda entry: entry[0],
        )
        self.by_rank.clear()
        self.work_s.clear()
        return [attempt for _, attempt in waiting]

    def work_ahead_s(self, rank: int) -> float:
        """Return the work of the waiting attempts that are sent before a new one, seconds.

        It is the sum of their typical exchange times.
        """
        return sum(seconds for other, seconds in list(self.work_s.items()) if other <= rank)

    def work_before_s(self, attempt: Attempt) -> float:
        """Return the work of the waiting attempts that are sent before a waiting one, seconds.

        It is 0 for an attempt that does not wait. May be called without the lock.
        """
        rank = rank_of(attempt.priority, is_extra=attempt.is_extra)
        ahead_s = self.work_ahead_s(rank - 1)
        for _, other in list(self.by_rank.get(rank, ())):
            if other is attempt:
                return ahead_s
            ahead_s += other.exchange_s
        return 0.0
