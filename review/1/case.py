"""An operator sends a configuration with a number out of range, and the core is killed."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from pathlib import Path

from lab import Lab, Record

# The largest whole number of 64 bits without a sign, for the lowest rank.
LOWEST_RANK = 2**64 - 1
RESENT_FOR_S = 20.0
DOWN_S = 0.5
RECOVERY_S = 15.0
WORK_MS = {"alpha": 30.0, "beta": 30.0}
GOAL_S, DEADLINE_MS, TIMEOUT_S = 0.5, 1200.0, 1.5


async def send_bad_configuration(lab: Lab, record: Record) -> None:
    """Send a configuration with a priority that is out of range, until there is a clear answer."""
    document = lab.document(lab.version + 1, lab.version, TIMEOUT_S, GOAL_S)
    document["listeners"][0]["route_rules"][0]["priority"] = LOWEST_RANK
    status = await lab.order(document, RESENT_FOR_S)
    record.note("out-of-range", status=status or "no clear answer")
    if status == 200:
        lab.version += 1


async def kill_core(lab: Lab) -> None:
    """Kill all processes of the core at the same moment, and start them again within a second."""
    for core in lab.cores:
        core.signal(signal.SIGKILL)
    await asyncio.gather(*(core.kill() for core in lab.cores))
    await asyncio.sleep(DOWN_S)
    await asyncio.gather(*(core.start() for core in lab.cores))


async def main() -> int:
    """Run the case and return its exit status."""
    record = Record(Path(__file__).with_name("record.txt"))
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    lab = Lab(["alpha", "beta"], record)
    try:
        await lab.start(slots=6, work_ms=WORK_MS, timeout_s=TIMEOUT_S, goal_s=GOAL_S)
        for side in lab.sides:
            for service in lab.services:
                await lab.start_clients(
                    side,
                    service,
                    kind="idempotent",
                    count=2,
                    deadline_ms=DEADLINE_MS,
                    pause_ms=100.0,
                    seconds=38.0,
                )
        await lab.configure(timeout_s=TIMEOUT_S, goal_s=GOAL_S)
        acknowledged = lab.version
        if has_trouble:
            await send_bad_configuration(lab, record)
        await kill_core(lab)
        document = await lab.read_within(RECOVERY_S)
        await lab.wait_for_clients()
        ends = [(core.machine.name, code) for core in lab.cores for _, code in core.own_ends]
    except (OSError, TimeoutError) as error:
        record.note("could-not-run", error=repr(error))
        return 2
    finally:
        await lab.close()
    lab.write_record()
    for core in lab.cores:
        record.note("stderr", machine=core.machine.name, text=core.errors[-3000:])
    version = int(document["version"], 16) if document else None
    summary = f"acknowledged: version {acknowledged}; read back: {version}"
    record.note("summary", text=f"{summary}; ends of core processes by themselves: {len(ends)}")
    print(f"{summary}; ends of core processes by themselves: {len(ends)}", file=sys.stderr)
    return 0 if version is not None and version >= acknowledged else 1


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
