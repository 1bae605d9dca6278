"""Inputs of ``RequestForwarder`` from other services, which tests and the emulator replace."""

from __future__ import annotations

import time
from collections.abc import Callable
from random import Random

from rhubarbway.decisions.replica_ranking import best_replica
from rhubarbway.model import Route
from rhubarbway.services.arrival_load import ArrivalLoad
from rhubarbway.services.crashing_requests import CrashingRequestService
from rhubarbway.services.invariants import Expect
from rhubarbway.services.send_checks import SendChecks
from rhubarbway.services.server_pool import ServerPool
from rhubarbway.services.shared_retry_budget import SharedRetryBudget
from rhubarbway.services.stop_notice import StopNotice


class ForwardingContext:
    """Services, functions and values that all forwarded requests of a host share.

    Attributes
    ----------
    choose_replica : callable
        Returns the server pool to use for an attempt; ``best_replica`` by default.
    clock : callable
        Returns the current instant; ``time.monotonic`` by default.
    pools_of : callable
        Returns the server pools of a service.
    zone : str
        Zone of this host.
    budget : SharedRetryBudget
        Retry budget of this host.
    next_attempt_number : callable
        Returns an unused attempt number.
    hedge_delay_s : callable
        Returns the time after which an attempt on a route is hedged, seconds.
    typical_s : callable
        Returns the typical latency of a route, seconds.
    exchange_s : callable or None
        Returns the typical time of an exchange on a route, without the wait for a connection,
        seconds; None for ``typical_s``.
    arrivals : ArrivalLoad
        Admitted and refused requests of this host, and the return times that it has promised.
    processing_s : callable
        Returns the time that an answer of a route needs from the end of its wait until it is sent,
        seconds.
    crashing_requests : CrashingRequestService
        Records lost servers and blocks the requests that crash servers.
    random : Random
        Source of random choices.
    expect : callable
        Reports an invariant that does not hold: ``expect(holds, name, **details)``.
    send_checks : SendChecks
        Checks the invariants of each attempt that is sent.
    copy_age_s : callable
        Returns the time since the store last confirmed this host's copy, seconds.
    count_deleted_server_attempt : callable
        Called with the ``service`` of an attempt at a server whose deletion is deferred.
    stop_notice : StopNotice
        Tells when this host begins to stop.
    log : logger
        Logger of the forwarding component; gets one line for each decision.
    """

    __slots__ = (
        "arrivals",
        "budget",
        "choose_replica",
        "clock",
        "copy_age_s",
        "count_deleted_server_attempt",
        "crashing_requests",
        "exchange_s",
        "expect",
        "hedge_delay_s",
        "log",
        "next_attempt_number",
        "pools_of",
        "processing_s",
        "random",
        "send_checks",
        "stop_notice",
        "typical_s",
        "zone",
    )

    def __init__(
        self,
        *,
        pools_of: Callable[[str], list[ServerPool]],
        zone: str,
        budget: SharedRetryBudget,
        next_attempt_number: Callable[[], int],
        hedge_delay_s: Callable[[Route], float],
        typical_s: Callable[[Route], float],
        processing_s: Callable[[Route], float],
        crashing_requests: CrashingRequestService,
        random: Random,
        expect: Expect,
        log,
        clock: Callable[[], float] = time.monotonic,
        exchange_s: Callable[[Route], float] | None = None,
        arrivals: ArrivalLoad | None = None,
        choose_replica: Callable[..., ServerPool | None] = best_replica,
        copy_age_s: Callable[[], float] = lambda: 0.0,
        count_deleted_server_attempt: Callable[..., None] = lambda service: None,
        stop_notice: StopNotice | None = None,
    ) -> None:
        self.copy_age_s = copy_age_s
        self.count_deleted_server_attempt = count_deleted_server_attempt
        self.stop_notice = stop_notice or StopNotice()
        self.exchange_s = exchange_s or typical_s
        self.arrivals = arrivals or ArrivalLoad()
        self.choose_replica = choose_replica
        self.clock = clock
        self.crashing_requests = crashing_requests
        self.pools_of = pools_of
        self.zone = zone
        self.budget = budget
        self.expect = expect
        self.send_checks = SendChecks(budget=budget, expect=expect)
        self.next_attempt_number = next_attempt_number
        self.hedge_delay_s = hedge_delay_s
        self.typical_s = typical_s
        self.processing_s = processing_s
        self.random = random
        self.log = log
