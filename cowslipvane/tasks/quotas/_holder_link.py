"""The entry proxy's connection to one holder of quotas."""

from __future__ import annotations

import asyncio
import random
from typing import NamedTuple, NoReturn

from cowslipvane.catalogue import QuotaHolder
from cowslipvane.events import EventLog
from cowslipvane.quotas import Grant, TakeTokens, TokensTaken, Unused, Want
from cowslipvane.subscription import Backoff
from cowslipvane.tasks._signal import Signal
from cowslipvane.tasks.quotas._keeper import QUOTA_PATH
from cowslipvane.types import Address, Seconds
from cowslipvane.wire import Link, LinkClosed, Malformed, connect

# A holder that doesn't answer within this time isn't asked again until it does.
ASK_TIMEOUT: Seconds = 0.25
# Its connection is lost if it goes on not to answer for this time.
LOSS_TIMEOUT: Seconds = 1.5
# Tokens that weren't used are given back with the next question, or after this time.
GIVE_BACK_DELAY: Seconds = 0.05
INITIAL_RECONNECT_DELAY: Seconds = 0.05
MAX_RECONNECT_DELAY: Seconds = 0.5


class _Ask(NamedTuple):
    """A token that a request waits for."""

    want: Want
    answered: asyncio.Future[Grant | None]


class HolderLink:
    """Asks one holder, in one message for all requests that came while it answered the last."""

    def __init__(self, *, holder: QuotaHolder, events: EventLog, usable: Signal) -> None:
        self._holder = holder
        self._events = events
        self._usable = usable
        self._asks: list[_Ask] = []
        self._unused: list[Unused] = []
        self._wanted = Signal()
        self._is_connected = False
        self._is_late = False
        self._was_lost = False
        self._backoff = Backoff(
            initial_delay=INITIAL_RECONNECT_DELAY,
            max_delay=MAX_RECONNECT_DELAY,
            rng=random.Random(),
        )
        self._task = asyncio.create_task(self._run())

    @property
    def holder(self) -> QuotaHolder:
        """Return the holder."""
        return self._holder

    @property
    def is_usable(self) -> bool:
        """Return whether the holder is likely to answer in time."""
        return self._is_connected and not self._is_late

    async def ask(self, want: Want) -> Grant | None:
        """Return what the holder grants, None if it doesn't answer in time."""
        ask = _Ask(want, asyncio.get_running_loop().create_future())
        self._asks.append(ask)
        self._wanted.send()
        try:
            async with asyncio.timeout(ASK_TIMEOUT):
                return await ask.answered
        except TimeoutError:
            self._is_late = True
            return None

    def give_back(self, unused: Unused) -> None:
        """Give back a token that no request has used, if the holder can be told."""
        if self._is_connected:
            self._unused.append(unused)
            self._wanted.send()

    def start_closing(self) -> None:
        """Start closing the connection without waiting for it."""
        self._task.cancel()

    async def close(self) -> None:
        """Close the connection."""
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        """Connect again and again."""
        try:
            while True:
                await self._connect_once()
                await asyncio.sleep(self._backoff.next_delay())
        finally:
            self._fail_asks()

    async def _connect_once(self) -> None:
        """Connect, and ask until the connection is lost."""
        try:
            async with connect(Address.parse(self._holder.address), QUOTA_PATH) as link:
                try:
                    await self._exchange(link)
                finally:
                    self._is_connected = False
                    self._fail_asks()
        except (LinkClosed, Malformed, TimeoutError) as error:
            self._record_lost(str(error) or "it didn't answer in time")

    async def _exchange(self, link: Link) -> NoReturn:
        """Send what requests want and await the answer, one message at a time."""
        self._is_connected, self._is_late = True, False
        self._record_reached()
        self._usable.send()
        while True:
            while not self._asks and not self._unused:
                await self._wanted.wait()
            if not self._asks:
                await self._wanted.wait(GIVE_BACK_DELAY)
            await self._ask_once(link)

    async def _ask_once(self, link: Link) -> None:
        """Send one message with all that is wanted now, and deliver the grants."""
        asks, self._asks = self._asks, []
        unused, self._unused = self._unused, []
        wants = tuple(ask.want for ask in asks)
        try:
            await link.send(TakeTokens(wants=wants, unused=tuple(unused)))
            match await link.receive(timeout=LOSS_TIMEOUT):
                case TokensTaken(grants=grants) if len(grants) == len(asks):
                    pass
                case _:
                    raise Malformed("a holder answered a question for tokens with another message")
        except BaseException:
            link.abort()
            _deliver(asks, None)
            raise
        self._backoff.reset()
        if self._is_late:
            self._is_late = False
            self._usable.send()
        for ask, grant in zip(asks, grants, strict=True):
            if ask.answered.done():
                # The request has given up waiting.
                self._unused.append(Unused(ask.want.team, grant))
            else:
                ask.answered.set_result(grant)

    def _fail_asks(self) -> None:
        """Tell all requests that wait that there is no answer, and drop what can't be told."""
        asks, self._asks = self._asks, []
        self._unused.clear()
        _deliver(asks, None)

    def _record_reached(self) -> None:
        """Record that a holder that was lost has been reached again."""
        if self._was_lost:
            self._events.record("quota-holder", holder=self._holder.host, state="reached again")
        self._was_lost = False

    def _record_lost(self, reason: str) -> None:
        """Record that a holder can't be reached, once until it is reached again."""
        if not self._was_lost:
            self._events.record(
                "quota-holder", holder=self._holder.host, state="lost", reason=reason
            )
        self._was_lost = True


def _deliver(asks: list[_Ask], grant: Grant | None) -> None:
    """Give each request that still waits the same answer."""
    for ask in asks:
        if not ask.answered.done():
            ask.answered.set_result(grant)
