"""After the final fault each daemon gets one ping that names a service that there isn't."""

from __future__ import annotations

import http.client
import json
import os
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from lab2.consumer import ask, is_served  # noqa: E402
from lab2.machines import CONTROL_PORT, Lab, Machine  # noqa: E402
from lab2.operator import configuration, replace  # noqa: E402
from lab2.worker import Run, Worker  # noqa: E402

RECOVERY_S = 15.0
DOWN_S = 1.0
# When the odd pings come, after the machines are back.
ODD_AFTER_S = 4.0
REQUESTS = 60
GAP_S = 0.1
SERVED_SHARE = 0.25
HELD, BROKEN, NOT_RUN = 0, 1, 2


def main() -> int:
    """Return the exit status of the case."""
    lab = Lab(folder=str(FOLDER))
    try:
        return run(lab, has_trouble=os.environ.get("TROUBLE") != "0")
    finally:
        lab.close()


def run(lab: Lab, *, has_trouble: bool) -> int:
    """Start the machines and workers, and play the case."""
    cores = [lab.add(f"core-{n}", n, "a", first=True) for n in (1, 2, 3)]
    sides = [
        lab.add(f"side-{n}", 3 + n, "a", service, first=True)
        for n, service in enumerate(("bodega", "bodega", "carga"), start=1)
    ]
    lab.seeds = [core.ip for core in cores]
    for machine in (*cores, *sides):
        machine.start()
    runs: list[Run] = []
    workers = [
        Worker(lab=lab, machine=side, instance=f"i-{side.name}", runs=runs) for side in sides
    ]
    try:
        return judge(lab, cores, sides, has_trouble=has_trouble)
    finally:
        for worker in workers:
            worker.close()


def judge(lab: Lab, cores: list[Machine], sides: list[Machine], *, has_trouble: bool) -> int:
    """Play the final fault and the odd pings, and count what is served before and after."""
    form = configuration(1, 0, {"/b/": "bodega", "/c/": "carga"})
    if replace(lab, lab.seeds, form, 15.0) != 200:
        return NOT_RUN
    paths = ("/b/1", "/c/1")
    if not all(is_served(lab, side, path) for side in sides for path in paths):
        return NOT_RUN
    time.sleep(2.0)
    before = served_share(lab, sides)
    if before < SERVED_SHARE:
        return NOT_RUN
    machines = [*cores, *sides]
    for machine in machines:
        machine.signal(signal.SIGKILL)
    for machine in machines:
        machine.process.wait()
    time.sleep(DOWN_S)
    for machine in machines:
        machine.start()
    back_at = time.monotonic()
    time.sleep(ODD_AFTER_S)
    if has_trouble:
        for side in sides:
            send_odd_ping(lab, side)
    time.sleep(back_at + RECOVERY_S + 0.5 - time.monotonic())
    after = served_share(lab, sides)
    lab.note(f"served before the final fault {before:.2f}, {RECOVERY_S} s after it {after:.2f}")
    return BROKEN if after < SERVED_SHARE else HELD


def served_share(lab: Lab, sides: list[Machine]) -> float:
    """Send requests at all machines, and return which share is served."""
    served = 0
    for number in range(REQUESTS):
        path = f"/b/{number}" if number % 2 else f"/c/{number}"
        answer = ask(lab, sides[number % len(sides)], path, method="POST", body=b"x")
        served += answer.status == 200
        time.sleep(GAP_S)
    return served / REQUESTS


def send_odd_ping(lab: Lab, side: Machine) -> None:
    """Send one ping of another writer, with a service that no configuration names."""
    form = {
        "address": f"{side.ip}:9",
        "born": int(time.time() * 1000),
        "info": {"service": "otra", "version": "v1", "zone": side.zone, "max_concurrency": 6},
        "status": {"phase": "ready", "sequence": 1, "cold_remaining_s": 0},
    }
    connection = http.client.HTTPConnection(side.ip, CONTROL_PORT, timeout=1.0)
    connection.request(
        "POST",
        "/api/Instances.Heartbeat/i-otra",
        json.dumps(form),
        {"Content-Type": "application/json"},
    )
    status = connection.getresponse().status
    connection.close()
    lab.note(f"{side.name} got a ping of service otra, and answered {status}")


if __name__ == "__main__":
    sys.exit(main())
