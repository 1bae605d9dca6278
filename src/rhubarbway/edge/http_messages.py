"""Checks, encoding and WSGI form of the messages of ``HttpServer``."""

from __future__ import annotations

import io
from typing import Any

import h11
from werkzeug.wrappers import Response

from rhubarbway.model import CallerLimits

# Bodies from this size on are sent without copying them behind their head.
LONG_BODY_BYTES = 16 * 1024
# Sent in place of an answer that has no valid encoding. The request may have run, and 502 promises
# nothing to the caller.
UNSENDABLE_REPLY = b"HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"


class RequestTooLarge(Exception):
    """Raised when a request body exceeds the size limit."""


class BodyRefused(Exception):
    """Raised when the host has no memory for a request body."""


class RequestTooSlow(Exception):
    """Raised when a request is not complete within the time limit."""


def check_head(head: h11.Request, limits: CallerLimits) -> None:
    """Check the size of a request head and that it states the body length in only one way.

    ``check_unparsed`` limits a head that arrives in several reads, but not one that arrives in a
    single read. With two statements of the length, a load balancer in front may follow the other
    one and take part of the body for the request of another caller (request smuggling).

    Raises
    ------
    h11.RemoteProtocolError
        If the head is too large, or has both ``Content-Length`` and ``Transfer-Encoding``.
    RequestTooLarge
        If the stated length exceeds the limit; the body is then not read.
    """
    size = len(head.target) + sum(len(name) + len(value) for name, value in head.headers)
    if size > limits.max_header_bytes:
        raise h11.RemoteProtocolError(
            f"the head exceeds {limits.max_header_bytes} bytes", error_status_hint=431
        )
    headers = dict(head.headers)
    length = headers.get(b"content-length")
    if length is None:
        return
    if b"transfer-encoding" in headers:
        raise h11.RemoteProtocolError("Content-Length and Transfer-Encoding exclude each other")
    if int(length) > limits.max_body_bytes:
        raise RequestTooLarge(f"the body exceeds {limits.max_body_bytes} bytes")


def check_unparsed(connection: h11.Connection, limits: CallerLimits) -> None:
    """Check the size of a head, chunk line or trailer that has not arrived completely.

    Raises
    ------
    h11.RemoteProtocolError
        If it is larger than a head may be.
    """
    unparsed, _ = connection.trailing_data
    if len(unparsed) > limits.max_header_bytes:
        raise h11.RemoteProtocolError(
            f"the head exceeds {limits.max_header_bytes} bytes", error_status_hint=431
        )


def stated_length(head: h11.Request) -> int:
    """Return the length of the body that a checked head states; 0 for none."""
    return int(dict(head.headers).get(b"content-length", b"0"))


def encode_response(
    connection: h11.Connection, response: Response, *, body: bytes, keep_alive: bool
) -> list[bytes]:
    """Return the bytes of a response, a long body as a piece of its own to save a copy.

    Header values are opaque bytes that are read and written as Latin-1 text; those outside ASCII
    (``obs-text``) are passed on as they are.

    Raises
    ------
    h11.LocalProtocolError, UnicodeError
        If the response has no valid encoding, such as a 204 with a body.

    References
    ----------
    RFC 9110, section 5.5.
    """
    headers = [
        (name.encode("latin-1"), value.encode("latin-1"))
        for name, value in response.headers.items()
    ]
    if not keep_alive:
        headers.append((b"Connection", b"close"))
    data = connection.send(h11.Response(status_code=response.status_code, headers=headers))
    encoded_body = connection.send(h11.Data(data=body)) if body else b""
    end = connection.send(h11.EndOfMessage())
    if len(encoded_body) < LONG_BODY_BYTES:
        return [data + encoded_body + end]
    return [data, encoded_body, end] if end else [data, encoded_body]


def wsgi_environ(head: h11.Request, body: bytes, peer: str) -> dict[str, Any]:
    """Return the WSGI environment of a request for ``werkzeug.wrappers.Request``."""
    path, _, query = head.target.decode("latin-1").partition("?")
    environ: dict[str, Any] = {
        "REQUEST_METHOD": head.method.decode("latin-1"),
        "SCRIPT_NAME": "",
        "PATH_INFO": path,
        "QUERY_STRING": query,
        "SERVER_PROTOCOL": "HTTP/1.1",
        "SERVER_NAME": "rhubarbway",
        "SERVER_PORT": "0",
        "REMOTE_ADDR": peer,
        "CONTENT_LENGTH": str(len(body)),
        "wsgi.version": (1, 0),
        "wsgi.url_scheme": "http",
        "wsgi.input": io.BytesIO(body),
        "wsgi.input_terminated": True,
    }
    for name, value in head.headers:
        key = name.decode("latin-1").upper().replace("-", "_")
        if key == "CONTENT_TYPE":
            environ["CONTENT_TYPE"] = value.decode("latin-1")
        elif key != "CONTENT_LENGTH":
            environ["HTTP_" + key] = value.decode("latin-1")
    return environ
