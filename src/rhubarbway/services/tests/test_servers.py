"""The servers in use, through any order of registrations, drains, ends and limits.

Guards against requests to a server that leaves or is gone, to an address that belongs to another
server now, and over the connections that a server grants.
"""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from rhubarbway.model import BackendServer, CallerLimits, RoutingTable
from rhubarbway.services.server_pool import ReplicaDialect
from rhubarbway.services.servers import ServerService, connection_limit

IDS = st.sampled_from(["i-1", "i-2", "i-3"])
SERVICES = st.sampled_from(["desk", "board"])
LIMITS = CallerLimits(head_bytes=1000, body_bytes=1000, head_timeout_s=1.0, idle_timeout_s=1.0)


class Tasks:
    """Takes the tasks of connections and runs none."""

    def submit(self, *task):
        pass

    def shutdown(self, **options):
        pass


def unused(*_, **__):
    raise AssertionError("nothing is sent here")


class Servers(RuleBasedStateMachine):
    """The service against a plain account of what the registry said last."""

    def __init__(self):
        super().__init__()
        self.service = ServerService(dialect=ReplicaDialect(encode=unused, decode=unused))
        self.service.executor = Tasks()
        self.known = {}
        self.caps = {}
        self.hosts = self.service.hosts
        self.seen = {}
        self.kept = {}

    def tell(self, server):
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
        self.tell(
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
            self.tell(
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
        self.service.note_table(RoutingTable(version=1, routes=(), connections=caps, limits=LIMITS))

    @rule(hosts=st.integers(1, 20))
    def count_hosts(self, hosts):
        self.hosts = hosts
        self.service.note_hosts(hosts)

    @invariant()
    def requests_go_to_the_servers_that_stay(self):
        offered = {
            pool.server.id: (service, pool)
            for service, pools in self.service.by_service.items()
            for pool in pools
        }
        staying = {key: server for key, server in self.known.items() if not server.draining}
        assert offered.keys() == staying.keys()
        assert sum(map(len, self.service.by_service.values())) == len(staying)
        for key, server in staying.items():
            service, pool = offered[key]
            assert service == server.service
            told = (pool.server.address, pool.server.service, pool.server.slots)
            assert told == (server.address, server.service, server.slots)
            assert pool.state.server is pool.server

    @invariant()
    def connections_keep_to_the_limits(self):
        for pool in self.service.pools.values():
            assert pool.state.max_connections == connection_limit(
                self.caps.get(pool.server.service), self.hosts
            )

    @invariant()
    def pools_are_open_while_they_are_offered(self):
        """A pool is kept while its server stays the same run, and closed after that."""
        for key, pool in self.service.pools.items():
            assert not pool.closed
            if key in self.kept:
                assert self.kept[key] is pool
            self.seen[id(pool)] = pool
        self.kept = dict(self.service.pools)
        for pool in self.seen.values():
            assert pool.closed != any(pool is other for other in self.kept.values())


TestServers = Servers.TestCase
TestServers.settings = settings(max_examples=60, stateful_step_count=30, deadline=None)
