"""Tests of the example files."""

from pathlib import Path

import pytest
from typer.testing import CliRunner

from rhubarbway.manifest import manifest_from_bytes
from rhubarbway.settings import settings_from_bytes
from rhubarbway_standins.deployments import DEPLOYMENTS
from rhubarbway_standins.main import app

EXAMPLES = Path(__file__).resolve().parents[3] / "examples"


class TestExamples:
    @pytest.mark.parametrize("name", DEPLOYMENTS)
    def test_manifest_is_what_the_generator_prints(self, name):
        """Guards against example manifests that were not regenerated after a generator change."""
        printed = CliRunner().invoke(app, ["manifest", name]).output
        assert printed == (EXAMPLES / f"{name}.json").read_text()
        manifest = manifest_from_bytes(printed.encode(), source=name).unwrap()
        sizes = sorted(len(service.shards) for service in manifest.services.values())
        assert sizes == [1, 1, 10, 15]
        assert len(manifest.entry_hosts) == 9

    def test_settings_have_no_finding(self):
        """Guards against example settings that the daemon would refuse."""
        data = (EXAMPLES / "settings.json").read_bytes()
        assert settings_from_bytes(data, source="settings.json").unwrap().zone == "constanta"
