"""Measure what a token costs a holder and a proxy: processor time, bytes and memory."""

from __future__ import annotations

import asyncio
import time
import tracemalloc

from websockets.asyncio.server import ServerConnection, serve

from cowslipvane.catalogue import QuotaHolder
from cowslipvane.events import EventLog, HybridClock, Origin
from cowslipvane.quotas import QuotaLedger, TakeTokens, TokensTaken, Want
from cowslipvane.settings import DEFAULT_QUOTAS
from cowslipvane.tasks._signal import Signal
from cowslipvane.tasks.quotas._holder_link import HolderLink
from cowslipvane.types import DataCentre, HostName, Quota, TeamName
from cowslipvane.wire import Link, LinkClosed, anonymous_identity, encode

TEAMS = (74, 10_000)
ASKS = 4_000
AT_ONCE = (1, 16)
QUOTA = Quota(1e6, 1e6)


def make_ledger() -> QuotaLedger:
    """Return a ledger that grants every token."""
    ledger = QuotaLedger(settings=DEFAULT_QUOTAS, quota_of=lambda _: QUOTA)
    ledger.set_part(1.0, 0.0, since=-10.0)
    return ledger


def measure_memory(teams: int) -> float:
    """Return the bytes that a holder keeps for each team."""
    names = [TeamName(f"team-{team:05}") for team in range(teams)]
    ledger = make_ledger()
    tracemalloc.start()
    try:
        for name in names:
            ledger.take(TakeTokens(wants=(Want(name),)), 0.0)
        kept, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    return kept / teams


async def answer(connection: ServerConnection) -> None:
    """Answer the questions for tokens over one connection."""
    link, ledger = Link(connection=connection, identity=anonymous_identity()), make_ledger()
    try:
        while True:
            match await link.receive():
                case TakeTokens() as request:
                    await link.send(ledger.take(request, time.monotonic()))
    except LinkClosed:
        return


async def measure_asks(at_once: int) -> float:
    """Return the processor time of a token in seconds, of both sides in one process."""
    async with serve(answer, "127.0.0.1", 0, compression=None) as server:
        port = next(iter(server.sockets)).getsockname()[1]
        usable = Signal()
        origin = Origin(HostName("a"), DataCentre("here"), 1)
        link = HolderLink(
            holder=QuotaHolder(HostName("b"), f"127.0.0.1:{port}"),
            events=EventLog(origin=origin, clock=HybridClock()),
            usable=usable,
        )
        await usable.wait()

        async def ask_often() -> None:
            for _ in range(ASKS // at_once):
                assert await link.ask(Want(TeamName("mill"))) is not None

        began_at = time.process_time()
        await asyncio.gather(*(ask_often() for _ in range(at_once)))
        cost = (time.process_time() - began_at) / ASKS
        await link.close()
    return cost


def main() -> None:
    """Print the costs."""
    request = TakeTokens(wants=(Want(TeamName("team-00001")),))
    taken = make_ledger().take(request, 0.0)
    assert isinstance(taken, TokensTaken)
    print(f"a question {len(encode(request))} bytes, an answer {len(encode(taken))} bytes")
    for teams in TEAMS:
        print(f"{teams} teams: {measure_memory(teams):.0f} bytes for each at a holder")
    for at_once in AT_ONCE:
        cost = asyncio.run(measure_asks(at_once))
        print(f"{at_once} at once: {cost * 1e6:.0f} us of processor time a token, both sides")


if __name__ == "__main__":
    main()
