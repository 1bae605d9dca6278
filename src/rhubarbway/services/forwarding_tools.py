"""What all running requests of a host share."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from random import Random

from rhubarbway.decisions.arrival_budget import ArrivalBudget
from rhubarbway.model import Route
from rhubarbway.services.losses import LossService
from rhubarbway.services.server_pool import ServerPool


class LockedBudget:
    """An ``ArrivalBudget`` that several tasks use."""

    __slots__ = ("budget", "lock")

    def __init__(self, *, budget: ArrivalBudget) -> None:
        self.budget = budget
        self.lock = threading.Lock()

    def note_request(self, service: str, *, now: float) -> None:
        """Count a request whose first attempt goes to the service."""
        with self.lock:
            self.budget.note_request(service, now=now)

    def take(self, service: str, *, now: float, reserve: float = 0.0) -> bool:
        """Count an extra attempt and return True, if the window still allows it."""
        with self.lock:
            return self.budget.take(service, now=now, reserve=reserve)

    def set_limits(self, *, ratio: float, allowance: float, window_s: float) -> None:
        """Replace the limits; what was counted in the window stays."""
        with self.lock:
            self.budget.ratio = ratio
            self.budget.allowance = allowance
            self.budget.window_s = window_s

    def set_hosts(self, hosts: int) -> None:
        """Set the number of entry hosts that share the allowance."""
        with self.lock:
            self.budget.hosts = hosts


class ForwardingTools:
    """What all running requests of a host share.

    Attributes
    ----------
    clock : callable
        Returns the current instant, by default that of ``time.monotonic()``.
    pools_of : callable
        Returns the pools of a service.
    zone : str
        Zone of this host.
    budget : LockedBudget
        Limit of attempts beyond the first.
    next_number : callable
        Returns a fresh number of an attempt.
    second_attempt_delay, usual_s, processing_s : callable
        Learnt times of a route, seconds. The last one is what an answer needs between the end of
        its wait and its departure.
    losses : LossService
        Requests that end their servers.
    log : logger
        Takes one line for each decision.
    """

    __slots__ = (
        "budget",
        "clock",
        "log",
        "losses",
        "next_number",
        "pools_of",
        "processing_s",
        "random",
        "second_attempt_delay",
        "usual_s",
        "zone",
    )

    def __init__(
        self,
        *,
        pools_of: Callable[[str], list[ServerPool]],
        zone: str,
        budget: LockedBudget,
        next_number: Callable[[], int],
        second_attempt_delay: Callable[[Route], float],
        usual_s: Callable[[Route], float],
        processing_s: Callable[[Route], float],
        losses: LossService,
        random: Random,
        log,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.clock = clock
        self.losses = losses
        self.pools_of = pools_of
        self.zone = zone
        self.budget = budget
        self.next_number = next_number
        self.second_attempt_delay = second_attempt_delay
        self.usual_s = usual_s
        self.processing_s = processing_s
        self.random = random
        self.log = log
