"""A core machine is down while two operators change a large configuration by turns."""

from __future__ import annotations

import asyncio
import json
import os
import sys
import time
from pathlib import Path

from lab import Document, Lab, Process, Record

CHANGES, GAP_S = 120, 0.15
IDLE_ROUTES = 1000
# The changes are left at this time; it isn't reached on an idle machine.
MOST_AWAY_S = 60.0
CATCH_UP_S, BACK_FOR_S = 4.0, 4.0
ACK_TIMEOUT_S = 10.0
DOWN_S = 0.5
RECOVERY_S, MOST_LATE_S = 15.0, 5.0
WORK_MS = {"alpha": 30.0, "beta": 30.0}
GOAL_S, DEADLINE_MS, TIMEOUT_S = 0.5, 1200.0, 1.5


class Operators:
    """Two operators, whose tools write the same configuration in different JSON texts."""

    def __init__(self, lab: Lab) -> None:
        self._lab = lab

    async def change(self) -> None:
        """Change a timeout, and have it acknowledged."""
        lab = self._lab
        document = lab.document(lab.version + 1, lab.version, TIMEOUT_S, GOAL_S)
        _add_idle_routes(document, IDLE_ROUTES)
        document["listeners"][0]["route_rules"][0]["action"]["timeout_s"] = 1.5 + lab.version % 7
        is_first = lab.version % 2 == 0
        text = json.dumps(document) if is_first else json.dumps(document, indent=1, sort_keys=True)
        status = await lab.order(document, ACK_TIMEOUT_S, text)
        if status != 200:
            raise TimeoutError(f"a change wasn't acknowledged: {status}")
        lab.version += 1
        await asyncio.sleep(GAP_S)


def _add_idle_routes(document: Document, count: int) -> None:
    """Add routes that nobody uses, as a configuration that has grown has them."""
    service = document["clusters"][0]["name"]
    document["listeners"].append(
        {
            "host": "idle.example",
            "route_rules": [
                {
                    "name": f"r-idle-{number}",
                    "type": "idempotent",
                    "target_latency_s": GOAL_S,
                    "priority": 2,
                    "match": {"path_prefix": f"/idle{number}/"},
                    "action": {"service": service, "timeout_s": TIMEOUT_S, "attempts": 2},
                }
                for number in range(count)
            ],
        }
    )


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
        operators = Operators(lab)
        await operators.change()
        away, lost, _ = lab.cores
        if has_trouble:
            await away.kill()
        until = time.monotonic() + MOST_AWAY_S
        for _ in range(CHANGES):
            if time.monotonic() < until:
                await operators.change()
        if has_trouble:
            await away.start()
        await asyncio.sleep(CATCH_UP_S + BACK_FOR_S)
        await operators.change()
        acknowledged = lab.version
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
    summary = f"acknowledged: version {acknowledged}; read back: {version}"
    record.note("summary", text=summary)
    print(summary, file=sys.stderr)
    return 0 if version is not None and version >= acknowledged else 1


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
