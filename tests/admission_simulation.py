"""One owner's admission over simulated time, for tests of load patterns."""

import heapq
from collections.abc import Callable, Iterable
from typing import NamedTuple

from cowslipvane.admission import Admission, Policy, Work
from cowslipvane.types import ServiceName


class Arrival(NamedTuple):
    """Work that is offered at a time; its attempts have serials of their own."""

    at: float
    work: Work


class Ending(NamedTuple):
    """Work that has left a slot; held means that its time was over before it could start."""

    at: float
    work: Work
    held: bool


def simulate(
    policy: Policy | None, slots: int, arrivals: Iterable[Arrival], took: Callable[[Work], float]
) -> list[Ending]:
    """Offer work as it arrives, run it for the time that it takes, and return what has ended."""
    admission = Admission(service=ServiceName("s"), slots=slots, policy=policy)
    events: list[tuple[float, int, Work, bool]] = [
        (at, work.attempt.serial, work, True) for at, work in arrivals
    ]
    heapq.heapify(events)
    ended: list[Ending] = []
    while events:
        now, _, work, arrives = heapq.heappop(events)
        if arrives:
            admission.offer(work, now)
        else:
            admission.finish(work, now)
            ended.append(Ending(now, work, False))
        while (started := admission.start_next(now)) is not None:
            if admission.check_deadline(started, now) is not None:
                admission.finish(started, now, ran=False)
                ended.append(Ending(now, started, True))
                continue
            heapq.heappush(events, (now + took(started), started.attempt.serial, started, False))
    return ended
