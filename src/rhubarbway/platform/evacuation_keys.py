"""Keys by which the operator asks for the evacuation of availability zones."""

from __future__ import annotations

from returns.result import Failure, Result, Success

from rhubarbway.model import Finding
from rhubarbway.platform.registry_entries import MAX_NAME_LENGTH

# Prefix of the keys; the rest of the key is the zone. The request holds while the key exists, and
# its value, an empty object, says nothing.
EVACUATION_KEY_PREFIX = "op/evacuate/"


def evacuated_zone(key: str) -> Result[str, Finding]:
    """Return the zone that a key asks to evacuate, or a finding if it names none.

    Examples
    --------
    >>> evacuated_zone("op/evacuate/north").unwrap()
    'north'
    >>> evacuated_zone("op/evacuate/").failure().problem
    'the name of the zone is empty or too long'
    """
    zone = key.removeprefix(EVACUATION_KEY_PREFIX)
    if 0 < len(zone) <= MAX_NAME_LENGTH:
        return Success(zone)
    return Failure(
        Finding(
            place=ascii(key)[:MAX_NAME_LENGTH], problem="the name of the zone is empty or too long"
        )
    )
