"""Tests of the computation of coverage."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from rhubarbway.decisions.coverage import compute_coverage
from rhubarbway.model import MissReason, Service, Shard, ShardAnswer

weights_and_fractions = st.lists(
    st.tuples(
        st.floats(min_value=1e-3, max_value=1e3),
        st.one_of(st.none(), st.just(1.0), st.floats(min_value=0.0, max_value=1.0)),
    ),
    min_size=1,
    max_size=8,
)


def service_of(weights):
    shards = tuple(
        Shard(index=index, weight=weight, replicas=()) for index, weight in enumerate(weights)
    )
    return Service(name="desk", tenant="t", layout="l", value=1.0, shards=shards)


def answers_of(fractions):
    return {
        index: ShardAnswer(
            shard=index, snapshot="s", fraction=fraction, items_json=b"[]", replica="", latency_s=0
        )
        for index, fraction in enumerate(fractions)
        if fraction is not None
    }


class TestCoverage:
    def test_fraction_is_weighted(self):
        """Guards against coverage that counts shards without their weights."""
        coverage = compute_coverage(service_of([3.0, 1.0]), answers_of([None, 1.0]), {})
        assert coverage.fraction == 0.25
        assert (coverage.shards_answered, coverage.shards_total) == (1, 2)

    def test_missing_shard_without_a_known_reason_is_listed(self):
        """Guards against a missing shard that the answer does not report."""
        coverage = compute_coverage(service_of([1.0]), {}, {})
        assert [miss.reason for miss in coverage.missing] == [MissReason.TIMED_OUT]

    def test_rounding_does_not_make_an_incomplete_answer_complete(self):
        """Guards against a partial answer that claims to be complete because its gap is tiny."""
        coverage = compute_coverage(service_of([1e18, 1.0]), answers_of([1.0, None]), {})
        assert coverage.fraction < 1.0

    @given(weighted_fractions=weights_and_fractions)
    def test_coverage_states_what_was_merged(self, weighted_fractions):
        """Guards against coverage that differs from the merged shard answers."""
        weights, fractions = zip(*weighted_fractions, strict=True)
        coverage = compute_coverage(service_of(weights), answers_of(fractions), {})
        covered = sum(w * f for w, f in weighted_fractions if f is not None) / sum(weights)
        assert coverage.fraction == pytest.approx(covered, abs=2e-9)
        missing = [index for index, fraction in enumerate(fractions) if fraction is None]
        assert [miss.shard for miss in coverage.missing] == missing
        assert (coverage.fraction == 1.0) == all(fraction == 1.0 for fraction in fractions)
