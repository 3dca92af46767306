"""The connection of one entry proxy: passes its attempts to the owner, and sends replies back."""

from __future__ import annotations

import asyncio

from cowslipvane.call import (
    Answer,
    AttemptId,
    Cancel,
    Chunk,
    Fence,
    Incomplete,
    Offer,
    OfferAssembler,
    Overflow,
    OwnerMessage,
    Refused,
    SendReply,
)
from cowslipvane.refusal import QueueFull
from cowslipvane.tasks.upstreams._owner import Owner
from cowslipvane.types import Seconds
from cowslipvane.wire import Link, LinkClosed

# How long an owner goes on with the idempotent work of an entry proxy whose connection was lost. It
# connects again at once if it still waits for the outcome.
ENTRY_RETURN_TIME: Seconds = 0.4
# Retry-After of an offer that exceeded the total size of the bodies that are being received.
OVERFLOW_RETRY_AFTER: Seconds = 1.0


async def serve_calls(link: Link, owner: Owner) -> None:
    """Receive one proxy's attempts, and send the owner's replies back."""
    in_flight: set[AttemptId] = set()
    assembler = OfferAssembler(held=owner.held_bodies)
    reply = _reply_function(link, in_flight)
    try:
        while True:
            match await link.receive():
                case Offer() as offer:
                    in_flight.add(offer.attempt)
                    await _pass_offer(assembler.begin(offer), owner, reply)
                case Chunk() as chunk:
                    await _pass_offer(assembler.add(chunk), owner, reply)
                case Fence() as fence:
                    in_flight.add(fence.attempt)
                    assembler.drop(fence.attempt)
                    await owner.fence(fence, reply)
                case Cancel() as cancel:
                    assembler.drop(cancel.attempt)
                    await owner.cancel(cancel, reply)
                case _:
                    return
    except LinkClosed as closed:
        for attempt in in_flight:
            owner.abandon_queued(attempt, reply)
        if in_flight and not closed.going_away:
            await asyncio.sleep(ENTRY_RETURN_TIME)
        raise
    finally:
        assembler.drop_all()
        for attempt in in_flight:
            owner.abandon(attempt, reply)


async def _pass_offer(
    assembled: Offer | Incomplete | Overflow, owner: Owner, reply: SendReply
) -> None:
    """Pass an offer to the owner once its body is complete."""
    match assembled:
        case Offer() as offer:
            await owner.offer(offer, reply)
        case Overflow(offer=offer):
            refusal = QueueFull(service=offer.service, retry_after=OVERFLOW_RETRY_AFTER)
            await reply(Refused(attempt=offer.attempt, refusal=refusal))
        case Incomplete():
            return


def _reply_function(link: Link, in_flight: set[AttemptId]) -> SendReply:
    """Return a reply function that sends over a link, and does nothing once it is closed."""

    async def reply(message: OwnerMessage) -> None:
        match message:
            case Refused() | Answer(more=False) | Chunk(more=False):
                in_flight.discard(message.attempt)
        try:
            match message:
                case Chunk() | Answer(more=True):
                    await link.send_bulk(message)
                case _:
                    await link.send(message)
        except LinkClosed:
            return

    return reply
