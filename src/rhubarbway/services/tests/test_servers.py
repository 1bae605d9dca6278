"""Tests of the servers in use under any order of registrations, drains, removals and new limits.

Guards against requests to a server that drains or is gone, requests to an address that now belongs
to another server, and more connections than a server accepts.
"""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from rhubarbway.model import BackendServer, CallerLimits, RoutingTable
from rhubarbway.services.server_pool import ServerCodec
from rhubarbway.services.servers import ServerService, connection_limit

IDS = st.sampled_from(["i-1", "i-2", "i-3"])
SERVICES = st.sampled_from(["desk", "board"])
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
        self.service.executor = IdleExecutor()
        self.known = {}
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
    )
    def register(self, server_id, service, run, slots):
        port, started_ms = run
        self.update(
            BackendServer(
                id=server_id,
                service=service,
                address=f"10.0.0.1:{port}",
                zone="z",
                slots=slots,
                started_ms=started_ms,
            )
        )

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
        accepting = {key: server for key, server in self.known.items() if not server.draining}
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
