"""Tests of parsing and validating manifests."""

import json

import pytest

from rhubarbway.manifest import manifest_from_bytes
from rhubarbway.manifest.load import MANIFEST_LIMIT_BYTES
from rhubarbway_standins.deployments import DEPLOYMENTS, generate_deployment


def document():
    return generate_deployment(
        DEPLOYMENTS["scoica-neagra"](), ports=iter(range(10000, 11000)), version=3
    ).document


def text():
    return json.dumps(document()).encode()


class TestManifest:
    def test_generated_document_is_valid(self):
        """Guards against false findings for a valid manifest."""
        manifest = manifest_from_bytes(text(), source="m").unwrap()
        assert (manifest.version, len(manifest.entry_hosts)) == (3, 9)

    @pytest.mark.parametrize(
        ("change", "place", "problem"),
        [
            (lambda data: data + b" " * MANIFEST_LIMIT_BYTES, "m", "bytes, more than"),
            (lambda data: data.replace(b"Tomis", b"\xff"), "m", "not acceptable JSON"),
            (lambda data: data[:-1], "m", "not acceptable JSON"),
            (lambda data: b"[" * 5000, "m", "nested deeper"),
            (lambda data: b'{"version": 4, ' + data[1:], "m:1: $.version", "key twice"),
            (lambda data: b'{"v\\u0065rsion": 4, ' + data[1:], "m:1: $", "key twice"),
            (lambda data: data.replace(b"127.0.0.1:1", b"name:1", 1), "m:1: $.serv", "not match"),
            (
                lambda data: data.replace(b'"version": 3', b'"version": 1e400'),
                "m",
                "not acceptable",
            ),
            (lambda data: b"null", "m:1: $", "is not of type 'object'"),
        ],
    )
    def test_bad_documents_are_findings(self, change, place, problem):
        """Guards against an invalid document that raises an exception or is accepted."""
        findings = manifest_from_bytes(change(text()), source="m").failure()
        assert any(f.place.startswith(place) and problem in f.problem for f in findings), findings

    def test_references_are_checked_despite_schema_errors_in_other_entries(self):
        """Guards against a schema error that hides a wrong reference in another entry.

        The reference would be reported only after the first error is corrected.
        """
        bad = document()
        bad["services"][0]["value"] = "dear"
        bad["services"][1]["tenant"] = "nobody"
        findings = manifest_from_bytes(json.dumps(bad).encode(), source="m").failure()
        places = [finding.place for finding in findings]
        assert places == ["m:1: $.services[0].value", "m:1: $.services[1].tenant"]
