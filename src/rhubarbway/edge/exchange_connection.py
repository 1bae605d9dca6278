"""HTTP client connection for many short exchanges in threads that share the interpreter.

libcurl calls Python for each header line, and each call has to get the interpreter lock. With 36
connection tasks at work that made 23 context switches an exchange; here the task waits for the
lock only after a system call.
"""

from __future__ import annotations

import contextlib
import select
import socket
import threading
import time
from collections.abc import Sequence

from rhubarbway.edge.addresses import parse_address
from rhubarbway.edge.http_client import CallError, Reply
from rhubarbway.edge.response_reader import ResponseError, ResponseReader

RECEIVE_BYTES = 65_536


class RequestError(ValueError):
    """A request that cannot be written."""


class ExchangeConnection:
    """One connection to one server, used by one task; ``abort`` may be called by any thread.

    Parameters
    ----------
    address : str
        ``HOST:PORT``.
    """

    __slots__ = (
        "aborted_call",
        "address",
        "call_number",
        "deadline",
        "lock",
        "poll",
        "sent",
        "sock",
    )

    def __init__(self, *, address: str) -> None:
        self.address = parse_address(address)
        self.lock = threading.Lock()
        self.sock: socket.socket | None = None
        self.poll = select.poll()
        self.aborted_call = 0
        self.call_number = 0
        # Of the call under way: when it ends, and whether a byte of it may have left.
        self.deadline = 0.0
        self.sent = False

    @property
    def is_open(self) -> bool:
        """Whether a connection is open and idle.

        An idle connection with something to read has ended, or holds a response that belongs to no
        request of its own.
        """
        return self.sock is not None and not self.poll.poll(0)

    def open(self, *, timeout_s: float) -> None:
        """Open the connection, if it is not open, before there is a request.

        Raises
        ------
        CallError
            If it cannot be opened within ``timeout_s``.
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
    ) -> Reply:
        """Send one request and return the whole response, as ``HttpConnection.exchange`` does.

        Raises
        ------
        CallError
            If no whole response arrived. The connection is closed then.
        """
        self.deadline = time.monotonic() + timeout_s
        self.sent = False
        try:
            sock = self.connected_socket(connect_timeout_s)
            self.send(sock, request_bytes(method, target, headers, body))
            reader = self.read_response(sock, head_only=method == "HEAD")
        except (OSError, RequestError, ResponseError, UnicodeEncodeError) as error:
            raise self.disconnect_with_error(error) from None
        if not reader.reusable:
            self.disconnect()
        return reader.reply()

    def disconnect_with_error(self, error: Exception) -> CallError:
        """Close the connection after a failure, and return what the caller is told."""
        self.disconnect()
        return CallError(
            str(error) or type(error).__name__,
            sent=self.sent,
            connecting=not self.sent,
            timed_out=isinstance(error, TimeoutError),
        )

    def connected_socket(self, connect_timeout_s: float | None) -> socket.socket:
        """Return the open connection, or a new one if there is none or it has ended.

        Raises
        ------
        OSError
            If no connection could be opened, or the call was aborted before it began.
        """
        with self.lock:
            self.call_number += 1
            sock = self.sock if self.is_open else None
            if sock is None:
                self.close_socket()
            if self.aborted_call == self.call_number:
                raise ConnectionAbortedError("cancelled")
            if sock is not None:
                return sock
            sock = self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        remaining_s = self.deadline - time.monotonic()
        if connect_timeout_s is not None:
            remaining_s = min(remaining_s, connect_timeout_s)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.settimeout(max(0.001, remaining_s))
        sock.connect(self.address)
        if self.aborted_call == self.call_number:
            raise ConnectionAbortedError("cancelled")
        sock.setblocking(False)
        self.poll.register(sock, select.POLLIN)
        return sock

    def send(self, sock: socket.socket, data: bytes) -> None:
        """Send all bytes; most requests fit into the socket's buffer at once."""
        while data:
            try:
                # An error without a byte sent proves that the server has not got the request.
                count = sock.send(data)
            except BlockingIOError:
                self.wait(select.POLLOUT)
                continue
            self.sent = True
            data = data[count:]

    def read_response(self, sock: socket.socket, *, head_only: bool) -> ResponseReader:
        """Read the response of the request that was sent.

        Raises
        ------
        OSError, ResponseError
            If it does not come whole and in time.
        """
        reader = ResponseReader(head_only=head_only)
        while not reader.complete:
            reader.feed(self.receive(sock))
        return reader

    def receive(self, sock: socket.socket) -> bytes:
        """Return the next bytes, or none if the server has ended the connection."""
        while True:
            self.wait(select.POLLIN)
            with contextlib.suppress(BlockingIOError):
                return sock.recv(RECEIVE_BYTES)

    def wait(self, event: int) -> None:
        """Wait until the socket is ready.

        Raises
        ------
        TimeoutError
            If the time limit of the call passes before.
        """
        poll = self.poll
        if event != select.POLLIN:
            poll = select.poll()
            poll.register(self.sock, event)
        remaining_s = self.deadline - time.monotonic()
        if remaining_s <= 0.0 or not poll.poll(remaining_s * 1000):
            raise TimeoutError("the time limit has passed")

    def abort(self, call_number: int) -> None:
        """End the call with this number by ending its connection, or keep it from starting."""
        with self.lock:
            if call_number < self.call_number:
                return
            self.aborted_call = call_number
            if self.sock is not None:
                with contextlib.suppress(OSError):
                    self.sock.shutdown(socket.SHUT_RDWR)

    def disconnect(self) -> None:
        """Close the connection; the next call opens a new one. For the task that uses it."""
        with self.lock:
            self.close_socket()

    def close_socket(self) -> None:
        """Close the socket, if any; the caller holds the lock."""
        sock, self.sock = self.sock, None
        if sock is not None:
            with contextlib.suppress(KeyError):
                self.poll.unregister(sock)
            sock.close()


def request_bytes(method: str, target: str, headers: Sequence[str], body: bytes) -> bytes:
    """Return a whole request; ``headers`` are lines, to which the length of a body is added.

    Raises
    ------
    RequestError
        If a line would end early and the rest of it be taken for another one.

    Examples
    --------
    >>> request_bytes("POST", "/q", ["Host: h"], b"ab")
    b'POST /q HTTP/1.1\\r\\nHost: h\\r\\nContent-Length: 2\\r\\n\\r\\nab'
    """
    lines = [f"{method} {target} HTTP/1.1", *headers]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    if any("\r" in line or "\n" in line for line in lines):
        raise RequestError("a line of the request contains a line end")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body
