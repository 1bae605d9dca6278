"""Structures of the replies of entry hosts, for decoding."""

from __future__ import annotations

import msgspec


class MissingBody(msgspec.Struct):
    """A shard that is missing from an answer, and the reason."""

    shard: int
    reason: str


class CoverageBody(msgspec.Struct):
    """Coverage of an answer; ``fraction`` is between 0 and 1."""

    shards_total: int
    shards_answered: int
    fraction: float
    missing: list[MissingBody] = []


class ErrorBody(msgspec.Struct):
    """A failure; ``ran`` tells whether the query was executed.

    ``token`` is set only in replies with status 428.
    """

    kind: str
    ran: str
    detail: str = ""
    retry_after_ms: int | None = None
    token: str | None = None


class ReplyBody(msgspec.Struct):
    """Body of a reply to ``POST /v1/query``: an answer, or ``error`` instead of one.

    ``shards`` stays encoded, since ``digest`` is the digest of these bytes.
    """

    request_id: str | None = None
    error: ErrorBody | None = None
    job: str = ""
    tenant: str = ""
    service: str = ""
    meaning: str = ""
    snapshot: str | None = None
    layout: str = ""
    host: str = ""
    attempts: int = 0
    ran: str = ""
    digest: str = ""
    coverage: CoverageBody | None = None
    shards: msgspec.Raw = msgspec.Raw(b"[]")


REPLY_DECODER = msgspec.json.Decoder(ReplyBody)
