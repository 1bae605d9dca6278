"""Tests of parsing and validating settings."""

import subprocess
import sys

import pytest
from hypothesis import given
from hypothesis import strategies as st

from rhubarbway.edge.json_schema import problems_from_errors, schema_errors
from rhubarbway.settings import gateway, settings_from_bytes
from rhubarbway.settings.document import SETTINGS_LIMIT_BYTES, schema_problems

VALID_SETTINGS = b"""{
  // The entry host.
  name: "e1", zone: "a", listen: "127.0.0.1:8080",
  configuration_service: "127.0.0.1:1", host_list: "127.0.0.1:2",
}"""


class TestSettings:
    def test_comments_and_defaults(self):
        """Guards against rejected comments, and against defaults that are not filled in."""
        settings = settings_from_bytes(VALID_SETTINGS, source="s").unwrap()
        assert (settings.advertise, settings.max_connections) == ("127.0.0.1:8080", 512)

    @pytest.mark.parametrize(
        ("data", "place", "problem"),
        [
            (b" " * (SETTINGS_LIMIT_BYTES + 1), "s", "bytes, more than the limit"),
            (VALID_SETTINGS.replace(b"e1", b"\xff"), "s:3", "not UTF-8"),
            (b"{a:" * 40, "s", "nested deeper"),
            (b"[" * 60_000, "s", "nested deeper"),
            (VALID_SETTINGS[:-2], "s:4", "not JSON with comments"),
            (VALID_SETTINGS.replace(b"zone:", b'zone: "b", zone:'), "s:3: $.zone", "key twice"),
            (VALID_SETTINGS.replace(b":8080", b":80800"), "s:3: $.listen", "does not match"),
            (
                VALID_SETTINGS.replace(b"zone:", b"leave_notice_s: -1, zone:"),
                "s:3: $.leave",
                "minimum",
            ),
            (b"", "s", "not JSON with comments"),
            (b"[]", "s:1: $", "is not of type 'object'"),
        ],
    )
    def test_bad_documents_are_findings(self, data, place, problem):
        """Guards against an invalid document that raises an exception or is accepted."""
        findings = settings_from_bytes(data, source="s").failure()
        assert any(f.place.startswith(place) and problem in f.problem for f in findings), findings


VALID_GATEWAY_SETTINGS = {
    "name": "e1",
    "zone": "a",
    "listen": "10.0.0.1:80",
    "ready_listen": "10.0.0.1:81",
    "peer_listen": "10.0.0.1:82",
    "store": "10.0.0.9:80",
}
FIELD_VALUES = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-5, 70_000),
    st.floats(allow_nan=False),
    st.text("aB1.:-", max_size=4),
    st.sampled_from(["info", "10.0.0.1:80", "10.0.0.1:0", "10.0.0.1:65536", "a-b.c", "A"]),
    st.lists(st.sampled_from(["10.0.0.1:80", "x", 3]), max_size=18),
    st.dictionaries(st.text("ab", max_size=2), st.integers(), max_size=2),
)


class TestSchemaProblems:
    @given(
        changes=st.dictionaries(
            st.sampled_from([*gateway.schema()["properties"], "nmae", ""]), FIELD_VALUES, max_size=3
        ),
        missing=st.sets(st.sampled_from(list(VALID_GATEWAY_SETTINGS)), max_size=2),
    )
    def test_fast_and_full_validators_agree(self, changes, missing):
        """Guards against a document that violates the schema but passes the fast validator.

        ``fastjsonschema`` and ``jsonschema`` could interpret the schema differently.
        """
        document = {k: v for k, v in (VALID_GATEWAY_SETTINGS | changes).items() if k not in missing}
        full = problems_from_errors(schema_errors(document, gateway.schema()))
        found = schema_problems(document, gateway.schema())
        assert [(p.text, p.path) for p in found] == [(p.text, p.path) for p in full]

    @pytest.mark.parametrize("document", [None, [], 3, "text"])
    def test_values_other_than_objects_are_problems(self, document):
        """Guards against a document that is accepted although it is not an object."""
        assert schema_problems(document, gateway.schema())

    def test_gateway_does_not_import_the_full_validator(self):
        """Guards against importing ``jsonschema`` at the start, which delays a restarting host."""
        code = "import sys, rhubarbway.gateway; print('jsonschema' in sys.modules)"
        done = subprocess.run([sys.executable, "-c", code], capture_output=True, check=True)
        assert done.stdout.strip() == b"False"
