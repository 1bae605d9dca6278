"""The kinds of news that hosts pass on to each other."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from rhubarbway.decisions.outbox import NewsItem
from rhubarbway.edge import gossip_wire
from rhubarbway.edge.json_codec import encode_json

Receive = Callable[[Any], bool]
Items = Callable[[], list[tuple[str, Any]]]


class Section:
    """A kind of news that a service passes on through the gossip.

    ``receive`` takes a value from another host and returns whether it is news here; it raises
    ``MessageError`` for a value of the wrong form. ``items`` returns key and value of everything
    that a host without a view has to hear.
    """

    __slots__ = ("items", "receive")

    def __init__(self, *, receive: Receive, items: Items) -> None:
        self.receive = receive
        self.items = items


def news_item(section: str, key: str, value: Any) -> NewsItem:
    """Return a piece of news with its encoded size."""
    body = gossip_wire.UpdateBody(section=section, key=key, value=value)
    return NewsItem(section=section, key=key, value=value, size=len(encode_json(body)) + 1)
