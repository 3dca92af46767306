"""The owner of an upstream: one task for each slot, each with one connection to the worker."""

from __future__ import annotations

import asyncio
import time

import aiohttp
from yarl import URL

from cowslipvane.admission import Admission, Reply, Work
from cowslipvane.call import Answer, AttemptId, Chunk, Offer, Refused, end_to_end
from cowslipvane.events import EventLog
from cowslipvane.membership import Worker
from cowslipvane.refusal import DeadlinePassed, Draining, NoUpstream, Refusal, UpstreamLost
from cowslipvane.routing import Load
from cowslipvane.tasks._members import Members
from cowslipvane.tasks._signal import Signal, Turnstile
from cowslipvane.types import Seconds, Verdict

CHUNK_BYTES = 64 << 10
_NO_LOAD = Load(0, 0, 0)


class Owner:
    """Guards the worker on this host: nothing reaches it but through here."""

    def __init__(self, *, members: Members, events: EventLog, worker_lease: Seconds) -> None:
        self._members = members
        self._events = events
        self._worker_lease = worker_lease
        self._worker: Worker | None = None
        self._renewed_at = 0.0
        self._admission: Admission | None = None
        self._slots: list[asyncio.Task[None]] = []
        self._work = Turnstile()
        self._ended = Signal()
        self._timeouts: dict[AttemptId, asyncio.Timeout] = {}
        self._draining = False

    @property
    def load(self) -> Load:
        """Return the load of the upstream."""
        return self._admission.load if self._admission else _NO_LOAD

    async def wait_idle(self, timeout: Seconds) -> bool:
        """Return whether nothing waits and nothing runs within the timeout."""
        give_up = time.monotonic() + timeout
        while self._admission and not self._admission.idle and time.monotonic() < give_up:
            await self._ended.wait(give_up - time.monotonic())
        return self._admission is None or self._admission.idle

    async def announce(self, worker: Worker) -> None:
        """Take the worker's announcement, or its renewal."""
        self._renewed_at = time.monotonic()
        if worker == self._worker or self._draining:
            return
        await self._stop_slots()
        self._worker = worker
        self._admission = Admission(service=worker.service, slots=worker.slots)
        connector = aiohttp.TCPConnector(limit=worker.connections)
        session = aiohttp.ClientSession(
            f"http://{worker.address}",
            connector=connector,
            auto_decompress=False,
            # A jar would send one caller's cookies with another caller's request.
            cookie_jar=aiohttp.DummyCookieJar(),
            timeout=aiohttp.ClientTimeout(total=None),
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
        )
        lanes = [self._serve_slot(self._admission, session) for _ in range(worker.slots)]
        self._slots = [asyncio.create_task(lane) for lane in lanes]
        self._events.record("worker", service=worker.service, address=str(worker.address))
        self._members.membership.announce(worker, time.monotonic())
        self._members.spread()

    async def run(self) -> None:
        """Take the worker out when it stops announcing itself."""
        try:
            while True:
                await asyncio.sleep(self._worker_lease / 4)
                if self._worker and time.monotonic() > self._renewed_at + self._worker_lease:
                    self._events.record("worker-silent", service=self._worker.service)
                    await self._remove_worker()
        finally:
            await self._stop_slots()

    async def offer(self, offer: Offer, reply: Reply) -> None:
        """Admit an attempt, or refuse it at once."""
        refusal = self._admit(offer, reply)
        if refusal is not None:
            await reply(Refused(attempt=offer.attempt, refusal=refusal, load=self.load))

    def cancel(self, attempt: AttemptId) -> None:
        """Give an attempt up, whether it waits or runs."""
        if self._admission and self._admission.withdraw(attempt):
            return
        timeout = self._timeouts.get(attempt)
        if timeout is not None:
            timeout.reschedule(asyncio.get_running_loop().time())

    async def drain(self) -> None:
        """Start nothing from now on; send what waits back as not run."""
        self._draining = True
        self._members.membership.leave("leaving", time.monotonic())
        self._members.spread()
        self._events.record("leaving")
        await self._refuse_waiting()

    def _admit(self, offer: Offer, reply: Reply) -> Refusal | None:
        """Queue an attempt, or return why not."""
        if self._admission is None or self._admission.service != offer.service:
            return NoUpstream(service=offer.service)
        deadline = time.monotonic() + offer.timeout
        refusal = self._admission.offer(Work(offer.attempt, offer.request, deadline, reply))
        if refusal is None:
            self._work.send()
        return refusal

    async def _refuse_waiting(self) -> None:
        """Send everything that waits back as not run."""
        if self._admission is None:
            return
        refusal = Draining(service=self._admission.service)
        for work in self._admission.drain():
            await work.reply(Refused(attempt=work.attempt, refusal=refusal, load=self.load))

    async def _remove_worker(self) -> None:
        """Forget the worker and let its slots end what they run."""
        self._worker = None
        self._members.membership.announce(None, time.monotonic())
        self._members.spread()
        await self._refuse_waiting()

    async def _stop_slots(self) -> None:
        """End the tasks of the slots."""
        await self._refuse_waiting()
        slots, self._slots = self._slots, []
        for slot in slots:
            slot.cancel()
        await asyncio.gather(*slots, return_exceptions=True)

    async def _serve_slot(self, admission: Admission, session: aiohttp.ClientSession) -> None:
        """Run one request after another at the worker."""
        try:
            while True:
                work = admission.start_next()
                if work is None:
                    await self._work.wait()
                    continue
                try:
                    await self._run(work, admission, session)
                finally:
                    admission.finish(work)
                    self._ended.send()
        finally:
            await session.close()

    async def _run(self, work: Work, admission: Admission, session: aiohttp.ClientSession) -> None:
        """Run one request at the worker and send its answer back."""
        service = admission.service
        refusal = admission.overdue(work, time.monotonic())
        verdict = Verdict.NOT_RUN
        if refusal is None:
            try:
                async with asyncio.timeout_at(work.deadline) as timeout:
                    self._timeouts[work.attempt] = timeout
                    verdict = Verdict.MAY_HAVE_RUN
                    await self._forward(work, session)
            except TimeoutError:
                refusal = DeadlinePassed(service=service, verdict=verdict)
            except aiohttp.ClientConnectorError:
                refusal = UpstreamLost(service=service, verdict=Verdict.NOT_RUN)
            except (aiohttp.ClientError, OSError, ValueError):
                # A peer's offer may hold what the library won't send; the slot must go on.
                refusal = UpstreamLost(service=service, verdict=verdict)
            finally:
                self._timeouts.pop(work.attempt, None)
        if refusal is not None:
            await work.reply(Refused(attempt=work.attempt, refusal=refusal, load=self.load))

    async def _forward(self, work: Work, session: aiohttp.ClientSession) -> None:
        """Send a request to the worker and pass its answer on in chunks."""
        request = work.request
        url = URL(request.path, encoded=True)
        if url.absolute:
            raise ValueError("the target names another server")
        async with session.request(
            request.method,
            url,
            headers=list(request.headers),
            data=request.body or None,
            allow_redirects=False,
        ) as response:
            body = await response.content.readany()
            more = not response.content.at_eof()
            await work.reply(
                Answer(
                    attempt=work.attempt,
                    status=response.status,
                    headers=end_to_end(response.headers.items()),
                    body=body,
                    more=more,
                    load=self.load,
                )
            )
            while more:
                body = await response.content.read(CHUNK_BYTES)
                more = not response.content.at_eof()
                await work.reply(Chunk(attempt=work.attempt, body=body, more=more))
