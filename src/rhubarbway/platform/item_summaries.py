"""What items of the store say of their own order, for copies of a store that was restored."""

from __future__ import annotations

from typing import Annotated

import msgspec

from rhubarbway.edge.json_codec import JsonError, decode_typed
from rhubarbway.model import ItemSummary, KeyKind, StoreItem
from rhubarbway.platform.configuration import CONFIGURATION_KEY, MAX_VERSION
from rhubarbway.platform.evacuation_keys import EVACUATION_KEY_PREFIX
from rhubarbway.platform.registry_entries import ENTRY_DECODER, SERVER_KEY_PREFIX, WireEntry

# Longest number of a write that is passed on; other hosts decode it as an integer of 64 bits.
MAX_SEQUENCE = 2**63 - 1
KIND_BY_PREFIX = {
    SERVER_KEY_PREFIX: KeyKind.SERVER,
    EVACUATION_KEY_PREFIX: KeyKind.EVACUATION,
}


class WireVersion(msgspec.Struct):
    """The version of a configuration document; its other fields are not decoded."""

    version: Annotated[int, msgspec.Meta(ge=0, le=MAX_VERSION)]


VERSION_DECODER = msgspec.json.Decoder(WireVersion)


def kind_of_key(key: str) -> KeyKind:
    """Return what a key stands for.

    Examples
    --------
    >>> kind_of_key("servers/i-1"), kind_of_key("op/config"), kind_of_key("op/other")
    (<KeyKind.SERVER: 'server'>, <KeyKind.CONFIGURATION: 'configuration'>, <KeyKind.OTHER: 'other'>)
    """
    if key == CONFIGURATION_KEY:
        return KeyKind.CONFIGURATION
    return next(
        (kind for prefix, kind in KIND_BY_PREFIX.items() if key.startswith(prefix)), KeyKind.OTHER
    )


def summarize_item(item: StoreItem) -> ItemSummary | None:
    """Return what the value of an item says of its order; None if the value is invalid."""
    summarize = SUMMARIZE.get(kind_of_key(item.key))
    if summarize is None or item.value is None:
        return None
    try:
        return summarize(item.value)
    except JsonError:
        return None


def summarize_entry(value: bytes) -> ItemSummary:
    """Return what the entry of a server says.

    Raises
    ------
    JsonError
        If the entry is invalid.
    """
    wire: WireEntry = decode_typed(ENTRY_DECODER, value)
    return ItemSummary(
        started_ms=wire.born,
        sequence=max(0, min(wire.sequence, MAX_SEQUENCE)),
        draining=wire.state == "draining",
    )


def summarize_configuration(value: bytes) -> ItemSummary:
    """Return what a configuration says.

    Raises
    ------
    JsonError
        If its version cannot be read.
    """
    wire: WireVersion = decode_typed(VERSION_DECODER, value)
    return ItemSummary(version=wire.version)


SUMMARIZE = {
    KeyKind.SERVER: summarize_entry,
    KeyKind.CONFIGURATION: summarize_configuration,
}
