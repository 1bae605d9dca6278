"""Crash suspicions and quarantines as sections of the gossip."""

from __future__ import annotations

from typing import Any

import msgspec

from rhubarbway.decisions.crash_suspects import (
    CrashKnowledge,
    SharedQuarantine,
    SharedSuspicion,
)
from rhubarbway.edge.wire import BadMessage
from rhubarbway.services.crashes import CrashService
from rhubarbway.services.peers import PeerService

SUSPICIONS_SECTION = "suspicions"
QUARANTINES_SECTION = "quarantines"


def connect_crashes(crashes: CrashService, peers: PeerService) -> None:
    """Exchange what two services know: confirmed suspicions and quarantines go out at once.

    Ages and remaining times in the messages are seconds. The time that news waits in an outbox is
    not counted; a quarantine lasts longer by at most that time.
    """
    told: set[str] = set()

    def spread(knowledge: CrashKnowledge) -> None:
        items = [(SUSPICIONS_SECTION, key, value) for key, value in suspicion_items(knowledge)]
        items += [(QUARANTINES_SECTION, key, value) for key, value in quarantine_items(knowledge)]
        new = [item for item in items if item[1] not in told]
        # Forgets what has expired, so that the set stays as small as the knowledge.
        told.intersection_update([key for _, key, _ in items])
        told.update(key for _, key, _ in new)
        for section, key, value in new:
            peers.publish(section, key, value)
        if new:
            peers.exchange_now()

    def receive_suspicion(value: Any) -> bool:
        shared = suspicion_of(value)
        known = crashes.suspects.suspicions.get(shared.digest, {})
        is_news = (shared.replica, shared.incarnation) not in known
        crashes.merge(CrashKnowledge(suspicions=(shared,)))
        return is_news

    def receive_quarantine(value: Any) -> bool:
        shared = quarantine_of(value)
        known = crashes.suspects.quarantines.get(shared.digest)
        crashes.merge(CrashKnowledge(quarantines=(shared,)))
        return known is None or known.origin != shared.origin

    crashes.listeners.append(spread)
    peers.add_section(
        SUSPICIONS_SECTION,
        receive=receive_suspicion,
        items=lambda: suspicion_items(crashes.shared()),
    )
    peers.add_section(
        QUARANTINES_SECTION,
        receive=receive_quarantine,
        items=lambda: quarantine_items(crashes.shared()),
    )


def suspicion_items(knowledge: CrashKnowledge) -> list[tuple[str, list[Any]]]:
    """Return key and value of each suspicion."""
    return [
        (
            f"{shared.digest}/{shared.incarnation}",
            [shared.digest, shared.shape, shared.replica, shared.incarnation, shared.age],
        )
        for shared in knowledge.suspicions
    ]


def quarantine_items(knowledge: CrashKnowledge) -> list[tuple[str, list[Any]]]:
    """Return key and value of each quarantine."""
    return [
        (shared.origin, [shared.digest, shared.origin, shared.left])
        for shared in knowledge.quarantines
    ]


def suspicion_of(value: Any) -> SharedSuspicion:
    """Return the suspicion of a piece of news.

    Raises
    ------
    BadMessage
        If the value is not one.
    """
    fields = converted(value, tuple[str, str, str, str, float])
    digest, shape, replica, incarnation, age = fields
    return SharedSuspicion(
        digest=digest, shape=shape, replica=replica, incarnation=incarnation, age=age
    )


def quarantine_of(value: Any) -> SharedQuarantine:
    """Return the quarantine of a piece of news.

    Raises
    ------
    BadMessage
        If the value is not one.

    Examples
    --------
    >>> quarantine_of(["d1", "e1/00ff/1", 59.5]).left
    59.5
    """
    digest, origin, left = converted(value, tuple[str, str, float])
    return SharedQuarantine(digest=digest, origin=origin, left=left)


def converted(value: Any, kind: Any) -> Any:
    """Return a value of the wanted type."""
    try:
        return msgspec.convert(value, kind)
    except msgspec.ValidationError as error:
        raise BadMessage(str(error)) from None
