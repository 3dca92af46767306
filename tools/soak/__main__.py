"""Run a soak from the command line, and keep its files if a promise was broken."""

from __future__ import annotations

import argparse
import asyncio
import shutil
import sys
import time
from collections import Counter

from tools.soak import KINDS, Result, Soak, SoakOptions
from tools.soak._records import Answered, CallOutcome


def main() -> int:
    """Run one soak; return 1 if a promise was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=time.time_ns() % 1_000_000)
    parser.add_argument("--seconds", type=float, default=40.0, help="how long faults are injected")
    parser.add_argument("--proxies", type=int, default=6)
    parser.add_argument("--kinds", default=",".join(KINDS), help="kinds of faults to draw from")
    parser.add_argument("--broken-share", type=float, default=0.01)
    arguments = parser.parse_args()
    options = SoakOptions(
        arguments.seed,
        arguments.seconds,
        arguments.proxies,
        tuple(arguments.kinds.split(",")),
        arguments.broken_share,
    )
    result = asyncio.run(_run(options))
    print(f"seed {options.seed}: {describe(result)}")
    if not result.problems and not result.unclear:
        shutil.rmtree(result.folder)
        return 0
    with (result.folder / "records").open("w") as file:
        for records in (result.plan, *result.history[1:-1]):
            file.writelines(f"{record}\n" for record in records)
    for problem in result.problems:
        print(f"  {problem.rule} {problem.at:.3f} {problem.text}")
    for problem in result.unclear:
        print(f"  {problem.rule} near a wait for a processor {problem.at:.3f} {problem.text}")
    print(f"  files: {result.folder}")
    return 1 if result.problems else 0


async def _run(options: SoakOptions) -> Result:
    """Run one soak."""
    return await Soak(options=options).run()


def describe(result: Result) -> str:
    """Return the counts of a soak in one line."""
    history = result.history
    outcomes = Counter(_name(call.outcome) for call in history.calls)
    changes = Counter(change.status for change in history.changes)
    broken = Counter(problem.rule for problem in result.problems)
    return (
        f"{len(result.plan)} faults, calls {dict(outcomes)}, changes {dict(changes)}, "
        f"{len(history.lifetimes)} processes, {len(history.waits)} long waits, "
        f"broken {dict(broken)}, unclear {len(result.unclear)}"
    )


def _name(outcome: CallOutcome) -> str:
    """Return the status of an answer, or how the call ended without one."""
    match outcome:
        case Answered(status=status, signature=signature):
            return f"{status}{'' if signature else ' own'}"
        case _:
            return type(outcome).__name__


if __name__ == "__main__":
    sys.exit(main())
