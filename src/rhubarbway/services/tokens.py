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

from rhubarbway.decisions.job_names import resolve_prefix
from rhubarbway.decisions.tokens import (
    TOKEN_LIFETIME_S,
    Token,
    TokenAction,
    TokenEntry,
    TokenTable,
    TokenUse,
    parse_token,
)
from rhubarbway.edge import token_wire, wire
from rhubarbway.edge.http_client import CallError, HttpConnection
from rhubarbway.kernel import Kernel
from rhubarbway.model import Answer, ExecutionStatus, FailureKind, HostIdentity, Query
from rhubarbway.model import Failure as RequestFailure
from rhubarbway.services.frontend import DEFAULT_DEADLINE_MS, JSON_CONTENT_TYPE, failure_response
from rhubarbway.services.log import component_logger
from rhubarbway.services.manifest import ManifestService
from rhubarbway.services.names import FRONTEND, MANIFEST, QUERIES
from rhubarbway.services.peer_connections import PeerConnections
from rhubarbway.services.queries import QueryService

MAX_TOKENS_PER_CALL = 64
# The issuing host replies this long before the caller's deadline, so that its reply is in time.
FORWARD_REPLY_MARGIN_S = 0.02
HMAC_KEY_BYTES = 32

Outcome = Result[Answer, RequestFailure]


class TokenService:
    """Issues tokens, runs unsafe requests once, and forwards them to the issuers of their tokens.

    ``outcome_futures`` holds the future outcome of each running request by token counter. ``lock``
    guards ``outcome_futures`` and ``token_table``.
    """

    __slots__ = (
        "forward_counter",
        "identity",
        "lock",
        "log",
        "manifest",
        "peer_connections",
        "queries",
        "outcome_futures",
        "token_table",
    )

    def __init__(self, *, identity: HostIdentity) -> None:
        self.identity = identity
        self.lock = threading.Lock()
        self.token_table = TokenTable(
            host=identity.name,
            incarnation=identity.incarnation,
            key=secrets.token_bytes(HMAC_KEY_BYTES),
        )
        self.outcome_futures: dict[int, Future[Outcome]] = {}
        self.peer_connections = PeerConnections()
        self.forward_counter = itertools.count(1)
        self.log = component_logger("tokens")
        self.manifest: ManifestService
        self.queries: QueryService

    def start(self, kernel: Kernel) -> None:
        """Find the services that unsafe requests need, and add the routes of tokens."""
        self.manifest = kernel.find(MANIFEST)
        self.queries = kernel.find(QUERIES)
        self.manifest.subscribe(
            lambda manifest: self.peer_connections.retain_addresses(
                {host.address for host in manifest.entry_hosts}
            )
        )
        frontend = kernel.find(FRONTEND)
        frontend.add_route("POST", "/v1/tokens", self.answer_tokens)
        frontend.add_route("POST", "/v1/peer/unsafe", self.answer_forwarded)

    def stop(self) -> None:
        """Close the connections to other entry hosts."""
        self.peer_connections.retain_addresses(set())

    def answer_tokens(self, request: Request) -> Response:
        """Issue the requested number of tokens, at most ``MAX_TOKENS_PER_CALL``."""
        try:
            count = token_wire.token_count_from_json(request.get_data(), limit=MAX_TOKENS_PER_CALL)
        except wire.MessageError as error:
            failure = RequestFailure(
                kind=FailureKind.BAD_REQUEST, ran=ExecutionStatus.NOT_RUN, detail=str(error)
            )
            return failure_response(failure, request_id=None)
        now = time.monotonic()
        with self.lock:
            issued = [self.token_table.issue(now) for _ in range(count)]
        tokens = [text for text in issued if text is not None]
        if not tokens:
            return failure_response(token_limit_failure(), request_id=None)
        body = token_wire.tokens_to_json(tokens, lifetime_s=TOKEN_LIFETIME_S)
        return Response(body, content_type=JSON_CONTENT_TYPE)

    def answer_unsafe(self, query: Query) -> Response:
        """Answer an unsafe request of a caller."""
        self.limit_deadline(query)
        if query.token is None:
            return self.require_token(query)
        parsed = parse_token(query.token)
        if not isinstance(parsed, Success):
            return failure_response(parsed.failure(), request_id=query.request_id)
        token = parsed.unwrap()
        if token.host != self.identity.name:
            return self.forward_to_issuer(query, token)
        return self.answer_as_issuer(query, token)

    def answer_forwarded(self, request: Request) -> Response:
        """Answer an unsafe request that another entry host forwarded; never forward it again."""
        try:
            forward = token_wire.forward_from_json(
                request.get_data(), default_deadline_ms=DEFAULT_DEADLINE_MS
            )
        except wire.MessageError as error:
            failure = RequestFailure(
                kind=FailureKind.BAD_REQUEST, ran=ExecutionStatus.NOT_RUN, detail=str(error)
            )
            return failure_response(failure, request_id=None)
        query = forward.query
        query.unsafe = True
        self.limit_deadline(query)
        parsed = parse_token(query.token or "")
        if isinstance(parsed, Success):
            response = self.answer_as_issuer(query, parsed.unwrap())
        else:
            response = failure_response(parsed.failure(), request_id=query.request_id)
        body = token_wire.forward_reply_to_json(
            forward.transfer_id, status=response.status_code, body=response.get_data()
        )
        return Response(body, content_type=JSON_CONTENT_TYPE)

    def limit_deadline(self, query: Query) -> None:
        """Apply the tenant's limit to the deadline, which also bounds waiting and forwarding."""
        manifest = self.manifest.in_force
        if manifest is None:
            return
        resolved = resolve_prefix(manifest, query.job)
        if isinstance(resolved, Success):
            service = manifest.services[resolved.unwrap().service or ""]
            limit_ms = manifest.tenants[service.tenant].policy.deadline_ms
            query.deadline = min(query.deadline, time.monotonic() + limit_ms / 1000)

    def require_token(self, query: Query) -> Response:
        """Refuse an unsafe request without a token, and include a new token in the reply."""
        with self.lock:
            text = self.token_table.issue(time.monotonic())
        if text is None:
            return failure_response(token_limit_failure(), request_id=query.request_id)
        failure = RequestFailure(
            kind=FailureKind.TOKEN_REQUIRED,
            ran=ExecutionStatus.NOT_RUN,
            detail="an unsafe request needs a token; send it again with this one",
            token=text,
        )
        return failure_response(failure, request_id=query.request_id)

    def answer_as_issuer(self, query: Query, token: Token) -> Response:
        """Answer an unsafe request as the issuer of its token, or refuse it."""
        with self.lock:
            token_use = self.token_table.begin_use(token, query.digest, time.monotonic())
            if isinstance(token_use, Success):
                future = self.outcome_future(token_use.unwrap())
        if not isinstance(token_use, Success):
            return failure_response(token_use.failure(), request_id=query.request_id)
        if token_use.unwrap().action is TokenAction.DISPATCH:
            outcome = self.dispatch(query, token_use.unwrap().entry)
        else:
            outcome = self.wait_for_outcome(query, future)
        return self.outcome_response(outcome, query)

    def outcome_future(self, token_use: TokenUse) -> Future[Outcome]:
        """Return the future outcome of an admitted request; the caller holds the lock."""
        entry = token_use.entry
        if token_use.action is TokenAction.DISPATCH:
            self.outcome_futures[entry.counter] = Future()
        if entry.outcome is not None:
            done: Future[Outcome] = Future()
            done.set_result(entry.outcome)
            return done
        return self.outcome_futures[entry.counter]

    def dispatch(self, query: Query, entry: TokenEntry) -> Outcome:
        """Run the request and store its outcome, which other copies of the request get.

        If running it raises an exception, an internal failure is stored, and the exception
        propagates to the caller of this method.
        """
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
                self.token_table.finish(entry, outcome)
                future = self.outcome_futures.pop(entry.counter)
            future.set_result(outcome)
        return outcome

    def wait_for_outcome(self, query: Query, future: Future[Outcome]) -> Outcome:
        """Return the outcome of an earlier copy of the request, stored or awaited.

        Waits for a copy that is still running until the deadline.
        """
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

    def outcome_response(self, outcome: Outcome, query: Query) -> Response:
        """Return the reply to one copy of a request, with the request id of this copy."""
        if not isinstance(outcome, Success):
            return failure_response(outcome.failure(), request_id=query.request_id)
        body = wire.answer_to_json(
            answer_with_request_id(outcome.unwrap(), query.request_id),
            host=self.identity.name,
            incarnation=self.identity.incarnation,
        )
        return Response(body, content_type=JSON_CONTENT_TYPE)

    def forward_to_issuer(self, query: Query, token: Token) -> Response:
        """Send a request to the issuer of its token and return the issuer's reply."""
        manifest = self.manifest.in_force
        hosts = manifest.entry_hosts if manifest is not None else ()
        address = next((host.address for host in hosts if host.name == token.host), None)
        if address is None:
            # Also without a manifest, since no entry host is known then.
            return self.refuse_not_forwarded(
                query, f"the issuer {token.host!r} is not an entry host"
            )
        transfer_id = (
            f"{self.identity.name}/{self.identity.incarnation}/{next(self.forward_counter)}"
        )
        forward = token_wire.ForwardedQuery(transfer_id=transfer_id, query=query)
        connection = self.peer_connections.acquire(address)
        reused = connection.is_open
        try:
            try:
                reply = self.send_forward(connection, forward)
            except CallError as error:
                if not reused or error.timed_out:
                    raise
                # Most likely the idle connection had been closed. The token makes it safe to send
                # the request again.
                connection.close()
                connection = self.peer_connections.open(address)
                reply = self.send_forward(connection, forward)
        except CallError as error:
            connection.close()
            return self.refuse_failed_call(query, error)
        except wire.MessageError as error:
            connection.close()
            return self.report_unknown_outcome(query, f"the issuing host sent a bad reply: {error}")
        self.peer_connections.release(connection)
        return Response(reply.body, status=reply.status, content_type=JSON_CONTENT_TYPE)

    def send_forward(
        self, connection: HttpConnection, forward: token_wire.ForwardedQuery
    ) -> token_wire.ForwardReply:
        """Send a forwarded request on one connection and return the reply."""
        remaining_s = forward.query.deadline - time.monotonic()
        if remaining_s <= FORWARD_REPLY_MARGIN_S:
            raise CallError(
                "no time is left",
                sent=False,
                connecting=False,
                timed_out=True,
            )
        reply = connection.call(
            "POST",
            "/v1/peer/unsafe",
            token_wire.forward_to_json(forward, margin_s=FORWARD_REPLY_MARGIN_S),
            timeout_s=remaining_s,
        )
        return token_wire.forward_reply_from_json(reply.body, transfer_id=forward.transfer_id)

    def refuse_failed_call(self, query: Query, error: CallError) -> Response:
        """Refuse a request after a failed call to the issuer of its token."""
        if error.sent:
            return self.report_unknown_outcome(query, f"the issuing host did not reply: {error}")
        return self.refuse_not_forwarded(query, f"the issuing host cannot be reached: {error}")

    def refuse_not_forwarded(self, query: Query, detail: str) -> Response:
        """Refuse a request that could not be sent to the issuer of its token.

        The status is ``ExecutionStatus.UNKNOWN``, because the issuer may have run an earlier copy:
        one that the caller sent before, or one sent in a call that failed on a reused connection.
        """
        self.log.warning("Unsafe request not forwarded to the issuer of its token.", detail=detail)
        failure = RequestFailure(
            kind=FailureKind.TOKEN_REFUSED, ran=ExecutionStatus.UNKNOWN, detail=detail
        )
        return failure_response(failure, request_id=query.request_id)

    def report_unknown_outcome(self, query: Query, detail: str) -> Response:
        """Return the response to a request that the issuer may have run."""
        failure = RequestFailure(
            kind=FailureKind.OUTCOME_UNKNOWN, ran=ExecutionStatus.UNKNOWN, detail=detail
        )
        return failure_response(failure, request_id=query.request_id)


def token_limit_failure() -> RequestFailure:
    """Return the failure of a request for a token at the limit of live tokens."""
    return RequestFailure(
        kind=FailureKind.OVERLOADED,
        ran=ExecutionStatus.NOT_RUN,
        detail="this entry host has issued as many live tokens as it may",
        retry_after_ms=1000,
    )


def answer_with_request_id(answer: Answer, request_id: str) -> Answer:
    """Return a copy of an answer with another request id."""
    values = {name: getattr(answer, name) for name in Answer.__slots__}
    return Answer(**(values | {"request_id": request_id}))
