"""How long a host trusts a copy of the store that the store has not confirmed.

The store confirms a copy with each answer to a reader, also with one that brings no change, and the
hosts pass on when it last did so. A host whose copy was not confirmed in time can therefore tell
that the readers are cut off, whatever they say themselves.

All times are fractions of the *apply limit*, the time within which a change that the store has
confirmed must be in force, in seconds.
"""

from __future__ import annotations

from rhubarbway.decisions.config_readers import READER_COUNT

# A copy is stale after this fraction of the apply limit. The rest is for finding the change: a
# reading of the store, and the relays from there.
STALE_FRACTION = 0.5
# Wait of the first reader for a change, as a fraction of the apply limit. With the relays to the
# last host it must be below ``STALE_FRACTION``.
CONFIRMATION_FRACTION = 1 / 3
# Smallest progress of a confirmation that waiting followers are told at once, as a fraction of the
# apply limit. Several readers confirm independently of each other.
RELAY_FRACTION = 1 / 6
# While a copy stays stale, the number of hosts that read the store doubles at this interval, as a
# fraction of the apply limit.
ESCALATION_FRACTION = 0.1
# Number of readers whose newest confirmation is remembered; more than read the store at a time.
MAX_KNOWN_READERS = 64
# Largest number of hosts that read the store because their copy is stale. It bounds the calls to a
# store that is down for all; if it is reachable at all, one host that reaches it is enough.
MAX_STALE_READERS = 24


class Confirmation:
    """One answer of the store, by which a copy was current when it was given.

    Attributes
    ----------
    at : float
        Instant of the answer by the clock of this host; -inf if the store has not answered yet. It
        is later than the true one by the time that the news of it took.
    reader : str
        Incarnation of the host that got the answer; empty if it is not known.
    number : int
        Number of the answer among those that this reader got.
    """

    __slots__ = ("at", "number", "reader")

    def __init__(self, *, at: float = float("-inf"), reader: str = "", number: int = 0) -> None:
        self.at = at
        self.reader = reader
        self.number = number


class KnownConfirmations:
    """The newest answer of each reader of which this host knows; the caller holds a lock.

    Hosts pass a confirmation on to each other in circles, and each passage makes it seem younger by
    the time that the message took. Only its first arrival therefore counts. Otherwise hosts that
    are slow to read messages would take their copies for current long after the store has gone.

    Examples
    --------
    >>> known = KnownConfirmations()
    >>> [known.is_new(Confirmation(at=at, reader="r", number=7)) for at in (1.0, 1.2)]
    [True, False]
    >>> known.is_new(Confirmation(at=1.3, reader="r", number=8))
    True
    """

    __slots__ = ("numbers",)

    def __init__(self) -> None:
        self.numbers: dict[str, int] = {}

    def is_new(self, confirmation: Confirmation) -> bool:
        """Record a confirmation, and return whether it had not arrived before.

        Those of an unknown reader, from hosts of an earlier version, always count as new.
        """
        reader = confirmation.reader
        if not reader:
            return True
        if confirmation.number <= self.numbers.get(reader, 0):
            return False
        # The readers that have confirmed most recently are kept.
        self.numbers.pop(reader, None)
        self.numbers[reader] = confirmation.number
        if len(self.numbers) > MAX_KNOWN_READERS:
            del self.numbers[next(iter(self.numbers))]
        return True


def is_stale(age_s: float, *, apply_limit_s: float) -> bool:
    """Return whether a copy that was last confirmed ``age_s`` ago may lack a change for too long.

    Examples
    --------
    >>> is_stale(1.4, apply_limit_s=3.0), is_stale(1.6, apply_limit_s=3.0)
    (False, True)
    """
    return age_s > STALE_FRACTION * apply_limit_s


def stale_reader_count(age_s: float, *, apply_limit_s: float) -> int:
    """Return how many hosts, by rank, read the store for lack of a confirmation.

    Examples
    --------
    >>> [stale_reader_count(age_s, apply_limit_s=3.0) for age_s in (1.4, 1.6, 2.0, 2.3, 60.0)]
    [0, 3, 6, 12, 24]
    """
    if not is_stale(age_s, apply_limit_s=apply_limit_s):
        return 0
    overdue = (age_s / apply_limit_s - STALE_FRACTION) / ESCALATION_FRACTION
    # Bounded before the conversion, since the age may be infinite.
    doublings = int(min(overdue, MAX_STALE_READERS.bit_length()))
    return min(MAX_STALE_READERS, READER_COUNT * 2**doublings)
