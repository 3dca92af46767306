"""How a replica that stops passes on what the group relies on: its lead, then its vote."""

from __future__ import annotations

import asyncio
from contextlib import suppress

from cowslipvane.clock import lease_now
from cowslipvane.events import EventLog
from cowslipvane.replica import Leader, Replica, TakeOver, TakingOver, Voter
from cowslipvane.settings import Timing
from cowslipvane.tasks._signal import Signal
from cowslipvane.tasks.replication._messages import Greeting, Leave, MayLeave, Stranger, Welcome
from cowslipvane.types import ReplicaId, Seconds
from cowslipvane.wire import Link, LinkClosed, Malformed, connect

# Bounds both waits of a stopping leader: for a voter with the complete log, and for its response.
HAND_OVER_TIMEOUT: Seconds = 1.0
# How long a stopping member waits for the group to do without its vote.
LEAVE_TIMEOUT: Seconds = 1.0


async def greet(
    link: Link, *, group: str, expected_id: ReplicaId, timeout: Seconds
) -> Welcome | Stranger:
    """Return how the replica at the other end of a new connection answers a greeting."""
    await link.send(Greeting(group=group, wanted=expected_id))
    match await link.receive(timeout=timeout):
        case Welcome() | Stranger() as answer:
            return answer
        case _:
            raise Malformed("a member answered a greeting with another message")


class HandOver:
    """Passes on the lead and the vote of one replica."""

    def __init__(
        self,
        *,
        replica: Replica,
        group_name: str,
        changed: Signal,
        timing: Timing,
        events: EventLog,
    ) -> None:
        self._replica = replica
        self._group_name = group_name
        self._changed = changed
        self._timing = timing
        self._events = events

    async def pass_lead(self) -> None:
        """As leader, transfer leadership to a voter that has the complete log.

        The transfer is abandoned if there is none within HAND_OVER_TIMEOUT.
        """
        term = self._replica.term
        deadline = lease_now() + HAND_OVER_TIMEOUT
        while isinstance(self._replica.role, Leader):
            successor = self._replica.hand_over(lease_now())
            if successor is not None:
                self._changed.send()
                await self._request_take_over(successor, term)
                return
            remaining = deadline - lease_now()
            if remaining <= 0:
                self._events.record("handed-over", outcome="no voter holds the whole log")
                return
            await self._changed.wait(min(remaining, self._timing.heartbeat))

    async def pass_vote(self) -> None:
        """Wait until the group does without this replica's vote, if it might, or LEAVE_TIMEOUT."""
        if not self._replica.may_be_replaced:
            return
        with suppress(TimeoutError):
            async with asyncio.timeout(LEAVE_TIMEOUT):
                while not await self._ask_to_leave():
                    await self._changed.wait(self._timing.heartbeat)

    async def _request_take_over(self, successor: Voter, term: int) -> None:
        """Ask a voter to take over leadership, and record the outcome."""
        try:
            async with asyncio.timeout(HAND_OVER_TIMEOUT):
                match await self._ask(successor, TakeOver(term=term)):
                    case TakingOver(stands=stands):
                        outcome = "it stands" if stands else "it doesn't stand"
                    case _:
                        raise Malformed("a voter answered with another message")
        except (LinkClosed, Malformed, TimeoutError) as error:
            outcome = f"not known: {error!r}"
        self._events.record("handed-over", to=successor.host, term=str(term), outcome=outcome)

    async def _ask_to_leave(self) -> bool:
        """Return whether the leader, if one is known, replied that this process may stop."""
        leader = self._replica.leader
        member = self._replica.group.member(leader) if leader is not None else None
        if member is None or member.host == self._replica.host:
            return False
        try:
            reply = await self._ask(member, Leave(host=self._replica.host))
        except (LinkClosed, Malformed, TimeoutError):
            return False
        return isinstance(reply, MayLeave)

    async def _ask(self, member: Voter, request: TakeOver | Leave) -> object:
        """Return the reply of a member to a request over a connection of its own."""
        async with connect(member.address, "/replica") as link:
            answer = await greet(
                link,
                group=self._group_name,
                expected_id=member.replica_id,
                timeout=self._timing.election_timeout,
            )
            if isinstance(answer, Stranger):
                raise LinkClosed(f"replica {answer.replica_id} of group {answer.group} answers")
            await link.send(request)
            return await link.receive(timeout=HAND_OVER_TIMEOUT + LEAVE_TIMEOUT)
