"""HTTP/1.1 server with one task for each persistent connection.

``h11`` parses and frames the messages; ``werkzeug`` supplies the request and response classes. The
server in ``werkzeug.serving`` is not used because it closes the connection after each request.
"""

from __future__ import annotations

import logging
import select
import selectors
import socket
import sys
import time
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor

import h11
from werkzeug.wrappers import Request, Response

from rhubarbway.edge.byte_account import UNCOUNTED_BYTES
from rhubarbway.edge.connection_places import ConnectionPlaces, shutdown_socket
from rhubarbway.edge.connection_state import (
    NO_RULES,
    ConnectionCut,
    ConnectionRules,
    ConnectionState,
    SlowReader,
)
from rhubarbway.edge.http_messages import (
    UNSENDABLE_REPLY,
    BodyRefused,
    RequestTooLarge,
    RequestTooSlow,
    check_head,
    check_unparsed,
    encode_response,
    stated_length,
    wsgi_environ,
)
from rhubarbway.edge.sent_bytes import ReportMismatch, ignore_mismatch
from rhubarbway.model import CallerLimits, ConnectionPhase

HEADER_LIMIT_BYTES = 16 * 1024
BODY_LIMIT_BYTES = 1024 * 1024
# Also bounds what a connection holds of requests that its caller has sent ahead.
RECEIVE_BYTES = 16 * 1024
# The kernel doubles it. Holds more than a link of 100 Mbit/s carries in a round trip of 10 ms.
SEND_BUFFER_BYTES = 128 * 1024
IDLE_TIMEOUT_S = 75.0
# Limits the time for a body, and by default for a head, as a whole and not per read, so that a peer
# that sends slowly cannot occupy a connection task for long. While a response is sent, it limits
# the time in which the peer takes nothing.
REQUEST_TIMEOUT_S = 10.0
# Time for which the rest of a refused request is read (lingering close). Closing a socket with
# unread data resets the connection, and the peer may then lose the reply.
DISCARD_TIMEOUT_S = 1.0
DISCARD_LIMIT_BYTES = 4 * 1024 * 1024
# Time for which an idle connection stays open after the server has begun to stop, so that a request
# that is already on its way is still answered.
STOP_IDLE_TIMEOUT_S = 0.25
# Time for which a request body waits for memory, seconds.
BODY_WAIT_S = 0.25
# Delay after a failed accept, for example when the process has run out of file descriptors.
ACCEPT_RETRY_DELAY_S = 0.1

DEFAULT_LIMITS = CallerLimits(
    max_header_bytes=HEADER_LIMIT_BYTES,
    max_body_bytes=BODY_LIMIT_BYTES,
    header_timeout_s=REQUEST_TIMEOUT_S,
    idle_timeout_s=IDLE_TIMEOUT_S,
)

# Key of the ``h11.Request`` in the WSGI environment, for a handler that forwards requests as they
# are.
HEAD_KEY = "rhubarbway.head"
# Key of the account of the request's bytes in the WSGI environment.
ACCOUNT_KEY = "rhubarbway.account"
# Key of the connection's socket in the WSGI environment, for a handler that watches whether the
# caller disconnects.
SOCKET_KEY = "rhubarbway.socket"


Handler = Callable[[Request], Response]
ErrorHandler = Callable[[int, str], Response]
# ``report(peer, error)`` is called with an exception that ended a connection or replaced an answer.
FailureReport = Callable[[str, Exception], None]


def log_failure(peer: str, error: Exception) -> None:
    """Log a failure with its traceback, for a server whose owner does not count failures."""
    logging.getLogger(__name__).error("Connection of %s failed.", peer, exc_info=error)


class HttpServer:
    """Accepts connections and serves each of them in its own task.

    Parameters
    ----------
    address : tuple of (str, int)
        Address to listen on; port 0 selects a free port.
    handler : callable
        Maps a ``werkzeug`` request to a response. It must not raise; an exception is reported and
        closes the connection without a reply.
    error_handler : callable
        Maps a status code and a detail to the response to a request that is refused before the
        handler is called. The response may have another status.
    max_connections : int
        Connections served concurrently. A further one takes the place of one that the rules allow
        to close, or is answered with 503 and closed.
    name : str
        Prefix of the thread names.
    limits : callable
        Returns the limits in force. Called when a request begins, and when an idle connection is
        about to be closed, so that changed limits hold for the next request of open connections.
    report_mismatch : callable
        Called with the peer of a connection that carries more bytes than the server has sent.
    report_failure : callable
        Called with each exception that is no end of the connection and no fault of the caller: of
        the handler, or of the encoding of an answer, in place of which the caller gets 502.
    rules : ConnectionRules
        Decide which connections are closed, and count the bytes held for requests.
    """

    __slots__ = (
        "accept_task",
        "address",
        "connection_ended",
        "connections",
        "error_handler",
        "executor",
        "handler",
        "keep_alive_disabled",
        "limits",
        "listener",
        "lock",
        "max_connections",
        "places",
        "report_failure",
        "report_mismatch",
        "rules",
        "stop_signal",
        "stop_trigger",
        "stopping",
    )

    def __init__(
        self,
        *,
        address: tuple[str, int],
        handler: Handler,
        error_handler: ErrorHandler,
        max_connections: int,
        name: str,
        limits: Callable[[], CallerLimits] = lambda: DEFAULT_LIMITS,
        report_mismatch: ReportMismatch = ignore_mismatch,
        report_failure: FailureReport = log_failure,
        rules: ConnectionRules = NO_RULES,
    ) -> None:
        self.limits = limits
        self.rules = rules
        self.report_failure = report_failure
        self.report_mismatch = report_mismatch
        self.handler = handler
        self.error_handler = error_handler
        self.max_connections = max_connections
        self.places = ConnectionPlaces(limit=max_connections, rules=rules)
        self.listener = socket.create_server(address, backlog=512)
        # Accepted sockets inherit it. Without a bound the kernel holds megabytes for each caller.
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        self.address: tuple[str, int] = self.listener.getsockname()[:2]
        self.executor = ThreadPoolExecutor(max_connections + 1, thread_name_prefix=name)
        self.connections = self.places.connections
        self.lock = self.places.lock
        self.connection_ended = self.places.connection_ended
        self.accept_task: Future[None] | None = None
        self.keep_alive_disabled = False
        self.stopping = False
        # One byte that is never read wakes the accept task and all idle connections.
        self.stop_signal, self.stop_trigger = socket.socketpair()

    def start(self) -> None:
        """Start the task that accepts connections."""
        self.accept_task = self.executor.submit(self.accept_connections)

    def accept_connections(self) -> None:
        """Accept until the server stops, then accept the backlog and close the listener."""
        self.listener.setblocking(False)
        with selectors.DefaultSelector() as selector:
            selector.register(self.listener, selectors.EVENT_READ)
            selector.register(self.stop_signal, selectors.EVENT_READ)
            while True:
                selector.select()
                stopping = self.stopping
                try:
                    while True:
                        self.start_connection(*self.listener.accept())
                except BlockingIOError:
                    if stopping:
                        break
                except OSError:
                    if stopping:
                        break
                    time.sleep(ACCEPT_RETRY_DELAY_S)
        with self.lock:
            self.listener.close()

    def start_connection(self, sock: socket.socket, peer: tuple[str, int]) -> None:
        """Start the task of a new connection, or refuse it if ``max_connections`` are open."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.settimeout(REQUEST_TIMEOUT_S)
        state = ConnectionState(sock=sock, peer=peer[0], stop_signal=self.stop_signal)
        if not self.places.add(state, may_wait=not self.stopping):
            self.refuse_connection(state)
            return
        try:
            self.executor.submit(self.serve_connection, state)
        except RuntimeError:  # The system cannot start another thread.
            with self.lock:
                self.connections.discard(state)
                self.connection_ended.notify_all()
            sock.close()

    def relieve(self) -> float:
        """Close a connection that holds bytes; return when the next one may be closed."""
        return self.places.relieve()

    def refuse_connection(self, state: ConnectionState) -> None:
        """Send a 503 reply without reading the request, and close the connection.

        Runs in the accept task. Because the request is not read, closing may reset the connection,
        and the peer may then lose the reply.
        """
        response = self.error_handler(503, "too many connections")
        response.headers["Connection"] = "close"
        body = response.get_data()
        lines = [f"HTTP/1.1 {response.status}"]
        lines += [f"{name}: {value}" for name, value in response.headers.items()]
        try:
            state.sock.settimeout(1.0)
            state.sock.sendall("\r\n".join([*lines, "", ""]).encode("latin-1") + body)
        except OSError:
            pass
        finally:
            state.sock.close()

    def serve_connection(self, state: ConnectionState) -> None:
        """Answer requests on one connection until either side closes it."""
        # ``h11`` takes its limit only when a connection opens; ``check_unparsed`` applies the limit
        # in force instead.
        connection = h11.Connection(h11.SERVER, max_incomplete_event_size=sys.maxsize)
        try:
            while self.serve_request(state, connection):
                connection.start_next_cycle()
                state.busy = False
                state.caller.served = True
                state.caller.enter(ConnectionPhase.IDLE, time.monotonic())
        except SlowReader:
            self.rules.report(state.peer, ConnectionPhase.SENDING, "slow")
            state.caller.cut = True
        except (OSError, h11.RemoteProtocolError):
            pass
        except Exception as error:
            self.report_failure(state.peer, error)
        finally:
            state.sent.compare(state.sock, state.peer, self.report_mismatch)
            state.account.close()
            if state.caller.cut and state.caller.phase is ConnectionPhase.SENDING:
                state.reset()
            with self.lock:
                # Under the lock, since ``stop`` shuts the sockets of the connections down: after
                # the close, the number of the descriptor may belong to another socket.
                state.sock.close()
                self.connections.discard(state)
                self.connection_ended.notify_all()

    def serve_request(self, state: ConnectionState, connection: h11.Connection) -> bool:
        """Read and answer one request; return whether the connection stays open."""
        state.account.close()
        state.account = self.rules.open_account()
        state.caller.holds_bytes = False
        try:
            head, body = self.read_request(state, connection)
        except h11.RemoteProtocolError as error:
            return self.refuse_request(state, connection, error.error_status_hint, str(error))
        except RequestTooLarge as error:
            return self.refuse_request(state, connection, 413, str(error))
        except RequestTooSlow as error:
            return self.refuse_request(state, connection, 408, str(error))
        except BodyRefused as error:
            return self.refuse_request(state, connection, 503, str(error))
        if head is None:
            return False
        with self.lock:
            if state.caller.cut:
                raise ConnectionCut("closed to make room")
            state.caller.enter(ConnectionPhase.HANDLING, time.monotonic())
        environ = wsgi_environ(head, body, state.peer)
        environ[SOCKET_KEY] = state.sock
        environ[HEAD_KEY] = head
        environ[ACCOUNT_KEY] = state.account
        response = self.handler(Request(environ))
        if head.method == b"HEAD":
            response.headers["Content-Length"] = str(len(response.get_data()))
            return self.send_response(state, connection, response, body=b"")
        return self.send_response(state, connection, response, body=response.get_data())

    def refuse_request(
        self, state: ConnectionState, connection: h11.Connection, status: int, detail: str
    ) -> bool:
        """Answer a request that was not read completely, and return False to end the connection.

        If the head was complete and the message well-formed so far, the reply has no
        ``Connection: close`` header unless keep-alive is disabled.
        """
        if connection.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return False
        response = self.error_handler(status, detail)
        self.send_response(state, connection, response, body=response.get_data())
        state.sock.shutdown(socket.SHUT_WR)
        self.discard_input(state)
        return False

    def discard_input(self, state: ConnectionState) -> None:
        """Read and discard the rest of a request, up to a time limit and a size limit."""
        deadline = time.monotonic() + DISCARD_TIMEOUT_S
        discarded = 0
        while discarded < DISCARD_LIMIT_BYTES and (remaining_s := deadline - time.monotonic()) > 0:
            state.sock.settimeout(remaining_s)
            data = state.sock.recv(RECEIVE_BYTES)
            if not data:
                return
            discarded += len(data)

    def read_request(
        self, state: ConnectionState, connection: h11.Connection
    ) -> tuple[h11.Request | None, bytes]:
        """Return head and body of the next request; the head is None if the connection ended."""
        head: h11.Request | None = None
        chunks: list[bytes] = []
        size = held = 0
        limits = self.limits()
        idle_since = time.monotonic()
        deadline: float | None = None
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                check_unparsed(connection, limits)
                if connection.they_are_waiting_for_100_continue:
                    interim = h11.InformationalResponse(status_code=100, headers=[])
                    state.sent.send_all(state.sock, connection.send(interim))
                data = self.receive(state, deadline, idle_since=idle_since)
                if data and not state.busy:
                    state.busy = True
                    limits = self.limits()
                    deadline = time.monotonic() + limits.header_timeout_s
                connection.receive_data(data)
            elif isinstance(event, h11.Request):
                head = event
                state.busy = True
                deadline = time.monotonic() + REQUEST_TIMEOUT_S
                check_head(head, limits)
                held = self.hold_body(state, stated_length(head), held)
            elif isinstance(event, h11.Data):
                size += len(event.data)
                if size > limits.max_body_bytes:
                    raise RequestTooLarge(f"the body exceeds {limits.max_body_bytes} bytes")
                held = self.hold_body(state, size, held)
                chunks.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return head, b"".join(chunks)
            else:
                return None, b""

    def hold_body(self, state: ConnectionState, size: int, held: int) -> int:
        """Count a body of ``size`` bytes of which ``held`` are counted; return the new count.

        Raises
        ------
        BodyRefused
            If there is no memory for it.
        """
        if size <= max(held, UNCOUNTED_BYTES):
            return held
        state.caller.holds_bytes = True
        if not state.account.hold(size - held, deadline=time.monotonic() + BODY_WAIT_S):
            raise BodyRefused("no memory for the body")
        return size

    def receive(
        self, state: ConnectionState, deadline: float | None, *, idle_since: float
    ) -> bytes:
        """Return the next bytes of a connection, or empty bytes if it has ended.

        Without a ``deadline`` the connection is idle: it also ends after the idle timeout in force,
        and ``STOP_IDLE_TIMEOUT_S`` after the server begins to stop. A request that has begun is
        still read.

        Raises
        ------
        RequestTooSlow
            If a request that has begun is not complete at ``deadline``.
        """
        poll = state.poll
        if state.busy:
            poll = select.poll()
            poll.register(state.sock, select.POLLIN)

        def remaining_s() -> float:
            until = idle_since + self.limits().idle_timeout_s if deadline is None else deadline
            return max(0.0, until - time.monotonic())

        ready = poll.poll(remaining_s() * 1000)
        # A new configuration may have raised the idle timeout meanwhile.
        while not ready and remaining_s() > 0.0:
            ready = poll.poll(remaining_s() * 1000)
        descriptor = state.sock.fileno()
        if ready and all(number != descriptor for number, _ in ready):
            socket_poll = select.poll()
            socket_poll.register(state.sock, select.POLLIN)
            ready = socket_poll.poll(STOP_IDLE_TIMEOUT_S * 1000)
        if state.caller.cut:
            raise ConnectionCut("closed to make room")
        if ready:
            data = state.sock.recv(RECEIVE_BYTES)
            state.note_received()
            return data
        if state.busy:
            raise RequestTooSlow("the request was not complete in time")
        return b""

    def send_response(
        self, state: ConnectionState, connection: h11.Connection, response: Response, *, body: bytes
    ) -> bool:
        """Send a response and return whether the connection stays open."""
        if connection.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return False
        keep_alive = (
            not self.keep_alive_disabled
            and not self.places.are_taken
            and connection.their_state in (h11.DONE, h11.SEND_BODY)
        )
        try:
            pieces = encode_response(connection, response, body=body, keep_alive=keep_alive)
        except (h11.LocalProtocolError, UnicodeError) as error:
            self.report_failure(state.peer, error)
            pieces, keep_alive = [UNSENDABLE_REPLY], False
        # A caller that has read foreign bytes may have closed the connection. The response then
        # resets it, and a connection that was reset has no count.
        state.sent.compare(state.sock, state.peer, self.report_mismatch)
        if len(body) > UNCOUNTED_BYTES:
            state.caller.holds_bytes = True
        state.account.settle(len(body) if len(body) > UNCOUNTED_BYTES else 0)
        state.send(pieces, self.rules)
        return keep_alive and connection.our_state is h11.DONE

    def disable_keep_alive(self) -> None:
        """Close each connection after its next reply; new connections are still accepted."""
        self.keep_alive_disabled = True

    def cut_off(self) -> None:
        """Refuse connections and shut the open ones down, as if the process had ended.

        Returns at once, so that a handler may call it. ``stop`` still has to be called: it ends the
        tasks, which close their descriptors themselves.
        """
        with self.lock:
            shutdown_socket(self.listener)
            for state in self.connections:
                shutdown_socket(state.sock)

    def stop(self, *, grace_s: float) -> int:
        """Stop accepting, wait for requests in flight, and close all connections.

        Connections in the backlog and requests that have already arrived are still answered.

        Parameters
        ----------
        grace_s : float
            Time after which the connections still open are closed by force, seconds. The method
            returns only after their handlers have returned, which may take longer.

        Returns
        -------
        int
            Number of connections closed by force after the wait; 0 if already stopped.
        """
        if self.stopping:
            return 0
        self.keep_alive_disabled = True
        self.stopping = True
        self.stop_trigger.send(b"s")
        # All connections of the backlog are accepted before the wait for open connections begins.
        if self.accept_task is not None:
            self.accept_task.result()
        with self.lock:
            self.connection_ended.wait_for(lambda: not self.connections, timeout=grace_s)
            cut = len(self.connections)
            for state in self.connections:
                shutdown_socket(state.sock)
        self.executor.shutdown(wait=True)
        with self.lock:
            self.listener.close()
        self.stop_trigger.close()
        self.stop_signal.close()
        return cut
