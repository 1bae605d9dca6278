"""Tests of the token state machine."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import Bundle, RuleBasedStateMachine, initialize, invariant, rule
from returns.result import Failure, Success

from rhubarbway.decisions.tokens import TokenAction, TokenTable, parse_token, token_mac
from rhubarbway.model import Answer, Coverage, ExecutionStatus, FailureKind, ShardAnswer
from rhubarbway.model import Failure as RequestFailure

MAX_LIVE_TOKENS = 5
LIFETIME_S = 10.0
MAX_STORED_BYTES = 100


def table_of(host="e1", incarnation="a1", key=b"key-1"):
    return TokenTable(
        host=host,
        incarnation=incarnation,
        key=key,
        max_live_tokens=MAX_LIVE_TOKENS,
        lifetime_s=LIFETIME_S,
        max_stored_bytes=MAX_STORED_BYTES,
    )


def answer_of(size):
    shard = ShardAnswer(
        shard=0, snapshot="s", fraction=1.0, items_json=b"x" * size, replica="r", latency_s=0.0
    )
    coverage = Coverage(shards_total=1, shards_answered=1, fraction=1.0, missing=())
    names = ("request_id", "job", "tenant", "service", "meaning", "snapshot", "layout")
    return Answer(**dict.fromkeys(names, ""), coverage=coverage, shards=(shard,), attempts=1)


NOT_RUN = Failure(
    RequestFailure(kind=FailureKind.NO_REPLICA, ran=ExecutionStatus.NOT_RUN, detail="")
)


class TokenMachine(RuleBasedStateMachine):
    """Three processes, two with the same host name, and requests with any of their tokens."""

    tokens = Bundle("tokens")

    @initialize()
    def start(self):
        self.now = 100.0
        self.tables = [
            table_of(),
            table_of(incarnation="a2", key=b"key-2"),
            table_of(host="e2", incarnation="b1", key=b"key-3"),
        ]
        self.dispatched = {}
        self.digests = {}
        self.running = []

    @rule(target=tokens, number=st.integers(0, 2))
    def issue(self, number):
        text = self.tables[number].issue(self.now)
        if text is None:
            assert len(self.tables[number].entries) == MAX_LIVE_TOKENS
            return "e1/a1/1/1/00"
        assert text not in self.dispatched
        self.dispatched[text] = 0
        return text

    @rule(token=tokens, number=st.integers(0, 2), digest=st.sampled_from(["d1", "d2"]))
    def use(self, token, number, digest):
        table = self.tables[number]
        result = table.begin_use(parse_token(token).unwrap(), digest, self.now)
        if not isinstance(result, Success):
            refusal = result.failure()
            if refusal.ran is ExecutionStatus.NOT_RUN and refusal.kind is FailureKind.TOKEN_REFUSED:
                assert self.dispatched.get(token, 0) == 0
            return
        token_use = result.unwrap()
        if token_use.action is TokenAction.DISPATCH:
            self.dispatched[token] += 1
            self.digests[token] = digest
            self.running.append((table, token_use.entry))
        assert self.digests[token] == digest
        assert (token_use.action is TokenAction.REPLAY) == (token_use.entry.outcome is not None)

    @rule(token=tokens, number=st.integers(0, 2))
    def use_with_altered_counter(self, token, number):
        """Guards against a token whose HMAC does not cover its counter."""
        altered = parse_token(token).unwrap()
        altered.counter += 1
        assert isinstance(self.tables[number].begin_use(altered, "d1", self.now), Failure)

    @rule(size=st.integers(0, 60), position=st.integers(0, 9))
    def finish(self, size, position):
        if self.running:
            table, entry = self.running.pop(position % len(self.running))
            table.finish(entry, Success(answer_of(size)) if size else NOT_RUN)

    @rule(seconds=st.floats(-1.0, 8.0))
    def move_clock(self, seconds):
        """Guards against a token that becomes usable again when the clock goes back."""
        self.now += seconds

    @invariant()
    def never_dispatched_twice(self):
        """Guards against an unsafe request that runs twice."""
        assert all(count <= 1 for count in getattr(self, "dispatched", {}).values())

    @invariant()
    def bounded(self):
        """Guards against memory that grows with the number of tokens or the size of answers."""
        for table in getattr(self, "tables", []):
            assert len(table.entries) <= MAX_LIVE_TOKENS
            assert 0 <= table.stored_bytes <= MAX_STORED_BYTES
            assert len(table.stored_entries) <= MAX_LIVE_TOKENS + 1


TestTokenMachine = TokenMachine.TestCase
TestTokenMachine.settings = settings(
    max_examples=60, stateful_step_count=40, derandomize=True, deadline=None
)


class TestTokenRefusals:
    def refusal(self, table, text, digest="d1", now=100.0):
        return table.begin_use(parse_token(text).unwrap(), digest, now).failure()

    def test_other_request_with_a_used_token_is_not_run(self):
        """Guards against a request that gets the outcome of another one with the same token."""
        table = table_of()
        text = table.issue(100.0)
        table.begin_use(parse_token(text).unwrap(), "d1", 100.0)
        refusal = self.refusal(table, text, digest="d2")
        assert (refusal.kind, refusal.ran) == (FailureKind.TOKEN_REUSED, ExecutionStatus.NOT_RUN)

    def test_token_of_an_earlier_process_is_unknown(self):
        """Guards against ``not_run`` for a request that ran before its process was killed."""
        text = table_of().issue(100.0)
        refusal = self.refusal(table_of(incarnation="a2", key=b"key-2"), text)
        assert (refusal.kind, refusal.ran) == (FailureKind.TOKEN_REFUSED, ExecutionStatus.UNKNOWN)

    def test_forged_token_is_refused(self):
        """Guards against a caller that runs a request with a token that no process issued."""
        table = table_of()
        table.issue(100.0)
        mac = token_mac(b"guess", "e1/a1/1/110000")
        assert self.refusal(table, f"e1/a1/1/110000/{mac}").kind is FailureKind.TOKEN_REFUSED

    def test_expired_token_is_not_run_only_while_its_state_is_known(self):
        """Guards against ``not_run`` for a request that may have run before its token expired."""
        table = table_of()
        unused, used = table.issue(100.0), table.issue(100.0)
        table.begin_use(parse_token(used).unwrap(), "d1", 101.0)
        assert self.refusal(table, unused, now=110.0).ran is ExecutionStatus.NOT_RUN
        assert self.refusal(table, used, now=110.0).ran is ExecutionStatus.UNKNOWN
        assert self.refusal(table, unused, now=110.0).ran is ExecutionStatus.UNKNOWN

    def test_dropped_answer_is_reported_as_run(self):
        """Guards against ``not_run`` for a repeated request whose stored answer was evicted."""
        table = table_of()
        entries = [
            table.begin_use(parse_token(table.issue(100.0)).unwrap(), "d1", 100.0).unwrap().entry
            for _ in range(2)
        ]
        for entry in entries:
            table.finish(entry, Success(answer_of(80)))
        assert entries[0].outcome.failure().ran is ExecutionStatus.RUN
        assert isinstance(entries[1].outcome, Success)
