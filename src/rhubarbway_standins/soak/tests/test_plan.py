"""Tests of the fault plan of a soak run."""

from hypothesis import given
from hypothesis import strategies as st

from rhubarbway_standins.soak.faults import FAULTS
from rhubarbway_standins.soak.plan import (
    COLD_FAULTS,
    COPY_KIND,
    EVACUATION_KIND,
    FAULT_FREE_END_S,
    FAULT_FREE_START_S,
    HOST_FAULTS,
    LATER_HOST_FAULTS,
    LATER_SERVER_FAULTS,
    LATER_STORE_FAULTS,
    LOAD_KINDS,
    MAX_REWRITE_S,
    MIN_COPY_AGE_S,
    REMOVAL_KIND,
    RESTORE_KIND,
    SERVER_FAULTS,
    STORE_FAULTS,
    plan_evacuations,
    plan_faults,
    plan_load,
    plan_restores,
)


class TestPlan:
    @given(seed=st.integers(0, 10_000))
    def test_faults_lie_within_the_run_and_have_a_target(self, seed):
        """Guards against faults that outlast the run or whose host or server does not exist."""
        for fault in plan_faults(seed=seed, duration_s=15.0, hosts=3, servers=10):
            assert 0.0 < fault.begin_s < fault.end_s <= 15.0 - FAULT_FREE_END_S
            assert (
                0
                <= fault.target_index
                < (3 if fault.kind in HOST_FAULTS | LATER_HOST_FAULTS else 10)
            )

    def test_each_kind_can_be_injected(self):
        """Guards against a planned kind of fault that has no function to inject it."""
        planned = HOST_FAULTS | SERVER_FAULTS | STORE_FAULTS
        planned |= LATER_HOST_FAULTS | LATER_SERVER_FAULTS | LATER_STORE_FAULTS | COLD_FAULTS
        others = {EVACUATION_KIND, REMOVAL_KIND, COPY_KIND, RESTORE_KIND}
        assert FAULTS.keys() == planned.keys() | {*LOAD_KINDS, *others}

    def test_faults_overlap_and_come_in_series(self):
        """Guards against plans in which no faults overlap, or only those of different kinds."""
        plans = [plan_faults(seed=seed, duration_s=15.0, hosts=3, servers=10) for seed in range(20)]
        overlapping = [
            (first, second)
            for faults in plans
            for first, second in zip(faults, faults[1:], strict=False)
            if second.begin_s < first.end_s
        ]
        assert overlapping
        assert any(first.kind == second.kind for first, second in overlapping)


class TestEvacuations:
    # What the checks of a run allow hosts until they know of an evacuation, seconds.
    LIMIT_S = 3.0

    @given(seed=st.integers(0, 10_000))
    def test_they_last_long_enough_for_the_check_and_do_not_overlap(self, seed):
        """Guards against evacuations that the checks never look at, and against an empty site."""
        evacuations = plan_evacuations(seed=seed, duration_s=12.0, zones=2)
        assert bool(evacuations) == (seed % 4 == 2)
        ends = [FAULT_FREE_START_S, *(period.end_s for period in evacuations)]
        for earlier_end, period in zip(ends, evacuations, strict=False):
            assert earlier_end <= period.begin_s
            assert period.begin_s + self.LIMIT_S < period.end_s <= 12.0 - FAULT_FREE_END_S


class TestRestores:
    @given(seed=st.integers(0, 10_000))
    def test_each_follows_its_copy_and_leaves_time_to_write_again(self, seed):
        """Guards against a store that is restored from no copy, and against runs that end before
        servers and operator have written again what it lost.
        """
        planned = plan_restores(seed=seed, duration_s=20.0)
        assert bool(planned) == (seed % 8 == 7)
        assert [fault.kind for fault in planned] == [COPY_KIND, RESTORE_KIND] * (len(planned) // 2)
        for copy, restore in zip(planned[::2], planned[1::2], strict=True):
            assert copy.begin_s + MIN_COPY_AGE_S <= restore.begin_s < restore.end_s
            assert restore.end_s <= 20.0 - FAULT_FREE_END_S - MAX_REWRITE_S


class TestLoad:
    @given(seed=st.integers(0, 10_000))
    def test_bursts_come_several_times_and_do_not_overlap(self, seed):
        """Guards against a burst that ends an overlapping one, and against runs with one burst."""
        load = plan_load(seed=seed, duration_s=12.0)
        bursts = [period for period in load if period.kind == "burst"]
        assert len(bursts) >= 2
        assert bursts[0].begin_s >= FAULT_FREE_START_S
        assert bursts[-1].end_s <= 12.0 - FAULT_FREE_END_S
        for earlier, later in zip(bursts, bursts[1:], strict=False):
            assert earlier.end_s < later.begin_s

    def test_servers_hold_requests_in_most_runs(self):
        """Guards against plans in which no time limit passes."""
        plans = [plan_load(seed=seed, duration_s=12.0) for seed in range(20)]
        holding = [load for load in plans if any(p.kind == "servers_hold" for p in load)]
        assert len(holding) > len(plans) / 2
