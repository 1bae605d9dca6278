"""Sections of the gossip between entry hosts, one for each kind of update."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from rhubarbway.decisions.outbox import GossipUpdate
from rhubarbway.edge import gossip_wire
from rhubarbway.edge.json_codec import encode_json

ReceiveUpdate = Callable[[Any], bool]
ListItems = Callable[[], list[tuple[str, Any]]]


class GossipSection:
    """A kind of update that a service exchanges with other entry hosts.

    Parameters
    ----------
    receive : callable
        Merges a value from another host and returns whether it changed anything here. Raises
        ``MessageError`` if the value has the wrong form.
    items : callable
        Returns key and value of each update that a host without any state needs.
    """

    __slots__ = ("items", "receive")

    def __init__(self, *, receive: ReceiveUpdate, items: ListItems) -> None:
        self.receive = receive
        self.items = items


def make_update(section: str, key: str, value: Any) -> GossipUpdate:
    """Return an update with its encoded size."""
    body = gossip_wire.UpdateBody(section=section, key=key, value=value)
    return GossipUpdate(section=section, key=key, value=value, size=len(encode_json(body)) + 1)
