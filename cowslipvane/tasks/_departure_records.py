"""The replica's side of departures: the leader records them, other replicas send them on."""

from __future__ import annotations

import asyncio
import dataclasses

from cowslipvane.subscription import DeparturesKept, KeepDepartures
from cowslipvane.tasks._replication import Replication
from cowslipvane.types import Address, Seconds
from cowslipvane.wire import LinkClosed, Malformed, connect

# A proxy asks another replica after a shorter time, and the connection of the one that asked must
# not wait for long.
RECORD_TIMEOUT: Seconds = 1.0


class DepartureRecords:
    """Keeps the departures of workers by way of the leader."""

    def __init__(self, *, replication: Replication) -> None:
        self._replication = replication

    async def keep(self, request: KeepDepartures) -> DeparturesKept | None:
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

    async def _keep_here(self, request: KeepDepartures) -> DeparturesKept | None:
        """Record departures as the leader."""
        kept = await self._replication.keep_departures(request.departures)
        return None if kept is None else DeparturesKept(departures=kept)

    async def _forward(self, request: KeepDepartures, leader: Address) -> DeparturesKept | None:
        """Send a request on to the leader."""
        async with connect(leader, "/subscribe") as link:
            await link.send(dataclasses.replace(request, is_forwarded=True))
            match await link.receive(timeout=RECORD_TIMEOUT):
                case DeparturesKept() as response:
                    return response
                case _:
                    raise Malformed("the leader answered departures with another message")
