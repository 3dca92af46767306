"""Tests of bodies that are sent in parts."""

import unittest
from unittest.mock import patch

from cowslipvane.call import (
    AttemptId,
    Chunk,
    Incomplete,
    Offer,
    OfferAssembler,
    Overflow,
    Request,
    split_offer,
)
from cowslipvane.types import HostName, ServiceName

PART_BYTES = 64 << 10


def offer(serial: int, size: int) -> Offer:
    """Return an offer with a body whose parts differ from each other."""
    body = b"".join(bytes([serial + n % 200]) * 1000 for n in range(size // 1000 + 1))[:size]
    return Offer(
        attempt=AttemptId(HostName("a"), 1, serial),
        service=ServiceName("stock"),
        request=Request("POST", "/stock", (), body),
        timeout=1.0,
        idempotent=False,
        caller="",
    )


class BodyTest(unittest.TestCase):
    """Tests of splitting and assembling bodies."""

    def test_bodies_of_any_size_are_assembled_unchanged(self) -> None:
        """Bodies of every size are whole, even if parts of other offers are interleaved."""
        for size in (
            0,
            1,
            PART_BYTES - 1,
            PART_BYTES,
            PART_BYTES + 1,
            2 * PART_BYTES,
            3 * PART_BYTES + 7,
        ):
            assembler, sent, other = OfferAssembler(), offer(1, size), offer(2, 2 * PART_BYTES + 5)
            first, *rest = split_offer(sent)
            other_first, *other_rest = split_offer(other)
            assert isinstance(first, Offer)
            assert isinstance(other_first, Offer)
            result: Offer | Incomplete | Overflow = assembler.begin(first)
            assembler.begin(other_first)
            for index, part in enumerate(rest):
                assert isinstance(part, Chunk)
                result = assembler.add(part)
                interleaved = other_rest[index] if index < len(other_rest) - 1 else None
                if isinstance(interleaved, Chunk):
                    self.assertEqual(assembler.add(interleaved), Incomplete())
            self.assertEqual(result, sent)

    def test_parts_are_bounded(self) -> None:
        """Large parts would delay other calls on the same connection."""
        for part in split_offer(offer(1, 5 * PART_BYTES + 9)):
            body = part.body if isinstance(part, Chunk) else part.request.body
            self.assertLessEqual(len(body), PART_BYTES)

    def test_parts_of_a_dropped_offer_are_ignored(self) -> None:
        """The offer was fenced or cancelled while its body was in transit."""
        assembler = OfferAssembler()
        first, second = split_offer(offer(1, PART_BYTES + 1))
        assert isinstance(first, Offer)
        assert isinstance(second, Chunk)
        assembler.begin(first)
        assembler.drop(first.attempt)
        self.assertEqual(assembler.add(second), Incomplete())

    def test_total_of_incomplete_bodies_is_bounded(self) -> None:
        """An offer beyond the limit is dropped, and the others can be completed."""
        with patch("cowslipvane.call._body.MAX_INCOMPLETE_BYTES", 3 * PART_BYTES):
            assembler = OfferAssembler()
            sent = [offer(serial, 2 * PART_BYTES) for serial in (1, 2)]
            parts = [list(split_offer(item)) for item in sent]
            for first, _ in parts:
                assert isinstance(first, Offer)
                assembler.begin(first)
            seconds = [second for _, second in parts]
            assert isinstance(seconds[0], Chunk)
            assert isinstance(seconds[1], Chunk)
            third = next(iter(split_offer(offer(3, PART_BYTES + 1))))
            assert isinstance(third, Offer)
            assembler.begin(third)
            self.assertIsInstance(assembler.add(seconds[0]), Overflow)
            self.assertEqual(assembler.add(seconds[1]), sent[1])


if __name__ == "__main__":
    unittest.main()
