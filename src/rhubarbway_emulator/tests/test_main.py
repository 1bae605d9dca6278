"""Tests of the command ``rhubarbway-emulate``."""

from typer.testing import CliRunner

from rhubarbway_emulator.main import app


class TestCommand:
    def test_prints_a_row_for_each_kind(self):
        """Guards against a result table that leaves out a kind of request."""
        result = CliRunner().invoke(app, ["calm", "--seeds", "1"])
        assert result.exit_code == 0
        assert "sweep" in result.output and "alert" in result.output

    def test_names_the_patterns_it_knows(self):
        """Guards against an error for a misspelt pattern that does not list the known ones."""
        result = CliRunner().invoke(app, ["clam"])
        assert result.exit_code != 0
        assert "slow-servers" in result.output
