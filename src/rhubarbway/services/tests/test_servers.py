"""Tests of the servers in use under any order of registrations, drains, evacuations and removals.

Guards against requests to a server that drains, is evacuated or is gone, requests to an address
that now belongs to another server, and more connections than a server accepts.
"""

import time

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from rhubarbway.decisions.delegation import FanOutHost
from rhubarbway.decisions.fleet_view import FleetMember
from rhubarbway.decisions.host_history import SETTLE_S
from rhubarbway.decisions.server_notices import LeavingMark
from rhubarbway.model import (
    BackendServer,
    CallerLimits,
    ExchangeEnd,
    ExecutionStatus,
    ForwardedRequest,
    RoutingTable,
    ServerNotice,
)
from rhubarbway.services.server_attempt import ServerAttempt
from rhubarbway.services.server_pool import ServerCodec, ServerConnection
from rhubarbway.services.server_sharing import ServerSharing
from rhubarbway.services.servers import (
    DEFAULT_CONNECTION_LIMIT,
    ServerService,
    connection_limit,
)

IDS = st.sampled_from(["i-1", "i-2", "i-3"])
SERVICES = st.sampled_from(["desk", "board"])
ZONES = ("north", "south")
LIMITS = CallerLimits(
    max_header_bytes=1000, max_body_bytes=1000, header_timeout_s=1.0, idle_timeout_s=1.0
)


class IdleExecutor:
    """An executor that accepts the tasks of connections and runs none of them."""

    def submit(self, *task):
        pass

    def shutdown(self, **options):
        pass


def unused(*_, **__):
    raise AssertionError("unexpected call: these tests send no requests")


class ServerServiceMachine(RuleBasedStateMachine):
    """Compares the service with a model that holds the last entry of each server."""

    def __init__(self):
        super().__init__()
        self.service = ServerService(codec=ServerCodec(encode=unused, decode=unused))
        self.service.tasks.executor = IdleExecutor()
        self.known = {}
        self.leaving = set()
        self.evacuated = set()
        self.caps = {}
        self.host_count = self.service.host_count
        self.seen_pools = {}
        self.current_pools = {}

    def update(self, server):
        self.known[server.id] = server
        self.service.update([server], [])

    @rule(
        server_id=IDS,
        service=SERVICES,
        run=st.tuples(st.integers(1, 3), st.integers(1, 2)),
        slots=st.integers(1, 3),
        zone=st.sampled_from(ZONES),
    )
    def register(self, server_id, service, run, slots, zone):
        port, started_ms = run
        self.update(
            BackendServer(
                id=server_id,
                service=service,
                address=f"10.0.0.1:{port}",
                zone=zone,
                slots=slots,
                started_ms=started_ms,
            )
        )

    @rule(zones=st.sets(st.sampled_from(ZONES)))
    def evacuate(self, zones):
        self.evacuated = zones
        self.service.set_evacuated_zones(zones)

    @rule(server_id=IDS)
    def drain(self, server_id):
        before = self.known.get(server_id)
        if before is not None:
            self.update(
                BackendServer(
                    id=before.id,
                    service=before.service,
                    address=before.address,
                    zone=before.zone,
                    slots=before.slots,
                    draining=True,
                    started_ms=before.started_ms,
                )
            )

    @rule(server_id=IDS, through_host=st.booleans())
    def announce_leaving(self, server_id, through_host):
        """The server says so to this host, or another host passes it on."""
        server = self.known.get(server_id)
        if server is None:
            return
        pool = self.service.pools.get(server.incarnation)
        if through_host or pool is None:
            mark = LeavingMark(incarnation=server.incarnation, announced_at=time.monotonic())
            self.service.merge_leaving([mark])
        else:
            self.service.handle_notice(pool, ServerNotice(leaving=True))
        self.leaving.add(server.incarnation)

    @rule(server_id=IDS)
    def remove(self, server_id):
        self.known.pop(server_id, None)
        self.service.update([], [server_id])

    @rule(caps=st.dictionaries(SERVICES, st.integers(1, 60)))
    def publish(self, caps):
        self.caps = caps
        self.service.apply_table(
            RoutingTable(version=1, routes=(), max_connections=caps, limits=LIMITS)
        )

    @rule(host_count=st.integers(1, 20))
    def set_host_count(self, host_count):
        self.host_count = host_count
        self.service.set_host_count(host_count)

    @invariant()
    def requests_go_to_the_servers_that_accept_them(self):
        """Guards against requests to a server that drains or is gone, or to a former address."""
        offered = {
            pool.server.id: (service, pool)
            for service, pools in self.service.pools_by_service.items()
            for pool in pools
        }
        accepting = {
            key: server
            for key, server in self.known.items()
            if not server.draining
            and server.incarnation not in self.leaving
            and server.zone not in self.evacuated
        }
        assert offered.keys() == accepting.keys()
        assert sum(map(len, self.service.pools_by_service.values())) == len(accepting)
        for key, server in accepting.items():
            service, pool = offered[key]
            assert service == server.service
            offered_as = (pool.server.address, pool.server.service, pool.server.slots)
            assert offered_as == (server.address, server.service, server.slots)
            assert pool.state.server is pool.server

    @invariant()
    def connections_keep_to_the_limits(self):
        """Guards against more connections to a server than this host's part of its limit."""
        for pool in self.service.pools.values():
            assert pool.state.max_connections == connection_limit(
                self.caps.get(pool.server.service), self.host_count
            )

    @invariant()
    def pools_are_open_while_they_are_offered(self):
        """Guards against a pool that is replaced or closed too early, or stays open too long.

        The same pool has to stay open exactly as long as its server process is in use.
        """
        for key, pool in self.service.pools.items():
            assert not pool.closed
            if key in self.current_pools:
                assert self.current_pools[key] is pool
            self.seen_pools[id(pool)] = pool
        self.current_pools = dict(self.service.pools)
        for pool in self.seen_pools.values():
            assert pool.closed != any(pool is other for other in self.current_pools.values())


TestServers = ServerServiceMachine.TestCase
TestServers.settings = settings(max_examples=60, stateful_step_count=30, deadline=None)


SERVER = BackendServer(id="i-1", service="desk", address="10.0.0.1:1", zone="z", slots=3)


class RunningServers:
    """A service with one server whose connection tasks never run, so that attempts wait."""

    def __init__(self):
        self.service = ServerService(codec=ServerCodec(encode=unused, decode=unused))
        self.service.tasks.executor = IdleExecutor()
        self.outcomes = []
        self.register(SERVER)
        self.service.set_host_count(1)

    def register(self, server):
        self.service.update([server], [])

    def pool(self):
        return self.service.pools_by_service["desk"][0]

    def submit(self, number):
        attempt = ServerAttempt(
            number=number,
            request=None,
            shard="desk",
            route_name="r",
            deadline=time.monotonic() + 10.0,
            submitted_at=time.monotonic(),
            typical_s=0.01,
            deliver=self.outcomes.append,
        )
        self.pool().submit(attempt)
        return attempt


class TestEvacuation:
    def test_attempts_that_wait_are_withdrawn_and_those_sent_go_on(self):
        """Guards against queued requests that reach a server after its zone was evacuated."""
        running = RunningServers()
        pool = running.pool()
        attempts = [running.submit(number) for number in range(DEFAULT_CONNECTION_LIMIT + 2)]
        running.service.set_evacuated_zones({SERVER.zone})
        assert [outcome.end for outcome in running.outcomes] == [ExchangeEnd.WITHDRAWN] * 2
        assert {outcome.detail for outcome in running.outcomes} == {
            "the zone of the server is evacuated"
        }
        assert not any(attempt.cancelled for attempt in attempts)
        # A request may have chosen the pool just before; its attempt is not sent.
        connection = ServerConnection(address=SERVER.address)
        outcome = pool.run_attempt(connection, attempts[0])
        assert (outcome.end, outcome.ran) == (ExchangeEnd.WITHDRAWN, ExecutionStatus.NOT_RUN)
        assert connection.http.call_number == 0

    def test_the_servers_are_used_again_at_the_end(self):
        """Guards against a zone that gets no requests after its evacuation was taken back."""
        running = RunningServers()
        told = []
        running.service.evacuation_listeners.append(lambda *change: told.append(change))
        running.service.set_evacuated_zones({SERVER.zone})
        assert running.service.pools_by_service == {}
        running.service.set_evacuated_zones(set())
        assert running.pool().state.accepts_requests(time.monotonic())
        assert told == [(SERVER.zone, True), (SERVER.zone, False)]


class TestNotices:
    @pytest.mark.parametrize("notice", [ServerNotice(leaving=True), ServerNotice(quiet_s=5.0)])
    def test_attempts_that_wait_for_a_connection_are_withdrawn(self, notice):
        """Guards against queued requests that reach a server after it asked for none."""
        running = RunningServers()
        pool = running.pool()
        attempts = [running.submit(number) for number in range(DEFAULT_CONNECTION_LIMIT + 2)]
        running.service.handle_notice(pool, notice)
        assert [outcome.end for outcome in running.outcomes] == [ExchangeEnd.WITHDRAWN] * 2
        assert len(pool.state.in_flight) == DEFAULT_CONNECTION_LIMIT
        # The attempts that connection tasks have taken end when these run.
        connection = ServerConnection(address=SERVER.address)
        outcome = pool.run_attempt(connection, attempts[0])
        assert (outcome.end, outcome.ran) == (ExchangeEnd.WITHDRAWN, ExecutionStatus.NOT_RUN)
        assert connection.http.call_number == 0

    def test_the_time_without_requests_survives_the_pool_but_not_the_process(self):
        """Guards against a server that is asked again because its entry was written anew."""
        running = RunningServers()
        running.service.handle_notice(running.pool(), ServerNotice(quiet_s=5.0))
        running.service.update([], [SERVER.id])
        running.register(SERVER)
        assert not running.pool().state.accepts_requests(time.monotonic())
        running.register(
            BackendServer(
                id="i-1", service="desk", address="10.0.0.1:1", zone="z", slots=3, started_ms=9
            )
        )
        assert running.pool().state.accepts_requests(time.monotonic())

    def test_a_leaving_server_stays_unused_whatever_the_registry_lists(self):
        """Guards against a server that returns because its entry still says ready."""
        running = RunningServers()
        running.service.handle_notice(running.pool(), ServerNotice(leaving=True))
        running.service.update([], [SERVER.id])
        running.register(SERVER)
        assert "desk" not in running.service.pools_by_service
        marks = running.service.leaving_to_share()
        assert [mark.incarnation for mark in marks] == [SERVER.incarnation]


def register_cold(running, *, warm_up_s):
    """Write the entry of the server again, with the time for which it stays cold."""
    running.register(
        BackendServer(
            id="i-1", service="desk", address=SERVER.address, zone="z", slots=3, warm_up_s=warm_up_s
        )
    )


def table_with(**values):
    return RoutingTable(version=1, routes=(), limits=LIMITS, **values)


def members(count, *, zone="z"):
    return [
        FleetMember(address=f"h{number}:1", zone=zone, incarnation="1", last_seen_at=0.0, cores=0.5)
        for number in range(count)
    ]


class TestColdServers:
    def running(self, *, rate=2.0, settled=True):
        running = RunningServers()
        running.service.sharing = ServerSharing(
            own=FanOutHost(address="own:1", zone="z", cores=1.0),
            warm_up_overshoot=1.0,
            warm_up_slack=2.0,
        )
        running.pool().state.cold_limit = running.service.sharing.cold_limit(SERVER)
        if rate:
            running.service.apply_table(
                table_with(max_connections={}, warm_up_rates={"desk": rate})
            )
        for now in (0.0, SETTLE_S):
            running.service.sharing.record_members(members(1 if settled else 0), now=now)
        return running

    def run_attempt(self, running, number):
        attempt = running.submit(number)
        attempt.request = ForwardedRequest(
            request_id="1",
            method="GET",
            target="/",
            host="h",
            received_at=time.monotonic(),
            deadline=time.monotonic() + 5.0,
        )
        running.pool().codec = ServerCodec(encode=lambda *_, **__: ["Host: s"], decode=unused)
        return running.pool().run_attempt(ServerConnection(address="127.0.0.1:1"), attempt)

    def test_a_change_of_the_entry_makes_a_server_cold_and_warm_again(self):
        """Guards against a server that turns cold while it serves and gets all of its requests."""
        running = self.running()
        state = running.pool().state
        assert not state.is_cold(time.monotonic())
        register_cold(running, warm_up_s=3.0)
        assert state.is_cold(time.monotonic())
        state.cold_limit.record_sent(time.monotonic())
        assert not state.accepts_requests(time.monotonic())
        register_cold(running, warm_up_s=0.0)
        assert state.accepts_requests(time.monotonic())

    def test_the_last_check_withholds_what_the_choice_of_a_server_has_let_pass(self):
        """Guards against fan-outs that choose a cold server at once, before any of them is sent."""
        running = self.running()
        results = []
        running.service.cold_attempt_listeners.append(
            lambda *, service, result: results.append((service, result))
        )
        register_cold(running, warm_up_s=3.0)
        ends = [self.run_attempt(running, number).end for number in range(3)]
        # Nothing listens at the address of the attempt that is sent.
        assert ends == [ExchangeEnd.CONNECT_FAILED] + [ExchangeEnd.WITHDRAWN] * 2
        assert results == [("desk", "sent")] + [("desk", "withheld")] * 2

    def test_a_reply_that_states_a_warm_up_makes_the_server_cold(self):
        """Guards against a server whose entry does not yet say that it is cold."""
        running = self.running(settled=False)
        running.service.handle_notice(running.pool(), ServerNotice(warm_up_s=2.0))
        assert not running.pool().state.accepts_requests(time.monotonic())
        assert running.service.cold_server_count() == 1

    def test_a_server_that_refuses_connections_counts_as_cold_when_it_returns(self):
        """Guards against a full load on a process that was restarted under the same id.

        Its entry is not known yet, or the store is silent.
        """
        running = self.running()
        assert self.run_attempt(running, 1).end is ExchangeEnd.CONNECT_FAILED
        assert running.pool().state.is_cold(time.monotonic())

    def test_nothing_changes_for_a_service_without_a_rate(self):
        """Guards against withheld requests in deployments that state no rate."""
        running = self.running(rate=0.0)
        register_cold(running, warm_up_s=3.0)
        assert self.run_attempt(running, 1).end is ExchangeEnd.CONNECT_FAILED
        assert running.pool().state.accepts_requests(time.monotonic())
        assert running.service.cold_server_count() == 0


class TestConnectionSubsets:
    def service(self, *, host_count, cap=67):
        service = ServerService(
            codec=ServerCodec(encode=unused, decode=unused), address="own:1", zone="z0"
        )
        service.tasks.executor = IdleExecutor()
        service.apply_table(table_with(max_connections={"desk": cap, "board": 480}))
        service.update(
            [
                BackendServer(
                    id=f"{name}-{zone}", service=name, address="10.0.0.1:1", zone=zone, slots=3
                )
                for name in ("desk", "board")
                for zone in ("z0", "z1", "z2")
            ],
            [],
        )
        live = members(host_count // 2, zone="z1") + [
            FleetMember(address=f"g{number}:1", zone="z0", incarnation="1", last_seen_at=0.0)
            for number in range(host_count // 2)
        ]
        service.record_members(lambda: live)
        return service

    def test_a_host_uses_a_part_of_the_servers_without_room_for_all(self):
        """Guards against a connection of each host to each server, beyond the server's cap."""
        service = self.service(host_count=600)
        assert [pool.server.id for pool in service.pools_by_service["board"]] == [
            "board-z0",
            "board-z1",
            "board-z2",
        ]
        assert len(service.pools_by_service["desk"]) < 3
        assert len(service.pools) == 6

    def test_all_servers_are_used_while_there_is_room(self):
        """Guards against fewer servers to choose from where no cap binds."""
        service = self.service(host_count=40)
        assert len(service.pools_by_service["desk"]) == 3


class TestDeferredDeletions:
    def test_servers_whose_deletion_is_known_rank_behind_others_unless_most_are_deleted(self):
        """Guards against requests to servers that have left, and against an uneven load while many
        entries have lapsed in an outage.
        """
        servers = ServerService(
            codec=ServerCodec(encode=unused, decode=unused, decode_notice=unused)
        )
        names = [f"s{number}" for number in range(10)]
        servers.update(
            [
                BackendServer(id=name, service="desk", address=f"{name}:1", zone="north", slots=1)
                for name in names
            ],
            [],
        )
        for deleted, expected in ((names[:2], names[:2]), (names[:6], []), ([], [])):
            servers.set_deferred_deletions(dict.fromkeys(deleted, 5.0))
            states = [pool.state for pool in servers.pools.values()]
            known = [state.server.id for state in states if state.deletion_known_since == 5.0]
            assert known == deleted
            assert [state.server.id for state in states if state.is_probably_gone] == expected
