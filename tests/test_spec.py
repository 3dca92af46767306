"""Model checks of the specification of acceptance, exhaustive within small scopes."""

import unittest
from typing import Any

from minicheck import check_safety  # type: ignore[import-untyped]

from spec.acceptance import INVARIANTS, Rules, Scope, make_protocol

MAX_STATES = 200_000
# One bad state refutes a mutation, so its search need not be exhaustive.
MAX_MUTATION_STATES = 60_000

ELECTIONS = Scope(terms=3, writes=1)
CONCURRENT_WRITES = Scope(terms=2, writes=2)
LOST_DISK = Scope(terms=2, writes=2, losses=1, changes=2)
GROUP_CHANGES = Scope(terms=2, writes=2, changes=2)
# Starts after two leaders have each written an entry that no other replica has.
COMPETING_LEADERS = Scope(
    terms=4,
    writes=2,
    initial_steps=(
        *("0 starts an election", "1 votes for 0", "0 writes"),
        *("1 starts an election", "2 votes for 1", "1 writes"),
    ),
)


def check(scope: Scope, rules: Rules, max_states: int) -> dict[str, Any]:
    """Return the result of the model checker within a scope."""
    result: dict[str, Any] = check_safety(make_protocol(scope, rules), max_states=max_states)
    return result


class SpecTest(unittest.TestCase):
    """The protocol satisfies the invariants, and each safety rule is necessary."""

    def test_the_protocol_satisfies_the_invariants_in_every_scope(self) -> None:
        """Explore every state within each scope."""
        for scope in (ELECTIONS, CONCURRENT_WRITES, COMPETING_LEADERS, LOST_DISK, GROUP_CHANGES):
            with self.subTest(scope=scope):
                result = check(scope, Rules(), MAX_STATES)
                self.assertTrue(result["exhaustive"])
                self.assertEqual({item["holds"] for item in result["properties"].values()}, {True})

    def refute(self, scope: Scope, rules: Rules, *invariants: str) -> None:
        """Check that a mutation violates some invariants."""
        self.assertLessEqual(set(invariants), INVARIANTS.keys())
        result = check(scope, rules, MAX_MUTATION_STATES)["properties"]
        broken = {name for name, item in result.items() if item["holds"] is False}
        self.assertLessEqual(set(invariants), broken)

    def test_unsynced_votes_can_elect_two_leaders(self) -> None:
        """A restarted voter can vote twice in one term."""
        self.refute(CONCURRENT_WRITES, Rules(syncs_votes=False), "one leader in a term")

    def test_a_voter_with_an_empty_disk_can_lose_accepted_entries(self) -> None:
        """It can elect a leader that never had them."""
        rules = Rules(lost_disk_gets_new_identity=False)
        self.refute(LOST_DISK._replace(writes=1, changes=0), rules, "accepted is never lost")

    def test_an_entry_of_an_older_term_committed_by_majority_alone_can_be_lost(self) -> None:
        """A candidate with a newer last entry can win and overwrite it."""
        self.refute(COMPETING_LEADERS, Rules(commits_own_term_only=False), "accepted is never lost")

    def test_two_group_changes_at_once_can_lose_accepted_entries(self) -> None:
        """Their quorums may have no common member."""
        rules = Rules(one_change_at_a_time=False)
        self.refute(GROUP_CHANGES, rules, "accepted is never lost", "one order")


if __name__ == "__main__":
    unittest.main()
