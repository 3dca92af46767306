"""Bodies of offers in parts, so that no call waits behind another's bytes."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator
from dataclasses import dataclass

from cowslipvane.call._messages import AttemptId, Chunk, Offer

# The size of a part of a body.
PART_BYTES = 64 << 10
# Bodies that arrive at once over one connection; further ones are refused.
MAX_ARRIVING_BYTES = 64 << 20


@dataclass(frozen=True, slots=True, kw_only=True)
class Incomplete:
    """Further parts of the offer's body are to come."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Overflow:
    """The offer is dropped, because the bodies that arrive are too large together."""

    offer: Offer


def split_offer(offer: Offer) -> Iterator[Offer | Chunk]:
    """Yield an offer with the first part of its body, and then the other parts."""
    body = offer.request.body
    first = offer.request._replace(body=body[:PART_BYTES])
    yield dataclasses.replace(offer, request=first, more=len(body) > PART_BYTES)
    for start in range(PART_BYTES, len(body), PART_BYTES):
        end = start + PART_BYTES
        yield Chunk(attempt=offer.attempt, body=body[start:end], more=end < len(body))


class OfferAssembler:
    """The offers of one connection whose bodies are not whole yet."""

    def __init__(self) -> None:
        self._offers: dict[AttemptId, Offer] = {}
        self._bodies: dict[AttemptId, bytearray] = {}
        self._bytes = 0

    def begin(self, offer: Offer) -> Offer | Incomplete:
        """Take an offer; return it when its body is whole."""
        if not offer.more:
            return offer
        self._offers[offer.attempt] = offer
        self._bodies[offer.attempt] = bytearray(offer.request.body)
        self._bytes += len(offer.request.body)
        return Incomplete()

    def add(self, chunk: Chunk) -> Offer | Incomplete | Overflow:
        """Take a further part; return the offer once its body is whole."""
        offer = self._offers.get(chunk.attempt)
        if offer is None:
            # Its offer was dropped while this part was on its way.
            return Incomplete()
        if self._bytes + len(chunk.body) > MAX_ARRIVING_BYTES:
            self.drop(chunk.attempt)
            return Overflow(offer=offer)
        self._bodies[chunk.attempt] += chunk.body
        self._bytes += len(chunk.body)
        if chunk.more:
            return Incomplete()
        whole = offer.request._replace(body=bytes(self._bodies[chunk.attempt]))
        self.drop(chunk.attempt)
        return dataclasses.replace(offer, request=whole, more=False)

    def drop(self, attempt: AttemptId) -> None:
        """Forget an offer whose body is not whole yet, if there is one."""
        if self._offers.pop(attempt, None) is not None:
            self._bytes -= len(self._bodies.pop(attempt))
