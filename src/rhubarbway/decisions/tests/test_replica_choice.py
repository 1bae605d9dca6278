"""Tests of load balancing among replicas."""

from collections import Counter
from random import Random

from rhubarbway.decisions.replica_choice import choose_replica
from rhubarbway.decisions.replica_state import WARM_UP_ANSWERS, ReplicaState
from rhubarbway.model import Replica


def state(name, zone, *, answers=WARM_UP_ANSWERS, latency=0.005):
    replica = Replica(
        name=name, address="127.0.0.1:1", zone=zone, slots=3, connections=30, connect_ms=6.0
    )
    replica_state = ReplicaState(replica=replica, in_flight_cap=3)
    replica_state.record_status(incarnation="1", held_snapshots=["s"], draining=False, now=0.0)
    replica_state.answer_count = answers
    replica_state.latency.record(latency)
    return replica_state


def count_choices(states, *, count=1000, **options):
    random = Random(1)
    counts = Counter()
    for _ in range(count):
        chosen = choose_replica(
            states, snapshot="s", tried=(), zone="a", now=1.0, random=random, **options
        )
        counts[chosen.replica.name if chosen else None] += 1
    return counts


class TestChooseReplica:
    def test_replica_in_the_same_zone_gets_the_work_while_it_is_faster(self):
        """Guards against sending a third of the sub-queries to another zone.

        That happens if two of three replicas are drawn without regard to their zones.
        """
        states = [state("near", "a"), state("b", "b", latency=0.012), state("c", "c")]
        states[2].latency.record(0.05)
        assert count_choices(states)["near"] > 900

    def test_idle_replica_in_another_zone_is_chosen_over_a_busy_one(self):
        """Guards against requests that queue in one zone while other zones are idle."""
        states = [state("near", "a", latency=0.02), state("b", "b"), state("c", "c")]
        assert count_choices(states)["near"] == 0

    def test_cold_replica_gets_a_growing_share(self):
        """Guards against a cold replica that gets its full load at once, or no load at all."""
        shares = []
        for answers in (0, WARM_UP_ANSWERS // 2):
            states = [state("a", "a"), state("b", "b"), state("c", "c", answers=answers)]
            shares.append(count_choices(states)["c"])
        assert 0 < shares[0] < 50
        assert shares[0] < shares[1] < 334

    def test_hedge_goes_to_a_warm_replica_only(self):
        """Guards against a hedge to a cold replica that is slower than the first attempt."""
        states = [state("c", "a", answers=0)]
        assert count_choices(states, count=1)["c"] == 1
        assert count_choices(states, count=1, warm_only=True)[None] == 1
