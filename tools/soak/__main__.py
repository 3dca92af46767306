"""Run a soak from the command line, and keep its files if a promise was broken."""

from __future__ import annotations

import argparse
import asyncio
import shutil
import sys
import time
from collections import Counter
from collections.abc import Iterator

from tools.soak import KINDS, Result, Soak, SoakOptions
from tools.soak._records import PROCESSOR_WAIT, Answered, CallOutcome


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
    if not result.problems:
        shutil.rmtree(result.folder)
        return 0
    with (result.folder / "records").open("w") as file:
        for record in _records(result):
            file.write(f"{record}\n")
    for problem in result.problems:
        print(f"  {problem.rule} {problem.at:.3f} {problem.text}")
    print(f"  files: {result.folder}")
    return 1


def _records(result: Result) -> Iterator[object]:
    """Return the records of a soak."""
    history = result.history
    yield from result.plan
    yield from history.calls
    yield from history.runs
    yield from history.worker_refusals
    yield from history.lifetimes
    yield from history.changes
    yield from history.readings


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
