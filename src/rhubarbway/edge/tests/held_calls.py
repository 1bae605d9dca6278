"""Calls on sockets that wait between reading the descriptor's number and the system call.

CPython reads the number of a socket object, releases the interpreter lock and makes the system call
with the number, whatever has become of the descriptor meanwhile.
"""

import contextlib
import errno
import select
import socket
import threading

WAIT_S = 5.0
# Enough descriptors that each number that was freed is in use again.
REUSED = 40


class HeldCall:
    """A call on a socket that waits for ``released``, as a task without a processor does."""

    def __init__(self):
        self.begun = threading.Event()
        self.released = threading.Event()
        self.ended = threading.Event()

    def run(self, sock, call):
        number = sock.fileno()
        self.begun.set()
        self.released.wait(timeout=WAIT_S)
        if number < 0:
            raise OSError(errno.EBADF, "the socket was closed before the call")
        by_number = socket.socket(fileno=number)
        try:
            return call(by_number)
        finally:
            by_number.detach()
            self.ended.set()


class HeldSocket:
    """Stand-in for a connected socket whose ``shutdown`` is held."""

    def __init__(self, sock, held):
        self.sock = sock
        self.held = held

    def __getattr__(self, name):
        return getattr(self.sock, name)

    def shutdown(self, how):
        self.held.run(self.sock, lambda by_number: by_number.shutdown(how))


class HeldListener(socket.socket):
    """A listening socket whose first ``accept`` is held."""

    def __init__(self, listener, held):
        super().__init__(fileno=listener.detach())
        self.held = held

    def accept(self):
        if self.held.begun.is_set():
            return super().accept()
        return self.held.run(self, socket.socket.accept)


def hold_first_accept(monkeypatch):
    """Hold the first ``accept`` of the next listeners, and return the held call."""
    held = HeldCall()
    create = socket.create_server
    monkeypatch.setattr(
        socket,
        "create_server",
        lambda *args, **options: HeldListener(create(*args, **options), held),
    )
    return held


@contextlib.contextmanager
def reused_numbers():
    """Open pairs of sockets, which get the numbers freed last; yield all their sockets."""
    sockets = [sock for _ in range(REUSED) for sock in socket.socketpair()]
    try:
        yield sockets
    finally:
        for sock in sockets:
            sock.close()


def touched(sockets):
    """Return the sockets that were shut down or written to by somebody else."""
    return select.select(sockets, [], [], 0)[0]


@contextlib.contextmanager
def listeners_with_callers():
    """Open listeners, which get the numbers freed last, each with one connection to accept."""
    listeners = [socket.socket() for _ in range(REUSED)]
    for listener in listeners:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
    callers = [socket.create_connection(listener.getsockname()) for listener in listeners]
    try:
        yield listeners
    finally:
        for sock in (*callers, *listeners):
            sock.close()
