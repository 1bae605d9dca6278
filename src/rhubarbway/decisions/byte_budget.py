"""Budget of the bytes that a host holds for callers, counted by request.

A request charges what it will hold before it holds it. Of several requests that want more than
there is, the one that has held bytes for longest may use a reserve, so that requests which each
hold a part of what they need do not wait for each other.
"""

from __future__ import annotations

# Part of the budget that only the request which has held bytes for longest may use.
RESERVE_FRACTION = 0.25


class ByteAccount:
    """Bytes that are held for one request.

    Attributes
    ----------
    held : int
        Bytes of its body, its replies and its answer.
    reading : int
        Bytes reserved for replies that are being read.
    closed : bool
        Whether the request has ended. Only ``reading`` counts from then on, until it is read.
    """

    __slots__ = ("closed", "held", "reading")

    def __init__(self) -> None:
        self.held = 0
        self.reading = 0
        self.closed = False


class ByteBudget:
    """Bytes that all requests of a host may hold together.

    Examples
    --------
    >>> budget = ByteBudget(limit=100)
    >>> first, second = ByteAccount(), ByteAccount()
    >>> budget.try_hold(first, 60), budget.try_hold(second, 30), budget.try_hold(first, 30)
    (True, False, True)
    >>> budget.close(first)
    >>> budget.used
    0
    """

    __slots__ = ("holders", "limit", "used")

    def __init__(self, *, limit: int) -> None:
        self.limit = limit
        self.used = 0
        # The accounts that hold bytes, the one that has done so for longest first.
        self.holders: dict[ByteAccount, None] = {}

    def fits_alone(self, account: ByteAccount, count: int) -> bool:
        """Whether an account could get more bytes if no other account held any."""
        return account.held + account.reading + count <= self.limit

    def may_add(self, account: ByteAccount, count: int) -> bool:
        """Whether an account gets more bytes now."""
        if account.closed:
            return False
        is_first = next(iter(self.holders), account) is account
        reserve = 0 if is_first else int(self.limit * RESERVE_FRACTION)
        return self.used + count <= self.limit - reserve

    def try_hold(self, account: ByteAccount, count: int) -> bool:
        """Charge bytes of a body; return whether they fit."""
        if not self.may_add(account, count):
            return False
        self.add(account, held=count)
        return True

    def try_read(self, account: ByteAccount, count: int) -> bool:
        """Charge bytes of a reply before they are read; return whether they fit."""
        if not self.may_add(account, count):
            return False
        self.add(account, reading=count)
        return True

    def end_read(self, account: ByteAccount, reserved: int, *, kept: int) -> None:
        """Replace what was reserved for a reply by the size of the part that is kept.

        Nothing is kept for a request that has ended.
        """
        self.add(account, reading=-reserved, held=0 if account.closed else kept)

    def settle(self, account: ByteAccount, count: int) -> None:
        """Set what an account holds, once the answer has replaced all else.

        The answer exists already, so it may exceed the limit.
        """
        self.add(account, held=count - account.held)

    def close(self, account: ByteAccount) -> None:
        """End a request: all that it holds is free, but for replies that are still being read."""
        self.add(account, held=-account.held)
        account.closed = True

    def add(self, account: ByteAccount, *, held: int = 0, reading: int = 0) -> None:
        """Change what an account has, and the total."""
        account.held += held
        account.reading += reading
        self.used += held + reading
        if account.held or account.reading:
            self.holders.setdefault(account)
        else:
            self.holders.pop(account, None)
