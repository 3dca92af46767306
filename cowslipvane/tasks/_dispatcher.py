"""Carrying one call: it finds owners, hands the call over, and waits for the answer."""

from __future__ import annotations

import asyncio
import itertools
import time
from dataclasses import dataclass

from cowslipvane.call import (
    Answer,
    AttemptId,
    Call,
    Cancel,
    Chunk,
    Fence,
    Offer,
    OwnerMessage,
    Refused,
)
from cowslipvane.events import EventLog
from cowslipvane.membership import Member, Membership
from cowslipvane.refusal import DeadlinePassed, NoUpstream, OwnerUnreachable, Refusal, explain
from cowslipvane.routing import AttemptResult, Budgets, Chooser, Load
from cowslipvane.settings import DEFAULT_RETRIES, Retries
from cowslipvane.subscription import Subscription
from cowslipvane.tasks._owner import Owner
from cowslipvane.tasks._peers import LinkLost, Mailbox, Peers
from cowslipvane.types import Seconds, Verdict

# How long an entry goes on asking an owner that it can't reach what became of an attempt.
RESOLVE_TIMEOUT: Seconds = 5.0
RECONNECT_PAUSE: Seconds = 0.05
# A call with a smaller body costs little on its way to another data centre.
LIGHT_BYTES = 1024
# How long an entry waits, after the deadline, for the owner to say whether an attempt ran.
VERDICT_TIME: Seconds = 0.2


class BrokenResponse(Exception):
    """An answer that has begun can't be completed; its connection must be cut."""


@dataclass(frozen=True, slots=True, kw_only=True)
class StartedResponse:
    """An owner's answer has begun; its further parts arrive in the mailbox."""

    answer: Answer
    owner: Member
    mailbox: Mailbox


class Dispatcher:
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
        retries: Retries = DEFAULT_RETRIES,
    ) -> None:
        self._subscription = subscription
        self._membership = membership
        self._owner = owner
        self._peers = peers
        self._chooser = chooser
        self._events = events
        self._own = membership.own
        self._serials = itertools.count(1)
        self._budgets = Budgets(retries=retries)

    async def dispatch(self, call: Call) -> StartedResponse | Refusal:
        """Return the answer that has begun, or the refusal of the last attempt."""
        refusal: Refusal = NoUpstream(service=call.rules.service)
        self._budgets.set_proxy_count(self._membership.estimated_proxy_count)
        self._budgets.record_call(call.rules.service, time.monotonic())
        while call.time_remaining(time.monotonic()) > 0:
            member = self._choose(call)
            if member is None:
                break
            match await self._attempt(call, member):
                case StartedResponse() as served:
                    return served
                case refused:
                    refusal = refused
            if not call.may_try_again(refusal):
                break
            call.record_refusal(refusal)
            if not self._budgets.allow_retry(call.rules.service, refusal, time.monotonic()):
                break
        return call.unknown_outcome or refusal

    async def abandon(self, served: StartedResponse) -> None:
        """Tell the owner that nobody waits for the rest of an answer."""
        owner, attempt = served.owner, served.answer.attempt
        await self._send(owner, Cancel(attempt=attempt, incarnation=owner.incarnation), None)

    def _choose(self, call: Call) -> Member | None:
        """Return the owner for the next attempt."""
        table = self._subscription.table
        owners = self._membership.owners(call.rules.service, time.monotonic())
        allowed = [
            owner
            for owner in owners
            if (table is None or not table.is_out(owner.host)) and self._can_reach(owner)
        ]
        light = len(call.request.body) < LIGHT_BYTES
        chosen = self._chooser.choose(allowed, call.tried_hosts, time.monotonic(), small=light)
        self._note_eased()
        return chosen

    def _note_eased(self) -> None:
        """Record the owners that were found to lose calls or to be slow."""
        for eased in self._chooser.take_ejections():
            self._events.record(
                "eased",
                owner=eased.host,
                reason="attempts lost" if eased.loses_attempts else "slow",
                latency=f"{eased.latency:.3f}",
                usual=f"{eased.median_latency:.3f}",
                seconds=f"{eased.duration:g}",
            )

    def _can_reach(self, owner: Member) -> bool:
        """Return whether an owner is here, or was reached when it was last tried."""
        return owner.host == self._own.host or self._peers.is_reachable(owner)

    async def _attempt(self, call: Call, member: Member) -> StartedResponse | Refusal:
        """Hand a call to one owner; return its answer, or the refusal."""
        attempt = AttemptId(self._own.host, self._own.incarnation, next(self._serials))
        call.begin_attempt(member.host)
        self._events.record(
            "attempt",
            request=call.request_id,
            owner=member.host,
            asked=f"{call.request.method} {call.request.path.partition('?')[0]}",
            number=str(len(call.tried_hosts)),
        )
        mailbox: Mailbox = asyncio.Queue()
        self._chooser.begin(member.host)
        begun = time.monotonic()
        load: Load | None = None
        result = AttemptResult.ABANDONED
        told = False
        try:
            first = await self._first_message(call, member, attempt, mailbox)
            told = True
            match first:
                case Answer(status=status, load=load):
                    result = AttemptResult.ANSWERED
                    self._note(call, member, Verdict.RAN, str(status))
                    return StartedResponse(answer=first, owner=member, mailbox=mailbox)
                case Refused(refusal=refusal, load=load):
                    result = AttemptResult.of_refusal(refusal)
                    told_by_owner = explain(refusal)
                    self._note(call, member, told_by_owner.verdict, told_by_owner.code)
                    return refusal
                case Chunk():
                    raise BrokenResponse("a body came before its answer")
        finally:
            now = time.monotonic()
            if load is not None:
                call.record_load(load)
            self._chooser.end(member.host, result, load, now - begun, now)
            if not told:
                cancel = Cancel(attempt=attempt, incarnation=member.incarnation)
                await self._send(member, cancel, None)

    def _note(self, call: Call, member: Member, verdict: Verdict, outcome: str) -> None:
        """Record whether an attempt ran, with the answer's status or the refusal's code."""
        self._events.record(
            "verdict",
            request=call.request_id,
            owner=member.host,
            verdict=verdict.value,
            outcome=outcome,
        )

    async def _first_message(
        self, call: Call, member: Member, attempt: AttemptId, mailbox: Mailbox
    ) -> OwnerMessage:
        """Offer an attempt and return the first message of its answer, or its refusal."""
        time_left = call.time_remaining(time.monotonic())
        offer = Offer(
            attempt=attempt,
            service=call.rules.service,
            request=call.request,
            timeout=time_left,
            idempotent=call.is_idempotent,
            caller=call.caller,
            goal=call.goal_remaining(time.monotonic()),
            kind=call.rules.kind,
            nested=call.is_nested,
        )
        try:
            async with asyncio.timeout(time_left):
                await self._send(member, offer, mailbox)
                first = await mailbox.get()
                match first:
                    case LinkLost(outcome_unknown=True):
                        return await self._resolve(call, member, attempt, mailbox)
                    case LinkLost():
                        refusal = OwnerUnreachable(host=member.host, verdict=Verdict.NOT_RUN)
                        return Refused(attempt=attempt, refusal=refusal)
                    case message:
                        return message
        except TimeoutError:
            return await self._verdict_after_deadline(call, member, attempt, mailbox)

    async def _resolve(
        self, call: Call, member: Member, attempt: AttemptId, mailbox: Mailbox
    ) -> OwnerMessage:
        """Ask the owner again what became of an attempt whose connection broke."""
        refusal = OwnerUnreachable(host=member.host, verdict=Verdict.MAY_HAVE_RUN)
        if call.may_try_again(refusal):
            return Refused(attempt=attempt, refusal=refusal)
        self._events.record("fence", request=call.request_id, owner=member.host)
        fence = Fence(attempt=attempt, incarnation=member.incarnation)
        give_up = time.monotonic() + RESOLVE_TIMEOUT
        while time.monotonic() < give_up:
            await self._send(member, fence, mailbox)
            match await mailbox.get():
                case LinkLost():
                    await asyncio.sleep(RECONNECT_PAUSE)
                case message:
                    return message
        return Refused(attempt=attempt, refusal=refusal)

    async def _verdict_after_deadline(
        self, call: Call, member: Member, attempt: AttemptId, mailbox: Mailbox
    ) -> OwnerMessage:
        """Give an attempt up, and wait a moment for the owner to say whether it ran."""
        verdict = Verdict.MAY_HAVE_RUN
        cancel = Cancel(attempt=attempt, incarnation=member.incarnation)
        try:
            async with asyncio.timeout(VERDICT_TIME):
                await self._send(member, cancel, mailbox)
                match await mailbox.get():
                    case Refused(refusal=refusal):
                        verdict = explain(refusal).verdict
                    case Answer() as answer:
                        return answer
        except TimeoutError:
            pass
        refusal = DeadlinePassed(service=call.rules.service, verdict=verdict)
        return Refused(attempt=attempt, refusal=refusal)

    async def _send(
        self, member: Member, message: Offer | Fence | Cancel, mailbox: Mailbox | None
    ) -> None:
        """Send what concerns an attempt to its owner, here or on another host."""
        if member.host != self._membership.own.host:
            await self._peers.link(member).send(message, mailbox)
            return
        reply = mailbox.put if mailbox is not None else _discard
        match message:
            case Offer():
                await self._owner.offer(message, reply)
            case Fence():
                await self._owner.fence(message, reply)
            case Cancel():
                await self._owner.cancel(message, reply)


async def _discard(_: OwnerMessage) -> None:
    """Drop an answer that nobody waits for."""


def next_part(message: OwnerMessage | LinkLost) -> tuple[bytes, bool]:
    """Return a further part of a body, and whether more follow."""
    match message:
        case Chunk(body=body, more=more):
            return body, more
        case Refused(refusal=refusal):
            raise BrokenResponse(explain(refusal).sentence)
        case LinkLost():
            raise BrokenResponse("the connection to the owner was lost")
        case Answer():
            raise BrokenResponse("a second answer came to one attempt")
