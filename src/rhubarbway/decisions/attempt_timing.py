"""Timing of hedges and of the answer to a fan-out, and the coverage that the answer requires."""

from __future__ import annotations

from rhubarbway.model import Route

# Quantile of the latency of a route after which an attempt is hedged.
HEDGE_QUANTILE = 0.95
# Bounds of the hedge delay, as fractions of the target latency. Up to the lower bound the first
# attempt will most likely still be answered; after the upper one a hedge could miss the target.
MIN_HEDGE_DELAY_FRACTION = 0.12
MAX_HEDGE_DELAY_FRACTION = 0.45
# Multiple of the typical latency that remains until the target deadline when a hedge is sent, so
# that its reply most likely arrives in time. MIN_HEDGE_DELAY_FRACTION takes precedence.
HEDGE_TIME_FACTOR = 1.5
# Hedge delay while no quantile is known, as a multiple of the typical latency.
DEFAULT_HEDGE_DELAY_FACTOR = 2.0
# An answer leaves this long before the target, seconds. The caller's latency also includes the
# network time of the request and of the answer.
TARGET_MARGIN_S = 0.014
# An answer leaves this long before the caller's deadline, seconds.
DEADLINE_MARGIN_S = 0.02
# Additional wait for missing shards of an answer that has missed the target, as a multiple of the
# target latency. The answer is late anyway, so its completeness matters more than a shorter wait.
LATE_WAIT_FACTOR = 1.0


def route_hedge_delay_s(route: Route, *, quantile_s: float | None, typical_s: float) -> float:
    """Return the time in flight after which an attempt is hedged, seconds.

    Examples
    --------
    >>> route = Route(name="r", host="h", path_prefix="/", idempotent=True, timeout_s=1.0,
    ...               target_latency_s=0.1)
    >>> route_hedge_delay_s(route, quantile_s=0.03, typical_s=0.01)
    0.03
    >>> round(route_hedge_delay_s(route, quantile_s=0.3, typical_s=0.01), 3)
    0.045
    """
    delay_s = quantile_s if quantile_s is not None else DEFAULT_HEDGE_DELAY_FACTOR * typical_s
    earliest_s = MIN_HEDGE_DELAY_FRACTION * route.target_latency_s
    latest_useful_s = route.target_latency_s - TARGET_MARGIN_S - HEDGE_TIME_FACTOR * typical_s
    latest_s = max(
        earliest_s, min(MAX_HEDGE_DELAY_FRACTION * route.target_latency_s, latest_useful_s)
    )
    return min(max(delay_s, earliest_s), latest_s)


def target_deadline(route: Route, *, received_at: float, processing_s: float = 0.0) -> float:
    """Return the instant until which replies can be awaited without missing the target latency.

    It is earlier than the target latency by ``TARGET_MARGIN_S`` and ``processing_s``.

    Parameters
    ----------
    received_at : float
        Instant at which the request was read.
    processing_s : float
        Time between the end of the wait and the departure of the answer, seconds.
    """
    return received_at + route.target_latency_s - TARGET_MARGIN_S - processing_s


def late_answer_deadline(route: Route, *, received_at: float, deadline: float) -> float:
    """Return the instant at which an answer that has missed the target leaves at the latest.

    ``deadline`` is the instant at which the caller gives up.
    """
    latest = (
        target_deadline(route, received_at=received_at) + LATE_WAIT_FACTOR * route.target_latency_s
    )
    return min(latest, deadline - DEADLINE_MARGIN_S)


def has_required_coverage(route: Route, answered_shards: int) -> bool:
    """Whether this many shards give an answer the minimum coverage of its route; 0 never do.

    Shards count equally here, without weights.

    Examples
    --------
    >>> route = Route(name="r", host="h", path_prefix="/", idempotent=True, timeout_s=1.0,
    ...               target_latency_s=0.1, shards=tuple("abcdefghij"), min_coverage=0.89)
    >>> has_required_coverage(route, 9), has_required_coverage(route, 8)
    (True, False)
    """
    return answered_shards > 0 and answered_shards >= route.min_coverage * len(route.shards) - 1e-9
