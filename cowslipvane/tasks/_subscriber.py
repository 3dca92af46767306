"""The proxy's side of its subscription: one task that pulls versions."""

from __future__ import annotations

import asyncio
import random
import time

from cowslipvane.events import EventLog
from cowslipvane.replica import Report
from cowslipvane.settings import Settings
from cowslipvane.subscription import (
    Applied,
    Current,
    Pull,
    PullDelta,
    PullSnapshot,
    Rejected,
    Subscription,
)
from cowslipvane.types import Seconds
from cowslipvane.wire import Link, LinkClosed, Malformed, connect

# Retries are spread at random over up to this time.
MAX_BACKOFF: Seconds = 1.0


class Subscriber:
    """Keeps the proxy's configuration at the newest version that a replica has."""

    def __init__(
        self,
        *,
        subscription: Subscription,
        settings: Settings,
        events: EventLog,
        rng: random.Random,
    ) -> None:
        self._subscription = subscription
        self._settings = settings
        self._events = events
        self._rng = rng
        self._applied_at = 0.0
        self._rejected = ""

    async def run(self) -> None:
        """Pull from one replica after another, for ever."""
        seeds = list(self._settings.seeds)
        self._rng.shuffle(seeds)
        while True:
            for address in seeds:
                try:
                    async with connect(address, "/subscribe") as link:
                        await self._pull(link)
                except (LinkClosed, Malformed, TimeoutError):
                    await asyncio.sleep(self._rng.uniform(0, MAX_BACKOFF))

    async def _pull(self, link: Link) -> None:
        """Pull versions over one connection, each pull reporting the last."""
        patience = self._settings.timing.pull_wait * 2
        while True:
            await link.send(Pull(report=self._report()))
            match await asyncio.wait_for(link.receive(), patience):
                case PullDelta(delta=delta):
                    self._note(self._subscription.take_delta(delta))
                case PullSnapshot(snapshot=snapshot):
                    self._note(self._subscription.take_snapshot(snapshot))
                case Current():
                    pass
                case _:
                    raise Malformed("a replica answered a pull with another message")

    def _report(self) -> Report:
        """Return what is in force here."""
        return Report(
            self._settings.host,
            self._subscription.version,
            self._applied_at,
            self._settings.listen.operators,
            self._rejected,
        )

    def _note(self, result: Applied | Rejected) -> None:
        """Record what became of a version."""
        match result:
            case Applied(version=version):
                self._applied_at = time.time()
                self._rejected = ""
                self._events.record("applied", version=version)
            case Rejected(version=version, reason=reason):
                self._rejected = f"version {version}: {reason}"
                self._events.record("rejected", version=version, reason=reason)
