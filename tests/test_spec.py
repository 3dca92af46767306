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
# A leader has added a new machine, which has caught up.
JOINING = (
    *("0 starts an election", "1 votes for 0", "0 writes", "0 sends to 1"),
    *("0 adds 3", "0 sends to 1", "0 sends to 3", "0 sends to 3"),
)
REPLACEMENT = Scope(terms=2, writes=1, changes=3, joins=True, initial_steps=JOINING)
LOST_DISK_IN_REPLACEMENT = REPLACEMENT._replace(losses=1)
LEASES = Scope(terms=2, writes=2, leases=True)
LEASES_IN_REPLACEMENT = REPLACEMENT._replace(leases=True, initial_steps=(*JOINING, "0 promotes 3"))
SCOPES = (
    *(ELECTIONS, CONCURRENT_WRITES, COMPETING_LEADERS, LOST_DISK, GROUP_CHANGES),
    *(REPLACEMENT, LOST_DISK_IN_REPLACEMENT, LEASES, LEASES_IN_REPLACEMENT),
)


def check(scope: Scope, rules: Rules, max_states: int) -> dict[str, Any]:
    """Return the result of the model checker within a scope."""
    result: dict[str, Any] = check_safety(make_protocol(scope, rules), max_states=max_states)
    return result


class SpecTest(unittest.TestCase):
    """The protocol satisfies the invariants, and each safety rule is necessary."""

    def test_the_protocol_satisfies_the_invariants_in_every_scope(self) -> None:
        """Explore every state within each scope."""
        for scope in SCOPES:
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

    def test_two_voters_exchanged_at_once_can_lose_accepted_entries(self) -> None:
        """Majorities of the group before and of the one after may have no common member."""
        rules = Rules(changes_one_voter=False)
        self.refute(REPLACEMENT._replace(writes=2), rules, "accepted is never lost", "one order")

    def test_a_vote_in_spite_of_a_lease_can_make_two_leaders_answer(self) -> None:
        """The leader that counts on the lease doesn't know of the next one."""
        self.refute(LEASES, Rules(keeps_promises=False), "one lease at a time")

    def test_a_leader_that_hands_over_before_it_steps_down_can_answer_beside_the_next(self) -> None:
        """The votes that it releases are those that its own lease counts on."""
        self.refute(LEASES, Rules(steps_down_first=False), "one lease at a time")


if __name__ == "__main__":
    unittest.main()
