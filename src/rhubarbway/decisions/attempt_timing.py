"""When a second attempt is sent, and when a partial answer is better than a late one."""

from __future__ import annotations

from rhubarbway.model import Route

# Share of replies of a kind that come before a second attempt is sent.
HEDGE_QUANTILE = 0.95
# Bounds of that instant, as shares of the target latency: no earlier, since the first attempt most
# likely answers; no later, since the second one must still answer within the target.
MIN_HEDGE_DELAY_FRACTION = 0.12
MAX_HEDGE_DELAY_FRACTION = 0.45
# Usual times that a second attempt needs, so that it most likely answers within the target.
HEDGE_TIME_FACTOR = 1.5
# Usual times after which the second attempt is sent before a quantile is known.
DEFAULT_HEDGE_DELAY_FACTOR = 2.0
# An answer leaves this long before the target, seconds: it travels to the caller and the caller
# counted from before its request had arrived here.
TARGET_MARGIN_S = 0.014
# An answer leaves this long before the caller gives up, seconds.
DEADLINE_MARGIN_S = 0.02
# Past the target an answer is late anyway. It waits for missing shards for this share of the
# target, since a caller who has waited gains more from a whole answer.
LATE_WAIT_FRACTION = 1.0


def hedge_delay(route: Route, *, quantile_s: float | None, typical_s: float) -> float:
    """Return the time after which an unanswered attempt gets a second one, seconds.

    Examples
    --------
    >>> route = Route(name="r", host="h", path_prefix="/", idempotent=True, timeout_s=1.0,
    ...               target_s=0.1)
    >>> hedge_delay(route, quantile_s=0.03, typical_s=0.01)
    0.03
    >>> round(hedge_delay(route, quantile_s=0.3, typical_s=0.01), 3)
    0.045
    """
    delay_s = quantile_s if quantile_s is not None else DEFAULT_HEDGE_DELAY_FACTOR * typical_s
    earliest_s = MIN_HEDGE_DELAY_FRACTION * route.target_s
    latest_useful_s = route.target_s - TARGET_MARGIN_S - HEDGE_TIME_FACTOR * typical_s
    latest_s = max(earliest_s, min(MAX_HEDGE_DELAY_FRACTION * route.target_s, latest_useful_s))
    return min(max(delay_s, earliest_s), latest_s)


def on_time_cutoff(route: Route, *, received_at: float, processing_s: float = 0.0) -> float:
    """Return the instant until which a wait may last for an answer of full value.

    Parameters
    ----------
    received_at : float
        Instant at which the request was read.
    processing_s : float
        Time that the answer needs between the end of the wait and its departure, seconds.
    """
    return received_at + route.target_s - TARGET_MARGIN_S - processing_s


def late_answer_deadline(route: Route, *, received_at: float, deadline: float) -> float:
    """Return the instant at which an answer that missed the target leaves at the latest."""
    latest = on_time_cutoff(route, received_at=received_at) + LATE_WAIT_FRACTION * route.target_s
    return min(latest, deadline - DEADLINE_MARGIN_S)


def has_required_coverage(route: Route, answered_shards: int) -> bool:
    """Whether a merged answer of this many shards is a success.

    Examples
    --------
    >>> route = Route(name="r", host="h", path_prefix="/", idempotent=True, timeout_s=1.0,
    ...               target_s=0.1, shards=tuple("abcdefghij"), min_coverage=0.89)
    >>> has_required_coverage(route, 9), has_required_coverage(route, 8)
    (True, False)
    """
    return answered_shards > 0 and answered_shards >= route.min_coverage * len(route.shards) - 1e-9
