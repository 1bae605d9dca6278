"""Server that answers requests a second time, late, on the connection of the first answer."""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from collections.abc import Callable

RECEIVE_BYTES = 65_536
# Time between an answer and its second copy, or between a second copy and the answer that is due.
# It lets the client read each of them by itself.
PAUSE_S = 0.02

# ``answer(head, body)`` returns the bytes of a response.
Answer = Callable[[bytes, bytes], bytes]


class Stutter:
    """When the second copy of an answer is sent, and how much of it.

    Attributes
    ----------
    moment : str
        ``at_once`` (in the segment of the answer), ``idle``, ``next_request``, or ``next_head`` (as
        soon as the head of the next request has arrived, and before an interim response to it).
    size : int or None
        Number of bytes of the copy that are sent; None for all.
    fraction : float
        Part of the copy that is sent if ``size`` is None.
    """

    __slots__ = ("fraction", "moment", "size")

    def __init__(self, *, moment: str, size: int | None = None, fraction: float = 1.0) -> None:
        self.moment = moment
        self.size = size
        self.fraction = fraction

    def part(self, answer: bytes) -> bytes:
        """Return the part of an answer that is sent again."""
        size = int(self.fraction * len(answer)) if self.size is None else self.size
        return answer[:size]


# The cases of a second reply that each kind of connection is tested with, by name.
STUTTERS = {
    "same_segment": Stutter(moment="at_once"),
    "idle": Stutter(moment="idle"),
    "after_next_request": Stutter(moment="next_request"),
    "half_in_same_segment": Stutter(moment="at_once", fraction=0.5),
    "half_while_idle": Stutter(moment="idle", fraction=0.5),
    "half_after_next_request": Stutter(moment="next_request", fraction=0.5),
}


class StutteringServer:
    """Answers requests over real sockets, and repeats answers as ``stutter`` says.

    Parameters
    ----------
    answer : callable
        Returns the response to a request.
    stutter : Stutter
        When second copies are sent.
    repeats : callable
        Whether the answer to a request is sent twice: ``repeats(number)``, with 1 for the first.
        By default only the first one is, so that all others show what the second copy did.

    Attributes
    ----------
    connection_count : int
        Connections accepted so far.
    requests : list of bytes
        Heads of the requests received, in order.
    copies_sent : threading.Event
        Set once a second copy has been sent.
    """

    def __init__(
        self,
        *,
        answer: Answer,
        stutter: Stutter,
        repeats: Callable[[int], bool] = lambda number: number == 1,
    ) -> None:
        self.answer = answer
        self.stutter = stutter
        self.repeats = repeats
        self.connection_count = 0
        self.requests: list[bytes] = []
        self.copies_sent = threading.Event()
        self.lock = threading.Lock()
        self.connections: list[socket.socket] = []
        self.threads: list[threading.Thread] = []
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.accept_thread = threading.Thread(target=self.accept)
        self.accept_thread.start()

    def accept(self) -> None:
        """Task: serve each connection in a task of its own."""
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            thread = threading.Thread(target=self.serve, args=(sock,))
            with self.lock:
                self.connection_count += 1
                self.connections.append(sock)
                self.threads.append(thread)
            thread.start()

    def serve(self, sock: socket.socket) -> None:
        """Task: answer the requests of one connection until it ends."""
        copy = b""
        with contextlib.suppress(OSError):
            while (request := self.read_request(sock, copy)) is not None:
                with self.lock:
                    self.requests.append(request[0])
                    number = len(self.requests)
                answer = self.answer(*request)
                if copy and self.stutter.moment == "next_request":
                    self.send_copy(sock, copy)
                    time.sleep(PAUSE_S)
                copy = b""
                if not self.repeats(number):
                    sock.sendall(answer)
                elif self.stutter.moment == "at_once":
                    sock.sendall(answer + self.stutter.part(answer))
                    self.copies_sent.set()
                elif self.stutter.moment == "idle":
                    sock.sendall(answer)
                    time.sleep(PAUSE_S)
                    self.send_copy(sock, self.stutter.part(answer))
                else:
                    sock.sendall(answer)
                    copy = self.stutter.part(answer)
        with contextlib.suppress(OSError):
            sock.shutdown(socket.SHUT_RDWR)
        sock.close()

    def send_copy(self, sock: socket.socket, copy: bytes) -> None:
        """Send a second copy and record that."""
        sock.sendall(copy)
        self.copies_sent.set()

    def read_request(self, sock: socket.socket, copy: bytes) -> tuple[bytes, bytes] | None:
        """Return head and body of the next request, or None at the end of the connection.

        A client that waits for an interim response before it sends the body gets one. ``copy`` is
        the second copy of the last answer that is still to be sent.
        """
        data = b""
        while b"\r\n\r\n" not in data:
            received = sock.recv(RECEIVE_BYTES)
            if not received:
                return None
            data += received
        head, _, body = data.partition(b"\r\n\r\n")
        if copy and self.stutter.moment == "next_head":
            self.send_copy(sock, copy)
            time.sleep(PAUSE_S)
        length = int(header(head, b"content-length") or 0)
        if len(body) < length and header(head, b"expect"):
            sock.sendall(b"HTTP/1.1 100 Continue\r\n\r\n")
        while len(body) < length:
            received = sock.recv(RECEIVE_BYTES)
            if not received:
                return None
            body += received
        return head, body

    def end_connections(self) -> None:
        """End all connections in both directions."""
        with self.lock:
            for sock in self.connections:
                with contextlib.suppress(OSError):
                    sock.shutdown(socket.SHUT_RDWR)

    def stop(self) -> None:
        """Close all connections and end the tasks."""
        with contextlib.suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        self.accept_thread.join()
        self.end_connections()
        for thread in self.threads:
            thread.join()


def header(head: bytes, name: bytes) -> bytes:
    """Return the value of a header of a request, or empty bytes.

    Examples
    --------
    >>> header(b"GET / HTTP/1.1\\r\\nX-Request-Id: 7", b"x-request-id")
    b'7'
    """
    for line in head.split(b"\r\n")[1:]:
        key, _, value = line.partition(b":")
        if key.strip().lower() == name:
            return value.strip()
    return b""


def response(body: bytes, *headers: str, status: str = "200 OK") -> bytes:
    """Return the bytes of a response.

    Examples
    --------
    >>> response(b"a", "X-A: 1")
    b'HTTP/1.1 200 OK\\r\\nX-A: 1\\r\\nContent-Length: 1\\r\\n\\r\\na'
    """
    lines = [f"HTTP/1.1 {status}", *headers, f"Content-Length: {len(body)}"]
    return "\r\n".join([*lines, "", ""]).encode() + body
