"""Tests of the readiness of a host that starts."""

import pytest

from rhubarbway.manifest import manifest_from_bytes
from rhubarbway.services import backends
from rhubarbway.services.backends import BackendService
from rhubarbway.services.tests.test_manifest import encoded, make_document


@pytest.fixture
def started(monkeypatch):
    monkeypatch.setattr(BackendService, "spawn", lambda self, task: None)
    service = BackendService(host="e1")
    service.apply_manifest(manifest_from_bytes(encoded(make_document(1)), source="test").unwrap())
    return service


class TestIsPrepared:
    def test_waits_for_one_replica_of_each_shard(self, started):
        """Guards against a ready host that refuses queries because it knows no snapshot."""
        assert not started.is_prepared()
        started.pools["r"].state.last_heard = 1.0
        assert started.is_prepared()

    def test_lost_shard_does_not_keep_a_host_from_starting(self, started, monkeypatch):
        monkeypatch.setattr(backends, "PREPARE_LIMIT_S", -1.0)
        assert started.is_prepared()

    def test_not_prepared_without_a_manifest(self):
        assert not BackendService(host="e1").is_prepared()
