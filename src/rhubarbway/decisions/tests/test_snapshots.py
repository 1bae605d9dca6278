"""Tests of the choice of the snapshot of a query."""

from hypothesis import given
from hypothesis import strategies as st

from rhubarbway.decisions.replica_state import ReplicaState
from rhubarbway.decisions.snapshots import better_snapshot, choose_snapshot, reachable_weights
from rhubarbway.model import Replica, Service, Shard

NOW = 100.0


def replica(name):
    return Replica(name=name, address="127.0.0.1:1", zone="z", slots=1, connections=9, connect_ms=1)


def service_of(held, *, weights=None):
    """Return a service and its replica states; ``held`` lists snapshots by shard and replica."""
    shards, states = [], {}
    for index, members in enumerate(held):
        replicas = [replica(f"r{index}-{number}") for number in range(len(members))]
        weight = weights[index] if weights else 1.0
        shards.append(Shard(index=index, weight=weight, replicas=tuple(replicas)))
        states[index] = []
        for member, snapshots in zip(replicas, members, strict=True):
            state = ReplicaState(replica=member, in_flight_cap=3)
            state.record_status(
                incarnation="a", held_snapshots=list(snapshots), draining=False, now=NOW
            )
            states[index].append(state)
    service = Service(name="desk", tenant="t", layout="l", value=1.0, shards=tuple(shards))
    return service, states


held_snapshots = st.lists(
    st.lists(st.sets(st.sampled_from(["s-1", "s-2", "s-3"])), min_size=1, max_size=3),
    min_size=1,
    max_size=4,
)


class TestChooseSnapshot:
    def test_newest_complete_snapshot_wins_over_a_newer_incomplete_one(self):
        """Guards against partial answers while a new snapshot is being distributed."""
        service, states = service_of([[["s-1", "s-2"]], [["s-1"], ["s-2", "s-3"]]])
        assert choose_snapshot(service, states, now=NOW) == "s-2"

    def test_heaviest_shards_win_if_no_snapshot_is_complete(self):
        """Guards against answers with less coverage than another snapshot offers."""
        service, states = service_of([[["s-1"]], [["s-2"]]], weights=[3.0, 1.0])
        assert choose_snapshot(service, states, now=NOW) == "s-1"

    def test_replica_that_cannot_get_work_does_not_count(self):
        """Guards against a snapshot that only a draining replica holds."""
        service, states = service_of([[["s-1"], ["s-2"]]])
        states[0][1].draining = True
        assert choose_snapshot(service, states, now=NOW) == "s-1"

    def test_ejected_replica_counts_only_if_its_shard_has_no_other(self):
        """Guards against a shard that never recovers once all its replicas are ejected.

        Only queries to the shard trigger the probes that end the ejections.
        """
        service, states = service_of([[["s-1"], ["s-2"]]])
        states[0][1].ejected_until = float("inf")
        assert choose_snapshot(service, states, now=NOW) == "s-1"
        states[0][0].ejected_until = float("inf")
        assert choose_snapshot(service, states, now=NOW) == "s-2"

    def test_nothing_is_chosen_before_first_contact(self):
        """Guards against a choice without any report of held snapshots."""
        service, states = service_of([[[]]])
        assert choose_snapshot(service, states, now=NOW) is None

    @given(held=held_snapshots)
    def test_no_snapshot_has_more_coverage_than_the_chosen_one(self, held):
        """Guards against less than the highest coverage, or an older snapshot with the same one."""
        service, states = service_of(held)
        reachable = reachable_weights(service, states, now=NOW)
        chosen = choose_snapshot(service, states, now=NOW)
        if chosen is None:
            assert reachable == {}
        else:
            assert all(
                (weight, name) <= (reachable[chosen], chosen) for name, weight in reachable.items()
            )


class TestBetterSnapshot:
    def test_query_moves_only_to_more_coverage(self):
        """Guards against restarting a query in a snapshot that covers no more than its own."""
        service, states = service_of([[["s-2"]], [["s-1", "s-2"]]])
        assert better_snapshot(service, states, current="s-1", now=NOW) == "s-2"
        service, states = service_of([[["s-2"]], [["s-1"]]])
        assert better_snapshot(service, states, current="s-1", now=NOW) is None

    @given(held=held_snapshots, current=st.sampled_from(["s-1", "s-2", "s-3"]))
    def test_better_snapshot_is_never_the_current_one(self, held, current):
        """Guards against restarting a query in the snapshot that it reads already."""
        service, states = service_of(held)
        assert better_snapshot(service, states, current=current, now=NOW) != current
