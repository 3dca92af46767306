"""Measure what choosing an owner costs, by the number of owners of the service."""

from __future__ import annotations

import random
import time

from cowslipvane.membership import Member, Worker
from cowslipvane.routing import AttemptResult, Chooser, Load
from cowslipvane.types import Address, DataCentre, HostName, ServiceName

OWNERS = (4, 31, 83, 300, 1000)
CALLS = 4000
DATA_CENTRES = 3
CALLS_PER_S = 1000.0


def owner(number: int) -> Member:
    """Return one of the owners, which are spread over the data centres."""
    address = Address("127.0.0.1", 1)
    worker = Worker(ServiceName("stock"), address, 6, 100)
    data_centre = DataCentre(f"centre-{number % DATA_CENTRES}")
    host = HostName(f"host-{number}")
    return Member(host, data_centre, 1, 1, address, address, address, "up", worker)


def measure(count: int) -> float:
    """Return the microseconds of processor time of one choice and its record."""
    rng = random.Random(1)
    chooser = Chooser(data_centre=DataCentre("centre-0"), rng=rng)
    owners = [owner(number) for number in range(count)]
    now = 100.0
    began_at = time.process_time()
    for _ in range(CALLS):
        now += 1 / CALLS_PER_S
        chosen = chooser.choose(owners, (), now)
        assert chosen is not None
        chooser.begin(chosen.host)
        load = Load(6, rng.randrange(7), 0, 0.02)
        chooser.end(chosen.host, AttemptResult.ANSWERED, load, rng.uniform(0.01, 0.03), now)
    return (time.process_time() - began_at) / CALLS * 1e6


def main() -> None:
    """Print the cost for each number of owners, and its ratio to the first."""
    costs = {count: measure(count) for count in OWNERS}
    print("choosing an owner, microseconds a call")
    for count, cost in costs.items():
        print(f"  {count:5} owners {cost:7.1f} ({cost / costs[OWNERS[0]]:.1f} times)")


if __name__ == "__main__":
    main()
