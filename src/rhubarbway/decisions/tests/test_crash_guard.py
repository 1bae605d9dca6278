"""Tests of the losses of crashing requests that hosts share."""

import pytest

from rhubarbway.decisions import crash_guard
from rhubarbway.decisions.crash_guard import CrashGuard, ServerLoss

NOW = 1000.0
SENT_AT = NOW + crash_guard.MIN_SINGLE_AGE_S


def loss(digest, server, *, lost_at=NOW, service="board", is_single=False):
    return ServerLoss(
        digest=digest, service=service, server=server, lost_at=lost_at, is_single=is_single
    )


def singles(digest, servers):
    return [loss(digest, f"i-{number}", is_single=True) for number in servers]


class TestSingleLosses:
    def test_single_losses_of_three_hosts_block_a_request(self):
        """Guards against a request without retries that crashes a server at each host in turn."""
        guard = CrashGuard()
        guard.merge(singles("d", range(3)), now=SENT_AT)
        assert guard.is_blocked("d", now=SENT_AT)

    def test_a_fan_out_whose_servers_crash_together_is_blocked(self):
        """Guards against shards of one request that are taken for servers that fail together."""
        guard = CrashGuard()
        for number in range(3):
            losses = [
                loss("d", f"i-{number}-{shard}", service=f"shard-{shard}", is_single=True)
                for shard in range(36)
            ]
            guard.merge(losses, now=SENT_AT)
        assert guard.is_blocked("d", now=SENT_AT)

    @pytest.mark.parametrize("is_single", [True, False])
    def test_a_popular_request_on_servers_that_fail_together_is_not_blocked(self, is_single):
        """Guards against innocent requests that are blocked when a zone fails.

        A host whose own requests show three lost servers blocks as before.
        """
        guard = CrashGuard()
        others = [loss(f"o-{number}", f"i-{number}") for number in range(20)]
        guard.merge(others, now=SENT_AT)
        guard.merge(
            [loss("d", f"i-{number}", is_single=is_single) for number in range(3)], now=SENT_AT
        )
        assert guard.is_blocked("d", now=SENT_AT) is not is_single

    def test_losses_that_block_count_at_all_hosts(self):
        """Guards against a block that ends early where more servers fail afterwards."""
        guard, other = CrashGuard(), CrashGuard()
        guard.merge(singles("d", range(3)), now=SENT_AT)
        other.merge([loss(f"o-{number}", f"j-{number}") for number in range(20)], now=SENT_AT)
        other.merge(guard.losses_to_share(now=SENT_AT), now=SENT_AT)
        assert other.is_blocked("d", now=SENT_AT)


class TestLimits:
    def test_many_lost_requests_end_no_block(self):
        """Guards against a flood of lost requests that makes hosts forget a crashing one."""
        guard = CrashGuard()
        guard.merge([loss("d", f"i-{number}") for number in range(3)], now=NOW)
        for number in range(2 * crash_guard.MAX_DIGESTS):
            guard.record(loss(f"o-{number}", "j"), now=NOW)
        assert guard.is_blocked("d", now=NOW)
        assert len(guard.losses_by_digest) == crash_guard.MAX_DIGESTS

    def test_the_number_of_losses_is_bounded(self):
        """Guards against a peer that fills the memory with losses at many services."""
        guard = CrashGuard()
        for number in range(200):
            losses = [loss(f"d-{number}", "i", service=f"s-{shard}") for shard in range(100)]
            guard.merge(losses, now=NOW)
        kept = sum(map(crash_guard.loss_count_of, guard.losses_by_digest.values()))
        assert kept <= crash_guard.MAX_LOSSES

    def test_single_losses_of_one_server_are_sent_up_to_the_limit(self):
        """Guards against messages that grow with the requests in flight on a lost server."""
        guard = CrashGuard()
        for number in range(500):
            guard.record(loss(f"o-{number}", "i-1"), now=NOW)
        assert len(guard.singles_to_share(now=SENT_AT)) == crash_guard.MAX_SHARED_SINGLES

    def test_no_single_losses_are_sent_while_many_servers_are_lost(self):
        """Guards against a zone that fails and floods the exchange between the hosts."""
        guard = CrashGuard()
        for number in range(500):
            guard.record(loss(f"o-{number}", f"i-{number}"), now=NOW)
        assert guard.singles_to_share(now=SENT_AT) == []

    @pytest.mark.parametrize("age", [0.0, crash_guard.MAX_SINGLE_AGE_S])
    def test_single_losses_are_sent_for_a_limited_time(self, age):
        """Guards against losses that are sent before a failure of many servers is known."""
        guard = CrashGuard()
        guard.record(loss("d", "i-1"), now=NOW)
        assert guard.singles_to_share(now=NOW + age) == []
