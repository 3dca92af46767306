"""The one process of a host's slot: its listeners, and the tasks of its roles."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import time
from collections.abc import Coroutine
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any

from websockets.asyncio.server import ServerConnection, serve

from cowslipvane.events import EventLog, HybridClock
from cowslipvane.membership import Member, Membership
from cowslipvane.replica import Replica
from cowslipvane.routing import Chooser
from cowslipvane.settings import Settings
from cowslipvane.storage import DataFolder, FileJournal
from cowslipvane.subscription import Subscription
from cowslipvane.tasks._callers import Callers
from cowslipvane.tasks._carrier import Carrier
from cowslipvane.tasks._http import HttpListener
from cowslipvane.tasks._members import Members
from cowslipvane.tasks._operators import Operators
from cowslipvane.tasks._owner import Owner
from cowslipvane.tasks._peers import Peers, serve_calls
from cowslipvane.tasks._process_api import ProcessApi
from cowslipvane.tasks._publisher import Publisher
from cowslipvane.tasks._replication import Replication
from cowslipvane.tasks._resource_api import ResourceApi
from cowslipvane.tasks._signal import Signal
from cowslipvane.tasks._subscriber import Subscriber
from cowslipvane.types import Seconds
from cowslipvane.wire import Link, LinkClosed, Malformed
from cowslipvane.wire._link import MAX_MESSAGE_BYTES

# A drained proxy goes on refusing offers this long, so that no peer finds it gone unawares.
LEAVING_TIME: Seconds = 1.0


class Daemon:
    """One process with the roles that its settings give it."""

    def __init__(self, *, settings: Settings) -> None:
        self._settings = settings
        self._rng = random.Random()
        self._events = EventLog(
            host=settings.host,
            data_centre=settings.data_centre,
            process=os.getpid(),
            clock=HybridClock(),
        )
        own = Member(
            settings.host,
            settings.data_centre,
            time.time_ns(),
            0,
            settings.listen.peers,
            settings.listen.operators,
            settings.listen.callers,
            "up",
            None,
        )
        self._members = Members(
            membership=Membership(own=own, now=time.monotonic()),
            seeds=settings.seeds,
            interval=settings.timing.exchange,
            events=self._events,
        )
        self._stop = Signal()
        self._stopping = False
        self._hurried = False
        self._serving: set[asyncio.Task[Any]] = set()
        self._replication: Replication | None = None
        self._publisher: Publisher | None = None
        self._owner: Owner | None = None
        self._callers: Callers | None = None
        self._callers_listener: HttpListener | None = None
        self._subscription: Subscription | None = None
        self._peers = Peers()

    async def run(self) -> None:
        """Serve until a signal or an operator stops the process."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stop)
        async with AsyncExitStack() as stack:
            tasks = [self._events.run(), self._members.run()]
            if "replica" in self._settings.roles:
                tasks.append(self._start_replica(stack))
            if "proxy" in self._settings.roles:
                tasks.extend(self._start_proxy())
            # The listeners close first, so that a late call still finds its way to an owner.
            stack.push_async_callback(self._peers.close)
            await self._listen(stack)
            await self._serve(tasks, stack)

    def stop(self) -> None:
        """Leave: start nothing new, let what runs end, then exit; at the second call, exit."""
        self._hurried = self._stopping
        self._stopping = True
        self._stop.send()

    async def _serve(self, tasks: list[Coroutine[Any, Any, None]], stack: AsyncExitStack) -> None:
        """Run the tasks of the roles until a stop is over, or one of them fails."""
        self._events.record("started")
        running = [asyncio.ensure_future(task) for task in tasks]
        leaving = asyncio.create_task(self._leave())
        try:
            done, _ = await asyncio.wait([*running, leaving], return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                task.result()
        finally:
            # Those that serve a pull or a neighbour may wait for news that no longer comes.
            for task in [*running, *self._serving]:
                task.cancel()
            await asyncio.gather(*running, return_exceptions=True)
        self._events.record("stopped")
        self._events.write()

    async def _leave(self) -> None:
        """Wait for a stop and see it through."""
        while not self._stopping:
            await self._stop.wait()
        if self._callers is None or self._owner is None:
            return
        self._callers.stop()
        if self._callers_listener is not None:
            # A refused connection sends a caller elsewhere; one that is cut leaves it in doubt.
            self._callers_listener.stop_listening()
        await self._owner.drain()
        idle = asyncio.create_task(self._wait_idle(self._callers, self._owner))
        hurried = asyncio.create_task(self._wait_hurried())
        try:
            await asyncio.wait(
                [idle, hurried],
                timeout=self._settings.timing.grace,
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            idle.cancel()
            hurried.cancel()
        self._say_what_is_cut(self._callers, self._owner)

    async def _wait_idle(self, callers: Callers, owner: Owner) -> None:
        """Wait until peers know of the leaving, and nothing is under way."""
        await asyncio.sleep(LEAVING_TIME / 2)
        if self._callers_listener is not None:
            # Not at the exit: that follows the last answer, and so may its caller's next request.
            await self._callers_listener.finish()
        await asyncio.sleep(LEAVING_TIME / 2)
        while callers.under_way or owner.under_way:
            await callers.wait_idle()
            await owner.wait_idle()

    async def _wait_hurried(self) -> None:
        """Wait for a second signal."""
        while not self._hurried:
            await self._stop.wait()

    def _say_what_is_cut(self, callers: Callers, owner: Owner) -> None:
        """Record the calls and the attempts that the exit cuts."""
        reason = "a second signal" if self._hurried else "the grace period is over"
        for request_id in callers.under_way:
            self._events.record("cut", request=request_id, reason=reason)
        for attempt in owner.under_way:
            self._events.record("cut", entry=attempt.entry, reason=reason)

    def _start_replica(self, stack: AsyncExitStack) -> Coroutine[Any, Any, None]:
        """Open the data folder and return the replica's task."""
        folder = DataFolder(path=Path(self._settings.data_folder))
        identity = folder.open()
        stack.callback(folder.close)
        journal = FileJournal(path=folder.journal_path)
        stack.callback(journal.close)
        replica = Replica(
            host=identity.host,
            voters=identity.voters,
            journal=journal,
            recovered=journal.recover(),
            election_timeout=self._settings.timing.election_timeout,
            rng=self._rng,
            now=time.monotonic(),
        )
        self._replication = Replication(
            replica=replica, journal=journal, timing=self._settings.timing, events=self._events
        )
        self._publisher = Publisher(
            replication=self._replication, pull_wait=self._settings.timing.pull_wait
        )
        return self._replication.run()

    def _start_proxy(self) -> list[Coroutine[Any, Any, None]]:
        """Build the proxy's parts and return their tasks."""
        subscription = Subscription()
        self._subscription = subscription
        self._owner = Owner(
            members=self._members,
            subscription=subscription,
            events=self._events,
            worker_lease=self._settings.timing.worker_lease,
        )
        carrier = Carrier(
            subscription=subscription,
            membership=self._members.membership,
            owner=self._owner,
            peers=self._peers,
            chooser=Chooser(data_centre=self._settings.data_centre, rng=self._rng),
            events=self._events,
        )
        self._callers = Callers(
            subscription=subscription, carrier=carrier, events=self._events, rng=self._rng
        )
        subscriber = Subscriber(
            subscription=subscription, settings=self._settings, events=self._events, rng=self._rng
        )
        return [self._owner.run(), subscriber.run()]

    async def _listen(self, stack: AsyncExitStack) -> None:
        """Open the listeners for peers, operators and callers."""
        listen = self._settings.listen
        await stack.enter_async_context(
            serve(
                self._serve_peer,
                listen.peers.ip,
                listen.peers.port,
                ping_interval=None,
                compression=None,
                max_size=MAX_MESSAGE_BYTES,
            )
        )
        await stack.enter_async_context(
            HttpListener(handler=self._operators().handle, address=listen.operators)
        )
        if self._callers is not None and listen.callers is not None:
            self._callers_listener = HttpListener(
                handler=self._callers.handle, address=listen.callers, cancel_abandoned=True
            )
            await stack.enter_async_context(self._callers_listener)

    def _operators(self) -> Operators:
        """Return what answers operators."""
        process = ProcessApi(
            membership=self._members.membership,
            events=self._events,
            replication=self._replication,
            subscription=self._subscription,
            owner=self._owner,
            drain=self.stop,
        )
        if self._replication is None:
            return Operators(process=process, resources=None)
        resources = ResourceApi(
            membership=self._members.membership,
            events=self._events,
            replication=self._replication,
        )
        return Operators(process=process, resources=resources)

    async def _serve_peer(self, connection: ServerConnection) -> None:
        """Serve one connection of a peer, by the path that it asked for."""
        link = Link(connection=connection)
        path = connection.request.path if connection.request else ""
        task = asyncio.current_task()
        if task is not None and path != "/calls":
            self._serving.add(task)
            task.add_done_callback(self._serving.discard)
        try:
            match path:
                case "/replica" if self._replication:
                    await self._replication.serve(link)
                case "/subscribe" if self._publisher:
                    await self._publisher.serve(link)
                case "/members":
                    await self._members.serve(link)
                case "/calls" if self._owner:
                    await serve_calls(link, self._owner)
        except LinkClosed:
            return
        except Malformed as error:
            self._events.record("malformed", path=path, reason=str(error))
