"""The replica's side of facts of workers: the leader records them, others send them on."""

from __future__ import annotations

import asyncio
import dataclasses

from cowslipvane.subscription import FactsKept, KeepFacts
from cowslipvane.tasks.replication._replication import Replication
from cowslipvane.types import Address, Seconds
from cowslipvane.wire import LinkClosed, Malformed, connect

# A proxy asks another replica after a shorter time, and the connection of the one that asked must
# not wait for long.
RECORD_TIMEOUT: Seconds = 1.0


class FactRecords:
    """Keeps facts of workers by way of the leader."""

    def __init__(self, *, replication: Replication) -> None:
        self._replication = replication

    async def keep(self, request: KeepFacts) -> FactsKept | None:
        """Return the leader's response to a request, None if there is none in time."""
        leader = self._replication.leader_address
        try:
            async with asyncio.timeout(RECORD_TIMEOUT):
                if leader is None:
                    return await self._keep_here(request)
                if not request.is_forwarded:
                    return await self._forward(request, leader)
        except (LinkClosed, Malformed, TimeoutError):
            pass
        return None

    async def _keep_here(self, request: KeepFacts) -> FactsKept | None:
        """Record facts as the leader."""
        kept = await self._replication.keep_facts(request.facts)
        return None if kept is None else FactsKept(facts=kept)

    async def _forward(self, request: KeepFacts, leader: Address) -> FactsKept | None:
        """Send a request on to the leader."""
        async with connect(leader, "/subscribe") as link:
            await link.send(dataclasses.replace(request, is_forwarded=True))
            match await link.receive(timeout=RECORD_TIMEOUT):
                case FactsKept() as response:
                    return response
                case _:
                    raise Malformed("the leader answered facts with another message")
