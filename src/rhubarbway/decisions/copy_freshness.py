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
# Largest number of hosts that read the store because their copy is stale. It bounds the calls to a
# store that is down for all; if it is reachable at all, one host that reaches it is enough.
MAX_STALE_READERS = 24


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
