"""Values of the platform's store, as backend servers and the operator write them."""

from __future__ import annotations

from collections.abc import Mapping

from rhubarbway.edge.json_codec import encode_json

EVACUATION_PREFIX = "op/evacuate/"
CONFIGURATION_KEY = "op/config"


def server_key(server_id: str) -> str:
    """Return the key of a server's entry."""
    return f"servers/{server_id}"


def server_entry(
    *,
    service: str,
    address: str,
    zone: str,
    born_ms: int,
    sequence: int,
    draining: bool = False,
    slots: int = 3,
    warm_up_ms: int = 0,
    changes: Mapping[str, object] | None = None,
) -> bytes:
    """Return the encoded entry of a server; ``changes`` replaces fields by their platform names."""
    fields = {
        "service": service,
        "address": address,
        "zone": zone,
        "version": "v1",
        "slots": slots,
        "state": "draining" if draining else "ready",
        "warmupLeftMs": warm_up_ms,
        "sequence": sequence,
        "born": born_ms,
    }
    return encode_json(fields | dict(changes or {}))
