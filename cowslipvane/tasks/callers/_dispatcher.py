"""The dispatch of one call: choosing owners, offering them the call, awaiting the response."""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
import random
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from functools import partial

from cowslipvane.access import key_of, team_of
from cowslipvane.call import (
    KEY_FIELD,
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
from cowslipvane.refusal import (
    AnswerLost,
    DeadlinePassed,
    NoUpstream,
    OwnerUnreachable,
    ProxyLeaving,
    Refusal,
    explain,
)
from cowslipvane.routing import (
    AttemptResult,
    Budgets,
    Chooser,
    Load,
    RoutingTable,
    UpstreamVersions,
)
from cowslipvane.settings import DEFAULT_RETRIES, Retries
from cowslipvane.subscription import Subscription
from cowslipvane.tasks.peers import LinkLost, Mailbox, Peers, UnreadResponses
from cowslipvane.tasks.quotas import CallToken, QuotaClient
from cowslipvane.tasks.upstreams import Owner
from cowslipvane.types import Seconds, Verdict

# How long an entry proxy tries to learn the outcome of an attempt from an unreachable owner.
RESOLVE_TIMEOUT: Seconds = 5.0
# Delay before a fence is sent again after its connection was lost.
FENCE_RETRY_DELAY: Seconds = 0.05
# A call with a smaller body is cheap to send to another data centre.
SMALL_BODY_BYTES = 1024
# How long an entry proxy waits after the deadline for the owner's verdict on an attempt.
VERDICT_TIMEOUT: Seconds = 0.2


@dataclass(frozen=True, slots=True, kw_only=True)
class StartedResponse:
    """The first part of an owner's response; further parts arrive in the mailbox."""

    answer: Answer
    owner: Member
    mailbox: Mailbox


class Dispatcher:
    """Tries owners until one responds or the call may not be retried."""

    def __init__(
        self,
        *,
        subscription: Subscription,
        membership: Membership,
        owner: Owner,
        peers: Peers,
        quotas: QuotaClient,
        chooser: Chooser,
        events: EventLog,
        rng: random.Random,
        retries: Retries = DEFAULT_RETRIES,
    ) -> None:
        self._quotas = quotas
        self._subscription = subscription
        self._membership = membership
        self._local_owner = owner
        self._peers = peers
        self._chooser = chooser
        self._events = events
        self._own = membership.own
        self._serials = itertools.count(1)
        self._versions = UpstreamVersions(rng=rng)
        self._budgets = Budgets(retries=retries)
        # The timeouts of the attempts that have no response yet.
        self._timeouts: set[asyncio.Timeout] = set()
        self._is_leaving = False
        self._unread = UnreadResponses()
        # Tasks that cancel attempts at owners whose responses were given up.
        self._cancellations: set[asyncio.Task[None]] = set()

    async def dispatch(self, call: Call) -> StartedResponse | Refusal:
        """Return the start of the response, or the refusal of the last attempt.

        If an earlier attempt ran or may have run, its refusal is returned instead, so that a later
        one can't hide it.
        """
        now = time.monotonic()
        self._budgets.set_proxy_count(self._membership.estimated_proxy_count, now)
        self._budgets.record_call(call.rules.service, now)
        token = self._quotas.token_for(call.access)
        try:
            match await self._try_owners(call, token):
                case StartedResponse() as started:
                    return started
                case refusal:
                    return call.unknown_outcome or refusal
        finally:
            token.release()

    async def _try_owners(self, call: Call, token: CallToken) -> StartedResponse | Refusal:
        """Return the start of the response, or the refusal that ends the call."""
        refusal: Refusal = NoUpstream(service=call.rules.service)
        while (remaining := call.time_remaining(time.monotonic())) > 0:
            if self._is_leaving:
                return ProxyLeaving(verdict=Verdict.NOT_RUN)
            uncounted = await token.hold(remaining)
            if uncounted is not None:
                return uncounted
            owner = self._choose(call)
            if owner is None:
                return refusal
            spent = token.spend()
            match await self._attempt(call, owner):
                case StartedResponse() as started:
                    return started
                case refused:
                    refusal = refused
            token.keep(spent, explain(refusal).verdict)
            if not call.may_try_again(refusal):
                return refusal
            call.record_refusal(refusal)
            if not self._budgets.allow_retry(call.rules.service, refusal, time.monotonic()):
                return refusal
        return refusal

    def give_up(self) -> None:
        """Cancel the attempts that have no response yet, and begin no more, before the exit."""
        self._is_leaving = True
        now = asyncio.get_running_loop().time()
        for timeout in self._timeouts:
            if not timeout.expired():
                timeout.reschedule(now)

    async def abandon(self, started: StartedResponse) -> None:
        """Cancel an attempt at its owner, because the rest of its response isn't needed."""
        owner, attempt = started.owner, started.answer.attempt
        started.mailbox.close()
        await self._cancel(owner, attempt)

    async def next_part(self, call: Call, started: StartedResponse) -> Chunk | Refusal:
        """Return the next part of a response, or the refusal that it breaks with."""
        match await started.mailbox.get():
            case Chunk() as part:
                return part
            case broken:
                started.mailbox.close()
        match broken:
            case Refused(refusal=refusal):
                return refusal
            case LinkLost():
                return OwnerUnreachable(host=started.owner.host, verdict=Verdict.MAY_HAVE_RUN)
            case Answer():
                # A second answer to one attempt; which of them is right can't be told.
                return AnswerLost(service=call.rules.service, verdict=Verdict.MAY_HAVE_RUN)

    def rest_timeout(self, call: Call) -> asyncio.Timeout:
        """Return the timeout for the rest of a response; an owner may go on after the deadline."""
        return asyncio.timeout(call.time_remaining(time.monotonic()) + VERDICT_TIMEOUT)

    async def hold(
        self, call: Call, started: StartedResponse, may_hold: Callable[[int], bool]
    ) -> StartedResponse | Refusal:
        """Return a response with the rest of its body, or with as much of it as may be held.

        may_hold gets the bytes that are held so far, and returns whether more may be.

        If it breaks before, or isn't complete after the deadline, return its refusal.
        """
        body, more = bytearray(started.answer.body), started.answer.more
        try:
            async with self.rest_timeout(call):
                while may_hold(len(body)) and more:
                    match await self.next_part(call, started):
                        case Chunk(body=part, more=more):
                            body += part
                        case refusal:
                            return refusal
        except TimeoutError:
            await self.abandon(started)
            return DeadlinePassed(service=call.rules.service, verdict=Verdict.MAY_HAVE_RUN)
        except asyncio.CancelledError:
            await self.abandon(started)
            raise
        answer = dataclasses.replace(started.answer, body=bytes(body), more=more)
        return dataclasses.replace(started, answer=answer)

    def _choose(self, call: Call) -> Member | None:
        """Return the owner for the next attempt."""
        table = self._subscription.table
        owners = self._membership.owners(call.rules.service, time.monotonic())
        groups = self._versions.candidates(
            call.rules.service,
            owners,
            None if table is None else table.rollout(call.rules.service),
            time.monotonic(),
            wall_time=time.time(),
            is_first=not call.tried_hosts,
        )
        chosen = None
        for group in groups:
            chosen = self._chooser.choose(
                group,
                call.tried_hosts,
                time.monotonic(),
                small=len(call.request.body) < SMALL_BODY_BYTES,
                is_usable=partial(self._is_usable, table),
            )
            if chosen is not None:
                break
        self._record_ejections()
        return chosen

    def _is_usable(self, table: RoutingTable | None, owner: Member) -> bool:
        """Return whether an owner may be sent a call."""
        is_out = table is not None and table.is_out_of_service(owner.host)
        return not is_out and self._can_reach(owner)

    def _record_ejections(self) -> None:
        """Record the owners that were ejected for losing calls or for being slow."""
        for ejection in self._chooser.take_ejections():
            self._events.record(
                "eased",
                owner=ejection.host,
                reason="attempts lost" if ejection.loses_attempts else "slow",
                latency=f"{ejection.latency:.3f}",
                usual=f"{ejection.median_latency:.3f}",
                seconds=f"{ejection.duration:g}",
            )

    def _can_reach(self, owner: Member) -> bool:
        """Return whether an owner is local, or isn't known to be unreachable."""
        return owner.host == self._own.host or self._peers.is_reachable(owner)

    async def _attempt(self, call: Call, owner: Member) -> StartedResponse | Refusal:
        """Offer a call to one owner; return the start of its response, or the refusal."""
        attempt = AttemptId(self._own.host, self._own.incarnation, next(self._serials))
        call.begin_attempt(owner.host)
        self._events.record(
            "attempt",
            request=call.request_id,
            owner=owner.host,
            asked=f"{call.request.method} {call.request.path.partition('?')[0]}",
            number=str(len(call.tried_hosts)),
            routed_by=str(call.version or ""),
            team=team_of(call.access) or "",
            made_by="upstream" if call.is_nested else "caller",
            credentials="none" if call.request.header(KEY_FIELD) is None else "passed on",
        )
        mailbox = Mailbox(
            service=call.rules.service,
            unread=self._unread,
            on_give_up=partial(self._start_cancel, owner, attempt),
        )
        self._chooser.begin(owner.host)
        started_at = time.monotonic()
        load: Load | None = None
        result = AttemptResult.ABANDONED
        replied = started = False
        try:
            first = await self._first_message(call, owner, attempt, mailbox)
            replied = True
            match first:
                case Answer(status=status, load=load):
                    result = AttemptResult.ANSWERED
                    self._record_verdict(call, owner, Verdict.RAN, str(status))
                    started = True
                    return StartedResponse(answer=first, owner=owner, mailbox=mailbox)
                case Refused(refusal=refusal, load=load):
                    result = AttemptResult.of_refusal(refusal)
                    explanation = explain(refusal)
                    self._record_verdict(call, owner, explanation.verdict, explanation.code)
                    return refusal
                case Chunk():
                    # A body came before its answer. The owner may still be running the attempt.
                    replied = False
                    lost = AnswerLost(service=call.rules.service, verdict=Verdict.MAY_HAVE_RUN)
                    explanation = explain(lost)
                    self._record_verdict(call, owner, explanation.verdict, explanation.code)
                    return lost
        finally:
            now = time.monotonic()
            if load is not None:
                call.record_load(load)
            self._chooser.end(owner.host, result, load, now - started_at, now)
            if not started:
                mailbox.close()
            if not replied:
                await self._cancel(owner, attempt)

    def _start_cancel(self, owner: Member, attempt: AttemptId) -> None:
        """Start to cancel an attempt whose response is given up, without waiting for its owner."""
        task = asyncio.create_task(self._cancel(owner, attempt))
        self._cancellations.add(task)
        task.add_done_callback(self._cancellations.discard)

    async def _cancel(self, owner: Member, attempt: AttemptId) -> None:
        """Cancel an attempt at its owner, whose verdict isn't needed."""
        await self._send(owner, Cancel(attempt=attempt, incarnation=owner.incarnation), None)

    def _record_verdict(self, call: Call, owner: Member, verdict: Verdict, outcome: str) -> None:
        """Record whether an attempt ran, with the response's status or the refusal's code."""
        self._events.record(
            "verdict",
            request=call.request_id,
            owner=owner.host,
            verdict=verdict.value,
            outcome=outcome,
        )

    async def _first_message(
        self, call: Call, owner: Member, attempt: AttemptId, mailbox: Mailbox
    ) -> OwnerMessage:
        """Offer an attempt and return the first message of its response, or its refusal."""
        time_remaining = call.time_remaining(time.monotonic())
        offer = Offer(
            attempt=attempt,
            service=call.rules.service,
            request=call.request,
            timeout=time_remaining,
            idempotent=call.is_idempotent,
            caller=call.caller,
            goal=call.goal_remaining(time.monotonic()),
            kind=call.rules.kind,
            nested=call.is_nested,
            version=call.version,
            team=team_of(call.access),
            key=key_of(call.access),
        )
        try:
            async with self._timeout(time_remaining):
                await self._send(owner, offer, mailbox)
                first = await mailbox.get()
                match first:
                    case LinkLost(outcome_unknown=True):
                        return await self._resolve(call, owner, attempt, mailbox)
                    case LinkLost():
                        refusal = OwnerUnreachable(host=owner.host, verdict=Verdict.NOT_RUN)
                        return Refused(attempt=attempt, refusal=refusal)
                    case message:
                        return message
        except TimeoutError:
            return await self._verdict_after_timeout(call, owner, attempt, mailbox)

    @asynccontextmanager
    async def _timeout(self, delay: Seconds) -> AsyncIterator[None]:
        """Raise TimeoutError after a delay, or when this proxy gives up."""
        async with asyncio.timeout(delay) as timeout:
            self._timeouts.add(timeout)
            try:
                yield
            finally:
                self._timeouts.discard(timeout)

    async def _resolve(
        self, call: Call, owner: Member, attempt: AttemptId, mailbox: Mailbox
    ) -> OwnerMessage:
        """Return the outcome of an attempt whose connection was lost.

        The owner is asked for it only if the call may not be retried.
        """
        refusal = OwnerUnreachable(host=owner.host, verdict=Verdict.MAY_HAVE_RUN)
        if call.may_try_again(refusal):
            return Refused(attempt=attempt, refusal=refusal)
        self._events.record("fence", request=call.request_id, owner=owner.host)
        fence = Fence(attempt=attempt, incarnation=owner.incarnation)
        give_up_at = time.monotonic() + RESOLVE_TIMEOUT
        while time.monotonic() < give_up_at:
            await self._send(owner, fence, mailbox)
            match await mailbox.get():
                case LinkLost():
                    await asyncio.sleep(FENCE_RETRY_DELAY)
                case message:
                    return message
        return Refused(attempt=attempt, refusal=refusal)

    async def _verdict_after_timeout(
        self, call: Call, owner: Member, attempt: AttemptId, mailbox: Mailbox
    ) -> OwnerMessage:
        """Cancel an attempt, and wait briefly for the owner's verdict on whether it ran."""
        verdict = Verdict.MAY_HAVE_RUN
        cancel = Cancel(attempt=attempt, incarnation=owner.incarnation)
        try:
            async with asyncio.timeout(VERDICT_TIMEOUT):
                await self._send(owner, cancel, mailbox)
                match await mailbox.get():
                    case Refused(refusal=refusal):
                        verdict = explain(refusal).verdict
                    case Answer() as answer:
                        return answer
        except TimeoutError:
            pass
        if self._is_leaving and call.time_remaining(time.monotonic()) > 0:
            return Refused(attempt=attempt, refusal=ProxyLeaving(verdict=verdict))
        passed = DeadlinePassed(service=call.rules.service, verdict=verdict)
        return Refused(attempt=attempt, refusal=passed)

    async def _send(
        self, owner: Member, message: Offer | Fence | Cancel, mailbox: Mailbox | None
    ) -> None:
        """Send a message about an attempt to its owner, which is local or on another host."""
        if owner.host != self._membership.own.host:
            await self._peers.link(owner).send(message, mailbox)
            return
        reply = mailbox.put if mailbox is not None else _discard
        match message:
            case Offer():
                await self._local_owner.offer(message, reply)
            case Fence():
                await self._local_owner.fence(message, reply)
            case Cancel():
                await self._local_owner.cancel(message, reply)


async def _discard(_: OwnerMessage) -> None:
    """Ignore the reply to a cancelled attempt."""
