"""Byte budget and choice of closed connections under any order of callers that come and go."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import Bundle, RuleBasedStateMachine, consumes, invariant, rule

from rhubarbway.decisions.byte_budget import ByteAccount, ByteBudget
from rhubarbway.decisions.slow_readers import (
    LEAST_RATE,
    PRESSURE_RATE,
    PRESSURE_STALL_S,
    STALL_LIMIT_S,
    choose_closed,
    reads_too_slowly,
    spared_until,
)
from rhubarbway.model import CallerConnection, ConnectionPhase, Shortage

LIMIT = 1000
SIZES = st.integers(1, 1200)


class Callers(RuleBasedStateMachine):
    """Requests that get, read, keep and free bytes in any order, some after their caller left."""

    accounts = Bundle("accounts")
    reads = Bundle("reads")

    def __init__(self):
        super().__init__()
        self.budget = ByteBudget(limit=LIMIT)
        self.open = []

    @rule(target=accounts)
    def arrive(self):
        account = ByteAccount()
        self.open.append(account)
        return account

    @rule(account=accounts, size=SIZES)
    def hold_body(self, account, size):
        used = self.budget.used
        granted = self.budget.try_hold(account, size)
        assert self.budget.used == used + (size if granted else 0)
        assert not (granted and account.closed)

    @rule(target=reads, account=accounts, size=SIZES)
    def begin_read(self, account, size):
        return account, size if self.budget.try_read(account, size) else 0

    @rule(read=consumes(reads), share=st.integers(0, 10))
    def end_read(self, read, share):
        account, reserved = read
        self.budget.end_read(account, reserved, kept=reserved * share // 10)

    @rule(account=consumes(accounts))
    def leave(self, account):
        self.budget.close(account)
        self.open.remove(account)
        assert account.held == 0

    @rule(account=accounts, share=st.integers(0, 10))
    def settle_answer(self, account, share):
        self.budget.settle(account, account.held * share // 10)

    @invariant()
    def never_over_the_limit(self):
        """Guards against two requests that together get more than there is."""
        assert 0 <= self.budget.used <= LIMIT

    @invariant()
    def counts_what_is_held(self):
        """Guards against bytes of callers that left, which would be lost to the budget."""
        holders = self.budget.holders
        assert self.budget.used == sum(one.held + one.reading for one in holders)
        assert all(one.held == 0 for one in holders if one not in self.open)

    @invariant()
    def first_holder_can_go_on(self):
        """Guards against requests that each hold a part and wait for each other."""
        first = next(iter(self.budget.holders), None)
        if first is not None and not first.closed:
            assert self.budget.may_add(first, LIMIT - self.budget.used)


TestByteBudget = Callers.TestCase
TestByteBudget.settings = settings(
    max_examples=100, stateful_step_count=40, derandomize=True, deadline=None
)

PHASES = st.sampled_from(ConnectionPhase)


@st.composite
def connections(draw):
    """Return a connection in any phase, which began up to 100 s ago."""
    connection = CallerConnection(now=0.0)
    connection.enter(draw(PHASES), draw(st.floats(0.0, 100.0)))
    connection.taken_bytes = draw(st.integers(0, 10_000_000))
    connection.holds_bytes = draw(st.booleans())
    connection.served = draw(st.booleans())
    return connection


class ConnectionChoice(RuleBasedStateMachine):
    """A server that lacks places or bytes, with callers of all kinds."""

    def __init__(self):
        super().__init__()
        self.connections = []

    @rule(connection=connections())
    def arrive(self, connection):
        self.connections.append(connection)

    @rule(shortage=st.sampled_from(Shortage))
    def close_one(self, shortage):
        now = 100.0
        closed = choose_closed(self.connections, shortage, now)
        if closed is None:
            assert all(spared_until(one, shortage) > now for one in self.connections)
            return
        # Guards against a request that a server may have and that ends without an answer.
        assert closed.phase is not ConnectionPhase.HANDLING
        elapsed_s = now - closed.since
        if closed.phase is ConnectionPhase.SENDING:
            # Guards against sound readers that are cut off.
            assert elapsed_s >= PRESSURE_STALL_S
            assert closed.taken_bytes <= elapsed_s * PRESSURE_RATE
        assert shortage is Shortage.PLACES or closed.holds_bytes
        closed.cut = True

    @invariant()
    def long_answers_to_sound_readers_go_on(self):
        """Guards against an answer that ends although its caller takes it at the least rate."""
        for one in self.connections:
            elapsed_s = 100.0 - one.since
            if one.taken_bytes >= elapsed_s * LEAST_RATE or elapsed_s <= STALL_LIMIT_S:
                assert not reads_too_slowly(one, 100.0)


TestConnectionChoice = ConnectionChoice.TestCase
TestConnectionChoice.settings = settings(max_examples=100, derandomize=True, deadline=None)
