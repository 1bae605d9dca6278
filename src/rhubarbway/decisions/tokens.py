"""Tokens of unsafe requests: at-most-once execution by the issuing process.

An unsafe request is one that must not run twice (in the terms of HTTP, it is not idempotent). A
token is valid only in the process that issued it. Only that process holds the state of the token,
so no other process, and no later process at the same address, can run the request.
"""

from __future__ import annotations

import hashlib
import hmac
from collections import deque
from enum import Enum

from returns.result import Failure, Result, Success

from rhubarbway.model import Answer, ExecutionStatus, FailureKind
from rhubarbway.model import Failure as RequestFailure

MAX_LIVE_TOKENS = 100_000
TOKEN_LIFETIME_S = 600.0
# Memory for stored answers to repeated requests; the oldest answers are evicted first.
MAX_STORED_BYTES = 32 * 1024 * 1024
# Limit of the text of a token, characters; a longer text is malformed.
MAX_TOKEN_LENGTH = 256
MAC_HEX_DIGITS = 32

Outcome = Result[Answer, RequestFailure]


class Token:
    """Parsed token; ``expiry_ms`` is an instant of the issuing process's monotonic clock in ms.

    Examples
    --------
    >>> str(Token(host="e1", incarnation="00ff", counter=7, expiry_ms=9000, mac="ab"))
    'e1/00ff/7/9000/ab'
    """

    __slots__ = ("counter", "expiry_ms", "host", "incarnation", "mac")

    def __init__(
        self, *, host: str, incarnation: str, counter: int, expiry_ms: int, mac: str
    ) -> None:
        self.host = host
        self.incarnation = incarnation
        self.counter = counter
        self.expiry_ms = expiry_ms
        self.mac = mac

    @property
    def signed_text(self) -> str:
        """Text of the fields that the HMAC covers."""
        return f"{self.host}/{self.incarnation}/{self.counter}/{self.expiry_ms}"

    def __str__(self) -> str:
        return f"{self.signed_text}/{self.mac}"


class TokenState(Enum):
    """Progress of a token: unused, its request running, or the outcome of the request stored."""

    UNUSED = "unused"
    RUNNING = "running"
    DONE = "done"


class TokenEntry:
    """A live token in the table of its issuing process.

    Attributes
    ----------
    state : TokenState
        Progress of the token.
    digest : str or None
        Digest of the request that the first use bound the token to; None before.
    outcome : Result or None
        Stored outcome once ``state`` is ``DONE``.
    stored_bytes : int
        Size of the stored answer that counts towards the limit of the table.
    """

    __slots__ = ("counter", "digest", "expires_at", "outcome", "state", "stored_bytes")

    def __init__(self, *, counter: int, expires_at: float) -> None:
        self.counter = counter
        self.expires_at = expires_at
        self.state = TokenState.UNUSED
        self.digest: str | None = None
        self.outcome: Outcome | None = None
        self.stored_bytes = 0


class TokenAction(Enum):
    """What the issuing process does with a request that carries a valid token.

    ``DISPATCH`` runs the request, ``WAIT`` waits for the copy of the request that is running, and
    ``REPLAY`` returns the stored outcome.
    """

    DISPATCH = "dispatch"
    WAIT = "wait"
    REPLAY = "replay"


ACTION_BY_STATE = {
    TokenState.RUNNING: TokenAction.WAIT,
    TokenState.DONE: TokenAction.REPLAY,
}


class TokenUse:
    """A permitted use of a token: what to do with the request, and the entry of its token."""

    __slots__ = ("action", "entry")

    def __init__(self, *, action: TokenAction, entry: TokenEntry) -> None:
        self.action = action
        self.entry = entry


class TokenTable:
    """All live tokens of one process.

    The caller holds a lock around each method. ``now`` is a ``time.monotonic()`` instant.

    Parameters
    ----------
    host, incarnation : str
        Identity of the issuing process.
    key : bytes
        HMAC key, known to this process only.
    max_live_tokens : int
        Maximum number of live tokens.
    lifetime_s : float
        Time for which a token and its outcome are kept, seconds.
    max_stored_bytes : int
        Maximum size of all stored answers.
    """

    __slots__ = (
        "entries",
        "host",
        "incarnation",
        "issued_count",
        "key",
        "lifetime_s",
        "max_live_tokens",
        "max_stored_bytes",
        "stored_bytes",
        "stored_entries",
    )

    def __init__(
        self,
        *,
        host: str,
        incarnation: str,
        key: bytes,
        max_live_tokens: int = MAX_LIVE_TOKENS,
        lifetime_s: float = TOKEN_LIFETIME_S,
        max_stored_bytes: int = MAX_STORED_BYTES,
    ) -> None:
        self.host = host
        self.incarnation = incarnation
        self.key = key
        self.max_live_tokens = max_live_tokens
        self.lifetime_s = lifetime_s
        self.max_stored_bytes = max_stored_bytes
        # In the order of expiry, since all tokens have the same lifetime.
        self.entries: dict[int, TokenEntry] = {}
        self.issued_count = 0
        self.stored_entries: deque[TokenEntry] = deque()
        self.stored_bytes = 0

    def issue(self, now: float) -> str | None:
        """Return the text of a new token, or None if too many tokens are live."""
        self.drop_expired(now)
        if len(self.entries) >= self.max_live_tokens:
            return None
        self.issued_count += 1
        entry = TokenEntry(counter=self.issued_count, expires_at=now + self.lifetime_s)
        self.entries[entry.counter] = entry
        token = Token(
            host=self.host,
            incarnation=self.incarnation,
            counter=entry.counter,
            expiry_ms=int(entry.expires_at * 1000),
            mac="",
        )
        token.mac = token_mac(self.key, token.signed_text)
        return str(token)

    def begin_use(self, token: Token, digest: str, now: float) -> Result[TokenUse, RequestFailure]:
        """Return what to do with a request that carries a token; bind an unused token to it.

        Each token is dispatched at most once: ``DISPATCH`` ends the state ``UNUSED``, no transition
        leads back to ``UNUSED``, and a dropped entry is never created again.

        Parameters
        ----------
        token : Token
            Token of the request, not verified yet.
        digest : str
            Digest of the request; repetitions of the request have the same one.
        now : float
            ``time.monotonic()`` instant.
        """
        if (token.host, token.incarnation) != (self.host, self.incarnation):
            return token_refusal("the token was issued by another process, which is gone")
        if not hmac.compare_digest(token.mac, token_mac(self.key, token.signed_text)):
            return token_refusal("the token was not issued by this process or is damaged")
        entry = self.entries.get(token.counter)
        if entry is None:
            return token_refusal("the token has expired")
        if entry.digest is not None and entry.digest != digest:
            return Failure(
                RequestFailure(
                    kind=FailureKind.TOKEN_REUSED,
                    ran=ExecutionStatus.NOT_RUN,
                    detail="the token belongs to another request; this one needs its own token",
                )
            )
        if now >= entry.expires_at:
            ran = (
                ExecutionStatus.NOT_RUN
                if entry.state is TokenState.UNUSED
                else ExecutionStatus.UNKNOWN
            )
            self.drop_expired(now)
            return token_refusal("the token has expired", ran=ran)
        if entry.state is TokenState.UNUSED:
            entry.state = TokenState.RUNNING
            entry.digest = digest
            return Success(TokenUse(action=TokenAction.DISPATCH, entry=entry))
        return Success(TokenUse(action=ACTION_BY_STATE[entry.state], entry=entry))

    def finish(self, entry: TokenEntry, outcome: Outcome) -> None:
        """Store the outcome of a dispatched request; above the limit, evict the oldest answers."""
        entry.state = TokenState.DONE
        entry.outcome = outcome
        if entry.counter not in self.entries:
            # The token expired while the request ran, so no later copy can get the outcome.
            return
        entry.stored_bytes = answer_size_bytes(outcome)
        self.stored_entries.append(entry)
        self.stored_bytes += entry.stored_bytes
        while self.stored_bytes > self.max_stored_bytes:
            oldest = self.stored_entries.popleft()
            self.stored_bytes -= oldest.stored_bytes
            oldest.stored_bytes = 0
            oldest.outcome = outcome_without_answer(oldest.outcome)

    def drop_expired(self, now: float) -> None:
        """Drop expired tokens and their outcomes."""
        while self.entries:
            counter, entry = next(iter(self.entries.items()))
            if now < entry.expires_at:
                break
            del self.entries[counter]
            self.stored_bytes -= entry.stored_bytes
            entry.stored_bytes = 0
        while self.stored_entries and self.stored_entries[0].counter not in self.entries:
            self.stored_entries.popleft()


def token_mac(key: bytes, signed_text: str) -> str:
    """Return the HMAC-SHA-256 of a token, truncated to 128 bits, as hex digits."""
    return hmac.new(key, signed_text.encode(), hashlib.sha256).hexdigest()[:MAC_HEX_DIGITS]


def parse_token(text: str) -> Result[Token, RequestFailure]:
    """Parse the text of a token.

    Examples
    --------
    >>> parse_token("e1/00ff/7/9000/ab").unwrap().host
    'e1'
    >>> parse_token("e1/00ff").failure().ran
    <ExecutionStatus.UNKNOWN: 'unknown'>
    """
    parts = text.split("/")
    if len(text) > MAX_TOKEN_LENGTH or len(parts) != 5 or not text.isascii():
        return token_refusal("the token is malformed")
    host, incarnation, counter, expiry, mac = parts
    if not (counter.isdecimal() and expiry.isdecimal()):
        return token_refusal("the token is malformed")
    return Success(
        Token(
            host=host, incarnation=incarnation, counter=int(counter), expiry_ms=int(expiry), mac=mac
        )
    )


def token_refusal(
    detail: str, *, ran: ExecutionStatus = ExecutionStatus.UNKNOWN
) -> Failure[RequestFailure]:
    """Return the failure of a request whose token is refused.

    An earlier copy of the request may have run with this token, or with the token before it was
    altered, so ``ran`` is ``UNKNOWN`` by default.
    """
    return Failure(RequestFailure(kind=FailureKind.TOKEN_REFUSED, ran=ran, detail=detail))


def answer_size_bytes(outcome: Outcome) -> int:
    """Return the size of the result items of an outcome; 0 for a failure."""
    if not isinstance(outcome, Success):
        return 0
    return sum(len(shard.items_json) for shard in outcome.unwrap().shards)


def outcome_without_answer(outcome: Outcome | None) -> Outcome:
    """Return an outcome without its answer: a failure if it was a success, else unchanged."""
    if outcome is not None and not isinstance(outcome, Success):
        return outcome
    return Failure(
        RequestFailure(
            kind=FailureKind.OUTCOME_UNKNOWN,
            ran=ExecutionStatus.RUN,
            detail="the request ran, but its answer is no longer kept",
        )
    )
