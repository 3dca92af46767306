"""Carrying one call: it finds owners, hands the call over, and waits for the answer."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass

from cowslipvane.call import Answer, AttemptId, Call, Chunk, Offer, OwnerMessage, Refused
from cowslipvane.events import EventLog
from cowslipvane.membership import Member, Membership
from cowslipvane.refusal import DeadlinePassed, NoUpstream, Refusal, explain
from cowslipvane.routing import Budgets, Chooser, Load, Result
from cowslipvane.subscription import Subscription
from cowslipvane.tasks._owner import Owner
from cowslipvane.tasks._peers import Mailbox, Peers
from cowslipvane.types import Verdict


class Broken(Exception):
    """An answer that has begun can't be completed; its connection must be cut."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Served:
    """An owner's answer has begun; its further parts arrive in the mailbox."""

    answer: Answer
    owner: Member
    mailbox: Mailbox


class Carrier:
    """Tries owners until one answers or the call may not be tried again."""

    def __init__(
        self,
        *,
        subscription: Subscription,
        membership: Membership,
        owner: Owner,
        peers: Peers,
        chooser: Chooser,
        events: EventLog,
    ) -> None:
        self._subscription = subscription
        self._membership = membership
        self._owner = owner
        self._peers = peers
        self._chooser = chooser
        self._events = events
        self._budgets = Budgets()

    async def carry(self, call: Call) -> Served | Refusal:
        """Return the answer that has begun, or the refusal of the last attempt."""
        refusal: Refusal = NoUpstream(service=call.rules.service)
        self._budgets.note_call(call.rules.service, time.monotonic())
        while call.time_left(time.monotonic()) > 0:
            member = self._choose(call)
            if member is None:
                break
            match await self._attempt(call, member):
                case Served() as served:
                    return served
                case refused:
                    refusal = refused
            if not call.may_try_again(refusal):
                break
            if not self._budgets.allow_retry(call.rules.service, refusal, time.monotonic()):
                break
        return refusal

    async def give_up(self, served: Served) -> None:
        """Tell the owner that nobody waits for the rest of an answer."""
        await self._cancel(served.owner, served.answer.attempt)

    def _choose(self, call: Call) -> Member | None:
        """Return the owner for the next attempt."""
        table = self._subscription.table
        owners = self._membership.owners(call.rules.service, time.monotonic())
        allowed = [owner for owner in owners if table is None or not table.is_out(owner.host)]
        return self._chooser.choose(allowed, call.tried, time.monotonic())

    async def _attempt(self, call: Call, member: Member) -> Served | Refusal:
        """Hand a call to one owner; return its answer, or the refusal."""
        attempt = call.begin_attempt(member.host)
        request_id = call.request_id
        self._events.record("attempt", request=request_id, owner=member.host)
        mailbox: Mailbox = asyncio.Queue()
        self._chooser.begin(member.host)
        begun = time.monotonic()
        load: Load | None = None
        result = Result.GIVEN_UP
        told = False
        try:
            async with asyncio.timeout(call.time_left(time.monotonic())):
                await self._hand_over(call, member, attempt, mailbox)
                first = await mailbox.get()
            told = True
            match first:
                case Answer(status=status, load=load):
                    result = Result.ANSWERED
                    self._events.record("answered", request=request_id, status=str(status))
                    return Served(answer=first, owner=member, mailbox=mailbox)
                case Refused(refusal=refusal, load=load):
                    result = Result.of_refusal(refusal)
                    return refusal
                case Chunk():
                    raise Broken("a body came before its answer")
        except TimeoutError:
            result = Result.OVERDUE
            return DeadlinePassed(service=call.rules.service, verdict=Verdict.MAY_HAVE_RUN)
        finally:
            now = time.monotonic()
            self._chooser.end(member.host, result, load, now - begun, now)
            if not told:
                await self._cancel(member, attempt)

    async def _hand_over(
        self, call: Call, member: Member, attempt: AttemptId, mailbox: Mailbox
    ) -> None:
        """Offer an attempt to the owner here or on another host."""
        offer = Offer(
            attempt=attempt,
            service=call.rules.service,
            request=call.request,
            timeout=call.time_left(time.monotonic()),
        )
        if member.host == self._membership.own.host:
            await self._owner.offer(offer, mailbox.put)
        else:
            await self._peers.link(member).offer(offer, mailbox)

    async def _cancel(self, member: Member, attempt: AttemptId) -> None:
        """Tell the owner that nobody waits for an attempt."""
        if member.host == self._membership.own.host:
            self._owner.cancel(attempt)
        else:
            await self._peers.link(member).cancel(attempt)


def next_part(message: OwnerMessage) -> tuple[bytes, bool]:
    """Return a further part of a body, and whether more follow."""
    match message:
        case Chunk(body=body, more=more):
            return body, more
        case Refused(refusal=refusal):
            raise Broken(explain(refusal).sentence)
        case Answer():
            raise Broken("a second answer came to one attempt")
