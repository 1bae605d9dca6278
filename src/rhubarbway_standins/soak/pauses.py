"""Pauses of the soak's own process, during which answers seem late to its callers."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable

# Interval at which the process checks that it runs, and the shortest delay of such a check that
# counts as a pause, seconds.
CHECK_INTERVAL_S = 0.02
MIN_PAUSE_S = 0.1
# Number of pauses that a description names.
PAUSES_PER_LINE = 5


class Pause:
    """A time in which the process did not run.

    Attributes
    ----------
    began_at, seconds : float
        Its begin, as an instant of ``time.monotonic``, and its length, seconds.
    """

    __slots__ = ("began_at", "seconds")

    def __init__(self, *, began_at: float, seconds: float) -> None:
        self.began_at = began_at
        self.seconds = seconds


def record_pauses(
    pauses: list[Pause],
    *,
    stopping: threading.Event,
    clock: Callable[[], float] = time.monotonic,
) -> None:
    """Task: add the pauses of this process to a list until ``stopping`` is set."""
    checked_at = clock()
    while not stopping.wait(CHECK_INTERVAL_S):
        due_at, checked_at = checked_at + CHECK_INTERVAL_S, clock()
        if checked_at - due_at > MIN_PAUSE_S:
            pauses.append(Pause(began_at=due_at, seconds=checked_at - due_at))


def describe_pauses(pauses: list[Pause], *, started_at: float) -> str:
    """Return a line on the longest pauses of a run that started at an instant.

    Examples
    --------
    >>> describe_pauses([Pause(began_at=14.0, seconds=0.8)], started_at=10.0)
    'the process of the soak paused 1 times, 0.80 s in all: 0.80 s after 4.00 s'
    >>> describe_pauses([], started_at=10.0)
    'the process of the soak did not pause'
    """
    if not pauses:
        return "the process of the soak did not pause"
    longest = sorted(pauses, key=lambda pause: -pause.seconds)[:PAUSES_PER_LINE]
    named = ", ".join(
        f"{pause.seconds:.2f} s after {pause.began_at - started_at:.2f} s" for pause in longest
    )
    total_s = sum(pause.seconds for pause in pauses)
    return f"the process of the soak paused {len(pauses)} times, {total_s:.2f} s in all: {named}"
