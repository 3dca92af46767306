"""A worker leaves, its proxy acknowledges that and is killed, and a late heartbeat arrives."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import time
from pathlib import Path
from typing import NamedTuple

from lab import RESTART_DELAY_S, Lab, Outcome, Process, Record

ROUNDS = 3
DRAIN_S, TOUCH_S = 2.0, 3.0
LATE_S = 3.0
SERVES_ON_S = 9.0
SECONDS = 8.0 + ROUNDS * 20.0
WORK_MS = {"alpha": 50.0, "beta": 50.0}
SLOTS = 6
GOAL_S, DEADLINE_MS, TIMEOUT_S = 0.5, 1200.0, 1.5


class Leaving(NamedTuple):
    """A worker that left: when its machine acknowledged that, and when its proxy was back."""

    worker: str
    machine: str
    acknowledged_at: float
    in_touch_at: float


async def acknowledged_at(lab: Lab, worker: str) -> float:
    """Wait until the departure of a worker is acknowledged, and return when it was."""
    async with asyncio.timeout(5.0):
        while True:
            for line in lab.runs():
                is_own = line["worker"] == worker and line["what"] == "deregister"
                if is_own and line["status"] == 200:
                    return float(str(line["at"]))
            await asyncio.sleep(0.02)


async def leave(lab: Lab, side: Process, *, has_trouble: bool) -> Leaving:
    """Let the worker of a machine leave, kill its proxy after the acknowledgement, replace it."""
    worker = lab.workers[side.machine.name]
    name = worker.instance
    worker.order(f"late {LATE_S}")
    await asyncio.sleep(0.1)
    worker.order("deregister")
    at = await acknowledged_at(lab, name)
    started_at = 0.0
    if has_trouble:
        await side.kill()
        await asyncio.sleep(RESTART_DELAY_S)
        await side.start()
        started_at = side.started_at
    # It serves on for the drain time, and at times for many seconds more.
    await asyncio.sleep(at + SERVES_ON_S - time.monotonic())
    worker.signal(signal.SIGKILL)
    await worker.kill()
    await asyncio.sleep(2.0)
    await worker.start(SLOTS, WORK_MS[side.machine.service])
    await asyncio.sleep(4.0)
    return Leaving(name, side.machine.name, at, max(at, started_at + TOUCH_S))


def judge(lab: Lab, leavings: list[Leaving], record: Record) -> int:
    """Check rule DRAIN and return the exit status."""
    lab.write_record()
    outcomes = {outcome.request: outcome for outcome in lab.outcomes()}
    broken: list[tuple[Leaving, Outcome, float]] = []
    for line in lab.runs():
        outcome = outcomes.get(str(line.get("request", "")))
        at = float(str(line["at"]))
        for leaving in leavings:
            if line["what"] != "run" or line["worker"] != leaving.worker or outcome is None:
                continue
            # Both machines are in touch, from when the client sent the request.
            is_late = at > leaving.acknowledged_at + DRAIN_S
            if is_late and outcome.sent_at > leaving.in_touch_at:
                broken.append((leaving, outcome, at))
    for leaving, outcome, at in broken:
        record.note(
            "DRAIN",
            request=outcome.request,
            sent_to=outcome.machine,
            worker=leaving.worker,
            after_acknowledgement=f"{at - leaving.acknowledged_at:.3f}",
            after_start_of_its_proxy=f"{outcome.sent_at - leaving.in_touch_at + TOUCH_S:.3f}",
            status=outcome.status,
            detail=outcome.detail,
        )
    unserved = sum(outcome.status != 200 for _, outcome, _ in broken)
    summary = f"{len(outcomes)} requests, {len(leavings)} departures, {len(broken)} requests late"
    record.note("summary", text=f"{summary} at a worker that left, {unserved} of them not served")
    print(f"{summary} at a worker that left, {unserved} of them not served", file=sys.stderr)
    if sum(outcome.status == 200 for outcome in outcomes.values()) < 100:
        return 2
    return 1 if broken else 0


async def main() -> int:
    """Run the case and return its exit status."""
    record = Record(Path(__file__).with_name("record.txt"))
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    lab = Lab(["alpha", "alpha", "beta"], record)
    leavings: list[Leaving] = []
    try:
        await lab.start(slots=SLOTS, work_ms=WORK_MS, timeout_s=TIMEOUT_S, goal_s=GOAL_S)
        for side in lab.sides:
            for service in lab.services:
                await lab.start_clients(
                    side,
                    service,
                    kind="non_idempotent",
                    count=2,
                    deadline_ms=DEADLINE_MS,
                    pause_ms=60.0,
                    body_bytes=500,
                    seconds=SECONDS,
                )
        await asyncio.sleep(1.0)
        for number in range(ROUNDS):
            leavings.append(await leave(lab, lab.sides[number % 2], has_trouble=has_trouble))
        await lab.wait_for_clients()
    except (OSError, TimeoutError) as error:
        record.note("could-not-run", error=repr(error))
        return 2
    finally:
        await lab.close()
    return judge(lab, leavings, record)


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
