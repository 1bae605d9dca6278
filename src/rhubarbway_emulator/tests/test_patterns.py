"""Tests of the forwarding code under named load patterns, without a network.

The bounds are the users' targets: with faults, the mean value of a request is at least 0.88, and
extra attempts stay below a fifth of the requests plus the shared allowance.
"""

import pytest

from rhubarbway.decisions.connection_subsets import ConnectionSubsets
from rhubarbway_emulator.experiment import run_pattern
from rhubarbway_emulator.patterns import COLD_RATE, PATTERNS, Pattern, limit_of_cold_server

TARGET_VALUE = 0.88
SEED = 1


@pytest.fixture(scope="module")
def result_of():
    """Return a function that runs each pattern once for all tests of this module."""
    results = {}

    def cached_result(name):
        if name not in results:
            results[name] = run_pattern(PATTERNS[name], seed=SEED)
        return results[name]

    return cached_result


class TestServedLoad:
    @pytest.mark.parametrize("name", ["calm", "slow-servers", "dark-shard", "refusing-servers"])
    def test_faulty_servers_keep_the_target_value(self, result_of, name):
        """Guards against requests that wait for servers that are paused, slow, down or refusing."""
        assert result_of(name).mean_value >= TARGET_VALUE

    @pytest.mark.parametrize("name", ["calm", "slow-servers", "dark-shard", "wide"])
    def test_all_kinds_of_requests_have_similar_values(self, result_of, name):
        """Guards against late answers to one kind of request, such as one with a short target."""
        values = [kind.mean_value for kind in result_of(name).by_kind.values()]
        assert max(values) - min(values) <= 0.25

    @pytest.mark.parametrize("name", ["calm", "slow-servers", "dark-shard", "wide"])
    def test_extra_attempts_stay_within_the_shared_budget(self, result_of, name):
        """Guards against hosts that each spend the whole retry budget on slow servers."""
        pattern = PATTERNS[name]
        result = result_of(name)
        request_count = result.first_attempts / pattern.shards
        # The allowance holds for each window of 10 s and each shard.
        allowed = 0.2 * request_count + pattern.retry_allowance * (1 + pattern.duration_s / 10.0)
        assert result.arrived_attempts - result.first_attempts <= allowed * pattern.shards


class TestUnevenServers:
    @pytest.mark.parametrize("name", ["uneven-servers-burst", "short-slowness"])
    def test_uneven_servers_keep_the_target_value(self, result_of, name):
        """Guards against servers that are overrun in turns while others idle.

        Loads: a burst on servers of three speeds, and servers that are slow for half a second.
        """
        result = result_of(name)
        assert result.mean_value >= TARGET_VALUE
        assert all(load.refused == 0.0 for load in result.loads.values())

    def test_the_service_without_shards_is_measured(self, result_of):
        """Guards against a load that counts only fan-outs."""
        assert result_of("shared-machines").loads["single"].busiest_over_mean >= 1.0


class TestNotices:
    @pytest.mark.parametrize("name", ["quiet-servers", "leaving-servers"])
    def test_servers_that_want_no_requests_get_none(self, result_of, name):
        """Guards against requests to servers that leave or asked for quiet, and their loss."""
        result = result_of(name)
        assert result.unwanted_attempts == 0
        assert result.mean_value >= TARGET_VALUE


class TestEvacuation:
    @pytest.mark.parametrize(
        "name", ["evacuated-zone", "evacuated-zone-burst", "wide-evacuated-zone"]
    )
    def test_the_other_zones_carry_the_load(self, result_of, name):
        """Guards against requests to an evacuated zone, and against requests that are refused or
        late although the servers of the other zones have room for them.
        """
        result = result_of(name)
        assert result.evacuated_attempts == 0
        assert result.mean_value >= TARGET_VALUE
        assert all(kind.refused == 0 for kind in result.by_kind.values())

    def test_the_servers_are_used_again_afterwards(self, result_of):
        """Guards against a zone whose servers stay unused after the end of its evacuation."""
        evacuated, calm = result_of("evacuated-zone"), result_of("calm")
        share = evacuated.cross_zone_attempts / evacuated.arrived_attempts
        calm_share = calm.cross_zone_attempts / calm.arrived_attempts
        # The zone has 4 of the 9 hosts, whose requests go elsewhere for 8 s and one of feed delay.
        assert share - calm_share <= 4 / 9 * 9.0 / PATTERNS["evacuated-zone"].duration_s

    def test_requests_without_enough_servers_are_refused_at_once(self, result_of):
        """Guards against requests that wait for the last servers of a shard until their deadline.

        The users ask for a refusal within a quarter of the target latency.
        """
        pattern, result = PATTERNS["evacuated-last-zone"], result_of("evacuated-last-zone")
        assert result.evacuated_attempts == 0
        for kind in pattern.kinds:
            outcome = result.by_kind[kind.name]
            assert outcome.refused > 0
            assert max(outcome.refusal_delays) <= kind.target_latency_s / 4


class TestLargeFleet:
    # Share of the answers in time that the users' fourth letter asks for on a quiet day.
    IN_TIME = {"sweep": 0.97, "alert": 0.95}

    def test_queries_of_a_large_fleet_are_answered_in_time(self, result_of):
        """Guards against fan-outs that take the whole processor of a small host.

        In a fleet of 195 hosts and 42 shards, three quarters of the alerts were in time.
        """
        for name, kind in result_of("large").by_kind.items():
            assert kind.in_time / kind.request_count >= self.IN_TIME[name]

    @pytest.mark.parametrize("name", ["large", "large-slow-servers"])
    def test_a_large_fleet_keeps_the_target_value(self, result_of, name):
        """Guards against slow servers that hosts with few requests do not notice."""
        assert result_of(name).mean_value >= TARGET_VALUE


class TestRepeatability:
    def test_equal_seeds_give_equal_results(self):
        """Guards against unseeded randomness: a comparison of policies needs equal loads."""
        first, second = (run_pattern(PATTERNS["calm"], seed=7) for _ in range(2))
        assert first.mean_value == second.mean_value
        assert first.arrived_attempts == second.arrived_attempts


class TestColdServers:
    NAMES = ("zone-returns-cold", "large-zone-returns-cold", "servers-turn-cold")

    @pytest.mark.parametrize("name", NAMES)
    def test_the_sum_over_all_hosts_keeps_the_limit(self, result_of, name):
        """Guards against a cold server that gets more than it tolerates from all hosts together.

        The hosts know different memberships, and learn at different times that it is cold.
        """
        result = result_of(name)
        assert result.busiest_cold_second <= limit_of_cold_server(COLD_RATE)
        assert result.cold_crashes == 0

    def test_a_cold_zone_costs_no_more_than_one_that_stays_away(self, result_of):
        """Guards against requests that wait for cold servers or are refused because of them."""
        returns, stays_away = result_of("zone-returns-cold"), result_of("zone-stays-away")
        assert returns.mean_value >= stays_away.mean_value - 0.01

    def test_hosts_without_the_limit_crash_cold_servers(self):
        """Guards against a load so low that the tests above hold without any limit."""
        pattern = PATTERNS["zone-returns-cold"]
        pattern = Pattern(
            title="no limit known",
            **{
                name: getattr(pattern, name)
                for name in Pattern.__slots__
                if name not in ("title", "warm_up_rate")
            },
        )
        assert run_pattern(pattern, seed=SEED).cold_crashes > 0


class TestConnectionCaps:
    def test_servers_reset_no_connection_beyond_their_cap(self, result_of):
        """Guards against 70 hosts that all connect to the only servers left, which accept 67."""
        assert result_of("two-zones-down").connection_resets == 0

    def test_hosts_without_subsets_exceed_the_cap(self, monkeypatch):
        """Guards against a load so low that the test above holds without any subsets."""
        monkeypatch.setattr(ConnectionSubsets, "applies", lambda self, cap: False)
        assert run_pattern(PATTERNS["two-zones-down"], seed=SEED).connection_resets > 0
