"""Gossip sections for crash suspicions and quarantines."""

from __future__ import annotations

from typing import Any

from rhubarbway.decisions.crash_suspects import (
    CrashUpdate,
    SharedQuarantine,
    SharedSuspicion,
)
from rhubarbway.edge.json_codec import JsonError, convert_value
from rhubarbway.edge.wire import MessageError
from rhubarbway.services.crashes import CrashService
from rhubarbway.services.peers import PeerService

SUSPICIONS_SECTION = "suspicions"
QUARANTINES_SECTION = "quarantines"


def connect_crash_gossip(crashes: CrashService, peers: PeerService) -> None:
    """Share suspicions and quarantines through the gossip.

    Confirmed suspicions and quarantines are sent at once. Ages and remaining times in the messages
    are in seconds. They don't include the time that an update waits in an outbox, so a quarantine
    may last longer on other hosts by at most that time.
    """
    published: set[str] = set()

    def publish(update: CrashUpdate) -> None:
        items = [(SUSPICIONS_SECTION, key, value) for key, value in suspicion_items(update)]
        items += [(QUARANTINES_SECTION, key, value) for key, value in quarantine_items(update)]
        new = [item for item in items if item[1] not in published]
        # Forgets expired keys, so that the set doesn't grow without bound.
        published.intersection_update([key for _, key, _ in items])
        published.update(key for _, key, _ in new)
        for section, key, value in new:
            peers.publish(section, key, value)
        if new:
            peers.exchange_now()

    def receive_suspicion(value: Any) -> bool:
        shared = decode_suspicion(value)
        known = crashes.suspects.suspicions.get(shared.digest, {})
        is_new = (shared.replica, shared.incarnation) not in known
        crashes.merge(CrashUpdate(suspicions=(shared,)))
        return is_new

    def receive_quarantine(value: Any) -> bool:
        shared = decode_quarantine(value)
        known = crashes.suspects.quarantines.get(shared.digest)
        crashes.merge(CrashUpdate(quarantines=(shared,)))
        return known is None or known.origin != shared.origin

    crashes.listeners.append(publish)
    peers.add_section(
        SUSPICIONS_SECTION,
        receive=receive_suspicion,
        items=lambda: suspicion_items(crashes.confirmed_update()),
    )
    peers.add_section(
        QUARANTINES_SECTION,
        receive=receive_quarantine,
        items=lambda: quarantine_items(crashes.confirmed_update()),
    )


def suspicion_items(update: CrashUpdate) -> list[tuple[str, list[Any]]]:
    """Return the gossip key and value of each suspicion."""
    return [
        (
            f"{shared.digest}/{shared.incarnation}",
            [shared.digest, shared.shape, shared.replica, shared.incarnation, shared.age_s],
        )
        for shared in update.suspicions
    ]


def quarantine_items(update: CrashUpdate) -> list[tuple[str, list[Any]]]:
    """Return the gossip key and value of each quarantine."""
    return [
        (shared.origin, [shared.digest, shared.origin, shared.remaining_s])
        for shared in update.quarantines
    ]


def decode_suspicion(value: Any) -> SharedSuspicion:
    """Return the suspicion in a gossip value.

    Raises
    ------
    MessageError
        If the value is not an encoded suspicion.
    """
    fields = decode_value(value, tuple[str, str, str, str, float])
    digest, shape, replica, incarnation, age_s = fields
    return SharedSuspicion(
        digest=digest, shape=shape, replica=replica, incarnation=incarnation, age_s=age_s
    )


def decode_quarantine(value: Any) -> SharedQuarantine:
    """Return the quarantine in a gossip value.

    Raises
    ------
    MessageError
        If the value is not an encoded quarantine.

    Examples
    --------
    >>> decode_quarantine(["d1", "e1/00ff/1", 59.5]).remaining_s
    59.5
    """
    digest, origin, remaining_s = decode_value(value, tuple[str, str, float])
    return SharedQuarantine(digest=digest, origin=origin, remaining_s=remaining_s)


def decode_value(value: Any, value_type: Any) -> Any:
    """Convert a value to a type; raise ``MessageError`` if that is not possible."""
    try:
        return convert_value(value, value_type)
    except JsonError as error:
        raise MessageError(str(error)) from None
