"""Callers that read nothing, send nothing or never finish, and what a process holds meanwhile."""

from __future__ import annotations

import contextlib
import os
import select
import socket
from collections.abc import Iterator
from pathlib import Path

from rhubarbway.edge.addresses import parse_address
from rhubarbway_standins.platform.site import VIRTUAL_HOST
from rhubarbway_standins.processes import ManagedProcess

# Callers that send at the same time; the next ones wait until these have got the first bytes.
GROUP = 8
# Longest wait for the first bytes of a group's answers, seconds. It only paces the crowd.
PACE_S = 3.0
# Receive buffer of a caller that reads nothing, so that the answer stays with the gateway.
RECEIVE_BUFFER_BYTES = 4096


def request_head(target: str, *, method: str = "GET", headers: str = "") -> bytes:
    """Return the head of a caller's request."""
    return (
        f"{method} {target} HTTP/1.1\r\nHost: {VIRTUAL_HOST}\r\n"
        f"X-Request-Id: {os.urandom(8).hex()}\r\nX-Deadline-Ms: 10000\r\n{headers}\r\n"
    ).encode()


def connected(address: str) -> socket.socket:
    """Return a connection of a caller whose receive buffer is as small as the system allows."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sock.settimeout(PACE_S)
    sock.connect(parse_address(address))
    return sock


@contextlib.contextmanager
def crowd(
    address: str, messages: list[bytes], *, awaits_reply: bool, group_size: int = GROUP
) -> Iterator[None]:
    """Hold one connection for each message, which is sent on it, and read nothing.

    A connection that the gateway refuses or closes is allowed, so errors are ignored.
    """
    with contextlib.ExitStack() as stack:
        for first in range(0, len(messages), group_size):
            group = []
            for message in messages[first : first + group_size]:
                with contextlib.suppress(OSError):
                    sock = stack.enter_context(connected(address))
                    sock.sendall(message)
                    group.append(sock)
            for sock in group if awaits_reply else ():
                # ``select`` takes no descriptor beyond 1,023.
                poll = select.poll()
                poll.register(sock, select.POLLIN)
                poll.poll(PACE_S * 1000)
        yield


def peak_bytes(process: ManagedProcess) -> int:
    """Return the greatest resident memory that a process has had, bytes."""
    assert process.process is not None
    status = Path(f"/proc/{process.process.pid}/status").read_text(encoding="ascii")
    (line,) = [line for line in status.splitlines() if line.startswith("VmHWM:")]
    return int(line.split()[1]) * 1024


def descriptor_count(process: ManagedProcess) -> int:
    """Return the number of open descriptors of a process."""
    assert process.process is not None
    return len(os.listdir(f"/proc/{process.process.pid}/fd"))
