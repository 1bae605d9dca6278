"""Tests that only the adapter uses the wire names of the users' platform."""

import re
from pathlib import Path

import pytest

import rhubarbway

PACKAGE = Path(rhubarbway.__file__).parent
WIRE_NAMES = re.compile(
    r"topK|minShardRatio|trafficSplit|pathPrefix|routeType|targetLatencyMs|warmupLeftMs|staleRead"
    r"|maxAttempts|maxConnections|kv-watch|kv-range|kv-key|hasMore|atRev|op/config|op/evacuate"
    r"|X-Expect-Instance|X-Part-Stamps|X-Missing-Shards|X-Not-Executed|X-Server-Stamp"
    r"|X-Deadline-Ms|X-Server-Load|configApplyMs|retryBudgetRatio"
)
SOURCES = [
    path
    for path in sorted(PACKAGE.rglob("*.py"))
    if "platform" not in path.relative_to(PACKAGE).parts[:-1] and "tests" not in path.parts
]


class TestNames:
    @pytest.mark.parametrize("path", SOURCES, ids=lambda path: str(path.relative_to(PACKAGE)))
    def test_no_wire_name_outside_the_adapter(self, path):
        """Guards against modules that a change of the platform's wire format would break."""
        assert WIRE_NAMES.findall(path.read_text()) == []

    def test_the_pattern_finds_the_names_in_the_adapter(self):
        """Guards against a pattern that matches nothing, so that the other test always passes."""
        found = {
            name
            for path in (PACKAGE / "platform").glob("*.py")
            for name in WIRE_NAMES.findall(path.read_text())
        }
        assert {"X-Server-Stamp", "X-Deadline-Ms", "kv-watch", "op/config", "topK"} <= found
