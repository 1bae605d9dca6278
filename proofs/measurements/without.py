"""The daemon with one or more mechanisms disabled, to compare its figures with the normal ones.

``python -m proofs.measurements.without hedging,ejection --settings FILE``
"""

from __future__ import annotations

import sys

from rhubarbway import daemon
from rhubarbway.decisions import admission, concurrency_limit, replica_state, retry_budget
from rhubarbway.decisions.admission import TicketState
from rhubarbway.services import fan_out, queries


def disable_hedging() -> None:
    """Send no hedges."""
    queries.hedge_delay_s = lambda *_: float("inf")


def disable_ejection() -> None:
    """Keep selecting replicas that fail or do not reply."""
    replica_state.ReplicaState.eject = lambda self, now: None
    replica_state.ReplicaState.expected_latency_s = lambda self, now: self.latency.fast_ewma_s


def disable_retry_budget() -> None:
    """Permit every retry and hedge."""
    retry_budget.TokenBucket.try_acquire = lambda self: True


def disable_adaptive_limit() -> None:
    """Keep the concurrency limit of each replica and service at its maximum."""
    concurrency_limit.ConcurrencyLimit.record_overload = lambda self, now: None


def disable_admission() -> None:
    """Start every query at once, without a queue."""

    def offer(self, ticket, tenant, *, capacity, now) -> None:
        ticket.state = TicketState.RUNNING

    admission.AdmissionQueue.offer = offer
    admission.AdmissionQueue.end = lambda self, ticket, *, record_latency, now: []


def disable_waiting() -> None:
    """Count a shard as missing at once when all its replicas are at their limits."""
    fan_out.FanOut.worth_waiting = lambda self, shard: False


MECHANISMS = {
    "hedging": disable_hedging,
    "ejection": disable_ejection,
    "retry_budget": disable_retry_budget,
    "adaptive_limit": disable_adaptive_limit,
    "admission": disable_admission,
    "waiting": disable_waiting,
}


def main() -> None:
    """Run the daemon without the mechanisms named in the first argument."""
    for name in sys.argv.pop(1).split(","):
        MECHANISMS[name]()
    daemon.main()


if __name__ == "__main__":
    main()
