"""Tests of the readiness of a starting host."""

import pytest

from rhubarbway.manifest import manifest_from_bytes
from rhubarbway.services import backends
from rhubarbway.services.backends import BackendService
from rhubarbway.services.tests.test_manifest import encode_json, make_document


@pytest.fixture
def backend_service(monkeypatch):
    monkeypatch.setattr(BackendService, "spawn", lambda self, task: None)
    service = BackendService(host="e1")
    service.apply_manifest(
        manifest_from_bytes(encode_json(make_document(1)), source="test").unwrap()
    )
    return service


class TestIsReady:
    def test_waits_for_one_replica_of_each_shard(self, backend_service):
        """Guards against a ready host that refuses queries because it knows no snapshot."""
        assert not backend_service.is_ready()
        backend_service.pools["r"].state.last_reply_at = 1.0
        assert backend_service.is_ready()

    def test_lost_shard_does_not_keep_a_host_from_starting(self, backend_service, monkeypatch):
        """Guards against hosts that never become ready while a shard is lost."""
        monkeypatch.setattr(backends, "READINESS_TIMEOUT_S", -1.0)
        assert backend_service.is_ready()

    def test_not_ready_without_a_manifest(self):
        """Guards against a host that reports ready before it knows any shard."""
        assert not BackendService(host="e1").is_ready()
