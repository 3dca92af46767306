"""Run a soak from the command line, and keep its files if a promise was broken."""

from __future__ import annotations

import argparse
import asyncio
import math
import shutil
import sys
import time
from collections import Counter

from tools.soak import KINDS, Result, Soak, SoakOptions
from tools.soak._records import PROCESSOR_WAIT, Answered, CallOutcome


def main() -> int:
    """Run one soak; return 1 if a promise was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=time.time_ns() % 1_000_000)
    parser.add_argument("--duration", type=float, default=40.0, help="of the faults, in seconds")
    parser.add_argument("--proxies", type=int, default=6)
    parser.add_argument("--kinds", nargs="+", choices=KINDS, default=KINDS, help="of faults")
    parser.add_argument("--broken-share", type=float, default=0.01)
    parser.add_argument("--replica-rate", type=float, default=math.inf, metavar="BYTES_PER_S")
    options = SoakOptions(**vars(parser.parse_args()))
    result = asyncio.run(_run(options))
    print(f"seed {options.seed}: {describe(result)}")
    if not result.problems:
        shutil.rmtree(result.folder)
        return 0
    seen = result.history
    with (result.folder / "records").open("w") as file:
        done = (*result.plan, *seen.lifetimes, *seen.harms, *seen.changes)
        for record in (*done, *seen.calls, *seen.runs, *seen.worker_refusals, *seen.readings):
            print(record, file=file)
    for problem in result.problems:
        print(f"  {problem.rule} {problem.at:.3f} {problem.text}")
    print(f"  files: {result.folder}")
    return 1


async def _run(options: SoakOptions) -> Result:
    """Run one soak."""
    return await Soak(options=options).run()


def describe(result: Result) -> str:
    """Return the counts of a soak in one line."""
    history = result.history
    outcomes = Counter(_name(call.outcome) for call in history.calls)
    changes = Counter(change.status for change in history.changes)
    waits = sum(sent.name == PROCESSOR_WAIT for life in history.lifetimes for sent in life.signals)
    broken = Counter(problem.rule for problem in result.problems)
    return (
        f"{len(result.plan)} faults, calls {dict(outcomes)}, changes {dict(changes)}, "
        f"{len(history.lifetimes)} processes, {waits} long waits, broken {dict(broken)}"
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
