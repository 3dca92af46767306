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
    AskFloor,
    AskLeader,
    Backoff,
    ComeAgain,
    Current,
    Floor,
    Lagging,
    Pull,
    PullDelta,
    PullSnapshot,
    Rejected,
    Subscription,
)
from cowslipvane.tasks._signal import Signal
from cowslipvane.types import NO_VERSION, Address, Seconds
from cowslipvane.wire import Link, LinkClosed, Malformed, connect

FIRST_BACKOFF: Seconds = 0.1
# Share of the silence after which a connection is lost, for which a replica may wait for a leader.
FLOOR_WAIT_SHARE = 0.6


class _Misled(Exception):
    """The other side can't bring this proxy on; another one may."""


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
        self._seeds = settings.seeds
        self._events = events
        self._rng = rng
        self._applied_at = 0.0
        self._changed_at = time.time()
        self._rejected = ""
        self._applied = Signal()
        # After a rejection the next pull asks for all resources.
        self._resync = False
        longest = settings.timing.longest_backoff
        self._backoff = Backoff(initial_delay=FIRST_BACKOFF, max_delay=longest, rng=rng)

    @property
    def configuration_applied(self) -> Signal:
        """Return the signal that is sent when a version comes into force."""
        return self._applied

    def update_seeds(self, seeds: tuple[Address, ...]) -> None:
        """Subscribe to these processes from now on."""
        self._seeds = seeds

    async def run(self) -> None:
        """Subscribe to one replica after another, in random order, for ever."""
        while True:
            seeds = list(self._seeds)
            self._rng.shuffle(seeds)
            if not seeds:
                await asyncio.sleep(self._backoff.next_delay())
            for address in seeds:
                try:
                    await self._subscribe(address)
                except (LinkClosed, Malformed, TimeoutError, _Misled):
                    await asyncio.sleep(self._backoff.next_delay())

    async def _learn_floor(self, link: Link) -> None:
        """Learn from the leader, asked or named here, which version this proxy may not go under."""
        answer = await self._ask_floor(link)
        if isinstance(answer, AskLeader) and answer.leader is not None:
            async with connect(answer.leader, "/subscribe") as leader:
                answer = await self._ask_floor(leader)
        if not isinstance(answer, Floor):
            raise _Misled("no leader is known there")
        self._subscription.raise_floor(answer.version)
        self._events.record("floor", version=answer.version)
        self._backoff.reset()

    async def _ask_floor(self, link: Link) -> Floor | AskLeader:
        """Ask one replica for the floor."""
        silence = self._settings.timing.silence
        await link.send(AskFloor(wait=silence * FLOOR_WAIT_SHARE))
        match await link.receive(timeout=silence):
            case Floor() | AskLeader() as answer:
                return answer
            case _:
                raise Malformed("a replica answered a question for the floor with another message")

    async def _subscribe(self, address: Address) -> None:
        """Pull versions over one connection, each pull reporting the last."""
        # A replica answers each pull within its wait, so that a silent connection is noticed.
        patience = self._settings.timing.pull_wait + self._settings.timing.silence
        async with connect(address, "/subscribe") as link:
            if self._subscription.floor is None:
                await self._learn_floor(link)
            while True:
                await link.send(self._pull())
                await self._take(await link.receive(timeout=patience))

    def _pull(self) -> Pull:
        """Return a pull that follows what is in force."""
        version = self._subscription.version
        return Pull(
            report=self._report(),
            base=NO_VERSION if self._resync else version,
            floor=self._subscription.floor or NO_VERSION,
            hosts=self._settings.route_hosts,
        )

    async def _take(self, answer: object) -> None:
        """Act on an answer to a pull."""
        match answer:
            case PullDelta(delta=delta):
                self._note(self._subscription.apply_delta(delta))
            case PullSnapshot(snapshot=snapshot):
                self._note(self._subscription.apply_snapshot(snapshot))
            case Current(version=version):
                self._backoff.reset()
                if version < (self._subscription.floor or NO_VERSION):
                    raise _Misled("the replica lags behind this proxy")
            case Lagging():
                raise _Misled("the replica hears no leader")
            case ComeAgain(after=after):
                await asyncio.sleep(after * self._rng.uniform(1, 2))
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
            self._changed_at,
        )

    def _note(self, result: Applied | Rejected) -> None:
        """Record what became of a version; raise after a rejection."""
        self._changed_at = time.time()
        match result:
            case Applied(version=version):
                self._applied_at = self._changed_at
                self._rejected = ""
                self._resync = False
                self._backoff.reset()
                self._applied.send()
                self._events.record("applied", version=version)
            case Rejected(version=version, reason=reason):
                self._rejected = f"version {version}: {reason}"
                self._resync = True
                self._events.record("rejected", version=version, reason=reason)
                raise _Misled(reason)
