"""The slots of the worker: one task for each, with a connection of its own."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from contextlib import closing
from functools import partial

from cowslipvane.admission import Admission, Work
from cowslipvane.call import Attempts, HeaderNames
from cowslipvane.membership import Worker
from cowslipvane.refusal import Refusal, UpstreamLost
from cowslipvane.tasks._signal import LifoSignal
from cowslipvane.tasks.upstreams._replies import Replies
from cowslipvane.tasks.upstreams._runner import Runner
from cowslipvane.tasks.upstreams._worker_http import SlotConnection, WorkerState
from cowslipvane.types import Verdict

# Consecutive failures to connect after which a worker counts as unreachable.
MAX_FAILED_CONNECTIONS = 3

CheckStart = Callable[[Admission, Work], Refusal | None]
HandleState = Callable[[Admission, Worker, WorkerState], None]
HandleUnreachable = Callable[[Worker], Awaitable[None]]


class Slots:
    """Runs the slots of one worker after another.

    check_start returns why work can't be started any more; handle_state gets what the worker says
    of itself in each answer, handle_unreachable a worker that takes no connections.
    """

    def __init__(
        self,
        *,
        attempts: Attempts,
        replies: Replies,
        runner: Runner,
        header_names: HeaderNames,
        check_start: CheckStart,
        handle_state: HandleState,
        handle_unreachable: HandleUnreachable,
    ) -> None:
        self._attempts = attempts
        self._replies = replies
        self._runner = runner
        self._header_names = header_names
        self._check_start = check_start
        self._handle_state = handle_state
        self._handle_unreachable = handle_unreachable
        self._tasks: list[asyncio.Task[None]] = []
        self._work_available = LifoSignal()
        self._token_timer: asyncio.TimerHandle | None = None
        self._failed_connections = 0

    def begin(self, admission: Admission, worker: Worker, *, waits_for_previous: bool) -> None:
        """Start the slots of a worker; those before it finish their running requests.

        waits_for_previous tells that the worker itself still runs these requests.
        """
        previous = tuple(self._tasks) if waits_for_previous else ()
        self._work_available = LifoSignal()
        slots = [
            self._serve(admission, worker, self._work_available, previous)
            for _ in range(worker.slots)
        ]
        self._tasks = [task for task in self._tasks if not task.done()]
        self._tasks += [asyncio.create_task(slot) for slot in slots]

    def wake_one(self) -> None:
        """Let an idle slot look for work."""
        self._work_available.send()

    def wake_all(self) -> None:
        """Let each slot look for work."""
        for _ in self._tasks:
            self._work_available.send()

    def forget_failures(self) -> None:
        """Count failures to connect from now on."""
        self._failed_connections = 0

    async def cancel(self) -> None:
        """Cancel the slots and the requests that they run."""
        tasks, self._tasks = self._tasks, []
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _serve(
        self,
        admission: Admission,
        worker: Worker,
        work_available: LifoSignal,
        previous: tuple[asyncio.Task[None], ...],
    ) -> None:
        """Run one request after another at the worker, once the previous slots have ended."""
        if previous:
            # A worker that announced new properties still runs the requests of its old slots.
            await asyncio.wait(previous)
        connection = SlotConnection(
            worker=worker,
            header_names=self._header_names,
            report_state=partial(self._handle_state, admission, worker),
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
                    await self._replies.refuse(work.attempt, refusal)
                    continue
                self._attempts.start(work.attempt)
                try:
                    await self._run(work, worker, connection)
                finally:
                    admission.finish(work, time.monotonic())
                    self._replies.attempt_ended.send()
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

    async def _run(self, work: Work, worker: Worker, connection: SlotConnection) -> None:
        """Run one request at the worker and send its response back."""
        refusal = await self._runner.run(work, worker, connection)
        if refusal is not None:
            await self._replies.refuse(work.attempt, refusal)
            await self._check_reachable(worker, refusal)
            return
        self._failed_connections = 0
        self._replies.end(work.attempt)

    async def _check_reachable(self, worker: Worker, refusal: Refusal) -> None:
        """Report a worker that has taken no connection several times in a row."""
        match refusal:
            case UpstreamLost(verdict=Verdict.NOT_RUN):
                self._failed_connections += 1
            case _:
                self._failed_connections = 0
        if self._failed_connections >= MAX_FAILED_CONNECTIONS:
            await self._handle_unreachable(worker)
