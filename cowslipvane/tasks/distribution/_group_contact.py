"""The replica's side of contact: one task that asks the leader while proxies ask here."""

from __future__ import annotations

import asyncio
import math

from cowslipvane.clock import lease_now
from cowslipvane.subscription import AskNewest, Newest, Proof
from cowslipvane.tasks._signal import Signal
from cowslipvane.tasks.replication import Replication
from cowslipvane.types import Address, Seconds
from cowslipvane.wire import Link, LinkClosed, Malformed, connect

# How often a replica asks the leader, on behalf of all proxies that ask it.
ASK_INTERVAL: Seconds = 0.1
# The leader is asked for this long after the last question of a proxy, which asks more often.
DEMAND_TIME: Seconds = 3.0
LEADER_RESPONSE_TIMEOUT: Seconds = 1.0
LEADER_RETRY_DELAY: Seconds = 0.2


class GroupContact:
    """Knows up to when a version was the newest that the group has accepted.

    Only a leader that holds its lease knows that of itself: a replica that was cut off or paused
    may take an earlier one for the leader for a while.
    """

    def __init__(self, *, replication: Replication) -> None:
        self._replication = replication
        self._proof: Proof | None = None
        self._asked = Signal()
        self._asked_at = -math.inf

    def answer(self, question: AskNewest) -> Newest | None:
        """Return the answer to a proxy or another replica, None if nothing is known."""
        now = lease_now()
        self._asked_at = now
        self._asked.send()
        # The lease is checked after the time was read, so that it covers that time.
        if self._replication.holds_lease:
            self._proof = Proof(self._replication.replica.catalogue.version, now)
        return None if self._proof is None else self._proof.answer(question, now)

    async def run(self) -> None:
        """Ask the leader while anybody asks here, until cancelled."""
        while True:
            leader = self._replication.leader_address
            if not self._is_asked:
                await self._asked.wait()
            elif leader is None:
                await self._replication.changed.wait(LEADER_RETRY_DELAY)
            else:
                await self._try_to_ask(leader)

    @property
    def _is_asked(self) -> bool:
        """Return whether a proxy has asked lately."""
        return lease_now() < self._asked_at + DEMAND_TIME

    async def _try_to_ask(self, leader: Address) -> None:
        """Ask the leader for as long as it answers."""
        try:
            async with connect(leader, "/subscribe") as link:
                while self._is_asked and self._replication.leader_address == leader:
                    await self._ask(link)
                    await asyncio.sleep(ASK_INTERVAL)
        except (LinkClosed, Malformed, TimeoutError):
            await asyncio.sleep(LEADER_RETRY_DELAY)

    async def _ask(self, link: Link) -> None:
        """Ask once, and keep what the answer proves."""
        await link.send(AskNewest(sent_at=lease_now()))
        match await link.receive(timeout=LEADER_RESPONSE_TIMEOUT):
            case Newest() as answer:
                self._take(Proof.from_answer(answer))
            case _:
                raise Malformed("the leader answered a question for its version with another")

    def _take(self, proof: Proof) -> None:
        """Keep a proof if it is newer than the one that is kept."""
        if self._proof is None or proof.at > self._proof.at:
            self._proof = proof
