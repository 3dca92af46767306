"""Simulate the admission of one owner, for tests of load patterns."""

import heapq
from collections.abc import Callable, Iterable
from typing import NamedTuple

from cowslipvane.admission import Admission, Policy, Work
from cowslipvane.types import ServiceName


class Arrival(NamedTuple):
    """Work and the time at which it is offered; serials of attempts are unique."""

    at: float
    work: Work


class Ending(NamedTuple):
    """Work that has left its slot.

    expired means that its deadline had passed or was too close when its turn came.
    """

    at: float
    work: Work
    expired: bool


def simulate(
    policy: Policy | None,
    slots: int,
    arrivals: Iterable[Arrival],
    duration: Callable[[Work], float],
) -> list[Ending]:
    """Offer work at its arrival times, run it, and return the endings in order."""
    admission = Admission(service=ServiceName("s"), slots=slots, policy=policy)
    events: list[tuple[float, int, Work, bool]] = [
        (at, work.attempt.serial, work, True) for at, work in arrivals
    ]
    heapq.heapify(events)
    endings: list[Ending] = []
    while events:
        now, _, work, arrives = heapq.heappop(events)
        if arrives:
            admission.offer(work, now)
        else:
            admission.finish(work, now)
            endings.append(Ending(now, work, False))
        while (started := admission.start_next(now)) is not None:
            if admission.check_deadline(started, now) is not None:
                admission.finish(started, now, ran=False)
                endings.append(Ending(now, started, True))
                continue
            heapq.heappush(
                events, (now + duration(started), started.attempt.serial, started, False)
            )
    return endings
