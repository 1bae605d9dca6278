"""The tests of at-most-once runs and of crashing requests detect a daemon without a mechanism.

Each test replaces an entry host by a daemon without one of: the binding of a token to its first
request, the forwarding of a token to its issuer, canaries, the quarantine of crashing requests.
"""

from __future__ import annotations

import pytest

from proofs.test_at_most_once import BookingFleet
from proofs.test_crash import MAX_CRASHES_PER_HOST, RESENDS, LookupFleet


def start_mutant(fleet, mutation, *, replaced_host):
    """Kill an entry host and start a daemon without one mechanism under its name and address."""
    fleet.processes[replaced_host["name"]].kill()
    arguments = [
        mutation,
        "--settings",
        str(fleet.directory / f"{replaced_host['name']}.settings.json"),
    ]
    return fleet.start_process(replaced_host["name"], ["proofs.mutant_daemon", *arguments])


@pytest.fixture(scope="module")
def booking_fleet(tmp_path_factory):
    deployed = BookingFleet(tmp_path_factory.mktemp("bookings"))
    with deployed.fleet:
        yield deployed
        deployed.fleet.kill()


@pytest.fixture(scope="module")
def lookup_fleet(tmp_path_factory):
    deployed = LookupFleet(tmp_path_factory.mktemp("lookups"))
    with deployed.fleet:
        yield deployed
        deployed.fleet.kill()


class TestTokenMutations:
    def test_without_binding_a_repeat_runs_twice(self, booking_fleet):
        """Guards against tests that would miss a token which is not bound to its first request."""
        start_mutant(booking_fleet.fleet, "binding", replaced_host=booking_fleet.hosts[0])
        booking_fleet.wait_for_complete_coverage(booking_fleet.hosts[0])
        token = booking_fleet.request_token(0)
        for _ in range(2):
            assert booking_fleet.book(0, "binding", token)[0] == 200
        assert max(booking_fleet.run_counts().values()) == 2

    def test_without_forwarding_a_repeat_through_another_host_runs_twice(self, booking_fleet):
        """Guards against tests that would miss a host which runs tokens of another issuer
        itself.
        """
        start_mutant(booking_fleet.fleet, "forwarding", replaced_host=booking_fleet.hosts[1])
        booking_fleet.wait_for_complete_coverage(booking_fleet.hosts[1])
        token = booking_fleet.request_token(2)
        for number in (2, 1):
            assert booking_fleet.book(number, "forwarding", token)[0] == 200
        runs = booking_fleet.run_counts()
        assert {count for (name, _), count in runs.items() if name == "forwarding"} == {2}


class TestCrashMutations:
    @pytest.mark.parametrize("mutation", ["canary", "quarantine"])
    def test_without_the_mechanism_more_than_two_servers_crash(self, lookup_fleet, mutation):
        """Guards against tests that would miss an absent canary or quarantine."""
        lookup_fleet.set_canary_mode("always")
        host = lookup_fleet.hosts[0]
        start_mutant(lookup_fleet.fleet, mutation, replaced_host=host)
        lookup_fleet.wait_for_complete_coverage(host, "lookup")
        for _ in range(RESENDS):
            lookup_fleet.query(host, "lookup", {"crash": True, mutation: 1})
        assert len(lookup_fleet.crashed_servers(mutation)) > MAX_CRASHES_PER_HOST
        for other in lookup_fleet.hosts:
            lookup_fleet.wait_for_complete_coverage(other, "lookup")
