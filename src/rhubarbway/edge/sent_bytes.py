"""Comparison of the bytes that a task has sent on a TCP connection with those the kernel counts.

A descriptor that is closed and in use again carries bytes that its owner never sent. No peer can
report them to this process, but the kernel's counters show them.
"""

from __future__ import annotations

import fcntl
import socket
import struct
import termios
from collections.abc import Callable

# Offsets in ``struct tcp_info`` of Linux, which only ever grows at its end: the connection state
# and ``tcpi_bytes_acked``, of Linux 4.1 and later.
STATE_OFFSET = 0
ACKNOWLEDGED_OFFSET = 120
TCP_INFO_BYTES = 128
# ``TCP_ESTABLISHED`` and ``TCP_CLOSE_WAIT``. In the other states this side has shut the connection
# down, which counts as one more byte, or the connection was reset.
COUNTED_STATES = frozenset({1, 8})
# The kernel counts the handshake of the side that connects as an acknowledged byte.
HANDSHAKE_BYTES = 1

# ``report(peer, sent, counted)`` is called with the bytes that were sent and those counted.
ReportMismatch = Callable[[str, int, int], None]

# ``on_progress(count)`` is called with the bytes that were sent after a wait.
Progress = Callable[[int], None]


def ignore_progress(count: int) -> None:
    """Do nothing: the sender has no rule on the rate."""


def ignore_mismatch(peer: str, sent: int, counted: int) -> None:
    """Do nothing: the owner of the connection has no log."""


def counted_bytes(sock: socket.socket) -> int | None:
    """Return the bytes written to a connection since it opened, by the kernel's count.

    These are the bytes that the peer has acknowledged and those that wait for it. The number of
    bytes sent would be too large where a send fails locally, since the kernel counts the bytes
    again when it repeats it.

    Returns
    -------
    int or None
        None if the kernel has no exact count: a connection that was shut down here or reset, or an
        old kernel.

    References
    ----------
    ``struct tcp_info`` in ``linux/tcp.h``; ``tcpEStatsAppHCThruOctetsAcked`` in RFC 4898;
    ``SIOCOUTQ`` in tcp(7).
    """
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
        # Read second: bytes that are acknowledged in between then count in neither number.
        queued = fcntl.ioctl(sock, termios.TIOCOUTQ, b"\0" * 4)
    except OSError:
        return None
    if len(info) < TCP_INFO_BYTES or info[STATE_OFFSET] not in COUNTED_STATES:
        return None
    (acknowledged,) = struct.unpack_from("=Q", info, ACKNOWLEDGED_OFFSET)
    (waiting,) = struct.unpack("=i", queued)
    return acknowledged + waiting


class SentBytes:
    """Count of the bytes that the task of one connection has sent on it.

    Attributes
    ----------
    count : int
        Bytes sent so far, as the kernel counts them.
    exact : bool
        False after a send that failed, which may have sent a part of its bytes.

    Parameters
    ----------
    connected : bool
        Whether this side has opened the connection, rather than accepted it.
    """

    __slots__ = ("count", "exact")

    def __init__(self, *, connected: bool = False) -> None:
        self.count = HANDSHAKE_BYTES if connected else 0
        self.exact = True

    def send_all(
        self, sock: socket.socket, *pieces: bytes, on_progress: Progress = ignore_progress
    ) -> None:
        """Send all bytes and count them.

        The time limit of the socket applies to each piece that the peer takes, not to the whole.

        Parameters
        ----------
        pieces : bytes
            Sent one after the other, by one system call if the socket's buffer has room.
        on_progress : callable
            Called with the number of bytes that the buffer has taken whenever the peer makes room,
            so not for bytes that it takes at once. May raise an ``OSError`` to end the sending.

        Raises
        ------
        OSError
            If the connection has ended or the time limit of the socket has passed.
        """
        count = sock.send(pieces[0]) if len(pieces) == 1 else sock.sendmsg(pieces)
        self.count += count
        for piece in pieces:
            if count >= len(piece):
                count -= len(piece)
                continue
            rest = memoryview(piece)[count:]
            count = 0
            while rest:
                taken = sock.send(rest)
                self.count += taken
                on_progress(taken)
                rest = rest[taken:]

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
