"""HTTP client connection for many short exchanges in threads that share the interpreter lock.

libcurl calls back into Python for each header line, and each callback acquires the interpreter
lock. With 36 active connection tasks that caused 23 context switches per exchange. This connection
reacquires the lock only after system calls.
"""

from __future__ import annotations

import contextlib
import select
import socket
import threading
import time
from collections.abc import Sequence

from rhubarbway.edge.addresses import parse_address
from rhubarbway.edge.byte_account import UNCOUNTED, UNCOUNTED_BYTES, Account
from rhubarbway.edge.http_call import (
    KEEPALIVE_OPTIONS,
    REPLY_LIMIT_BYTES,
    CallError,
    Reply,
    UnexpectedDataListener,
    holds_unread_data,
    ignore_unexpected_data,
)
from rhubarbway.edge.response_reader import (
    ResponseError,
    ResponseReader,
    ResponseTooLargeError,
    TruncatedResponseError,
)
from rhubarbway.edge.sent_bytes import ReportMismatch, SentBytes, ignore_mismatch

RECEIVE_BYTES = 65_536


# Asks the server to answer the head before the body is sent (RFC 9110, section 10.1.1).
EXPECT_HEADER = "Expect: 100-continue"


class NoMemoryError(Exception):
    """Raised when this host has no memory for a reply that a server sends."""


class SilentPeerError(TimeoutError):
    """Raised when the head of a request is not acknowledged in time."""


class RequestError(ValueError):
    """Raised when a request cannot be encoded safely."""


class ResetCallError(CallError):
    """Raised when a call ends because the peer has reset the connection."""


class RefusedCallError(CallError):
    """Raised when no process accepts connections at the peer's address."""


CALL_ERRORS: dict[type[Exception], type[CallError]] = {
    ConnectionResetError: ResetCallError,
    ConnectionRefusedError: RefusedCallError,
}


class ExchangeConnection:
    """A connection to one server by a socket and ``httptools``, used by one task.

    ``abort`` may be called from any thread. ``HttpConnection`` uses libcurl instead, and adds a
    ``Host`` header to a request that has none.

    Parameters
    ----------
    address : str
        ``HOST:PORT``.
    keepalive_probes : bool
        Whether TCP keepalive probes detect a peer that disappears during a long wait for a reply.
    report_mismatch : callable
        Called when a connection closes that carries more bytes than were sent on it.
    on_unexpected_data : callable
        Called with the address when a connection is given up because of data that answers no
        request.
    """

    __slots__ = (
        "aborted_call",
        "address",
        "call_number",
        "deadline",
        "endpoint",
        "keepalive_probes",
        "late_wait",
        "lock",
        "on_unexpected_data",
        "poll",
        "report_mismatch",
        "reused",
        "sent",
        "sent_bytes",
        "sock",
    )

    def __init__(
        self,
        *,
        address: str,
        keepalive_probes: bool = False,
        report_mismatch: ReportMismatch = ignore_mismatch,
        on_unexpected_data: UnexpectedDataListener = ignore_unexpected_data,
    ) -> None:
        self.keepalive_probes = keepalive_probes
        # Whether the last call began on a connection that was open already.
        self.reused = False
        self.address = address
        self.endpoint = parse_address(address)
        self.report_mismatch = report_mismatch
        self.on_unexpected_data = on_unexpected_data
        self.sent_bytes = SentBytes(connected=True)
        self.lock = threading.Lock()
        self.sock: socket.socket | None = None
        self.poll = select.poll()
        # Number of the call that was last aborted, and of the call that was last begun; 0 for none.
        self.aborted_call = 0
        self.call_number = 0
        # Deadline of the current call, and whether any byte of its request may have been sent.
        self.deadline = 0.0
        self.sent = False
        # Whether a wait of the current call began after its deadline.
        self.late_wait = False

    @property
    def is_open(self) -> bool:
        """Whether a connection is open and idle.

        An idle connection with data to read has been closed by the server, or holds a response
        that belongs to none of its requests.
        """
        return self.sock is not None and not self.poll.poll(0)

    def reserve_call(self) -> int:
        """Return the number of the next call, which no other call gets even if it is never begun.

        An ``abort`` of this number that comes late can then end no other call. Only the task that
        owns the connection may call this.
        """
        with self.lock:
            self.call_number += 1
            return self.call_number

    def open(self, *, timeout_s: float) -> None:
        """Open the connection ahead of the first request, unless it is already open.

        Raises
        ------
        CallError
            If the connection cannot be opened within ``timeout_s``.
        """
        self.deadline = time.monotonic() + timeout_s
        self.sent = False
        try:
            self.connected_socket(None)
        except OSError as error:
            raise self.disconnect_with_error(error) from None

    def exchange(
        self,
        method: str,
        target: str,
        *,
        headers: Sequence[str],
        body: bytes,
        timeout_s: float,
        connect_timeout_s: float | None = None,
        acknowledgement_timeout_s: float | None = None,
        call_number: int | None = None,
        account: Account = UNCOUNTED,
    ) -> Reply:
        """Send one request and return the complete response.

        The parameters are those of ``HttpConnection.exchange``, but ``headers`` must include
        ``Host``. With ``acknowledgement_timeout_s`` the body, which must not be empty, is sent only
        once the server has answered the head by an interim response, within this time. A server
        that was paused, or gets the head late, then never has a whole request.

        Raises
        ------
        CallError
            If no complete response arrived. The connection is then closed.
        """
        self.deadline = time.monotonic() + timeout_s
        self.sent = self.late_wait = False
        try:
            sock = self.connected_socket(connect_timeout_s, call_number)
            reader = ResponseReader(head_only=method == "HEAD")
            if acknowledgement_timeout_s is None:
                self.send(sock, request_bytes(method, target, headers, body))
            else:
                head = request_bytes(method, target, [*headers, EXPECT_HEADER], body)
                self.send_acknowledged(
                    sock, head, body, reader=reader, timeout_s=acknowledgement_timeout_s
                )
            self.read_response(sock, reader, account)
        except (
            OSError,
            NoMemoryError,
            RequestError,
            ResponseError,
            UnicodeEncodeError,
        ) as error:
            raise self.disconnect_with_error(error) from None
        if not reader.reusable or reader.request_incomplete:
            self.disconnect()
        if reader.trailing_data:
            self.on_unexpected_data(self.address)
        return reader.reply()

    def disconnect_with_error(self, error: Exception) -> CallError:
        """Close the connection after a failure, and return the error to raise."""
        self.disconnect()
        return CALL_ERRORS.get(type(error), CallError)(
            str(error) or type(error).__name__,
            sent=self.sent,
            connecting=not self.sent,
            timed_out=isinstance(error, TimeoutError),
            silent=isinstance(error, SilentPeerError),
            unread=isinstance(error, NoMemoryError),
            malformed=isinstance(error, ResponseError)
            and not isinstance(error, TruncatedResponseError),
            too_large=isinstance(error, ResponseTooLargeError),
        )

    def connected_socket(
        self, connect_timeout_s: float | None, call_number: int | None = None
    ) -> socket.socket:
        """Return the socket of the open connection, or connect if there is none or it has ended.

        Raises
        ------
        OSError
            If no connection could be opened, or the call was aborted before it began.
        """
        with self.lock:
            if call_number is None:
                self.call_number += 1
            sock = self.sock if self.is_open else None
            unexpected = False
            if sock is None:
                unexpected = self.sock is not None and holds_unread_data(self.sock)
                self.close_socket()
            if self.aborted_call == self.call_number:
                raise ConnectionAbortedError("cancelled")
            self.reused = sock is not None
            if sock is not None:
                return sock
            sock = self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            self.sent_bytes = SentBytes(connected=True)
        if unexpected:
            self.on_unexpected_data(self.address)
        remaining_s = self.deadline - time.monotonic()
        if connect_timeout_s is not None:
            remaining_s = min(remaining_s, connect_timeout_s)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for level, option, value in KEEPALIVE_OPTIONS if self.keepalive_probes else ():
            sock.setsockopt(level, option, value)
        sock.settimeout(max(0.001, remaining_s))
        sock.connect(self.endpoint)
        if self.aborted_call == self.call_number:
            raise ConnectionAbortedError("cancelled")
        sock.setblocking(False)
        self.poll.register(sock, select.POLLIN)
        return sock

    def send(self, sock: socket.socket, data: bytes) -> None:
        """Send all bytes; most requests fit into the socket buffer and need one call."""
        while data:
            try:
                # An error before any byte was sent proves that the server has not received the
                # request.
                count = sock.send(data)
            except BlockingIOError:
                self.wait(select.POLLOUT)
                continue
            self.sent = True
            self.sent_bytes.count += count
            data = data[count:]

    def send_acknowledged(
        self,
        sock: socket.socket,
        message: bytes,
        body: bytes,
        *,
        reader: ResponseReader,
        timeout_s: float,
    ) -> None:
        """Send the head of a message, and its body after an interim response to the head.

        A final response to the head ends the exchange without the body.

        Raises
        ------
        OSError, ResponseError
            If neither arrives in time. The request has then not been sent as a whole.
        """
        final_deadline = self.deadline
        self.deadline = min(final_deadline, time.monotonic() + timeout_s)
        self.send(sock, message[: len(message) - len(body)])
        self.sent = False
        try:
            while not (reader.interim_read or reader.head_read):
                reader.feed(self.receive(sock))
        except TimeoutError:
            raise SilentPeerError(f"no acknowledgement within {timeout_s} s") from None
        self.deadline = final_deadline
        if reader.head_read:
            reader.request_incomplete = True
            return
        self.send(sock, body)

    def read_response(self, sock: socket.socket, reader: ResponseReader, account: Account) -> None:
        """Read the response to the request that was sent, into ``reader``.

        Raises
        ------
        OSError, ResponseError
            If no complete response arrives before the deadline.
        NoMemoryError
            If the account does not grant its bytes before the deadline.
        """
        # A server may have answered a head that it did not accept before the body was sent.
        if not reader.complete:
            reader.feed(self.receive(sock))
        if reader.complete and len(reader.body) <= UNCOUNTED_BYTES:
            return
        reserved = kept = 0
        try:
            while not reader.complete or not reserved:
                wanted = wanted_bytes(reader)
                if wanted > reserved:
                    if not account.read(wanted - reserved, deadline=self.deadline):
                        raise NoMemoryError("this host has no memory for the reply")
                    reserved = wanted
                if not reader.complete:
                    reader.feed(self.receive(sock))
            kept = len(reader.body)
        finally:
            account.end_read(reserved, kept=kept)

    def receive(self, sock: socket.socket) -> bytes:
        """Return the next bytes, or empty bytes if the server has closed the connection."""
        while True:
            self.wait(select.POLLIN)
            with contextlib.suppress(BlockingIOError):
                return sock.recv(RECEIVE_BYTES)

    def wait(self, event: int) -> None:
        """Wait until the socket is ready for ``event``, a ``select.POLL...`` flag.

        The first wait that begins after the deadline still finds what is ready then: the task may
        have been without a processor while the reply arrived.

        Raises
        ------
        TimeoutError
            If the deadline of the call passes first.
        """
        poll = self.poll
        if event != select.POLLIN:
            poll = select.poll()
            poll.register(self.sock, event)
        remaining_s = self.deadline - time.monotonic()
        was_late, self.late_wait = self.late_wait, remaining_s <= 0.0
        if (was_late and self.late_wait) or not poll.poll(max(0.0, remaining_s) * 1000):
            raise TimeoutError("the time limit has passed")

    def abort(self, call_number: int) -> None:
        """End the call with this number by shutting its connection down, or prevent its start."""
        with self.lock:
            if call_number < self.call_number:
                return
            self.aborted_call = call_number
            if self.sock is not None:
                with contextlib.suppress(OSError):
                    self.sock.shutdown(socket.SHUT_RDWR)

    def disconnect(self) -> None:
        """Close the connection; the next call opens a new one. Only its own task may call this."""
        with self.lock:
            self.close_socket()

    def close_socket(self) -> None:
        """Close the socket, if any; the caller must hold the lock."""
        sock, self.sock = self.sock, None
        if sock is not None:
            with contextlib.suppress(KeyError):
                self.poll.unregister(sock)
            self.sent_bytes.compare(sock, self.address, self.report_mismatch)
            sock.close()


def wanted_bytes(reader: ResponseReader) -> int:
    """Return the bytes to reserve for a response before more of it is read.

    The buffer of a body is larger than the body by up to an eighth.
    """
    stated = next((value for name, value in reader.headers if name.lower() == "content-length"), "")
    least = len(reader.body) + RECEIVE_BYTES
    length = int(stated) if stated.isascii() and stated.isdigit() and len(stated) < 10 else 0
    return min(max(length, least), REPLY_LIMIT_BYTES + RECEIVE_BYTES) * 9 // 8


def request_bytes(method: str, target: str, headers: Sequence[str], body: bytes) -> bytes:
    """Encode a request; ``headers`` are header lines, to which the content length is added.

    Raises
    ------
    RequestError
        If a line contains a line break, after which its rest would be read as another header.

    Examples
    --------
    >>> request_bytes("POST", "/q", ["Host: h"], b"ab")
    b'POST /q HTTP/1.1\\r\\nHost: h\\r\\nContent-Length: 2\\r\\n\\r\\nab'
    """
    lines = [f"{method} {target} HTTP/1.1", *headers]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    if any("\r" in line or "\n" in line for line in lines):
        raise RequestError("a line of the request contains a line break")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body
