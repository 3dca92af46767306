"""Tests of bodies that are sent in parts."""

import unittest
from unittest.mock import patch

from cowslipvane.call import (
    AttemptId,
    BodyAccount,
    Chunk,
    HeldBodies,
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


def held(max_bytes: int = 64 << 20) -> HeldBodies:
    """Return the bodies that an owner holds, with room for some."""
    return HeldBodies(account=BodyAccount(max_bytes=max_bytes))


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
            assembler = OfferAssembler(held=held())
            sent, other = offer(1, size), offer(2, 2 * PART_BYTES + 5)
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
        assembler = OfferAssembler(held=held())
        first, second = split_offer(offer(1, PART_BYTES + 1))
        assert isinstance(first, Offer)
        assert isinstance(second, Chunk)
        assembler.begin(first)
        assembler.drop(first.attempt)
        self.assertEqual(assembler.add(second), Incomplete())

    def test_total_of_incomplete_bodies_is_bounded(self) -> None:
        """An offer beyond the limit is dropped, and the others can be completed."""
        with patch("cowslipvane.call._body.MAX_INCOMPLETE_BYTES", 3 * PART_BYTES):
            assembler = OfferAssembler(held=held())
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

    # Guards against an owner that is killed at the memory limit of its host by bodies that several
    # entry proxies send, each within its own limit.
    def test_bodies_of_several_connections_share_a_limit(self) -> None:
        """A body is refused before its second part, and taken once there is room again."""
        size = 4 * PART_BYTES
        bodies = held(max_bytes=16 * PART_BYTES)
        assemblers = [OfferAssembler(held=bodies) for _ in range(3)]
        firsts = [next(iter(split_offer(offer(serial, size)))) for serial in (1, 2, 3)]
        assert all(isinstance(first, Offer) for first in firsts)
        results = [
            assembler.begin(first)  # type: ignore[arg-type]
            for assembler, first in zip(assemblers, firsts, strict=True)
        ]
        self.assertIsInstance(results[0], Incomplete)
        self.assertIsInstance(results[1], Overflow)
        self.assertIsInstance(results[2], Overflow)
        assemblers[0].drop_all()
        self.assertIsInstance(assemblers[2].begin(firsts[2]), Incomplete)  # type: ignore[arg-type]

    def test_a_single_body_is_taken_whatever_its_size(self) -> None:
        """A route may allow bodies that are larger than the limit."""
        bodies = held(max_bytes=PART_BYTES)
        assembler = OfferAssembler(held=bodies)
        first, *rest = split_offer(offer(1, 5 * PART_BYTES))
        assert isinstance(first, Offer)
        self.assertIsInstance(assembler.begin(first), Incomplete)
        for part in rest:
            assert isinstance(part, Chunk)
            result = assembler.add(part)
        self.assertEqual(result, offer(1, 5 * PART_BYTES))

    def test_small_bodies_always_have_room(self) -> None:
        """Others fill the limit."""
        bodies = held(max_bytes=PART_BYTES)
        assembler = OfferAssembler(held=bodies)
        large, small = next(iter(split_offer(offer(1, 5 * PART_BYTES)))), offer(2, 10_000)
        assert isinstance(large, Offer)
        assembler.begin(large)
        self.assertEqual(assembler.begin(small), small)


if __name__ == "__main__":
    unittest.main()
