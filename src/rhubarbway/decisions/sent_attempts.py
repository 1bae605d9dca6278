"""What a host has sent to each service, counted apart from the decision that allows it.

``ArrivalBudget`` decides whether a further attempt is sent. Here each attempt that leaves is
counted once more, so that a fault of the decision, or a path that does not ask it, shows.
"""

from __future__ import annotations

import math
from collections import defaultdict, deque

# Parts into which a window is cut. Instants are not kept one by one.
PARTS = 10


class Part:
    """Counts of one service in a part of the window.

    Attributes
    ----------
    number : int
        Number of the part since the clock began.
    allowed : float
        Further attempts that the requests of this part allow.
    repeats : int
        Attempts beyond the first.
    allowance : float
        Largest part of the common allowance that the host had meanwhile.
    """

    __slots__ = ("allowance", "allowed", "number", "repeats")

    def __init__(self, *, number: int) -> None:
        self.number = number
        self.allowed = 0.0
        self.repeats = 0
        self.allowance = 0.0


class SentAttempts:
    """Counts of one host over the last windows; the caller holds a lock.

    Examples
    --------
    >>> sent = SentAttempts()
    >>> sent.note_request("desk", ratio=0.5, window_s=10.0, now=1.0)
    >>> sent.note_repeat("desk", allowance=0.5, window_s=10.0, now=1.2)
    True
    >>> sent.note_repeat("desk", allowance=0.5, window_s=10.0, now=1.4)
    False
    """

    __slots__ = ("services",)

    def __init__(self) -> None:
        self.services: defaultdict[str, deque[Part]] = defaultdict(deque)

    def current_part(self, service: str, *, window_s: float, now: float) -> Part:
        """Return the part that contains an instant, and drop those of two windows ago."""
        parts = self.services[service]
        number = math.floor(now / window_s * PARTS)
        if not parts or parts[-1].number < number:
            parts.append(Part(number=number))
        while parts[0].number <= number - 2 * PARTS:
            parts.popleft()
        return parts[-1]

    def note_request(self, service: str, *, ratio: float, window_s: float, now: float) -> None:
        """Count a request for the service, whether an attempt follows or not."""
        self.current_part(service, window_s=window_s, now=now).allowed += ratio

    def note_repeat(self, service: str, *, allowance: float, window_s: float, now: float) -> bool:
        """Count an attempt beyond the first, and return whether the window allows it.

        Parameters
        ----------
        allowance : float
            Further attempts that this host may send without requests.
        """
        part = self.current_part(service, window_s=window_s, now=now)
        part.repeats += 1
        part.allowance = max(part.allowance, allowance)
        parts = self.services[service]
        # Requests of the window before count too: their further attempts may come in this one.
        allowed = sum(part.allowed for part in parts)
        recent = [other for other in parts if other.number > part.number - PARTS]
        return sum(other.repeats for other in recent) <= allowed + max(
            other.allowance for other in recent
        )

    def keep_only(self, services: set[str]) -> None:
        """Forget services that no route uses any more."""
        for name in [name for name in self.services if name not in services]:
            del self.services[name]
