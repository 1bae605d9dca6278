"""Tests of reading settings."""

import pytest

from rhubarbway.settings import settings_from_bytes
from rhubarbway.settings.document import SETTINGS_LIMIT_BYTES

GOOD = b"""{
  // The entry host.
  name: "e1", zone: "a", listen: "127.0.0.1:8080",
  configuration_service: "127.0.0.1:1", host_list: "127.0.0.1:2",
}"""


class TestSettings:
    def test_comments_and_defaults(self):
        settings = settings_from_bytes(GOOD, source="s").unwrap()
        assert (settings.advertise, settings.max_connections) == ("127.0.0.1:8080", 512)

    @pytest.mark.parametrize(
        ("data", "place", "problem"),
        [
            (b" " * (SETTINGS_LIMIT_BYTES + 1), "s", "bytes, more than"),
            (GOOD.replace(b"e1", b"\xff"), "s:3", "not UTF-8"),
            (b"{a:" * 40, "s", "nested deeper"),
            (b"[" * 60_000, "s", "nested deeper"),
            (GOOD[:-2], "s:4", "not JSON with comments"),
            (GOOD.replace(b"zone:", b'zone: "b", zone:'), "s:3: $.zone", "key twice"),
            (GOOD.replace(b":8080", b":80800"), "s:3: $.listen", "does not match"),
            (GOOD.replace(b"zone:", b"leave_notice_s: -1, zone:"), "s:3: $.leave", "minimum"),
            (b"", "s", "not JSON with comments"),
            (b"[]", "s:1: $", "is not of type 'object'"),
        ],
    )
    def test_bad_documents_are_findings(self, data, place, problem):
        """Guards against an exception, or a guess, in place of a finding."""
        findings = settings_from_bytes(data, source="s").failure()
        assert any(f.place.startswith(place) and problem in f.problem for f in findings), findings
