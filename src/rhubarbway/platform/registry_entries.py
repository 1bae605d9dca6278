"""Entries of the platform's registry, each of which describes a backend server."""

from __future__ import annotations

import re
from ipaddress import IPv4Address
from typing import Annotated, Literal

import msgspec
from returns.result import Failure, Result, Success

from rhubarbway.edge.json_codec import decode_typed
from rhubarbway.model import BackendServer, Finding

# Prefix of the keys of replicas; the rest of the key is the id.
SERVER_KEY_PREFIX = "servers/"

# Length of an id, which is sent in a header, and of the names of services and zones.
MAX_NAME_LENGTH = 200
# Visible ASCII characters, as a header value can carry them.
SERVER_ID = re.compile(rf"[!-~]{{1,{MAX_NAME_LENGTH}}}")
# Ports that a process can listen on; 0 means "any port" and can't be connected to.
PORTS = range(1, 65_536)
# No process runs more requests at a time; a larger number would only make it seem idle.
MAX_SLOTS = 65_536
# Warm-ups last for seconds. A server that states more than a day would always rank as cold.
MAX_WARM_UP_MS = 86_400_000.0
# Integers up to 2**53 are exact in every JSON implementation and fit into the messages of hosts.
MAX_UNIX_MS = 2**53

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_LENGTH)]


class WireEntry(msgspec.Struct, rename="camel"):
    """A replica's description of itself; ``born`` is its start, Unix milliseconds.

    The platform names all other fields as those of an entry, so an entry that lacks one is from
    another writer and names no server to use, even if it has the id of one that was in use before.
    """

    service: Name
    address: str
    zone: Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)]
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
    state: Literal["ready", "draining"]
    # Version of the replica's software and number of the write; not used further.
    version: str
    sequence: int
    # Remaining time for which the replica is slow after its start.
    warmup_left_ms: Annotated[float, msgspec.Meta(ge=0, le=MAX_WARM_UP_MS)]
    # The platform's example of an entry has no ``born``.
    born: Annotated[int, msgspec.Meta(ge=0, le=MAX_UNIX_MS)] = 0


ENTRY_DECODER = msgspec.json.Decoder(WireEntry)


def server_from_entry(key: str, value: bytes) -> Result[BackendServer, Finding]:
    """Return the server that an entry describes, or a finding if the entry is invalid."""
    server_id = key.removeprefix(SERVER_KEY_PREFIX)
    if not SERVER_ID.fullmatch(server_id):
        return Failure(Finding(place=ascii(key)[:MAX_NAME_LENGTH], problem="the id is not usable"))
    try:
        wire: WireEntry = decode_typed(ENTRY_DECODER, value)
        check_address(wire.address)
    except ValueError as error:
        return Failure(Finding(place=key, problem=str(error)))
    return Success(
        BackendServer(
            id=server_id,
            service=wire.service,
            address=wire.address,
            zone=wire.zone,
            slots=wire.slots,
            draining=wire.state == "draining",
            warm_up_s=wire.warmup_left_ms / 1000,
            started_ms=wire.born,
        )
    )


def check_address(address: str) -> None:
    """Check that an address is an IPv4 address and a port.

    Raises
    ------
    ValueError
        If it is not.

    Examples
    --------
    >>> check_address("10.0.0.9:8080")
    >>> check_address("10.0.0.9:99999")
    Traceback (most recent call last):
    ...
    ValueError: '10.0.0.9:99999' has no port from 1 to 65535
    """
    host, _, port = address.rpartition(":")
    IPv4Address(host)
    if not (port.isascii() and port.isdigit() and len(port) <= 5 and int(port) in PORTS):
        raise ValueError(f"{address[:MAX_NAME_LENGTH]!r} has no port from 1 to 65535")
