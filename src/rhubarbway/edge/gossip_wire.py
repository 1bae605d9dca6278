"""JSON messages of the gossip between entry hosts, of manifest transfers and of the host list."""

from __future__ import annotations

from typing import Any

import msgspec

from rhubarbway.edge.json_codec import JsonError, convert_value, decode_json, decode_typed
from rhubarbway.edge.wire import MessageError
from rhubarbway.model import ListedHost, MemberRecord, MemberState

# Maximum length of the name of a host, characters; incarnations are truncated to it.
MAX_NAME_LENGTH = 63
MEMBER_STATES = {state.value: state for state in MemberState}


class MemberRecordBody(msgspec.Struct, array_like=True):
    """One ``MemberRecord``.

    Encoded as an array without field names, since records are the larger part of most messages.
    """

    name: str
    incarnation: str
    started_ms: int
    heartbeat: int
    state: str
    blind: bool


class UpdateBody(msgspec.Struct, array_like=True):
    """One update: the value of a key in a section of the gossip."""

    section: str
    key: str
    value: Any


class GossipBody(msgspec.Struct, omit_defaults=True):
    """Body of ``POST /v1/peer/gossip`` and of its reply.

    ``sender`` is the record of the sending host. ``held`` is the highest manifest version that the
    sender holds or, while it starts, knows from reports of other hosts, with its digest.
    ``confirmed`` states whether a manifest is in force there. ``resync`` requests all updates,
    because an earlier exchange failed. ``survey`` requests ``held`` and ``confirmed`` only.
    ``news`` holds the updates. ``exchange`` is the number of the exchange among those of the
    sender, which the reply repeats; 0 from a host of an earlier version.
    """

    sender: MemberRecordBody
    held: tuple[int, str]
    confirmed: bool
    resync: bool = False
    survey: bool = False
    news: list[UpdateBody] = []
    exchange: int = 0


class ManifestBody(msgspec.Struct, omit_defaults=True):
    """Reply to ``GET /v1/peer/manifest``: a document, or a JSON patch against version ``base``.

    ``base`` is 0 with a document. ``version`` and ``digest`` are those of the document, or of the
    result of the patch.
    """

    version: int
    digest: str
    base: int = 0
    patch: msgspec.Raw = msgspec.Raw(b"null")
    document: msgspec.Raw = msgspec.Raw(b"null")


GOSSIP_DECODER = msgspec.json.Decoder(GossipBody)
MANIFEST_DECODER = msgspec.json.Decoder(ManifestBody)


def record_to_body(record: MemberRecord) -> MemberRecordBody:
    """Return the wire form of a member record."""
    return MemberRecordBody(
        name=record.name,
        incarnation=record.incarnation,
        started_ms=record.started_ms,
        heartbeat=record.heartbeat,
        state=record.state.value,
        blind=record.blind,
    )


def record_from_body(body: MemberRecordBody) -> MemberRecord:
    """Return the member record that a message describes.

    Raises
    ------
    MessageError
        If the state is unknown, or the name is empty or too long.
    """
    if body.state not in MEMBER_STATES or not 0 < len(body.name) <= MAX_NAME_LENGTH:
        raise MessageError(f"no such member state or name: {body.state!r}, {body.name[:80]!r}")
    return MemberRecord(
        name=body.name,
        incarnation=body.incarnation[:MAX_NAME_LENGTH],
        started_ms=body.started_ms,
        heartbeat=body.heartbeat,
        state=MEMBER_STATES[body.state],
        blind=body.blind,
    )


def record_from_value(value: Any) -> MemberRecord:
    """Return the member record that the value of an update describes.

    Raises
    ------
    MessageError
        If the value is not a valid record.
    """
    try:
        return record_from_body(convert_value(value, MemberRecordBody))
    except JsonError as error:
        raise MessageError(str(error)) from None


def gossip_from_json(data: bytes) -> GossipBody:
    """Decode a gossip message.

    Raises
    ------
    MessageError
        If the text is not a gossip message.
    """
    try:
        # Checks the nesting depth, since the value of an update may be any JSON.
        decode_json(data)
        return decode_typed(GOSSIP_DECODER, data)
    except JsonError as error:
        raise MessageError(str(error)) from None


def manifest_from_json(data: bytes) -> ManifestBody:
    """Decode the reply to a request for a manifest.

    Raises
    ------
    MessageError
        If the text is not such a reply.
    """
    try:
        return decode_typed(MANIFEST_DECODER, data)
    except JsonError as error:
        raise MessageError(str(error)) from None


def listed_host_to_value(host: ListedHost) -> list[Any]:
    """Return an entry of the host list as the value of an update."""
    return [host.name, host.address, host.zone, host.state, host.role, host.observed_ms]


def listed_host_from_value(value: Any) -> ListedHost:
    """Return the entry of the host list that the value of an update describes.

    Raises
    ------
    MessageError
        If the value is not a valid entry.
    """
    try:
        fields = convert_value(value, tuple[str, str, str, str, str, int])
    except JsonError as error:
        raise MessageError(str(error)) from None
    name, address, zone, state, role, observed_ms = fields
    return ListedHost(
        name=name, address=address, zone=zone, state=state, role=role, observed_ms=observed_ms
    )


class ListedHostBody(msgspec.Struct):
    """One entry of the reply to ``GET /v1/hosts``."""

    name: str
    address: str
    zone: str
    state: str
    role: str = ""


class HostListBody(msgspec.Struct):
    """Reply to ``GET /v1/hosts``."""

    hosts: list[ListedHostBody]


HOST_LIST_DECODER = msgspec.json.Decoder(HostListBody)


def host_list_from_json(data: bytes) -> list[ListedHost]:
    """Decode the reply of the host list service; ``observed_ms`` of the entries is left at 0.

    Raises
    ------
    MessageError
        If the text is not a host list.
    """
    try:
        body = decode_typed(HOST_LIST_DECODER, data)
    except JsonError as error:
        raise MessageError(str(error)) from None
    return [
        ListedHost(
            name=host.name, address=host.address, zone=host.zone, state=host.state, role=host.role
        )
        for host in body.hosts
    ]
