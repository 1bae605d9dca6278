"""Reading of one HTTP response, from bytes to ``Reply``."""

from __future__ import annotations

import httptools

from rhubarbway.edge.http_client import REPLY_LIMIT_BYTES, Reply


class ResponseError(Exception):
    """The bytes are no whole response."""


class ResponseReader:
    """Collects one response; ``httptools`` parses it and calls the methods ``on_...``.

    Parameters
    ----------
    head_only : bool
        Whether the response has no body, as that to a ``HEAD`` request.

    Attributes
    ----------
    complete : bool
        True once the whole response was read.
    reusable : bool
        True if the server keeps the connection open and nothing follows the response.
    """

    __slots__ = (
        "complete",
        "head_only",
        "head_read",
        "headers",
        "parser",
        "body_parts",
        "reusable",
        "body_size",
        "status",
    )

    def __init__(self, *, head_only: bool = False) -> None:
        self.head_only = head_only
        self.headers: list[tuple[str, str]] = []
        self.body_parts: list[bytes] = []
        self.body_size = 0
        self.status = 0
        self.head_read = False
        self.complete = False
        self.reusable = False
        self.parser = httptools.HttpResponseParser(self)

    def feed(self, data: bytes) -> None:
        """Take in bytes, or the end of the connection if there are none.

        Raises
        ------
        ResponseError
            If they do not belong to a response, or it ends early or is too long.
        """
        if not data:
            self.feed_eof()
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            self.reusable = False
            if not self.complete:
                raise ResponseError(str(error)) from None
        if self.body_size > REPLY_LIMIT_BYTES:
            raise ResponseError("the response is too long")

    def feed_eof(self) -> None:
        """Take in the end of the connection, which ends a body without a length.

        Raises
        ------
        ResponseError
            If the response is not whole. One without a body and a length may be cut off.
        """
        names = {name.lower() for name, _ in self.headers}
        has_framing = not names.isdisjoint({"content-length", "transfer-encoding"})
        if not self.head_read or has_framing or not self.body_parts:
            raise ResponseError("the connection ended before the response")
        self.complete = True

    def reply(self) -> Reply:
        """Return the response, which is complete."""
        return Reply(
            status=self.status, body=b"".join(self.body_parts), headers=tuple(self.headers)
        )

    def on_message_begin(self) -> None:
        """Drop an interim response, or note that bytes follow the response."""
        self.reusable = False
        if not self.complete:
            self.headers.clear()
            self.head_read = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take in a header line, or a trailer of a body in chunks."""
        if not self.complete:
            self.headers.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """Take in the status."""
        if self.complete:
            return
        self.status = self.parser.get_status_code()
        self.head_read = self.status >= 200
        if self.head_read and self.head_only:
            self.mark_complete()

    def on_body(self, data: bytes) -> None:
        """Take in a part of the body."""
        if self.complete:
            self.reusable = False
            return
        self.body_size += len(data)
        if self.body_size <= REPLY_LIMIT_BYTES:
            self.body_parts.append(data)

    def on_message_complete(self) -> None:
        """Take in the end of a response, which may be an interim one."""
        if self.head_read and not self.complete:
            self.mark_complete()

    def mark_complete(self) -> None:
        """Record that the response is whole."""
        self.complete = True
        self.reusable = self.parser.should_keep_alive()
