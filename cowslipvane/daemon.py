"""The daemon: one process with its listeners and the tasks of its roles."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import time
from collections.abc import Coroutine
from contextlib import AsyncExitStack, ExitStack
from functools import partial
from pathlib import Path
from typing import Any

from cowslipvane.call import DEFAULT_HEADER_NAMES, BodyAccount
from cowslipvane.clock import lease_now
from cowslipvane.events import EventLog, EventStream, HybridClock, Origin, open_event_file
from cowslipvane.membership import Announcements, Member, Membership
from cowslipvane.metrics import Metrics
from cowslipvane.replica import Replica
from cowslipvane.rollout import Observations, Plan
from cowslipvane.routing import Chooser
from cowslipvane.settings import Settings, SettingsFault, pending_settings, read_token
from cowslipvane.subscription import Subscription
from cowslipvane.tasks._front_end import Components, FrontEnd, settings_detail
from cowslipvane.tasks._signal import Signal
from cowslipvane.tasks.callers import Callers, Dispatcher
from cowslipvane.tasks.distribution import (
    AnswerReporter,
    FactKeeper,
    Publisher,
    Rollouts,
    Subscriber,
)
from cowslipvane.tasks.http import HttpListener, Prefetcher
from cowslipvane.tasks.operators import (
    MetricsCollector,
    OperatorApi,
    ProcessApi,
    QuotaApi,
    ReplicaApi,
    ResourceApi,
    RolloutApi,
    debug_form,
)
from cowslipvane.tasks.peers import CALLS_PATH, EventCopies, Gossip, Handler, PeerListener, Peers
from cowslipvane.tasks.quotas import QUOTA_PATH, QuotaClient, QuotaKeeper
from cowslipvane.tasks.replication import GroupJoiner, Releases, Replication, open_replica
from cowslipvane.tasks.upstreams import Owner, serve_calls
from cowslipvane.types import Address, Seconds, ServiceName
from cowslipvane.wire import LinkIdentity, Traffic, link_identity

# Time kept free at the end of the grace period for listeners and links to close, each within a time
# limit of its own.
EXIT_RESERVE: Seconds = 1.0
# Interval between checks of the settings file for changes; SIGHUP reloads the file at once.
SETTINGS_CHECK_INTERVAL: Seconds = 1.0
# A drained proxy keeps refusing offers for this long before it exits, so that its peers learn that
# it is leaving before they lose the connection.
LEAVING_NOTICE_TIME: Seconds = 1.0
# Time in which the event loop accepts connections that wait, and reads and refuses their requests.
READING_TIME: Seconds = 0.25


class Daemon:
    """Runs one process with the roles that its settings name."""

    def __init__(self, *, settings: Settings, front_end: FrontEnd | None = None) -> None:
        self._settings = self._started_with = settings
        self._front_end = front_end
        self._header_names = front_end.header_names if front_end else DEFAULT_HEADER_NAMES
        self._rng = random.Random()
        self._clock = HybridClock()
        token_file = settings.security.token_file
        self._token = read_token(Path(token_file)) if token_file else None
        self._traffic = Traffic()
        self._identity = LinkIdentity(self._clock, self._token, self._traffic)
        self._metrics = Metrics()
        self._events = EventLog(
            origin=Origin(settings.host, settings.data_centre, os.getpid()),
            clock=self._clock,
            file=open_event_file(settings),
            stream=EventStream() if settings.log_events else None,
            max_events=int(settings.limits.events_in_memory),
            observer=self._metrics.record_event,
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
        self._gossip = Gossip(
            membership=Membership(own=own, now=time.monotonic(), seeds=settings.seeds),
            seeds=settings.seeds,
            interval=settings.timing.exchange,
            events=self._events,
        )
        self._event_copies = EventCopies(membership=self._gossip.membership, events=self._events)
        self._started_at = time.monotonic()
        self._stop = Signal()
        self._stopping = False
        self._interrupted = False
        self._exit_now = False
        self._peer_listener: PeerListener | None = None
        self._replication: Replication | None = None
        self._publisher: Publisher | None = None
        self._owner: Owner | None = None
        self._callers: Callers | None = None
        self._callers_listener: HttpListener | None = None
        self._subscription: Subscription | None = None
        self._subscriber: Subscriber | None = None
        self._releases: Releases | None = None
        self._rollouts: Rollouts | None = None
        self._quota_keeper: QuotaKeeper | None = None
        self._group_joiner: GroupJoiner | None = None
        self._peers = Peers(events=self._events)

    async def run(self) -> None:
        """Serve until a signal or an operator stops the process."""
        link_identity.set(self._identity)
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.stop)
        loop.add_signal_handler(signal.SIGINT, self.interrupt)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        async with AsyncExitStack() as stack:
            tasks: list[Coroutine[Any, Any, None]] = []
            if "replica" in self._settings.roles:
                tasks.extend(self._start_replica(stack))
            if "proxy" in self._settings.roles:
                tasks.extend(self._start_proxy())
            tasks += [self._events.run(), self._gossip.run(), self._event_copies.run()]
            if self._front_end is not None:
                tasks.append(self._watch_settings(self._front_end))
            for task in tasks:
                # If a listener fails to open, the coroutines that never started must be closed.
                stack.callback(task.close)
            # Closed after the listeners, so that a late call can still be sent to an owner.
            stack.push_async_callback(self._peers.close)
            await self._listen(stack)
            await self._serve(tasks, stack)

    def stop(self) -> None:
        """Take no new work, let running work end, then exit; another call changes nothing."""
        self._stopping = True
        self._stop.send()

    def interrupt(self) -> None:
        """Stop; a second call exits at once, for an operator at a terminal."""
        self._exit_now = self._interrupted
        self._interrupted = True
        self.stop()

    def reload(self) -> None:
        """Read the settings again and apply the seeds, the only setting that may change."""
        if self._front_end is None:
            return
        try:
            settings = self._front_end.reload()
        except SettingsFault as fault:
            self._events.record("reloaded", outcome="refused", reason="; ".join(fault.faults))
            return
        self._settings = settings
        self._gossip.update_seeds(settings.seeds)
        if self._subscriber is not None:
            self._subscriber.update_seeds(settings.seeds)
        seeds = " ".join(str(seed) for seed in settings.seeds)
        detail = settings_detail(self._front_end, pending_settings(self._started_with, settings))
        self._events.record("reloaded", outcome="taken", seeds=seeds, **detail)

    async def _watch_settings(self, front_end: FrontEnd) -> None:
        """Reload the settings when their file has changed, also without a signal."""
        while True:
            await asyncio.sleep(SETTINGS_CHECK_INTERVAL)
            if front_end.has_new_settings():
                self.reload()

    @property
    def is_ready(self) -> bool:
        """Return whether callers may send requests to this process."""
        return not self._stopping and self._subscription is not None and self._subscription.is_ready

    async def _serve(self, tasks: list[Coroutine[Any, Any, None]], stack: AsyncExitStack) -> None:
        """Run the tasks of the roles until the process has stopped, or one of them fails."""
        self._events.record("started", **settings_detail(self._front_end))
        running = [asyncio.ensure_future(task) for task in tasks]
        leaving = asyncio.create_task(self._leave())
        try:
            done, _ = await asyncio.wait([*running, leaving], return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                task.result()
        finally:
            if self._peer_listener is not None:
                self._peer_listener.cancel_all_but_calls()
            for task in running:
                task.cancel()
            await asyncio.gather(*running, return_exceptions=True)
            if self._callers is not None:
                self._callers.record_exit("the process is exiting")
        sent = [f"{kind} {size}" for kind, size in sorted(self._traffic.sent_bytes.items())]
        self._events.record("stopped", sent_bytes=", ".join(sent))
        self._events.write()

    async def _leave(self) -> None:
        """Wait for a stop, then hand over the leadership and drain the proxy."""
        while not self._stopping:
            await self._stop.wait()
        leave_by = time.monotonic() + self._settings.timing.grace - EXIT_RESERVE
        if self._replication is not None:
            await self._replication.hand_over()
        if self._callers is None or self._owner is None:
            return
        # The worker may still be running, so requests are served until callers have moved to other
        # proxies; stop() only makes each connection close after its response.
        self._callers.stop()
        await self._wait_lame_duck()
        self._callers.stop_accepting()
        await self._owner.drain()
        if self._callers_listener is not None:
            # A caller whose connection is refused tries another proxy; one whose connection is cut
            # doesn't know the outcome of its request.
            await self._callers_listener.stop_listening()
        idle = asyncio.create_task(self._wait_idle(self._callers, self._owner))
        exit_now = asyncio.create_task(self._wait_exit_now())
        try:
            await asyncio.wait(
                [idle, exit_now],
                timeout=max(0.0, leave_by - time.monotonic()),
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            idle.cancel()
            exit_now.cancel()
        if not self._exit_now:
            if not idle.done():
                # A process that was paused until now has yet to refuse what arrived meanwhile.
                await asyncio.sleep(READING_TIME)
            await self._callers.give_up()
        self._record_cut_work(self._callers, self._owner)

    async def _wait_lame_duck(self) -> None:
        """Wait until callers have had time to notice that this process is leaving."""
        deadline = time.monotonic() + self._settings.timing.lame_duck
        while not self._exit_now and (remaining := deadline - time.monotonic()) > 0:
            await self._stop.wait(remaining)

    async def _wait_idle(self, callers: Callers, owner: Owner) -> None:
        """Wait until peers know that this process is leaving, and nothing is in flight."""
        await asyncio.sleep(LEAVING_NOTICE_TIME / 2)
        if self._callers_listener is not None:
            # Connections close here rather than at the exit: the exit directly follows the last
            # response, and could cut the next request that its caller sends.
            await self._callers_listener.finish()
        await asyncio.sleep(LEAVING_NOTICE_TIME / 2)
        while callers.in_flight or owner.in_flight:
            await callers.wait_idle()
            await owner.wait_idle()

    async def _wait_exit_now(self) -> None:
        """Wait until an operator interrupts the process a second time."""
        while not self._exit_now:
            await self._stop.wait()

    def _record_cut_work(self, callers: Callers, owner: Owner) -> None:
        """Record the calls and the attempts that the exit cuts off."""
        reason = "a second interrupt" if self._exit_now else "the grace period is over"
        callers.record_exit(reason)
        owner.record_exit(reason)

    def _start_replica(self, stack: AsyncExitStack) -> list[Coroutine[Any, Any, None]]:
        """Open the data folder and return the replica's tasks."""
        identity, journal, recovered = open_replica(
            self._settings, self._events, stack.enter_context(ExitStack())
        )
        replica = Replica(
            host=identity.host,
            replica_id=identity.replica_id,
            founders=identity.founders,
            journal=journal,
            recovered=recovered,
            election_timeout=self._settings.timing.election_timeout,
            rng=self._rng,
            now=lease_now(),
        )
        self._replication = Replication(
            replica=replica,
            group_name=identity.group,
            journal=journal,
            timing=self._settings.timing,
            events=self._events,
            data_centre_of=self._gossip.membership.data_centre_of,
        )
        observations = Observations()
        self._publisher = Publisher(
            replication=self._replication,
            membership=self._gossip.membership,
            pull_wait=self._settings.timing.pull_wait,
            observations=observations,
        )
        self._releases = Releases(
            replication=self._replication,
            events=self._events,
            derive=self._front_end.derive if self._front_end else None,
        )
        self._rollouts = Rollouts(
            replication=self._replication,
            publisher=self._publisher,
            observations=observations,
            plan=Plan(exposure=self._settings.rollouts.exposure),
            events=self._events,
        )
        tasks = [part.run() for part in (self._replication, self._publisher, self._rollouts)]
        self._quota_keeper = QuotaKeeper(
            replication=self._replication, settings=self._settings.quotas, events=self._events
        )
        tasks += [self._releases.run(), self._quota_keeper.run()]
        if self._settings.formation.automatic:
            self._group_joiner = GroupJoiner(
                replication=self._replication,
                group_name=identity.group,
                own_address=self._settings.listen.peers,
                peer_addresses=self._replica_addresses,
                events=self._events,
                rng=self._rng,
            )
            tasks.append(self._group_joiner.run())
        return tasks

    def _replica_addresses(self) -> tuple[Address, ...]:
        """Return where replicas may listen: the seeds, and those that this process knows."""
        known = self._gossip.membership.replica_addresses()
        return tuple({*self._settings.seeds, *known})

    def _start_proxy(self) -> list[Coroutine[Any, Any, None]]:
        """Build the proxy's components and return their tasks."""
        subscription = Subscription(revocation=self._settings.revocation)
        self._subscription = subscription
        announcements = Announcements(may_have_predecessor=True)
        bodies = BodyAccount(max_bytes=int(self._settings.limits.body_bytes))
        fact_keeper = FactKeeper(host=self._settings.host, announcements=announcements)
        self._owner = Owner(
            gossip=self._gossip,
            subscription=subscription,
            events=self._events,
            announcements=announcements,
            fact_keeper=fact_keeper,
            worker_lease=self._settings.timing.worker_lease,
            service=ServiceName(self._settings.service),
            header_names=self._header_names,
            left_to_end=self._settings.timing.left_to_end,
            bodies=bodies,
        )
        owner = self._owner
        answer_reporter = AnswerReporter(get_answers=lambda: owner.answers)
        self._subscriber = Subscriber(
            subscription=subscription,
            settings=self._settings,
            membership=self._gossip.membership,
            events=self._events,
            rng=self._rng,
            fact_keeper=fact_keeper,
            answer_reporter=answer_reporter,
        )
        quotas = QuotaClient(
            subscription=subscription,
            configuration_applied=self._subscriber.configuration_applied,
            events=self._events,
            rng=self._rng,
        )
        dispatcher = Dispatcher(
            subscription=subscription,
            membership=self._gossip.membership,
            owner=self._owner,
            peers=self._peers,
            quotas=quotas,
            chooser=Chooser(data_centre=self._settings.data_centre, rng=self._rng),
            events=self._events,
            rng=self._rng,
            retries=self._settings.retries,
        )
        self._callers = Callers(
            subscription=subscription,
            dispatcher=dispatcher,
            events=self._events,
            rng=self._rng,
            metrics=self._metrics,
            configuration_applied=self._subscriber.configuration_applied,
            owner=self._owner,
            origin_service=self._settings.service,
            header_names=self._header_names,
            bodies=bodies,
        )
        return [
            self._owner.run(),
            self._subscriber.run(),
            fact_keeper.run(),
            answer_reporter.run(),
            quotas.run(),
        ]

    async def _listen(self, stack: AsyncExitStack) -> None:
        """Open the listeners for peers, operators and callers."""
        listen = self._settings.listen
        handlers = self._peer_handlers()
        peers = PeerListener(handlers=handlers, identity=self._identity, events=self._events)
        self._peer_listener = peers
        await stack.enter_async_context(peers.listen(listen.peers))
        await stack.enter_async_context(
            HttpListener(handler=self._operator_api(peers).handle, address=listen.operators)
        )
        if self._callers is not None and listen.callers is not None:
            self._callers_listener = HttpListener(
                handler=self._callers.handle,
                address=listen.callers,
                prefetcher=Prefetcher(self._callers.fetch, self._callers.discard),
            )
            await stack.enter_async_context(self._callers_listener)
        if self._front_end is not None:
            components = Components(
                self._releases, self._rollouts, self._owner, lambda: self.is_ready
            )
            for listener in self._front_end.listeners(components):
                await stack.enter_async_context(listener)

    def _operator_api(self, peers: PeerListener) -> OperatorApi:
        """Return the API that serves operators."""
        membership = self._gossip.membership
        process = ProcessApi(
            membership=membership,
            events=self._events,
            replication=self._replication,
            subscription=self._subscription,
            owner=self._owner,
            drain=self.stop,
            debug=partial(self._debug, peers),
            metrics_collector=MetricsCollector(
                metrics=self._metrics,
                membership=membership,
                events=self._events,
                traffic=self._traffic,
                replication=self._replication,
                releases=self._releases,
                quotas=self._quota_keeper,
                subscription=self._subscription,
                owner=self._owner,
            ),
        )
        if self._replication is None or self._publisher is None or self._rollouts is None:
            return OperatorApi(process=process, token=self._token)
        resources = ResourceApi(
            membership=membership,
            events=self._events,
            replication=self._replication,
            publisher=self._publisher,
        )
        replicas = ReplicaApi(
            membership=membership, events=self._events, replication=self._replication
        )
        rollouts = RolloutApi(membership=membership, rollouts=self._rollouts)
        return OperatorApi(
            process=process,
            resources=resources,
            replicas=replicas,
            rollouts=rollouts,
            quotas=None if self._quota_keeper is None else QuotaApi(quotas=self._quota_keeper),
            token=self._token,
        )

    def _debug(self, peers: PeerListener) -> dict[str, Any]:
        """Return the debug report of this process."""
        return debug_form(
            settings=self._settings,
            membership=self._gossip.membership,
            events=self._events,
            connections=peers.connections,
            started_at=self._started_at,
        )

    def _peer_handlers(self) -> dict[str, Handler]:
        """Return the handler of each path of the peers' listener."""
        handlers: dict[str, Handler] = {
            "/members": self._gossip.serve,
            "/events": self._event_copies.serve,
        }
        parts = {
            "/replica": self._replication,
            "/join": self._group_joiner,
            "/subscribe": self._publisher,
            QUOTA_PATH: self._quota_keeper,
        }
        handlers |= {path: part.serve for path, part in parts.items() if part is not None}
        if self._owner is not None:
            handlers[CALLS_PATH] = partial(serve_calls, owner=self._owner)
        return handlers
