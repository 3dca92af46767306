"""A core machine is replaced as planned; seconds later another one loses its disk."""

from __future__ import annotations

import os
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from lab2.machines import Lab  # noqa: E402
from lab2.operator import configuration, read, replace  # noqa: E402

CATCH_UP_S = 4.0
RECOVERY_S = 15.0
DOWN_S = 1.0
# The old machine is gone for good well over a grace period when the disk is lost.
AFTER_REMOVAL_S = 7.0
HELD, BROKEN, NOT_RUN = 0, 1, 2


def main() -> int:
    """Return the exit status of the case."""
    lab = Lab(folder=str(FOLDER))
    try:
        return run(lab, has_trouble=os.environ.get("TROUBLE") != "0")
    finally:
        lab.close()


def run(lab: Lab, *, has_trouble: bool) -> int:
    """Play the case, and judge by what the operator reads."""
    old, second, third = (
        lab.add(f"core-{zone}-1", last, zone, first=True)
        for last, zone in enumerate(("a", "b", "c"), start=1)
    )
    new = lab.add("core-a-2", 4, "a", first=False)
    lab.seeds = [old.ip, second.ip, third.ip]
    for machine in (old, second, third):
        machine.start()
    ips = list(lab.seeds)
    if replace(lab, ips, configuration(1, 0, {"/a/": "bodega"}), 15.0) != 200:
        lab.note("the first configuration wasn't accepted")
        return NOT_RUN
    # Planned work: the new machine first, then SIGTERM for the old one, which is gone for good.
    new.start()
    time.sleep(2 * CATCH_UP_S)
    # REPLACED=0 leaves the old machine, to show that the lost disk alone does no harm.
    if os.environ.get("REPLACED") != "0":
        old.stop()
    ips = [second.ip, third.ip, new.ip]
    lab.seeds = list(ips)
    acknowledged = configuration(2, 1, {"/a/": "bodega", "/b/": "bodega"})
    if replace(lab, ips, acknowledged, 15.0) != 200:
        lab.note("no configuration was accepted after the planned replacement")
        return NOT_RUN
    time.sleep(AFTER_REMOVAL_S)
    if has_trouble:
        second.kill(wipe=True)
        time.sleep(DOWN_S)
        second.start()
    began = time.monotonic()
    form = read(lab, ips, CATCH_UP_S + RECOVERY_S + 20.0)
    if form is None:
        lab.note(f"no daemon answered a read for {time.monotonic() - began:.1f} s")
        return BROKEN
    lab.note(f"read back version {form['version']} after {time.monotonic() - began:.1f} s")
    if form != acknowledged:
        return BROKEN
    status = replace(lab, ips, configuration(3, 2, {"/a/": "bodega"}), 15.0)
    lab.note(f"a further configuration: {status}")
    return HELD if status == 200 else BROKEN


if __name__ == "__main__":
    sys.exit(main())
