"""TCP proxy that injects faults between callers, entry hosts and backend servers.

One process serves many routes. Each connection has two tasks, one for each direction. Faults are
set for a route and a direction and may change while connections are open. The proxy forwards whole
HTTP messages, so that a fault can act on one response.
"""

from __future__ import annotations

import contextlib
import re
import socket
import struct
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from werkzeug.wrappers import Request, Response

from rhubarbway.edge.http_server import HttpServer
from rhubarbway.edge.json_codec import decode_json, encode_json

JSON_CONTENT_TYPE = "application/json"
RECEIVE_BUFFER_BYTES = 64 * 1024
CONNECT_TIMEOUT_S = 5.0
# Threads are created on demand; the number only bounds them.
MAX_TASKS = 4096
CONTROL_CONNECTIONS = 32
# Start of each request, as far as it has been received: a method and a space.
REQUEST_START = re.compile(rb"[A-Z]+(?: |\Z)")
# Number of bytes that are kept of a message that does not begin like a request.
QUOTED_BYTES = 24
HEAD_END = b"\r\n\r\n"
CONTENT_LENGTH = re.compile(rb"\r\ncontent-length:[ \t]*(\d+)", re.IGNORECASE)
# SO_LINGER with a time of zero makes ``close`` send a reset.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
REQUEST = "request"
RESPONSE = "response"


class Route:
    """A listening address and the server behind it, both ``IP:PORT``."""

    __slots__ = ("listen", "name", "upstream")

    def __init__(self, *, name: str, listen: str, upstream: str) -> None:
        self.name = name
        self.listen = listen
        self.upstream = upstream

    def to_document(self) -> dict[str, str]:
        """Return the fields that a file of routes holds."""
        return {"name": self.name, "listen": self.listen, "upstream": self.upstream}


class Faults:
    """Faults of one direction of a route.

    Parameters
    ----------
    delay_ms : float
        Time by which messages and the end of the stream are delayed, milliseconds.
    drop : bool
        Discard messages; the connection stays open.
    cut : bool
        Reset the connection instead of forwarding a message.
    freeze : bool
        Hold messages until the fault is cleared; the port still accepts connections.
    duplicate : bool
        Forward each message twice.
    truncate : int or None
        Forward only this many bytes of a message and end the stream.
    swap : bool
        Swap a message with the next one on another connection of the route.
    path : str or None
        Apply ``drop``, ``cut``, ``duplicate``, ``truncate`` and ``swap`` only to requests of this
        path and to their responses.
    times : int or None
        Number of messages after which these faults stop; None for no limit.
    """

    __slots__ = (
        "cut",
        "delay_ms",
        "drop",
        "duplicate",
        "freeze",
        "path",
        "swap",
        "times",
        "truncate",
    )

    def __init__(
        self,
        *,
        delay_ms: float = 0.0,
        drop: bool = False,
        cut: bool = False,
        freeze: bool = False,
        duplicate: bool = False,
        truncate: int | None = None,
        swap: bool = False,
        path: str | None = None,
        times: int | None = None,
    ) -> None:
        self.delay_ms = delay_ms
        self.drop = drop
        self.cut = cut
        self.freeze = freeze
        self.duplicate = duplicate
        self.truncate = truncate
        self.swap = swap
        self.path = path
        self.times = times

    def consume(self, path: str) -> bool:
        """Return whether a fault applies to a message of this path; count it if so."""
        any_set = self.drop or self.cut or self.duplicate or self.swap or self.truncate is not None
        if not any_set or self.times == 0 or (self.path is not None and path != self.path):
            return False
        if self.times is not None:
            self.times -= 1
        return True


class HeldMessage:
    """A message that waits to be swapped with one of another connection."""

    __slots__ = ("connection", "message", "swapped")

    def __init__(self, *, connection: ProxiedConnection, message: bytes) -> None:
        self.connection = connection
        self.message = message
        self.swapped = False


class ProxiedConnection:
    """One proxied connection; ``path`` is the path of the last request on it.

    A silent connection takes data and forwards none until its client closes it.
    """

    __slots__ = ("client", "open_directions", "path", "reset", "server", "silent")

    def __init__(self, *, client: socket.socket, server: socket.socket) -> None:
        self.client = client
        self.server = server
        self.path = ""
        self.reset = False
        self.silent = False
        self.open_directions = 2

    def stop_reading(self) -> None:
        """Wake the tasks of both directions: their reads return the end of the stream.

        The caller holds the lock of the route, or is the task of a direction: the sockets must not
        be closed meanwhile, since another socket would then get the number of the descriptor.
        """
        for sock in (self.client, self.server):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RD)

    def close(self) -> None:
        """Close both sockets, with a TCP reset if ``reset`` is set.

        The caller holds the lock of the route.
        """
        for sock in (self.client, self.server):
            if self.reset:
                with contextlib.suppress(OSError):
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            sock.close()


class RouteProxy:
    """One route: its listener, its connections and its faults.

    ``unexpected_requests`` holds the first bytes of each message from a client that does not begin
    with a method; they are forwarded like a request.
    """

    __slots__ = (
        "closing",
        "condition",
        "connections",
        "executor",
        "fault_generation",
        "faults",
        "faults_applied",
        "held",
        "listener",
        "route",
        "unexpected_requests",
    )

    def __init__(self, *, route: Route, executor: ThreadPoolExecutor) -> None:
        self.route = route
        self.executor = executor
        self.condition = threading.Condition()
        self.faults = {REQUEST: Faults(), RESPONSE: Faults()}
        self.faults_applied = 0
        # Increases with each change of the faults, which releases messages held for a swap.
        self.fault_generation = 0
        self.held: list[HeldMessage] = []
        self.connections: set[ProxiedConnection] = set()
        self.unexpected_requests: list[bytes] = []
        self.closing = False
        self.listener = socket.create_server(socket_address(route.listen), backlog=512)
        executor.submit(self.accept_connections)

    def accept_connections(self) -> None:
        """Accept until the route is closed, and then close the listener.

        Only this task closes the listener: ``accept`` in a task that has read the number would
        otherwise take connections of the socket that gets the number next.
        """
        try:
            while not self.closing:
                try:
                    client, _ = self.listener.accept()
                except OSError:
                    continue
                self.executor.submit(self.open_connection, client)
        finally:
            with self.condition:
                self.listener.close()

    def open_connection(self, client: socket.socket) -> None:
        """Connect to the server and forward requests; a second task forwards the responses.

        If the server does not accept the connection, the connection of the client is reset.
        """
        try:
            server = socket.create_connection(
                socket_address(self.route.upstream), timeout=CONNECT_TIMEOUT_S
            )
        except OSError:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            client.close()
            return
        server.settimeout(None)
        for sock in (client, server):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = ProxiedConnection(client=client, server=server)
        with self.condition:
            self.connections.add(connection)
        self.executor.submit(self.forward, connection, RESPONSE)
        self.forward(connection, REQUEST)

    def forward(self, connection: ProxiedConnection, direction: str) -> None:
        """Forward the messages of one direction until the stream ends."""
        source, target = connection.client, connection.server
        if direction == RESPONSE:
            source, target = target, source
        buffer = b""
        try:
            while data := source.recv(RECEIVE_BUFFER_BYTES):
                if connection.silent:
                    continue
                buffer += data
                while size := message_size(buffer):
                    message, buffer = buffer[:size], buffer[size:]
                    self.check_start(direction, message)
                    self.forward_message(connection, direction, message, target)
            self.wait_until_due(connection, direction)
            # A client must not learn that a silent connection has ended.
            if not connection.reset and not (connection.silent and direction == RESPONSE):
                target.sendall(b"" if connection.silent else buffer)
                target.shutdown(socket.SHUT_WR)
        except OSError:
            self.reset_connection(connection)
        finally:
            self.check_start(direction, buffer)
            with self.condition:
                connection.open_directions -= 1
                if connection.open_directions == 0:
                    connection.close()
                    self.connections.discard(connection)

    def check_start(self, direction: str, message: bytes) -> None:
        """Record a message from a client that does not begin like a request."""
        if direction == REQUEST and message and not REQUEST_START.match(message):
            self.unexpected_requests.append(message[:QUOTED_BYTES])

    def forward_message(
        self, connection: ProxiedConnection, direction: str, message: bytes, target: socket.socket
    ) -> None:
        """Forward one message, or apply the faults of the direction to it."""
        if direction == REQUEST:
            connection.path = request_path(message)
        self.wait_until_due(connection, direction)
        if connection.silent:
            return
        with self.condition:
            faults = self.faults[direction]
            faulty = faults.consume(connection.path)
            self.faults_applied += faulty
        if faulty and faults.drop:
            return
        if faulty and faults.cut:
            self.reset_connection(connection)
        if faulty and faults.swap:
            message = self.swap_message(connection, message)
        if connection.reset:
            raise ConnectionResetError
        if faulty and faults.truncate is not None:
            target.sendall(message[: faults.truncate])
            target.shutdown(socket.SHUT_WR)
            connection.stop_reading()
            return
        target.sendall(message)
        if faulty and faults.duplicate:
            target.sendall(message)

    def wait_until_due(self, connection: ProxiedConnection, direction: str) -> None:
        """Wait while the direction is frozen and until the delay since the arrival has passed."""
        arrived = time.monotonic()
        with self.condition:
            self.condition.wait_for(lambda: connection.reset or not self.faults[direction].freeze)
            delay_s = self.faults[direction].delay_ms / 1000
            remaining_s = arrived + delay_s - time.monotonic()
            if remaining_s > 0:
                self.condition.wait_for(lambda: connection.reset, timeout=remaining_s)

    def swap_message(self, connection: ProxiedConnection, message: bytes) -> bytes:
        """Swap a message with one of another connection and return the other message.

        The message itself is returned if the faults change, or the connection is reset, before
        another message arrives.
        """
        with self.condition:
            partner = next(
                (other for other in self.held if other.connection is not connection), None
            )
            if partner is not None:
                self.held.remove(partner)
                received, partner.message, partner.swapped = partner.message, message, True
                self.condition.notify_all()
                return received
            held = HeldMessage(connection=connection, message=message)
            self.held.append(held)
            fault_generation = self.fault_generation
            self.condition.wait_for(
                lambda: held.swapped
                or connection.reset
                or self.fault_generation != fault_generation
            )
            if not held.swapped:
                self.held.remove(held)
            return held.message

    def set_faults(self, direction: str, faults: Faults) -> None:
        """Replace the faults of a direction."""
        with self.condition:
            self.faults[direction] = faults
            self.fault_generation += 1
            self.condition.notify_all()

    def reset_connection(self, connection: ProxiedConnection) -> None:
        """Reset one connection on both sides; the last of its tasks to end closes the sockets."""
        with self.condition:
            connection.reset = True
            self.condition.notify_all()
            connection.stop_reading()

    def silence_all(self) -> int:
        """Make all open connections silent for good, and return their number."""
        with self.condition:
            connections = list(self.connections)
            for connection in connections:
                connection.silent = True
        return len(connections)

    def reset_all(self) -> int:
        """Reset all open connections and return their number."""
        with self.condition:
            connections = list(self.connections)
        for connection in connections:
            self.reset_connection(connection)
        return len(connections)

    def close(self) -> None:
        """Stop listening and reset all connections; the accept task closes the listener."""
        with self.condition:
            self.closing = True
            with contextlib.suppress(OSError):
                self.listener.shutdown(socket.SHUT_RDWR)
        self.reset_all()


class FaultProxy:
    """All routes of one process and their control endpoint.

    ``POST /control/faults`` takes ``{"route": name or null, "direction": "request" or "response",
    "faults": {...}}``; a null route means all routes, and faults that are not given are cleared.
    ``POST /control/cut`` takes ``{"route": name or null}`` and resets the open connections.
    ``GET /control/state`` reports open connections and applied faults by route.

    Parameters
    ----------
    routes : list of Route
        What to proxy.
    control : str or None
        ``IP:PORT`` of the control endpoint; None for control by function calls only.
    """

    __slots__ = ("control", "executor", "route_proxies")

    def __init__(self, *, routes: list[Route], control: str | None = None) -> None:
        self.executor = ThreadPoolExecutor(MAX_TASKS, thread_name_prefix="proxy")
        self.route_proxies = {
            route.name: RouteProxy(route=route, executor=self.executor) for route in routes
        }
        self.control: HttpServer | None = None
        if control is not None:
            self.control = HttpServer(
                address=socket_address(control),
                handler=self.respond,
                error_handler=lambda status, detail: Response(detail, status=status),
                max_connections=CONTROL_CONNECTIONS,
                name="proxy-control",
            )
            self.control.start()

    def selected_proxies(self, route: str | None) -> list[RouteProxy]:
        """Return the proxy of one route, or the proxies of all routes."""
        return list(self.route_proxies.values()) if route is None else [self.route_proxies[route]]

    def set_faults(self, route: str | None, direction: str, **faults: Any) -> None:
        """Replace the faults of one direction of a route, or of all routes."""
        for route_proxy in self.selected_proxies(route):
            route_proxy.set_faults(direction, Faults(**faults))

    def cut(self, route: str | None) -> int:
        """Reset the open connections of a route, or of all routes; return their number."""
        return sum(route_proxy.reset_all() for route_proxy in self.selected_proxies(route))

    def silence(self, route: str | None) -> int:
        """Make the open connections of a route silent for good; new ones work."""
        return sum(route_proxy.silence_all() for route_proxy in self.selected_proxies(route))

    def state(self) -> dict[str, dict[str, int]]:
        """Return open connections and applied faults by route."""
        return {
            name: {
                "connections": len(route_proxy.connections),
                "faults_applied": route_proxy.faults_applied,
            }
            for name, route_proxy in self.route_proxies.items()
        }

    def respond(self, request: Request) -> Response:
        """Serve the control endpoint."""
        try:
            body = decode_json(request.get_data()) if request.method == "POST" else {}
            if request.path == "/control/faults":
                self.set_faults(body.get("route"), body["direction"], **body.get("faults", {}))
            elif request.path == "/control/cut":
                return Response(
                    encode_json({"cut": self.cut(body.get("route"))}),
                    content_type=JSON_CONTENT_TYPE,
                )
            elif request.path != "/control/state":
                return Response(status=404)
        except (KeyError, TypeError, ValueError) as error:
            return Response(
                f"invalid request to {request.path}: {type(error).__name__}: {error}; "
                f"known routes: {', '.join(self.route_proxies)}",
                status=400,
            )
        return Response(encode_json(self.state()), content_type=JSON_CONTENT_TYPE)

    def stop(self) -> None:
        """Close all routes and wait for the tasks."""
        if self.control is not None:
            self.control.stop(grace_s=0.0)
        for route_proxy in self.route_proxies.values():
            route_proxy.close()
        self.executor.shutdown(wait=True)


def socket_address(text: str) -> tuple[str, int]:
    """Return host and port of ``IP:PORT``.

    Examples
    --------
    >>> socket_address("127.0.0.1:80")
    ('127.0.0.1', 80)
    """
    host, _, port = text.rpartition(":")
    return host, int(port)


def message_size(buffer: bytes) -> int:
    """Return the size of the first HTTP message in a buffer, 0 while it is incomplete.

    A message without a length has no body; chunked bodies are not supported.

    Examples
    --------
    >>> message_size(b"HTTP/1.1 200 OK\\r\\nContent-Length: 2\\r\\n\\r\\nokHTTP")
    40
    >>> message_size(b"HTTP/1.1 200 OK\\r\\nContent-Length: 2\\r\\n\\r\\no")
    0
    """
    end = buffer.find(HEAD_END)
    if end < 0:
        return 0
    found = CONTENT_LENGTH.search(buffer, 0, end + 2)
    size = end + len(HEAD_END) + (int(found[1]) if found else 0)
    return size if len(buffer) >= size else 0


def request_path(message: bytes) -> str:
    """Return the path of a request without its query.

    Examples
    --------
    >>> request_path(b"GET /v1/ready?x=1 HTTP/1.1\\r\\n\\r\\n")
    '/v1/ready'
    """
    parts = message.split(b" ", 2)
    return parts[1].partition(b"?")[0].decode("latin-1") if len(parts) > 1 else ""


def routes_from_file(data: bytes) -> list[Route]:
    """Return the routes in the content of a file, a JSON array."""
    return [Route(**document) for document in decode_json(data)]
