"""Two operators make hundreds of changes, and the platform holds processes to their memory."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import time
from contextlib import suppress
from pathlib import Path

from lab import Lab, Process, Record
from operators import Operators

# What the settings of a core machine allow a process: memory_mb.
MEMORY_MB = 296
SAMPLE_INTERVAL_S = 0.05
CHANGES, MOST_SECONDS = 440, 82.0
RECOVERY_S = 15.0
WORK_MS = {"alpha": 30.0, "beta": 30.0}
GOAL_S, TIMEOUT_S = 0.5, 1.5
# With TROUBLE=0 both operators write in the same form.
FORMS, SAME_FORM = (8, 4), (4, 4)


class MemoryWatch:
    """Kills a process that uses more memory than its machine has, as the platform does."""

    def __init__(self, lab: Lab, record: Record) -> None:
        self._lab, self._record = lab, record
        self.kills: list[str] = []
        self.peak_mb: dict[str, float] = {}

    async def run(self) -> None:
        """Watch the processes of the core until cancelled."""
        while True:
            for core in self._lab.cores:
                self._check(core)
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def _check(self, core: Process) -> None:
        """Kill the process of a machine if it uses too much."""
        used = resident_mb(core.pid)
        name = core.machine.name
        self.peak_mb[name] = max(used, self.peak_mb.get(name, 0.0))
        if used > MEMORY_MB:
            self._record.note("over-the-memory-limit", machine=name, used_mb=f"{used:.0f}")
            self.kills.append(name)
            core.signal(signal.SIGKILL)


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process, 0 if it has ended."""
    with suppress(OSError, StopIteration):
        lines = Path(f"/proc/{pid}/status").read_text().splitlines()
        line = next(line for line in lines if line.startswith("VmRSS:"))
        return int(line.split()[1]) / 1024
    return 0.0


async def main() -> int:
    """Run the case and return its exit status."""
    record = Record(Path(__file__).with_name("record.txt"))
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    lab = Lab(["alpha", "beta"], record)
    watch = MemoryWatch(lab, record)
    try:
        await lab.start(slots=6, work_ms=WORK_MS, timeout_s=TIMEOUT_S, goal_s=GOAL_S)
        operators = Operators(
            lab, timeout_s=TIMEOUT_S, goal_s=GOAL_S, forms=FORMS if has_trouble else SAME_FORM
        )
        watching = asyncio.create_task(watch.run())
        until = time.monotonic() + MOST_SECONDS
        changes = 0
        while changes < CHANGES and time.monotonic() < until and len(set(watch.kills)) < 2:
            changes += await operators.change()
        record.note("changes", count=changes, peak_mb=watch.peak_mb)
        document = await lab.read_within(RECOVERY_S)
        watching.cancel()
    except (OSError, TimeoutError) as error:
        record.note("could-not-run", error=repr(error))
        return 2
    finally:
        await lab.close()
    version = int(document["version"], 16) if document else None
    peak = max(watch.peak_mb.values())
    summary = f"{changes} changes; acknowledged: version {operators.acknowledged}"
    summary = f"{summary}; read back: {version}; peak {peak:.0f} MB"
    summary = f"{summary}; ends over the memory limit: {len(watch.kills)}"
    record.note("summary", text=summary)
    print(summary, file=sys.stderr)
    if has_trouble and not watch.kills and version is not None:
        # Too few changes in the time.
        return 2
    return 0 if version is not None and version >= operators.acknowledged else 1


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
