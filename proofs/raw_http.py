"""HTTP on a plain socket, for requests that no client library sends."""

from __future__ import annotations

import http.client
import socket
from typing import Any

from rhubarbway.edge.json_codec import decode_json, encode_json

TIMEOUT_S = 20.0


class RawReply:
    """Status (0 if no complete reply arrived), headers by lower-case name, and body."""

    __slots__ = ("body", "headers", "status")

    def __init__(self, *, status: int, headers: dict[str, str], body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body

    @property
    def error(self) -> dict[str, Any]:
        """The typed error of the body."""
        return decode_json(self.body)["error"]


class RawConnection:
    """One connection to an entry host, to be used as a context manager."""

    __slots__ = ("sock",)

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self.sock = socket.create_connection((host, int(port)), timeout=TIMEOUT_S)

    def __enter__(self) -> RawConnection:
        return self

    def __exit__(self, *exception: object) -> None:
        self.sock.close()

    def send_bytes(self, data: bytes) -> None:
        """Send bytes, and ignore the error if the peer has already closed."""
        try:
            self.sock.sendall(data)
        except OSError:
            return

    def read_reply(self) -> RawReply:
        """Read the next reply; its status is 0 after an early close or ``TIMEOUT_S``."""
        response = http.client.HTTPResponse(self.sock)
        try:
            response.begin()
            body = response.read()
        except (OSError, http.client.HTTPException):
            return RawReply(status=0, headers={}, body=b"")
        headers = {name.lower(): value for name, value in response.getheaders()}
        return RawReply(status=response.status, headers=headers, body=body)


def request_head(method: str, path: str, *fields: str) -> bytes:
    """Return the head of a request; ``fields`` are whole header lines."""
    return "\r\n".join([f"{method} {path} HTTP/1.1", "Host: e", *fields, "", ""]).encode()


def query_request(body: bytes, *fields: str) -> bytes:
    """Return a query request whose head states the length of its body."""
    return request_head("POST", "/v1/query", f"Content-Length: {len(body)}", *fields) + body


def query_body(**fields: Any) -> bytes:
    """Return the body of a valid query, with some fields replaced."""
    return encode_json({"request_id": "r1", "job": "lots-all", "payload": {"q": 1}} | fields)


def send_raw(address: str, data: bytes, *, half_close: bool = False) -> RawReply:
    """Send bytes on a new connection, optionally end the stream, and return the reply."""
    with RawConnection(address) as connection:
        connection.send_bytes(data)
        if half_close:
            connection.sock.shutdown(socket.SHUT_WR)
        return connection.read_reply()
