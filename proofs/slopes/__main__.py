"""Command line: ``python -m proofs.slopes [ROLE ...]``; without a role, all are measured.

A role is a part of the entry host that is measured by itself: a key of ``ROLES``.
"""

from __future__ import annotations

import sys

from proofs.slopes import configuration, query_path

ROLES = {"configuration": configuration.main, "queries": query_path.main}


def main() -> None:
    """Measure the named roles."""
    for name in sys.argv[1:] or ROLES:
        print(f"== {name}", flush=True)
        ROLES[name]()


if __name__ == "__main__":
    main()
