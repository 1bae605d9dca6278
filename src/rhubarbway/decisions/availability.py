"""When enough servers take requests again for a request that cannot be served now."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence

from rhubarbway.decisions.server_state import ServerState


def earliest_free_at(states: Iterable[ServerState], *, now: float) -> float:
    """Return the instant from which some server of a service takes requests.

    At most ``now`` if one takes them now, infinite without a server.
    """
    return min((state.free_at(now) for state in states), default=float("inf"))


def possible_at(free_at: Sequence[float], *, is_enough: Callable[[int], bool]) -> float:
    """Return the instant from which a request can be served; infinite if it is unknown.

    Parameters
    ----------
    free_at : sequence of float
        For each shard, the instant from which one of its servers takes requests.
    is_enough : callable
        Whether the replies of this many shards make an answer.

    Examples
    --------
    >>> possible_at([2.0, 9.0, 5.0], is_enough=lambda count: count >= 2)
    5.0
    >>> possible_at([2.0, float("inf")], is_enough=lambda count: count >= 2)
    inf
    """
    ordered = sorted(free_at)
    enough = (instant for count, instant in enumerate(ordered, 1) if is_enough(count))
    return next(enough, float("inf"))
