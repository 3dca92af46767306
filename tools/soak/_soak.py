"""A randomized soak: real processes with traffic and changes, faults from a seed, and checks."""

from __future__ import annotations

import asyncio
import math
import os
import random
import signal
import tempfile
import time
from collections.abc import Sequence
from pathlib import Path
from typing import NamedTuple

from cowslipvane.types import Address, Seconds
from tools.relay import LinkCondition, Relay
from tools.soak import _faults as faults
from tools.soak._caller import Caller, Habit
from tools.soak._checks import RECOVERY, find_problems, majority_spans
from tools.soak._faults import KINDS, Cast, PlannedFault, plan_faults
from tools.soak._hosts import HIDDEN_PORT, LONG_WAIT, PEERS_PORT, Host, HostProcess, total_wait
from tools.soak._operator import Operator
from tools.soak._records import HARMED_LINK, Harm, History, Problem, Reading, Span
from tools.soak._worker import Worker

_REPLICA_COUNT = 4
_SEED_COUNT = 3
_DATA_CENTRES = ("north", "south", "east")
_SERVICES = ("alpha", "beta", "gamma")
_WORKER_SLOTS = 6
_HABITS = (Habit.KEPT, Habit.KEPT, Habit.PIPELINED, Habit.FRESH, Habit.LEAVING)
_WARM_UP: Seconds = 3.0
_CHANGE_INTERVAL: Seconds = 4.0
_COOL_DOWN: Seconds = 4.0
_FINAL_DOWN: Seconds = 0.5
_SUCCESSOR_DELAY: Seconds = 0.3
_SAMPLE_INTERVAL: Seconds = 0.25


class SoakOptions(NamedTuple):
    """Options of a soak."""

    seed: int
    duration: Seconds
    proxies: int = 6
    kinds: Sequence[str] = KINDS
    # The share of requests whose response the worker breaks off.
    broken_share: float = 0.01
    # Bytes that the own link of a replica carries in a second in each direction.
    replica_rate: float = math.inf


class Result(NamedTuple):
    """What a soak did and found."""

    folder: Path
    plan: list[PlannedFault]
    history: History
    problems: list[Problem]


class Soak:
    """Runs the processes, workers, callers and the operator of one soak."""

    def __init__(self, *, options: SoakOptions) -> None:
        self._options = options
        self._rng = random.Random(options.seed)
        self._folder = Path(tempfile.mkdtemp(prefix=f"cowslipvane-soak-{options.seed}-"))
        hosts = _hosts(options.proxies)
        self._replicas = [host for host in hosts if host.is_replica]
        self._proxies = [host for host in hosts if not host.is_replica]
        seeds = self._replicas[:_SEED_COUNT]
        self._processes = {
            host.name: HostProcess(host=host, folder=self._folder, seeds=seeds) for host in hosts
        }
        self._history = History(services={host.name: host.service for host in self._proxies})
        self._relay = Relay()
        self._workers: dict[str, Worker] = {}
        # Only one fault at a time acts on a worker.
        self._worker_locks = {host.name: asyncio.Lock() for host in self._proxies}
        self._operator = Operator(
            replicas=self._replicas,
            services=list(_SERVICES),
            rng=self._new_rng(),
            history=self._history,
        )

    async def run(self) -> Result:
        """Run the soak from the start to the final fault, and check its records."""
        cast = Cast([host.name for host in self._replicas], [host.name for host in self._proxies])
        options = self._options
        plan = plan_faults(self._new_rng(), cast, options.duration, list(options.kinds))
        condition = LinkCondition(bytes_per_s=options.replica_rate)
        try:
            with self._relay.condition(self._addresses(cast.replicas), condition):
                await self._play(plan)
        finally:
            await self._close()
        history = self._history
        for process in self._processes.values():
            history.lifetimes += process.lifetimes
        history.majority_spans = majority_spans(
            history.lifetimes, history.harms, _REPLICA_COUNT // 2 + 1
        )
        return Result(self._folder, plan, history, find_problems(history))

    async def _play(self, plan: list[PlannedFault]) -> None:
        """Run the processes with traffic, the planned faults and the final fault."""
        reading = asyncio.create_task(self._operator.keep_reading())
        await self._start()
        callers = [
            Caller(
                host=host,
                habit=habit,
                services=list(_SERVICES),
                rng=self._new_rng(),
                calls=self._history.calls,
            )
            for host in self._proxies
            for habit in _HABITS
        ]
        sampling = asyncio.create_task(self._keep_sampling())
        traffic = [asyncio.create_task(caller.run()) for caller in callers]
        await asyncio.sleep(_WARM_UP)
        await self._disturb(plan)
        reading.cancel()
        self._history.final_reading = await self._final_fault()
        await asyncio.sleep(_COOL_DOWN)
        for caller in callers:
            caller.stop()
        await asyncio.gather(*traffic)
        sampling.cancel()
        await asyncio.gather(*(process.stop() for process in self._processes.values()))

    async def _start(self) -> None:
        """Start all processes and workers, and send the first configuration."""
        for process in self._processes.values():
            process.write_settings(first_start=True)
            ip = process.host.ip
            await self._relay.listen(Address(ip, PEERS_PORT), Address(ip, HIDDEN_PORT))
        await asyncio.gather(*(process.start() for process in self._processes.values()))
        for host in self._proxies:
            await self._start_worker(host, f"{host.name}-i0")
        first = await self._operator.change()
        if first.status != 200:
            raise TimeoutError(f"the first configuration wasn't accepted: {first}")
        for process in self._processes.values():
            process.write_settings(first_start=False)

    async def _disturb(self, plan: list[PlannedFault]) -> None:
        """Apply the planned faults, while changes go on."""
        start = time.monotonic()
        changing = asyncio.create_task(self._keep_changing())
        running = []
        for planned in plan:
            await asyncio.sleep(start + planned.at - time.monotonic())
            running.append(asyncio.create_task(self._apply(planned.fault)))
        await asyncio.sleep(start + self._options.duration - time.monotonic())
        await asyncio.gather(*running)
        changing.cancel()
        await asyncio.gather(changing, return_exceptions=True)

    async def _keep_changing(self) -> None:
        """Send a change at each interval, sometimes two at once."""
        rng = self._new_rng()
        while True:
            changes = [self._operator.change() for _ in range(rng.choice((1, 1, 2)))]
            await asyncio.gather(*changes)
            await asyncio.sleep(rng.random() * _CHANGE_INTERVAL)

    async def _keep_sampling(self) -> None:
        """Record long waits for a processor; one of this process counts as one of each."""
        before = total_wait(os.getpid())
        while True:
            await asyncio.sleep(_SAMPLE_INTERVAL)
            waited = total_wait(os.getpid())
            for process in self._processes.values():
                process.sample_wait()
                if waited - before > LONG_WAIT:
                    process.record_wait(waited - before)
            before = waited

    async def _apply(self, fault: faults.Fault) -> None:
        """Apply one fault, and return once its host is back."""
        match fault:
            case faults.Restart(host=host, second_after=second_after, again_after=again_after):
                await self._restart(self._processes[host], second_after)
                if again_after is not None:
                    await asyncio.sleep(again_after)
                    await self._restart(self._processes[host], None)
            case faults.Reload(host=host, has_change=has_change, has_signal=has_signal):
                self._reload(self._processes[host], has_change, has_signal)
            case faults.Kill():
                await self._kill(fault)
            case faults.Pause(host=host, duration=duration):
                self._processes[host].signal(signal.SIGSTOP)
                await asyncio.sleep(duration)
                self._processes[host].signal(signal.SIGCONT)
            case faults.CrashWorker(host=host, keeps_instance=keeps_instance):
                async with self._worker_locks[host]:
                    await self._workers[host].crash()
                    await self._start_successor(host, keeps_instance)
            case faults.RefuseAll(host=host, duration=duration):
                worker = self._workers[host]
                worker.refuses_all = True
                await asyncio.sleep(duration)
                worker.refuses_all = False
            case faults.ReplaceWorker(host=host):
                async with self._worker_locks[host]:
                    await self._workers[host].leave()
                    await self._start_successor(host, keeps_instance=False)
            case faults.Storm(count=count, additional_routes=additional_routes):
                if additional_routes is not None:
                    self._operator.additional_routes = additional_routes
                for _ in range(count):
                    await self._operator.change()
            case faults.HarmLinks():
                await self._harm_links(fault)
            case faults.BreakConnections(hosts=hosts, is_silent=is_silent):
                self._record_harm(hosts)
                act = self._relay.silence if is_silent else self._relay.reset
                act(self._addresses(hosts))

    async def _restart(self, process: HostProcess, second_after: Seconds | None) -> None:
        """Stop a process, sending SIGTERM a second time if wanted, and start it again."""
        stopping = asyncio.create_task(process.stop())
        if second_after is not None:
            await asyncio.sleep(second_after)
            process.signal(signal.SIGTERM)
        await stopping
        await process.start()

    def _reload(self, process: HostProcess, has_change: bool, has_signal: bool) -> None:
        """Change the settings file, or send SIGHUP, or both."""
        if has_change:
            seeds = self._rng.sample(self._replicas, self._rng.randint(1, _SEED_COUNT))
            process.write_settings(first_start=False, seeds=seeds)
        if has_signal:
            process.signal(signal.SIGHUP)

    async def _kill(self, fault: faults.Kill) -> None:
        """Kill processes, and start them again."""
        processes = [self._processes[host] for host in fault.hosts]
        await asyncio.gather(
            *(process.kill(wipe=process.host.name == fault.lost_disk) for process in processes)
        )
        await asyncio.sleep(fault.down)
        await asyncio.gather(*(process.start() for process in processes))

    async def _harm_links(self, fault: faults.HarmLinks) -> None:
        """Make links slow or cut them, for some time."""
        start = time.monotonic()
        with self._relay.condition(self._addresses(fault.hosts), fault.condition):
            while (left := start + fault.duration - time.monotonic()) > 0:
                self._record_harm(fault.hosts)
                await asyncio.sleep(min(left, _SAMPLE_INTERVAL))
        self._record_harm(fault.hosts)
        span = Span(start, time.monotonic())
        self._history.harms += [Harm(host, span) for host in fault.hosts]

    def _addresses(self, hosts: list[str]) -> list[str]:
        """Return the addresses of hosts."""
        return [self._processes[host].host.ip for host in hosts]

    def _record_harm(self, hosts: list[str]) -> None:
        """Record that the links of hosts are harmed now."""
        for host in hosts:
            self._processes[host].record(HARMED_LINK, time.monotonic())

    async def _final_fault(self) -> Reading | None:
        """Kill all processes right after a change, sometimes lose a disk, and read back."""
        await asyncio.gather(*(process.start() for process in self._processes.values()))
        await self._operator.read_within(RECOVERY)
        lost = self._rng.choice(["", self._rng.choice(self._replicas).name])
        if lost:
            # All replicas catch up, so that only this disk is lost.
            await asyncio.sleep(_COOL_DOWN)
        await self._operator.change()
        await self._kill(faults.Kill(hosts=[*self._processes], down=_FINAL_DOWN, lost_disk=lost))
        return await self._operator.read_within(RECOVERY)

    async def _start_worker(self, host: Host, instance: str) -> None:
        """Start a worker."""
        self._workers[host.name] = Worker(
            host=host,
            instance=instance,
            slots=_WORKER_SLOTS,
            broken_share=self._options.broken_share,
            rng=self._new_rng(),
            runs=self._history.runs,
            refusals=self._history.worker_refusals,
        )
        await self._workers[host.name].start()

    async def _start_successor(self, host: str, keeps_instance: bool) -> None:
        """Start the worker that comes after another at the same address."""
        await asyncio.sleep(_SUCCESSOR_DELAY)
        instance = self._workers[host].instance
        if not keeps_instance:
            instance = f"{host}-i{self._rng.getrandbits(24):x}"
        await self._start_worker(self._processes[host].host, instance)

    def _new_rng(self) -> random.Random:
        """Return a random generator whose draws don't depend on the order of other tasks."""
        return random.Random(self._rng.getrandbits(64))

    async def _close(self) -> None:
        """End everything that still runs."""
        await asyncio.gather(*(process.kill() for process in self._processes.values()))
        await asyncio.gather(*(worker.crash() for worker in self._workers.values()))
        await self._operator.close()
        await self._relay.close()


def _hosts(proxy_count: int) -> list[Host]:
    """Return the hosts of a soak on loopback addresses that no other soak is likely to use."""
    prefix = f"127.{random.randint(16, 250)}.{random.randint(0, 250)}"
    replicas = [
        Host(f"replica-{index}", f"{prefix}.{10 + index}", _DATA_CENTRES[index % 3], "")
        for index in range(_REPLICA_COUNT)
    ]
    proxies = [
        Host(f"proxy-{index}", f"{prefix}.{100 + index}", _DATA_CENTRES[index % 3], service)
        for index in range(proxy_count)
        for service in (_SERVICES[index * len(_SERVICES) // proxy_count],)
    ]
    return [*replicas, *proxies]
