"""Entries of the platform's registry, each of which describes a backend server."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec
from returns.result import Failure, Result, Success

from rhubarbway.model import BackendServer, Finding

# Prefix of the keys of replicas; the rest of the key is the id.
SERVER_KEY_PREFIX = "servers/"

NonEmptyString = Annotated[str, msgspec.Meta(min_length=1)]


class WireEntry(msgspec.Struct, rename="camel"):
    """A replica's description of itself; ``born`` is its start, Unix milliseconds."""

    service: NonEmptyString
    address: Annotated[str, msgspec.Meta(pattern=r"^[0-9.]+:[0-9]{1,5}$")]
    zone: str
    slots: Annotated[int, msgspec.Meta(ge=1)]
    state: Literal["ready", "draining"]
    # Remaining time for which the replica is slow after its start.
    warmup_left_ms: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    born: int = 0


ENTRY_DECODER = msgspec.json.Decoder(WireEntry)


def server_from_entry(key: str, value: bytes) -> Result[BackendServer, Finding]:
    """Return the server that an entry describes, or a finding if the entry is invalid."""
    server_id = key.removeprefix(SERVER_KEY_PREFIX)
    try:
        wire = ENTRY_DECODER.decode(value)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
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
