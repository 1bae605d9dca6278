"""Limits of a query's extra attempts."""

from __future__ import annotations

from collections.abc import Callable


class ExtraAttemptLimits:
    """Limits of a query's hedges, retries and waiting under the entry host's current load.

    Parameters
    ----------
    hedge_delay_s : float
        Time after which an attempt in flight is hedged, seconds.
    partial_answer_after_s : float
        Time after which a query with enough coverage stops waiting, seconds; infinity if it waits
        until its deadline.
    take_hedge_permit, take_retry_permit : callable
        Take a permit, which is one token of a budget's token bucket, for one hedge or one retry.
        Return whether there was one.
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
