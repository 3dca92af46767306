"""The owner of the local worker: one task for each slot, each with one connection to the worker."""

from __future__ import annotations

import asyncio
import time

from cowslipvane.admission import Admission, FirstAnswer, Work
from cowslipvane.call import (
    DEFAULT_HEADER_NAMES,
    AttemptId,
    Attempts,
    BodyAccount,
    Cancel,
    Ended,
    Fence,
    FenceOutcome,
    Forgotten,
    HeaderNames,
    HeldBodies,
    NeverStarted,
    Offer,
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
)
from cowslipvane.refusal import (
    AnswerLost,
    CallerGone,
    Draining,
    NoUpstream,
    Refusal,
    UpstreamLost,
    Withdrawn,
)
from cowslipvane.rollout import WorkerAnswers
from cowslipvane.routing import Load
from cowslipvane.subscription import Subscription
from cowslipvane.tasks.distribution import FactKeeper
from cowslipvane.tasks.peers import Gossip
from cowslipvane.tasks.upstreams._registration import NO_SERVICE, Registration
from cowslipvane.tasks.upstreams._replies import DueRefusal, Replies
from cowslipvane.tasks.upstreams._route_check import outdated_route
from cowslipvane.tasks.upstreams._runner import DEFAULT_LEFT_TO_END, Runner, RunningRequest
from cowslipvane.tasks.upstreams._slots import Slots
from cowslipvane.tasks.upstreams._worker_answers import WorkerAnswerLog
from cowslipvane.tasks.upstreams._worker_http import WorkerState
from cowslipvane.tasks.upstreams._worker_limit import WorkerLimits
from cowslipvane.types import Seconds, ServiceName, Verdict

# How often an owner checks whether the operator has taken its upstream out.
OUT_CHECK_INTERVAL: Seconds = 0.25
_NO_LOAD = Load(0, 0, 0)
_WITHDRAWN = "its entry proxy withdrew it"
_ENTRY_LOST = "the connection to its entry proxy was lost"


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
        bodies: BodyAccount | None = None,
    ) -> None:
        """Without an account of bodies, the owner has one of its own."""
        self._announcements = announcements
        self._fact_keeper = fact_keeper
        self._gossip = gossip
        self._subscription = subscription
        self._events = events
        self._worker_lease = worker_lease
        self._worker: Worker | None = None
        self._lease_renewed_at = 0.0
        self._admission: Admission | None = None
        self._attempts = Attempts(incarnation=gossip.membership.own.incarnation)
        self._held_bodies = HeldBodies(account=bodies or BodyAccount())
        self._replies = Replies(
            attempts=self._attempts, held_bodies=self._held_bodies, get_load=self._get_load
        )
        own = gossip.membership.own
        self._answers = WorkerAnswerLog(
            host=own.host, incarnation=own.incarnation, subscription=subscription
        )
        self._runner = Runner(
            replies=self._replies,
            events=events,
            header_names=header_names,
            left_to_end=left_to_end,
            get_load=self._get_load,
            record_answer=self._answers.record,
        )
        self._limits = WorkerLimits(
            fact_keeper=fact_keeper, events=events, incarnation=self._incarnation
        )
        self._slots = Slots(
            attempts=self._attempts,
            replies=self._replies,
            runner=self._runner,
            header_names=header_names,
            check_start=self._check_start,
            handle_state=self._handle_state,
            handle_unreachable=self._remove_unreachable,
        )
        self._registration = Registration(
            announcements=announcements,
            fact_keeper=fact_keeper,
            subscription=subscription,
            events=events,
            service=service,
            register=self.register_worker,
            start_removal=self._start_current_removal,
        )
        self._draining = False
        self._removals: set[asyncio.Task[None]] = set()

    @property
    def load(self) -> Load:
        """Return the load of the upstream."""
        return self._get_load()

    @property
    def membership(self) -> Membership:
        """Return the membership in which the worker is published."""
        return self._gossip.membership

    @property
    def announcements(self) -> Announcements:
        """Return what the worker has announced."""
        return self._announcements

    @property
    def answers(self) -> WorkerAnswers | None:
        """Return the counts of the worker's answers while a rollout of its service runs."""
        return self._answers.report(self.load)

    @property
    def held_bodies(self) -> HeldBodies:
        """Return the bodies that are held for other proxies."""
        return self._held_bodies

    @property
    def in_flight(self) -> tuple[AttemptId, ...]:
        """Return the attempts that are queued or running."""
        return self._attempts.in_flight

    async def wait_idle(self) -> None:
        """Return once no attempt is queued or running."""
        while self._attempts.in_flight:
            await self._replies.attempt_ended.wait()

    async def register_worker(self, worker: Worker) -> None:
        """Register the worker, or renew its lease if it is registered already."""
        self._lease_renewed_at = time.monotonic()
        if worker == self._worker or self._draining:
            return
        # No other task runs until the new slots are in place; the refusals are sent after that.
        refused = self._retire_slots()
        # If the previous instance has ended, the new one needn't wait for its slots.
        is_same = self._worker is None or worker.instance == self._worker.instance
        self._worker = worker
        self._admission = Admission(
            service=worker.service, slots=worker.slots, first_answer=FirstAnswer()
        )
        self._limits.expect_kept(self._admission)
        self._answers.begin(worker)
        self._slots.begin(self._admission, worker, waits_for_previous=is_same)
        self._events.record("worker", service=worker.service, address=str(worker.address))
        self.membership.set_worker(worker, time.monotonic())
        self._gossip.notify_neighbours()
        await self._replies.send_refusals(refused)

    async def handle_announcement(self, announcement: Announcement) -> bool:
        """Handle an announcement of a worker, unless it is late or another worker is current.

        Return whether it may be acknowledged: that a worker leaves, once it would outlive this
        process. Raise ValueError if it names no worker to use.
        """
        self._answers.expect_cold(announcement.cold_for)
        return await self._registration.handle_announcement(announcement)

    async def handle_departure(self, instance: str, started_at: int | None) -> bool:
        """Deregister an instance that reports its end, unless another announced itself since.

        Return whether it may be acknowledged, as for an announcement. started_at is None if the
        departure doesn't tell it; raise ValueError if it names no instance.
        """
        return await self._registration.handle_departure(instance, started_at)

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
                if self._admission is not None:
                    self._limits.expect_kept(self._admission)
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

    def _incarnation(self) -> Departure | None:
        """Return what its departure will name of the worker, None if it isn't known."""
        newest = self._announcements.newest
        if newest is None or newest.worker != self._worker:
            return None
        return newest.departure

    async def _refuse_if_out(self) -> None:
        """Refuse all queued work if the operator has taken the upstream out."""
        if self._is_out and self._admission is not None:
            await self._replies.send_refusals(self._end_queued(self._admission.clear_queue()))

    def _extend_lease(self, stall: Seconds) -> None:
        """Don't count the time in which this process didn't run and read no announcement."""
        self._lease_renewed_at = min(self._lease_renewed_at + stall, time.monotonic())

    async def offer(self, offer: Offer, reply: SendReply) -> None:
        """Queue an attempt, or refuse it at once."""
        if not self._attempts.admit(offer.attempt):
            self._held_bodies.release(offer.attempt)
            withdrawn = Withdrawn(service=offer.service)
            await self._replies.reply_refused(offer.attempt, withdrawn, reply)
            return
        self._replies.expect(offer.attempt, reply)
        refusal = self._admit(offer)
        if refusal is not None:
            await self._replies.refuse(offer.attempt, refusal)

    async def fence(self, fence: Fence, reply: SendReply) -> None:
        """Reply with the outcome of an attempt, and bar it from starting if it hasn't started."""
        attempt = fence.attempt
        match self._fence(attempt, fence.incarnation):
            case Running(parts=list(parts)):
                # Without a reply function, new parts are only kept, so that all are sent in order.
                self._replies.forget(attempt)
                await self._replies.replay(parts, reply)
                match self._fence(attempt, fence.incarnation):
                    case Running(parts=current) if current is parts:
                        self._replies.expect(attempt, reply)
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
                self._replies.forget(attempt)
                self._abort(attempt, _WITHDRAWN)
                refusal = CallerGone(verdict=Verdict.MAY_HAVE_RUN)
                await self._replies.reply_refused(attempt, refusal, reply)
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
        if self._replies.function_of(attempt) is not reply:
            return
        self._replies.forget(attempt)
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
        await self._replies.send_refusals(self._drain_admission())

    def running_request(self, request_id: str) -> RunningRequest | None:
        """Return a request that the local worker is running, None if it isn't."""
        return self._runner.running_request(request_id)

    def record_exit(self, reason: str) -> None:
        """Record each attempt in flight as one that the exit of the process cuts off."""
        for attempt in self.in_flight:
            request_id = self._runner.request_id_of(attempt)
            self._events.record("cut", request=request_id, entry=attempt.entry, reason=reason)

    def _get_load(self) -> Load:
        """Return the load of the upstream."""
        return self._admission.load if self._admission else _NO_LOAD

    @property
    def _is_out(self) -> bool:
        """Return whether the operator has taken the upstream out, or its version is barred."""
        table = self._subscription.table
        is_out = table is not None and table.is_out_of_service(self.membership.own.host)
        return is_out or self._answers.is_barred

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
        outdated = outdated_route(self._subscription.table, offer, offer.service)
        if outdated is not None:
            return outdated
        now = time.monotonic()
        refusal = self._admission.offer(Work.offered(offer, now), now)
        if refusal is None:
            self._slots.wake_one()
        return refusal

    def _check_start(self, admission: Admission, work: Work) -> Refusal | None:
        """Return the refusal of work that can't be started any more."""
        refusal = admission.check_deadline(work, time.monotonic())
        return refusal or outdated_route(self._subscription.table, work, admission.service)

    def _abort(self, attempt: AttemptId, reason: str) -> None:
        """Abort an attempt at the worker if it may be, and record that nobody waits for it."""
        aborts = self._runner.abort(attempt)
        state = "running, aborted" if aborts else "running, left to end"
        self._record_cancelled(attempt, self._runner.request_id_of(attempt), state, reason)

    def _withdraw(self, attempt: AttemptId, reason: str) -> None:
        """Remove an attempt from the queue, if it is queued."""
        self._held_bodies.release(attempt)
        work = None if self._admission is None else self._admission.withdraw(attempt)
        if work is not None:
            self._record_cancelled(attempt, self._runner.request_id(work), "queued", reason)

    def _record_cancelled(
        self, attempt: AttemptId, request_id: str, state: str, reason: str
    ) -> None:
        """Record an attempt whose response nobody waits for any more, and its state here."""
        self._events.record(
            "cancelled", request=request_id, entry=attempt.entry, state=state, reason=reason
        )

    async def _reply_lost(
        self, attempt: AttemptId, reply: SendReply, verdict: Verdict = Verdict.MAY_HAVE_RUN
    ) -> None:
        """Reply that the response of an attempt can't be sent again."""
        lost = AnswerLost(service=self._service, verdict=verdict)
        await self._replies.reply_refused(attempt, lost, reply)

    async def _reply_ended(
        self, attempt: AttemptId, end: NeverStarted | Ended | Forgotten, reply: SendReply
    ) -> None:
        """Reply for an attempt that isn't running."""
        match end:
            case NeverStarted():
                self._replies.forget(attempt)
                self._withdraw(attempt, _WITHDRAWN)
                withdrawn = Withdrawn(service=self._service)
                await self._replies.reply_refused(attempt, withdrawn, reply)
            case Ended(parts=list(parts)):
                await self._replies.replay(parts, reply)
            case Ended():
                await self._reply_lost(attempt, reply, Verdict.RAN)
            case Forgotten():
                await self._reply_lost(attempt, reply)

    def _end_queued(self, queued: list[Work]) -> list[DueRefusal]:
        """End work that was taken out of the queue as not run."""
        refusal = Draining(service=self._service)
        return self._replies.end_all_refused([work.attempt for work in queued], refusal)

    def _drain_admission(self) -> list[DueRefusal]:
        """Stop the admission, and end all queued work as not run."""
        return [] if self._admission is None else self._end_queued(self._admission.drain())

    def _retire_slots(self) -> list[DueRefusal]:
        """Start no more work at the current worker; its slots finish their running requests."""
        refused = self._drain_admission()
        self._slots.wake_all()
        return refused

    async def _remove_worker(self) -> None:
        """Remove the worker from membership, and let its slots finish their running requests."""
        self._worker = None
        self.membership.set_worker(None, time.monotonic())
        self._gossip.notify_neighbours()
        await self._replies.send_refusals(self._retire_slots())

    async def _stop_slots(self) -> None:
        """Cancel the tasks of the slots and the requests that they run.

        The cancelled attempts are refused as well: an entry proxy without a reply concludes that
        its attempt was never started.
        """
        self._draining = True
        await self._replies.send_refusals(self._drain_admission())
        await self._slots.cancel()
        refusal = UpstreamLost(service=self._service, verdict=Verdict.MAY_HAVE_RUN)
        await self._replies.send_refusals(
            self._replies.end_all_refused(self._attempts.in_flight, refusal)
        )

    def _handle_state(self, admission: Admission, worker: Worker, state: WorkerState) -> None:
        """Keep to the rate that the worker says it takes, and deregister it if it is leaving."""
        if self._worker is None or self._worker.instance != worker.instance:
            return
        if admission.awaits_first_answer:
            admission.record_answer()
            self._slots.wake_all()
        if self._limits.update(admission, state):
            self._slots.wake_all()
        if state.is_leaving:
            self._announcements.record_leaving(worker.instance)
            self._fact_keeper.notify()
            # The answer isn't held up by the refusals of queued work.
            self._start_removal(worker)

    def _start_current_removal(self) -> asyncio.Task[None] | None:
        """Deregister the current worker, if there is one, in a task of its own."""
        return None if self._worker is None else self._start_removal(self._worker)

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

    async def _remove_unreachable(self, worker: Worker) -> None:
        """Deregister an unreachable worker, until it announces itself again."""
        if worker == self._worker:
            self._slots.forget_failures()
            self._events.record("worker-silent", service=worker.service, reason="no connection")
            await self._remove_worker()
