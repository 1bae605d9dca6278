"""A crashing request costs a bounded number of backend servers, however often it is sent again."""

from __future__ import annotations

import json
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor

import pytest

from rhubarbway.edge.json_codec import decode_json
from rhubarbway_standins.deployments import Deployment, ServiceSize, generate_deployment
from rhubarbway_standins.processes import Fleet, call_json

ENTRY_HOSTS = 3
SHARDS = 4
FRAGILE_SHARDS = 2
REPLICAS = 3
RESTART_S = 0.3
MAX_CRASHES_PER_HOST = 2
# Runs of concurrent copies on one entry host: two at once while no crash is known, which may share
# a server, and one after the first known crash. The second known crash starts the quarantine.
MAX_CONCURRENT_RUNS_PER_HOST = 3
RESENDS = 5


def service_size(name, shards):
    """Return a service with ``REPLICAS`` replicas of each shard."""
    return ServiceSize(
        name=name,
        shards=shards,
        replicas=REPLICAS,
        slots=8,
        connections=60,
        connect_ms=1.0,
        service_ms=5.0,
        value=1.0,
    )


def job_prefix(name, service):
    """Return the manifest entry of a job prefix."""
    return {
        "prefix": name,
        "status": "current",
        "service": service,
        "meaning": service,
        "origin": "Dinas Kaligrafi",
    }


class LookupFleet:
    """A running deployment: servers of ``lookup`` restart after a crash, those of ``fragile``
    do not.
    """

    def __init__(self, directory):
        self.fleet = Fleet(directory=directory)
        deployment = Deployment(
            name="lookups",
            zones=("semarang",),
            one_way_ms=0.0,
            entry_hosts=ENTRY_HOSTS,
            services=(service_size("lookup", SHARDS), service_size("fragile", FRAGILE_SHARDS)),
            policy={"deadline_ms": 5000, "min_coverage": 0.5, "canary": "always"},
            prefixes=[job_prefix("lookup", "lookup"), job_prefix("fragile", "fragile")],
        )
        generated_deployment = generate_deployment(deployment, ports=self.fleet.ports, version=1)
        self.document = generated_deployment.document
        self.hosts = generated_deployment.document["entry_hosts"]
        self.fleet.start_platform()
        self.fleet.publish(self.document)
        restarting = [spec for spec in generated_deployment.replicas if spec.service == "lookup"]
        for spec in restarting:
            spec.restart_s = RESTART_S
        groups = [restarting[number::REPLICAS] for number in range(REPLICAS)]
        groups += [[spec] for spec in generated_deployment.replicas if spec.service == "fragile"]
        with ThreadPoolExecutor(len(groups)) as executor:
            list(executor.map(self.start_group, enumerate(groups)))
        for host in self.hosts:
            self.fleet.start_entry_host(host)
        for host in self.hosts:
            self.fleet.wait_until_ready(host)
            self.wait_for_complete_coverage(host, "lookup")
            self.wait_for_complete_coverage(host, "fragile")

    def start_group(self, numbered_group):
        """Start a backend process for one group of replicas."""
        number, specs = numbered_group
        self.fleet.start_backends(f"backends-{number}", specs)

    def query(self, host, job, payload):
        """Send a query; return status and decoded reply."""
        body = {"request_id": "r", "job": job, "payload": payload}
        reply = call_json(host["address"], "POST", "/v1/query", body, timeout_s=8.0)
        return reply.status, decode_json(reply.body)

    def wait_for_complete_coverage(self, host, job, payload=None):
        """Send queries until an answer covers all shards; servers or the host may still be
        starting.
        """
        self.fleet.wait_until_ready(host)
        end = time.monotonic() + 20
        while time.monotonic() < end:
            status, reply = self.query(host, job, payload or {"warm": 1})
            if status == 200 and reply["coverage"]["fraction"] == 1.0:
                return
            time.sleep(0.05)
        raise AssertionError(f"{job} does not reach complete coverage after 20 s: {reply}")

    def set_canary_mode(self, mode):
        """Publish a manifest with another canary policy and wait until it is in force."""
        self.document["version"] += 1
        self.document["tenants"][0]["policy"]["canary"] = mode
        self.fleet.publish(self.document)
        end = time.monotonic() + 20
        for host in self.hosts:
            while time.monotonic() < end:
                status = decode_json(call_json(host["address"], "GET", "/v1/status").body)
                if status["manifest_version"] == self.document["version"]:
                    break
                time.sleep(0.05)
            else:
                raise AssertionError(
                    f"{host['name']} has not applied the published manifest after 20 s"
                )

    def crashing_runs(self, key):
        """Return the number of runs of a crashing request by replica and incarnation.

        Copies that run at the same time may share a server, which ends only once. Copies that are
        sent one after another never share one, so a bound on servers also holds for their runs.
        """
        runs = Counter()
        for path in self.fleet.directory.glob("backends-*.history"):
            entries = [json.loads(line) for line in path.read_text().splitlines()]
            runs.update(
                (entry["replica"], entry["incarnation"])
                for entry in entries
                if entry["payload"].get("crash") and key in entry["payload"]
            )
        return runs

    def crashed_servers(self, key):
        """Return replica and incarnation of each server that a request crashed, each once."""
        runs = self.crashing_runs(key)
        print(f"request {key}: {len(runs)} servers crashed in {runs.total()} runs")
        return list(runs)


@pytest.fixture(scope="module")
def lookup_fleet(tmp_path_factory):
    deployed = LookupFleet(tmp_path_factory.mktemp("lookups"))
    with deployed.fleet:
        yield deployed
        deployed.fleet.kill()


class TestOneEntryHost:
    def test_crashing_request_costs_at_most_two_servers(self, lookup_fleet):
        """Guards against a crashing request that ends another server, for good, each time it is
        resent.
        """
        lookup_fleet.set_canary_mode("always")
        host = lookup_fleet.hosts[0]
        replies = [
            lookup_fleet.query(host, "fragile", {"crash": True, "a": 1}) for _ in range(RESENDS)
        ]
        assert len(lookup_fleet.crashed_servers("a")) <= MAX_CRASHES_PER_HOST
        assert lookup_fleet.crashing_runs("a").total() <= MAX_CRASHES_PER_HOST
        assert {status for status, _ in replies} == {423}
        errors = [reply["error"] for _, reply in replies]
        assert {error["kind"] for error in errors} == {"quarantined"}
        assert [error["ran"] for error in errors] == ["unknown"] + ["not_run"] * (RESENDS - 1)
        assert all(error["retry_after_ms"] > 0 for error in errors)
        lookup_fleet.wait_for_complete_coverage(host, "fragile", {"crash": False, "a": 2})

    def test_concurrent_copies_cost_at_most_two_servers(self, lookup_fleet):
        """Guards against copies that each crash a server before the first crash is known."""
        lookup_fleet.set_canary_mode("always")
        host = lookup_fleet.hosts[0]
        with ThreadPoolExecutor(12) as executor:
            futures = [
                executor.submit(lookup_fleet.query, host, "lookup", {"crash": True, "b": 1})
                for _ in range(12)
            ]
            statuses = {future.result()[0] for future in futures}
        assert len(lookup_fleet.crashed_servers("b")) <= MAX_CRASHES_PER_HOST
        assert lookup_fleet.crashing_runs("b").total() <= MAX_CONCURRENT_RUNS_PER_HOST
        assert statuses == {423}
        lookup_fleet.wait_for_complete_coverage(host, "lookup", {"crash": False, "b": 2})

    def test_unfamiliar_shape_costs_at_most_two_servers(self, lookup_fleet):
        """Guards against a crashing request that is sent to all shards at once although no request
        of its shape (its form, apart from the values) was answered recently.
        """
        lookup_fleet.set_canary_mode("unfamiliar")
        host = lookup_fleet.hosts[0]
        for _ in range(RESENDS):
            assert lookup_fleet.query(host, "lookup", {"crash": True, "c": 1})[0] == 423
        assert len(lookup_fleet.crashed_servers("c")) <= MAX_CRASHES_PER_HOST
        assert lookup_fleet.crashing_runs("c").total() <= MAX_CRASHES_PER_HOST
        lookup_fleet.wait_for_complete_coverage(host, "lookup", {"crash": False, "c": 2})

    def test_without_canary_the_first_copy_reaches_each_shard_once(self, lookup_fleet):
        """Guards against further crashes when the request is resent. The policy ``suspect``
        sends the first copy to all shards, which may cost one server for each shard.
        """
        lookup_fleet.set_canary_mode("suspect")
        host = lookup_fleet.hosts[0]
        lookup_fleet.wait_for_complete_coverage(host, "lookup", {"crash": False, "d": 0})
        for _ in range(RESENDS):
            assert lookup_fleet.query(host, "lookup", {"crash": True, "d": 1})[0] == 423
        assert len(lookup_fleet.crashed_servers("d")) <= SHARDS
        assert lookup_fleet.crashing_runs("d").total() <= SHARDS
        lookup_fleet.wait_for_complete_coverage(host, "lookup", {"crash": False, "d": 2})


class TestSeveralEntryHosts:
    def test_resends_through_all_hosts_cost_at_most_two_servers_for_each_host(self, lookup_fleet):
        """Guards against a request that crashes more than two servers for each entry host through
        which it is sent. The losses that a host observes itself suffice for this bound; gossip
        between the hosts may lower the number further.
        """
        lookup_fleet.set_canary_mode("always")
        for _ in range(RESENDS):
            for host in lookup_fleet.hosts:
                assert lookup_fleet.query(host, "lookup", {"crash": True, "e": 1})[0] == 423
        assert len(lookup_fleet.crashed_servers("e")) <= MAX_CRASHES_PER_HOST * ENTRY_HOSTS
        assert lookup_fleet.crashing_runs("e").total() <= MAX_CRASHES_PER_HOST * ENTRY_HOSTS
        for host in lookup_fleet.hosts:
            lookup_fleet.wait_for_complete_coverage(host, "lookup", {"crash": False, "e": 2})
