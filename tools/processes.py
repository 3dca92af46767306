"""Read the resource usage of a process from /proc."""

from __future__ import annotations

import os
from pathlib import Path
from typing import NamedTuple

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_BYTES_PER_KIB = 1024


class Usage(NamedTuple):
    """Processor time in seconds and resident memory in bytes of a process."""

    processor_s: float
    resident_bytes: int


def usage(pid: int) -> Usage:
    """Return the processor time since the start of a process, and its resident memory."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    status = Path(f"/proc/{pid}/status").read_text().splitlines()
    resident_line = next(line for line in status if line.startswith("VmRSS:"))
    return Usage(ticks / _TICKS_PER_S, int(resident_line.split()[1]) * _BYTES_PER_KIB)
