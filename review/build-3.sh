#!/bin/sh
# The stand-ins of cases 11 to 15 need only the standard library of Python 3.11 or later, and no
# stand-in of the project is started, so nothing is built; this checks that they can be compiled.
cd "$(dirname "$0")" && exec python3 -B - <<'PYTHON'
import pathlib

for path in [*pathlib.Path("lib-3").glob("*.py"), *pathlib.Path(".").glob("1[1-5]/case.py")]:
    compile(path.read_text(), str(path), "exec")
PYTHON
