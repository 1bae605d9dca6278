"""The proofs of at most once and of crashing requests notice when a mechanism is missing."""

from __future__ import annotations

import pytest

from proofs.test_at_most_once import Bookings
from proofs.test_crash import RESENDS, SERVERS_PER_HOST, Lookups


def start_mutant(fleet, mutation, *, like):
    """Start a changed daemon under the name and address of an entry host that was killed."""
    fleet.processes[like["name"]].kill()
    arguments = [mutation, "--settings", str(fleet.directory / f"{like['name']}.settings.json")]
    return fleet.start_process(like["name"], ["proofs.mutant_daemon", *arguments])


@pytest.fixture(scope="module")
def bookings(tmp_path_factory):
    deployed = Bookings(tmp_path_factory.mktemp("bookings"))
    with deployed.fleet:
        yield deployed
        deployed.fleet.kill()


@pytest.fixture(scope="module")
def lookups(tmp_path_factory):
    deployed = Lookups(tmp_path_factory.mktemp("lookups"))
    with deployed.fleet:
        yield deployed
        deployed.fleet.kill()


class TestTokenMutations:
    def test_without_binding_a_repeat_runs_twice(self, bookings):
        start_mutant(bookings.fleet, "binding", like=bookings.hosts[0])
        bookings.wait_covering(bookings.hosts[0])
        token = bookings.token(0)
        for _ in range(2):
            assert bookings.book(0, "binding", token)[0] == 200
        assert max(bookings.runs().values()) == 2

    def test_without_forwarding_a_repeat_elsewhere_runs_twice(self, bookings):
        start_mutant(bookings.fleet, "forwarding", like=bookings.hosts[1])
        bookings.wait_covering(bookings.hosts[1])
        token = bookings.token(2)
        for number in (2, 1):
            assert bookings.book(number, "forwarding", token)[0] == 200
        runs = bookings.runs()
        assert {count for (name, _), count in runs.items() if name == "forwarding"} == {2}


class TestCrashMutations:
    @pytest.mark.parametrize("mutation", ["canary", "quarantine"])
    def test_cost_exceeds_two_servers(self, lookups, mutation):
        lookups.use_canary("always")
        host = lookups.hosts[0]
        start_mutant(lookups.fleet, mutation, like=host)
        lookups.wait_covered(host, "lookup")
        for _ in range(RESENDS):
            lookups.ask(host, "lookup", {"crash": True, mutation: 1})
        assert len(lookups.crashed(mutation)) > SERVERS_PER_HOST
        for other in lookups.hosts:
            lookups.wait_covered(other, "lookup")
