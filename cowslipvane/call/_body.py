"""Split the bodies of offers into parts, so that large ones block no other call; assemble them."""

from __future__ import annotations

import dataclasses
import io
from collections.abc import Iterator
from dataclasses import dataclass

from cowslipvane.call._held_bodies import HeldBodies
from cowslipvane.call._messages import AttemptId, Chunk, Offer

# Maximum size of a part of a body.
PART_BYTES = 64 << 10
# Maximum total size of the incomplete bodies on one connection.
MAX_INCOMPLETE_BYTES = 64 << 20


@dataclass(frozen=True, slots=True, kw_only=True)
class Incomplete:
    """The body of the offer is incomplete."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Overflow:
    """The offer was dropped because the incomplete bodies exceed their limit."""

    offer: Offer


def split_offer(offer: Offer) -> Iterator[Offer | Chunk]:
    """Yield an offer with the first part of its body, then the remaining parts."""
    body = offer.request.body
    first = offer.request._replace(body=body[:PART_BYTES])
    more = len(body) > PART_BYTES
    yield dataclasses.replace(offer, request=first, more=more, length=len(body))
    for start in range(PART_BYTES, len(body), PART_BYTES):
        end = start + PART_BYTES
        yield Chunk(attempt=offer.attempt, body=body[start:end], more=end < len(body))


class OfferAssembler:
    """Assemble the offers of one connection from their parts.

    Room for a body is reserved before its further parts arrive. What is reserved for an offer that
    is complete is its owner's to release.
    """

    def __init__(self, *, held: HeldBodies) -> None:
        self._held = held
        self._offers: dict[AttemptId, Offer] = {}
        # The value of a BytesIO isn't a copy, for which a body would need as much memory again.
        self._bodies: dict[AttemptId, io.BytesIO] = {}
        self._incomplete_bytes = 0

    def begin(self, offer: Offer) -> Offer | Incomplete | Overflow:
        """Add the first part of an offer; return the offer if its body is complete."""
        if not self._held.reserve(offer.attempt, max(offer.length, len(offer.request.body))):
            return Overflow(offer=offer)
        if not offer.more:
            return dataclasses.replace(offer, length=0)
        self._offers[offer.attempt] = offer
        self._bodies[offer.attempt] = io.BytesIO()
        self._bodies[offer.attempt].write(offer.request.body)
        self._incomplete_bytes += len(offer.request.body)
        return Incomplete()

    def add(self, chunk: Chunk) -> Offer | Incomplete | Overflow:
        """Add another part; return the offer once its body is complete."""
        offer = self._offers.get(chunk.attempt)
        if offer is None:
            # The offer was dropped while this part was in transit.
            return Incomplete()
        if self._incomplete_bytes + len(chunk.body) > MAX_INCOMPLETE_BYTES:
            self.drop(chunk.attempt)
            return Overflow(offer=offer)
        self._bodies[chunk.attempt].write(chunk.body)
        self._incomplete_bytes += len(chunk.body)
        if chunk.more:
            return Incomplete()
        complete = offer.request._replace(body=self._take(chunk.attempt))
        return dataclasses.replace(offer, request=complete, more=False, length=0)

    def drop(self, attempt: AttemptId) -> None:
        """Drop an incomplete offer, if there is one."""
        if attempt in self._offers:
            self._take(attempt)
            self._held.release(attempt)

    def drop_all(self) -> None:
        """Drop all incomplete offers, since their connection has ended."""
        for attempt in list(self._offers):
            self.drop(attempt)

    def _take(self, attempt: AttemptId) -> bytes:
        """Return what has arrived of a body, and forget its offer."""
        del self._offers[attempt]
        body = self._bodies.pop(attempt).getvalue()
        self._incomplete_bytes -= len(body)
        return body
