"""The forwarding code under named loads, without a network.

The bounds are the users' targets: on a day with trouble a request is worth 0.88 on average, and
further attempts stay below a fifth of the requests and the shared allowance.
"""

import pytest

from rhubarbway_emulator.experiment import play
from rhubarbway_emulator.patterns import PATTERNS

TARGET_VALUE = 0.88
SEED = 1


@pytest.fixture(scope="module")
def played():
    """Each pattern is played once for all tests of this module."""
    results = {}

    def result_of(name):
        if name not in results:
            results[name] = play(PATTERNS[name], seed=SEED)
        return results[name]

    return result_of


class TestServedLoad:
    @pytest.mark.parametrize("name", ["calm", "slow-servers", "dark-shard", "refusing-servers"])
    def test_a_few_bad_servers_cost_callers_little(self, played, name):
        """Guards against pauses, slow servers and a dark shard that each query waits for."""
        assert played(name).mean_value >= TARGET_VALUE

    @pytest.mark.parametrize("name", ["calm", "slow-servers", "dark-shard", "wide"])
    def test_no_kind_of_request_pays_for_the_others(self, played, name):
        """Guards against a short target that is missed while the long ones are met."""
        values = [kind.mean_value for kind in played(name).by_kind.values()]
        assert max(values) - min(values) <= 0.25

    @pytest.mark.parametrize("name", ["calm", "slow-servers", "dark-shard", "wide"])
    def test_further_attempts_stay_within_the_shared_limit(self, played, name):
        pattern = PATTERNS[name]
        result = played(name)
        requests = result.needed / pattern.shards
        # The allowance holds for each window of 10 s and each shard.
        allowed = 0.2 * requests + pattern.retry_allowance * (1 + pattern.length_s / 10.0)
        assert result.arrivals - result.needed <= allowed * pattern.shards


class TestRepeat:
    def test_equal_seeds_give_equal_results(self):
        """An experiment that compares two policies needs the same load for both."""
        first, second = (play(PATTERNS["calm"], seed=7) for _ in range(2))
        assert first.mean_value == second.mean_value
        assert first.arrivals == second.arrivals
