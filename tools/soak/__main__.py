"""Run a soak from the command line, and keep its files if a promise was broken."""

from __future__ import annotations

import argparse
import asyncio
import shutil
import sys
import time
from collections import Counter

from tools.soak import KINDS, Result, Soak, SoakOptions


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
        for records in (result.plan, *result.history[1:-1]):
            file.writelines(f"{record}\n" for record in records)
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
    outcomes = Counter(type(call.outcome).__name__ for call in history.calls)
    changes = Counter(change.status for change in history.changes)
    broken = Counter(problem.rule for problem in result.problems)
    return (
        f"{len(result.plan)} faults, calls {dict(outcomes)}, changes {dict(changes)}, "
        f"{len(history.lifetimes)} processes, broken {dict(broken)}"
    )


if __name__ == "__main__":
    sys.exit(main())
