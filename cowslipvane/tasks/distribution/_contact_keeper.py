"""The proxy's side of contact: one task for each subscription that asks for proofs of it."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress

from cowslipvane.clock import lease_now
from cowslipvane.events import EventLog
from cowslipvane.settings import Revocation
from cowslipvane.subscription import AskNewest, Newest, Proof, Subscription
from cowslipvane.types import Seconds
from cowslipvane.wire import Link, LinkClosed

# Several questions in a row may go unanswered before keys are refused.
QUESTIONS_PER_TIMEOUT = 10
# A replica that isn't the leader asks it for as long as it is asked at least this often.
MAX_QUESTION_INTERVAL: Seconds = 1.0


class ContactKeeper:
    """Asks the replicas up to when the version in force was the newest, if keys depend on that."""

    def __init__(
        self, *, subscription: Subscription, revocation: Revocation, events: EventLog
    ) -> None:
        self._subscription = subscription
        self._is_needed = revocation.when_partitioned
        self._interval = min(MAX_QUESTION_INTERVAL, revocation.timeout / QUESTIONS_PER_TIMEOUT)
        self._events = events
        self._is_proved = False

    @asynccontextmanager
    async def using(self, link: Link) -> AsyncIterator[None]:
        """Ask over the connection of a subscription while the context lasts."""
        if not self._is_needed:
            yield
            return
        task = asyncio.create_task(self._ask(link))
        try:
            yield
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    def handle(self, answer: Newest) -> None:
        """Take in the answer of a replica."""
        self._subscription.record_proof(Proof.from_answer(answer))
        self._record_change()

    async def run(self) -> None:
        """Record when keys are no longer accepted, until cancelled."""
        while True:
            self._record_change()
            await asyncio.sleep(self._interval)

    async def _ask(self, link: Link) -> None:
        """Ask over one connection until it is closed."""
        with suppress(LinkClosed):
            while True:
                await link.send(AskNewest(sent_at=lease_now()))
                await asyncio.sleep(self._interval)

    def _record_change(self) -> None:
        """Record whether keys are accepted, if that has changed."""
        is_proved = self._subscription.accepts_keys(lease_now())
        if is_proved != self._is_proved:
            self._is_proved = is_proved
            version = self._subscription.version
            self._events.record("contact", version=version, state="proved" if is_proved else "lost")
