"""Wire format of the requests to servers, as functions that the daemon hands to the pools."""

from __future__ import annotations

from collections.abc import Callable

from rhubarbway.edge.http_call import Reply
from rhubarbway.model import ForwardedRequest, ReplicaReply, ServerNotice

EncodeRequest = Callable[..., list[str]]
DecodeReply = Callable[[Reply, ForwardedRequest], ReplicaReply | None]
DecodeNotice = Callable[[Reply], ServerNotice | None]


def no_notice(reply: Reply) -> ServerNotice | None:
    """Return None: the wire format has no notices."""
    return None


class ServerCodec:
    """Encoder of requests to servers and decoder of their replies.

    Attributes
    ----------
    encode : callable
        Returns the header lines of a request: ``encode(request, server, remaining_s=...)``.
    decode : callable
        Returns the decoded reply, or None if it belongs to another request.
    decode_notice : callable
        Returns what the server states about itself in a reply to a request, or None if nothing.
    """

    __slots__ = ("decode", "decode_notice", "encode")

    def __init__(
        self,
        *,
        encode: EncodeRequest,
        decode: DecodeReply,
        decode_notice: DecodeNotice = no_notice,
    ) -> None:
        self.encode = encode
        self.decode = decode
        self.decode_notice = decode_notice
