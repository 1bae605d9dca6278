"""One attempt to get the reply to a request from one server."""

from __future__ import annotations

from collections.abc import Callable

from rhubarbway.decisions.server_state import ServerState
from rhubarbway.edge.exchange_connection import ExchangeConnection
from rhubarbway.model import ExchangeOutcome, ForwardedRequest


class ServerAttempt:
    """One attempt to get the reply to a request from one server.

    Attributes
    ----------
    number : int
        Number that identifies the attempt on this host.
    shard : str
        Name of the service that the attempt goes to.
    deadline : float
        Instant after which the reply is of no use.
    submitted_at : float
        Instant at which the attempt was submitted to the pool.
    typical_s : float
        Typical latency of the route, seconds.
    exchange_s : float
        Typical time of an exchange with a server on the route, without the wait for a connection,
        seconds.
    priority : int
        Priority of the route; 0 is the highest.
    is_extra : bool
        Whether the attempt is a hedge or a retry.
    deliver : callable
        Takes the outcome; called exactly once.
    connection : ExchangeConnection or None
        The connection that the attempt uses, until its call has ended.
    call_number : int
        Number reserved for the call on that connection, so that a late cancellation hits no other
        call, also if this one is never begun. 0 until then: nothing can have been sent.
    server_state : ServerState or None
        State of the server, whose load tells how long the attempt still waits; None if unknown.
    waiting_since : float or None
        Instant at which the attempt began to wait for the server or for a free connection to it;
        None until the task of an idle or new connection has picked it up.
    sent_at : float or None
        Instant at which the exchange with the server began; None before.
    """

    __slots__ = (
        "call_number",
        "cancelled",
        "connection",
        "deadline",
        "deliver",
        "exchange_s",
        "is_extra",
        "number",
        "priority",
        "request",
        "route_name",
        "sent_at",
        "server_state",
        "shard",
        "submitted_at",
        "typical_s",
        "waiting_since",
    )

    def __init__(
        self,
        *,
        number: int,
        request: ForwardedRequest,
        shard: str,
        route_name: str,
        deadline: float,
        submitted_at: float,
        typical_s: float,
        deliver: Callable[[ExchangeOutcome], None],
        exchange_s: float | None = None,
        priority: int = 0,
        is_extra: bool = False,
        server_state: ServerState | None = None,
    ) -> None:
        self.server_state = server_state
        self.exchange_s = typical_s if exchange_s is None else exchange_s
        self.priority = priority
        self.is_extra = is_extra
        self.sent_at: float | None = None
        self.number = number
        self.request = request
        self.shard = shard
        self.route_name = route_name
        self.deadline = deadline
        self.typical_s = typical_s
        self.deliver = deliver
        self.cancelled = False
        self.connection: ExchangeConnection | None = None
        self.call_number = 0
        self.submitted_at = submitted_at
        self.waiting_since: float | None = None

    @property
    def latency_start(self) -> float:
        """Instant from which the latency of the server is measured."""
        return self.submitted_at if self.waiting_since is None else self.waiting_since

    def cancel(self) -> bool:
        """Cancel the attempt; a call that has begun is aborted, which ends its connection.

        Returns
        -------
        bool
            Whether it is certain that the attempt was not sent and will not be sent.
        """
        # ``run_attempt`` sets ``connection`` before it reads ``cancelled``, so either it sees the
        # cancellation or the call is aborted here.
        self.cancelled = True
        connection = self.connection
        if connection is not None:
            connection.abort(self.call_number)
        # The number is reserved before ``run_attempt`` reads ``cancelled`` for the last time.
        return connection is None and self.call_number == 0
