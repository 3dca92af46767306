"""Tests of the owner's ledger of attempts."""

import unittest
import unittest.mock

from cowslipvane.call import (
    Answer,
    AttemptId,
    Attempts,
    Chunk,
    Ended,
    Forgotten,
    NeverStarted,
    Running,
)
from cowslipvane.call import _attempts as limits
from cowslipvane.routing import Load
from cowslipvane.types import HostName

MINE = 7


def attempt(serial: int, entry: str = "a", incarnation: int = 1) -> AttemptId:
    """Return the id of an attempt."""
    return AttemptId(HostName(entry), incarnation, serial)


def answer(of: AttemptId, body: bytes = b"whole") -> Answer:
    """Return an answer in one part."""
    return Answer(attempt=of, status=200, headers=(), body=body, more=False, load=Load(1, 0, 0))


class AttemptsTest(unittest.TestCase):
    """What the ledger says of an attempt."""

    def setUp(self) -> None:
        """Make an empty ledger."""
        self.attempts = Attempts(incarnation=MINE)

    def run_one(self, of: AttemptId, body: bytes = b"whole", now: float = 0.0) -> None:
        """Take one attempt from its offer to its end."""
        self.assertTrue(self.attempts.admit(of))
        self.attempts.start(of)
        self.attempts.store_part(of, answer(of, body))
        self.attempts.end(of, now)

    def test_a_fenced_attempt_never_starts(self) -> None:
        """A fence before the offer, or before the start, bars it."""
        self.assertEqual(self.attempts.fence(attempt(1), MINE, 0.0), NeverStarted())
        self.assertFalse(self.attempts.admit(attempt(1)))
        self.assertTrue(self.attempts.admit(attempt(2)))
        self.assertEqual(self.attempts.fence(attempt(2), MINE, 0.0), NeverStarted())
        self.assertFalse(self.attempts.admit(attempt(2)))

    def test_an_attempt_is_admitted_once(self) -> None:
        """The same attempt is refused while it waits and after it ended."""
        self.assertTrue(self.attempts.admit(attempt(1)))
        self.assertFalse(self.attempts.admit(attempt(1)))
        self.run_one(attempt(2))
        self.assertFalse(self.attempts.admit(attempt(2)))

    def test_a_fence_gets_the_answer(self) -> None:
        """What has started is fetched, while it runs and after its end."""
        one = attempt(1)
        self.attempts.admit(one)
        self.attempts.start(one)
        self.attempts.store_part(one, answer(one))
        self.assertEqual(self.attempts.fence(one, MINE, 0.0), Running(parts=[answer(one)]))
        self.attempts.end(one, 0.0)
        self.assertEqual(self.attempts.fence(one, MINE, 0.0), Ended(parts=[answer(one)]))

    def test_another_incarnation_knows_nothing(self) -> None:
        """An owner that restarted never says that an attempt was not run."""
        self.assertEqual(self.attempts.fence(attempt(1), MINE - 1, 0.0), Forgotten())

    def test_what_is_forgotten_is_never_called_not_started(self) -> None:
        """Beyond the bounds on number and time, an attempt may have run."""
        for serial in range(1, limits.MAX_REMEMBERED + 2):
            self.run_one(attempt(serial))
        self.assertEqual(self.attempts.fence(attempt(1), MINE, 0.0), Forgotten())
        self.assertFalse(self.attempts.admit(attempt(1)))
        self.assertEqual(self.attempts.fence(attempt(1, "b"), MINE, 0.0), NeverStarted())
        self.run_one(attempt(10**6), now=2 * limits.REMEMBERED)
        late = self.attempts.fence(attempt(limits.MAX_REMEMBERED), MINE, 0.0)
        self.assertEqual(late, Forgotten())

    def test_an_entry_that_restarted_is_served_and_its_past_stays_in_doubt(self) -> None:
        """Serials begin again with each incarnation of an entry."""
        with unittest.mock.patch.object(limits, "MAX_REMEMBERED", 1):
            for incarnation in (1, 2):
                for serial in (1, 2):
                    self.run_one(attempt(serial, incarnation=incarnation))
            self.assertEqual(self.attempts.fence(attempt(9), MINE, 0.0), Forgotten())
            self.assertTrue(self.attempts.admit(attempt(3, incarnation=2)))

    def test_kept_answers_are_bounded(self) -> None:
        """A large answer isn't kept, and many small ones push the oldest out."""
        self.run_one(attempt(1), body=b"x" * (limits.MAX_ANSWER_BYTES + 1))
        self.assertEqual(self.attempts.fence(attempt(1), MINE, 0.0), Ended(parts=None))
        count = limits.MAX_KEPT_BYTES // limits.MAX_ANSWER_BYTES + 1
        for serial in range(2, count + 2):
            self.run_one(attempt(serial), body=b"x" * limits.MAX_ANSWER_BYTES)
        self.assertEqual(self.attempts.fence(attempt(2), MINE, 0.0), Ended(parts=None))
        newest = self.attempts.fence(attempt(count + 1), MINE, 0.0)
        self.assertIsInstance(newest, Ended)
        self.assertNotEqual(newest, Ended(parts=None))

    def test_a_part_too_many_drops_the_answer(self) -> None:
        """No answer is fetched with a part missing."""
        one = attempt(1)
        self.attempts.admit(one)
        self.attempts.start(one)
        self.attempts.store_part(one, answer(one))
        large = b"x" * limits.MAX_ANSWER_BYTES
        self.attempts.store_part(one, Chunk(attempt=one, body=large, more=True))
        self.attempts.store_part(one, Chunk(attempt=one, body=b"end", more=False))
        self.assertEqual(self.attempts.fence(one, MINE, 0.0), Running(parts=None))


if __name__ == "__main__":
    unittest.main()
