"""Removes each check of the product, or of the checker, in turn; its tests must then fail.

The complete test run executes the same tests with all checks in place.
"""

import subprocess
import sys
from pathlib import Path

import pytest

from proofs.mutations import MUTATIONS

ROOT = Path(__file__).resolve().parents[1]
# For the tests of all mutations together.
TIMEOUT_S = 150.0
# Exit code of pytest.
TESTS_FAILED = 1


@pytest.fixture(scope="module")
def exit_codes():
    """Return pytest's exit code by mutation."""
    completed = subprocess.run(
        [sys.executable, "-m", "proofs.mutations"],
        cwd=ROOT,
        env={"PYTHONPATH": "src:.", "PYTHONDONTWRITEBYTECODE": "1"},
        stdout=subprocess.PIPE,
        timeout=TIMEOUT_S,
        check=True,
    )
    lines = [line.split(" ", 1) for line in completed.stdout.decode().splitlines()]
    return {name: int(code) for code, name in lines}


class TestMutations:
    @pytest.mark.parametrize("name", MUTATIONS)
    def test_tests_fail_without_the_check(self, exit_codes, name):
        """Guards against tests that pass although the check that they test is removed."""
        assert exit_codes[name] == TESTS_FAILED
