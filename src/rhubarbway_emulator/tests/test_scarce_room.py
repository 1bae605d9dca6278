"""Tests of loads for which there is too little room, in virtual time.

The bounds are the users' targets for such seconds: half of the value is earned, nine tenths of the
most urgent requests are answered in time, and what cannot be served is refused within a quarter of
its target latency.
"""

import pytest

from rhubarbway_emulator.experiment import run_pattern
from rhubarbway_emulator.patterns import PATTERNS

SCARCE_VALUE = 0.5
URGENT_IN_TIME = 0.9
PROMPT_REFUSAL_FRACTION = 0.25
MIN_RELATIVE_SHARE = 0.25
SEEDS = (1, 2)
SCARCE = ["scarce-slow", "scarce-dark"]
BURSTS = ["burst-least-urgent", "burst-most-urgent", "burst-both"]


@pytest.fixture(scope="module")
def results_of():
    """Return a function that runs each pattern with a few seeds, once for all tests here."""
    results = {}

    def cached_results(name):
        if name not in results:
            results[name] = [run_pattern(PATTERNS[name], seed=seed) for seed in SEEDS]
        return results[name]

    return cached_results


def burst_kinds(results, name):
    return [result.by_kind_in_burst[name] for result in results]


def fraction(kinds, field):
    return sum(getattr(kind, field) for kind in kinds) / sum(kind.request_count for kind in kinds)


class TestScarceRoom:
    @pytest.mark.parametrize("name", SCARCE)
    def test_half_of_the_value_is_earned(self, results_of, name):
        """Guards against requests that all wait too long: 4 times the sweeps, slow servers."""
        kinds = PATTERNS[name].kinds
        assert min(result.burst_value(kinds) for result in results_of(name)) >= SCARCE_VALUE

    @pytest.mark.parametrize("name", SCARCE)
    def test_the_most_urgent_kind_is_served(self, results_of, name):
        """Guards against lookups behind sweeps: in time were 0.57 and 0.41 of them with seed 1."""
        assert fraction(burst_kinds(results_of(name), "lookup"), "in_time") >= URGENT_IN_TIME

    @pytest.mark.parametrize("name", SCARCE)
    def test_refusals_are_prompt(self, results_of, name):
        """Guards against requests that wait before they are refused."""
        for kind in PATTERNS[name].kinds:
            limit_s = PROMPT_REFUSAL_FRACTION * kind.target_latency_s
            for result in burst_kinds(results_of(name), kind.name):
                assert all(delay_s <= limit_s for delay_s in result.refusal_delays)

    @pytest.mark.parametrize("name", SCARCE + BURSTS)
    def test_no_kind_is_starved(self, results_of, name):
        """Guards against a kind that is served less than a quarter as often as all."""
        kinds = [burst_kinds(results_of(name), kind.name) for kind in PATTERNS[name].kinds]
        shares = [sum(len(one.latencies) for one in kind) for kind in kinds]
        asked = [sum(one.request_count for one in kind) for kind in kinds]
        for served, count in zip(shares, asked, strict=True):
            assert served / count >= MIN_RELATIVE_SHARE * sum(shares) / sum(asked)


class TestBurstsWithRoom:
    @pytest.mark.parametrize("name", BURSTS)
    def test_bursts_that_fit_are_served(self, results_of, name):
        """Guards against refusals while there is room: 2.5 times the sweeps, 1.9 the lookups."""
        kinds = PATTERNS[name].kinds
        assert min(result.burst_value(kinds) for result in results_of(name)) >= 0.95

    def test_calm_costs_nothing(self, results_of):
        """Guards against refusals in calm."""
        for result in results_of("priorities"):
            assert all(kind.refused + kind.returned == 0 for kind in result.by_kind.values())
            assert result.mean_value >= 0.95
