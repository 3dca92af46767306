"""The owner of the local worker: one task for each slot, each with one connection to the worker."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Iterable
from contextlib import closing
from functools import partial
from typing import NamedTuple

from cowslipvane.admission import Admission, FirstAnswer, Work, request_kind
from cowslipvane.call import (
    DEFAULT_HEADER_NAMES,
    Answer,
    AttemptId,
    Attempts,
    Cancel,
    Chunk,
    Ended,
    Fence,
    FenceOutcome,
    Forgotten,
    HeaderNames,
    NeverStarted,
    Offer,
    OwnerMessage,
    Refused,
    Request,
    Running,
    SendReply,
)
from cowslipvane.events import EventLog
from cowslipvane.membership import (
    Announcement,
    Announcements,
    Departure,
    Membership,
    Worker,
    WorkerLimit,
)
from cowslipvane.refusal import (
    AnswerLost,
    CallerGone,
    DeadlinePassed,
    Draining,
    NoUpstream,
    Refusal,
    Rejected,
    RouteOutdated,
    UpstreamLost,
    Withdrawn,
)
from cowslipvane.routing import Load
from cowslipvane.subscription import Subscription
from cowslipvane.tasks._signal import LifoSignal, Signal
from cowslipvane.tasks.distribution import FactKeeper
from cowslipvane.tasks.peers import Gossip
from cowslipvane.tasks.upstreams._worker_connection import (
    AnswerBroken,
    ResponseHead,
    WorkerUnreachable,
)
from cowslipvane.tasks.upstreams._worker_http import (
    NotRun,
    SlotConnection,
    WorkerState,
    response_headers,
)
from cowslipvane.types import Seconds, ServiceName, Verdict, Version

CHUNK_BYTES = 64 << 10
# How much of an answer is read for nobody, which is more than is stored of it to be sent again.
MAX_UNWANTED_BYTES = 1 << 20
# How long work that isn't idempotent may go on running after its deadline, by default.
DEFAULT_LEFT_TO_END: Seconds = 30.0
# Retry-After of a request that the worker rejected, if no other worker could take it.
REJECTED_RETRY_AFTER: Seconds = 0.1
# How often an owner checks whether the operator has taken its upstream out.
OUT_CHECK_INTERVAL: Seconds = 0.25
# Consecutive failures to connect after which a worker is deregistered.
MAX_FAILED_CONNECTIONS = 3
# How long the acknowledgement of a departure waits for refusals, which a slow peer may hold up.
REFUSALS_TIMEOUT: Seconds = 0.1
_NO_LOAD = Load(0, 0, 0)
NO_SERVICE = ServiceName("")
_WITHDRAWN = "its entry proxy withdrew it"
_ENTRY_LOST = "the connection to its entry proxy was lost"


class _DueRefusal(NamedTuple):
    """The refusal of an attempt that has ended, and where to send it if anybody waits for it."""

    message: Refused
    reply: SendReply | None


class Owner:
    """Controls access to the worker on this host: every request to it passes through here."""

    def __init__(
        self,
        *,
        gossip: Gossip,
        subscription: Subscription,
        events: EventLog,
        announcements: Announcements,
        fact_keeper: FactKeeper,
        worker_lease: Seconds,
        service: ServiceName = NO_SERVICE,
        header_names: HeaderNames = DEFAULT_HEADER_NAMES,
        left_to_end: Seconds = DEFAULT_LEFT_TO_END,
    ) -> None:
        self._left_to_end = left_to_end
        self._own_service = service
        self._header_names = header_names
        self._announcements = announcements
        self._fact_keeper = fact_keeper
        self._gossip = gossip
        self._subscription = subscription
        self._events = events
        self._worker_lease = worker_lease
        self._worker: Worker | None = None
        self._lease_renewed_at = 0.0
        self._admission: Admission | None = None
        self._slots: list[asyncio.Task[None]] = []
        self._work_available = LifoSignal()
        self._attempt_ended = Signal()
        self._attempts = Attempts(incarnation=gossip.membership.own.incarnation)
        self._replies: dict[AttemptId, SendReply] = {}
        self._timeouts: dict[AttemptId, asyncio.Timeout] = {}
        # The attempts that were aborted before their deadline.
        self._aborted: set[AttemptId] = set()
        # The ids of the requests that the worker runs.
        self._running_requests: dict[AttemptId, str] = {}
        self._draining = False
        self._failed_connections = 0
        # When the worker last named a rate limit, in time.monotonic seconds.
        self._limit_named_at = 0.0
        self._token_timer: asyncio.TimerHandle | None = None
        self._removals: set[asyncio.Task[None]] = set()
        # The incarnation and state of the last announcement that didn't count.
        self._last_ignored: tuple[Departure, str] | None = None

    @property
    def load(self) -> Load:
        """Return the load of the upstream."""
        return self._admission.load if self._admission else _NO_LOAD

    @property
    def membership(self) -> Membership:
        """Return the membership in which the worker is published."""
        return self._gossip.membership

    @property
    def announcements(self) -> Announcements:
        """Return what the worker has announced."""
        return self._announcements

    @property
    def in_flight(self) -> tuple[AttemptId, ...]:
        """Return the attempts that are queued or running."""
        return self._attempts.in_flight

    async def wait_idle(self) -> None:
        """Return once no attempt is queued or running."""
        while self._attempts.in_flight:
            await self._attempt_ended.wait()

    async def register_worker(self, worker: Worker) -> None:
        """Register the worker, or renew its lease if it is registered already."""
        self._lease_renewed_at = time.monotonic()
        if worker == self._worker or self._draining:
            return
        # No other task runs until the new slots are in place; the refusals are sent after that.
        refused = self._retire_slots()
        previous_slots = tuple(self._slots)
        if self._worker is not None and worker.instance != self._worker.instance:
            # The previous instance has ended, so the new one needn't wait for its slots.
            previous_slots = ()
        self._worker = worker
        self._admission = Admission(
            service=worker.service, slots=worker.slots, first_answer=FirstAnswer()
        )
        self._expect_kept_limit()
        self._work_available = LifoSignal()
        slots = [
            self._serve_slot(self._admission, worker, self._work_available, previous_slots)
            for _ in range(worker.slots)
        ]
        self._slots = [slot for slot in self._slots if not slot.done()]
        self._slots += [asyncio.create_task(slot) for slot in slots]
        self._events.record("worker", service=worker.service, address=str(worker.address))
        self.membership.set_worker(worker, time.monotonic())
        self._gossip.notify_neighbours()
        await self._send_refusals(refused)

    async def handle_announcement(self, announcement: Announcement) -> bool:
        """Handle an announcement of a worker, unless it is late or another worker is current.

        Return whether it may be acknowledged: that a worker leaves, once it would outlive this
        process. Raise ValueError if it names no worker to use.
        """
        worker = announcement.worker
        if not self._is_known(worker.service):
            raise ValueError(f"nothing names the service {worker.service!r:.80}")
        received = announcement._replace(received_at=time.monotonic())
        is_newer = self._announcements.record(received)
        self._fact_keeper.notify()
        if not is_newer:
            self._record_ignored(announcement)
        if announcement.state != "ready":
            return await self._handle_end(announcement.departure, is_current=is_newer)
        if is_newer:
            await self.register_worker(announcement.worker)
        return True

    def _is_known(self, service: ServiceName) -> bool:
        """Return whether the settings, the configuration or the current worker name a service."""
        newest = self._announcements.newest
        if service == self._own_service or (newest and service == newest.worker.service):
            return True
        table = self._subscription.table
        return table.has_service(service) if table else self._own_service == NO_SERVICE

    def _record_ignored(self, announcement: Announcement) -> None:
        """Record that an announcement doesn't count, once for several of an incarnation."""
        ignored = announcement.departure, announcement.state
        if ignored != self._last_ignored:
            self._last_ignored = ignored
            self._events.record(
                "ignored",
                instance=announcement.worker.instance,
                started_at=str(announcement.started_at),
                state=announcement.state,
            )

    async def handle_departure(self, instance: str, started_at: int | None) -> bool:
        """Deregister an instance that reports its end, unless another announced itself since.

        Return whether it may be acknowledged, as for an announcement. started_at is None if the
        departure doesn't tell it; raise ValueError if it names no instance.
        """
        departure = (
            self._announcements.departure_of(instance, time.time_ns() // 1_000_000)
            if started_at is None
            else Departure(instance, started_at)
        )
        if not departure.is_sound:
            raise ValueError(f"the departure names no instance: {departure!r:.200}")
        is_current = self._announcements.record_end(departure)
        return await self._handle_end(departure, is_current=is_current)

    async def _handle_end(self, departure: Departure, *, is_current: bool) -> bool:
        """Deregister the worker if it is the one that ends; return whether the end is kept."""
        removals = []
        if is_current and self._worker is not None:
            removals.append(self._start_removal(self._worker))
        is_kept = await self._fact_keeper.wait_until_kept(departure)
        if removals:
            await asyncio.wait(removals, timeout=REFUSALS_TIMEOUT)
        kept = "yes" if is_kept else "not yet, so it isn't acknowledged"
        self._events.record("departure", instance=departure.instance, kept=kept)
        return is_kept

    async def deregister_worker(self, *, told: str = "this process") -> None:
        """Deregister the worker because it announced that it is leaving, and record to whom."""
        if self._worker is not None:
            self._events.record("worker-leaving", service=self._worker.service, told=told)
            await self._remove_worker()

    async def run(self) -> None:
        """Deregister the worker after its lease; refuse queued work while the upstream is out."""
        interval = min(OUT_CHECK_INTERVAL, self._worker_lease / 4)
        try:
            while True:
                due_at = time.monotonic() + interval
                await self._fact_keeper.learnt.wait(interval)
                self._extend_lease(max(0.0, time.monotonic() - due_at))
                await self._remove_left()
                self._expect_kept_limit()
                await self._refuse_if_out()
                if self._worker and time.monotonic() > self._lease_renewed_at + self._worker_lease:
                    self._events.record("worker-silent", service=self._worker.service)
                    await self._remove_worker()
        finally:
            await self._stop_slots()

    async def _remove_left(self) -> None:
        """Deregister a worker that has left, as an earlier process of this host was told."""
        match self._announcements.newest:
            case Announcement(state="leaving" | "gone", worker=worker) if worker == self._worker:
                await self.deregister_worker(told="an earlier process")

    def _expect_kept_limit(self) -> None:
        """Keep to the rate that the worker named to an earlier process, until it answers."""
        admission, kept = self._admission, self._fact_keeper.kept_limit
        if admission is None or not admission.awaits_first_answer or kept is None:
            return
        is_limited = admission.requests_per_s is not None
        if is_limited or kept.requests_per_s == 0 or kept[:2] != self._incarnation:
            return
        admission.expect_rate(kept.requests_per_s, time.monotonic())
        self._record_limit(admission, f"{kept.requests_per_s:g}", told="an earlier process")

    @property
    def _incarnation(self) -> Departure | None:
        """Return what its departure will name of the worker, None if it isn't known."""
        newest = self._announcements.newest
        if newest is None or newest.worker != self._worker:
            return None
        return newest.departure

    async def _refuse_if_out(self) -> None:
        """Refuse all queued work if the operator has taken the upstream out."""
        if self._is_out and self._admission is not None:
            await self._send_refusals(self._end_queued(self._admission.clear_queue()))

    def _extend_lease(self, stall: Seconds) -> None:
        """Don't count the time in which this process didn't run and read no announcement."""
        self._lease_renewed_at = min(self._lease_renewed_at + stall, time.monotonic())

    async def offer(self, offer: Offer, reply: SendReply) -> None:
        """Queue an attempt, or refuse it at once."""
        if not self._attempts.admit(offer.attempt):
            withdrawn = Withdrawn(service=offer.service)
            await reply(Refused(attempt=offer.attempt, refusal=withdrawn, load=self.load))
            return
        self._replies[offer.attempt] = reply
        refusal = self._admit(offer)
        if refusal is not None:
            await self._refuse(offer.attempt, refusal)

    async def fence(self, fence: Fence, reply: SendReply) -> None:
        """Reply with the outcome of an attempt, and bar it from starting if it hasn't started."""
        attempt = fence.attempt
        match self._fence(attempt, fence.incarnation):
            case Running(parts=list(parts)):
                # Without a reply function, new parts are only kept, so that all are sent in order.
                self._replies.pop(attempt, None)
                await self._replay(parts, reply)
                match self._fence(attempt, fence.incarnation):
                    case Running(parts=current) if current is parts:
                        self._replies[attempt] = reply
                    case Ended(parts=current) if current is parts:
                        return
                    case _:
                        await self._reply_lost(attempt, reply)
            case Running():
                await self._reply_lost(attempt, reply)
            case ended:
                await self._reply_ended(attempt, ended, reply)

    async def cancel(self, cancel: Cancel, reply: SendReply) -> None:
        """Cancel an attempt that is queued or running, and reply whether it may have run."""
        attempt = cancel.attempt
        match self._fence(attempt, cancel.incarnation):
            case Running():
                self._replies.pop(attempt, None)
                self._abort(attempt, _WITHDRAWN)
                refusal = CallerGone(verdict=Verdict.MAY_HAVE_RUN)
                await reply(Refused(attempt=attempt, refusal=refusal, load=self.load))
            case ended:
                await self._reply_ended(attempt, ended, reply)

    def _fence(self, attempt: AttemptId, incarnation: int) -> FenceOutcome:
        """Return the outcome of an attempt that was offered to an incarnation."""
        self._attempts.record_incarnation(self.membership.own.incarnation)
        return self._attempts.fence(attempt, incarnation, time.monotonic())

    def abandon_queued(self, attempt: AttemptId, reply: SendReply) -> None:
        """Withdraw an attempt whose link was lost, if it hasn't started."""
        if not self._attempts.is_running(attempt):
            self.abandon(attempt, reply)

    def abandon(self, attempt: AttemptId, reply: SendReply) -> None:
        """Cancel an attempt whose link was lost, unless a fence arrived over another link.

        Such a fence has replaced the reply function.
        """
        if self._replies.get(attempt) is not reply:
            return
        self._replies.pop(attempt)
        incarnation = self.membership.own.incarnation
        match self._fence(attempt, incarnation):
            case Running():
                self._abort(attempt, _ENTRY_LOST)
            case NeverStarted():
                self._withdraw(attempt, _ENTRY_LOST)

    async def drain(self) -> None:
        """Start no more attempts, and refuse the queued ones as not run."""
        self._draining = True
        self.membership.leave("leaving", time.monotonic())
        self._gossip.notify_neighbours()
        self._events.record("leaving")
        await self._send_refusals(self._drain_admission())

    def is_running(self, request_id: str) -> bool:
        """Return whether the local worker is running a request."""
        return request_id in self._running_requests.values()

    def record_exit(self, reason: str) -> None:
        """Record each attempt in flight as one that the exit of the process cuts off."""
        for attempt in self.in_flight:
            request_id = self._running_requests.get(attempt, "")
            self._events.record("cut", request=request_id, entry=attempt.entry, reason=reason)

    @property
    def _is_out(self) -> bool:
        """Return whether the operator has taken the upstream out."""
        table = self._subscription.table
        return table is not None and table.is_out_of_service(self.membership.own.host)

    @property
    def _service(self) -> ServiceName:
        """Return the service of the upstream, or an empty name when no worker is registered."""
        return self._admission.service if self._admission else NO_SERVICE

    def _admit(self, offer: Offer) -> Refusal | None:
        """Queue an attempt, or return the reason for refusing it."""
        if self._admission is None or self._admission.service != offer.service:
            return NoUpstream(service=offer.service)
        if self._is_out:
            return Draining(service=offer.service)
        outdated = self._check_route(offer.request, offer.service, offer.version)
        if outdated is not None:
            return outdated
        now = time.monotonic()
        deadline = now + offer.timeout
        goal = None if offer.goal is None else now + offer.goal
        work = Work(
            offer.attempt,
            offer.request,
            deadline,
            offer.idempotent,
            offer.caller,
            goal,
            offer.kind or request_kind(offer.request),
            offer.nested,
            offer.version,
        )
        refusal = self._admission.offer(work, now)
        if refusal is None:
            self._work_available.send()
        return refusal

    def _check_route(
        self, request: Request, service: ServiceName, version: Version | None
    ) -> RouteOutdated | None:
        """Refuse a request that was routed by an older version, if the newer one leads elsewhere.

        An entry proxy acts on an older version until the update has come over its link.
        """
        table = self._subscription.table
        if table is None or version is None or version >= table.version:
            return None
        is_current = table.leads_to(
            service,
            host=request.header("Host") or "",
            path=request.path,
            method=request.method,
            headers=request.headers,
        )
        return None if is_current else RouteOutdated(version=table.version)

    def _check_start(self, admission: Admission, work: Work) -> Refusal | None:
        """Return the refusal of work that can't be started any more."""
        refusal = admission.check_deadline(work, time.monotonic())
        return refusal or self._check_route(work.request, admission.service, work.version)

    def _abort(self, attempt: AttemptId, reason: str) -> None:
        """Abort an attempt at the worker, if it is idempotent and its timeout hasn't expired."""
        timeout = self._timeouts.get(attempt)
        aborts = timeout is not None and timeout.when() is not None and not timeout.expired()
        if timeout is not None and aborts:
            self._aborted.add(attempt)
            timeout.reschedule(asyncio.get_running_loop().time())
        request_id = self._running_requests.get(attempt, "")
        state = "running, aborted" if aborts else "running, left to end"
        self._record_cancelled(attempt, request_id, state, reason)

    def _withdraw(self, attempt: AttemptId, reason: str) -> None:
        """Remove an attempt from the queue, if it is queued."""
        work = None if self._admission is None else self._admission.withdraw(attempt)
        if work is not None:
            self._record_cancelled(attempt, self._request_id(work), "queued", reason)

    def _record_cancelled(
        self, attempt: AttemptId, request_id: str, state: str, reason: str
    ) -> None:
        """Record an attempt whose response nobody waits for any more, and its state here."""
        self._events.record(
            "cancelled", request=request_id, entry=attempt.entry, state=state, reason=reason
        )

    async def _reply_lost(self, attempt: AttemptId, reply: SendReply) -> None:
        """Reply that the response of an attempt grew too large to be sent again."""
        refusal = AnswerLost(service=self._service, verdict=Verdict.MAY_HAVE_RUN)
        await reply(Refused(attempt=attempt, refusal=refusal, load=self.load))

    async def _reply_ended(
        self, attempt: AttemptId, end: NeverStarted | Ended | Forgotten, reply: SendReply
    ) -> None:
        """Reply for an attempt that isn't running."""
        match end:
            case NeverStarted():
                self._replies.pop(attempt, None)
                self._withdraw(attempt, _WITHDRAWN)
                refusal: Refusal = Withdrawn(service=self._service)
            case Ended(parts=list(parts)):
                await self._replay(parts, reply)
                return
            case Ended():
                refusal = AnswerLost(service=self._service, verdict=Verdict.RAN)
            case Forgotten():
                refusal = AnswerLost(service=self._service, verdict=Verdict.MAY_HAVE_RUN)
        await reply(Refused(attempt=attempt, refusal=refusal, load=self.load))

    async def _replay(self, parts: list[OwnerMessage], reply: SendReply) -> None:
        """Send a response from its start, including the parts that arrive meanwhile."""
        sent = 0
        while sent < len(parts):
            await reply(parts[sent])
            sent += 1

    async def _send(self, message: OwnerMessage) -> None:
        """Keep a part of a response, and send it to the entry proxy if one is waiting."""
        self._attempts.store_part(message.attempt, message)
        reply = self._replies.get(message.attempt)
        if reply is not None:
            await reply(message)

    def _end_refused(self, attempt: AttemptId, refusal: Refusal) -> _DueRefusal:
        """End an attempt without a complete response, and return the refusal to send for it.

        Nothing is awaited, since another task may end it meanwhile, as when its caller leaves.
        """
        message = Refused(attempt=attempt, refusal=refusal, load=self.load)
        self._attempts.store_part(attempt, message)
        self._attempts.end(attempt, time.monotonic())
        return _DueRefusal(message, self._replies.pop(attempt, None))

    def _end_all_refused(
        self, attempts: Iterable[AttemptId], refusal: Refusal
    ) -> list[_DueRefusal]:
        """End attempts for the same reason."""
        return [self._end_refused(attempt, refusal) for attempt in attempts]

    def _end_queued(self, queued: list[Work]) -> list[_DueRefusal]:
        """End work that was taken out of the queue as not run."""
        refusal = Draining(service=self._service)
        return self._end_all_refused([work.attempt for work in queued], refusal)

    async def _refuse(self, attempt: AttemptId, refusal: Refusal) -> None:
        """End an attempt without a complete response, and send its refusal."""
        await self._send_refusal(self._end_refused(attempt, refusal))

    async def _send_refusals(self, refusals: Iterable[_DueRefusal]) -> None:
        """Send refusals concurrently, since a peer that is cut off may stall its reply."""
        await asyncio.gather(*(self._send_refusal(refusal) for refusal in refusals))

    async def _send_refusal(self, refusal: _DueRefusal) -> None:
        """Send a refusal to its entry proxy, if that still waits for one."""
        if refusal.reply is not None:
            await refusal.reply(refusal.message)
        self._attempt_ended.send()

    def _drain_admission(self) -> list[_DueRefusal]:
        """Stop the admission, and end all queued work as not run."""
        return [] if self._admission is None else self._end_queued(self._admission.drain())

    def _retire_slots(self) -> list[_DueRefusal]:
        """Start no more work at the current worker; its slots finish their running requests."""
        refused = self._drain_admission()
        self._wake_slots(self._work_available)
        return refused

    def _wake_slots(self, work_available: LifoSignal) -> None:
        """Let each slot look for work."""
        for _ in self._slots:
            work_available.send()

    async def _remove_worker(self) -> None:
        """Remove the worker from membership, and let its slots finish their running requests."""
        self._worker = None
        self.membership.set_worker(None, time.monotonic())
        self._gossip.notify_neighbours()
        await self._send_refusals(self._retire_slots())

    async def _stop_slots(self) -> None:
        """Cancel the tasks of the slots and the requests that they run.

        The cancelled attempts are refused as well: an entry proxy without a reply concludes that
        its attempt was never started.
        """
        self._draining = True
        await self._send_refusals(self._drain_admission())
        slots, self._slots = self._slots, []
        for slot in slots:
            slot.cancel()
        await asyncio.gather(*slots, return_exceptions=True)
        refusal = UpstreamLost(service=self._service, verdict=Verdict.MAY_HAVE_RUN)
        await self._send_refusals(self._end_all_refused(self._attempts.in_flight, refusal))

    async def _serve_slot(
        self,
        admission: Admission,
        worker: Worker,
        work_available: LifoSignal,
        previous_slots: tuple[asyncio.Task[None], ...],
    ) -> None:
        """Run one request after another at the worker, once the previous slots have ended."""
        if previous_slots:
            # A worker that announced new properties still runs the requests of its old slots.
            await asyncio.wait(previous_slots)
        connection = SlotConnection(
            worker=worker,
            header_names=self._header_names,
            report_state=partial(self._handle_state, admission, worker, work_available),
        )
        with closing(connection):
            while not admission.is_draining:
                work = admission.start_next(time.monotonic())
                self._wake_for_token(admission, work_available)
                if work is None:
                    await work_available.wait()
                    continue
                refusal = self._check_start(admission, work)
                if refusal is not None:
                    admission.finish(work, time.monotonic(), ran=False)
                    await self._refuse(work.attempt, refusal)
                    continue
                self._attempts.start(work.attempt)
                try:
                    await self._run(work, worker, connection)
                finally:
                    admission.finish(work, time.monotonic())
                    self._attempt_ended.send()
                    # Queued long work may have been held back by the limit of slots for it while
                    # another slot was idle; wake that slot now, since this work has ended.
                    work_available.send()

    def _wake_for_token(self, admission: Admission, work_available: LifoSignal) -> None:
        """Wake a slot once queued work may start, if that needs no other work to end."""
        delay = admission.start_delay(time.monotonic())
        if delay is None:
            return
        if self._token_timer is not None:
            self._token_timer.cancel()
        self._token_timer = asyncio.get_running_loop().call_later(delay, work_available.send)

    def _handle_state(
        self, admission: Admission, worker: Worker, work_available: LifoSignal, state: WorkerState
    ) -> None:
        """Keep to the rate that the worker says it takes, and deregister it if it is leaving."""
        if self._worker is None or self._worker.instance != worker.instance:
            return
        if admission.awaits_first_answer:
            admission.record_answer()
            self._wake_slots(work_available)
        self._update_rate_limit(admission, work_available, state)
        if state.is_leaving:
            self._announcements.record_leaving(worker.instance)
            self._fact_keeper.notify()
            # The answer isn't held up by the refusals of queued work.
            self._start_removal(worker)

    def _start_removal(self, worker: Worker) -> asyncio.Task[None]:
        """Deregister a worker that says it is leaving, in a task of its own."""
        task = asyncio.create_task(self._remove_leaving(worker))
        self._removals.add(task)
        task.add_done_callback(self._removals.discard)
        return task

    async def _remove_leaving(self, worker: Worker) -> None:
        """Deregister a worker that says it is leaving, unless another one has replaced it."""
        if self._worker is not None and self._worker.instance == worker.instance:
            await self.deregister_worker()

    def _update_rate_limit(
        self, admission: Admission, work_available: LifoSignal, state: WorkerState
    ) -> None:
        """Apply the rate limit of an answer, or lift it if the worker names none any more."""
        now = time.monotonic()
        current = admission.requests_per_s
        if state.requests_per_s is not None:
            self._limit_named_at = now
            admission.limit_rate(state.requests_per_s, now)
            if current is None:
                self._record_limit(admission, f"{state.requests_per_s:g}")
            self._keep_limit(state.requests_per_s)
        elif current is not None and state.asked_at > self._limit_named_at:
            # Answers to requests that were sent earlier may be older than the limit.
            admission.limit_rate(None, now)
            self._record_limit(admission, "none")
            self._keep_limit(0.0)
            self._wake_slots(work_available)

    def _keep_limit(self, requests_per_s: float) -> None:
        """Have the limit kept for whoever owns the worker after this process; 0 stands for none."""
        incarnation = self._incarnation
        if incarnation is not None:
            self._fact_keeper.note_limit(WorkerLimit(*incarnation, requests_per_s))

    def _record_limit(
        self, admission: Admission, requests_per_s: str, *, told: str = "this process"
    ) -> None:
        """Record that the worker names a rate limit, or none any more, and to whom."""
        service = admission.service
        self._events.record("limited", service=service, requests_per_s=requests_per_s, told=told)

    async def _run(self, work: Work, worker: Worker, connection: SlotConnection) -> None:
        """Run one request at the worker and send its response back."""
        self._running_requests[work.attempt] = self._request_id(work)
        try:
            refusal = await self._try_to_forward(work, worker, connection)
        finally:
            del self._running_requests[work.attempt]
        if refusal is not None:
            await self._refuse(work.attempt, refusal)
            await self._check_reachable(worker, refusal)
            return
        self._failed_connections = 0
        self._attempts.end(work.attempt, time.monotonic())
        self._replies.pop(work.attempt, None)
        self._attempt_ended.send()

    def _request_id(self, work: Work) -> str:
        """Return the request id of some work, or an empty string if it has none."""
        return work.request.header(self._header_names.request_id) or ""

    async def _check_reachable(self, worker: Worker, refusal: Refusal) -> None:
        """Deregister an unreachable worker, until it announces itself again."""
        match refusal:
            case UpstreamLost(verdict=Verdict.NOT_RUN):
                self._failed_connections += 1
            case _:
                self._failed_connections = 0
        if self._failed_connections >= MAX_FAILED_CONNECTIONS and worker == self._worker:
            self._failed_connections = 0
            self._events.record("worker-silent", service=worker.service, reason="no connection")
            await self._remove_worker()

    async def _try_to_forward(
        self, work: Work, worker: Worker, connection: SlotConnection
    ) -> Refusal | None:
        """Forward a request; return a refusal if its response isn't complete."""
        service = worker.service
        give_up_at = work.deadline if work.idempotent else work.deadline + self._left_to_end
        try:
            async with asyncio.timeout_at(give_up_at) as timeout:
                if work.idempotent:
                    self._timeouts[work.attempt] = timeout
                await self._forward(work, connection)
        except WorkerUnreachable:
            return UpstreamLost(service=service, verdict=Verdict.NOT_RUN)
        except NotRun:
            return Rejected(service=service, retry_after=REJECTED_RETRY_AFTER)
        except TimeoutError:
            connection.close()
            if work.attempt in self._aborted:
                return AnswerLost(service=service, verdict=Verdict.MAY_HAVE_RUN)
            return DeadlinePassed(service=service, verdict=Verdict.MAY_HAVE_RUN)
        except (AnswerBroken, OSError, ValueError) as error:
            # A peer's offer may hold a request that can't be sent; this must not end the slot's
            # task.
            connection.close()
            self._events.record(
                "lost", request=self._request_id(work), service=service, reason=repr(error)
            )
            return UpstreamLost(service=service, verdict=Verdict.MAY_HAVE_RUN)
        finally:
            self._timeouts.pop(work.attempt, None)
            self._aborted.discard(work.attempt)
        return None

    async def _forward(self, work: Work, connection: SlotConnection) -> None:
        """Send a request to the worker and pass its response on in chunks."""
        request = work.request
        remaining_ms = max(0, round((work.deadline - time.monotonic()) * 1000))
        response = await connection.send_request(request, remaining_ms)
        body, more = await _read_chunk(response)
        await self._send(
            Answer(
                attempt=work.attempt,
                status=response.status,
                headers=response_headers(request.method, response),
                body=body,
                more=more,
                load=self.load,
            )
        )
        unwanted_bytes = 0
        while more:
            body, more = await _read_chunk(response)
            await self._send(Chunk(attempt=work.attempt, body=body, more=more))
            unwanted_bytes = 0 if work.attempt in self._replies else unwanted_bytes + len(body)
            if unwanted_bytes > MAX_UNWANTED_BYTES:
                raise AnswerBroken(f"nobody received {MAX_UNWANTED_BYTES} bytes of the answer")
        connection.keep_alive(response)


async def _read_chunk(response: ResponseHead) -> tuple[bytes, bool]:
    """Return at least CHUNK_BYTES of a body, or its rest, and whether more follows."""
    chunk = bytearray(await response.body.readany())
    while len(chunk) < CHUNK_BYTES and not response.body.at_eof():
        # Without this, a body in small HTTP chunks would let no other task run.
        await asyncio.sleep(0)
        chunk += await response.body.readany()
    return bytes(chunk), not response.body.at_eof()
