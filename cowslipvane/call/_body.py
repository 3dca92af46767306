"""Split the bodies of offers into parts, so that large ones block no other call; assemble them."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator
from dataclasses import dataclass

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
    yield dataclasses.replace(offer, request=first, more=len(body) > PART_BYTES)
    for start in range(PART_BYTES, len(body), PART_BYTES):
        end = start + PART_BYTES
        yield Chunk(attempt=offer.attempt, body=body[start:end], more=end < len(body))


class OfferAssembler:
    """Assemble the offers of one connection from their parts."""

    def __init__(self) -> None:
        self._offers: dict[AttemptId, Offer] = {}
        self._bodies: dict[AttemptId, bytearray] = {}
        self._incomplete_bytes = 0

    def begin(self, offer: Offer) -> Offer | Incomplete:
        """Add the first part of an offer; return the offer if its body is complete."""
        if not offer.more:
            return offer
        self._offers[offer.attempt] = offer
        self._bodies[offer.attempt] = bytearray(offer.request.body)
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
        self._bodies[chunk.attempt] += chunk.body
        self._incomplete_bytes += len(chunk.body)
        if chunk.more:
            return Incomplete()
        complete = offer.request._replace(body=bytes(self._bodies[chunk.attempt]))
        self.drop(chunk.attempt)
        return dataclasses.replace(offer, request=complete, more=False)

    def drop(self, attempt: AttemptId) -> None:
        """Drop an incomplete offer, if there is one."""
        if self._offers.pop(attempt, None) is not None:
            self._incomplete_bytes -= len(self._bodies.pop(attempt))
