"""Comparison of the bytes that a task has sent on a TCP connection with those the kernel counts.

A descriptor that is closed and in use again carries bytes that its owner never sent. No peer can
report them to this process, but the kernel's counters show them.
"""

from __future__ import annotations

import socket
import struct
from collections.abc import Callable

# Offsets in ``struct tcp_info`` of Linux, which only ever grows at its end: the connection state,
# ``tcpi_notsent_bytes``, and ``tcpi_bytes_sent`` with ``tcpi_bytes_retrans`` behind it.
STATE_OFFSET = 0
NOTSENT_OFFSET = 144
SENT_OFFSET = 200
TCP_INFO_BYTES = 216
# ``TCP_ESTABLISHED`` and ``TCP_CLOSE_WAIT``. In the other states this side has shut the connection
# down, which counts as one more byte, or the connection was reset.
COUNTED_STATES = frozenset({1, 8})

# ``report(peer, sent, counted)`` is called with the bytes that were sent and those counted.
ReportMismatch = Callable[[str, int, int], None]


def ignore_mismatch(peer: str, sent: int, counted: int) -> None:
    """Do nothing: the owner of the connection has no log."""


def counted_bytes(sock: socket.socket) -> int | None:
    """Return the payload bytes written to a connection since it opened, by the kernel's count.

    Returns
    -------
    int or None
        None if the kernel has no exact count: a connection that was shut down here or reset, or an
        old kernel.

    References
    ----------
    ``struct tcp_info`` in ``linux/tcp.h``; RFC 4898, ``tcpEStatsPerfDataOctetsOut``.
    """
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    except OSError:
        return None
    if len(info) < TCP_INFO_BYTES or info[STATE_OFFSET] not in COUNTED_STATES:
        return None
    (not_sent,) = struct.unpack_from("=I", info, NOTSENT_OFFSET)
    sent, sent_again = struct.unpack_from("=QQ", info, SENT_OFFSET)
    return sent - sent_again + not_sent


class SentBytes:
    """Count of the bytes that the task of one connection has sent on it.

    Attributes
    ----------
    count : int
        Bytes sent so far.
    exact : bool
        False after a send that failed, which may have sent a part of its bytes.
    """

    __slots__ = ("count", "exact")

    def __init__(self) -> None:
        self.count = 0
        self.exact = True

    def send_all(self, sock: socket.socket, data: bytes) -> None:
        """Send all bytes and count them.

        Raises
        ------
        OSError
            If the connection has ended or the time limit of the socket has passed.
        """
        self.exact, was_exact = False, self.exact
        sock.sendall(data)
        self.exact = was_exact
        self.count += len(data)

    def compare(self, sock: socket.socket, peer: str, report: ReportMismatch) -> None:
        """Report a connection that carries more bytes than were sent on it.

        Fewer bytes say nothing: a kernel without the counters leaves them at zero.

        Parameters
        ----------
        sock : socket.socket
            The connection, on which no other thread sends meanwhile.
        peer : str
            Address of the other side, for the report.
        report : callable
            Called at most once for a connection.
        """
        if not self.exact:
            return
        counted = counted_bytes(sock)
        if counted is not None and counted > self.count:
            self.exact = False
            report(peer, self.count, counted)
