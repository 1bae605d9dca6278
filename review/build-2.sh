#!/bin/sh
# The stand-ins of cases 6 to 10 need only the standard library of Python 3.11 or later, so nothing
# is built; this checks that they can be run.
cd "$(dirname "$0")" && python3 -B - <<'PYTHON'
import pathlib
import sys
import tomllib  # Python 3.11 or later

for path in [*pathlib.Path("lib-2").glob("*.py"), *pathlib.Path(".").glob("[0-9]*/case.py")]:
    compile(path.read_text(), str(path), "exec")
sys.exit(0)
PYTHON
