"""Unsafe requests: each runs at most once, in the process that issued its token."""

from __future__ import annotations

import itertools
import secrets
import threading
import time
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeout

from returns.result import Failure, Result, Success
from werkzeug.wrappers import Request, Response

from rhubarbway.decisions.job_names import resolved_prefix
from rhubarbway.decisions.tokens import (
    LIFETIME_S,
    Admission,
    Admitted,
    Token,
    TokenEntry,
    TokenTable,
    parsed_token,
)
from rhubarbway.edge import peer_wire, wire
from rhubarbway.edge.http_client import CallError, HttpConnection
from rhubarbway.kernel import Kernel
from rhubarbway.model import Answer, ExecutionStatus, FailureKind, HostIdentity, Query
from rhubarbway.model import Failure as RequestFailure
from rhubarbway.services.frontend import DEFAULT_DEADLINE_MS, JSON, failure_response
from rhubarbway.services.log import component_logger
from rhubarbway.services.manifest import ManifestService
from rhubarbway.services.names import FRONTEND, MANIFEST, QUERIES
from rhubarbway.services.peer_connections import PeerConnections
from rhubarbway.services.queries import QueryService

TOKENS_PER_CALL = 64
# The issuing host replies this much before the caller's deadline, so that its reply arrives.
FORWARD_MARGIN_S = 0.02
KEY_BYTES = 32

Outcome = Result[Answer, RequestFailure]


class TokenService:
    """Issues tokens, runs unsafe requests once, and forwards them to the issuers of their tokens.

    ``running`` holds the future outcome of each request that runs now, by token counter.
    """

    __slots__ = (
        "forwards",
        "identity",
        "lock",
        "log",
        "manifest",
        "peers",
        "queries",
        "running",
        "table",
    )

    def __init__(self, *, identity: HostIdentity) -> None:
        self.identity = identity
        self.lock = threading.Lock()
        self.table = TokenTable(
            host=identity.name,
            incarnation=identity.incarnation,
            key=secrets.token_bytes(KEY_BYTES),
        )
        self.running: dict[int, Future[Outcome]] = {}
        self.peers = PeerConnections()
        self.forwards = itertools.count(1)
        self.log = component_logger("tokens")
        self.manifest: ManifestService
        self.queries: QueryService

    def start(self, kernel: Kernel) -> None:
        """Find the services that unsafe requests need, and serve the paths of tokens."""
        self.manifest = kernel.find(MANIFEST)
        self.queries = kernel.find(QUERIES)
        self.manifest.subscribe(
            lambda manifest: self.peers.keep_only({host.address for host in manifest.entry_hosts})
        )
        frontend = kernel.find(FRONTEND)
        frontend.add_route("POST", "/v1/tokens", self.answer_tokens)
        frontend.add_route("POST", "/v1/peer/unsafe", self.answer_forwarded)

    def stop(self) -> None:
        """Close the connections to other entry hosts."""
        self.peers.keep_only(set())

    def answer_tokens(self, request: Request) -> Response:
        """Issue tokens."""
        try:
            count = peer_wire.token_count_from_json(request.get_data(), limit=TOKENS_PER_CALL)
        except wire.BadMessage as error:
            failure = RequestFailure(
                kind=FailureKind.BAD_REQUEST, ran=ExecutionStatus.NOT_RUN, detail=str(error)
            )
            return failure_response(failure, request_id=None)
        now = time.monotonic()
        with self.lock:
            issued = [self.table.issue(now) for _ in range(count)]
        tokens = [text for text in issued if text is not None]
        if not tokens:
            return failure_response(too_many_tokens(), request_id=None)
        body = peer_wire.tokens_to_json(tokens, lifetime_s=LIFETIME_S)
        return Response(body, content_type=JSON)

    def answer_unsafe(self, query: Query) -> Response:
        """Answer an unsafe request of a caller."""
        self.bound_deadline(query)
        if query.token is None:
            return self.require_token(query)
        parsed = parsed_token(query.token)
        if not isinstance(parsed, Success):
            return failure_response(parsed.failure(), request_id=query.request_id)
        token = parsed.unwrap()
        if token.host != self.identity.name:
            return self.forward(query, token)
        return self.answer_here(query, token)

    def answer_forwarded(self, request: Request) -> Response:
        """Answer an unsafe request that another entry host forwarded; it goes no further."""
        try:
            forward = peer_wire.forward_from_json(
                request.get_data(), default_deadline_ms=DEFAULT_DEADLINE_MS
            )
        except wire.BadMessage as error:
            failure = RequestFailure(
                kind=FailureKind.BAD_REQUEST, ran=ExecutionStatus.NOT_RUN, detail=str(error)
            )
            return failure_response(failure, request_id=None)
        query = forward.query
        query.unsafe = True
        self.bound_deadline(query)
        parsed = parsed_token(query.token or "")
        if isinstance(parsed, Success):
            response = self.answer_here(query, parsed.unwrap())
        else:
            response = failure_response(parsed.failure(), request_id=query.request_id)
        body = peer_wire.forward_reply_to_json(
            forward.number, status=response.status_code, body=response.get_data()
        )
        return Response(body, content_type=JSON)

    def bound_deadline(self, query: Query) -> None:
        """Apply the tenant's deadline, which also limits waiting and forwarding."""
        manifest = self.manifest.in_force
        if manifest is None:
            return
        resolved = resolved_prefix(manifest, query.job)
        if isinstance(resolved, Success):
            service = manifest.services[resolved.unwrap().service or ""]
            limit_ms = manifest.tenants[service.tenant].policy.deadline_ms
            query.deadline = min(query.deadline, time.monotonic() + limit_ms / 1000)

    def require_token(self, query: Query) -> Response:
        """Refuse an unsafe request without a token, and supply one."""
        with self.lock:
            text = self.table.issue(time.monotonic())
        if text is None:
            return failure_response(too_many_tokens(), request_id=query.request_id)
        failure = RequestFailure(
            kind=FailureKind.TOKEN_REQUIRED,
            ran=ExecutionStatus.NOT_RUN,
            detail="an unsafe request needs a token; send it again with this one",
            token=text,
        )
        return failure_response(failure, request_id=query.request_id)

    def answer_here(self, query: Query, token: Token) -> Response:
        """Answer an unsafe request as the issuer of its token, or refuse it."""
        with self.lock:
            admitted = self.table.admit(token, query.digest, time.monotonic())
            if isinstance(admitted, Success):
                future = self.future_of(admitted.unwrap())
        if not isinstance(admitted, Success):
            return failure_response(admitted.failure(), request_id=query.request_id)
        if admitted.unwrap().admission is Admission.DISPATCH:
            outcome = self.dispatch(query, admitted.unwrap().entry)
        else:
            outcome = self.awaited(query, future)
        return self.response_of(outcome, query)

    def future_of(self, admitted: Admitted) -> Future[Outcome]:
        """Return the future outcome of an admitted request; the lock is held."""
        entry = admitted.entry
        if admitted.admission is Admission.DISPATCH:
            self.running[entry.counter] = Future()
        if entry.outcome is not None:
            done: Future[Outcome] = Future()
            done.set_result(entry.outcome)
            return done
        return self.running[entry.counter]

    def dispatch(self, query: Query, entry: TokenEntry) -> Outcome:
        """Run the request and store its outcome, also when running it raises."""
        outcome: Outcome = Failure(
            RequestFailure(
                kind=FailureKind.INTERNAL,
                ran=ExecutionStatus.UNKNOWN,
                detail="an internal error ended the request",
            )
        )
        try:
            outcome = self.queries.answer(query)
        finally:
            with self.lock:
                self.table.finish(entry, outcome)
                future = self.running.pop(entry.counter)
            future.set_result(outcome)
        return outcome

    def awaited(self, query: Query, future: Future[Outcome]) -> Outcome:
        """Return the outcome of an earlier copy of the request, waiting until the deadline."""
        try:
            return future.result(timeout=max(0.0, query.deadline - time.monotonic()))
        except FutureTimeout:
            return Failure(
                RequestFailure(
                    kind=FailureKind.DEADLINE_PASSED,
                    ran=ExecutionStatus.UNKNOWN,
                    detail="an earlier copy of the request is still running",
                )
            )

    def response_of(self, outcome: Outcome, query: Query) -> Response:
        """Return the reply to one copy of a request, under the name that this copy has."""
        if not isinstance(outcome, Success):
            return failure_response(outcome.failure(), request_id=query.request_id)
        body = wire.answer_to_json(
            renamed_answer(outcome.unwrap(), query.request_id),
            host=self.identity.name,
            incarnation=self.identity.incarnation,
        )
        return Response(body, content_type=JSON)

    def forward(self, query: Query, token: Token) -> Response:
        """Send a request to the issuer of its token and return the issuer's reply."""
        manifest = self.manifest.in_force
        hosts = manifest.entry_hosts if manifest is not None else ()
        address = next((host.address for host in hosts if host.name == token.host), None)
        if address is None:
            return self.refuse_forward(query, f"the issuer {token.host!r} is not an entry host")
        number = f"{self.identity.name}/{self.identity.incarnation}/{next(self.forwards)}"
        forward = peer_wire.Forward(number=number, query=query)
        connection = self.peers.acquire(address)
        reused = connection.is_open
        try:
            try:
                reply = self.transfer(connection, forward)
            except CallError as error:
                if not reused or error.timed_out:
                    raise
                # The idle connection had died. The token makes it safe to send the request again.
                connection.close()
                connection = HttpConnection(address=address)
                reply = self.transfer(connection, forward)
        except CallError as error:
            connection.close()
            return self.refuse_call(query, error)
        except wire.BadMessage as error:
            connection.close()
            return self.refuse_unknown(query, f"the issuing host sent a bad reply: {error}")
        self.peers.release(connection)
        return Response(reply.body, status=reply.status, content_type=JSON)

    def transfer(
        self, connection: HttpConnection, forward: peer_wire.Forward
    ) -> peer_wire.ForwardReply:
        """Send a forwarded request on one connection and return the reply."""
        left_s = forward.query.deadline - time.monotonic()
        if left_s <= FORWARD_MARGIN_S:
            raise CallError("no time is left", sent=False, connecting=False, timed_out=True)
        reply = connection.call(
            "POST",
            "/v1/peer/unsafe",
            peer_wire.forward_to_json(forward, margin_s=FORWARD_MARGIN_S),
            timeout_s=left_s,
        )
        return peer_wire.forward_reply_from_json(reply.body, number=forward.number)

    def refuse_call(self, query: Query, error: CallError) -> Response:
        """Refuse a request after a failed call to the issuer of its token."""
        if error.sent:
            return self.refuse_unknown(query, f"the issuing host did not reply: {error}")
        return self.refuse_forward(query, f"the issuing host cannot be reached: {error}")

    def refuse_forward(self, query: Query, detail: str) -> Response:
        """Refuse a request that did not reach the issuer; earlier copies may have run."""
        self.log.warning("Refused an unsafe request.", detail=detail)
        failure = RequestFailure(
            kind=FailureKind.TOKEN_REFUSED, ran=ExecutionStatus.UNKNOWN, detail=detail
        )
        return failure_response(failure, request_id=query.request_id)

    def refuse_unknown(self, query: Query, detail: str) -> Response:
        """Report that the issuer may have run the request."""
        failure = RequestFailure(
            kind=FailureKind.OUTCOME_UNKNOWN, ran=ExecutionStatus.UNKNOWN, detail=detail
        )
        return failure_response(failure, request_id=query.request_id)


def too_many_tokens() -> RequestFailure:
    """Return the refusal of a token at the limit of live tokens."""
    return RequestFailure(
        kind=FailureKind.OVERLOADED,
        ran=ExecutionStatus.NOT_RUN,
        detail="this entry host has issued as many live tokens as it may",
        retry_after_ms=1000,
    )


def renamed_answer(answer: Answer, request_id: str) -> Answer:
    """Return the same answer under another request name."""
    values = {name: getattr(answer, name) for name in Answer.__slots__}
    return Answer(**(values | {"request_id": request_id}))
