"""What all HTTP client connections share: replies, errors, limits and socket options."""

from __future__ import annotations

import re
import socket
from collections.abc import Callable

# Maximum size of a response body.
REPLY_LIMIT_BYTES = 4 * 1024 * 1024
# Maximum size of everything else in a response up to its end: interim responses, head and trailers.
# The heads of servers and hosts have less than 2 KB, and a host has 200 MB for all connections.
HEAD_LIMIT_BYTES = 64 * 1024
# Begin of a status line. Within a header or a reason phrase it is the begin of another response:
# the bytes before it belong to one that was cut off.
STATUS_LINE = re.compile(rb"HTTP/1\.[0-9] [0-9]{3}")
# First line of a head with a status that HTTP defines (RFC 9110, section 15): 100 to 599.
VALID_STATUS_LINE = re.compile(rb"HTTP/[0-9.]+ [1-5][0-9]{2}[ \r\n]")
FIRST_STATUS = 100
LAST_STATUS = 599
# TCP keepalive probes start after 1 s without traffic; a peer that does not acknowledge them is
# given up after about 3 s. ``TCP_USER_TIMEOUT`` is in milliseconds, the other times in seconds.
KEEPALIVE_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 2500),
)

# ``report(peer)`` is called with the address of a server whose data answers no request.
UnexpectedDataListener = Callable[[str], None]


def ignore_unexpected_data(peer: str) -> None:
    """Do nothing: the owner of the connection has no metrics."""


def holds_unread_data(sock: socket.socket) -> bool:
    """Return whether a connection holds data to read, and not only its end."""
    try:
        return bool(sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
    except OSError:
        return False


class Reply:
    """Status code, headers and body of a response.

    ``request_incomplete`` is true if the response came before the whole request was sent, and the
    rest of it is not sent any more.
    """

    __slots__ = ("body", "headers", "request_incomplete", "status")

    def __init__(
        self,
        *,
        status: int,
        body: bytes,
        headers: tuple[tuple[str, str], ...] = (),
        request_incomplete: bool = False,
    ) -> None:
        self.request_incomplete = request_incomplete
        self.status = status
        self.body = body
        self.headers = headers


class CallError(Exception):
    """Raised when a call ends without a complete response.

    Attributes
    ----------
    sent : bool
        True if any byte of the request may have been sent.
    connecting : bool
        True if the call failed before any byte was sent, usually because no connection could be
        opened. For a call that was aborted before it began, an ``HttpConnection`` sets False and an
        ``ExchangeConnection`` True.
    timed_out : bool
        True if the call ended because of its time limit.
    malformed : bool
        True if the bytes received are no valid response or exceed a limit. An ``HttpConnection``
        sets it for its own limits only.
    silent : bool
        True if the head of the request was not acknowledged in time, so that the rest was not
        sent. Only an ``ExchangeConnection`` that asks for an acknowledgement sets it.
    too_large : bool
        True if the body of the response exceeds the limit. Only an ``ExchangeConnection`` sets it.
    unread : bool
        True if this host had no memory to read the response, which is no fault of the server.
    """

    def __init__(
        self,
        detail: str,
        *,
        sent: bool,
        connecting: bool,
        timed_out: bool,
        malformed: bool = False,
        silent: bool = False,
        unread: bool = False,
        too_large: bool = False,
    ) -> None:
        super().__init__(detail)
        self.sent = sent
        self.connecting = connecting
        self.timed_out = timed_out
        self.malformed = malformed
        self.silent = silent
        self.unread = unread
        self.too_large = too_large


def holds_status_line(value: bytes) -> bool:
    """Return whether a header value or a reason phrase contains the begin of a status line.

    Examples
    --------
    >>> holds_status_line(b"textHTTP/1.1 200 OK"), holds_status_line(b"HTTP/1.1 proxy")
    (True, False)
    """
    return STATUS_LINE.search(value) is not None
