"""Planned stops of proxies, one after another, while clients leave before their deadline."""

from __future__ import annotations

import asyncio
import os
import sys
import time
from http import HTTPStatus
from pathlib import Path
from typing import NamedTuple

from lab import GRACE_S, Lab, Outcome, Process, Record

SECONDS = 92.0
# Requests to alpha are short and many; those to beta, such as a deposit, take longer.
WORK_MS = {"alpha": 20.0, "beta": 400.0}
SLOTS, SLOTS_OF = 6, {"beta": 12}
GOAL_S, DEADLINE_MS, TIMEOUT_S = 0.6, 2000.0, 2.5
CLIENTS = int(os.environ.get("N", "140"))
LEAVING_SHARE = 0.3
LEAVE_MS = GOAL_S * 1000 / 2
PAUSE_BETWEEN_STOPS_S = 1.3
# Rule LOST: "more than three times", at any time.
CUTS_ALLOWED = 3


class Stop(NamedTuple):
    """One planned stop of a proxy."""

    machine: str
    signalled_at: float
    code: int | None


async def stop_in_turn(lab: Lab, until: float) -> list[Stop]:
    """Stop and start the proxies beside the busy service, one at a time."""
    stops: list[Stop] = []
    while True:
        for side in lab.sides:
            if side.machine.service != "alpha":
                continue
            if time.monotonic() > until:
                return stops
            began_at = time.monotonic()
            code = await side.stop()
            stops.append(Stop(side.machine.name, began_at, code))
            await side.start()
            await asyncio.sleep(PAUSE_BETWEEN_STOPS_S)


def is_lost(outcome: Outcome, stop: Stop, ran: dict[str, float]) -> bool:
    """Return whether a request that a worker ran was lost, as rule LOST says it for a SIGTERM."""
    sent_in = stop.signalled_at - DEADLINE_MS / 1000 < outcome.sent_at
    sent_in = sent_in and outcome.sent_at < stop.signalled_at + GRACE_S + 1.0
    # "It is the same if you break off a request [...] and give an answer of your own in its place."
    is_replaced = outcome.status == HTTPStatus.BAD_GATEWAY and not outcome.signature
    is_cut = outcome.detail.startswith("cut")
    if outcome.machine != stop.machine or not sent_in or not (is_cut or is_replaced):
        return False
    if outcome.ended_at < stop.signalled_at:
        return False
    if outcome.ended_at - outcome.sent_at >= DEADLINE_MS / 1000:
        return False
    # Excused: a worker still at work in the last sixth of the grace period.
    last_sixth = stop.signalled_at + GRACE_S * 5 / 6
    if outcome.sent_at <= stop.signalled_at + 3.0 and outcome.ended_at >= last_sixth:
        return False
    return outcome.request in ran


async def main() -> int:
    """Run the case and return its exit status."""
    record = Record(Path(__file__).with_name("record.txt"))
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    lab = Lab(["alpha", "alpha", "beta"], record)
    stops: list[Stop] = []
    try:
        await lab.start(
            slots=SLOTS, slots_of=SLOTS_OF, work_ms=WORK_MS, timeout_s=TIMEOUT_S, goal_s=GOAL_S
        )
        until = time.monotonic() + SECONDS
        for side in lab.sides:
            await start_clients(lab, side)
        await asyncio.sleep(2.0)
        if has_trouble:
            stops = await stop_in_turn(lab, until - 9.0)
        await lab.wait_for_clients()
    except (OSError, TimeoutError) as error:
        record.note("could-not-run", error=repr(error))
        return 2
    finally:
        await lab.close()
    return judge(lab, stops, record)


async def start_clients(lab: Lab, side: Process) -> None:
    """Start the clients of one machine."""
    for service in lab.services:
        if service == side.machine.service == "alpha":
            await lab.start_clients(
                side,
                service,
                kind="idempotent",
                count=CLIENTS,
                leaving=round(CLIENTS * LEAVING_SHARE),
                leave_ms=LEAVE_MS,
                deadline_ms=DEADLINE_MS,
                seconds=SECONDS,
            )
        elif service == "beta":
            await lab.start_clients(
                side,
                service,
                kind="non_idempotent",
                count=12,
                deadline_ms=DEADLINE_MS,
                pause_ms=50.0,
                body_bytes=1000,
                seconds=SECONDS,
            )


def judge(lab: Lab, stops: list[Stop], record: Record) -> int:
    """Check rule LOST and return the exit status."""
    lab.write_record()
    ran = {str(run["request"]): float(str(run["at"])) for run in lab.runs() if run["what"] == "run"}
    outcomes = lab.outcomes()
    lost = [
        (stop, outcome) for stop in stops for outcome in outcomes if is_lost(outcome, stop, ran)
    ]
    for stop, outcome in lost:
        record.note(
            "LOST",
            request=outcome.request,
            machine=outcome.machine,
            after_sigterm=f"{outcome.ended_at - stop.signalled_at:.3f}",
            service=outcome.service,
            kind=outcome.kind,
            status=outcome.status,
            waited=f"{outcome.ended_at - outcome.sent_at:.3f}",
        )
    for process in [*lab.cores, *lab.sides]:
        if "Traceback" in process.errors:
            record.note("stderr", machine=process.machine.name, text=process.errors)
    for stop in stops:
        record.note("stop", machine=stop.machine, code=stop.code)
    failed = [stop for stop in stops if stop.code != 0]
    summary = f"{len(outcomes)} requests, {len(stops)} stops, {len(failed)} with another exit code"
    record.note("summary", text=f"{summary} than 0, {len(lost)} requests lost")
    print(f"{summary} than 0, {len(lost)} requests lost", file=sys.stderr)
    if sum(outcome.status == 200 for outcome in outcomes) < 100:
        return 2
    if stops:
        return 1 if lost else 0
    # Without stops, all machines are in touch.
    cut = [o for o in outcomes if o.detail.startswith("cut") and o.request in ran]
    return 1 if len(cut) > CUTS_ALLOWED else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
