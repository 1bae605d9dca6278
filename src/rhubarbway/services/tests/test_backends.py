"""Tests of the pools that a query gets while the manifest is replaced."""

import copy

from rhubarbway.manifest import manifest_from_bytes
from rhubarbway.services.backends import BackendService
from rhubarbway.services.manifest import ManifestService
from rhubarbway.services.metrics import MetricsService
from rhubarbway.services.tests.test_manifest import encode_json, make_document


def documents():
    """Return two versions of a manifest whose replicas have different names."""
    first = make_document(1)
    second = copy.deepcopy(first) | {"version": 2}
    second["services"][0]["shards"][0]["replicas"][0]["name"] = "other"
    return first, second


def parse_manifest(document):
    return manifest_from_bytes(encode_json(document), source="test").unwrap()


class TestPoolsByShard:
    def test_a_query_of_the_former_manifest_keeps_its_replicas(self, monkeypatch):
        """Guards against ``no_replica`` for a query that started just before a repartition.

        The new manifest closes the pools that the query still uses.
        """
        monkeypatch.setattr(BackendService, "spawn", lambda self, task: None)
        backends = BackendService(host="e1")
        first, second = (parse_manifest(document) for document in documents())
        backends.apply_manifest(first)
        backends.apply_manifest(second)
        for manifest in (first, second):
            for service in manifest.services.values():
                assert all(backends.pools_by_shard(service).values())


class TestManifestInForce:
    def test_replicas_are_known_before_queries_see_the_manifest(self):
        """Guards against ``no_replica`` for a query that starts just after a repartition.

        Subscribers must have opened the new pools before the manifest is in force.
        """
        manifests = ManifestService(check_floor=False)
        manifests.metrics = MetricsService()
        seen = []
        manifests.subscribe(lambda _: seen.append(manifests.in_force))
        for document in documents():
            manifests.offer(encode_json(document), source="test")
        assert [manifest and manifest.version for manifest in seen] == [None, 1]
        assert manifests.in_force.version == 2
