"""HTTP client connection on a ``pycurl`` easy handle.

libcurl silently resends a request when a reused connection ends before the response. A resent
request could be executed twice, so a request that was started on an open socket must not open
another one. A connection that is found closed before a request is shut down first, so that no byte
can be sent on it; only then may the request open a new one.
"""

from __future__ import annotations

import contextlib
import io
import select
import socket
import threading
from collections.abc import Iterator, Sequence

import pycurl

from rhubarbway.edge.http_call import (
    HEAD_LIMIT_BYTES,
    KEEPALIVE_OPTIONS,
    REPLY_LIMIT_BYTES,
    VALID_STATUS_LINE,
    CallError,
    Reply,
    UnexpectedDataListener,
    holds_status_line,
    holds_unread_data,
    ignore_unexpected_data,
)

# Statuses whose responses have neither a body nor a stated length.
BODYLESS_STATUSES = frozenset({204, 304})
# Headers that libcurl adds by default; a line with an empty value suppresses each of them. It also
# adds ``Host`` and ``Content-Length``, which are not suppressed.
CURL_DEFAULT_HEADERS = ("Expect:", "Accept:", "User-Agent:")
JSON_HEADERS = ("Content-Type: application/json",)


def suppressed_headers(headers: Sequence[str]) -> list[str]:
    """Return the header lines that suppress those defaults of libcurl that are not given.

    Examples
    --------
    >>> suppressed_headers(["Accept: text/plain"])
    ['Expect:', 'User-Agent:', 'Content-Type:']
    """
    given = {line.partition(":")[0].lower() for line in headers}
    return [
        line for line in (*CURL_DEFAULT_HEADERS, "Content-Type:") if line[:-1].lower() not in given
    ]


def parse_headers(head: bytes) -> Iterator[tuple[str, str]]:
    """Yield name and value of each header line of the last response in ``head``.

    ``head`` may begin with interim responses, which are skipped. Trailers of a chunked body, which
    follow the last response, are included.

    Examples
    --------
    >>> head = b"HTTP/1.1 100 Continue\\r\\nA: 1\\r\\n\\r\\nHTTP/1.1 200 OK\\r\\nB: 2\\r\\n\\r\\n"
    >>> list(parse_headers(head))
    [('B', '2')]
    """
    last = head.rfind(b"\nHTTP/") + 1
    for line in head[last:].decode("latin-1").split("\r\n")[1:]:
        name, colon, value = line.partition(":")
        if colon:
            yield name.strip(), value.strip()


def is_persistent(head: bytes, reply: Reply) -> bool:
    """Return whether the connection stays open after a response, as far as its head says.

    Examples
    --------
    >>> head = b"HTTP/1.1 200 OK\\r\\nContent-Length: 0\\r\\n\\r\\n"
    >>> reply = Reply(status=200, body=b"", headers=tuple(parse_headers(head)))
    >>> is_persistent(head, reply), is_persistent(head.replace(b"1.1", b"1.0"), reply)
    (True, False)
    """
    last = head.rfind(b"\nHTTP/") + 1
    values = {name.lower(): value.lower() for name, value in reply.headers}
    has_length = reply.status in BODYLESS_STATUSES or not values.keys().isdisjoint(
        {"content-length", "transfer-encoding"}
    )
    return (
        head.startswith(b"HTTP/1.1", last)
        and has_length
        and "close" not in values.get("connection", "")
    )


def set_method(curl: pycurl.Curl, method: str, body: bytes) -> None:
    """Set method and body of the next request on a reused handle."""
    curl.setopt(pycurl.HTTPGET, 1)
    curl.unsetopt(pycurl.CUSTOMREQUEST)
    if body or method == "POST":
        curl.setopt(pycurl.POST, 1)
        curl.setopt(pycurl.POSTFIELDS, body)
    elif method == "HEAD":
        curl.setopt(pycurl.NOBODY, 1)
    if method not in ("GET", "HEAD", "POST") or (body and method != "POST"):
        curl.setopt(pycurl.CUSTOMREQUEST, method)


class HttpConnection:
    """A connection to one server by libcurl, used by one task.

    ``abort`` may be called from any thread. ``ExchangeConnection`` has the same methods for calls,
    but uses a socket and ``httptools``.

    Parameters
    ----------
    address : str
        ``HOST:PORT``.
    keepalive_probes : bool
        Whether TCP keepalive probes detect a peer that disappears during a long wait for a reply.
    on_unexpected_data : callable
        Called with the address when a connection is given up because of data that answers no
        request.
    """

    __slots__ = (
        "aborted_call",
        "address",
        "body_buffer",
        "call_number",
        "curl",
        "head_buffer",
        "head_malformed",
        "keepalive_probes",
        "lock",
        "may_open",
        "on_unexpected_data",
        "reused",
        "shut_down",
        "sock",
    )

    def __init__(
        self,
        *,
        address: str,
        keepalive_probes: bool = False,
        on_unexpected_data: UnexpectedDataListener = ignore_unexpected_data,
    ) -> None:
        self.address = address
        self.on_unexpected_data = on_unexpected_data
        self.keepalive_probes = keepalive_probes
        self.lock = threading.Lock()
        self.sock: socket.socket | None = None
        # Whether this side has shut the connection down.
        self.shut_down = False
        # Whether the last call began on a connection that was open already.
        self.reused = False
        # Whether libcurl may open a socket for the current call.
        self.may_open = True
        # Number of the call that was last aborted, and of the call that was last begun; 0 for none.
        self.aborted_call = 0
        self.call_number = 0
        self.body_buffer = io.BytesIO()
        # Status line and header lines of the response.
        self.head_buffer = io.BytesIO()
        self.head_malformed = False
        self.curl = pycurl.Curl()
        self.curl.setopt(pycurl.NOSIGNAL, 1)
        self.curl.setopt(pycurl.TCP_NODELAY, 1)
        self.curl.setopt(pycurl.PROXY, "")
        self.curl.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
        self.curl.setopt(pycurl.MAXFILESIZE, REPLY_LIMIT_BYTES)
        self.curl.setopt(pycurl.OPENSOCKETFUNCTION, self.open_socket)
        self.curl.setopt(pycurl.CLOSESOCKETFUNCTION, self.close_socket)
        self.curl.setopt(pycurl.WRITEFUNCTION, self.collect_body)
        self.curl.setopt(pycurl.HEADERFUNCTION, self.collect_head)
        self.curl.setopt(pycurl.PATH_AS_IS, 1)
        self.curl.setopt(pycurl.URL, f"http://{self.address}/")

    def open_socket(self, purpose, address):
        """Open the socket that libcurl requests for a call.

        Refuses if the call was aborted. Refuses also if the call began on an open connection or has
        already opened a socket: the request may then have been sent, and libcurl would send it
        again.
        """
        with self.lock:
            if not self.may_open or self.aborted_call == self.call_number:
                return pycurl.SOCKET_BAD
            self.may_open = self.shut_down = False
            self.sock = socket.socket(address[0], address[1], address[2])
            for level, option, value in KEEPALIVE_OPTIONS if self.keepalive_probes else ():
                self.sock.setsockopt(level, option, value)
            return self.sock

    def close_socket(self, descriptor: int) -> int:
        """Close the socket and ``descriptor``, which is pycurl's duplicate of its descriptor."""
        with self.lock:
            if self.sock is not None:
                self.sock.close()
                self.sock = None
        try:
            socket.close(descriptor)
        except OSError:
            return 1
        return 0

    def collect_body(self, data: bytes) -> int | None:
        """Collect response bytes; beyond the size limit, -1 makes libcurl abort the transfer."""
        if self.body_buffer.tell() + len(data) > REPLY_LIMIT_BYTES:
            return -1
        self.body_buffer.write(data)
        return None

    def collect_head(self, line: bytes) -> int | None:
        """Collect a line of a head or trailer.

        For a line beyond the limit, one that two responses share, or a status that HTTP does not
        define, -1 makes libcurl abort.
        """
        if self.head_buffer.tell() + len(line) > HEAD_LIMIT_BYTES:
            self.head_malformed = True
            return -1
        # libcurl accepts a status line in the place of a header, or behind the begin of another.
        begins_head = line.startswith(b"HTTP/") and self.expects_status_line()
        is_valid = not begins_head or VALID_STATUS_LINE.match(line)
        if not is_valid or holds_status_line(line[1:] if begins_head else line):
            self.head_malformed = True
            return -1
        self.head_buffer.write(line)
        return None

    def expects_status_line(self) -> bool:
        """Whether no head has begun yet, or only interim responses have been read."""
        head = self.head_buffer.getvalue()
        return not head or head.endswith(b"\r\n\r\n")

    @property
    def is_open(self) -> bool:
        """Whether a connection is open and idle.

        An idle connection with data to read has been closed by the server, or holds a response
        that belongs to none of its requests.
        """
        sock = self.sock
        if sock is None:
            return False
        poll = select.poll()
        try:
            poll.register(sock, select.POLLIN)
        except ValueError:  # Another thread has closed the socket.
            return False
        return not poll.poll(0)

    def reserve_call(self) -> int:
        """Return the number of the next call, which no other call gets even if it is never begun.

        An ``abort`` of this number that comes late can then end no other call. Only the task that
        owns the connection may call this.
        """
        with self.lock:
            self.call_number += 1
            return self.call_number

    def call(
        self,
        method: str,
        path: str,
        body: bytes | None,
        *,
        timeout_s: float,
        call_number: int | None = None,
    ) -> Reply:
        """Send one JSON request and return the complete response.

        Parameters
        ----------
        method : str
            ``GET`` or ``POST``.
        path : str
            Path and query.
        body : bytes or None
            JSON body of a ``POST``.
        timeout_s : float
            Time limit of the whole call, seconds.
        call_number : int, optional
            Number from ``reserve_call``; by default the call takes the next one.

        Raises
        ------
        CallError
            If no complete response arrived.
        """
        return self.exchange(
            method,
            path,
            headers=JSON_HEADERS,
            body=body or b"",
            timeout_s=timeout_s,
            call_number=call_number,
        )

    def exchange(
        self,
        method: str,
        target: str,
        *,
        headers: Sequence[str],
        body: bytes,
        timeout_s: float,
        connect_timeout_s: float | None = None,
        call_number: int | None = None,
    ) -> Reply:
        """Send one request and return the complete response.

        ``Host``, if it is not among the headers, and the content length are added.

        Parameters
        ----------
        method, target : str
            Request method, and path and query as they are sent.
        headers : sequence of str
            Header lines, ``Name: value``.
        body : bytes
            Complete body; empty for none.
        timeout_s : float
            Time limit of the whole call, seconds.
        connect_timeout_s : float, optional
            Time limit for opening a new connection, seconds; by default that of the call.
        call_number : int, optional
            Number from ``reserve_call``; by default the call takes the next one.

        Raises
        ------
        CallError
            If no complete response arrived.
        """
        self.begin_call(call_number)
        curl = self.curl
        curl.setopt(pycurl.REQUEST_TARGET, target)
        curl.setopt(pycurl.TIMEOUT_MS, max(1, int(timeout_s * 1000)))
        connect_s = timeout_s if connect_timeout_s is None else min(connect_timeout_s, timeout_s)
        curl.setopt(pycurl.CONNECTTIMEOUT_MS, max(1, int(connect_s * 1000)))
        curl.setopt(pycurl.HTTPHEADER, [*headers, *suppressed_headers(headers)])
        set_method(curl, method, body)
        try:
            curl.perform()
        except pycurl.error as error:
            raise self.call_error(error) from None
        return self.read_reply(method)

    def begin_call(self, call_number: int | None) -> None:
        """Take a call number, and permit a new connection if there is no usable one.

        Raises
        ------
        CallError
            If the call was aborted before it began.
        """
        with self.lock:
            if call_number is None:
                self.call_number += 1
            self.reused = self.is_open
            self.may_open = not self.reused
            unexpected = False
            if self.may_open:
                # On the usual path, with an open idle connection, this costs no system call.
                if self.sock is not None and not self.shut_down:
                    unexpected = holds_unread_data(self.sock)
                self.shut_down_socket()
            if self.aborted_call == self.call_number:
                raise CallError("cancelled", sent=False, connecting=False, timed_out=False)
        if unexpected:
            self.on_unexpected_data(self.address)
        self.body_buffer = io.BytesIO()
        self.head_malformed = False
        self.head_buffer.seek(0)
        self.head_buffer.truncate()

    def read_reply(self, method: str) -> Reply:
        """Return the response of the call that has just completed.

        Raises
        ------
        CallError
            If the head is incomplete, or may be because the response has neither a body nor a
            stated length.
        """
        # libcurl accepts a head that the end of the connection cuts off as a complete one.
        head = self.head_buffer.getvalue()
        if b"\r\n\r\n" not in head[head.rfind(b"\nHTTP/") + 1 :]:
            raise self.incomplete_head_error()
        reply = Reply(
            status=self.curl.getinfo(pycurl.RESPONSE_CODE),
            body=self.body_buffer.getvalue(),
            headers=tuple(parse_headers(head)),
        )
        if not reply.body and reply.status not in BODYLESS_STATUSES and method != "HEAD":
            self.check_length(reply)
        if self.sock is None and is_persistent(head, reply):
            # libcurl closes the connection only if bytes follow the response.
            self.on_unexpected_data(self.address)
        return reply

    def check_length(self, reply: Reply) -> None:
        """Raise ``CallError`` for an empty response without a stated length.

        Its body may be cut off. A chunked body needs no length, because its last chunk marks its
        end.
        """
        if any(name.lower() == "transfer-encoding" for name, _ in reply.headers):
            return
        if self.curl.getinfo(pycurl.CONTENT_LENGTH_DOWNLOAD_T) < 0:
            raise self.incomplete_head_error()

    def incomplete_head_error(self) -> CallError:
        """Close the connection, and return the error for a response that may be cut off."""
        self.disconnect()
        return CallError("incomplete head", sent=True, connecting=False, timed_out=False)

    def call_error(self, error: pycurl.error) -> CallError:
        """Convert a libcurl error, and tell whether any byte of the request may have been sent."""
        code = error.args[0]
        sent = self.curl.getinfo(pycurl.REQUEST_SIZE) > 0
        return CallError(
            f"{error.args[1] or 'call failed'} (curl {code})",
            sent=sent,
            connecting=not sent,
            timed_out=code == pycurl.E_OPERATION_TIMEDOUT,
            malformed=self.head_malformed,
        )

    def abort(self, call_number: int) -> None:
        """End the call with this number by shutting its connection down, or prevent its start."""
        with self.lock:
            if call_number < self.call_number:
                return
            self.aborted_call = call_number
            self.shut_down_socket()

    def disconnect(self) -> None:
        """Shut the connection down; the next call opens a new one.

        Called only by the task that owns the connection; other threads call ``abort``.
        """
        with self.lock:
            self.shut_down_socket()

    def shut_down_socket(self) -> None:
        """Shut the socket down in both directions; the caller must hold the lock."""
        if self.sock is not None:
            self.shut_down = True
            with contextlib.suppress(OSError):
                self.sock.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Release the libcurl handle; only the task that owns the connection may call this."""
        self.curl.close()
