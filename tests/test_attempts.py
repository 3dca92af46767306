"""Tests of the owner's record of attempts."""

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

OWN_INCARNATION = 7


def attempt(serial: int, entry: str = "a", incarnation: int = 1) -> AttemptId:
    """Return the id of an attempt."""
    return AttemptId(HostName(entry), incarnation, serial)


def answer(attempt_id: AttemptId, body: bytes = b"whole") -> Answer:
    """Return an answer in one part."""
    return Answer(
        attempt=attempt_id, status=200, headers=(), body=body, more=False, load=Load(1, 0, 0)
    )


class AttemptsTest(unittest.TestCase):
    """Tests of the outcomes that are reported for attempts."""

    def setUp(self) -> None:
        """Create an empty record of attempts."""
        self.attempts = Attempts(incarnation=OWN_INCARNATION)

    def run_one(self, attempt_id: AttemptId, body: bytes = b"whole", now: float = 0.0) -> None:
        """Admit, start and end an attempt."""
        self.assertTrue(self.attempts.admit(attempt_id))
        self.attempts.start(attempt_id)
        self.attempts.store_part(attempt_id, answer(attempt_id, body))
        self.attempts.end(attempt_id, now)

    def test_fenced_attempt_is_never_started(self) -> None:
        """A fence that arrives before the offer or before the start prevents the attempt."""
        self.assertEqual(self.attempts.fence(attempt(1), OWN_INCARNATION, 0.0), NeverStarted())
        self.assertFalse(self.attempts.admit(attempt(1)))
        self.assertTrue(self.attempts.admit(attempt(2)))
        self.assertEqual(self.attempts.fence(attempt(2), OWN_INCARNATION, 0.0), NeverStarted())
        self.assertFalse(self.attempts.admit(attempt(2)))

    def test_an_attempt_is_admitted_once(self) -> None:
        """An attempt is not admitted again while it is queued or after it has ended."""
        self.assertTrue(self.attempts.admit(attempt(1)))
        self.assertFalse(self.attempts.admit(attempt(1)))
        self.run_one(attempt(2))
        self.assertFalse(self.attempts.admit(attempt(2)))

    def test_fence_returns_the_answer(self) -> None:
        """The answer of a started attempt is returned while it runs and after its end."""
        one = attempt(1)
        self.attempts.admit(one)
        self.attempts.start(one)
        self.attempts.store_part(one, answer(one))
        self.assertEqual(
            self.attempts.fence(one, OWN_INCARNATION, 0.0), Running(parts=[answer(one)])
        )
        self.attempts.end(one, 0.0)
        self.assertEqual(self.attempts.fence(one, OWN_INCARNATION, 0.0), Ended(parts=[answer(one)]))

    def test_attempts_of_another_incarnation_are_forgotten(self) -> None:
        """A restarted owner never reports an earlier attempt as not run."""
        self.assertEqual(self.attempts.fence(attempt(1), OWN_INCARNATION - 1, 0.0), Forgotten())

    def test_forgotten_attempts_are_not_reported_as_not_started(self) -> None:
        """An attempt beyond the limits of number or time may have run."""
        for serial in range(1, limits.MAX_REMEMBERED + 2):
            self.run_one(attempt(serial))
        self.assertEqual(self.attempts.fence(attempt(1), OWN_INCARNATION, 0.0), Forgotten())
        self.assertFalse(self.attempts.admit(attempt(1)))
        self.assertEqual(self.attempts.fence(attempt(1, "b"), OWN_INCARNATION, 0.0), NeverStarted())
        self.run_one(attempt(10**6), now=2 * limits.RETENTION_TIME)
        expired = self.attempts.fence(attempt(limits.MAX_REMEMBERED), OWN_INCARNATION, 0.0)
        self.assertEqual(expired, Forgotten())

    def test_restarted_entry_proxy_is_served_and_earlier_attempts_stay_forgotten(self) -> None:
        """Serials restart with each incarnation of an entry proxy."""
        with unittest.mock.patch.object(limits, "MAX_REMEMBERED", 1):
            for incarnation in (1, 2):
                for serial in (1, 2):
                    self.run_one(attempt(serial, incarnation=incarnation))
            self.assertEqual(self.attempts.fence(attempt(9), OWN_INCARNATION, 0.0), Forgotten())
            self.assertTrue(self.attempts.admit(attempt(3, incarnation=2)))

    def test_stored_answers_are_bounded(self) -> None:
        """Large answers are not stored, and the oldest small ones are discarded."""
        self.run_one(attempt(1), body=b"x" * (limits.MAX_ANSWER_BYTES + 1))
        self.assertEqual(self.attempts.fence(attempt(1), OWN_INCARNATION, 0.0), Ended(parts=None))
        count = limits.MAX_STORED_BYTES // limits.MAX_ANSWER_BYTES + 1
        for serial in range(2, count + 2):
            self.run_one(attempt(serial), body=b"x" * limits.MAX_ANSWER_BYTES)
        self.assertEqual(self.attempts.fence(attempt(2), OWN_INCARNATION, 0.0), Ended(parts=None))
        newest = self.attempts.fence(attempt(count + 1), OWN_INCARNATION, 0.0)
        self.assertIsInstance(newest, Ended)
        self.assertNotEqual(newest, Ended(parts=None))

    def test_answer_beyond_the_limit_is_discarded_whole(self) -> None:
        """An answer is never returned with a part missing."""
        one = attempt(1)
        self.attempts.admit(one)
        self.attempts.start(one)
        self.attempts.store_part(one, answer(one))
        large = b"x" * limits.MAX_ANSWER_BYTES
        self.attempts.store_part(one, Chunk(attempt=one, body=large, more=True))
        self.attempts.store_part(one, Chunk(attempt=one, body=b"end", more=False))
        self.assertEqual(self.attempts.fence(one, OWN_INCARNATION, 0.0), Running(parts=None))


if __name__ == "__main__":
    unittest.main()
