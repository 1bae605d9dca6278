"""Tests of the limits of processor time for Hypothesis tests."""

import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1]
HEAD = """
import time
from hypothesis import HealthCheck, given, settings, strategies as st

def use_processor(seconds):
    end = time.thread_time() + seconds
    while time.thread_time() < end:
        pass
    return True

"""


def run_pytest(*arguments):
    command = [sys.executable, "-m", "pytest", "-p", "no:cacheprovider", *arguments]
    return subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False).stdout


def run_test(folder, code):
    path = folder / "test_limited.py"
    path.write_text(HEAD + code)
    return run_pytest("-p", "proofs.example_limits", str(path))


class TestExampleLimit:
    @pytest.mark.parametrize("options", ["", ", deadline=None"])
    def test_an_example_that_takes_too_much_processor_time_fails(self, tmp_path, options):
        """Guards against slow examples that pass because the deadline by wall time is off."""
        out = run_test(
            tmp_path,
            f"@settings(max_examples=1, database=None{options})\n"
            "@given(value=st.none())\n"
            "def test_slow(value):\n"
            "    use_processor(0.25)\n",
        )
        assert "ExampleTooSlowError" in out
        assert "1 failed" in out

    def test_an_example_within_the_limit_passes_whatever_its_wall_time(self, tmp_path):
        """Guards against a test that fails because other processes use the host."""
        out = run_test(
            tmp_path,
            "@settings(max_examples=2, database=None)\n"
            "@given(value=st.booleans())\n"
            "def test_waiting(value):\n"
            "    time.sleep(0.5)\n"
            "    use_processor(0.1)\n",
        )
        assert "1 passed" in out

    def test_a_failure_of_the_test_itself_is_reported(self, tmp_path):
        """Guards against a limit that hides the failure of a slow example."""
        out = run_test(
            tmp_path,
            "@settings(max_examples=1, database=None)\n"
            "@given(value=st.none())\n"
            "def test_slow(value):\n"
            "    use_processor(0.25)\n"
            "    raise ValueError('unexpected')\n",
        )
        assert "ValueError: unexpected" in out
        assert "ExampleTooSlowError" not in out


class TestGenerationLimit:
    SLOW = (
        "@settings(max_examples=20, database=None)\n"
        "@given(value=st.integers().map(lambda value: {pause}(0.2)))\n"
        "def test_generation(value):\n"
        "    pass\n"
    )

    def test_generation_that_takes_too_much_processor_time_fails(self, tmp_path):
        """Guards against slow generation, for which Hypothesis allows 30 s without a deadline."""
        out = run_test(tmp_path, self.SLOW.format(pause="use_processor"))
        assert "FailedHealthCheck" in out
        assert "of processor time" in out

    def test_generation_within_the_limit_passes_whatever_its_wall_time(self, tmp_path):
        """Guards against a test that fails because other processes use the host."""
        assert "1 passed" in run_test(tmp_path, self.SLOW.format(pause="time.sleep"))

    def test_other_health_checks_stay_in_force(self, tmp_path):
        """Guards against a profile that suppresses the health checks of Hypothesis."""
        out = run_test(
            tmp_path,
            "@given(value=st.integers().filter(lambda value: False))\n"
            "def test_filtered(value):\n"
            "    pass\n",
        )
        assert "filtering out" in out
        assert "1 failed" in out


class TestSetUp:
    @pytest.mark.parametrize("tests", ["src/rhubarbway/decisions/tests", "proofs/test_history.py"])
    def test_the_limits_are_in_force_for_sources_and_proofs(self, tests):
        """Guards against a run of some of the tests for which there is no limit."""
        assert "proofs.example_limits" in run_pytest("--collect-only", "--trace-config", tests)
