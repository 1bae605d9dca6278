"""Tests of the order of manifest versions and of the version floor."""

from itertools import permutations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from rhubarbway.decisions.manifest_versions import (
    NO_VERSION,
    QUORUM_WAIT_S,
    VersionFloor,
    is_accepted,
)
from rhubarbway.model import Manifest, VersionReport

HOSTS = [f"e{number}" for number in range(9)]


def manifest_of(version, digest):
    return Manifest(
        version=version, digest=digest, tenants={}, services={}, prefixes={}, entry_hosts=()
    )


def report(version, *, confirmed, at=0.0):
    return VersionReport(version_key=(version, ""), confirmed=confirmed, received_at=at)


def floor_with_reports(*, confirmed, starting, version=2):
    floor = VersionFloor(name="e0")
    for number, name in enumerate(HOSTS[1 : 1 + confirmed + starting]):
        floor.record_report(name, report(version, confirmed=number < confirmed))
    return floor


class TestIsAccepted:
    def test_any_order_of_arrival_ends_at_the_same_version(self):
        """Guards against hosts that disagree after a version was published twice."""
        manifests = [manifest_of(1, "f"), manifest_of(2, "a"), manifest_of(2, "b")]
        for order in permutations(manifests):
            held = None
            for manifest in [*order, *order]:
                held = manifest if is_accepted(manifest, held) else held
            assert held.version_key == (2, "b")


class TestVersionFloor:
    def test_stale_first_version_is_not_confirmed(self):
        """Guards against a restarted host that uses the old manifest of a stale service."""
        floor = floor_with_reports(confirmed=8, starting=0, version=3)
        assert not floor.try_confirm(held=(2, ""), published=HOSTS, now=60.0)
        assert floor.try_confirm(held=(3, ""), published=HOSTS, now=60.0)

    def test_minority_of_confirmed_hosts_is_not_enough(self):
        """Guards against a host that starts in the minority of a network partition."""
        for confirmed in (1, 3, 4):
            floor = floor_with_reports(confirmed=confirmed, starting=0)
            for now in (0.0, QUORUM_WAIT_S, 100.0):
                assert not floor.try_confirm(held=(2, ""), published=HOSTS, now=now)

    def test_host_without_reports_never_confirms(self):
        """Guards against a cut-off host that uses the old manifest of a stale service."""
        floor = VersionFloor(name="e0")
        for now in (0.0, 10.0, 1000.0):
            assert not floor.try_confirm(held=(2, ""), published=HOSTS, now=now)

    def test_all_starting_wait_for_five_seconds(self):
        """Guards against a host that confirms its floor before a confirmed host can answer."""
        floor = VersionFloor(name="e0")
        for now in (0.0, 2.0, QUORUM_WAIT_S - 0.1, QUORUM_WAIT_S):
            for name in HOSTS[1:5]:
                floor.record_report(name, report(0, confirmed=False, at=now))
            confirmed = floor.try_confirm(held=(1, ""), published=HOSTS, now=now)
            assert confirmed == (now >= QUORUM_WAIT_S)

    def test_one_confirmed_host_is_enough_if_all_others_reported(self):
        """Guards against a needless wait while most hosts start and all of them are reachable."""
        floor = floor_with_reports(confirmed=1, starting=7)
        assert floor.try_confirm(held=(2, ""), published=HOSTS, now=0.0)

    def test_one_confirmed_host_is_not_enough_while_others_are_silent(self):
        """Guards against relying on one confirmed host that was cut off from newer versions."""
        floor = VersionFloor(name="e0")
        for now in (0.0, QUORUM_WAIT_S, 50.0):
            floor.record_report("e1", report(2, confirmed=True, at=now))
            for name in HOSTS[2:6]:
                floor.record_report(name, report(0, confirmed=False, at=now))
            assert not floor.try_confirm(held=(2, ""), published=HOSTS, now=now)

    def test_old_report_of_a_starting_host_does_not_count(self):
        """Guards against a quorum of hosts that have not reported for a minute."""
        floor = floor_with_reports(confirmed=0, starting=8)
        floor.try_confirm(held=(2, ""), published=HOSTS, now=0.0)
        assert not floor.try_confirm(held=(2, ""), published=HOSTS, now=60.0)


class VersionFloorMachine(RuleBasedStateMachine):
    """Reports in any order: the version in force is never below one reported earlier."""

    def __init__(self):
        super().__init__()
        self.floor = VersionFloor(name="e0")
        self.now = 0.0
        self.held = NO_VERSION
        self.highest_reported = NO_VERSION
        self.in_force = None

    @rule(name=st.sampled_from(HOSTS), version=st.integers(0, 5), confirmed=st.booleans())
    def receive_report(self, name, version, confirmed):
        version_key = (version, "d" if version else "")
        self.floor.record_report(
            name, VersionReport(version_key=version_key, confirmed=confirmed, received_at=self.now)
        )
        if self.in_force is None and name != "e0":
            self.highest_reported = max(self.highest_reported, version_key)

    @rule(version=st.integers(1, 5))
    def hold_version(self, version):
        self.held = max(self.held, (version, "d"))

    @rule(seconds=st.floats(0.0, 6.0))
    def advance_time(self, seconds):
        self.now += seconds

    @precondition(lambda self: self.in_force is None)
    @rule()
    def confirm(self):
        if self.floor.try_confirm(held=self.held, published=HOSTS, now=self.now):
            self.in_force = self.held

    @invariant()
    def version_in_force_is_at_floor(self):
        """Guards against a version in force below one that was reported before."""
        assert self.in_force is None or self.in_force >= max(self.highest_reported, (1, ""))


TestVersionFloorMachine = VersionFloorMachine.TestCase
TestVersionFloorMachine.settings = settings(
    max_examples=60, stateful_step_count=30, deadline=None, derandomize=True
)
