"""Tests of bodies that travel in parts."""

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

PART = 64 << 10


def offer(serial: int, size: int) -> Offer:
    """Return an offer with a body whose parts differ."""
    body = b"".join(bytes([serial + at % 200]) * 1000 for at in range(size // 1000 + 1))[:size]
    return Offer(
        attempt=AttemptId(HostName("a"), 1, serial),
        service=ServiceName("stock"),
        request=Request("POST", "/stock", (), body),
        timeout=1.0,
        idempotent=False,
        caller="",
    )


class BodyTest(unittest.TestCase):
    """Splitting a body and putting it together."""

    def test_any_size_arrives_as_it_was(self) -> None:
        """Also at the edges of a part, and with other offers in between."""
        for size in (0, 1, PART - 1, PART, PART + 1, 2 * PART, 3 * PART + 7):
            arrivals, sent, other = OfferAssembler(), offer(1, size), offer(2, 2 * PART + 5)
            first, *rest = split_offer(sent)
            other_first, *other_rest = split_offer(other)
            assert isinstance(first, Offer)
            assert isinstance(other_first, Offer)
            arrived: Offer | Incomplete | Overflow = arrivals.begin(first)
            arrivals.begin(other_first)
            for at, part in enumerate(rest):
                assert isinstance(part, Chunk)
                arrived = arrivals.add(part)
                between = other_rest[at] if at < len(other_rest) - 1 else None
                if isinstance(between, Chunk):
                    self.assertEqual(arrivals.add(between), Incomplete())
            self.assertEqual(arrived, sent)

    def test_no_part_is_larger_than_its_bound(self) -> None:
        """Or a call would wait behind another's bytes."""
        for part in split_offer(offer(1, 5 * PART + 9)):
            body = part.body if isinstance(part, Chunk) else part.request.body
            self.assertLessEqual(len(body), PART)

    def test_a_dropped_offer_takes_no_further_part(self) -> None:
        """It was fenced or cancelled while its body was on the way."""
        arrivals = OfferAssembler()
        first, second = split_offer(offer(1, PART + 1))
        assert isinstance(first, Offer)
        assert isinstance(second, Chunk)
        arrivals.begin(first)
        arrivals.drop(first.attempt)
        self.assertEqual(arrivals.add(second), Incomplete())

    def test_bodies_that_arrive_are_bounded_together(self) -> None:
        """One too many is dropped, and makes room for others."""
        with patch("cowslipvane.call._body.MAX_ARRIVING_BYTES", 3 * PART):
            arrivals = OfferAssembler()
            sent = [offer(serial, 2 * PART) for serial in (1, 2)]
            parts = [list(split_offer(item)) for item in sent]
            for first, _ in parts:
                assert isinstance(first, Offer)
                arrivals.begin(first)
            seconds = [second for _, second in parts]
            assert isinstance(seconds[0], Chunk)
            assert isinstance(seconds[1], Chunk)
            third = next(iter(split_offer(offer(3, PART + 1))))
            assert isinstance(third, Offer)
            arrivals.begin(third)
            self.assertIsInstance(arrivals.add(seconds[0]), Overflow)
            self.assertEqual(arrivals.add(seconds[1]), sent[1])


if __name__ == "__main__":
    unittest.main()
