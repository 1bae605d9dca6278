"""Tests of the fault plan of a soak run."""

from hypothesis import given
from hypothesis import strategies as st

from rhubarbway_standins.soak.faults import FAULTS
from rhubarbway_standins.soak.plan import (
    FAULT_FREE_END_S,
    HOST_FAULTS,
    SERVER_FAULTS,
    STORE_FAULTS,
    plan_faults,
)


class TestPlan:
    @given(seed=st.integers(0, 10_000))
    def test_faults_lie_within_the_run_and_have_a_target(self, seed):
        """Guards against faults that outlast the run or whose host or server does not exist."""
        for fault in plan_faults(seed=seed, duration_s=15.0, hosts=3, servers=10):
            assert 0.0 < fault.begin_s < fault.end_s <= 15.0 - FAULT_FREE_END_S
            assert 0 <= fault.target_index < (3 if fault.kind in HOST_FAULTS else 10)

    def test_each_kind_can_be_injected(self):
        """Guards against a planned kind of fault that has no function to inject it."""
        assert FAULTS.keys() == (HOST_FAULTS | SERVER_FAULTS | STORE_FAULTS).keys()

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
