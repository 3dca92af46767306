"""The task that reports the answers of a proxy's upstream to a replica during a rollout."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from cowslipvane.rollout import WorkerAnswers
from cowslipvane.subscription import ReportAnswers
from cowslipvane.types import Seconds
from cowslipvane.wire import Link, LinkClosed

REPORT_INTERVAL: Seconds = 0.5


class AnswerReporter:
    """Reports over one subscription of the proxy, over the other one if that is lost.

    get_answers returns the counts of the upstream, None while there is nothing to report.
    """

    def __init__(self, *, get_answers: Callable[[], WorkerAnswers | None]) -> None:
        self._get_answers = get_answers
        self._links: list[Link] = []

    @contextmanager
    def using(self, link: Link) -> Iterator[None]:
        """Report over the connection of a subscription while the context lasts."""
        self._links.append(link)
        try:
            yield
        finally:
            self._links.remove(link)

    async def run(self) -> None:
        """Report periodically; the counts only grow, so that a lost report does no harm."""
        while True:
            await asyncio.sleep(REPORT_INTERVAL)
            answers = self._get_answers()
            if answers is None or not self._links:
                continue
            try:
                async with asyncio.timeout(REPORT_INTERVAL):
                    await self._links[0].send(ReportAnswers(answers=answers))
            except (LinkClosed, TimeoutError):
                continue
