"""What a query may send beyond its first attempts."""

from __future__ import annotations

from collections.abc import Callable


class ExtraAttemptLimits:
    """What the present load of the entry host permits beyond the first attempts of a query.

    Parameters
    ----------
    hedge_delay_s : float
        Time after which an unanswered attempt is hedged, seconds.
    partial_answer_after_s : float
        Time after which a query that covers enough stops waiting, seconds.
    may_hedge, may_retry : callable
        Take a permit for one hedge or retry and return whether there was one.
    """

    __slots__ = (
        "hedge_delay_s",
        "partial_answer_after_s",
        "take_hedge_permit",
        "take_retry_permit",
    )

    def __init__(
        self,
        *,
        hedge_delay_s: float,
        partial_answer_after_s: float,
        take_hedge_permit: Callable[[], bool],
        take_retry_permit: Callable[[], bool],
    ) -> None:
        self.hedge_delay_s = hedge_delay_s
        self.partial_answer_after_s = partial_answer_after_s
        self.take_hedge_permit = take_hedge_permit
        self.take_retry_permit = take_retry_permit
