"""Tests of the token bucket."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from cowslipvane.token_bucket import TokenBucket

RATE, CAPACITY = 4.0, 3.0
# Acts in the order of their times: the time since the one before, and what is done.
ACTS = st.lists(
    st.tuples(st.floats(0.0, 1.5), st.sampled_from(["take", "use", "give back"])), max_size=60
)


def make_bucket(tokens: float | None = None) -> TokenBucket:
    """Return a bucket."""
    return TokenBucket(tokens_per_s=RATE, capacity=CAPACITY, now=0.0, tokens=tokens)


class TokenBucketTest(unittest.TestCase):
    """No span of time has more uses than the bucket's capacity and what it earns."""

    def test_it_begins_full_and_is_refilled_by_time(self) -> None:
        """Up to its capacity."""
        bucket = make_bucket()
        self.assertEqual([bucket.spend(0.0) for _ in range(4)], [True, True, True, False])
        self.assertAlmostEqual(bucket.delay(0.0), 0.25)
        self.assertTrue(bucket.spend(0.25))
        self.assertEqual([bucket.spend(9.0) for _ in range(4)], [True, True, True, False])

    # Guards against refusals below the quota while requests that held tokens weren't run.
    def test_a_token_that_was_not_used_can_be_taken_again(self) -> None:
        """It was taken from an emptier bucket."""
        bucket = make_bucket(tokens=1.0)
        self.assertTrue(bucket.spend(0.0))
        self.assertFalse(bucket.spend(0.0))
        bucket.give_back(0.0, 0.1)
        self.assertTrue(bucket.spend(0.1))

    # Guards against tokens that are lost whenever they come back to a bucket that was full.
    def test_a_token_of_a_full_bucket_can_be_taken_again(self) -> None:
        """The bucket wasn't full since then."""
        bucket = make_bucket()
        self.assertTrue(bucket.spend(5.0))
        bucket.give_back(5.0, 5.1)
        self.assertEqual([bucket.spend(5.1) for _ in range(4)], [True] * 3 + [False])

    # Guards against a process that takes back what the one before it has granted.
    def test_a_token_of_another_bucket_is_worth_nothing(self) -> None:
        """It was taken before this one began."""
        bucket = TokenBucket(tokens_per_s=RATE, capacity=CAPACITY, now=8.0, tokens=0.0)
        bucket.give_back(7.9, 8.0)
        self.assertFalse(bucket.spend(8.0))

    # Guards against a quota that is exceeded by tokens whose place has been filled since.
    def test_a_token_is_worth_nothing_once_the_bucket_was_full_without_it(self) -> None:
        """Spent and given back around a time when the bucket was full."""
        bucket = make_bucket()
        self.assertTrue(bucket.spend(0.0))
        self.assertEqual([bucket.spend(1.0) for _ in range(3)], [True] * 3)
        bucket.give_back(0.0, 1.0)
        self.assertFalse(bucket.spend(1.0))

    @given(ACTS)
    def test_no_span_has_more_uses_than_it_allows(self, acts: list[tuple[float, str]]) -> None:
        """Whatever is taken, used and given back; a token counts when it was taken."""
        bucket = make_bucket()
        held: list[float] = []
        used: list[float] = []
        now = 0.0
        for pause, act in acts:
            now += pause
            if act == "give back" and held:
                bucket.give_back(held.pop(0), now)
            elif act == "use" and held:
                used.append(held.pop(0))
            elif act == "take" and bucket.spend(now):
                held.append(now)
        used = sorted([*used, *held])
        for first, begin in enumerate(used):
            for last, end in enumerate(used[first:], start=first):
                allowed = CAPACITY + (end - begin) * RATE
                self.assertLessEqual(last - first + 1, allowed + 1e-6)


if __name__ == "__main__":
    unittest.main()
