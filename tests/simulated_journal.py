"""Time, and a model of the disk under a replica's journal, for simulations.

Nothing waits for real: a sync takes time of the scheduler.
"""

import asyncio
import heapq
import random
from collections.abc import Callable
from itertools import count
from typing import NamedTuple

from cowslipvane.replica import Ballot, Entry, LogSnapshot, Recovered, Voter
from cowslipvane.types import ReplicaId, Seconds

MIN_SYNC_TIME: Seconds = 0.005
MAX_SYNC_TIME: Seconds = 0.05
# Share of power losses after which what was written since the last sync is on disk.
WRITTEN_SHARE = 0.5


class Scheduler:
    """Clock and timers of a simulation, which runs callbacks in the order of their times."""

    def __init__(self) -> None:
        self.now: Seconds = 0.0
        self._queue: list[tuple[Seconds, int, Callable[[], None]]] = []
        self._serial = count()

    def after(self, delay: Seconds, callback: Callable[[], None]) -> None:
        """Schedule a callback."""
        heapq.heappush(self._queue, (self.now + delay, next(self._serial), callback))

    def run_until(self, end: Seconds) -> None:
        """Run what is due until a time."""
        while self._queue and self._queue[0][0] <= end:
            self.now, _, callback = heapq.heappop(self._queue)
            callback()
        self.now = end


class ProcessScheduler:
    """Timers of one process, in which nothing runs while it is frozen."""

    def __init__(self, *, scheduler: Scheduler) -> None:
        self._scheduler = scheduler
        self._is_frozen = False
        self._held: list[Callable[[], None]] = []

    @property
    def is_frozen(self) -> bool:
        """Return whether the process is frozen."""
        return self._is_frozen

    def after(self, delay: Seconds, callback: Callable[[], None]) -> None:
        """Schedule a callback."""
        self._scheduler.after(delay, lambda: self.run(callback))

    def run(self, callback: Callable[[], None]) -> None:
        """Run a callback, at the thaw if the process is frozen."""
        if self._is_frozen:
            self._held.append(callback)
        else:
            callback()

    def freeze(self) -> None:
        """Let nothing run until the thaw."""
        self._is_frozen = True

    def thaw(self) -> None:
        """Run what has become due meanwhile."""
        self._is_frozen = False
        held, self._held = self._held, []
        for callback in held:
            callback()


class Compaction(NamedTuple):
    """A snapshot, and what the journal holds after it."""

    snapshot: LogSnapshot
    ballot: Ballot
    entries: tuple[Entry, ...]


Record = Ballot | Entry | Compaction


class Disk:
    """A data folder: what is durable, and what only the page cache holds since the last sync."""

    def __init__(self, *, replica_id: ReplicaId, founders: tuple[Voter, ...]) -> None:
        self.replica_id = replica_id
        self.founders = founders
        self.durable: list[Record] = []
        self.cached: list[Record] = []

    def lose_power(self, rng: random.Random) -> None:
        """Keep what was written since the last sync whole, or drop it whole."""
        if rng.random() < WRITTEN_SHARE:
            self.sync()
        self.cached = []

    def end_process(self, rng: random.Random) -> None:
        """Do nothing: the page cache keeps what a killed process has written."""

    def write(self, records: list[Record]) -> None:
        """Write records, which the page cache holds until they are synced."""
        self.cached.extend(records)

    def close(self) -> None:
        """Do nothing: nothing is open."""

    def sync(self) -> None:
        """Make what was written durable."""
        for record in self.cached:
            if isinstance(record, Compaction):
                self.durable.clear()
            self.durable.append(record)
        self.cached = []

    def recover(self) -> Recovered:
        """Return the state on disk, as FileJournal does."""
        self.sync()
        ballot, snapshot = Ballot(0, None), None
        entries: list[Entry] = []
        for record in self.durable:
            match record:
                case Ballot():
                    ballot = record
                case Compaction():
                    snapshot, ballot = record.snapshot, record.ballot
                    entries = list(record.entries)
                case Entry():
                    entries = [entry for entry in entries if entry.position < record.position]
                    entries.append(record)
        return Recovered(ballot, tuple(entries), snapshot)


class SimulatedJournal:
    """Journal whose syncs take time, one after another."""

    def __init__(self, *, disk: Disk, scheduler: ProcessScheduler, rng: random.Random) -> None:
        self._disk = disk
        self._scheduler = scheduler
        self._rng = rng
        self._queued: list[Record] = []
        self._written: list[Record] = []
        self._is_writing = False
        self._waiting: list[Callable[[], None]] = []
        self._is_closed = False

    @property
    def is_writing(self) -> bool:
        """Return whether records are written and not synced yet."""
        return self._is_writing

    @property
    def is_writing_snapshot(self) -> bool:
        """Return whether a snapshot is written and not synced yet."""
        return self._is_writing and any(isinstance(each, Compaction) for each in self._written)

    def close(self) -> None:
        """Stop writing, as a killed process does."""
        if not self._is_closed:
            self._is_closed = True
            self._disk.end_process(self._rng)

    def record_ballot(self, ballot: Ballot) -> None:
        """Record a new ballot."""
        self._queued.append(ballot)

    def record_entries(self, entries: tuple[Entry, ...]) -> None:
        """Record entries."""
        self._queued.extend(entries)

    def record_snapshot(
        self, snapshot: LogSnapshot, ballot: Ballot, entries: tuple[Entry, ...]
    ) -> None:
        """Record a snapshot."""
        self._queued.append(Compaction(snapshot, ballot, entries))

    async def sync(self) -> None:
        """Fail: rules never sync, and the simulation's tasks call when_synced."""
        raise NotImplementedError

    async def wait_for_failure(self) -> None:
        """Fail: no write fails here, and no task waits for it."""
        raise NotImplementedError

    async def wait_until_full(self) -> None:
        """Wait for ever, since there is always room."""
        await asyncio.Event().wait()

    def when_synced(self, callback: Callable[[], None]) -> None:
        """Call back once everything that was recorded is durable."""
        if not self._queued and not self._is_writing:
            callback()
            return
        self._waiting.append(callback)
        if not self._is_writing:
            self._write()

    def _write(self) -> None:
        """Write what is queued, and sync it some time later."""
        self._is_writing = True
        self._disk.write(self._queued)
        self._written, self._queued = self._queued, []
        callbacks, self._waiting = self._waiting, []
        duration = self._rng.choice((MIN_SYNC_TIME, self._rng.uniform(0, MAX_SYNC_TIME)))
        self._scheduler.after(duration, lambda: self._complete(callbacks))

    def _complete(self, callbacks: list[Callable[[], None]]) -> None:
        """Complete a sync, unless the process has ended."""
        if self._is_closed:
            return
        self._disk.sync()
        self._is_writing = False
        if self._queued or self._waiting:
            self._write()
        for callback in callbacks:
            callback()
