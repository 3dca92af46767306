"""The owner of an upstream: one task for each slot, each with one connection to the worker."""

from __future__ import annotations

import asyncio
import time
from contextlib import closing

from cowslipvane.admission import Admission, Work, request_kind
from cowslipvane.call import (
    DEFAULT_HEADER_NAMES,
    Answer,
    AttemptId,
    Attempts,
    Cancel,
    Chunk,
    Ended,
    Fence,
    Forgotten,
    HeaderNames,
    NeverStarted,
    Offer,
    OwnerMessage,
    Refused,
    Running,
    SendReply,
)
from cowslipvane.events import EventLog
from cowslipvane.membership import Announcement, Announcements, Worker
from cowslipvane.refusal import (
    AnswerLost,
    CallerGone,
    DeadlinePassed,
    Draining,
    NoUpstream,
    Refusal,
    Rejected,
    UpstreamLost,
    Withdrawn,
)
from cowslipvane.routing import Load
from cowslipvane.subscription import Subscription
from cowslipvane.tasks._gossip import Gossip
from cowslipvane.tasks._signal import LifoSignal, Signal
from cowslipvane.tasks._worker_connection import AnswerBroken, AnswerHead, WorkerUnreachable
from cowslipvane.tasks._worker_http import NotRun, WorkerLane, answer_headers
from cowslipvane.types import Seconds, ServiceName, Verdict

CHUNK_BYTES = 64 << 10
# Work that isn't idempotent is left to end for this long after its deadline, by default.
LEFT_TO_END: Seconds = 30.0
# When to try again after a worker rejected a request, if there is no other worker.
REJECTED_RETRY: Seconds = 0.1
# How often an owner looks whether the operator took its upstream out.
OUT_CHECK: Seconds = 0.25
# So many connections that fail in a row take a worker out.
UNREACHABLE_IN_A_ROW = 3
_NO_LOAD = Load(0, 0, 0)
_NO_SERVICE = ServiceName("")


class Owner:
    """Guards the worker on this host: nothing reaches it but through here."""

    def __init__(
        self,
        *,
        gossip: Gossip,
        subscription: Subscription,
        events: EventLog,
        worker_lease: Seconds,
        header_names: HeaderNames = DEFAULT_HEADER_NAMES,
        left_to_end: Seconds = LEFT_TO_END,
    ) -> None:
        self._left_to_end = left_to_end
        self._names = header_names
        self._announcements = Announcements()
        self._members = gossip
        self._subscription = subscription
        self._events = events
        self._worker_lease = worker_lease
        self._worker: Worker | None = None
        self._renewed_at = 0.0
        self._admission: Admission | None = None
        self._slots: list[asyncio.Task[None]] = []
        self._work = LifoSignal()
        self._ended = Signal()
        self._attempts = Attempts(incarnation=gossip.membership.own.incarnation)
        self._replies: dict[AttemptId, SendReply] = {}
        self._timeouts: dict[AttemptId, asyncio.Timeout] = {}
        # The ids of the requests that the worker runs.
        self._running: set[str] = set()
        self._draining = False
        self._unreachable = 0

    @property
    def load(self) -> Load:
        """Return the load of the upstream."""
        return self._admission.load if self._admission else _NO_LOAD

    @property
    def in_flight(self) -> tuple[AttemptId, ...]:
        """Return the attempts that wait or run."""
        return self._attempts.in_flight

    async def wait_idle(self) -> None:
        """Return once nothing waits and nothing runs."""
        while self._attempts.in_flight:
            await self._ended.wait()

    async def register_worker(self, worker: Worker) -> None:
        """Take the worker's announcement, or its renewal."""
        self._renewed_at = time.monotonic()
        if worker == self._worker or self._draining:
            return
        await self._retire()
        before = tuple(self._slots)
        if self._worker is not None and worker.instance != self._worker.instance:
            # The life before has ended, so its slots say nothing of the new one's.
            before = ()
        self._worker = worker
        self._admission = Admission(service=worker.service, slots=worker.slots)
        self._work = LifoSignal()
        lanes = [
            self._serve_slot(self._admission, worker, self._work, before)
            for _ in range(worker.slots)
        ]
        self._slots = [slot for slot in self._slots if not slot.done()]
        self._slots += [asyncio.create_task(lane) for lane in lanes]
        self._events.record("worker", service=worker.service, address=str(worker.address))
        self._members.membership.set_worker(worker, time.monotonic())
        self._members.notify_neighbours()

    async def handle_announcement(self, announcement: Announcement) -> None:
        """Act on an announcement, unless a newer one was heard before."""
        if not self._announcements.record(announcement):
            return
        match self._announcements.newest:
            case Announcement(state="ready", worker=worker):
                await self.register_worker(worker)
            case _:
                await self.deregister_worker()

    async def handle_departure(self, instance: str) -> None:
        """Take an instance out that says it is gone, unless another one came since."""
        if self._announcements.record_departure(instance, time.time_ns() // 1_000_000):
            await self.deregister_worker()

    async def deregister_worker(self) -> None:
        """Take the worker out because it says that it is leaving."""
        if self._worker is not None:
            self._events.record("worker-leaving", service=self._worker.service)
            await self._remove_worker()

    async def run(self) -> None:
        """Take the worker out when it stops announcing itself."""
        try:
            while True:
                await asyncio.sleep(min(OUT_CHECK, self._worker_lease / 4))
                if self._is_out and self._admission is not None:
                    await self._refuse_all(self._admission.clear_queue())
                if self._worker and time.monotonic() > self._renewed_at + self._worker_lease:
                    self._events.record("worker-silent", service=self._worker.service)
                    await self._remove_worker()
        finally:
            await self._stop_slots()

    async def offer(self, offer: Offer, reply: SendReply) -> None:
        """Admit an attempt, or refuse it at once."""
        if not self._attempts.admit(offer.attempt):
            withdrawn = Withdrawn(service=offer.service)
            await reply(Refused(attempt=offer.attempt, refusal=withdrawn, load=self.load))
            return
        self._replies[offer.attempt] = reply
        refusal = self._admit(offer)
        if refusal is not None:
            await self._refuse(offer.attempt, refusal)

    async def fence(self, fence: Fence, reply: SendReply) -> None:
        """Say what became of an attempt; one that has not started never will."""
        attempt = fence.attempt
        match self._attempts.fence(attempt, fence.incarnation, time.monotonic()):
            case Running(parts=list(parts)):
                # Parts that arrive meanwhile are only kept, so that all go out in order.
                self._replies.pop(attempt, None)
                await self._replay(parts, reply)
                match self._attempts.fence(attempt, fence.incarnation, time.monotonic()):
                    case Running(parts=still) if still is parts:
                        self._replies[attempt] = reply
                    case Ended(parts=still) if still is parts:
                        return
                    case _:
                        await self._tell_lost(attempt, reply)
            case Running():
                await self._tell_lost(attempt, reply)
            case ended:
                await self._tell_end(attempt, ended, reply)

    async def cancel(self, cancel: Cancel, reply: SendReply) -> None:
        """Give an attempt up, whether it waits or runs, and say whether it ran."""
        attempt = cancel.attempt
        match self._attempts.fence(attempt, cancel.incarnation, time.monotonic()):
            case Running():
                self._replies.pop(attempt, None)
                self._cut(attempt)
                refusal = CallerGone(verdict=Verdict.MAY_HAVE_RUN)
                await reply(Refused(attempt=attempt, refusal=refusal, load=self.load))
            case ended:
                await self._tell_end(attempt, ended, reply)

    def abandon(self, attempt: AttemptId, reply: SendReply) -> None:
        """Give an attempt up whose entry has vanished, unless it asked again over another way."""
        if self._replies.get(attempt) is not reply:
            return
        self._replies.pop(attempt)
        incarnation = self._members.membership.own.incarnation
        match self._attempts.fence(attempt, incarnation, time.monotonic()):
            case Running():
                self._cut(attempt)
            case NeverStarted() if self._admission:
                self._admission.withdraw(attempt)

    async def drain(self) -> None:
        """Start nothing from now on; send what waits back as not run."""
        self._draining = True
        self._members.membership.leave("leaving", time.monotonic())
        self._members.notify_neighbours()
        self._events.record("leaving")
        await self._refuse_waiting()

    def is_running(self, request_id: str) -> bool:
        """Return whether the worker here runs a request."""
        return request_id in self._running

    @property
    def _is_out(self) -> bool:
        """Return whether the operator took the upstream out."""
        table = self._subscription.table
        return table is not None and table.is_out(self._members.membership.own.host)

    @property
    def _service(self) -> ServiceName:
        """Return the service of the upstream, or no name when there is none."""
        return self._admission.service if self._admission else _NO_SERVICE

    def _admit(self, offer: Offer) -> Refusal | None:
        """Queue an attempt, or return why not."""
        if self._admission is None or self._admission.service != offer.service:
            return NoUpstream(service=offer.service)
        if self._is_out:
            return Draining(service=offer.service)
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
        )
        refusal = self._admission.offer(work, now)
        if refusal is None:
            self._work.send()
        return refusal

    def _cut(self, attempt: AttemptId) -> None:
        """Close the connection of an attempt at the worker, if it may be cut."""
        timeout = self._timeouts.get(attempt)
        if timeout is not None and timeout.when() is not None and not timeout.expired():
            timeout.reschedule(asyncio.get_running_loop().time())

    async def _tell_lost(self, attempt: AttemptId, reply: SendReply) -> None:
        """Answer for an attempt whose answer grew too large to be sent again."""
        refusal = AnswerLost(service=self._service, verdict=Verdict.MAY_HAVE_RUN)
        await reply(Refused(attempt=attempt, refusal=refusal, load=self.load))

    async def _tell_end(
        self, attempt: AttemptId, end: NeverStarted | Ended | Forgotten, reply: SendReply
    ) -> None:
        """Answer for an attempt that doesn't run."""
        match end:
            case NeverStarted():
                self._replies.pop(attempt, None)
                if self._admission is not None:
                    self._admission.withdraw(attempt)
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
        """Send an answer from its start, with the parts that arrive meanwhile."""
        sent = 0
        while sent < len(parts):
            await reply(parts[sent])
            sent += 1

    async def _send(self, message: OwnerMessage) -> None:
        """Keep a part of an answer, and send it to whoever waits for it."""
        self._attempts.store_part(message.attempt, message)
        reply = self._replies.get(message.attempt)
        if reply is not None:
            await reply(message)

    async def _refuse(self, attempt: AttemptId, refusal: Refusal) -> None:
        """End an attempt without a whole answer."""
        message = Refused(attempt=attempt, refusal=refusal, load=self.load)
        self._attempts.store_part(attempt, message)
        self._attempts.end(attempt, time.monotonic())
        reply = self._replies.pop(attempt, None)
        if reply is not None:
            await reply(message)
        self._ended.send()

    async def _refuse_waiting(self) -> None:
        """Send everything that waits back as not run."""
        if self._admission is None:
            return
        await self._refuse_all(self._admission.drain())

    async def _refuse_all(self, waiting: list[Work]) -> None:
        """Send work that waited back as not run, because the upstream is leaving."""
        refusal = Draining(service=self._service)
        for work in waiting:
            await self._refuse(work.attempt, refusal)

    async def _retire(self) -> None:
        """Start nothing more at the worker known so far; its slots end what they run."""
        await self._refuse_waiting()
        for _ in self._slots:
            self._work.send()

    async def _remove_worker(self) -> None:
        """Forget the worker and let its slots end what they run."""
        self._worker = None
        self._members.membership.set_worker(None, time.monotonic())
        self._members.notify_neighbours()
        await self._retire()

    async def _stop_slots(self) -> None:
        """End the tasks of the slots, and cut what they run.

        What is cut is answered too: whoever gets no answer knows that nothing was started.
        """
        self._draining = True
        await self._refuse_waiting()
        slots, self._slots = self._slots, []
        for slot in slots:
            slot.cancel()
        await asyncio.gather(*slots, return_exceptions=True)
        refusal = UpstreamLost(service=self._service, verdict=Verdict.MAY_HAVE_RUN)
        for attempt in self._attempts.in_flight:
            await self._refuse(attempt, refusal)

    async def _serve_slot(
        self,
        admission: Admission,
        worker: Worker,
        turnstile: LifoSignal,
        before: tuple[asyncio.Task[None], ...],
    ) -> None:
        """Run one request after another at the worker, once the slots before have ended."""
        if before:
            # The worker that announced other traits still runs what it was given.
            await asyncio.wait(before)
        with closing(WorkerLane(worker=worker, names=self._names)) as lane:
            while not admission.is_draining:
                work = admission.start_next(time.monotonic())
                if work is None:
                    await turnstile.wait()
                    continue
                refusal = admission.check_deadline(work, time.monotonic())
                if refusal is not None:
                    admission.finish(work, time.monotonic(), ran=False)
                    await self._refuse(work.attempt, refusal)
                    continue
                self._attempts.start(work.attempt)
                try:
                    await self._run(work, worker, lane)
                finally:
                    admission.finish(work, time.monotonic())
                    self._ended.send()
                    # Long work may wait for this slot, though an idle one has nothing to start.
                    turnstile.send()

    async def _run(self, work: Work, worker: Worker, lane: WorkerLane) -> None:
        """Run one request at the worker and send its answer back."""
        request_id = self._request_id(work)
        self._running.add(request_id)
        try:
            refusal = await self._try_to_forward(work, worker, lane)
        finally:
            self._running.discard(request_id)
        if refusal is not None:
            await self._refuse(work.attempt, refusal)
            await self._judge(worker, refusal)
            return
        self._unreachable = 0
        self._attempts.end(work.attempt, time.monotonic())
        self._replies.pop(work.attempt, None)
        self._ended.send()

    def _request_id(self, work: Work) -> str:
        """Return the id of the request of some work, nothing if it has none."""
        return work.request.header(self._names.request_id) or ""

    async def _judge(self, worker: Worker, refusal: Refusal) -> None:
        """Take a worker out that can't be connected to, until it announces itself again."""
        match refusal:
            case UpstreamLost(verdict=Verdict.NOT_RUN):
                self._unreachable += 1
            case _:
                self._unreachable = 0
        if self._unreachable >= UNREACHABLE_IN_A_ROW and worker == self._worker:
            self._unreachable = 0
            self._events.record("worker-silent", service=worker.service, reason="no connection")
            await self._remove_worker()

    async def _try_to_forward(self, work: Work, worker: Worker, lane: WorkerLane) -> Refusal | None:
        """Forward a request; return why its answer isn't whole, if it isn't."""
        service = worker.service
        give_up = work.deadline if work.idempotent else work.deadline + self._left_to_end
        try:
            async with asyncio.timeout_at(give_up) as timeout:
                if work.idempotent:
                    self._timeouts[work.attempt] = timeout
                await self._forward(work, lane)
        except WorkerUnreachable:
            return UpstreamLost(service=service, verdict=Verdict.NOT_RUN)
        except NotRun:
            return Rejected(service=service, retry_after=REJECTED_RETRY)
        except TimeoutError:
            lane.close()
            return DeadlinePassed(service=service, verdict=Verdict.MAY_HAVE_RUN)
        except (AnswerBroken, OSError, ValueError) as error:
            # A peer's offer may hold what can't be sent; the slot must go on.
            lane.close()
            self._events.record(
                "lost", request=self._request_id(work), service=service, reason=repr(error)
            )
            return UpstreamLost(service=service, verdict=Verdict.MAY_HAVE_RUN)
        finally:
            self._timeouts.pop(work.attempt, None)
        return None

    async def _forward(self, work: Work, lane: WorkerLane) -> None:
        """Send a request to the worker and pass its answer on in chunks."""
        request = work.request
        left_ms = max(0, round((work.deadline - time.monotonic()) * 1000))
        answer = await lane.ask(request, left_ms)
        body, more = await _next_part(answer)
        await self._send(
            Answer(
                attempt=work.attempt,
                status=answer.status,
                headers=answer_headers(request.method, answer),
                body=body,
                more=more,
                load=self.load,
            )
        )
        while more:
            body, more = await _next_part(answer)
            await self._send(Chunk(attempt=work.attempt, body=body, more=more))
        lane.keep(answer)


async def _next_part(answer: AnswerHead) -> tuple[bytes, bool]:
    """Return the next part of a body, small ones whole, and whether more follow."""
    part = bytearray()
    while len(part) < CHUNK_BYTES and not answer.body.at_eof():
        part += await answer.body.readany()
    return bytes(part), not answer.body.at_eof()
