"""Tests of deletions of server entries that are held back, without a network."""

from structlog.testing import capture_logs

from rhubarbway.decisions.withdrawal import WithdrawalReason, withdrawal_reason
from rhubarbway.model import StoreItem
from rhubarbway.services.registry import RegistryService
from rhubarbway.services.tests.test_registry import Clock, FilledRegistry, deletion, entry


class Reader(FilledRegistry):
    """A host with the entries of 60 servers that reads the store at times, and other hosts."""

    def read(self, items, *, revision):
        """Apply what a watch of the store returns."""
        self.apply_changes(items, revision=revision)

    def follow(self, other):
        """Apply the changes of another host."""
        changes = other.registry.wait_for_changes(
            after=None, wait_s=0.0, settled_revision=self.registry.settled_position().revision
        )
        self.registry.apply_received(changes, source="other")


class TestLines:
    def test_they_name_the_servers_the_reason_and_the_time(self):
        """Guards against logs from which nobody can tell why a removed server is still used."""
        clock = Clock()
        reader = Reader(clock=clock)
        ended = []
        reader.registry.deferral.end_listeners.append(lambda **end: ended.append(end))
        known = []
        reader.registry.deferral.change_listeners.append(known.append)
        with capture_logs() as lines:
            reader.registry.defer_deletions()
            reader.read([deletion(1, 200), deletion(2, 201)], revision=201)
            clock.advance(1.0)
            reader.read(
                [StoreItem(key=entry(1).key, value=entry(1).value, revision=300)], revision=300
            )
            clock.advance(1.5)
            reader.read([], revision=301)
        begun, written_again, applied = lines
        assert begun["event"] == "Deletions deferred." and begun["reason"] == "outage"
        assert begun["servers"] == ["i-1", "i-2"] and begun["for_ms"] == 2200
        assert written_again["end"] == "written_again" and written_again["servers"] == ["i-1"]
        assert applied["end"] == "applied" and applied["servers"] == ["i-2"]
        assert applied["longest_ms"] == 2500
        assert [(end["end"], end["seconds"]) for end in ended] == [
            ("written_again", 1.0),
            ("applied", 2.5),
        ]
        assert known == [{"i-1": 1000.0, "i-2": 1000.0}, {"i-2": 1000.0}, {}]


class TestWithdrawalReason:
    def test_each_way_to_leave_has_its_own(self):
        """Guards against a log that does not tell a removed entry from a draining one."""
        server, other, draining = map(self.server, ({}, {"born": 8}, {"state": "draining"}))
        for listed, leaving, expected in (
            (None, False, WithdrawalReason.REMOVED),
            (other, False, WithdrawalReason.REPLACED),
            (draining, True, WithdrawalReason.DRAINING),
            (server, True, WithdrawalReason.LEAVING),
            (server, False, WithdrawalReason.EVACUATED),
        ):
            reason = withdrawal_reason(server.incarnation, listed=listed, leaving=leaving)
            assert reason is expected

    def server(self, changes):
        """Return the server that an entry with some changed fields describes."""
        return RegistryService().decode_server(entry(1, **changes))


class TestDeferralsOfSeveralHosts:
    def test_hosts_do_not_prolong_deferrals_for_each_other(self):
        """Guards against removed servers that stay in use for as long as others are removed.

        After an outage a host reads each removal just before another one, which then takes it for a
        deletion that is deferred elsewhere, and holds back the next one in turn.
        """
        clock = Clock()
        hosts = [Reader(clock=clock) for _ in range(2)]
        for host in hosts:
            host.registry.defer_deletions()
        clock.advance(2.0)
        removed_at = {}
        delays_s = {}
        for number in range(20):
            first, second = hosts[number % 2], hosts[1 - number % 2]
            revision = 200 + number
            removed_at[number] = clock.now
            first.read([deletion(number, revision)], revision=revision)
            second.follow(first)
            second.read([deletion(number, revision)], revision=revision)
            first.follow(second)
            clock.advance(0.5)
            for host in hosts:
                host.read([], revision=revision)
            for server in removed_at.keys() - delays_s.keys():
                if not any(f"i-{server}" in host.recorder.in_use for host in hosts):
                    delays_s[server] = clock.now - removed_at[server]
        assert len(delays_s) >= 15 and max(delays_s.values()) < 3.0

    def test_a_new_reader_does_not_begin_the_deferral_anew(self):
        """Guards against a removed server that stays in use while hosts replace each other as
        readers: each reads its deletion again.
        """
        clock = Clock()
        hosts = [Reader(clock=clock) for _ in range(4)]
        hosts[0].registry.defer_deletions()
        hosts[0].read([deletion(1, 200)], revision=200)
        for host, successor in zip(hosts, hosts[1:], strict=False):
            successor.follow(host)
            clock.advance(0.7)
            successor.read([deletion(1, 200)], revision=200)
        clock.advance(0.2)
        hosts[-1].read([], revision=200)
        assert "i-1" not in hosts[-1].recorder.in_use
