"""The specification of acceptance, checked exhaustively within small scopes."""

import unittest
from typing import Any

from minicheck import check_safety  # type: ignore[import-untyped]

from spec.acceptance import INVARIANTS, Rules, Scope, make_protocol

MAX_STATES = 200_000
# A mutation is refuted by one bad state, so its search need not be exhaustive.
MUTATION_STATES = 60_000

ELECTIONS = Scope(terms=3, writes=1)
RACES = Scope(terms=2, writes=2)
REPAIR = Scope(terms=2, writes=2, losses=1, changes=2)
CHANGES = Scope(terms=2, writes=2, changes=2)
# Two leaders have each written an entry that nobody else has; the rest is explored.
RIVALS = Scope(
    terms=4,
    writes=2,
    opening=(
        *("0 stands", "1 votes for 0", "0 writes"),
        *("1 stands", "2 votes for 1", "1 writes"),
    ),
)


def check(scope: Scope, rules: Rules, max_states: int) -> dict[str, Any]:
    """Return what the model checker finds within a scope."""
    found: dict[str, Any] = check_safety(make_protocol(scope, rules), max_states=max_states)
    return found


class SpecTest(unittest.TestCase):
    """The protocol holds, and each protection is needed."""

    def test_the_protocol_holds_in_every_scope(self) -> None:
        """Every state within the scope is seen."""
        for scope in (ELECTIONS, RACES, RIVALS, REPAIR, CHANGES):
            with self.subTest(scope=scope):
                found = check(scope, Rules(), MAX_STATES)
                self.assertTrue(found["exhaustive"])
                self.assertEqual({item["holds"] for item in found["properties"].values()}, {True})

    def refute(self, scope: Scope, rules: Rules, *invariants: str) -> None:
        """Check that a mutation breaks some invariants."""
        self.assertLessEqual(set(invariants), INVARIANTS.keys())
        found = check(scope, rules, MUTATION_STATES)["properties"]
        broken = {name for name, item in found.items() if item["holds"] is False}
        self.assertLessEqual(set(invariants), broken)

    def test_a_vote_that_is_not_synced_elects_two_leaders(self) -> None:
        """A restarted voter votes again in the same term."""
        self.refute(RACES, Rules(syncs_votes=False), "one leader in a term")

    def test_an_empty_disk_that_votes_loses_what_was_accepted(self) -> None:
        """It elects a leader that never had it."""
        rules = Rules(new_identity=False)
        self.refute(REPAIR._replace(writes=1, changes=0), rules, "accepted is never lost")

    def test_an_old_term_committed_by_counting_is_lost(self) -> None:
        """A rival with a newer last entry overwrites it."""
        self.refute(RIVALS, Rules(commits_own_term_only=False), "accepted is never lost")

    def test_two_changes_of_the_group_at_once_lose_what_was_accepted(self) -> None:
        """Their quorums need have no common member."""
        rules = Rules(one_change_at_once=False)
        self.refute(CHANGES, rules, "accepted is never lost", "one order")


if __name__ == "__main__":
    unittest.main()
