"""What all running requests of a host share."""

from __future__ import annotations

import time
from collections.abc import Callable
from random import Random

from rhubarbway.model import Route
from rhubarbway.services.invariants import Expect
from rhubarbway.services.losses import LossService
from rhubarbway.services.send_checks import SendChecks
from rhubarbway.services.server_pool import ServerPool
from rhubarbway.services.shared_retry_budget import SharedRetryBudget


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
    expect : callable
        Takes the results of checks of what must always hold.
    checks : SendChecks
        What must hold for each attempt that is sent.
    log : logger
        Takes one line for each decision.
    """

    __slots__ = (
        "budget",
        "checks",
        "clock",
        "expect",
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
        budget: SharedRetryBudget,
        next_number: Callable[[], int],
        second_attempt_delay: Callable[[Route], float],
        usual_s: Callable[[Route], float],
        processing_s: Callable[[Route], float],
        losses: LossService,
        random: Random,
        expect: Expect,
        log,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.clock = clock
        self.losses = losses
        self.pools_of = pools_of
        self.zone = zone
        self.budget = budget
        self.expect = expect
        self.checks = SendChecks(budget=budget, expect=expect)
        self.next_number = next_number
        self.second_attempt_delay = second_attempt_delay
        self.usual_s = usual_s
        self.processing_s = processing_s
        self.random = random
        self.log = log
