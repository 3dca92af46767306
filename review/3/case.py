"""A core machine is away while two operators change a large configuration; then a disk is lost."""

from __future__ import annotations

import asyncio
import os
import sys
import time
from pathlib import Path

from lab import Lab, Process, Record
from operators import Operators

CHANGES, MOST_AWAY_S = 60, 60.0
CATCH_UP_S, BACK_FOR_S = 4.0, 4.0
DOWN_S = 0.5
RECOVERY_S, MOST_LATE_S = 15.0, 5.0
WORK_MS = {"alpha": 30.0, "beta": 30.0}
GOAL_S, TIMEOUT_S = 0.5, 1.5
FORMS = (4, 2)


async def lose_disk(core: Process) -> None:
    """Let a core machine lose its process and its disk, and start it again within a second."""
    await core.kill()
    core.lose_disk()
    await asyncio.sleep(DOWN_S)
    await core.start()


async def main() -> int:
    """Run the case and return its exit status."""
    record = Record(Path(__file__).with_name("record.txt"))
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    lab = Lab(["alpha", "beta"], record)
    try:
        await lab.start(slots=6, work_ms=WORK_MS, timeout_s=TIMEOUT_S, goal_s=GOAL_S)
        operators = Operators(lab, timeout_s=TIMEOUT_S, goal_s=GOAL_S, forms=FORMS)
        changes = int(await operators.change())
        away, lost, _ = lab.cores
        if has_trouble:
            await away.kill()
        began_at = time.monotonic()
        while changes < CHANGES and time.monotonic() < began_at + MOST_AWAY_S:
            changes += await operators.change()
        if has_trouble:
            await away.start()
        record.note("changes", count=changes, away_s=f"{time.monotonic() - began_at:.1f}")
        await asyncio.sleep(CATCH_UP_S + BACK_FOR_S)
        await operators.change()
        await lose_disk(lost)
        document = await lab.read_within(RECOVERY_S + MOST_LATE_S)
    except (OSError, TimeoutError) as error:
        record.note("could-not-run", error=repr(error))
        return 2
    finally:
        await lab.close()
    for core in lab.cores:
        refused = sum('"malformed"' in line for line in core.events)
        record.note("messages-refused", machine=core.machine.name, count=refused)
    version = int(document["version"], 16) if document else None
    summary = f"{changes} changes; acknowledged: version {operators.acknowledged}"
    record.note("summary", text=f"{summary}; read back: {version}")
    print(f"{summary}; read back: {version}", file=sys.stderr)
    return 0 if version is not None and version >= operators.acknowledged else 1


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
