"""The most requests of a team that were both sent and run within one window of a quota."""

from __future__ import annotations

from bisect import bisect_right, insort
from collections.abc import Iterable
from typing import NamedTuple

from cowslipvane.types import Seconds


class Use(NamedTuple):
    """A request that ran: when its caller sent it, and when it reached its worker."""

    sent_at: float
    began_at: float


class Busiest(NamedTuple):
    """The window in which most requests were both sent and run."""

    begin: float
    uses: int


def busiest_window(uses: Iterable[Use], length: Seconds) -> Busiest:
    """Return the window of a length with most uses, which begins when one of them was sent."""
    busiest = Busiest(0.0, 0)
    # When those began that were sent at the begin of the window or later.
    begins: list[float] = []
    for use in sorted(uses, reverse=True):
        insort(begins, use.began_at)
        count = bisect_right(begins, use.sent_at + length)
        if count > busiest.uses:
            busiest = Busiest(use.sent_at, count)
    return busiest
