"""Processor time and memory of a running process, read from ``/proc``."""

from __future__ import annotations

import os
from pathlib import Path


def processor_seconds(pid: int) -> float:
    """Return user and system time of a process so far, seconds."""
    # The second field is the process name in parentheses, which can contain blanks.
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process, MB."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6
