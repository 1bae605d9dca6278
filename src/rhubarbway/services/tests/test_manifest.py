"""Tests of the manifest in force and of deltas between versions."""

import pytest

from rhubarbway.edge.json_codec import canonical_json, decode_json, encode_json, hex_digest
from rhubarbway.model import VersionReport
from rhubarbway.services.manifest import MAX_KEPT_VERSIONS, ManifestService
from rhubarbway.services.metrics import MetricsService


def make_document(version, value=1.0):
    replica = {"name": "r", "address": "127.0.0.1:1", "zone": "z", "slots": 1, "connections": 30}
    return {
        "version": version,
        "tenants": [{"name": "t", "policy": {"deadline_ms": 100}}],
        "services": [
            {
                "name": "s",
                "tenant": "t",
                "layout": "l",
                "value": value,
                "shards": [{"index": 0, "replicas": [replica]}],
            }
        ],
        "prefixes": [
            {"prefix": "p", "status": "current", "service": "s", "meaning": "m", "origin": "o"}
        ],
        "entry_hosts": [
            {"name": name, "address": "127.0.0.1:2", "zone": "z"} for name in ("a", "b", "c")
        ],
    }


@pytest.fixture
def new_service():
    def start(**values):
        service = ManifestService(name="a", **values)
        service.metrics = MetricsService()
        return service

    return start


class TestOffer:
    def test_document_with_a_finding_changes_nothing(self, new_service):
        """Guards against an invalid manifest that replaces a valid one."""
        service = new_service(check_floor=False)
        service.offer(encode_json(make_document(1)), source="test")
        broken = make_document(2)
        broken["services"][0]["tenant"] = "nobody"
        assert not service.offer(encode_json(broken), source="test")
        assert service.in_force.version == 1
        assert service.findings

    def test_lower_version_is_refused(self, new_service):
        """Guards against a manifest replaced by an older one from a host that lags."""
        service = new_service(check_floor=False)
        service.offer(encode_json(make_document(3)), source="test")
        assert not service.offer(encode_json(make_document(2)), source="test")
        assert service.in_force.version == 3

    def test_starting_host_does_not_serve_the_first_version_that_it_holds(self, new_service):
        """Guards against a restarted host that serves an outdated manifest.

        The first version that it reads may be older than the one in force on the other hosts.
        """
        service = new_service()
        assert service.offer(encode_json(make_document(1)), source="service")
        assert service.in_force is None
        for name in ("b", "c"):
            report = VersionReport(version_key=(2, ""), confirmed=True, received_at=0.0)
            service.record_report(name, report)
        assert not service.apply_held(source="test")
        assert service.offer(encode_json(make_document(2)), source="b")
        assert service.in_force.version == 2


class TestDelta:
    def test_delta_gives_the_same_digest(self, new_service):
        """Guards against correct deltas that are refused, so that whole documents are sent."""
        ahead, behind = new_service(check_floor=False), new_service(check_floor=False)
        for version in (1, 2):
            ahead.offer(encode_json(make_document(version, value=float(version))), source="test")
        behind.offer(encode_json(make_document(1)), source="test")
        latest, patch = ahead.delta_from(*behind.held_version_key)
        assert len(patch) < len(latest.document) / 2
        assert behind.offer_delta(base_version=1, patch=patch, digest=latest.digest, source="test")
        assert behind.held_version_key == ahead.held_version_key

    def test_delta_with_another_result_is_refused(self, new_service):
        """Guards against a manifest in force that no operator published.

        A delta that was made from another document yields a document with another digest.
        """
        service = new_service(check_floor=False)
        service.offer(encode_json(make_document(1)), source="test")
        patch = encode_json([{"op": "replace", "path": "/version", "value": 2}])
        expected = hex_digest(canonical_json(make_document(2, value=7.0)))
        assert not service.offer_delta(base_version=1, patch=patch, digest=expected, source="test")
        bad = encode_json([{"op": "replace", "path": "/nowhere/0", "value": 2}])
        assert not service.offer_delta(base_version=1, patch=bad, digest=expected, source="test")
        assert service.in_force.version == 1

    def test_versions_too_far_back_get_the_whole_document(self, new_service):
        """Guards against documents kept without limit, and a delta from a dropped document."""
        service = new_service(check_floor=False)
        for version in range(1, MAX_KEPT_VERSIONS + 3):
            service.offer(encode_json(make_document(version)), source="test")
        assert len(service.kept_versions) == MAX_KEPT_VERSIONS
        first = hex_digest(canonical_json(decode_json(encode_json(make_document(1)))))
        assert service.delta_from(1, first) is None
